"""What the entry VMs tell each other of the targets.

Load pattern: a VM sees a part of the flows, on grown fleets a sixtieth. By its
own part alone a target looks idle that others have filled, a zone looks
empty to all VMs of the other zones, and each VM has to lose callers to a
silent target before it passes it over. So each tells the others how many flows
it has on each target, how fast the target answers it, and whether it is silent.

Reports are some seconds old; flows of the kinds that fill targets last longer.
A VM's own flows count at once, so that it does not send all of them to the
target that looked empty when the others last spoke.
"""

import collections
import typing

RETENTION_MS: typing.Final = 10_000
# In a large fleet a VM holds recent reports of a part of the others only, which is
# taken for a sample of all. Fewer than these are none.
MIN_SAMPLE_VMS: typing.Final = 16
# News of silence is acted on only while it is new.
SILENCE_VALID_MS: typing.Final = 1500
# Bounds a report at about 600 bytes, half of a datagram.
MAX_ENTRIES: typing.Final = 60


class TargetReport(typing.NamedTuple):
    """What one VM knows of one target.

    Attributes:
        cookie: The target.
        flows: Flows that pass this VM to it.
        answer_ms: Smoothed time of its answers; 0 when too few were seen.
        silent: True when it left packets unanswered lately.
    """

    cookie: int
    flows: int
    answer_ms: int
    silent: bool


Report = tuple[TargetReport, ...]


class Reports:
    """The last report of each other VM.

    Attributes:
        others: How many other VMs there are.
    """

    def __init__(self) -> None:
        """Begin without reports."""
        self.others = 0
        self._scale = 1.0
        self._reports: dict[str, tuple[Report, int]] = {}
        # Kept up with each report; summing hundreds anew takes the time of packets.
        self._flows: collections.Counter[int] = collections.Counter()
        # Answer times by target and VM.
        self._answers_ms: dict[int, dict[str, int]] = {}
        # When each VM last found a target silent, by target and VM.
        self._silent_ms: dict[int, dict[str, int]] = {}

    def record(self, now_ms: int, host: str, report: Report) -> None:
        """Take a VM's report in place of its last one."""
        self.forget(host)
        self._reports[host] = (report, now_ms)
        for entry in report:
            self._flows[entry.cookie] += entry.flows
            if entry.answer_ms:
                self._answers_ms.setdefault(entry.cookie, {})[host] = entry.answer_ms
            if entry.silent:
                self._silent_ms.setdefault(entry.cookie, {})[host] = now_ms

    def forget(self, host: str) -> None:
        """Drop the report of a VM that is gone; its flows pass others now."""
        report, _ = self._reports.pop(host, ((), 0))
        for entry in report:
            self._flows[entry.cookie] -= entry.flows
            if not self._flows[entry.cookie]:
                del self._flows[entry.cookie]
            _discard(self._answers_ms, entry.cookie, host)
            if entry.silent:
                _discard(self._silent_ms, entry.cookie, host)

    def tick(self, now_ms: int) -> None:
        """Drop what is old."""
        old = [
            h
            for h, (_, at_ms) in self._reports.items()
            if now_ms - at_ms > RETENTION_MS
        ]
        for host in old:
            self.forget(host)
        held = len(self._reports)
        self._scale = max(1.0, self.others / held) if held >= MIN_SAMPLE_VMS else 1.0

    def __len__(self) -> int:
        """Return of how many VMs a recent report is held."""
        return len(self._reports)

    def flows_on(self, cookie: int) -> int:
        """Return about how many flows the other VMs have on a target."""
        return round(self._scale * self._flows.get(cookie, 0))

    def answers_ms(self, cookie: int) -> typing.Sequence[int]:
        """Return the answer times that other VMs see of a target."""
        return list(self._answers_ms.get(cookie, {}).values())

    def count_silent_reports(self, now_ms: int, cookie: int) -> int:
        """Return how many other VMs lately found a target silent.

        It is asked for each target at each opening packet; a search of all reports
        would hold up the packets behind.
        """
        found = self._silent_ms.get(cookie)
        if found is None:
            return 0
        return sum(now_ms - at_ms <= SILENCE_VALID_MS for at_ms in found.values())


def _discard(book: dict[int, dict[str, int]], cookie: int, host: str) -> None:
    found = book.get(cookie, {})
    found.pop(host, None)
    if not found:
        book.pop(cookie, None)
