"""Estimate of the usual answer time of a service and its deviation.

Load pattern: services whose work differs, so that an answer time that is overdue for
one is usual for another. Mean and mean deviation are smoothed as in RFC 6298. The mean
plus ``DEVIATIONS`` deviations is the time after which a missing answer is evidence of a
fault.
"""

import typing

# These are the weights of a new sample in the mean and in the deviation, and the number
# of deviations above the mean that are still usual, as in RFC 6298.
MEAN_WEIGHT: typing.Final = 1 / 8
DEVIATION_WEIGHT: typing.Final = 1 / 4
DEVIATIONS: typing.Final = 4


class _Estimate(typing.NamedTuple):
    mean_ms: float
    deviation_ms: float


class ResponseTimes:
    """Smoothed answer times by service."""

    def __init__(self) -> None:
        """Create an empty table."""
        self._estimates: dict[str, _Estimate] = {}

    def answered(self, service: str, answer_ms: float) -> None:
        """Record how long a service took for an answer."""
        known = self._estimates.get(service)
        if known is None:
            self._estimates[service] = _Estimate(answer_ms, answer_ms / 2)
            return
        error_ms = answer_ms - known.mean_ms
        self._estimates[service] = _Estimate(
            known.mean_ms + MEAN_WEIGHT * error_ms,
            known.deviation_ms
            + DEVIATION_WEIGHT * (abs(error_ms) - known.deviation_ms),
        )

    def limit_ms(self, service: str) -> float | None:
        """Return the longest usual answer time; None before the first answer."""
        known = self._estimates.get(service)
        if known is None:
            return None
        return known.mean_ms + DEVIATIONS * known.deviation_ms

    def mean_ms(self, service: str) -> float | None:
        """Return the smoothed answer time; None before the first answer."""
        known = self._estimates.get(service)
        return None if known is None else known.mean_ms

    def retain(self, services: typing.Collection[str]) -> None:
        """Delete the records of all other services."""
        for service in [item for item in self._estimates if item not in services]:
            del self._estimates[service]
