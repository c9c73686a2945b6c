"""Whose address another server has now, so that its flows are over for certain.

A server that crashed leaves its entry, and a while later its address may be
another's, which accepts connections: a probe then finds the dead one alive, and
its callers wait until their deadlines. The entry of the other server proves that
the former is gone. Its flows are reset at once, also those that pause just now, so
that their callers' next requests open new ones.

A new start under the same name proves no such thing. Flows that were opened since,
by VMs that had not heard of it, bear the cookie of the former start and are open:
the server takes what is addressed to its name.
"""

import typing

from eelgrasswick.cookie import model


class _Owner(typing.NamedTuple):
    target: model.Target
    revision: int

    def follows(self, other: "_Owner") -> bool:
        """Tell whether this one had the address after the other.

        Starts are told by the servers' own clocks, which may be wrong by seconds,
        and an entry of the former may have been written late. Only when both
        agree is it certain.
        """
        later = self.target.born_ms > other.target.born_ms
        return later and self.revision > other.revision


class Owners:
    """The last owner of each address, and who has lost theirs."""

    def __init__(self) -> None:
        """Begin without servers."""
        self._owners: dict[model.Address, _Owner] = {}
        self._ended: set[int] = set()

    def ended(self, cookie: int) -> bool:
        """Tell whether a target is over for certain."""
        return cookie in self._ended

    def record_entry(self, target: model.Target, revision: int) -> list[model.Target]:
        """Take an entry of a server that its service's flows may go to.

        Args:
            target: What it says.
            revision: The store's revision of it.

        Returns:
            The targets that are over by it.
        """
        over = self._claim(_Owner(target, revision))
        new = [item for item in over if item.cookie not in self._ended]
        self._ended.update(item.cookie for item in new)
        return new

    def forget(self, target: model.Target) -> None:
        """Forget a target whose flows can't be open any more."""
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
