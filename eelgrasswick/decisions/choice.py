"""Choice of a target for a new flow.

The module applies the decisions under load in a fixed order: which targets are usable,
which have room, how strong each target is, and then the placement policy. It addresses
no load pattern itself; the modules that it combines do.
"""

import typing

from eelgrasswick import target
from eelgrasswick.decisions import (
    concurrency,
    placement,
    ramp,
    retry,
    shift,
    strength,
)
from eelgrasswick.emulation import work


class Candidate(typing.NamedTuple):
    """A target, its load at all homes, and whether it may get flows.

    Attributes:
        target: The target.
        open_flows: Estimate of its open flows over the whole fleet.
        recent_elsewhere: Recent starts on it at other homes, as reported.
        usable: False when it is suspected dead, full or out of reach.
    """

    target: target.Target
    open_flows: float
    recent_elsewhere: float
    usable: bool


class Choice(typing.NamedTuple):
    """The result of a choice.

    Attributes:
        target: The target, or None.
        waits: True when no target was chosen but a usable one may have room soon.
    """

    target: target.Target | None
    waits: bool


class Chooser:
    """Observations of targets at one home, and the placement policy."""

    def __init__(self, policy: placement.Placement) -> None:
        """Create a chooser with a policy and no observations."""
        self.work = work.RecentFlowTracker()
        self.strength = strength.StrengthTracker()
        self.ramp = ramp.RampTracker()
        self.retry = retry.RetryBudget()
        self._concurrency = concurrency.ConcurrencyLimits()
        self._shift = shift.ExceptionBudget()
        self._policy = policy

    def choose(self, now_ms: int, candidates: typing.Sequence[Candidate]) -> Choice:
        """Choose a target for a new flow.

        Args:
            now_ms: Present time in milliseconds.
            candidates: Targets that accept flows, in hash order; the first is the
                default of the flow.
        """
        if not candidates:
            return Choice(None, False)
        zone = candidates[0].target.zone
        # Exceptions stay in the default target's zone while it has room. A flow that
        # crosses zones has a longer path for every packet and breaks when either zone
        # fails.
        same_zone_first = sorted(candidates, key=lambda item: item.target.zone != zone)
        loads = [self._load(now_ms, item) for item in same_zone_first]
        chosen = self._policy.choose(loads, self._shift.factor(now_ms))
        waits = chosen is None and any(item.usable for item in candidates)
        return Choice(chosen, waits)

    def begin(self, now_ms: int, flow: bytes, name: str, exception: bool) -> None:
        """Record that a flow was placed on a target."""
        self.work.begin(now_ms, flow, name)
        self.retry.earn()
        if exception:
            self._shift.spend(now_ms)

    def move(self, now_ms: int, flow: bytes, name: str) -> None:
        """Record that a flow was moved to another target before any work."""
        self.work.move(now_ms, flow, name)
        self._shift.spend(now_ms)

    def end(
        self, now_ms: int, flow: bytes, name: str, life_ms: int, reset: bool
    ) -> None:
        """Record that a flow ended; see ``strength.StrengthTracker.ended``."""
        self.work.end(flow)
        if reset or life_ms < work.YOUNG_MS:
            self.strength.ended(now_ms, name, life_ms, reset)
        if not reset:
            self._concurrency.ended(now_ms, name, life_ms, self.work.young_flows(name))

    def tick(self, now_ms: int) -> None:
        """Record the flows that are no longer young.

        A target that hangs ends no flow. Its flows count as long flows as soon as they
        are no longer young, because nothing else would be evidence against the target.
        """
        for name in self.work.tick(now_ms):
            self._concurrency.aged(now_ms, name)
            self.strength.ended(now_ms, name, work.YOUNG_MS, False)

    def _load(self, now_ms: int, item: Candidate) -> placement.TargetLoad:
        name = item.target.name
        factor = 1.0
        room = True
        if self._policy.learns:
            factor = self.strength.factor(name) * self.ramp.factor(now_ms, name)
            room = self._concurrency.room(name, self.work.young_flows(name))
        return placement.TargetLoad(
            item.target,
            item.open_flows,
            self.work.young_flows(name),
            item.recent_elsewhere + self.work.recent_flows(now_ms, name),
            item.target.weight * factor,
            item.usable and room,
        )
