"""Which target a new flow goes to, for flows that name their target.

Load pattern: long flows of unequal zones on targets of unequal speed. A new
flow stays in its own availability zone while that zone's targets are not
fuller than those elsewhere by ``SPILL``: a cut between zones then breaks few
flows, and a burst in one zone or a zone that has lost targets is carried by
the others. Inside a zone the target with the fewest flows for its strength gets
it; this VM's own flows are counted, which are an even part of the zone's.
"""

import typing

from eelgrasswick.cookie import model

# How much fuller than the least full target elsewhere one of the own zone may
# be. 1.5 flows for each slot is below what makes a second request wait.
SPILL: typing.Final = 1.5
# A cold server works 1.6 times slower, by the platform's sheets.
COLD_FACTOR: typing.Final = 0.6


class Candidate(typing.NamedTuple):
    """A target that may get a flow.

    Attributes:
        target: The target.
        flows: Flows that are known to be on it.
        speed: What its slots are to be multiplied with.
        cold: True while it is slow after its start.
    """

    target: model.Target
    flows: float
    speed: float
    cold: bool

    @property
    def strength(self) -> float:
        """Requests it works on at the speed of a usual slot."""
        cold = COLD_FACTOR if self.cold else 1.0
        return max(1, self.target.slots) * self.speed * cold

    @property
    def fill(self) -> float:
        """Flows for each unit of strength if it got one more."""
        return (self.flows + 1) / self.strength


def choose(
    candidates: typing.Sequence[Candidate], zone: str, tie: int
) -> model.Target | None:
    """Choose the target of a new flow.

    Args:
        candidates: Targets that may get it.
        zone: Availability zone of this VM.
        tie: A number that is even over flows; it decides among equally full
            targets, which all VMs would else fill in the same order.

    Returns:
        The target, or None when there is no candidate.
    """
    own = [item for item in candidates if item.target.zone == zone]
    others = [item for item in candidates if item.target.zone != zone]
    best_own = _least_full(own, tie)
    best_other = _least_full(others, tie)
    if best_own is None or best_other is None:
        best = best_own or best_other
        return best.target if best is not None else None
    if best_own.fill > best_other.fill + SPILL:
        return best_other.target
    return best_own.target


def pick_service(shares: typing.Sequence[model.Share], fraction: float) -> str:
    """Return the service that a part of a route's flows goes to.

    Args:
        shares: The route's services, at least one.
        fraction: Even over flows and the same for all packets of one, 0 to 1.
    """
    total = sum(item.weight for item in shares)
    left = fraction * total
    for item in shares:
        left -= item.weight
        if left < 0:
            return item.service
    return shares[-1].service


def _least_full(candidates: typing.Sequence[Candidate], tie: int) -> Candidate | None:
    if not candidates:
        return None
    lowest = min(item.fill for item in candidates)
    equal = [item for item in candidates if item.fill <= lowest * 1.001]
    return equal[tie % len(equal)]
