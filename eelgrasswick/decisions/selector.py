"""Selection of the target of a new flow.

The selector collects the inputs of the decisions in ``choice`` from the configuration,
the health and load of targets and the view of the fleet. It addresses no load pattern
itself.
"""

import typing

from eelgrasswick import (
    packet,
    service,
    target,
)
from eelgrasswick.decisions import (
    choice,
    health,
    placement,
)
from eelgrasswick.homes import (
    epoch,
    tables,
)

# Strengths and ramps are updated at this interval.
UPDATE_INTERVAL_MS: typing.Final = 500


class Selector:
    """Selects targets for the new flows of a home.

    Attributes:
        chooser: The home's observations of targets, and its policy.
    """

    def __init__(self, shared: tables.Tables, policy: placement.Placement) -> None:
        """Create a selector with a policy and no observations."""
        self.chooser = choice.Chooser(policy)
        self._tables = shared
        self._updated_ms = 0

    def tick(self, now_ms: int) -> None:
        """Record flows that are no longer young, and update strengths and ramps."""
        self.chooser.tick(now_ms)
        if now_ms - self._updated_ms >= UPDATE_INTERVAL_MS:
            self._updated_ms = now_ms
            self._update(now_ms)

    def answered(self, now_ms: int, name: str, opening_ms: int) -> None:
        """Record that a target has accepted a flow.

        Args:
            now_ms: Present time in milliseconds.
            name: The target.
            opening_ms: Time since the flow began.
        """
        self.chooser.strength.accepted(name, opening_ms)
        if self._tables.health.answered(name):
            self.chooser.ramp.restart(now_ms, name)

    def choose(
        self,
        now_ms: int,
        key: packet.FlowKey,
        flow_service: service.Service,
        excluded: frozenset[str],
    ) -> choice.Choice:
        """Choose a target for a new flow."""
        current = self._tables.epochs.current
        assert current is not None
        if key.protocol == packet.Protocol.UDP:
            # A datagram can be repeated and reach two homes, as on the two sides of a
            # cut. Both homes must choose the same target, or the datagram's request
            # would run twice. Therefore nothing that a single VM observes is used,
            # neither load nor reachability.
            return choice.Choice(current.locate(key, flow_service).default, False)
        ranked = [
            item
            for item in current.ranked(key, flow_service)
            if item.name not in excluded
        ]
        ranked = self._reachable(ranked, current)
        suspected = [self._tables.health.suspected(now_ms, i.name) for i in ranked]
        usable = health.usable(suspected)
        candidates = [
            self._candidate(item, ok) for item, ok in zip(ranked, usable, strict=True)
        ]
        return self.chooser.choose(now_ms, candidates)

    def _reachable(
        self, ranked: list[target.Target], current: epoch.Epoch
    ) -> list[target.Target]:
        # A zone whose entry VMs are all unreachable is cut off or gone, and its targets
        # with it. Flows that are sent there would hang until the zone is reachable
        # again. Its targets are excluded before the panic threshold is applied: a VM of
        # a small zone that is cut off suspects most targets, and would otherwise send
        # flows to all of them.
        peers = self._tables.peers
        reachable = [
            item
            for item in ranked
            if item.zone in current.zones or not peers.zone_known(item.zone)
        ]
        return reachable or ranked

    def _candidate(self, item: target.Target, usable: bool) -> choice.Candidate:
        open_here = self._tables.flows.open_by_target[item.name]
        everywhere = open_here + self._tables.loads.elsewhere(item.name)
        has_room = everywhere < item.connections
        recent = self._tables.loads.recent_elsewhere(item.name)
        return choice.Candidate(item, everywhere, recent, usable and has_room)

    def _update(self, now_ms: int) -> None:
        current = self._tables.epochs.current
        if current is None:
            return
        for flow_service in current.config.services.values():
            self.chooser.strength.tick(now_ms, flow_service.targets)
        targets = current.config.targets
        names = [name for name, item in targets.items() if item.accepts]
        self.chooser.ramp.update_targets(now_ms, names)
