"""Emulated callers, which open flows, verify answers and record how flows end."""

import enum
import random
import typing

import msgspec

from eelgrasswick import packet
from eelgrasswick.emulation import (
    emulated_stream,
    emulated_target,
)

GIVE_UP_MS: typing.Final = 20_000
DATAGRAM_RETRY_MS: typing.Final = 400
_FIRST_PORT: typing.Final = 1024
_PORT_COUNT: typing.Final = 64_000


class End(enum.Enum):
    """How a flow ended for its caller."""

    WHOLE = "whole"
    REFUSED = "refused"
    BROKEN = "broken"
    WRONG_SERVICE = "wrong_service"
    UNFINISHED = "unfinished"


class FlowRecord(typing.NamedTuple):
    """How one flow went, as observed by its caller.

    Attributes:
        number: Request number.
        service: Service that the caller requested.
        target: Target that answered; empty when none did.
        began_ms: Time at which the flow began.
        first_byte_ms: Time to the first byte of the answer; -1 without an answer.
        ended_ms: Time at which the flow ended.
        end: How the flow ended.
        detail: Text of the refusal, or the reason why the flow broke.
        flow: The flow, as ``packet.FlowKey`` prints it.
    """

    number: int
    service: str
    target: str
    began_ms: int
    first_byte_ms: int
    ended_ms: int
    end: End
    detail: str
    flow: str


class _UdpExchange:
    """One request over UDP, which is retransmitted until its reply arrives."""

    __slots__ = ("began_ms", "payload", "request", "sent_ms")

    def __init__(
        self, request: emulated_target.Request, payload: bytes, now_ms: int
    ) -> None:
        self.request = request
        self.payload = payload
        self.began_ms = now_ms
        self.sent_ms = now_ms


class _Flow:
    __slots__ = (
        "began_ms",
        "body",
        "first_byte_ms",
        "last_data_ms",
        "reply",
        "request",
        "stream",
    )

    def __init__(
        self,
        request: emulated_target.Request,
        stream: emulated_stream.Stream,
        now_ms: int,
    ) -> None:
        self.request = request
        self.stream = stream
        self.began_ms = now_ms
        self.last_data_ms = now_ms
        self.first_byte_ms = -1
        self.reply: emulated_target.Reply | None = None
        self.body = b""


