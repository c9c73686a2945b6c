"""Chooses the target of a new flow, for flows that carry their target's cookie.

Load pattern: zones with unequal numbers of long flows, on targets of unequal speed.
A new flow stays in the availability zone of its VM unless that zone's targets are
much fuller than those of other zones. A cut between zones then breaks few flows, and
the other zones absorb a burst in one zone or the loss of some of its targets.

Inside a zone the better of two random targets gets the flow (Mitzenmacher, "The
Power of Two Choices in Randomized Load Balancing", 2001). The figures of all VMs are
delayed, and if every VM chose the best target of all, the VMs would overload one
target after the other. The better target is the one with the shorter expected wait,
mostly by this VM's own waiting requests, which are counted without delay. Flows of
other VMs have a low weight: flows of a single request have ended when their report
arrives, and VMs that all followed the same old counts would send all flows to the
same target until the next reports.
"""

import heapq
import typing

from eelgrasswick.cookie import model

# A flow is placed on the less loaded of so many targets.
CHOICES: typing.Final = 2
# A flow leaves the VM's zone when the zone's flows per slot exceed SPILL_FACTOR times
# those of the other zones plus SPILL_SLACK. Of two zones with two and three targets
# for the same number of callers, the first is fuller by half; this difference alone
# should not send flows over a link that may be cut.
SPILL_FACTOR: typing.Final = 1.5
SPILL_SLACK: typing.Final = 2.0
# A flow is assumed to wait for a response for this fraction of its lifetime. Callers
# pause for some hundred milliseconds between the requests of a long flow.
WAITING_SHARE: typing.Final = 0.1
# At most this many targets of the VM's zone, and as many of the other zones together,
# are considered for one flow. Only two of them are compared, and the mean fill of this
# many is accurate enough to decide whether the flow leaves the zone. Considering
# thousands of targets would delay the packets that follow.
SAMPLE_SIZE: typing.Final = 64
# A target that has just started has this fraction of its usual speed.
COLD_FACTOR: typing.Final = 0.6
_KEYS: typing.Final = 2**32
# Odd factors with evenly distributed bits, which mix a cookie with the key of a flow.
_FIRST_FACTOR: typing.Final = 0x9E3779B97F4A7C15
_SECOND_FACTOR: typing.Final = 0xBF58476D1CE4E5B9
_MASK: typing.Final = 2**64 - 1

T = typing.TypeVar("T")


class Draws(typing.NamedTuple):
    """Pseudo-random numbers from 0 to 1, uniform over flows.

    Attributes:
        first: Selects, with the second one, two targets by rendezvous hashing.
        second: See the first one.
        refuse: Compared with the fraction of flows to be refused.
    """

    first: float
    second: float
    refuse: float = 0.0


class Candidate(typing.NamedTuple):
    """A target that may get a flow.

    Attributes:
        target: The target.
        flows: Number of its flows, by this VM and by reports.
        speed_factor: Factor by which its slots are multiplied.
        cold: True while it is slow after its start.
        waiting_flows: Flows of this VM that wait for a response of the target.
    """

    target: model.Target
    flows: float
    speed_factor: float
    cold: bool
    waiting_flows: int = 0

    @property
    def capacity(self) -> float:
        """Capacity in slots of usual speed."""
        cold = COLD_FACTOR if self.cold else 1.0
        return max(1, self.target.slots) * self.speed_factor * cold

    @property
    def load(self) -> float:
        """Expected number of requests per unit of capacity, with one more request.

        Requests of other VMs are estimated from their numbers of flows.
        """
        return (1 + self.waiting_flows + WAITING_SHARE * self.flows) / self.capacity


def choose_target(
    candidates: typing.Sequence[Candidate], zone: str, draws: Draws
) -> model.Target | None:
    """Choose the target of a new flow.

    Args:
        candidates: Targets that may get the flow.
        zone: Availability zone of this VM.
        draws: Pseudo-random numbers of the flow.

    Returns:
        The target, or None when there is no candidate.
    """
    own = [item for item in candidates if item.target.zone == zone]
    others = [item for item in candidates if item.target.zone != zone]
    if (
        own
        and others
        and _flows_per_slot(own) > SPILL_FACTOR * _flows_per_slot(others) + SPILL_SLACK
    ):
        own = others
    chosen = own or others
    if not chosen:
        return None
    return _less_loaded(chosen, draws).target


