"""Selection of the membership updates that heartbeats carry."""

import collections
import typing

MAX_UPDATES: typing.Final = 6
RETRANSMIT_FACTOR: typing.Final = 4


class Gossip:
    """Counts how often each update was sent, and selects the least sent ones.

    Each update is sent ``RETRANSMIT_FACTOR`` times the logarithm of the fleet's
    size, which is enough to reach every VM with high probability. A heartbeat
    carries at most ``MAX_UPDATES`` updates, so its size does not grow with the
    fleet.
    """

    def __init__(self) -> None:
        """Create a selection without updates."""
        self._sent: collections.Counter[str] = collections.Counter()

    def add(self, name: str) -> None:
        """Start or restart the dissemination of the state of a VM."""
        self._sent[name] = 0

    def discard(self, name: str) -> None:
        """Stop disseminating the state of a VM."""
        self._sent.pop(name, None)

    def next_updates(self, fleet_size: int) -> list[str]:
        """Select the updates for the next heartbeat and count them as sent.

        Args:
            fleet_size: Number of known VMs.

        Returns:
            Names of the VMs whose state is sent, the least often sent first.
        """
        limit = RETRANSMIT_FACTOR * (fleet_size + 1).bit_length()
        selected = sorted(self._sent.items(), key=lambda item: item[1])[:MAX_UPDATES]
        for name, sent in selected:
            self._sent[name] = sent + 1
            if sent + 1 >= limit:
                del self._sent[name]
        return [name for name, _ in selected]
