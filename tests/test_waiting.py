"""Tests of the queue of waiting opening packets, without a network."""

import hypothesis
from hypothesis import strategies

from eelgrasswick import errors
from eelgrasswick.decisions import (
    admission,
    waiting,
)

WAIT_MS = 300


def busy_queue(per_s: int = 100, now_ms: int = 0) -> "waiting.WaitQueue[int]":
    """Return a queue whose service has placed flows at a steady rate."""
    queue: waiting.WaitQueue[int] = waiting.WaitQueue(WAIT_MS)
    for index in range(10 * per_s):
        queue.note_placed(now_ms - 10_000 + index * 1000 // per_s)
    return queue


def offer(
    queue: "waiting.WaitQueue[int]", now_ms: int, number: int, caller: bytes
) -> admission.Refusal | None:
    return queue.offer(now_ms, number.to_bytes(13, "big"), caller, number)


def test_flow_expires_at_its_deadline_and_not_before() -> None:
    """Guards against callers who are served late or refused early."""
    queue = busy_queue()
    assert offer(queue, 0, 1, b"a") is None
    assert queue.expire(WAIT_MS - 1) == []
    assert [item.item for item in queue.expire(WAIT_MS)] == [1]
    assert queue.first() is None


def test_flow_that_cannot_be_served_in_time_is_refused_at_once() -> None:
    """Guards against callers who lose the time until their deadline.

    More callers wait than can be served within the deadline at the present rate.
    """
    queue = busy_queue(per_s=100)
    refusals = [offer(queue, 0, number, bytes((number,))) for number in range(60)]
    assert refusals[0] is None
    last = refusals[-1]
    assert last is not None and last.kind is errors.ErrorKind.WAIT_FULL
    assert 25 <= refusals.count(None) <= 35


def test_cancelled_flow_is_not_placed() -> None:
    """Guards against a slot that is used for a caller who has gone."""
    queue = busy_queue()
    offer(queue, 0, 1, b"a")
    offer(queue, 0, 2, b"b")
    assert queue.cancel((1).to_bytes(13, "big"))
    first = queue.first()
    assert first is not None and first.item == 2


def test_callers_take_turns() -> None:
    """Guards against a caller that opens flows in a loop and makes the others wait."""
    queue = busy_queue()
    for number in range(10):
        offer(queue, 0, number, b"loop")
    offer(queue, 0, 99, b"once")
    served = []
    while (waiter := queue.first()) is not None:
        served.append(waiter.item)
        queue.place(0)
    assert served.index(99) == 1


def test_reservations_are_spread_and_claimed_ones_are_served_first() -> None:
    """Guards against refused callers who return all at once and are refused again."""
    queue = busy_queue(per_s=100)
    for number in range(40):
        offer(queue, 0, number, bytes((number,)))
    times = [queue.reserve(0, b"caller%d" % number) for number in range(50)]
    assert len(set(times)) == 50
    assert min(times) >= admission.MIN_RETRY_MS
    queue.expire(WAIT_MS)
    now_ms = times[0]
    for number in range(20):
        offer(queue, now_ms, 100 + number, b"new")
    assert offer(queue, now_ms, 500, b"caller0") is None
    first = queue.first()
    assert first is not None and first.item == 500


def test_return_before_its_reservation_gets_no_precedence() -> None:
    """Guards against callers who gain by ignoring the retry time."""
    queue = busy_queue(per_s=100)
    queue.reserve(0, b"early")
    offer(queue, 10, 1, b"other")
    offer(queue, 10, 2, b"early")
    first = queue.first()
    assert first is not None and first.item == 1


def test_one_caller_cannot_take_all_reservations() -> None:
    """Guards against a caller with many flows that takes all reservations."""
    queue = busy_queue(per_s=10)
    for _ in range(1000):
        queue.reserve(0, b"loop")
    assert queue.reserve(0, b"once") < 2 * admission.MIN_RETRY_MS


def test_zero_wait_refuses_at_once() -> None:
    """Guards against waiting flows of a service that allows no wait."""
    queue: waiting.WaitQueue[int] = waiting.WaitQueue(0)
    assert offer(queue, 0, 1, b"a") is not None


@hypothesis.given(
    steps=strategies.lists(
        strategies.tuples(
            strategies.sampled_from(["offer", "cancel", "place", "expire"]),
            strategies.integers(0, 12),
            strategies.integers(0, 400),
        ),
        max_size=60,
    )
)
def test_no_flow_is_both_placed_and_refused(
    steps: list[tuple[str, int, int]],
) -> None:
    """Guards against answers to flows that were refused as not run."""
    queue: waiting.WaitQueue[int] = waiting.WaitQueue(WAIT_MS)
    now_ms = 0
    waiting_flows: set[int] = set()
    for action, number, after_ms in steps:
        now_ms += after_ms
        if action == "offer" and number not in waiting_flows:
            if offer(queue, now_ms, number, bytes((number % 3,))) is None:
                waiting_flows.add(number)
        elif action == "cancel":
            assert queue.cancel(number.to_bytes(13, "big")) == (number in waiting_flows)
            waiting_flows.discard(number)
        elif action == "place":
            waiter = queue.first()
            assert (waiter is not None) == bool(waiting_flows)
            if waiter is not None:
                queue.place(now_ms)
                waiting_flows.remove(waiter.item)
        elif action == "expire":
            for late in queue.expire(now_ms):
                waiting_flows.remove(late.item)
        assert len(queue) == len(waiting_flows)
