"""A stand-in for a server that follows the users' pages."""

import asyncio
import json
import random
import time
import typing

from eelgrasswick.emulation import packets
from review.standins2 import record, store

HEARTBEAT_S: typing.Final = 0.77
# Unacknowledged packets are sent again after 200 ms; the interval doubles up to 1.6 s,
# and a server gives up after 8 of them.
FIRST_INTERVAL_S: typing.Final = 0.2
MAX_INTERVAL_S: typing.Final = 1.6
MAX_RETRANSMISSIONS: typing.Final = 8

Key = tuple[bytes, int, bytes, int]


class _Flow:
    def __init__(self, first: packets.Packet) -> None:
        self.first = first
        self.initial_sequence = random.randrange(1, 2**31)
        self.echo = first.echo
        self.open = False
        self.expected = first.sequence + 1
        self.sent = self.initial_sequence + 1
        self.acknowledged = self.sent
        self.request = b""
        self.unacknowledged = b""
        self.timer: asyncio.TimerHandle | None = None


class Server(asyncio.DatagramProtocol):
    """Accepts flows, runs requests, and answers consumers directly.

    Attributes:
        name: Its id in the store.
        ran: Ids of the requests that it has run.
        resets: Flows for which it sent a reset.
        opened: Flows that were opened at it.
        packets: Times at which packets of each flow arrived, without opening ones.
    """

    def __init__(
        self,
        name: str,
        service: str,
        zone: str,
        address: tuple[str, int],
        consumer_port: int,
        written: store.Store,
        log: record.Record,
    ) -> None:
        """Create a server that does not listen yet."""
        self.name = name
        self.service = service
        self.zone = zone
        self.address = address
        self.state = "ready"
        self.ran: list[str] = []
        self.resets: set[Key] = set()
        self.opened: dict[Key, float] = {}
        self.packets: dict[Key, list[float]] = {}
        self._consumer_port = consumer_port
        self._store = written
        self._log = log
        self._flows: dict[Key, _Flow] = {}
        self._token = int(name.rpartition("-")[2], 16)
        self._born_ms = time.time_ns() // 1_000_000
        self._udp: asyncio.DatagramTransport | None = None
        self._tcp: asyncio.Server | None = None
        self._beat: asyncio.Task[None] | None = None

    @property
    def key(self) -> str:
        """Its key in the store."""
        return f"servers/{self.name}"

    def holds(self, port: int) -> bool:
        """Return whether the flow from a consumer's port was opened here."""
        return any(key[1] == port for key in self.opened)

    def has_reset(self, port: int) -> bool:
        """Return whether this server has reset the flow from a consumer's port."""
        return any(key[1] == port for key in self.resets)

    def arrivals(self, port: int) -> list[float]:
        """Return when packets of the flow from a consumer's port arrived here."""
        return [
            at for key, times in self.packets.items() for at in times if key[1] == port
        ]

    async def start(self) -> None:
        """Listen, and write the entry to the store."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=self.address)
        self._tcp = await asyncio.start_server(_accept, *self.address)
        self._beat = asyncio.create_task(self._heartbeats())

    def close(self) -> None:
        """End without a word."""
        for item in (self._beat, self._tcp, self._udp):
            if isinstance(item, asyncio.Task):
                item.cancel()
            elif item is not None:
                item.close()
        for flow in self._flows.values():
            _stop(flow)
        self._flows = {}

    def connection_made(self, transport: typing.Any) -> None:
        """Keep the socket."""
        self._udp = transport

    def datagram_received(self, data: bytes, addr: object) -> None:
        """Handle a datagram of an entry VM."""
        if int.from_bytes(data[:8], "big") not in (0, self._token):
            return
        item = packets.decode(data[8:])
        if item is None:
            self._log.write("FORGED", server=self.name)
            return
        key = (item.source, item.source_port, item.destination, item.destination_port)
        flow = self._flows.get(key)
        if item.flags & packets.SYN:
            self._on_syn(key, flow, item)
            return
        self.packets.setdefault(key, []).append(time.monotonic())
        if flow is None or (
            not flow.open and item.acknowledged != flow.initial_sequence + 1
        ):
            # It does not hold a flow that another server has opened.
            if not item.flags & packets.RST:
                self.resets.add(key)
                self._log.write("server_resets", server=self.name, flow=key[1])
                self._send(item, packets.RST, item.acknowledged, 0, b"", 0)
        elif item.flags & packets.RST:
            _stop(flow)
            del self._flows[key]
        else:
            self._on_packet(key, flow, item)

    async def _heartbeats(self) -> None:
        sequence = 0
        while True:
            sequence += 1
            body = {
                "service": self.service,
                "address": f"{self.address[0]}:{self.address[1]}",
                "zone": self.zone,
                "version": "v1",
                "concurrency": 3,
                "state": self.state,
                "cold_remaining_ms": 0,
                "sequence": 1,
                "born": self._born_ms,
            }
            self._store.heartbeat(self.key, json.dumps(body).encode())
            await asyncio.sleep(HEARTBEAT_S)

    def _on_syn(self, key: Key, flow: _Flow | None, item: packets.Packet) -> None:
        self._log.write(
            "syn_arrives", server=self.name, flow=key[1], copy=item.acknowledged
        )
        if flow is None:
            flow = self._flows[key] = _Flow(item)
            self._arm(flow, 0, FIRST_INTERVAL_S)
        flow.echo = item.echo
        self._send_syn_ack(flow)

    def _on_packet(self, key: Key, flow: _Flow, item: packets.Packet) -> None:
        if not flow.open:
            flow.open = True
            self.opened[key] = time.monotonic()
            self._log.write("flow_opens", server=self.name, flow=key[1])
            _stop(flow)
        flow.echo = item.echo or flow.echo
        if flow.acknowledged < item.acknowledged <= flow.sent:
            count = item.acknowledged - flow.acknowledged
            flow.unacknowledged = flow.unacknowledged[count:]
            flow.acknowledged = item.acknowledged
            if not flow.unacknowledged:
                _stop(flow)
        if item.data and item.sequence == flow.expected:
            flow.expected += len(item.data)
            flow.request += item.data
            while b"\r\n\r\n" in flow.request:
                head, _, flow.request = flow.request.partition(b"\r\n\r\n")
                self._run(flow, head)
        if item.flags & packets.FIN:
            self._send(
                item, packets.ACK | packets.FIN, flow.sent, flow.expected + 1, b"", 0
            )
            _stop(flow)
            del self._flows[key]
        elif item.data:
            self._send(
                flow.first, packets.ACK, flow.sent, flow.expected, b"", flow.echo
            )

    def _run(self, flow: _Flow, head: bytes) -> None:
        request = head.partition(b"X-Request-Id: ")[2].partition(b"\r\n")[0].decode()
        self.ran.append(request)
        self._log.write("runs", server=self.name, request=request)
        body = f"{request} by {self.service}\n".encode()
        response = (
            f"HTTP/1.1 200 OK\r\nX-Server-Signature: {self.name}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        ).encode() + body
        asyncio.get_running_loop().call_later(0.02, self._respond, flow, response)

    def _respond(self, flow: _Flow, response: bytes) -> None:
        flow.unacknowledged += response
        self._send_data(flow)
        flow.sent += len(response)
        self._arm(flow, 0, FIRST_INTERVAL_S)

    def _send_data(self, flow: _Flow) -> None:
        self._send(
            flow.first,
            packets.ACK,
            flow.acknowledged,
            flow.expected,
            flow.unacknowledged,
            flow.echo,
        )

    def _send_syn_ack(self, flow: _Flow) -> None:
        flags = packets.SYN | packets.ACK
        self._send(
            flow.first,
            flags,
            flow.initial_sequence,
            flow.first.sequence + 1,
            b"",
            flow.echo,
        )

    def _arm(self, flow: _Flow, number: int, interval_s: float) -> None:
        _stop(flow)
        if number < MAX_RETRANSMISSIONS:
            flow.timer = asyncio.get_running_loop().call_later(
                interval_s, self._retransmit, flow, number, interval_s
            )

    def _retransmit(self, flow: _Flow, number: int, interval_s: float) -> None:
        if flow.open:
            self._send_data(flow)
        else:
            self._send_syn_ack(flow)
        self._arm(flow, number + 1, min(MAX_INTERVAL_S, 2 * interval_s))

    def _send(
        self,
        item: packets.Packet,
        flags: int,
        sequence: int,
        acknowledged: int,
        data: bytes,
        echo: int,
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
        host = ".".join(map(str, item.source))
        if self._udp is not None and not self._udp.is_closing():
            self._udp.sendto(raw, (host, self._consumer_port))


def _stop(flow: _Flow) -> None:
    if flow.timer is not None:
        flow.timer.cancel()
        flow.timer = None


def _accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Accept a status check; entry VMs close it at once."""
    writer.close()
