"""Detects targets that have ended because another server took over their address.

The entry of a crashed server remains in the store, and a while later its address may
belong to another server, which accepts connections. A probe of the dead server then
succeeds, and its callers wait until their deadlines. The entry of the new server
proves that the former one has ended. The flows of the former server are reset at
once, including idle ones, so that their callers open new flows for the next requests.

A restart under the same name is no such proof. VMs that have not received the new
entry still open flows with the cookie of the former start, and these flows work,
because the server accepts what is addressed to its name.
"""

import typing

from eelgrasswick.cookie import model


class _Owner(typing.NamedTuple):
    target: model.Target
    revision: int

    def follows(self, other: "_Owner") -> bool:
        """Return True when this owner certainly had the address after the other.

        Start times are taken from the servers' own clocks, which may be wrong by
        seconds, and an entry of the former owner may have been written late. The
        order is certain only if start times and revisions agree.
        """
        later = self.target.born_ms > other.target.born_ms
        return later and self.revision > other.revision


class Owners:
    """Last owner of each address, and targets that have lost their address."""

    def __init__(self) -> None:
        """Create an empty registry."""
        self._owners: dict[model.Address, _Owner] = {}
        self._ended: set[int] = set()

    def has_ended(self, cookie: int) -> bool:
        """Return True when another server has taken over a target's address."""
        return cookie in self._ended

    def record_entry(self, target: model.Target, revision: int) -> list[model.Target]:
        """Record the entry of a server that takes flows of its service.

        Args:
            target: The decoded entry.
            revision: The store's revision of the entry.

        Returns:
            The targets that the entry newly shows to have ended.
        """
        ended = self._claim(_Owner(target, revision))
        new = [item for item in ended if item.cookie not in self._ended]
        self._ended.update(item.cookie for item in new)
        return new

    def remove(self, target: model.Target) -> None:
        """Delete the records of a target that can't have open flows any more."""
        self._ended.discard(target.cookie)
        owner = self._owners.get(target.address)
        if owner is not None and owner.target.cookie == target.cookie:
            del self._owners[target.address]

    def _claim(self, claim: _Owner) -> list[model.Target]:
        address = claim.target.address
        owner = self._owners.get(address)
        if owner is None or owner.target.name == claim.target.name:
            self._owners[address] = claim
            return []
        if claim.follows(owner):
            self._owners[address] = claim
            return [owner.target]
        return [claim.target] if owner.follows(claim) else []
