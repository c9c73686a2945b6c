"""Periodic tasks that go on after a failure."""

import typing

from twisted.internet import task

# Called with the name of a task and its failure.
OnFailure = typing.Callable[[str, typing.Any], None]


class PeriodicTask:
    """Calls a function at an interval until it is stopped.

    ``LoopingCall`` ends with the first exception. One that is due to a single row or
    message would end the watch of the store or the exchange with other VMs, while the
    VM goes on to forward packets by rows that are never updated.
    """

    def __init__(
        self,
        reactor: typing.Any,
        name: str,
        work: typing.Callable[[], None],
        interval_s: float,
        on_failure: OnFailure,
    ) -> None:
        """Create a task that does not run yet.

        Args:
            reactor: Twisted reactor, or a clock in tests.
            name: Name of the task for ``on_failure``.
            work: Called once in each interval.
            interval_s: Interval in seconds.
            on_failure: Called with the name and the failure when ``work`` raises an
                exception; the next call follows after the interval.
        """
        self._loop = task.LoopingCall(work)
        self._loop.clock = reactor
        self._name = name
        self._interval_s = interval_s
        self._on_failure = on_failure

    @property
    def running(self) -> bool:
        """True from the start of the task until it is stopped."""
        return bool(self._loop.running)

    def start(self, now: bool = True) -> None:
        """Start the task.

        Args:
            now: True to make the first call at once, False after the interval.
        """
        self._loop.start(self._interval_s, now=now).addErrback(self._resume)

    def stop(self) -> None:
        """Stop the task if it runs."""
        if self._loop.running:
            self._loop.stop()

    def _resume(self, failure: typing.Any) -> None:
        self._on_failure(self._name, failure)
        self.start(now=False)
