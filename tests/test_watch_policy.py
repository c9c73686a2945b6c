"""Tests of the policy for when a VM calls the store."""

import pytest

from eelgrasswick.cookie import watch_policy

# The platform requires that a configuration is in force within this time.
IN_FORCE_MS = 3000


@pytest.fixture
def policy() -> watch_policy.WatchPolicy:
    return watch_policy.WatchPolicy()


def test_only_rank_0_watches(policy: watch_policy.WatchPolicy) -> None:
    policy.record_success(0, rank=0)
    assert policy.due(watch_policy.RANK_SETTLE_MS, 10, rank=0)
    assert not policy.due(watch_policy.RANK_SETTLE_MS, 10, rank=1)


def test_starting_vm_does_not_watch_before_its_rank_is_reliable(
    policy: watch_policy.WatchPolicy,
) -> None:
    """Guards against hundreds of calls at once when sixty VMs start together.

    Each VM has rank 0 until it finds the others of its zone.
    """
    assert policy.due(0, watch_policy.STALE_MS, rank=0)
    policy.record_success(100, rank=0)
    assert not policy.due(1000, 10, rank=0)
    assert policy.due(1000, watch_policy.STALE_MS, rank=0)


def test_vm_with_a_reliable_rank_watches_at_once(
    policy: watch_policy.WatchPolicy,
) -> None:
    """Guards against a zone without a watcher while its new rank 0 starts."""
    policy.mark_rank_reliable(0)
    assert policy.due(0, 10, rank=0)
    assert not policy.due(0, 10, rank=1)


def test_vm_that_needs_no_listing_watches_after_the_settle_time(
    policy: watch_policy.WatchPolicy,
) -> None:
    """Guards against a fleet without a watcher when all VMs start at once."""
    assert not policy.due(0, 10, rank=0)
    assert policy.due(watch_policy.RANK_SETTLE_MS, 10, rank=0)


def test_changes_that_come_close_together_cost_one_call(
    policy: watch_policy.WatchPolicy,
) -> None:
    policy.record_success(0, rank=0)
    policy.record_success(5000, rank=0)
    assert not policy.due(5000 + watch_policy.WATCH_GAP_MS - 1, 10, rank=0)
    assert policy.due(5000 + watch_policy.WATCH_GAP_MS, 10, rank=0)


def test_vms_take_over_in_the_order_of_rank(policy: watch_policy.WatchPolicy) -> None:
    """Guards against calls from every VM at once when the watcher dies or is silent.

    The other VMs detect that only by the age of their rows.
    """
    assert not policy.due(0, watch_policy.STALE_MS, rank=2)
    assert policy.due(
        0, watch_policy.STALE_MS + 2 * watch_policy.TAKEOVER_STAGGER_MS, rank=2
    )
    last_ms = (
        watch_policy.STALE_MS
        + watch_policy.TAKEOVER_STAGGER_MS * watch_policy.MAX_STAGGER_STEPS
    )
    assert policy.due(0, last_ms, rank=200)
    assert last_ms < IN_FORCE_MS


def test_vm_that_took_over_watches_for_the_takeover_duration(
    policy: watch_policy.WatchPolicy,
) -> None:
    policy.record_success(0, rank=1)
    policy.record_success(5000, rank=1)
    assert policy.due(5000 + watch_policy.WATCH_GAP_MS, 10, rank=1)
    assert not policy.due(5000 + watch_policy.TAKEOVER_DURATION_MS, 10, rank=1)


def test_only_rank_0_retries_often(policy: watch_policy.WatchPolicy) -> None:
    """Guards against retries of all VMs that overload the store as it returns."""
    first = [watch_policy.WatchPolicy().record_failure(0, 0, 1.0)]
    others = [policy.record_failure(0, 3, 1.0) for _ in range(4)]
    assert first[0] <= watch_policy.MIN_RETRY_MS
    assert others[-1] == watch_policy.STANDBY_RETRY_MS
    leader = watch_policy.WatchPolicy()
    assert (
        max(leader.record_failure(0, 0, 1.0) for _ in range(9))
        == watch_policy.MAX_RETRY_MS
    )
