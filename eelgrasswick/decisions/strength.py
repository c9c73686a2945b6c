"""How strong a target is by what the entry VMs see, not by what it claims.

Load pattern: servers bought over years whose weights in the rules are wrong,
a target that turned slow, one that answers fast because it fails. Trusting the
claim keeps a slow target overloaded; trusting a load endpoint lets one wrong
answer move everything.

A home sees how long flows last, from the first packet to the last. A low
quantile of the last ``SAMPLES`` lifetimes leaves boards and downloads out, and
the time for which a request queued, which tells of load and not of strength;
the time of ``WAYS`` openings, which is spent on the way, is taken off. The rest
is compared with the median over the targets of the service, after what the
claimed weights make of it. Evidence of weakness counts down to ``LOWEST``;
evidence of strength only up to ``HIGHEST``, because a failing target looks
fast. Resets after the opening count against it. Below ``TOLERANCE`` a difference
is chance.
"""

import collections
import statistics
import typing

from eelgrasswick import target
from eelgrasswick.decisions import shift

SAMPLES: typing.Final = 16
KEEP_MS: typing.Final = 10_000
ENOUGH: typing.Final = 8
MIN_FACTOR: typing.Final = 0.2
HIGHEST: typing.Final = 1.0
WAYS: typing.Final = 3
TOLERANCE: typing.Final = 1.5
_FADE: typing.Final = 0.9


class _Life(typing.NamedTuple):
    at_ms: int
    life_ms: int


class _Sight:
    __slots__ = ("at_ms", "failing", "lives", "openings_ms", "used")

    def __init__(self) -> None:
        self.lives: collections.deque[_Life] = collections.deque(maxlen=SAMPLES)
        self.openings_ms: collections.deque[int] = collections.deque(maxlen=SAMPLES)
        self.failing = 0.0
        self.used = 1.0
        self.at_ms = 0


class StrengthTracker:
    """Lifetimes and resets of the flows that one home placed."""

    def __init__(self) -> None:
        """Trust the claims at first."""
        self._sights: dict[str, _Sight] = {}

    def accepted(self, name: str, opening_ms: int) -> None:
        """Note how long a target took to accept a flow."""
        self._sights.setdefault(name, _Sight()).openings_ms.append(opening_ms)

    def ended(self, now_ms: int, name: str, life_ms: int, reset: bool) -> None:
        """Note that a flow ended.

        Args:
            now_ms: Present time in milliseconds.
            name: Its target.
            life_ms: Time from its first packet to its last.
            reset: True when the target reset it.
        """
        sight = self._sights.setdefault(name, _Sight())
        sight.failing = sight.failing * _FADE + (1 - _FADE if reset else 0.0)
        if not reset:
            sight.lives.append(_Life(now_ms, life_ms))

    def life_ms(self, name: str) -> float | None:
        """Return a low quantile of a target's lifetimes, once known.

        The way there and back is in every lifetime but is no work. Left in, it
        makes a target that is twice as fast look less than twice as fast.
        """
        sight = self._sights.get(name)
        if sight is None or len(sight.lives) < ENOUGH:
            return None
        lives_ms = sorted(item.life_ms for item in sight.lives)
        low = lives_ms[len(lives_ms) // 8]
        way_ms = WAYS * min(sight.openings_ms, default=0)
        return float(max(1, low - way_ms))

    def tick(self, now_ms: int, targets: typing.Sequence[target.Target]) -> None:
        """Follow what was seen of the targets of one service."""
        for item in targets:
            self._forget(now_ms, item.name)
        slowness = {item.name: self._slowness(item) for item in targets}
        known = [value for value in slowness.values() if value is not None]
        usual = statistics.median(known) if len(known) > 1 else None
        for item in targets:
            sight = self._sights.get(item.name)
            if sight is None:
                continue
            wanted = _correction(slowness[item.name], usual) * _trust(sight.failing)
            elapsed_ms = min(1000, now_ms - sight.at_ms)
            sight.used = shift.approach(sight.used, wanted, elapsed_ms)
            sight.at_ms = now_ms

    def factor(self, name: str) -> float:
        """Return what a target's claimed weight is to be multiplied with."""
        sight = self._sights.get(name)
        return sight.used if sight is not None else 1.0

    def _forget(self, now_ms: int, name: str) -> None:
        # A target that looks weak gets few flows, so that a burst it once had
        # would stay in its sample for minutes and keep it weak.
        sight = self._sights.get(name)
        while sight is not None and sight.lives:
            if now_ms - sight.lives[0].at_ms < KEEP_MS:
                return
            sight.lives.popleft()

    def _slowness(self, item: target.Target) -> float | None:
        # Weight over slots is the claimed speed of one slot, so an honest
        # target has the same product whatever its weight.
        life_ms = self.life_ms(item.name)
        if life_ms is None:
            return None
        return max(1.0, life_ms) * item.weight / item.slots


def _correction(slowness: float | None, usual: float | None) -> float:
    if slowness is None or usual is None:
        return 1.0
    ratio = usual / slowness
    # Quartiles of few samples differ by chance; acting on that would make
    # exceptions for nothing.
    if 1 / TOLERANCE <= ratio <= TOLERANCE:
        return 1.0
    return max(MIN_FACTOR, min(HIGHEST, ratio))


def _trust(failing: float) -> float:
    return max(MIN_FACTOR, (1 - failing) ** 2)
