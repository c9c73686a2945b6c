"""Tests of the limit of requests in flight, with a target that is played in steps."""

import collections
import heapq
import itertools
import random
import typing

import pytest

from eelgrasswick.decisions import target_limit

COOKIE = 7
# Transit to the target and back, the caller's acknowledgement and the report of the
# end: a request counts as in flight meanwhile, without using a slot.
SHORT_OVERHEAD_MS = 5
USUAL_OVERHEAD_MS = 34
RECORD_MS = 20
# A target queues so many requests and rejects further ones.
TARGET_QUEUE = 8


class PlayedTarget:
    """A target with slots and a queue, whose scheduler keeps its limit filled."""

    def __init__(
        self,
        slots: int,
        work_ms: float,
        seed: int,
        long_share: float = 0.0,
        overhead_ms: float = SHORT_OVERHEAD_MS,
    ) -> None:
        """Create an idle target; a ``long_share`` of requests takes 7 times as long."""
        self.limits = target_limit.TargetLimits()
        self.changes: list[target_limit.LimitChange] = []
        self.served = 0
        self.seen: collections.Counter[int] = collections.Counter()
        self.foreign = 0
        self._slots, self._work_ms, self._long_share = slots, work_ms, long_share
        self._overhead_ms = overhead_ms
        self._random = random.Random(seed)
        self._events: list[tuple[float, int, str, int]] = []
        self._numbers = itertools.count()
        self._queue: collections.deque[int] = collections.deque()
        self._working = self._in_flight = self._now_ms = 0
        self._counts = [0, 0, 0]

    def play(self, duration_ms: int, stated: int, load: float = 9.0) -> None:
        """Play arrivals at ``load`` times the capacity; the limit admits them."""
        chance = load * self._slots / self._work_ms
        for _ in range(duration_ms):
            self._now_ms += 1
            wanted = int(chance) + (self._random.random() < chance % 1)
            for _ in range(wanted):
                if self._in_flight < self.limits.limit(COOKIE, stated):
                    self._in_flight += 1
                    at_ms = self._now_ms + self._overhead_ms / 2
                    self._push(at_ms, "arrive", self._now_ms)
            self._step()
            if self._now_ms % RECORD_MS == 0:
                self._record(stated)

    def _push(self, at_ms: float, kind: str, since_ms: int) -> None:
        heapq.heappush(self._events, (at_ms, next(self._numbers), kind, since_ms))

    def _step(self) -> None:
        while self._events and self._events[0][0] <= self._now_ms:
            at_ms, _, kind, since_ms = heapq.heappop(self._events)
            if kind == "arrive" and len(self._queue) + self.foreign >= TARGET_QUEUE:
                self._counts[2] += 1
                self._in_flight -= 1
            elif kind == "arrive":
                self._queue.append(since_ms)
            elif kind == "finish":
                self._working -= 1
                self._push(at_ms + self._overhead_ms / 2, "respond", since_ms)
            else:
                self._in_flight -= 1
                self.served += 1
                self._counts[0] += 1
                self._counts[1] += self._now_ms - since_ms
            while self._queue and self._working < self._slots:
                self._working += 1
                work_ms = self._work_ms * self._random.uniform(0.6, 1.4)
                if self._random.random() < self._long_share:
                    work_ms *= 7
                self._push(at_ms + work_ms, "finish", self._queue.popleft())

    def _record(self, stated: int) -> None:
        completed, busy_ms, rejected = self._counts
        self._counts = [0, 0, 0]
        change = self.limits.record(
            self._now_ms, COOKIE, stated, self._in_flight, completed, busy_ms, rejected
        )
        if change is not None:
            self.changes.append(change)
        self.seen[self.limits.limit(COOKIE, stated)] += 1


def record_windows(
    limits: target_limit.TargetLimits,
    residence_ms: typing.Sequence[int],
    demand: int = 2,
    slots: int = 2,
) -> list[target_limit.LimitChange]:
    """Record one window of 20 responses, 500 ms long, for each residence time.

    Up to ``demand`` requests are in flight, as far as the limit admits them.
    """
    changes = []
    for index, each_ms in enumerate(residence_ms):
        count, busy_ms = min(demand, limits.limit(COOKIE, slots)), 20 * each_ms
        limits.record(index * 500, COOKIE, slots, count, 0, 0, 0)
        now_ms = (index + 1) * 500
        change = limits.record(now_ms, COOKIE, slots, count, 20, busy_ms, 0)
        changes += [change] if change else []
    return changes


def test_limit_starts_with_twice_the_slots_and_one() -> None:
    """Guards against slots that idle while requests are in transit or not reported."""
    limits = target_limit.TargetLimits()
    assert limits.limit(COOKIE, 1) == 3
    assert limits.limit(COOKIE, 2) == 5
    assert limits.limit(COOKIE, 0) == 4
    assert limits.mean_ms(COOKIE) is None


