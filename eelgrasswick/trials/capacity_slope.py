"""Measurements of how costs grow with the fleet, the rules and the flows.

All costs are measured in the calling process; the fleets run in virtual time.
"""

import gc
import json
import time
import tracemalloc
import typing

from eelgrasswick import (
    config,
    message,
    packet,
    target,
    wire,
)
from eelgrasswick.decisions import load
from eelgrasswick.emulation import virtual_fleet
from eelgrasswick.fleet import member
from eelgrasswick.homes import (
    epoch,
    flow,
    hint,
)
from eelgrasswick.trials import packet_path

ZONES: typing.Final = ("z1", "z2", "z3", "z4", "z5")
READY_TIMEOUT_MS: typing.Final = 60_000.0
SETTLE_MS: typing.Final = 7000.0
DISSEMINATION_MS_PER_VM: typing.Final = 550.0
MEASURED_MS: typing.Final = 5000.0
SAMPLE_FLOWS: typing.Final = 20_000
SERVICE_LINE_SHARE: typing.Final = 0.3
_ROUNDS: typing.Final = 5


class FleetPoint(typing.NamedTuple):
    """Measured costs of an idle fleet of one size.

    Attributes:
        vms: Entry VMs.
        ready_ms: Virtual time until every VM served and had a record of all
            others.
        heartbeat_bytes_per_s: Bytes of heartbeat messages (Ping, Ack and
            IndirectPingRequest) sent per VM.
        report_bytes_per_s: Other control bytes sent per VM.
        messages_per_s: Control messages sent per VM.
        cpu_share: Processor time of one engine, as a share of a core.
        store_calls_per_s: Calls to the store by the whole fleet.
        watches: Watches open at the store.
        open_us: Processor time to open one flow at its home.
    """

    vms: int
    ready_ms: int
    heartbeat_bytes_per_s: int
    report_bytes_per_s: int
    messages_per_s: float
    cpu_share: float
    store_calls_per_s: float
    watches: int
    open_us: float


class RulesPoint(typing.NamedTuple):
    """Measured costs of a rules file of one size.

    Attributes:
        lines: Lines of the rules file.
        text_bytes: Size of the rules file.
        document_bytes: Size of the encoded document in the store and on links.
        compile_ms: Processor time to decode and compile the document.
        epoch_ms: Processor time to create an epoch from the compiled rules and
            to locate one flow of each service in it.
        memory_bytes: Memory of the compiled rules and one epoch.
    """

    lines: int
    text_bytes: int
    document_bytes: int
    compile_ms: float
    epoch_ms: float
    memory_bytes: int


class UnitCost(typing.NamedTuple):
    """The cost of one more flow, target or VM.

    Attributes:
        what: Name of the cost, with its unit.
        value: The cost in this unit.
    """

    what: str
    value: float


def measure_fleet(vms: int, seed: int = 1) -> FleetPoint:
    """Measure an idle fleet with two services and ten targets.

    Args:
        vms: Entry VMs.
        seed: Seed of every random choice.
    """
    fleet = virtual_fleet.VirtualFleet(vms, ZONES, seed)
    text = virtual_fleet.rules_text(2, 10, ZONES)
    fleet.put_rules(virtual_fleet.document(1, text))
    fleet.run_until(fleet.ready, READY_TIMEOUT_MS)
    ready_ms = fleet.now_ms - virtual_fleet.START_MS
    # After a cold start every VM disseminates the update of every other VM. The
    # wait grows with the fleet so that this traffic isn't measured.
    fleet.run(SETTLE_MS + vms * DISSEMINATION_MS_PER_VM)
    _add_flow_per_target(fleet)
    before, sizes_before = fleet.traffic(), _heartbeat_bytes(fleet)
    cpu_before_ns = sum(vm.cpu_ns for vm in fleet.vms)
    calls_before = sum(fleet.platform.calls.values())
    fleet.run(MEASURED_MS)
    after, sizes_after = fleet.traffic(), _heartbeat_bytes(fleet)
    cpu_ns = sum(vm.cpu_ns for vm in fleet.vms) - cpu_before_ns
    vm_s = vms * MEASURED_MS / 1000
    heartbeat_bytes = sizes_after - sizes_before
    all_bytes = after.size_bytes - before.size_bytes
    calls = sum(fleet.platform.calls.values()) - calls_before
    return FleetPoint(
        vms,
        round(ready_ms),
        round(heartbeat_bytes / vm_s),
        round((all_bytes - heartbeat_bytes) / vm_s),
        round((after.messages - before.messages) / vm_s, 1),
        round(cpu_ns / 1e9 / vm_s, 4),
        round(calls / MEASURED_MS * 1000, 2),
        fleet.platform.open_watches,
        round(_open_us(fleet), 1),
    )


