"""Plays loads whose requests come whether or not earlier ones are answered."""

import collections
import pathlib
import typing

from eelgrasswick import errors, picture
from eelgrasswick.emulation import open_load, open_scenario
from eelgrasswick.platform import segments

BIN_MS: typing.Final = 500
# Requests of the first seconds find empty queues, and those of the last ones may
# still wait when the run ends. Neither counts.
BEGIN_MS: typing.Final = 2000
END_MS: typing.Final = 1500


class Row(typing.NamedTuple):
    """What callers got under a load.

    Attributes:
        load: Its name.
        seed: The seed.
        asked: Requests that count.
        worth: What the answers were worth, over what all in time would be.
        best: The worth that no decider can pass while demand is steady.
        in_time: Part answered in time.
        served: Part answered at all.
        by_kind: The worth of each kind of request.
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
    """Play one load.

    Args:
        name: A key of ``open_scenario.LOADS``.
        seed: Decides all random choices.
        plot: Where to draw service over time; None for nowhere.

    Raises:
        errors.ScenarioInvalidError: There is no such load.
    """
    load = open_scenario.LOADS.get(name)
    if load is None:
        known = ", ".join(open_scenario.LOADS)
        raise errors.ScenarioInvalidError(f"no load {name!r}; there are {known}")
    ends = open_load.Simulation(load, segments.Codec(), seed).run()
    if plot is not None:
        _draw(load, ends, plot, f"{name}, seed {seed}")
    counted = between(ends, BEGIN_MS, load.duration_ms - END_MS)
    kinds = [f"{kind.name}:{_worth_of(counted, kind):.3f}" for kind in load.kinds]
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


def _worth_of(ends: typing.Iterable[open_load.End], kind: open_scenario.Kind) -> float:
    return open_load.worth_ratio(item for item in ends if item.kind is kind)


def between(
    ends: typing.Iterable[open_load.End], from_ms: int, to_ms: int
) -> list[open_load.End]:
    """Return the requests that were asked in a span of time."""
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
        sort = "late"
        if item.took_ms is None:
            sort = "failed"
        elif item.in_time:
            sort = "in_time"
        counts[sort][item.asked_ms // BIN_MS] += 1
    bins = range(load.duration_ms // BIN_MS)
    parts = [
        picture.Series(sort, color, [counts[sort][number] for number in bins])
        for sort, color in (
            ("in_time", "tab:green"),
            ("late", "tab:orange"),
            ("failed", "tab:red"),
        )
    ]
    marks = [
        picture.Mark(item.kind, item.at_ms / 1000, item.until_ms / 1000)
        for item in load.events
    ]
    picture.draw(path, title, BIN_MS / 1000, parts, marks)
