"""Copies of exceptions, which are flows that are not on their default target.

A flow on its default target needs no copy, because every VM can compute that
target. Of a flow on another target only the home has a record. The home
therefore sends a copy to the backup, and hands the flow over to the next home
when homes change.
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

COPY_TTL_MS: typing.Final = 3_600_000
MAX_COPIES: typing.Final = 500_000
BATCH_FLOWS: typing.Final = 500
BATCHES_PER_TICK: typing.Final = 8


class Replicator:
    """Sends a home's exceptions in batches and stores those of other homes.

    Attributes:
        copies: Copies of the exceptions of other homes.
    """

    def __init__(self, peers: peer.Peers, outbox: message.Outbox) -> None:
        """Create a replicator without copies and with nothing to send."""
        self._peers = peers
        self._outbox = outbox
        self.copies = hint.HintTable(COPY_TTL_MS, MAX_COPIES)
        self._copies_to_send: dict[str, dict[bytes, str]] = {}
        self._handovers: dict[str, dict[bytes, str]] = {}
        self._removals: dict[str, set[bytes]] = {}

    @property
    def idle(self) -> bool:
        """True when nothing waits to be sent."""
        return not (self._copies_to_send or self._handovers or self._removals)

    def clear(self) -> None:
        """Remove the copies of other homes and all that waits to be sent."""
        self.copies.clear()
        self._copies_to_send.clear()
        self._handovers.clear()
        self._removals.clear()

    def queue_copy(
        self, receiver: str, flow: packet.FlowKey, chosen: target.Target
    ) -> None:
        """Queue the copy of an exception for a backup."""
        self._copies_to_send.setdefault(receiver, {})[flow.packed] = chosen.name

    def queue_removal(self, receiver: str, flow: packet.FlowKey) -> None:
        """Queue the removal of a backup's copy, because the flow has ended."""
        packed = flow.packed
        if self._copies_to_send.get(receiver, {}).pop(packed, None) is None:
            self._removals.setdefault(receiver, set()).add(packed)

    def queue_handover(
        self, receiver: str, flow: packet.FlowKey, chosen: target.Target
    ) -> None:
        """Queue the handover of a flow and its target to the flow's new home."""
        self._handovers.setdefault(receiver, {})[flow.packed] = chosen.name

    def flush(self) -> None:
        """Send up to ``BATCHES_PER_TICK`` queued batches; called once a tick.

        A drain can turn a tenth of all flows into exceptions at once. If they
        were all sent at once, heartbeats would queue behind them and living VMs
        would appear dead. Each tick therefore sends a bounded number of batches.
        """
        budget = BATCHES_PER_TICK
        budget = self._flush_placed(self._handovers, wire.Handover, budget)
        budget = self._flush_placed(self._copies_to_send, wire.BackupExceptions, budget)
        while budget and self._removals:
            receiver, flows = next(iter(self._removals.items()))
            batch = tuple(flows)[:BATCH_FLOWS]
            self._peers.send_link(receiver, wire.DiscardExceptions(batch))
            flows.difference_update(batch)
            if not flows:
                del self._removals[receiver]
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
                wire.FlowPlacement(*item) for item in list(flows.items())[:BATCH_FLOWS]
            )
            self._peers.send_link(receiver, kind(batch))
            for entry in batch:
                del flows[entry.flow]
            if not flows:
                del waiting[receiver]
            budget -= 1
        return budget
