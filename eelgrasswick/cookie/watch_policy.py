"""Policy for when a VM calls the store, so that few calls keep all VMs current.

Load pattern: hundreds of VMs share one store whose calls are limited and cost money.
One VM of each zone, the watcher, watches the store, and the others receive its
updates. A watcher may die, be cut off, or have a connection that silently stopped
working, and no VM is notified of that failure. All VMs detect it by the age of their
rows, and take over one after the other in the order of rank. When the store fails,
retries of all VMs would overload it as it returns, so only the first in rank retries
often.
"""

import typing

# The store answers a watch after this time even if nothing changed. In normal
# operation a watcher's rows get as old as this plus ``WATCH_GAP_MS``. Longer times
# would cost calls instead of saving them, because the rows of other VMs would become
# older than ``STALE_MS``, and those VMs would call as well.
WATCH_TIMEOUT_MS: typing.Final = 600
# The next watch starts this long after the last answer, so that changes which arise
# close together cost one call.
WATCH_GAP_MS: typing.Final = 400
# A VM whose rows are older than this calls the store itself. The limit is above the
# normal age plus the 0.5 s that gossip adds, and leaves 0.7 s of the three seconds
# within which a change must be in force.
STALE_MS: typing.Final = 2300
# Each further rank takes over this much later, up to MAX_STAGGER_STEPS ranks.
TAKEOVER_STAGGER_MS: typing.Final = 60
MAX_STAGGER_STEPS: typing.Final = 8
# A VM that took over keeps watching for this long, until the watcher may be back.
TAKEOVER_DURATION_MS: typing.Final = 8000
# After this time a starting VM of a fleet of 62 has contact with the others of its
# zone. Before that, many VMs would compute rank 0 for themselves.
RANK_SETTLE_MS: typing.Final = 2000
MIN_RETRY_MS: typing.Final = 100
MAX_RETRY_MS: typing.Final = 500
STANDBY_RETRY_MS: typing.Final = 2500


class WatchPolicy:
    """Decides when one VM calls the store.

    Attributes:
        failures: Number of failed calls in a row.
    """

    def __init__(self) -> None:
        """Create a policy without any calls."""
        self.failures = 0
        self._next_call_ms = 0
        self._takeover_until_ms = 0
        self._rank_reliable_ms: int | None = None
        self._has_succeeded = False

    def mark_rank_reliable(self, now_ms: int) -> None:
        """Record that this VM has the members of its zone, so its rank is reliable."""
        self._rank_reliable_ms = now_ms

    def due(self, now_ms: int, age_ms: int, rank: int) -> bool:
        """Return True if this VM is to call the store now.

        Args:
            now_ms: Present time.
            age_ms: Age of this VM's rows.
            rank: This VM's rank among the VMs of its zone.
        """
        if self._rank_reliable_ms is None:
            self._rank_reliable_ms = now_ms + RANK_SETTLE_MS
        if now_ms < self._next_call_ms:
            return False
        settled = now_ms >= self._rank_reliable_ms
        if settled and (rank == 0 or now_ms < self._takeover_until_ms):
            return True
        return age_ms >= STALE_MS + TAKEOVER_STAGGER_MS * min(rank, MAX_STAGGER_STEPS)

    def record_success(self, now_ms: int, rank: int) -> None:
        """Record that a call succeeded."""
        self.failures = 0
        self._next_call_ms = now_ms + WATCH_GAP_MS
        if self._rank_reliable_ms is None:
            self._rank_reliable_ms = now_ms + RANK_SETTLE_MS
        if not self._has_succeeded:
            # The first listing of a starting VM does not count as a takeover.
            self._has_succeeded = True
            return
        if rank > 0 and now_ms >= self._takeover_until_ms:
            self._takeover_until_ms = now_ms + TAKEOVER_DURATION_MS

    def record_failure(self, now_ms: int, rank: int, fraction: float) -> int:
        """Record that a call failed.

        Args:
            now_ms: Present time.
            rank: This VM's rank among the VMs of its zone.
            fraction: A random number from 0 to 1, used as jitter between VMs.

        Returns:
            Milliseconds until the next call.
        """
        self.failures += 1
        self._takeover_until_ms = 0
        full_ms = min(MAX_RETRY_MS, MIN_RETRY_MS * 2 ** min(self.failures - 1, 8))
        if rank > 0 and self.failures > 1:
            full_ms = STANDBY_RETRY_MS
        wait_ms = int(full_ms * (0.5 + 0.5 * fraction))
        self._next_call_ms = now_ms + wait_ms
        return wait_ms
