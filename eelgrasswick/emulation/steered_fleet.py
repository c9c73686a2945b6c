"""Entry VMs in virtual time, with the steering of the product.

Row updates, load reports and witnesses reach the VMs with the delays of a real fleet.
"""

import abc
import random
import typing

from eelgrasswick.cookie import (
    catalog,
    codec,
    model,
    observations,
    outcomes,
    source,
    steering,
    store_replica,
)
from eelgrasswick.decisions import ejection
from eelgrasswick.emulation import packets, scheduler

# Interval at which VMs exchange their load reports.
REPORT_INTERVAL_MS: typing.Final = 1000
TICK_INTERVAL_MS: typing.Final = 250
# Time from a probe to its answer, or to the detection that there is none.
PROBE_DURATION_MS: typing.Final = 250
OVERDUE_CHECK_INTERVAL_MS: typing.Final = 100
# Delay of the witnesses that VMs of a zone send one another for overdue requests.
WITNESS_DELAY_MS: typing.Final = 150
# Longest delay with which a VM receives an update of a row.
MAX_UPDATE_DELAY_MS: typing.Final = 1000
EVACUATION_PREFIX: typing.Final = "evacuate/"
ZONES: typing.Final = ("z1", "z2", "z3")


class Rows(source.Reader):
    """A reader that also returns all rows of its store."""

    @abc.abstractmethod
    def rows(self) -> tuple[source.Row, ...]:
        """Return all rows, the configuration first."""

    def is_evacuation(self, key: str) -> bool:
        """Return whether a key orders an evacuation."""
        return key.startswith(EVACUATION_PREFIX)

    def evacuation(self, row: source.Row) -> model.Evacuation:
        """Return the evacuation of the zone that the key names."""
        return model.Evacuation(row.key.removeprefix(EVACUATION_PREFIX))


class FlowState(typing.NamedTuple):
    """State of a flow, as it determines the next packet of its caller.

    Attributes:
        vm: Index of the VM that receives its packets.
        caller: Last byte of the caller's address.
        caller_port: The caller's port.
        service_ip: Address of the service.
        service_port: Port of the service.
        sequence: Position in the byte stream of the caller.
        cookie: Cookie that the caller last received from the target; 0 for none.
    """

    vm: int
    caller: int
    caller_port: int
    service_ip: bytes
    service_port: int
    sequence: int
    cookie: int


class Vm(typing.NamedTuple):
    """One entry VM.

    Attributes:
        zone: Its availability zone.
        catalog: Its configuration and targets.
        steering: Its decisions.
        observations: Its observations of targets.
    """

    zone: str
    catalog: catalog.Catalog
    steering: steering.Steering
    observations: observations.Observations


class Reachable(typing.Protocol):
    """A target of a load, as far as probes of the VMs need it.

    Attributes:
        silent: True while it leaves packets unanswered.
    """

    silent: bool

    @property
    def zone(self) -> str:
        """Its availability zone."""


