"""The clock that ages are measured by."""

import time


def now_ms() -> int:
    """Return milliseconds since some moment, time spent suspended included.

    Without it a VM that was suspended for seconds would wake up and take what
    it knows for fresh.
    """
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000
