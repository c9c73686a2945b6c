"""Scheduler of the targets of some groups: grants, queues and rejects requests.

Load pattern: load close to or above the capacity of a pool. When each VM places its
flows alone, some targets are full and refuse requests while others have free slots, and
urgent flows wait behind less urgent ones. A scheduler sees the requests of all VMs for
its groups, grants only capacity that is free, and rejects at once what can't be served
in time.

A group's queue is served before a new request of the same or a lower priority level,
and after a more urgent one. A waiter whose candidates have no free capacity is skipped.
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
    target_group,
    usage,
)

MAX_GROUPS: typing.Final = 64
MAX_WAITERS: typing.Final = 256
# Pressure ends 3 s after its last sign, so a group without requests for longer is no
# longer asked for, or another VM has become its scheduler.
GROUP_IDLE_MS: typing.Final = 10_000
_MAX_LIMIT_CHANGES: typing.Final = 256
# How often targets and groups are searched for those that are no longer named.
_IDLE_CHECK_MS: typing.Final = 1000


class Reply(typing.NamedTuple):
    """A message to another VM."""

    host: str
    message: messages.Message


class Scheduler:
    """Decides on reservation requests for the groups that a VM is the scheduler of."""

    def __init__(self, incarnation: int) -> None:
        """Create a scheduler without groups.

        Args:
            incarnation: Random number of this VM's process.
        """
        self._incarnation = incarnation
        self._usage = usage.UsageTable(incarnation)
        self._limits = target_limit.TargetLimits()
        self._groups: dict[str, target_group.TargetGroup] = {}
        self._group_by_cookie: dict[int, target_group.TargetGroup] = {}
        self._limit_changes: collections.deque[target_limit.LimitChange] = (
            collections.deque(maxlen=_MAX_LIMIT_CHANGES)
        )
        self._checked_ms = 0

    def reserve(
        self, now_ms: int, origin: str, message: messages.Reserve
    ) -> list[Reply]:
        """Decide on a reservation request; a request that is out of date is ignored.

        Args:
            now_ms: Present time in milliseconds.
            origin: The VM that sent the request.
            message: The request.

        Returns:
            The answer, and answers to queued requests that this request affects.
        """
        # No tick runs while no pool is under pressure, so the counts may be from the
        # end of the last one.
        self._usage.expire(now_ms)
        if not self._usage.accepts(origin):
            return [_not_ready(origin, message)]
        deltas = self._usage.record(now_ms, origin, message)
        if deltas is None:
            return []
        self._learn(now_ms, deltas)
        group = self._group(now_ms, message.group)
        if group is None:
            return [_not_ready(origin, message), *self._dispatch_freed(now_ms)]
        group.name_candidates(now_ms, message.candidates)
        for candidate in message.candidates:
            self._group_by_cookie[candidate.cookie] = group
        replies = self._dispatch(now_ms, group, message.priority)
        replies += self._decide(now_ms, group, target_group.Waiting(origin, message))
        return replies + self._dispatch_freed(now_ms)

    def update(
        self, now_ms: int, origin: str, message: messages.UsageUpdate
    ) -> list[Reply]:
        """Record a VM's usage; return grants to queued requests.

        Args:
            now_ms: Present time in milliseconds.
            origin: The VM that sent the update.
            message: The update.
        """
        self._usage.expire(now_ms)
        deltas = self._usage.record(now_ms, origin, message)
        if deltas is None:
            return []
        self._learn(now_ms, deltas)
        return self._dispatch_freed(now_ms)

    def tick(self, now_ms: int) -> list[Reply]:
        """Expire counts, grants, waiters and groups; return the resulting replies."""
        self._usage.expire(now_ms)
        replies = []
        for group in list(self._groups.values()):
            if group.queue:
                replies += self._expire_waiters(now_ms, group)
                replies += self._dispatch(now_ms, group)
        self._usage.take_freed()
        if now_ms - self._checked_ms >= _IDLE_CHECK_MS:
            self._checked_ms = now_ms
            self._expire_idle(now_ms)
        return replies

    def pause(self, now_ms: int) -> list[Reply]:
        """Forget the queues, because this VM stood still.

        Returns:
            Rejections of the waiters whose VMs may still hold the flow.
        """
        replies = []
        self._usage.expire(now_ms)
        for group in self._groups.values():
            for waiter in group.queue:
                if waiter.due_ms > now_ms:
                    reason = messages.RejectReason.NOT_READY
                    replies.append(_reject(group, waiter.item, reason, 0))
            group.forget_queue()
            group.restart(now_ms)
        return replies

    def pools(self, now_ms: int) -> list[target_group.GroupState]:
        """Return the state of each group."""
        return [group.state(now_ms) for group in self._groups.values()]

    def take_limit_changes(self) -> list[target_limit.LimitChange]:
        """Return the changes of targets' limits since the last call, for the log."""
        changes = list(self._limit_changes)
        self._limit_changes.clear()
        return changes

    def _group(self, now_ms: int, key: str) -> target_group.TargetGroup | None:
        group = self._groups.get(key)
        if group is None:
            if len(self._groups) >= MAX_GROUPS:
                return None
            group = target_group.TargetGroup(now_ms, key, self._limits, self._usage)
            self._groups[key] = group
        return group

    def _learn(self, now_ms: int, deltas: list[usage.Delta]) -> None:
        for delta in deltas:
            group = self._group_by_cookie.get(delta.cookie)
            if group is None:
                continue
            if delta.completed:
                group.record_completed(now_ms, delta.completed)
            self._record_limit(now_ms, group, delta)

    def _record_limit(
        self, now_ms: int, group: target_group.TargetGroup, delta: usage.Delta
    ) -> None:
        change = self._limits.record(
            now_ms,
            delta.cookie,
            group.targets[delta.cookie].slots,
            self._usage.in_flight(delta.cookie),
            delta.completed,
            delta.busy_ms,
            delta.rejected,
        )
        if change is not None:
            self._limit_changes.append(change)

    def _decide(
        self,
        now_ms: int,
        group: target_group.TargetGroup,
        item: target_group.Waiting,
    ) -> list[Reply]:
        message = item.message
        cookie = group.select(now_ms, message.candidates)
        if cookie is not None:
            group.queue.cancel(target_group.flow_key(item))
            return [self._grant(now_ms, group, item, cookie)]
        expected_ms = group.expected_wait_ms(now_ms, message)
        may_wait = message.wait_ms and message.candidates
        if not may_wait or expected_ms > message.wait_ms:
            return [_refuse(now_ms, group, item, expected_ms)]
        return self._enqueue(now_ms, group, item, expected_ms)

    def _enqueue(
        self,
        now_ms: int,
        group: target_group.TargetGroup,
        item: target_group.Waiting,
        expected_ms: float,
    ) -> list[Reply]:
        message = item.message
        replies = []
        if len(group.queue) >= MAX_WAITERS:
            displaced = group.queue.displace(message.priority)
            if displaced is None:
                reason = messages.RejectReason.NOT_READY
                return [_reject(group, item, reason, expected_ms)]
            replies.append(_displace(now_ms, group, displaced.item))
        group.note_priority(message.priority)
        refusal = group.queue.offer(
            now_ms,
            target_group.flow_key(item),
            target_group.caller_key(message),
            item,
            priority=message.priority,
            wait_ms=message.wait_ms,
        )
        if refusal is not None:
            return [*replies, _refuse(now_ms, group, item, expected_ms)]
        group.queued += 1
        queued = messages.Queued(message.request, math.ceil(expected_ms))
        replies.append(Reply(item.origin, queued))
        return replies + self._displace_late(now_ms, group, message.priority)

    def _displace_late(
        self, now_ms: int, group: target_group.TargetGroup, priority: int
    ) -> list[Reply]:
        replies: list[Reply] = []
        if group.least_priority <= priority:
            return replies
        ms_per_flow = 1000 / group.rate_per_s(now_ms)
        waiters = list(group.queue)
        while True:
            late = [
                waiter
                for ahead, waiter in enumerate(waiters)
                if waiter.item.message.priority > priority
                and now_ms + ahead * ms_per_flow > waiter.due_ms
            ]
            if not late:
                return replies
            # Of those that arrived in the same millisecond, the last in the order.
            newest = max(reversed(late), key=lambda waiter: waiter.since_ms)
            waiters.remove(newest)
            group.queue.cancel(newest.flow)
            replies.append(_displace(now_ms, group, newest.item))

    def _dispatch_freed(self, now_ms: int) -> list[Reply]:
        groups = {
            group.key: group
            for cookie in self._usage.take_freed()
            if (group := self._group_by_cookie.get(cookie)) is not None
        }
        return [
            reply
            for group in groups.values()
            for reply in self._dispatch(now_ms, group)
        ]

    def _dispatch(
        self,
        now_ms: int,
        group: target_group.TargetGroup,
        least_priority: int | None = None,
    ) -> list[Reply]:
        """Grant free capacity to waiters, up to a priority level if one is given."""
        replies = []
        while group.queue and group.has_free(now_ms):
            found = self._next_waiter(now_ms, group, least_priority)
            if found is None:
                break
            waiter, cookie = found
            group.queue.place_flow(now_ms, waiter.flow)
            replies.append(self._grant(now_ms, group, waiter.item, cookie))
        return replies

    def _next_waiter(
        self,
        now_ms: int,
        group: target_group.TargetGroup,
        least_priority: int | None,
    ) -> tuple[waiting.Waiter[target_group.Waiting], int] | None:
        for waiter in group.queue:
            origin, message = waiter.item
            if least_priority is not None and message.priority > least_priority:
                return None
            if waiter.due_ms <= now_ms:
                continue
            if not self._usage.is_current(origin, message.incarnation):
                continue
            cookie = group.select(now_ms, message.candidates)
            if cookie is not None:
                return waiter, cookie
        return None

    def _grant(
        self,
        now_ms: int,
        group: target_group.TargetGroup,
        item: target_group.Waiting,
        cookie: int,
    ) -> Reply:
        number = self._usage.add_grant(now_ms, item.origin, cookie)
        group.targets[cookie].last_grant = number
        group.record_granted(now_ms, item.message.priority)
        self._record_limit(now_ms, group, usage.Delta(cookie, 0, 0, 0))
        wait_ms = group.next_wait_ms(now_ms)
        request = item.message.request
        grant = messages.Grant(self._incarnation, request, cookie, number, wait_ms)
        return Reply(item.origin, grant)

    def _expire_waiters(
        self, now_ms: int, group: target_group.TargetGroup
    ) -> list[Reply]:
        reason = messages.RejectReason.TIMEOUT
        replies = []
        for waiter in group.queue.expire(now_ms):
            group.queue.note_refused(now_ms, waiter.caller)
            wait_ms = group.next_wait_ms(now_ms)
            replies.append(_reject(group, waiter.item, reason, wait_ms))
        return replies

    def _expire_idle(self, now_ms: int) -> None:
        idle = [
            group
            for group in self._groups.values()
            if group.idle_ms(now_ms) >= GROUP_IDLE_MS and not group.queue
        ]
        for group in idle:
            del self._groups[group.key]
        for group in self._groups.values():
            group.drop_idle_targets(now_ms)
        # A target that moved to another group belongs to the group that named it last.
        self._group_by_cookie = {
            cookie: group
            for cookie, group in self._group_by_cookie.items()
            if group.key in self._groups and cookie in group.targets
        }
        self._limits.retain(self._group_by_cookie)


def _refuse(
    now_ms: int,
    group: target_group.TargetGroup,
    item: target_group.Waiting,
    expected_ms: float,
) -> Reply:
    # A request without a wait only asks whether capacity is free now, so the caller
    # has not been refused yet.
    if item.message.wait_ms:
        group.queue.note_refused(now_ms, target_group.caller_key(item.message))
    return _reject(group, item, messages.RejectReason.FULL, expected_ms)


def _displace(
    now_ms: int, group: target_group.TargetGroup, item: target_group.Waiting
) -> Reply:
    group.queue.note_refused(now_ms, target_group.caller_key(item.message))
    reason = messages.RejectReason.DISPLACED
    return _reject(group, item, reason, group.next_wait_ms(now_ms))


def _reject(
    group: target_group.TargetGroup,
    item: target_group.Waiting,
    reason: messages.RejectReason,
    expected_ms: float,
) -> Reply:
    group.rejected[reason] += 1
    reject = messages.Reject(item.message.request, reason, math.ceil(expected_ms))
    return Reply(item.origin, reject)


def _not_ready(origin: str, message: messages.Reserve) -> Reply:
    reason = messages.RejectReason.NOT_READY
    return Reply(origin, messages.Reject(message.request, reason, 0))
