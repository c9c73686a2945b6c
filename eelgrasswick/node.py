"""A simulated entry VM of the command ``load``, reduced to its home.

The home, the opener and the decisions are those of the product. Only the
forwarding of packets to their home and the heartbeats are left out.
"""

import typing

from eelgrasswick import (
    config,
    message,
    packet,
    wire,
)
from eelgrasswick.decisions import (
    health,
    load,
    placement,
)
from eelgrasswick.emulation import scenario
from eelgrasswick.fleet import (
    member,
    peer,
)
from eelgrasswick.homes import (
    epoch,
    flow,
    hint,
    home,
    opener,
    replica,
    switch,
    tables,
)

_EPOCH_WINDOW_MS: typing.Final = 5000
_HINT_TTL_MS: typing.Final = 10_000
_MAX_HINTS: typing.Final = 1000


def epoch_of(
    current: config.Config, members: typing.Iterable[member.Member]
) -> epoch.Epoch:
    """Return the epoch of a VM that has these members."""
    return epoch.Epoch(current, members)


class Node:
    """One simulated entry VM.

    Attributes:
        vm: Its name, zone and size in the scenario.
        me: The member record that other VMs have of it.
        alive: False after it has failed.
        cut: True while it can reach no other VM.
    """

    def __init__(
        self, vm: scenario.Vm, number: int, policy: placement.Placement
    ) -> None:
        """Create a VM without a configuration."""
        self.vm = vm
        self.alive = True
        self.cut = False
        self.me = member.Member(
            vm.name,
            vm.zone,
            f"10.0.{number // 250}.{number % 250 + 1}",
            6081,
            6082,
            vm.size,
            1,
            member.MemberState.ALIVE,
        )
        self.outbox = message.Outbox()
        self.peers = peer.Peers(self.outbox)
        self.tables = tables.Tables(
            epoch.EpochLog(_EPOCH_WINDOW_MS),
            flow.FlowTable(),
            hint.HintTable(_HINT_TTL_MS, _MAX_HINTS),
            load.LoadTracker(),
            health.HealthTracker(),
            replica.Replicator(self.peers, self.outbox),
            self.peers,
            self.outbox,
        )
        self.opener = opener.Opener(vm.name, self.tables, policy)
        self.home = home.Home(vm.name, self.tables, self.opener)
        self._switch = switch.Switch(vm.name, packet.FouCodec(), self.tables, self.home)

    def tick(self, now_ms: int) -> list[message.Action]:
        """Process the passing of time and return the actions due."""
        self.home.tick(now_ms)
        self.tables.replicator.flush()
        self.tables.loads.expire(now_ms)
        self.tables.flows.expire(now_ms)
        return self.outbox.take()

    def load_report(self, now_ms: int) -> wire.LoadReport:
        """Return the load report that this home sends to the others once a second."""
        recent = self.opener.chooser.work.recent_flow_tenths(now_ms)
        return load.report(self.tables.flows.open_by_target, recent)

    def receive_peer_message(
        self, now_ms: int, sender: str, payload: bytes
    ) -> list[message.Action]:
        """Process a request about a flow's target, or the response to one."""
        item = wire.decode(payload)
        if isinstance(item, wire.FlowTargetRequest):
            self._switch.handle_inquiry(now_ms, sender, item)
        elif isinstance(item, wire.FlowTargetResponse):
            self._switch.handle_inquiry_response(now_ms, sender, item)
        return self.outbox.take()
