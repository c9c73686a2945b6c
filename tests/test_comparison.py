"""Tests of the comparison of a silent target with other targets of its zone."""

import random
import typing

import pytest

from eelgrasswick.cookie import comparison

ACCEPTED: typing.Final = comparison.Outcome.ACCEPTED
REFUSED: typing.Final = comparison.Outcome.REFUSED
NO_ANSWER: typing.Final = comparison.Outcome.NO_ANSWER


class Answer(typing.NamedTuple):
    """How a target or control answers the attempts that begin in a span of time.

    Attributes:
        outcome: What it answers.
        delay_ms: Time until the answer.
        from_ms: Begin of the span.
        until_ms: End of the span.
    """

    outcome: comparison.Outcome
    delay_ms: int = 1
    from_ms: int = 0
    until_ms: int = 1_000_000


def _no_loss() -> bool:
    return False


def _run(
    target: list[Answer],
    controls: list[list[Answer]],
    step_ms: int = 10,
    lost: typing.Callable[[], bool] = _no_loss,
) -> tuple[comparison.Result, int]:
    """Return the result, and the time that it took by the clock.

    Args:
        target: Answers of the target.
        controls: Answers of each control.
        step_ms: Time between two evaluations.
        lost: Returns True for each attempt that is lost on the way.
    """
    state = comparison.Comparison(len(controls))
    due: list[tuple[int, comparison.Attempt, comparison.Outcome]] = []
    now_ms = 0
    while True:
        for attempt in state.due_attempts():
            answers = target if attempt.control is None else controls[attempt.control]
            due += [
                (now_ms + item.delay_ms, attempt, item.outcome)
                for item in answers
                if item.from_ms <= now_ms < item.until_ms and not lost()
            ]
        result = state.result()
        if result is not None:
            return result, now_ms
        now_ms += step_ms
        state.advance(step_ms)
        for item in [item for item in due if item[0] <= now_ms]:
            due.remove(item)
            state.record(*item[1:])


def test_target_that_accepts_needs_no_control() -> None:
    """Guards against connections to other targets for each slow request."""
    state = comparison.Comparison(2)
    assert state.due_attempts() == [comparison.Attempt(None, comparison.FIRST_ATTEMPT)]
    state.advance(10)
    state.record(comparison.Attempt(None, comparison.FIRST_ATTEMPT), ACCEPTED)
    assert state.due_attempts() == []
    assert state.result() == comparison.Result(ACCEPTED, 11)


@pytest.mark.parametrize("delay_ms", [1, 10, 30])
def test_target_without_power_is_found_within_300_ms(delay_ms: int) -> None:
    """Guards against callers of a dead target that wait for their deadlines."""
    result, took_ms = _run([], [[Answer(ACCEPTED, delay_ms)]] * 2)
    assert result.outcome is NO_ANSWER
    assert result.control_ms is not None
    assert comparison.MIN_WAIT_MS <= took_ms <= 300


def test_crashed_process_is_found_within_50_ms() -> None:
    """Guards against callers that wait although the machine refuses at once."""
    result, took_ms = _run([Answer(REFUSED)], [[Answer(ACCEPTED)]] * 2)
    assert result.outcome is REFUSED
    assert result.control_ms is not None
    assert took_ms <= 50


@pytest.mark.parametrize("delay_ms", [100, 400, 1200])
def test_refusal_waits_for_a_slow_control(delay_ms: int) -> None:
    """Guards against a refusal that is decided before any control can answer."""
    result, took_ms = _run([Answer(REFUSED)], [[Answer(ACCEPTED, delay_ms)]])
    assert result.outcome is REFUSED
    assert result.control_ms is not None
    assert took_ms >= delay_ms


@pytest.mark.parametrize("delay_ms", [60, 90, 260, 300, 700, 1400, 2500])
def test_target_as_slow_as_the_controls_is_never_dead(delay_ms: int) -> None:
    """Guards against resets while all answers wait in the queue of one link."""
    late = [Answer(ACCEPTED, delay_ms)]
    result, _ = _run(late, [late, late])
    assert result.accepted or result.control_ms is None


