"""UDP sockets of an entry VM."""

import typing

from twisted.internet import error, protocol

from eelgrasswick.cookie import model

Receive = typing.Callable[[bytes, str], None]
Failed = typing.Callable[[str, Exception], None]


class Port(protocol.DatagramProtocol):
    """Passes datagrams on with the sender's IP address, and sends others."""

    def __init__(self, receive: Receive, failed: Failed) -> None:
        """Report datagrams, and those that could not be sent."""
        self._receive = receive
        self._failed = failed

    def datagramReceived(self, datagram: bytes, addr: tuple[str, int]) -> None:  # noqa: N802
        """Take a datagram from the reactor."""
        self._receive(datagram, addr[0])

    def send(self, datagram: bytes, address: model.Address) -> None:
        """Send a datagram; one that can't be sent is lost, like any other."""
        try:
            typing.cast(typing.Any, self.transport).write(datagram, address)
        except (OSError, error.MessageLengthError) as failure:
            self._failed(address.host, failure)
