"""Tests of the strengths that a home measures from the flows on its targets."""

import typing

from eelgrasswick.decisions import (
    concurrency,
    health,
    ramp,
    retry,
    strength,
)
from eelgrasswick.emulation import work
from tests import test_placement

TARGETS: typing.Final = [test_placement.make_target(name) for name in "abcd"]


def tracker_after(
    lives_ms: dict[str, int], seconds: int = 20
) -> strength.StrengthTracker:
    """Return a tracker after flows of the given lifetimes; negative ones are resets."""
    tracker = strength.StrengthTracker()
    for now_ms in range(0, seconds * 1000, 250):
        for name, life_ms in lives_ms.items():
            tracker.ended(now_ms, name, life_ms, life_ms < 0)
        tracker.tick(now_ms, TARGETS)
    return tracker


def test_equal_targets_keep_their_claimed_weights() -> None:
    """Guards against exceptions because of lifetimes that differ by chance."""
    tracker = tracker_after({"a": 40, "b": 44, "c": 38, "d": 40})
    assert all(tracker.factor(item.name) == 1.0 for item in TARGETS)


def test_slow_target_gets_a_low_factor() -> None:
    """Guards against late answers of a server four times slower than its weight."""
    assert tracker_after({"a": 160, "b": 40, "c": 40, "d": 40}).factor("a") < 0.35


def test_fast_answers_do_not_raise_the_factor() -> None:
    """Guards against a failing target that gets more flows as it answers at once."""
    assert tracker_after({"a": 2, "b": 40, "c": 40, "d": 40}).factor("a") == 1.0


def test_resets_lower_the_factor() -> None:
    """Guards against a target that accepts flows and resets them."""
    assert tracker_after({"a": -1, "b": 40, "c": 40, "d": 40}).factor("a") < 0.3


def test_target_that_ends_no_flow_gets_the_lowest_factor() -> None:
    """Guards against a target that hangs."""
    tracker = tracker_after({"a": work.YOUNG_MS, "b": 40, "c": 40, "d": 40})
    assert tracker.factor("a") == strength.MIN_FACTOR


def test_factor_falls_at_a_limited_speed() -> None:
    """Guards against homes that empty one target and flood others on late figures."""
    assert (
        tracker_after({"a": 400, "b": 40, "c": 40, "d": 40}, seconds=3).factor("a")
        > 0.5
    )


def test_samples_of_an_old_burst_expire() -> None:
    """Guards against a target that stays weak because it gets few flows."""
    tracker = tracker_after({"a": 400, "b": 40, "c": 40, "d": 40})
    for now_ms in range(20_000, 60_000, 500):
        for name in "bcd":
            tracker.ended(now_ms, name, 40, False)
        tracker.tick(now_ms, TARGETS)
    assert tracker.factor("a") == 1.0


def limits_after(
    lives_ms: typing.Iterable[int], every_ms: int
) -> concurrency.ConcurrencyLimits:
    limits = concurrency.ConcurrencyLimits()
    for index, life_ms in enumerate(lives_ms):
        busy = int(limits.limit("a")) - 1
        limits.ended(index * every_ms, "a", life_ms, busy)
    return limits


def test_limit_grows_while_answers_are_fast() -> None:
    """Guards against refused flows at a target that has room."""
    assert limits_after([40] * 30, 40).limit("a") > 20


def test_limit_falls_to_the_flows_that_end_in_time() -> None:
    """Guards against a queue that makes every answer late.

    Twice the capacity of the target comes in.
    """
    limits = limits_after([40] * 30 + [900] * 10, 40)
    assert limits.limit("a") <= (40 + concurrency.MAX_QUEUE_MS) / 40 + 1
    assert not limits.room("a", 10)


def test_limit_always_leaves_room_for_one_flow() -> None:
    """Guards against a target that gets no flow and so can't recover its limit."""
    assert limits_after([40] * 10 + [60_000] * 30, 5000).room("a", 0)


def test_long_flows_do_not_lower_the_limit() -> None:
    """Guards against treating long flows among short ones as a queue."""
    assert limits_after([40, 40, 40, 9000] * 10, 40).limit("a") > 20


def test_flows_that_are_no_longer_young_raise_the_limit() -> None:
    """Guards against refused long-lived flows after a zone has come back.

    Thousands of them open again within seconds, and none of them ends.
    """
    limits = concurrency.ConcurrencyLimits()
    for _ in range(50):
        limits.aged(10_000, "a")
    assert limits.room("a", 50)


def test_joining_target_is_ramped_but_not_the_targets_of_a_new_vm() -> None:
    """Guards against full load on a cold target and a fleet that looks cold."""
    tracker = ramp.RampTracker()
    tracker.update_targets(0, ["a"])
    assert tracker.factor(0, "a") == 1.0
    tracker.update_targets(1000, ["a", "b"])
    assert tracker.factor(1000, "b") == ramp.START_FACTOR
    assert tracker.factor(1000 + ramp.RAMP_DURATION_MS // 2, "b") < 1.0
    assert tracker.factor(1000 + ramp.RAMP_DURATION_MS, "b") == 1.0


def test_moves_are_limited_by_new_flows() -> None:
    """Guards against endless moves of flows, which overload the remaining targets."""
    budget = retry.RetryBudget()
    assert sum(budget.spend() for _ in range(1000)) == retry.BURST_MOVES
    for _ in range(100):
        budget.earn()
    assert sum(budget.spend() for _ in range(1000)) == 100 / retry.NEW_FLOWS_PER_MOVE


def test_suspicion_beyond_the_panic_share_leaves_all_usable() -> None:
    """Guards against a network fault that removes all targets."""
    assert health.usable([True, True, True, False]) == [True] * 4
    assert health.usable([True, False, False, False]) == [False, True, True, True]
