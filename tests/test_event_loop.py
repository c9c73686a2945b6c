"""Tests of the event loop, whose time of day the tests step."""

import time
import typing

import pytest
from twisted.internet import base

from eelgrasswick.cookie import event_loop, periodic

INTERVAL_S: typing.Final = 0.01
LIMIT_S: typing.Final = 5.0
STEP_S: typing.Final = 3600.0


class TimeOfDay:
    """A time of day that a test steps.

    Attributes:
        offset_s: Sum of all steps.
    """

    def __init__(self) -> None:
        """Create a time of day that has not been stepped."""
        self.offset_s = 0.0

    def __call__(self) -> float:
        """Return the time of day in seconds."""
        return 1.7e9 + time.monotonic() + self.offset_s


@pytest.fixture
def time_of_day(monkeypatch: pytest.MonkeyPatch) -> TimeOfDay:
    """Return the time of day of this process, by which Twisted sets timers."""
    replaced = TimeOfDay()
    monkeypatch.setattr(time, "time", replaced)
    monkeypatch.setattr(base.ReactorBase, "seconds", staticmethod(replaced))
    return replaced


@pytest.fixture
def reactor() -> typing.Iterator[typing.Any]:
    made: typing.Any = event_loop.create()
    yield made
    made.fireSystemEvent("shutdown")
    made.removeAll()


def _turn_until(reactor: typing.Any, done: typing.Callable[[], bool]) -> None:
    limit_s = time.monotonic() + LIMIT_S
    while not done():
        assert time.monotonic() < limit_s, "the timers stand still"
        reactor.iterate(INTERVAL_S)


@pytest.mark.parametrize(
    "steps_s",
    [(-STEP_S,), (STEP_S,), (STEP_S, -STEP_S), (-STEP_S, STEP_S)],
    ids=["back", "forward", "forward and back", "back and forward"],
)
def test_periodic_task_runs_on_while_the_time_of_day_steps(
    reactor: typing.Any, time_of_day: TimeOfDay, steps_s: tuple[float, ...]
) -> None:
    """Guards against a VM that hears of no change while clocks are set right."""
    calls: list[float] = []
    item = periodic.PeriodicTask(
        reactor,
        "tick",
        lambda: calls.append(time.monotonic()),
        INTERVAL_S,
        lambda *_: None,
    )
    item.start()
    for step_s in (0.0, *steps_s):
        time_of_day.offset_s += step_s
        enough = len(calls) + 5
        _turn_until(reactor, lambda enough=enough: len(calls) >= enough)
    item.stop()


@pytest.mark.parametrize("step_s", [STEP_S, -STEP_S], ids=["forward", "back"])
def test_timeout_expires_after_its_time_only(
    reactor: typing.Any, time_of_day: TimeOfDay, step_s: float
) -> None:
    """Guards against calls of the store that are given up when a clock is set."""
    expired: list[str] = []
    late = reactor.callLater(STEP_S / 2, expired.append, "late")
    reactor.callLater(INTERVAL_S, expired.append, "early")
    time_of_day.offset_s += step_s
    _turn_until(reactor, lambda: "early" in expired)
    reactor.iterate(0)
    assert expired == ["early"]
    late.cancel()
