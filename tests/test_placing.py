"""Tests of the choice of a new flow's target."""

import collections
import random
import typing

import pytest

from eelgrasswick.cookie import model, placing
from eelgrasswick.platform import entries
from tests import cookie_parts


def _candidate(
    name: str,
    zone: str = "z1",
    flows: float = 0,
    speed: float = 1.0,
    cold: bool = False,
) -> placing.Candidate:
    row = cookie_parts.target_row(name, 1, zone=zone)
    return placing.Candidate(entries.Reader().target(row), flows, speed, cold)


def _fill(
    candidates: list[placing.Candidate], flows: int, zone: str = "z1"
) -> typing.Counter[str]:
    placed: typing.Counter[str] = collections.Counter()
    rng = random.Random(1)
    for _ in range(flows):
        draws = placing.Draws(rng.random(), rng.random())
        target = placing.choose_target(candidates, zone, draws)
        assert target is not None
        placed[target.name] += 1
        candidates = [
            item._replace(
                flows=item.flows + (item.target == target),
                waiting_flows=item.waiting_flows + (item.target == target),
            )
            for item in candidates
        ]
    return placed


def test_flow_stays_in_its_zone_at_low_load() -> None:
    candidates = [_candidate("i-0a"), _candidate("i-0b", "z2")]
    assert set(_fill(candidates, 2)) == {"i-0a"}


def test_burst_in_one_zone_spills_to_other_zones() -> None:
    """Guards against requests that queue in one zone while other zones are idle."""
    candidates = [
        _candidate("i-0a"),
        _candidate("i-0b", "z2"),
        _candidate("i-0c", "z2"),
    ]
    placed = _fill(candidates, 60)
    assert placed["i-0b"] + placed["i-0c"] >= 30
    assert placed["i-0a"] >= 15


def test_zone_with_one_target_less_keeps_its_flows() -> None:
    """Guards against flows that leave their zone without need.

    A cut between the zones would break them.
    """
    candidates = [_candidate("i-0a", flows=20), _candidate("i-0b", "z2", flows=15)]
    assert set(_fill(candidates, 5)) == {"i-0a"}


def test_slow_target_gets_fewer_flows() -> None:
    placed = _fill([_candidate("i-0a", speed=0.5), _candidate("i-0b")], 30)
    assert 9 <= placed["i-0a"] <= 11


def test_cold_target_gets_fewer_flows() -> None:
    placed = _fill([_candidate("i-0a", cold=True), _candidate("i-0b")], 32)
    assert 11 <= placed["i-0a"] <= 13


@pytest.mark.parametrize("count", [2, 3, 8])
def test_targets_share_flows_evenly(count: int) -> None:
    """Guards against targets that come up more often than others."""
    candidates = [_candidate(f"i-{number:02x}") for number in range(count)]
    rng = random.Random(1)
    chosen: typing.Counter[str] = collections.Counter()
    for _ in range(500 * count):
        draws = placing.Draws(rng.random(), rng.random())
        target = placing.choose_target(candidates, "z1", draws)
        assert target is not None
        chosen[target.name] += 1
    assert len(chosen) == count
    assert 420 <= min(chosen.values()) <= max(chosen.values()) <= 580


def test_agreed_target_is_one_that_other_loads_choose_between() -> None:
    """Guards against a copy whose original is on a target that nobody expects."""
    rng = random.Random(2)
    for _ in range(200):
        draws = placing.Draws(rng.random(), rng.random())
        candidates = [
            _candidate(f"i-{number:02x}", f"z{number % 2 + 1}", rng.randrange(20))
            for number in range(8)
        ]
        likely = placing.likely_targets(
            [item.target for item in candidates], "z1", draws
        )
        assert [item.zone for item in likely] == ["z1", "z1", "z2", "z2"]
        assert placing.choose_target(candidates, "z1", draws) in likely
        assert placing.choose_agreed_target(candidates, "z1", draws) == likely[0]


def test_no_target_is_chosen_without_candidates() -> None:
    assert placing.choose_target([], "z1", placing.Draws(0.5, 0.5)) is None


def test_services_of_a_route_get_flows_by_weight() -> None:
    shares = (model.Share("a", 90.0), model.Share("b", 10.0))
    picks = [placing.pick_service(shares, number / 100) for number in range(100)]
    assert picks.count("b") == 10
