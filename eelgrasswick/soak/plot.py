"""A picture of a run: what callers got over time, and when faults began."""

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


def counts(
    events: typing.Sequence[history.Event], begun_s: float
) -> dict[history.Kind, list[int]]:
    """Return how many requests ended in each way, by bin of half a second."""
    ends = [item for item in events if item.kind in _COLORS]
    bins = [int((item.at_s - begun_s) / BIN_S) for item in ends]
    found = {kind: [0] * (max(bins, default=0) + 1) for kind in _COLORS}
    for item, number in zip(ends, bins, strict=True):
        found[item.kind][number] += 1
    return found


def draw(
    events: typing.Sequence[history.Event], path: pathlib.Path, title: str
) -> None:
    """Write the picture of a run.

    Args:
        events: Everything that was seen.
        path: Where the picture goes; its ending tells the format.
        title: What stands above it.
    """
    begun_s = min(item.at_s for item in events)
    parts = [
        chart.Series(kind.value, _COLORS[kind], by_bin)
        for kind, by_bin in counts(events, begun_s).items()
    ]
    faults = [item for item in events if item.kind is history.Kind.FAULT]
    times_s = [item.at_s - begun_s for item in faults]
    marks = [
        chart.Mark(item.detail.split()[0], at_s, at_s)
        for item, at_s in zip(faults, times_s, strict=True)
    ]
    chart.draw(path, title, BIN_S, parts, marks)
