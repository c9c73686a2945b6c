"""Simulated loads whose requests arrive at a rate independent of answers."""

import pathlib

import pytest

from eelgrasswick import errors
from eelgrasswick.emulation import open_load, open_scenario
from eelgrasswick.platform import segments
from eelgrasswick.trials import trial_overload

FEED = open_scenario.KINDS[0]
SHORT = open_scenario.LOADS["demand_70"]._replace(duration_ms=4000)


def _ends(load: open_scenario.Load, seed: int = 1) -> list[open_load.End]:
    return open_load.Simulation(load, segments.Codec(), seed).run()


def test_same_seed_gives_the_same_result() -> None:
    assert _ends(SHORT, 3) == _ends(SHORT, 3)


def test_demand_is_that_of_the_load() -> None:
    ends = _ends(SHORT)
    work_ms = sum(item.kind.work_ms for item in ends)
    demand = work_ms / SHORT.duration_ms / SHORT.capacity
    assert demand == pytest.approx(SHORT.demand, rel=0.1)


def test_worth_ratio_counts_late_answers_for_less() -> None:
    ends = [
        open_load.End(FEED, "z1", 0, FEED.objective_ms),
        open_load.End(FEED, "z1", 0, FEED.objective_ms + 1),
        open_load.End(FEED, "z1", 0, None),
    ]
    assert open_load.worth_ratio(ends) == pytest.approx((1 + FEED.late_worth) / 3)


def test_max_worth_ratio_is_1_up_to_capacity_and_less_beyond() -> None:
    assert open_load.max_worth_ratio(
        open_scenario.LOADS["demand_100"]
    ) == pytest.approx(1.0)
    assert open_load.max_worth_ratio(open_scenario.LOADS["demand_300"]) < 0.45


def test_unknown_load_is_rejected_with_a_list_of_known_loads() -> None:
    with pytest.raises(errors.ScenarioInvalidError, match="zone_cut"):
        trial_overload.play("nothing", 1)


def test_picture_is_drawn(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setitem(open_scenario.LOADS, "short", SHORT)
    path = tmp_path / "short.svg"
    row = trial_overload.play("short", 1, path)
    assert "<svg" in path.read_text()
    assert row.asked > 0
