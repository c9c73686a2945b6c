"""The path of a packet through any entry VM.

A caller's packet goes straight to its target when this VM knows the target,
and by the flow's home when it does not. Packets that open, end or reset a flow
always go by the home, so that one VM sees the whole life of a flow. A target's
answer goes straight back to the caller, and teaches this VM the flow's target.
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
    """Handles packets as one VM; the home part decides for its own flows."""

    def __init__(
        self,
        name: str,
        codec: packet.PacketCodec,
        shared: tables.Tables,
        decider: home.Home,
    ) -> None:
        """Switch packets as the VM ``name``."""
        self._name = name
        self._codec = codec
        self._tables = shared
        self._home = decider

    def datagram(self, now_ms: int, event: message.FabricDatagram) -> None:
        """Handle a datagram from the fabric or a target."""
        current = self._tables.epochs.current
        item = self._decode(event.payload)
        if item is None or current is None:
            return
        sender = current.config.target_at(event.source)
        if sender is None:
            self._request(now_ms, item, 0)
        else:
            self._answer(now_ms, item, sender)

    def forward(self, now_ms: int, event: wire.Forward) -> None:
        """Handle a caller's packet that another VM passed on."""
        item = self._decode(event.packet)
        if item is not None and self._tables.epochs.current is not None:
            self._request(now_ms, item, event.hops)

    def relay(self, now_ms: int, event: wire.Relay) -> None:
        """Handle a target's control packet that another VM passed on."""
        current = self._tables.epochs.current
        item = self._decode(event.packet)
        if item is None or current is None:
            return
        sender = current.config.targets.get(event.target)
        if sender is None:
            self._tables.outbox.count(_COUNT.PACKETS_UNKNOWN_SENDER)
            return
        self._answer_control(now_ms, item, sender, event.hops)

    def ask(self, now_ms: int, sender: str, event: wire.FlowTargetRequest) -> None:
        """Answer the present home of a flow that this VM may know."""
        key = wire.flow_key(event.flow)
        self._home.cancel(key)
        known = self._known(now_ms, key)
        if known is None and not self._home.delegate_to(now_ms, key, sender):
            return
        name = known.name if known is not None else ""
        self._tables.peers.send(sender, wire.FlowTargetResponse(event.flow, name))

    def tell(self, now_ms: int, sender: str, event: wire.FlowTargetResponse) -> None:
        """Take a former home's answer."""
        key = wire.flow_key(event.flow)
        self._home.tell(now_ms, sender, key, event.target)

    def _known(self, now_ms: int, key: packet.FlowKey) -> target.Target | None:
        record = self._tables.flows.get(key)
        if record is not None and record.counts and record.origin.value != "guessed":
            return record.target
        hint = self._tables.hints.get(now_ms, key)
        return hint or self._tables.replicator.kept.get(now_ms, key)

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

    def _request(self, now_ms: int, item: packet.Packet, hops: int) -> None:
        self._tables.outbox.count(_COUNT.PACKETS_REQUEST)
        key = item.request_key()
        current = self._tables.epochs.current
        assert current is not None
        owner = current.config.service_at(
            key.protocol, key.service_ip, key.service_port
        )
        if owner is None:
            self._no_service(item, current)
            return
        if not item.controls and self._direct(now_ms, item, key):
            return
        receiver = self._receiver(now_ms, current, key, owner)
        if receiver == self._name or (hops and self._tables.flows.get(key)):
            self._home.request(now_ms, item, key, owner)
        else:
            self._pass_on(receiver, wire.Forward(hops + 1, item.raw))

    def _receiver(
        self,
        now_ms: int,
        current: epoch.Epoch,
        key: packet.FlowKey,
        owner: service.Service,
    ) -> str | None:
        home_name = current.locate(key, owner).home
        if home_name != self._name:
            return home_name
        return self._home.delegate_of(now_ms, key) or home_name

    def _direct(self, now_ms: int, item: packet.Packet, key: packet.FlowKey) -> bool:
        if self._tables.flows.get(key) is not None:
            return False
        known = self._tables.hints.get(now_ms, key)
        if known is None:
            return False
        self._tables.outbox.put(message.SendDatagram(known.endpoint, item.raw))
        return True

    def _pass_on(self, receiver: str | None, item: wire.Forward | wire.Relay) -> None:
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

    def _answer(self, now_ms: int, item: packet.Packet, sender: target.Target) -> None:
        if item.controls:
            self._answer_control(now_ms, item, sender, 0)
            return
        owner = self._owner(item, sender)
        if owner is None:
            return
        self._tables.outbox.count(_COUNT.PACKETS_ANSWER)
        key = item.answer_key()
        record = self._tables.flows.get(key)
        if record is None:
            self._tables.hints.learn(now_ms, key, sender)
        else:
            self._home.correct(key, sender)
        self._tables.outbox.put(message.SendFabric(item.raw))

    def _answer_control(
        self, now_ms: int, item: packet.Packet, sender: target.Target, hops: int
    ) -> None:
        owner = self._owner(item, sender)
        current = self._tables.epochs.current
        if owner is None or current is None:
            return
        key = item.answer_key()
        receiver = self._receiver(now_ms, current, key, owner)
        here = self._tables.flows.get(key) is not None
        if receiver == self._name or (hops and here):
            self._home.answer(now_ms, item, key, sender, owner)
        else:
            self._pass_on(receiver, wire.Relay(hops + 1, sender.name, item.raw))

    def _owner(
        self, item: packet.Packet, sender: target.Target
    ) -> service.Service | None:
        # A target speaks for its own service only. Let through, an answer of a
        # target that was moved to another service would reach a caller as the
        # answer of the service it had asked.
        current = self._tables.epochs.current
        assert current is not None
        source = item.source
        owner = current.config.service_at(item.protocol, source.ip, source.port)
        if owner is None or owner.name != sender.service:
            self._tables.outbox.count(_COUNT.PACKETS_UNKNOWN_SENDER)
            return None
        return owner
