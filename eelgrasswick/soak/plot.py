"""A picture of a run: what callers got over time, and when faults began."""

import collections
import pathlib
import typing

from eelgrasswick.soak import history

BIN_S: typing.Final = 0.5
_COLORS: typing.Final = {
    history.Kind.ANSWERED: "tab:green",
    history.Kind.LOST: "tab:red",
    history.Kind.RESET: "tab:orange",
    history.Kind.REFUSED: "tab:purple",
}


def counts(
    events: typing.Iterable[history.Event], begun_s: float
) -> dict[history.Kind, collections.Counter[int]]:
    """Return how many requests ended in each way, by bin of half a second."""
    found = {kind: collections.Counter[int]() for kind in _COLORS}
    for item in events:
        if item.kind in found:
            found[item.kind][int((item.at_s - begun_s) / BIN_S)] += 1
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
    # Imported here: a run without a picture does not need the library.
    from matplotlib import figure

    begun_s = min(item.at_s for item in events)
    made = figure.Figure(figsize=(10, 4), layout="constrained")
    axes = made.add_subplot()
    below: collections.Counter[int] = collections.Counter()
    for kind, by_bin in counts(events, begun_s).items():
        if not by_bin:
            continue
        bins = sorted(by_bin)
        axes.bar(
            [number * BIN_S for number in bins],
            [by_bin[number] for number in bins],
            BIN_S,
            [below[number] for number in bins],
            color=_COLORS[kind],
            label=kind.value,
            align="edge",
        )
        below.update(by_bin)
    for item in events:
        if item.kind is history.Kind.FAULT:
            at_s = item.at_s - begun_s
            axes.axvline(at_s, color="black", linewidth=0.5)
            axes.text(at_s, 1.0, item.detail.split()[0], rotation=90, fontsize=6)
    axes.set(title=title, xlabel="seconds", ylabel="requests in half a second")
    axes.legend(loc="upper right")
    made.savefig(path)
