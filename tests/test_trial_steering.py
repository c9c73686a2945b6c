"""The command that plays loads on flows that name their target."""

import pathlib

import pytest

from eelgrasswick import errors
from eelgrasswick.emulation import cookie_load, cookie_scenario
from eelgrasswick.trials import trial_steering


def test_ends_are_sorted_into_half_seconds() -> None:
    load = cookie_scenario.ORDINARY._replace(duration_ms=1000)
    ends = [
        cookie_load.End(100, 80),
        cookie_load.End(499, 400),
        cookie_load.End(700, None),
        cookie_load.End(1001, 80),
    ]
    found = trial_steering.timeline(load, ends)
    assert found == [trial_steering.Second(1, 1, 0), trial_steering.Second(0, 0, 1)]


def test_unknown_load_is_named_with_those_that_exist() -> None:
    with pytest.raises(errors.ScenarioInvalidError, match="ordinary"):
        trial_steering.play("nothing", 1)


def test_picture_shows_a_loss_of_power(tmp_path: pathlib.Path) -> None:
    """All VMs lose power at once and are back 1.4 s later.

    Callers' packets find nobody meanwhile. What was asked before the end of the
    outage is late or lost; afterwards all flows go on, as their packets still
    name their targets.
    """
    path = tmp_path / "power.svg"
    row = trial_steering.play("power_off", 1, path)
    assert "<svg" in path.read_text()
    assert 0.9 < row.served < 1.0


def test_flows_go_on_after_a_loss_of_power() -> None:
    """The VMs that come back know no flow that was open before.

    Were they to need such knowledge, all callers would have to open new flows.
    """
    load = cookie_scenario.LOADS["power_off"]
    run = cookie_load.Simulation(load, trial_steering.segments.Codec(), 1)
    run.run()
    seconds = trial_steering.timeline(load, run.ends)
    assert sum(item.failed for item in seconds[24:]) == 0


def test_burst_with_dark_servers_is_served() -> None:
    """Two of seven servers vanish while 2.5 times the callers come everywhere.

    Five servers must carry what is left; nobody should wait on the two.
    """
    row = trial_steering.play("dark_burst", 1)
    assert row.served > 0.97
