"""Tests of the policy for when a VM that was requested to stop may exit."""

from eelgrasswick.cookie import stopping

GRACE_MS = 6000


def test_vm_does_not_exit_while_packets_arrive() -> None:
    """Guards against dropping packets that the fabric sends after a failed probe."""
    assert not stopping.may_exit(1500, 0, 0, GRACE_MS)
    assert not stopping.may_exit(3000, 0, 2900, GRACE_MS)
    assert stopping.may_exit(3000, 0, 2000, GRACE_MS)


def test_vm_exits_before_it_is_killed() -> None:
    assert stopping.may_exit(GRACE_MS - stopping.KILL_MARGIN_MS, 0, 5299, GRACE_MS)
