"""What callers get under load, with real steering and models around it."""

import collections
import typing

import pytest

from eelgrasswick.cookie import cold_targets, observations, placing, speed, tracker
from eelgrasswick.decisions import ejection
from eelgrasswick.emulation import cookie_load, cookie_scenario, steered_fleet
from eelgrasswick.platform import segments

Event = cookie_scenario.Event


def _play(load: cookie_scenario.Load, seed: int = 1) -> cookie_load.Result:
    return cookie_load.Simulation(load, segments.Codec(), seed).run()


def _load(**changes: typing.Any) -> cookie_scenario.Load:
    """Return the ordinary load with changes."""
    return cookie_scenario.ORDINARY._replace(**changes)


def test_ordinary_load_is_answered_in_time() -> None:
    result = _play(_load())
    assert result.served > 0.999
    assert result.in_time > 0.95


def test_unequal_servers_are_filled_by_speed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Two of seven servers are 2.4 times slower than the others.

    By claimed slots they get as much as the fast ones, and their callers queue.
    """
    learned = _play(_load(flows_per_zone=40))
    monkeypatch.setattr(speed, "speed_factors", lambda means: dict.fromkeys(means, 1.0))
    claimed = _play(_load(flows_per_zone=40))
    assert learned.busiest < claimed.busiest - 0.1
    assert learned.p99_ms < claimed.p99_ms


def test_burst_in_one_zone_is_carried_by_all(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Four times the callers come to one zone within a moment.

    Its own two servers can't work that off; those of other zones can.
    """
    burst = (Event(5000, "burst", "z1", 20_000, 4.0),)
    spread = _play(_load(flows_per_zone=25, events=burst))
    monkeypatch.setattr(placing, "SPILL_FACTOR", 1e9)
    alone = _play(_load(flows_per_zone=25, events=burst))
    assert spread.served > alone.served + 0.03
    assert spread.in_time > alone.in_time + 0.1


