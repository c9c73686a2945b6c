"""Which target a new flow goes to.

Load pattern: many short flows with some long ones, targets of unequal
strength, several homes that decide at once. Plain weighted hashing leaves the
fullest target far above the mean, and that target delays check-ins. Bounded
load (Mirrokni, Thorup and Zadimoghaddam, "Consistent hashing with bounded
loads", 2016) passes over a target that is above its share by a factor, so most
flows stay where hashing alone puts them and need no message.

``BUSY_SLACK`` is half a flow, so that a second young flow of the same home is
sent on while others are idle. Without ``OPEN_PER_SLOT`` weak targets get too little.
"""

import abc
import math
import typing

from eelgrasswick import target

OPEN_FACTOR: typing.Final = 1.25
OPEN_PER_SLOT: typing.Final = 3
BUSY_SLACK: typing.Final = 0.5


class TargetLoad(typing.NamedTuple):
    """What a home knows of one target when it places a flow.

    Attributes:
        target: The target.
        open_flows: Estimate of its open flows over the whole fleet.
        busy: Young flows that this home has on it.
        recent: Estimate of the flows it lately got, fading with time.
        strength: Share of the work it should get, relative to the others.
        usable: False when it is taken for dead, full or out of reach.
    """

    target: target.Target
    open_flows: float
    busy: int
    recent: float
    strength: float
    usable: bool


class Placement(abc.ABC):
    """A policy for new flows; it keeps no clock, network or randomness.

    Attributes:
        learns: False for a policy that takes targets as they claim to be: no
            learned strength, no ramp and no concurrency limit.
    """

    learns: bool = True

    @abc.abstractmethod
    def choose(
        self, ranked: typing.Sequence[TargetLoad], factor: float
    ) -> target.Target | None:
        """Choose a target.

        Args:
            ranked: Targets that accept flows, the default of the flow in front.
            factor: How far above its share of recent flows a target may be; see
                ``shift.ShiftBudget``.

        Returns:
            The target, or None when no target is usable.
        """


class BoundedHash(Placement):
    """The first target in hash order that is within all bounds.

    One bound is on the flows lately placed, which keeps short work even; one
    is on open flows, which keeps boards and downloads even; and one is on the
    home's own young flows, the only figure that is never late.
    """

    def choose(
        self, ranked: typing.Sequence[TargetLoad], factor: float
    ) -> target.Target | None:
        """Choose by hash order within the bounds; see the base class."""
        usable = [item for item in ranked if item.usable]
        if not usable:
            return None
        if math.isinf(factor):
            return usable[0].target
        strength = sum(item.strength for item in usable)
        recent = (sum(item.recent for item in usable) + 1) / strength
        opened = (sum(item.open_flows for item in usable) + 1) / strength
        slots = sum(item.target.slots for item in usable)
        busy = sum(item.busy for item in usable) / slots
        for item in usable:
            # Half a flow of slack: a target whose share is below one flow must
            # still be able to get one.
            even = item.recent + 0.5 <= factor * recent * item.strength
            # At the same use of its slots a slow target has as many requests
            # open as a fast one. Counted by strength they would make it look
            # full, and it would get a tenth too little.
            working = OPEN_PER_SLOT * item.target.slots
            share = OPEN_FACTOR * opened * item.strength
            light = item.open_flows <= share + working
            idle = item.busy <= factor * busy * item.target.slots + BUSY_SLACK
            if even and light and idle:
                return item.target
        return min(usable, key=_fill).target


def _fill(item: TargetLoad) -> float:
    return (item.recent + 1) / item.strength
