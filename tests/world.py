"""A fleet of engines in virtual time, with fakes at their interfaces.

This is not a simulator. It consists of one clock, a fake network that delays,
drops, duplicates and cuts datagrams between any two addresses, and the
package's own emulators of targets, callers and the platform.
"""

import collections
import json
import random
import typing

from twisted.internet import defer, task

from eelgrasswick import (
    change,
    config,
    history,
    message,
    packet,
    rule,
    store,
)
from eelgrasswick.daemons import watcher
from eelgrasswick.decisions import placement
from eelgrasswick.emulation import (
    emulated_caller,
    emulated_platform,
    emulated_target,
)
from eelgrasswick.fleet import (
    member,
    peer,
)
from eelgrasswick.homes import engine
from tests import reach, recorder

START_MS = 1_800_000_000_000
STEP_MS = 1
PLATFORM = reach.PLATFORM
CALLERS = "callers"


class Network(typing.NamedTuple):
    """Delay, loss and duplication of datagrams between any two places.

    Attributes:
        delay_ms: Shortest one-way delay.
        jitter_ms: Upper limit of a uniformly distributed delay that is added
            to each datagram. The jitter reorders datagrams.
        loss_share: Share of the datagrams that is lost.
        duplicate_share: Share of the datagrams that arrives twice.
    """

    delay_ms: float = 0.5
    jitter_ms: float = 1.0
    loss_share: float = 0.0
    duplicate_share: float = 0.0


class Vm:
    """One entry VM: its engine, its watcher and the state of its process.

    Attributes:
        engine: Engine of the VM.
        me: Member record with which the VM starts.
        zone: Availability zone of the VM.
        alive: False after the VM is killed or has stopped.
        paused: True while the VM is frozen.
        stopped: True after the VM has left the fleet and stopped by itself.
        sequences_in_force: Sequences of the configurations that the VM has put
            in force, oldest first.
        watcher: Watcher that carries out the VM's calls to the store.
        tick_loop: Loop that feeds ticks to the engine.
        pending_events: Events that arrive while the VM is paused.
    """

    def __init__(self, vm_engine: engine.Engine, me: member.Member, zone: str) -> None:
        """Create a running VM with an engine in a zone."""
        self.engine = vm_engine
        self.me = me
        self.zone = zone
        self.alive = True
        self.paused = False
        self.stopped = False
        self.sequences_in_force: list[int] = []
        self.watcher: watcher.Watcher
        self.tick_loop: task.LoopingCall
        self.pending_events: list[message.Event] = []


