"""Noticing that a VM has stood still."""

from eelgrasswick.cookie import stall


def test_busy_vm_has_no_gap() -> None:
    stalls = stall.Stalls(1000)
    for now_ms in range(1100, 2000, 100):
        assert stalls.record_activity(now_ms) == 100
    assert not stalls.gap_since(1500, 1950)


def test_gap_during_a_probe_is_noticed() -> None:
    """A VM stands still while it waits for a server to accept a connection.

    When it goes on, the timer of the probe runs first and the answer is read
    later. Taken for dead, a server that lives would lose its open flows.
    """
    stalls = stall.Stalls(1000)
    stalls.record_activity(1100)
    assert stalls.record_activity(1100 + stall.PROBE_GAP_MS + 1) > stall.PROBE_GAP_MS
    assert stalls.gap_since(1150, 1300)
    assert not stalls.gap_since(1300, 1350)


def test_gap_that_has_just_ended_is_noticed() -> None:
    """The timer of the probe is the first thing that runs after the gap."""
    stalls = stall.Stalls(1000)
    stalls.record_activity(1100)
    assert stalls.gap_since(1110, 1110 + 250)
