"""UDP sockets of an entry VM."""

import typing

from twisted.internet import error, protocol

from eelgrasswick.cookie import model

OnDatagram = typing.Callable[[bytes, str], None]
OnUnsent = typing.Callable[[str, Exception], None]


class Port(protocol.DatagramProtocol):
    """Passes received datagrams to a callback, and sends datagrams."""

    def __init__(self, on_datagram: OnDatagram, on_unsent: OnUnsent) -> None:
        """Create a port for the reactor to listen on.

        Args:
            on_datagram: Called with each datagram and its sender's IP address.
            on_unsent: Called with the host and the error when sending fails.
        """
        self._on_datagram = on_datagram
        self._on_unsent = on_unsent

    def datagramReceived(self, datagram: bytes, addr: tuple[str, int]) -> None:  # noqa: N802
        """Pass a datagram from the reactor to the callback."""
        self._on_datagram(datagram, addr[0])

    def send(self, datagram: bytes, address: model.Address) -> None:
        """Send a datagram; if sending fails, report the error and drop the datagram."""
        try:
            typing.cast(typing.Any, self.transport).write(datagram, address)
        except (
            OSError,
            error.MessageLengthError,
            error.InvalidAddressError,
        ) as failure:
            self._on_unsent(address.host, failure)
