"""Runs the stand-ins as processes: platform, fabric, targets and callers."""

import json
import random
import time
import typing

import msgspec
from twisted.internet import defer, protocol, task
from twisted.web import server

from eelgrasswick import (
    errors,
    packet,
    rule,
    store,
)
from eelgrasswick.daemons import gateway
from eelgrasswick.emulation import (
    emulated_caller,
    emulated_platform,
    emulated_target,
)

TICK_S: typing.Final = 0.01
POLL_S: typing.Final = 0.3


class Load(typing.NamedTuple):
    """What the callers do.

    Attributes:
        rate_per_s: New flows per second.
        duration_s: For how long new flows begin.
        grace_s: How long to wait for open flows afterwards.
        long_share: Part of the flows that are boards or downloads.
        work_ms: Work of a short request.
        long_parts: Parts of a long answer.
        long_every_ms: Time between those parts.
    """

    rate_per_s: float
    duration_s: float
    grace_s: float
    long_share: float
    work_ms: int
    long_parts: int
    long_every_ms: int


def now_ms() -> int:
    """Return wall-clock time in milliseconds."""
    return time.time_ns() // 1_000_000


def run_platform(reactor: typing.Any, address: packet.Address) -> None:
    """Serve the platform's store on an address."""
    emulated = emulated_platform.EmulatedStore(reactor)
    site = server.Site(emulated_platform.StoreResource(emulated))
    host, _, port = str(address).rpartition(":")
    reactor.listenTCP(int(port), site, interface=host)


class _Socket(protocol.DatagramProtocol):
    def __init__(
        self, receive: typing.Callable[[bytes, tuple[str, int]], None]
    ) -> None:
        self._receive = receive

    def datagramReceived(self, datagram: bytes, addr: tuple[str, int]) -> None:  # noqa: N802
        self._receive(datagram, addr)

    def send(self, payload: bytes, addr: tuple[str, int]) -> None:
        typing.cast(typing.Any, self.transport).write(payload, addr)


def _listen(reactor: typing.Any, address: packet.Address, socket: _Socket) -> None:
    host, _, port = str(address).rpartition(":")
    reactor.listenUDP(int(port), socket, host, 65536)


class VmDirectory:
    """The entry VMs that the fabric knows, polled from the platform's list."""

    def __init__(self, reactor: typing.Any, url: str, rng: random.Random) -> None:
        """Poll a platform."""
        self._reactor = reactor
        self._store = gateway.Gateway(reactor, url, 1000)
        self._rng = rng
        self.addresses: list[tuple[str, int]] = []

    def start(self) -> None:
        """Begin to poll."""
        task.LoopingCall(self._poll).start(POLL_S)

    def choose_address(self) -> tuple[str, int] | None:
        """Return any entry VM's data address."""
        return self._rng.choice(self.addresses) if self.addresses else None

    def _poll(self) -> defer.Deferred[None]:
        done = defer.Deferred.fromCoroutine(self._read())
        return done.addErrback(lambda failure: failure.trap(errors.StoreError) and None)

    async def _read(self) -> None:
        rows = await self._store.read_prefix(store.VMS_PREFIX)
        plain = [json.loads(row.value) for row in rows]
        self.addresses = [
            (item["ip"], item["data_port"]) for item in plain if item["state"] != "gone"
        ]


class Fabric:
    """Hands each packet of a caller to any entry VM."""

    def __init__(
        self,
        reactor: typing.Any,
        spray: VmDirectory,
        inside: packet.Address,
        outside: packet.Address,
    ) -> None:
        """Listen to callers outside and to entry VMs inside."""
        self._spray = spray
        self._outside = _Socket(self._from_caller)
        self._inside = _Socket(self._from_vm)
        self._caller: tuple[str, int] | None = None
        _listen(reactor, outside, self._outside)
        _listen(reactor, inside, self._inside)

    def _from_caller(self, datagram: bytes, addr: tuple[str, int]) -> None:
        self._caller = addr
        vm = self._spray.choose_address()
        if vm is not None:
            self._inside.send(datagram, vm)

    def _from_vm(self, datagram: bytes, addr: tuple[str, int]) -> None:
        if self._caller is not None:
            self._outside.send(datagram, self._caller)


