"""Detects stalls of this VM.

After a VM was suspended, or got no processor time because of other load on its host,
its timers run before it reads the packets that arrived in the meantime. A probe then
times out although its answer is in the socket, and queued packets look new.
"""

import collections
import typing

# A VM without activity for longer than this was suspended or stalled. Its callers have
# retransmitted by then, and the fabric has begun to exclude the VM.
STALL_MS: typing.Final = 400
# A caller sends the first copy of an opening packet after 200 ms. After a gap longer
# than this, a queued packet may be answered only after its copy was sent, which another
# VM may have received.
QUEUED_MS: typing.Final = 150
# A gap longer than this leaves too little of a probe's time-out of 250 ms. Without a
# fault a VM is active at least every 100 ms.
PROBE_GAP_MS: typing.Final = 175
# Gaps above MIN_RECORDED_GAP_MS are kept for the log, MAX_RECORDED_GAPS of them.
MIN_RECORDED_GAP_MS: typing.Final = 20
MAX_RECORDED_GAPS: typing.Final = 64
# After a stall a VM needs this time to read the backlog of its socket: 200 KB are 2,000
# packets of 100 bytes, at 25 us each.
BACKLOG_MS: typing.Final = 50


class Stalls:
    """Gaps between the activities of this VM."""

    def __init__(self, now_ms: int) -> None:
        """Create a detector whose last activity is now."""
        self._active_ms = now_ms
        self._long_gap_ms = now_ms
        # Each entry holds the end of a gap and its length, both in ms.
        self._gaps: collections.deque[tuple[int, int]] = collections.deque(
            maxlen=MAX_RECORDED_GAPS
        )

    def record_activity(self, now_ms: int) -> int:
        """Record an activity; return the time since the previous one in ms."""
        gap_ms = now_ms - self._active_ms
        self._active_ms = now_ms
        if gap_ms > MIN_RECORDED_GAP_MS:
            self._gaps.append((now_ms, gap_ms))
        if gap_ms > PROBE_GAP_MS:
            self._long_gap_ms = now_ms
        return gap_ms

    def gap_since(self, begun_ms: int, now_ms: int) -> bool:
        """Return True when a gap may have made a timer expire.

        Args:
            begun_ms: Time when the timer was started.
            now_ms: Present time.
        """
        return self._long_gap_ms > begun_ms or now_ms - self._active_ms > PROBE_GAP_MS

    def queued_ms(self, read_ms: int) -> int:
        """Return how long a packet may have been queued in the socket.

        Args:
            read_ms: Time when the packet was read.
        """
        first_ms = read_ms - BACKLOG_MS
        return max(
            (gap for ended_ms, gap in self._gaps if first_ms <= ended_ms <= read_ms),
            default=0,
        )

    def longest_gap_ms(self, begun_ms: int, now_ms: int) -> int:
        """Return the longest gap since a time, as far as gaps are recorded."""
        recorded = [gap_ms for ended_ms, gap_ms in self._gaps if ended_ms > begun_ms]
        return max([now_ms - self._active_ms, *recorded])
