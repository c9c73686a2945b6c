"""Which target a new flow goes to, for flows that name their target.

Load pattern: long flows of unequal zones on targets of unequal speed. A new
flow stays in its own availability zone unless that zone's targets are much
fuller than those elsewhere: a cut between zones then breaks few flows, and a
burst in one zone, or a zone that has lost targets, is carried by the others.
Inside a zone one of two targets gets it (Mitzenmacher, "The Power of Two Choices in
Randomized Load Balancing", 2001): all VMs know late figures, and if each chose the
best of all they would fill it in turn. It is the one where it waits the shortest by
the requests of this VM, which are known at once. Flows of other VMs count little:
those that last for one request are over when they are heard of, and VMs that follow
the same old counts send all flows to the same target until the next ones.
"""

import typing

from eelgrasswick.cookie import model

# How much fuller than elsewhere the own zone may be: by half, and two flows for
# each slot. Of two zones with two and three targets for the same callers the
# first is fuller by half; that alone should not send flows over a link that may
# be cut.
SPILL_FACTOR: typing.Final = 1.5
SPILL_SLACK: typing.Final = 2.0
# Part of the time for which a flow waits for an answer: callers pause for some
# hundred milliseconds between the requests of a long flow.
WAITING_SHARE: typing.Final = 0.1
# So many targets of the own zone, and of the others, are looked at for one flow. Two
# are compared, and the mean fill of so many is known well enough to spill by. Looking
# at thousands would hold up the packets behind.
SAMPLE_SIZE: typing.Final = 64
# Part of its usual speed at which a server works that has just started.
COLD_FACTOR: typing.Final = 0.6


class Draws(typing.NamedTuple):
    """Numbers from 0 to 1 that are even over flows, one for each chance.

    Attributes:
        first: Chooses the first of two targets.
        second: Chooses the second.
        refuse: Decides whether it is refused.
    """

    first: float
    second: float
    refuse: float = 0.0


class Candidate(typing.NamedTuple):
    """A target that may get a flow.

    Attributes:
        target: The target.
        flows: Flows that are known to be on it.
        speed: What its slots are to be multiplied with.
        cold: True while it is slow after its start.
        in_hand: Flows of this VM that wait for its answer.
    """

    target: model.Target
    flows: float
    speed_factor: float
    cold: bool
    waiting_flows: int = 0

    @property
    def capacity(self) -> float:
        """Requests it works on at the speed of a usual slot."""
        cold = COLD_FACTOR if self.cold else 1.0
        return max(1, self.target.slots) * self.speed_factor * cold

    @property
    def load(self) -> float:
        """Requests that one more would wait with, for each unit of strength.

        Those of other VMs are not known but from their flows.
        """
        return (1 + self.waiting_flows + WAITING_SHARE * self.flows) / self.capacity


def choose_target(
    candidates: typing.Sequence[Candidate], zone: str, draws: Draws
) -> model.Target | None:
    """Choose the target of a new flow.

    Args:
        candidates: Targets that may get it.
        zone: Availability zone of this VM.
        draws: Decide by chance.

    Returns:
        The target, or None when there is no candidate.
    """
    own = [item for item in candidates if item.target.zone == zone]
    others = [item for item in candidates if item.target.zone != zone]
    if own and others and _fill(own) > SPILL_FACTOR * _fill(others) + SPILL_SLACK:
        own = others
    chosen = own or others
    if not chosen:
        return None
    return _less_full(chosen, draws).target


def sample_targets(
    targets: typing.Sequence[model.Target], zone: str, part: float
) -> list[model.Target]:
    """Return the targets that are looked at for a flow, the own zone's in front.

    Args:
        targets: All that take flows.
        zone: Availability zone of this VM.
        part: Even over flows, 0 to 1; each target is looked at as often as others.
    """
    own = [item for item in targets if item.zone == zone]
    others = [item for item in targets if item.zone != zone]
    return [*_window(own, part), *_window(others, part)]


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


def _window(targets: list[model.Target], part: float) -> list[model.Target]:
    if len(targets) <= SAMPLE_SIZE:
        return targets
    start = int(part * len(targets))
    found = targets[start : start + SAMPLE_SIZE]
    return found + targets[: SAMPLE_SIZE - len(found)]


def _fill(candidates: typing.Sequence[Candidate]) -> float:
    flows = sum(item.flows for item in candidates)
    return flows / sum(item.capacity for item in candidates)


def _less_full(candidates: typing.Sequence[Candidate], draws: Draws) -> Candidate:
    first = int(draws.first * len(candidates)) % len(candidates)
    if len(candidates) == 1:
        return candidates[first]
    step = 1 + int(draws.second * (len(candidates) - 1)) % (len(candidates) - 1)
    second = (first + step) % len(candidates)
    return min(candidates[first], candidates[second], key=lambda item: item.load)
