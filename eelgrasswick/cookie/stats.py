"""Counters, gauges and latency histograms in the Prometheus text format."""

import bisect
import collections
import typing

PREFIX: typing.Final = "eelgrasswick_"
# The bounds range from well below a local round trip to the longest usual deadline.
BOUNDS_MS: typing.Final = (1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000)


class Histogram:
    """Counts of values in ms, by fixed upper bounds."""

    def __init__(self) -> None:
        """Create an empty histogram."""
        self._counts = [0] * (len(BOUNDS_MS) + 1)
        self._sum_ms = 0

    def add(self, value_ms: int) -> None:
        """Add a value to its bucket and to the sum."""
        self._counts[bisect.bisect_left(BOUNDS_MS, value_ms)] += 1
        self._sum_ms += value_ms

    def lines(self, name: str) -> list[str]:
        """Return the histogram in the Prometheus text format."""
        lines = [f"# TYPE {name} histogram"]
        total = 0
        for bound, count in zip((*BOUNDS_MS, "+Inf"), self._counts, strict=True):
            total += count
            lines.append(f'{name}_bucket{{le="{bound}"}} {total}')
        return [*lines, f"{name}_sum {self._sum_ms}", f"{name}_count {total}"]


class Stats:
    """Registry of all counters, gauges and histograms of one process.

    Attributes:
        counts: Counters by name, without prefix and suffix.
        gauges: Gauges by name, without prefix.
    """

    def __init__(self) -> None:
        """Create a registry without any metrics."""
        self.counts: collections.Counter[str] = collections.Counter()
        self.gauges: dict[str, int] = {}
        self._histograms: dict[str, Histogram] = collections.defaultdict(Histogram)

    def observe(self, name: str, value_ms: int) -> None:
        """Add a duration in ms to a histogram."""
        self._histograms[name].add(value_ms)

    def text(self) -> str:
        """Return all metrics in the Prometheus text format."""
        lines = []
        for name, count in sorted(self.counts.items()):
            full = f"{PREFIX}{name}_total"
            lines += [f"# TYPE {full} counter", f"{full} {count}"]
        for name, value in sorted(self.gauges.items()):
            lines += [f"# TYPE {PREFIX}{name} gauge", f"{PREFIX}{name} {value}"]
        for name, histogram in sorted(self._histograms.items()):
            lines += histogram.lines(f"{PREFIX}{name}_ms")
        return "\n".join(lines) + "\n"
