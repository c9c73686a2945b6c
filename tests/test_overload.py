"""Tests of the share of new flows that is refused while answers are late."""

import pytest

from eelgrasswick.decisions import overload

POOL = overload.Pool("desk", "z1")
FEED = overload.Rank(1, 2)
UPLOAD = overload.Rank(0, 2)


@pytest.fixture
def shedder() -> overload.LoadShedder:
    return overload.LoadShedder()


@pytest.fixture
def calm_until_ms(shedder: overload.LoadShedder) -> int:
    """Record quick answers; return the time of the last."""
    return _record_answers(shedder, 0.2, 20)


def _record_answers(
    shedder: overload.LoadShedder,
    ratio: float,
    count: int,
    from_ms: int = 0,
    refused: bool = False,
) -> int:
    """Record answers, one every 10 ms; return the time of the last."""
    for number in range(count):
        now_ms = from_ms + 10 * number
        shedder.answered(now_ms, POOL, ratio, refused, 2)
    return now_ms


def test_no_answers_refuse_no_flow(shedder: overload.LoadShedder) -> None:
    """Guards against refusals by a VM that has measured nothing yet."""
    assert shedder.refused_share(0, POOL, FEED) == 0


def test_quarter_of_late_answers_refuses_no_flow(shedder: overload.LoadShedder) -> None:
    """Guards against refusals because one of four targets is slow."""
    for number in range(200):
        ratio = 1.5 if number % 4 == 0 else 0.3
        shedder.answered(10 * number, POOL, ratio, False, 2)
    assert shedder.refused_share(2000, POOL, FEED) == 0
    assert shedder.changed == []


def test_late_answers_refuse_the_least_urgent_level_first(
    shedder: overload.LoadShedder, calm_until_ms: int
) -> None:
    """Guards against refused uploads that could be served.

    Nearly every answer is late, and feeds and the more urgent uploads share the
    targets.
    """
    now_ms = _record_answers(shedder, 1.5, 40, calm_until_ms)
    assert shedder.changed == [POOL]
    assert shedder.refused_share(now_ms, POOL, FEED) > 0.5
    assert shedder.refused_share(now_ms, POOL, UPLOAD) == 0
    now_ms = _record_answers(shedder, 1.5, 300, now_ms)
    assert shedder.refused_share(now_ms, POOL, FEED) == 1
    assert shedder.refused_share(now_ms, POOL, UPLOAD) > 0.5


def test_quick_refusals_of_a_full_target_count_as_late(
    shedder: overload.LoadShedder, calm_until_ms: int
) -> None:
    """Guards against treating the quick refusals of a full target as spare room."""
    now_ms = _record_answers(shedder, 0.05, 40, calm_until_ms, refused=True)
    assert shedder.refused_share(now_ms, POOL, FEED) > 0.4


def test_quick_answers_after_an_overload_admit_all_flows(
    shedder: overload.LoadShedder, calm_until_ms: int
) -> None:
    """Guards against refusals that outlast a burst.

    Each flow that is refused then would have been answered in time.
    """
    now_ms = _record_answers(shedder, 1.5, 60, calm_until_ms)
    now_ms = _record_answers(shedder, 0.2, 200, now_ms)
    assert shedder.refused_share(now_ms, POOL, FEED) < 0.05


def test_refused_share_decays_without_answers(
    shedder: overload.LoadShedder, calm_until_ms: int
) -> None:
    """Guards against refusing all flows forever, which leaves no answer to measure."""
    now_ms = _record_answers(shedder, 1.5, 400, calm_until_ms)
    assert shedder.refused_share(now_ms + 5000, POOL, FEED) < 0.05


def test_objective_that_is_never_met_refuses_no_flow(
    shedder: overload.LoadShedder,
) -> None:
    """Guards against refusals that make no other answer quicker.

    Operators set 100 ms for requests whose work takes 150 ms.
    """
    now_ms = _record_answers(shedder, 1.5, 400)
    assert shedder.refused_share(now_ms, POOL, FEED) == 0


def test_disabled_load_shedding_refuses_no_flow() -> None:
    """Guards against refusals that operators have disabled."""
    shedder = overload.LoadShedder(enabled=False)
    now_ms = _record_answers(shedder, 0.2, 20)
    now_ms = _record_answers(shedder, 1.5, 400, now_ms)
    assert shedder.refused_share(now_ms, POOL, FEED) == 0


def test_answer_much_shorter_than_usual_is_a_refusal() -> None:
    """Guards against refusals of targets that are treated as answers."""
    sizes = overload.ResponseSizes()
    assert not sizes.refused("r1", 2400)
    assert not sizes.refused("r1", 700)
    assert sizes.refused("r1", 150)
    assert not sizes.refused("r2", 150)


def test_answers_over_256_bytes_are_no_refusals() -> None:
    """Guards against small answers of a route with long ones that look like refusals.

    Each such answer would lower the limit of its target and begin pressure.
    """
    sizes = overload.ResponseSizes()
    assert not sizes.refused("r1", 2400)
    assert not sizes.refused("r1", 257)
    assert sizes.refused("r1", 256)


def test_removed_pools_and_routes_are_deleted(
    shedder: overload.LoadShedder, calm_until_ms: int
) -> None:
    """Guards against memory that grows with every route and service ever used."""
    now_ms = _record_answers(shedder, 1.5, 60, calm_until_ms)
    shedder.retain([])
    assert shedder.refused_share(now_ms, POOL, FEED) == 0
    assert not shedder.limiting(POOL)
    sizes = overload.ResponseSizes()
    sizes.refused("r1", 2400)
    sizes.retain(["r2"])
    assert not sizes.refused("r1", 150)


def test_acknowledgement_after_a_lost_one_leaves_the_usual_length() -> None:
    """Guards against a single long acknowledgement that raises the usual length.

    A caller's first acknowledgement of a long answer is lost, and the next one covers
    far more than usual. If that became the usual length, later answers would count as
    refusals, and callers would be refused although targets have room.
    """
    sizes = overload.ResponseSizes()
    sizes.refused("r1", 2400)
    assert not sizes.refused("r1", 40_000)
    assert not sizes.refused("r1", 2400)
    assert not sizes.refused("r1", 700)
    assert sizes.refused("r1", 150)


def test_priorities_without_traffic_do_not_count_as_levels() -> None:
    """Guards against unused routes that take room from routes with traffic."""
    levels = overload.PriorityLevels()
    for number in range(100):
        levels.opened(number, "desk", 1 if number % 4 == 0 else 2)
    levels.opened(100, "desk", 0)
    assert levels.rank("desk", 1) == overload.Rank(0, 2)
    assert levels.rank("desk", 2) == overload.Rank(1, 2)
    assert levels.rank("shop", 5) == overload.Rank(0, 1)
