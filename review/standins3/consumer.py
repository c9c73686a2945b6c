"""Stand-in for the consumers of one zone and for the router before its VMs.

Usage: python3 -m review.standins3.consumer JSON
"""

import asyncio
import json
import pathlib
import random
import sys
import time
import typing
import zlib

from review.standins3 import wire

COPIES_S: typing.Final = (0.2, 0.6)
OPEN_LIMIT_S: typing.Final = 1.4
FIRST_RETRY_S: typing.Final = 0.2
MAX_RETRY_S: typing.Final = 1.6
REQUEST_LIMIT_S: typing.Final = 2.5
RESET_WINDOW: typing.Final = 76_800
FIRST_PORT: typing.Final = 10_000


class Flow:
    """The consumer's end of a flow, with one request after the other."""

    def __init__(self, zone: "Zone", port: int) -> None:
        """Create a flow, and send its opening packet."""
        self._zone = zone
        self._port = port
        self._isn = random.randrange(1, 2**32)
        self._sent = self._isn + 1
        self._acked = self._isn + 1
        self._received = 0
        self._echo = 0
        self._state = "opening"
        self._request = b""
        self._requests = 0
        self._retries = 0
        self._timer: asyncio.TimerHandle | None = None
        self._limit: asyncio.TimerHandle | None = None
        loop = asyncio.get_running_loop()
        self._openings = [
            loop.call_later(at_s, self._open, number + 1)
            for number, at_s in enumerate(COPIES_S)
        ]
        self._openings.append(loop.call_later(OPEN_LIMIT_S, self._end, "UNOPENED", ""))
        self._open(0)

    def _open(self, copy: int) -> None:
        self._send(wire.SYN, self._isn, copy)

    def receive(self, item: wire.Packet, host: str) -> None:
        """Handle a packet from a server or a VM."""
        if item.flags & wire.RST:
            self._on_reset(item, host)
        elif item.flags & wire.SYN:
            self._on_answer(item, host)
        elif self._state != "opening":
            self._echo = item.echo
            self._on_packet(item)

    def _on_reset(self, item: wire.Packet, host: str) -> None:
        if self._state == "opening":
            self._end("REFUSED", host)
            return
        if item.own_reset and abs(wire.after(item.seq, self._received)) > RESET_WINDOW:
            return
        self._end("RESET", f"{host} echo={self._echo}")

    def _on_answer(self, item: wire.Packet, host: str) -> None:
        if item.ack != (self._isn + 1) % wire.MODULUS:
            return
        self._echo = item.echo
        if self._state != "opening":
            if item.seq + 1 == self._received:
                self._send(wire.ACK, self._sent, self._received)
            return
        for item_timer in self._openings:
            item_timer.cancel()
        self._state = "open"
        self._received = item.seq + 1
        self._zone.record("OPENED", self._port, host)
        self._send(wire.ACK, self._sent, self._received)
        self._begin_request()

    def _begin_request(self) -> None:
        if self._state != "open":
            return
        self._requests += 1
        number = f"{self._zone.host}:{self._port}/{self._requests}"
        self._request = number.encode().ljust(300)
        self._retries = 0
        loop = asyncio.get_running_loop()
        self._limit = loop.call_later(REQUEST_LIMIT_S, self._end, "LOST", number)
        self._send_request()

    def _send_request(self) -> None:
        if self._state != "open" or not self._request:
            return
        self._send(wire.ACK, self._sent, self._received, self._request)
        wait_s = min(MAX_RETRY_S, FIRST_RETRY_S * 2**self._retries)
        self._retries += 1
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(wait_s, self._send_request)

    def _on_packet(self, item: wire.Packet) -> None:
        if self._request and item.ack == (self._sent + len(self._request)) % (
            wire.MODULUS
        ):
            self._sent += len(self._request)
            self._request = b""
            if self._timer is not None:
                self._timer.cancel()
        if item.data and item.seq == self._received % wire.MODULUS:
            self._received += len(item.data)
            self._on_response(item.data)
        if item.data:
            self._send(wire.ACK, self._sent, self._received)

    def _on_response(self, data: bytes) -> None:
        number = f"{self._zone.host}:{self._port}/{self._requests}"
        if data[:32].strip() != number.encode():
            self._zone.record("MIXED", self._port, number)
        self._zone.counts["answered"] += 1
        if self._limit is not None:
            self._limit.cancel()
        loop = asyncio.get_running_loop()
        pauses_s = self._zone.settings["pauses_s"]
        if self._requests <= len(pauses_s):
            wait_s = pauses_s[self._requests - 1] * random.uniform(0.5, 1.5)
            loop.call_later(wait_s, self._begin_request)
            return
        loop.call_later(0.002, self._finish)

    def _finish(self) -> None:
        if self._state == "open":
            self._send(wire.FIN | wire.ACK, self._sent, self._received)
            self._end("", "")

    def _end(self, kind: str, detail: str) -> None:
        self._state = "ended"
        for item in (*self._openings, self._timer, self._limit):
            if item is not None:
                item.cancel()
        self._zone.end(self._port, kind, detail)

    def _send(self, flags: int, seq: int, ack: int, data: bytes = b"") -> None:
        packet = wire.Packet(
            self._zone.address,
            self._port,
            wire.SERVICE_IP,
            wire.SERVICE_PORT,
            flags,
            seq,
            ack,
            self._echo,
            data,
        )
        self._zone.send(packet)


