"""What every VM has in flight on the targets of a scheduler's groups.

Load pattern: a pool under pressure, where many VMs open flows to the same few targets.
Each VM knows only its own flows. Without a sum of all of them, VMs send requests to
targets that are full while other targets have free capacity.

Counts are absolute and cumulative and messages are numbered, so that a lost, duplicated
or reordered message never adds capacity. A grant counts as a request in flight until
its VM acknowledges it and reports the target itself, because otherwise several VMs
would be granted the same slot within one message delay. The acknowledgment alone is not
enough: a VM reports changed figures once, and if that message is lost, later messages
repeat the acknowledgment but not the figures.

All grants of a scheduler share one sequence of numbers. If each VM had a sequence of
its own, it would begin again when the VM's record expires, and a VM that had
acknowledged a high number before would seem to have received the new grants.
"""

import collections
import typing

from eelgrasswick.reservations import messages

MAX_ORIGINS: typing.Final = 4096
# Limits memory to some 20 MB. A VM reports only targets of the groups that it asks.
MAX_COUNTS: typing.Final = 65_536
ORIGIN_EXPIRY_MS: typing.Final = 1000
GRANT_EXPIRY_MS: typing.Final = 300
# A VM reports all its targets every 250 ms. A target that is missing in that many
# reports is no longer known to the VM, and its last count would take capacity forever.
UNLISTED_EXPIRY_MS: typing.Final = 2000
# How often the counts of one origin are searched for targets that it no longer lists.
_UNLISTED_CHECK_MS: typing.Final = 1000
# Messages of earlier processes of a VM are at most seconds late, and it restarts at
# most a few times in that time.
_REPLACED_INCARNATIONS: typing.Final = 4


class Delta(typing.NamedTuple):
    """What a message adds to the cumulative counts of one target.

    Attributes:
        cookie: The target's cookie.
        completed: New responses.
        busy_ms: Sum of the capped times of these responses.
        rejected: New refusals by the target.
    """

    cookie: int
    completed: int
    busy_ms: int
    rejected: int


class _Listed(typing.NamedTuple):
    usage: messages.Usage
    at_ms: int


class _Outstanding(typing.NamedTuple):
    origin: str
    cookie: int
    granted_ms: int


class _Origin:
    __slots__ = (
        "incarnation",
        "replaced",
        "number",
        "heard_ms",
        "checked_ms",
        "listed",
        "grants",
    )

    def __init__(self, now_ms: int, incarnation: int) -> None:
        self.incarnation = incarnation
        self.replaced: collections.deque[int] = collections.deque(
            maxlen=_REPLACED_INCARNATIONS
        )
        self.number = -1
        self.heard_ms = now_ms
        self.checked_ms = now_ms
        self.listed: dict[int, _Listed] = {}
        # Cookies by the numbers of grants without a report, in ascending order.
        self.grants: dict[int, int] = {}


