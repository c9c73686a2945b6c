"""A TCP proxy between one entry VM and the store, or between a VM and its peers."""

import typing

from twisted.internet import endpoints, protocol

# Limit for each piece of data that arrives before the upstream connection is open.
BUFFER_BYTES: typing.Final = 1_000_000


class Impairment(typing.NamedTuple):
    """Faults of the connections through a proxy.

    Attributes:
        forwards_upstream: False if bytes to the upstream server are dropped.
        forwards_downstream: False if bytes from the upstream server are dropped.
        delay_s: Delay of forwarded bytes in seconds.
    """

    forwards_upstream: bool = True
    forwards_downstream: bool = True
    delay_s: float = 0.0


class Proxy(protocol.Factory):
    """Forwards connections to an upstream server: the store, or a VM.

    Attributes:
        impairment: Faults that apply to all connections.
        reactor: Schedules delayed bytes.
        upstream: Endpoint of the upstream server.
    """

    noisy = False

    def __init__(self, reactor: typing.Any, host: str, port: int) -> None:
        """Forward connections to the upstream server at an address."""
        self.impairment = Impairment()
        self.reactor = reactor
        self.upstream = endpoints.TCP4ClientEndpoint(reactor, host, port, timeout=1)
        self._open: set[_Side] = set()

    def buildProtocol(self, addr: object) -> "_DownstreamSide":  # noqa: N802
        """Return the downstream side of a new connection."""
        return _DownstreamSide(self)

    def reset(self) -> None:
        """Reset all connections."""
        for side in list(self._open):
            side.abort()

    def add_side(self, side: "_Side") -> None:
        """Register one side of an open connection."""
        self._open.add(side)

    def remove_side(self, side: "_Side") -> None:
        """Remove one side of a closed connection."""
        self._open.discard(side)


class _Side(protocol.Protocol):
    def __init__(self, proxy: Proxy) -> None:
        self.proxy = proxy
        self.other: _Side | None = None
        self._buffer = bytearray()
        self._last_write_s = 0.0

    def connectionMade(self) -> None:  # noqa: N802
        self.proxy.add_side(self)

    def connectionLost(self, reason: typing.Any = protocol.connectionDone) -> None:  # noqa: N802
        self.proxy.remove_side(self)
        if self.other is not None:
            self.other.abort()

    def abort(self) -> None:
        if self.transport is not None:
            typing.cast(typing.Any, self.transport).abortConnection()

    def pair(self, other: "_Side") -> None:
        self.other = other
        buffered, self._buffer = bytes(self._buffer), bytearray()
        if buffered:
            self.dataReceived(buffered)

    def forwards(self) -> bool:
        raise NotImplementedError

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        if not self.forwards():
            return
        if self.other is None:
            self._buffer += data[:BUFFER_BYTES]
            return
        # Bytes are delivered in order, also when the delay becomes shorter.
        now_s = self.proxy.reactor.seconds()
        self._last_write_s = max(
            self._last_write_s, now_s + self.proxy.impairment.delay_s
        )
        self.proxy.reactor.callLater(self._last_write_s - now_s, self._forward, data)

    def _forward(self, data: bytes) -> None:
        if self.other is not None and self.other.transport is not None:
            typing.cast(typing.Any, self.other.transport).write(data)


class _DownstreamSide(_Side):
    def connectionMade(self) -> None:  # noqa: N802
        super().connectionMade()
        connecting = endpoints.connectProtocol(
            self.proxy.upstream, _UpstreamSide(self.proxy)
        )
        connecting.addCallbacks(self._connected, lambda _: self.abort())

    def forwards(self) -> bool:
        return self.proxy.impairment.forwards_upstream

    def _connected(self, upstream: "_UpstreamSide") -> None:
        upstream.pair(self)
        self.pair(upstream)


class _UpstreamSide(_Side):
    def forwards(self) -> bool:
        return self.proxy.impairment.forwards_downstream
