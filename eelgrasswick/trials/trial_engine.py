"""The placement trial on real engines: the design in use, in virtual time.

Callers send the next request when the last one is answered, and repeat it when
no answer comes. Targets answer packets of flows that they hold and reset all
others. Half-way one target drains; at three quarters one VM is killed.
"""

import random
import typing

from eelgrasswick import (
    message,
    packet,
)
from eelgrasswick.decisions import placement
from eelgrasswick.emulation import virtual_fleet
from eelgrasswick.trials import (
    trial_load,
    trial_placement,
)

READY_MS: typing.Final = 20_000.0
SETTLE_MS: typing.Final = 6000.0
LIMIT_MS: typing.Final = 5 * trial_load.LONG_MAX_MS
REPEAT_MS: typing.Final = 400.0
FABRIC_LAG_MS: typing.Final = 1000.0
REQUEST_BYTES: typing.Final = 200
_FABRIC: typing.Final = packet.address("10.255.0.1:6080")
_TARGET_SEQUENCE: typing.Final = 1


class Row(typing.NamedTuple):
    """What the run came to.

    Attributes:
        vms: Entry VMs.
        flows: Flows that callers opened.
        ended: Flows whose caller got every answer.
        refused: Flows that were turned away before anything was sent.
        broken: Flows that were reset.
        doubled: Flows that two targets accepted.
        exception_share: Part of the flows placed off their default target.
        passes: Packets handled by VMs over packets handed to VMs.
        control_bytes_per_flow: Exceptions' bytes sent per flow, no heartbeats.
        control_bytes_per_s: All control bytes sent per VM and second.
        engine_us_per_packet: Processor time of the engines per packet.
        records: Flow records at the end of the load, all VMs.
        hints: Hints at the end of the load, all VMs.
    """

    vms: int
    flows: int
    ended: int
    refused: int
    broken: int
    doubled: int
    exception_share: float
    passes: float
    control_bytes_per_flow: float
    control_bytes_per_s: int
    engine_us_per_packet: float
    records: int
    hints: int


class _Call:
    """One flow as its caller sees it."""

    def __init__(self, flow: trial_load.Flow) -> None:
        self.flow = flow
        self.steps = max(2, len(flow.requests_ms()))
        self.step = 0
        self.broken = False
        self.refused = False
        self.targets: set[packet.Address] = set()

    @property
    def ended(self) -> bool:
        return self.step > self.steps

    @property
    def over(self) -> bool:
        return self.ended or self.broken or self.refused

    def reset(self, item: packet.Packet) -> None:
        # A reset with data is the refusal of a flow that was not placed.
        if self.step == 0 and item.payload_bytes:
            self.refused = True
        elif not self.ended:
            self.broken = True

    def request(self) -> bytes:
        key = self.flow.key
        if self.step == 0:
            return _segment(key, packet.Flags.SYN, 0, 0)
        if self.step == self.steps:
            flags = packet.Flags.FIN | packet.Flags.ACK
            return _segment(key, flags, self.step, 0)
        return _segment(key, packet.Flags.ACK, self.step, REQUEST_BYTES)


