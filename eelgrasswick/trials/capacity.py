"""The command that measures slopes and extrapolates them to the design size."""

import dataclasses
import typing

import cappa

from eelgrasswick.trials import (
    capacity_slope,
    capacity_table,
    trial,
)

DEFAULT_VM_COUNTS: typing.Final = (4, 8, 16, 32, 64)
# The largest count is that of the design size: 19,000 targets and 8,100 services.
DEFAULT_LINE_COUNTS: typing.Final = (1000, 4000, 16_000, 27_100)


@cappa.command(name="capacity", help="work out what the design size would cost")
@dataclasses.dataclass
class Capacity:
    """Arguments of ``capacity``."""

    fleets: typing.Annotated[
        list[int], cappa.Arg(long="--vms", help="sizes of fleets to measure")
    ] = dataclasses.field(default_factory=lambda: list(DEFAULT_VM_COUNTS))
    lines: typing.Annotated[
        list[int], cappa.Arg(long="--lines", help="sizes of rules to measure")
    ] = dataclasses.field(default_factory=lambda: list(DEFAULT_LINE_COUNTS))

    def __call__(self) -> None:
        """Print the measured points, then one line per cost."""
        fleets = [_printed(capacity_slope.measure_fleet(n)) for n in self.fleets]
        rules = [_printed(capacity_slope.measure_rules(n)) for n in self.lines]
        units = {
            item.what: _printed(item).value for item in capacity_slope.measure_units()
        }
        for row in capacity_table.table(fit_slopes(fleets, rules, units)):
            trial.print_row(row)


Point = typing.TypeVar("Point")


def _printed(point: Point) -> Point:
    trial.print_row(point)
    return point


def fit_slopes(
    fleets: typing.Sequence[capacity_slope.FleetPoint],
    rules: typing.Sequence[capacity_slope.RulesPoint],
    units: typing.Mapping[str, float],
) -> capacity_table.Slopes:
    """Return the slopes that fit the measured points.

    Args:
        fleets: Measurements of fleets of several sizes.
        rules: Measurements of rules files of several sizes.
        units: Measured costs of one more flow, target or VM, by name.
    """
    base, per_vm = capacity_slope.fit_line([(n.vms, n.cpu_share) for n in fleets])
    open_us, open_per_vm = capacity_slope.fit_line([(n.vms, n.open_us) for n in fleets])
    largest = max(fleets)
    return capacity_table.Slopes(
        heartbeat_bytes_per_s=largest.heartbeat_bytes_per_s,
        news_bytes=units["news_bytes"],
        cpu_base=max(0.0, base),
        cpu_per_vm=per_vm,
        report_bytes_per_target=units["report_bytes_per_target"],
        report_encode_us_per_target=units["report_encode_us_per_target"],
        report_take_us_per_target=units["report_take_us_per_target"],
        record_bytes=units["record_bytes"],
        hint_bytes=units["hint_bytes"],
        rehome_us_per_flow=units["rehome_us_per_flow"],
        open_us=open_us,
        open_us_per_vm=max(0.0, open_per_vm),
        compile_us_per_line=_per_line([(n.lines, n.compile_ms) for n in rules]) * 1000,
        epoch_us_per_line=_per_line([(n.lines, n.epoch_ms) for n in rules]) * 1000,
        document_bytes_per_line=_per_line([(n.lines, n.document_bytes) for n in rules]),
        config_bytes_per_line=_per_line([(n.lines, n.memory_bytes) for n in rules]),
        member_bytes=units["member_bytes"],
        store_calls_per_zone_s=largest.store_calls_per_s / len(capacity_slope.ZONES),
        in_force_bytes=units["in_force_bytes"],
    )


def _per_line(points: typing.Sequence[tuple[float, float]]) -> float:
    return capacity_slope.fit_line(points)[1]
