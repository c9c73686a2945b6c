"""Reports of a VM's use of targets to the schedulers that it asks.

The counts are absolute and cumulative. Updates keep a short distance, so that changes
that come together share a message, and a request carries what has changed
without a message of its own. Counts in use are repeated, which corrects a loss. A
scheduler drops counts that are not repeated, which equals a report of no use, so unused
targets need no repetition after the first one.
"""

import typing

from eelgrasswick.reservations import codec, messages

# A change is sent at once, but not sooner after the last update of the same scheduler.
# Slots whose request has ended are idle until the scheduler knows.
CHANGE_MS: typing.Final = 2
# Counts in use are repeated after this time.
REFRESH_MS: typing.Final = 250
# Changes are looked for at this interval, however often updates are requested. An
# interval longer than `CHANGE_MS` would delay them.
_CHECK_INTERVAL_MS: typing.Final = 1
# A scheduler that was not asked for this time gets no more reports. Pressure is over by
# then, and so are the requests that it granted.
FORGET_MS: typing.Final = 3000
# The least recently asked schedulers above this number are forgotten.
MAX_SCHEDULERS: typing.Final = 256
# Unused targets are forgotten when a scheduler was asked about more than this number.
# Targets that were replaced would accumulate otherwise.
MAX_TRACKED: typing.Final = 256

UsageOf = typing.Callable[[int], messages.Usage]


class Send(typing.NamedTuple):
    """A message for another VM, or for this one."""

    host: str
    message: messages.Message


class Fields(typing.NamedTuple):
    """The fields of a Reserve that report usage."""

    number: int
    acknowledged: messages.Acknowledged
    usage: tuple[messages.Usage, ...]


class _Scheduler:
    """What was sent to one scheduler, and received from it."""

    __slots__ = (
        "acknowledged",
        "asked_ms",
        "granted",
        "in_use",
        "refreshed_ms",
        "repeat",
        "sent",
        "sent_acknowledged",
        "updated_ms",
    )

    def __init__(self, now_ms: int) -> None:
        self.asked_ms = now_ms
        self.refreshed_ms = now_ms
        self.updated_ms = now_ms - CHANGE_MS
        self.acknowledged = messages.Acknowledged()
        self.sent_acknowledged = self.acknowledged
        # The last usage sent of each target that the scheduler was asked about.
        self.sent: dict[int, messages.Usage] = {}
        # Targets of grants whose acknowledgement was not sent yet.
        self.granted: set[int] = set()
        # Targets whose change has not been repeated yet.
        self.repeat: set[int] = set()
        # Whether any count must be repeated.
        self.in_use = False

    def track(self, cookie: int) -> messages.Usage:
        sent = self.sent.get(cookie)
        if sent is None:
            sent = self.sent[cookie] = messages.Usage(cookie, 0, 0, 0, 0)
        return sent

    def limit_tracked(self) -> None:
        if len(self.sent) > MAX_TRACKED:
            self.sent = {
                cookie: row
                for cookie, row in self.sent.items()
                if row.in_flight or cookie in self.repeat or cookie in self.granted
            }

    def record_sent(self, rows: typing.Iterable[messages.Usage]) -> None:
        for row in rows:
            if row != self.sent[row.cookie]:
                self.sent[row.cookie] = row
                self.repeat.add(row.cookie)
        self.in_use = bool(self.repeat) or any(
            row.in_flight for row in self.sent.values()
        )
        self.sent_acknowledged = self.acknowledged
        self.granted.clear()


