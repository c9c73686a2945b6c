"""Runs open loads: requests arrive whether or not earlier ones are answered."""

import collections
import pathlib
import typing

from eelgrasswick import chart, errors
from eelgrasswick.emulation import open_load, open_scenario
from eelgrasswick.platform import segments

BIN_MS: typing.Final = 500
# Requests of the first two seconds are not counted because they arrive at empty
# queues. Requests of the last 1.5 s are not counted because they may still wait
# when the run ends.
WARM_UP_MS: typing.Final = 2000
COOL_DOWN_MS: typing.Final = 1500


class Row(typing.NamedTuple):
    """Service that callers received under a load.

    Attributes:
        load: Name of the load.
        seed: Seed of all random choices.
        asked: Number of counted requests.
        worth: Value of the answers, as a share of the value if all requests
            were answered in time.
        best: Upper bound of ``worth`` for any policy while demand is steady.
        in_time: Share of requests answered in time.
        served: Share of requests answered at all.
        by_kind: ``worth`` of each kind of request, as ``kind:worth`` pairs
            separated by commas.
    """

    load: str
    seed: int
    asked: int
    worth: float
    best: float
    in_time: float
    served: float
    by_kind: str


def play(name: str, seed: int, plot: pathlib.Path | None = None) -> Row:
    """Run one load and return the service that callers received.

    Args:
        name: A key of ``open_scenario.LOADS``.
        seed: Seed of all random choices.
        plot: Path of a plot of service over time; None for no plot.

    Raises:
        errors.ScenarioInvalidError: No load has this name.
    """
    load = open_scenario.LOADS.get(name)
    if load is None:
        known = ", ".join(open_scenario.LOADS)
        raise errors.ScenarioInvalidError(f"no load {name!r}; there are {known}")
    ends = open_load.Simulation(load, segments.Codec(), seed).run()
    if plot is not None:
        _draw(load, ends, plot, f"{name}, seed {seed}")
    counted = asked_between(ends, WARM_UP_MS, load.duration_ms - COOL_DOWN_MS)
    kinds = [f"{kind.name}:{_worth_of_kind(counted, kind):.3f}" for kind in load.kinds]
    return Row(
        name,
        seed,
        len(counted),
        round(open_load.worth_ratio(counted), 3),
        round(open_load.max_worth_ratio(load), 3),
        round(sum(item.in_time for item in counted) / len(counted), 3),
        round(sum(item.took_ms is not None for item in counted) / len(counted), 3),
        ",".join(kinds),
    )


def _worth_of_kind(
    ends: typing.Iterable[open_load.End], kind: open_scenario.Kind
) -> float:
    return open_load.worth_ratio(item for item in ends if item.kind is kind)


def asked_between(
    ends: typing.Iterable[open_load.End], from_ms: int, to_ms: int
) -> list[open_load.End]:
    """Return the requests sent from one time up to, not including, another."""
    return [item for item in ends if from_ms <= item.asked_ms < to_ms]


def _draw(
    load: open_scenario.Load,
    ends: typing.Iterable[open_load.End],
    path: pathlib.Path,
    title: str,
) -> None:
    counts: dict[str, collections.Counter[int]] = collections.defaultdict(
        collections.Counter
    )
    for item in ends:
        outcome = "late"
        if item.took_ms is None:
            outcome = "failed"
        elif item.in_time:
            outcome = "in_time"
        counts[outcome][item.asked_ms // BIN_MS] += 1
    bins = range(load.duration_ms // BIN_MS)
    parts = [
        chart.Series(outcome, color, [counts[outcome][number] for number in bins])
        for outcome, color in (
            ("in_time", "tab:green"),
            ("late", "tab:orange"),
            ("failed", "tab:red"),
        )
    ]
    marks = [
        chart.Mark(item.kind, item.at_ms / 1000, item.until_ms / 1000)
        for item in load.events
    ]
    chart.draw(path, title, BIN_MS / 1000, parts, marks)
