"""Copies of exceptions: flows that are not on their default target.

A flow on its default target needs no copy, because every VM can work the
target out. A flow placed elsewhere is known to its home only, so the home sends
it to a backup, and to the next home when homes change.
"""

import typing

from eelgrasswick import (
    message,
    packet,
    target,
    wire,
)
from eelgrasswick.fleet import peer
from eelgrasswick.homes import hint

KEEP_MS: typing.Final = 3_600_000
KEEP_FLOWS: typing.Final = 500_000
BATCH: typing.Final = 500
BATCHES_PER_TICK: typing.Final = 8


class Replicator:
    """Sends a home's exceptions in batches and keeps those of other homes."""

    def __init__(self, peers: peer.Peers, outbox: message.Outbox) -> None:
        """Start with nothing kept and nothing to send."""
        self._peers = peers
        self._outbox = outbox
        self.kept = hint.HintTable(KEEP_MS, KEEP_FLOWS)
        self._keep: dict[str, dict[bytes, str]] = {}
        self._handover: dict[str, dict[bytes, str]] = {}
        self._forget: dict[str, set[bytes]] = {}

    @property
    def idle(self) -> bool:
        """True when nothing waits to be sent."""
        return not (self._keep or self._handover or self._forget)

    def clear(self) -> None:
        """Drop what is kept for others and what waits to be sent."""
        self.kept.clear()
        self._keep.clear()
        self._handover.clear()
        self._forget.clear()

    def keep(self, receiver: str, flow: packet.FlowKey, chosen: target.Target) -> None:
        """Have a backup keep an exception."""
        self._keep.setdefault(receiver, {})[flow.packed] = chosen.name

    def forget(self, receiver: str, flow: packet.FlowKey) -> None:
        """Tell a backup that a flow has ended."""
        packed = flow.packed
        if self._keep.get(receiver, {}).pop(packed, None) is None:
            self._forget.setdefault(receiver, set()).add(packed)

    def hand_over(
        self, receiver: str, flow: packet.FlowKey, chosen: target.Target
    ) -> None:
        """Tell the new home of a flow where the flow is."""
        self._handover.setdefault(receiver, {})[flow.packed] = chosen.name

    def flush(self) -> None:
        """Send some of what waits; called once a tick.

        A drain can turn a tenth of all flows into exceptions at once. Sent in
        one go they would stand in front of heartbeats and make living VMs look
        dead, so each tick sends a bounded number of batches.
        """
        budget = BATCHES_PER_TICK
        budget = self._flush_placed(self._handover, wire.Handover, budget)
        budget = self._flush_placed(self._keep, wire.BackupExceptions, budget)
        while budget and self._forget:
            receiver, flows = next(iter(self._forget.items()))
            batch = tuple(flows)[:BATCH]
            self._peers.send_link(receiver, wire.DiscardExceptions(batch))
            flows.difference_update(batch)
            if not flows:
                del self._forget[receiver]
            budget -= 1

    def _flush_placed(
        self,
        waiting: dict[str, dict[bytes, str]],
        kind: type[wire.BackupExceptions] | type[wire.Handover],
        budget: int,
    ) -> int:
        while budget and waiting:
            receiver, flows = next(iter(waiting.items()))
            batch = tuple(
                wire.FlowPlacement(*item) for item in list(flows.items())[:BATCH]
            )
            self._peers.send_link(receiver, kind(batch))
            for entry in batch:
                del flows[entry.flow]
            if not flows:
                del waiting[receiver]
            budget -= 1
        return budget
