"""Links between VMs: WebSocket connections that carry CBOR messages.

The sans-I/O protocol of websockets runs on Twisted's transports. A link carries
messages in one direction, from the VM that opened it. This module implements the
accepting end, and ``link_pool`` the opening end.
"""

import http
import ipaddress
import socket
import typing

from twisted.internet import error, interfaces, protocol
from twisted.protocols import policies
from twisted.python import failure
from websockets import frames, http11, server

from eelgrasswick import wire
from eelgrasswick.daemons import tls

HANDSHAKE_TIMEOUT_S: typing.Final = 5.0
IDLE_TIMEOUT_S: typing.Final = 120.0
# Unacknowledged data ends a connection after this time; see ``set_tcp_user_timeout``.
TCP_USER_TIMEOUT_MS: typing.Final = 5000
PATH_PREFIX: typing.Final = "/link/"


class ReceivedMessage(typing.NamedTuple):
    """A message received over a link.

    Attributes:
        sender: Name of the VM that opened the link, as given in the link's path.
        host: IPv4 address from which the link was opened.
        payload: Encoded peer message.
    """

    sender: str
    host: str
    payload: bytes


class LinkError(typing.NamedTuple):
    """Why a link was refused or closed.

    Attributes:
        host: IPv4 address of the other end.
        detail: Reason in words.
        authorized: False when the other end may not open this link; True when an
            authorized VM sent something invalid.
    """

    host: str
    detail: str
    authorized: bool


class Callbacks(typing.NamedTuple):
    """Callbacks for messages and errors of accepted links."""

    on_message: typing.Callable[[ReceivedMessage], None]
    on_error: typing.Callable[[LinkError], None]


def write_chunks(transport: typing.Any, chunks: list[bytes]) -> None:
    """Write the output of websockets; an empty chunk closes the connection."""
    for data in chunks:
        if data:
            transport.write(data)
        else:
            transport.loseConnection()


def set_tcp_user_timeout(transport: typing.Any) -> None:
    """Make the kernel close a connection whose data is not acknowledged.

    In a network partition a connection stays open, and the kernel retransmits at
    growing intervals of up to two minutes. After the partition has healed, changes
    of configuration and handovers would wait for the next retransmission. With the
    time-out the connection closes during the partition, and the next message opens
    another.
    """
    while getattr(transport, "socket", None) is None:
        transport = getattr(transport, "transport", None)
        if transport is None:
            return
    transport.socket.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
    )


class LinkServer(protocol.Protocol, policies.TimeoutMixin):
    """The accepting end of one link."""

    def __init__(self, host: str, callbacks: Callbacks, secure: bool) -> None:
        """Create the protocol of one accepted connection.

        Args:
            host: IPv4 address of the other end.
            callbacks: Called with each message and error.
            secure: True to check the sender's name against its certificate.
        """
        self._host = host
        self._callbacks = callbacks
        self._secure = secure
        self._sender = ""
        self._websocket = server.ServerProtocol(max_size=wire.MAX_LINK_BYTES)

    def connectionMade(self) -> None:  # noqa: N802
        """Start the time-out of the handshake."""
        # A connection without a handshake would hold a file descriptor forever.
        # With enough of them the VM could accept no more links.
        self.setTimeout(HANDSHAKE_TIMEOUT_S)

    def timeoutConnection(self) -> None:  # noqa: N802
        """Close a link that sent nothing for too long."""
        self._abort()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Process bytes received from the transport."""
        if self._sender:
            self.resetTimeout()
        self._websocket.receive_data(data)
        for event in self._websocket.events_received():
            self._process_event(event)
        link_error = self._websocket.parser_exc or self._websocket.handshake_exc
        if link_error is not None:
            self._fail(str(link_error))
            return
        write_chunks(self.transport, self._websocket.data_to_send())

    def connectionLost(self, reason: failure.Failure = protocol.connectionDone) -> None:  # noqa: N802
        """Stop the time-out, and report a connection that ended with an error."""
        self.setTimeout(None)
        ordinary_ends = (
            error.ConnectionDone,
            error.ConnectionLost,
            error.ConnectionAborted,
        )
        if not reason.check(*ordinary_ends):
            detail = f"{type(reason.value).__name__}: {reason.value}"
            self._callbacks.on_error(LinkError(self._host, detail, False))

    def _process_event(self, event: object) -> None:
        if isinstance(event, http11.Request):
            self._accept(event)
        elif isinstance(event, frames.Frame) and not _is_control(event):
            self._process_frame(event)

    def _process_frame(self, frame: frames.Frame) -> None:
        if frame.opcode is frames.Opcode.BINARY and frame.fin:
            received = ReceivedMessage(self._sender, self._host, bytes(frame.data))
            self._callbacks.on_message(received)
        else:
            # ``link_pool.LinkClient`` sends unfragmented binary messages only.
            self._websocket.fail(frames.CloseCode.UNSUPPORTED_DATA, "not whole binary")
            self._callbacks.on_error(
                LinkError(self._host, "message is not binary or is fragmented", True)
            )

    def _accept(self, request: http11.Request) -> None:
        response = self._websocket.accept(request)
        name = request.path.removeprefix(PATH_PREFIX)
        if not request.path.startswith(PATH_PREFIX) or not name:
            response = self._websocket.reject(404, "no such path\n")
        elif self._secure and name not in tls.peer_dns_names(self.transport):
            # Without this check, any holder of a certificate could send messages in
            # the name of any VM.
            link_error = LinkError(
                self._host, f"certificate does not name {name}", False
            )
            self._callbacks.on_error(link_error)
            response = self._websocket.reject(403, "certificate names another VM\n")
        self._websocket.send_response(response)
        if response.status_code == http.HTTPStatus.SWITCHING_PROTOCOLS:
            self._sender = name
            self.setTimeout(IDLE_TIMEOUT_S)

    def _fail(self, detail: str) -> None:
        self._callbacks.on_error(LinkError(self._host, detail, True))
        self._abort()

    def _abort(self) -> None:
        typing.cast(typing.Any, self.transport).abortConnection()


def _is_control(frame: frames.Frame) -> bool:
    return frame.opcode in (
        frames.Opcode.CLOSE,
        frames.Opcode.PING,
        frames.Opcode.PONG,
    )


class LinkServerFactory(protocol.Factory):
    """Accepts connections from trusted networks only."""

    noisy = False

    def __init__(
        self,
        networks: tuple[ipaddress.IPv4Network, ...],
        callbacks: Callbacks,
        secure: bool,
    ) -> None:
        """Create a factory of accepted links.

        Args:
            networks: Networks from which connections are accepted.
            callbacks: Called with each message and error.
            secure: True to check the sender's name against its certificate.
        """
        self._networks = networks
        self._callbacks = callbacks
        self._secure = secure

    def buildProtocol(  # noqa: N802
        self, addr: interfaces.IAddress | None
    ) -> LinkServer | None:
        """Return a protocol for a trusted address, or None to close the connection."""
        host = str(getattr(addr, "host", "0.0.0.0"))
        if not any(
            ipaddress.IPv4Address(host) in network for network in self._networks
        ):
            self._callbacks.on_error(
                LinkError(host, "address is not in [fleet] networks", False)
            )
            return None
        return LinkServer(host, self._callbacks, self._secure)
