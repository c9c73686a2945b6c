"""Placement policies for new flows.

Load pattern: many short flows with some long ones, targets of unequal strength, and
several homes that decide at once. Plain weighted hashing leaves the fullest target far
above the mean, and that target answers late. Bounded load (Mirrokni, Thorup and
Zadimoghaddam, "Consistent hashing with bounded loads", 2016) passes over a target that
is above its share by a factor, so most flows stay where hashing alone puts them and
need no message.

``BUSY_SLACK`` is half a flow, so that a second young flow of the same home goes to
another target while others are idle. Without ``OPEN_PER_SLOT`` weak targets get too few
flows.
"""

import abc
import math
import typing

from eelgrasswick import target

# The open flows of a target may exceed its share of them by this factor.
OPEN_FACTOR: typing.Final = 1.25
# This many open flows for each slot are allowed on top of the share.
OPEN_PER_SLOT: typing.Final = 3
# This many young flows of the home are allowed on top of the bound.
BUSY_SLACK: typing.Final = 0.5


class TargetLoad(typing.NamedTuple):
    """The load of one target when a home places a flow.

    Attributes:
        target: The target.
        open_flows: Estimate of its open flows over the whole fleet.
        busy: Young flows that this home has on it.
        recent: Estimate of the flows that it got recently, decaying with time.
        strength: Share of the work that it should get, relative to the others.
        usable: False when it is suspected dead, full or out of reach.
    """

    target: target.Target
    open_flows: float
    busy: int
    recent: float
    strength: float
    usable: bool


class Placement(abc.ABC):
    """A policy for new flows; it uses no clock, network or randomness.

    Attributes:
        learns: False for a policy that uses the configured weights only: no measured
            strength, no ramp and no concurrency limit.
    """

    learns: bool = True

    @abc.abstractmethod
    def choose(
        self, ranked: typing.Sequence[TargetLoad], factor: float
    ) -> target.Target | None:
        """Choose a target.

        Args:
            ranked: Targets that accept flows in hash order; the first is the default of
                the flow.
            factor: How far above its share of recent flows a target may be; see
                ``shift.ExceptionBudget``.

        Returns:
            The target, or None when no target is usable.
        """


class BoundedHash(Placement):
    """The first target in hash order that is within all bounds.

    The bound on recently placed flows keeps short work even. The bound on open flows
    keeps long-lived flows and downloads even. The bound on the home's own young flows
    uses the only figure that is never late.
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
        recent_per_strength = (sum(item.recent for item in usable) + 1) / strength
        open_per_strength = (sum(item.open_flows for item in usable) + 1) / strength
        slots = sum(item.target.slots for item in usable)
        busy_per_slot = sum(item.busy for item in usable) / slots
        for item in usable:
            # The slack is half a flow, because a target whose share is below one flow
            # must still be able to get one.
            within_recent = (
                item.recent + 0.5 <= factor * recent_per_strength * item.strength
            )
            # At the same use of its slots a slow target has as many open requests as a
            # fast one. A bound by strength alone would make it look full, and it would
            # get a tenth too little.
            slot_allowance = OPEN_PER_SLOT * item.target.slots
            share = OPEN_FACTOR * open_per_strength * item.strength
            within_open = item.open_flows <= share + slot_allowance
            within_busy = (
                item.busy <= factor * busy_per_slot * item.target.slots + BUSY_SLACK
            )
            if within_recent and within_open and within_busy:
                return item.target
        return min(usable, key=_fill_level).target


def _fill_level(item: TargetLoad) -> float:
    return (item.recent + 1) / item.strength