class UsageReporter:
    """Reports one VM's use of targets."""

    def __init__(self, incarnation: int, usage_of: UsageOf) -> None:
        """Create a reporter that knows no scheduler.

        Args:
            incarnation: Random number of this process.
            usage_of: Returns the present usage of a target by its cookie.
        """
        self._incarnation = incarnation
        self._usage_of = usage_of
        self._number = 0
        self._next_check_ms = 0
        self._schedulers: dict[str, _Scheduler] = {}

    def reserve_fields(
        self, now_ms: int, host: str, cookies: typing.Iterable[int]
    ) -> Fields:
        """Return the report that goes with a request to a scheduler.

        Args:
            now_ms: Present time.
            host: Address of the scheduler.
            cookies: Cookies of the candidates.
        """
        item = self._asked(now_ms, host)
        # An acknowledgement ends the count of a grant, so the same message must state
        # the use of that target, even when it is no candidate of this request.
        rows = []
        item.limit_tracked()
        for cookie in dict.fromkeys((*cookies, *item.granted)):
            row = self._usage_of(cookie)
            if row != item.track(cookie):
                rows.append(row)
        item.record_sent(rows)
        return Fields(self._next_number(), item.acknowledged, tuple(rows))

    def record_grant(self, host: str, grant: messages.Grant) -> None:
        """Record a grant, for the acknowledgement in the next message."""
        item = self._schedulers.get(host)
        if item is None:
            return
        received = messages.Acknowledged(grant.incarnation, grant.grant)
        same_process = item.acknowledged.incarnation == grant.incarnation
        if not same_process or item.acknowledged.grant < grant.grant:
            item.acknowledged = received
            if grant.cookie in item.sent:
                item.granted.add(grant.cookie)

    def due(
        self, now_ms: int, usage: typing.Mapping[int, messages.Usage]
    ) -> list[Send]:
        """Return the updates that are due.

        Args:
            now_ms: Present time.
            usage: Present usage by cookie. A target that is missing has no request in
                flight.
        """
        sends: list[Send] = []
        if now_ms < self._next_check_ms:
            return sends
        self._next_check_ms = now_ms + _CHECK_INTERVAL_MS
        for host, item in list(self._schedulers.items()):
            if now_ms - item.asked_ms >= FORGET_MS:
                del self._schedulers[host]
            else:
                sends += self._updates(now_ms, host, item, usage)
        return sends

    def _asked(self, now_ms: int, host: str) -> _Scheduler:
        # The dictionary is kept in the order of the last request.
        item = self._schedulers.pop(host, None) or _Scheduler(now_ms)
        if len(self._schedulers) >= MAX_SCHEDULERS:
            del self._schedulers[next(iter(self._schedulers))]
        self._schedulers[host] = item
        item.asked_ms = now_ms
        return item

    def _updates(
        self,
        now_ms: int,
        host: str,
        item: _Scheduler,
        usage: typing.Mapping[int, messages.Usage],
    ) -> list[Send]:
        rows = self._changed(item, usage)
        if not item.in_use:
            item.refreshed_ms = now_ms
        refresh = now_ms - item.refreshed_ms >= REFRESH_MS
        changed = bool(rows) or item.acknowledged != item.sent_acknowledged
        if not refresh and not (changed and now_ms - item.updated_ms >= CHANGE_MS):
            return []
        if refresh:
            rows += _repeated(item, rows)
            item.repeat.clear()
            item.refreshed_ms = now_ms
        item.updated_ms = now_ms
        item.record_sent(rows)
        return self._split(host, item.acknowledged, rows)

    def _changed(
        self, item: _Scheduler, usage: typing.Mapping[int, messages.Usage]
    ) -> list[messages.Usage]:
        changed = []
        for cookie, sent in item.sent.items():
            row = usage.get(cookie)
            if row is None:
                if sent.in_flight:
                    changed.append(_unused(sent, self._usage_of(cookie)))
            elif row != sent:
                changed.append(row)
        return changed

    def _split(
        self,
        host: str,
        acknowledged: messages.Acknowledged,
        rows: list[messages.Usage],
    ) -> list[Send]:
        size = codec.MAX_USAGE
        parts = [rows[first : first + size] for first in range(0, len(rows), size)]
        return [
            Send(
                host,
                messages.UsageUpdate(
                    self._incarnation, self._next_number(), acknowledged, tuple(part)
                ),
            )
            for part in parts or [[]]
        ]

    def _next_number(self) -> int:
        self._number += 1
        return self._number


def _unused(sent: messages.Usage, present: messages.Usage) -> messages.Usage:
    # The counts of a removed target are deleted, but a reported one never falls.
    return messages.Usage(
        sent.cookie,
        0,
        max(sent.completed, present.completed),
        max(sent.busy_ms, present.busy_ms),
        max(sent.rejected, present.rejected),
    )


def _repeated(
    item: _Scheduler, changed: typing.Iterable[messages.Usage]
) -> list[messages.Usage]:
    known = {row.cookie for row in changed}
    return [
        row
        for cookie, row in item.sent.items()
        if cookie not in known and (row.in_flight or cookie in item.repeat)
    ]
