"""Deadlines of many keys, kept in buckets of one second."""

import typing

_BUCKET_MS: typing.Final = 1000

Key = typing.TypeVar("Key")


class Wheel(typing.Generic[Key]):
    """Delegations keys whose bucket is over; the owner checks the exact deadline.

    Adding and taking cost a constant time per key, so hundreds of thousands of
    open flows need no sweep over the whole table.
    """

    def __init__(self) -> None:
        """Start empty."""
        self._buckets: dict[int, list[Key]] = {}
        self._done: int | None = None

    def add(self, key: Key, at_ms: int) -> None:
        """Have a key come up once ``at_ms`` has passed."""
        bucket = at_ms // _BUCKET_MS + 1
        if self._done is not None:
            bucket = max(bucket, self._done + 1)
        self._buckets.setdefault(bucket, []).append(key)

    def due(self, now_ms: int) -> list[Key]:
        """Take the keys whose time has passed."""
        present = now_ms // _BUCKET_MS
        if self._done == present:
            return []
        self._done = present
        ready = [bucket for bucket in self._buckets if bucket <= present]
        taken: list[Key] = []
        for bucket in sorted(ready):
            taken.extend(self._buckets.pop(bucket))
        return taken
