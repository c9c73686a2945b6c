"""The trials on which the design rests, at a small size."""

import pytest

from eelgrasswick.trials import (
    trial_engine,
    trial_load,
    trial_placement,
    trial_spread,
)


@pytest.fixture
def small_load() -> trial_load.Load:
    """Two hundred flows a second over eight VMs for two seconds."""
    return trial_load.Load(8, 200, 2, 1)


def test_load_is_the_same_for_a_seed(small_load: trial_load.Load) -> None:
    assert trial_load.generate_flows(small_load) == trial_load.generate_flows(
        small_load
    )


def test_home_needs_fewer_control_bytes_than_a_relay(
    small_load: trial_load.Load,
) -> None:
    rows = {row.way: row for row in trial_placement.run(small_load)}
    home = rows["home"]
    assert home.control_bytes_per_flow < rows["relay"].control_bytes_per_flow
    assert home.control_bytes_per_flow < rows["slots_bounded"].control_bytes_per_flow
    assert 1.0 < home.passes < rows["relay"].passes
    assert home.lost_by_kill <= rows["relay"].lost_by_kill


def test_bound_keeps_targets_nearer_to_their_share(
    small_load: trial_load.Load,
) -> None:
    tight = small_load._replace(bound_factor=1.1)
    rows = {row.way: row for row in trial_placement.run(tight)}
    assert rows["home"].imbalance < rows["slots_plain"].imbalance
    assert rows["slots_plain"].exception_share == 0.0


def test_engines_keep_every_flow_through_drain_and_kill() -> None:
    # A target drains and a VM dies without warning while flows are open. A
    # caller would notice a reset, or two targets that work on its request.
    row = trial_engine.run(trial_load.Load(4, 40, 2, 1))
    assert row.ended == row.flows
    assert row.broken == 0
    assert row.doubled == 0


def test_push_is_faster_than_pull_alone() -> None:
    pull = trial_spread.measure(8, 0, 0.0, 1)
    push = trial_spread.measure(8, 4, 0.0, 1)
    assert push.median_ms < pull.median_ms
    assert push.missing == pull.missing == 0
    assert push.watches <= 6


def test_lost_announcements_are_repaired() -> None:
    # A fifth of all datagrams is lost, announcements among them. A VM that
    # missed one would go on by old rules until the next change.
    assert trial_spread.measure(8, 2, 0.2, 1).missing == 0
