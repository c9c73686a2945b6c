"""Tests of the detection of stalls."""

from eelgrasswick.cookie import stall


def test_busy_vm_has_no_gap() -> None:
    stalls = stall.Stalls(1000)
    for now_ms in range(1100, 2000, 100):
        assert stalls.record_activity(now_ms) == 100
    assert not stalls.gap_since(1500, 1950)


def test_gap_during_a_probe_is_detected() -> None:
    """Guards against resets of a live server's flows after a stall during a probe.

    After the stall the timer of the probe runs first, and the answer is read later.
    """
    stalls = stall.Stalls(1000)
    stalls.record_activity(1100)
    assert stalls.record_activity(1100 + stall.PROBE_GAP_MS + 1) > stall.PROBE_GAP_MS
    assert stalls.gap_since(1150, 1300)
    assert not stalls.gap_since(1300, 1350)


def test_gap_that_has_just_ended_is_detected() -> None:
    """Guards against a missed gap when the probe's timer runs first after it."""
    stalls = stall.Stalls(1000)
    stalls.record_activity(1100)
    assert stalls.gap_since(1110, 1110 + 250)


def test_longest_gap_covers_the_time_of_a_probe_only() -> None:
    stalls = stall.Stalls(1000)
    for now_ms in (1100, 1250, 1280, 1290):
        stalls.record_activity(now_ms)
    assert stalls.longest_gap_ms(1150, 1300) == 150
    assert stalls.longest_gap_ms(1260, 1300) == 30
    assert stalls.longest_gap_ms(1285, 1390) == 100
