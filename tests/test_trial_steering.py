"""Tests of the trial that runs loads on flows whose packets name their target."""

import pathlib

import pytest

from eelgrasswick import errors
from eelgrasswick.emulation import cookie_load, cookie_scenario
from eelgrasswick.trials import trial_steering


def test_requests_are_counted_in_half_second_bins_by_outcome() -> None:
    """A request is counted in a wrong bin, or after the end of the load."""
    load = cookie_scenario.ORDINARY._replace(duration_ms=1000)
    ends = [
        cookie_load.End(100, 80),
        cookie_load.End(499, 400),
        cookie_load.End(700, None),
        cookie_load.End(1001, 80),
    ]
    bins = trial_steering.timeline(load, ends)
    assert bins == [
        trial_steering.EndCounts(1, 1, 0),
        trial_steering.EndCounts(0, 0, 1),
    ]


def test_error_for_unknown_load_lists_existing_loads() -> None:
    """The error for a mistyped load doesn't list the loads that exist."""
    with pytest.raises(errors.ScenarioInvalidError, match="ordinary"):
        trial_steering.play("nothing", 1)


def test_load_with_power_loss_is_plotted_and_partly_served(
    tmp_path: pathlib.Path,
) -> None:
    """No plot is written, or the power loss has no or too much effect.

    All VMs lose power at once and are back 1.4 s later. Packets of callers are
    not answered in between, so requests sent before the end of the outage are
    late or lost. Afterwards all flows continue because their packets still name
    their targets.
    """
    path = tmp_path / "power.svg"
    row = trial_steering.play("power_off", 1, path)
    assert "<svg" in path.read_text()
    assert 0.9 < row.served < 1.0


def test_no_request_fails_after_recovery_from_power_loss() -> None:
    """Restarted VMs need state of earlier flows, which they have lost.

    In that case all callers would have to open new flows.
    """
    load = cookie_scenario.LOADS["power_off"]
    run = cookie_load.Simulation(load, trial_steering.segments.Codec(), 1)
    run.run()
    bins = trial_steering.timeline(load, run.ends)
    assert sum(item.failed for item in bins[24:]) == 0


def test_burst_with_two_of_seven_targets_silent_is_served() -> None:
    """Callers wait for silent targets although others have capacity.

    Two of seven targets become silent while the number of callers rises to 2.5
    times its usual value. The other five targets must serve the requests.
    """
    row = trial_steering.play("dark_burst", 1)
    assert row.served > 0.97
