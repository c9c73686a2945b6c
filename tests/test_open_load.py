"""The load whose requests come whether or not earlier ones are answered."""

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


def test_one_seed_gives_one_result() -> None:
    assert _ends(SHORT, 3) == _ends(SHORT, 3)


def test_demand_is_what_the_load_says() -> None:
    ends = _ends(SHORT)
    work_ms = sum(item.kind.work_ms for item in ends)
    asked_for = work_ms / SHORT.duration_ms / SHORT.capacity
    assert asked_for == pytest.approx(SHORT.demand, rel=0.1)


def test_worth_counts_late_answers_for_less() -> None:
    ends = [
        open_load.End(FEED, "z1", 0, FEED.objective_ms),
        open_load.End(FEED, "z1", 0, FEED.objective_ms + 1),
        open_load.End(FEED, "z1", 0, None),
    ]
    assert open_load.worth_ratio(ends) == pytest.approx((1 + FEED.late_worth) / 3)


def test_best_serves_all_up_to_capacity_and_the_dearest_beyond() -> None:
    assert open_load.max_worth_ratio(
        open_scenario.LOADS["demand_100"]
    ) == pytest.approx(1.0)
    assert open_load.max_worth_ratio(open_scenario.LOADS["demand_300"]) < 0.45


def test_unknown_load_is_named_with_those_that_exist() -> None:
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
