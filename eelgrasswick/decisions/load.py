"""Estimates of the load of each target over the whole fleet.

Load pattern: every home places flows on the same targets and counts only its own.
Without the counts of other homes, each would fill its share evenly while by chance
several fill the same target. One report a second from each home, replaced as a whole,
is enough because the counts of recent starts decay over ten seconds.
"""

import collections
import typing

from eelgrasswick import wire

# A report is dropped at this age.
STALE_MS: typing.Final = 5000


def report(
    flows: typing.Mapping[str, int], tenths: typing.Mapping[str, int]
) -> wire.LoadReport:
    """Return the report of this home to other homes.

    Args:
        flows: Open flows by target.
        tenths: Ten times the recent starts by target.
    """
    names = sorted(flows.keys() | tenths.keys())
    entries = [
        wire.OpenFlows(name, flows.get(name, 0), tenths.get(name, 0)) for name in names
    ]
    return wire.LoadReport(tuple(entries))


class _Report(typing.NamedTuple):
    at_ms: int
    entries: tuple[wire.OpenFlows, ...]


class LoadTracker:
    """The latest report of each other home, and their totals."""

    def __init__(self) -> None:
        """Create a tracker without reports."""
        self._reports: dict[str, _Report] = {}
        self._flows: collections.Counter[str] = collections.Counter()
        self._recent_tenths: collections.Counter[str] = collections.Counter()

    def record(self, now_ms: int, sender: str, report: wire.LoadReport) -> None:
        """Replace the last report of a home by a new one."""
        previous = self._reports.get(sender)
        if previous is not None:
            self._add(previous, -1)
        self._reports[sender] = _Report(now_ms, report.entries)
        self._add(self._reports[sender], 1)

    def expire(self, now_ms: int) -> None:
        """Drop reports that are too old to be of use.

        A home that died no longer places flows, and the homes that take its flows over
        count them again. Counted twice, its targets would look full and get no new
        flows.
        """
        old = [
            name
            for name, report in self._reports.items()
            if now_ms - report.at_ms > STALE_MS
        ]
        for name in old:
            self._add(self._reports.pop(name), -1)

    def elsewhere(self, name: str) -> int:
        """Return the open flows of a target at all other homes."""
        return self._flows[name]

    def has_reports_from(self, names: typing.Iterable[str]) -> bool:
        """Return whether each of these homes has sent a recent report."""
        return all(name in self._reports for name in names)

    def recent_elsewhere(self, name: str) -> float:
        """Return the recent starts on a target at all other homes."""
        return self._recent_tenths[name] / 10

    def _add(self, report: _Report, sign: int) -> None:
        for item in report.entries:
            self._flows[item.target] += sign * max(0, item.flows)
            self._recent_tenths[item.target] += sign * max(0, item.recent_tenths)
