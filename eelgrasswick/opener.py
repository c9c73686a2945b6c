"""Lets new flows in, places them on targets and moves them while it is safe."""

import collections
import datetime
import typing

from eelgrasswick import (
    admission,
    books,
    epoch,
    errors,
    flow,
    health,
    message,
    packet,
    placement,
    service,
    target,
)

_COUNT: typing.Final = message.Counter
_DAY_MS: typing.Final = 86_400_000


class Waiting(typing.NamedTuple):
    """An opening packet whose answer is still to come."""

    due_ms: int
    flow: packet.FlowKey
    record: flow.Record


class Opener:
    """Decides about flows that begin at this home."""

    def __init__(
        self, name: str, shared: books.Books, policy: placement.Placement
    ) -> None:
        """Decide as the VM ``name`` with a placement policy."""
        self._name = name
        self._books = shared
        self._policy = policy
        self._opening: collections.deque[Waiting] = collections.deque()

    def tick(self, now_ms: int) -> None:
        """Note the targets that left an opening packet unanswered."""
        while self._opening and self._opening[0].due_ms <= now_ms:
            self._note_silence(now_ms, self._opening.popleft())

    def reopen(
        self,
        now_ms: int,
        item: packet.Packet,
        key: packet.FlowKey,
        owner: service.Service,
        record: flow.Record,
    ) -> None:
        """Handle a SYN on a flow whose record still lingers."""
        # The caller uses its port again while other VMs may hold a hint of the
        # old flow. On another target the new flow would be reset by packets
        # that follow those hints; on the same target they are right.
        refusal = self._refusal(now_ms, key, owner)
        present = self._books.epochs.current
        assert present is not None
        chosen = present.config.targets.get(record.target.name)
        if refusal is None and (chosen is None or not chosen.accepts):
            refusal = admission.Refusal(errors.ErrorKind.NO_TARGET, flow.LINGER_MS)
        if refusal is not None or chosen is None:
            self.refuse(item, key, refusal)
            return
        self.place(now_ms, item, key, owner, chosen)

    def admit(
        self,
        now_ms: int,
        item: packet.Packet,
        key: packet.FlowKey,
        owner: service.Service,
        certain: bool,
        preset: target.Target | None = None,
    ) -> None:
        """Let a new flow in and place it, or refuse it.

        Args:
            now_ms: Present time in milliseconds.
            item: The first packet of the flow.
            key: The flow.
            owner: Its service.
            certain: False when another VM may have placed the flow already.
            preset: Target on which that VM would have placed it, if known.
        """
        refusal = self._refusal(now_ms, key, owner)
        chosen = None
        if refusal is None:
            chosen = preset or self.choose(now_ms, key, owner, frozenset())
            if chosen is None:
                refusal = admission.Refusal(
                    errors.ErrorKind.NO_TARGET, admission.BASE_RETRY_MS
                )
        if chosen is not None:
            self.place(now_ms, item, key, owner, chosen)
        elif item.protocol == packet.Protocol.UDP and not certain:
            # A former home may have sent this very datagram to a target. Told
            # "not run", the caller would send it again and it would run twice.
            self._books.outbox.count(_COUNT.PACKETS_UNKNOWN_FLOW)
        else:
            self.refuse(item, key, refusal)

    def _refusal(
        self, now_ms: int, key: packet.FlowKey, owner: service.Service
    ) -> admission.Refusal | None:
        today = datetime.datetime.fromtimestamp(now_ms / 1000, datetime.UTC).date()
        if owner.ended(today):
            return admission.Refusal(errors.ErrorKind.SERVICE_ENDED, _DAY_MS)
        flows = self._books.flows
        caller = flow.Caller(owner.name, key.caller_ip)
        demand = admission.Demand(
            owner.limit,
            self._share(),
            flows.open_by_service[owner.name],
            flows.open_by_caller[caller],
        )
        return admission.admit(demand)

    def _share(self) -> float:
        current = self._books.epochs.current
        assert current is not None
        sizes = {name: item.size for name, item in current.members.items()}
        total = sum(sizes.values())
        return sizes.get(self._name, total) / total if total else 1.0

    def choose(
        self,
        now_ms: int,
        key: packet.FlowKey,
        owner: service.Service,
        excluded: frozenset[str],
    ) -> target.Target | None:
        """Choose a target for a new flow, or None when none is usable."""
        current = self._books.epochs.current
        assert current is not None
        if key.protocol == packet.Protocol.UDP:
            # A datagram can be repeated and reach two homes, as on the sides of
            # a cut. Both must choose alike, or it would run twice; so nothing
            # that one VM alone sees counts, neither load nor reach.
            return current.locate(key, owner).default
        ranked = [
            item for item in current.ranked(key, owner) if item.name not in excluded
        ]
        suspected = [self._suspected(now_ms, item, current) for item in ranked]
        usable = health.usable(suspected)
        loads = [
            self._target_load(item, good)
            for item, good in zip(ranked, usable, strict=True)
        ]
        return self._policy.choose(loads)

    def _suspected(
        self, now_ms: int, item: target.Target, current: epoch.Epoch
    ) -> bool:
        if self._books.health.suspected(now_ms, item.name):
            return True
        # A zone whose entry VMs are all out of reach is cut off or gone, and
        # its targets with it. Flows sent there would hang until it heals.
        own_zones = current.zones
        return bool(own_zones) and item.zone not in own_zones and self._zone_lost(item)

    def _zone_lost(self, item: target.Target) -> bool:
        return self._books.peers.zone_known(item.zone)

    def _target_load(self, item: target.Target, good: bool) -> placement.TargetLoad:
        here = self._books.flows.open_by_target[item.name]
        everywhere = here + self._books.loads.elsewhere(item.name)
        free = everywhere < item.connections
        return placement.TargetLoad(item, everywhere, item.weight, good and free)

    def place(
        self,
        now_ms: int,
        item: packet.Packet,
        key: packet.FlowKey,
        owner: service.Service,
        chosen: target.Target,
    ) -> None:
        """Record a new flow on a target and send it the first packet."""
        opening = item.opens
        state = flow.State.OPENING if opening else flow.State.OPEN
        record = flow.Record(
            chosen, flow.Origin.PLACED, state, now_ms, owner.idle_s * 1000
        )
        if opening:
            record.first = item
            self._opening.append(Waiting(now_ms + health.ANSWER_MS, key, record))
        self._books.flows.add(key, record)
        self._books.hints.forget(key)
        self._books.outbox.count(_COUNT.FLOWS_PLACED)
        self.replicate(key, owner, chosen)
        self._send(chosen, item)

    def move(
        self,
        now_ms: int,
        key: packet.FlowKey,
        owner: service.Service,
        record: flow.Record,
    ) -> bool:
        """Point an opening flow to another target; False when there is none."""
        refuted = record.refuted | {record.target.name}
        chosen = self.choose(now_ms, key, owner, refuted)
        if chosen is None:
            return False
        record.refuted = refuted
        self._books.flows.move(key, record, chosen)
        self._books.outbox.count(_COUNT.FLOWS_MOVED)
        self._opening.append(Waiting(now_ms + health.ANSWER_MS, key, record))
        self.replicate(key, owner, chosen)
        return True

    def replicate(
        self, key: packet.FlowKey, owner: service.Service, chosen: target.Target
    ) -> None:
        """Have the backup keep a flow that is not on its default target."""
        current = self._books.epochs.current
        assert current is not None
        place = current.locate(key, owner)
        if place.default is not None and place.default.name == chosen.name:
            return
        self._books.outbox.count(_COUNT.FLOWS_EXCEPTION)
        if place.backup is not None and place.backup != self._name:
            self._books.replicator.keep(place.backup, key, chosen)

    def refuse(
        self,
        item: packet.Packet,
        key: packet.FlowKey,
        refusal: admission.Refusal | None,
    ) -> None:
        """Tell the caller at once that nothing of its flow has run."""
        assert refusal is not None
        outbox = self._books.outbox
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

    def _note_silence(self, now_ms: int, waiting: Waiting) -> None:
        record = self._books.flows.get(waiting.flow)
        if record is waiting.record and record.state is flow.State.OPENING:
            self._books.health.unanswered(now_ms, record.target.name)

    def _send(self, chosen: target.Target, item: packet.Packet) -> None:
        self._books.outbox.put(message.SendDatagram(chosen.endpoint, item.raw))
