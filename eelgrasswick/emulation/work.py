"""Counts of the flows that a home recently placed on each target.

Load pattern: most flows are short, so that at any moment few are open. Counts of
open flows are then zero or one and do not show which target got more work. Hashing
alone would decide, and with a few dozen flows a target of little strength would get
a third more than its share. A count of recent starts that decays with time still
shows the difference.

``DECAY_MS`` is long compared with the second between load reports, so that a stale
report misses at most a tenth of the count, and short compared with the minutes in
which load moves from one target to another.
"""

import collections
import math
import typing

# Time constant of the decay of the counts.
DECAY_MS: typing.Final = 10_000
YOUNG_MS: typing.Final = 2000
_NEGLIGIBLE_FLOWS: typing.Final = 0.01


class _Placed(typing.NamedTuple):
    at_ms: int
    target: str


class _DecayedCount(typing.NamedTuple):
    at_ms: int
    flows: float


_NONE: typing.Final = _DecayedCount(0, 0.0)


class RecentFlowTracker:
    """Young flows and recent starts of each target, as placed by one home.

    A flow is young for ``YOUNG_MS`` after its start. An older one is a live board or a
    download. Such a flow occupies a connection of the target but seldom a work slot,
    so the home does not count it against short requests.
    """

    def __init__(self) -> None:
        """Create a tracker without flows."""
        self._young_by_flow: dict[bytes, _Placed] = {}
        self._young_counts: collections.Counter[str] = collections.Counter()
        self._recent_by_target: dict[str, _DecayedCount] = {}

    def begin(self, now_ms: int, flow: bytes, target: str) -> None:
        """Record that a flow was placed on a target."""
        self.end(flow)
        self._young_by_flow[flow] = _Placed(now_ms, target)
        self._young_counts[target] += 1
        self._recent_by_target[target] = _DecayedCount(
            now_ms, self.recent_flows(now_ms, target) + 1
        )

    def move(self, now_ms: int, flow: bytes, target: str) -> None:
        """Record that a flow moved to another target before any work was done."""
        before = self._young_by_flow.get(flow)
        if before is not None:
            count = max(0.0, self.recent_flows(now_ms, before.target) - 1)
            self._recent_by_target[before.target] = _DecayedCount(now_ms, count)
        self.begin(now_ms, flow, target)

    def end(self, flow: bytes) -> None:
        """Record that a flow has ended or has left this home."""
        placed = self._young_by_flow.pop(flow, None)
        if placed is not None:
            self._young_counts[placed.target] -= 1

    def tick(self, now_ms: int) -> list[str]:
        """Stop tracking flows that are no longer young; return the target of each."""
        grown_old: list[str] = []
        while self._young_by_flow:
            flow, placed = next(iter(self._young_by_flow.items()))
            if now_ms - placed.at_ms < YOUNG_MS:
                break
            self.end(flow)
            grown_old.append(placed.target)
        return grown_old

    def young_flows(self, target: str) -> int:
        """Return the number of a target's young flows that have not ended."""
        return self._young_counts[target]

    def recent_flows(self, now_ms: int, target: str) -> float:
        """Return the decayed count of flows placed on a target."""
        decayed = self._recent_by_target.get(target, _NONE)
        return decayed.flows * math.exp(-(now_ms - decayed.at_ms) / DECAY_MS)

    def recent_flow_tenths(self, now_ms: int) -> dict[str, int]:
        """Return ten times each decayed count; drop counts close to zero."""
        counts = {
            target: self.recent_flows(now_ms, target)
            for target in self._recent_by_target
        }
        for target, count in counts.items():
            if count < _NEGLIGIBLE_FLOWS:
                del self._recent_by_target[target]
        tenths = {target: round(count * 10) for target, count in counts.items()}
        return {target: count for target, count in tenths.items() if count}
