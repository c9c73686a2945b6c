"""Exponential backoff with jitter for failed calls.

Load pattern: the platform's store fails and recovers. If all watchers called again at
the same moment, the store would be overloaded as it recovers. The wait doubles from
``MIN_WAIT_MS`` to ``MAX_WAIT_MS``, and jitter spreads the callers. The longest wait is
below the three seconds within which a change must be in force.
"""

import typing

MIN_WAIT_MS: typing.Final = 100
MAX_WAIT_MS: typing.Final = 1500


def wait_ms(failures: int, fraction: float) -> int:
    """Return the wait before the next attempt.

    Args:
        failures: Consecutive failed attempts, at least 1.
        fraction: Random number from 0 to 1.

    Returns:
        Milliseconds, between half of the full wait and all of it.
    """
    full = min(MAX_WAIT_MS, MIN_WAIT_MS * 2 ** min(failures - 1, 10))
    return int(full * (0.5 + 0.5 * fraction))
