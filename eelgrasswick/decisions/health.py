"""Which targets are taken for dead, by what the entry VMs see themselves.

Load pattern: a target dies or hangs while its health endpoint lags. Without
this, its share of new flows waits for a retransmission and more. A target's
kernel answers a SYN within a round trip; several unanswered ones in a row, and
none answered meanwhile, are strong evidence. The panic threshold keeps a fault
of the network, which makes all targets look dead, from removing all of them.
"""

import typing

FAILURES: typing.Final = 3
ANSWER_TIMEOUT_MS: typing.Final = 400
RETRY_MS: typing.Final = 2000
PANIC_SHARE: typing.Final = 0.5


class _Sight:
    __slots__ = ("failures", "since_ms")

    def __init__(self) -> None:
        self.failures = 0
        self.since_ms = 0


class HealthTracker:
    """Counts unanswered opening packets per target."""

    def __init__(self) -> None:
        """Start with every target healthy."""
        self._sights: dict[str, _Sight] = {}

    def answered(self, name: str) -> bool:
        """Note that a target answered; True when it had been suspected."""
        sight = self._sights.pop(name, None)
        return sight is not None and sight.failures >= FAILURES

    def unanswered(self, now_ms: int, name: str) -> None:
        """Note that a target left an opening packet unanswered."""
        sight = self._sights.setdefault(name, _Sight())
        sight.failures += 1
        if sight.failures >= FAILURES:
            sight.since_ms = now_ms

    def suspected(self, now_ms: int, name: str) -> bool:
        """Tell whether a target should get no new flow now.

        After ``RETRY_MS`` a suspected target is offered flows again; one more
        failure suspects it anew.
        """
        sight = self._sights.get(name)
        if sight is None or sight.failures < FAILURES:
            return False
        return now_ms - sight.since_ms < RETRY_MS


def usable(suspected: typing.Sequence[bool]) -> list[bool]:
    """Return which of a service's targets may get flows.

    Args:
        suspected: For each target, whether it is suspected.

    Returns:
        For each target, whether it is usable; all are when more than the
        panic share is suspected.
    """
    if sum(suspected) > PANIC_SHARE * len(suspected):
        return [True] * len(suspected)
    return [not item for item in suspected]
