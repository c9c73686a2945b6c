"""Probes targets by TCP connections, to distinguish dead targets from slow ones."""

import enum
import typing

from twisted.internet import defer, endpoints, error, protocol, task

from eelgrasswick.cookie import clock, model

# A live target accepts within a round trip of a few milliseconds. Two connections are
# attempted in parallel, because one opening packet may be lost.
TIMEOUT_MS: typing.Final = 250
PARALLEL_ATTEMPTS: typing.Final = 2


class Outcome(enum.Enum):
    """Outcome of a connection attempt."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    NO_ANSWER = "no_answer"


class Result(typing.NamedTuple):
    """The result of a probe.

    Attributes:
        outcome: What the target answered.
        took_ms: Time until the answer, or until the time-out.
    """

    outcome: Outcome
    took_ms: int

    @property
    def accepted(self) -> bool:
        """True when a process accepts connections."""
        return self.outcome is Outcome.ACCEPTED


class _ProbeProtocol(protocol.Protocol):
    def connectionMade(self) -> None:  # noqa: N802
        typing.cast(typing.Any, self.transport).abortConnection()


# `wait_for_zone_answer` checks for an answer at this interval. The refusal of a
# connection arrives within a millisecond, and may come from a cut that refuses
# connections unless another target of the zone answers.
WAIT_STEP_MS: typing.Final = 25


async def connect(reactor: typing.Any, address: model.Address) -> Result:
    """Return whether a process accepts connections at an address, and how fast."""
    begun_ms = clock.now_ms()
    attempts = [
        defer.ensureDeferred(_attempt(reactor, address))
        for _ in range(PARALLEL_ATTEMPTS)
    ]
    outcomes = [await item for item in attempts]
    took_ms = clock.now_ms() - begun_ms
    for outcome in (Outcome.ACCEPTED, Outcome.REFUSED):
        if outcome in outcomes:
            return Result(outcome, took_ms)
    return Result(Outcome.NO_ANSWER, took_ms)


async def wait_for_zone_answer(
    reactor: typing.Any, answered: typing.Callable[[], bool]
) -> None:
    """Wait until another target of the zone has answered, for at most `TIMEOUT_MS`.

    Args:
        reactor: Twisted reactor.
        answered: Returns True when one has answered since the probe began.
    """
    for _ in range(TIMEOUT_MS // WAIT_STEP_MS):
        if answered():
            return
        await task.deferLater(reactor, WAIT_STEP_MS / 1000, _nothing)


def _nothing() -> None:
    """Do nothing, because only the delay is needed."""


async def _attempt(reactor: typing.Any, address: model.Address) -> Outcome:
    endpoint = endpoints.TCP4ClientEndpoint(
        reactor, address.host, address.port, timeout=TIMEOUT_MS / 1000
    )
    try:
        await endpoints.connectProtocol(endpoint, _ProbeProtocol())
    except error.ConnectionRefusedError:
        return Outcome.REFUSED
    except error.ConnectError:
        return Outcome.NO_ANSWER
    return Outcome.ACCEPTED
