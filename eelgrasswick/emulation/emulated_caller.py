"""A stand-in for callers: they open flows, check answers and keep a history."""

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
_PORTS: typing.Final = 64_000


class End(enum.Enum):
    """How a flow ended for its caller."""

    WHOLE = "whole"
    REFUSED = "refused"
    BROKEN = "broken"
    WRONG_SERVICE = "wrong_service"
    UNFINISHED = "unfinished"


class FlowRecord(typing.NamedTuple):
    """One flow as its caller saw it.

    Attributes:
        number: Request number.
        service: Service that was called.
        target: Target that answered; empty when none did.
        began_ms: When the flow began.
        first_ms: Time to the first byte of the answer; -1 without an answer.
        ended_ms: When it ended.
        end: How it ended.
        detail: What a refusal said, or why the flow broke.
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


class _Exchange:
    """One request over UDP, repeated until its reply comes."""

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
        "first_ms",
        "heard_ms",
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
        self.heard_ms = now_ms
        self.first_ms = -1
        self.reply: emulated_target.Reply | None = None
        self.body = b""


class Callers:
    """Many callers behind one fabric.

    Attributes:
        histories: The flows that have ended.
        outgoing: Packets for the fabric; the owner takes them.
    """

    def __init__(self, rng: random.Random, addresses: int = 32) -> None:
        """Call from a number of addresses in 10.9.0.0/16."""
        self.records: list[FlowRecord] = []
        self.outgoing: list[bytes] = []
        self._rng = rng
        self._addresses = addresses
        self._flows: dict[packet.FlowKey, _Flow] = {}
        self._exchanges: dict[packet.FlowKey, _Exchange] = {}
        self._opened = 0

    @property
    def open_flows(self) -> int:
        """Flows that have not ended."""
        return len(self._flows) + len(self._exchanges)

    def has_flow(self, key: packet.FlowKey) -> bool:
        """Tell whether a flow is open."""
        return key in self._flows or key in self._exchanges

    def call(
        self,
        now_ms: int,
        service: packet.Address,
        request: emulated_target.Request,
        caller: int | None = None,
        port: int | None = None,
    ) -> packet.FlowKey:
        """Open a flow, send a request and expect its whole answer.

        Args:
            now_ms: Present time in milliseconds.
            service: Address to call.
            request: What to ask for.
            caller: Number of the caller address; the next in turn if None.
            port: Port of the caller; a port not used lately if None.

        Returns:
            The flow.
        """
        local = self._local(caller, port)
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
        """Send a request over UDP; the arguments are those of ``call``."""
        local = self._local(caller, port)
        payload = packet.build_udp(local, service, msgspec.json.encode(request))
        key = packet.FlowKey(packet.Protocol.UDP, *local, *service)
        self._exchanges[key] = _Exchange(request, payload, now_ms)
        self.outgoing.append(payload)
        return key

    def _local(self, caller: int | None, port: int | None) -> packet.Address:
        index = self._opened % self._addresses if caller is None else caller
        ip = bytes((10, 9, index // 250, index % 250 + 1))
        chosen = _FIRST_PORT + self._opened % _PORTS if port is None else port
        self._opened += 1
        return packet.Address(ip, chosen)

    def unreachable(self, now_ms: int, key: packet.FlowKey) -> None:
        """Handle an ICMP refusal of a datagram."""
        found = self._exchanges.pop(key, None)
        if found is not None:
            self._answered(now_ms, key, found, "", End.REFUSED, "icmp")

    def _reply(self, now_ms: int, item: packet.Packet) -> None:
        key = item.answer_key()
        found = self._exchanges.get(key)
        if found is None:
            return
        data = item.raw[len(item.raw) - item.payload_bytes :]
        reply = msgspec.json.decode(data, type=emulated_target.Reply)
        if reply.number != found.request.number:
            # Late answer to an earlier request from the same port.
            return
        del self._exchanges[key]
        right = reply.service == found.request.service
        end = End.WHOLE if right else End.WRONG_SERVICE
        self._answered(now_ms, key, found, reply.target, end, "")

    def _answered(
        self,
        now_ms: int,
        key: packet.FlowKey,
        found: _Exchange,
        target: str,
        end: End,
        detail: str,
    ) -> None:
        first_ms = now_ms - found.began_ms if target else -1
        self.records.append(
            FlowRecord(
                found.request.number,
                found.request.service,
                target,
                found.began_ms,
                first_ms,
                now_ms,
                end,
                detail,
                str(key),
            )
        )

    def _repeat(self, now_ms: int) -> None:
        for key, found in list(self._exchanges.items()):
            if now_ms - found.began_ms > GIVE_UP_MS:
                del self._exchanges[key]
                self._answered(now_ms, key, found, "", End.BROKEN, "silence")
            elif now_ms - found.sent_ms >= DATAGRAM_RETRY_MS:
                found.sent_ms = now_ms
                self.outgoing.append(found.payload)

    def receive(self, now_ms: int, item: packet.Packet) -> None:
        """Handle a packet from the fabric."""
        if item.protocol == packet.Protocol.UDP:
            self._reply(now_ms, item)
            return
        key = item.answer_key()
        flow = self._flows.get(key)
        if flow is None:
            if not item.resets:
                self.outgoing.append(emulated_stream.reset_for(item))
            return
        flow.stream.receive(now_ms, item)
        self._read(now_ms, flow)
        self._collect(flow.stream)
        self._check(now_ms, key, flow)

    def tick(self, now_ms: int) -> None:
        """Repeat packets and give up on flows that stand still."""
        self._repeat(now_ms)
        for key, flow in list(self._flows.items()):
            flow.stream.tick(now_ms)
            self._collect(flow.stream)
            silent = now_ms - flow.heard_ms > GIVE_UP_MS
            if silent and flow.stream.peer_closed:
                self._end(now_ms, key, flow, *_judge(flow))
            elif silent:
                self._end(now_ms, key, flow, End.BROKEN, "silence")
            else:
                self._check(now_ms, key, flow)

    def finish(self, now_ms: int) -> None:
        """End all open flows as unfinished."""
        for key, flow in list(self._flows.items()):
            self._end(now_ms, key, flow, End.UNFINISHED, "")
        for key, found in list(self._exchanges.items()):
            del self._exchanges[key]
            self._answered(now_ms, key, found, "", End.UNFINISHED, "")

    def _read(self, now_ms: int, flow: _Flow) -> None:
        data = flow.stream.take()
        if not data:
            return
        flow.heard_ms = now_ms
        if flow.first_ms < 0:
            flow.first_ms = now_ms - flow.began_ms
        flow.body += data
        if flow.reply is None and b"\n" in flow.body:
            line, _, flow.body = flow.body.partition(b"\n")
            flow.reply = msgspec.json.decode(line, type=emulated_target.Reply)

    def _check(self, now_ms: int, key: packet.FlowKey, flow: _Flow) -> None:
        stream = flow.stream
        if stream.peer_closed:
            # All bytes and the end have come; what follows can't spoil them.
            self._finished(now_ms, key, flow)
        elif stream.reset:
            refused = b"kind=" in stream.reset_data
            end = End.REFUSED if refused else End.BROKEN
            detail = stream.reset_data.decode(errors="replace") or "reset"
            self._end(now_ms, key, flow, end, detail)
        elif stream.gave_up:
            self._end(now_ms, key, flow, End.BROKEN, "gave up")

    def _finished(self, now_ms: int, key: packet.FlowKey, flow: _Flow) -> None:
        flow.stream.close(now_ms)
        self._collect(flow.stream)
        if flow.stream.closed or flow.stream.drained:
            end, detail = _judge(flow)
            self._end(now_ms, key, flow, end, detail)

    def _end(
        self, now_ms: int, key: packet.FlowKey, flow: _Flow, end: End, detail: str
    ) -> None:
        del self._flows[key]
        self.records.append(
            FlowRecord(
                flow.request.number,
                flow.request.service,
                flow.reply.target if flow.reply is not None else "",
                flow.began_ms,
                flow.first_ms,
                now_ms,
                end,
                detail,
                str(key),
            )
        )

    def _collect(self, stream: emulated_stream.Stream) -> None:
        self.outgoing += stream.outgoing
        stream.outgoing.clear()


def _judge(flow: _Flow) -> tuple[End, str]:
    reply = flow.reply
    if reply is None:
        return End.BROKEN, "closed without an answer"
    if reply.service != flow.request.service:
        return End.WRONG_SERVICE, reply.service
    if reply.number != flow.request.number:
        return End.BROKEN, f"answer of request {reply.number}"
    size = flow.request.part_bytes
    part = flow.request.number.to_bytes(8, "big") * (size // 8)
    if flow.body != part.ljust(size, b".") * flow.request.parts:
        return End.BROKEN, f"body of {len(flow.body)} bytes is not whole"
    return End.WHOLE, ""
