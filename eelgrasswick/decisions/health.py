"""Passive health checks: targets that are suspected dead.

Load pattern: a target dies or hangs while its health endpoint lags. Without this check,
its share of new flows waits for a retransmission or longer. A target's kernel answers a
SYN within a round trip; several unanswered ones in a row, with no answered one between
them, are strong evidence. The panic threshold keeps a network fault, which makes all
targets look dead, from removing all of them.
"""

import typing

MIN_FAILURES: typing.Final = 3
ANSWER_TIMEOUT_MS: typing.Final = 400
# A suspected target is offered flows again after this time.
RETRY_MS: typing.Final = 2000
# When more than this share of targets is suspected, all stay usable.
PANIC_SHARE: typing.Final = 0.5


class _Record:
    __slots__ = ("failures", "failed_ms")

    def __init__(self) -> None:
        self.failures = 0
        self.failed_ms = 0


class HealthTracker:
    """Counts of unanswered opening packets by target."""

    def __init__(self) -> None:
        """Create a tracker in which every target is healthy."""
        self._records: dict[str, _Record] = {}

    def answered(self, name: str) -> bool:
        """Record an answer of a target; return whether it was suspected."""
        record = self._records.pop(name, None)
        return record is not None and record.failures >= MIN_FAILURES

    def unanswered(self, now_ms: int, name: str) -> None:
        """Record that a target left an opening packet unanswered."""
        record = self._records.setdefault(name, _Record())
        record.failures += 1
        if record.failures >= MIN_FAILURES:
            record.failed_ms = now_ms

    def suspected(self, now_ms: int, name: str) -> bool:
        """Return whether a target should get no new flow now.

        After ``RETRY_MS`` a suspected target is offered flows again. One more failure
        makes it suspected again.
        """
        record = self._records.get(name)
        if record is None or record.failures < MIN_FAILURES:
            return False
        return now_ms - record.failed_ms < RETRY_MS


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
