"""A stand-in for a target, which a run starts as a process."""

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

HEARTBEAT_INTERVAL_S: typing.Final = 1.2
RETRANSMIT_TIMEOUT_S: typing.Final = 0.2
# The interval between answers to an opening packet doubles up to this value, and a
# target gives up after so many repetitions.
MAX_RETRANSMIT_INTERVAL_S: typing.Final = 1.6
MAX_RETRANSMISSIONS: typing.Final = 8
WINDOW_PACKETS: typing.Final = 16
# Each datagram of a VM begins with the token of a target, or with 0 for any target.
TOKEN_BYTES: typing.Final = 8
IDLE_TIMEOUT_S: typing.Final = 60.0
# After SIGTERM a target serves for slightly longer than the drain limit of 3 s.
DRAIN_SERVE_S: typing.Final = 4.0

_FlowKey = tuple[bytes, int, bytes, int]


class Settings(typing.TypedDict):
    """Settings of a target, which are given as JSON on the command line.

    Attributes:
        name: Name of the target: a prefix, a hyphen and its token in hexadecimal.
        service: Name of its service.
        zone: Availability zone of the target.
        host: IP address on which it listens.
        port: Port for datagrams of the VMs, and for their connections.
        caller_port: Port to which packets for callers are sent.
        store: Address of the store as ``ip:port``.
        events: Path of the file to which events are appended.
        slots: Number of requests that are executed at the same time.
        queue: Number of requests that wait; further ones are turned away.
        work_ms: Mean duration of a request.
    """

    name: str
    service: str
    zone: str
    host: str
    port: int
    caller_port: int
    store: str
    events: str
    slots: int
    queue: int
    work_ms: int


class Flow:
    """The target's end of a flow.

    Attributes:
        first: The SYN packet that created the flow.
        initial_sequence: Sequence number of the target's SYN-ACK.
        cookie: Cookie of the caller's last packet that had one.
        open: True once the caller has acknowledged the SYN-ACK.
        expected: Sequence number of the next byte from the caller.
        sent: Sequence number of the next byte to send.
        acknowledged: Sequence number up to which the caller has acknowledged.
        request: Received bytes that are not yet a complete request line.
        response: Response bytes that are sent or to be sent.
        response_start: Sequence number of the first byte of response.
        seen_s: Monotonic time of the last packet from the caller.
        sent_s: Monotonic time at which response bytes were last sent, or the answer
            to the opening packet.
        repetitions: How often the answer to the opening packet was repeated.
    """

    def __init__(self, first: packets.Packet, initial_sequence: int) -> None:
        """Create a flow from the caller's SYN packet."""
        self.first = first
        self.initial_sequence = initial_sequence
        self.cookie = first.echo
        self.open = False
        self.expected = first.sequence + 1
        self.sent = initial_sequence + 1
        self.acknowledged = initial_sequence + 1
        self.request = b""
        self.response = b""
        self.response_start = initial_sequence + 1
        self.seen_s = time.monotonic()
        self.sent_s = time.monotonic()
        self.repetitions = 0

    def repeats_answer(self, now_s: float) -> bool:
        """Return True when the answer to the opening packet is to be repeated now."""
        if self.open or self.repetitions >= MAX_RETRANSMISSIONS:
            return False
        interval_s = RETRANSMIT_TIMEOUT_S * 2**self.repetitions
        return now_s - self.sent_s >= min(MAX_RETRANSMIT_INTERVAL_S, interval_s)


