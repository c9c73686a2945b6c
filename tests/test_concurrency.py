"""Tests of the concurrency limit that a home derives for each target."""

import random

import pytest

from eelgrasswick.decisions import concurrency

TARGET = "d1"


@pytest.fixture
def limits() -> concurrency.ConcurrencyLimits:
    return concurrency.ConcurrencyLimits()


def end_flows(limits: concurrency.ConcurrencyLimits, lives_ms: list[int]) -> None:
    """End one flow every 40 ms while the limit is fully used."""
    for index, life_ms in enumerate(lives_ms):
        busy = int(limits.limit(TARGET))
        limits.ended(1_000_000 + 40 * index, TARGET, life_ms, busy)


def test_lifetimes_that_differ_between_requests_do_not_lower_the_limit(
    limits: concurrency.ConcurrencyLimits,
) -> None:
    """Guards against refused flows of a service whose lifetimes differ by nature.

    The requests take anything from milliseconds to seconds while the target is idle. If
    that were treated as a queue, callers would be refused although the target has room.
    """
    rng = random.Random(1)
    end_flows(limits, [int(rng.expovariate(1 / 800)) for _ in range(400)])
    assert limits.limit(TARGET) > 25


def test_lifetimes_that_all_grow_lower_the_limit(
    limits: concurrency.ConcurrencyLimits,
) -> None:
    """Guards against a queue at a target that makes every answer late.

    All slots are in use, and each request waits longer than the one before.
    """
    end_flows(limits, [40] * 20)
    before = limits.limit(TARGET)
    end_flows(limits, [40 + 20 * index for index in range(40)])
    assert limits.limit(TARGET) < before / 2
