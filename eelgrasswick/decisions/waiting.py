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
"""

import collections
import math
import typing

from eelgrasswick import errors
from eelgrasswick.decisions import admission

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

Item = typing.TypeVar("Item")


class Waiter(typing.NamedTuple, typing.Generic[Item]):
    """A flow that waits.

    Attributes:
        flow: The packed flow key.
        caller: The packed address of its caller.
        since_ms: When it began to wait, in milliseconds.
        due_ms: When it is refused, in milliseconds.
        item: Data that the owner of the queue needs to place it.
    """

    flow: bytes
    caller: bytes
    since_ms: int
    due_ms: int
    item: Item


class WaitQueue(typing.Generic[Item]):
    """The waiting flows of one service at one home."""

    def __init__(self, wait_ms: int) -> None:
        """Create an empty queue in which a flow waits for ``wait_ms`` at most."""
        self.wait_ms = wait_ms
        self._lanes: collections.OrderedDict[bytes, collections.deque[Waiter[Item]]] = (
            collections.OrderedDict()
        )
        self._reserved_lane: collections.deque[Waiter[Item]] = collections.deque()
        self._flows: dict[bytes, Waiter[Item]] = {}
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

    def offer(
        self, now_ms: int, flow: bytes, caller: bytes, item: Item
    ) -> admission.Refusal | None:
        """Add a flow to the queue; return a refusal when it may not wait.

        Args:
            now_ms: Present time in milliseconds.
            flow: The packed flow key.
            caller: The packed address of its caller.
            item: Data that the owner of the queue needs to place it.
        """
        waiter = Waiter(flow, caller, now_ms, now_ms + self.wait_ms, item)
        if self.wait_ms and self._claim_reservation(now_ms, caller):
            self._reserved_lane.append(waiter)
        elif self._is_full(now_ms, caller):
            return admission.Refusal(
                errors.ErrorKind.WAIT_FULL, self.reserve(now_ms, caller)
            )
        else:
            self._lanes.setdefault(caller, collections.deque()).append(waiter)
        self._flows[flow] = waiter
        return None

    def cancel(self, flow: bytes) -> bool:
        """Remove a flow whose caller has gone; return whether it waited."""
        # The deques keep the entry until its turn. Without the removal here the flow
        # would be placed then, and take a slot for a caller that is no longer there.
        return self._flows.pop(flow, None) is not None

    def first(self) -> Waiter[Item] | None:
        """Return the next flow to place, or None."""
        lane = self._next_lane()
        return lane[0] if lane else None

    def place(self, now_ms: int) -> None:
        """Remove the next flow, because it was placed."""
        lane = self._next_lane()
        assert lane
        waiter = lane.popleft()
        del self._flows[waiter.flow]
        if lane is not self._reserved_lane:
            self._lanes.move_to_end(waiter.caller)
        self.note_placed(now_ms)

    def expire(self, now_ms: int) -> list[Waiter[Item]]:
        """Remove and return the flows that have waited for too long."""
        late = [item for item in self._flows.values() if item.due_ms <= now_ms]
        for item in late:
            del self._flows[item.flow]
        return late

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

    def _is_full(self, now_ms: int, caller: bytes) -> bool:
        if not self.wait_ms or len(self._flows) >= MAX_WAITING_FLOWS:
            return True
        return self._expected_wait_ms(now_ms, caller) > self.wait_ms

    def _expected_wait_ms(self, now_ms: int, caller: bytes) -> float:
        own = len(self._lanes.get(caller, ())) + 1
        before = sum(min(own, len(lane)) for lane in self._lanes.values())
        return (len(self._reserved_lane) + before) / self._rate_per_s(now_ms) * 1000

    def _rate_per_s(self, now_ms: int) -> float:
        return max(1.0, self._decayed_count(now_ms) * 1000 / _RATE_TIME_CONSTANT_MS)

    def _decayed_count(self, now_ms: int) -> float:
        return self._placed_count * math.exp(
            -(now_ms - self._placed_ms) / _RATE_TIME_CONSTANT_MS
        )

    def _next_lane(self) -> collections.deque[Waiter[Item]] | None:
        while self._reserved_lane and not self._is_waiting(self._reserved_lane[0]):
            self._reserved_lane.popleft()
        if self._reserved_lane:
            return self._reserved_lane
        while self._lanes:
            caller, lane = next(iter(self._lanes.items()))
            while lane and not self._is_waiting(lane[0]):
                lane.popleft()
            if lane:
                return lane
            del self._lanes[caller]
        return None

    def _is_waiting(self, waiter: Waiter[Item]) -> bool:
        return self._flows.get(waiter.flow) is waiter
