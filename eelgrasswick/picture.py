"""A picture of service over time: how requests ended, and what went wrong when."""

import pathlib
import typing

# How wide a mark is that has no length, and over how many lines labels are spread.
MIN_MARK_WIDTH_S: typing.Final = 0.02
LABEL_ROWS: typing.Final = 16


class Series(typing.NamedTuple):
    """Requests that ended in one way.

    Attributes:
        label: The way.
        color: How it is drawn.
        counts: By bin, from the start on.
    """

    label: str
    color: str
    counts: typing.Sequence[int]


class Mark(typing.NamedTuple):
    """Something that went wrong.

    Attributes:
        label: What; empty for none.
        at_s: When it began.
        until_s: When it was over.
    """

    label: str
    at_s: float
    until_s: float


def draw(
    path: pathlib.Path,
    title: str,
    bin_s: float,
    parts: typing.Sequence[Series],
    marks: typing.Iterable[Mark],
) -> None:
    """Write a picture of stacked counts with marks.

    Args:
        path: Where it goes; its ending tells the format.
        title: What stands above it.
        bin_s: Width of a bin in seconds.
        parts: What is stacked, all of one length.
        marks: What is marked.
    """
    # Imported here: only developers have the library, and few runs need it.
    from matplotlib import figure

    made = figure.Figure(figsize=(10, 4), layout="constrained")
    axes = made.add_subplot()
    below = [0] * len(parts[0].counts)
    at_s = [number * bin_s for number in range(len(below))]
    for item in parts:
        axes.bar(
            at_s,
            item.counts,
            bin_s,
            below,
            color=item.color,
            label=item.label,
            align="edge",
        )
        below = [sum(pair) for pair in zip(below, item.counts, strict=True)]
    for number, mark in enumerate(marks):
        end_s = max(mark.until_s, mark.at_s + MIN_MARK_WIDTH_S)
        axes.axvspan(mark.at_s, end_s, color="black", alpha=0.08, zorder=0)
        # One above the other, as several things may go wrong at once.
        height = number % LABEL_ROWS / LABEL_ROWS
        place = axes.get_xaxis_transform()
        axes.text(mark.at_s, height, mark.label, fontsize=7, transform=place)
    axes.set(title=title, xlabel="seconds", ylabel=f"requests in {bin_s} s")
    axes.legend(loc="upper right")
    made.savefig(path)
