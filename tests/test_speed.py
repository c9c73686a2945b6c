"""Tests of the response times of targets."""

from eelgrasswick.cookie import speed


def _factors(times_ms: dict[int, int], count: int = 50) -> dict[int, float]:
    times = speed.AnswerTimes()
    for cookie, answer_ms in times_ms.items():
        for _ in range(count):
            times.record(cookie, answer_ms)
    return speed.speed_factors({cookie: times.mean_ms(cookie) for cookie in times_ms})


def test_slow_target_gets_a_smaller_share() -> None:
    """Guards against equal shares for servers of different age and speed.

    Requests would queue at the slow server.
    """
    factors = _factors({1: 20, 2: 20, 3: 50})
    assert factors[3] < 0.7
    assert factors[1] == factors[2] > 1.2


def test_few_samples_do_not_change_the_factor() -> None:
    factors = _factors({1: 20, 2: 400}, count=speed.MIN_SAMPLES - 1)
    assert factors == {1: 1.0, 2: 1.0}


def test_factors_are_bounded() -> None:
    assert _factors({1: 1, 2: 2000}) == {1: speed.MAX_FACTOR, 2: speed.MIN_FACTOR}


def test_mean_follows_a_target_that_recovers() -> None:
    times = speed.AnswerTimes()
    for answer_ms in [200] * 50 + [20] * 60:
        times.record(1, answer_ms)
    mean_ms = times.mean_ms(1)
    assert mean_ms is not None
    assert mean_ms < 21


def test_record_of_a_removed_target_is_deleted() -> None:
    times = speed.AnswerTimes()
    for _ in range(50):
        times.record(2, 20)
    times.retain([1])
    assert times.mean_ms(2) is None
