"""A stand-in for consumers, whose packets go through the routers."""

import asyncio
import hashlib
import random
import typing
import zlib

from standins import record, wire

SYN_TIMES_S: typing.Final = (0.0, 0.2, 0.6)
OPEN_TIMEOUT_S: typing.Final = 1.4
TIME_LIMIT_S: typing.Final = 2.5
RETRANSMIT_S: typing.Final = 0.2
MAX_RETRANSMIT_S: typing.Final = 1.6
PROBE_INTERVAL_S: typing.Final = 0.5
PROBE_MISSES: typing.Final = 2

Address = tuple[str, int]


class Vm(typing.NamedTuple):
    """Addresses of an entry VM."""

    name: str
    data: Address
    ready: Address


class Router:
    """The routers of one zone, with the hash policy ``mod``."""

    def __init__(self, log: record.Record, vms: typing.Sequence[Vm]) -> None:
        """Create a router with no VM in rotation."""
        self._log = log
        self._vms = vms
        self._misses = dict.fromkeys((vm.name for vm in vms), PROBE_MISSES)

    async def probe(self) -> None:
        """Probe the readiness of all VMs twice a second, forever."""
        loop = asyncio.get_running_loop()
        while True:
            begun_s = loop.time()
            await asyncio.gather(*(self._probe(vm) for vm in self._vms))
            await asyncio.sleep(max(0.0, begun_s + PROBE_INTERVAL_S - loop.time()))

    async def _probe(self, vm: Vm) -> None:
        before = self.in_rotation(vm)
        try:
            async with asyncio.timeout(PROBE_INTERVAL_S):
                ready = await _is_ready(vm)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            ready = False
        self._misses[vm.name] = 0 if ready else self._misses[vm.name] + 1
        if self.in_rotation(vm) != before:
            self._log.write("rotation", vm=vm.name, joined=int(not before))

    def in_rotation(self, vm: Vm) -> bool:
        """Return whether a VM gets packets."""
        return self._misses[vm.name] < PROBE_MISSES

    @property
    def complete(self) -> bool:
        """Whether all VMs are in rotation."""
        return all(map(self.in_rotation, self._vms))

    def select(self, packet: wire.Packet) -> Vm:
        """Return the VM that gets a packet."""
        ready = [vm for vm in self._vms if self.in_rotation(vm)]
        if len(ready) * 2 < len(self._vms):
            ready = list(self._vms)
        text = f"{packet.src} {packet.sport} {packet.dst} {packet.dport}"
        return ready[zlib.crc32(text.encode()) % len(ready)]


async def _is_ready(vm: Vm) -> bool:
    reader, writer = await asyncio.open_connection(*vm.ready)
    try:
        writer.write(b"GET /api/readyz HTTP/1.1\r\nHost: vm\r\n\r\n")
        head = await reader.readuntil(b"\r\n\r\n")
        return head.split(b" ", 2)[1] == b"200"
    finally:
        writer.close()


class Outcome(typing.NamedTuple):
    """How a consumer attempt ended."""

    request: str
    sent_s: float
    result: str


class ForeignReset(typing.NamedTuple):
    """A reset on an open flow that the flow's server did not send.

    Attributes:
        flow: Name of the flow.
        at_s: When the consumer received it.
        flow_server: Address of the server at which the flow is open.
        sender: Address of the sender of the reset.
        taken_by: Name of the VM that got the consumer's last packet.
    """

    flow: str
    at_s: float
    flow_server: Address
    sender: Address
    taken_by: str


class _Ended(Exception):  # noqa: N818
    """The attempt has ended with a result."""


class _Flow:
    """The consumer's end of a flow."""

    def __init__(self, start: wire.Packet) -> None:
        self.queue: asyncio.Queue[tuple[wire.Packet, Address]] = asyncio.Queue()
        self.start = start
        self.next = start.seq + 1
        self.expected = 0
        self.echo = 0
        self.server: Address | None = None
        self.taken_by = ""

    @property
    def name(self) -> str:
        """The flow's two ends."""
        item = self.start
        return f"{item.src}:{item.sport}>{item.dst}:{item.dport}"


