"""Targets of one group, the choice among them, and the queue of waiting requests.

Load pattern: a pool under pressure, where the wait of a request follows from the flows
ahead of it and the rate at which the group completes requests. With a rate that is too
high, requests wait in vain; with one that is too low, they are rejected although they
could be served in time.

The measured rate is that of the demand while targets have free capacity. After some
seconds of little demand it would reject most of a burst, so the rate is never below
``RATE_FLOOR_SHARE`` of what slots and residence times give.
"""

import collections
import math
import typing

from eelgrasswick.decisions import (
    target_limit,
    waiting,
)
from eelgrasswick.reservations import (
    messages,
    usage,
)

# Until the counts of all VMs have arrived, at least every 250 ms, the group's targets
# get at most as many requests as they have slots.
START_MS: typing.Final = 300
# Counts expire 1 s after a VM's last message, so after such a silence they are unknown.
SILENCE_MS: typing.Final = 1000
# A target that no request has named for so long before the last one is draining or
# dead. Its free capacity must not make a full group look free.
UNNAMED_MS: typing.Final = 500
# A target that no request has named for so long has left the group.
TARGET_IDLE_MS: typing.Final = 10_000
UNKNOWN_SLOTS: typing.Final = 4
INITIAL_RESIDENCE_MS: typing.Final = 50
RATE_FLOOR_SHARE: typing.Final = 0.5
# Less urgent requests are assumed to get at least this share of the rate.
MIN_RATE_SHARE: typing.Final = 0.1
# Grants are counted for so many of the most urgent levels, which bounds memory. Grants
# to a level concern only those that are less urgent.
MAX_GRANT_LEVELS: typing.Final = 16
_NAMED_CHECK_MS: typing.Final = 100
_RATE_TIME_CONSTANT_MS: typing.Final = 1000


class Waiting(typing.NamedTuple):
    """A queued request and the VM that sent it."""

    origin: str
    message: messages.Reserve


class GroupState(typing.NamedTuple):
    """State of a group for the log, for metrics and for the pressure of its pool.

    Attributes:
        key: Key of the group.
        service: Service of the group's pool.
        zone: Zone of the group's pool.
        slots: Sum of the targets' slots.
        limit: Sum of the targets' limits.
        in_flight: Requests in flight, with unacknowledged grants.
        residence_ms: Mean residence time of a request at the targets with an estimate;
            0 without any.
        rate_per_s: Expected rate of completions.
        waiting: Queued requests.
        expected_wait_ms: Wait that the next request would have.
        granted: Grants since the group was first asked for.
        queued: Requests that were queued since then.
        rejected: Rejections since then, by reason.
    """

    key: str
    service: str
    zone: str
    slots: int
    limit: int
    in_flight: int
    residence_ms: float
    rate_per_s: float
    waiting: int
    expected_wait_ms: int
    granted: int
    queued: int
    rejected: dict[messages.RejectReason, int]


def flow_key(item: Waiting) -> bytes:
    """Return the key of a request in the queue."""
    message = item.message
    return f"{item.origin} {message.incarnation} {message.request}".encode()


class Target:
    """A target of the group.

    Attributes:
        slots: Number of requests that it handles concurrently; 0 when unknown.
        named_ms: When a request last named it, in milliseconds.
        last_grant: Number of its last grant.
    """

    __slots__ = ("slots", "named_ms", "last_grant")

    def __init__(self, slots: int, named_ms: int) -> None:
        """Create a target without grants."""
        self.slots = slots
        self.named_ms = named_ms
        self.last_grant = 0

    @property
    def working_slots(self) -> int:
        """The slots, or an assumed number when they are unknown."""
        return self.slots or UNKNOWN_SLOTS


