"""The limit of young flows that a home learns for each target."""

import random

import pytest

from eelgrasswick.decisions import concurrency

TARGET = "d1"


@pytest.fixture
def book() -> concurrency.ConcurrencyLimits:
    return concurrency.ConcurrencyLimits()


def end_flows(book: concurrency.ConcurrencyLimits, lives_ms: list[int]) -> None:
    """End one flow each 40 ms while the limit is used to the full."""
    for index, life_ms in enumerate(lives_ms):
        busy = int(book.limit(TARGET))
        book.ended(1_000_000 + 40 * index, TARGET, life_ms, busy)


def test_lifetimes_that_differ_by_themselves_are_no_queue(
    book: concurrency.ConcurrencyLimits,
) -> None:
    # Requests of one service take anything from a blink to seconds while the
    # target idles. Were that taken for a queue, callers would be refused
    # although the target could serve them all.
    rng = random.Random(1)
    end_flows(book, [int(rng.expovariate(1 / 800)) for _ in range(400)])
    assert book.limit(TARGET) > 25


def test_lifetimes_that_grow_together_are_a_queue(
    book: concurrency.ConcurrencyLimits,
) -> None:
    # All slots are taken and each request waits longer than the one before.
    # Without a limit every answer would be late, although all slots work.
    end_flows(book, [40] * 20)
    before = book.limit(TARGET)
    end_flows(book, [40 + 20 * index for index in range(40)])
    assert book.limit(TARGET) < before / 2
