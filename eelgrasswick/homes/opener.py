"""Admits new flows, places them on targets and moves them while that is safe."""

import collections
import datetime
import typing

from eelgrasswick import (
    errors,
    message,
    packet,
    service,
    target,
)
from eelgrasswick.decisions import (
    admission,
    health,
    placement,
    selector,
    waiting,
)
from eelgrasswick.homes import (
    flow,
    pending,
    rendezvous,
    tables,
)

_COUNT: typing.Final = message.Counter
_DAY_MS: typing.Final = 86_400_000
# After this time the caller retransmits its SYN itself.
SYN_REPEAT_WINDOW_MS: typing.Final = 1000


class UnansweredOpening(typing.NamedTuple):
    """An opening packet that the target has not answered yet.

    Attributes:
        due_ms: When the target counts as silent.
        flow: Key of the flow.
        record: Record of the flow when the packet was sent.
    """

    due_ms: int
    flow: packet.FlowKey
    record: flow.Record


class Opener:
    """Decides about flows that begin at this home.

    Attributes:
        chooser: The placement policy, with the measurements that it uses.
    """

    def __init__(
        self, name: str, shared: tables.Tables, policy: placement.Placement
    ) -> None:
        """Create the opener of the VM ``name`` with a placement policy."""
        self._name = name
        self._tables = shared
        self._selector = selector.Selector(shared, policy)
        self.chooser = self._selector.chooser
        self._pending = pending.Pending(name, shared)
        self._unanswered: collections.deque[UnansweredOpening] = collections.deque()

    def tick(self, now_ms: int) -> None:
        """Record silent targets, and place or refuse waiting flows."""
        while self._unanswered and self._unanswered[0].due_ms <= now_ms:
            self._handle_silence(now_ms, self._unanswered.popleft())
        self._selector.tick(now_ms)
        for name in self._pending.waiting_services():
            self._serve_queue(now_ms, name)

    def take_if_waiting(self, item: packet.Packet, key: packet.FlowKey) -> bool:
        """Handle a packet if its flow waits; return False if it does not."""
        return self._pending.take_if_waiting(item, key)

    def cancel(self, key: packet.FlowKey) -> None:
        """Drop a waiting flow, because another VM now decides about it."""
        self._pending.cancel(key)

    def should_retry(self, now_ms: int, record: flow.Record) -> bool:
        """Return whether an opening flow should try another target.

        A flow tries another target once two opening packets of its own have
        stayed unanswered. If the flow always waited until the target is
        suspected, it could be sent to the same dead target each time that the
        suspicion has just expired.
        """
        if now_ms - record.opened_ms >= 2 * health.ANSWER_TIMEOUT_MS:
            return True
        return self._tables.health.suspected(now_ms, record.target.name)

    def note_accepted(self, now_ms: int, record: flow.Record) -> None:
        """Record that a target has accepted a flow."""
        opening_ms = now_ms - record.opened_ms
        self._selector.answered(now_ms, record.target.name, opening_ms)

    def note_ended(
        self, now_ms: int, key: packet.FlowKey, record: flow.Record, reset: bool
    ) -> None:
        """Update the measurements after a flow ended, and place waiting flows.

        The slot that the flow occupied at its target is free again.
        """
        name = record.target.name
        if record.origin is flow.Origin.PLACED:
            life_ms = now_ms - record.opened_ms
            self.chooser.end(now_ms, key.packed, name, life_ms, reset)
        else:
            self.chooser.work.end(key.packed)
        self._serve_queue(now_ms, record.target.service)

    def _serve_queue(self, now_ms: int, name: str) -> None:
        """Refuse the overdue flows of a service and place the others in turn."""
        current = self._tables.epochs.current
        flow_service = (
            current.config.services.get(name) if current is not None else None
        )
        if flow_service is None:
            return
        queue = self._pending.queue(flow_service)
        for late in queue.expire(now_ms):
            self._refuse_late(now_ms, late, flow_service, queue)
        while waiter := queue.first():
            item, key = waiter.item
            if not self._pending.is_home(key, flow_service):
                queue.cancel(waiter.flow)
                continue
            chosen = self._selector.choose(now_ms, key, flow_service, frozenset())
            if chosen.target is None:
                return
            queue.place(now_ms)
            self._tables.outbox.count(_COUNT.FLOWS_WAITED)
            self.place(now_ms, item, key, flow_service, chosen.target)

    def _refuse_late(
        self,
        now_ms: int,
        late: waiting.Waiter[pending.WaitingPacket],
        flow_service: service.Service,
        queue: pending.Queue,
    ) -> None:
        item, key = late.item
        if not self._pending.is_home(key, flow_service):
            return
        retry_ms = queue.reserve(now_ms, key.caller_ip)
        refusal = admission.Refusal(errors.ErrorKind.WAIT_EXPIRED, retry_ms)
        self.refuse(item, key, refusal)

    def reopen(
        self,
        now_ms: int,
        item: packet.Packet,
        key: packet.FlowKey,
        flow_service: service.Service,
        record: flow.Record,
    ) -> None:
        """Handle a SYN of a flow whose record is closed and not yet expired."""
        # The caller reuses its port while other VMs may still hold a hint of
        # the closed flow. If the new flow were on another target, packets that
        # follow those hints would go to the old target, whose resets would end
        # the new flow. On the same target the hints are right.
        refusal = self._refusal(now_ms, key, flow_service)
        present = self._tables.epochs.current
        assert present is not None
        chosen = present.config.targets.get(record.target.name)
        if refusal is None and (chosen is None or not chosen.accepts):
            refusal = admission.Refusal(errors.ErrorKind.NO_TARGET, flow.LINGER_MS)
        if refusal is not None or chosen is None:
            self.refuse(item, key, refusal)
            return
        self.place(now_ms, item, key, flow_service, chosen)

    def admit(
        self,
        now_ms: int,
        item: packet.Packet,
        key: packet.FlowKey,
        flow_service: service.Service,
        certain: bool,
        preset: target.Target | None = None,
    ) -> None:
        """Admit a new flow and place it, let it wait, or refuse it.

        Args:
            now_ms: Present time in milliseconds.
            item: The first packet of the flow.
            key: The flow.
            flow_service: Service to which the flow goes.
            certain: False when another VM may have placed the flow already.
            preset: Target on which that VM would have placed the flow; None to
                choose one by the placement policy.
        """
        refusal = self._refusal(now_ms, key, flow_service)
        chosen = None
        if refusal is None and item.opens:
            refusal = self._place_or_wait(now_ms, item, key, flow_service)
            if refusal is None:
                return
        elif refusal is None:
            chosen = (
                preset
                or self._selector.choose(now_ms, key, flow_service, frozenset()).target
            )
            refusal = _no_target(key)
        if chosen is not None:
            self.place(now_ms, item, key, flow_service, chosen)
        elif item.protocol == packet.Protocol.UDP and not certain:
            # A former home may have sent this same datagram to a target. If
            # this home answered that the request has not run, the caller would
            # send it again and the request would run twice.
            self._tables.outbox.count(_COUNT.PACKETS_UNKNOWN_FLOW)
        else:
            self.refuse(item, key, refusal)

    def _place_or_wait(
        self,
        now_ms: int,
        item: packet.Packet,
        key: packet.FlowKey,
        flow_service: service.Service,
    ) -> admission.Refusal | None:
        """Place a TCP flow or let it wait.

        Returns:
            The refusal when the flow may neither be placed nor wait.
        """
        queue = self._pending.queue(flow_service)
        if len(queue):
            return self._pending.offer(now_ms, item, key, queue)
        chosen = self._selector.choose(now_ms, key, flow_service, frozenset())
        if chosen.target is not None:
            queue.note_placed(now_ms)
            self.place(now_ms, item, key, flow_service, chosen.target)
            return None
        if chosen.waits:
            return self._pending.offer(now_ms, item, key, queue)
        return _no_target(key)

    def _refusal(
        self, now_ms: int, key: packet.FlowKey, flow_service: service.Service
    ) -> admission.Refusal | None:
        today = datetime.datetime.fromtimestamp(now_ms / 1000, datetime.UTC).date()
        if flow_service.ended(today):
            return admission.Refusal(errors.ErrorKind.SERVICE_ENDED, _DAY_MS)
        flows = self._tables.flows
        caller = flow.Caller(flow_service.name, key.caller_ip)
        usage = admission.LimitUsage(
            flow_service.limit,
            self._share(),
            flows.open_by_service[flow_service.name],
            flows.open_by_caller[caller],
        )
        return admission.admit(usage, _hash_fraction(key))

    def _share(self) -> float:
        current = self._tables.epochs.current
        assert current is not None
        return current.share(self._name)

    def place(
        self,
        now_ms: int,
        item: packet.Packet,
        key: packet.FlowKey,
        flow_service: service.Service,
        chosen: target.Target,
    ) -> None:
        """Record a new flow on a target and send the target its first packet."""
        opening = item.opens
        state = flow.State.OPENING if opening else flow.State.OPEN
        record = flow.Record(
            chosen, flow.Origin.PLACED, state, now_ms, flow_service.idle_s * 1000
        )
        if opening:
            record.first_packet = item
            self._unanswered.append(
                UnansweredOpening(now_ms + health.ANSWER_TIMEOUT_MS, key, record)
            )
        self._tables.flows.add(key, record)
        self._tables.hints.remove(key)
        self._tables.outbox.count(_COUNT.FLOWS_PLACED)
        exception = self.replicate(key, flow_service, chosen)
        self.chooser.begin(now_ms, key.packed, chosen.name, exception)
        self._send_to_target(chosen, item)

    def move(
        self,
        now_ms: int,
        key: packet.FlowKey,
        flow_service: service.Service,
        record: flow.Record,
    ) -> bool:
        """Move an opening flow to another target; return False if it must stay."""
        if not self.chooser.retry.spend():
            return False
        ruled_out = record.ruled_out | {record.target.name}
        chosen = self._selector.choose(now_ms, key, flow_service, ruled_out).target
        if chosen is None:
            return False
        record.ruled_out = ruled_out
        self._tables.outbox.put(
            message.log(
                "flow_moved",
                flow=str(key),
                before=record.target.name,
                target=chosen.name,
            )
        )
        self._tables.flows.move(key, record, chosen)
        self.chooser.move(now_ms, key.packed, chosen.name)
        self._tables.outbox.count(_COUNT.FLOWS_MOVED)
        self._unanswered.append(
            UnansweredOpening(now_ms + health.ANSWER_TIMEOUT_MS, key, record)
        )
        self.replicate(key, flow_service, chosen)
        return True

    def replicate(
        self, key: packet.FlowKey, flow_service: service.Service, chosen: target.Target
    ) -> bool:
        """Send the backup a copy of a flow that is not on its default target.

        Returns:
            Whether the flow is an exception, that is, not on its default target.
        """
        current = self._tables.epochs.current
        assert current is not None
        place = current.locate(key, flow_service)
        if place.default is not None and place.default.name == chosen.name:
            return False
        self._tables.outbox.count(_COUNT.FLOWS_EXCEPTION)
        if place.backup is not None and place.backup != self._name:
            self._tables.replicator.queue_copy(place.backup, key, chosen)
        return True

    def refuse(
        self,
        item: packet.Packet,
        key: packet.FlowKey,
        refusal: admission.Refusal | None,
    ) -> None:
        """Refuse a flow: notify its caller at once that nothing of the flow has run."""
        assert refusal is not None
        outbox = self._tables.outbox
        outbox.count(_COUNT.FLOWS_REFUSED)
        outbox.put(
            message.SendFabric(
                packet.build_refusal(item, refusal.kind, refusal.retry_after_ms)
            )
        )
        outbox.put(
            message.log(
                "flow_refused",
                flow=str(key),
                kind=refusal.kind.value,
                retry_after_ms=refusal.retry_after_ms,
            )
        )

    def _handle_silence(self, now_ms: int, unanswered: UnansweredOpening) -> None:
        key = unanswered.flow
        record = self._tables.flows.get(key)
        if record is not unanswered.record or record.state is not flow.State.OPENING:
            return
        self._tables.health.unanswered(now_ms, record.target.name)
        current = self._tables.epochs.current
        flow_service = (
            current.config.services.get(record.target.service) if current else None
        )
        if (
            flow_service is None
            or record.first_packet is None
            or not self._pending.is_home(key, flow_service)
        ):
            return
        self._retransmit_syn(now_ms, key, flow_service, record, record.first_packet)

    def _retransmit_syn(
        self,
        now_ms: int,
        key: packet.FlowKey,
        flow_service: service.Service,
        record: flow.Record,
        first: packet.Packet,
    ) -> None:
        """Retransmit an unanswered SYN, to another target if this one seems dead.

        The caller retransmits the SYN only after a second. When a third of the
        targets fail, that second is the delay that their callers notice. Moving
        the flow is safe: only the SYN was sent so far, and this home drops a
        late SYN-ACK of the former target.
        """
        if now_ms - record.opened_ms >= SYN_REPEAT_WINDOW_MS:
            return
        try_other = self.should_retry(now_ms, record)
        if not (try_other and self.move(now_ms, key, flow_service, record)):
            self._unanswered.append(
                UnansweredOpening(now_ms + health.ANSWER_TIMEOUT_MS, key, record)
            )
        self._send_to_target(record.target, first)

    def _send_to_target(self, chosen: target.Target, item: packet.Packet) -> None:
        self._tables.outbox.put(message.SendDatagram(chosen.endpoint, item.raw))


def _hash_fraction(key: packet.FlowKey) -> float:
    return rendezvous.digest(key.packed) / 2**64


def _no_target(key: packet.FlowKey) -> admission.Refusal:
    retry_ms = admission.retry_ms(_hash_fraction(key))
    return admission.Refusal(errors.ErrorKind.NO_TARGET, retry_ms)
