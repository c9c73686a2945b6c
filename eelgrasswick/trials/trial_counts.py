"""Counts of open flows as reported between the homes of the placement trial."""

import collections
import typing

LOAD_REPORT_INTERVAL_MS: typing.Final = 1000.0


class OpenFlowCounts:
    """Numbers of open flows by home and target.

    A home has its own current counts. It has the counts of the other homes only
    from their last reports, which are sent once a second.

    Attributes:
        totals: Current number of open flows of all homes, by target.
    """

    def __init__(self, begin_ms: float) -> None:
        """Create empty counts.

        Args:
            begin_ms: Virtual time of the first reports.
        """
        self.totals: collections.Counter[str] = collections.Counter()
        self._own: dict[str, collections.Counter[str]] = {}
        self._reported_totals: collections.Counter[str] = collections.Counter()
        self._reported_own: dict[str, collections.Counter[str]] = {}
        self._next_ms = begin_ms

    def add(self, home: str, name: str, step: int) -> None:
        """Add to the number of a home's flows on a target.

        Args:
            home: Name of the home.
            name: Name of the target.
            step: Number of flows to add; negative for flows that closed.
        """
        self.totals[name] += step
        self._own.setdefault(home, collections.Counter())[name] += step

    def refresh(self, now_ms: float) -> None:
        """Update the reported counts of all homes if a report is due."""
        if now_ms < self._next_ms:
            return
        self._next_ms = now_ms + LOAD_REPORT_INTERVAL_MS
        self._reported_totals = self.totals.copy()
        self._reported_own = {home: own.copy() for home, own in self._own.items()}

    def estimate(self, home: str, name: str) -> int:
        """Return the number of a target's open flows from one home's view.

        The number is the home's own current count plus the last reported counts
        of the other homes.

        Args:
            home: Name of the home.
            name: Name of the target.
        """
        reported_own = self._reported_own.get(home)
        others = self._reported_totals[name] - (
            reported_own[name] if reported_own else 0
        )
        own = self._own.get(home)
        return others + (own[name] if own else 0)
