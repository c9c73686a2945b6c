"""A stand-in for a target: a server of one service with few work slots.

It speaks TCP through ``emulated_stream`` and UDP. A request is one line of
JSON; the answer is one line of JSON and a body. It knows every request it ran,
so that a bench can find requests that ran twice or at the wrong service.
"""

import collections
import random
import typing

import msgspec

from eelgrasswick import packet
from eelgrasswick.emulation import emulated_stream


class Request(typing.NamedTuple):
    """What a caller asks for.

    Attributes:
        number: Unique over the whole run.
        service: Service the caller meant.
        work_ms: Work on a target of speed 1.
        answer_bytes: Size of each part of the answer.
        parts: Number of parts; more than one makes a live board or download.
        every_ms: Time between parts.
    """

    number: int
    service: str
    work_ms: int
    part_bytes: int
    parts: int
    part_interval_ms: int


class Reply(typing.NamedTuple):
    """The line in front of the answer's body."""

    number: int
    service: str
    target: str
    total_bytes: int


class WorkStart(typing.NamedTuple):
    """A request that a target began to work on.

    Attributes:
        at_ms: When.
        number: Request number.
        flow: The flow on which it came.
    """

    at_ms: int
    number: int
    flow: packet.FlowKey


class Model(typing.NamedTuple):
    """How a target behaves.

    Attributes:
        name: Its name in the rules.
        service: The service it works for.
        slots: Requests it works on at once.
        connections: Open connections it holds; it sheds above.
        speed: Work done per unit of time; 1 is normal.
        cold_ms: After its start it is slow for so long.
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


class _Lingering(typing.NamedTuple):
    until_ms: int
    key: packet.FlowKey
    stream: emulated_stream.Stream


TIME_WAIT_MS: typing.Final = 60_000
_COLD_SPEED: typing.Final = 0.3


class Target:
    """One emulated target.

    Attributes:
        executed: How often each request number was begun.
        begun: Every start of work since the owner last cleared the list.
        wrong_service: Requests that were meant for another service.
        outgoing: Packets to callers; the owner takes them.
    """

    def __init__(self, model: Model, now_ms: int, rng: random.Random) -> None:
        """Start a target that takes connections at once."""
        self.model = model
        self.executed: collections.Counter[int] = collections.Counter()
        self.work_starts: list[WorkStart] = []
        self.wrong_service = 0
        self.max_open = 0
        self.outgoing: list[bytes] = []
        self._rng = rng
        self._started_ms = now_ms
        self._streams: dict[packet.FlowKey, emulated_stream.Stream] = {}
        self._inputs: dict[packet.FlowKey, bytes] = {}
        self._lingering: collections.deque[_Lingering] = collections.deque()
        self._waiting: collections.deque[_Job] = collections.deque()
        self._working: list[_Job] = []
        self._sending: list[_Job] = []

    @property
    def open_flows(self) -> int:
        """Connections that are open now."""
        return len(self._inputs)

    @property
    def queued_requests(self) -> int:
        """Requests that wait for a slot."""
        return len(self._waiting)

    def receive(self, now_ms: int, item: packet.Packet) -> None:
        """Handle a packet from a caller."""
        if item.protocol == packet.Protocol.UDP:
            self._datagram(now_ms, item)
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
        """Do the work that is due."""
        self._finish_work(now_ms)
        self._start_work(now_ms)
        self._send_parts(now_ms)
        for key, stream in list(self._streams.items()):
            stream.tick(now_ms)
            self._collect(now_ms, key, stream)
        while self._lingering and self._lingering[0].until_ms <= now_ms:
            ended = self._lingering.popleft()
            if self._streams.get(ended.key) is ended.stream:
                del self._streams[ended.key]

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
        self._inputs[key] = b""
        self.max_open = max(self.max_open, self.open_flows)
        self._collect(now_ms, key, stream)

    def _read(
        self, now_ms: int, key: packet.FlowKey, stream: emulated_stream.Stream
    ) -> None:
        text = self._inputs.get(key, b"") + stream.take()
        *lines, rest = text.split(b"\n")
        self._inputs[key] = rest
        for line in lines:
            request = msgspec.json.decode(line, type=Request)
            self._note(now_ms, request, key)
            self._waiting.append(_Job(request, stream))

    def _note(self, now_ms: int, request: Request, key: packet.FlowKey) -> None:
        self.executed[request.number] += 1
        self.work_starts.append(WorkStart(now_ms, request.number, key))
        if request.service != self.model.service:
            self.wrong_service += 1

    def _datagram(self, now_ms: int, item: packet.Packet) -> None:
        data = item.raw[len(item.raw) - item.payload_bytes :]
        request = msgspec.json.decode(data, type=Request)
        # Datagrams are repeated by callers and doubled by networks. A server
        # that takes non-idempotent requests over UDP knows the ones it ran.
        if request.number not in self.executed:
            self._note(now_ms, request, item.request_key())
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
            return self.model.speed * _COLD_SPEED
        return self.model.speed

    def _finish_work(self, now_ms: int) -> None:
        done = [job for job in self._working if job.due_ms <= now_ms]
        for job in done:
            self._working.remove(job)
            request = job.request
            total = request.part_bytes * request.parts
            reply = Reply(request.number, self.model.service, self.model.name, total)
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
        if stream.closed and self._inputs.pop(key, None) is not None:
            # As in TIME_WAIT: a packet that was overtaken by the last FIN is
            # no reason for a reset.
            until_ms = now_ms + (0 if stream.reset else TIME_WAIT_MS)
            self._lingering.append(_Lingering(until_ms, key, stream))
