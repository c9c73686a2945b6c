"""Signals that arrive before the event loop of the program handles them."""

import signal

from eelgrasswick.cookie import clock


class EarlySignals:
    """Keeps signals from ending a process that starts.

    SIGHUP needs no action, because changes of the settings file are also found without
    it. A stop that SIGTERM requests begins as soon as the event loop runs; until then
    packets that have arrived are forwarded.

    Attributes:
        stop_requested_ms: When SIGTERM first arrived; None if it did not.
    """

    def __init__(self) -> None:
        """Handle SIGHUP and SIGTERM from now on."""
        self.stop_requested_ms: int | None = None
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
        signal.signal(signal.SIGTERM, self._record_stop)

    def _record_stop(self, *_: object) -> None:
        if self.stop_requested_ms is None:
            self.stop_requested_ms = clock.now_ms()
