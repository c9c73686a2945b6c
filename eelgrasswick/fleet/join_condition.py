"""The condition for a VM that starts, or was paused, to serve as a home."""

import typing

ISOLATED_JOIN_DELAY_MS: typing.Final = 1500


class JoinCondition:
    """Decides when a joining VM may serve.

    A VM that has received an Ack from a peer joins once its configuration is as
    new as that of the VMs that serve. If it joined after a fixed time instead, it
    would place flows by an old configuration, on targets that are drained. A VM
    without an Ack may be cut off from the fleet; it serves after
    ``ISOLATED_JOIN_DELAY_MS`` with the configuration that it has.
    """

    def __init__(self) -> None:
        """Create the condition of a VM without an Ack from any peer."""
        self._started_ms: int | None = None
        self._acked = False
        self._last_stale_number = 0

    def restart(self, last_number: int) -> None:
        """Discard all Acks and start again after a pause.

        Args:
            last_number: Number of the last heartbeat sent. Acks to it and to
                earlier heartbeats may have waited in the socket during the
                pause, so they don't count as contact.
        """
        self._started_ms = None
        self._acked = False
        self._last_stale_number = last_number

    def record_ack(self, number: int) -> None:
        """Record the number of a received Ack."""
        if number > self._last_stale_number:
            self._acked = True

    def may_join(self, now_ms: int, config_is_newest: bool) -> bool:
        """Return whether the VM may serve.

        Args:
            now_ms: Present time in milliseconds.
            config_is_newest: True when no serving VM has a newer configuration.
        """
        if self._started_ms is None:
            self._started_ms = now_ms
        if self._acked:
            return config_is_newest
        return now_ms - self._started_ms >= ISOLATED_JOIN_DELAY_MS
