"""Tests of periodic tasks."""

import typing

import pytest
from twisted.internet import task

from eelgrasswick.cookie import periodic

INTERVAL_S: typing.Final = 0.1


class Work:
    """Work that counts its calls and fails in some of them.

    Attributes:
        calls: Number of calls so far.
        failing: Numbers of the calls that fail.
    """

    def __init__(self, *failing: int) -> None:
        """Create work whose calls with the given numbers fail."""
        self.calls = 0
        self.failing = failing

    def __call__(self) -> None:
        """Count a call, and fail if its number is listed."""
        self.calls += 1
        if self.calls in self.failing:
            raise RuntimeError(f"call {self.calls}")


@pytest.fixture
def clock() -> task.Clock:
    return task.Clock()


def _advance(clock: task.Clock, intervals: int) -> None:
    for _ in range(intervals):
        clock.advance(INTERVAL_S)


@pytest.mark.parametrize("failing", [(1,), (2,), (2, 3, 4)])
def test_task_goes_on_after_a_failure(
    clock: task.Clock, failing: tuple[int, ...]
) -> None:
    """Guards against one exception that ends a task for good."""
    work = Work(*failing)
    failures: list[str] = []
    periodic.PeriodicTask(
        clock,
        "tick",
        work,
        INTERVAL_S,
        lambda name, failure: failures.append(f"{name} {failure.getErrorMessage()}"),
    ).start()
    _advance(clock, 9)
    assert work.calls == 10
    assert failures == [f"tick call {number}" for number in failing]


def test_stopped_task_is_not_called_again(clock: task.Clock) -> None:
    """Guards against a task that survives the end of its VM."""
    work = Work(2)
    item = periodic.PeriodicTask(clock, "tick", work, INTERVAL_S, lambda *_: None)
    item.start(now=False)
    _advance(clock, 3)
    item.stop()
    item.stop()
    _advance(clock, 3)
    assert work.calls == 3
    assert not item.running
