"""A chart of request outcomes over time, with marks at the times of faults."""

import pathlib
import typing

# A mark without a length is drawn with this width, so that it is visible.
MIN_MARK_WIDTH_S: typing.Final = 0.02
# Labels are distributed over this number of rows, so that they don't overlap.
LABEL_ROWS: typing.Final = 16


class Series(typing.NamedTuple):
    """Counts of the requests with one outcome.

    Attributes:
        label: Name of the outcome.
        color: Color of its bars.
        counts: Number of requests for each bin, from the start of the run.
    """

    label: str
    color: str
    counts: typing.Sequence[int]


class Mark(typing.NamedTuple):
    """A fault or another event that is marked in the chart.

    Attributes:
        label: Text of the mark; empty for none.
        at_s: Start, in seconds from the start of the run.
        until_s: End, in seconds from the start of the run.
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
    """Write a stacked bar chart with marks.

    Args:
        path: Output file; the suffix selects the format.
        title: Title above the chart.
        bin_s: Width of a bin in seconds.
        parts: Series to stack, all of the same length.
        marks: Faults to mark.
    """
    # matplotlib is imported here because only developers have it installed, and
    # few runs draw a chart.
    from matplotlib import figure

    chart = figure.Figure(figsize=(10, 4), layout="constrained")
    axes = chart.add_subplot()
    bottoms = [0] * len(parts[0].counts)
    at_s = [index * bin_s for index in range(len(bottoms))]
    for item in parts:
        axes.bar(
            at_s,
            item.counts,
            bin_s,
            bottoms,
            color=item.color,
            label=item.label,
            align="edge",
        )
        bottoms = [sum(pair) for pair in zip(bottoms, item.counts, strict=True)]
    for index, mark in enumerate(marks):
        end_s = max(mark.until_s, mark.at_s + MIN_MARK_WIDTH_S)
        axes.axvspan(mark.at_s, end_s, color="black", alpha=0.08, zorder=0)
        # Labels are stacked because several faults may overlap in time.
        height = index % LABEL_ROWS / LABEL_ROWS
        transform = axes.get_xaxis_transform()
        axes.text(mark.at_s, height, mark.label, fontsize=7, transform=transform)
    axes.set(title=title, xlabel="seconds", ylabel=f"requests in {bin_s} s")
    axes.legend(loc="upper right")
    chart.savefig(path)
