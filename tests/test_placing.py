"""Where a new flow goes."""

import collections
import random
import typing

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


def test_own_zone_first() -> None:
    candidates = [_candidate("i-0a"), _candidate("i-0b", "z2")]
    assert set(_fill(candidates, 2)) == {"i-0a"}


def test_burst_in_one_zone_is_carried_by_others() -> None:
    """Many callers come at once in one zone.

    With its own targets only, their requests would queue while targets of
    other zones are idle.
    """
    candidates = [
        _candidate("i-0a"),
        _candidate("i-0b", "z2"),
        _candidate("i-0c", "z2"),
    ]
    placed = _fill(candidates, 60)
    assert placed["i-0b"] + placed["i-0c"] >= 30
    assert placed["i-0a"] >= 15


def test_zone_with_one_target_less_keeps_its_flows() -> None:
    """Zones differ by a target, and the link between them may be cut.

    Flows that left their zone without need would all stop then.
    """
    candidates = [_candidate("i-0a", flows=20), _candidate("i-0b", "z2", flows=15)]
    assert set(_fill(candidates, 5)) == {"i-0a"}


def test_slow_target_gets_less() -> None:
    placed = _fill([_candidate("i-0a", speed=0.5), _candidate("i-0b")], 30)
    assert 9 <= placed["i-0a"] <= 11


def test_cold_target_gets_less() -> None:
    placed = _fill([_candidate("i-0a", cold=True), _candidate("i-0b")], 32)
    assert 11 <= placed["i-0a"] <= 13


def test_nothing_without_candidates() -> None:
    assert placing.choose_target([], "z1", placing.Draws(0.5, 0.5)) is None


def test_shares_of_a_route() -> None:
    shares = (model.Share("a", 90.0), model.Share("b", 10.0))
    picks = [placing.pick_service(shares, number / 100) for number in range(100)]
    assert picks.count("b") == 10
