"""Detects when a target that gets no new flows has no open flow left.

Operators switch a drained machine off when it is empty. Each VM logs that it
counts no open flow at a target. The VMs of the target's zone that watch the
store also record it in the audit trail, once the target has stayed empty for
``EMPTY_CONFIRM_MS``.
"""

import typing

from eelgrasswick import (
    message,
    target,
)
from eelgrasswick.fleet import member
from eelgrasswick.homes import tables

EMPTY_CONFIRM_MS: typing.Final = 10_000


class _Leaving:
    """State of one target that takes no new flow.

    Attributes:
        empty_ms: Since when the target has been empty; None while it is not.
        recorded: Whether the audit trail has an entry of it.
        sequence: Sequence of the configuration since which it takes no new flow.
    """

    __slots__ = ("empty_ms", "recorded", "sequence")

    def __init__(self, sequence: int) -> None:
        self.sequence = sequence
        self.empty_ms: int | None = None
        self.recorded = False


class EmptyTargets:
    """Tracks the open flows of targets that take no new flow."""

    def __init__(self, shared: tables.Tables) -> None:
        """Create a tracker for the targets of the configuration in force."""
        self._tables = shared
        self._leaving: dict[str, _Leaving] = {}

    def check(
        self,
        now_ms: int,
        me: member.Member,
        watching: bool,
        others: typing.Sequence[str],
    ) -> None:
        """Log targets that became empty, and record them in the audit trail.

        Args:
            now_ms: Present time in milliseconds.
            me: The membership entry of this VM.
            watching: True when this VM watches the store for its zone.
            others: Names of the other serving VMs.
        """
        current = self._tables.epochs.current
        if current is None:
            return
        for item in current.config.targets.values():
            if item.accepts:
                self._leaving.pop(item.name, None)
            else:
                self._check_target(now_ms, item, current.config.sequence)
        if watching and self._tables.loads.has_reports_from(others):
            self._record_empty(now_ms, me, current.zones, len(others) + 1)

    def _check_target(self, now_ms: int, item: target.Target, sequence: int) -> None:
        known = self._leaving.setdefault(item.name, _Leaving(sequence))
        here = self._tables.flows.open_by_target[item.name]
        if here + self._tables.loads.elsewhere(item.name):
            known.empty_ms = None
        elif known.empty_ms is None:
            known.empty_ms = now_ms
            self._tables.outbox.put(message.log("target_empty", target=item.name))

    def _record_empty(
        self, now_ms: int, me: member.Member, zones: frozenset[str], homes: int
    ) -> None:
        # For a short time after a home died, no VM counts its flows. Without
        # the delay, the audit trail would list a target with open flows as
        # empty, and an operator would switch it off.
        current = self._tables.epochs.current
        assert current is not None
        for name, known in self._leaving.items():
            item = current.config.targets.get(name)
            if item is None or known.recorded or known.empty_ms is None:
                continue
            own = item.zone == me.zone or item.zone not in zones
            if own and now_ms - known.empty_ms >= EMPTY_CONFIRM_MS:
                known.recorded = True
                self._tables.outbox.put(
                    message.RecordTargetEmpty(
                        name, known.sequence, known.empty_ms, homes
                    )
                )
