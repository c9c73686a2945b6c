"""The steady clock for ages and timers, which steps of the time of day leave alone."""

import time


def now_ms() -> int:
    """Return milliseconds since boot, including time spent suspended.

    A clock without the suspended time would make a VM that was suspended for
    seconds treat its outdated rows as current when it resumes.
    """
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000


def now_s() -> float:
    """Return the same time in seconds, for timers."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
