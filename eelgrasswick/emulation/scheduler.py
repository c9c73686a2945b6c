"""A scheduler of calls in virtual time."""

import heapq
import typing


class Scheduler:
    """Runs calls in the order in which they are due in virtual time.

    Attributes:
        now_ms: Present virtual time in milliseconds.
    """

    def __init__(self) -> None:
        """Create an empty schedule at time 0."""
        self.now_ms = 0
        self._call_count = 0
        self._queue: list[tuple[int, int, typing.Callable[..., None], typing.Any]] = []

    def call_later(
        self, delay_ms: float, call: typing.Callable[..., None], *arguments: typing.Any
    ) -> None:
        """Schedule a call after a delay.

        Calls that are due at the same time run in the order of their scheduling.
        """
        self._call_count += 1
        due_ms = self.now_ms + int(delay_ms)
        heapq.heappush(self._queue, (due_ms, self._call_count, call, arguments))

    def run(self, until_ms: int) -> None:
        """Run all calls that are due at or before a time."""
        while self._queue and self._queue[0][0] <= until_ms:
            self.now_ms, _, call, arguments = heapq.heappop(self._queue)
            call(*arguments)
