"""Asks a target for a TCP connection, to tell a dead one from a slow one."""

import typing

from twisted.internet import defer, endpoints, error, protocol, task

from eelgrasswick.cookie import model

# A live target accepts within a round trip, a few milliseconds; two tries side
# by side, as one opening packet may be lost.
TIMEOUT_MS: typing.Final = 250
PARALLEL_ATTEMPTS: typing.Final = 2


class _Knock(protocol.Protocol):
    def connectionMade(self) -> None:  # noqa: N802
        typing.cast(typing.Any, self.transport).abortConnection()


# A refused connection is back within a millisecond. Until a neighbour has answered
# too, it may as well be a cut that refuses; that is waited for in such steps.
WAIT_STEP_MS: typing.Final = 25


async def accepts(reactor: typing.Any, address: model.Address) -> bool:
    """Tell whether something accepts connections at an address."""
    tries = [
        defer.ensureDeferred(_try(reactor, address)) for _ in range(PARALLEL_ATTEMPTS)
    ]
    return any([await item for item in tries])


async def wait_for_zone_answer(
    reactor: typing.Any, known: typing.Callable[[], bool]
) -> None:
    """Wait until a neighbour has answered, or as long as a probe takes at most.

    Args:
        reactor: Twisted reactor.
        known: Tells whether one has answered since the probe began.
    """
    for _ in range(TIMEOUT_MS // WAIT_STEP_MS):
        if known():
            return
        await task.deferLater(reactor, WAIT_STEP_MS / 1000, _nothing)


def _nothing() -> None:
    """Do nothing; only the time counts."""


async def _try(reactor: typing.Any, address: model.Address) -> bool:
    end = endpoints.TCP4ClientEndpoint(
        reactor, address.host, address.port, timeout=TIMEOUT_MS / 1000
    )
    try:
        await endpoints.connectProtocol(end, _Knock())
    except error.ConnectError:
        return False
    return True
