"""Simple placement policies, the baselines of the policy in use.

No service uses them. ``eelgrasswick load`` runs them on the same scenarios, so that
each claim about the policy in use can be checked by comparison.
"""

import typing

from eelgrasswick import target
from eelgrasswick.decisions import placement


class WeightedHash(placement.Placement):
    """Places each flow on its default target, whatever the load."""

    learns = False

    def choose(
        self, ranked: typing.Sequence[placement.TargetLoad], factor: float
    ) -> target.Target | None:
        """Choose the first usable target in hash order."""
        return next((item.target for item in ranked if item.usable), None)


class RoundRobin(placement.Placement):
    """Places flows on the targets in turn, in proportion to their weights."""

    learns = False

    def __init__(self) -> None:
        """Create a policy that has placed no flow."""
        self._turns_taken: dict[str, float] = {}

    def choose(
        self, ranked: typing.Sequence[placement.TargetLoad], factor: float
    ) -> target.Target | None:
        """Choose the usable target with the fewest turns relative to its weight."""
        usable = [item for item in ranked if item.usable]
        if not usable:
            return None
        chosen = min(usable, key=self._turns_of).target
        weight = max(chosen.weight, 0.01)
        self._turns_taken[chosen.name] = (
            self._turns_taken.get(chosen.name, 0.0) + 1 / weight
        )
        return chosen

    def _turns_of(self, item: placement.TargetLoad) -> float:
        return self._turns_taken.get(item.target.name, 0.0)


class LeastOpen(placement.Placement):
    """Places flows on the target with the fewest open flows for its strength.

    Homes get one another's flow counts once a second. Between two reports all homes
    find the same target emptiest, and send their flows to it.
    """

    learns = False

    def choose(
        self, ranked: typing.Sequence[placement.TargetLoad], factor: float
    ) -> target.Target | None:
        """Choose the usable target with the fewest open flows for its strength."""
        usable = [item for item in ranked if item.usable]
        if not usable:
            return None
        return min(usable, key=_relative_open_flows).target


def _relative_open_flows(item: placement.TargetLoad) -> float:
    return (item.open_flows + 1) / item.strength
