"""The decisions under load, against models of targets and callers."""

import functools
import pathlib

import pytest

from eelgrasswick import errors
from eelgrasswick.emulation import (
    experiment,
    outcome,
    scenario_file,
)

FOLDER = pathlib.Path(__file__).parent.parent / "scenarios"


@functools.cache
def played(name: str, policy: str = "bounded", seed: int = 1) -> outcome.Result:
    """Run a scenario, once for all tests."""
    read = scenario_file.parse((FOLDER / f"{name}.ini").read_text())
    short = min(8000, read.load.duration_ms)
    load = read.load._replace(duration_ms=short)
    run = experiment.Experiment(read._replace(load=load), policy, seed)
    return run.run()


@pytest.mark.parametrize(
    "name", ["saturation_20", "loss_of_third", "zone_loss", "vm_cut", "drain"]
)
def test_nothing_runs_twice_and_no_refusal_lies(name: str) -> None:
    # Whatever fails, a request that a target has begun must not go to another
    # one, and "not run" must be true: an educator would be counted twice.
    result = played(name)
    assert (result.ran_twice, result.refused_ran) == (0, 0)


def test_run_is_the_same_for_the_same_seed() -> None:
    read = scenario_file.parse((FOLDER / "demo.ini").read_text())
    one = experiment.Experiment(read, "bounded", 3).run()
    assert experiment.Experiment(read, "bounded", 3).run() == one


@pytest.mark.parametrize("name", ["demo", "steady", "rapporto"])
def test_work_is_even(name: str) -> None:
    assert played(name).imbalance <= 1.1 * played(name, "oracle").imbalance
    assert played(name).in_time == played(name).requests


def test_goodput_holds_at_twice_the_capacity() -> None:
    # Callers bring twice what the targets can do. Without limits every answer
    # is late, although all slots work.
    assert played("saturation_20").goodput >= 0.9
    assert played("saturation_20", "hash").goodput < 0.5


def test_goodput_holds_at_capacity() -> None:
    assert played("saturation_10").goodput >= 0.9


def test_callers_with_few_flows_are_served_beside_hot_ones() -> None:
    # Two offices open flows in a loop and bring more than the targets can do.
    # The other offices must not notice.
    result = played("hot_callers")
    assert result.other_share > 0.9
    assert result.other_share > result.hot_share + 0.1


def test_slow_target_gets_less_work() -> None:
    # A server claims four times the strength it has. Hashing would send it a
    # quarter of all check-ins, and most of those would be late.
    result = played("slow_target")
    assert result.in_time == result.requests
    assert played("slow_target", "hash").late > 0.1 * result.requests


def test_resetting_target_loses_its_work() -> None:
    # A target accepts every flow and resets it.
    result = played("resetting")
    assert result.failed < 0.5 * played("resetting", "hash").failed


def test_fast_failure_draws_no_more_work_than_its_share() -> None:
    # A target answers at once without doing its work. An entry VM can't tell
    # that from a good answer, but must not reward it.
    result = played("fast_failure")
    assert result.failed <= 1.1 * played("fast_failure", "hash").failed


def test_lying_endpoint_moves_no_work() -> None:
    # The weakest target tells its load endpoint a tenth of the truth.
    result = played("lying_endpoint")
    assert result.in_time == result.requests
    assert played("lying_endpoint", "reported").late > 0.1 * result.requests


def test_loss_of_a_third_of_the_targets_delays_few() -> None:
    # Targets with a third of the strength lose their power. Their callers get
    # no answer to the opening packet.
    result = played("loss_of_third")
    assert result.in_time >= 0.99 * (result.requests - result.broken)


def test_drain_breaks_nothing() -> None:
    result = played("drain")
    assert result.in_time == result.requests


def test_control_traffic_stays_within_its_budget() -> None:
    assert played("saturation_20").control_bytes_per_s < 17_000


def test_scenario_faults_are_listed_together() -> None:
    text = "[load]\nof_capacity = much\nspeling = 1\n[event a]\nkind = fire\n"
    with pytest.raises(errors.ScenarioInvalidError) as raised:
        scenario_file.parse(text)
    detail = raised.value.detail
    for part in ("duration_ms is missing", "'much'", "speling", "fire", "vms"):
        assert part in detail


def test_unknown_policy_is_refused() -> None:
    read = scenario_file.parse((FOLDER / "demo.ini").read_text())
    with pytest.raises(errors.ScenarioInvalidError):
        experiment.Experiment(read, "magic", 1)
