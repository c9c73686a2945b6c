"""Entry VMs in virtual time: real steering, and what the VMs tell each other."""

import abc
import random
import typing

from eelgrasswick.cookie import (
    catalog,
    codec,
    model,
    observations,
    source,
    steering,
    store_replica,
)
from eelgrasswick.decisions import ejection
from eelgrasswick.emulation import agenda, packets

# VMs hear of each other's reports about this often.
REPORT_MS: typing.Final = 1000
TICK_MS: typing.Final = 250
PROBE_MS: typing.Final = 250
CHECK_MS: typing.Final = 100
# What VMs of a zone tell each other of overdue requests takes about so long.
WITNESS_MS: typing.Final = 150
# The last VM hears of a new row within this time.
NEWS_MS: typing.Final = 1000
EVACUATION_PREFIX: typing.Final = "evacuate/"
ZONES: typing.Final = ("z1", "z2", "z3")


class Rows(source.Reader):
    """A reader that knows all rows of its store."""

    @abc.abstractmethod
    def rows(self) -> tuple[source.Row, ...]:
        """Return all rows, the configuration first."""

    def is_evacuation(self, key: str) -> bool:
        """Tell whether a key orders an evacuation."""
        return key.startswith(EVACUATION_PREFIX)

    def evacuation(self, row: source.Row) -> model.Evacuation:
        """Return the evacuation of the zone that the key names."""
        return model.Evacuation(row.key.removeprefix(EVACUATION_PREFIX))


class Stream(typing.NamedTuple):
    """Where a flow stands, as its caller's next packet says.

    Attributes:
        vm: Number of the VM that its packets come to.
        caller: Last part of the caller's address.
        caller_port: The caller's port.
        service_ip: Address of the service.
        service_port: Its port.
        sequence: Position in the caller's stream.
        cookie: What the target last said, 0 for nothing.
    """

    vm: int
    caller: int
    caller_port: int
    service_ip: bytes
    service_port: int
    sequence: int
    cookie: int


class Vm(typing.NamedTuple):
    """One entry VM."""

    zone: str
    known: catalog.Catalog
    steering: steering.Steering
    seen: observations.Observations


class Reachable(typing.Protocol):
    """A target of a load, as the VMs' probes find it."""

    dark: bool

    @property
    def zone(self) -> str:
        """Its availability zone."""


