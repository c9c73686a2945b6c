"""When a VM calls the store."""

import pytest

from eelgrasswick.cookie import watch_policy

# The config must be in force after this, by the platform's bounds.
IN_FORCE_MS = 3000


@pytest.fixture
def turn() -> watch_policy.WatchPolicy:
    return watch_policy.WatchPolicy()


def test_first_in_rank_watches(turn: watch_policy.WatchPolicy) -> None:
    turn.record_success(0, rank=0)
    assert turn.due(watch_policy.SETTLE_MS, 10, rank=0)
    assert not turn.due(watch_policy.SETTLE_MS, 10, rank=1)


def test_vm_that_starts_does_not_watch_before_it_knows_the_others(
    turn: watch_policy.WatchPolicy,
) -> None:
    """Sixty VMs lose power and start at the same moment.

    Each knows itself only and takes itself for the first of its zone. Did each
    watch until it knew better, the store would get hundreds of calls at once.
    """
    assert turn.due(0, watch_policy.STALE_MS, rank=0)
    turn.record_success(100, rank=0)
    assert not turn.due(1000, 10, rank=0)
    assert turn.due(1000, watch_policy.STALE_MS, rank=0)


def test_vm_that_knows_the_others_watches_at_once(
    turn: watch_policy.WatchPolicy,
) -> None:
    """Guards against a zone without a watcher while its new first VM settles."""
    turn.settle(0)
    assert turn.due(0, 10, rank=0)
    assert not turn.due(0, 10, rank=1)


def test_vm_that_needs_no_listing_settles(turn: watch_policy.WatchPolicy) -> None:
    """Guards against a fleet that starts at once and goes without a watcher."""
    assert not turn.due(0, 10, rank=0)
    assert turn.due(watch_policy.SETTLE_MS, 10, rank=0)


def test_changes_that_come_close_together_cost_one_call(
    turn: watch_policy.WatchPolicy,
) -> None:
    turn.record_success(0, rank=0)
    turn.record_success(5000, rank=0)
    assert not turn.due(5000 + watch_policy.WATCH_GAP_MS - 1, 10, rank=0)
    assert turn.due(5000 + watch_policy.WATCH_GAP_MS, 10, rank=0)


def test_others_take_over_one_after_the_other(turn: watch_policy.WatchPolicy) -> None:
    """The VM that watches died, or its connection went silent.

    The others notice only by the age of what they know. All at once they would
    bring a call from every VM.
    """
    assert not turn.due(0, watch_policy.STALE_MS, rank=2)
    assert turn.due(
        0, watch_policy.STALE_MS + 2 * watch_policy.TAKEOVER_STAGGER_MS, rank=2
    )
    last_ms = (
        watch_policy.STALE_MS
        + watch_policy.TAKEOVER_STAGGER_MS * watch_policy.MAX_STAGGER_STEPS
    )
    assert turn.due(0, last_ms, rank=200)
    assert last_ms < IN_FORCE_MS


def test_who_took_over_goes_on_for_a_while(turn: watch_policy.WatchPolicy) -> None:
    turn.record_success(0, rank=1)
    turn.record_success(5000, rank=1)
    assert turn.due(5000 + watch_policy.WATCH_GAP_MS, 10, rank=1)
    assert not turn.due(5000 + watch_policy.TAKEOVER_DURATION_MS, 10, rank=1)


def test_returning_store_is_not_pushed_over(turn: watch_policy.WatchPolicy) -> None:
    """The store is down for ten seconds and all VMs know nothing new.

    If each tried as often as it could, its first answers would be refusals.
    """
    first = [watch_policy.WatchPolicy().record_failure(0, 0, 1.0)]
    others = [turn.record_failure(0, 3, 1.0) for _ in range(4)]
    assert first[0] <= watch_policy.MIN_RETRY_MS
    assert others[-1] == watch_policy.STANDBY_RETRY_MS
    leader = watch_policy.WatchPolicy()
    assert (
        max(leader.record_failure(0, 0, 1.0) for _ in range(9))
        == watch_policy.MAX_RETRY_MS
    )
