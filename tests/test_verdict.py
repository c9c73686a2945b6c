"""When a silent target counts as dead."""

import pytest

from eelgrasswick.cookie import verdict


@pytest.fixture
def cases() -> verdict.Verdicts:
    return verdict.Verdicts()


def test_silent_target_that_accepts_nothing_is_dead(cases: verdict.Verdicts) -> None:
    """A server crashed without a word, others of its zone go on."""
    assert cases.begin(1000, 7, path_ms=900)
    assert not cases.dead(7)
    assert cases.probed(1250, 7, accepted=False, path_ms=1200)
    assert cases.dead(7)


def test_slow_target_is_not_dead(cases: verdict.Verdicts) -> None:
    """A server works on long requests and its callers send again.

    A reset would break off what it is about to answer.
    """
    cases.begin(1000, 7, path_ms=900)
    assert not cases.probed(1250, 7, accepted=True, path_ms=1200)
    assert not cases.dead(7)
    assert not cases.begin(1300, 7, path_ms=1300)
    assert cases.begin(1250 + verdict.AGAIN_MS, 7, path_ms=2700)


def test_target_behind_a_cut_is_not_dead(cases: verdict.Verdicts) -> None:
    """A zone is cut off; its servers live and their flows go on afterwards."""
    assert not cases.begin(3000, 7, path_ms=1000)
    assert cases.begin(3000, 8, path_ms=2500)
    assert not cases.probed(3600, 8, accepted=False, path_ms=2500)
    assert not cases.dead(8)


def test_target_behind_a_cut_that_has_just_begun_is_not_dead(
    cases: verdict.Verdicts,
) -> None:
    """A zone is cut off, and one of its servers is found silent right then.

    Others of the zone answered a moment before the cut, which proves nothing.
    Reset, the flows of a server that lives would be broken.
    """
    assert cases.begin(500, 7, path_ms=5)
    assert not cases.probed(750, 7, accepted=False, path_ms=20)
    assert not cases.dead(7)


def test_answer_closes_the_case(cases: verdict.Verdicts) -> None:
    cases.begin(1000, 7, path_ms=900)
    cases.answered(7)
    assert not cases.probed(1250, 7, accepted=False, path_ms=1200)
    assert not cases.dead(7)
