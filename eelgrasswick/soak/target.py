"""A stand-in for one server, as a process that a run starts."""

import collections
import http
import json
import pathlib
import random
import signal
import socket
import sys
import time
import typing

import treq
from twisted.internet import protocol, reactor, task

from eelgrasswick.emulation import packets
from eelgrasswick.platform import names
from eelgrasswick.soak import history, layout

HEARTBEAT_S: typing.Final = 1.2
RESEND_S: typing.Final = 0.2
WINDOW: typing.Final = 16
TOKEN_BYTES: typing.Final = 8
IDLE_S: typing.Final = 60.0
# After SIGTERM a target serves on for the drain bound and a little longer.
SERVE_S: typing.Final = 4.0

_Key = tuple[bytes, int, bytes, int]


class Settings(typing.TypedDict):
    """What the command line gives a target, as JSON."""

    name: str
    service: str
    zone: str
    host: str
    port: int
    caller_port: int
    store: str
    events: str
    slots: int
    work_ms: int


class Flow:
    """One flow at this end."""

    def __init__(self, first: packets.Packet, start: int) -> None:
        """Begin with the caller's opening packet."""
        self.first = first
        self.start = start
        self.echo = first.echo
        self.open = False
        self.expected = first.sequence + 1
        self.sent = start + 1
        self.acknowledged = start + 1
        self.request = b""
        self.answer = b""
        self.answer_from = start + 1
        self.seen_s = time.monotonic()
        self.sent_s = 0.0


class Target(protocol.DatagramProtocol):
    """Takes flows, runs requests and answers callers directly."""

    def __init__(self, settings: Settings) -> None:
        """Serve by some settings."""
        self._settings = settings
        self._flows: dict[_Key, Flow] = {}
        self._queue: collections.deque[tuple[Flow, str, int]] = collections.deque()
        self._busy = 0
        self._events = pathlib.Path(settings["events"])
        self._token = int(settings["name"].partition("-")[2], 16)
        self._rng = random.Random()
        self.draining = False
        self.born_ms = time.time_ns() // 1_000_000
        self._sequence = 0

    def datagramReceived(self, datagram: bytes, addr: tuple[str, int]) -> None:  # noqa: N802
        """Take a datagram that an entry VM passed on."""
        token = int.from_bytes(datagram[:TOKEN_BYTES], "big")
        if token not in (0, self._token):
            return
        item = packets.decode(datagram[TOKEN_BYTES:])
        if item is None:
            self._note(history.Kind.FAULT, detail="a packet was changed on its way")
            return
        key = (item.source, item.source_port, item.destination, item.destination_port)
        flow = self._flows.get(key)
        if item.flags & packets.SYN:
            self._open(key, flow, item)
        elif flow is None:
            if not item.flags & packets.RST:
                self._send(item, packets.RST, item.acknowledged, 0, b"")
        elif item.flags & packets.RST:
            del self._flows[key]
        else:
            self._take(flow, item)

    def tick(self) -> None:
        """Send again what was not acknowledged, and forget idle flows."""
        now_s = time.monotonic()
        for key, flow in list(self._flows.items()):
            if flow.acknowledged < flow.sent and now_s - flow.sent_s >= RESEND_S:
                flow.sent = flow.acknowledged
                self._push(flow)
            if now_s - flow.seen_s > IDLE_S:
                del self._flows[key]

    def entry(self) -> bytes:
        """Return what this target writes to the store."""
        settings = self._settings
        body = {
            "service": settings["service"],
            "address": f"{settings['host']}:{settings['port']}",
            "zone": settings["zone"],
            "version": "v1",
            "concurrency": settings["slots"],
            "state": "draining" if self.draining else "ready",
            "cold_remaining_ms": self._cold_ms(),
            "sequence": self._sequence,
            "born": self.born_ms,
        }
        return json.dumps(body).encode()

    def _cold_ms(self) -> int:
        if self._settings["service"] != layout.COLD_SERVICE:
            return 0
        age_ms = time.time_ns() // 1_000_000 - self.born_ms
        return max(0, int(1000 * layout.COLD_START_S) - age_ms)

    def note_life(self, kind: history.Kind) -> None:
        """Write that this incarnation begins, drains or ends."""
        self._note(kind, detail=self._settings["zone"])

    def _open(self, key: _Key, flow: Flow | None, item: packets.Packet) -> None:
        if flow is None:
            flow = Flow(item, self._rng.randrange(1, 2**31))
            self._flows[key] = flow
        flow.echo = item.echo
        flags = packets.SYN | packets.ACK
        self._send(item, flags, flow.start, flow.first.sequence + 1, b"", flow.echo)

    def _take(self, flow: Flow, item: packets.Packet) -> None:
        flow.echo = item.echo or flow.echo
        flow.seen_s = time.monotonic()
        if not flow.open:
            if item.acknowledged != flow.start + 1:
                # The caller opened the flow at another target.
                self._send(item, packets.RST, item.acknowledged, 0, b"")
                return
            flow.open = True
            self._note(history.Kind.OPENED, item, detail=self._settings["service"])
        if flow.acknowledged < item.acknowledged <= flow.sent:
            flow.acknowledged = item.acknowledged
            self._push(flow)
        if item.sequence == flow.expected and item.data:
            flow.expected += len(item.data)
            flow.request += item.data
            self._requests(flow)
        if item.data or item.flags & packets.FIN:
            self._acknowledge(flow)

    def _requests(self, flow: Flow) -> None:
        while b"\n" in flow.request:
            line, _, flow.request = flow.request.partition(b"\n")
            request, _, size = line.decode().partition(" ")
            self._queue.append((flow, request, int(size)))
        self._work()

    def _work(self) -> None:
        while self._queue and self._busy < self._settings["slots"]:
            self._busy += 1
            flow, request, size_bytes = self._queue.popleft()
            answer = history.expected_response(request, size_bytes)
            self._note(
                history.Kind.RAN,
                flow.first,
                request=request,
                detail=history.response_digest(answer),
            )
            delay_s = self._settings["work_ms"] / 1000 * self._rng.uniform(0.5, 1.5)
            typing.cast(typing.Any, reactor).callLater(
                delay_s, self._done, flow, answer
            )

    def _done(self, flow: Flow, answer: bytes) -> None:
        self._busy -= 1
        unsent = flow.answer[flow.acknowledged - flow.answer_from :]
        flow.answer = unsent + answer
        flow.answer_from = flow.acknowledged
        self._push(flow)
        self._work()

    def _push(self, flow: Flow) -> None:
        end = flow.answer_from + len(flow.answer)
        while flow.sent < end:
            if flow.sent - flow.acknowledged >= WINDOW * packets.MAX_DATA_BYTES:
                return
            at = flow.sent - flow.answer_from
            part = flow.answer[at : at + packets.MAX_DATA_BYTES]
            self._send(
                flow.first, packets.ACK, flow.sent, flow.expected, part, flow.echo
            )
            flow.sent += len(part)
            flow.sent_s = time.monotonic()

    def _acknowledge(self, flow: Flow) -> None:
        sent = flow.sent
        self._send(flow.first, packets.ACK, sent, flow.expected, b"", flow.echo)

    def _send(
        self,
        item: packets.Packet,
        flags: int,
        sequence: int,
        acknowledged: int,
        data: bytes,
        echo: int = 0,
    ) -> None:
        raw = packets.encode(
            packets.Packet(
                item.destination,
                item.destination_port,
                item.source,
                item.source_port,
                flags,
                sequence,
                acknowledged,
                echo,
                data,
            )
        )
        address = (socket.inet_ntoa(item.source), self._settings["caller_port"])
        typing.cast(typing.Any, self.transport).write(raw, address)

    def _note(
        self,
        kind: history.Kind,
        item: packets.Packet | None = None,
        request: str = "",
        detail: str = "",
    ) -> None:
        flow = f"{item.source_port}>{item.destination_port}" if item is not None else ""
        name = self._settings["name"]
        event = history.Event(time.monotonic(), kind, name, flow, request, detail)
        history.write(self._events, event)


