"""Emulated target: a server of one service with few work slots.

It uses UDP, and TCP by ``emulated_stream``. A request is one line of JSON; the answer
is one line of JSON and a body. The target records every request that it ran, so that
tests can find requests that ran twice or at the wrong service.
"""

import collections
import random
import typing

import msgspec

from eelgrasswick import packet
from eelgrasswick.emulation import emulated_stream


class Request(typing.NamedTuple):
    """A request of a caller, a JSON array on the wire.

    Attributes:
        number: Number that is unique in a run.
        service: Service that the caller requested.
        work_ms: Time that the work takes on a target of speed 1.
        part_bytes: Size of each part of the answer.
        parts: Number of parts; a live board or a download has more than one.
        part_interval_ms: Time between parts.
    """

    number: int
    service: str
    work_ms: int
    part_bytes: int
    parts: int
    part_interval_ms: int


class Reply(typing.NamedTuple):
    """The line in front of the body of an answer, a JSON array on the wire.

    Attributes:
        number: Number of the request.
        service: Service that the target works for.
        target: Name of the target.
        total_bytes: Size of the body.
    """

    number: int
    service: str
    target: str
    total_bytes: int


class WorkStart(typing.NamedTuple):
    """The arrival of a request that a target runs.

    Attributes:
        at_ms: Time at which the target took the request.
        number: Number of the request.
        flow: Flow on which the request arrived.
    """

    at_ms: int
    number: int
    flow: packet.FlowKey


class Model(typing.NamedTuple):
    """Properties of a target.

    Attributes:
        name: Its name in the rules file.
        service: The service it works for.
        slots: Requests that it works on at once.
        connections: Open connections that it accepts; it resets further ones.
        speed: Work done per slot and unit of time; 1 is normal.
        cold_ms: For how long it is slow after its start.
    """

    name: str
    service: str
    slots: int
    connections: int
    speed: float
    cold_ms: int


class _Job:
    __slots__ = ("due_ms", "parts_left", "request", "stream")

    def __init__(self, request: Request, stream: emulated_stream.Stream) -> None:
        self.request = request
        self.stream = stream
        self.due_ms = 0
        self.parts_left = request.parts


class _ClosedStream(typing.NamedTuple):
    until_ms: int
    key: packet.FlowKey
    stream: emulated_stream.Stream


TIME_WAIT_MS: typing.Final = 60_000
_COLD_SPEED_FACTOR: typing.Final = 0.3


