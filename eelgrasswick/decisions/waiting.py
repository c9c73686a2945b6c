"""Bounded queue of opening packets that wait for room at a target.

Load pattern: a burst, or a load above the capacity of the targets. Without a queue, a
burst of milliseconds turns callers away who could have been served; with an unbounded
one, every caller is served late. The wait is bounded by the service's ``wait_ms``,
which is below a caller's first retransmission.

No packet of a waiting flow was sent to any target, so the flow may be refused as not
run. A flow that can't be served in time at the present rate is refused at once, with
the time of a reservation: each refusal gets a later reservation than the one before, at
``RESERVED_RATE_SHARE`` of the rate, so that returns are spread, and callers who come
back on time are admitted first. Callers take turns, so that the flows of a caller with
many flows wait behind one another and not in front of other callers' flows.

Flows have priority levels. A flow never waits behind a less urgent one, because a
shortage would then cost urgent flows as many refusals as the others. An owner that
can't tell callers a retry time reports its refusals with ``note_refused`` instead:
such a caller is served first in its level when it returns soon. Without this, a caller
could be refused at every retry while new callers are served.
"""

import collections
import math
import typing

from eelgrasswick import errors
from eelgrasswick.decisions import admission, refused_callers, turns

# Reservations are made for this share of the rate of placed flows.
RESERVED_RATE_SHARE: typing.Final = 0.5
MAX_RETRY_MS: typing.Final = 30_000
# A reservation is dropped this long after its time.
RESERVATION_GRACE_MS: typing.Final = 2000
MAX_WAITING_FLOWS: typing.Final = 2000
MAX_RESERVING_CALLERS: typing.Final = 20_000
RESERVATIONS_PER_CALLER: typing.Final = 4
# The count of placed flows decays with this time constant.
_RATE_TIME_CONSTANT_MS: typing.Final = 2000
# Retries without a reservation are spread over this many steps. The stride has no
# common factor with their number, so that successive refusals get different steps.
_RETRY_STEPS: typing.Final = 64
_RETRY_STRIDE: typing.Final = 29
# Levels without a waiter are deleted when there are this many levels.
_MAX_EMPTY_LEVELS: typing.Final = 16
# All flows with a claimed reservation share one lane under this key.
_RESERVED_KEY: typing.Final = b""

Item = typing.TypeVar("Item")


class Waiter(typing.NamedTuple, typing.Generic[Item]):
    """A flow that waits.

    Attributes:
        flow: The packed flow key.
        caller: The packed address of its caller.
        since_ms: When it began to wait, in milliseconds.
        due_ms: When it is refused, in milliseconds.
        item: Data that the owner of the queue needs to place it.
        priority: Its priority level; 0 is the most urgent.
    """

    flow: bytes
    caller: bytes
    since_ms: int
    due_ms: int
    item: Item
    priority: int = 0


class _Level(typing.Generic[Item]):
    """The waiting flows of one priority level.

    Attributes:
        reserved: Flows of callers that returned at the time of their reservation.
        returned: Flows of callers that were refused shortly before.
        others: All other flows.
        arrivals: All flows in the order of their arrival.
    """

    def __init__(self, keeps_turns: bool) -> None:
        self.reserved: turns.CallerTurns[Waiter[Item]] = turns.CallerTurns(keeps_turns)
        self.returned: turns.CallerTurns[Waiter[Item]] = turns.CallerTurns(keeps_turns)
        self.others: turns.CallerTurns[Waiter[Item]] = turns.CallerTurns(keeps_turns)
        self.arrivals: collections.OrderedDict[bytes, Waiter[Item]] = (
            collections.OrderedDict()
        )

    @property
    def classes(self) -> tuple[turns.CallerTurns[Waiter[Item]], ...]:
        """The flows by class, in the order of service."""
        return self.reserved, self.returned, self.others


class _Entry(typing.NamedTuple, typing.Generic[Item]):
    """A waiter with the lane in which it waits."""

    waiter: Waiter[Item]
    lanes: turns.CallerTurns[Waiter[Item]]
    key: bytes
    number: int