class TargetGroup:
    """State of one group."""

    def __init__(
        self,
        now_ms: int,
        key: str,
        limits: target_limit.TargetLimits,
        table: usage.UsageTable,
    ) -> None:
        """Create a group without targets.

        Args:
            now_ms: Present time in milliseconds.
            key: Key of the group.
            limits: Limits and residence times of the scheduler's targets.
            table: Requests in flight at the scheduler's targets.
        """
        self.key = key
        self.targets: dict[int, Target] = {}
        # The targets whose free capacity counts as that of the group.
        self._named: dict[int, Target] = {}
        # No waiter is less urgent than this level.
        self.least_priority = 0
        self.granted = 0
        self.queued = 0
        self.rejected: collections.Counter[messages.RejectReason] = (
            collections.Counter()
        )
        # Decayed numbers of grants by priority, and when they were updated.
        self._grants: dict[int, tuple[float, int]] = {}
        self._limits = limits
        self._table = table
        self._named_ms = now_ms
        self._refresh_named(now_ms)
        self.forget_queue()
        self.restart(now_ms)

    def forget_queue(self) -> None:
        """Begin with an empty queue."""
        self.queue: waiting.WaitQueue[Waiting] = waiting.WaitQueue(0, reserves=False)

    def note_priority(self, priority: int) -> None:
        """Record the priority of a request that joins the queue."""
        least = self.least_priority if self.queue else 0
        self.least_priority = max(least, priority)

    def restart(self, now_ms: int) -> None:
        """Begin anew, because the counts of other VMs are not known."""
        self._start_ms = now_ms
        self._completed: float | None = None
        self._completed_ms = now_ms

    def name_candidates(
        self, now_ms: int, candidates: tuple[messages.Candidate, ...]
    ) -> None:
        """Record the targets that a request names."""
        if now_ms - self._named_ms >= SILENCE_MS:
            self.restart(now_ms)
        self._named_ms = now_ms
        for cookie, slots in candidates:
            target = self.targets.get(cookie)
            if target is None:
                target = self.targets[cookie] = Target(slots, now_ms)
            target.slots = slots or target.slots
            target.named_ms = now_ms
            self._named[cookie] = target
        if now_ms - self._named_checked_ms >= _NAMED_CHECK_MS:
            self._refresh_named(now_ms)

    def idle_ms(self, now_ms: int) -> int:
        """Return the time since the last request."""
        return now_ms - self._named_ms

    def limit(self, now_ms: int, cookie: int) -> int:
        """Return how many requests a target may have in flight now."""
        target = self.targets[cookie]
        limit = self._limits.limit(cookie, target.slots)
        if now_ms - self._start_ms < START_MS:
            return min(limit, target.working_slots)
        return limit

    def record_completed(self, now_ms: int, completed: int) -> None:
        """Record responses of the group's targets."""
        before = self._completed
        if before is None:
            before = self._nominal_per_s() * _RATE_TIME_CONSTANT_MS / 1000
        else:
            before *= self._decay(now_ms)
        self._completed = before + completed
        self._completed_ms = now_ms

    def rate_per_s(self, now_ms: int) -> float:
        """Return the expected rate of completions."""
        nominal_per_s = self._nominal_per_s()
        if self._completed is None:
            return nominal_per_s
        completed = self._completed * self._decay(now_ms)
        measured_per_s = completed * 1000 / _RATE_TIME_CONSTANT_MS
        return max(measured_per_s, RATE_FLOOR_SHARE * nominal_per_s)

    def has_free(self, now_ms: int) -> bool:
        """Return whether any target has free capacity."""
        return any(self._is_free(now_ms, cookie) for cookie in self._named)

    def select(
        self, now_ms: int, candidates: tuple[messages.Candidate, ...]
    ) -> int | None:
        """Return the target with free capacity that would finish first, or None."""
        means_ms = {
            cookie: self._limits.mean_ms(cookie)
            for cookie, _ in candidates
            if self._is_free(now_ms, cookie)
        }
        if not means_ms:
            return None
        known_ms = [mean_ms for mean_ms in means_ms.values() if mean_ms]
        # A target without an estimate is taken as an average one.
        default_ms = sum(known_ms) / len(known_ms) if known_ms else 1.0

        def finish(cookie: int) -> tuple[float, int]:
            target = self.targets[cookie]
            load = (self._table.in_flight(cookie) + 1) / target.working_slots
            # Equal targets take turns. Otherwise the first one would get most of the
            # requests while few are in flight.
            return load * (means_ms[cookie] or default_ms), target.last_grant

        return min(means_ms, key=finish)

    def expected_wait_ms(self, now_ms: int, message: messages.Reserve) -> float:
        """Return the time that a request would wait in the queue.

        Args:
            now_ms: Present time in milliseconds.
            message: The request.
        """
        self.queue.rate_per_s = self._rate_for(now_ms, message.priority)
        return self.queue.expected_wait_ms(
            now_ms, caller_key(message), message.priority
        )

    def record_granted(self, now_ms: int, priority: int) -> None:
        """Record a grant to a request of a priority."""
        self.granted += 1
        count, at_ms = self._grants.get(priority, (0.0, now_ms))
        decay = math.exp(-(now_ms - at_ms) / _RATE_TIME_CONSTANT_MS)
        self._grants[priority] = (count * decay + 1, now_ms)
        if len(self._grants) > MAX_GRANT_LEVELS:
            del self._grants[max(self._grants)]

    def _rate_for(self, now_ms: int, priority: int) -> float:
        """Return the rate that more urgent requests leave to a priority.

        More urgent requests that arrive later go first. Without their share, less
        urgent requests would be queued and then displaced.
        """
        urgent_per_s = sum(
            count * math.exp(-(now_ms - at_ms) / _RATE_TIME_CONSTANT_MS)
            for level, (count, at_ms) in self._grants.items()
            if level < priority
        ) * (1000 / _RATE_TIME_CONSTANT_MS)
        rate_per_s = self.rate_per_s(now_ms)
        return max(MIN_RATE_SHARE * rate_per_s, rate_per_s - urgent_per_s)

    def next_wait_ms(self, now_ms: int) -> int:
        """Return the wait of the next request, behind all that wait now."""
        if self.has_free(now_ms):
            return 0
        return math.ceil(len(self.queue) * 1000 / self.rate_per_s(now_ms))

    def state(self, now_ms: int) -> GroupState:
        """Return the state for the log, for metrics and for the pool's pressure."""
        service, zone, _ = self.key.rsplit("/", 2)
        return GroupState(
            key=self.key,
            service=service,
            zone=zone,
            slots=sum(target.working_slots for target in self._named.values()),
            limit=sum(self.limit(now_ms, cookie) for cookie in self._named),
            in_flight=sum(self._table.in_flight(cookie) for cookie in self._named),
            residence_ms=self._residence_ms(),
            rate_per_s=self.rate_per_s(now_ms),
            waiting=len(self.queue),
            expected_wait_ms=self.next_wait_ms(now_ms),
            granted=self.granted,
            queued=self.queued,
            rejected=dict(self.rejected),
        )

    def _residence_ms(self) -> float:
        means_ms = [self._limits.mean_ms(cookie) for cookie in self._named]
        known_ms = [mean_ms for mean_ms in means_ms if mean_ms]
        return sum(known_ms) / len(known_ms) if known_ms else 0.0

    def drop_idle_targets(self, now_ms: int) -> None:
        """Forget the targets that have left the group."""
        self.targets = {
            cookie: target
            for cookie, target in self.targets.items()
            if now_ms - target.named_ms < TARGET_IDLE_MS
        }
        self._named = {
            cookie: target
            for cookie, target in self._named.items()
            if cookie in self.targets
        }

    def _refresh_named(self, now_ms: int) -> None:
        since_ms = now_ms - UNNAMED_MS
        self._named_checked_ms = now_ms
        self._named = {
            cookie: target
            for cookie, target in self.targets.items()
            if target.named_ms >= since_ms
        }

    def _is_free(self, now_ms: int, cookie: int) -> bool:
        if cookie not in self.targets:
            return False
        return self._table.in_flight(cookie) < self.limit(now_ms, cookie)

    def _nominal_per_s(self) -> float:
        per_ms = sum(
            target.working_slots
            / (self._limits.mean_ms(cookie) or INITIAL_RESIDENCE_MS)
            for cookie, target in self._named.items()
        )
        return max(1.0, per_ms * 1000)

    def _decay(self, now_ms: int) -> float:
        return math.exp(-(now_ms - self._completed_ms) / _RATE_TIME_CONSTANT_MS)


def caller_key(message: messages.Reserve) -> bytes:
    """Return the key by which a request's caller takes turns in the queue."""
    return b"%d" % message.caller
