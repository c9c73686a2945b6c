"""Placement under load, with models of targets and callers in virtual time."""

import functools
import pathlib

import pytest

from eelgrasswick import errors
from eelgrasswick.emulation import (
    experiment,
    outcome,
    scenario_file,
)

SCENARIOS = pathlib.Path(__file__).parent.parent / "scenarios"


@functools.cache
def run_scenario(name: str, policy: str = "bounded", seed: int = 1) -> outcome.Result:
    """Run a scenario, shortened to at most 8 s, once for all tests."""
    parsed = scenario_file.parse((SCENARIOS / f"{name}.ini").read_text())
    duration_ms = min(8000, parsed.load.duration_ms)
    load = parsed.load._replace(duration_ms=duration_ms)
    run = experiment.Experiment(parsed._replace(load=load), policy, seed)
    return run.run()


@pytest.mark.parametrize(
    "name", ["saturation_20", "loss_of_third", "zone_loss", "vm_cut", "drain"]
)
def test_no_request_runs_twice_or_is_refused_after_it_began(name: str) -> None:
    """Guards against requests that take effect twice after a failure.

    A request that a target has begun must not go to another target, and a refusal,
    which says that the request did not run, must be true. Otherwise the caller sends
    it again and, for example, an educator is counted twice.
    """
    result = run_scenario(name)
    assert (result.ran_twice, result.refused_ran) == (0, 0)


def test_same_seed_gives_the_same_result() -> None:
    parsed = scenario_file.parse((SCENARIOS / "demo.ini").read_text())
    one = experiment.Experiment(parsed, "bounded", 3).run()
    assert experiment.Experiment(parsed, "bounded", 3).run() == one


@pytest.mark.parametrize("name", ["demo", "steady", "rapporto"])
def test_work_is_spread_evenly_by_strength(name: str) -> None:
    assert run_scenario(name).imbalance <= 1.1 * run_scenario(name, "oracle").imbalance
    assert run_scenario(name).in_time == run_scenario(name).requests


def test_goodput_holds_at_twice_the_capacity() -> None:
    """Guards against answers that are all late under overload.

    Callers ask for twice the capacity of the targets. Without limits every answer is
    late, although all slots work.
    """
    assert run_scenario("saturation_20").goodput >= 0.9
    assert run_scenario("saturation_20", "hash").goodput < 0.5


def test_goodput_holds_at_capacity() -> None:
    assert run_scenario("saturation_10").goodput >= 0.9


def test_callers_with_few_flows_are_served_despite_hot_callers() -> None:
    """Guards against late answers to callers beside a few that cause the overload.

    Two offices open flows in a loop and ask for more than the capacity of the targets.
    The callers of other offices must still get their answers in time.
    """
    result = run_scenario("hot_callers")
    assert result.other_share > 0.9
    assert result.other_share > result.hot_share + 0.1


def test_slow_target_gets_less_work() -> None:
    """Guards against late answers of a target that is weaker than it claims.

    A server claims four times its true strength. Hashing sends it a quarter of all
    check-ins, and most of those are late.
    """
    result = run_scenario("slow_target")
    assert result.in_time == result.requests
    assert run_scenario("slow_target", "hash").late > 0.1 * result.requests


def test_resetting_target_gets_less_work() -> None:
    """Guards against work for a target that accepts every flow and resets it."""
    result = run_scenario("resetting")
    assert result.failed < 0.5 * run_scenario("resetting", "hash").failed


def test_target_that_fails_fast_gets_no_more_than_its_share() -> None:
    """Guards against more work for a target because it fails fast.

    A target answers at once without doing its work. A VM can't distinguish such an
    answer from a good one, but must not send the target more flows for it.
    """
    result = run_scenario("fast_failure")
    assert result.failed <= 1.1 * run_scenario("fast_failure", "hash").failed


def test_false_load_reports_attract_no_work() -> None:
    """Guards against overload of a target whose load endpoint reports too little.

    The load endpoint of the weakest target reports a tenth of its true load.
    """
    result = run_scenario("lying_endpoint")
    assert result.in_time == result.requests
    assert run_scenario("lying_endpoint", "reported").late > 0.1 * result.requests


def test_loss_of_a_third_of_the_strength_delays_few_requests() -> None:
    """Guards against late answers while targets are silent.

    Targets with a third of the strength lose power. Their callers get no answer to
    the opening packet.
    """
    result = run_scenario("loss_of_third")
    assert result.in_time >= 0.99 * (result.requests - result.broken)


def test_drain_breaks_no_request() -> None:
    result = run_scenario("drain")
    assert result.in_time == result.requests


def test_control_traffic_stays_within_its_budget() -> None:
    assert run_scenario("saturation_20").control_bytes_per_s < 17_000


def test_all_faults_of_a_scenario_are_reported_together() -> None:
    text = "[load]\nof_capacity = much\nspeling = 1\n[event a]\nkind = fire\n"
    with pytest.raises(errors.ScenarioInvalidError) as raised:
        scenario_file.parse(text)
    detail = raised.value.detail
    for part in ("duration_ms is missing", "'much'", "speling", "fire", "vms"):
        assert part in detail


def test_unknown_policy_is_rejected() -> None:
    parsed = scenario_file.parse((SCENARIOS / "demo.ini").read_text())
    with pytest.raises(errors.ScenarioInvalidError):
        experiment.Experiment(parsed, "magic", 1)
