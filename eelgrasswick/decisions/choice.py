"""Chooses a target for a new flow from all that a home knows.

It puts the decisions under load together in the order in which they apply:
what is usable, what has room, how strong each target is, and then the policy.
It answers no load pattern of its own; the modules it joins do.
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
    """What a home knows of a target besides what it placed there itself.

    Attributes:
        target: The target.
        open_flows: Its open flows over the whole fleet, as far as known.
        recent_elsewhere: Recent starts on it at other homes, as reported.
        usable: False when it is taken for dead, full or out of reach.
    """

    target: target.Target
    open_flows: float
    recent_elsewhere: float
    usable: bool


class Choice(typing.NamedTuple):
    """What came of a choice.

    Attributes:
        target: The target, or None.
        waits: True when a usable target may have room soon.
    """

    target: target.Target | None
    waits: bool


class Chooser:
    """What one home has learned of the targets, and its policy."""

    def __init__(self, policy: placement.Placement) -> None:
        """Choose by a policy; nothing is learned at first."""
        self.work = work.WorkBook()
        self.strength = strength.StrengthTracker()
        self.ramp = ramp.RampTracker()
        self.retry = retry.RetryBudget()
        self._concurrency = concurrency.ConcurrencyLimits()
        self._shift = shift.ExceptionBudget()
        self._policy = policy

    def choose(self, now_ms: int, sights: typing.Sequence[Candidate]) -> Choice:
        """Choose among targets, the default of the flow in front.

        Args:
            now_ms: Present time in milliseconds.
            sights: Targets that accept flows, in hash order.
        """
        if not sights:
            return Choice(None, False)
        zone = sights[0].target.zone
        # Exceptions stay in the zone while it has room: a flow that crosses
        # zones pays the way with every packet and dies with either zone.
        near = sorted(sights, key=lambda item: item.target.zone != zone)
        loads = [self._load(now_ms, item) for item in near]
        chosen = self._policy.choose(loads, self._shift.factor(now_ms))
        waits = chosen is None and any(item.usable for item in sights)
        return Choice(chosen, waits)

    def begin(self, now_ms: int, flow: bytes, name: str, exception: bool) -> None:
        """Note that a flow was placed on a target."""
        self.work.begin(now_ms, flow, name)
        self.retry.earn()
        if exception:
            self._shift.spend(now_ms)

    def move(self, now_ms: int, flow: bytes, name: str) -> None:
        """Note that a flow went to another target before any work."""
        self.work.move(now_ms, flow, name)
        self._shift.spend(now_ms)

    def end(
        self, now_ms: int, flow: bytes, name: str, life_ms: int, reset: bool
    ) -> None:
        """Note that a flow ended; see ``strength.StrengthTracker.ended``."""
        self.work.end(flow)
        if reset or life_ms < work.YOUNG_MS:
            self.strength.ended(now_ms, name, life_ms, reset)
        if not reset:
            self._concurrency.ended(now_ms, name, life_ms, self.work.busy(name))

    def tick(self, now_ms: int) -> None:
        """Let flows grow old, and learn from it.

        A target that hangs ends no flow at all. Its flows count as long ones
        as soon as they are old, or nothing would ever tell against it.
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
            room = self._concurrency.room(name, self.work.busy(name))
        return placement.TargetLoad(
            item.target,
            item.open_flows,
            self.work.busy(name),
            item.recent_elsewhere + self.work.recent(now_ms, name),
            item.target.weight * factor,
            item.usable and room,
        )
