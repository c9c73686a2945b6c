"""Estimates of each target's open flows over the whole fleet."""

import typing

from eelgrasswick import wire

STALE_MS: typing.Final = 5000


class _Report(typing.NamedTuple):
    at_ms: int
    flows: dict[str, int]


class LoadBook:
    """The latest report of each other home, and what they add up to."""

    def __init__(self) -> None:
        """Start without reports."""
        self._reports: dict[str, _Report] = {}
        self._totals: dict[str, int] = {}

    def take(self, now_ms: int, sender: str, report: wire.LoadReport) -> None:
        """Take a home's report in place of its last one."""
        flows = {item.target: item.flows for item in report.entries if item.flows > 0}
        self._reports[sender] = _Report(now_ms, flows)
        self._sum()

    def expire(self, now_ms: int) -> None:
        """Drop reports that are too old to say anything.

        A home that died no longer places flows, and its flows are counted anew
        by the homes that take them over; counted twice, its targets would look
        full and get no new flows.
        """
        old = [
            name
            for name, report in self._reports.items()
            if now_ms - report.at_ms > STALE_MS
        ]
        if not old:
            return
        for name in old:
            del self._reports[name]
        self._sum()

    def elsewhere(self, name: str) -> int:
        """Return the open flows of a target at all other homes."""
        return self._totals.get(name, 0)

    def heard_from(self, names: typing.Iterable[str]) -> bool:
        """Tell whether there is a recent report of each of these homes."""
        return all(name in self._reports for name in names)

    def _sum(self) -> None:
        totals: dict[str, int] = {}
        for report in self._reports.values():
            for name, flows in report.flows.items():
                totals[name] = totals.get(name, 0) + flows
        self._totals = totals