class Target(protocol.DatagramProtocol):
    """Accepts flows, executes requests and responds to callers directly.

    Attributes:
        draining: True once the target has begun to drain.
        started_ms: Wall-clock time at which this incarnation started.
    """

    def __init__(self, settings: Settings) -> None:
        """Create a target without flows."""
        self._settings = settings
        self._flows: dict[_FlowKey, Flow] = {}
        self._queued_requests: collections.deque[tuple[Flow, str, int]] = (
            collections.deque()
        )
        self._running_requests = 0
        self._events = pathlib.Path(settings["events"])
        self._token = int(settings["name"].partition("-")[2], 16)
        self._rng = random.Random()
        self.draining = False
        self.started_ms = time.time_ns() // 1_000_000
        self._sequence = 0

    def datagramReceived(self, datagram: bytes, addr: tuple[str, int]) -> None:  # noqa: N802
        """Process a datagram that an entry VM forwarded.

        Datagrams with the token of another target are dropped.
        """
        token = int.from_bytes(datagram[:TOKEN_BYTES], "big")
        if token not in (0, self._token):
            return
        item = packets.decode(datagram[TOKEN_BYTES:])
        if item is None:
            self._record(history.Kind.FAULT, detail="a packet was changed on its way")
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
            self._receive(flow, item)

    def tick(self) -> None:
        """Retransmit data and answers, and remove idle flows."""
        now_s = time.monotonic()
        for key, flow in list(self._flows.items()):
            if (
                flow.acknowledged < flow.sent
                and now_s - flow.sent_s >= RETRANSMIT_TIMEOUT_S
            ):
                flow.sent = flow.acknowledged
                self._send_data(flow)
            if flow.repeats_answer(now_s):
                flow.repetitions += 1
                flow.sent_s = now_s
                self._send_answer(flow)
            if now_s - flow.seen_s > IDLE_TIMEOUT_S:
                del self._flows[key]

    def entry(self) -> bytes:
        """Return the entry that this target writes to the store, as JSON."""
        settings = self._settings
        body = {
            "service": settings["service"],
            "address": f"{settings['host']}:{settings['port']}",
            "zone": settings["zone"],
            "version": "v1",
            "concurrency": settings["slots"],
            "state": "draining" if self.draining else "ready",
            "cold_remaining_ms": self._cold_remaining_ms(),
            "sequence": self._sequence,
            "born": self.started_ms,
        }
        return json.dumps(body).encode()

    def _cold_remaining_ms(self) -> int:
        if self._settings["service"] != layout.COLD_SERVICE:
            return 0
        age_ms = time.time_ns() // 1_000_000 - self.started_ms
        return max(0, int(1000 * layout.COLD_START_S) - age_ms)

    def record_lifecycle(self, kind: history.Kind) -> None:
        """Record that this incarnation begins, drains or ends."""
        self._record(kind, detail=self._settings["zone"])

    def _open(self, key: _FlowKey, flow: Flow | None, item: packets.Packet) -> None:
        self._record(history.Kind.ARRIVED, item, detail=str(item.acknowledged))
        if flow is None:
            flow = Flow(item, self._rng.randrange(1, 2**31))
            self._flows[key] = flow
        flow.cookie = item.echo
        self._send_answer(flow)

    def _send_answer(self, flow: Flow) -> None:
        self._send(
            flow.first,
            packets.SYN | packets.ACK,
            flow.initial_sequence,
            flow.first.sequence + 1,
            b"",
            flow.cookie,
        )

    def _receive(self, flow: Flow, item: packets.Packet) -> None:
        flow.cookie = item.echo or flow.cookie
        flow.seen_s = time.monotonic()
        if not flow.open:
            if item.acknowledged != flow.initial_sequence + 1:
                # The caller has opened the flow with another target.
                self._send(item, packets.RST, item.acknowledged, 0, b"")
                return
            flow.open = True
            self._record(history.Kind.OPENED, item, detail=self._settings["service"])
        if flow.acknowledged < item.acknowledged <= flow.sent:
            flow.acknowledged = item.acknowledged
            self._send_data(flow)
        if item.sequence == flow.expected and item.data:
            flow.expected += len(item.data)
            flow.request += item.data
            self._parse_requests(flow)
        if item.data or item.flags & packets.FIN:
            self._acknowledge(flow)

    def _parse_requests(self, flow: Flow) -> None:
        while b"\n" in flow.request:
            line, _, flow.request = flow.request.partition(b"\n")
            request, _, size = line.decode().partition(" ")
            self._queued_requests.append((flow, request, int(size)))
        self._run_queued()
        while len(self._queued_requests) > self._settings["queue"]:
            self._respond(self._queued_requests.pop()[0], history.FULL_RESPONSE)

    def _run_queued(self) -> None:
        while (
            self._queued_requests and self._running_requests < self._settings["slots"]
        ):
            self._running_requests += 1
            flow, request, size_bytes = self._queued_requests.popleft()
            response = history.expected_response(request, size_bytes)
            self._record(
                history.Kind.RAN,
                flow.first,
                request=request,
                detail=history.response_digest(response),
            )
            delay_s = self._settings["work_ms"] / 1000 * self._rng.uniform(0.5, 1.5)
            typing.cast(typing.Any, reactor).callLater(
                delay_s, self._finish_request, flow, response
            )

    def _finish_request(self, flow: Flow, response: bytes) -> None:
        self._running_requests -= 1
        self._respond(flow, response)
        self._run_queued()

    def _respond(self, flow: Flow, response: bytes) -> None:
        unacknowledged = flow.response[flow.acknowledged - flow.response_start :]
        flow.response = unacknowledged + response
        flow.response_start = flow.acknowledged
        self._send_data(flow)

    def _send_data(self, flow: Flow) -> None:
        end = flow.response_start + len(flow.response)
        while flow.sent < end:
            if flow.sent - flow.acknowledged >= WINDOW_PACKETS * packets.MAX_DATA_BYTES:
                return
            offset = flow.sent - flow.response_start
            part = flow.response[offset : offset + packets.MAX_DATA_BYTES]
            self._send(
                flow.first, packets.ACK, flow.sent, flow.expected, part, flow.cookie
            )
            flow.sent += len(part)
            flow.sent_s = time.monotonic()

    def _acknowledge(self, flow: Flow) -> None:
        sent = flow.sent
        self._send(flow.first, packets.ACK, sent, flow.expected, b"", flow.cookie)

    def _send(
        self,
        item: packets.Packet,
        flags: int,
        sequence: int,
        acknowledged: int,
        data: bytes,
        cookie: int = 0,
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
                cookie,
                data,
            )
        )
        address = (socket.inet_ntoa(item.source), self._settings["caller_port"])
        typing.cast(typing.Any, self.transport).write(raw, address)

    def _record(
        self,
        kind: history.Kind,
        item: packets.Packet | None = None,
        request: str = "",
        detail: str = "",
    ) -> None:
        flow = f"{item.source_port}>{item.destination_port}" if item is not None else ""
        name = self._settings["name"]
        cookie = item.echo if item is not None else 0
        event = history.Event(
            time.monotonic(), kind, name, flow, request, detail, cookie=cookie
        )
        history.write(self._events, event)