class Fleet:
    """The VMs of all zones, and the network between them and the targets.

    Attributes:
        vms: All VMs.
        cut_zone: Zone that is cut off from the others; empty for none.
        powered_off: True while all VMs are without power.
    """

    def __init__(
        self,
        call_scheduler: scheduler.Scheduler,
        reader: Rows,
        wire: codec.SegmentCodec,
        targets: typing.Sequence[Reachable],
        vms_per_zone: int,
        rng: random.Random,
    ) -> None:
        """Start all VMs.

        Args:
            call_scheduler: Scheduler of the run.
            reader: Reader of the rows of the store.
            wire: Decodes and encodes packets.
            targets: Targets, in the order of their rows.
            vms_per_zone: Number of VMs in each zone.
            rng: Draws the delays with which VMs receive updates.
        """
        self._rng = rng
        self.vms: list[Vm] = []
        self.cut_zone = ""
        self.powered_off = False
        self._scheduler = call_scheduler
        self._reader = reader
        self._codec = wire
        self._targets = targets
        self._vms_per_zone = vms_per_zone
        self._index_by_cookie: dict[int, int] = {}
        # Rows that were written after the start of the run.
        self._written_rows: dict[str, source.Row] = {}
        self.start()
        call_scheduler.call_later(TICK_INTERVAL_MS, self._tick)
        call_scheduler.call_later(REPORT_INTERVAL_MS, self._exchange_reports)
        call_scheduler.call_later(OVERDUE_CHECK_INTERVAL_MS, self._check_overdue)

    def start(self) -> None:
        """Restart all VMs; they have the rows of the store and no observations."""
        self.vms.clear()
        for zone in ZONES * self._vms_per_zone:
            self._add_vm(zone, len(self.vms))

    def restart(self, index: int, value: bytes) -> None:
        """Write the row of a target that restarts.

        Args:
            index: Index of the target.
            value: New value of the row.
        """
        old_row = self._reader.rows()[1 + index]
        row = self.write(old_row.key, value)
        self._index_by_cookie[self._reader.target(row).cookie] = index

    def write(self, key: str, value: bytes | None) -> source.Row:
        """Write a row to the store; all VMs receive the update within a second.

        Args:
            key: Key of the row.
            value: Value of the row; None to delete the row.

        Returns:
            The row.
        """
        # The revision is above those of all rows that were there from the start.
        revision = len(self._targets) + len(self._written_rows) + 2
        row = self._written_rows[key] = source.Row(
            key, value, revision + self._scheduler.now_ms
        )
        for vm in self.vms:
            self._scheduler.call_later(
                self._rng.randrange(MAX_UPDATE_DELAY_MS), self._apply_update, vm, row
            )
        return row

    def _apply_update(self, vm: Vm, row: source.Row) -> None:
        vm.catalog.update(self._scheduler.now_ms, store_replica.Merge((row,), 0))

    def vms_in_zone(self, zone: str) -> list[int]:
        """Return the indices of a zone's VMs."""
        return [number for number, vm in enumerate(self.vms) if vm.zone == zone]

    def target_index(self, target: model.Target) -> int:
        """Return the index of a target in the load."""
        return self._index_by_cookie[target.cookie]

    def partitioned(self, first: str, second: str) -> bool:
        """Return whether a cut separates two zones."""
        return first != second and self.cut_zone in (first, second)

    def steer(
        self, flow: FlowState, flags: int, acknowledged: int, data: bytes
    ) -> outcomes.Decision:
        """Steer a packet of a flow at its VM, and start the probe that this needs.

        Args:
            flow: State of the flow.
            flags: Flags of the packet.
            acknowledged: Position in the target's byte stream up to which the caller
                has it.
            data: Data from the caller.
        """
        if self.powered_off:
            return outcomes.Decision(outcomes.Outcome.NOT_READY)
        item = packets.Packet(
            bytes((100, 64, flow.vm, flow.caller)),
            flow.caller_port,
            flow.service_ip,
            flow.service_port,
            flags,
            flow.sequence,
            acknowledged,
            flow.cookie,
            data,
        )
        raw = packets.encode(item)
        vm = self.vms[flow.vm]
        decision = vm.steering.steer(
            self._scheduler.now_ms, 0, self._codec.decode(raw), raw
        )
        if decision.probe is not None:
            self._scheduler.call_later(
                PROBE_DURATION_MS, self._finish_probe, vm, decision.probe
            )
        return decision

    def _add_vm(self, zone: str, vm: int) -> None:
        vm_catalog = catalog.Catalog(self._reader)
        rows = (*self._reader.rows(), *self._written_rows.values())
        vm_catalog.update(0, store_replica.Merge(rows, 0))
        vm_observations = observations.Observations(zone, vm_catalog, vm=f"vm{vm}")
        for number, target in enumerate(vm_catalog.targets):
            self._index_by_cookie[target.cookie] = number
        vm_steering = steering.Steering(zone, self._codec, vm_catalog, vm_observations)
        self.vms.append(Vm(zone, vm_catalog, vm_steering, vm_observations))

    def _tick(self) -> None:
        names = [f"vm{number}" for number in range(len(self.vms))]
        for number, vm in enumerate(self.vms):
            others = (*names[:number], *names[number + 1 :])
            vm.observations.cold.limits.update_fleet(
                self._scheduler.now_ms, others, len(others)
            )
            vm.observations.tick(self._scheduler.now_ms)
        self._scheduler.call_later(TICK_INTERVAL_MS, self._tick)

    def _check_overdue(self) -> None:
        for vm in [] if self.powered_off else self.vms:
            targets, witnesses = vm.observations.take_overdue(self._scheduler.now_ms)
            for target in targets:
                self._scheduler.call_later(
                    PROBE_DURATION_MS, self._finish_probe, vm, target
                )
            if witnesses:
                self._scheduler.call_later(
                    WITNESS_DELAY_MS, self._send_witnesses, vm, witnesses
                )
        self._scheduler.call_later(OVERDUE_CHECK_INTERVAL_MS, self._check_overdue)

    def _send_witnesses(self, sender: Vm, witnesses: list[ejection.Witness]) -> None:
        for vm in self.vms:
            if vm.zone == sender.zone and vm is not sender:
                for item in witnesses:
                    aged = item._replace(age_ms=WITNESS_DELAY_MS)
                    vm.observations.record_witness(self._scheduler.now_ms, aged)

    def _exchange_reports(self) -> None:
        for number, vm in enumerate(self.vms):
            report = vm.observations.report()
            for other, receiver in enumerate(self.vms):
                if other != number and not self.partitioned(vm.zone, receiver.zone):
                    receiver.observations.reports.record(
                        self._scheduler.now_ms, f"vm{number}", report
                    )
        self._scheduler.call_later(REPORT_INTERVAL_MS, self._exchange_reports)

    def _finish_probe(self, vm: Vm, target: model.Target) -> None:
        accepted = self._target_accepts(vm, target)
        now_ms = self._scheduler.now_ms
        controls = vm.observations.control_targets(now_ms, target)
        path_proven = any(self._target_accepts(vm, item) for item in controls)
        if path_proven:
            vm.observations.record_zone_answer(now_ms, target.zone)
        dead = vm.observations.liveness.record_probe(
            now_ms, target.cookie, accepted, path_proven
        )
        if dead:
            vm.steering.reset_flows(target)

    def _target_accepts(self, vm: Vm, target: model.Target) -> bool:
        found = self._targets[self.target_index(target)]
        return not found.silent and not self.partitioned(vm.zone, found.zone)
