"""Placement policies with data that no home has, as limits for comparison."""

import math
import typing

from eelgrasswick import target
from eelgrasswick.decisions import placement
from eelgrasswick.emulation import (
    baseline,
    model,
    work,
)

REPORT_INTERVAL_MS: typing.Final = 1000


class _RecentWork(typing.NamedTuple):
    at_ms: float
    work_ms: float


class GroundTruth:
    """The true state of all targets of a run."""

    def __init__(
        self,
        targets: typing.Mapping[str, model.Target],
        now_ms: typing.Callable[[], float],
    ) -> None:
        """Observe the targets of one run.

        Args:
            targets: All targets by name.
            now_ms: Returns the present virtual time in milliseconds.
        """
        self.targets = targets
        self.now_ms = now_ms
        self._recent_work: dict[str, _RecentWork] = {}

    def record_work(self, name: str, work_ms: float) -> None:
        """Add work that was placed on a target."""
        total_ms = self.recent_ms(name) + work_ms
        self._recent_work[name] = _RecentWork(self.now_ms(), total_ms)

    def recent_ms(self, name: str) -> float:
        """Return the decayed sum of the work placed on a target, in milliseconds."""
        recent = self._recent_work.get(name)
        if recent is None:
            return 0.0
        return recent.work_ms * math.exp((recent.at_ms - self.now_ms()) / work.DECAY_MS)


class Oracle(placement.Placement):
    """Places flows by recent work and true strength, on targets that do work."""

    def __init__(self, truth: GroundTruth) -> None:
        """Create a policy that has the true state of all targets."""
        self._truth = truth

    def choose(
        self, ranked: typing.Sequence[placement.TargetLoad], factor: float
    ) -> target.Target | None:
        """Choose the working target with the least recent work for its strength."""
        usable = [item.target for item in ranked if item.usable]
        working = [item for item in usable if self._works(item.name)] or usable
        return min(working, key=self._load_of, default=None)

    def _works(self, name: str) -> bool:
        found = self._truth.targets[name]
        return found.up and not found.hangs and found.model.strength > 0

    def _load_of(self, item: target.Target) -> float:
        strength = self._truth.targets[item.name].model.strength
        return self._truth.recent_ms(item.name) / max(0.001, strength)


class ReportedLoad(placement.Placement):
    """Places flows by the loads that the targets report, read once a second."""

    learns = False

    def __init__(self, truth: GroundTruth) -> None:
        """Create a policy that has read no report yet."""
        self._truth = truth
        self._reports_read_ms = -math.inf
        self._load_by_target: dict[str, float] = {}

    def choose(
        self, ranked: typing.Sequence[placement.TargetLoad], factor: float
    ) -> target.Target | None:
        """Choose the target with the least reported load for its strength."""
        if self._truth.now_ms() - self._reports_read_ms > REPORT_INTERVAL_MS:
            self._reports_read_ms = self._truth.now_ms()
            targets = self._truth.targets.items()
            self._load_by_target = {name: item.reported_load for name, item in targets}
        usable = [item for item in ranked if item.usable]
        return min(usable, key=self._load_of).target if usable else None

    def _load_of(self, item: placement.TargetLoad) -> float:
        return (self._load_by_target[item.target.name] + 1) / item.strength


Factory = typing.Callable[[GroundTruth], placement.Placement]

POLICIES: typing.Final[dict[str, Factory]] = {
    "bounded": lambda truth: placement.BoundedHash(),
    "hash": lambda truth: baseline.WeightedHash(),
    "round_robin": lambda truth: baseline.RoundRobin(),
    "least_open": lambda truth: baseline.LeastOpen(),
    "reported": ReportedLoad,
    "oracle": Oracle,
}
