"""Estimate of the load of a pool, from the responses that one VM forwards.

By Little's law the mean number of requests in flight is the sum of the response times
that end in a span over the length of the span. It varies less than samples of the
present number. The fabric spreads callers evenly over the VMs of a zone, so that the
VM's own mean times the number of VMs estimates the load of the whole pool.
"""

import collections
import typing

from eelgrasswick.decisions import overload

# The estimate covers the responses of this time.
WINDOW_MS: typing.Final = 1000
# Fewer responses than this give no estimate. In a large fleet a VM forwards a few
# requests a minute to most pools.
MIN_RESPONSES: typing.Final = 4


class _Response(typing.NamedTuple):
    at_ms: int
    answer_ms: int


class PoolLoad:
    """Responses of the last second, by pool."""

    def __init__(self) -> None:
        """Create an empty table."""
        self._responses: dict[overload.Pool, collections.deque[_Response]] = {}

    def record(self, now_ms: int, pool: overload.Pool, answer_ms: int) -> None:
        """Record a response."""
        found = self._responses.setdefault(pool, collections.deque())
        found.append(_Response(now_ms, answer_ms))

    def in_flight(self, now_ms: int, vms: int) -> dict[overload.Pool, float]:
        """Return the estimated requests in flight of the pools with enough responses.

        Args:
            now_ms: Present time.
            vms: Number of VMs that callers of this zone are spread over.
        """
        found = {}
        for pool, responses in list(self._responses.items()):
            while responses and now_ms - responses[0].at_ms > WINDOW_MS:
                responses.popleft()
            if not responses:
                del self._responses[pool]
            elif len(responses) >= MIN_RESPONSES:
                total_ms = sum(item.answer_ms for item in responses)
                found[pool] = vms * total_ms / WINDOW_MS
        return found
