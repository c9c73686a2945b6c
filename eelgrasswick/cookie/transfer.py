"""Transfer, over a TCP connection between two VMs, of rows too large for a datagram."""

import typing

from twisted.internet import defer, endpoints, error, protocol
from twisted.protocols import basic, policies

from eelgrasswick import errors
from eelgrasswick.cookie import model, offer

# A configuration of 640 routes takes about 110 KB, and a tenth of that compressed.
# The slowest link carries 5 Mbit/s.
TIMEOUT_MS: typing.Final = 1000


class _Server(basic.Int32StringReceiver, policies.TimeoutMixin):
    MAX_LENGTH = 64

    def __init__(self, offers: offer.OfferEncoder) -> None:
        self._offers = offers

    def connectionMade(self) -> None:  # noqa: N802
        self.setTimeout(TIMEOUT_MS / 1000)

    def stringReceived(self, string: bytes) -> None:  # noqa: N802
        if string.isdigit():
            for item in self._offers.encode(int(string)):
                self.sendString(item)
        typing.cast(typing.Any, self.transport).loseConnection()

    def connectionLost(self, reason: typing.Any = protocol.connectionDone) -> None:  # noqa: N802
        self.setTimeout(None)


class ServerFactory(protocol.Factory):
    """Serves other VMs the rows that they lack."""

    noisy = False

    def __init__(self, offers: offer.OfferEncoder) -> None:
        """Create a factory whose protocols serve the offers of an encoder."""
        self._offers = offers

    def buildProtocol(self, addr: object) -> _Server:  # noqa: N802
        """Create the protocol of a new connection."""
        return _Server(self._offers)


class _Client(basic.Int32StringReceiver):
    MAX_LENGTH = offer.MAX_BYTES

    def __init__(self, revision: int) -> None:
        self._revision = revision
        self._strings: list[bytes] = []
        self.done: defer.Deferred[list[bytes]] = defer.Deferred(lambda _: self._abort())

    def connectionMade(self) -> None:  # noqa: N802
        self.sendString(str(self._revision).encode())

    def stringReceived(self, string: bytes) -> None:  # noqa: N802
        self._strings.append(string)
        if len(self._strings) < offer.STRING_COUNT:
            return
        if not self.done.called:
            self.done.callback(self._strings)
        self._abort()

    def connectionLost(self, reason: typing.Any = protocol.connectionDone) -> None:  # noqa: N802
        if not self.done.called:
            self.done.errback(error.ConnectionLost())

    def _abort(self) -> None:
        typing.cast(typing.Any, self.transport).abortConnection()


async def fetch(
    reactor: typing.Any, address: model.Address, revision: int
) -> offer.Offer:
    """Request from a VM the rows that changed after a revision.

    Raises:
        errors.MessageInvalidError: The VM sent an invalid response.
        errors.VmSilentError: The VM did not respond in time.
    """
    client = _Client(revision)
    end = endpoints.TCP4ClientEndpoint(
        reactor, address.host, address.port, timeout=TIMEOUT_MS / 1000
    )
    try:
        await endpoints.connectProtocol(end, client)
        strings = await client.done.addTimeout(TIMEOUT_MS / 1000, reactor)
    except (
        error.ConnectError,
        error.ConnectionClosed,
        defer.TimeoutError,
        defer.CancelledError,
    ) as fault:
        raise errors.VmSilentError(f"{address.host}: {type(fault).__name__}") from fault
    return offer.decode(*strings)
