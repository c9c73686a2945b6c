"""A stand-in for consumers, and for the routers of their zone."""

import asyncio
import contextlib
import random
import socket
import time
import typing
import zlib

from eelgrasswick.emulation import packets
from review.standins2 import record

SYN_TIMES_S: typing.Final = (0.0, 0.2, 0.6)
OPEN_TIMEOUT_S: typing.Final = 1.4
FIRST_INTERVAL_S: typing.Final = 0.2
MAX_INTERVAL_S: typing.Final = 1.6
REQUEST_TIMEOUT_S: typing.Final = 2.5
PROBE_INTERVAL_S: typing.Final = 0.5
# One way between consumers and the platform.
DELAY_S: typing.Final = 0.001
READY_REQUEST: typing.Final = b"GET /api/readyz HTTP/1.1\r\nHost: vm\r\n\r\n"


class Router:
    """Sends packets to the VMs of a zone that are in rotation.

    Attributes:
        rotation: IP addresses of these VMs.
    """

    def __init__(self, hosts: typing.Sequence[str], ready_port: int) -> None:
        """Create a router whose rotation is empty until the first probes."""
        self.rotation: list[str] = []
        self._hosts = list(hosts)
        self._ready_port = ready_port
        self._misses = dict.fromkeys(hosts, 2)

    async def run(self) -> None:
        """Probe the VMs twice a second."""
        while True:
            results = await asyncio.gather(*map(self._probe, self._hosts))
            for host, ready in zip(self._hosts, results, strict=True):
                self._misses[host] = 0 if ready else self._misses[host] + 1
            rotation = [host for host in self._hosts if self._misses[host] < 2]
            if 2 * len(rotation) < len(self._hosts):
                rotation = list(self._hosts)
            self.rotation = rotation
            await asyncio.sleep(PROBE_INTERVAL_S)

    @property
    def all_ready(self) -> bool:
        """True while all VMs answer with 200."""
        return not any(self._misses.values())

    def select(self, host: str, port: int) -> str:
        """Return the VM for packets of a consumer's address and port."""
        return self.rotation[zlib.crc32(f"{host}:{port}".encode()) % len(self.rotation)]

    async def _probe(self, host: str) -> bool:
        writer = None
        try:
            async with asyncio.timeout(0.4):
                reader, writer = await asyncio.open_connection(host, self._ready_port)
                writer.write(READY_REQUEST)
                line = await reader.readline()
                return b" 200 " in line
        except (OSError, TimeoutError):
            return False
        finally:
            if writer is not None:
                writer.close()


