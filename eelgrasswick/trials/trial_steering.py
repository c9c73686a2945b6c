"""Plays loads on flows that name their target, and draws what callers got."""

import collections
import pathlib
import typing

from eelgrasswick import errors, picture
from eelgrasswick.emulation import cookie_load, cookie_scenario
from eelgrasswick.platform import segments

BIN_MS: typing.Final = 500


class Row(typing.NamedTuple):
    """What callers got under a load; see ``cookie_load.Result``."""

    load: str
    seed: int
    asked: int
    in_time: float
    served: float
    p99_ms: int
    busiest: float
    crossed: float


class Second(typing.NamedTuple):
    """Requests that ended in one bin of half a second."""

    in_time: int
    late: int
    failed: int


def play(name: str, seed: int, picture: pathlib.Path | None = None) -> Row:
    """Play one load.

    Args:
        name: A key of ``cookie_scenario.LOADS``.
        seed: Decides all random choices.
        picture: Where to draw service over time; None for nowhere.

    Raises:
        errors.ScenarioInvalidError: There is no such load.
    """
    load = cookie_scenario.LOADS.get(name)
    if load is None:
        known = ", ".join(cookie_scenario.LOADS)
        raise errors.ScenarioInvalidError(f"no load {name!r}; there are {known}")
    run = cookie_load.Simulation(load, segments.Codec(), seed)
    result = run.run()
    if picture is not None:
        draw(load, timeline(load, run.ends), picture, f"{name}, seed {seed}")
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
) -> list[Second]:
    """Return how requests ended, by bins of half a second from the start on."""
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
    return [Second(in_time[n], late[n], failed[n]) for n in bins]


def draw(
    load: cookie_scenario.Load,
    seconds: typing.Sequence[Second],
    path: pathlib.Path,
    title: str,
) -> None:
    """Write a picture of service over time, with the troubles marked.

    Args:
        load: What was played.
        seconds: How requests ended, by bin.
        path: Where the picture goes; its ending tells the format.
        title: What stands above it.
    """
    colors = ("tab:green", "tab:orange", "tab:red")
    parts = [
        picture.Series(label, color, counts)
        for label, color, counts in zip(
            Second._fields, colors, zip(*seconds, strict=True), strict=True
        )
    ]
    marks = [
        picture.Mark(item.kind, item.at_ms / 1000, item.until_ms / 1000)
        for item in load.events
    ]
    picture.draw(path, title, BIN_MS / 1000, parts, marks)