class Run:
    """The fleet with its callers and targets."""

    def __init__(self, load: trial_load.Load) -> None:
        """Start the fleet and put the rules in force."""
        self._load = load
        self._rng = random.Random(load.seed)
        self._fleet = virtual_fleet.VirtualFleet(
            load.vms, trial_placement.ZONES, load.seed, policy=_policy(load)
        )
        self._fleet.on_data = self._to_target
        self._fleet.on_fabric = self._to_caller
        self._codec = packet.FouCodec()
        self._spread = list(self._fleet.vms)
        self._calls: dict[packet.FlowKey, _Call] = {}
        self._held: dict[packet.Address, set[packet.FlowKey]] = {}
        self._handed = 0
        targets = trial_placement.TARGETS
        zones = trial_placement.ZONES
        self._text = virtual_fleet.rules_text(1, targets, zones)
        self._fleet.put_rules(virtual_fleet.document(1, self._text))
        assert self._fleet.run_until(self._fleet.ready, READY_MS)
        self._fleet.run(SETTLE_MS)

    def play(self) -> Row:
        """Carry the load and return what it came to."""
        before = self._fleet.traffic()
        cpu_before_ns = sum(vm.cpu_ns for vm in self._fleet.vms)
        span_ms = self._load.duration_s * 1000.0
        for item in trial_load.flows(self._load, warm_up=False):
            self._fleet.call_later(item.at_ms, lambda item=item: self._open(item))  # type: ignore[misc]
        self._fleet.call_later(span_ms / 2, self._drain)
        self._fleet.call_later(span_ms * 3 / 4, self._kill)
        self._fleet.run(span_ms)
        after = self._fleet.traffic()
        cpu_ns = sum(vm.cpu_ns for vm in self._fleet.vms) - cpu_before_ns
        records = sum(len(vm.engine.tables.flows) for vm in self._fleet.vms)
        hints = sum(len(vm.engine.tables.hints) for vm in self._fleet.vms)
        handled = self._handed + self._total(message.Counter.PACKETS_FORWARDED)
        passes = handled / self._handed
        calls = self._calls.values()
        # A round trip lengthens each step, so a flow takes longer than planned.
        self._fleet.run_until(lambda: all(item.over for item in calls), LIMIT_MS)
        each_s = self._load.vms * self._load.duration_s
        placed = self._total(message.Counter.FLOWS_PLACED)
        exceptions = self._total(message.Counter.FLOWS_EXCEPTION)
        entry_bytes = trial_placement.KEEP_BYTES + trial_placement.FORGET_BYTES
        return Row(
            self._load.vms,
            len(calls),
            sum(item.ended for item in calls),
            sum(item.refused for item in calls),
            sum(item.broken for item in calls),
            sum(len(item.targets) > 1 for item in calls),
            round(exceptions / placed, 4),
            round(passes, 3),
            round(exceptions * entry_bytes / len(calls), 2),
            round((after.size_bytes - before.size_bytes) / each_s),
            round(cpu_ns / 1000 / handled, 1),
            records,
            hints,
        )

    def _total(self, counter: message.Counter) -> int:
        return sum(vm.engine.outbox.counts[counter] for vm in self._fleet.vms)

    def _drain(self) -> None:
        text = f"{self._text}drain t6  # asked by a measurement\n"
        self._fleet.put_rules(virtual_fleet.document(2, text))

    def _kill(self) -> None:
        dead = self._fleet.vms[0]
        self._fleet.kill(dead)
        self._fleet.call_later(FABRIC_LAG_MS, lambda: self._spread.remove(dead))

    # Callers.

    def _open(self, item: trial_load.Flow) -> None:
        call = _Call(item)
        self._calls[item.key] = call
        self._send(call, 0)

    def _send(self, call: _Call, step: int) -> None:
        if call.over or call.step != step:
            return
        self._hand(_FABRIC, call.request())
        self._fleet.call_later(REPEAT_MS, lambda: self._send(call, step))

    def _to_caller(self, vm: virtual_fleet.Vm, action: message.SendFabric) -> None:
        self._fleet.call_later(
            self._fleet.draw_delay_ms(), lambda: self._heard(action.payload)
        )

    def _heard(self, payload: bytes) -> None:
        item = self._codec.decode(payload)
        call = self._calls[item.answer_key()]
        if item.resets:
            call.reset(item)
        elif item.acknowledgement == call.step + 1:
            call.step += 1
            step = call.step
            wait_ms = call.flow.every_ms if 1 < step < call.steps else 0.0
            self._fleet.call_later(wait_ms, lambda: self._send(call, step))

    # Targets.

    def _to_target(self, vm: virtual_fleet.Vm, action: message.SendDatagram) -> None:
        self._fleet.call_later(
            self._fleet.draw_delay_ms(),
            lambda: self._serve(action.destination, action.payload),
        )

    def _serve(self, endpoint: packet.Address, payload: bytes) -> None:
        item = self._codec.decode(payload)
        key = item.request_key()
        held = self._held.setdefault(endpoint, set())
        flags = packet.Flags.ACK
        if item.opens:
            held.add(key)
            self._calls[key].targets.add(endpoint)
            flags |= packet.Flags.SYN
        elif key not in held:
            flags = packet.Flags.RST
        elif item.finishes:
            flags |= packet.Flags.FIN
        self._hand(endpoint, _answer(key, flags, item.sequence + 1))

    def _hand(self, source: packet.Address, payload: bytes) -> None:
        vm = self._rng.choice(self._spread)
        event = message.FabricDatagram(source, payload)
        self._fleet.call_later(
            self._fleet.draw_delay_ms(), lambda: self._deliver(vm, event)
        )

    def _deliver(self, vm: virtual_fleet.Vm, event: message.FabricDatagram) -> None:
        self._handed += vm.alive
        self._fleet.feed(vm, event)


def run(load: trial_load.Load) -> Row:
    """Run the trial on engines."""
    return Run(load).play()


def _policy(load: trial_load.Load) -> type[placement.Placement]:
    return placement.BoundedHash if load.learns else virtual_fleet.ClaimedWeightHash


def _segment(key: packet.FlowKey, flags: int, sequence: int, size: int) -> bytes:
    caller = packet.Address(key.caller_ip, key.caller_port)
    address = packet.Address(key.service_ip, key.service_port)
    acknowledged = 0 if flags == packet.Flags.SYN else _TARGET_SEQUENCE + 1
    return packet.build_tcp(caller, address, flags, sequence, acknowledged, bytes(size))


def _answer(key: packet.FlowKey, flags: int, acknowledgement: int) -> bytes:
    caller = packet.Address(key.caller_ip, key.caller_port)
    address = packet.Address(key.service_ip, key.service_port)
    return packet.build_tcp(address, caller, flags, _TARGET_SEQUENCE, acknowledgement)
