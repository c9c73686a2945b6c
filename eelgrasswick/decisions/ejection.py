"""Outlier ejection of targets that leave requests unanswered.

Load pattern: a large fleet in front of targets that hang. Such targets accept flows and
answer nothing, so that neither an unanswered opening packet nor a refused connection
reveals them. Each VM has one or two flows on such a target. Without exchange between
VMs each one detects the fault only by its own callers' requests, one target after the
other.

The VMs of a zone therefore report to one another that a request of theirs is overdue at
a target. A VM that reports this is a witness. Enough witnesses within a short time
eject the target for all of these VMs. An ejection ends by itself. It lasts longer when
it closely follows the one before, and ends at a different moment on each VM, so that
the first flow that returns is a trial for all VMs. One witness is then enough to eject
the target again.

A slow service looks the same as many targets that hang. At most a part of the targets
of a service and zone is therefore ejected; beyond it no target is (the panic threshold
of Envoy's outlier detection).
"""

import typing

# Witnesses whose reports are within this time of one another are counted together.
WITNESS_WINDOW_MS: typing.Final = 1500
MIN_WITNESSES: typing.Final = 3
# These are the lengths of the first and of the longest ejection. A random part of up to
# half of the length is added.
BASE_EJECTION_MS: typing.Final = 2000
MAX_EJECTION_MS: typing.Final = 4000
JITTER: typing.Final = 0.5
# For this time after an ejection ends, one witness is enough to eject the target again.
PROBATION_MS: typing.Final = 5000
MAX_EJECTED_SHARE: typing.Final = 0.5


class Witness(typing.NamedTuple):
    """A VM that has an overdue request at a target.

    Attributes:
        cookie: The target.
        vm: Identifies the VM.
        age_ms: How long ago the VM detected it, in milliseconds.
    """

    cookie: int
    vm: int
    age_ms: int


class Ejection(typing.NamedTuple):
    """The ejection of a target.

    Attributes:
        cookie: The target.
        witnesses: How many VMs have overdue requests there.
        lasts_ms: How long the target gets no new flow.
    """

    cookie: int
    witnesses: int
    lasts_ms: int


class _Record:
    __slots__ = ("lasts_ms", "witnessed_ms", "until_ms")

    def __init__(self) -> None:
        self.witnessed_ms: dict[int, int] = {}
        self.until_ms = 0
        self.lasts_ms = 0


class OutlierEjection:
    """Witnesses and ejections by target, as recorded by one VM.

    Attributes:
        unlogged: Ejections that are not logged yet.
    """

    def __init__(self) -> None:
        """Create a table without witnesses and ejections."""
        self.unlogged: list[Ejection] = []
        self._records: dict[int, _Record] = {}

    @property
    def active(self) -> bool:
        """False while there are no records of any target."""
        return bool(self._records)

    def add_witness(self, now_ms: int, item: Witness, fraction: float) -> bool:
        """Record that this or another VM is a witness.

        Args:
            now_ms: Present time in milliseconds.
            item: The witness and its target.
            fraction: Random number from 0 to 1, which makes the VMs end an ejection at
                different moments.

        Returns:
            True when the report is to be sent to other VMs: it is new to this VM, and
            the target had fewer witnesses than an ejection needs.
        """
        at_ms = now_ms - item.age_ms
        if item.age_ms > WITNESS_WINDOW_MS:
            return False
        record = self._records.setdefault(item.cookie, _Record())
        recent = {
            vm: witnessed_ms
            for vm, witnessed_ms in record.witnessed_ms.items()
            if now_ms - witnessed_ms <= WITNESS_WINDOW_MS
        }
        new = item.vm not in recent and len(recent) < MIN_WITNESSES
        recent[item.vm] = max(at_ms, recent.get(item.vm, at_ms))
        record.witnessed_ms = recent
        if at_ms >= record.until_ms and len(recent) >= self._needed(at_ms, record):
            self._eject(now_ms, item.cookie, record, fraction)
        return new

    def ejected(self, now_ms: int, cookie: int) -> bool:
        """Return whether a target is ejected now."""
        record = self._records.get(cookie)
        return record is not None and now_ms < record.until_ms

    def allowed(
        self, now_ms: int, cookies: typing.Collection[int]
    ) -> typing.Collection[int]:
        """Return the targets of a service and zone that may get new flows.

        Args:
            now_ms: Present time in milliseconds.
            cookies: All targets of the service and zone.
        """
        ejected = {item for item in cookies if self.ejected(now_ms, item)}
        if len(ejected) > max(1, MAX_EJECTED_SHARE * len(cookies)):
            return cookies
        return [item for item in cookies if item not in ejected]

    def retain(self, now_ms: int, cookies: typing.Collection[int]) -> None:
        """Delete records of targets that are gone or have no recent witness."""
        expired = [
            cookie
            for cookie, record in self._records.items()
            if cookie not in cookies or self._is_expired(now_ms, record)
        ]
        for cookie in expired:
            del self._records[cookie]

    def _needed(self, at_ms: int, record: _Record) -> int:
        probation = record.lasts_ms and at_ms - record.until_ms < PROBATION_MS
        return 1 if probation else MIN_WITNESSES

    def _eject(
        self, now_ms: int, cookie: int, record: _Record, fraction: float
    ) -> None:
        again = record.lasts_ms and now_ms - record.until_ms < PROBATION_MS
        record.lasts_ms = (
            min(MAX_EJECTION_MS, 2 * record.lasts_ms) if again else BASE_EJECTION_MS
        )
        lasts_ms = int(record.lasts_ms * (1 + JITTER * fraction))
        record.until_ms = now_ms + lasts_ms
        self.unlogged.append(Ejection(cookie, len(record.witnessed_ms), lasts_ms))

    def _is_expired(self, now_ms: int, record: _Record) -> bool:
        last_ms = max(record.until_ms, max(record.witnessed_ms.values(), default=0))
        return now_ms - last_ms >= PROBATION_MS
