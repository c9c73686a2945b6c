"""A chart of a run: outcomes of requests over time, and the start of each fault."""

import pathlib
import typing

from eelgrasswick import chart
from eelgrasswick.soak import history

BIN_S: typing.Final = 0.5
_COLORS: typing.Final = {
    history.Kind.ANSWERED: "tab:green",
    history.Kind.LOST: "tab:red",
    history.Kind.RESET: "tab:orange",
    history.Kind.REFUSED: "tab:purple",
}


def count_outcomes(
    events: typing.Sequence[history.Event], start_s: float
) -> dict[history.Kind, list[int]]:
    """Return the number of requests with each outcome, by bins of BIN_S seconds.

    Args:
        events: All recorded events.
        start_s: Monotonic time at which the first bin starts.
    """
    ended = [item for item in events if item.kind in _COLORS]
    bins = [int((item.at_s - start_s) / BIN_S) for item in ended]
    counts = {kind: [0] * (max(bins, default=0) + 1) for kind in _COLORS}
    for item, number in zip(ended, bins, strict=True):
        counts[item.kind][number] += 1
    return counts


def draw(
    events: typing.Sequence[history.Event], path: pathlib.Path, title: str
) -> None:
    """Write the chart of a run.

    Args:
        events: All recorded events.
        path: Output file; the suffix selects the format.
        title: Title above the chart.
    """
    start_s = min(item.at_s for item in events)
    series = [
        chart.Series(kind.value, _COLORS[kind], by_bin)
        for kind, by_bin in count_outcomes(events, start_s).items()
    ]
    faults = [item for item in events if item.kind is history.Kind.FAULT]
    times_s = [item.at_s - start_s for item in faults]
    marks = [
        chart.Mark(item.detail.split()[0], at_s, at_s)
        for item, at_s in zip(faults, times_s, strict=True)
    ]
    chart.draw(path, title, BIN_S, series, marks)
