"""Cost of each role at the design size, extrapolated from measured slopes."""

import typing

from eelgrasswick.fleet import (
    config_sync,
    gossip,
)
from eelgrasswick.homes import epoch

DAY_S: typing.Final = 86_400.0
UPDATES_PER_RESTART: typing.Final = 5
UPDATES_PER_FAILURE: typing.Final = 3
EPOCHS_PER_RESTART: typing.Final = 2
EPOCHS_PER_FAILURE: typing.Final = 1
STORE_CALLS_PER_REPORT: typing.Final = 2
ANSWERS_PER_FLOW_PER_S: typing.Final = 1.0
HINT_TTL_S: typing.Final = 10.0
_BISECTION_STEPS: typing.Final = 60


class Size(typing.NamedTuple):
    """Size of a fleet and of its load.

    Attributes:
        vms: Entry VMs.
        targets: Targets.
        services: Addresses that callers use.
        flows: Open flows.
        new_per_s: New flows a second.
        changes_per_day: Accepted changes of the rules.
        zones: Availability zones.
        failures_per_day: VMs that die.
        restarts_per_day: VMs that are restarted or replaced.
    """

    vms: float
    targets: float
    services: float
    flows: float
    new_per_s: float
    changes_per_day: float
    zones: int
    failures_per_day: float
    restarts_per_day: float

    def scaled(self, factor: float) -> "Size":
        """Return a fleet scaled by a factor, with the same load per VM."""
        return Size(
            self.vms * factor,
            self.targets * factor,
            self.services * factor,
            self.flows * factor,
            self.new_per_s * factor,
            self.changes_per_day * factor,
            self.zones,
            self.failures_per_day * factor,
            self.restarts_per_day * factor,
        )


DESIGN_SIZE: typing.Final = Size(
    2800, 19_000, 8100, 63_000_000, 130_000, 13_000, 5, 120, 1700
)


class Slopes(typing.NamedTuple):
    """Measured unit costs and growth rates, from which costs are extrapolated.

    Attributes:
        heartbeat_bytes_per_s: Heartbeat bytes sent per VM; independent of the
            size of the fleet.
        news_bytes: Bytes of one member update in a heartbeat.
        cpu_base: Processor time of an idle engine, as a share of a core.
        cpu_per_vm: Additional share of a core per VM in the fleet.
        report_bytes_per_target: Bytes per target in a LoadReport.
        report_encode_us_per_target: Processor time per target to encode a
            LoadReport for one receiver.
        report_take_us_per_target: Processor time per target to decode and
            record the LoadReport of one sender.
        record_bytes: Memory of one flow record at the flow's home.
        hint_bytes: Memory of one hint.
        rehome_us_per_flow: Processor time per flow of one scan after a change
            of epoch.
        open_us: Processor time to open one flow, without the part that grows
            with the fleet.
        open_us_per_vm: Additional processor time to open one flow, per VM in
            the fleet.
        compile_us_per_line: Processor time per line to decode and compile the
            rules.
        epoch_us_per_line: Processor time per line to create an epoch and to
            locate one flow of every service.
        document_bytes_per_line: Size per line of the encoded document in the
            store and on links.
        config_bytes_per_line: Memory per line of the compiled rules.
        member_bytes: Memory of one VM's record in another VM's membership.
        store_calls_per_zone_s: Store calls per second of the watchers and
            reports of one zone.
        in_force_bytes: Size of one VM's entry in its zone's in-force report.
    """

    heartbeat_bytes_per_s: float
    news_bytes: float
    cpu_base: float
    cpu_per_vm: float
    report_bytes_per_target: float
    report_encode_us_per_target: float
    report_take_us_per_target: float
    record_bytes: float
    hint_bytes: float
    rehome_us_per_flow: float
    open_us: float
    open_us_per_vm: float
    compile_us_per_line: float
    epoch_us_per_line: float
    document_bytes_per_line: float
    config_bytes_per_line: float
    member_bytes: float
    store_calls_per_zone_s: float
    in_force_bytes: float


class Budget(typing.NamedTuple):
    """A limit on one resource.

    Attributes:
        unit: Unit of the limit.
        limit: Largest amount that a node or the platform may spend.
    """

    unit: str
    limit: float


