"""Estimate of the load of a pool from the responses of one VM."""

import pytest

from eelgrasswick.cookie import pool_load
from eelgrasswick.decisions import overload

POOL = overload.Pool("desk", "z1")


@pytest.fixture
def load() -> pool_load.PoolLoad:
    """Return a table with five responses of 40 ms within 400 ms."""
    made = pool_load.PoolLoad()
    for now_ms in range(1000, 1500, 100):
        made.record(now_ms, POOL, 40)
    return made


def test_load_is_the_sum_of_response_times_of_all_vms(
    load: pool_load.PoolLoad,
) -> None:
    """Guards against an estimate that ignores the flows of other VMs."""
    assert load.in_flight(1400, 6) == {POOL: pytest.approx(6 * 5 * 40 / 1000)}


def test_responses_count_for_one_window(load: pool_load.PoolLoad) -> None:
    """Guards against a load that lasts after its requests."""
    assert load.in_flight(2100, 1) == {POOL: pytest.approx(4 * 40 / 1000)}
    assert load.in_flight(2101, 1) == {}


def test_few_responses_give_no_estimate(load: pool_load.PoolLoad) -> None:
    """Guards against pressure found in single responses of a large fleet."""
    rare = overload.Pool("desk", "z2")
    for _ in range(pool_load.MIN_RESPONSES - 1):
        load.record(1400, rare, 1000)
    assert set(load.in_flight(1400, 1)) == {POOL}


def test_pools_without_responses_are_deleted(load: pool_load.PoolLoad) -> None:
    """Guards against memory that grows with removed services."""
    load.in_flight(9000, 1)
    assert not load._responses
