"""How many young flows a target gets at once.

Load pattern: more work than the slots can do. A target has 2 or 3 slots but
takes 2,000 connections, so it never sheds; its queue grows until every answer
is late, and goodput falls to nothing although all slots work.

The limit is learned from lifetimes, as congestion control learns from round
trips: none is in force until the lower quartile of the last ``WINDOW``
lifetimes passes the best one known by ``QUEUE_MS``; then it falls by a factor
and rises by one flow a window. Each home learns its own, so limits hold
without a message however stale the views of others are: when a VM joins or
dies, or is cut off, lifetimes change and the others follow. Boards and long
downloads are left out by the quartile.
"""

import collections
import typing

WINDOW: typing.Final = 8
QUEUE_MS: typing.Final = 150
CUT: typing.Final = 0.8
RISE: typing.Final = 1.0
CALM_MS: typing.Final = 5000
_FORGET: typing.Final = 1.01


class _Limit:
    __slots__ = ("base_ms", "calm_ms", "cut_ms", "lives_ms", "most")

    def __init__(self) -> None:
        self.lives_ms: collections.deque[int] = collections.deque(maxlen=WINDOW)
        self.base_ms = 0.0
        self.most: float | None = None
        self.cut_ms = 0
        self.calm_ms = 0


class ConcurrencyBook:
    """The limit of each target at one home."""

    def __init__(self) -> None:
        """Start without limits."""
        self._limits: dict[str, _Limit] = {}

    def room(self, name: str, busy: int) -> bool:
        """Tell whether a target may get one more flow.

        Args:
            name: The target.
            busy: Young flows that this home has on it.
        """
        known = self._limits.get(name)
        return known is None or known.most is None or busy + 1 <= max(1.0, known.most)

    def ended(self, now_ms: int, name: str, life_ms: int, busy: int) -> None:
        """Learn from a flow that ended.

        Args:
            now_ms: Present time in milliseconds.
            name: Its target.
            life_ms: Time from its first packet to its last.
            busy: Young flows left on the target.
        """
        known = self._limits.setdefault(name, _Limit())
        known.lives_ms.append(life_ms)
        if len(known.lives_ms) < WINDOW:
            return
        quartile = sorted(known.lives_ms)[WINDOW // 4]
        best = known.base_ms * _FORGET if known.base_ms else quartile
        known.base_ms = min(best, quartile)
        if quartile > known.base_ms + QUEUE_MS:
            _cut(known, now_ms, quartile, busy)
        else:
            _rise(known, now_ms, busy)


def _cut(known: _Limit, now_ms: int, quartile: float, busy: int) -> None:
    known.calm_ms = now_ms
    # The effect of a cut shows only in flows that begin after it.
    if now_ms - known.cut_ms < quartile:
        return
    known.cut_ms = now_ms
    present = busy + 1 if known.most is None else min(known.most, busy + 1)
    known.most = max(1.0, present * CUT)


def _rise(known: _Limit, now_ms: int, busy: int) -> None:
    if known.most is None:
        return
    if busy + 2 > known.most:
        known.calm_ms = now_ms
        known.most += RISE / max(1.0, known.most)
    elif now_ms - known.calm_ms > CALM_MS:
        known.most = None
