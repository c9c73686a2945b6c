"""What does not fit a datagram, over a connection between two VMs."""

import typing
import zlib

from twisted.internet import defer, endpoints, error, protocol
from twisted.protocols import basic, policies

from eelgrasswick import errors
from eelgrasswick.cookie import exchange, model, source

# A configuration of 640 routes is about 110 KB and goes at a tenth of that; the
# thinnest link takes 5 Mbit/s.
TIMEOUT_MS: typing.Final = 1000
MAX_BYTES: typing.Final = 8_000_000
_LEVEL: typing.Final = 3

Answerer = typing.Callable[[int], source.Changes]


class _Server(basic.Int32StringReceiver, policies.TimeoutMixin):
    MAX_LENGTH = 64

    def __init__(self, answerer: Answerer) -> None:
        self._answerer = answerer

    def connectionMade(self) -> None:  # noqa: N802
        self.setTimeout(TIMEOUT_MS / 1000)

    def stringReceived(self, string: bytes) -> None:  # noqa: N802
        if string.isdigit():
            changes = exchange.encode_changes(self._answerer(int(string)))
            self.sendString(zlib.compress(changes, _LEVEL))
        typing.cast(typing.Any, self.transport).loseConnection()

    def connectionLost(self, reason: typing.Any = protocol.connectionDone) -> None:  # noqa: N802
        self.setTimeout(None)


class ServerFactory(protocol.Factory):
    """Answers other VMs with what they lack."""

    noisy = False

    def __init__(self, answerer: Answerer) -> None:
        """Answer with what ``answerer`` returns for a revision."""
        self._answerer = answerer

    def buildProtocol(self, addr: object) -> _Server:  # noqa: N802
        """Return the protocol of a new connection."""
        return _Server(self._answerer)


class _Client(basic.Int32StringReceiver):
    MAX_LENGTH = MAX_BYTES

    def __init__(self, revision: int) -> None:
        self._revision = revision
        self.done: defer.Deferred[bytes] = defer.Deferred(lambda _: self._abort())

    def connectionMade(self) -> None:  # noqa: N802
        self.sendString(str(self._revision).encode())

    def stringReceived(self, string: bytes) -> None:  # noqa: N802
        if not self.done.called:
            self.done.callback(string)
        self._abort()

    def connectionLost(self, reason: typing.Any = protocol.connectionDone) -> None:  # noqa: N802
        if not self.done.called:
            self.done.errback(error.ConnectionLost())

    def _abort(self) -> None:
        typing.cast(typing.Any, self.transport).abortConnection()


async def fetch(
    reactor: typing.Any, address: model.Address, revision: int
) -> source.Changes:
    """Ask a VM for what changed after a revision.

    Raises:
        errors.MessageInvalidError: It sent something else.
        errors.VmSilentError: It did not answer in time.
    """
    client = _Client(revision)
    end = endpoints.TCP4ClientEndpoint(
        reactor, address.host, address.port, timeout=TIMEOUT_MS / 1000
    )
    try:
        await endpoints.connectProtocol(end, client)
        content = await client.done.addTimeout(TIMEOUT_MS / 1000, reactor)
    except (
        error.ConnectError,
        error.ConnectionClosed,
        defer.TimeoutError,
        defer.CancelledError,
    ) as fault:
        raise errors.VmSilentError(f"{address.host}: {type(fault).__name__}") from fault
    return exchange.decode_changes(_inflate(content))


def _inflate(content: bytes) -> bytes:
    inflater = zlib.decompressobj()
    try:
        plain = inflater.decompress(content, MAX_BYTES)
    except zlib.error as fault:
        raise errors.MessageInvalidError(f"changes: {fault}") from fault
    if inflater.unconsumed_tail:
        raise errors.MessageInvalidError("changes are too long")
    return plain