def test_saturated_target_is_kept_busy_without_a_long_queue() -> None:
    """Guards against a limit that idles slots or moves the queue to the target."""
    for seed in range(3):
        target = PlayedTarget(2, 34, seed, overhead_ms=USUAL_OVERHEAD_MS)
        target.play(60_000, stated=2)
        assert target.served >= 0.95 * 60_000 * 2 / 34
        assert max(target.seen) <= 5
        mean_ms = target.limits.mean_ms(COOKIE)
        assert mean_ms is not None
        assert mean_ms - USUAL_OVERHEAD_MS <= 2 * 34


def test_limit_falls_when_a_queue_forms_at_a_target_that_was_seen_idle() -> None:
    """Guards against a start value that keeps a queue at a target with short transit.

    With hardly any transit, five requests in flight are two working and three queued.
    """
    for seed in range(3):
        target = PlayedTarget(2, 34, seed)
        target.play(10_000, stated=2, load=0.3)
        assert target.limits.limit(COOKIE, 2) == 5
        target.play(5000, stated=2)
        assert target.limits.limit(COOKIE, 2) == 4
        before = target.served
        target.play(55_000, stated=2)
        assert target.limits.limit(COOKIE, 2) == 4
        assert target.served - before >= 0.95 * 55_000 * 2 / 34


def test_rising_load_does_not_raise_the_limit_far() -> None:
    """Guards against a limit that follows the load although all slots are busy."""
    for seed in range(3):
        target = PlayedTarget(2, 34, seed)
        for load in (0.3, 0.5, 0.7, 0.9, 1.1, 1.3):
            target.play(15_000, stated=2, load=load)
        assert max(target.seen) <= 5


def test_target_with_more_slots_than_stated_gets_a_higher_limit() -> None:
    """Guards against a limit that stays where throughput still rises with it."""
    target = PlayedTarget(6, 34, seed=1)
    target.play(10_000, stated=2, load=0.1)
    target.play(40_000, stated=2)
    assert target.limits.limit(COOKIE, 2) >= 6
    assert max(target.seen) <= 3 * 2 + 2


def test_limit_of_unknown_slots_rises_to_its_bound() -> None:
    """Guards against a large target that is held at the limit of a small one."""
    target = PlayedTarget(16, 34, seed=1)
    target.play(40_000, stated=0)
    assert target.limits.limit(COOKIE, 0) == 14


def test_long_tail_of_work_keeps_the_limit() -> None:
    """Guards against a healthy target that is limited because 3% of work is long."""
    for seed in range(5):
        target = PlayedTarget(2, 34, seed, long_share=0.03)
        target.play(60_000, stated=2)
        lowered = sum(count for limit, count in target.seen.items() if limit < 5)
        assert lowered <= 0.02 * sum(target.seen.values())
        assert max(target.seen) <= 5


def test_limits_of_unequal_targets_keep_each_busy() -> None:
    """Guards against slow targets that look overloaded beside fast ones."""
    for factor in (0.7, 1.7):
        work_ms = 34 / factor
        target = PlayedTarget(2, work_ms, seed=2, overhead_ms=work_ms)
        target.play(60_000, stated=2)
        assert target.served >= 0.93 * 60_000 * 2 / work_ms
        mean_ms = target.limits.mean_ms(COOKIE)
        assert mean_ms is not None
        assert work_ms <= mean_ms - work_ms <= 2.2 * work_ms


@pytest.mark.parametrize(
    ("slots", "limits_before"), [(1, (3,)), (2, (5,)), (4, (9,)), (0, (4, 3, 2))]
)
def test_rejection_lowers_the_limit_at_once_and_never_below_twice_the_slots(
    slots: int, limits_before: tuple[int, ...]
) -> None:
    """Guards against a target that rejects request after request, or gets too few."""
    limits = target_limit.TargetLimits()
    for step, before in enumerate(limits_before):
        change = limits.record(1000 * step, COOKIE, slots, before, 0, 0, 1)
        assert change is not None
        assert (change.before, change.after) == (before, before - 1)
        assert change.reason is target_limit.Reason.REJECTION
        at_ms = 1000 * step + 1
        assert limits.record(at_ms, COOKIE, slots, before - 1, 0, 0, 0) is None
    lowest = max(1, 2 * slots)
    assert limits.record(4000, COOKIE, slots, lowest, 0, 0, 5) is None
    assert limits.limit(COOKIE, slots) == lowest


def test_rejection_above_the_limit_keeps_it() -> None:
    """Guards against a limit that falls because other flows filled the target."""
    limits = target_limit.TargetLimits()
    assert limits.record(0, COOKIE, 2, 6, 0, 0, 1) is None
    assert limits.limit(COOKIE, 2) == 5
    assert limits.record(1, COOKIE, 2, 5, 0, 0, 0) is None
    change = limits.record(2, COOKIE, 2, 5, 0, 0, 1)
    assert change is not None
    assert (change.before, change.after) == (5, 4)