class Targets:
    """All targets of a rules file, in one process, each with its own socket."""

    def __init__(
        self,
        reactor: typing.Any,
        rules: rule.Rules,
        spray: VmDirectory,
        rng: random.Random,
    ) -> None:
        """Start one emulated target per target line; weight/slots is its speed."""
        self._spray = spray
        self._codec = packet.FouCodec()
        self._targets: list[emulated_target.Target] = []
        self._sockets: list[_Socket] = []
        for line in rules.targets:
            model = emulated_target.Model(
                line.name,
                line.service,
                line.slots,
                line.connections,
                line.weight / line.slots,
                0,
            )
            item = emulated_target.Target(model, now_ms(), rng)
            socket = _Socket(self._receiver(item))
            _listen(reactor, line.endpoint, socket)
            self._targets.append(item)
            self._sockets.append(socket)
        task.LoopingCall(self._tick).start(TICK_S)

    def report(self) -> str:
        """Return what the targets ran, as JSON."""
        return json.dumps(
            {
                item.model.name: {
                    "service": item.model.service,
                    "executed": dict(item.executed),
                    "wrong_service": item.wrong_service,
                    "max_open": item.max_open,
                    "open": item.open_flows,
                }
                for item in self._targets
            }
        )

    def _receiver(
        self, item: emulated_target.Target
    ) -> typing.Callable[[bytes, tuple[str, int]], None]:
        def receive(datagram: bytes, addr: tuple[str, int]) -> None:
            item.receive(now_ms(), self._codec.decode(datagram))
            self._flush()

        return receive

    def _tick(self) -> None:
        for item in self._targets:
            item.tick(now_ms())
        self._flush()

    def _flush(self) -> None:
        for item, socket in zip(self._targets, self._sockets, strict=True):
            for payload in item.outgoing:
                vm = self._spray.choose_address()
                if vm is not None:
                    socket.send(payload, vm)
            item.outgoing.clear()


class LoadGenerator:
    """Callers in one process, behind a fabric."""

    def __init__(
        self,
        reactor: typing.Any,
        rules: rule.Rules,
        fabric: packet.Address,
        load: Load,
        rng: random.Random,
    ) -> None:
        """Call the TCP services of a rules file through a fabric."""
        host, _, port = str(fabric).rpartition(":")
        self._fabric = (host, int(port))
        self._load = load
        self._rng = rng
        self._codec = packet.FouCodec()
        self._callers = emulated_caller.Callers(rng)
        self._services = [
            item for item in rules.services if item.protocol == packet.Protocol.TCP
        ]
        self._socket = _Socket(self._receive)
        reactor.listenUDP(0, self._socket, host, 65536)
        self._number = 0
        self._began_ms = now_ms()
        self._due_ms = float(self._began_ms)
        self.done: defer.Deferred[None] = defer.Deferred()
        self._loop = task.LoopingCall(self._tick)
        self._loop.start(TICK_S)

    def report(self) -> str:
        """Return the histories of all flows, as JSON."""
        return msgspec.json.encode(self._callers.records).decode()

    def progress(self) -> str:
        """Return a line for people who watch."""
        ends: dict[str, int] = {}
        for item in self._callers.records:
            ends[item.end.value] = ends.get(item.end.value, 0) + 1
        parts = " ".join(f"{name}={count}" for name, count in sorted(ends.items()))
        return f"called={self._number} open={self._callers.open_flows} {parts}"

    def _receive(self, datagram: bytes, addr: tuple[str, int]) -> None:
        self._callers.receive(now_ms(), self._codec.decode(datagram))
        self._flush()

    def _tick(self) -> None:
        present_ms = now_ms()
        elapsed_s = (present_ms - self._began_ms) / 1000
        while elapsed_s < self._load.duration_s and self._due_ms <= present_ms:
            self._due_ms += self._rng.expovariate(self._load.rate_per_s) * 1000
            self._call(present_ms)
        self._callers.tick(present_ms)
        self._flush()
        over = elapsed_s >= self._load.duration_s + self._load.grace_s
        ended = elapsed_s >= self._load.duration_s and not self._callers.open_flows
        if over or ended:
            self._callers.finish(present_ms)
            self._loop.stop()
            self.done.callback(None)

    def _call(self, present_ms: int) -> None:
        chosen = self._rng.choice(self._services)
        self._number += 1
        long = self._rng.random() < self._load.long_share
        request = emulated_target.Request(
            self._number,
            chosen.name,
            self._load.work_ms,
            4000 if long else 800,
            self._load.long_parts if long else 1,
            self._load.long_every_ms,
        )
        self._callers.call(present_ms, chosen.address, request)

    def _flush(self) -> None:
        for payload in self._callers.outgoing:
            self._socket.send(payload, self._fabric)
        self._callers.outgoing.clear()
