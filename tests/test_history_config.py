"""Histories of concurrent operators, and planted violations for the checkers."""

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


def violations(*operations: history_config.Operation) -> list[str]:
    """Return the violations of ``Linearizable`` by some operations."""
    history = history_config.History(operations, ())
    return history_config.Linearizable().check(history)


def test_overlapping_operations_with_a_valid_order_pass() -> None:
    assert violations(swap("a", 0, 9, "", "x"), read(1, 3, ""), read(4, 8, "x")) == []
    assert violations(swap("a", 0, 9, "x", "y"), swap("b", 0, 9, "", "x")) == []
    lost = swap("b", 0, 9, "", "y", OUTCOME.LOST)
    assert violations(swap("a", 0, 9, "", "x"), lost) == []


def test_write_with_unknown_outcome_may_take_effect_late_or_never() -> None:
    unknown = swap("a", 0, 1, "", "x", OUTCOME.UNKNOWN)
    assert violations(unknown, read(5, 6, "")) == []
    assert violations(unknown, read(5, 6, ""), read(7, 8, "x")) == []
    assert violations(unknown, read(5, 6, "x"), read(7, 8, "")) != []


@pytest.mark.parametrize(
    "operations",
    [
        # A read after the write has ended shows the old value.
        (swap("a", 0, 1, "", "x"), read(2, 3, "")),
        # Two operators both replace the same value successfully.
        (swap("a", 0, 9, "", "x"), swap("b", 0, 9, "", "y")),
        # A write that was reported to have no effect is read.
        (swap("a", 0, 1, "", "x", OUTCOME.REFUSED), read(2, 3, "x")),
        # A write was reported as lost, but the key had the expected value.
        (swap("a", 0, 1, "", "x", OUTCOME.LOST), read(2, 3, "")),
        # A read returns a value that was replaced before an earlier read.
        (
            swap("a", 0, 1, "", "x"),
            swap("a", 2, 3, "x", "y"),
            read(4, 5, "y"),
            read(6, 7, "x"),
        ),
    ],
)
def test_checker_reports_operations_without_a_valid_order(
    operations: tuple[history_config.Operation, ...],
) -> None:
    assert len(violations(*operations)) == 1


@pytest.mark.parametrize(
    ("second", "expected"),
    [
        (history_config.InForce("vm1", 9, 1, "x"), "went from 2 to 1"),
        (history_config.InForce("vm2", 9, 2, "z"), "has z as 2, others y"),
        (history_config.InForce("vm2", 9, 3, "v"), "v in force, which was not"),
    ],
)
def test_checker_reports_planted_configurations_in_force(
    second: history_config.InForce, expected: str
) -> None:
    accepted = [swap("a", n, n, "", value) for n, value in enumerate("xyz")]
    first = history_config.InForce("vm1", 5, 2, "y")
    history = history_config.History(tuple(accepted), (first, second))
    found = history_config.Steady().check(history)
    assert [expected in item for item in found] == [True]


@pytest.mark.parametrize("seed", SEEDS)
def test_concurrent_operators_are_linearizable(seed: int) -> None:
    # Three operators make changes concurrently while the platform is down, is slow,
    # loses responses or delays writes. An operator could get the result that a
    # change was accepted which is not in force, or the reverse.
    history = operators.Operators(seed, 3, 3).run(12)
    assert history_config.check(history) == []
    outcomes = {item.outcome for item in history.operations}
    assert OUTCOME.DONE in outcomes
    assert history.in_force


def test_runs_produce_every_outcome() -> None:
    seen = set()
    for seed in SEEDS:
        history = operators.Operators(seed, 2, 0, 2.0).run(12)
        assert history_config.check(history) == []
        seen |= {item.outcome for item in history.operations}
    assert seen == set(OUTCOME)


def test_checker_reports_a_missing_fence(monkeypatch: pytest.MonkeyPatch) -> None:
    # Planted fault: an operator whose response was lost reads the store once, does
    # not read the change, and reports it as not accepted. The write in transit
    # takes effect later.
    async def skip_fence(_: change.Operator, __: store.Row | None) -> bool:
        return True

    monkeypatch.setattr(change.Operator, "_fence", skip_fence)
    found = [
        history_config.check(operators.Operators(seed, 1, 0, 4.0).run(12))
        for seed in SEEDS
    ]
    assert any(found)


def test_checker_reports_a_store_that_ignores_comparisons(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Planted fault: the store accepts each write regardless of its comparisons.
    original_write = emulated_platform.EmulatedStore.write

    def write_unconditionally(
        self: emulated_platform.EmulatedStore,
        compares: list[store.Compare],
        puts: list[store.Put],
    ) -> store.Committed:
        return original_write(self, (), puts)

    monkeypatch.setattr(emulated_platform.EmulatedStore, "write", write_unconditionally)
    history = operators.Operators(1, 3, 3).run(12)
    assert history_config.Linearizable().check(history) != []
