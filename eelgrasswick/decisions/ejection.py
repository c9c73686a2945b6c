"""Outlier ejection: which targets get no new flows because their answers stay out.

Answers the load of a large fleet before targets that hang: they accept flows and
answer nothing, so that neither an unanswered opening packet nor a refused connection
tells of them. Each VM has a flow or two on such a target. Left to itself it finds
out by its own callers' requests, one target after the other.

VMs of a zone therefore share witnesses: that a request of theirs is overdue at a
target. Enough witnesses within a short time eject it for all of them. An ejection
ends by itself, later each time it follows the one before closely, and at another
moment on each VM, so that the first flow that returns is a trial for all. One
witness is then enough to eject the target again.

A slow service looks the same as many targets that hang. So no more than a part of
the targets of a service and zone is ever ejected; beyond it none is (the panic
threshold of Envoy's outlier detection).
"""

import typing

# Witnesses within this time count together.
WITNESS_WINDOW_MS: typing.Final = 1500
MIN_WITNESSES: typing.Final = 3
# How long the first ejection lasts, and the longest one. Up to half as long again
# is added at random.
BASE_EJECTION_MS: typing.Final = 2000
LONGEST_MS: typing.Final = 4000
JITTER: typing.Final = 0.5
# For so long after an ejection one witness begins the next.
PROBATION_MS: typing.Final = 5000
MAX_EJECTED_PART: typing.Final = 0.5


class Witness(typing.NamedTuple):
    """A VM that has an overdue request at a target.

    Attributes:
        cookie: The target.
        vm: Identifies the VM.
        age_ms: How long ago it noticed.
    """

    cookie: int
    vm: int
    age_ms: int


class Ejection(typing.NamedTuple):
    """A target that was ejected.

    Attributes:
        cookie: The target.
        witnesses: VMs that have overdue requests there.
        lasts_ms: How long it gets no new flow.
    """

    cookie: int
    witnesses: int
    lasts_ms: int


class _Record:
    __slots__ = ("lasts_ms", "seen_ms", "until_ms")

    def __init__(self) -> None:
        self.seen_ms: dict[int, int] = {}
        self.until_ms = 0
        self.lasts_ms = 0


class OutlierEjection:
    """Witnesses and ejections by target, as one VM knows them.

    Attributes:
        fresh: Ejections that were not logged yet.
    """

    def __init__(self) -> None:
        """Begin with no target ejected."""
        self.unlogged: list[Ejection] = []
        self._records: dict[int, _Record] = {}

    @property
    def active(self) -> bool:
        """False while there is nothing against any target."""
        return bool(self._records)

    def add_witness(self, now_ms: int, item: Witness, fraction: float) -> bool:
        """Take a witness of this or another VM.

        Args:
            now_ms: Present time.
            item: The witness.
            fraction: A random number from 0 to 1, which keeps the VMs' ends of an
                ejection apart.

        Returns:
            True when other VMs should hear of it: it is new here, and the target
            has not had all the witnesses that count.
        """
        at_ms = now_ms - item.age_ms
        if item.age_ms > WITNESS_WINDOW_MS:
            return False
        record = self._records.setdefault(item.cookie, _Record())
        recent = {
            vm: seen_ms
            for vm, seen_ms in record.seen_ms.items()
            if now_ms - seen_ms <= WITNESS_WINDOW_MS
        }
        new = item.vm not in recent and len(recent) < MIN_WITNESSES
        recent[item.vm] = max(at_ms, recent.get(item.vm, at_ms))
        record.seen_ms = recent
        if at_ms >= record.until_ms and len(recent) >= self._needed(at_ms, record):
            self._eject(now_ms, item.cookie, record, fraction)
        return new

    def ejected(self, now_ms: int, cookie: int) -> bool:
        """Tell whether a target has enough witnesses against it."""
        record = self._records.get(cookie)
        return record is not None and now_ms < record.until_ms

    def allowed(
        self, now_ms: int, cookies: typing.Collection[int]
    ) -> typing.Collection[int]:
        """Return which of the targets of a service and zone may get new flows.

        Args:
            now_ms: Present time.
            cookies: All of them.
        """
        found = {item for item in cookies if self.ejected(now_ms, item)}
        if len(found) > max(1, MAX_EJECTED_PART * len(cookies)):
            return cookies
        return [item for item in cookies if item not in found]

    def keep(self, now_ms: int, cookies: typing.Collection[int]) -> None:
        """Forget targets that are gone or were not heard of for a while."""
        over = [
            cookie
            for cookie, record in self._records.items()
            if cookie not in cookies or self._is_over(now_ms, record)
        ]
        for cookie in over:
            del self._records[cookie]

    def _needed(self, at_ms: int, record: _Record) -> int:
        probation = record.lasts_ms and at_ms - record.until_ms < PROBATION_MS
        return 1 if probation else MIN_WITNESSES

    def _eject(
        self, now_ms: int, cookie: int, record: _Record, fraction: float
    ) -> None:
        again = record.lasts_ms and now_ms - record.until_ms < PROBATION_MS
        record.lasts_ms = (
            min(LONGEST_MS, 2 * record.lasts_ms) if again else BASE_EJECTION_MS
        )
        lasts_ms = int(record.lasts_ms * (1 + JITTER * fraction))
        record.until_ms = now_ms + lasts_ms
        self.unlogged.append(Ejection(cookie, len(record.seen_ms), lasts_ms))

    def _is_over(self, now_ms: int, record: _Record) -> bool:
        last_ms = max(record.until_ms, max(record.seen_ms.values(), default=0))
        return now_ms - last_ms >= PROBATION_MS
