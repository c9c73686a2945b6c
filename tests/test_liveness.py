"""When a silent target counts as dead."""

import pytest

from eelgrasswick.cookie import liveness


@pytest.fixture
def checks() -> liveness.Liveness:
    return liveness.Liveness()


def test_silent_target_that_accepts_nothing_is_dead(checks: liveness.Liveness) -> None:
    """A server crashed without a word, others of its zone go on."""
    assert checks.begin(1000, 7, path_ms=900)
    assert not checks.dead(1000, 7)
    assert checks.record_probe(1250, 7, accepted=False, path_ms=1200)
    assert checks.dead(1250, 7)


def test_slow_target_is_not_dead(checks: liveness.Liveness) -> None:
    """A server works on long requests and its callers send again.

    A reset would break off what it is about to answer.
    """
    checks.begin(1000, 7, path_ms=900)
    assert not checks.record_probe(1250, 7, accepted=True, path_ms=1200)
    assert not checks.dead(1250, 7)
    assert not checks.begin(1300, 7, path_ms=1300)
    assert checks.begin(1250 + liveness.RECHECK_INTERVAL_MS, 7, path_ms=2700)


def test_target_behind_a_cut_is_not_dead(checks: liveness.Liveness) -> None:
    """A zone is cut off; its servers live and their flows go on afterwards."""
    assert not checks.begin(3000, 7, path_ms=1000)
    assert checks.begin(3000, 8, path_ms=2500)
    assert not checks.record_probe(3600, 8, accepted=False, path_ms=2500)
    assert not checks.dead(3600, 8)


def test_target_behind_a_cut_that_has_just_begun_is_not_dead(
    checks: liveness.Liveness,
) -> None:
    """A zone is cut off, and one of its servers is found silent right then.

    Others of the zone answered a moment before the cut, which proves nothing.
    Reset, the flows of a server that lives would be broken.
    """
    assert checks.begin(500, 7, path_ms=5)
    assert not checks.record_probe(750, 7, accepted=False, path_ms=20)
    assert not checks.dead(750, 7)


def test_missing_entry_tells_a_crash_from_a_cut(checks: liveness.Liveness) -> None:
    """A server crashed for good, and its entry lapsed seconds ago.

    On a fleet of many VMs one sees an answer of the server's zone now and then, but
    seldom within the fraction of a second that a refused connection takes.
    """
    assert checks.begin(9000, 7, path_ms=8500)
    assert checks.record_probe(9001, 7, accepted=False, path_ms=8500, missing=True)
    assert checks.dead(9001, 7)


def test_answer_closes_the_check(checks: liveness.Liveness) -> None:
    checks.begin(1000, 7, path_ms=900)
    checks.record_answer(7)
    assert not checks.record_probe(1250, 7, accepted=False, path_ms=1200)
    assert not checks.dead(1250, 7)


def test_target_that_was_cut_off_is_not_dead_for_good(
    checks: liveness.Liveness,
) -> None:
    """A server's own link is cut while its neighbours answer, and heals.

    It was taken for dead rightly, as nothing told the cut from a crash. Were the
    verdict to stay, each flow that other VMs open on it would be reset as soon as
    a packet of it came here.
    """
    checks.begin(1000, 7, path_ms=900)
    assert checks.record_probe(1250, 7, accepted=False, path_ms=1200)
    lapsed_ms = 1250 + liveness.DEAD_HOLD_MS
    assert checks.dead(lapsed_ms - 1, 7)
    assert not checks.dead(lapsed_ms, 7)


def test_verdict_that_lapsed_is_checked_at_once(checks: liveness.Liveness) -> None:
    """A server stays dark for longer than a verdict holds.

    Its callers' next packets should not have to wait for their repetitions.
    """
    checks.begin(1000, 7, path_ms=900)
    checks.record_probe(1250, 7, accepted=False, path_ms=1200)
    lapsed_ms = 1250 + liveness.DEAD_HOLD_MS
    assert not checks.lapsed(lapsed_ms - 1, 7)
    assert checks.lapsed(lapsed_ms, 7)
    assert checks.begin(lapsed_ms, 7, path_ms=lapsed_ms - 100)
    assert not checks.lapsed(lapsed_ms, 7)
    assert checks.record_probe(
        lapsed_ms + 250, 7, accepted=False, path_ms=lapsed_ms + 9
    )
    assert checks.dead(lapsed_ms + 260, 7)


def test_verdict_is_dropped_when_the_way_is_not_known(
    checks: liveness.Liveness,
) -> None:
    """After a verdict the whole zone is cut off, and nobody of it answers.

    Whether the server lives can't be told any more, so nothing is reset.
    """
    checks.begin(1000, 7, path_ms=900)
    checks.record_probe(1250, 7, accepted=False, path_ms=1200)
    lapsed_ms = 1250 + liveness.DEAD_HOLD_MS
    assert not checks.begin(lapsed_ms, 7, path_ms=1300)
    assert not checks.dead(lapsed_ms, 7)
