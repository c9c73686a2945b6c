"""A stand-in for callers: they open flows, check answers and keep a history."""

import enum
import random
import typing

import msgspec

from eelgrasswick import emulated_stream, emulated_target, packet

GIVE_UP_MS: typing.Final = 20_000
_FIRST_PORT: typing.Final = 1024
_PORTS: typing.Final = 64_000


class End(enum.Enum):
    """How a flow ended for its caller."""

    WHOLE = "whole"
    REFUSED = "refused"
    BROKEN = "broken"
    WRONG_SERVICE = "wrong_service"
    UNFINISHED = "unfinished"


class History(typing.NamedTuple):
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
    """

    number: int
    service: str
    target: str
    began_ms: int
    first_ms: int
    ended_ms: int
    end: End
    detail: str


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
        self.histories: list[History] = []
        self.outgoing: list[bytes] = []
        self._rng = rng
        self._addresses = addresses
        self._flows: dict[packet.FlowKey, _Flow] = {}
        self._opened = 0

    @property
    def open_flows(self) -> int:
        """Flows that have not ended."""
        return len(self._flows)

    def call(
        self,
        now_ms: int,
        service: packet.Address,
        request: emulated_target.Request,
        caller: int | None = None,
    ) -> packet.FlowKey:
        """Open a flow, send a request and expect its whole answer."""
        index = self._opened % self._addresses if caller is None else caller
        ip = bytes((10, 9, index // 250, index % 250 + 1))
        local = packet.Address(ip, _FIRST_PORT + self._opened % _PORTS)
        self._opened += 1
        initial = self._rng.randrange(1, 2**30)
        stream = emulated_stream.Stream(local, service, initial, now_ms)
        stream.send(now_ms, msgspec.json.encode(request) + b"\n")
        key = packet.FlowKey(packet.Protocol.TCP, *local, *service)
        self._flows[key] = _Flow(request, stream, now_ms)
        self._collect(stream)
        return key

    def receive(self, now_ms: int, item: packet.Packet) -> None:
        """Handle a packet from the fabric."""
        key = item.answer_key()
        flow = self._flows.get(key)
        if flow is None:
            if not item.resets and item.protocol == packet.Protocol.TCP:
                self.outgoing.append(emulated_stream.reset_for(item))
            return
        flow.stream.receive(now_ms, item)
        self._read(now_ms, flow)
        self._collect(flow.stream)
        self._check(now_ms, key, flow)

    def tick(self, now_ms: int) -> None:
        """Repeat packets and give up on flows that stand still."""
        for key, flow in list(self._flows.items()):
            flow.stream.tick(now_ms)
            self._collect(flow.stream)
            if now_ms - flow.heard_ms > GIVE_UP_MS:
                self._end(now_ms, key, flow, End.BROKEN, "silence")
            else:
                self._check(now_ms, key, flow)

    def finish(self, now_ms: int) -> None:
        """End all open flows as unfinished."""
        for key, flow in list(self._flows.items()):
            self._end(now_ms, key, flow, End.UNFINISHED, "")

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
        if stream.reset:
            refused = b"kind=" in stream.reset_data
            end = End.REFUSED if refused else End.BROKEN
            detail = stream.reset_data.decode(errors="replace") or "reset"
            self._end(now_ms, key, flow, end, detail)
        elif stream.gave_up:
            self._end(now_ms, key, flow, End.BROKEN, "gave up")
        elif stream.peer_closed:
            self._finished(now_ms, key, flow)

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
        self.histories.append(
            History(
                flow.request.number,
                flow.request.service,
                flow.reply.target if flow.reply is not None else "",
                flow.began_ms,
                flow.first_ms,
                now_ms,
                end,
                detail,
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
    size = flow.request.answer_bytes
    part = flow.request.number.to_bytes(8, "big") * (size // 8)
    if flow.body != part.ljust(size, b".") * flow.request.parts:
        return End.BROKEN, f"body of {len(flow.body)} bytes is not whole"
    return End.WHOLE, ""
