"""Addresses that are pinged although no VM is known to be alive there.

After a network partition each side marks the VMs of the other side as dead. If
dead VMs were never pinged again, the two sides would not merge after the
partition heals.
"""

import typing

from eelgrasswick import packet
from eelgrasswick.fleet import (
    member,
    peer,
)

GONE_RETENTION_MS: typing.Final = 3_600_000


class ReconnectCandidates:
    """Seeds, VMs that the platform lists, and VMs that are gone."""

    def __init__(self, seeds: typing.Iterable[packet.Address]) -> None:
        """Create candidates from the seed addresses of the settings."""
        self._seeds = tuple(seeds)
        self._listed: tuple[member.Member, ...] = ()
        self._gone_since_ms: dict[str, int] = {}

    def update_listing(self, members: typing.Iterable[member.Member]) -> None:
        """Replace the platform's listing."""
        self._listed = tuple(members)

    def add_gone(self, now_ms: int, name: str) -> None:
        """Record that a VM is gone since ``now_ms``."""
        self._gone_since_ms[name] = now_ms

    def discard_gone(self, name: str) -> None:
        """Remove a VM that is back, or is not to be pinged any more."""
        self._gone_since_ms.pop(name, None)

    def addresses(
        self, known: typing.Mapping[str, member.Member]
    ) -> dict[packet.Address, member.Member | None]:
        """Return the addresses at which a VM may be reachable.

        Args:
            known: All known VMs by name, the gone ones included.

        Returns:
            The addresses, each with the gone VM that had it last, if any.
        """
        addresses: dict[packet.Address, member.Member | None]
        addresses = dict.fromkeys(self._seeds)
        for item in self._listed:
            addresses[peer.address_of(item)] = None
        for name in self._gone_since_ms:
            addresses[peer.address_of(known[name])] = known[name]
        return addresses

    def expired(self, now_ms: int) -> tuple[str, ...]:
        """Return the VMs that have been gone for ``GONE_RETENTION_MS``.

        VMs are replaced under new names all day long. If gone VMs were kept for
        ever, they would fill the memory and use up the pings that are meant for
        VMs that come back. A VM that comes back later is pinged because the
        platform lists it.
        """
        items = self._gone_since_ms.items()
        return tuple(
            name for name, since_ms in items if now_ms - since_ms >= GONE_RETENTION_MS
        )
