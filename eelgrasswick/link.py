"""Links between VMs: WebSocket connections that carry CBOR messages.

The protocol is websockets' sans-I/O one, on Twisted's transports. A link
carries messages one way, from the VM that opened it.
"""

import collections
import ipaddress
import typing

from twisted.internet import endpoints, interfaces, protocol
from twisted.python import failure
from websockets import client, exceptions, frames, http11, server, uri

from eelgrasswick import packet, wire

MAX_QUEUED: typing.Final = 256
IDLE_S: typing.Final = 60.0
CONNECT_S: typing.Final = 1.0
_PATH: typing.Final = "/link/"

Receiver = typing.Callable[[str, bytes], None]


def _write(transport: typing.Any, chunks: list[bytes]) -> None:
    for data in chunks:
        if data:
            transport.write(data)
        else:
            transport.loseConnection()


class LinkServer(protocol.Protocol):
    """The accepting end of one link."""

    def __init__(self, receiver: Receiver) -> None:
        """Pass each message to ``receiver`` with the sender's name."""
        self._receiver = receiver
        self._sender = ""
        self._socket = server.ServerProtocol(max_size=wire.MAX_LINK_BYTES)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Take bytes from the transport."""
        self._socket.receive_data(data)
        for event in self._socket.events_received():
            self._event(event)
        self._flush()

    def connectionLost(self, reason: failure.Failure = protocol.connectionDone) -> None:  # noqa: N802
        """Note the end of the connection."""
        self._socket.receive_eof()

    def _event(self, event: object) -> None:
        if isinstance(event, http11.Request):
            self._open(event)
        elif isinstance(event, frames.Frame) and event.opcode is frames.Opcode.BINARY:
            if event.fin:
                self._receiver(self._sender, bytes(event.data))
            else:
                self._socket.fail(frames.CloseCode.UNSUPPORTED_DATA, "fragmented")

    def _open(self, request: http11.Request) -> None:
        response = self._socket.accept(request)
        if request.path.startswith(_PATH):
            self._sender = request.path.removeprefix(_PATH)
        else:
            response = self._socket.reject(404, "no such path\n")
        self._socket.send_response(response)

    def _flush(self) -> None:
        _write(self.transport, self._socket.data_to_send())


class LinkServerFactory(protocol.Factory):
    """Accepts links from trusted networks only."""

    def __init__(
        self, networks: tuple[ipaddress.IPv4Network, ...], receiver: Receiver
    ) -> None:
        """Trust addresses in ``networks``."""
        self._networks = networks
        self._receiver = receiver

    def buildProtocol(  # noqa: N802
        self, addr: interfaces.IAddress | None
    ) -> LinkServer | None:
        """Return a protocol for a trusted address; others are cut off."""
        host = ipaddress.IPv4Address(getattr(addr, "host", "0.0.0.0"))
        if not any(host in network for network in self._networks):
            return None
        return LinkServer(self._receiver)


class LinkClient(protocol.Protocol):
    """The opening end of one link."""

    def __init__(
        self, name: str, address: packet.Address, on_end: typing.Callable[[], None]
    ) -> None:
        """Open as the VM ``name``; call ``on_end`` when the link is over."""
        target = uri.parse_uri(f"ws://{address}{_PATH}{name}")
        self._socket = client.ClientProtocol(target, max_size=1024)
        self._on_end = on_end
        self._waiting: collections.deque[bytes] = collections.deque(maxlen=MAX_QUEUED)
        self._open = False

    def connectionMade(self) -> None:  # noqa: N802
        """Send the opening handshake."""
        self._socket.send_request(self._socket.connect())
        self._flush()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Take bytes from the transport."""
        self._socket.receive_data(data)
        for event in self._socket.events_received():
            if isinstance(event, http11.Response):
                self._opened()
        self._flush()

    def connectionLost(self, reason: failure.Failure = protocol.connectionDone) -> None:  # noqa: N802
        """Tell the owner that the link is over."""
        self._open = False
        self._on_end()

    def send(self, payload: bytes) -> None:
        """Send a message, or keep it until the handshake is done.

        The queue is bounded; when it is full the oldest message goes. Peers
        repeat what matters: pings tell the newest configuration, and a change
        of homes sends exceptions again.
        """
        if not self._open:
            self._waiting.append(payload)
            return
        try:
            self._socket.send_binary(payload)
        except exceptions.InvalidState:
            return
        self._flush()

    def close(self) -> None:
        """End the link."""
        if self.transport is not None:
            typing.cast(typing.Any, self.transport).loseConnection()

    def _opened(self) -> None:
        if self._socket.handshake_exc is not None:
            self.close()
            return
        self._open = True
        while self._waiting:
            self.send(self._waiting.popleft())

    def _flush(self) -> None:
        _write(self.transport, self._socket.data_to_send())


class LinkPool:
    """The links this VM has opened; each opens with its first message."""

    def __init__(self, reactor: typing.Any, name: str, ip: str) -> None:
        """Open links as the VM ``name`` from the address ``ip``."""
        self._reactor = reactor
        self._name = name
        self._ip = ip
        self._links: dict[packet.Address, LinkClient] = {}
        self._used_s: dict[packet.Address, float] = {}

    def send(self, address: packet.Address, payload: bytes) -> None:
        """Send a message to the VM that takes links at an address."""
        self._used_s[address] = self._reactor.seconds()
        link = self._links.get(address)
        if link is None:
            link = self._connect(address)
        link.send(payload)

    def close_idle(self) -> None:
        """Close links that carried nothing for a while."""
        now_s = self._reactor.seconds()
        for address, used_s in list(self._used_s.items()):
            if now_s - used_s > IDLE_S:
                del self._used_s[address]
                link = self._links.pop(address, None)
                if link is not None:
                    link.close()

    def close(self) -> None:
        """Close all links."""
        for link in list(self._links.values()):
            link.close()

    def _connect(self, address: packet.Address) -> LinkClient:
        def ended(*_: object) -> None:
            if self._links.get(address) is link:
                del self._links[address]

        link = LinkClient(self._name, address, ended)
        self._links[address] = link
        host, _, port = str(address).rpartition(":")
        endpoint = endpoints.TCP4ClientEndpoint(
            self._reactor, host, int(port), CONNECT_S, (self._ip, 0)
        )
        endpoints.connectProtocol(endpoint, link).addErrback(ended)
        return link
