"""Tests of the queue of waiting opening packets, without a network."""

import hypothesis
import pytest
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


def scheduler_queue(rate_per_s: float = 100.0) -> "waiting.WaitQueue[int]":
    """Return a queue as a scheduler uses it: with its own rate, no reservations."""
    queue: waiting.WaitQueue[int] = waiting.WaitQueue(WAIT_MS, reserves=False)
    queue.rate_per_s = rate_per_s
    return queue


def offer_level(
    queue: "waiting.WaitQueue[int]", now_ms: int, number: int, caller: bytes, level: int
) -> admission.Refusal | None:
    flow = number.to_bytes(13, "big")
    return queue.offer(now_ms, flow, caller, number, priority=level)


def serve_all(queue: "waiting.WaitQueue[int]") -> list[int]:
    """Place all flows; return their numbers in the order of service."""
    served = []
    while (waiter := queue.first()) is not None:
        served.append(waiter.item)
        queue.place(0)
    return served


def test_urgent_flow_is_served_before_less_urgent_ones() -> None:
    """Guards against an urgent flow that waits behind less urgent ones."""
    queue = scheduler_queue()
    for number in range(20):
        assert offer_level(queue, 0, number, bytes((number,)), 2) is None
    assert queue.expected_wait_ms(0, b"x", 0) == 0
    assert queue.expected_wait_ms(0, b"x", 2) == 200
    offer_level(queue, 0, 50, b"x", 1)
    offer_level(queue, 0, 60, b"y", 0)
    assert serve_all(queue)[:3] == [60, 50, 0]