class World:
    """A fleet, its targets, its callers and the platform, in virtual time.

    Attributes:
        network: Conditions of the network between all places.
        cuts: Pairs of places that can't reach each other. A place is a zone,
            ``PLATFORM`` or ``CALLERS``.
        one_way_cuts: Pairs of a sending place and a place that receives nothing
            from it.
        logs: All log actions, each with the name of the VM.
        packets_by_vm: Number of packets that the fabric has handed to each VM.
        dead_targets: Names of targets that neither receive nor send.
        recorder: Records the calls and answers of callers, and the packets and
            work of targets.
    """

    def __init__(self, seed: int = 1, network: Network | None = None) -> None:
        """Create a world without VMs or targets; start its emulators' ticks."""
        self.rng = random.Random(seed)
        self.clock = task.Clock()
        self.clock.rightNow = START_MS / 1000
        self.network = network or Network()
        self.cuts: set[frozenset[str]] = set()
        self.one_way_cuts: set[tuple[str, str]] = set()
        self.vms: dict[str, Vm] = {}
        self.targets: dict[str, emulated_target.Target] = {}
        self.logs: list[tuple[str, message.Log]] = []
        self.platform = emulated_platform.EmulatedStore(self.clock)
        self.callers = emulated_caller.Callers(random.Random(seed + 1))
        self.policy: typing.Callable[[], placement.Placement] = placement.BoundedHash
        self.packets_by_vm: collections.Counter[str] = collections.Counter()
        self.dead_targets: set[str] = set()
        self.recorder = recorder.Recorder()
        self._codec = packet.FouCodec()
        self._addresses: dict[packet.Address, tuple[str, str]] = {}
        self._target_zones: dict[str, str] = {}
        self._fabric_vms: list[str] = []
        self._last_request_number = 0
        self._emulator_loop = task.LoopingCall(self._tick_emulators)
        self._emulator_loop.clock = self.clock
        self._emulator_loop.start(0.01)

    # These methods control the virtual time.

    @property
    def now_ms(self) -> int:
        """Virtual time in milliseconds."""
        return round(self.clock.seconds() * 1000)

    def run(self, ms: int) -> None:
        """Advance the virtual time in steps of ``STEP_MS``."""
        for _ in range(ms // STEP_MS):
            self.clock.advance(STEP_MS / 1000)

    def run_until(self, done: typing.Callable[[], bool], limit_ms: int) -> None:
        """Advance the virtual time until a condition holds; fail at a limit."""
        for _ in range(limit_ms // 10):
            if done():
                return
            self.run(10)
        assert done(), f"condition does not hold within {limit_ms} ms"

    def wait(
        self, coroutine: typing.Coroutine[typing.Any, typing.Any, typing.Any]
    ) -> typing.Any:
        """Advance the virtual time until a coroutine ends; return its result."""
        ended: list[typing.Any] = []
        failed: list[typing.Any] = []
        done = defer.Deferred.fromCoroutine(coroutine)
        done.addCallbacks(ended.append, failed.append)
        for _ in range(20_000):
            if ended or failed:
                break
            self.run(1)
        if failed:
            failed[0].raiseException()
        assert ended, "coroutine did not end within 20000 ms"
        return ended[0]

    # These methods start, list, stop and disturb VMs.

    def add_vm(self, name: str, zone: str, size: int = 1, ip: str = "") -> Vm:
        """Start an entry VM; add it to the platform's list and to the fabric."""
        number = len(self.vms) + 1
        me = member.Member(
            name,
            zone,
            ip or f"10.0.{number // 250}.{number % 250 + 1}",
            6081,
            6082,
            size,
            self.now_ms,
            member.MemberState.JOINING,
        )
        seeds = [peer.address_of(item.me) for item in list(self.vms.values())[:3]]
        rng = random.Random(self.rng.random())
        vm_engine = engine.Engine(me, seeds, self._codec, self.policy(), rng)
        vm = Vm(vm_engine, me, zone)
        zone_store = reach.ZoneStore(self.platform, self.cuts, zone)
        vm.watcher = watcher.Watcher(
            self.clock, zone_store, zone, lambda event: self.feed(vm, event), rng
        )
        self.vms[name] = vm
        data = packet.address(f"{me.ip}:6080")
        self._addresses[data] = ("data", name)
        self._addresses[peer.address_of(me)] = ("peer", name)
        self._addresses[packet.address(f"{me.ip}:6082")] = ("link", name)
        self.list_vm(name)
        self._fabric_vms.append(name)
        vm.tick_loop = task.LoopingCall(lambda: self.feed(vm, message.Tick()))
        vm.tick_loop.clock = self.clock
        vm.tick_loop.start(engine.TICK_MS / 1000)
        return vm

    def add_fleet(
        self, count: int, zones: typing.Sequence[str] = ("z1", "z2", "z3")
    ) -> None:
        """Start VMs named vm1, vm2, ... and assign them to zones in turn."""
        for index in range(count):
            self.add_vm(f"vm{index + 1}", zones[index % len(zones)])

    def list_vm(self, name: str) -> None:
        """Add a VM to the platform's list of VMs."""
        me = self.vms[name].me
        value = {
            "zone": me.zone,
            "ip": me.ip,
            "peer_port": me.peer_port,
            "link_port": me.link_port,
        }
        put = store.Put(store.VMS_PREFIX + name, json.dumps(value).encode())
        self.platform.write((), (put,))

    def kill(self, name: str, fabric_lag_ms: int = 1000) -> None:
        """Kill a VM; the fabric stops sending to it after a lag."""
        vm = self.vms[name]
        vm.alive = False
        vm.tick_loop.stop()
        vm.watcher.set_active(False)
        self.clock.callLater(fabric_lag_ms / 1000, self._remove_from_fabric, name)

    def leave(self, name: str, fabric_lag_ms: int = 1000) -> None:
        """Ask a VM to stop; the fabric stops sending to it after a lag."""
        self.feed(self.vms[name], message.Leave())
        self.clock.callLater(fabric_lag_ms / 1000, self._remove_from_fabric, name)

    def pause(self, name: str, ms: int) -> None:
        """Freeze a VM; it handles the newest 2000 events when it resumes."""
        vm = self.vms[name]
        vm.paused = True
        self.clock.callLater(ms / 1000, self._resume, vm)

    def _resume(self, vm: Vm) -> None:
        vm.paused = False
        pending, vm.pending_events = vm.pending_events[-2000:], []
        for event in pending:
            self.feed(vm, event)

    def _remove_from_fabric(self, name: str) -> None:
        if name in self._fabric_vms:
            self._fabric_vms.remove(name)

    def cut(self, *places: str) -> None:
        """Cut off the first place from each of the other places."""
        for other in places[1:]:
            self.cuts.add(frozenset((places[0], other)))

    def heal(self) -> None:
        """Remove all cuts, including those in one direction."""
        self.cuts.clear()
        self.one_way_cuts.clear()

    # These methods change the rules and start the targets that they name.

    def apply(self, text: str, author: str = "test") -> change.Result:
        """Submit rules as an operator and start an emulator for new targets."""
        operator = change.Operator(self.platform, author)
        plan = self.wait(operator.plan(text, self.now_ms))
        result: change.Result = self.wait(operator.submit(plan))
        self.start_targets(text)
        return result

    def start_targets(self, text: str, speeds: dict[str, float] | None = None) -> None:
        """Start an emulated target for each target line that has none yet.

        Args:
            text: Rules text.
            speeds: Speeds by the name of the target. Other targets have the
                speed of their weight divided by their slots.
        """
        for line in rule.parse(text).rules.targets:
            self._target_zones[line.name] = line.zone
            _, former = self._addresses.get(line.endpoint, ("", line.name))
            if former != line.name:
                # The endpoint belongs to another target now, so the former
                # target no longer runs.
                self.dead_targets.add(former)
            self._addresses[line.endpoint] = ("target", line.name)
            if line.name not in self.targets:
                speed = (speeds or {}).get(line.name, line.weight / line.slots)
                model = emulated_target.Model(
                    line.name, line.service, line.slots, line.connections, speed, 0
                )
                self.targets[line.name] = emulated_target.Target(
                    model, self.now_ms, random.Random(self.rng.random())
                )
                self._endpoints[line.name] = line.endpoint

    @property
    def _endpoints(self) -> dict[str, packet.Address]:
        return self.__dict__.setdefault("_endpoint_by_target", {})

    # These methods open flows and evaluate how the flows ended.

    def call(
        self,
        service: str,
        work_ms: int = 10,
        answer_bytes: int = 800,
        parts: int = 1,
        every_ms: int = 100,
        caller: int | None = None,
        port: int | None = None,
    ) -> packet.FlowKey:
        """Open a flow to a named service over the protocol of the service.

        Args:
            service: Name of the service.
            work_ms: Work of the request at a target of speed 1.
            answer_bytes: Size of each part of the answer.
            parts: Number of parts of the answer.
            every_ms: Time between two parts.
            caller: Number of the caller; by default, the emulator selects one.
            port: Port of the caller; by default, the emulator selects one.

        Returns:
            The key of the flow.
        """
        owner = self.config().services[service]
        self._last_request_number += 1
        request = emulated_target.Request(
            self._last_request_number, service, work_ms, answer_bytes, parts, every_ms
        )
        tcp = owner.protocol == packet.Protocol.TCP
        begin = self.callers.call if tcp else self.callers.call_udp
        key = begin(self.now_ms, owner.address, request, caller, port)
        self.recorder.record_call(self.now_ms, self._last_request_number, key, service)
        self._flush_callers()
        return key

    def config(self) -> config.Config:
        """Return the newest configuration that is in force at any VM."""
        present = [
            vm.engine.config_sync.current
            for vm in self.vms.values()
            if vm.engine.config_sync.current is not None
        ]
        return max(present, key=lambda item: item.sequence)

    def histories(self) -> list[emulated_caller.FlowRecord]:
        """Return the histories of the flows that have ended."""
        return self.callers.records

    def count_ends(self) -> collections.Counter[str]:
        """Return the number of ended flows by the value of their end."""
        return collections.Counter(item.end.value for item in self.callers.records)

    def violations(self) -> list[history.Violation]:
        """Check all invariants on the history of the run so far."""
        self.recorder.record_ends(self.callers.records)
        return history.check(self.recorder.history)

    @property
    def wrong_deliveries(self) -> int:
        """Number of packets delivered to a target of a service not called."""
        return len(history.NoWrongService().check(self.recorder.history))

    def executed(self) -> collections.Counter[int]:
        """Return how often targets began each request, by request number."""
        total: collections.Counter[int] = collections.Counter()
        for item in self.targets.values():
            total.update(item.executed)
        return total

    def total(self, counter: message.Counter) -> int:
        """Return the sum of a counter over all VMs."""
        return sum(vm.engine.outbox.counts[counter] for vm in self.vms.values())

    # These methods feed events to VMs and carry packets between the places.

    def feed(self, vm: Vm, event: message.Event) -> None:
        """Feed an event to a VM and carry out the resulting actions.

        A dead VM drops the event. A paused VM queues all events but ticks.
        """
        if not vm.alive:
            return
        if vm.paused:
            if not isinstance(event, message.Tick):
                vm.pending_events.append(event)
            return
        for action in vm.engine.feed(self.now_ms, event):
            self._carry_out(vm, action)
        sequence = vm.engine.config_sync.sequence
        if sequence and (
            not vm.sequences_in_force or vm.sequences_in_force[-1] != sequence
        ):
            vm.sequences_in_force.append(sequence)

    def _carry_out(self, vm: Vm, action: message.Action) -> None:
        match action:
            case message.SendDatagram():
                self._send_datagram(vm.zone, action.destination, vm, action.payload)
            case message.SendFabric():
                if frozenset((vm.zone, CALLERS)) not in self.cuts:
                    self._call_after_delay(self._deliver_to_caller, action.payload)
            case message.SendPeer():
                self._send_datagram(vm.zone, action.destination, vm, action.payload)
            case message.SendLink():
                self._send_link(vm, action)
            case (
                message.WatchStore()
                | message.ReportInForce()
                | message.RepairStore()
                | message.RecordTargetEmpty()
            ):
                vm.watcher.execute(action)
            case message.Log():
                self.logs.append((vm.me.name, action))
            case message.Stopped():
                vm.alive = False
                vm.stopped = True
                if vm.tick_loop.running:
                    vm.tick_loop.stop()
                vm.watcher.set_active(False)
                self._remove_from_fabric(vm.me.name)

    def _send_datagram(
        self, zone: str, destination: packet.Address, sender: Vm, payload: bytes
    ) -> None:
        kind, name = self._addresses.get(destination, ("", ""))
        if kind == "peer":
            receiver = self.vms[name]
            source = peer.address_of(sender.me)
            if not self._is_cut_off(zone, receiver.zone):
                event = message.PeerDatagram(source, payload)
                self._deliver_datagram(lambda: self.feed(receiver, event))
        elif kind == "target" and not self._is_cut_off(zone, self._target_zones[name]):
            self._deliver_datagram(lambda: self._deliver_to_target(name, payload))

    def _send_link(self, vm: Vm, action: message.SendLink) -> None:
        kind, name = self._addresses.get(action.destination, ("", ""))
        if kind != "link" or self._is_cut_off(vm.zone, self.vms[name].zone):
            return
        event = message.LinkReceived(vm.me.name, action.payload)
        receiver = self.vms[name]
        self.clock.callLater(
            self.network.delay_ms * 2 / 1000, lambda: self.feed(receiver, event)
        )

    def _is_cut_off(self, one: str, other: str) -> bool:
        if one == other:
            return False
        return frozenset((one, other)) in self.cuts or (one, other) in self.one_way_cuts

    def _deliver_datagram(self, deliver: typing.Callable[[], None]) -> None:
        if self.rng.random() < self.network.loss_share:
            return
        self._call_after_delay(deliver)
        if self.rng.random() < self.network.duplicate_share:
            self._call_after_delay(deliver)

    def _call_after_delay(
        self, deliver: typing.Callable[..., None], *arguments: typing.Any
    ) -> None:
        delay_ms = self.network.delay_ms + self.rng.random() * self.network.jitter_ms
        self.clock.callLater(delay_ms / 1000, deliver, *arguments)

    def _select_vm(self, place: str) -> Vm | None:
        names = [
            n for n in self._fabric_vms if not self._is_cut_off(place, self.vms[n].zone)
        ]
        if not names:
            return None
        name = self.rng.choice(names)
        self.packets_by_vm[name] += 1
        return self.vms[name]

    def _send_to_fabric(
        self, place: str, source: packet.Address, payload: bytes
    ) -> None:
        vm = self._select_vm(place)
        if vm is not None:
            event = message.FabricDatagram(source, payload)
            self._deliver_datagram(lambda: self.feed(vm, event))

    def _deliver_to_target(self, name: str, payload: bytes) -> None:
        if name in self.dead_targets:
            return
        target = self.targets[name]
        item = self._codec.decode(payload)
        self.recorder.record_delivery(self.now_ms, item, target.model)
        target.receive(self.now_ms, item)
        self.recorder.record_starts(target)
        self._flush_target(name)

    def _deliver_to_caller(self, payload: bytes) -> None:
        refused = packet.refused_flow(payload)
        if refused is not None:
            self.callers.unreachable(self.now_ms, refused)
        else:
            self.callers.receive(self.now_ms, self._codec.decode(payload))
        self._flush_callers()

    def _flush_target(self, name: str) -> None:
        target = self.targets[name]
        outgoing, target.outgoing = target.outgoing, []
        for payload in outgoing:
            self._send_to_fabric(
                self._target_zones[name], self._endpoints[name], payload
            )

    def _flush_callers(self) -> None:
        outgoing, self.callers.outgoing = self.callers.outgoing, []
        for payload in outgoing:
            self.recorder.record_opening(self._codec.decode(payload))
            self._send_to_fabric(CALLERS, packet.address("10.255.0.1:6080"), payload)

    def _tick_emulators(self) -> None:
        for name, target in self.targets.items():
            if name not in self.dead_targets:
                target.tick(self.now_ms)
                self._flush_target(name)
        self.callers.tick(self.now_ms)
        self._flush_callers()