class WaitQueue(typing.Generic[Item]):
    """The waiting flows of one service at one home, or of one group of targets.

    Attributes:
        wait_ms: How long a flow waits at most unless it is offered with its own wait.
        rate_per_s: Rate at which flows are served, when the owner of the queue
            measures it; None to use the rate of placed flows.
    """

    def __init__(self, wait_ms: int, reserves: bool = True) -> None:
        """Create an empty queue.

        Args:
            wait_ms: How long a flow waits at most.
            reserves: False when callers can't be told a retry time. Refused offers
                then make no reservation, and their retry time is 0. A queue with
                reservations counts flows that were cancelled or have expired in the
                expected wait until their turn, and keeps the turn of a caller whose
                flows have left; one without does neither.
        """
        self.wait_ms = wait_ms
        self.rate_per_s: float | None = None
        self._reserves = reserves
        self._levels: dict[int, _Level[Item]] = {}
        self._refused = refused_callers.RefusedCallers()
        self._flows: dict[bytes, _Entry[Item]] = {}
        # No waiter is due before this time.
        self._earliest_due_ms: float = math.inf
        self._reservations: dict[bytes, collections.deque[int]] = {}
        self._last_reserved_ms = 0.0
        self._placed_count = 0.0
        self._placed_ms = 0
        self._unreserved = 0

    def __len__(self) -> int:
        """Return the number of waiting flows."""
        return len(self._flows)

    def __contains__(self, flow: bytes) -> bool:
        """Return whether a flow waits."""
        return flow in self._flows

    def __iter__(self) -> typing.Iterator[Waiter[Item]]:
        """Yield the waiters in the order of service.

        Waiters may be removed meanwhile, and removed ones are not yielded. Waiters
        that are added meanwhile may be left out.
        """
        for _, level in sorted(self._levels.items()):
            for lanes in level.classes:
                for waiter in lanes.in_order():
                    entry = self._flows.get(waiter.flow)
                    if entry is not None and entry.waiter is waiter:
                        yield waiter

    def offer(
        self,
        now_ms: int,
        flow: bytes,
        caller: bytes,
        item: Item,
        priority: int = 0,
        wait_ms: int | None = None,
    ) -> admission.Refusal | None:
        """Add a flow to the queue; return a refusal when it may not wait.

        Args:
            now_ms: Present time in milliseconds.
            flow: The packed flow key.
            caller: The packed address of its caller.
            item: Data that the owner of the queue needs to place it.
            priority: Priority level of the flow; 0 is the most urgent.
            wait_ms: How long it may wait; None for the queue's own value.
        """
        wait_ms = self.wait_ms if wait_ms is None else wait_ms
        waiter = Waiter(flow, caller, now_ms, now_ms + wait_ms, item, priority)
        if wait_ms and self._claim_reservation(now_ms, caller):
            self._add(waiter, self._level(priority).reserved, _RESERVED_KEY)
        elif self._is_full(now_ms, caller, priority, wait_ms):
            retry_ms = self.reserve(now_ms, caller) if self._reserves else 0
            return admission.Refusal(errors.ErrorKind.WAIT_FULL, retry_ms)
        elif self._refused.has(now_ms, caller):
            self._refused.claim(now_ms, caller)
            self._add(waiter, self._level(priority).returned, caller)
        else:
            self._add(waiter, self._level(priority).others, caller)
        return None

    def cancel(self, flow: bytes) -> bool:
        """Remove a flow whose caller has gone; return whether it waited."""
        if flow not in self._flows:
            return False
        self._withdraw(flow)
        return True

    def displace(self, priority: int) -> Waiter[Item] | None:
        """Remove and return a flow that gives way to one of level ``priority``.

        Returns:
            The newest waiter of the least urgent level that has waiters; None when
            that level is not less urgent than ``priority``.
        """
        least = max(
            (n for n, level in self._levels.items() if level.arrivals), default=0
        )
        if least <= priority:
            return None
        flow = next(reversed(self._levels[least].arrivals))
        return self._remove(flow).waiter

    def first(self) -> Waiter[Item] | None:
        """Return the next flow to place, or None."""
        for _, level in sorted(self._levels.items()):
            for lanes in level.classes:
                waiter = lanes.first()
                if waiter is not None:
                    return waiter
        return None

    def place(self, now_ms: int) -> None:
        """Remove the next flow, because it was placed."""
        waiter = self.first()
        assert waiter
        self.place_flow(now_ms, waiter.flow)

    def place_flow(self, now_ms: int, flow: bytes) -> None:
        """Remove a waiting flow, first or not, because it was placed.

        Raises:
            KeyError: The flow does not wait.
        """
        entry = self._remove(flow)
        entry.lanes.end_turn(entry.key)
        self.note_placed(now_ms)

    def expire(self, now_ms: int) -> list[Waiter[Item]]:
        """Remove and return the flows that have waited for too long."""
        if now_ms < self._earliest_due_ms:
            return []
        waiters = [entry.waiter for entry in self._flows.values()]
        late = [waiter for waiter in waiters if waiter.due_ms <= now_ms]
        for waiter in late:
            self._withdraw(waiter.flow)
        self._earliest_due_ms = min(
            (entry.waiter.due_ms for entry in self._flows.values()), default=math.inf
        )
        return late

    def note_refused(self, now_ms: int, caller: bytes) -> None:
        """Record that a flow of a caller was refused for good.

        For each refusal, one flow that the caller offers within
        ``refused_callers.MEMORY_MS`` is served before the flows of its level whose
        callers were not refused. At most ``refused_callers.REFUSALS_PER_CALLER``
        refusals of a caller count in that time. The queue does not call this method
        itself: its owner knows whether a refusal was final.
        """
        self._refused.add(now_ms, caller)

    def note_placed(self, now_ms: int) -> None:
        """Record that a flow of the service was placed, waiting or not."""
        self._placed_count = self._decayed_count(now_ms) + 1
        self._placed_ms = now_ms

    def reserve(self, now_ms: int, caller: bytes) -> int:
        """Reserve room for a caller and return the delay until then in ms."""
        step_ms = 1000 / (self._rate_per_s(now_ms) * RESERVED_RATE_SHARE)
        earliest_ms = now_ms + admission.MIN_RETRY_MS
        reservation_ms = max(self._last_reserved_ms + step_ms, earliest_ms)
        reserved_ms = self._reservations.get(caller, ())
        # Without this limit one caller with many flows would get nearly all
        # reservations, and callers who open one flow would wait behind it.
        fair = len(reserved_ms) < RESERVATIONS_PER_CALLER
        known = bool(reserved_ms) or len(self._reservations) < MAX_RESERVING_CALLERS
        if reservation_ms > now_ms + MAX_RETRY_MS or not (fair and known):
            return self._spread_retry_ms()
        self._last_reserved_ms = reservation_ms
        self._reservations.setdefault(caller, collections.deque()).append(
            int(reservation_ms)
        )
        return int(reservation_ms) - now_ms

    def _spread_retry_ms(self) -> int:
        self._unreserved += 1
        part = self._unreserved * _RETRY_STRIDE % _RETRY_STEPS / _RETRY_STEPS
        first_ms = 2 * admission.MIN_RETRY_MS
        return first_ms + int(part * (MAX_RETRY_MS - first_ms))

    def _claim_reservation(self, now_ms: int, caller: bytes) -> bool:
        reserved_ms = self._reservations.get(caller)
        while reserved_ms and reserved_ms[0] < now_ms - RESERVATION_GRACE_MS:
            reserved_ms.popleft()
        if reserved_ms is not None and not reserved_ms:
            del self._reservations[caller]
        # Network delays to the caller and back add to the wait and never shorten it. A
        # caller that returns before its time therefore did not wait for it.
        if not reserved_ms or reserved_ms[0] > now_ms:
            return False
        reserved_ms.popleft()
        return True

    def _is_full(self, now_ms: int, caller: bytes, priority: int, wait_ms: int) -> bool:
        if not wait_ms or len(self._flows) >= MAX_WAITING_FLOWS:
            return True
        return self.expected_wait_ms(now_ms, caller, priority) > wait_ms

    def expected_wait_ms(self, now_ms: int, caller: bytes, priority: int = 0) -> float:
        """Return how long a new flow of a caller would wait at the present rate."""
        ahead = self.count_ahead(now_ms, caller, priority)
        return ahead / self._rate_per_s(now_ms) * 1000

    def count_ahead(self, now_ms: int, caller: bytes, priority: int = 0) -> int:
        """Return how many flows would be served before a new flow of a caller.

        For a caller that has flows in the queue already, the result may be too high by
        up to the number of callers, because its next turn may come before theirs.
        """
        ahead = sum(
            len(level.arrivals) for n, level in self._levels.items() if n < priority
        )
        level = self._levels.get(priority)
        if level is None:
            return ahead
        ahead += level.reserved.size
        if self._refused.has(now_ms, caller):
            return ahead + level.returned.ahead(caller)
        return ahead + level.returned.size + level.others.ahead(caller)

    def _rate_per_s(self, now_ms: int) -> float:
        if self.rate_per_s is not None:
            return max(1.0, self.rate_per_s)
        return max(1.0, self._decayed_count(now_ms) * 1000 / _RATE_TIME_CONSTANT_MS)

    def _decayed_count(self, now_ms: int) -> float:
        return self._placed_count * math.exp(
            -(now_ms - self._placed_ms) / _RATE_TIME_CONSTANT_MS
        )

    def _level(self, priority: int) -> _Level[Item]:
        level = self._levels.get(priority)
        if level is not None:
            return level
        if len(self._levels) >= _MAX_EMPTY_LEVELS:
            for empty in [n for n, item in self._levels.items() if not item.arrivals]:
                del self._levels[empty]
        level = self._levels[priority] = _Level(self._reserves)
        return level

    def _add(
        self, waiter: Waiter[Item], lanes: turns.CallerTurns[Waiter[Item]], key: bytes
    ) -> None:
        self.cancel(waiter.flow)
        number = lanes.add(key, waiter)
        self._level(waiter.priority).arrivals[waiter.flow] = waiter
        self._flows[waiter.flow] = _Entry(waiter, lanes, key, number)
        self._earliest_due_ms = min(self._earliest_due_ms, waiter.due_ms)

    def _remove(self, flow: bytes) -> _Entry[Item]:
        entry = self._flows.pop(flow)
        entry.lanes.remove(entry.key, entry.number)
        del self._levels[entry.waiter.priority].arrivals[flow]
        return entry

    def _withdraw(self, flow: bytes) -> None:
        if not self._reserves:
            self._remove(flow)
            return
        entry = self._flows.pop(flow)
        entry.lanes.withdraw(entry.key, entry.number)
        del self._levels[entry.waiter.priority].arrivals[flow]
