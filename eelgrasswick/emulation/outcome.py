"""Results of one run of a scenario: how requests ended and how work was shared."""

import collections
import enum
import typing

from hdrh import histogram

from eelgrasswick.emulation import (
    model,
    scenario,
)

_BINS_PER_MS: typing.Final = 100
# Waits of more than a minute count as a minute.
_MAX_WAIT_BINS: typing.Final = 100 * 60_000


class End(enum.Enum):
    """How a request ended for its caller."""

    IN_TIME = "in_time"
    LATE = "late"
    REFUSED = "refused"
    FAILED = "failed"
    BROKEN = "broken"
    SILENT = "silent"


class Result(typing.NamedTuple):
    """The figures of one run.

    Attributes:
        policy: Name of the policy.
        seed: Seed of all random choices.
        requests: Requests that callers made.
        in_time: Requests answered within the deadline of their last attempt.
        late: Requests answered later, or given up after a target accepted them.
        refused: Requests refused at their last attempt.
        failed: Requests answered or reset by a target that does not do its work.
        broken: Requests whose target stopped while their flow was open.
        silent: Requests without an answer to any opening packet.
        ran_twice: Requests that targets began to work on more than once.
        refused_ran: Refusals of requests that a target had already begun.
        refusals: Refusals of all attempts together.
        returns: Attempts made after a refusal, at the time that it gave.
        returns_in_time: Share of those returns that were answered in time.
        goodput: Work of requests answered in time over the capacity of all targets.
        imbalance: Most work over mean work of the targets, relative to their true
            strength.
        wait_p50_ms: Median time from an attempt to the start of its work, of
            the first kind of work.
        wait_p99_ms: The 99th percentile of that time.
        hot_share: Share of the hot callers' requests that were answered in time.
        other_share: Share of the other callers' requests that were answered in time.
        exceptions: Share of the placed flows that are not on their default target.
        moved: Flows moved to another target before any work was done.
        control_bytes_per_s: Mean control traffic that a VM sends, without heartbeats.
    """

    policy: str
    seed: int
    requests: int
    in_time: int
    late: int
    refused: int
    failed: int
    broken: int
    silent: int
    ran_twice: int
    refused_ran: int
    refusals: int
    returns: int
    returns_in_time: float
    goodput: float
    imbalance: float
    wait_p50_ms: float
    wait_p99_ms: float
    hot_share: float
    other_share: float
    exceptions: float
    moved: int
    control_bytes_per_s: int

    @property
    def line(self) -> str:
        """The figures as one line of key=value pairs."""
        return " ".join(f"{key}={value}" for key, value in self._asdict().items())


class Tally:
    """Counts how the requests of a run end and how long they wait."""

    def __init__(self, spec: scenario.Scenario) -> None:
        """Create empty counts for the run of a scenario."""
        self._scenario = spec
        self._waits: dict[str, histogram.HdrHistogram] = {}
        self.ends: collections.Counter[End] = collections.Counter()
        self._hot_ends: collections.Counter[bool] = collections.Counter()
        self._other_ends: collections.Counter[bool] = collections.Counter()
        self._in_time_work_ms = 0.0
        self.ran_twice = 0
        self.refused_ran = 0
        self.refusals = 0
        self.returns = 0
        self._returns_in_time = 0

    def record_wait(self, work: scenario.Work, wait_ms: float) -> None:
        """Record how long a request waited for its work to begin."""
        waits = self._waits.get(work.name)
        if waits is None:
            waits = histogram.HdrHistogram(1, _MAX_WAIT_BINS, 3)
            self._waits[work.name] = waits
        waits.record_value(min(_MAX_WAIT_BINS, max(1, round(wait_ms * _BINS_PER_MS))))

    def record_end(self, now_ms: float, request: model.Request, end: End) -> None:
        """Record how a request ended."""
        self.ends[end] += 1
        in_time = end is End.IN_TIME
        if in_time and now_ms <= self._scenario.load.duration_ms:
            self._in_time_work_ms += request.work.work_ms
        if in_time:
            self._returns_in_time += request.returned
        hot = request.caller < self._scenario.load.hot_callers
        (self._hot_ends if hot else self._other_ends)[in_time] += 1

    def wait_ms(self, work: str, percentile: float) -> float:
        """Return a percentile of the waits of one kind of work, in milliseconds."""
        waits = self._waits.get(work)
        if waits is None:
            return 0.0
        return float(waits.get_value_at_percentile(percentile)) / _BINS_PER_MS

    @property
    def goodput(self) -> float:
        """Work of requests answered in time over the capacity of all targets."""
        possible_work_ms = self._scenario.capacity * self._scenario.load.duration_ms
        return round(self._in_time_work_ms / possible_work_ms, 3)

    @property
    def returns_in_time(self) -> float:
        """Share of returns that were answered in time."""
        return round(self._returns_in_time / self.returns, 3) if self.returns else 1.0

    @property
    def hot_share(self) -> float:
        """Share of the hot callers' requests that were answered in time."""
        return _in_time_share(self._hot_ends)

    @property
    def other_share(self) -> float:
        """Share of the other callers' requests that were answered in time."""
        return _in_time_share(self._other_ends)


def _in_time_share(counts: collections.Counter[bool]) -> float:
    total = counts[True] + counts[False]
    return round(counts[True] / total, 3) if total else 1.0


def imbalance(
    targets: typing.Iterable[model.Target], steady_targets: set[str]
) -> float:
    """Return the most over the mean work of targets, relative to true strength.

    Args:
        targets: All targets after the run.
        steady_targets: Names of the targets that could work during the whole run.
    """
    loads = [
        item.worked_ms / item.model.strength
        for item in targets
        if item.model.name in steady_targets and item.model.strength
    ]
    mean = sum(loads) / len(loads) if loads else 0.0
    return round(max(loads) / mean, 3) if mean else 0.0