class Callers:
    """Callers with many addresses behind one fabric.

    Attributes:
        records: The flows that have ended.
        outgoing: Packets for the fabric, which the owner sends and removes.
    """

    def __init__(self, rng: random.Random, addresses: int = 32) -> None:
        """Create callers without flows.

        Args:
            rng: Source of initial sequence numbers.
            addresses: Number of caller addresses, in 10.9.0.0/16.
        """
        self.records: list[FlowRecord] = []
        self.outgoing: list[bytes] = []
        self._rng = rng
        self._addresses = addresses
        self._flows: dict[packet.FlowKey, _Flow] = {}
        self._udp_exchanges: dict[packet.FlowKey, _UdpExchange] = {}
        self._opened = 0

    @property
    def open_flows(self) -> int:
        """Flows that have not ended."""
        return len(self._flows) + len(self._udp_exchanges)

    def has_flow(self, key: packet.FlowKey) -> bool:
        """Return whether a flow is open."""
        return key in self._flows or key in self._udp_exchanges

    def call(
        self,
        now_ms: int,
        service: packet.Address,
        request: emulated_target.Request,
        caller: int | None = None,
        port: int | None = None,
    ) -> packet.FlowKey:
        """Open a flow over TCP and send a request on it.

        Args:
            now_ms: Present time in milliseconds.
            service: Address of the service.
            request: The request.
            caller: Index of the caller's address; the next in turn if None.
            port: Port of the caller; a port not used recently if None.

        Returns:
            The flow.
        """
        local = self._choose_address(caller, port)
        initial = self._rng.randrange(1, 2**30)
        stream = emulated_stream.Stream(local, service, initial, now_ms)
        stream.send(now_ms, msgspec.json.encode(request) + b"\n")
        key = packet.FlowKey(packet.Protocol.TCP, *local, *service)
        self._flows[key] = _Flow(request, stream, now_ms)
        self._collect(stream)
        return key

    def call_udp(
        self,
        now_ms: int,
        service: packet.Address,
        request: emulated_target.Request,
        caller: int | None = None,
        port: int | None = None,
    ) -> packet.FlowKey:
        """Send a request over UDP; see ``call`` for the arguments."""
        local = self._choose_address(caller, port)
        payload = packet.build_udp(local, service, msgspec.json.encode(request))
        key = packet.FlowKey(packet.Protocol.UDP, *local, *service)
        self._udp_exchanges[key] = _UdpExchange(request, payload, now_ms)
        self.outgoing.append(payload)
        return key

    def _choose_address(self, caller: int | None, port: int | None) -> packet.Address:
        index = self._opened % self._addresses if caller is None else caller
        ip = bytes((10, 9, index // 250, index % 250 + 1))
        chosen = _FIRST_PORT + self._opened % _PORT_COUNT if port is None else port
        self._opened += 1
        return packet.Address(ip, chosen)

    def unreachable(self, now_ms: int, key: packet.FlowKey) -> None:
        """Process an ICMP refusal of a datagram."""
        exchange = self._udp_exchanges.pop(key, None)
        if exchange is not None:
            self._record_udp_end(now_ms, key, exchange, "", End.REFUSED, "icmp")

    def _on_datagram(self, now_ms: int, item: packet.Packet) -> None:
        key = item.answer_key()
        exchange = self._udp_exchanges.get(key)
        if exchange is None:
            return
        data = item.raw[len(item.raw) - item.payload_bytes :]
        reply = msgspec.json.decode(data, type=emulated_target.Reply)
        if reply.number != exchange.request.number:
            # This is a late answer to an earlier request from the same port.
            return
        del self._udp_exchanges[key]
        right_service = reply.service == exchange.request.service
        end = End.WHOLE if right_service else End.WRONG_SERVICE
        self._record_udp_end(now_ms, key, exchange, reply.target, end, "")

    def _record_udp_end(
        self,
        now_ms: int,
        key: packet.FlowKey,
        exchange: _UdpExchange,
        target: str,
        end: End,
        detail: str,
    ) -> None:
        first_byte_ms = now_ms - exchange.began_ms if target else -1
        self.records.append(
            FlowRecord(
                exchange.request.number,
                exchange.request.service,
                target,
                exchange.began_ms,
                first_byte_ms,
                now_ms,
                end,
                detail,
                str(key),
            )
        )

    def _retransmit_datagrams(self, now_ms: int) -> None:
        for key, exchange in list(self._udp_exchanges.items()):
            if now_ms - exchange.began_ms > GIVE_UP_MS:
                del self._udp_exchanges[key]
                self._record_udp_end(now_ms, key, exchange, "", End.BROKEN, "silence")
            elif now_ms - exchange.sent_ms >= DATAGRAM_RETRY_MS:
                exchange.sent_ms = now_ms
                self.outgoing.append(exchange.payload)

    def receive(self, now_ms: int, item: packet.Packet) -> None:
        """Process a packet from the fabric."""
        if item.protocol == packet.Protocol.UDP:
            self._on_datagram(now_ms, item)
            return
        key = item.answer_key()
        flow = self._flows.get(key)
        if flow is None:
            if not item.resets:
                self.outgoing.append(emulated_stream.reset_for(item))
            return
        flow.stream.receive(now_ms, item)
        self._read_answer(now_ms, flow)
        self._collect(flow.stream)
        self._check_end(now_ms, key, flow)

    def tick(self, now_ms: int) -> None:
        """Retransmit packets and end flows that got no data for ``GIVE_UP_MS``."""
        self._retransmit_datagrams(now_ms)
        for key, flow in list(self._flows.items()):
            flow.stream.tick(now_ms)
            self._collect(flow.stream)
            silent = now_ms - flow.last_data_ms > GIVE_UP_MS
            if silent and flow.stream.remote_closed:
                self._record_end(now_ms, key, flow, *_verify_answer(flow))
            elif silent:
                self._record_end(now_ms, key, flow, End.BROKEN, "silence")
            else:
                self._check_end(now_ms, key, flow)

    def finish(self, now_ms: int) -> None:
        """End all open flows as unfinished."""
        for key, flow in list(self._flows.items()):
            self._record_end(now_ms, key, flow, End.UNFINISHED, "")
        for key, exchange in list(self._udp_exchanges.items()):
            del self._udp_exchanges[key]
            self._record_udp_end(now_ms, key, exchange, "", End.UNFINISHED, "")

    def _read_answer(self, now_ms: int, flow: _Flow) -> None:
        data = flow.stream.take()
        if not data:
            return
        flow.last_data_ms = now_ms
        if flow.first_byte_ms < 0:
            flow.first_byte_ms = now_ms - flow.began_ms
        flow.body += data
        if flow.reply is None and b"\n" in flow.body:
            line, _, flow.body = flow.body.partition(b"\n")
            flow.reply = msgspec.json.decode(line, type=emulated_target.Reply)

    def _check_end(self, now_ms: int, key: packet.FlowKey, flow: _Flow) -> None:
        stream = flow.stream
        if stream.remote_closed:
            # All bytes and the FIN have arrived, so that no later packet can break the
            # flow.
            self._close_and_record(now_ms, key, flow)
        elif stream.reset:
            refused = b"kind=" in stream.reset_data
            end = End.REFUSED if refused else End.BROKEN
            detail = stream.reset_data.decode(errors="replace") or "reset"
            self._record_end(now_ms, key, flow, end, detail)
        elif stream.gave_up:
            self._record_end(now_ms, key, flow, End.BROKEN, "gave up")

    def _close_and_record(self, now_ms: int, key: packet.FlowKey, flow: _Flow) -> None:
        flow.stream.close(now_ms)
        self._collect(flow.stream)
        if flow.stream.closed or flow.stream.drained:
            end, detail = _verify_answer(flow)
            self._record_end(now_ms, key, flow, end, detail)

    def _record_end(
        self, now_ms: int, key: packet.FlowKey, flow: _Flow, end: End, detail: str
    ) -> None:
        del self._flows[key]
        self.records.append(
            FlowRecord(
                flow.request.number,
                flow.request.service,
                flow.reply.target if flow.reply is not None else "",
                flow.began_ms,
                flow.first_byte_ms,
                now_ms,
                end,
                detail,
                str(key),
            )
        )

    def _collect(self, stream: emulated_stream.Stream) -> None:
        self.outgoing += stream.outgoing
        stream.outgoing.clear()


def _verify_answer(flow: _Flow) -> tuple[End, str]:
    reply = flow.reply
    if reply is None:
        return End.BROKEN, "closed without an answer"
    if reply.service != flow.request.service:
        return End.WRONG_SERVICE, reply.service
    if reply.number != flow.request.number:
        return End.BROKEN, f"answer of request {reply.number}"
    size = flow.request.part_bytes
    pattern = flow.request.number.to_bytes(8, "big") * (size // 8)
    if flow.body != pattern.ljust(size, b".") * flow.request.parts:
        return End.BROKEN, f"body of {len(flow.body)} bytes is incomplete or wrong"
    return End.WHOLE, ""
