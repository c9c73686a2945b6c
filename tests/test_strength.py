"""What is learned of targets from the flows on them."""

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


def seen(lives_ms: dict[str, int], seconds: int = 20) -> strength.StrengthTracker:
    """Play flows of given lifetimes on each target."""
    book = strength.StrengthTracker()
    for now_ms in range(0, seconds * 1000, 250):
        for name, life_ms in lives_ms.items():
            book.ended(now_ms, name, life_ms, life_ms < 0)
        book.tick(now_ms, TARGETS)
    return book


def test_equal_targets_are_taken_as_they_claim() -> None:
    book = seen({"a": 40, "b": 44, "c": 38, "d": 40})
    assert all(book.factor(item.name) == 1.0 for item in TARGETS)


def test_slow_target_counts_as_weak() -> None:
    # A server's disk is failing, and it does its work four times slower than
    # its weight says. Check-ins on it would be late.
    assert seen({"a": 160, "b": 40, "c": 40, "d": 40}).factor("a") < 0.35


def test_fast_answers_move_no_work() -> None:
    # A target answers every request at once because it fails. Taken for
    # strong, it would draw more and more requests to itself.
    assert seen({"a": 2, "b": 40, "c": 40, "d": 40}).factor("a") == 1.0


def test_resets_count_against_a_target() -> None:
    assert seen({"a": -1, "b": 40, "c": 40, "d": 40}).factor("a") < 0.3


def test_target_that_ends_no_flow_counts_as_weak() -> None:
    book = seen({"a": work.YOUNG_MS, "b": 40, "c": 40, "d": 40})
    assert book.factor("a") == strength.MIN_FACTOR


def test_weakness_moves_work_at_a_limited_speed() -> None:
    # Many homes act on the same late figures; a jump would empty the target
    # and flood the others.
    assert seen({"a": 400, "b": 40, "c": 40, "d": 40}, seconds=3).factor("a") > 0.5


def test_burst_is_forgotten() -> None:
    book = seen({"a": 400, "b": 40, "c": 40, "d": 40})
    for now_ms in range(20_000, 60_000, 500):
        for name in "bcd":
            book.ended(now_ms, name, 40, False)
        book.tick(now_ms, TARGETS)
    assert book.factor("a") == 1.0


def fed(lives_ms: typing.Iterable[int], every_ms: int) -> concurrency.ConcurrencyLimits:
    book = concurrency.ConcurrencyLimits()
    for index, life_ms in enumerate(lives_ms):
        busy = int(book.limit("a")) - 1
        book.ended(index * every_ms, "a", life_ms, busy)
    return book


def test_limit_grows_while_answers_are_fast() -> None:
    assert fed([40] * 30, 40).limit("a") > 20


def test_limit_falls_to_what_the_target_does_in_time() -> None:
    # Twice the capacity comes in. Without a limit the queue at the target
    # grows until every answer is late.
    book = fed([40] * 30 + [900] * 10, 40)
    assert book.limit("a") <= (40 + concurrency.MAX_QUEUE_MS) / 40 + 1
    assert not book.room("a", 10)


def test_limit_never_closes_a_target() -> None:
    assert fed([40] * 10 + [60_000] * 30, 5000).room("a", 0)


def test_long_flows_do_not_lower_the_limit() -> None:
    assert fed([40, 40, 40, 9000] * 10, 40).limit("a") > 20


def test_boards_raise_the_limit_as_they_grow_old() -> None:
    # After a zone has come back, thousands of boards open again within
    # seconds, and none of them ends.
    book = concurrency.ConcurrencyLimits()
    for _ in range(50):
        book.aged(10_000, "a")
    assert book.room("a", 50)


def test_joining_target_is_ramped_but_a_new_vm_ramps_nothing() -> None:
    book = ramp.RampTracker()
    book.update_targets(0, ["a"])
    assert book.factor(0, "a") == 1.0
    book.update_targets(1000, ["a", "b"])
    assert book.factor(1000, "b") == ramp.START_FACTOR
    assert book.factor(1000 + ramp.RAMP_DURATION_MS // 2, "b") < 1.0
    assert book.factor(1000 + ramp.RAMP_DURATION_MS, "b") == 1.0


def test_moves_are_tied_to_new_flows() -> None:
    # A zone goes and every flow is unanswered. Moved without end, each would
    # cost the remaining targets several opening packets.
    budget = retry.RetryBudget()
    assert sum(budget.spend() for _ in range(1000)) == retry.BURST_MOVES
    for _ in range(100):
        budget.earn()
    assert sum(budget.spend() for _ in range(1000)) == 100 / retry.NEW_FLOWS_PER_MOVE


def test_not_all_targets_go_at_once() -> None:
    assert health.usable([True, True, True, False]) == [True] * 4
    assert health.usable([True, False, False, False]) == [False, True, True, True]
