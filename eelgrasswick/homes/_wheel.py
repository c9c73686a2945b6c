"""A timer wheel: deadlines of many keys, kept in buckets of one second."""

import typing

_BUCKET_MS: typing.Final = 1000

Key = typing.TypeVar("Key")


class Wheel(typing.Generic[Key]):
    """Returns each key once the one-second bucket of its deadline is over.

    The caller of ``due`` compares the exact deadline itself. Adding and taking
    a key cost constant time, so that hundreds of thousands of open flows need
    no scan of the whole table.
    """

    def __init__(self) -> None:
        """Create an empty wheel."""
        self._buckets: dict[int, list[Key]] = {}
        self._done: int | None = None

    def add(self, key: Key, at_ms: int) -> None:
        """Schedule a key for the first bucket that begins after ``at_ms``."""
        bucket = at_ms // _BUCKET_MS + 1
        if self._done is not None:
            bucket = max(bucket, self._done + 1)
        self._buckets.setdefault(bucket, []).append(key)

    def due(self, now_ms: int) -> list[Key]:
        """Remove and return the keys whose bucket has begun."""
        present = now_ms // _BUCKET_MS
        if self._done == present:
            return []
        self._done = present
        ready = [bucket for bucket in self._buckets if bucket <= present]
        taken: list[Key] = []
        for bucket in sorted(ready):
            taken.extend(self._buckets.pop(bucket))
        return taken