def test_rejection_counts_with_the_requests_in_flight_when_it_occurred() -> None:
    """Guards against a limit that falls because a report also ends the rejected ones.

    Seven requests were in flight when the target rejected two of them.
    """
    limits = target_limit.TargetLimits()
    limits.record(0, COOKIE, 2, 7, 0, 0, 0)
    assert limits.record(5, COOKIE, 2, 5, 0, 0, 2) is None
    assert limits.limit(COOKIE, 2) == 5


def test_rejections_of_one_burst_lower_the_limit_once() -> None:
    """Guards against a limit that collapses when several VMs report one burst."""
    limits = target_limit.TargetLimits()
    for now_ms in (0, 10, 20, 90):
        limits.record(now_ms, COOKIE, 0, 4, 0, 0, 1)
    assert limits.limit(COOKIE, 0) == 3
    limits.record(95, COOKIE, 0, 3, 0, 0, 0)
    limits.record(99, COOKIE, 0, 3, 0, 0, 1)
    assert limits.limit(COOKIE, 0) == 3
    limits.record(100, COOKIE, 0, 3, 0, 0, 1)
    assert limits.limit(COOKIE, 0) == 2


def test_limit_recovers_after_rejections_end() -> None:
    """Guards against a target that stays 87% busy after one rejection."""
    for seed in range(4):
        target = PlayedTarget(2, 34, seed, overhead_ms=USUAL_OVERHEAD_MS)
        target.play(10_000, stated=2)
        target.foreign = TARGET_QUEUE
        target.play(500, stated=2)
        assert target.limits.limit(COOKIE, 2) == 4
        target.foreign = 0
        target.play(20_000, stated=2)
        assert 5 <= target.limits.limit(COOKIE, 2) <= 6
        before = target.served
        target.play(20_000, stated=2)
        assert target.served - before >= 0.95 * 20_000 * 2 / 34


def test_rejections_leave_the_limit_that_a_short_transit_needs() -> None:
    """Guards against a limit that rises above the need after rejections."""
    for seed in range(4):
        target = PlayedTarget(2, 34, seed)
        target.play(10_000, stated=2)
        target.foreign = TARGET_QUEUE
        target.play(500, stated=2)
        assert target.limits.limit(COOKIE, 2) == 4
        target.foreign = 0
        target.play(20_000, stated=2)
        assert target.limits.limit(COOKIE, 2) == 4


def test_one_slow_window_keeps_the_limit_and_two_lower_it() -> None:
    """Guards against a limit that follows noise, or ignores a queue at the target."""
    assert record_windows(target_limit.TargetLimits(), [40, 40, 100, 40, 100]) == []
    changes = record_windows(target_limit.TargetLimits(), [40, 40, 100, 100])
    assert [item.reason for item in changes] == [target_limit.Reason.RESIDENCE]
    assert (changes[0].before, changes[0].after) == (5, 4)


def test_target_whose_work_became_longer_is_limited_for_a_while_only() -> None:
    """Guards against a shortest residence time from before the work changed."""
    slower, faster = target_limit.Reason.RESIDENCE, target_limit.Reason.THROUGHPUT
    work_ms = [40] * 4 + [100] * 200
    for demand, highest in ((3, 4), (4, 5), (5, 6)):
        changes = record_windows(target_limit.TargetLimits(), work_ms, demand)
        raised = [(faster, limit) for limit in range(5, highest + 1)]
        assert [(item.reason, item.after) for item in changes] == [(slower, 4), *raised]
    # Unknown slots have no minimum above 1, so that their limit falls further.
    limits = target_limit.TargetLimits()
    changes = record_windows(limits, work_ms, slots=0)
    lowered = [(slower, 3), (slower, 2), (slower, 1)]
    raised = [(faster, 2), (faster, 3)]
    assert [(item.reason, item.after) for item in changes] == lowered + raised


def test_few_responses_change_nothing() -> None:
    """Guards against limits that follow single responses of an idle target."""
    limits = target_limit.TargetLimits()
    record_windows(limits, [40, 40])
    for now_ms in range(1000, 20_000, 2000):
        assert limits.record(now_ms, COOKIE, 2, 3, 1, 900, 0) is None


def test_removed_target_is_forgotten() -> None:
    """Guards against state that stays for targets that are gone."""
    limits = target_limit.TargetLimits()
    limits.record(0, COOKIE, 2, 5, 0, 0, 1)
    limits.retain({COOKIE})
    assert limits.limit(COOKIE, 2) == 4
    limits.retain(set())
    assert limits.limit(COOKIE, 2) == 5
