"""Limit on the young flows that a target has at once.

Load pattern: more work than the slots can do. A target has 2 or 3 slots but accepts
2,000 connections, so it never sheds. Its queue grows until every answer is late, and
goodput falls to nothing although all slots work.

The limit is derived from lifetimes, as congestion control derives its window from
round-trip times. It starts at ``INITIAL_LIMIT`` and grows by one with each flow that
ends in time or is no longer young, as long-lived flows are soon. When the shortest of
the last ``LIFETIME_SAMPLES`` lifetimes exceeds the base lifetime by ``MAX_QUEUE_MS``,
the limit falls to the number of flows that the target ends in that time (Little's law),
and then grows by one per lifetime until ``RECOVERY_MS`` have passed. Each home derives
its own limits, so they hold without messages however stale the views of other homes
are: when a VM joins, dies or is cut off, lifetimes change and the limits follow. Using
the shortest lifetime leaves long-lived flows and downloads out.

Lifetimes also differ because requests differ. A lifetime counts as late only when it
exceeds the base by ``MAX_QUEUE_MS`` and by ``DEVIATION_FACTOR`` times the usual
difference between two flows that ended one after the other. That difference is the
median of the last ``DIFFERENCE_SAMPLES``, once there are ``MIN_DIFFERENCES``; with
fewer, a queue that builds up could be mistaken for it. Without this allowance, targets
that answer at once would have most of their flows refused.

``LIFETIME_SAMPLES`` is small because a home has few flows a second on a weak target.
``INITIAL_LIMIT`` weighs a burst of requests against a burst of long-lived flows, which
look alike until some have ended: with a lower limit, long-lived flows that open at once
are refused; with a higher one, more answers are late.
"""

import collections
import statistics
import typing

LIFETIME_SAMPLES: typing.Final = 4
DIFFERENCE_SAMPLES: typing.Final = 32
MIN_DIFFERENCES: typing.Final = 16
DEVIATION_FACTOR: typing.Final = 2
MAX_QUEUE_MS: typing.Final = 100
INITIAL_LIMIT: typing.Final = 4.0
RECOVERY_MS: typing.Final = 3000
BASE_RISE_PER_S: typing.Final = 0.005


class _Lifetime(typing.NamedTuple):
    at_ms: int
    life_ms: int


class _Limit:
    __slots__ = (
        "base_ms",
        "reduced_ms",
        "base_updated_ms",
        "lifetimes",
        "limit",
        "differences_ms",
    )

    def __init__(self) -> None:
        self.lifetimes: collections.deque[_Lifetime] = collections.deque(
            maxlen=LIFETIME_SAMPLES
        )
        self.differences_ms: collections.deque[int] = collections.deque(
            maxlen=DIFFERENCE_SAMPLES
        )
        self.base_ms = 0.0
        self.limit = INITIAL_LIMIT
        self.reduced_ms = -RECOVERY_MS
        self.base_updated_ms = 0


class ConcurrencyLimits:
    """The concurrency limit of each target at one home."""

    def __init__(self) -> None:
        """Create a table in which every target has the initial limit."""
        self._limits: dict[str, _Limit] = {}

    def room(self, name: str, busy: int) -> bool:
        """Return whether a target may get one more flow.

        Args:
            name: The target.
            busy: Young flows that this home has on it.
        """
        return busy + 1 <= self.limit(name)

    def limit(self, name: str) -> float:
        """Return the limit of a target on its young flows."""
        record = self._limits.get(name)
        return record.limit if record is not None else INITIAL_LIMIT

    def ended(self, now_ms: int, name: str, life_ms: int, busy: int) -> None:
        """Update the limit from a flow that ended.

        Args:
            now_ms: Present time in milliseconds.
            name: Its target.
            life_ms: Time from its first packet to its last.
            busy: Young flows left on the target.
        """
        record = self._limits.setdefault(name, _Limit())
        if record.lifetimes:
            record.differences_ms.append(abs(life_ms - record.lifetimes[-1].life_ms))
        record.lifetimes.append(_Lifetime(now_ms, life_ms))
        if len(record.lifetimes) < LIFETIME_SAMPLES:
            return
        shortest_ms = min(item.life_ms for item in record.lifetimes)
        _update_base(record, now_ms, shortest_ms)
        if shortest_ms > _late_after_ms(record):
            _reduce(record, now_ms)
        elif busy + 2 > record.limit:
            record.limit += 1.0 if _recovered(record, now_ms) else 1.0 / record.limit

    def aged(self, now_ms: int, name: str) -> None:
        """Update the limit from a flow that is no longer young.

        Many long-lived flows can open at once, and none of them ends for hours. Without
        this update the limit would stay at its initial value and most would be refused.
        """
        record = self._limits.setdefault(name, _Limit())
        if _recovered(record, now_ms):
            record.limit += 1.0


def _recovered(record: _Limit, now_ms: int) -> bool:
    return now_ms - record.reduced_ms > RECOVERY_MS


def _late_after_ms(record: _Limit) -> float:
    # Lifetimes also differ because requests do. If that were treated as a queue, most
    # callers of an idle target would be refused. The length of a queue changes slowly,
    # so two flows that end one after the other have waited for about the same time, and
    # the difference of their lifetimes is due to the requests.
    enough = len(record.differences_ms) >= MIN_DIFFERENCES
    usual_ms = statistics.median(record.differences_ms) if enough else 0.0
    return record.base_ms + MAX_QUEUE_MS + DEVIATION_FACTOR * usual_ms


def _update_base(record: _Limit, now_ms: int, shortest_ms: int) -> None:
    # The base lifetime rises slowly. If it rose fast, an overload of seconds would
    # become the measure of what is normal, and the limit would follow the queue
    # upwards.
    elapsed_s = (now_ms - record.base_updated_ms) / 1000
    risen_ms = record.base_ms * (1 + BASE_RISE_PER_S * elapsed_s)
    record.base_ms = min(risen_ms, shortest_ms) if record.base_ms else shortest_ms
    record.base_updated_ms = now_ms


def _reduce(record: _Limit, now_ms: int) -> None:
    span_ms = max(1, now_ms - record.lifetimes[0].at_ms)
    per_ms = (LIFETIME_SAMPLES - 1) / span_ms
    sustained = per_ms * _late_after_ms(record)
    record.limit = max(1.0, min(record.limit, sustained))
    record.reduced_ms = now_ms
