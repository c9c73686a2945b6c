"""When a VM that starts, or was paused, may serve as a home."""

import typing

ISOLATED_JOIN_DELAY_MS: typing.Final = 1500


class JoinCondition:
    """Whether another VM has answered since this one began to join.

    A VM in contact joins once its configuration is as new as that of the VMs
    that serve. Joined after a fixed time instead, it would place flows by an old
    configuration, on targets that are drained. Without contact it may be cut
    off; it then serves after ``ALONE_MS`` with what it has.
    """

    def __init__(self) -> None:
        """Begin to join."""
        self._begun_ms: int | None = None
        self._answered = False
        self._after = 0

    def restart(self, last_number: int) -> None:
        """Begin anew after a pause.

        Args:
            last_number: Number of the last heartbeat sent. Acks to it and to
                earlier ones may have waited in the socket during the pause.
        """
        self._begun_ms = None
        self._answered = False
        self._after = last_number

    def record_ack(self, number: int) -> None:
        """Take the number of an Ack."""
        if number > self._after:
            self._answered = True

    def may_join(self, now_ms: int, caught_up: bool) -> bool:
        """Tell whether the VM may serve.

        Args:
            now_ms: Present time in milliseconds.
            caught_up: True when no serving VM has a newer configuration.
        """
        if self._begun_ms is None:
            self._begun_ms = now_ms
        if self._answered:
            return caught_up
        return now_ms - self._begun_ms >= ISOLATED_JOIN_DELAY_MS
