"""Each checker reports a planted violation and passes a clean run."""

import pytest

from eelgrasswick import history

FLOW = "tcp/10.9.0.1:1024>10.1.0.1:443"
CLEAN = (
    history.Call(0, 1, FLOW, "desk"),
    history.Delivery(1, 1, FLOW, "d1", "desk", 0),
    history.Delivery(2, 1, FLOW, "d1", "desk", 90),
    history.Start(2, 1, FLOW, "d1", "desk"),
    history.End(9, 1, history.Outcome.WHOLE, "d1", ""),
    history.Call(20, 2, FLOW, "desk"),
    history.Delivery(21, 2, FLOW, "d1", "desk", 0),
    history.End(22, 2, history.Outcome.REFUSED, "", "kind=no_target"),
)


def test_clean_run_has_no_violations() -> None:
    assert history.check(history.History(CLEAN)) == []


@pytest.mark.parametrize(
    ("invariant", "planted"),
    [
        ("AtMostOnce", history.Start(5, 1, FLOW, "d1", "desk")),
        ("OneTarget", history.Start(5, 1, FLOW, "d2", "desk")),
        ("OneTarget", history.End(9, 1, history.Outcome.WHOLE, "d2", "")),
        ("OwnWholeAnswer", history.End(9, 1, history.Outcome.WHOLE, "d1", "")),
        ("OwnWholeAnswer", history.End(9, 1, history.Outcome.WRONG, "d1", "of 7")),
        ("OwnWholeAnswer", history.End(9, 7, history.Outcome.BROKEN, "", "reset")),
        ("RefusedNotRun", history.Start(23, 2, FLOW, "d1", "desk")),
        ("RefusedNotRun", history.Delivery(30, 2, FLOW, "d1", "desk", 1)),
        ("NoWrongService", history.Start(5, 1, FLOW, "v1", "vault")),
        ("NoWrongService", history.Delivery(3, 1, FLOW, "v1", "vault", 0)),
    ],
)
def test_checker_reports_planted_violation(
    invariant: str, planted: history.Record
) -> None:
    found = history.check(history.History((*CLEAN, planted)))
    assert invariant in {item.invariant for item in found}


def test_answer_without_started_work_is_reported() -> None:
    # A target that answers with the bytes of an older connection appears correct
    # to the caller, although the caller's own request never ran.
    planted = (
        history.Call(30, 3, FLOW, "desk"),
        history.End(31, 3, history.Outcome.WHOLE, "d1", ""),
    )
    found = history.check(history.History((*CLEAN, *planted)))
    assert [item.invariant for item in found] == ["OwnWholeAnswer"]
