"""Histories of concurrent operators, and proof that their checkers can fail."""

import pytest

from eelgrasswick import (
    change,
    history_config,
    store,
)
from eelgrasswick.emulation import emulated_platform
from tests import operators

KIND = history_config.Kind
OUTCOME = history_config.Outcome
SEEDS = range(12)


def swap(
    process: str,
    began_ms: int,
    ended_ms: int,
    expected: str,
    value: str,
    outcome: history_config.Outcome = OUTCOME.DONE,
) -> history_config.Operation:
    """Return a swap on one key."""
    return history_config.Operation(
        process, "k", KIND.SWAP, began_ms, ended_ms, expected, value, outcome
    )


def read(began_ms: int, ended_ms: int, value: str) -> history_config.Operation:
    """Return a read of one key."""
    return history_config.Operation(
        "r", "k", KIND.READ, began_ms, ended_ms, "", value, OUTCOME.DONE
    )


def faults(*operations: history_config.Operation) -> list[str]:
    """Check operations alone."""
    history = history_config.History(operations, ())
    return history_config.Linearizable().check(history)


def test_order_is_found_where_operations_overlap() -> None:
    assert faults(swap("a", 0, 9, "", "x"), read(1, 3, ""), read(4, 8, "x")) == []
    assert faults(swap("a", 0, 9, "x", "y"), swap("b", 0, 9, "", "x")) == []
    lost = swap("b", 0, 9, "", "y", OUTCOME.LOST)
    assert faults(swap("a", 0, 9, "", "x"), lost) == []


def test_write_of_unknown_outcome_may_come_late_or_never() -> None:
    unknown = swap("a", 0, 1, "", "x", OUTCOME.UNKNOWN)
    assert faults(unknown, read(5, 6, "")) == []
    assert faults(unknown, read(5, 6, ""), read(7, 8, "x")) == []
    assert faults(unknown, read(5, 6, "x"), read(7, 8, "")) != []


@pytest.mark.parametrize(
    "operations",
    [
        # A read after the write has ended shows the old value.
        (swap("a", 0, 1, "", "x"), read(2, 3, "")),
        # Two operators both believe that they won on the same value.
        (swap("a", 0, 9, "", "x"), swap("b", 0, 9, "", "y")),
        # A write that was said to have no effect is seen.
        (swap("a", 0, 1, "", "x", OUTCOME.REFUSED), read(2, 3, "x")),
        # A write was said to have lost, and nothing else was there.
        (swap("a", 0, 1, "", "x", OUTCOME.LOST), read(2, 3, "")),
        # A value goes back.
        (
            swap("a", 0, 1, "", "x"),
            swap("a", 2, 3, "x", "y"),
            read(4, 5, "y"),
            read(6, 7, "x"),
        ),
    ],
)
def test_checker_fails_on_planted_orders(
    operations: tuple[history_config.Operation, ...],
) -> None:
    assert len(faults(*operations)) == 1


@pytest.mark.parametrize(
    ("second", "told"),
    [
        (history_config.InForce("vm1", 9, 1, "x"), "went from 2 to 1"),
        (history_config.InForce("vm2", 9, 2, "z"), "has z as 2, others y"),
        (history_config.InForce("vm2", 9, 3, "v"), "v in force, which was not"),
    ],
)
def test_checker_fails_on_planted_configurations(
    second: history_config.InForce, told: str
) -> None:
    accepted = [swap("a", n, n, "", value) for n, value in enumerate("xyz")]
    first = history_config.InForce("vm1", 5, 2, "y")
    history = history_config.History(tuple(accepted), (first, second))
    found = history_config.Steady().check(history)
    assert [told in item for item in found] == [True]


@pytest.mark.parametrize("seed", SEEDS)
def test_concurrent_operators_are_linearizable(seed: int) -> None:
    # Three operators edit at once while the platform is down, slow, loses
    # answers or carries writes out late. One of them could be told that a
    # change was accepted which is not in force, or the other way round.
    history = operators.Operators(seed, 3, 3).run(12)
    assert history_config.check(history) == []
    outcomes = {item.outcome for item in history.operations}
    assert OUTCOME.DONE in outcomes
    assert history.in_force


def test_runs_show_every_outcome() -> None:
    seen = set()
    for seed in SEEDS:
        history = operators.Operators(seed, 2, 0, 2.0).run(12)
        assert history_config.check(history) == []
        seen |= {item.outcome for item in history.operations}
    assert seen == set(OUTCOME)


def test_checker_finds_a_missing_fence(monkeypatch: pytest.MonkeyPatch) -> None:
    # Planted: an operator whose answer was lost looks once, sees nothing, and
    # reports the change as not accepted. The write under way comes later.
    async def no_fence(_: change.Operator, __: store.Row | None) -> bool:
        return True

    monkeypatch.setattr(change.Operator, "_fence", no_fence)
    found = [
        history_config.check(operators.Operators(seed, 1, 0, 4.0).run(12))
        for seed in SEEDS
    ]
    assert any(found)


def test_checker_finds_a_store_that_ignores_comparisons(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Planted: the store accepts each write, whatever was there before.
    right = emulated_platform.EmulatedStore.write

    def wrong(
        self: emulated_platform.EmulatedStore,
        compares: list[store.Compare],
        puts: list[store.Put],
    ) -> store.Committed:
        return right(self, (), puts)

    monkeypatch.setattr(emulated_platform.EmulatedStore, "write", wrong)
    history = operators.Operators(1, 3, 3).run(12)
    assert history_config.Linearizable().check(history) != []