class Fleet:
    """The VMs of all zones, and what they can reach.

    Attributes:
        vms: The VMs.
        cut: Zone that is cut off from the others; empty for none.
        off: True while all VMs are without power.
    """

    def __init__(
        self,
        due: agenda.Agenda,
        reader: Rows,
        wire: codec.SegmentCodec,
        targets: typing.Sequence[Reachable],
        vms_per_zone: int,
        rng: random.Random,
    ) -> None:
        """Start the VMs.

        Args:
            due: Virtual time.
            reader: Rows of the store.
            wire: Reads and writes packets.
            targets: What the rows of targets stand for, in their order.
            vms_per_zone: Entry VMs in each zone.
            rng: Decides when each VM hears of a row.
        """
        self._rng = rng
        self.vms: list[Vm] = []
        self.cut = ""
        self.off = False
        self._due = due
        self._reader = reader
        self._codec = wire
        self._targets = targets
        self._vms_per_zone = vms_per_zone
        self._by_cookie: dict[int, int] = {}
        # Rows that were written since the beginning.
        self._rows: dict[str, source.Row] = {}
        self.start()
        due.later(TICK_MS, self._tick)
        due.later(REPORT_MS, self._exchange_reports)
        due.later(CHECK_MS, self._check)

    def start(self) -> None:
        """Start all VMs anew; they know the store and nothing of flows."""
        self.vms.clear()
        for zone in ZONES * self._vms_per_zone:
            self._add_vm(zone, len(self.vms))

    def restart(self, number: int, value: bytes) -> None:
        """Write the entry of a target that starts anew."""
        known = self._reader.rows()[1 + number]
        row = self.write(known.key, value)
        self._by_cookie[self._reader.target(row).cookie] = number

    def write(self, key: str, value: bytes | None) -> source.Row:
        """Write a row to the store; all VMs hear of it within a second."""
        # Above the revisions of all rows that were there from the beginning.
        revision = len(self._targets) + len(self._rows) + 2
        row = self._rows[key] = source.Row(key, value, revision + self._due.now_ms)
        for vm in self.vms:
            self._due.later(self._rng.randrange(NEWS_MS), self._hear, vm, row)
        return row

    def _hear(self, vm: Vm, row: source.Row) -> None:
        vm.known.update(self._due.now_ms, store_replica.Merge((row,), 0))

    def near(self, zone: str) -> list[int]:
        """Return the numbers of a zone's VMs."""
        return [number for number, vm in enumerate(self.vms) if vm.zone == zone]

    def number(self, target: model.Target) -> int:
        """Return the place of a target in the load."""
        return self._by_cookie[target.cookie]

    def apart(self, first: str, second: str) -> bool:
        """Tell whether two zones can't reach each other."""
        return first != second and self.cut in (first, second)

    def steer(
        self, stream: Stream, flags: int, acknowledged: int, data: bytes
    ) -> steering.Decision:
        """Hand a packet of a flow to its VM; probe what it wants probed.

        Args:
            stream: The flow.
            flags: Flags of the packet.
            acknowledged: What its caller has received.
            data: What the caller sends.
        """
        if self.off:
            return steering.Decision(steering.Outcome.NOT_READY, None, None, None)
        item = packets.Packet(
            bytes((100, 64, stream.vm, stream.caller)),
            stream.caller_port,
            stream.service_ip,
            stream.service_port,
            flags,
            stream.sequence,
            acknowledged,
            stream.cookie,
            data,
        )
        raw = packets.encode(item)
        vm = self.vms[stream.vm]
        decision = vm.steering.steer(self._due.now_ms, 0, self._codec.decode(raw), raw)
        if decision.probe is not None:
            self._due.later(PROBE_MS, self._probed, vm, decision.probe)
        return decision

    def _add_vm(self, zone: str, vm: int) -> None:
        known = catalog.Catalog(self._reader)
        rows = (*self._reader.rows(), *self._rows.values())
        known.update(0, store_replica.Merge(rows, 0))
        seen = observations.Observations(zone, known, vm=f"vm{vm}")
        for number, target in enumerate(known.targets):
            self._by_cookie[target.cookie] = number
        made = steering.Steering(zone, self._codec, known, seen)
        self.vms.append(Vm(zone, known, made, seen))

    def _tick(self) -> None:
        names = [f"vm{number}" for number in range(len(self.vms))]
        for number, vm in enumerate(self.vms):
            others = (*names[:number], *names[number + 1 :])
            vm.seen.cold.limits.update_fleet(self._due.now_ms, others, len(others))
            vm.seen.tick(self._due.now_ms)
        self._due.later(TICK_MS, self._tick)

    def _check(self) -> None:
        for vm in [] if self.off else self.vms:
            targets, witnesses = vm.seen.take_overdue(self._due.now_ms)
            for target in targets:
                self._due.later(PROBE_MS, self._probed, vm, target)
            if witnesses:
                self._due.later(WITNESS_MS, self._tell, vm, witnesses)
        self._due.later(CHECK_MS, self._check)

    def _tell(self, teller: Vm, witnesses: list[ejection.Witness]) -> None:
        for vm in self.vms:
            if vm.zone == teller.zone and vm is not teller:
                for item in witnesses:
                    aged = item._replace(age_ms=WITNESS_MS)
                    vm.seen.record_witness(self._due.now_ms, aged)

    def _exchange_reports(self) -> None:
        for number, vm in enumerate(self.vms):
            report = vm.seen.report()
            for other, heard in enumerate(self.vms):
                if other != number and not self.apart(vm.zone, heard.zone):
                    heard.seen.reports.record(self._due.now_ms, f"vm{number}", report)
        self._due.later(REPORT_MS, self._exchange_reports)

    def _probed(self, vm: Vm, target: model.Target) -> None:
        accepted = self._accepts(vm, target)
        neighbour = vm.seen.other_target_in_zone(self._due.now_ms, target)
        if not accepted and neighbour is not None and self._accepts(vm, neighbour):
            vm.seen.record_zone_answer(self._due.now_ms, target.zone)
        path_ms = vm.seen.zone_answered_ms(target)
        dead = vm.seen.liveness.record_probe(
            self._due.now_ms, target.cookie, accepted, path_ms
        )
        if dead:
            vm.steering.reset_flows(target)

    def _accepts(self, vm: Vm, target: model.Target) -> bool:
        found = self._targets[self.number(target)]
        return not found.dark and not self.apart(vm.zone, found.zone)
