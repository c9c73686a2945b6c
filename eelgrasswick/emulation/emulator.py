"""Emulated platform, fabric, targets and callers as processes with sockets."""

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

TICK_INTERVAL_S: typing.Final = 0.01
POLL_INTERVAL_S: typing.Final = 0.3


class Load(typing.NamedTuple):
    """Load that emulated callers generate.

    Attributes:
        rate_per_s: New flows per second.
        duration_s: For how long callers open new flows.
        grace_s: For how long to wait for open flows afterwards.
        long_share: Share of the flows that are live boards or downloads.
        work_ms: Work of a request.
        long_parts: Number of parts of a long answer.
        long_every_ms: Time between two of those parts.
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
    """Serve an emulated store over HTTP on an address."""
    emulated = emulated_platform.EmulatedStore(reactor)
    site = server.Site(emulated_platform.StoreResource(emulated))
    host, _, port = str(address).rpartition(":")
    reactor.listenTCP(int(port), site, interface=host)


class _UdpSocket(protocol.DatagramProtocol):
    def __init__(
        self, receive: typing.Callable[[bytes, tuple[str, int]], None]
    ) -> None:
        self._receive = receive

    def datagramReceived(self, datagram: bytes, addr: tuple[str, int]) -> None:  # noqa: N802
        self._receive(datagram, addr)

    def send(self, payload: bytes, addr: tuple[str, int]) -> None:
        typing.cast(typing.Any, self.transport).write(payload, addr)


def _listen(reactor: typing.Any, address: packet.Address, socket: _UdpSocket) -> None:
    host, _, port = str(address).rpartition(":")
    reactor.listenUDP(int(port), socket, host, 65536)


class VmDirectory:
    """Addresses of the entry VMs, polled from the platform's list.

    Attributes:
        addresses: Data addresses of all VMs that are not gone.
    """

    def __init__(self, reactor: typing.Any, url: str, rng: random.Random) -> None:
        """Create an empty directory.

        Args:
            reactor: The Twisted reactor.
            url: URL of the platform.
            rng: Source of random choices.
        """
        self._reactor = reactor
        self._store = gateway.Gateway(reactor, url, 1000)
        self._rng = rng
        self.addresses: list[tuple[str, int]] = []

    def start(self) -> None:
        """Poll the platform from now on."""
        task.LoopingCall(self._poll).start(POLL_INTERVAL_S)

    def choose_address(self) -> tuple[str, int] | None:
        """Return the data address of a random entry VM; None if there is none."""
        return self._rng.choice(self.addresses) if self.addresses else None

    def _poll(self) -> defer.Deferred[None]:
        done = defer.Deferred.fromCoroutine(self._read())
        return done.addErrback(lambda failure: failure.trap(errors.StoreError) and None)

    async def _read(self) -> None:
        rows = await self._store.read_prefix(store.VMS_PREFIX)
        entries = [json.loads(row.value) for row in rows]
        self.addresses = [
            (item["ip"], item["data_port"])
            for item in entries
            if item["state"] != "gone"
        ]


class Fabric:
    """Forwards each packet of a caller to a random entry VM."""

    def __init__(
        self,
        reactor: typing.Any,
        vms: VmDirectory,
        inside: packet.Address,
        outside: packet.Address,
    ) -> None:
        """Listen on the addresses of the fabric.

        Args:
            reactor: The Twisted reactor.
            vms: The entry VMs.
            inside: Address for packets from entry VMs.
            outside: Address for packets from callers.
        """
        self._vms = vms
        self._outside = _UdpSocket(self._from_caller)
        self._inside = _UdpSocket(self._from_vm)
        self._caller: tuple[str, int] | None = None
        _listen(reactor, outside, self._outside)
        _listen(reactor, inside, self._inside)

    def _from_caller(self, datagram: bytes, addr: tuple[str, int]) -> None:
        self._caller = addr
        vm = self._vms.choose_address()
        if vm is not None:
            self._inside.send(datagram, vm)

    def _from_vm(self, datagram: bytes, addr: tuple[str, int]) -> None:
        if self._caller is not None:
            self._outside.send(datagram, self._caller)


class Targets:
    """All targets of a rules file in one process, each with its own socket."""

    def __init__(
        self,
        reactor: typing.Any,
        rules: rule.Rules,
        vms: VmDirectory,
        rng: random.Random,
    ) -> None:
        """Start one emulated target for each target line; its speed is weight/slots.

        Args:
            reactor: The Twisted reactor.
            rules: The rules.
            vms: The entry VMs, which get the packets of the targets.
            rng: Source of initial sequence numbers.
        """
        self._vms = vms
        self._codec = packet.FouCodec()
        self._targets: list[emulated_target.Target] = []
        self._sockets: list[_UdpSocket] = []
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
            socket = _UdpSocket(self._make_receiver(item))
            _listen(reactor, line.endpoint, socket)
            self._targets.append(item)
            self._sockets.append(socket)
        task.LoopingCall(self._tick).start(TICK_INTERVAL_S)

    def report(self) -> str:
        """Return what each target ran, as JSON."""
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

    def _make_receiver(
        self, item: emulated_target.Target
    ) -> typing.Callable[[bytes, tuple[str, int]], None]:
        def receive(datagram: bytes, addr: tuple[str, int]) -> None:
            item.receive(now_ms(), self._codec.decode(datagram))
            self._send_outgoing()

        return receive

    def _tick(self) -> None:
        for item in self._targets:
            item.tick(now_ms())
        self._send_outgoing()

    def _send_outgoing(self) -> None:
        for item, socket in zip(self._targets, self._sockets, strict=True):
            for payload in item.outgoing:
                vm = self._vms.choose_address()
                if vm is not None:
                    socket.send(payload, vm)
            item.outgoing.clear()


class LoadGenerator:
    """Emulated callers in one process, which send their packets to a fabric.

    Attributes:
        done: Fires when all flows have ended or the grace time is over.
    """

    def __init__(
        self,
        reactor: typing.Any,
        rules: rule.Rules,
        fabric: packet.Address,
        load: Load,
        rng: random.Random,
    ) -> None:
        """Start calls to the TCP services of a rules file.

        Args:
            reactor: The Twisted reactor.
            rules: The rules.
            fabric: Address of the fabric for packets from callers.
            load: Load to generate.
            rng: Source of random choices.
        """
        host, _, port = str(fabric).rpartition(":")
        self._fabric = (host, int(port))
        self._load = load
        self._rng = rng
        self._codec = packet.FouCodec()
        self._callers = emulated_caller.Callers(rng)
        self._services = [
            item for item in rules.services if item.protocol == packet.Protocol.TCP
        ]
        self._socket = _UdpSocket(self._receive)
        reactor.listenUDP(0, self._socket, host, 65536)
        self._request_count = 0
        self._started_ms = now_ms()
        self._next_call_ms = float(self._started_ms)
        self.done: defer.Deferred[None] = defer.Deferred()
        self._loop = task.LoopingCall(self._tick)
        self._loop.start(TICK_INTERVAL_S)

    def report(self) -> str:
        """Return the records of all ended flows, as JSON."""
        return msgspec.json.encode(self._callers.records).decode()

    def progress(self) -> str:
        """Return the numbers of flows so far, in one line."""
        ends: dict[str, int] = {}
        for item in self._callers.records:
            ends[item.end.value] = ends.get(item.end.value, 0) + 1
        counts = " ".join(f"{name}={count}" for name, count in sorted(ends.items()))
        return f"called={self._request_count} open={self._callers.open_flows} {counts}"

    def _receive(self, datagram: bytes, addr: tuple[str, int]) -> None:
        self._callers.receive(now_ms(), self._codec.decode(datagram))
        self._send_outgoing()

    def _tick(self) -> None:
        present_ms = now_ms()
        elapsed_s = (present_ms - self._started_ms) / 1000
        while elapsed_s < self._load.duration_s and self._next_call_ms <= present_ms:
            self._next_call_ms += self._rng.expovariate(self._load.rate_per_s) * 1000
            self._open_flow(present_ms)
        self._callers.tick(present_ms)
        self._send_outgoing()
        timed_out = elapsed_s >= self._load.duration_s + self._load.grace_s
        all_ended = elapsed_s >= self._load.duration_s and not self._callers.open_flows
        if timed_out or all_ended:
            self._callers.finish(present_ms)
            self._loop.stop()
            self.done.callback(None)

    def _open_flow(self, present_ms: int) -> None:
        called = self._rng.choice(self._services)
        self._request_count += 1
        long = self._rng.random() < self._load.long_share
        request = emulated_target.Request(
            self._request_count,
            called.name,
            self._load.work_ms,
            4000 if long else 800,
            self._load.long_parts if long else 1,
            self._load.long_every_ms,
        )
        self._callers.call(present_ms, called.address, request)

    def _send_outgoing(self) -> None:
        for payload in self._callers.outgoing:
            self._socket.send(payload, self._fabric)
        self._callers.outgoing.clear()
