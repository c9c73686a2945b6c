"""Detects services whose flows carry a single request each.

Load pattern: services whose callers keep a flow open for many requests, beside services
whose callers open a flow for each request. A flow of a single request can be scheduled
like a request: it occupies a slot from its opening to its response. A flow that is kept
open occupies none between its requests, so that scheduling its opening would limit the
number of flows and not the load.
"""

import typing

# A new request has this weight in the smoothed share of requests on reused flows.
SMOOTHING: typing.Final = 1 / 32
# The share is used after this many requests.
MIN_REQUESTS: typing.Final = 16
# With at most this share of requests on reused flows, the flows of a service count as
# flows of a single request.
MAX_REUSED_SHARE: typing.Final = 0.1


class _Share(typing.NamedTuple):
    reused: float
    requests: int


class FlowReuse:
    """Share of requests on reused flows, by service."""

    def __init__(self) -> None:
        """Create an empty table."""
        self._shares: dict[str, _Share] = {}

    def record(self, service: str, request_number: int) -> None:
        """Record a request.

        Args:
            service: Name of the service.
            request_number: Number of the request on its flow, from 1.
        """
        known = self._shares.get(service, _Share(0.0, 0))
        weight = max(SMOOTHING, 1 / (known.requests + 1))
        reused = known.reused + weight * ((request_number > 1) - known.reused)
        self._shares[service] = _Share(reused, known.requests + 1)

    def single_request(self, service: str) -> bool:
        """Return True when the flows of a service carry a single request each."""
        known = self._shares.get(service)
        if known is None or known.requests < MIN_REQUESTS:
            return False
        return known.reused <= MAX_REUSED_SHARE

    def retain(self, services: typing.Collection[str]) -> None:
        """Delete the records of all other services."""
        for service in [item for item in self._shares if item not in services]:
            del self._shares[service]
