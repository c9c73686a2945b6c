"""How long to wait before a failed call is made again.

Load pattern: the platform's store goes down and comes back. If all watchers
called again at once, in step, the store would be pushed over as it returns. The
wait doubles from ``FIRST_MS`` to ``LAST_MS``, and a random part spreads callers;
the last wait is below the three seconds in which a change must be in force.
"""

import typing

FIRST_MS: typing.Final = 100
LAST_MS: typing.Final = 1500


def wait_ms(failures: int, fraction: float) -> int:
    """Return the wait before the next try.

    Args:
        failures: Failed tries in a row, from 1.
        fraction: A random number from 0 to 1.

    Returns:
        Milliseconds, between half of the full wait and all of it.
    """
    full = min(LAST_MS, FIRST_MS * 2 ** min(failures - 1, 10))
    return int(full * (0.5 + 0.5 * fraction))
