"""When a VM calls the store, so that few calls keep all VMs up to date.

Load pattern: hundreds of VMs and one store whose calls are bounded and paid
for. One VM of each zone watches; the others hear from it. A watcher may die, be
cut off, or have a connection that went silent, and nobody is told. All VMs
notice by the age of what they know, and take over one after the other, the next
in rank first. When the store is away the retries of all VMs would push it over
as it returns, so only the first in rank tries often.
"""

import typing

# A watch is answered after this time even if nothing changed. Together with
# ``GAP_MS`` it is how old a watcher's knowledge gets in good times. Asking more
# rarely costs calls instead of saving them: the ages of others would pass
# ``STALE_MS``, and they would call as well.
WATCH_TIMEOUT_MS: typing.Final = 600
# A watch is asked again only after this, so that changes which come close
# together cost one call.
WATCH_GAP_MS: typing.Final = 400
# From this age a VM calls the store itself. It lies above the usual age and
# what the talk between VMs adds, 0.5 s, and leaves 0.7 s of the three seconds.
STALE_MS: typing.Final = 2300
# How much later the next in rank takes over.
TAKEOVER_STAGGER_MS: typing.Final = 60
MAX_STAGGER_STEPS: typing.Final = 8
# Who took over goes on for so long; the watcher may be back meanwhile.
TAKEOVER_DURATION_MS: typing.Final = 8000
# A VM that starts knows the others of its zone after this (62 VMs, in virtual
# time); before, many would take themselves for the first.
SETTLE_MS: typing.Final = 2000
MIN_RETRY_MS: typing.Final = 100
MAX_RETRY_MS: typing.Final = 500
STANDBY_RETRY_MS: typing.Final = 2500


class WatchPolicy:
    """One VM's turn to call the store."""

    def __init__(self) -> None:
        """Begin with no call made."""
        self.failures = 0
        self._next_ms = 0
        self._acting_until_ms = 0
        self._settled_ms: int | None = None
        self._has_answer = False

    def settle(self, now_ms: int) -> None:
        """Note that this VM knows the others of its zone, and so its rank."""
        self._settled_ms = now_ms

    def due(self, now_ms: int, age_ms: int, rank: int) -> bool:
        """Tell whether to call the store now.

        Args:
            now_ms: Present time.
            age_ms: Age of what this VM knows.
            rank: Its place among the VMs of its zone.
        """
        if self._settled_ms is None:
            self._settled_ms = now_ms + SETTLE_MS
        if now_ms < self._next_ms:
            return False
        settled = now_ms >= self._settled_ms
        if settled and (rank == 0 or now_ms < self._acting_until_ms):
            return True
        return age_ms >= STALE_MS + TAKEOVER_STAGGER_MS * min(rank, MAX_STAGGER_STEPS)

    def record_success(self, now_ms: int, rank: int) -> None:
        """Note that the store answered."""
        self.failures = 0
        self._next_ms = now_ms + WATCH_GAP_MS
        if self._settled_ms is None:
            self._settled_ms = now_ms + SETTLE_MS
        if not self._has_answer:
            # The listing of a VM that starts takes nothing over from others.
            self._has_answer = True
            return
        if rank > 0 and now_ms >= self._acting_until_ms:
            self._acting_until_ms = now_ms + TAKEOVER_DURATION_MS

    def record_failure(self, now_ms: int, rank: int, fraction: float) -> int:
        """Note that a call failed.

        Args:
            now_ms: Present time.
            rank: Place among the VMs of the zone.
            fraction: A random number from 0 to 1, which keeps VMs apart.

        Returns:
            Milliseconds until the next call.
        """
        self.failures += 1
        self._acting_until_ms = 0
        full_ms = min(MAX_RETRY_MS, MIN_RETRY_MS * 2 ** min(self.failures - 1, 8))
        if rank > 0 and self.failures > 1:
            full_ms = STANDBY_RETRY_MS
        wait_ms = int(full_ms * (0.5 + 0.5 * fraction))
        self._next_ms = now_ms + wait_ms
        return wait_ms
