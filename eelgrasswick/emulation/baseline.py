"""Simpler policies, kept to measure the one in use against.

They answer no load pattern of their own. ``eelgrasswick load`` runs them on the
same scenarios, so that each claim about the policy in use has its comparison.
"""

import typing

from eelgrasswick import target
from eelgrasswick.decisions import placement


class WeightedHash(placement.Placement):
    """The default target of the flow, whatever the load."""

    learns = False

    def choose(
        self, ranked: typing.Sequence[placement.TargetLoad], factor: float
    ) -> target.Target | None:
        """Choose the first usable target in hash order."""
        return next((item.target for item in ranked if item.usable), None)


class RoundRobin(placement.Placement):
    """One target after the other, each as often as its weight says."""

    learns = False

    def __init__(self) -> None:
        """Start with no turns given."""
        self._turns: dict[str, float] = {}

    def choose(
        self, ranked: typing.Sequence[placement.TargetLoad], factor: float
    ) -> target.Target | None:
        """Choose the target with the fewest turns for its strength."""
        usable = [item for item in ranked if item.usable]
        if not usable:
            return None
        chosen = min(usable, key=self._turn).target
        weight = max(chosen.weight, 0.01)
        self._turns[chosen.name] = self._turns.get(chosen.name, 0.0) + 1 / weight
        return chosen

    def _turn(self, item: placement.TargetLoad) -> float:
        return self._turns.get(item.target.name, 0.0)


class LeastOpen(placement.Placement):
    """The target with the fewest open flows for its strength.

    With figures a second old all homes send their flows to the same target.
    """

    learns = False

    def choose(
        self, ranked: typing.Sequence[placement.TargetLoad], factor: float
    ) -> target.Target | None:
        """Choose the target with the fewest open flows for its strength."""
        usable = [item for item in ranked if item.usable]
        if not usable:
            return None
        return min(usable, key=_open_share).target


def _open_share(item: placement.TargetLoad) -> float:
    return (item.open_flows + 1) / item.strength
