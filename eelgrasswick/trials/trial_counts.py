"""Counts of open flows as reported between the homes of the placement trial."""

import collections
import typing

LOAD_REPORT_INTERVAL_MS: typing.Final = 1000.0


class OpenFlowCounts:
    """Open flows by home and target, with the others' counts a second late."""

    def __init__(self, begin_ms: float) -> None:
        """Start without flows at a virtual time in milliseconds."""
        self.totals: collections.Counter[str] = collections.Counter()
        self._own: dict[str, collections.Counter[str]] = {}
        self._late_all: collections.Counter[str] = collections.Counter()
        self._late_own: dict[str, collections.Counter[str]] = {}
        self._next_ms = begin_ms

    def add(self, home: str, name: str, step: int) -> None:
        """Count flows of a home on a target up or down."""
        self.totals[name] += step
        self._own.setdefault(home, collections.Counter())[name] += step

    def refresh(self, now_ms: float) -> None:
        """Let the homes report, once a second."""
        if now_ms < self._next_ms:
            return
        self._next_ms = now_ms + LOAD_REPORT_INTERVAL_MS
        self._late_all = self.totals.copy()
        self._late_own = {home: own.copy() for home, own in self._own.items()}

    def estimate(self, home: str, name: str) -> int:
        """Return a target's open flows as one home knows them."""
        late_own = self._late_own.get(home)
        others = self._late_all[name] - (late_own[name] if late_own else 0)
        own = self._own.get(home)
        return others + (own[name] if own else 0)
