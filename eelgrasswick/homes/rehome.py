"""Sends the flow records of this VM to new homes after a change of epoch."""

import typing

from eelgrasswick import (
    packet,
    target,
)
from eelgrasswick.homes import (
    flow,
    tables,
)

FLOWS_PER_TICK: typing.Final = 1000


class Rehomer:
    """Processes records and copies of exceptions, a batch of them per tick.

    A home can have hundreds of thousands of flows. Processing all of them at
    once would delay packets and heartbeats for a second, and the peers would
    confirm the VM dead. Until a flow has been processed, its former home still
    responds to inquiries of the new home about it.
    """

    def __init__(self, name: str, shared: tables.Tables) -> None:
        """Create the rehomer of the VM ``name``."""
        self._name = name
        self._tables = shared
        self._remaining: typing.Iterator[packet.FlowKey] = iter(())

    def start(self) -> None:
        """Restart with all records and copies, because homes may have changed."""
        records = [key for key, _ in self._tables.flows.items()]
        copied = [key for key, _ in self._tables.replicator.copies.items()]
        self._remaining = iter(records + copied)

    def step(self, now_ms: int) -> None:
        """Process the next ``FLOWS_PER_TICK`` flows."""
        for _ in range(FLOWS_PER_TICK):
            key = next(self._remaining, None)
            if key is None:
                return
            self._rehome(now_ms, key)

    def _rehome(self, now_ms: int, key: packet.FlowKey) -> None:
        shared = self._tables
        record = shared.flows.get(key)
        copied = shared.replicator.copies.get(now_ms, key)
        known = record.target if record is not None else copied
        current = shared.epochs.current
        if known is None or current is None:
            return
        flow_service = current.config.services.get(known.service)
        if flow_service is None:
            return
        place = current.locate(key, flow_service)
        if record is not None and place.home not in (None, self._name):
            self._demote(now_ms, key, record)
        if record is not None and not _target_is_certain(record):
            return
        default = place.default.name if place.default is not None else ""
        if known.name != default:
            self._send(key, known, place.home, place.backup)

    def _demote(self, now_ms: int, key: packet.FlowKey, record: flow.Record) -> None:
        # The record is removed here, because a flow that is counted both here
        # and at the new home would occupy two slots of its target.
        self._tables.flows.remove(key)
        if _target_is_certain(record):
            self._tables.hints.record(now_ms, key, record.target)

    def _send(
        self,
        key: packet.FlowKey,
        known: target.Target,
        to_home: str | None,
        to_backup: str | None,
    ) -> None:
        replicator = self._tables.replicator
        if to_home is not None and to_home != self._name:
            replicator.queue_handover(to_home, key, known)
        elif to_backup is not None and to_backup != self._name:
            replicator.queue_copy(to_backup, key, known)


def _target_is_certain(record: flow.Record) -> bool:
    return record.is_active and record.origin is not flow.Origin.GUESSED
