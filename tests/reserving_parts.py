"""Targets and callers around VMs that reserve capacity, in virtual time."""

import collections
import typing

import pytest

from eelgrasswick.cookie import clock, model, peers, source
from eelgrasswick.platform import segments
from eelgrasswick.reservations import codec, groups, messages
from tests import cookie_parts, reserving_vm

CHECK_MS: typing.Final = 5
TICK_MS: typing.Final = 250
WORK_MS: typing.Final = 40
QUEUE: typing.Final = 8
ANSWER_BYTES: typing.Final = 1000
REFUSAL_BYTES: typing.Final = 60
_TOKEN_BYTES: typing.Final = 8


class _Target:
    def __init__(self, name: str, slots: int) -> None:
        self.name = name
        self.slots = slots
        self.dead = False
        self.working = 0
        self.queue: collections.deque[typing.Callable[[], None]] = collections.deque()
        self.work_ms = WORK_MS


class Datagram(typing.NamedTuple):
    """A datagram between two VMs."""

    at_ms: int
    sender: str
    to: str
    message: messages.Message


class Fleet:
    """VMs, targets and callers.

    Attributes:
        now_ms: The time.
        vms: The VMs by host.
        targets: The targets by name.
        datagrams: All datagrams between VMs.
        delays: Returns the delays in ms of the copies of a datagram; none drops it.
        opened: Targets that received an opening packet, by flow.
        refused: Resets sent to callers, by flow and with their times.
        answered: Times of the answers that callers received, by flow.
        full: Number of requests that full targets rejected.
    """

    def __init__(
        self,
        monkeypatch: pytest.MonkeyPatch,
        zones: typing.Mapping[str, str],
        targets: typing.Mapping[str, str],
        *,
        routes: typing.Iterable[reserving_vm.Route] = reserving_vm.ROUTES,
        **changes: typing.Any,
    ) -> None:
        """Create a fleet.

        Args:
            monkeypatch: Replaces the clock.
            zones: Zones of the VMs by host.
            targets: Zones of the targets by name.
            routes: The routes.
            changes: Changed fields of the rows of all targets.
        """
        self.now_ms = 100_000
        monkeypatch.setattr(clock, "now_ms", lambda: self.now_ms)
        self._events: dict[int, list[typing.Callable[[], None]]] = {}
        self.datagrams: list[Datagram] = []
        self.delays: typing.Callable[[Datagram], typing.Sequence[int]] = _one_ms
        self.opened: dict[model.FlowId, list[str]] = collections.defaultdict(list)
        self.refused: dict[model.FlowId, int] = {}
        self.answered: dict[model.FlowId, int] = {}
        self.full = 0
        self._requests: dict[model.FlowId, int] = {}
        self.rows = [
            reserving_vm.config_row(1, routes),
            *(
                cookie_parts.target_row(name, number, zone=zone, **changes)
                for number, (name, zone) in enumerate(targets.items(), 2)
            ),
        ]
        slots = changes.get("concurrency", 2)
        self.targets = {name: _Target(name, slots) for name in targets}
        self._names = {f"10.128.0.{int(name[-2:], 16)}": name for name in targets}
        self.vms = {
            host: reserving_vm.Vm(host, zone, self.transmit, self.sent)
            for host, zone in zones.items()
        }
        for vm in self.vms.values():
            vm.apply(self.now_ms, *self.rows)
        self.meet()

    def meet(self) -> None:
        """Let all living VMs know each other."""
        for vm in self.vms.values():
            for peer in self.vms.values():
                if peer is not vm and peer.alive:
                    vm.peers.record_contact(self.now_ms, peer.host, peer.zone, True)

    def lose(self, host: str) -> None:
        """Let the membership of all VMs find a VM dead."""
        for vm in self.vms.values():
            for _ in range(peers.MAX_UNANSWERED):
                vm.peers.record_request(host)

    def apply(self, *rows: source.Row) -> None:
        """Apply rows of the store at all VMs."""
        for vm in self.vms.values():
            vm.apply(self.now_ms, *rows)

    def at(self, at_ms: int, event: typing.Callable[[], None]) -> None:
        """Run an event at a time."""
        self._events.setdefault(max(at_ms, self.now_ms), []).append(event)

    def run(self, span_ms: int) -> None:
        """Let time pass."""
        for _ in range(span_ms):
            for event in self._events.pop(self.now_ms, ()):
                event()
            while late := self._events.pop(self.now_ms, None):
                for event in late:
                    event()
            self.now_ms += 1
            for vm in self.vms.values():
                if vm.alive and not vm.frozen:
                    self._periodic(vm)

    def _periodic(self, vm: reserving_vm.Vm) -> None:
        if self.now_ms % CHECK_MS == 0:
            self._check(vm)
        if self.now_ms % TICK_MS == 0:
            vm.replica.confirmed_ms = self.now_ms
            vm.observations.tick(self.now_ms)
            vm.reservations.tick(self.now_ms)

    def _check(self, vm: reserving_vm.Vm) -> None:
        vm.carrier.check_stall()
        if vm.reservations.active:
            vm.reservations.check(self.now_ms)

    def kill(self, vm: reserving_vm.Vm) -> None:
        """End a VM without any goodbye."""
        vm.alive = False

    def freeze(self, vm: reserving_vm.Vm, span_ms: int) -> None:
        """Let a VM stand still; what arrives meanwhile waits in its sockets."""
        vm.frozen = True
        self.at(self.now_ms + span_ms, lambda: self._wake(vm))

    def _wake(self, vm: reserving_vm.Vm) -> None:
        vm.frozen = False
        # The timers of a reactor run before it reads sockets.
        self._check(vm)
        backlog, vm.backlog = vm.backlog, []
        for event in backlog:
            event()

    def _at_vm(self, vm: reserving_vm.Vm, event: typing.Callable[[], None]) -> None:
        if vm.frozen:
            vm.backlog.append(event)
        elif vm.alive:
            event()

    def transmit(self, sender: reserving_vm.Vm, to: str, payload: bytes) -> None:
        """Deliver a datagram between VMs as ``delays`` states."""
        item = Datagram(self.now_ms, sender.host, to, codec.decode(payload))
        self.datagrams.append(item)
        receiver = self.vms[to]
        if receiver.old:
            return

        def handle() -> None:
            receiver.carrier.check_stall()
            receiver.reservations.handle_datagram(self.now_ms, payload, sender.host)

        for delay_ms in self.delays(item):
            self.at(self.now_ms + delay_ms, lambda: self._at_vm(receiver, handle))

    def packet(self, vm: reserving_vm.Vm, raw: bytes) -> None:
        """Deliver a caller's packet to a VM."""
        self._at_vm(vm, lambda: vm.carrier.handle_packet(raw, "100.64.0.7"))

    def open(
        self,
        vm: reserving_vm.Vm,
        port: int,
        *,
        requests: int = 1,
        caller: int = 7,
        route: int = cookie_parts.PORT,
    ) -> model.FlowId:
        """Open a flow of some requests; return its id."""
        raw = reserving_vm.opening(port, 0, caller, route)
        flow = segments.Codec().decode(raw).flow
        self._requests[flow] = requests
        self.packet(vm, raw)
        return flow

    def sent(self, vm: reserving_vm.Vm, raw: bytes, address: model.Address) -> None:
        """Handle a datagram that a VM sent to a target or a caller."""
        name = self._names.get(address.host)
        if name is None:
            self._reset(raw)
            return
        segment = segments.Codec().decode(raw[_TOKEN_BYTES:])
        target = self.targets[name]
        if segment.opening:
            self.opened[segment.flow].append(name)
        if target.dead:
            return
        if segment.opening:
            # The caller's request follows when the target's answer has reached it.
            self._request(vm, segment.flow, segment.cookie, 1, 1)
        elif segment.data_bytes:
            self._work(vm, target, segment)

    def _reset(self, raw: bytes) -> None:
        ip, port = raw[18:22], int.from_bytes(raw[28:30], "big")
        for flow in self._requests:
            if (flow.caller_ip, flow.caller_port) == (ip, port):
                self.refused[flow] = self.now_ms

    def _caller_packet(
        self,
        flow: model.FlowId,
        flags: int,
        sequence: int,
        acknowledged: int,
        cookie: int,
        data: bytes = b"",
    ) -> bytes:
        raw = cookie_parts.packet(
            flags,
            flow.caller_port,
            sequence,
            acknowledged,
            cookie,
            data,
            flow.service_port,
        )
        return raw[:24] + flow.caller_ip + raw[28:]

    def _request(
        self,
        vm: reserving_vm.Vm,
        flow: model.FlowId,
        cookie: int,
        sequence: int,
        received: int,
    ) -> None:
        raw = self._caller_packet(
            flow, cookie_parts.ACK, sequence, received, cookie, b"q" * 100
        )
        self.at(self.now_ms + 2, lambda: self.packet(vm, raw))

    def _work(
        self, vm: reserving_vm.Vm, target: _Target, segment: model.Segment
    ) -> None:
        if target.working < target.slots:
            self._begin(vm, target, segment)
        elif len(target.queue) < QUEUE:
            target.queue.append(lambda: self._begin(vm, target, segment))
        else:
            self.full += 1
            self.at(self.now_ms + 1, lambda: self._answer(vm, segment, REFUSAL_BYTES))

    def _begin(
        self, vm: reserving_vm.Vm, target: _Target, segment: model.Segment
    ) -> None:
        target.working += 1

        def end() -> None:
            target.working -= 1
            self._answer(vm, segment, ANSWER_BYTES)
            if target.queue:
                target.queue.popleft()()

        self.at(self.now_ms + target.work_ms, end)

    def _answer(self, vm: reserving_vm.Vm, segment: model.Segment, size: int) -> None:
        flow = segment.flow
        sequence = segment.sequence + segment.data_bytes
        received = segment.acknowledged + size
        if size == ANSWER_BYTES:
            self.answered[flow] = self.now_ms
        self._requests[flow] -= 1
        last = not self._requests[flow]
        acknowledge = self._caller_packet(
            flow,
            cookie_parts.ACK | (cookie_parts.FIN if last else 0),
            sequence,
            received,
            segment.cookie,
        )
        self.at(self.now_ms + 2, lambda: self.packet(vm, acknowledge))
        if not last:
            self._request(vm, flow, segment.cookie, sequence, received)

    def warm(self, *, requests: int = 1) -> None:
        """Let all VMs see enough flows to know how many requests they carry."""
        for number in range(20):
            for index, vm in enumerate(self.vms.values()):
                port = 20_000 + 100 * index + number
                self.open(vm, port, requests=requests)
                self.run(3 * WORK_MS // 2)
        self.run(requests * 60 + 20)
        self.datagrams.clear()

    def press(self, service: str = "desk") -> None:
        """Notify all VMs that the pools of their zones are under pressure."""
        for number, vm in enumerate(self.vms.values()):
            notice = messages.Pressure(service, vm.zone, self.now_ms + number)
            vm.reservations.handle_datagram(
                self.now_ms, codec.encode(notice), "127.0.0.9"
            )
        self.run(3)

    def load(
        self, interval_ms: float, span_ms: int, *, port: int = 30_000, step: int = 1
    ) -> list[model.FlowId]:
        """Open flows at the VMs in turn for some time; return their ids."""
        flows = []
        vms = [vm for vm in self.vms.values() if vm.alive]
        begin_ms = self.now_ms
        for number in range(int(span_ms / interval_ms)):
            self.run(max(0, begin_ms + int(number * interval_ms) - self.now_ms))
            flows.append(
                self.open(vms[number * step % len(vms)], port + number, caller=number)
            )
        return flows

    def of(self, kind: type[messages.Message]) -> list[Datagram]:
        """Return the datagrams of a kind."""
        return [item for item in self.datagrams if isinstance(item.message, kind)]


def _one_ms(item: Datagram) -> typing.Sequence[int]:
    return (1,)


def scheduler_of(fleet: Fleet, key: str, zone: str = "z1") -> reserving_vm.Vm:
    """Return the VM that schedules a group."""
    hosts = [vm.host for vm in fleet.vms.values() if vm.zone == zone]
    host = groups.scheduler_host(key, hosts)
    assert host is not None
    return fleet.vms[host]
