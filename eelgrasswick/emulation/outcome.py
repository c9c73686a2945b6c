"""What callers and targets got in one run of a scenario."""

import collections
import enum
import typing

from hdrh import histogram

from eelgrasswick.emulation import (
    model,
    scenario,
)

_UNITS_PER_MS: typing.Final = 100
_HIGHEST: typing.Final = 100 * 60_000


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
        requests: Requests that callers had.
        in_time: Answered within the deadline of their last attempt.
        late: Answered later, or given up by the caller.
        refused: Refused at the last attempt.
        failed: Answered by a target that does not do its work.
        broken: Cut after the work began or while the flow was held open.
        silent: Got no answer to any opening packet.
        ran_twice: Requests that targets began to work on more than once.
        refused_ran: Refused as not run, although a target had begun.
        refusals: Refusals, over all attempts.
        returns: Attempts after a refusal, made when the refusal said.
        returns_in_time: Share of those returns that were answered in time.
        goodput: Work answered in time over what all targets could do.
        imbalance: Most work over mean work of the targets, by true strength.
        wait_p50_ms: Median time from an attempt to the start of its work, of
            the first kind of work.
        wait_p99_ms: The 99th percentile of the same.
        hot_share: Share of the hot callers' requests answered in time.
        other_share: Share of the other callers' requests answered in time.
        exceptions: Share of placed flows not on their default target.
        moved: Flows moved to another target before any work.
        control_bytes_per_s: Control traffic of one VM, without heartbeats.
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
    """Collects what happens in a run."""

    def __init__(self, read: scenario.Scenario) -> None:
        """Collect for one scenario."""
        self._scenario = read
        self._waits: dict[str, histogram.HdrHistogram] = {}
        self.ends: collections.Counter[End] = collections.Counter()
        self._hot: collections.Counter[bool] = collections.Counter()
        self._other: collections.Counter[bool] = collections.Counter()
        self._good_ms = 0.0
        self.ran_twice = 0
        self.refused_ran = 0
        self.refusals = 0
        self.returns = 0
        self._returns_in_time = 0

    def waited(self, work: scenario.Work, wait_ms: float) -> None:
        """Note how long a request waited for its work to begin."""
        known = self._waits.get(work.name)
        if known is None:
            known = histogram.HdrHistogram(1, _HIGHEST, 3)
            self._waits[work.name] = known
        known.record_value(min(_HIGHEST, max(1, round(wait_ms * _UNITS_PER_MS))))

    def ended(self, now_ms: float, request: model.Request, end: End) -> None:
        """Note how a request ended."""
        self.ends[end] += 1
        good = end is End.IN_TIME
        if good and now_ms <= self._scenario.load.duration_ms:
            self._good_ms += request.work.work_ms
        if good:
            self._returns_in_time += request.returned
        hot = request.caller < self._scenario.load.hot_callers
        (self._hot if hot else self._other)[good] += 1

    def wait_ms(self, work: str, percentile: float) -> float:
        """Return a percentile of the waits of one kind of work."""
        known = self._waits.get(work)
        if known is None:
            return 0.0
        return float(known.get_value_at_percentile(percentile)) / _UNITS_PER_MS

    @property
    def goodput(self) -> float:
        """Work answered in time over what all targets could do."""
        could_ms = self._scenario.capacity * self._scenario.load.duration_ms
        return round(self._good_ms / could_ms, 3)

    @property
    def returns_in_time(self) -> float:
        """Share of returns that were answered in time."""
        return round(self._returns_in_time / self.returns, 3) if self.returns else 1.0

    @property
    def hot_share(self) -> float:
        """Share of the hot callers' requests answered in time."""
        return _share(self._hot)

    @property
    def other_share(self) -> float:
        """Share of the other callers' requests answered in time."""
        return _share(self._other)


def _share(counts: collections.Counter[bool]) -> float:
    total = counts[True] + counts[False]
    return round(counts[True] / total, 3) if total else 1.0


def imbalance(targets: typing.Iterable[model.Target], steady: set[str]) -> float:
    """Return most over mean work by true strength.

    Args:
        targets: All targets after the run.
        steady: Names of those that took work during the whole run.
    """
    loads = [
        item.worked_ms / item.model.strength
        for item in targets
        if item.model.name in steady and item.model.strength
    ]
    mean = sum(loads) / len(loads) if loads else 0.0
    return round(max(loads) / mean, 3) if mean else 0.0