def _add_flow_per_target(fleet: virtual_fleet.VirtualFleet) -> None:
    # A home reports only targets on which it has flows. With one flow per target
    # at each VM, every report covers all targets.
    for index, vm in enumerate(fleet.vms):
        current = vm.engine.config_sync.current
        assert current is not None
        for number, item in enumerate(current.targets.values()):
            key = packet_path.flow_key(index * 64 + number, item.endpoint)
            vm.engine.tables.flows.add(key, _record(item, round(fleet.now_ms)))


def _record(item: target.Target, now_ms: int) -> flow.Record:
    return flow.Record(item, flow.Origin.PLACED, flow.State.OPEN, now_ms, 3_600_000)


def _heartbeat_bytes(fleet: virtual_fleet.VirtualFleet) -> int:
    codes = [
        virtual_fleet.message_code(item)
        for item in (
            wire.Ping(0, fleet.vms[0].me, 0, ()),
            wire.Ack(0, fleet.vms[0].me, 0, ()),
            wire.IndirectPingRequest(0, ""),
        )
    ]
    return sum(vm.bytes_by_code[code] for vm in fleet.vms for code in codes)


def measure_rules(lines: int) -> RulesPoint:
    """Measure a generated rules file with the given number of lines."""
    services = max(1, round(lines * SERVICE_LINE_SHARE))
    text = virtual_fleet.rules_text(services, lines - services, ZONES)
    document = virtual_fleet.document(1, text)
    value = config.encode(document)
    gc.collect()
    tracemalloc.start()
    current = _compiled(document)
    memory_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    before_ns = time.thread_time_ns()
    compiled = config.Config(config.decode(value))
    compile_ns = time.thread_time_ns() - before_ns
    before_ns = time.thread_time_ns()
    _locate_flows(epoch.Epoch(compiled, current.members.values()))
    epoch_ns = time.thread_time_ns() - before_ns
    return RulesPoint(
        lines,
        len(text),
        len(value),
        round(compile_ns / 1e6, 1),
        round(epoch_ns / 1e6, 1),
        memory_bytes,
    )


def _compiled(document: config.Document) -> epoch.Epoch:
    current = epoch.Epoch(config.Config(document), _members(8))
    _locate_flows(current)
    return current


def _locate_flows(current: epoch.Epoch) -> None:
    for item in current.config.services.values():
        current.locate(packet_path.flow_key(1, item.address), item)


def _members(count: int) -> list[member.Member]:
    return [
        member.Member(
            f"vm{n}",
            ZONES[n % len(ZONES)],
            f"10.0.{n // 250}.{n % 250 + 1}",
            6081,
            6082,
            1,
            virtual_fleet.START_MS,
            member.MemberState.ALIVE,
        )
        for n in range(count)
    ]


def measure_units() -> list[UnitCost]:
    """Measure the costs of one more flow, target or VM."""
    text = virtual_fleet.rules_text(2, 10, ZONES)
    compiled = config.Config(virtual_fleet.document(1, text))
    chosen = next(iter(compiled.targets.values()))
    return [
        UnitCost("record_bytes", _record_bytes(chosen)),
        UnitCost("hint_bytes", _hint_bytes(chosen)),
        UnitCost("member_bytes", _member_bytes()),
        UnitCost("news_bytes", _update_bytes()),
        UnitCost("in_force_bytes", _in_force_bytes()),
        UnitCost("rehome_us_per_flow", _rehome_us(chosen)),
        *_report_units(),
    ]


def _record_bytes(chosen: target.Target) -> float:
    def build() -> object:
        table = flow.FlowTable()
        for number in range(SAMPLE_FLOWS):
            key = packet_path.flow_key(number, chosen.endpoint)
            table.add(key, _record(chosen, 1000))
        return table

    return _memory_bytes(build) / SAMPLE_FLOWS


