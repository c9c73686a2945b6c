"""Stand-in for the servers of one zone, each with an address of its own.

Usage: python3 -m review.standins3.server JSON
"""

import asyncio
import json
import pathlib
import random
import sys
import time
import typing

from review.standins3 import wire

FIRST_RETRY_S: typing.Final = 0.2
MAX_RETRY_S: typing.Final = 1.6
MAX_RETRIES: typing.Final = 8
RESPONSE: typing.Final = b"r" * 600


class _Flow:
    def __init__(self, opening: wire.Packet, isn: int) -> None:
        self.opening = opening
        self.isn = isn
        self.echo = opening.echo
        self.open = False
        self.ended = False
        self.expected = opening.seq + 1
        self.sent = isn + 1
        self.acked = isn + 1
        self.unsent: list[tuple[int, bytes]] = []
        self.retries = 0
        self.timer: asyncio.TimerHandle | None = None
        self.seen_s = time.monotonic()


class Server(asyncio.DatagramProtocol):
    """One server: accepts flows, runs requests, answers consumers directly."""

    def __init__(self, zone: "Zone", name: str, host: str) -> None:
        """Create a server without flows."""
        self.name = name
        self.host = host
        self._zone = zone
        self._token = int(name.partition("-")[2], 16)
        self._flows: dict[tuple[bytes, int], _Flow] = {}
        self._transport: typing.Any = None

    def connection_made(self, transport: typing.Any) -> None:
        """Keep the socket."""
        self._transport = transport

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Handle a datagram of a VM."""
        if int.from_bytes(data[:8], "big") not in (0, self._token):
            return
        if self._zone.lost():
            return
        item = wire.decode(data[8:])
        if item is None:
            self._zone.record("UNASKED", self.name, "", "a packet was changed")
            return
        key = (item.src, item.sport)
        flow = self._flows.get(key)
        if item.flags & wire.SYN:
            self._on_syn(key, flow, item)
        elif flow is None or flow.ended:
            if not item.flags & wire.RST:
                self._on_unknown(flow, item)
        elif item.flags & wire.RST:
            self._close(flow)
        else:
            self._on_packet(flow, item)

    def _on_unknown(self, flow: _Flow | None, item: wire.Packet) -> None:
        if flow is not None and not item.data:
            if item.flags & wire.FIN:
                self._send(item, wire.ACK, item.ack, item.seq + 1, item.echo)
            return
        self._reset(item)

    def _on_syn(
        self, key: tuple[bytes, int], flow: _Flow | None, item: wire.Packet
    ) -> None:
        if flow is None or flow.opening.seq != item.seq:
            flow = self._flows[key] = _Flow(item, random.randrange(1, 2**32))
            self._later(flow)
            self._zone.record("SYN", self.name, _flow_name(item), str(item.ack))
        flow.echo = item.echo
        flow.seen_s = time.monotonic()
        if not flow.open:
            self._answer(flow)

    def _answer(self, flow: _Flow) -> None:
        flags = wire.SYN | wire.ACK
        self._send(flow.opening, flags, flow.isn, flow.opening.seq + 1, flow.echo)

    def _on_packet(self, flow: _Flow, item: wire.Packet) -> None:
        if not flow.open:
            if item.ack != (flow.isn + 1) % wire.MODULUS:
                self._reset(item)
                return
            flow.open = True
            flow.retries = 0
            self._zone.record("OPEN", self.name, _flow_name(item), "")
        flow.echo = item.echo
        flow.seen_s = time.monotonic()
        if wire.after(item.ack, flow.acked) > 0:
            flow.acked = item.ack
            flow.retries = 0
            flow.unsent = [
                (seq, data)
                for seq, data in flow.unsent
                if wire.after(seq + len(data), flow.acked) > 0
            ]
        if item.data and item.seq == flow.expected % wire.MODULUS:
            flow.expected += len(item.data)
            number = item.data.split()[0].decode()
            self._zone.record("RUN", self.name, _flow_name(item), number)
            loop = asyncio.get_running_loop()
            loop.call_later(0.005, self._respond, flow, number)
        if item.data or item.flags & wire.FIN:
            ended = bool(item.flags & wire.FIN)
            self._send(item, wire.ACK, flow.sent, flow.expected + int(ended), flow.echo)
            if ended:
                flags = wire.FIN | wire.ACK
                self._send(item, flags, flow.sent, flow.expected + 1, flow.echo)
                self._close(flow)

    def _respond(self, flow: _Flow, number: str) -> None:
        if flow.ended:
            return
        data = number.encode().ljust(32) + RESPONSE
        flow.unsent.append((flow.sent, data))
        flow.sent += len(data)
        self._send(
            flow.opening,
            wire.ACK,
            flow.unsent[-1][0],
            flow.expected,
            flow.echo,
            data,
        )
        if flow.timer is None:
            self._later(flow)

    def _later(self, flow: _Flow) -> None:
        wait_s = min(MAX_RETRY_S, FIRST_RETRY_S * 2**flow.retries)
        loop = asyncio.get_running_loop()
        flow.timer = loop.call_later(wait_s, self._retry, flow)

    def _retry(self, flow: _Flow) -> None:
        flow.timer = None
        idle = flow.open and not flow.unsent
        if flow.ended or idle or flow.retries >= MAX_RETRIES:
            return
        flow.retries += 1
        if flow.open:
            seq, data = flow.unsent[0]
            self._send(flow.opening, wire.ACK, seq, flow.expected, flow.echo, data)
        else:
            self._answer(flow)
        self._later(flow)

    def _close(self, flow: _Flow) -> None:
        flow.ended = True
        flow.unsent = []

    def _reset(self, item: wire.Packet) -> None:
        self._zone.record("RST", self.name, _flow_name(item), f"echo={item.echo}")
        self._send(item, wire.RST, item.ack, item.seq, item.echo)

    def _send(
        self,
        item: wire.Packet,
        flags: int,
        seq: int,
        ack: int,
        echo: int,
        data: bytes = b"",
    ) -> None:
        if self._zone.lost():
            return
        packet = wire.Packet(
            item.dst, item.dport, item.src, item.sport, flags, seq, ack, echo, data
        )
        address = (".".join(map(str, item.src)), wire.DATA_PORT)
        self._zone.later(self._transport.sendto, wire.encode(packet), address)


def _flow_name(item: wire.Packet) -> str:
    return f"{'.'.join(map(str, item.src))}:{item.sport}"


class Zone:
    """The servers of a zone, their links and their record."""

    def __init__(self, settings: dict[str, typing.Any]) -> None:
        """Create the zone from the settings that the driver gives."""
        self._settings = settings
        self._rng = random.Random(settings["seed"])
        path = pathlib.Path(settings["record"])
        self._file = path.open("a", buffering=1 << 16)

    def lost(self) -> bool:
        """Return whether the link loses the present packet."""
        return self._rng.random() < self._settings["loss"]

    def later(self, call: typing.Callable[..., None], *arguments: typing.Any) -> None:
        """Call a function after the way from a server to a consumer."""
        loop = asyncio.get_running_loop()
        loop.call_later(self._settings["delay_s"], call, *arguments)

    def record(self, kind: str, who: str, flow: str, detail: str) -> None:
        """Append a line to the record."""
        line = f"{time.monotonic():.4f} {kind} {who} {flow} {detail}\n"
        self._file.write(line)

    async def run(self) -> None:
        """Serve until the driver ends the process."""
        loop = asyncio.get_running_loop()
        kept: list[typing.Any] = []
        for name, host in self._settings["servers"].items():
            server = Server(self, name, host)
            kept.append(
                await loop.create_datagram_endpoint(
                    lambda server=server: server, local_addr=(host, wire.SERVER_PORT)
                )
            )
            kept.append(await asyncio.start_server(_health, host, wire.SERVER_PORT))
        while True:
            await asyncio.sleep(0.2)
            self._file.flush()


async def _health(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    try:
        if await reader.readline():
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            await writer.drain()
        writer.close()
    except OSError:
        writer.close()


if __name__ == "__main__":
    asyncio.run(Zone(json.loads(sys.argv[1])).run())
