"""Tests of the usual answer time of a service."""

import pytest

from eelgrasswick.decisions import response_time


@pytest.fixture
def times() -> response_time.ResponseTimes:
    return response_time.ResponseTimes()


def test_steady_service_has_a_limit_near_its_mean(
    times: response_time.ResponseTimes,
) -> None:
    """Guards against faults that are detected late in a service with steady answers."""
    for _ in range(50):
        times.answered("desk", 25)
    assert times.limit_ms("desk") == pytest.approx(25, abs=1)


def test_service_with_uneven_answers_has_a_higher_limit(
    times: response_time.ResponseTimes,
) -> None:
    """Guards against suspecting targets whose work differs by nature."""
    for number in range(50):
        times.answered("desk", 25 + 200 * (number % 2))
    limit_ms = times.limit_ms("desk")
    assert limit_ms is not None
    assert limit_ms > 300


def test_deleted_service_has_no_limit(times: response_time.ResponseTimes) -> None:
    """Guards against estimates that outlive their service."""
    times.answered("desk", 25)
    times.retain(("vault",))
    assert times.limit_ms("desk") is None
