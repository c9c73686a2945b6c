"""Links between VMs: WebSocket connections that carry CBOR messages.

The protocol is websockets' sans-I/O one, on Twisted's transports. A link
carries messages one way, from the VM that opened it. This module is the
accepting end; ``link_pool`` is the opening one.
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
TCP_USER_TIMEOUT_MS: typing.Final = 5000
PATH_PREFIX: typing.Final = "/link/"


class ReceivedMessage(typing.NamedTuple):
    """A message that came over a link.

    Attributes:
        sender: Name that the opener of the link claims.
        host: IPv4 address from which the link was opened.
        payload: Encoded peer message.
    """

    sender: str
    host: str
    payload: bytes


class LinkError(typing.NamedTuple):
    """Why a link was refused or ended.

    Attributes:
        host: IPv4 address of the other end.
        detail: What was wrong.
        known: False when the other end may not speak at all.
    """

    host: str
    detail: str
    authorized: bool


class Callbacks(typing.NamedTuple):
    """Who is told what happens on accepted links."""

    on_message: typing.Callable[[ReceivedMessage], None]
    on_error: typing.Callable[[LinkError], None]


def write_chunks(transport: typing.Any, chunks: list[bytes]) -> None:
    """Write what websockets wants sent; an empty chunk ends the connection."""
    for data in chunks:
        if data:
            transport.write(data)
        else:
            transport.loseConnection()


def set_tcp_user_timeout(transport: typing.Any) -> None:
    """Have the kernel end a connection whose data is not acknowledged.

    In a network partition a connection stays open, and the kernel retries more
    and more rarely, up to two minutes apart. After the cut has healed, changes
    of configuration and handovers would wait for the next retry. With the bound
    the connection ends during the cut, and the next message opens another.
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

    def __init__(self, host: str, listener: Callbacks, secure: bool) -> None:
        """Pass messages from ``host`` on; ``secure`` checks the certificate."""
        self._host = host
        self._listener = listener
        self._secure = secure
        self._sender = ""
        self._socket = server.ServerProtocol(max_size=wire.MAX_LINK_BYTES)

    def connectionMade(self) -> None:  # noqa: N802
        """Bound how long the handshake may take."""
        # Whoever connects and says nothing would hold a descriptor for good;
        # with enough of them the VM could take no link any more.
        self.setTimeout(HANDSHAKE_TIMEOUT_S)

    def timeoutConnection(self) -> None:  # noqa: N802
        """End a link that is silent for too long."""
        self._abort()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Take bytes from the transport."""
        if self._sender:
            self.resetTimeout()
        self._socket.receive_data(data)
        for event in self._socket.events_received():
            self._event(event)
        fault = self._socket.parser_exc or self._socket.handshake_exc
        if fault is not None:
            self._fail(str(fault))
            return
        write_chunks(self.transport, self._socket.data_to_send())

    def connectionLost(self, reason: failure.Failure = protocol.connectionDone) -> None:  # noqa: N802
        """Note the end of the connection, and a TLS handshake that failed."""
        self.setTimeout(None)
        ended = (error.ConnectionDone, error.ConnectionLost, error.ConnectionAborted)
        if not reason.check(*ended):
            detail = f"{type(reason.value).__name__}: {reason.value}"
            self._listener.on_error(LinkError(self._host, detail, False))

    def _event(self, event: object) -> None:
        if isinstance(event, http11.Request):
            self._open(event)
        elif isinstance(event, frames.Frame) and not _is_control(event):
            self._frame(event)

    def _frame(self, frame: frames.Frame) -> None:
        if frame.opcode is frames.Opcode.BINARY and frame.fin:
            arrival = ReceivedMessage(self._sender, self._host, bytes(frame.data))
            self._listener.on_message(arrival)
        else:
            # Our own client sends whole binary messages only.
            self._socket.fail(frames.CloseCode.UNSUPPORTED_DATA, "not whole binary")
            self._listener.on_error(LinkError(self._host, "not a binary message", True))

    def _open(self, request: http11.Request) -> None:
        response = self._socket.accept(request)
        name = request.path.removeprefix(PATH_PREFIX)
        if not request.path.startswith(PATH_PREFIX) or not name:
            response = self._socket.reject(404, "no such path\n")
        elif self._secure and name not in tls.peer_dns_names(self.transport):
            # Any holder of a certificate could otherwise speak as any VM.
            fault = LinkError(self._host, f"certificate does not name {name}", False)
            self._listener.on_error(fault)
            response = self._socket.reject(403, "certificate names another VM\n")
        self._socket.send_response(response)
        if response.status_code == http.HTTPStatus.SWITCHING_PROTOCOLS:
            self._sender = name
            self.setTimeout(IDLE_TIMEOUT_S)

    def _fail(self, detail: str) -> None:
        self._listener.on_error(LinkError(self._host, detail, True))
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
    """Accepts links from trusted networks only."""

    noisy = False

    def __init__(
        self,
        networks: tuple[ipaddress.IPv4Network, ...],
        listener: Callbacks,
        secure: bool,
    ) -> None:
        """Trust addresses in ``networks``."""
        self._networks = networks
        self._listener = listener
        self._secure = secure

    def buildProtocol(  # noqa: N802
        self, addr: interfaces.IAddress | None
    ) -> LinkServer | None:
        """Return a protocol for a trusted address; others are cut off."""
        host = str(getattr(addr, "host", "0.0.0.0"))
        if not any(ipaddress.IPv4Address(host) in item for item in self._networks):
            self._listener.on_error(LinkError(host, "not in [fleet] networks", False))
            return None
        return LinkServer(host, self._listener, self._secure)
