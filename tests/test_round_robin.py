"""Round-robin selection in shuffled rounds."""

import random

from eelgrasswick.fleet import round_robin


def test_each_name_is_selected_once_per_round() -> None:
    order = round_robin.ShuffledRoundRobin(random.Random(1))
    names = ["a", "b", "c"]
    for _ in range(5):
        assert {order.next(names) for _ in names} == set(names)


def test_removed_name_is_skipped() -> None:
    order = round_robin.ShuffledRoundRobin(random.Random(1))
    order.next(["a", "b", "c"])
    assert [order.next(["b"]) for _ in range(3)] == ["b", "b", "b"]


def test_empty_collection_gives_none() -> None:
    assert round_robin.ShuffledRoundRobin(random.Random(1)).next([]) is None
