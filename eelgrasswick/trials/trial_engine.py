"""The placement trial on real engines, with the present design, in virtual time.

Callers send the next request when the previous one is answered, and retransmit
a request that is not answered. Targets answer packets of flows that they
accepted and reset all others. One target drains at half the trial's duration;
one VM is killed at three quarters.
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

READY_TIMEOUT_MS: typing.Final = 20_000.0
SETTLE_MS: typing.Final = 6000.0
END_TIMEOUT_MS: typing.Final = 5 * trial_load.LONG_MAX_MS
RETRANSMIT_MS: typing.Final = 400.0
FABRIC_DETECTION_MS: typing.Final = 1000.0
REQUEST_BYTES: typing.Final = 200
_FABRIC_ADDRESS: typing.Final = packet.address("10.255.0.1:6080")
_TARGET_SEQUENCE: typing.Final = 1


class Row(typing.NamedTuple):
    """Results of one run.

    Attributes:
        vms: Entry VMs.
        flows: Flows that callers opened.
        ended: Flows whose caller received every answer.
        refused: Flows that were refused before the caller sent a request.
        broken: Flows that were reset before they ended, except for refusals.
        doubled: Flows that more than one target accepted.
        exception_share: Share of flows placed on another target than their
            default target.
        passes: Packets processed by VMs, as a multiple of the packets that
            entered the fleet from outside.
        control_bytes_per_flow: Control bytes sent per flow for exceptions,
            without heartbeats.
        control_bytes_per_s: All control bytes sent per VM and second.
        engine_us_per_packet: Processor time of the engines per packet.
        records: Flow records of all VMs at the end of the load.
        hints: Hints of all VMs at the end of the load.
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


class _Caller:
    """A caller and the state of its one flow."""

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
    def finished(self) -> bool:
        return self.ended or self.broken or self.refused

    def reset(self, item: packet.Packet) -> None:
        # A reset with a payload refuses a flow that was not placed on a target.
        if self.step == 0 and item.payload_bytes:
            self.refused = True
        elif not self.ended:
            self.broken = True

    def request(self) -> bytes:
        key = self.flow.key
        if self.step == 0:
            return _caller_packet(key, packet.Flags.SYN, 0, 0)
        if self.step == self.steps:
            flags = packet.Flags.FIN | packet.Flags.ACK
            return _caller_packet(key, flags, self.step, 0)
        return _caller_packet(key, packet.Flags.ACK, self.step, REQUEST_BYTES)


