"""Whether this VM has stood still, and since when.

A VM that was suspended, or that its neighbours keep from the processor, runs its
timers before it reads what came meanwhile. A probe then times out although its
answer lies in the socket, and packets that waited look new.
"""

import typing

# A VM that did nothing for so long was suspended or stood still. Its callers
# have sent copies by then, and the fabric has begun to leave it out.
STALL_MS: typing.Final = 400
# A gap that leaves too little of a probe's 250 ms. In good times something is done
# each 100 ms at least.
PROBE_GAP_MS: typing.Final = 175


class Stalls:
    """Gaps between the moments at which this VM did something."""

    def __init__(self, now_ms: int) -> None:
        """Begin awake."""
        self._awake_ms = now_ms
        self._long_gap_ms = now_ms

    def record_activity(self, now_ms: int) -> int:
        """Note that this VM does something; return for how long it did nothing."""
        gap_ms = now_ms - self._awake_ms
        self._awake_ms = now_ms
        if gap_ms > PROBE_GAP_MS:
            self._long_gap_ms = now_ms
        return gap_ms

    def gap_since(self, begun_ms: int, now_ms: int) -> bool:
        """Tell whether a timer that began then may have run out for a gap."""
        return self._long_gap_ms > begun_ms or now_ms - self._awake_ms > PROBE_GAP_MS
