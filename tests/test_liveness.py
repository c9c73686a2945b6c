"""Tests of the decision that a silent target is dead."""

import pytest

from eelgrasswick.cookie import liveness


@pytest.fixture
def checks() -> liveness.Liveness:
    return liveness.Liveness()


def test_silent_target_that_accepts_nothing_is_dead(checks: liveness.Liveness) -> None:
    """Guards against a crashed server that stays undetected while its zone works."""
    assert checks.begin(1000, 7, zone_answered_ms=900)
    assert not checks.dead(1000, 7)
    assert checks.record_probe(1250, 7, accepted=False, path_proven=True)
    assert checks.dead(1250, 7)


def test_slow_target_is_not_dead(checks: liveness.Liveness) -> None:
    """Guards against resets of flows whose server works on long requests."""
    checks.begin(1000, 7, zone_answered_ms=900)
    assert not checks.record_probe(1250, 7, accepted=True, path_proven=True)
    assert not checks.dead(1250, 7)
    assert not checks.begin(1300, 7, zone_answered_ms=1300)
    assert checks.begin(1250 + liveness.RECHECK_INTERVAL_MS, 7, zone_answered_ms=2700)


def test_target_behind_a_cut_is_not_dead(checks: liveness.Liveness) -> None:
    """Guards against resets of flows to a zone that is cut off for a while."""
    assert not checks.begin(3000, 7, zone_answered_ms=1000)
    assert checks.begin(3000, 8, zone_answered_ms=2500)
    assert not checks.record_probe(3600, 8, accepted=False, path_proven=False)
    assert not checks.dead(3600, 8)


def test_target_behind_a_cut_that_has_just_begun_is_not_dead(
    checks: liveness.Liveness,
) -> None:
    """Guards against resets of a live server's flows just after a cut.

    Other servers of the zone answered a moment before the cut, which proves nothing
    about the path after it.
    """
    assert checks.begin(500, 7, zone_answered_ms=5)
    assert not checks.record_probe(750, 7, accepted=False, path_proven=False)
    assert not checks.dead(750, 7)


def test_missing_entry_distinguishes_a_crash_from_a_cut(
    checks: liveness.Liveness,
) -> None:
    """Guards against a crashed server with an expired entry that stays undetected.

    Each VM of a large fleet receives an answer of the server's zone now and then, but
    rarely within the fraction of a second that a refused connection takes.
    """
    assert checks.begin(9000, 7, zone_answered_ms=8500)
    assert checks.record_probe(9001, 7, accepted=False, path_proven=False, missing=True)
    assert checks.dead(9001, 7)


def test_answer_closes_the_check(checks: liveness.Liveness) -> None:
    checks.begin(1000, 7, zone_answered_ms=900)
    checks.record_answer(7)
    assert not checks.record_probe(1250, 7, accepted=False, path_proven=True)
    assert not checks.dead(1250, 7)


def test_dead_state_expires(
    checks: liveness.Liveness,
) -> None:
    """Guards against resets of new flows on a server whose own link was cut.

    This cut can't be distinguished from a crash, so the server is marked dead. If the
    state did not expire, this VM would reset each flow that other VMs open on the
    server afterwards.
    """
    checks.begin(1000, 7, zone_answered_ms=900)
    assert checks.record_probe(1250, 7, accepted=False, path_proven=True)
    lapsed_ms = 1250 + liveness.DEAD_HOLD_MS
    assert checks.dead(lapsed_ms - 1, 7)
    assert not checks.dead(lapsed_ms, 7)


def test_target_is_probed_again_once_its_dead_state_expired(
    checks: liveness.Liveness,
) -> None:
    """Guards against callers of a dead server that wait for retransmissions.

    The server stays unreachable for longer than its dead state lasts.
    """
    checks.begin(1000, 7, zone_answered_ms=900)
    checks.record_probe(1250, 7, accepted=False, path_proven=True)
    lapsed_ms = 1250 + liveness.DEAD_HOLD_MS
    assert not checks.lapsed(lapsed_ms - 1, 7)
    assert checks.lapsed(lapsed_ms, 7)
    assert checks.begin(lapsed_ms, 7, zone_answered_ms=lapsed_ms - 100)
    assert not checks.lapsed(lapsed_ms, 7)
    assert checks.record_probe(lapsed_ms + 250, 7, accepted=False, path_proven=True)
    assert checks.dead(lapsed_ms + 260, 7)


def test_target_is_not_dead_again_while_its_zone_is_unreachable(
    checks: liveness.Liveness,
) -> None:
    """Guards against resets when a zone is cut off after one of its servers died.

    The VM can't determine any more whether the server is alive.
    """
    checks.begin(1000, 7, zone_answered_ms=900)
    checks.record_probe(1250, 7, accepted=False, path_proven=True)
    lapsed_ms = 1250 + liveness.DEAD_HOLD_MS
    assert not checks.begin(lapsed_ms, 7, zone_answered_ms=1300)
    assert not checks.dead(lapsed_ms, 7)
