"""Reports that entry VMs send each other about targets.

Load pattern: a VM handles only a share of the flows, a sixtieth on large fleets.
From its own share alone, a target filled by other VMs looks idle, a zone looks empty
to all VMs of other zones, and each VM has to lose callers to a silent target before
it avoids that target. Each VM therefore reports to the others how many flows it has
on each target, how fast the target answers, and whether the target is silent.

Reports are a few seconds old, but flows of the kinds that fill targets last longer.
A VM counts its own flows immediately, so that it does not send all of them to the
target that looked empty in the latest reports.
"""

import collections
import typing

# A report older than this is discarded.
RETENTION_MS: typing.Final = 10_000
# In a large fleet a VM holds recent reports of only some other VMs, and extrapolates
# from them to all. It does not extrapolate from fewer reports than this.
MIN_SAMPLE_VMS: typing.Final = 16
# A report of a silent target counts only for this long.
SILENCE_VALID_MS: typing.Final = 1500
# This limit keeps a report at about 600 bytes, half of a datagram.
MAX_ENTRIES: typing.Final = 60


class TargetReport(typing.NamedTuple):
    """One VM's report about one target.

    Attributes:
        cookie: The target's cookie.
        flows: Number of flows that this VM forwards to the target.
        answer_ms: Smoothed answer time of the target; 0 with too few samples.
        silent: True when the target recently left packets unanswered.
    """

    cookie: int
    flows: int
    answer_ms: int
    silent: bool


Report = tuple[TargetReport, ...]


class Reports:
    """Registry of the latest report of each other VM.

    Attributes:
        other_vms: Number of other live VMs.
        changed: Cookies whose reported answer times may have changed since the set was
            last emptied.
    """

    def __init__(self) -> None:
        """Create an empty registry."""
        self.other_vms = 0
        self.changed: set[int] = set()
        self._scale = 1.0
        self._reports: dict[str, tuple[Report, int]] = {}
        # These sums are updated with each report, because summing hundreds of
        # reports for each packet would delay the packets.
        self._flows: collections.Counter[int] = collections.Counter()
        # This table has answer times in ms by target cookie and VM.
        self._answers_ms: dict[int, dict[str, int]] = {}
        # This table has the time of the latest report that a target is silent, by
        # cookie and VM.
        self._silent_ms: dict[int, dict[str, int]] = {}

    def record(self, now_ms: int, host: str, report: Report) -> None:
        """Replace the previous report of a VM by a new one."""
        self.remove(host)
        self._reports[host] = (report, now_ms)
        for entry in report:
            self._flows[entry.cookie] += entry.flows
            if entry.answer_ms:
                self.changed.add(entry.cookie)
                self._answers_ms.setdefault(entry.cookie, {})[host] = entry.answer_ms
            if entry.silent:
                self._silent_ms.setdefault(entry.cookie, {})[host] = now_ms

    def remove(self, host: str) -> None:
        """Remove the report of a dead VM, whose flows now pass through other VMs."""
        report, _ = self._reports.pop(host, ((), 0))
        for entry in report:
            self._flows[entry.cookie] -= entry.flows
            if not self._flows[entry.cookie]:
                del self._flows[entry.cookie]
            if entry.answer_ms:
                self.changed.add(entry.cookie)
                _discard(self._answers_ms, entry.cookie, host)
            if entry.silent:
                _discard(self._silent_ms, entry.cookie, host)

    def tick(self, now_ms: int) -> None:
        """Remove expired reports, and update the extrapolation factor."""
        old = [
            h
            for h, (_, at_ms) in self._reports.items()
            if now_ms - at_ms > RETENTION_MS
        ]
        for host in old:
            self.remove(host)
        held = len(self._reports)
        self._scale = max(1.0, self.other_vms / held) if held >= MIN_SAMPLE_VMS else 1.0

    def __len__(self) -> int:
        """Return the number of VMs with a recent report."""
        return len(self._reports)

    def flows_on(self, cookie: int) -> int:
        """Estimate how many flows the other VMs have on a target."""
        return round(self._scale * self._flows.get(cookie, 0))

    def answers_ms(self, cookie: int) -> typing.Sequence[int]:
        """Return the answer times in ms that other VMs report for a target."""
        return list(self._answers_ms.get(cookie, {}).values())

    @property
    def silent_cookies(self) -> typing.AbstractSet[int]:
        """Targets that the latest report of any VM has as silent."""
        return self._silent_ms.keys()

    def count_silent_reports(self, now_ms: int, cookie: int) -> int:
        """Return how many other VMs recently reported a target as silent.

        The method runs for each target at each opening packet. A search of all
        reports would delay the packets that follow.
        """
        found = self._silent_ms.get(cookie)
        if found is None:
            return 0
        return sum(now_ms - at_ms <= SILENCE_VALID_MS for at_ms in found.values())


def _discard(by_cookie: dict[int, dict[str, int]], cookie: int, host: str) -> None:
    found = by_cookie.get(cookie, {})
    found.pop(host, None)
    if not found:
        by_cookie.pop(cookie, None)
