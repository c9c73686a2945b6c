"""An entry VM as the command ``load`` runs it: its home and nothing else.

The home, the opener and the decisions are those of the product; only the way
of a packet to its home and the heartbeats are left out.
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

_WINDOW_MS: typing.Final = 5000
_HINT_MS: typing.Final = 10_000
_HINTS: typing.Final = 1000


def epoch_of(
    current: config.Config, members: typing.Iterable[member.Member]
) -> epoch.Epoch:
    """Return the epoch of a VM that sees these members."""
    return epoch.Epoch(current, members)


class Node:
    """One entry VM.

    Attributes:
        vm: Its place and size.
        me: How other VMs know it.
        alive: False after it went down.
        cut: True while it reaches no other VM.
    """

    def __init__(
        self, vm: scenario.Vm, number: int, policy: placement.Placement
    ) -> None:
        """Build a VM that knows no configuration yet."""
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
            epoch.EpochLog(_WINDOW_MS),
            flow.FlowTable(),
            hint.HintTable(_HINT_MS, _HINTS),
            load.LoadBook(),
            health.HealthBook(),
            replica.Replicator(self.peers, self.outbox),
            self.peers,
            self.outbox,
        )
        self.opener = opener.Opener(vm.name, self.tables, policy)
        self.home = home.Home(vm.name, self.tables, self.opener)
        self._switch = switch.Switch(vm.name, packet.FouCodec(), self.tables, self.home)

    def tick(self, now_ms: int) -> list[message.Action]:
        """Let time pass."""
        self.home.tick(now_ms)
        self.tables.replicator.flush()
        self.tables.loads.expire(now_ms)
        self.tables.flows.expire(now_ms)
        return self.outbox.take()

    def load_report(self, now_ms: int) -> wire.LoadReport:
        """Return what this home tells the others once a second."""
        recent = self.opener.chooser.work.recent_tenths(now_ms)
        return load.report(self.tables.flows.open_by_target, recent)

    def receive_peer_message(
        self, now_ms: int, sender: str, payload: bytes
    ) -> list[message.Action]:
        """Take an inquiry about a flow, or the answer to one."""
        item = wire.decode(payload)
        if isinstance(item, wire.FlowTargetRequest):
            self._switch.ask(now_ms, sender, item)
        elif isinstance(item, wire.FlowTargetResponse):
            self._switch.tell(now_ms, sender, item)
        return self.outbox.take()
