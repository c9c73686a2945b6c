"""Which news about VMs still has to ride on heartbeats, and how often."""

import collections
import typing

MAX_UPDATES: typing.Final = 6
RETRANSMIT_FACTOR: typing.Final = 4


class Gossip:
    """Counts how often each piece of news was sent, and picks the freshest.

    Each piece is sent a multiple of the logarithm of the fleet's size, which is
    enough to reach every VM with high probability; a heartbeat carries at most
    ``MAX_UPDATES`` pieces, so its size does not grow with the fleet.
    """

    def __init__(self) -> None:
        """Start without news."""
        self._sent: collections.Counter[str] = collections.Counter()

    def add(self, name: str) -> None:
        """Spread the news about a VM from now on."""
        self._sent[name] = 0

    def discard(self, name: str) -> None:
        """Spread no more news about a VM."""
        self._sent.pop(name, None)

    def next_updates(self, fleet: int) -> list[str]:
        """Return the VMs to tell of in the next heartbeat, and count it.

        Args:
            fleet: Number of known VMs.

        Returns:
            Names, the news sent least often in front.
        """
        limit = RETRANSMIT_FACTOR * (fleet + 1).bit_length()
        fresh = sorted(self._sent.items(), key=lambda item: item[1])[:MAX_UPDATES]
        for name, sent in fresh:
            self._sent[name] = sent + 1
            if sent + 1 >= limit:
                del self._sent[name]
        return [name for name, _ in fresh]
