"""How far and how fast placement may leave what hashing alone would do.

Load pattern: many homes act on the same late figures. If each moved as much as
it liked, a target would be emptied and flooded in turn, and exceptions would
fill the few kilobytes a second that control traffic may take.

An exception costs two messages of about 30 bytes, one when it begins and one
when it ends. ``EXCEPTIONS_PER_S`` is a tenth of 17 KB a second by that cost.
While little of it is used the bound is tight, because a home with few flows can
afford to place nearly all of them evenly; as it is used up, the bound widens
to ``LOOSE``, which few flows ever reach.
"""

import math
import typing

EXCEPTIONS_PER_S: typing.Final = 28.0
BURST_S: typing.Final = 10.0
MIN_LOAD_FACTOR: typing.Final = 1.05
MAX_LOAD_FACTOR: typing.Final = 1.25
STEP_PER_S: typing.Final = 0.5


class ExceptionBudget:
    """A budget of exceptions that refills, and the bound it leaves."""

    def __init__(self, per_s: float = EXCEPTIONS_PER_S) -> None:
        """Start with a full budget of ``per_s`` exceptions a second."""
        self._per_s = per_s
        self._full = per_s * BURST_S
        self._left = self._full
        self._at_ms = 0

    def factor(self, now_ms: int) -> float:
        """Return how far above its share a target may be.

        Without any budget left there is no bound, and flows go where hashing
        alone puts them.
        """
        self._refill(now_ms)
        if self._left < 1:
            return math.inf
        return MIN_LOAD_FACTOR + (MAX_LOAD_FACTOR - MIN_LOAD_FACTOR) * (
            1 - self._left / self._full
        )

    def spend(self, now_ms: int) -> None:
        """Note an exception."""
        self._refill(now_ms)
        self._left = max(0.0, self._left - 1)

    def _refill(self, now_ms: int) -> None:
        gained = max(0, now_ms - self._at_ms) / 1000 * self._per_s
        self._left = min(self._full, self._left + gained)
        self._at_ms = now_ms


def approach(present: float, wanted: float, elapsed_ms: int) -> float:
    """Return a figure that follows another at a limited speed.

    A learned strength that jumped would move a target's whole work at once, and
    the figures that follow from it are seconds late.

    Args:
        present: The figure in use.
        wanted: The figure it should come to.
        elapsed_ms: Time since the last step.

    Returns:
        The next figure, at most ``STEP_PER_S`` of the present one away for each
        second.
    """
    most = present * STEP_PER_S * elapsed_ms / 1000
    return present + max(-most, min(most, wanted - present))