class Flow:
    """The consumer's end of a flow.

    Attributes:
        port: Source port.
        outcome: ``open``, ``reset by VM``, ``reset by server`` or ``lost``.
        answered: Ids of the requests that were answered with a whole response.
    """

    def __init__(self, owner: "Consumer", port: int, service: tuple[str, int]) -> None:
        """Create a flow that is not open."""
        self.port = port
        self.outcome = ""
        self.answered: list[str] = []
        self.answered_by: dict[str, str] = {}
        self.loses = False
        self.lose_syn_acks = 0
        self.opened = asyncio.Event()
        self.response = asyncio.Event()
        self.syn_acks: list[int] = []
        self.first_syn_s = 0.0
        # Keeps the coroutine that uses the flow from being collected.
        self.task: asyncio.Task[None] | None = None
        self._owner = owner
        self._service = service
        self._echo = 0
        self._sequence = random.randrange(1, 2**31)
        self._expected = 0
        self._received = b""

    async def open(self) -> bool:
        """Open the flow; return whether it is open."""
        begun_s = self.first_syn_s = time.monotonic()
        for number, at_s in enumerate(SYN_TIMES_S):
            await self._wait(self.opened, begun_s + at_s - time.monotonic())
            if self.outcome:
                return self.outcome == "open"
            self._owner.log.write("syn", flow=self.port, copy=number)
            self._send(packets.SYN, self._sequence, number, b"")
        await self._wait(self.opened, begun_s + OPEN_TIMEOUT_S - time.monotonic())
        self.outcome = self.outcome or "lost"
        return self.outcome == "open"

    async def request(self, name: str) -> bool:
        """Send a request; return whether it was answered."""
        head = f"GET / HTTP/1.1\r\nHost: s\r\nX-Request-Id: {name}\r\n\r\n".encode()
        self.response.clear()
        self._received = b""
        start = self._sequence
        self._sequence += len(head)
        end_s = time.monotonic() + REQUEST_TIMEOUT_S
        interval_s = FIRST_INTERVAL_S
        self._owner.log.write("request", flow=self.port, id=name, echo=self._echo)
        while time.monotonic() < end_s and self.outcome == "open":
            self._send(packets.ACK, start, self._expected, head)
            left_s = end_s - time.monotonic()
            await self._wait(self.response, min(interval_s, left_s))
            interval_s = min(MAX_INTERVAL_S, 2 * interval_s)
            if self.response.is_set() and self.outcome == "open":
                return self._check_answer(name)
        self._owner.log.write("no_answer", flow=self.port, id=name, why=self.outcome)
        return False

    def close(self) -> None:
        """Close the flow."""
        if self.outcome == "open":
            flags = packets.FIN | packets.ACK
            self._send(flags, self._sequence, self._expected, b"")
            self.outcome = "closed"

    def receive(self, item: packets.Packet) -> None:
        """Handle a packet."""
        if item.flags & packets.SYN:
            if self.lose_syn_acks:
                # The network has lost this datagram.
                self.lose_syn_acks -= 1
                self._owner.log.write("datagram_lost", flow=self.port, kind="SYN+ACK")
                return
            self.syn_acks.append(item.sequence)
        self._echo = item.echo or self._echo
        if item.flags & packets.RST:
            self._on_reset(item)
        elif item.flags & packets.SYN:
            if not self.outcome:
                self.outcome = "open"
                self._sequence += 1
                self._expected = item.sequence + 1
                self._send(packets.ACK, self._sequence, self._expected, b"")
                self.opened.set()
        elif item.data:
            if item.sequence == self._expected:
                self._expected += len(item.data)
                self._received += item.data
            self._send(packets.ACK, self._sequence, self._expected, b"")
            if self._complete():
                self.response.set()

    def _on_reset(self, item: packets.Packet) -> None:
        if self.outcome not in ("", "open"):
            return
        by_vm = item.without_checksum
        before = "open" if self.outcome == "open" else "unopened"
        if by_vm and before == "open" and abs(item.sequence - self._expected) > 76_800:
            return
        self.outcome = "reset by VM" if by_vm else "reset by server"
        self._owner.log.write(
            "consumer_gets_reset", flow=self.port, by=self.outcome[9:], flow_was=before
        )
        self.opened.set()
        self.response.set()

    def _complete(self) -> bool:
        head, end, body = self._received.partition(b"\r\n\r\n")
        length = int(head.partition(b"Content-Length: ")[2] or b"0") if end else 0
        return bool(end) and len(body) >= length

    def _check_answer(self, name: str) -> bool:
        signer = self._received.partition(b"Signature: ")[2].partition(b"\r\n")[0]
        body = self._received.partition(b"\r\n\r\n")[2].decode()
        self.answered.append(name)
        self.answered_by[name] = signer.decode()
        self._owner.log.write("answered", id=name, by=signer.decode())
        if not body.startswith(f"{name} by "):
            self._owner.log.write("FOREIGN_ANSWER", id=name, body=body.strip())
        return True

    def _send(self, flags: int, sequence: int, acknowledged: int, data: bytes) -> None:
        item = packets.Packet(
            socket.inet_aton(self._owner.host),
            self.port,
            socket.inet_aton(self._service[0]),
            self._service[1],
            flags,
            sequence,
            acknowledged,
            0 if flags & packets.SYN else self._echo,
            data,
        )
        self._owner.send(packets.encode(item), self.port)

    async def _wait(self, event: asyncio.Event, wait_s: float) -> None:
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(event.wait(), max(0.0, wait_s))


class Consumer(asyncio.DatagramProtocol):
    """All flows of one consumer's address."""

    def __init__(
        self,
        host: str,
        data_port: int,
        router: Router,
        log: record.Record,
        first_port: int,
    ) -> None:
        """Create a consumer that does not listen yet.

        Args:
            host: Its IP address.
            data_port: Port at which VMs and consumers receive packets.
            router: The router of its zone.
            log: The record of the case.
            first_port: Its flows have source ports above this one.
        """
        self.host = host
        self.log = log
        self.flows: dict[int, Flow] = {}
        self._data_port = data_port
        self._router = router
        self._udp: asyncio.DatagramTransport | None = None
        self._next_port = first_port

    async def start(self) -> None:
        """Open the socket."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self, local_addr=(self.host, self._data_port)
        )

    def close(self) -> None:
        """Close the socket."""
        if self._udp is not None:
            self._udp.close()

    def flow(self, service: tuple[str, int]) -> Flow:
        """Return a new flow from a port that was not used before."""
        self._next_port += 1
        found = self.flows[self._next_port] = Flow(self, self._next_port, service)
        return found

    def vm_of(self, flow: Flow) -> str:
        """Return the VM that gets the packets of a flow now."""
        return self._router.select(self.host, flow.port)

    def send(self, raw: bytes, port: int) -> None:
        """Send a packet through the routers."""
        if self._udp is not None and self._router.rotation:
            vm = self._router.select(self.host, port)
            asyncio.get_running_loop().call_later(DELAY_S, self._send_now, raw, vm)

    def _send_now(self, raw: bytes, vm: str) -> None:
        if self._udp is not None and not self._udp.is_closing():
            self._udp.sendto(raw, (vm, self._data_port))

    def connection_made(self, transport: typing.Any) -> None:
        """Keep the socket."""
        self._udp = transport

    def datagram_received(self, data: bytes, addr: object) -> None:
        """Hand a packet to its flow after the delay of the network."""
        asyncio.get_running_loop().call_later(DELAY_S, self._deliver, data)

    def _deliver(self, data: bytes) -> None:
        item = packets.decode(data)
        if item is None:
            self.log.write("BAD_PACKET", consumer=self.host)
            return
        flow = self.flows.get(item.destination_port)
        if flow is not None:
            flow.receive(item)
