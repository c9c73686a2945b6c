"""How fast targets answer."""

from eelgrasswick.cookie import speed


def _factors(times_ms: dict[int, int], count: int = 50) -> dict[int, float]:
    book = speed.AnswerTimes()
    for cookie, answer_ms in times_ms.items():
        for _ in range(count):
            book.record(cookie, answer_ms)
    return speed.speed_factors({cookie: book.mean_ms(cookie) for cookie in times_ms})


def test_slow_target_gets_a_smaller_share() -> None:
    """Servers that were bought over years differ in speed.

    With equal shares callers of the slow one wait in its queue.
    """
    factors = _factors({1: 20, 2: 20, 3: 50})
    assert factors[3] < 0.7
    assert factors[1] == factors[2] > 1.2


def test_few_answers_count_for_nothing() -> None:
    factors = _factors({1: 20, 2: 400}, count=speed.MIN_SAMPLES - 1)
    assert factors == {1: 1.0, 2: 1.0}


def test_factors_are_bounded() -> None:
    assert _factors({1: 1, 2: 2000}) == {1: speed.MAX_FACTOR, 2: speed.MIN_FACTOR}


def test_follows_a_target_that_recovers() -> None:
    book = speed.AnswerTimes()
    for answer_ms in [200] * 50 + [20] * 60:
        book.record(1, answer_ms)
    mean_ms = book.mean_ms(1)
    assert mean_ms is not None
    assert mean_ms < 21


def test_forgets_targets_that_left() -> None:
    book = speed.AnswerTimes()
    for _ in range(50):
        book.record(2, 20)
    book.keep([1])
    assert book.mean_ms(2) is None
