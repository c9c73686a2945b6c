"""The platform as the VMs of one zone reach it."""

import typing

from eelgrasswick import (
    errors,
    store,
)
from eelgrasswick.emulation import emulated_platform

PLATFORM = "platform"


class ZoneStore(store.Store):
    """The platform as reached from a zone, which may be cut off from it."""

    def __init__(
        self,
        platform: emulated_platform.EmulatedStore,
        cuts: set[frozenset[str]],
        zone: str,
    ) -> None:
        """Reach a platform from a zone unless ``cuts`` holds the two."""
        self._platform = platform
        self._cuts = cuts
        self._way = frozenset((zone, PLATFORM))

    def _target(self) -> emulated_platform.EmulatedStore:
        if self._way in self._cuts:
            raise errors.StoreError("cut off from the platform")
        return self._platform

    async def read(self, key: str) -> store.Row | None:
        """Read one key; see the base class."""
        return await self._target().read(key)

    async def read_prefix(self, prefix: str) -> tuple[store.Row, ...]:
        """Read all keys with a prefix; see the base class."""
        return await self._target().read_prefix(prefix)

    async def commit(
        self, compares: typing.Sequence[store.Compare], puts: typing.Sequence[store.Put]
    ) -> store.Committed:
        """Commit a transaction; see the base class."""
        return await self._target().commit(compares, puts)

    async def grant(self, ttl_s: int) -> int:
        """Grant a lease; see the base class."""
        return await self._target().grant(ttl_s)

    async def keep_alive(self, lease: int) -> bool:
        """Keep a lease alive; see the base class."""
        return await self._target().keep_alive(lease)

    async def watch(self, prefix: str, after: int, listener: store.Listener) -> None:
        """Watch a prefix while the way is open; see the base class."""

        def reached(rows: tuple[store.Row, ...]) -> None:
            if self._way not in self._cuts:
                listener(rows)

        await self._target().watch(prefix, after, reached)
