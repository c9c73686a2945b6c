"""What a home has lately placed on each target.

Load pattern: most flows are short, so that at any moment few are open. Counts
of open flows are then zero or one, which says nothing about who got more work;
plain hashing decides alone, and with a few dozen flows a target of little
strength gets a third more than its share. A count of recent starts that fades
still knows it.

``FADE_MS`` is long against the second between load reports, so that a stale
report misses at most a tenth of the count, and short against the minutes in
which load moves.
"""

import collections
import math
import typing

DECAY_MS: typing.Final = 10_000
YOUNG_MS: typing.Final = 2000
_NEGLIGIBLE: typing.Final = 0.01


class _Start(typing.NamedTuple):
    at_ms: int
    name: str


class _Faded(typing.NamedTuple):
    at_ms: int
    flows: float


_NONE: typing.Final = _Faded(0, 0.0)


class RecentFlowTracker:
    """Young flows and recent starts of each target, as one home placed them.

    A flow is young for ``YOUNG_MS``. An older one is a board or a download: it
    takes a connection of the target but seldom a work slot, so it must not keep
    short requests out.
    """

    def __init__(self) -> None:
        """Start without flows."""
        self._young: dict[bytes, _Start] = {}
        self._busy: collections.Counter[str] = collections.Counter()
        self._recent: dict[str, _Faded] = {}

    def begin(self, now_ms: int, flow: bytes, name: str) -> None:
        """Note that a flow was placed on a target."""
        self.end(flow)
        self._young[flow] = _Start(now_ms, name)
        self._busy[name] += 1
        self._recent[name] = _Faded(now_ms, self.recent_flows(now_ms, name) + 1)

    def move(self, now_ms: int, flow: bytes, name: str) -> None:
        """Note that a flow went to another target before any work."""
        before = self._young.get(flow)
        if before is not None:
            count = max(0.0, self.recent_flows(now_ms, before.name) - 1)
            self._recent[before.name] = _Faded(now_ms, count)
        self.begin(now_ms, flow, name)

    def end(self, flow: bytes) -> None:
        """Note that a flow has ended, or is no longer this home's."""
        start = self._young.pop(flow, None)
        if start is not None:
            self._busy[start.name] -= 1

    def tick(self, now_ms: int) -> list[str]:
        """Let flows grow old; return the target of each that did."""
        aged: list[str] = []
        while self._young:
            flow, start = next(iter(self._young.items()))
            if now_ms - start.at_ms < YOUNG_MS:
                break
            self.end(flow)
            aged.append(start.name)
        return aged

    def young_flows(self, name: str) -> int:
        """Return the young flows of a target that have not ended."""
        return self._busy[name]

    def recent_flows(self, now_ms: int, name: str) -> float:
        """Return the faded count of flows placed on a target."""
        faded = self._recent.get(name, _NONE)
        return faded.flows * math.exp(-(now_ms - faded.at_ms) / DECAY_MS)

    def recent_flow_tenths(self, now_ms: int) -> dict[str, int]:
        """Return ten times the counts, and drop those that are about zero."""
        counts = {name: self.recent_flows(now_ms, name) for name in self._recent}
        for name, count in counts.items():
            if count < _NEGLIGIBLE:
                del self._recent[name]
        tenths = {name: round(count * 10) for name, count in counts.items()}
        return {name: count for name, count in tenths.items() if count}