CONTROL_BUDGET: typing.Final = Budget("B/s", 17_000)
CPU_BUDGET: typing.Final = Budget("core", 0.048)
DATA_CPU_BUDGET: typing.Final = Budget("core", 1.0)
MEMORY_BUDGET: typing.Final = Budget("MB", 128)
STORE_CALLS_BUDGET: typing.Final = Budget("calls/s", 300)
STORED_VALUE_BUDGET: typing.Final = Budget("B", 1_000_000)


class Cost(typing.NamedTuple):
    """Consumption of one resource by one mechanism of one role.

    Attributes:
        role: Role of the process that spends the resource.
        mechanism: Mechanism that spends the resource in the present design.
        budget: Limit on the resource.
        at: Function that returns the consumption at a size, in the budget's
            unit.
    """

    role: str
    mechanism: str
    budget: Budget
    at: typing.Callable[[Size], float]


class Row(typing.NamedTuple):
    """One line of the capacity table.

    Attributes:
        role: Role of the process that spends the resource.
        mechanism: Mechanism that spends the resource in the present design.
        value: Consumption at the design size.
        unit: Unit of value and limit.
        limit: The whole budget of a node, or of the platform.
        verdict: ``within`` or ``over``: whether this cost alone exceeds the
            limit.
        over_from_vms: Smallest fleet, with all else in proportion, at which
            this cost alone exceeds the limit; 0 when it is within the limit at
            the full size.
    """

    role: str
    mechanism: str
    value: float
    unit: str
    limit: float
    verdict: str
    over_from_vms: int


def table(slopes: Slopes, size: Size = DESIGN_SIZE) -> list[Row]:
    """Return one row for each cost, then the total for each budget of a node.

    Args:
        slopes: Measured unit costs and growth rates.
        size: Size at which the costs are evaluated.
    """
    parts = costs(slopes)
    totals = [
        _total(parts, budget) for budget in (CONTROL_BUDGET, CPU_BUDGET, MEMORY_BUDGET)
    ]
    return [_row(item, size) for item in (*parts, *totals)]


def _total(parts: typing.Sequence[Cost], budget: Budget) -> Cost:
    chosen = [item.at for item in parts if item.budget is budget]
    return Cost(
        "node", "all of these", budget, lambda size: sum(at(size) for at in chosen)
    )


def costs(slopes: Slopes) -> list[Cost]:
    """Return the costs of all roles, each as a function of the size."""
    return [
        *_member_costs(slopes),
        *_home_costs(slopes),
        *_config_costs(slopes),
        *_platform_costs(slopes),
    ]


def _member_costs(slopes: Slopes) -> list[Cost]:
    def update_bytes(size: Size) -> float:
        events = size.restarts_per_day * UPDATES_PER_RESTART
        events += size.failures_per_day * UPDATES_PER_FAILURE
        sends = gossip.RETRANSMIT_FACTOR * int(size.vms + 2).bit_length()
        return events / DAY_S * sends * slopes.news_bytes

    def cpu(size: Size) -> float:
        return slopes.cpu_base + slopes.cpu_per_vm * size.vms

    return [
        Cost(
            "member",
            "heartbeats, one VM each 200 ms",
            CONTROL_BUDGET,
            lambda size: slopes.heartbeat_bytes_per_s,
        ),
        Cost(
            "member",
            "news of a day's churn on heartbeats",
            CONTROL_BUDGET,
            update_bytes,
        ),
        Cost("member", "ticks, heartbeats and reports of 10 targets", CPU_BUDGET, cpu),
        Cost(
            "member",
            "view of the fleet",
            MEMORY_BUDGET,
            lambda size: size.vms * slopes.member_bytes / 1e6,
        ),
    ]


def _home_costs(slopes: Slopes) -> list[Cost]:
    def targets(size: Size) -> float:
        return min(size.targets / size.zones, size.flows / size.vms)

    def report_bytes(size: Size) -> float:
        return slopes.report_bytes_per_target * targets(size) * size.vms

    def report_cpu(size: Size) -> float:
        each_us = slopes.report_encode_us_per_target + slopes.report_take_us_per_target
        return each_us * targets(size) * size.vms / 1e6

    def rehome_cpu(size: Size) -> float:
        flows = size.flows / size.vms
        return flows * slopes.rehome_us_per_flow * epochs_per_s(size) / 1e6

    def open_cpu(size: Size) -> float:
        each_us = slopes.open_us + slopes.open_us_per_vm * size.vms
        return size.new_per_s / size.vms * each_us / 1e6

    return [
        Cost(
            "home", "LoadReport to every VM, each second", CONTROL_BUDGET, report_bytes
        ),
        Cost("home", "LoadReport, made and read", CPU_BUDGET, report_cpu),
        Cost(
            "home",
            "flow records",
            MEMORY_BUDGET,
            lambda size: size.flows / size.vms * slopes.record_bytes / 1e6,
        ),
        Cost("home", "scan of all flows after each change", CPU_BUDGET, rehome_cpu),
        Cost("home", "opening flows (data, not control)", DATA_CPU_BUDGET, open_cpu),
        Cost(
            "entry",
            "hints, one answer per flow and second",
            MEMORY_BUDGET,
            lambda size: _hints_per_vm(size) * slopes.hint_bytes / 1e6,
        ),
    ]


