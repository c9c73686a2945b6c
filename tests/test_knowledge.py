"""What a VM knows of the store, and how old it is."""

import hypothesis
import pytest
from hypothesis import strategies

from eelgrasswick.cookie import knowledge, source


@pytest.fixture
def known() -> knowledge.Knowledge:
    return knowledge.Knowledge()


def _row(key: str, revision: int, value: bytes | None = b"v") -> source.Row:
    return source.Row(key, value, revision)


def test_takes_a_listing(known: knowledge.Knowledge) -> None:
    merge = known.merge(0, source.Changes((_row("a", 1), _row("b", 2)), 5, 0))
    assert len(merge.rows) == 2
    assert known.revision == 5


def test_never_goes_back(known: knowledge.Knowledge) -> None:
    """A VM that was cut off tells what it knew before the cut.

    Taken over, an old configuration would come back into force and callers
    would reach routes that were dropped.
    """
    known.merge(0, source.Changes((_row("a", 7, b"new"),), 7, 0))
    merge = known.merge(0, source.Changes((_row("a", 3, b"old"),), 4, 0))
    assert merge.rows == ()
    assert [row.value for row in known.rows] == [b"new"]


def test_refuses_changes_with_a_gap_before_them(known: knowledge.Knowledge) -> None:
    """A VM missed some changes and gets later ones.

    Were they taken, it would believe that it knows all up to them, and a
    target that drained meanwhile would get flows for good.
    """
    known.merge(0, source.Changes((_row("a", 1),), 1, 0))
    merge = known.merge(0, source.Changes((_row("c", 9),), 9, 8))
    assert merge.rows == ()
    assert known.revision == 1


def test_listing_deletes_what_it_leaves_out(known: knowledge.Knowledge) -> None:
    known.merge(0, source.Changes((_row("a", 1), _row("b", 2)), 2, 0))
    merge = known.merge(0, source.Changes((_row("b", 2),), 6, 0))
    assert merge.rows == (source.Row("a", None, 1),)
    assert known.changes_since(2).base == 0


def test_deletions_are_passed_on(known: knowledge.Knowledge) -> None:
    known.merge(0, source.Changes((_row("a", 1),), 1, 0))
    known.merge(0, source.Changes((_row("a", 4, None),), 4, 1))
    assert known.changes_since(1) == source.Changes((_row("a", 4, None),), 4, 1)


def test_listing_goes_to_who_is_behind_forgotten_deletions(
    known: knowledge.Knowledge,
) -> None:
    known.merge(0, source.Changes((_row("a", 1),), 1, 0))
    many = tuple(
        _row(f"k{number}", number, None)
        for number in range(2, knowledge.MAX_TOMBSTONES + 10)
    )
    known.merge(0, source.Changes(many, many[-1].revision, 1))
    assert known.changes_since(2).base == 0
    assert known.changes_since(many[-1].revision - 1).base > 0


def test_age_counts_from_a_confirmation(known: knowledge.Knowledge) -> None:
    known.merge(0, source.Changes((_row("a", 1),), 1, 0))
    known.confirm(1, 1000)
    assert known.age_ms(1300) == 300
    known.confirm(0, 1200)
    assert known.age_ms(1300) == 300


_STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from("abcd"),
        strategies.booleans(),
        strategies.integers(0, 2),
    ),
    max_size=30,
)


@hypothesis.given(_STEPS)
def test_vms_that_tell_each_other_come_to_the_same(
    steps: list[tuple[str, bool, int]],
) -> None:
    """One VM follows the store, two others hear of it now and then.

    Whatever they heard before, after one more answer they know the same.
    """
    watcher = knowledge.Knowledge()
    others = [knowledge.Knowledge(), knowledge.Knowledge()]
    for revision, (key, deleted, hearer) in enumerate(steps, start=1):
        row = _row(key, revision, None if deleted else str(revision).encode())
        watcher.merge(0, source.Changes((row,), revision, revision - 1))
        if hearer < 2:
            others[hearer].merge(0, watcher.changes_since(others[hearer].revision))
    for other in others:
        other.merge(0, watcher.changes_since(other.revision))
        assert sorted(other.rows) == sorted(watcher.rows)
        assert other.revision == watcher.revision
