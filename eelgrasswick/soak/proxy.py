"""A loopback proxy in front of the store, one address for each entry VM."""

import typing

from twisted.internet import endpoints, protocol

BUFFER_BYTES: typing.Final = 1_000_000


class Mood(typing.NamedTuple):
    """What the proxy does to the bytes of one VM's connections.

    Attributes:
        forward: False when bytes towards the store vanish.
        back: False when bytes from the store vanish.
        delay_s: How late bytes are passed on.
    """

    forward: bool = True
    back: bool = True
    delay_s: float = 0.0


class Proxy(protocol.Factory):
    """Passes connections of one VM on to the store."""

    noisy = False

    def __init__(self, reactor: typing.Any, host: str, port: int) -> None:
        """Pass on to a store's address."""
        self.mood = Mood()
        self.reactor = reactor
        self.store = endpoints.TCP4ClientEndpoint(reactor, host, port, timeout=1)
        self._open: set[_Side] = set()

    def buildProtocol(self, addr: object) -> "_Near":  # noqa: N802
        """Return the VM's side of a new connection."""
        return _Near(self)

    def reset(self) -> None:
        """Reset all connections."""
        for side in list(self._open):
            side.abort()

    def opened(self, side: "_Side") -> None:
        """Note one side of a connection."""
        self._open.add(side)

    def closed(self, side: "_Side") -> None:
        """Drop one side of a connection."""
        self._open.discard(side)


class _Side(protocol.Protocol):
    def __init__(self, proxy: Proxy) -> None:
        self.proxy = proxy
        self.other: _Side | None = None
        self._waiting = bytearray()
        self._last_s = 0.0

    def connectionMade(self) -> None:  # noqa: N802
        self.proxy.opened(self)

    def connectionLost(self, reason: typing.Any = protocol.connectionDone) -> None:  # noqa: N802
        self.proxy.closed(self)
        if self.other is not None:
            self.other.abort()

    def abort(self) -> None:
        if self.transport is not None:
            typing.cast(typing.Any, self.transport).abortConnection()

    def join(self, other: "_Side") -> None:
        self.other = other
        waiting, self._waiting = bytes(self._waiting), bytearray()
        if waiting:
            self.dataReceived(waiting)

    def passes(self) -> bool:
        raise NotImplementedError

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        if not self.passes():
            return
        if self.other is None:
            self._waiting += data[:BUFFER_BYTES]
            return
        # Bytes never overtake each other, also when the delay ends.
        now_s = self.proxy.reactor.seconds()
        self._last_s = max(self._last_s, now_s + self.proxy.mood.delay_s)
        self.proxy.reactor.callLater(self._last_s - now_s, self._pass_on, data)

    def _pass_on(self, data: bytes) -> None:
        if self.other is not None and self.other.transport is not None:
            typing.cast(typing.Any, self.other.transport).write(data)


class _Near(_Side):
    def connectionMade(self) -> None:  # noqa: N802
        super().connectionMade()
        connecting = endpoints.connectProtocol(self.proxy.store, _Far(self.proxy))
        connecting.addCallbacks(self._joined, lambda _: self.abort())

    def passes(self) -> bool:
        return self.proxy.mood.forward

    def _joined(self, far: "_Far") -> None:
        far.join(self)
        self.join(far)


class _Far(_Side):
    def passes(self) -> bool:
        return self.proxy.mood.back
