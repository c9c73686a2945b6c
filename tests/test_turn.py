"""Whose turn it is."""

import random

from eelgrasswick.fleet import turn


def test_each_has_a_turn_in_each_round() -> None:
    turns = turn.ShuffledRoundRobin(random.Random(1))
    names = ["a", "b", "c"]
    for _ in range(5):
        assert {turns.next(names) for _ in names} == set(names)


def test_who_is_gone_is_passed_over() -> None:
    turns = turn.ShuffledRoundRobin(random.Random(1))
    turns.next(["a", "b", "c"])
    assert [turns.next(["b"]) for _ in range(3)] == ["b", "b", "b"]


def test_nobody_has_a_turn_among_none() -> None:
    assert turn.ShuffledRoundRobin(random.Random(1)).next([]) is None
