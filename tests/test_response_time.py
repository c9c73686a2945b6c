"""How long answers of a service usually take."""

import pytest

from eelgrasswick.decisions import response_time


@pytest.fixture
def times() -> response_time.ResponseTimes:
    return response_time.ResponseTimes()


def test_steady_service_has_a_limit_near_its_mean(
    times: response_time.ResponseTimes,
) -> None:
    for _ in range(50):
        times.answered("desk", 25)
    assert times.limit_ms("desk") == pytest.approx(25, abs=1)


def test_uneven_service_may_take_longer(times: response_time.ResponseTimes) -> None:
    for number in range(50):
        times.answered("desk", 25 + 200 * (number % 2))
    limit_ms = times.limit_ms("desk")
    assert limit_ms is not None
    assert limit_ms > 300


def test_unknown_service_has_no_limit(times: response_time.ResponseTimes) -> None:
    times.answered("desk", 25)
    times.keep(("vault",))
    assert times.limit_ms("desk") is None
