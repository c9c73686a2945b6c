"""The links that a VM opens to others, one for each, on its first message."""

import collections
import typing

from twisted.internet import defer, endpoints, protocol
from twisted.protocols import policies
from twisted.python import failure
from websockets import client, exceptions, http11, uri

from eelgrasswick import packet
from eelgrasswick.daemons import (
    link,
    tls,
)

MAX_QUEUED_MESSAGES: typing.Final = 256
IDLE_CLOSE_S: typing.Final = 60.0
CONNECT_TIMEOUT_S: typing.Final = 1.0
_MAX_RESPONSE_BYTES: typing.Final = 1024


class Receiver(typing.NamedTuple):
    """The VM at the other end of a link, and where it takes links."""

    name: str
    address: packet.Address


class LinkClient(protocol.Protocol, policies.TimeoutMixin):
    """The opening end of one link."""

    def __init__(self, name: str, receiver: Receiver, pool: "LinkPool") -> None:
        """Open as the VM ``name`` to another VM, for a pool."""
        target = uri.parse_uri(f"ws://{receiver.address}{link.PATH_PREFIX}{name}")
        self._receiver = receiver
        self._pool = pool
        self._socket = client.ClientProtocol(target, max_size=_MAX_RESPONSE_BYTES)
        self._waiting: collections.deque[bytes] = collections.deque()
        self._open = False
        self._paused = False

    def connectionMade(self) -> None:  # noqa: N802
        """Send the opening handshake."""
        link.set_tcp_user_timeout(self.transport)
        # A process that is stopped still has its connections accepted by the
        # kernel. Without a bound the messages for it would wait here for good,
        # and those for a VM that came back would never leave.
        self.setTimeout(link.HANDSHAKE_TIMEOUT_S)
        transport = typing.cast(typing.Any, self.transport)
        transport.registerProducer(self, True)
        self._socket.send_request(self._socket.connect())
        self._flush()

    def timeoutConnection(self) -> None:  # noqa: N802
        """Give up a handshake that got no answer."""
        self.abort()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Take bytes from the transport."""
        self._socket.receive_data(data)
        for event in self._socket.events_received():
            if isinstance(event, http11.Response):
                self._answered()
        if self._socket.parser_exc or self._socket.handshake_exc:
            self.abort()
            return
        self._flush()

    def connectionLost(self, reason: failure.Failure = protocol.connectionDone) -> None:  # noqa: N802
        """Tell the pool that the link is over."""
        self._open = False
        self.setTimeout(None)
        self._pool.remove(self._receiver, self)

    def pauseProducing(self) -> None:  # noqa: N802
        """Keep messages, because the other end takes none at present."""
        self._paused = True

    def resumeProducing(self) -> None:  # noqa: N802
        """Send what was kept."""
        self._paused = False
        self._drain()

    def stopProducing(self) -> None:  # noqa: N802
        """Stop, because the connection is over."""
        self._open = False

    def send(self, payload: bytes) -> None:
        """Send a message, or keep it until the other end takes it.

        The queue is bounded; when it is full the oldest message goes. Peers
        repeat what matters: pings tell the newest configuration, and a change
        of homes sends exceptions again.
        """
        if len(self._waiting) >= MAX_QUEUED_MESSAGES:
            self._waiting.popleft()
            self._pool.on_drop()
        self._waiting.append(payload)
        self._drain()

    def abort(self) -> None:
        """End the link at once; what has not left yet is lost."""
        self._open = False
        if self.transport is not None:
            typing.cast(typing.Any, self.transport).abortConnection()

    def close_gracefully(self) -> None:
        """End the link after what was written has left."""
        self._open = False
        if self.transport is not None:
            transport = typing.cast(typing.Any, self.transport)
            transport.unregisterProducer()
            transport.loseConnection()

    def _answered(self) -> None:
        if self._socket.handshake_exc is not None:
            return
        name = self._receiver.name
        if self._pool.secure and name not in tls.peer_dns_names(self.transport):
            self.abort()
            return
        self.setTimeout(None)
        self._open = True
        self._drain()

    def _drain(self) -> None:
        while self._open and not self._paused and self._waiting:
            try:
                self._socket.send_binary(self._waiting.popleft())
            except exceptions.InvalidState:
                # The other end has said that it closes, but holds the connection.
                self.abort()
                return
            self._flush()

    def _flush(self) -> None:
        link.write_chunks(self.transport, self._socket.data_to_send())


class LinkPool:
    """The links this VM has opened; each opens with its first message."""

    def __init__(
        self,
        reactor: typing.Any,
        name: str,
        ip: str,
        identity: tls.Identity | None,
        dropped: typing.Callable[[], None],
    ) -> None:
        """Open links as the VM ``name`` from the address ``ip``.

        Args:
            reactor: Twisted's reactor.
            name: Name of this VM.
            ip: Address from which to connect.
            identity: Certificate of this VM; None for plain TCP.
            dropped: Called for each message that is dropped.
        """
        self.secure = identity is not None
        self.on_drop = dropped
        self._reactor = reactor
        self._name = name
        self._ip = ip
        self._identity = identity
        self._links: dict[Receiver, LinkClient] = {}
        self._connecting: dict[Receiver, defer.Deferred[typing.Any]] = {}
        self._used_s: dict[Receiver, float] = {}

    def send(self, receiver: Receiver, payload: bytes) -> None:
        """Send a message to a VM."""
        self._used_s[receiver] = self._reactor.seconds()
        found = self._links.get(receiver)
        if found is None:
            found = self._connect(receiver)
        found.send(payload)

    def close_idle(self) -> None:
        """Close links that carried nothing for a while."""
        now_s = self._reactor.seconds()
        for receiver, used_s in list(self._used_s.items()):
            if now_s - used_s > IDLE_CLOSE_S:
                del self._used_s[receiver]
                found = self._links.get(receiver)
                if found is not None:
                    found.abort()

    def close(self) -> None:
        """Close all links, and stop opening others."""
        for connecting in list(self._connecting.values()):
            connecting.cancel()
        for found in list(self._links.values()):
            found.close_gracefully()

    def remove(self, receiver: Receiver, over: LinkClient) -> None:
        """Forget a link that is over."""
        if self._links.get(receiver) is over:
            del self._links[receiver]

    def _connect(self, receiver: Receiver) -> LinkClient:
        opening = LinkClient(self._name, receiver, self)
        self._links[receiver] = opening
        connecting = endpoints.connectProtocol(self._endpoint(receiver), opening)
        self._connecting[receiver] = connecting
        connecting.addBoth(self._connected, receiver, opening)
        return opening

    def _connected(
        self, result: typing.Any, receiver: Receiver, opening: LinkClient
    ) -> None:
        self._connecting.pop(receiver, None)
        if isinstance(result, failure.Failure):
            self.remove(receiver, opening)

    def _endpoint(self, receiver: Receiver) -> typing.Any:
        host, _, port = str(receiver.address).rpartition(":")
        source = (self._ip, 0)
        if self._identity is None:
            return endpoints.TCP4ClientEndpoint(
                self._reactor, host, int(port), CONNECT_TIMEOUT_S, source
            )
        return endpoints.SSL4ClientEndpoint(
            self._reactor,
            host,
            int(port),
            self._identity.options,
            CONNECT_TIMEOUT_S,
            source,
        )
