"""How long a service usually takes for an answer, with its spread.

Answers the load of services whose work differs: what is overdue for one is usual
for another. Mean and mean deviation are smoothed as in RFC 6298, and their sum says
how long an answer may take before its absence is a sign.
"""

import typing

# Weights of a new sample in the mean and in the deviation, and how many deviations
# above the mean are still usual; as in RFC 6298.
MEAN_WEIGHT: typing.Final = 1 / 8
DEVIATION_WEIGHT: typing.Final = 1 / 4
DEVIATIONS: typing.Final = 4


class _Estimate(typing.NamedTuple):
    mean_ms: float
    deviation_ms: float


class ResponseTimes:
    """Smoothed answer times by service."""

    def __init__(self) -> None:
        """Know no service."""
        self._estimates: dict[str, _Estimate] = {}

    def answered(self, service: str, answer_ms: float) -> None:
        """Note how long a service took for an answer."""
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
        """Return how long an answer may usually take; None when none was seen."""
        known = self._estimates.get(service)
        if known is None:
            return None
        return known.mean_ms + DEVIATIONS * known.deviation_ms

    def keep(self, services: typing.Collection[str]) -> None:
        """Forget all other services."""
        for service in [item for item in self._estimates if item not in services]:
            del self._estimates[service]
