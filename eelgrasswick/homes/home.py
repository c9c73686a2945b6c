"""Decisions about packets of the flows of which this VM is the home."""

import typing

from eelgrasswick import (
    message,
    packet,
    service,
    target,
)
from eelgrasswick.homes import (
    flow,
    guess,
    inquiry,
    opener,
    tables,
)

_COUNT: typing.Final = message.Counter


class _Arrival(typing.NamedTuple):
    """A packet that arrived at the home of its flow.

    Attributes:
        now_ms: Time of arrival, milliseconds since 1970.
        item: The packet.
        key: Key of the packet's flow.
        flow_service: Service to which the flow goes.
    """

    now_ms: int
    item: packet.Packet
    key: packet.FlowKey
    flow_service: service.Service


class Home:
    """Places new flows, and finds the targets of flows without a record.

    Public methods take ``now_ms``, the present time in milliseconds since 1970
    according to the clock of the code that calls them.
    """

    def __init__(
        self, name: str, shared: tables.Tables, opening: opener.Opener
    ) -> None:
        """Create the home of the VM ``name``; ``opening`` admits new flows."""
        self._name = name
        self._tables = shared
        self._opener = opening
        self._inquiries = inquiry.Inquiries(shared.peers)
        self._target_search = guess.TargetSearch(name, shared)
        self._delegated = inquiry.Delegations()

    def request(
        self,
        now_ms: int,
        item: packet.Packet,
        key: packet.FlowKey,
        flow_service: service.Service,
    ) -> None:
        """Handle a caller's packet of a flow whose home is this VM."""
        record = self._tables.flows.get(key)
        arrival = _Arrival(now_ms, item, key, flow_service)
        if record is None:
            self._handle_unrecorded(arrival)
        elif item.opens:
            self._open_again(arrival, record)
        elif record.acknowledges_other_target(item):
            record.last_packet_ms = now_ms
            self._target_search.convert_to_guess(item, key, flow_service, record)
        else:
            self._continue(arrival, record)

    def answer(
        self,
        now_ms: int,
        item: packet.Packet,
        key: packet.FlowKey,
        sender: target.Target,
        flow_service: service.Service,
    ) -> None:
        """Handle a target's SYN, FIN or RST for a flow at this home."""
        record = self._tables.flows.get(key)
        arrival = _Arrival(now_ms, item, key, flow_service)
        if record is None:
            self._answer_unrecorded(arrival, sender)
        elif record.target.name != sender.name:
            self._answer_stray(arrival, sender, record)
        elif item.resets:
            self._answer_reset(arrival, record)
        else:
            self._answer_known(arrival, record)

    def cancel(self, key: packet.FlowKey) -> None:
        """Stop deciding about a flow, because another VM now decides about it."""
        self._opener.cancel(key)

    def take_response(
        self, now_ms: int, sender: str, key: packet.FlowKey, name: str
    ) -> None:
        """Handle the response of a former home to an inquiry about a flow."""
        settled = self._inquiries.record_response(sender, key, name)
        if settled is not None:
            self._settle(now_ms, settled)

    def delegate_to(self, now_ms: int, key: packet.FlowKey, inquirer: str) -> bool:
        """Delegate a flow without a record here to the VM that inquires about it.

        Args:
            now_ms: Present time in milliseconds.
            key: The flow.
            inquirer: Name of the VM that sent the inquiry.

        Returns:
            False when this VM has an open inquiry about the same flow and takes
            precedence, because its name sorts first.
        """
        if self._inquiries.is_open(key) and self._name < inquirer:
            return False
        self._inquiries.cancel(key)
        self._delegated.add(now_ms, key, inquirer)
        return True

    def delegated_vm(self, now_ms: int, key: packet.FlowKey) -> str | None:
        """Return the VM to which a flow is delegated, if that VM is reachable.

        A flow of which this VM has a record by now is no longer delegated.
        """
        name = self._delegated.get(now_ms, key)
        if name is None or self._tables.flows.get(key) is not None:
            return None
        return name if self._tables.peers.reachable(name) else None

    def end_delegations(self) -> None:
        """End all delegations to other VMs, because homes may have changed."""
        # If a flow stayed delegated to a VM that is no longer its home, the two
        # VMs would forward its packets to each other until the caller gives up.
        self._delegated.clear()

    def clear(self) -> None:
        """Drop the packets that wait for responses of former homes."""
        self._inquiries.clear()

    def tick(self, now_ms: int) -> None:
        """Settle inquiries whose responses are overdue, and run the opener."""
        for settled in self._inquiries.overdue(now_ms):
            self._settle(now_ms, settled)
        self._delegated.expire(now_ms)
        self._opener.tick(now_ms)

    # The methods below handle packets from callers.

    def _continue(self, arrival: _Arrival, record: flow.Record) -> None:
        item = arrival.item
        record.last_packet_ms = arrival.now_ms
        record.syn_ack_sequence = None
        if record.state is flow.State.OPENING:
            # The caller has received a SYN-ACK through another VM, whose view
            # of the fleet differs or differed from this VM's. The SYN-ACK most
            # likely came from the recorded target. In case it came from another
            # target, the flow is marked as guessed, so that a reset by the
            # recorded target is not forwarded to the caller.
            record.state = flow.State.OPEN
            record.origin = flow.Origin.GUESSED
        if record.origin is flow.Origin.GUESSED:
            record.first_packet = item
        self._send_to_target(record.target, item)
        if item.resets:
            self._close(arrival, record)
        elif item.finishes:
            record.caller_finished = True
            self._close_if_done(arrival, record)

    def _open_again(self, arrival: _Arrival, record: flow.Record) -> None:
        now_ms, item, key, flow_service = arrival
        if record.state is flow.State.CLOSED:
            self._opener.reopen(now_ms, item, key, flow_service, record)
            return
        record.last_packet_ms = now_ms
        try_other = self._opener.should_retry(now_ms, record)
        if record.state is flow.State.OPENING and try_other:
            # The target has not answered the SYN and is probably dead. The home
            # has sent it only the SYN, so no work can have begun. If the target
            # answers late, the home drops its SYN-ACK as a stray packet.
            # Without the move, the caller would wait for a dead target until it
            # gives up.
            self._opener.move(now_ms, key, flow_service, record)
        self._send_to_target(record.target, item)

    def _handle_unrecorded(self, arrival: _Arrival) -> None:
        now_ms, item, key, flow_service = arrival
        shared = self._tables
        if self._opener.take_if_waiting(item, key):
            return
        known = shared.hints.get(now_ms, key)
        known = known or shared.replicator.copies.get(now_ms, key)
        # The copy of an exception can outlive its flow, and the caller can open
        # another flow from the same port. A SYN therefore follows a hint or a
        # copy only to a target that takes new flows.
        if known is not None and (known.accepts or not item.opens):
            self._adopt(arrival, known)
            return
        if self._inquiries.append_if_open(key, item):
            return
        earlier = shared.epochs.earlier_owners(now_ms, key, flow_service)
        others = [name for name in earlier if name != self._name]
        former = [name for name in others if shared.peers.reachable(name)]
        if former:
            self._inquiries.start(now_ms, key, item, former)
            return
        self._settle(now_ms, inquiry.InquiryResult(key, (item,), "", True))

    def _settle(self, now_ms: int, settled: inquiry.InquiryResult) -> None:
        current = self._tables.epochs.current
        assert current is not None
        key = settled.flow
        flow_service = current.config.service_at(
            key.protocol, key.service_ip, key.service_port
        )
        if flow_service is None:
            return
        known = current.config.targets.get(settled.target)
        for item in settled.packets:
            arrival = _Arrival(now_ms, item, key, flow_service)
            if self._tables.flows.get(key) is not None:
                self.request(now_ms, item, key, flow_service)
            elif known is not None and known.service == flow_service.name:
                self._adopt(arrival, known)
            elif item.opens:
                self._opener.admit(now_ms, item, key, flow_service, settled.certain)
            elif item.protocol == packet.Protocol.UDP:
                self._admit_datagram(arrival, settled.certain)
            else:
                record = self._target_search.begin(now_ms, key, flow_service)
                if record is not None:
                    self._continue(arrival, record)

    def _admit_datagram(self, arrival: _Arrival, certain: bool) -> None:
        now_ms, item, key, flow_service = arrival
        if certain and self._target_search.all_owners_reachable(
            now_ms, key, flow_service
        ):
            self._opener.admit(now_ms, item, key, flow_service, True)
            return
        chosen = self._target_search.former_home_target(now_ms, key, flow_service)
        if chosen is not None:
            self._opener.admit(now_ms, item, key, flow_service, False, chosen)
        else:
            self._tables.outbox.count(_COUNT.PACKETS_UNKNOWN_FLOW)

    def _adopt(self, arrival: _Arrival, known: target.Target) -> None:
        record = self.record_target(
            arrival.now_ms, arrival.key, arrival.flow_service, known
        )
        self._continue(arrival, record)

    def record_target(
        self,
        now_ms: int,
        key: packet.FlowKey,
        flow_service: service.Service,
        known: target.Target,
    ) -> flow.Record:
        """Record a flow whose target is certain, and return the record."""
        record = flow.Record(
            known,
            flow.Origin.LEARNED,
            flow.State.OPEN,
            now_ms,
            flow_service.idle_s * 1000,
        )
        self._tables.flows.add(key, record)
        self._tables.outbox.count(_COUNT.FLOWS_LEARNED)
        self._opener.replicate(key, flow_service, known)
        return record

    # The methods below handle packets from targets.

    def _answer_unrecorded(self, arrival: _Arrival, sender: target.Target) -> None:
        if arrival.item.resets:
            # This VM has no record that shows whether the target holds the
            # flow. The reset may answer a packet that another VM sent to a
            # wrongly guessed target.
            self._tables.outbox.count(_COUNT.RESETS_HELD_BACK)
            return
        record = self.record_target(
            arrival.now_ms, arrival.key, arrival.flow_service, sender
        )
        self._answer_known(arrival, record)

    def _answer_stray(
        self, arrival: _Arrival, sender: target.Target, record: flow.Record
    ) -> None:
        item = arrival.item
        opens = bool(item.flags & packet.Flags.SYN)
        if record.origin is flow.Origin.GUESSED and not (item.resets or opens):
            self.confirm_target(arrival.key, sender)
            self._answer_known(arrival, record)
            return
        self._tables.outbox.count(_COUNT.ANSWERS_STRAY)

    def confirm_target(self, key: packet.FlowKey, sender: target.Target) -> None:
        """Record the sender of an answer as the target of a guessed flow."""
        record = self._tables.flows.get(key)
        if record is None or record.origin is not flow.Origin.GUESSED:
            return
        if record.target.name != sender.name:
            self._tables.flows.move(key, record, sender)
        record.origin = flow.Origin.LEARNED
        record.first_packet = None
        name = record.target.name
        self._tables.outbox.put(
            message.log("guess_settled", flow=str(key), target=name)
        )

    def _answer_reset(self, arrival: _Arrival, record: flow.Record) -> None:
        now_ms, item, key, flow_service = arrival
        if record.origin is flow.Origin.GUESSED:
            if self._target_search.try_next_target(key, flow_service, record):
                self._tables.outbox.count(_COUNT.RESETS_HELD_BACK)
            else:
                self._send_to_caller(item)
                self._close(arrival, record)
            return
        opening = record.state is flow.State.OPENING
        if opening and item.refuses_open and record.first_packet is not None:
            # The target refused the flow before it began any work, so the flow
            # can be opened at another target.
            self._tables.health.unanswered(now_ms, record.target.name)
            if self._opener.move(now_ms, key, flow_service, record):
                self._send_to_target(record.target, record.first_packet)
                return
        self._send_to_caller(item)
        self._close(arrival, record, reset=True)

    def _answer_known(self, arrival: _Arrival, record: flow.Record) -> None:
        item = arrival.item
        record.last_packet_ms = arrival.now_ms
        if item.flags & packet.Flags.SYN:
            record.first_packet = None
            record.syn_ack_sequence = item.sequence
            if record.state is flow.State.OPENING:
                record.state = flow.State.OPEN
                self._opener.note_accepted(arrival.now_ms, record)
        elif record.origin is flow.Origin.GUESSED:
            record.origin = flow.Origin.LEARNED
            record.first_packet = None
        self._send_to_caller(item)
        if item.finishes:
            record.target_finished = True
            self._close_if_done(arrival, record)

    # The methods below close flows.

    def _close_if_done(self, arrival: _Arrival, record: flow.Record) -> None:
        if record.caller_finished and record.target_finished:
            self._close(arrival, record)
        record.shorten_idle_timeout()

    def _close(
        self, arrival: _Arrival, record: flow.Record, reset: bool = False
    ) -> None:
        if not record.is_active:
            return
        now_ms, key = arrival.now_ms, arrival.key
        self._tables.flows.close(now_ms, key, record)
        self._tables.outbox.count(_COUNT.FLOWS_CLOSED)
        self._remove_copy(key, record)
        self._opener.note_ended(now_ms, key, record, reset)

    def _remove_copy(self, key: packet.FlowKey, record: flow.Record) -> None:
        current = self._tables.epochs.current
        assert current is not None
        flow_service = current.config.services.get(record.target.service)
        if flow_service is None:
            return
        place = current.locate(key, flow_service)
        default = place.default.name if place.default is not None else ""
        if record.target.name != default and place.backup not in (None, self._name):
            assert place.backup is not None
            self._tables.replicator.queue_removal(place.backup, key)

    def _send_to_target(self, chosen: target.Target, item: packet.Packet) -> None:
        self._tables.outbox.put(message.SendDatagram(chosen.endpoint, item.raw))

    def _send_to_caller(self, item: packet.Packet) -> None:
        self._tables.outbox.put(message.SendFabric(item.raw))
