"""The links that a VM opens: one to each peer, opened by its first message."""

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

# Bound on the messages that wait for one peer.
MAX_QUEUED_MESSAGES: typing.Final = 256
# A link without a message for this long is closed.
IDLE_CLOSE_S: typing.Final = 60.0
CONNECT_TIMEOUT_S: typing.Final = 1.0
_MAX_RESPONSE_BYTES: typing.Final = 1024


class Receiver(typing.NamedTuple):
    """The VM at the accepting end of a link, and the address where it listens."""

    name: str
    address: packet.Address


class LinkClient(protocol.Protocol, policies.TimeoutMixin):
    """The opening end of one link."""

    def __init__(self, name: str, receiver: Receiver, pool: "LinkPool") -> None:
        """Create the protocol of one opened link.

        Args:
            name: Name of this VM, which the link's path contains.
            receiver: VM at the accepting end.
            pool: Pool that contains this link.
        """
        url = uri.parse_uri(f"ws://{receiver.address}{link.PATH_PREFIX}{name}")
        self._receiver = receiver
        self._pool = pool
        self._websocket = client.ClientProtocol(url, max_size=_MAX_RESPONSE_BYTES)
        self._queue: collections.deque[bytes] = collections.deque()
        self._open = False
        self._paused = False

    def connectionMade(self) -> None:  # noqa: N802
        """Send the opening handshake."""
        link.set_tcp_user_timeout(self.transport)
        # The kernel accepts connections for a process that is stopped. Without a
        # time-out, messages to that process would stay queued forever, and messages
        # to a VM that came back would never be sent.
        self.setTimeout(link.HANDSHAKE_TIMEOUT_S)
        transport = typing.cast(typing.Any, self.transport)
        transport.registerProducer(self, True)
        self._websocket.send_request(self._websocket.connect())
        self._flush()

    def timeoutConnection(self) -> None:  # noqa: N802
        """Abort the link when the handshake got no response in time."""
        self.abort()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Process bytes received from the transport."""
        self._websocket.receive_data(data)
        for event in self._websocket.events_received():
            if isinstance(event, http11.Response):
                self._on_handshake_response()
        if self._websocket.parser_exc or self._websocket.handshake_exc:
            self.abort()
            return
        self._flush()

    def connectionLost(self, reason: failure.Failure = protocol.connectionDone) -> None:  # noqa: N802
        """Remove the closed link from its pool."""
        self._open = False
        self.setTimeout(None)
        self._pool.remove(self._receiver, self)

    def pauseProducing(self) -> None:  # noqa: N802
        """Queue messages while the transport's buffer is full."""
        self._paused = True

    def resumeProducing(self) -> None:  # noqa: N802
        """Send the queued messages."""
        self._paused = False
        self._drain()

    def stopProducing(self) -> None:  # noqa: N802
        """Stop sending, because the connection has closed."""
        self._open = False

    def send(self, payload: bytes) -> None:
        """Send a message, or queue it until the link can send.

        The queue is bounded; when it is full, the oldest message is dropped. Peers
        recover from that: pings announce the newest configuration, and a change of
        homes sends exceptions again.
        """
        if len(self._queue) >= MAX_QUEUED_MESSAGES:
            self._queue.popleft()
            self._pool.on_drop()
        self._queue.append(payload)
        self._drain()

    def abort(self) -> None:
        """Close the link at once; messages not yet sent are lost."""
        self._open = False
        if self.transport is not None:
            typing.cast(typing.Any, self.transport).abortConnection()

    def close_gracefully(self) -> None:
        """Close the link after the written data has been sent."""
        self._open = False
        if self.transport is not None:
            transport = typing.cast(typing.Any, self.transport)
            transport.unregisterProducer()
            transport.loseConnection()

    def _on_handshake_response(self) -> None:
        if self._websocket.handshake_exc is not None:
            return
        name = self._receiver.name
        if self._pool.secure and name not in tls.peer_dns_names(self.transport):
            self.abort()
            return
        self.setTimeout(None)
        self._open = True
        self._drain()

    def _drain(self) -> None:
        while self._open and not self._paused and self._queue:
            try:
                self._websocket.send_binary(self._queue.popleft())
            except exceptions.InvalidState:
                # The other end has sent a close frame, but keeps the connection open.
                self.abort()
                return
            self._flush()

    def _flush(self) -> None:
        link.write_chunks(self.transport, self._websocket.data_to_send())


class LinkPool:
    """The links that this VM has opened, by receiver.

    Attributes:
        secure: True when links use TLS.
        on_drop: Called for each message that is dropped.
    """

    def __init__(
        self,
        reactor: typing.Any,
        name: str,
        ip: str,
        identity: tls.Identity | None,
        on_drop: typing.Callable[[], None],
    ) -> None:
        """Create a pool without links.

        Args:
            reactor: Twisted's reactor.
            name: Name of this VM.
            ip: Address from which to connect.
            identity: Certificate of this VM; None for plain TCP.
            on_drop: Called for each message that is dropped.
        """
        self.secure = identity is not None
        self.on_drop = on_drop
        self._reactor = reactor
        self._name = name
        self._ip = ip
        self._identity = identity
        self._links: dict[Receiver, LinkClient] = {}
        self._attempts: dict[Receiver, defer.Deferred[typing.Any]] = {}
        self._last_sent_s: dict[Receiver, float] = {}

    def send(self, receiver: Receiver, payload: bytes) -> None:
        """Send a message to a VM; the first one opens the link."""
        self._last_sent_s[receiver] = self._reactor.seconds()
        opened_link = self._links.get(receiver)
        if opened_link is None:
            opened_link = self._connect(receiver)
        opened_link.send(payload)

    def close_idle(self) -> None:
        """Close links that sent no message for ``IDLE_CLOSE_S``."""
        now_s = self._reactor.seconds()
        for receiver, last_sent_s in list(self._last_sent_s.items()):
            if now_s - last_sent_s > IDLE_CLOSE_S:
                del self._last_sent_s[receiver]
                opened_link = self._links.get(receiver)
                if opened_link is not None:
                    opened_link.abort()

    def close(self) -> None:
        """Close all links, and cancel connection attempts."""
        for attempt in list(self._attempts.values()):
            attempt.cancel()
        for opened_link in list(self._links.values()):
            opened_link.close_gracefully()

    def remove(self, receiver: Receiver, closed: LinkClient) -> None:
        """Remove a closed link, unless another one has replaced it."""
        if self._links.get(receiver) is closed:
            del self._links[receiver]

    def _connect(self, receiver: Receiver) -> LinkClient:
        opened = LinkClient(self._name, receiver, self)
        self._links[receiver] = opened
        attempt = endpoints.connectProtocol(self._endpoint(receiver), opened)
        self._attempts[receiver] = attempt
        attempt.addBoth(self._on_connected, receiver, opened)
        return opened

    def _on_connected(
        self, result: typing.Any, receiver: Receiver, opened: LinkClient
    ) -> None:
        self._attempts.pop(receiver, None)
        if isinstance(result, failure.Failure):
            self.remove(receiver, opened)

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
