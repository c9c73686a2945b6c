"""Memory of the callers that were refused shortly before.

Load pattern: a shortage in which refused callers return within some tens of
milliseconds, together with new callers. Without this memory a caller may be refused at
each of its attempts, and gives up, while callers that came later are served.
"""

import collections
import typing

# A refused caller is served first in its level when it returns within this time.
MEMORY_MS: typing.Final = 2000
MAX_CALLERS: typing.Final = 1024
# So many refusals of one caller count within ``MEMORY_MS``. Without this limit
# a caller with many refused flows would always be served before all other callers.
REFUSALS_PER_CALLER: typing.Final = 4


class RefusedCallers:
    """Callers that were refused shortly before, with a bound on their number."""

    def __init__(self) -> None:
        """Create an empty table."""
        # By caller, the times of its counted refusals and how many were claimed. The
        # caller with the oldest last refusal is first.
        self._callers: collections.OrderedDict[bytes, tuple[tuple[int, ...], int]] = (
            collections.OrderedDict()
        )

    def add(self, now_ms: int, caller: bytes) -> None:
        """Record a refusal, unless the caller has too many recent ones."""
        times, claimed = self._recent(now_ms, caller)
        if len(times) >= REFUSALS_PER_CALLER:
            return
        self._callers[caller] = ((*times, now_ms), claimed)
        self._callers.move_to_end(caller)
        oldest_ms = next(iter(self._callers.values()))[0][-1]
        if len(self._callers) > MAX_CALLERS or oldest_ms < now_ms - MEMORY_MS:
            self._callers.popitem(last=False)

    def has(self, now_ms: int, caller: bytes) -> bool:
        """Return whether a caller has a refusal that it has not claimed."""
        if caller not in self._callers:
            return False
        times, claimed = self._recent(now_ms, caller)
        return len(times) > claimed

    def claim(self, now_ms: int, caller: bytes) -> None:
        """Use up one refusal. It still counts against the caller's limit."""
        times, claimed = self._recent(now_ms, caller)
        self._callers[caller] = (times, claimed + 1)

    def _recent(self, now_ms: int, caller: bytes) -> tuple[tuple[int, ...], int]:
        times, claimed = self._callers.get(caller, ((), 0))
        recent = tuple(at_ms for at_ms in times if at_ms >= now_ms - MEMORY_MS)
        return recent, max(0, claimed - (len(times) - len(recent)))