class EngineTrial:
    """A fleet of engines with its callers and targets."""

    def __init__(self, load: trial_load.Load) -> None:
        """Start the fleet, put the rules in force and wait until all VMs serve."""
        self._load = load
        self._rng = random.Random(load.seed)
        self._fleet = virtual_fleet.VirtualFleet(
            load.vms, trial_placement.ZONES, load.seed, policy=_policy(load)
        )
        self._fleet.on_data = self._to_target
        self._fleet.on_fabric = self._to_caller
        self._codec = packet.FouCodec()
        self._routed_vms = list(self._fleet.vms)
        self._callers: dict[packet.FlowKey, _Caller] = {}
        self._accepted: dict[packet.Address, set[packet.FlowKey]] = {}
        self._delivered = 0
        targets = trial_placement.TARGETS
        zones = trial_placement.ZONES
        self._text = virtual_fleet.rules_text(1, targets, zones)
        self._fleet.put_rules(virtual_fleet.document(1, self._text))
        assert self._fleet.run_until(self._fleet.ready, READY_TIMEOUT_MS)
        self._fleet.run(SETTLE_MS)

    def play(self) -> Row:
        """Run the load and return the results."""
        before = self._fleet.traffic()
        cpu_before_ns = sum(vm.cpu_ns for vm in self._fleet.vms)
        span_ms = self._load.duration_s * 1000.0
        for item in trial_load.generate_flows(self._load, warm_up=False):
            self._fleet.call_later(item.at_ms, lambda item=item: self._open_flow(item))  # type: ignore[misc]
        self._fleet.call_later(span_ms / 2, self._drain_target)
        self._fleet.call_later(span_ms * 3 / 4, self._kill_vm)
        self._fleet.run(span_ms)
        after = self._fleet.traffic()
        cpu_ns = sum(vm.cpu_ns for vm in self._fleet.vms) - cpu_before_ns
        records = sum(len(vm.engine.tables.flows) for vm in self._fleet.vms)
        hints = sum(len(vm.engine.tables.hints) for vm in self._fleet.vms)
        handled = self._delivered + self._total(message.Counter.PACKETS_FORWARDED)
        passes = handled / self._delivered
        callers = self._callers.values()
        # Each request waits a round trip for its answer, so flows last longer
        # than the load specifies.
        self._fleet.run_until(
            lambda: all(item.finished for item in callers), END_TIMEOUT_MS
        )
        vm_s = self._load.vms * self._load.duration_s
        placed = self._total(message.Counter.FLOWS_PLACED)
        exceptions = self._total(message.Counter.FLOWS_EXCEPTION)
        entry_bytes = (
            trial_placement.BACKUP_ENTRY_BYTES + trial_placement.DISCARD_ENTRY_BYTES
        )
        return Row(
            self._load.vms,
            len(callers),
            sum(item.ended for item in callers),
            sum(item.refused for item in callers),
            sum(item.broken for item in callers),
            sum(len(item.targets) > 1 for item in callers),
            round(exceptions / placed, 4),
            round(passes, 3),
            round(exceptions * entry_bytes / len(callers), 2),
            round((after.size_bytes - before.size_bytes) / vm_s),
            round(cpu_ns / 1000 / handled, 1),
            records,
            hints,
        )

    def _total(self, counter: message.Counter) -> int:
        return sum(vm.engine.outbox.counts[counter] for vm in self._fleet.vms)

    def _drain_target(self) -> None:
        text = f"{self._text}drain t6  # asked by a measurement\n"
        self._fleet.put_rules(virtual_fleet.document(2, text))

    def _kill_vm(self) -> None:
        dead = self._fleet.vms[0]
        self._fleet.kill(dead)
        self._fleet.call_later(
            FABRIC_DETECTION_MS, lambda: self._routed_vms.remove(dead)
        )

    # The following methods model the callers.

    def _open_flow(self, item: trial_load.Flow) -> None:
        caller = _Caller(item)
        self._callers[item.key] = caller
        self._send(caller, 0)

    def _send(self, caller: _Caller, step: int) -> None:
        if caller.finished or caller.step != step:
            return
        self._send_to_fleet(_FABRIC_ADDRESS, caller.request())
        self._fleet.call_later(RETRANSMIT_MS, lambda: self._send(caller, step))

    def _to_caller(self, vm: virtual_fleet.Vm, action: message.SendFabric) -> None:
        self._fleet.call_later(
            self._fleet.draw_delay_ms(), lambda: self._receive(action.payload)
        )

    def _receive(self, payload: bytes) -> None:
        item = self._codec.decode(payload)
        caller = self._callers[item.answer_key()]
        if item.resets:
            caller.reset(item)
        elif item.acknowledgement == caller.step + 1:
            caller.step += 1
            step = caller.step
            wait_ms = caller.flow.interval_ms if 1 < step < caller.steps else 0.0
            self._fleet.call_later(wait_ms, lambda: self._send(caller, step))

    # The following methods model the targets.

    def _to_target(self, vm: virtual_fleet.Vm, action: message.SendDatagram) -> None:
        self._fleet.call_later(
            self._fleet.draw_delay_ms(),
            lambda: self._answer_packet(action.destination, action.payload),
        )

    def _answer_packet(self, endpoint: packet.Address, payload: bytes) -> None:
        item = self._codec.decode(payload)
        key = item.request_key()
        accepted = self._accepted.setdefault(endpoint, set())
        flags = packet.Flags.ACK
        if item.opens:
            accepted.add(key)
            self._callers[key].targets.add(endpoint)
            flags |= packet.Flags.SYN
        elif key not in accepted:
            flags = packet.Flags.RST
        elif item.finishes:
            flags |= packet.Flags.FIN
        self._send_to_fleet(endpoint, _target_packet(key, flags, item.sequence + 1))

    def _send_to_fleet(self, source: packet.Address, payload: bytes) -> None:
        vm = self._rng.choice(self._routed_vms)
        event = message.FabricDatagram(source, payload)
        self._fleet.call_later(
            self._fleet.draw_delay_ms(), lambda: self._deliver(vm, event)
        )

    def _deliver(self, vm: virtual_fleet.Vm, event: message.FabricDatagram) -> None:
        self._delivered += vm.alive
        self._fleet.feed(vm, event)


def run(load: trial_load.Load) -> Row:
    """Run the placement trial on engines and return its results."""
    return EngineTrial(load).play()


def _policy(load: trial_load.Load) -> type[placement.Placement]:
    return (
        placement.BoundedHash
        if load.learns_capacity
        else virtual_fleet.ClaimedWeightHash
    )


def _caller_packet(
    key: packet.FlowKey, flags: int, sequence: int, size_bytes: int
) -> bytes:
    caller = packet.Address(key.caller_ip, key.caller_port)
    address = packet.Address(key.service_ip, key.service_port)
    acknowledged = 0 if flags == packet.Flags.SYN else _TARGET_SEQUENCE + 1
    return packet.build_tcp(
        caller, address, flags, sequence, acknowledged, bytes(size_bytes)
    )


def _target_packet(key: packet.FlowKey, flags: int, acknowledgement: int) -> bytes:
    caller = packet.Address(key.caller_ip, key.caller_port)
    address = packet.Address(key.service_ip, key.service_port)
    return packet.build_tcp(address, caller, flags, _TARGET_SEQUENCE, acknowledgement)
