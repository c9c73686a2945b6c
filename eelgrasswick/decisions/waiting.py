"""Opening packets that wait for room at a target, for a bounded time.

Load pattern: a burst, or a load above what the targets do. Without a queue a
burst of milliseconds turns callers away who could have been served; with an
endless one every caller is served late. The wait is bounded by the service's
``wait_ms``, which is below a caller's first retransmission.

Nothing of a waiting flow was sent to any target, so it may be refused as not
run. A flow that can't be served in time by the present rate is refused at once,
with the time at which room is set aside for it: each refusal gets a later turn
than the one before, at ``PROMISED`` of the rate, so returns are spread and
callers who come back on time are let in first. Callers take turns, so that one
with many flows waits behind its own and not in front of others.
"""

import collections
import math
import typing

from eelgrasswick import errors
from eelgrasswick.decisions import admission

PROMISED: typing.Final = 0.5
LAST_RETRY_MS: typing.Final = 30_000
LATE_MS: typing.Final = 2000
MOST_FLOWS: typing.Final = 2000
MOST_PROMISES: typing.Final = 20_000
PROMISES_PER_CALLER: typing.Final = 4
_RATE_MS: typing.Final = 2000
_PARTS: typing.Final = 64
_STRIDE: typing.Final = 29

Item = typing.TypeVar("Item")


class Waiter(typing.NamedTuple, typing.Generic[Item]):
    """One flow that waits.

    Attributes:
        flow: The packed flow key.
        caller: The packed address of its caller.
        since_ms: When it began to wait.
        due_ms: When it is refused.
        item: What the owner needs to place it.
    """

    flow: bytes
    caller: bytes
    since_ms: int
    due_ms: int
    item: Item


class WaitQueue(typing.Generic[Item]):
    """The waiting flows of one service at one home."""

    def __init__(self, wait_ms: int) -> None:
        """Let each flow wait for ``wait_ms`` at most."""
        self.wait_ms = wait_ms
        self._turns: collections.OrderedDict[bytes, collections.deque[Waiter[Item]]] = (
            collections.OrderedDict()
        )
        self._first: collections.deque[Waiter[Item]] = collections.deque()
        self._flows: dict[bytes, Waiter[Item]] = {}
        self._promises: dict[bytes, collections.deque[int]] = {}
        self._promised_ms = 0.0
        self._placed = 0.0
        self._placed_ms = 0
        self._refused = 0

    def __len__(self) -> int:
        """Return the number of waiting flows."""
        return len(self._flows)

    def __contains__(self, flow: bytes) -> bool:
        """Tell whether a flow waits."""
        return flow in self._flows

    def offer(
        self, now_ms: int, flow: bytes, caller: bytes, item: Item
    ) -> admission.Refusal | None:
        """Let a flow wait, or tell why it may not.

        Args:
            now_ms: Present time in milliseconds.
            flow: The packed flow key.
            caller: The packed address of its caller.
            item: What the owner needs to place it.
        """
        waiter = Waiter(flow, caller, now_ms, now_ms + self.wait_ms, item)
        if self.wait_ms and self._keeps_promise(now_ms, caller):
            self._first.append(waiter)
        elif self._full(now_ms, caller):
            return admission.Refusal(
                errors.ErrorKind.WAIT_FULL, self.reserve(now_ms, caller)
            )
        else:
            self._turns.setdefault(caller, collections.deque()).append(waiter)
        self._flows[flow] = waiter
        return None

    def cancel(self, flow: bytes) -> bool:
        """Drop a flow whose caller has gone; False when it did not wait."""
        # The deques keep the entry until its turn. Placed then, it would take
        # a slot for a caller that is no longer there.
        return self._flows.pop(flow, None) is not None

    def first(self) -> Waiter[Item] | None:
        """Return the flow whose turn it is."""
        lane = self._lane()
        return lane[0] if lane else None

    def place(self, now_ms: int) -> None:
        """Take the first flow out, because it was placed."""
        lane = self._lane()
        assert lane
        waiter = lane.popleft()
        del self._flows[waiter.flow]
        if lane is not self._first:
            self._turns.move_to_end(waiter.caller)
        self.note_placed(now_ms)

    def expire(self, now_ms: int) -> list[Waiter[Item]]:
        """Take out the flows whose time is over and return them."""
        late = [item for item in self._flows.values() if item.due_ms <= now_ms]
        for item in late:
            del self._flows[item.flow]
        return late

    def note_placed(self, now_ms: int) -> None:
        """Note that a flow of the service was placed, waiting or not."""
        self._placed = self._faded(now_ms) + 1
        self._placed_ms = now_ms

    def reserve(self, now_ms: int, caller: bytes) -> int:
        """Set room aside for a caller and return when to come, in ms."""
        step_ms = 1000 / (self._rate(now_ms) * PROMISED)
        earliest_ms = now_ms + admission.MIN_RETRY_MS
        turn_ms = max(self._promised_ms + step_ms, earliest_ms)
        kept = self._promises.get(caller, ())
        # One caller with many flows would get nearly all turns set aside, and
        # those who ask for one flow would wait behind it.
        fair = len(kept) < PROMISES_PER_CALLER
        known = bool(kept) or len(self._promises) < MOST_PROMISES
        if turn_ms > now_ms + LAST_RETRY_MS or not (fair and known):
            return self._unpromised()
        self._promised_ms = turn_ms
        self._promises.setdefault(caller, collections.deque()).append(int(turn_ms))
        return int(turn_ms) - now_ms

    def _unpromised(self) -> int:
        self._refused += 1
        part = self._refused * _STRIDE % _PARTS / _PARTS
        first_ms = 2 * admission.MIN_RETRY_MS
        return first_ms + int(part * (LAST_RETRY_MS - first_ms))

    def _keeps_promise(self, now_ms: int, caller: bytes) -> bool:
        kept = self._promises.get(caller)
        while kept and kept[0] < now_ms - LATE_MS:
            kept.popleft()
        if kept is not None and not kept:
            del self._promises[caller]
        # The way to the caller and back adds to the wait, never takes from it.
        if not kept or kept[0] > now_ms:
            return False
        kept.popleft()
        return True

    def _full(self, now_ms: int, caller: bytes) -> bool:
        if not self.wait_ms or len(self._flows) >= MOST_FLOWS:
            return True
        return self._expected_ms(now_ms, caller) > self.wait_ms

    def _expected_ms(self, now_ms: int, caller: bytes) -> float:
        own = len(self._turns.get(caller, ())) + 1
        before = sum(min(own, len(lane)) for lane in self._turns.values())
        return (len(self._first) + before) / self._rate(now_ms) * 1000

    def _rate(self, now_ms: int) -> float:
        return max(1.0, self._faded(now_ms) * 1000 / _RATE_MS)

    def _faded(self, now_ms: int) -> float:
        return self._placed * math.exp(-(now_ms - self._placed_ms) / _RATE_MS)

    def _lane(self) -> collections.deque[Waiter[Item]] | None:
        while self._first and not self._alive(self._first[0]):
            self._first.popleft()
        if self._first:
            return self._first
        while self._turns:
            caller, lane = next(iter(self._turns.items()))
            while lane and not self._alive(lane[0]):
                lane.popleft()
            if lane:
                return lane
            del self._turns[caller]
        return None

    def _alive(self, waiter: Waiter[Item]) -> bool:
        return self._flows.get(waiter.flow) is waiter
