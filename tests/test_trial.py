"""Tests of the placement and dissemination trials, with small loads."""

import pytest

from eelgrasswick.trials import (
    trial_engine,
    trial_load,
    trial_placement,
    trial_spread,
)


@pytest.fixture
def small_load() -> trial_load.Load:
    """A load of 200 new flows per second on eight VMs for two seconds."""
    return trial_load.Load(8, 200, 2, 1)


def test_same_seed_generates_the_same_flows(small_load: trial_load.Load) -> None:
    """A random choice doesn't depend on the seed, so runs can't be repeated."""
    assert trial_load.generate_flows(small_load) == trial_load.generate_flows(
        small_load
    )


def test_home_design_needs_fewer_control_bytes_and_passes_than_relay(
    small_load: trial_load.Load,
) -> None:
    """The present design loses its advantage over the alternatives."""
    rows = {row.way: row for row in trial_placement.run(small_load)}
    home = rows["home"]
    assert home.control_bytes_per_flow < rows["relay"].control_bytes_per_flow
    assert home.control_bytes_per_flow < rows["slots_bounded"].control_bytes_per_flow
    assert 1.0 < home.passes < rows["relay"].passes
    assert home.lost_by_kill <= rows["relay"].lost_by_kill


def test_bound_on_load_reduces_imbalance_between_targets(
    small_load: trial_load.Load,
) -> None:
    """Placement ignores the bound on the load of targets."""
    tight = small_load._replace(bound_factor=1.1)
    rows = {row.way: row for row in trial_placement.run(tight)}
    assert rows["home"].imbalance < rows["slots_plain"].imbalance
    assert rows["slots_plain"].exception_share == 0.0


def test_engines_break_no_flow_when_target_drains_and_vm_is_killed() -> None:
    """A drain or the loss of a VM resets a flow or moves it to a second target."""
    row = trial_engine.run(trial_load.Load(4, 40, 2, 1))
    assert row.ended == row.flows
    assert row.broken == 0
    assert row.doubled == 0


def test_push_disseminates_changes_faster_than_pull_alone() -> None:
    """Announcements don't speed up dissemination, or open a watch at every VM."""
    pull = trial_spread.measure(8, 0, 0.0, 1)
    push = trial_spread.measure(8, 4, 0.0, 1)
    assert push.median_ms < pull.median_ms
    assert push.missing == pull.missing == 0
    assert push.watches <= 6


def test_every_vm_receives_each_change_when_a_fifth_of_datagrams_is_lost() -> None:
    """A VM that misses an announcement keeps old rules until the next change."""
    assert trial_spread.measure(8, 2, 0.2, 1).missing == 0
