"""Cumulative counts of this VM's requests at each target.

The counts only grow, so that a VM that receives them computes differences however many
messages were lost between two of them.
"""

import typing

from eelgrasswick.reservations import messages

# A response time counts for at most this many times the usual one of its service. A few
# requests of a long-tailed service take many times as long, and uncapped they would
# make the target that got them look slow.
MAX_TIMES_USUAL: typing.Final = 3


class _Counts:
    __slots__ = ("busy_ms", "completed", "rejected")

    def __init__(self) -> None:
        self.completed = 0
        self.busy_ms = 0
        self.rejected = 0


class TargetUsage:
    """Responses, response times and rejections, by target."""

    def __init__(self) -> None:
        """Create an empty table."""
        self._counts: dict[int, _Counts] = {}

    def record_response(
        self, cookie: int, answer_ms: int, usual_ms: float | None
    ) -> None:
        """Record a response.

        Args:
            cookie: Cookie of the target.
            answer_ms: Its response time.
            usual_ms: Usual response time of its service; None when unknown.
        """
        counts = self._counts.setdefault(cookie, _Counts())
        counts.completed += 1
        limit_ms = answer_ms if usual_ms is None else int(MAX_TIMES_USUAL * usual_ms)
        counts.busy_ms += max(1, min(answer_ms, limit_ms))

    def record_rejection(self, cookie: int) -> None:
        """Record that a target refused a request because it was full."""
        self._counts.setdefault(cookie, _Counts()).rejected += 1

    def usage(self, cookie: int, in_flight: int) -> messages.Usage:
        """Return the counts of a target together with its requests in flight."""
        counts = self._counts.get(cookie)
        if counts is None:
            return messages.Usage(cookie, in_flight, 0, 0, 0)
        return messages.Usage(
            cookie, in_flight, counts.completed, counts.busy_ms, counts.rejected
        )

    def retain(self, cookies: typing.Collection[int]) -> None:
        """Delete the counts of all other targets."""
        for cookie in [item for item in self._counts if item not in cookies]:
            del self._counts[cookie]
