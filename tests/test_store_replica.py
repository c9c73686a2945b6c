"""Tests of a VM's copy of the store: merging, tombstones and age."""

import hypothesis
import pytest
from hypothesis import strategies

from eelgrasswick.cookie import source, store_replica


@pytest.fixture
def replica() -> store_replica.StoreReplica:
    return store_replica.StoreReplica()


def _row(key: str, revision: int, value: bytes | None = b"v") -> source.Row:
    return source.Row(key, value, revision)


def test_listing_is_merged(replica: store_replica.StoreReplica) -> None:
    merge = replica.merge(0, source.Changes((_row("a", 1), _row("b", 2)), 5, 0))
    assert len(merge.rows) == 2
    assert replica.revision == 5


def test_older_rows_are_rejected(replica: store_replica.StoreReplica) -> None:
    """Guards against dropped routes that return with rows of a VM that was cut off."""
    replica.merge(0, source.Changes((_row("a", 7, b"new"),), 7, 0))
    merge = replica.merge(0, source.Changes((_row("a", 3, b"old"),), 4, 0))
    assert merge.rows == ()
    assert [row.value for row in replica.rows] == [b"new"]


def test_changes_after_a_gap_are_rejected(replica: store_replica.StoreReplica) -> None:
    """Guards against a missed drain, after which a target would get flows forever."""
    replica.merge(0, source.Changes((_row("a", 1),), 1, 0))
    merge = replica.merge(0, source.Changes((_row("c", 9),), 9, 8))
    assert merge.rows == ()
    assert replica.revision == 1


def test_listing_deletes_the_rows_that_it_lacks(
    replica: store_replica.StoreReplica,
) -> None:
    replica.merge(0, source.Changes((_row("a", 1), _row("b", 2)), 2, 0))
    merge = replica.merge(0, source.Changes((_row("b", 2),), 6, 0))
    assert merge.rows == (source.Row("a", None, 1),)
    assert replica.changes_since(2).base == 0


def test_deletions_are_among_the_changes(replica: store_replica.StoreReplica) -> None:
    replica.merge(0, source.Changes((_row("a", 1),), 1, 0))
    replica.merge(0, source.Changes((_row("a", 4, None),), 4, 1))
    assert replica.changes_since(1) == source.Changes((_row("a", 4, None),), 4, 1)


def test_full_listing_replaces_changes_whose_tombstones_were_evicted(
    replica: store_replica.StoreReplica,
) -> None:
    replica.merge(0, source.Changes((_row("a", 1),), 1, 0))
    many = tuple(
        _row(f"k{number}", number, None)
        for number in range(2, store_replica.MAX_TOMBSTONES + 10)
    )
    replica.merge(0, source.Changes(many, many[-1].revision, 1))
    assert replica.changes_since(2).base == 0
    assert replica.changes_since(many[-1].revision - 1).base > 0


def test_age_counts_from_the_confirmation_of_the_present_revision(
    replica: store_replica.StoreReplica,
) -> None:
    replica.merge(0, source.Changes((_row("a", 1),), 1, 0))
    replica.confirm(1, 1000)
    assert replica.age_ms(1300) == 300
    replica.confirm(0, 1200)
    assert replica.age_ms(1300) == 300


_STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from("abcd"),
        strategies.booleans(),
        strategies.integers(0, 2),
    ),
    max_size=30,
)


@hypothesis.given(_STEPS)
def test_vms_converge_after_one_more_response(
    steps: list[tuple[str, bool, int]],
) -> None:
    """Guards against VMs whose rows differ for good after irregular updates."""
    watcher = store_replica.StoreReplica()
    others = [store_replica.StoreReplica(), store_replica.StoreReplica()]
    for revision, (key, deleted, receiver) in enumerate(steps, start=1):
        row = _row(key, revision, None if deleted else str(revision).encode())
        watcher.merge(0, source.Changes((row,), revision, revision - 1))
        if receiver < 2:
            others[receiver].merge(0, watcher.changes_since(others[receiver].revision))
    for other in others:
        other.merge(0, watcher.changes_since(other.revision))
        assert sorted(other.rows) == sorted(watcher.rows)
        assert other.revision == watcher.revision
