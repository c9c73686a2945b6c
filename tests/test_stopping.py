"""When a VM that was asked to stop may end."""

from eelgrasswick.cookie import stopping

GRACE_MS = 6000


def test_carries_on_while_packets_come() -> None:
    """The fabric sends packets for a second after the VM has said no.

    Dropped, their callers would wait for a retransmission.
    """
    assert not stopping.may_exit(1500, 0, 0, GRACE_MS)
    assert not stopping.may_exit(3000, 0, 2900, GRACE_MS)
    assert stopping.may_exit(3000, 0, 2000, GRACE_MS)


def test_ends_before_it_is_killed() -> None:
    assert stopping.may_exit(GRACE_MS - stopping.KILL_MARGIN_MS, 0, 5299, GRACE_MS)
