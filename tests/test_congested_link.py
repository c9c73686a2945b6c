"""Probes of a VM whose own link is congested."""

import typing

import pytest

from tests import cookie_parts, probe_world

PORT: typing.Final = 40_001


@pytest.fixture
def world(
    monkeypatch: pytest.MonkeyPatch,
) -> typing.Iterator[probe_world.ProbeWorld]:
    made = probe_world.ProbeWorld(monkeypatch)
    made.open_flow("i-0a", PORT)
    made.answer("i-0b")
    yield made
    made.close()


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


@pytest.mark.parametrize(
    ("delay_ms", "limit_ms"), [(1, 300), (30, 300), (100, 500), (300, 1100)]
)
def test_flow_of_a_dead_target_ends_soon_on_a_slow_link(
    world: probe_world.ProbeWorld, delay_ms: int, limit_ms: int
) -> None:
    """Guards against callers of a crashed server that wait for their deadlines."""
    world.reactor.delay_ms = lambda _: delay_ms
    world.reactor.silent.add(world.target("i-0a").address.host)
    world.suspect("i-0a")
    world.run(limit_ms)
    assert world.resets() == [PORT], world.log()


def test_flow_of_a_crashed_process_ends_within_50_ms(
    world: probe_world.ProbeWorld,
) -> None:
    """Guards against callers that wait although the server's machine refuses."""
    world.reactor.refusing.add(world.target("i-0a").address.host)
    world.suspect("i-0a")
    world.run(50)
    assert world.resets() == [PORT], world.log()


def test_flow_of_a_dead_target_ends_once_the_link_is_free(
    world: probe_world.ProbeWorld,
) -> None:
    """Guards against a dead target that stays undetected after a congestion."""
    world.reactor.delay_ms = _drains(2000, 1500)
    world.reactor.silent.add(world.target("i-0a").address.host)
    for _ in range(10):
        world.answer("i-0b")
        world.suspect("i-0a")
        world.run(200)
    assert world.resets() == [PORT], world.log()


def _lose_zone_and_entry(world: probe_world.ProbeWorld, store_responds: bool) -> None:
    """Cut off all targets, delete the entry of one, and probe it 3 s later."""
    world.reactor.silent.update(
        item.address.host for item in world.carrier.parts.catalog.targets
    )
    target = world.target("i-0a")
    catalog = world.carrier.parts.catalog
    confirmed_ms = world.reactor.now_ms()
    catalog.tick(confirmed_ms, confirmed_ms)
    world.apply(cookie_parts.gone_row("i-0a", 9))
    for _ in range(12):
        world.run(250)
        world.open_flow_of(target, PORT)
        now_ms = world.reactor.now_ms()
        catalog.tick(now_ms, now_ms if store_responds else confirmed_ms)
    world.answer("i-0b")
    world.forwarder.probe_reported(target.cookie)
    world.run(2000)


def test_missing_entry_proves_nothing_while_the_store_is_away(
    world: probe_world.ProbeWorld,
) -> None:
    """Guards against resets in a cut by a deletion that may have been reverted."""
    _lose_zone_and_entry(world, store_responds=False)
    assert world.resets() == [], world.log()


def test_target_whose_entry_stays_missing_is_dead(
    world: probe_world.ProbeWorld,
) -> None:
    """Guards against callers of a dead target that wait while its zone is cut off."""
    _lose_zone_and_entry(world, store_responds=True)
    assert world.resets() == [PORT], world.log()
