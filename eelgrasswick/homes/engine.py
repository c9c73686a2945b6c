"""The engine of an entry VM: fed (now, event), it returns actions.

It has no socket, clock or random source of its own, so that a test can drive
many engines in virtual time. The parts share state through ``tables.Tables``.
"""

import random
import typing

from eelgrasswick import (
    config,
    errors,
    message,
    packet,
    target,
    wire,
)
from eelgrasswick.decisions import (
    health,
    load,
    placement,
)
from eelgrasswick.fleet import (
    keeper,
    member,
    membership,
    peer,
)
from eelgrasswick.homes import (
    emptiness,
    epoch,
    explain,
    flow,
    hint,
    home,
    opener,
    rehome,
    replica,
    switch,
    tables,
)

TICK_MS: typing.Final = 50
HINT_TTL_MS: typing.Final = 10_000
HINT_CAPACITY: typing.Final = 400_000
EPOCH_WINDOW_MS: typing.Final = 5000
LOAD_REPORT_MS: typing.Final = 1000
ANNOUNCE_COUNT: typing.Final = 4
FORGET_PAUSE_MS: typing.Final = 3000
DISCARD_MS: typing.Final = 100


class Engine:
    """One entry VM without its sockets."""

    def __init__(
        self,
        me: member.Member,
        seeds: typing.Iterable[packet.Address],
        codec: packet.PacketCodec,
        policy: placement.Placement,
        rng: random.Random,
    ) -> None:
        """Build an engine in state JOINING.

        Args:
            me: This VM.
            seeds: Peer addresses to try before any VM is known.
            codec: Encapsulation of packets.
            policy: Chooses targets for new flows.
            rng: Seeded source of randomness.
        """
        self.name = me.name
        self.outbox = message.Outbox()
        self.peers = peer.Peers(self.outbox)
        self.membership = membership.Membership(me, seeds, self.peers, self.outbox, rng)
        self.keeper = keeper.ConfigSync(me.name, self.peers, self.outbox)
        self.tables = tables.Tables(
            epoch.EpochLog(EPOCH_WINDOW_MS),
            flow.FlowTable(),
            hint.HintTable(HINT_TTL_MS, HINT_CAPACITY),
            load.LoadBook(),
            health.HealthBook(),
            replica.Replicator(self.peers, self.outbox),
            self.peers,
            self.outbox,
        )
        self.opener = opener.Opener(me.name, self.tables, policy)
        self.home = home.Home(me.name, self.tables, self.opener)
        self.switch = switch.Switch(me.name, codec, self.tables, self.home)
        self.rehomer = rehome.Rehomer(me.name, self.tables)
        self._explainer = explain.Explainer(self.tables, self.keeper, self.membership)
        self._report_ms = 0
        self._emptiness = emptiness.EmptyTargets(self.tables)
        self._discard_until_ms = 0

    def feed(self, now_ms: int, event: message.Event) -> list[message.Action]:
        """Handle one event.

        Args:
            now_ms: Present time, milliseconds since 1970.
            event: What happened.

        Returns:
            What to do, in order.
        """
        paused_ms = self.membership.check_pause(now_ms)
        if paused_ms:
            self._wake(now_ms, paused_ms)
        match event:
            case message.FabricDatagram():
                if not self._outdated(now_ms):
                    self.switch.datagram(now_ms, event)
            case message.PeerDatagram():
                self._peer_datagram(now_ms, event)
            case message.LinkReceived():
                self._link(now_ms, event)
            case message.StoreRead():
                self.keeper.store_read(now_ms, event.value)
            case message.VmsListed():
                self.membership.update_listing(event.members)
            case message.StoreFailed():
                self.outbox.put(message.log("store_failed", detail=event.detail))
            case message.Tick():
                self._tick(now_ms)
            case message.Leave():
                self.membership.leave(now_ms)
        self._follow(now_ms)
        return self.outbox.take()

    def _wake(self, now_ms: int, paused_ms: int) -> None:
        # After a pause the sockets hold packets as old as the pause. Callers
        # have repeated them to VMs that took over, perhaps under other rules;
        # sent on, an old copy could start the same request on a second target.
        # So what waits is dropped; what still matters is sent again.
        self._discard_until_ms = now_ms + DISCARD_MS
        if paused_ms >= FORGET_PAUSE_MS:
            # The others took this VM for dead and keep its flows. Its own
            # records may name targets of flows that ended, whose ports now
            # carry other flows; a packet sent by them would be lost or reset.
            self.tables.flows.clear()
            self.tables.hints.clear()
            self.tables.replicator.clear()
            self.home.clear()
        self._follow(now_ms)

    def _outdated(self, now_ms: int) -> bool:
        if now_ms >= self._discard_until_ms:
            return False
        self.outbox.count(message.Counter.PACKETS_OUTDATED)
        return True

    def _peer_datagram(self, now_ms: int, event: message.PeerDatagram) -> None:
        try:
            self._peer_message(now_ms, event.source, wire.decode(event.payload))
        except errors.MessageInvalidError as error:
            self._invalid(str(event.source), error)

    def _peer_message(
        self, now_ms: int, source: packet.Address, item: wire.PeerMessage
    ) -> None:
        if isinstance(item, wire.Ping):
            self.membership.receive_ping(now_ms, source, item)
            self._heard(now_ms, item)
            return
        sender = self.peers.name_at(source)
        if isinstance(item, wire.Ack):
            self.membership.receive_ack(now_ms, item)
            self._heard(now_ms, item)
            return
        if sender is None:
            self._stranger(now_ms, source, item)
            return
        match item:
            case wire.Forward():
                if not self._outdated(now_ms):
                    self.switch.forward(now_ms, item)
            case wire.Relay():
                if not self._outdated(now_ms):
                    self.switch.relay(now_ms, item)
            case wire.FlowTargetRequest():
                self.switch.ask(now_ms, sender, item)
            case wire.FlowTargetResponse():
                self.switch.tell(now_ms, sender, item)
            case wire.IndirectPingRequest():
                self.membership.receive_indirect_ping(source, item)
            case _:
                raise errors.MessageInvalidError("message belongs on a link")

    def _heard(self, now_ms: int, item: wire.Ping | wire.Ack) -> None:
        self.keeper.request_if_newer(now_ms, item.sender.name, item.sequence)
        self.tables.epochs.heard(item.sequence)

    def _stranger(
        self, now_ms: int, source: packet.Address, item: wire.PeerMessage
    ) -> None:
        # Operators' commands speak from machines that are no VM of the fleet.
        if isinstance(item, wire.ExplainFlowRequest | wire.ExplainTargetRequest):
            self.peers.send_to(source, self._explainer.answer(now_ms, item))
        else:
            self.outbox.count(message.Counter.PACKETS_UNKNOWN_SENDER)

    def _link(self, now_ms: int, event: message.LinkReceived) -> None:
        try:
            self._link_message(now_ms, event.sender, wire.decode(event.payload))
        except errors.MessageInvalidError as error:
            self._invalid(event.sender, error)

    def _link_message(self, now_ms: int, sender: str, item: wire.PeerMessage) -> None:
        match item:
            case wire.BackupExceptions():
                if not self._outdated(now_ms):
                    self._keep(now_ms, item)
            case wire.DiscardExceptions():
                for packed in item.flows:
                    self.tables.replicator.kept.forget(wire.flow_key(packed))
            case wire.Handover():
                if not self._outdated(now_ms):
                    self._handover(now_ms, item)
            case wire.LoadReport():
                self.tables.loads.take(now_ms, sender, item)
            case wire.ConfigResponse():
                self.keeper.offer(now_ms, item.value, sender)
            case wire.ConfigRequest():
                self.keeper.send_if_newer(sender, item)
            case _:
                raise errors.MessageInvalidError("message does not belong on a link")

    def _invalid(self, sender: str, error: errors.MessageInvalidError) -> None:
        self.outbox.count(message.Counter.MESSAGES_INVALID)
        self.outbox.put(
            message.log(
                "message_dropped",
                kind=error.kind.value,
                sender=sender,
                detail=error.detail,
            )
        )

    def _keep(self, now_ms: int, item: wire.BackupExceptions) -> None:
        for entry in item.entries:
            known = self._target(entry.target)
            if known is not None:
                key = wire.flow_key(entry.flow)
                self.tables.replicator.kept.learn(now_ms, key, known)

    def _handover(self, now_ms: int, item: wire.Handover) -> None:
        current = self.tables.epochs.current
        if current is None:
            return
        for entry in item.entries:
            known = self._target(entry.target)
            key = wire.flow_key(entry.flow)
            owner = current.config.service_at(
                key.protocol, key.service_ip, key.service_port
            )
            if known is None or owner is None or known.service != owner.name:
                continue
            record = self.tables.flows.get(key)
            if record is None or record.origin is flow.Origin.GUESSED:
                self.home.learn(now_ms, key, owner, known)

    def _target(self, name: str) -> target.Target | None:
        current = self.tables.epochs.current
        return current.config.targets.get(name) if current is not None else None

    # Time, and what follows from changes.

    def _tick(self, now_ms: int) -> None:
        self.membership.tick(now_ms, self.keeper.current is not None)
        self.keeper.tick(
            now_ms,
            self.membership.me,
            self.membership.members,
            self.membership.sequences,
        )
        self.home.tick(now_ms)
        self.rehomer.step(now_ms)
        self.tables.replicator.flush()
        self.tables.hints.expire(now_ms)
        self.tables.replicator.kept.expire(now_ms)
        self.tables.loads.expire(now_ms)
        self._expire_flows(now_ms)
        self._report_load(now_ms)
        if self.membership.left:
            self.outbox.put(message.Stopped())

    def _expire_flows(self, now_ms: int) -> None:
        for item in self.tables.flows.expire(now_ms):
            if item.record.counts:
                self.outbox.count(message.Counter.FLOWS_EXPIRED)

    def _report_load(self, now_ms: int) -> None:
        if now_ms < self._report_ms:
            return
        self._report_ms = now_ms + LOAD_REPORT_MS
        serving = [item.name for item in self.membership.others.values() if item.serves]
        self._emptiness.check(now_ms, self.membership.me, self.keeper.watching, serving)
        counts = self.tables.flows.open_by_target
        recent = self.opener.chooser.work.recent_tenths(now_ms)
        report = load.report(counts, recent)
        for name in serving:
            self.peers.send_link(name, report)

    def _follow(self, now_ms: int) -> None:
        if not (self.membership.changed or self.keeper.changed):
            return
        announce = self.keeper.changed
        self.membership.changed = False
        self.keeper.changed = False
        self.membership.sequence = self.keeper.sequence
        self.peers.set_members(self.membership.members)
        if self.keeper.current is not None:
            self._begin_epoch(now_ms, self.keeper.current)
        if announce:
            self.membership.announce(ANNOUNCE_COUNT)

    def _begin_epoch(self, now_ms: int, current: config.Config) -> None:
        before = self.tables.epochs.current
        members = [item for item in self.membership.members if item.serves]
        if before is None:
            self.tables.epochs.advance(now_ms, epoch.Epoch(current, members))
            return
        if before.config is current and before.same_members(members):
            return
        self.tables.epochs.advance(now_ms, epoch.Epoch(current, members))
        self.home.reclaim()
        self._note_return(now_ms, before, members)
        if before.config is not current:
            self._revise(before.config, current)
        self.rehomer.start()

    def _note_return(
        self,
        now_ms: int,
        before: epoch.Epoch,
        members: typing.Sequence[member.Member],
    ) -> None:
        # VMs that come back from the other side of a cut were homes there. The
        # flows they placed are unknown here, and are asked for as if the other
        # side's view had been in force here too.
        back = [item for item in members if item.name not in before.members]
        if back:
            self.tables.epochs.note(now_ms, epoch.Epoch(before.config, back))

    def _revise(self, before: config.Config, after: config.Config) -> None:
        changed = {
            name
            for name, item in before.targets.items()
            if after.targets.get(name) != item
        }
        if not changed:
            return
        self.tables.hints.revise(self._present)
        self.tables.replicator.kept.revise(self._present)
        for key, record in self.tables.flows.items():
            if record.target.name not in changed:
                continue
            present = self._present(record.target)
            if present is None:
                # The target is gone for good, or its address serves another
                # service now. No packet of the flow may go there any more.
                self.tables.flows.remove(key)
                self.outbox.count(message.Counter.FLOWS_DROPPED)
                name = record.target.name
                self.outbox.put(message.log("flow_dropped", flow=str(key), target=name))
            else:
                self.tables.flows.move(key, record, present)

    def _present(self, item: target.Target) -> target.Target | None:
        present = self._target(item.name)
        if present is None or present.endpoint != item.endpoint:
            return None
        return present if present.service == item.service else None
