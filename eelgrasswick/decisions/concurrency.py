"""How many young flows a target gets at once.

Load pattern: more work than the slots can do. A target has 2 or 3 slots but
takes 2,000 connections, so it never sheds; its queue grows until every answer
is late, and goodput falls to nothing although all slots work.

The limit is learned from lifetimes, as congestion control learns from round
trips. It begins at ``FIRST`` and grows by one with each flow that ends in time
or outlives its youth, as a board does. When the shortest of the last ``WINDOW``
lifetimes passes the best one known by ``QUEUE_MS``, it falls to what the target
ends in that time (Little's law), and grows by one a lifetime until ``CALM_MS``
have passed. Each home learns its own, so limits hold without a message however
stale the views of others are: when a VM joins, dies or is cut off, lifetimes
change and the others follow. The shortest lifetime leaves boards and downloads
out.

Lifetimes also differ because requests do. A lifetime counts as late only when it
passes the best one by ``QUEUE_MS`` and by ``SPREAD`` times what two flows that
ended one after the other differ by: the median of the last ``STEPS``, once there
are ``STEPS_LEAST``; with fewer a queue that builds up could pass for it. Without
that, targets that answer at once would have most of their flows refused.

``WINDOW`` is small because a home sees few flows a second of a weak target.
``FIRST`` weighs a burst of requests against one of boards, which look alike until
some have ended: lower, boards that open at once are refused; higher, more answers
are late.
"""

import collections
import statistics
import typing

WINDOW: typing.Final = 4
STEPS: typing.Final = 32
STEPS_LEAST: typing.Final = 16
SPREAD: typing.Final = 2
MAX_QUEUE_MS: typing.Final = 100
FIRST: typing.Final = 4.0
CALM_MS: typing.Final = 3000
FORGET_PER_S: typing.Final = 0.005


class _Life(typing.NamedTuple):
    at_ms: int
    life_ms: int


class _Limit:
    __slots__ = ("base_ms", "cut_ms", "learned_ms", "lives", "most", "steps_ms")

    def __init__(self) -> None:
        self.lives: collections.deque[_Life] = collections.deque(maxlen=WINDOW)
        self.steps_ms: collections.deque[int] = collections.deque(maxlen=STEPS)
        self.base_ms = 0.0
        self.most = FIRST
        self.cut_ms = -CALM_MS
        self.learned_ms = 0


class ConcurrencyLimits:
    """The limit of each target at one home."""

    def __init__(self) -> None:
        """Start with the first limit for every target."""
        self._limits: dict[str, _Limit] = {}

    def room(self, name: str, busy: int) -> bool:
        """Tell whether a target may get one more flow.

        Args:
            name: The target.
            busy: Young flows that this home has on it.
        """
        return busy + 1 <= self.limit(name)

    def limit(self, name: str) -> float:
        """Return the limit of a target."""
        known = self._limits.get(name)
        return known.most if known is not None else FIRST

    def ended(self, now_ms: int, name: str, life_ms: int, busy: int) -> None:
        """Learn from a flow that ended.

        Args:
            now_ms: Present time in milliseconds.
            name: Its target.
            life_ms: Time from its first packet to its last.
            busy: Young flows left on the target.
        """
        known = self._limits.setdefault(name, _Limit())
        if known.lives:
            known.steps_ms.append(abs(life_ms - known.lives[-1].life_ms))
        known.lives.append(_Life(now_ms, life_ms))
        if len(known.lives) < WINDOW:
            return
        shortest = min(item.life_ms for item in known.lives)
        _learn_base(known, now_ms, shortest)
        if shortest > _prompt_ms(known):
            _cut(known, now_ms)
        elif busy + 2 > known.most:
            known.most += 1.0 if _calm(known, now_ms) else 1.0 / known.most

    def aged(self, now_ms: int, name: str) -> None:
        """Learn from a flow that is no longer young.

        Many boards can come at once, and none ends for hours. Without this
        the limit would stay at its first value and most would be refused.
        """
        known = self._limits.setdefault(name, _Limit())
        if _calm(known, now_ms):
            known.most += 1.0


def _calm(known: _Limit, now_ms: int) -> bool:
    return now_ms - known.cut_ms > CALM_MS


def _prompt_ms(known: _Limit) -> float:
    # Lifetimes also differ because requests do. Taken for a queue, that would
    # have most callers of an idle target refused. A queue moves slowly, so two
    # flows that end one after the other have waited alike, and what their
    # lifetimes differ by is the requests' own.
    enough = len(known.steps_ms) >= STEPS_LEAST
    own_ms = statistics.median(known.steps_ms) if enough else 0.0
    return known.base_ms + MAX_QUEUE_MS + SPREAD * own_ms


def _learn_base(known: _Limit, now_ms: int, shortest: int) -> None:
    # The best lifetime is forgotten slowly. Forgotten fast, an overload of
    # seconds would become the measure of what is normal and the limit would
    # follow the queue upwards.
    elapsed_s = (now_ms - known.learned_ms) / 1000
    best = known.base_ms * (1 + FORGET_PER_S * elapsed_s)
    known.base_ms = min(best, shortest) if known.base_ms else shortest
    known.learned_ms = now_ms


def _cut(known: _Limit, now_ms: int) -> None:
    span_ms = max(1, now_ms - known.lives[0].at_ms)
    per_ms = (WINDOW - 1) / span_ms
    wanted = per_ms * _prompt_ms(known)
    known.most = max(1.0, min(known.most, wanted))
    known.cut_ms = now_ms