class Target:
    """One emulated target.

    Attributes:
        executed: How often each request was begun, by its number.
        work_starts: Every request begun since the owner last cleared the list.
        wrong_service: Number of requests that were meant for another service.
        max_open: Most connections that were open at once.
        outgoing: Packets to callers, which the owner sends and removes.
    """

    def __init__(self, model: Model, now_ms: int, rng: random.Random) -> None:
        """Start a target that accepts connections from now on."""
        self.model = model
        self.executed: collections.Counter[int] = collections.Counter()
        self.work_starts: list[WorkStart] = []
        self.wrong_service = 0
        self.max_open = 0
        self.outgoing: list[bytes] = []
        self._rng = rng
        self._started_ms = now_ms
        self._streams: dict[packet.FlowKey, emulated_stream.Stream] = {}
        self._partial_lines: dict[packet.FlowKey, bytes] = {}
        self._time_wait: collections.deque[_ClosedStream] = collections.deque()
        self._waiting: collections.deque[_Job] = collections.deque()
        self._working: list[_Job] = []
        self._sending: list[_Job] = []

    @property
    def open_flows(self) -> int:
        """Number of open connections."""
        return len(self._partial_lines)

    @property
    def queued_requests(self) -> int:
        """Number of requests that wait for a slot."""
        return len(self._waiting)

    def receive(self, now_ms: int, item: packet.Packet) -> None:
        """Process a packet from a caller."""
        if item.protocol == packet.Protocol.UDP:
            self._on_datagram(now_ms, item)
            return
        key = item.request_key()
        stream = self._streams.get(key)
        if stream is None or (stream.closed and item.opens):
            self._accept(now_ms, item, key)
            return
        stream.receive(now_ms, item)
        self._read(now_ms, key, stream)
        self._collect(now_ms, key, stream)

    def tick(self, now_ms: int) -> None:
        """Finish and start work that is due, send answers and retransmit."""
        self._finish_work(now_ms)
        self._start_work(now_ms)
        self._send_parts(now_ms)
        for key, stream in list(self._streams.items()):
            stream.tick(now_ms)
            self._collect(now_ms, key, stream)
        while self._time_wait and self._time_wait[0].until_ms <= now_ms:
            expired = self._time_wait.popleft()
            if self._streams.get(expired.key) is expired.stream:
                del self._streams[expired.key]

    def _accept(self, now_ms: int, item: packet.Packet, key: packet.FlowKey) -> None:
        full = self.open_flows >= self.model.connections
        if not item.opens or full:
            if not item.resets:
                self.outgoing.append(emulated_stream.reset_for(item))
            return
        initial = self._rng.randrange(1, 2**30)
        stream = emulated_stream.Stream(
            item.destination, item.source, initial, now_ms, item
        )
        self._streams[key] = stream
        self._partial_lines[key] = b""
        self.max_open = max(self.max_open, self.open_flows)
        self._collect(now_ms, key, stream)

    def _read(
        self, now_ms: int, key: packet.FlowKey, stream: emulated_stream.Stream
    ) -> None:
        text = self._partial_lines.get(key, b"") + stream.take()
        *lines, rest = text.split(b"\n")
        self._partial_lines[key] = rest
        for line in lines:
            request = msgspec.json.decode(line, type=Request)
            self._record_start(now_ms, request, key)
            self._waiting.append(_Job(request, stream))

    def _record_start(self, now_ms: int, request: Request, key: packet.FlowKey) -> None:
        self.executed[request.number] += 1
        self.work_starts.append(WorkStart(now_ms, request.number, key))
        if request.service != self.model.service:
            self.wrong_service += 1

    def _on_datagram(self, now_ms: int, item: packet.Packet) -> None:
        data = item.raw[len(item.raw) - item.payload_bytes :]
        request = msgspec.json.decode(data, type=Request)
        # Callers retransmit datagrams and networks duplicate them. A server that
        # accepts non-idempotent requests over UDP must recognise those that it ran.
        if request.number not in self.executed:
            self._record_start(now_ms, request, item.request_key())
        reply = Reply(request.number, self.model.service, self.model.name, 0)
        self.outgoing.append(
            packet.build_udp(item.destination, item.source, msgspec.json.encode(reply))
        )

    def _start_work(self, now_ms: int) -> None:
        while self._waiting and len(self._working) < self.model.slots:
            job = self._waiting.popleft()
            if job.stream.closed:
                continue
            job.due_ms = now_ms + int(job.request.work_ms / self._speed(now_ms))
            self._working.append(job)

    def _speed(self, now_ms: int) -> float:
        if now_ms - self._started_ms < self.model.cold_ms:
            return self.model.speed * _COLD_SPEED_FACTOR
        return self.model.speed

    def _finish_work(self, now_ms: int) -> None:
        done = [job for job in self._working if job.due_ms <= now_ms]
        for job in done:
            self._working.remove(job)
            request = job.request
            total_bytes = request.part_bytes * request.parts
            reply = Reply(
                request.number, self.model.service, self.model.name, total_bytes
            )
            job.stream.send(now_ms, msgspec.json.encode(reply) + b"\n")
            job.due_ms = now_ms
            self._sending.append(job)

    def _send_parts(self, now_ms: int) -> None:
        for job in list(self._sending):
            while job.parts_left and job.due_ms <= now_ms:
                body = job.request.number.to_bytes(8, "big") * (
                    job.request.part_bytes // 8
                )
                job.stream.send(now_ms, body.ljust(job.request.part_bytes, b"."))
                job.parts_left -= 1
                job.due_ms += job.request.part_interval_ms
            if not job.parts_left:
                job.stream.close(now_ms)
                self._sending.remove(job)
            elif job.stream.closed:
                self._sending.remove(job)

    def _collect(
        self, now_ms: int, key: packet.FlowKey, stream: emulated_stream.Stream
    ) -> None:
        self.outgoing += stream.outgoing
        stream.outgoing.clear()
        if stream.closed and self._partial_lines.pop(key, None) is not None:
            # As in TIME_WAIT, the stream is kept for a while, so that a packet that
            # arrives after the last FIN is not answered with a reset.
            until_ms = now_ms + (0 if stream.reset else TIME_WAIT_MS)
            self._time_wait.append(_ClosedStream(until_ms, key, stream))
