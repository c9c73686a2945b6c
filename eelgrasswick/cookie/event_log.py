"""The event log of an entry VM, which is bounded and never blocks the reactor."""

import os
import time
import typing

from eelgrasswick import log_line
from eelgrasswick.cookie import clock, stats

# Pending output for the reader of standard output is limited to about this size.
# Further lines are left out.
MAX_PENDING_BYTES: typing.Final = 256_000
# A logged traceback is limited to its end, where the innermost frames identify the
# fault.
MAX_TRACE_CHARACTERS: typing.Final = 600


class EventLog:
    """Writes log lines to a file descriptor without blocking."""

    def __init__(
        self,
        descriptor: int,
        vm: str,
        lines_per_s: int,
        counters: stats.Stats,
        now_ms: typing.Callable[[], int] = clock.now_ms,
    ) -> None:
        """Create the event log of a VM.

        Args:
            descriptor: File descriptor to write to; it is set to non-blocking.
            vm: Name of the VM.
            lines_per_s: Maximum number of lines of one event per second.
            counters: Counts the lines that were left out.
            now_ms: Clock that determines the seconds of that limit.
        """
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._vm = vm
        self._rate_limiter = log_line.LineRateLimiter(lines_per_s)
        self._stats = counters
        self._now_ms = now_ms
        self._pending = bytearray()

    def write(self, event: str, **fields: object) -> None:
        """Append a line, unless its event has reached its limit for this second."""
        for sort, count in self._rate_limiter.next_second(self._now_ms()):
            self._stats.counts["log_lines_left_out"] += count
            self._line("log_bounded", {"sort": sort, "left_out": count})
        if self._rate_limiter.allows(event):
            self._line(event, fields)

    def flush(self) -> None:
        """Write pending lines until the descriptor would block."""
        while self._pending:
            try:
                written = os.write(self._descriptor, self._pending)
            except BlockingIOError:
                # The reader is slow, and waiting for it would delay packets.
                return
            except OSError:
                # The reader is gone. The failure is visible only in the counters.
                self._stats.counts["log_write_failed"] += 1
                self._pending.clear()
                return
            del self._pending[:written]

    def _line(self, event: str, fields: dict[str, object]) -> None:
        if len(self._pending) > MAX_PENDING_BYTES:
            self._stats.counts["log_lines_left_out"] += 1
            return
        line = log_line.render(time.time(), event, {"vm": self._vm, **fields})
        self._pending += line.encode() + b"\n"
