"""The sans-I/O engine of an entry VM.

The engine takes an event together with the present time and returns actions.
It has no socket, clock or random source of its own, so that a test can drive
many engines in virtual time. Its parts share state through ``tables.Tables``.
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
    config_sync,
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
LOAD_REPORT_INTERVAL_MS: typing.Final = 1000
ANNOUNCE_FAN_OUT: typing.Final = 4
STATE_RESET_PAUSE_MS: typing.Final = 3000
WAKE_DISCARD_MS: typing.Final = 100


class Engine:
    """The logic of one entry VM, without its sockets."""

    def __init__(
        self,
        me: member.Member,
        seeds: typing.Iterable[packet.Address],
        codec: packet.PacketCodec,
        policy: placement.Placement,
        rng: random.Random,
    ) -> None:
        """Create an engine in state JOINING.

        Args:
            me: The membership entry of this VM.
            seeds: Addresses of peers to contact before any peer is known.
            codec: Encapsulation of packets.
            policy: Policy that chooses targets for new flows.
            rng: Seeded source of randomness.
        """
        self.name = me.name
        self.outbox = message.Outbox()
        self.peers = peer.Peers(self.outbox)
        self.membership = membership.Membership(me, seeds, self.peers, self.outbox, rng)
        self.config_sync = config_sync.ConfigSync(me.name, self.peers, self.outbox)
        self.tables = tables.Tables(
            epoch.EpochLog(EPOCH_WINDOW_MS),
            flow.FlowTable(),
            hint.HintTable(HINT_TTL_MS, HINT_CAPACITY),
            load.LoadTracker(),
            health.HealthTracker(),
            replica.Replicator(self.peers, self.outbox),
            self.peers,
            self.outbox,
        )
        self.opener = opener.Opener(me.name, self.tables, policy)
        self.home = home.Home(me.name, self.tables, self.opener)
        self.switch = switch.Switch(me.name, codec, self.tables, self.home)
        self.rehomer = rehome.Rehomer(me.name, self.tables)
        self._explainer = explain.Explainer(
            self.tables, self.config_sync, self.membership
        )
        self._report_ms = 0
        self._emptiness = emptiness.EmptyTargets(self.tables)
        self._discard_until_ms = 0

    def feed(self, now_ms: int, event: message.Event) -> list[message.Action]:
        """Handle one event.

        Args:
            now_ms: Present time, milliseconds since 1970.
            event: The event to handle.

        Returns:
            The actions to carry out, in order.
        """
        paused_ms = self.membership.check_pause(now_ms)
        if paused_ms:
            self._resume(now_ms, paused_ms)
        match event:
            case message.FabricDatagram():
                if not self._discards_packet(now_ms):
                    self.switch.datagram(now_ms, event)
            case message.PeerDatagram():
                self._peer_datagram(now_ms, event)
            case message.LinkReceived():
                self._link(now_ms, event)
            case message.StoreRead():
                self.config_sync.store_read(now_ms, event.value)
            case message.VmsListed():
                self.membership.update_listing(event.members)
            case message.StoreFailed():
                self.outbox.put(message.log("store_failed", detail=event.detail))
            case message.Tick():
                self._tick(now_ms)
            case message.Leave():
                self.membership.leave(now_ms)
        self._apply_changes(now_ms)
        return self.outbox.take()

    def _resume(self, now_ms: int, paused_ms: int) -> None:
        # After a pause the sockets hold packets as old as the pause. Callers
        # have retransmitted them to VMs that took over, perhaps under other
        # rules; an old copy that is forwarded now could start the same request
        # on a second target. The engine therefore drops queued packets;
        # callers and peers retransmit those that still matter.
        self._discard_until_ms = now_ms + WAKE_DISCARD_MS
        if paused_ms >= STATE_RESET_PAUSE_MS:
            # The peers have confirmed this VM dead and taken over its flows.
            # Its own records may name targets of flows that ended and whose
            # ports now carry other flows; a packet that is sent according to
            # such a record would be lost or reset.
            self.tables.flows.clear()
            self.tables.hints.clear()
            self.tables.replicator.clear()
            self.home.clear()
        self._apply_changes(now_ms)

    def _discards_packet(self, now_ms: int) -> bool:
        if now_ms >= self._discard_until_ms:
            return False
        self.outbox.count(message.Counter.PACKETS_OUTDATED)
        return True

    def _peer_datagram(self, now_ms: int, event: message.PeerDatagram) -> None:
        try:
            self._peer_message(now_ms, event.source, wire.decode(event.payload))
        except errors.MessageInvalidError as error:
            self._drop_message(str(event.source), error)

    def _peer_message(
        self, now_ms: int, source: packet.Address, item: wire.PeerMessage
    ) -> None:
        if isinstance(item, wire.Ping):
            self.membership.receive_ping(now_ms, source, item)
            self._record_peer_sequence(now_ms, item)
            return
        sender = self.peers.name_at(source)
        if isinstance(item, wire.Ack):
            self.membership.receive_ack(now_ms, item)
            self._record_peer_sequence(now_ms, item)
            return
        if sender is None:
            self._handle_unknown_sender(now_ms, source, item)
            return
        match item:
            case wire.Forward():
                if not self._discards_packet(now_ms):
                    self.switch.forward(now_ms, item)
            case wire.Relay():
                if not self._discards_packet(now_ms):
                    self.switch.relay(now_ms, item)
            case wire.FlowTargetRequest():
                self.switch.handle_inquiry(now_ms, sender, item)
            case wire.FlowTargetResponse():
                self.switch.handle_inquiry_response(now_ms, sender, item)
            case wire.IndirectPingRequest():
                self.membership.receive_indirect_ping(source, item)
            case _:
                raise errors.MessageInvalidError(
                    "message must come over a link, not in a datagram"
                )

    def _record_peer_sequence(self, now_ms: int, item: wire.Ping | wire.Ack) -> None:
        self.config_sync.request_if_newer(now_ms, item.sender.name, item.sequence)
        self.tables.epochs.note_sequence(item.sequence)

    def _handle_unknown_sender(
        self, now_ms: int, source: packet.Address, item: wire.PeerMessage
    ) -> None:
        # Operators' commands send these requests from machines that are not
        # VMs of the fleet.
        if isinstance(item, wire.ExplainFlowRequest | wire.ExplainTargetRequest):
            self.peers.send_to(source, self._explainer.explain(now_ms, item))
        else:
            self.outbox.count(message.Counter.PACKETS_UNKNOWN_SENDER)

    def _link(self, now_ms: int, event: message.LinkReceived) -> None:
        try:
            self._link_message(now_ms, event.sender, wire.decode(event.payload))
        except errors.MessageInvalidError as error:
            self._drop_message(event.sender, error)

    def _link_message(self, now_ms: int, sender: str, item: wire.PeerMessage) -> None:
        match item:
            case wire.BackupExceptions():
                if not self._discards_packet(now_ms):
                    self._store_copies(now_ms, item)
            case wire.DiscardExceptions():
                for packed in item.flows:
                    self.tables.replicator.copies.remove(wire.flow_key(packed))
            case wire.Handover():
                if not self._discards_packet(now_ms):
                    self._handover(now_ms, item)
            case wire.LoadReport():
                self.tables.loads.record(now_ms, sender, item)
            case wire.ConfigResponse():
                self.config_sync.offer(now_ms, item.value, sender)
            case wire.ConfigRequest():
                self.config_sync.send_if_newer(sender, item)
            case _:
                raise errors.MessageInvalidError(
                    "message must come in a datagram, not over a link"
                )

    def _drop_message(self, sender: str, error: errors.MessageInvalidError) -> None:
        self.outbox.count(message.Counter.MESSAGES_INVALID)
        self.outbox.put(
            message.log(
                "message_dropped",
                kind=error.kind.value,
                sender=sender,
                detail=error.detail,
            )
        )

    def _store_copies(self, now_ms: int, item: wire.BackupExceptions) -> None:
        for entry in item.entries:
            known = self._target(entry.target)
            if known is not None:
                key = wire.flow_key(entry.flow)
                self.tables.replicator.copies.record(now_ms, key, known)

    def _handover(self, now_ms: int, item: wire.Handover) -> None:
        current = self.tables.epochs.current
        if current is None:
            return
        for entry in item.entries:
            known = self._target(entry.target)
            key = wire.flow_key(entry.flow)
            flow_service = current.config.service_at(
                key.protocol, key.service_ip, key.service_port
            )
            if (
                known is None
                or flow_service is None
                or known.service != flow_service.name
            ):
                continue
            record = self.tables.flows.get(key)
            if record is None or record.origin is flow.Origin.GUESSED:
                self.home.record_target(now_ms, key, flow_service, known)

    def _target(self, name: str) -> target.Target | None:
        current = self.tables.epochs.current
        return current.config.targets.get(name) if current is not None else None

    # The methods below do periodic work and react to changes of configuration or
    # membership.

    def _tick(self, now_ms: int) -> None:
        self.membership.tick(now_ms, self.config_sync.current is not None)
        self.config_sync.tick(
            now_ms,
            self.membership.me,
            self.membership.members,
            self.membership.sequences,
        )
        self.home.tick(now_ms)
        self.rehomer.step(now_ms)
        self.tables.replicator.flush()
        self.tables.hints.expire(now_ms)
        self.tables.replicator.copies.expire(now_ms)
        self.tables.loads.expire(now_ms)
        self._expire_flows(now_ms)
        self._report_load(now_ms)
        if self.membership.left:
            self.outbox.put(message.Stopped())

    def _expire_flows(self, now_ms: int) -> None:
        for item in self.tables.flows.expire(now_ms):
            if item.record.is_active:
                self.outbox.count(message.Counter.FLOWS_EXPIRED)

    def _report_load(self, now_ms: int) -> None:
        if now_ms < self._report_ms:
            return
        self._report_ms = now_ms + LOAD_REPORT_INTERVAL_MS
        serving = [item.name for item in self.membership.others.values() if item.serves]
        self._emptiness.check(
            now_ms, self.membership.me, self.config_sync.watching, serving
        )
        counts = self.tables.flows.open_by_target
        recent = self.opener.chooser.work.recent_flow_tenths(now_ms)
        report = load.report(counts, recent)
        for name in serving:
            self.peers.send_link(name, report)

    def _apply_changes(self, now_ms: int) -> None:
        if not (self.membership.changed or self.config_sync.changed):
            return
        announce = self.config_sync.changed
        self.membership.changed = False
        self.config_sync.changed = False
        self.membership.sequence = self.config_sync.sequence
        self.peers.set_members(self.membership.members)
        if self.config_sync.current is not None:
            self._begin_epoch(now_ms, self.config_sync.current)
        if announce:
            self.membership.announce(ANNOUNCE_FAN_OUT)

    def _begin_epoch(self, now_ms: int, current: config.Config) -> None:
        before = self.tables.epochs.current
        members = [item for item in self.membership.members if item.serves]
        if before is None:
            self.tables.epochs.advance(now_ms, epoch.Epoch(current, members))
            return
        if before.config is current and before.same_members(members):
            return
        self.tables.epochs.advance(now_ms, epoch.Epoch(current, members))
        self.home.end_delegations()
        self._add_epoch_of_returned(now_ms, before, members)
        if before.config is not current:
            self._update_targets(before.config, current)
        self.rehomer.start()

    def _add_epoch_of_returned(
        self,
        now_ms: int,
        before: epoch.Epoch,
        members: typing.Sequence[member.Member],
    ) -> None:
        # VMs that return from the other side of a network partition were homes
        # there, and this VM has no records of the flows that they placed. The
        # other side's view is added as an earlier epoch, so that this VM sends
        # inquiries about those flows to the returned VMs.
        back = [item for item in members if item.name not in before.members]
        if back:
            self.tables.epochs.add_earlier(now_ms, epoch.Epoch(before.config, back))

    def _update_targets(self, before: config.Config, after: config.Config) -> None:
        changed = {
            name
            for name, item in before.targets.items()
            if after.targets.get(name) != item
        }
        if not changed:
            return
        self.tables.hints.update_targets(self._unchanged_target)
        self.tables.replicator.copies.update_targets(self._unchanged_target)
        for key, record in self.tables.flows.items():
            if record.target.name not in changed:
                continue
            present = self._unchanged_target(record.target)
            if present is None:
                # The target has been removed from the configuration, or its
                # address belongs to another service now. No further packet of
                # the flow may be sent to that address.
                self.tables.flows.remove(key)
                self.outbox.count(message.Counter.FLOWS_DROPPED)
                name = record.target.name
                self.outbox.put(message.log("flow_dropped", flow=str(key), target=name))
            else:
                self.tables.flows.move(key, record, present)

    def _unchanged_target(self, item: target.Target) -> target.Target | None:
        present = self._target(item.name)
        if present is None or present.endpoint != item.endpoint:
            return None
        return present if present.service == item.service else None
