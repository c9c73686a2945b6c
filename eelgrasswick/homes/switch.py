"""The path of a packet through any entry VM.

A VM that has a hint of the flow's target sends a caller's packet directly to
the target; otherwise it forwards the packet to the flow's home. Packets that
open, end or reset a flow always go through the home, so that one VM handles
every change of a flow's state. A target's answer goes directly back to the caller, and
the VM that sends it there stores a hint of the flow's target.
"""

import typing

from eelgrasswick import (
    errors,
    message,
    packet,
    service,
    target,
    wire,
)
from eelgrasswick.homes import (
    epoch,
    home,
    tables,
)

MAX_HOPS: typing.Final = 3
NO_SERVICE_RETRY_MS: typing.Final = 60_000
_COUNT: typing.Final = message.Counter


class Switch:
    """Forwards packets at one VM.

    The ``home.Home`` of the VM decides about the flows of which the VM is the
    home.
    """

    def __init__(
        self,
        name: str,
        codec: packet.PacketCodec,
        shared: tables.Tables,
        vm_home: home.Home,
    ) -> None:
        """Create the switch of the VM ``name``."""
        self._name = name
        self._codec = codec
        self._tables = shared
        self._home = vm_home

    def datagram(self, now_ms: int, event: message.FabricDatagram) -> None:
        """Handle a datagram from the fabric or a target."""
        current = self._tables.epochs.current
        item = self._decode(event.payload)
        if item is None or current is None:
            return
        sender = current.config.target_at(event.source)
        if sender is None:
            self._handle_caller_packet(now_ms, item, 0)
        else:
            self._handle_target_packet(now_ms, item, sender)

    def forward(self, now_ms: int, event: wire.Forward) -> None:
        """Handle a caller's packet that another VM forwarded."""
        item = self._decode(event.packet)
        if item is not None and self._tables.epochs.current is not None:
            self._handle_caller_packet(now_ms, item, event.hops)

    def relay(self, now_ms: int, event: wire.Relay) -> None:
        """Handle a target's control packet that another VM forwarded."""
        current = self._tables.epochs.current
        item = self._decode(event.packet)
        if item is None or current is None:
            return
        sender = current.config.targets.get(event.target)
        if sender is None:
            self._tables.outbox.count(_COUNT.PACKETS_UNKNOWN_SENDER)
            return
        self._handle_target_control(now_ms, item, sender, event.hops)

    def handle_inquiry(
        self, now_ms: int, sender: str, event: wire.FlowTargetRequest
    ) -> None:
        """Respond to the present home of a flow about the flow's target.

        This VM may have a record, a hint or a copy of the flow from an earlier
        epoch. If it has none, it delegates the flow to the VM that inquires.
        """
        key = wire.flow_key(event.flow)
        self._home.cancel(key)
        known = self._known_target(now_ms, key)
        if known is None and not self._home.delegate_to(now_ms, key, sender):
            return
        name = known.name if known is not None else ""
        self._tables.peers.send(sender, wire.FlowTargetResponse(event.flow, name))

    def handle_inquiry_response(
        self, now_ms: int, sender: str, event: wire.FlowTargetResponse
    ) -> None:
        """Handle the response of a former home to an inquiry of this VM."""
        key = wire.flow_key(event.flow)
        self._home.take_response(now_ms, sender, key, event.target)

    def _known_target(self, now_ms: int, key: packet.FlowKey) -> target.Target | None:
        record = self._tables.flows.get(key)
        if record is not None and record.is_active and record.origin.value != "guessed":
            return record.target
        hint = self._tables.hints.get(now_ms, key)
        return hint or self._tables.replicator.copies.get(now_ms, key)

    def _decode(self, payload: bytes) -> packet.Packet | None:
        try:
            return self._codec.decode(payload)
        except errors.PacketError as error:
            unsupported = error.kind is errors.ErrorKind.PACKET_UNSUPPORTED
            self._tables.outbox.count(
                _COUNT.PACKETS_UNSUPPORTED if unsupported else _COUNT.PACKETS_MALFORMED
            )
            self._tables.outbox.put(
                message.log(
                    "packet_dropped", kind=error.kind.value, detail=error.detail
                )
            )
            return None

    def _handle_caller_packet(
        self, now_ms: int, item: packet.Packet, hops: int
    ) -> None:
        self._tables.outbox.count(_COUNT.PACKETS_REQUEST)
        key = item.request_key()
        current = self._tables.epochs.current
        assert current is not None
        flow_service = current.config.service_at(
            key.protocol, key.service_ip, key.service_port
        )
        if flow_service is None:
            self._no_service(item, current)
            return
        if not item.controls and self._send_by_hint(now_ms, item, key):
            return
        receiver = self._deciding_vm(now_ms, current, key, flow_service)
        if receiver == self._name or (hops and self._tables.flows.get(key)):
            self._home.request(now_ms, item, key, flow_service)
        else:
            self._send_to_vm(receiver, wire.Forward(hops + 1, item.raw))

    def _deciding_vm(
        self,
        now_ms: int,
        current: epoch.Epoch,
        key: packet.FlowKey,
        flow_service: service.Service,
    ) -> str | None:
        home_name = current.locate(key, flow_service).home
        if home_name != self._name:
            return home_name
        return self._home.delegated_vm(now_ms, key) or home_name

    def _send_by_hint(
        self, now_ms: int, item: packet.Packet, key: packet.FlowKey
    ) -> bool:
        if self._tables.flows.get(key) is not None:
            return False
        known = self._tables.hints.get(now_ms, key)
        if known is None:
            return False
        self._tables.outbox.put(message.SendDatagram(known.endpoint, item.raw))
        return True

    def _send_to_vm(
        self, receiver: str | None, item: wire.Forward | wire.Relay
    ) -> None:
        outbox = self._tables.outbox
        if receiver is None:
            outbox.count(_COUNT.PACKETS_NO_HOME)
        elif item.hops > MAX_HOPS:
            outbox.count(_COUNT.PACKETS_HOP_LIMIT)
        else:
            outbox.count(_COUNT.PACKETS_FORWARDED)
            self._tables.peers.send(receiver, item)

    def _no_service(self, item: packet.Packet, current: epoch.Epoch) -> None:
        outbox = self._tables.outbox
        outbox.count(_COUNT.PACKETS_UNKNOWN_SERVICE)
        known = current.config.serves_ip(item.destination.ip)
        if known and (item.opens or item.protocol == packet.Protocol.UDP):
            kind = errors.ErrorKind.NO_SERVICE
            refusal = packet.build_refusal(item, kind, NO_SERVICE_RETRY_MS)
            outbox.put(message.SendFabric(refusal))

    def _handle_target_packet(
        self, now_ms: int, item: packet.Packet, sender: target.Target
    ) -> None:
        if item.controls:
            self._handle_target_control(now_ms, item, sender, 0)
            return
        flow_service = self._service_of(item, sender)
        if flow_service is None:
            return
        self._tables.outbox.count(_COUNT.PACKETS_ANSWER)
        key = item.answer_key()
        record = self._tables.flows.get(key)
        if record is None:
            self._tables.hints.record(now_ms, key, sender)
        else:
            self._home.confirm_target(key, sender)
        self._tables.outbox.put(message.SendFabric(item.raw))

    def _handle_target_control(
        self, now_ms: int, item: packet.Packet, sender: target.Target, hops: int
    ) -> None:
        flow_service = self._service_of(item, sender)
        current = self._tables.epochs.current
        if flow_service is None or current is None:
            return
        key = item.answer_key()
        receiver = self._deciding_vm(now_ms, current, key, flow_service)
        here = self._tables.flows.get(key) is not None
        if receiver == self._name or (hops and here):
            self._home.answer(now_ms, item, key, sender, flow_service)
        else:
            self._send_to_vm(receiver, wire.Relay(hops + 1, sender.name, item.raw))

    def _service_of(
        self, item: packet.Packet, sender: target.Target
    ) -> service.Service | None:
        # A target may send answers of its own service only. If this VM forwarded
        # the answer of a target that was moved to another service, the caller
        # would treat it as an answer of the service that it had called.
        current = self._tables.epochs.current
        assert current is not None
        source = item.source
        flow_service = current.config.service_at(item.protocol, source.ip, source.port)
        if flow_service is None or flow_service.name != sender.service:
            self._tables.outbox.count(_COUNT.PACKETS_UNKNOWN_SENDER)
            return None
        return flow_service
