"""Runs loads on flows whose packets name their target; plots callers' service."""

import collections
import pathlib
import typing

from eelgrasswick import chart, errors
from eelgrasswick.emulation import cookie_load, cookie_scenario
from eelgrasswick.platform import segments

BIN_MS: typing.Final = 500


class Row(typing.NamedTuple):
    """Service that callers received under a load.

    ``cookie_load.Result`` documents the fields after ``seed``.

    Attributes:
        load: Name of the load.
        seed: Seed of all random choices.
    """

    load: str
    seed: int
    asked: int
    in_time: float
    served: float
    p99_ms: int
    busiest: float
    crossed: float


class EndCounts(typing.NamedTuple):
    """Numbers of requests that ended in one bin of half a second.

    Attributes:
        in_time: Requests answered within the load's target time.
        late: Requests answered later than that.
        failed: Requests without an answer.
    """

    in_time: int
    late: int
    failed: int


def play(name: str, seed: int, plot: pathlib.Path | None = None) -> Row:
    """Run one load and return the service that callers received.

    Args:
        name: A key of ``cookie_scenario.LOADS``.
        seed: Seed of all random choices.
        plot: Path of a plot of service over time; None for no plot.

    Raises:
        errors.ScenarioInvalidError: No load has this name.
    """
    load = cookie_scenario.LOADS.get(name)
    if load is None:
        known = ", ".join(cookie_scenario.LOADS)
        raise errors.ScenarioInvalidError(f"no load {name!r}; there are {known}")
    run = cookie_load.Simulation(load, segments.Codec(), seed)
    result = run.run()
    if plot is not None:
        draw(load, timeline(load, run.ends), plot, f"{name}, seed {seed}")
    return Row(
        name,
        seed,
        result.asked,
        round(result.in_time, 3),
        round(result.served, 3),
        result.p99_ms,
        round(result.busiest, 3),
        round(result.crossed, 3),
    )


def timeline(
    load: cookie_scenario.Load, ends: typing.Iterable[cookie_load.End]
) -> list[EndCounts]:
    """Return the numbers of requests by outcome, one item per half second."""
    late: collections.Counter[int] = collections.Counter()
    failed: collections.Counter[int] = collections.Counter()
    in_time: collections.Counter[int] = collections.Counter()
    for item in ends:
        count = in_time
        if item.took_ms is None:
            count = failed
        elif item.took_ms > load.objective_ms:
            count = late
        count[item.at_ms // BIN_MS] += 1
    bins = range(load.duration_ms // BIN_MS)
    return [EndCounts(in_time[n], late[n], failed[n]) for n in bins]


def draw(
    load: cookie_scenario.Load,
    bins: typing.Sequence[EndCounts],
    path: pathlib.Path,
    title: str,
) -> None:
    """Write a plot of service over time, with the load's faults marked.

    Args:
        load: The load that was run.
        bins: Numbers of requests by outcome, one item per bin.
        path: Path of the plot; its suffix selects the format.
        title: Title of the plot.
    """
    colors = ("tab:green", "tab:orange", "tab:red")
    parts = [
        chart.Series(label, color, counts)
        for label, color, counts in zip(
            EndCounts._fields, colors, zip(*bins, strict=True), strict=True
        )
    ]
    marks = [
        chart.Mark(item.kind, item.at_ms / 1000, item.until_ms / 1000)
        for item in load.events
    ]
    chart.draw(path, title, BIN_MS / 1000, parts, marks)
