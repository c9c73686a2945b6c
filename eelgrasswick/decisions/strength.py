"""Strength of a target as measured by the entry VMs, instead of as claimed.

Load pattern: servers bought over years whose weights in the rules are wrong, a target
that turned slow, or one that answers fast because it fails. With the claimed weight a
slow target stays overloaded; with a load endpoint one wrong answer moves all flows.

A home measures how long flows last, from the first packet to the last. A low quantile
of the last ``SAMPLES`` lifetimes excludes long-lived flows and downloads. It also
excludes the time for which a request queued, which depends on load and not on strength.
The time of ``ROUND_TRIPS`` openings, which is spent on the network, is subtracted. The
rest is compared with the median over the targets of the service, corrected by the
claimed weights. Evidence of weakness lowers the factor down to ``MIN_FACTOR``; evidence
of strength raises it only up to ``MAX_FACTOR``, because a failing target looks fast.
Resets after the opening count against the target. A difference below ``TOLERANCE`` is
chance.
"""

import collections
import statistics
import typing

from eelgrasswick import target
from eelgrasswick.decisions import shift

SAMPLES: typing.Final = 16
MAX_SAMPLE_AGE_MS: typing.Final = 10_000
MIN_SAMPLES: typing.Final = 8
MIN_FACTOR: typing.Final = 0.2
MAX_FACTOR: typing.Final = 1.0
ROUND_TRIPS: typing.Final = 3
TOLERANCE: typing.Final = 1.5
_RESET_DECAY: typing.Final = 0.9


class _Lifetime(typing.NamedTuple):
    at_ms: int
    life_ms: int


class _Record:
    __slots__ = ("at_ms", "reset_share", "lifetimes", "openings_ms", "factor")

    def __init__(self) -> None:
        self.lifetimes: collections.deque[_Lifetime] = collections.deque(maxlen=SAMPLES)
        self.openings_ms: collections.deque[int] = collections.deque(maxlen=SAMPLES)
        self.reset_share = 0.0
        self.factor = 1.0
        self.at_ms = 0


class StrengthTracker:
    """Lifetimes and resets of the flows that one home placed, by target."""

    def __init__(self) -> None:
        """Create a tracker in which the claimed weights apply."""
        self._records: dict[str, _Record] = {}

    def accepted(self, name: str, opening_ms: int) -> None:
        """Record how long a target took to accept a flow."""
        self._records.setdefault(name, _Record()).openings_ms.append(opening_ms)

    def ended(self, now_ms: int, name: str, life_ms: int, reset: bool) -> None:
        """Record that a flow ended.

        Args:
            now_ms: Present time in milliseconds.
            name: Its target.
            life_ms: Time from its first packet to its last.
            reset: True when the target reset it.
        """
        record = self._records.setdefault(name, _Record())
        record.reset_share = record.reset_share * _RESET_DECAY + (
            1 - _RESET_DECAY if reset else 0.0
        )
        if not reset:
            record.lifetimes.append(_Lifetime(now_ms, life_ms))

    def life_ms(self, name: str) -> float | None:
        """Return a low quantile of a target's lifetimes without network time, or None.

        Network time is part of every lifetime but is no work. With it, a target that is
        twice as fast would look less than twice as fast. The result is None until there
        are ``MIN_SAMPLES`` lifetimes.
        """
        record = self._records.get(name)
        if record is None or len(record.lifetimes) < MIN_SAMPLES:
            return None
        lifetimes_ms = sorted(item.life_ms for item in record.lifetimes)
        low_ms = lifetimes_ms[len(lifetimes_ms) // 8]
        network_ms = ROUND_TRIPS * min(record.openings_ms, default=0)
        return float(max(1, low_ms - network_ms))

    def tick(self, now_ms: int, targets: typing.Sequence[target.Target]) -> None:
        """Update the factors of the targets of one service."""
        for item in targets:
            self._expire(now_ms, item.name)
        slowness = {item.name: self._slowness(item) for item in targets}
        known = [value for value in slowness.values() if value is not None]
        usual = statistics.median(known) if len(known) > 1 else None
        for item in targets:
            record = self._records.get(item.name)
            if record is None:
                continue
            wanted = _correction(slowness[item.name], usual) * _reliability(
                record.reset_share
            )
            elapsed_ms = min(1000, now_ms - record.at_ms)
            record.factor = shift.approach(record.factor, wanted, elapsed_ms)
            record.at_ms = now_ms

    def factor(self, name: str) -> float:
        """Return the factor by which to multiply a target's claimed weight."""
        record = self._records.get(name)
        return record.factor if record is not None else 1.0

    def _expire(self, now_ms: int, name: str) -> None:
        # A target that looks weak gets few flows. Without expiry, samples of an earlier
        # burst would stay for minutes and keep the target weak.
        record = self._records.get(name)
        while record is not None and record.lifetimes:
            if now_ms - record.lifetimes[0].at_ms < MAX_SAMPLE_AGE_MS:
                return
            record.lifetimes.popleft()

    def _slowness(self, item: target.Target) -> float | None:
        # Weight over slots is the claimed speed of one slot, so the product is the same
        # for all targets whose claims are right, whatever their weight.
        life_ms = self.life_ms(item.name)
        if life_ms is None:
            return None
        return max(1.0, life_ms) * item.weight / item.slots


def _correction(slowness: float | None, usual: float | None) -> float:
    if slowness is None or usual is None:
        return 1.0
    ratio = usual / slowness
    # Quantiles of few samples differ by chance. Acting on such differences would cause
    # needless exceptions.
    if 1 / TOLERANCE <= ratio <= TOLERANCE:
        return 1.0
    return max(MIN_FACTOR, min(MAX_FACTOR, ratio))


def _reliability(reset_share: float) -> float:
    return max(MIN_FACTOR, (1 - reset_share) ** 2)
