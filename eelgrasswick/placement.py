"""Which target a new flow goes to.

Load pattern: many short flows with some long ones, targets of unequal
strength, several homes that decide at once. Plain weighted hashing leaves the
fullest target far above the mean, and that target delays check-ins. Bounded
load (Mirrokni, Thorup and Zadimoghaddam, "Consistent hashing with bounded
loads", 2016) passes over a target that is above its share by a factor, so most
flows stay where hashing alone puts them and need no message.
"""

import abc
import typing

from eelgrasswick import target

BOUND_FACTOR: typing.Final = 1.25


class TargetLoad(typing.NamedTuple):
    """What a home knows of one target when it places a flow.

    Attributes:
        target: The target.
        open_flows: Estimate of its open flows over the whole fleet.
        strength: Share of the work it should get, relative to the others.
        usable: False when it is taken for dead, full or out of reach.
    """

    target: target.Target
    open_flows: float
    strength: float
    usable: bool


class Placement(abc.ABC):
    """A policy for new flows; it keeps no clock, network or randomness."""

    @abc.abstractmethod
    def choose(self, ranked: typing.Sequence[TargetLoad]) -> target.Target | None:
        """Choose a target.

        Args:
            ranked: Targets that accept flows, the default of the flow in front.

        Returns:
            The target, or None when no target is usable.
        """


class BoundedHash(Placement):
    """The first target in hash order whose load is within the bound."""

    def __init__(self, factor: float = BOUND_FACTOR) -> None:
        """Bound each target at ``factor`` times its share of the open flows."""
        self._factor = factor

    def choose(self, ranked: typing.Sequence[TargetLoad]) -> target.Target | None:
        """Choose by hash order within the bound; see the base class."""
        usable = [item for item in ranked if item.usable]
        if not usable:
            return None
        total = sum(item.open_flows for item in usable) + 1
        strength = sum(item.strength for item in usable)
        for item in usable:
            share = total * item.strength / strength
            if item.open_flows + 1 <= self._factor * share + 1:
                return item.target
        return min(usable, key=_fill).target


def _fill(item: TargetLoad) -> float:
    return (item.open_flows + 1) / item.strength
