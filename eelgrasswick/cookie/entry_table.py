"""Targets by the keys of their entries, with the changes that readers must handle."""

import typing

from eelgrasswick.cookie import model
from eelgrasswick.decisions import overload

_Key = typing.TypeVar("_Key")


class Changes:
    """Changes of the targets that a reader has not handled yet.

    Attributes:
        cookies: Cookies whose targets may have joined, left or moved between lists.
        services: Services of which an entry was added, replaced or removed.
        removed: True when a cookie may have lost its entry or its target.
    """

    def __init__(self) -> None:
        """Create an empty record."""
        self.cookies: set[int] = set()
        self.services: set[str] = set()
        self.removed = False


class EntryTable:
    """Targets with an entry in the store, and their numbers by several criteria."""

    def __init__(self) -> None:
        """Create an empty table."""
        self._targets: dict[str, model.Target] = {}
        self._cookies: dict[int, int] = {}
        self._services: dict[str, int] = {}
        self._pools: dict[overload.Pool, int] = {}
        self._readers: list[Changes] = []

    @property
    def targets(self) -> typing.Collection[model.Target]:
        """All targets."""
        return self._targets.values()

    @property
    def cookies(self) -> typing.Collection[int]:
        """Cookies with an entry."""
        return self._cookies.keys()

    @property
    def services(self) -> typing.Collection[str]:
        """Services with an entry."""
        return self._services.keys()

    @property
    def pools(self) -> typing.Collection[overload.Pool]:
        """Pools with an entry."""
        return self._pools.keys()

    def get(self, key: str) -> model.Target | None:
        """Return the target of a key."""
        return self._targets.get(key)

    def put(self, key: str, target: model.Target) -> None:
        """Add or replace the target of a key; a replaced one keeps its position."""
        former = self._targets.get(key)
        if former is not None:
            self._count(former, -1)
            if former.cookie != target.cookie:
                self.record_removal()
        self._targets[key] = target
        self._count(target, 1)

    def pop(self, key: str) -> model.Target | None:
        """Remove and return the target of a key."""
        target = self._targets.pop(key, None)
        if target is not None:
            self._count(target, -1)
            self.record_removal()
        return target

    def watch(self) -> Changes:
        """Return a record to which all changes from now on are added.

        The reader resets the parts that it has handled.
        """
        changes = Changes()
        self._readers.append(changes)
        return changes

    def record_cookies(self, cookies: typing.Collection[int]) -> None:
        """Record that the targets of some cookies may have moved between lists."""
        for changes in self._readers:
            changes.cookies.update(cookies)

    def record_removal(self) -> None:
        """Record that a cookie may have lost its entry or its target."""
        for changes in self._readers:
            changes.removed = True

    def _count(self, target: model.Target, step: int) -> None:
        _add(self._cookies, target.cookie, step)
        _add(self._services, target.service, step)
        _add(self._pools, overload.Pool(target.service, target.zone), step)
        for changes in self._readers:
            changes.services.add(target.service)


def _add(counts: dict[_Key, int], key: _Key, step: int) -> None:
    # A start counts thousands of entries, which takes half as long as with a Counter.
    count = counts.get(key, 0) + step
    if count:
        counts[key] = count
    else:
        del counts[key]
