"""The event log of an entry VM: bounded, and never in the way of packets."""

import os
import time
import typing

from eelgrasswick import log_line
from eelgrasswick.cookie import clock, stats

# What may wait for whoever reads standard output. Beyond it lines are left out.
MAX_PENDING_BYTES: typing.Final = 256_000


class EventLog:
    """Writes lines to a file descriptor that must not block."""

    def __init__(
        self,
        descriptor: int,
        vm: str,
        per_s: int,
        counted: stats.Stats,
        now_ms: typing.Callable[[], int] = clock.now_ms,
    ) -> None:
        """Write for a VM.

        Args:
            descriptor: File descriptor to write to.
            vm: Name of the VM.
            per_s: Lines of one sort that are written each second, at most.
            counted: Counts what was left out.
            now_ms: The clock by which seconds are told apart.
        """
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._vm = vm
        self._bound = log_line.LineRateLimiter(per_s)
        self._stats = counted
        self._now_ms = now_ms
        self._pending = bytearray()

    def write(self, event: str, **fields: object) -> None:
        """Write a line, unless its sort has had its lines this second."""
        for sort, count in self._bound.next_second(self._now_ms()):
            self._stats.counts["log_lines_left_out"] += count
            self._line("log_bounded", {"sort": sort, "left_out": count})
        if self._bound.allows(event):
            self._line(event, fields)

    def flush(self) -> None:
        """Write what waits, as far as the reader takes it."""
        while self._pending:
            try:
                written = os.write(self._descriptor, self._pending)
            except BlockingIOError:
                # The reader is slow. Waiting for it would hold up packets.
                return
            except OSError:
                # Nobody reads any more; what can be told is in the counters.
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
