"""Virtual time: what is to happen, in the order in which it is due."""

import heapq
import typing


class Scheduler:
    """Calls that are due at moments of virtual time.

    Attributes:
        now_ms: The present moment.
    """

    def __init__(self) -> None:
        """Begin at zero with nothing due."""
        self.now_ms = 0
        self._count = 0
        self._due: list[tuple[int, int, typing.Callable[..., None], typing.Any]] = []

    def call_later(
        self, delay_ms: float, call: typing.Callable[..., None], *arguments: typing.Any
    ) -> None:
        """Call something after a delay; calls due together keep their order."""
        self._count += 1
        due_ms = self.now_ms + int(delay_ms)
        heapq.heappush(self._due, (due_ms, self._count, call, arguments))

    def run(self, until_ms: int) -> None:
        """Make all calls that are due up to a moment."""
        while self._due and self._due[0][0] <= until_ms:
            self.now_ms, _, call, arguments = heapq.heappop(self._due)
            call(*arguments)
