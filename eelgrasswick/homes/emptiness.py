"""Notices when a target that gets no new flows has none left.

Operators switch a drained machine off when it is empty. Each VM logs what it
sees; the VMs of the target's zone that watch the store also write it to the
audit trail, once it has held for a while.
"""

import typing

from eelgrasswick import (
    message,
    target,
)
from eelgrasswick.fleet import member
from eelgrasswick.homes import tables

SURE_MS: typing.Final = 10_000


class _Leaving:
    __slots__ = ("empty_ms", "noted", "sequence")

    def __init__(self, sequence: int) -> None:
        self.sequence = sequence
        self.empty_ms: int | None = None
        self.noted = False


class EmptyTargets:
    """Follows the targets that take no new flow."""

    def __init__(self, shared: tables.Tables) -> None:
        """Follow the targets of the configuration in force."""
        self._tables = shared
        self._leaving: dict[str, _Leaving] = {}

    def check(
        self,
        now_ms: int,
        me: member.Member,
        watching: bool,
        others: typing.Sequence[str],
    ) -> None:
        """Log targets that have become empty, and note them for the trail.

        Args:
            now_ms: Present time in milliseconds.
            me: This VM.
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
                self._look(now_ms, item, current.config.sequence)
        if watching and self._tables.loads.heard_from(others):
            self._note(now_ms, me, current.zones, len(others) + 1)

    def _look(self, now_ms: int, item: target.Target, sequence: int) -> None:
        known = self._leaving.setdefault(item.name, _Leaving(sequence))
        here = self._tables.flows.open_by_target[item.name]
        if here + self._tables.loads.elsewhere(item.name):
            known.empty_ms = None
        elif known.empty_ms is None:
            known.empty_ms = now_ms
            self._tables.outbox.put(message.log("target_empty", target=item.name))

    def _note(
        self, now_ms: int, me: member.Member, zones: frozenset[str], homes: int
    ) -> None:
        # For a moment after a home died its flows are counted nowhere. Written
        # down at once, a target with open flows would stand in the trail as
        # empty, and an operator would switch it off.
        current = self._tables.epochs.current
        assert current is not None
        for name, known in self._leaving.items():
            item = current.config.targets.get(name)
            if item is None or known.noted or known.empty_ms is None:
                continue
            own = item.zone == me.zone or item.zone not in zones
            if own and now_ms - known.empty_ms >= SURE_MS:
                known.noted = True
                self._tables.outbox.put(
                    message.RecordTargetEmpty(
                        name, known.sequence, known.empty_ms, homes
                    )
                )