def test_servers_that_fall_silent_cost_few_requests(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Two of seven servers vanish without a word; their entries stay.

    Their callers would lose every request until they give up.
    """
    dark = tuple(Event(5000, "dark", number, 12_000) for number in (0, 3))
    noticed = _play(_load(events=dark))
    monkeypatch.setattr(
        observations.Observations, "record_unanswered", lambda *_: False
    )
    # Flows that wait on a silent server keep others away, too.
    monkeypatch.setattr(tracker.Tracker, "waiting_flows", {})
    monkeypatch.setattr(observations.Observations, "take_overdue", lambda *_: ([], []))
    unnoticed = _play(_load(events=dark))
    assert noticed.served > 0.998
    assert noticed.served > unnoticed.served + 0.005
    assert noticed.in_time > unnoticed.in_time + 0.01


def test_dead_servers_are_found_without_traffic_to_their_neighbours(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Two of seven servers vanish, and a VM has few flows on the others of their zones.

    No neighbour answers it just then, so that it can't tell the dead server from a
    cut, resets no flow, and its callers wait until they give up.
    """
    dark = tuple(Event(5000, "dark", number, 12_000) for number in (0, 3))
    asked = [_play(_load(events=dark), seed).served for seed in range(1, 5)]
    monkeypatch.setattr(
        observations.Observations, "other_target_in_zone", lambda *_: None
    )
    waited = [_play(_load(events=dark), seed).served for seed in range(1, 5)]
    assert sum(asked) > sum(waited)
    assert min(asked) > 0.999


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_hanging_servers_get_few_flows(
    monkeypatch: pytest.MonkeyPatch, seed: int
) -> None:
    """Guards against each VM of a large fleet finding each hanging target itself."""

    def lost_later() -> int:
        play = cookie_load.Simulation(
            cookie_scenario.HANGING, segments.Codec(), seed, 16
        )
        play.run()
        # Lost by flows that were opened after the fleet could know.
        limit_ms = cookie_scenario.HANGING.timeout_ms
        return sum(
            end.took_ms is None and end.at_ms > 8000 + limit_ms for end in play.ends
        )

    told = lost_later()
    monkeypatch.setattr(ejection, "MIN_WITNESSES", 1_000_000)
    alone = lost_later()
    assert told <= alone


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_evacuated_zone_is_empty_of_new_flows_and_its_callers_are_served(
    seed: int,
) -> None:
    """Guards against new flows in an evacuated zone, and against callers it costs."""
    play = cookie_load.Simulation(
        cookie_scenario.LOADS["evacuate"], segments.Codec(), seed, 16
    )
    result = play.run()
    (trouble,) = cookie_scenario.LOADS["evacuate"].events
    servers = cookie_scenario.ORDINARY.servers
    zone = [item for item in play.openings if servers[item.target].zone == "z2"]
    told_ms = trouble.at_ms + steered_fleet.MAX_UPDATE_DELAY_MS
    assert not [item for item in zone if told_ms < item.at_ms <= trouble.until_ms]
    # The zone is used before, and again as soon as it is taken back.
    assert [item for item in zone if item.at_ms < trouble.at_ms]
    assert [item for item in zone if item.at_ms > trouble.until_ms]
    assert result.served > 0.99


def test_zone_that_goes_dark_costs_an_opening_packet(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against copies that go to one dark target of a zone after the other."""
    load = cookie_scenario.COLD_RETURN._replace(requests_per_flow=6)

    def unserved() -> int:
        """Return how many requests are late or lost while the zone is dark."""
        found = 0
        for seed in (1, 2, 3):
            play = cookie_load.Simulation(load, segments.Codec(), seed, 3)
            play.run()
            ends = [item for item in play.ends if 5000 <= item.at_ms < 8000]
            found += sum(
                item.took_ms is None or item.took_ms > load.objective_ms
                for item in ends
            )
        return found

    elsewhere = unserved()
    monkeypatch.setattr(
        observations.Observations,
        "_retried",
        lambda _, targets, cookie: [t for t in targets if t.cookie != cookie],
    )
    assert elsewhere < 0.95 * unserved()


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_zone_that_returns_cold_is_not_flooded(
    monkeypatch: pytest.MonkeyPatch, seed: int
) -> None:
    """Guards against VMs of a large fleet that flood cold targets together."""

    def most_and_served() -> tuple[int, float]:
        play = cookie_load.Simulation(
            cookie_scenario.COLD_RETURN, segments.Codec(), seed, 16
        )
        result = play.run()
        times_ms = collections.defaultdict(list)
        for item in play.openings:
            if item.cold:
                times_ms[item.target].append(item.at_ms)
        return max(map(_most_in_a_second, times_ms.values()), default=0), result.served

    most, served = most_and_served()
    monkeypatch.setattr(cold_targets.ColdTargets, "limit_per_s", lambda *_: None)
    flood, served_by_flood = most_and_served()
    assert most <= 5 < flood
    assert served > served_by_flood - 0.002


def _most_in_a_second(times_ms: list[int]) -> int:
    return max(sum(at_ms <= t < at_ms + 1000 for t in times_ms) for at_ms in times_ms)


def test_cut_zone_serves_its_own() -> None:
    """A zone is cut off from the others; callers still reach it."""
    cut = (Event(8000, "cut", "z3", 14_000),)
    result = _play(_load(events=cut))
    assert result.crossed < 0.2
    assert result.served > 0.985


def test_saturation_is_shared_by_all_callers() -> None:
    """Callers ask for two and a half times of what all servers can do.

    No target may be flooded while others have room, and what the servers can do
    is still done.
    """
    result = _play(_load(flows_per_zone=120, pause_ms=200))
    assert result.busiest < 1.3
    assert result.served > 0.42


def test_one_seed_gives_one_result() -> None:
    assert _play(_load(duration_ms=5000), 3) == _play(_load(duration_ms=5000), 3)
