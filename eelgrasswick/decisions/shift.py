"""Budget of exceptions, and the speed at which strengths change.

Load pattern: many homes act on the same late figures. If each moved as many flows as it
chose, a target would be emptied and flooded in turn, and exceptions would use up the
few kilobytes a second that control traffic may take.

An exception costs two messages of about 30 bytes, one when it begins and one when it
ends. ``EXCEPTIONS_PER_S`` uses a tenth of 17 KB a second at that cost. While little of
the budget is used the bound is tight, because a home with few flows can afford to place
nearly all of them evenly. As the budget is used up, the bound widens to
``MAX_LOAD_FACTOR``, which few flows ever reach.
"""

import math
import typing

EXCEPTIONS_PER_S: typing.Final = 28.0
BURST_S: typing.Final = 10.0
MIN_LOAD_FACTOR: typing.Final = 1.05
MAX_LOAD_FACTOR: typing.Final = 1.25
MAX_STEP_PER_S: typing.Final = 0.5


class ExceptionBudget:
    """A token bucket of exceptions, and the load bound that follows from it."""

    def __init__(self, per_s: float = EXCEPTIONS_PER_S) -> None:
        """Create a full budget that refills by ``per_s`` exceptions a second."""
        self._per_s = per_s
        self._max = per_s * BURST_S
        self._left = self._max
        self._refilled_ms = 0

    def factor(self, now_ms: int) -> float:
        """Return how far above its share a target may be.

        When the budget is empty there is no bound, and flows go where hashing alone
        puts them.
        """
        self._refill(now_ms)
        if self._left < 1:
            return math.inf
        return MIN_LOAD_FACTOR + (MAX_LOAD_FACTOR - MIN_LOAD_FACTOR) * (
            1 - self._left / self._max
        )

    def spend(self, now_ms: int) -> None:
        """Record an exception."""
        self._refill(now_ms)
        self._left = max(0.0, self._left - 1)

    def _refill(self, now_ms: int) -> None:
        refill = max(0, now_ms - self._refilled_ms) / 1000 * self._per_s
        self._left = min(self._max, self._left + refill)
        self._refilled_ms = now_ms


def approach(current: float, wanted: float, elapsed_ms: int) -> float:
    """Return the next value of a figure that follows another at a limited speed.

    If a measured strength changed at once, all work of a target would move at once,
    while the figures that follow from it are seconds late.

    Args:
        current: The value in use.
        wanted: The value to reach.
        elapsed_ms: Milliseconds since the last step.

    Returns:
        The next value. It differs from the current one by at most ``MAX_STEP_PER_S`` of
        it for each second.
    """
    max_step = current * MAX_STEP_PER_S * elapsed_ms / 1000
    return current + max(-max_step, min(max_step, wanted - current))