def choose_agreed_target(
    candidates: typing.Sequence[Candidate], zone: str, draws: Draws
) -> model.Target | None:
    """Choose the target of a flow of which other VMs may place another copy.

    VMs of a zone that know the same targets choose the same one, whatever load they
    see, so that the flow is not opened at two targets.

    Args:
        candidates: Targets that may get the flow.
        zone: Availability zone of this VM.
        draws: Pseudo-random numbers of the flow's original packet.

    Returns:
        The target, or None when there is no candidate.
    """
    targets = [item.target for item in candidates]
    return next(iter(likely_targets(targets, zone, draws)), None)


def likely_targets(
    targets: typing.Sequence[model.Target], zone: str, draws: Draws
) -> list[model.Target]:
    """Return the targets between which any VM of a zone chooses, whatever its load.

    Args:
        targets: Targets that may get the flow.
        zone: Availability zone of the VMs.
        draws: Pseudo-random numbers of the flow's original packet.

    Returns:
        At most `CHOICES` targets of the zone, the agreed one first, and then as many
        of other zones, to which the flow is spilled under load.
    """
    own = [item for item in targets if item.zone == zone]
    others = [item for item in targets if item.zone != zone]
    return [
        item
        for group in (own, others)
        for item in _preferred(group, lambda target: target.cookie, draws)
    ]


def _preferred(
    targets: typing.Iterable[T], cookie: typing.Callable[[T], int], draws: Draws
) -> list[T]:
    """Return the first `CHOICES` targets by rendezvous hashing.

    VMs that exclude different targets mostly agree about the others.
    """
    key = int(draws.first * _KEYS) << 32 | int(draws.second * _KEYS)
    return heapq.nlargest(
        CHOICES,
        targets,
        key=lambda item: (cookie(item) * _FIRST_FACTOR ^ key) * _SECOND_FACTOR & _MASK,
    )


def sample_targets(
    own: typing.Sequence[model.Target],
    others: typing.Sequence[model.Target],
    position: float,
) -> list[model.Target]:
    """Return the targets that are considered for a flow, this VM's zone first.

    The caller keeps the targets of the two groups apart, because separating thousands
    of targets for each flow would delay the packets that follow.

    Args:
        own: All targets of this VM's zone that take flows.
        others: All targets of other zones that take flows.
        position: Number from 0 to 1, uniform over flows, so that all targets of a group
            are considered equally often.
    """
    return [*_window(own, position), *_window(others, position)]


def pick_service(shares: typing.Sequence[model.Share], fraction: float) -> str:
    """Return the service of a flow, in proportion to the weights of a route.

    Args:
        shares: The route's services, at least one.
        fraction: Number from 0 to 1, uniform over flows and the same for all packets
            of one flow.
    """
    total = sum(item.weight for item in shares)
    left = fraction * total
    for item in shares:
        left -= item.weight
        if left < 0:
            return item.service
    return shares[-1].service


def _window(
    targets: typing.Sequence[model.Target], position: float
) -> typing.Sequence[model.Target]:
    if len(targets) <= SAMPLE_SIZE:
        return targets
    start = int(position * len(targets))
    found = targets[start : start + SAMPLE_SIZE]
    return [*found, *targets[: SAMPLE_SIZE - len(found)]]


def _flows_per_slot(candidates: typing.Sequence[Candidate]) -> float:
    flows = sum(item.flows for item in candidates)
    return flows / sum(item.capacity for item in candidates)


def _less_loaded(candidates: typing.Sequence[Candidate], draws: Draws) -> Candidate:
    choices = _preferred(candidates, lambda item: item.target.cookie, draws)
    return min(choices, key=lambda item: item.load)
