"""Access of the VMs of one zone to the platform's store."""

import typing

from eelgrasswick import (
    errors,
    store,
)
from eelgrasswick.emulation import emulated_platform

PLATFORM = "platform"


class ZoneStore(store.Store):
    """The platform's store for a zone that can be cut off from the platform.

    Calls fail with ``errors.StoreError`` while the zone is cut off.
    """

    def __init__(
        self,
        platform: emulated_platform.EmulatedStore,
        cuts: set[frozenset[str]],
        zone: str,
    ) -> None:
        """Create the access of a zone to a platform.

        Args:
            platform: Store of the platform.
            cuts: Pairs of places that can't reach each other. The set is
                shared with the world, which changes it.
            zone: Zone of the VMs that use the store.
        """
        self._platform = platform
        self._cuts = cuts
        self._path = frozenset((zone, PLATFORM))

    def _reachable_platform(self) -> emulated_platform.EmulatedStore:
        if self._path in self._cuts:
            raise errors.StoreError("zone is cut off from the platform")
        return self._platform

    async def read(self, key: str) -> store.Row | None:
        """Read one key; see the base class."""
        return await self._reachable_platform().read(key)

    async def read_prefix(self, prefix: str) -> tuple[store.Row, ...]:
        """Read all keys with a prefix; see the base class."""
        return await self._reachable_platform().read_prefix(prefix)

    async def commit(
        self, compares: typing.Sequence[store.Compare], puts: typing.Sequence[store.Put]
    ) -> store.Committed:
        """Commit a transaction; see the base class."""
        return await self._reachable_platform().commit(compares, puts)

    async def grant(self, ttl_s: int) -> int:
        """Grant a lease; see the base class."""
        return await self._reachable_platform().grant(ttl_s)

    async def keep_alive(self, lease: int) -> bool:
        """Keep a lease alive; see the base class."""
        return await self._reachable_platform().keep_alive(lease)

    async def watch(self, prefix: str, after: int, listener: store.Listener) -> None:
        """Watch a prefix; see the base class.

        Changes that occur while the zone is cut off are lost.
        """

        def deliver(rows: tuple[store.Row, ...]) -> None:
            if self._path not in self._cuts:
                listener(rows)

        await self._reachable_platform().watch(prefix, after, deliver)