class Consumer(asyncio.DatagramProtocol):
    """Opens flows and sends requests from one address.

    Attributes:
        outcomes: The attempts that have ended.
        foreign_resets: Resets of open flows that others than their server sent.
    """

    def __init__(self, log: record.Record, router: Router, host: str) -> None:
        """Create a consumer; its port is that of the VMs' data sockets."""
        self.outcomes: list[Outcome] = []
        self.foreign_resets: list[ForeignReset] = []
        self._log = log
        self._router = router
        self._host = host
        self._next_port = random.randrange(10_000, 20_000)
        self._flows: dict[int, _Flow] = {}
        self._transport: typing.Any = None

    async def start(self, port: int) -> None:
        """Open the consumer's socket."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, (self._host, port)
        )

    def close(self) -> None:
        """Close the consumer's socket."""
        if self._transport is not None:
            self._transport.close()

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Hand a packet to its flow."""
        item, genuine = wire.decode(data)
        own_reset = item.flags == wire.RST and not item.data
        if not genuine and not own_reset:
            self._log.write("forged_packet", consumer=self._host, packet=item)
            return
        flow = self._flows.get(item.dport)
        if flow is None:
            return
        if not item.flags & wire.RST:
            # Each packet of a flow brings the echo for the packets that follow.
            flow.echo = item.echo
        flow.queue.put_nowait((item, addr))

    async def load(
        self, service: Address, per_s: float, pauses_s: typing.Sequence[float] = ()
    ) -> None:
        """Open flows to a route at a constant rate forever.

        Args:
            service: Address of the route.
            per_s: Flows a second.
            pauses_s: Pauses of a flow between its requests, one request more than
                pauses.
        """
        loop = asyncio.get_running_loop()
        tasks: set[asyncio.Task[None]] = set()
        due_s = loop.time()
        while True:
            tasks.add(asyncio.create_task(self._run_flow(service, pauses_s)))
            tasks = {item for item in tasks if not item.done()}
            due_s += 1 / per_s
            await asyncio.sleep(max(0.0, due_s - loop.time()))

    async def _run_flow(
        self, service: Address, pauses_s: typing.Sequence[float]
    ) -> None:
        self._next_port += 1
        port = self._next_port
        seq = random.randrange(1, 2**31)
        start = wire.Packet(self._host, port, *service, wire.SYN, seq, 0)
        flow = self._flows[port] = _Flow(start)
        served = await self._attempt(flow, f"{self._host}-{port}-1", True)
        for number, pause_s in enumerate(pauses_s, 2):
            if not served:
                break
            await asyncio.sleep(pause_s)
            served = await self._attempt(flow, f"{self._host}-{port}-{number}", False)
        if served:
            self._send(flow, wire.ACK | wire.FIN)
        del self._flows[port]

    async def _attempt(self, flow: _Flow, request: str, first: bool) -> bool:
        sent_s = self._log.elapsed_s()
        self._log.write("request_sent", request=request, flow=flow.name)
        try:
            async with asyncio.timeout(TIME_LIMIT_S):
                if first:
                    await self._open(flow)
                result = await self._request(flow, request)
        except TimeoutError:
            result = "time_limit"
        except _Ended as end:
            result = str(end)
        self.outcomes.append(Outcome(request, sent_s, result))
        self._log.write(
            "request_ended", request=request, result=result, taken_by=flow.taken_by
        )
        return result == "served"

    async def _open(self, flow: _Flow) -> None:
        loop = asyncio.get_running_loop()
        begun_s = loop.time()
        for copy, until_s in enumerate((*SYN_TIMES_S[1:], OPEN_TIMEOUT_S)):
            self._transmit(flow, flow.start._replace(ack=copy))
            left_s = begun_s + until_s - loop.time()
            try:
                item, addr = await asyncio.wait_for(flow.queue.get(), max(0.0, left_s))
            except TimeoutError:
                continue
            if item.flags & wire.RST:
                raise _Ended("refused")
            flow.expected = item.seq + 1
            flow.server = addr
            return
        raise _Ended("not_opened")

    async def _request(self, flow: _Flow, request: str) -> str:
        head = f"GET / HTTP/1.1\r\nHost: x\r\nX-Request-Id: {request}\r\n\r\n"
        data = head.encode()
        seq = flow.next
        flow.next += len(data)
        wait_s = RETRANSMIT_S
        self._send(flow, wire.ACK, seq, data)
        while True:
            try:
                item, addr = await asyncio.wait_for(flow.queue.get(), wait_s)
            except TimeoutError:
                self._send(flow, wire.ACK, seq, data)
                wait_s = min(MAX_RETRANSMIT_S, 2 * wait_s)
                continue
            if item.flags & wire.RST:
                self._record_reset(flow, addr)
                return "reset"
            if item.flags & wire.SYN:
                self._log.write("late_syn_ack", flow=flow.name, sender=addr)
            elif item.data and item.seq == flow.expected:
                flow.expected += len(item.data)
                self._send(flow, wire.ACK)
                return _check(item.data, request)

    def _record_reset(self, flow: _Flow, sender: Address) -> None:
        assert flow.server is not None
        if sender == flow.server:
            return
        reset = ForeignReset(
            flow.name, self._log.elapsed_s(), flow.server, sender, flow.taken_by
        )
        self.foreign_resets.append(reset)
        self._log.write("foreign_reset", **reset._asdict())

    def _send(
        self, flow: _Flow, flags: int, seq: int | None = None, data: bytes = b""
    ) -> None:
        packet = flow.start._replace(
            flags=flags,
            seq=flow.next if seq is None else seq,
            ack=flow.expected,
            echo=flow.echo,
            data=data,
        )
        self._transmit(flow, packet)

    def _transmit(self, flow: _Flow, packet: wire.Packet) -> None:
        vm = self._router.select(packet)
        flow.taken_by = vm.name
        self._transport.sendto(packet.encode(), vm.data)


def _check(received: bytes, request: str) -> str:
    head, _, body = received.partition(b"\r\n\r\n")
    headers = dict(line.split(": ", 1) for line in head.decode().split("\r\n")[1:])
    expected = hashlib.sha256(request.encode()).hexdigest().encode() * 10
    signature = hashlib.sha256(expected + headers["X-Server"].encode()).hexdigest()
    whole = body == expected and headers["X-Server-Signature"] == signature
    return "served" if whole and headers["X-Request-Id"] == request else "mixed"