class Life:
    """One incarnation of a target: its entry in the store, and its end."""

    def __init__(self, settings: Settings, target: Target) -> None:
        """Keep a target's entry up."""
        self._target = target
        self._url = f"http://{settings['store']}/own/entry?key="
        self._url += names.TARGET_PREFIX + settings["name"]

    def beat(self) -> typing.Any:
        """Write the entry; a store that is away is tried at the next beat."""
        call = treq.put(self._url, self._target.entry(), timeout=0.5)
        return call.addCallback(_accepted).addErrback(lambda _: False)

    def drain(self, serve_s: float) -> None:
        """Say that it leaves, serve on for a while, then end."""
        self._target.draining = True
        self._say_draining()
        typing.cast(typing.Any, reactor).callLater(serve_s, self._end)

    def _say_draining(self) -> None:
        def told(accepted: bool) -> None:
            if accepted:
                self._target.note_life(history.Kind.DRAINED)

        self.beat().addCallback(told)

    def _end(self) -> None:
        self._target.note_life(history.Kind.ENDED)
        call = treq.put(self._url, b"", timeout=0.5)
        call.addBoth(lambda _: typing.cast(typing.Any, reactor).stop())


def _accepted(response: typing.Any) -> typing.Any:
    taken = treq.content(response)
    return taken.addCallback(lambda _: response.code == http.HTTPStatus.OK)


def main() -> None:
    """Serve by the settings that the command line gives."""
    settings: Settings = json.loads(sys.argv[1])
    target = Target(settings)
    life = Life(settings, target)
    running = typing.cast(typing.Any, reactor)
    running.listenUDP(settings["port"], target, settings["host"], 4096)
    running.listenTCP(
        settings["port"],
        protocol.Factory.forProtocol(protocol.Protocol),
        interface=settings["host"],
    )
    target.note_life(history.Kind.BEGUN)
    task.LoopingCall(life.beat).start(HEARTBEAT_S)
    task.LoopingCall(target.tick).start(RESEND_S / 4)
    signal.signal(
        signal.SIGTERM, lambda *_: running.callFromThread(life.drain, SERVE_S)
    )
    running.run(installSignalHandlers=False)


if __name__ == "__main__":
    main()