@pytest.mark.parametrize("delay_ms", [100, 300])
def test_wait_grows_with_the_time_of_the_controls(delay_ms: int) -> None:
    """Guards against a target judged by a fixed time-out on a slow link."""
    result, took_ms = _run([], [[Answer(ACCEPTED, delay_ms)]])
    assert result.control_ms is not None
    assert took_ms >= comparison.CONTROL_FACTOR * delay_ms


def test_one_lost_packet_of_a_control_does_not_hide_a_dead_target() -> None:
    """Guards against callers that wait as a link loses a packet now and then."""
    late = Answer(ACCEPTED, 1, from_ms=comparison.ROUNDS_MS[1])
    result, took_ms = _run([], [[late], [Answer(ACCEPTED)]])
    assert result.control_ms is not None
    assert took_ms <= 300


def test_live_target_is_not_dead_on_a_link_that_loses_packets() -> None:
    """Guards against resets over a link that loses one connection attempt in twenty."""
    rng = random.Random(1)
    accepting = [Answer(ACCEPTED)]
    for _ in range(2000):
        result, _ = _run(
            accepting, [accepting, accepting], lost=lambda: rng.random() < 0.05
        )
        assert result.accepted or result.control_ms is None


def test_target_whose_packets_are_lost_in_a_burst_is_not_dead() -> None:
    """Guards against resets while a full link drops opening packets."""
    late = Answer(ACCEPTED, 1, from_ms=comparison.ROUNDS_MS[2])
    result, _ = _run([], [[late], [late]])
    assert result.outcome is NO_ANSWER
    assert result.control_ms is None


def test_control_that_answers_only_once_is_inconclusive() -> None:
    """Guards against resets over a link that loses opening packets."""
    once = Answer(ACCEPTED, 1, until_ms=comparison.ROUNDS_MS[1])
    result, _ = _run([], [[once], [Answer(ACCEPTED)]])
    assert result.outcome is NO_ANSWER
    assert result.control_ms is None


def test_dead_control_does_not_hide_a_dead_target() -> None:
    """Guards against callers that wait as another target of the zone is dead, too."""
    result, took_ms = _run([], [[], [Answer(ACCEPTED)]])
    assert result.control_ms is not None
    assert took_ms <= 300


def test_control_that_accepted_before_a_cut_proves_nothing() -> None:
    """Guards against resets when a cut that refuses connections begins."""
    control = [Answer(ACCEPTED, until_ms=40), Answer(REFUSED, from_ms=40)]
    target = [Answer(REFUSED, from_ms=20)]
    result, _ = _run(target, [control, control])
    assert result.outcome is REFUSED
    assert result.control_ms is None


def test_control_that_answered_before_a_silent_cut_proves_nothing() -> None:
    """Guards against resets of a live target's flows just after a cut."""
    control = [Answer(ACCEPTED, until_ms=comparison.ROUNDS_MS[1])]
    result, took_ms = _run([], [control, control])
    assert result.outcome is NO_ANSWER
    assert result.control_ms is None
    assert took_ms == comparison.MAX_WAIT_MS


def test_restarted_target_that_accepts_after_a_refusal_is_alive() -> None:
    """Guards against resets of new flows on a server that has just restarted."""
    target = [Answer(REFUSED, until_ms=10), Answer(ACCEPTED, 15, from_ms=10)]
    result, _ = _run(target, [[Answer(ACCEPTED)]])
    assert result.accepted


def test_pause_of_the_vm_does_not_count() -> None:
    """Guards against a time-out that expires before the answer is read."""
    state = comparison.Comparison(1)
    attempts = state.due_attempts()
    for _ in range(14):
        state.advance(10)
        attempts += state.due_attempts()
    for attempt in attempts:
        if attempt.control is not None:
            state.record(attempt, ACCEPTED)
    state.advance(3000)
    assert state.result() is None


def test_zone_without_another_target_is_inconclusive() -> None:
    result, took_ms = _run([], [])
    assert result.control_ms is None
    assert took_ms == comparison.MIN_WAIT_MS
