"""When a VM calls the store."""

import pytest

from eelgrasswick.cookie import watching

# The config must be in force after this, by the platform's bounds.
IN_FORCE_MS = 3000


@pytest.fixture
def turn() -> watching.Watching:
    return watching.Watching()


def test_first_in_rank_watches(turn: watching.Watching) -> None:
    turn.answered(0, rank=0)
    assert turn.due(watching.SETTLE_MS, 10, rank=0)
    assert not turn.due(watching.SETTLE_MS, 10, rank=1)


def test_vm_that_starts_does_not_watch_before_it_knows_the_others(
    turn: watching.Watching,
) -> None:
    """Sixty VMs lose power and start at the same moment.

    Each knows itself only and takes itself for the first of its zone. Did each
    watch until it knew better, the store would get hundreds of calls at once.
    """
    assert turn.due(0, watching.STALE_MS, rank=0)
    turn.answered(100, rank=0)
    assert not turn.due(1000, 10, rank=0)
    assert turn.due(1000, watching.STALE_MS, rank=0)


def test_changes_that_come_close_together_cost_one_call(
    turn: watching.Watching,
) -> None:
    turn.answered(0, rank=0)
    turn.answered(5000, rank=0)
    assert not turn.due(5000 + watching.GAP_MS - 1, 10, rank=0)
    assert turn.due(5000 + watching.GAP_MS, 10, rank=0)


def test_others_take_over_one_after_the_other(turn: watching.Watching) -> None:
    """The VM that watches died, or its connection went silent.

    The others notice only by the age of what they know. All at once they would
    bring a call from every VM.
    """
    assert not turn.due(0, watching.STALE_MS, rank=2)
    assert turn.due(0, watching.STALE_MS + 2 * watching.STAGGER_MS, rank=2)
    last_ms = watching.STALE_MS + watching.STAGGER_MS * watching.STAGGER_MOST
    assert turn.due(0, last_ms, rank=200)
    assert last_ms < IN_FORCE_MS


def test_who_took_over_goes_on_for_a_while(turn: watching.Watching) -> None:
    turn.answered(0, rank=1)
    turn.answered(5000, rank=1)
    assert turn.due(5000 + watching.GAP_MS, 10, rank=1)
    assert not turn.due(5000 + watching.ACTING_MS, 10, rank=1)


def test_returning_store_is_not_pushed_over(turn: watching.Watching) -> None:
    """The store is down for ten seconds and all VMs know nothing new.

    If each tried as often as it could, its first answers would be refusals.
    """
    first = [watching.Watching().failed(0, 0, 1.0)]
    others = [turn.failed(0, 3, 1.0) for _ in range(4)]
    assert first[0] <= watching.FIRST_RETRY_MS
    assert others[-1] == watching.OTHERS_RETRY_MS
    leader = watching.Watching()
    assert max(leader.failed(0, 0, 1.0) for _ in range(9)) == watching.LAST_RETRY_MS
