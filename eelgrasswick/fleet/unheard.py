"""Addresses worth a heartbeat although no VM there is known to live.

After a cut both sides take each other for dead. Were dead VMs never pinged
again, the two halves would stay apart after the cut heals.
"""

import typing

from eelgrasswick import packet
from eelgrasswick.fleet import (
    member,
    peer,
)

GONE_RETENTION_MS: typing.Final = 3_600_000


class ReconnectCandidates:
    """Seeds, VMs the platform lists, and VMs that are gone."""

    def __init__(self, seeds: typing.Iterable[packet.Address]) -> None:
        """Start with the addresses from the settings."""
        self._seeds = tuple(seeds)
        self._listed: tuple[member.Member, ...] = ()
        self._gone_ms: dict[str, int] = {}

    def update_listing(self, members: typing.Iterable[member.Member]) -> None:
        """Take the platform's list."""
        self._listed = tuple(members)

    def add_gone(self, now_ms: int, name: str) -> None:
        """Note that a VM is gone from now on."""
        self._gone_ms[name] = now_ms

    def discard_gone(self, name: str) -> None:
        """Note that a VM is not gone, or is not to be pinged any more."""
        self._gone_ms.pop(name, None)

    def addresses(
        self, known: typing.Mapping[str, member.Member]
    ) -> dict[packet.Address, member.Member | None]:
        """Return where a VM may be.

        Args:
            known: All known VMs by name, the gone ones included.

        Returns:
            Addresses, each with the gone VM that had it last, if any.
        """
        found: dict[packet.Address, member.Member | None]
        found = dict.fromkeys(self._seeds)
        for item in self._listed:
            found[peer.address_of(item)] = None
        for name in self._gone_ms:
            found[peer.address_of(known[name])] = known[name]
        return found

    def expired(self, now_ms: int) -> tuple[str, ...]:
        """Return the VMs that have been gone for too long to be kept.

        VMs are replaced under new names all day long. Kept for ever, the gone
        ones would fill the memory and take the pings for those that come back.
        A VM that comes back later is found by the platform's list.
        """
        items = self._gone_ms.items()
        return tuple(
            name for name, since in items if now_ms - since >= GONE_RETENTION_MS
        )
