"""Chooses the target of a new flow from what this VM knows.

It gathers what the decisions in ``choice`` need from the configuration, the
health and load of targets and the view of the fleet.
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

LEARN_MS: typing.Final = 500


class Selector:
    """What a home asks for a target.

    Attributes:
        chooser: What the home has learned, and its policy.
    """

    def __init__(self, shared: tables.Tables, policy: placement.Placement) -> None:
        """Choose by a policy."""
        self.chooser = choice.Chooser(policy)
        self._tables = shared
        self._learn_ms = 0

    def tick(self, now_ms: int) -> None:
        """Let flows grow old, and learn from time to time."""
        self.chooser.tick(now_ms)
        if now_ms - self._learn_ms >= LEARN_MS:
            self._learn_ms = now_ms
            self._learn(now_ms)

    def answered(self, now_ms: int, name: str, opening_ms: int) -> None:
        """Note that a target has accepted a flow.

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
        owner: service.Service,
        excluded: frozenset[str],
    ) -> choice.Choice:
        """Choose a target for a new flow."""
        current = self._tables.epochs.current
        assert current is not None
        if key.protocol == packet.Protocol.UDP:
            # A datagram can be repeated and reach two homes, as on the sides of
            # a cut. Both must choose alike, or it would run twice; so nothing
            # that one VM alone sees counts, neither load nor reach.
            return choice.Choice(current.locate(key, owner).default, False)
        ranked = [
            item for item in current.ranked(key, owner) if item.name not in excluded
        ]
        ranked = self._reachable(ranked, current)
        suspected = [self._tables.health.suspected(now_ms, i.name) for i in ranked]
        usable = health.usable(suspected)
        sights = [
            self._sight(item, good) for item, good in zip(ranked, usable, strict=True)
        ]
        return self.chooser.choose(now_ms, sights)

    def _reachable(
        self, ranked: list[target.Target], current: epoch.Epoch
    ) -> list[target.Target]:
        # A zone whose entry VMs are all out of reach is cut off or gone, and
        # its targets with it. Flows sent there would hang until it heals. Left
        # out before the panic share is worked out: a small zone that is cut
        # off sees most targets as lost, and would send flows to all of them.
        peers = self._tables.peers
        near = [
            item
            for item in ranked
            if item.zone in current.zones or not peers.zone_known(item.zone)
        ]
        return near or ranked

    def _sight(self, item: target.Target, good: bool) -> choice.Candidate:
        here = self._tables.flows.open_by_target[item.name]
        everywhere = here + self._tables.loads.elsewhere(item.name)
        free = everywhere < item.connections
        recent = self._tables.loads.recent_elsewhere(item.name)
        return choice.Candidate(item, everywhere, recent, good and free)

    def _learn(self, now_ms: int) -> None:
        current = self._tables.epochs.current
        if current is None:
            return
        for owner in current.config.services.values():
            self.chooser.strength.tick(now_ms, owner.targets)
        targets = current.config.targets
        names = [name for name, item in targets.items() if item.accepts]
        self.chooser.ramp.update_targets(now_ms, names)