class Lifecycle:
    """Keeps the store entry of one incarnation of a target, and ends the target."""

    def __init__(self, settings: Settings, target: Target) -> None:
        """Create the lifecycle of a target, whose entry is not written yet."""
        self._target = target
        self._url = f"http://{settings['store']}/own/entry?key="
        self._url += names.TARGET_PREFIX + settings["name"]

    def send_heartbeat(self) -> typing.Any:
        """Write the entry to the store; the next heartbeat retries a failed write.

        Returns:
            A Deferred of whether the store accepted the entry.
        """
        call = treq.put(self._url, self._target.entry(), timeout=0.5)
        return call.addCallback(_accepted).addErrback(lambda _: False)

    def drain(self, serve_s: float) -> None:
        """Write that the target drains, serve for a time in seconds, then end."""
        self._target.draining = True
        self._write_draining()
        typing.cast(typing.Any, reactor).callLater(serve_s, self._end)

    def _write_draining(self) -> None:
        def record_drained(accepted: bool) -> None:
            if accepted:
                self._target.record_lifecycle(history.Kind.DRAINED)

        self.send_heartbeat().addCallback(record_drained)

    def _end(self) -> None:
        self._target.record_lifecycle(history.Kind.ENDED)
        call = treq.put(self._url, b"", timeout=0.5)
        call.addBoth(lambda _: typing.cast(typing.Any, reactor).stop())


def _accepted(response: typing.Any) -> typing.Any:
    reading = treq.content(response)
    return reading.addCallback(lambda _: response.code == http.HTTPStatus.OK)


def main() -> None:
    """Serve as a target with the settings that the command line gives."""
    settings: Settings = json.loads(sys.argv[1])
    target = Target(settings)
    lifecycle = Lifecycle(settings, target)
    untyped_reactor = typing.cast(typing.Any, reactor)
    untyped_reactor.listenUDP(settings["port"], target, settings["host"], 4096)
    untyped_reactor.listenTCP(
        settings["port"],
        protocol.Factory.forProtocol(protocol.Protocol),
        interface=settings["host"],
    )
    target.record_lifecycle(history.Kind.BEGUN)
    task.LoopingCall(lifecycle.send_heartbeat).start(HEARTBEAT_INTERVAL_S)
    task.LoopingCall(target.tick).start(RETRANSMIT_TIMEOUT_S / 4)
    signal.signal(
        signal.SIGTERM,
        lambda *_: untyped_reactor.callFromThread(lifecycle.drain, DRAIN_SERVE_S),
    )
    untyped_reactor.run(installSignalHandlers=False)


if __name__ == "__main__":
    main()
