"""Which part of new flows is refused while answers are late."""

import pytest

from eelgrasswick.decisions import overload

POOL = overload.Pool("desk", "z1")
FEED = overload.Rank(1, 2)
UPLOAD = overload.Rank(0, 2)


@pytest.fixture
def refusals() -> overload.LoadShedder:
    return overload.LoadShedder()


@pytest.fixture
def calm(refusals: overload.LoadShedder) -> int:
    """Have answers been quick; return the time until when."""
    return _answers(refusals, 0.2, 20)


def _answers(
    refusals: overload.LoadShedder,
    ratio: float,
    count: int,
    from_ms: int = 0,
    refused: bool = False,
) -> int:
    """Feed answers, one each 10 ms; return the time of the last."""
    for number in range(count):
        now_ms = from_ms + 10 * number
        refusals.answered(now_ms, POOL, ratio, refused, 2)
    return now_ms


def test_nothing_is_refused_without_an_answer(refusals: overload.LoadShedder) -> None:
    assert refusals.refused_share(0, POOL, FEED) == 0


def test_stragglers_turn_nobody_away(refusals: overload.LoadShedder) -> None:
    """One of four answers is late, as when one of four targets is slow."""
    for number in range(200):
        ratio = 1.5 if number % 4 == 0 else 0.3
        refusals.answered(10 * number, POOL, ratio, False, 2)
    assert refusals.refused_share(2000, POOL, FEED) == 0
    assert refusals.changed == []


def test_late_answers_have_the_least_urgent_refused_first(
    refusals: overload.LoadShedder, calm: int
) -> None:
    """Nearly every answer is late, and feeds and uploads share the targets.

    Were both refused alike, uploads would be lost that can be served.
    """
    now_ms = _answers(refusals, 1.5, 40, calm)
    assert refusals.changed == [POOL]
    assert refusals.refused_share(now_ms, POOL, FEED) > 0.5
    assert refusals.refused_share(now_ms, POOL, UPLOAD) == 0
    now_ms = _answers(refusals, 1.5, 300, now_ms)
    assert refusals.refused_share(now_ms, POOL, FEED) == 1
    assert refusals.refused_share(now_ms, POOL, UPLOAD) > 0.5


def test_refusals_of_a_full_target_count_as_late(
    refusals: overload.LoadShedder, calm: int
) -> None:
    """A target that is full answers at once, that it does not.

    Quick as they are, such answers would say that there is room.
    """
    now_ms = _answers(refusals, 0.05, 40, calm, refused=True)
    assert refusals.refused_share(now_ms, POOL, FEED) > 0.4


def test_all_are_let_in_soon_after_the_overload(
    refusals: overload.LoadShedder, calm: int
) -> None:
    """The burst is over and answers are as quick as ever.

    Each flow that is refused now would have been answered in time.
    """
    now_ms = _answers(refusals, 1.5, 60, calm)
    now_ms = _answers(refusals, 0.2, 200, now_ms)
    assert refusals.refused_share(now_ms, POOL, FEED) < 0.05


def test_refusing_fades_when_no_answer_comes(
    refusals: overload.LoadShedder, calm: int
) -> None:
    """Everything is refused, so that no answer tells when there is room again."""
    now_ms = _answers(refusals, 1.5, 400, calm)
    assert refusals.refused_share(now_ms + 5000, POOL, FEED) < 0.05


def test_objective_that_is_never_met_refuses_nobody(
    refusals: overload.LoadShedder,
) -> None:
    """Operators set 100 ms for requests whose work takes 150 ms.

    Refusing some of them makes no other any quicker.
    """
    now_ms = _answers(refusals, 1.5, 400)
    assert refusals.refused_share(now_ms, POOL, FEED) == 0


def test_switched_off_it_refuses_nobody() -> None:
    refusals = overload.LoadShedder(enabled=False)
    now_ms = _answers(refusals, 0.2, 20)
    now_ms = _answers(refusals, 1.5, 400, now_ms)
    assert refusals.refused_share(now_ms, POOL, FEED) == 0


def test_short_answers_are_refusals() -> None:
    sizes = overload.ResponseSizes()
    assert not sizes.refused("r1", 2400)
    assert not sizes.refused("r1", 700)
    assert sizes.refused("r1", 150)
    assert not sizes.refused("r2", 150)


def test_what_is_gone_is_forgotten(refusals: overload.LoadShedder, calm: int) -> None:
    """Routes and services come and go for weeks, and a VM must not grow with them."""
    now_ms = _answers(refusals, 1.5, 60, calm)
    refusals.keep([])
    assert refusals.refused_share(now_ms, POOL, FEED) == 0
    assert not refusals.limiting(POOL)
    sizes = overload.ResponseSizes()
    sizes.refused("r1", 2400)
    sizes.keep(["r2"])
    assert not sizes.refused("r1", 150)


def test_lost_acknowledgement_makes_no_refusals() -> None:
    """A caller's first acknowledgement of a long answer is lost on the way.

    The next one covers far more than usual. Were that taken for the usual length,
    every answer after it would pass for a refusal, and callers would be turned away
    from targets that have room.
    """
    sizes = overload.ResponseSizes()
    sizes.refused("r1", 2400)
    assert not sizes.refused("r1", 40_000)
    assert not sizes.refused("r1", 2400)
    assert not sizes.refused("r1", 700)
    assert sizes.refused("r1", 150)


def test_priorities_without_traffic_do_not_count() -> None:
    """Routes that nobody uses are listed with all priorities there are."""
    levels = overload.PriorityLevels()
    for number in range(100):
        levels.opened(number, "desk", 1 if number % 4 == 0 else 2)
    levels.opened(100, "desk", 0)
    assert levels.rank("desk", 1) == overload.Rank(0, 2)
    assert levels.rank("desk", 2) == overload.Rank(1, 2)
    assert levels.rank("shop", 5) == overload.Rank(0, 1)
