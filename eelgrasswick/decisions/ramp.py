"""Slow start: a target that joins or recovers gets its share of flows step by step.

Load pattern: a server starts with cold caches, or comes back after a fault, and
hashing gives it its full share in the same second. Its queue then grows while the
server is slow, and its callers wait for seconds. When several targets come at once,
the healthy targets must carry the rest, so the ramp starts above zero.

``START_FACTOR`` is the speed of a cold target relative to a warm one, and
``RAMP_DURATION_MS`` is the time that a target needs to warm up. With a shorter ramp the
target would get work while it is still slow.
"""

import typing

START_FACTOR: typing.Final = 0.3
RAMP_DURATION_MS: typing.Final = 10_000


class RampTracker:
    """The time at which each target began to be used."""

    def __init__(self) -> None:
        """Create a tracker without targets."""
        self._since_ms: dict[str, int] = {}
        self._known: set[str] = set()

    def update_targets(self, now_ms: int, names: typing.Collection[str]) -> None:
        """Replace the set of targets that accept flows; new ones start a ramp.

        When no target was recorded before, this VM itself is new and the age of the
        targets is unknown, so none starts a ramp. Otherwise every start of a VM would
        treat the whole fleet as cold.
        """
        if self._known:
            for name in names:
                if name not in self._known:
                    self._since_ms[name] = now_ms
        self._known = set(names)

    def restart(self, now_ms: int, name: str) -> None:
        """Start a ramp for a target that came back after a fault."""
        self._since_ms[name] = now_ms

    def factor(self, now_ms: int, name: str) -> float:
        """Return the part of its strength that a target should get now."""
        since_ms = self._since_ms.get(name)
        if since_ms is None:
            return 1.0
        progress = (now_ms - since_ms) / RAMP_DURATION_MS
        if progress >= 1.0:
            del self._since_ms[name]
            return 1.0
        return START_FACTOR + (1 - START_FACTOR) * max(0.0, progress)