class UsageTable:
    """Requests in flight at targets, as reported by all VMs that ask a scheduler."""

    def __init__(self, incarnation: int) -> None:
        """Create an empty table.

        Args:
            incarnation: Random number of the scheduler's process. Acknowledgments of
                grants of another process are ignored.
        """
        self._incarnation = incarnation
        # Ordered by the time of the last message and by the grant number, so that
        # expiry looks only at what has expired.
        self._origins: collections.OrderedDict[str, _Origin] = collections.OrderedDict()
        self._outstanding: dict[int, _Outstanding] = {}
        self._in_flight: collections.Counter[int] = collections.Counter()
        self._freed: set[int] = set()
        self._listed_count = 0
        self._last_grant = 0

    def __len__(self) -> int:
        """Return the number of origins."""
        return len(self._origins)

    def accepts(self, origin: str) -> bool:
        """Return whether messages of an origin can be recorded within the bounds.

        A known origin is always accepted, because leaving out its counts would add
        capacity that does not exist.
        """
        if origin in self._origins:
            return True
        return len(self._origins) < MAX_ORIGINS and self._listed_count < MAX_COUNTS

    def record(
        self,
        now_ms: int,
        origin: str,
        message: messages.Reserve | messages.UsageUpdate,
    ) -> list[Delta] | None:
        """Record the usage that a message reports.

        The first report of an origin about a target adds nothing to the cumulative
        counts, because they began before this table.

        Args:
            now_ms: Present time in milliseconds.
            origin: The VM that sent the message.
            message: The message.

        Returns:
            The targets with changed figures and what the message adds to their
            cumulative counts; None when the message is ignored because it is old, a
            duplicate or beyond the bounds.
        """
        record = self._accept(now_ms, origin, message)
        if record is None:
            return None
        deltas = []
        for usage in message.usage:
            delta = self._list(now_ms, record, usage)
            if delta is not None:
                deltas.append(delta)
        if message.acknowledged.incarnation == self._incarnation:
            self._acknowledge(record, message)
        if now_ms - record.checked_ms >= _UNLISTED_CHECK_MS:
            self._drop_unlisted(now_ms, record)
        return deltas

    def in_flight(self, cookie: int) -> int:
        """Return the requests in flight at a target, with unacknowledged grants."""
        return self._in_flight[cookie]

    def add_grant(self, now_ms: int, origin: str, cookie: int) -> int:
        """Count a grant to an origin as a request in flight; return its number."""
        self._last_grant += 1
        self._outstanding[self._last_grant] = _Outstanding(origin, cookie, now_ms)
        record = self._origins.get(origin)
        if record is not None:
            record.grants[self._last_grant] = cookie
        self._change(cookie, 1)
        return self._last_grant

    def expire(self, now_ms: int) -> None:
        """Drop the grants and the origins whose time has passed."""
        while self._outstanding:
            number, grant = next(iter(self._outstanding.items()))
            if now_ms - grant.granted_ms < GRANT_EXPIRY_MS:
                break
            self._end_grant(number)
        while self._origins:
            origin, record = next(iter(self._origins.items()))
            if now_ms - record.heard_ms < ORIGIN_EXPIRY_MS:
                break
            self._clear(record)
            del self._origins[origin]

    def is_current(self, origin: str, incarnation: int) -> bool:
        """Return whether an origin is live and still the same process."""
        record = self._origins.get(origin)
        return record is not None and record.incarnation == incarnation

    def take_freed(self) -> set[int]:
        """Return the targets with fewer requests in flight since the last call."""
        freed, self._freed = self._freed, set()
        return freed

    def _accept(
        self,
        now_ms: int,
        origin: str,
        message: messages.Reserve | messages.UsageUpdate,
    ) -> _Origin | None:
        record = self._origins.get(origin)
        if record is None:
            if not self.accepts(origin):
                return None
            record = self._origins[origin] = _Origin(now_ms, message.incarnation)
        elif message.incarnation in record.replaced:
            return None
        elif message.incarnation != record.incarnation:
            self._clear(record)
            record.replaced.append(record.incarnation)
            record.incarnation = message.incarnation
        elif message.number <= record.number:
            return None
        record.number = message.number
        record.heard_ms = now_ms
        self._origins.move_to_end(origin)
        return record

    def _list(
        self, now_ms: int, record: _Origin, usage: messages.Usage
    ) -> Delta | None:
        before = record.listed.get(usage.cookie)
        record.listed[usage.cookie] = _Listed(usage, now_ms)
        if before is None:
            self._listed_count += 1
            self._change(usage.cookie, usage.in_flight)
            return Delta(usage.cookie, 0, 0, 0)
        last = before.usage
        if usage == last:
            return None
        self._change(usage.cookie, usage.in_flight - last.in_flight)
        # Cumulative counts of one process never fall. A lower value is ignored, since
        # it can't be told apart from a fault of the sender.
        completed = max(0, usage.completed - last.completed)
        busy_ms = max(0, usage.busy_ms - last.busy_ms)
        rejected = max(0, usage.rejected - last.rejected)
        return Delta(usage.cookie, completed, busy_ms, rejected)

    def _acknowledge(
        self, record: _Origin, message: messages.Reserve | messages.UsageUpdate
    ) -> None:
        if not record.grants:
            return
        highest = message.acknowledged.grant
        reported = {usage.cookie for usage in message.usage}
        ended = [
            number
            for number, cookie in record.grants.items()
            if number <= highest and cookie in reported
        ]
        for number in ended:
            self._end_grant(number)

    def _end_grant(self, number: int) -> None:
        grant = self._outstanding.pop(number)
        record = self._origins.get(grant.origin)
        if record is not None:
            record.grants.pop(number, None)
        self._change(grant.cookie, -1)

    def _clear(self, record: _Origin) -> None:
        for number in list(record.grants):
            self._end_grant(number)
        for item in record.listed.values():
            self._change(item.usage.cookie, -item.usage.in_flight)
        self._listed_count -= len(record.listed)
        record.listed.clear()

    def _drop_unlisted(self, now_ms: int, record: _Origin) -> None:
        record.checked_ms = now_ms
        late = [
            item
            for item in record.listed.values()
            if now_ms - item.at_ms >= UNLISTED_EXPIRY_MS
        ]
        for item in late:
            del record.listed[item.usage.cookie]
            self._change(item.usage.cookie, -item.usage.in_flight)
        self._listed_count -= len(late)

    def _change(self, cookie: int, difference: int) -> None:
        if not difference:
            return
        total = self._in_flight[cookie] + difference
        if total:
            self._in_flight[cookie] = total
        else:
            del self._in_flight[cookie]
        if difference < 0:
            self._freed.add(cookie)
