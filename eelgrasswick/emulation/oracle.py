"""Policies that are told what no home can know, as limits for comparison."""

import math
import typing

from eelgrasswick import target
from eelgrasswick.decisions import placement
from eelgrasswick.emulation import (
    baseline,
    model,
    work,
)

REPORT_MS: typing.Final = 1000


class _Assigned(typing.NamedTuple):
    at_ms: float
    work_ms: float


class GroundTruth:
    """The true state of all targets."""

    def __init__(
        self,
        targets: typing.Mapping[str, model.Target],
        now_ms: typing.Callable[[], float],
    ) -> None:
        """Look at the targets of one run."""
        self.targets = targets
        self.now_ms = now_ms
        self._assigned: dict[str, _Assigned] = {}

    def assigned(self, name: str, work_ms: float) -> None:
        """Note work that was given to a target."""
        total_ms = self.recent_ms(name) + work_ms
        self._assigned[name] = _Assigned(self.now_ms(), total_ms)

    def recent_ms(self, name: str) -> float:
        """Return the work lately given to a target, which fades."""
        known = self._assigned.get(name)
        if known is None:
            return 0.0
        return known.work_ms * math.exp((known.at_ms - self.now_ms()) / work.DECAY_MS)


class Oracle(placement.Placement):
    """Least recent work by true strength, among targets truly at work."""

    def __init__(self, truth: GroundTruth) -> None:
        """Choose with the truth."""
        self._truth = truth

    def choose(
        self, ranked: typing.Sequence[placement.TargetLoad], factor: float
    ) -> target.Target | None:
        """Choose by true state; see the base class."""
        usable = [item.target for item in ranked if item.usable]
        good = [item for item in usable if self._good(item.name)] or usable
        return min(good, key=self._fill, default=None)

    def _good(self, name: str) -> bool:
        known = self._truth.targets[name]
        return known.up and not known.hangs and known.model.strength > 0

    def _fill(self, item: target.Target) -> float:
        strength = self._truth.targets[item.name].model.strength
        return self._truth.recent_ms(item.name) / max(0.001, strength)


class ReportedLoad(placement.Placement):
    """Least load as the targets' endpoints report it, once a second."""

    learns = False

    def __init__(self, truth: GroundTruth) -> None:
        """Choose with the reports."""
        self._truth = truth
        self._read_ms = -math.inf
        self._reported: dict[str, float] = {}

    def choose(
        self, ranked: typing.Sequence[placement.TargetLoad], factor: float
    ) -> target.Target | None:
        """Choose by the last reports; see the base class."""
        if self._truth.now_ms() - self._read_ms > REPORT_MS:
            self._read_ms = self._truth.now_ms()
            known = self._truth.targets.items()
            self._reported = {name: item.reported_load for name, item in known}
        usable = [item for item in ranked if item.usable]
        return min(usable, key=self._fill).target if usable else None

    def _fill(self, item: placement.TargetLoad) -> float:
        return (self._reported[item.target.name] + 1) / item.strength


Factory = typing.Callable[[GroundTruth], placement.Placement]

POLICIES: typing.Final[dict[str, Factory]] = {
    "bounded": lambda truth: placement.BoundedHash(),
    "hash": lambda truth: baseline.WeightedHash(),
    "round_robin": lambda truth: baseline.RoundRobin(),
    "least_open": lambda truth: baseline.LeastOpen(),
    "reported": ReportedLoad,
    "oracle": Oracle,
}