class Zone(asyncio.DatagramProtocol):
    """The consumers of a zone, and the router that spreads their packets."""

    def __init__(self, settings: dict[str, typing.Any]) -> None:
        """Create the zone from the settings that the driver gives."""
        self.settings = settings
        self.host = settings["host"]
        self.address = bytes(map(int, self.host.split(".")))
        self.counts = {"answered": 0, "flows": 0}
        self._rng = random.Random(settings["seed"])
        path = pathlib.Path(settings["record"])
        self._file = path.open("a", buffering=1 << 16)
        self._flows: dict[int, Flow] = {}
        self._rotation: list[str] = settings["vms"]
        self._port = FIRST_PORT
        self._transport: typing.Any = None
        self._begun_s = 0.0
        self._departure_s = 0.0

    def connection_made(self, transport: typing.Any) -> None:
        """Keep the socket of the consumers."""
        self._transport = transport

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Pass a packet to its flow."""
        item = wire.decode(data)
        if item is None:
            self.record("MIXED", 0, f"a changed packet from {addr[0]}")
            return
        flow = self._flows.get(item.dport)
        if flow is not None:
            flow.receive(item, addr[0])

    def send(self, packet: wire.Packet) -> None:
        """Send a packet through the router after the way to it."""
        if self._rng.random() < self.settings["loss"]:
            return
        loop = asyncio.get_running_loop()
        loop.call_later(self.settings["delay_s"], self._route, packet)

    def _route(self, packet: wire.Packet) -> None:
        key = f"{packet.src!r}{packet.sport}{packet.dst!r}{packet.dport}"
        vm = self._rotation[zlib.crc32(key.encode()) % len(self._rotation)]
        raw = wire.encode(packet)
        loop = asyncio.get_running_loop()
        now_s = loop.time()
        if vm != self.settings.get("slow_vm"):
            self._transport.sendto(raw, (vm, wire.DATA_PORT))
            return
        # The queue of this VM's link keeps the order of the packets.
        phase_s = (now_s - self._begun_s) % self.settings["slow_period_s"]
        slow = phase_s < self.settings["slow_for_s"]
        wait_s = self.settings["slow_s"] if slow else 0.0
        self._departure_s = max(now_s + wait_s, self._departure_s)
        address = (vm, wire.DATA_PORT)
        loop.call_at(self._departure_s, self._transport.sendto, raw, address)

    def record(self, kind: str, port: int, detail: str) -> None:
        """Append a line to the record."""
        line = f"{time.monotonic():.4f} {kind} consumer {self.host}:{port} {detail}\n"
        self._file.write(line)

    def end(self, port: int, kind: str, detail: str) -> None:
        """Forget a flow, and record how it ended unless it ended whole."""
        self._flows.pop(port, None)
        if kind:
            self.record(kind, port, detail)

    async def run(self) -> None:
        """Open flows until the end of the load, then wait for the last ones."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self, local_addr=(self.host, wire.DATA_PORT)
        )
        control = await loop.create_datagram_endpoint(
            lambda: Control(self), local_addr=(self.host, wire.CONTROL_PORT)
        )
        self._begun_s = loop.time()
        opened = 0
        while (elapsed_s := loop.time() - self._begun_s) < self.settings["load_s"]:
            while opened < elapsed_s * self.settings["flows_per_s"]:
                opened += 1
                self._open_flow()
            await asyncio.sleep(0.004)
        await asyncio.sleep(7.0)
        control[0].close()
        self.counts["flows"] = opened
        self.record("COUNTS", 0, json.dumps(self.counts))
        self._file.close()

    def _open_flow(self) -> None:
        while self._port in self._flows:
            self._port += 1
        self._flows[self._port] = Flow(self, self._port)
        self._port += 1
        if self._port > 65_000:
            self._port = FIRST_PORT

    def set_rotation(self, vms: list[str]) -> None:
        """Spread packets over these VMs from now on."""
        self._rotation = vms


class Control(asyncio.DatagramProtocol):
    """Receives the rotation from the driver."""

    def __init__(self, zone: Zone) -> None:
        """Create the receiver of a zone."""
        self._zone = zone

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Adopt the rotation."""
        self._zone.set_rotation(json.loads(data))


if __name__ == "__main__":
    asyncio.run(Zone(json.loads(sys.argv[1])).run())
