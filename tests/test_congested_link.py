"""Probes of a VM whose own link is congested."""

import typing

import pytest

from tests import probe_world

PORT: typing.Final = 40_001


@pytest.fixture
def world(monkeypatch: pytest.MonkeyPatch) -> probe_world.ProbeWorld:
    made = probe_world.ProbeWorld(monkeypatch)
    made.open_flow("i-0a", PORT)
    made.answer("i-0b")
    return made


def _drains(full_ms: float, duration_ms: float) -> probe_world.DelayMs:
    """Return the delay of a queue that is full at first and drains steadily."""

    def delay_ms(now_ms: int) -> float:
        passed_ms = now_ms - probe_world.START_MS
        return 1.0 + full_ms * max(0.0, 1 - passed_ms / duration_ms)

    return delay_ms


@pytest.mark.parametrize("full_ms", [240, 255, 300, 400, 700, 1200, 2500])
@pytest.mark.parametrize("duration_ms", [100, 300, 600, 1200, 1e9])
def test_late_answer_over_a_congested_link_resets_no_flow(
    world: probe_world.ProbeWorld, full_ms: float, duration_ms: float
) -> None:
    """Guards against resets of a live target's flows while a large row is received."""
    world.reactor.delay_ms = _drains(full_ms, duration_ms)
    for _ in range(3):
        world.suspect("i-0a")
        world.run(800)
        world.answer("i-0b")
    assert world.resets() == [], world.log()


def test_answer_of_another_flow_does_not_vouch_for_a_congested_link(
    world: probe_world.ProbeWorld,
) -> None:
    """Guards against a queued answer taken as proof that a probe was not delayed."""
    world.reactor.delay_ms = _drains(600, 1e9)
    world.suspect("i-0a")
    world.run(100)
    world.answer("i-0b")
    world.run(2000)
    assert world.resets() == [], world.log()