def _hint_bytes(chosen: target.Target) -> float:
    def build() -> object:
        table = hint.HintTable(10_000, SAMPLE_FLOWS)
        for number in range(SAMPLE_FLOWS):
            table.record(1000, packet_path.flow_key(number, chosen.endpoint), chosen)
        return table

    return _memory_bytes(build) / SAMPLE_FLOWS


def _member_bytes() -> float:
    count = 2000
    return _memory_bytes(lambda: {item.name: item for item in _members(count)}) / count


def _update_bytes() -> float:
    one, two = _members(2)
    bare = len(wire.encode(wire.Ping(1, one, 1, ())))
    return len(wire.encode(wire.Ping(1, one, 1, (two,)))) - bare


def _in_force_bytes() -> float:
    count = 560
    entries = {item.name: 4_745_000 for item in _members(count)}
    return len(json.dumps(entries)) / count


def _memory_bytes(build: typing.Callable[[], object]) -> int:
    gc.collect()
    tracemalloc.start()
    kept = build()
    size_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return size_bytes


def _rehome_us(chosen: target.Target) -> float:
    fleet = virtual_fleet.VirtualFleet(2, ZONES[:1], 1)
    text = virtual_fleet.rules_text(2, 10, ZONES[:1])
    fleet.put_rules(virtual_fleet.document(1, text))
    fleet.run_until(fleet.ready, READY_TIMEOUT_MS)
    engine = fleet.vms[0].engine
    current = engine.tables.epochs.current
    assert current is not None
    owner = current.config.services["s0"]
    now_ms = round(fleet.now_ms)
    for number in range(SAMPLE_FLOWS):
        key = packet_path.flow_key(number, owner.address)
        place = current.locate(key, owner)
        if place.home == fleet.vms[0].me.name and place.default is not None:
            engine.tables.flows.add(key, _record(place.default, now_ms))
    flows = len(engine.tables.flows)
    before_ns = time.thread_time_ns()
    engine.rehomer.start()
    for _ in range(flows // 1000 + 1):
        engine.rehomer.step(now_ms)
    return (time.thread_time_ns() - before_ns) / 1000 / flows


def _report_units() -> list[UnitCost]:
    count = 1000
    entries = tuple(
        wire.OpenFlows(f"t{n}", 20_000 + n, 20_000 + n) for n in range(count)
    )
    report = wire.LoadReport(entries)
    payload = wire.encode(report)
    tracker = load.LoadTracker()
    encode_us = _median_us(lambda: wire.encode(report))
    decode_us = _median_us(lambda: wire.decode(payload))
    record_us = _median_us(lambda: tracker.record(0, "vm1", report))
    return [
        UnitCost("report_bytes_per_target", len(payload) / count),
        UnitCost("report_encode_us_per_target", encode_us / count),
        UnitCost("report_take_us_per_target", (decode_us + record_us) / count),
    ]


def _open_us(fleet: virtual_fleet.VirtualFleet) -> float:
    # In an idle fleet the home does not ask homes of earlier epochs about a new
    # flow. Owners of slots are computed when the first flow needs them, so the
    # measured time includes this.
    vm = fleet.vms[0]
    current = vm.engine.tables.epochs.current
    assert current is not None
    paths = packet_path.build_paths(
        current, current.config.services["s0"], vm.me.name, ""
    )
    opening = next(item for item in paths if item.name == "open_at_home")
    fabric = packet.address("10.255.0.1:6080")
    events = [message.FabricDatagram(fabric, raw) for raw in opening.packets]
    now_ms = round(fleet.now_ms)
    before_ns = time.thread_time_ns()
    for event in events:
        vm.engine.feed(now_ms, event)
    return (time.thread_time_ns() - before_ns) / 1000 / len(events)


def _median_us(work: typing.Callable[[], object]) -> float:
    samples = []
    for _ in range(_ROUNDS):
        before_ns = time.thread_time_ns()
        work()
        samples.append((time.thread_time_ns() - before_ns) / 1000)
    return sorted(samples)[_ROUNDS // 2]


def fit_line(points: typing.Sequence[tuple[float, float]]) -> tuple[float, float]:
    """Return intercept and slope of the least-squares line through (x, y) points."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    return mean_y - slope * mean_x, slope
