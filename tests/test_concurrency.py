"""The limit of young flows that a home learns for each target."""

import random

import pytest

from eelgrasswick.decisions import concurrency

TARGET = "d1"


@pytest.fixture
def book() -> concurrency.ConcurrencyBook:
    return concurrency.ConcurrencyBook()


def end_flows(book: concurrency.ConcurrencyBook, lives_ms: list[int]) -> None:
    """End one flow each 40 ms while the limit is used to the full."""
    for index, life_ms in enumerate(lives_ms):
        busy = int(book.most(TARGET))
        book.ended(1_000_000 + 40 * index, TARGET, life_ms, busy)


def test_lifetimes_that_differ_by_themselves_are_no_queue(
    book: concurrency.ConcurrencyBook,
) -> None:
    # Requests of one service take anything from a blink to seconds while the
    # target idles. Were that taken for a queue, callers would be refused
    # although the target could serve them all.
    rng = random.Random(1)
    end_flows(book, [int(rng.expovariate(1 / 800)) for _ in range(400)])
    assert book.most(TARGET) > 25


def test_lifetimes_that_grow_together_are_a_queue(
    book: concurrency.ConcurrencyBook,
) -> None:
    # All slots are taken and each request waits longer than the one before.
    # Without a limit every answer would be late, although all slots work.
    end_flows(book, [40] * 20)
    before = book.most(TARGET)
    end_flows(book, [40 + 20 * index for index in range(40)])
    assert book.most(TARGET) < before / 2
