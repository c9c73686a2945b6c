"""Lets new flows in, places them on targets and moves them while it is safe."""

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
SYN_REPEAT_WINDOW_MS: typing.Final = 1000


class UnansweredOpening(typing.NamedTuple):
    """An opening packet whose answer is still to come."""

    due_ms: int
    flow: packet.FlowKey
    record: flow.Record


class Opener:
    """Decides about flows that begin at this home."""

    def __init__(
        self, name: str, shared: tables.Tables, policy: placement.Placement
    ) -> None:
        """Decide as the VM ``name`` with a placement policy."""
        self._name = name
        self._tables = shared
        self._selector = selector.Selector(shared, policy)
        self.chooser = self._selector.chooser
        self._pending = pending.Pending(name, shared)
        self._opening: collections.deque[UnansweredOpening] = collections.deque()

    def tick(self, now_ms: int) -> None:
        """Note silent targets, and serve or refuse what waits."""
        while self._opening and self._opening[0].due_ms <= now_ms:
            self._note_silence(now_ms, self._opening.popleft())
        self._selector.tick(now_ms)
        for name in self._pending.waiting_services():
            self._serve(now_ms, name)

    def take_if_waiting(self, item: packet.Packet, key: packet.FlowKey) -> bool:
        """Take a packet of a flow that waits; False when it does not wait."""
        return self._pending.take_if_waiting(item, key)

    def cancel(self, key: packet.FlowKey) -> None:
        """Stop deciding about a waiting flow, as another VM does now."""
        self._pending.cancel(key)

    def should_retry(self, now_ms: int, record: flow.Record) -> bool:
        """Tell whether an opening flow should try another target.

        Two openings of its own without an answer are enough. Were the flow to
        wait until the target is suspected, it could be sent to the same dead
        target each time that the suspicion has just lapsed.
        """
        if now_ms - record.opened_ms >= 2 * health.ANSWER_MS:
            return True
        return self._tables.health.suspected(now_ms, record.target.name)

    def note_accepted(self, now_ms: int, record: flow.Record) -> None:
        """Note that a target has accepted a flow."""
        opening_ms = now_ms - record.opened_ms
        self._selector.answered(now_ms, record.target.name, opening_ms)

    def note_ended(
        self, now_ms: int, key: packet.FlowKey, record: flow.Record, reset: bool
    ) -> None:
        """Learn from a flow that has ended, and use the room it leaves."""
        name = record.target.name
        if record.origin is flow.Origin.PLACED:
            life_ms = now_ms - record.opened_ms
            self.chooser.end(now_ms, key.packed, name, life_ms, reset)
        else:
            self.chooser.work.end(key.packed)
        self._serve(now_ms, record.target.service)

    def _serve(self, now_ms: int, name: str) -> None:
        """Place what waits for a service, in turn, and refuse what is late."""
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
        retry_ms = queue.promise(now_ms, key.caller_ip)
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
        """Handle a SYN on a flow whose record still lingers."""
        # The caller uses its port again while other VMs may hold a hint of the
        # old flow. On another target the new flow would be reset by packets
        # that follow those hints; on the same target they are right.
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
        """Let a new flow in and place it, or refuse it.

        Args:
            now_ms: Present time in milliseconds.
            item: The first packet of the flow.
            key: The flow.
            flow_service: Its service.
            certain: False when another VM may have placed the flow already.
            preset: Target on which that VM would have placed it, if known.
        """
        refusal = self._refusal(now_ms, key, flow_service)
        chosen = None
        if refusal is None and item.opens:
            refusal = self._enter(now_ms, item, key, flow_service)
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
            # A former home may have sent this very datagram to a target. Told
            # "not run", the caller would send it again and it would run twice.
            self._tables.outbox.count(_COUNT.PACKETS_UNKNOWN_FLOW)
        else:
            self.refuse(item, key, refusal)

    def _enter(
        self,
        now_ms: int,
        item: packet.Packet,
        key: packet.FlowKey,
        flow_service: service.Service,
    ) -> admission.Refusal | None:
        """Place a TCP flow or let it wait; return why when it may do neither."""
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
        demand = admission.Demand(
            flow_service.limit,
            self._share(),
            flows.open_by_service[flow_service.name],
            flows.open_by_caller[caller],
        )
        return admission.admit(demand, _spread(key))

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
        """Record a new flow on a target and send it the first packet."""
        opening = item.opens
        state = flow.State.OPENING if opening else flow.State.OPEN
        record = flow.Record(
            chosen, flow.Origin.PLACED, state, now_ms, flow_service.idle_s * 1000
        )
        if opening:
            record.first_packet = item
            self._opening.append(
                UnansweredOpening(now_ms + health.ANSWER_MS, key, record)
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
        """Point an opening flow to another target; False when it must stay."""
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
        self._opening.append(UnansweredOpening(now_ms + health.ANSWER_MS, key, record))
        self.replicate(key, flow_service, chosen)
        return True

    def replicate(
        self, key: packet.FlowKey, flow_service: service.Service, chosen: target.Target
    ) -> bool:
        """Have the backup keep a flow that is not on its default target.

        Returns:
            Whether the flow is such an exception.
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
        """Tell the caller at once that nothing of its flow has run."""
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

    def _note_silence(self, now_ms: int, waiting: UnansweredOpening) -> None:
        key = waiting.flow
        record = self._tables.flows.get(key)
        if record is not waiting.record or record.state is not flow.State.OPENING:
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
        self._open_again(now_ms, key, flow_service, record, record.first_packet)

    def _open_again(
        self,
        now_ms: int,
        key: packet.FlowKey,
        flow_service: service.Service,
        record: flow.Record,
        first: packet.Packet,
    ) -> None:
        """Send an unanswered SYN once more, elsewhere if the target looks dead.

        The caller repeats it too, but after a second: when a third of the
        targets go, that second is what their callers notice. Only the SYN was
        sent so far, and this home drops a late SYN-ACK of the former target.
        """
        if now_ms - record.opened_ms >= SYN_REPEAT_WINDOW_MS:
            return
        silent = self.should_retry(now_ms, record)
        if not (silent and self.move(now_ms, key, flow_service, record)):
            self._opening.append(
                UnansweredOpening(now_ms + health.ANSWER_MS, key, record)
            )
        self._send_to_target(record.target, first)

    def _send_to_target(self, chosen: target.Target, item: packet.Packet) -> None:
        self._tables.outbox.put(message.SendDatagram(chosen.endpoint, item.raw))


def _spread(key: packet.FlowKey) -> float:
    return rendezvous.digest(key.packed) / 2**64


def _no_target(key: packet.FlowKey) -> admission.Refusal:
    retry_ms = admission.retry_ms(_spread(key))
    return admission.Refusal(errors.ErrorKind.NO_TARGET, retry_ms)