def _hints_per_vm(size: Size) -> float:
    answers = ANSWERS_PER_FLOW_PER_S * HINT_TTL_S
    # Each answer passes a random VM, which then holds a hint. The expression is
    # the expected number of distinct VMs.
    hints_per_flow = size.vms * (1 - (1 - 1 / max(2.0, size.vms)) ** answers)
    return size.flows * hints_per_flow / size.vms


def epochs_per_s(size: Size) -> float:
    """Return the number of new epochs per second.

    An epoch begins when the rules change or when a VM joins or leaves, because
    either can move the homes of flows.
    """
    events = size.changes_per_day
    events += size.restarts_per_day * EPOCHS_PER_RESTART
    events += size.failures_per_day * EPOCHS_PER_FAILURE
    return events / DAY_S


def _config_costs(slopes: Slopes) -> list[Cost]:
    def lines(size: Size) -> float:
        return size.targets + size.services

    def per_s(size: Size) -> float:
        return size.changes_per_day / DAY_S

    def epoch_cpu(size: Size) -> float:
        return lines(size) * slopes.epoch_us_per_line * per_s(size) / 1e6

    return [
        Cost(
            "keeper",
            "whole document to every VM per change",
            CONTROL_BUDGET,
            lambda size: lines(size) * slopes.document_bytes_per_line * per_s(size),
        ),
        Cost(
            "keeper",
            "whole rules compiled per change",
            CPU_BUDGET,
            lambda size: lines(size) * slopes.compile_us_per_line * per_s(size) / 1e6,
        ),
        Cost("keeper", "candidates of all services per change", CPU_BUDGET, epoch_cpu),
        Cost(
            "keeper",
            f"compiled rules, {epoch.MAX_EARLIER_EPOCHS + 1} configurations kept",
            MEMORY_BUDGET,
            lambda size: (
                (
                    lines(size)
                    * slopes.config_bytes_per_line
                    * (epoch.MAX_EARLIER_EPOCHS + 1)
                )
                / 1e6
            ),
        ),
        Cost(
            "watcher",
            "all rules under one key",
            STORED_VALUE_BUDGET,
            lambda size: lines(size) * slopes.document_bytes_per_line,
        ),
    ]


def _platform_costs(slopes: Slopes) -> list[Cost]:
    def reports(size: Size) -> float:
        regular = size.zones * 1000 / config_sync.REPORT_INTERVAL_MS
        changed = size.zones * size.changes_per_day / DAY_S
        return (regular + changed) * STORE_CALLS_PER_REPORT

    return [
        Cost(
            "platform",
            "watches and reads of two VMs per zone",
            STORE_CALLS_BUDGET,
            lambda size: slopes.store_calls_per_zone_s * size.zones,
        ),
        Cost("platform", "in-force reports, one per zone", STORE_CALLS_BUDGET, reports),
        Cost(
            "platform",
            "in-force report of a zone, one value",
            STORED_VALUE_BUDGET,
            lambda size: size.vms / size.zones * slopes.in_force_bytes,
        ),
    ]


def _row(item: Cost, size: Size) -> Row:
    value = item.at(size)
    over = value > item.budget.limit
    return Row(
        item.role,
        item.mechanism,
        float(f"{value:.3g}"),
        item.budget.unit,
        item.budget.limit,
        "over" if over else "within",
        _vms_at_limit(item, size) if over else 0,
    )


def _vms_at_limit(item: Cost, size: Size) -> int:
    low, high = 0.0, 1.0
    for _ in range(_BISECTION_STEPS):
        middle = (low + high) / 2
        if item.at(size.scaled(max(middle, 1e-6))) > item.budget.limit:
            high = middle
        else:
            low = middle
    return round(size.vms * high)