def test_greedy_caller_waits_behind_itself_in_a_shortage() -> None:
    """Guards against a caller that takes the capacity which others need.

    For each flow that is served, the greedy caller offers three and four others offer
    one each now and then, so that capacity is short by half.
    """
    queue = scheduler_queue(rate_per_s=50)
    offered, served, last = {b"g": 0}, {b"g": 0}, 0
    for step in range(500):
        now_ms = step * 20
        callers = [b"g"] * 3 + [b"abcd"[step // 2 % 4 :][:1]] * (step % 2)
        for caller in callers:
            last += 1
            offered[caller] = offered.get(caller, 0) + 1
            offer_level(queue, now_ms, last, caller, 0)
        queue.expire(now_ms)
        waiter = queue.first()
        if waiter is not None:
            queue.place(now_ms)
            served[waiter.caller] = served.get(waiter.caller, 0) + 1
    assert served[b"g"] <= 260
    for caller in (b"a", b"b", b"c", b"d"):
        assert served[caller] >= 0.95 * offered[caller]


def test_refused_caller_that_returns_is_served_first_in_its_level() -> None:
    """Guards against a caller that is refused at each of its attempts."""
    queue = scheduler_queue()
    queue.note_refused(0, b"back")
    queue.note_refused(0, b"late")
    offer_level(queue, 100, 1, b"new", 1)
    offer_level(queue, 100, 2, b"urgent", 0)
    offer_level(queue, 100, 3, b"back", 1)
    assert serve_all(queue) == [2, 3, 1]
    offer_level(queue, 2001, 4, b"new", 1)
    offer_level(queue, 2001, 5, b"late", 1)
    assert serve_all(queue) == [4, 5]


def test_refusal_counts_for_one_flow() -> None:
    """Guards against a greedy caller that gains precedence by one refusal."""
    queue = scheduler_queue()
    queue.note_refused(0, b"back")
    for number, caller in enumerate((b"new", b"back", b"back")):
        offer_level(queue, 10, number, caller, 0)
    assert serve_all(queue) == [1, 0, 2]


def test_caller_with_many_refusals_does_not_starve_others() -> None:
    """Guards against refused flows of a greedy caller that always go first."""
    queue = scheduler_queue()
    served = []
    for number in range(40):
        now_ms = number * 20
        queue.note_refused(now_ms, b"greedy")
        offer_level(queue, now_ms, 2 * number, b"other%d" % number, 0)
        offer_level(queue, now_ms, 2 * number + 1, b"greedy", 0)
        waiter = queue.first()
        assert waiter is not None
        served.append(waiter.caller)
        queue.place(now_ms)
    others = [caller for caller in served if caller != b"greedy"]
    assert len(others) >= 20


def test_displaced_flow_is_the_newest_of_the_least_urgent_level() -> None:
    """Guards against an urgent flow that is refused while others keep their place."""
    queue = scheduler_queue()
    for number, level in enumerate((2, 1, 2, 1, 0)):
        offer_level(queue, number, number, b"%d" % number, level)
    displaced = []
    while (waiter := queue.displace(0)) is not None:
        displaced.append(waiter.item)
    assert displaced == [2, 0, 3, 1]
    assert serve_all(queue) == [4]


def test_equal_level_is_not_displaced() -> None:
    """Guards against flows of one level that displace one another."""
    queue = scheduler_queue()
    offer_level(queue, 0, 1, b"a", 1)
    assert queue.displace(1) is None
    assert queue.displace(2) is None
    assert len(queue) == 1


def test_iteration_is_in_the_order_of_service() -> None:
    """Guards against a scheduler that serves another flow than the next one."""
    queue = scheduler_queue(rate_per_s=1000)
    queue.note_refused(0, b"c")
    for number in range(60):
        caller = b"aaabc"[number % 5 :][:1]
        queue.note_refused(0, b"b")
        offer_level(queue, 0, number, caller, number % 3)
    order = [waiter.item for waiter in queue]
    assert sorted(order) == list(range(60))
    assert order == serve_all(queue)


def test_flow_behind_a_blocked_one_can_be_placed_during_iteration() -> None:
    """Guards against targets that idle because the next flow can't use them."""
    queue = scheduler_queue()
    for number in range(6):
        offer_level(queue, 0, number, b"abc"[number % 3 :][:1], 0)
    seen = []
    for waiter in queue:
        seen.append(waiter.item)
        if waiter.item % 3:
            queue.place_flow(0, waiter.flow)
    assert seen == [0, 1, 2, 3, 4, 5]
    assert serve_all(queue) == [0, 3]
    with pytest.raises(KeyError):
        queue.place_flow(0, (1).to_bytes(13, "big"))


def test_flow_waits_for_its_own_time() -> None:
    """Guards against a flow that is kept beyond the wait that it allows."""
    queue = scheduler_queue(rate_per_s=100)
    key = [number.to_bytes(13, "big") for number in range(4)]
    assert queue.offer(0, key[0], b"a", 0, wait_ms=50) is None
    assert queue.offer(0, key[1], b"b", 1) is None
    assert queue.offer(0, key[2], b"c", 2, wait_ms=15) is not None
    assert queue.offer(0, key[3], b"c", 3, wait_ms=0) is not None
    assert queue.expire(49) == []
    assert [waiter.item for waiter in queue.expire(50)] == [0]
    assert [waiter.item for waiter in queue.expire(WAIT_MS)] == [1]


def test_flows_that_left_do_not_count_in_a_queue_without_reservations() -> None:
    """Guards against requests that are rejected for waiters that are gone."""
    queue = scheduler_queue()
    for number in range(20):
        offer_level(queue, 0, number, b"%d" % number, 0)
    for number in range(10):
        queue.cancel(number.to_bytes(13, "big"))
    assert queue.count_ahead(0, b"x") == 10
    queue.expire(WAIT_MS)
    assert queue.count_ahead(0, b"x") == 0


def test_queue_without_reservations_gives_no_retry_time() -> None:
    """Guards against reservations of callers that never learn of them."""
    queue = scheduler_queue(rate_per_s=10)
    refusals = [offer_level(queue, 0, n, b"%d" % n, 0) for n in range(6)]
    refused = refusals[-1]
    assert refused is not None and refused.retry_after_ms == 0


def test_lanes_and_levels_without_waiters_are_deleted() -> None:
    """Guards against memory that grows with the callers and levels ever seen."""
    queue = scheduler_queue(rate_per_s=1e6)
    offer_level(queue, 0, 0, b"blocked", 0)
    for number in range(1, 5000):
        offer_level(queue, 0, number, b"%d" % number, number % 1000)
        queue.place_flow(0, number.to_bytes(13, "big"))
    assert len(queue._levels) <= 20
    assert sum(len(item.others._lanes) for item in queue._levels.values()) == 1


@hypothesis.given(
    steps=strategies.lists(
        strategies.tuples(
            strategies.sampled_from(["offer", "offer", "skip", "displace", "refuse"]),
            strategies.integers(0, 30),
            strategies.integers(0, 60),
        ),
        max_size=80,
    )
)
def test_each_flow_has_one_outcome_and_urgent_ones_are_first(
    steps: list[tuple[str, int, int]],
) -> None:
    """Guards against flows that are lost, answered twice or served out of order."""
    queue = scheduler_queue(rate_per_s=400)
    now_ms, live = 0, set()
    for action, number, after_ms in steps:
        now_ms += after_ms
        for late in queue.expire(now_ms):
            live.remove(late.item)
        if action == "offer" and number not in live:
            if offer_level(queue, now_ms, number, b"%d" % (number % 4), number % 3):
                continue
            live.add(number)
        elif action == "skip" and live:
            waiter = list(queue)[number % len(live)]
            queue.place_flow(now_ms, waiter.flow)
            live.remove(waiter.item)
        elif action == "displace":
            waiter_or_none = queue.displace(number % 3)
            if waiter_or_none is not None:
                live.remove(waiter_or_none.item)
                assert waiter_or_none.priority > number % 3
        elif action == "refuse":
            queue.note_refused(now_ms, b"%d" % (number % 4))
        order = list(queue)
        assert {waiter.item for waiter in order} == live
        assert len(order) == len(queue) == len(live)
        levels = [waiter.priority for waiter in order]
        assert levels == sorted(levels)
        assert queue.first() == (order[0] if order else None)
        ahead = queue.count_ahead(now_ms, b"new", 1)
        if offer_level(queue, now_ms, 99, b"new", 1) is None:
            assert [waiter.item for waiter in queue].index(99) == ahead
            queue.cancel((99).to_bytes(13, "big"))
