"""Tests of the scheduler of reservations, without a network and without a clock."""

import math

import pytest

from eelgrasswick.reservations import (
    messages,
    scheduler,
    target_group,
    usage,
)
from tests import reservation_vm

GROUP = "shop/zone-a/0"
# After the first 300 ms of a group, in which a target gets no more than its slots.
STARTED_MS = target_group.START_MS


@pytest.fixture
def steady() -> reservation_vm.Bench:
    """Bench with two targets of two slots whose group is past its first 300 ms."""
    bench = reservation_vm.Bench(GROUP, {1: 2, 2: 2})
    bench.ask("first", wait_ms=0, cookies=())
    bench.now_ms = STARTED_MS
    return bench


def fill(bench: reservation_vm.Bench, priority: int = 0) -> list[int]:
    """Ask until a request is not granted; return the cookies of the grants."""
    cookies = []
    while isinstance(
        message := bench.ask("filler", wait_ms=0, priority=priority), messages.Grant
    ):
        cookies.append(message.cookie)
    return cookies


def test_targets_get_no_more_than_their_limit(steady: reservation_vm.Bench) -> None:
    """Guards against targets that are full and refuse requests."""
    cookies = fill(steady)
    assert sorted(cookies) == [1] * 5 + [2] * 5
    refused = steady.ask("b", wait_ms=0)
    assert isinstance(refused, messages.Reject)
    assert refused.reason is messages.RejectReason.FULL


def test_grants_of_the_first_300_ms_are_at_most_the_slots() -> None:
    """Guards against a new scheduler that overfills targets of unknown load."""
    bench = reservation_vm.Bench(GROUP, {1: 2, 2: 2})
    assert sorted(fill(bench)) == [1, 1, 2, 2]
    bench.now_ms = STARTED_MS - 1
    bench.report_all()
    assert fill(bench) == []
    bench.now_ms = STARTED_MS
    bench.report_all()
    assert sorted(fill(bench)) == [1, 1, 1, 2, 2, 2]


def test_waiter_is_granted_when_a_request_ends(steady: reservation_vm.Bench) -> None:
    """Guards against callers who wait while a slot is free."""
    fill(steady)
    assert isinstance(steady.ask("b"), messages.Queued)
    replies = steady.end("filler", cookie=2)
    assert [reply.host for reply in replies] == ["b"]
    granted = replies[0].message
    assert isinstance(granted, messages.Grant) and granted.cookie == 2


def test_urgent_waiter_is_served_before_less_urgent_ones(
    steady: reservation_vm.Bench,
) -> None:
    """Guards against urgent callers who wait behind less urgent ones."""
    fill(steady)
    steady.ask("b", priority=1)
    steady.ask("c", priority=0)
    assert [reply.host for reply in steady.end("filler", cookie=1)] == ["c"]


def test_urgent_request_takes_the_slot_that_its_own_message_frees(
    steady: reservation_vm.Bench,
) -> None:
    """Guards against a less urgent waiter who gets a slot just before an urgent one."""
    fill(steady)
    steady.ask("b", priority=1)
    steady.forget_open("filler", cookie=1)
    replies = steady.ask_all("filler", priority=0)
    assert [reply.host for reply in replies] == ["filler"]
    assert isinstance(replies[0].message, messages.Grant)


def test_request_does_not_overtake_a_waiter_of_its_level(
    steady: reservation_vm.Bench,
) -> None:
    """Guards against a waiter who loses each free slot to new requests."""
    fill(steady)
    steady.ask("b")
    steady.forget_open("filler", cookie=1)
    replies = steady.ask_all("filler")
    kinds = [(reply.host, type(reply.message)) for reply in replies]
    assert kinds == [("b", messages.Grant), ("filler", messages.Queued)]


def test_waiter_without_a_free_candidate_is_skipped(
    steady: reservation_vm.Bench,
) -> None:
    """Guards against a free slot that idles while a waiter can use only others."""
    fill(steady)
    steady.ask("b", cookies=(1,))
    steady.ask("c", cookies=(2,))
    assert [reply.host for reply in steady.end("filler", cookie=2)] == ["c"]


def test_greedy_caller_does_not_delay_another_caller(
    steady: reservation_vm.Bench,
) -> None:
    """Guards against one caller that takes the capacity from all others."""
    fill(steady)
    for _ in range(5):
        steady.ask("greedy", caller=1)
    steady.ask("modest", caller=2)
    hosts = [
        reply.host for cookie in (1, 2) for reply in steady.end("filler", cookie=cookie)
    ]
    assert hosts == ["greedy", "modest"]


def test_refused_caller_that_returns_is_served_first(
    steady: reservation_vm.Bench,
) -> None:
    """Guards against a caller that is refused at every retry."""
    fill(steady)
    steady.ask("b", caller=1, wait_ms=20)
    steady.now_ms += 20
    assert [type(reply.message) for reply in steady.tick()] == [messages.Reject]
    steady.ask("c", caller=2)
    steady.ask("b", caller=1)
    assert [reply.host for reply in steady.end("filler", cookie=1)] == ["b"]


def test_waiter_is_rejected_when_its_time_has_passed(
    steady: reservation_vm.Bench,
) -> None:
    """Guards against a caller that gets no answer in time."""
    fill(steady)
    steady.ask("b", wait_ms=50)
    steady.now_ms += 49
    assert steady.tick() == []
    steady.now_ms += 1
    (reply,) = steady.tick()
    assert isinstance(reply.message, messages.Reject)
    assert reply.message.reason is messages.RejectReason.TIMEOUT
    assert steady.end("filler", cookie=1) == []


def test_request_that_cannot_be_served_in_time_is_rejected_at_once(
    steady: reservation_vm.Bench,
) -> None:
    """Guards against a caller that waits in vain.

    Before any completion, four slots and 50 ms give 80 requests per second, so that
    eight flows ahead take 100 ms.
    """
    fill(steady)
    answers = [
        steady.ask(f"vm{index}", caller=index, wait_ms=100) for index in range(20)
    ]
    queued = [item for item in answers if isinstance(item, messages.Queued)]
    rejected = [item for item in answers if isinstance(item, messages.Reject)]
    assert len(queued) == 9
    assert {item.reason for item in rejected} == {messages.RejectReason.FULL}
    assert queued[-1].expected_wait_ms == 100


def test_urgent_request_displaces_the_newest_waiter_that_became_late(
    steady: reservation_vm.Bench,
) -> None:
    """Guards against waiters that urgent callers have made late without being told.

    All grants were to the waiters' own level, so the whole rate is theirs.
    """
    fill(steady, priority=1)
    for index in range(9):
        steady.ask(f"vm{index}", caller=index, priority=1, wait_ms=100)
    replies = steady.ask_all("urgent", priority=0)
    assert [reply.host for reply in replies] == ["urgent", "vm8"]
    displaced = replies[1].message
    assert isinstance(displaced, messages.Reject)
    assert displaced.reason is messages.RejectReason.DISPLACED


def test_less_urgent_requests_expect_the_rate_that_urgent_grants_leave(
    steady: reservation_vm.Bench,
) -> None:
    """Guards against waiters that urgent requests displace later.

    Ten urgent grants just now leave 70 of 80 requests per second, so that eight flows
    ahead take 114 ms. Urgent requests keep the whole rate.
    """
    fill(steady, priority=0)
    for index in range(8):
        answer = steady.ask(f"vm{index}", caller=index, priority=1, wait_ms=100)
        assert isinstance(answer, messages.Queued)
        assert answer.expected_wait_ms == math.ceil(index * 1000 / 70)
    answer = steady.ask("vm8", caller=8, priority=1, wait_ms=100)
    assert isinstance(answer, messages.Reject)
    assert (answer.reason, answer.expected_wait_ms) == (messages.RejectReason.FULL, 115)
    for index in range(2):
        urgent = steady.ask(f"urgent{index}", caller=20 + index, wait_ms=100)
        assert isinstance(urgent, messages.Queued)
        assert urgent.expected_wait_ms == math.ceil(index * 1000 / 80)


def test_grants_to_the_same_or_a_less_urgent_level_leave_the_whole_rate(
    steady: reservation_vm.Bench,
) -> None:
    """Guards against requests that are refused because of grants behind them."""
    fill(steady, priority=1)
    for priority in (1, 0):
        answers = [
            steady.ask(f"{priority}-{index}", caller=index, priority=priority)
            for index in range(3)
        ]
        waits_ms = [getattr(item, "expected_wait_ms", None) for item in answers]
        assert waits_ms == [0, 13, 25]


def test_urgent_grants_leave_a_minimum_of_the_rate_and_decay(
    steady: reservation_vm.Bench,
) -> None:
    """Guards against less urgent requests that are refused for long after a burst."""
    for _ in range(100):
        answer = steady.ask("urgent", wait_ms=0)
        assert isinstance(answer, messages.Grant)
        steady.vm("urgent").open.clear()
    fill(steady)
    steady.ask("b", caller=1, priority=1)
    (state,) = steady.scheduler.pools(steady.now_ms)
    answer = steady.ask("c", caller=2, priority=1, wait_ms=1000)
    minimum = target_group.MIN_RATE_SHARE * state.rate_per_s
    assert getattr(answer, "expected_wait_ms", None) == math.ceil(1000 / minimum)
    for _ in range(30):
        steady.now_ms += 100
        steady.report_all()
        steady.tick()
    steady.ask("d", caller=3, priority=1)
    answer = steady.ask("e", caller=4, priority=1)
    assert isinstance(answer, messages.Queued)
    assert answer.expected_wait_ms == 14


def test_levels_with_counted_grants_are_bounded(steady: reservation_vm.Bench) -> None:
    """Guards against memory that grows with the priorities that requests state."""
    group = steady.scheduler._groups[GROUP]
    for priority in range(1000):
        group.record_granted(steady.now_ms, priority)
    assert len(group._grants) == target_group.MAX_GRANT_LEVELS
    assert min(group._grants) == 0


def test_counts_of_a_dead_vm_expire_without_a_tick(
    steady: reservation_vm.Bench,
) -> None:
    """Guards against a rejection by counts from the end of the last pressure.

    The tick does not run while no pool is under pressure.
    """
    fill(steady)
    steady.now_ms += 60_000
    assert isinstance(steady.ask("b", wait_ms=0), messages.Grant)


def test_report_dispatches_the_slots_of_a_dead_vm(
    steady: reservation_vm.Bench,
) -> None:
    """Guards against a waiter that waits for the next tick while slots are free."""
    fill(steady)
    steady.ask("b", wait_ms=5000)
    steady.now_ms += 999
    assert steady.report("b") == []
    steady.now_ms += 1
    assert [reply.host for reply in steady.report("b")] == ["b"]


def test_equal_targets_fill_alike() -> None:
    """Guards against a first target that gets most of the requests."""
    bench = reservation_vm.Bench(GROUP, {1: 2, 2: 2, 3: 2, 4: 2})
    cookies = []
    for _ in range(8):
        answer = bench.ask("a", wait_ms=0)
        assert isinstance(answer, messages.Grant)
        cookies.append(answer.cookie)
        bench.end("a", cookie=answer.cookie)
        bench.now_ms += 10
    assert [cookies.count(cookie) for cookie in (1, 2, 3, 4)] == [2, 2, 2, 2]


def test_unequal_targets_are_chosen_by_finish_time() -> None:
    """Guards against a slow target that gets as many requests as a fast one.

    Target 2 takes more than three times as long. The first
    three requests therefore finish sooner at target 1.
    """
    bench = reservation_vm.Bench(GROUP, {1: 4, 2: 4})
    answer = bench.ask("a", wait_ms=0)
    assert isinstance(answer, messages.Grant)
    bench.end("a", answer.cookie, busy_ms=20)
    for _ in range(80):
        for cookie, busy_ms in ((1, 20), (2, 70)):
            bench.complete("a", cookie, busy_ms)
        bench.now_ms += 20
    answers = [bench.ask("a", wait_ms=0) for _ in range(4)]
    cookies = [item.cookie for item in answers if isinstance(item, messages.Grant)]
    assert cookies.count(1) == 3 and cookies.count(2) == 1


def test_lost_grant_frees_its_slot_after_300_ms(
    steady: reservation_vm.Bench,
) -> None:
    """Guards against capacity that idles after a lost message."""
    fill(steady)
    steady.forget_open("filler", cookie=1)
    steady.report("filler")
    steady.ask("lost", lose_reply=True)
    start_ms = steady.now_ms
    steady.ask("b", wait_ms=1000)
    for after_ms in range(0, 300, 50):
        steady.now_ms = start_ms + after_ms
        steady.report_all()
        assert steady.tick() == []
    steady.now_ms = start_ms + 300
    assert [reply.host for reply in steady.tick()] == ["b"]


def test_slots_of_a_dead_vm_are_free_after_1_s(
    steady: reservation_vm.Bench,
) -> None:
    """Guards against capacity that stays taken by a VM that died."""
    fill(steady)
    start_ms = steady.now_ms
    assert isinstance(steady.ask("b", wait_ms=5000), messages.Queued)
    for after_ms in range(0, 1000, 100):
        steady.now_ms = start_ms + after_ms
        steady.report("b")
        assert steady.tick() == []
    steady.now_ms = start_ms + 1000
    assert [reply.host for reply in steady.tick()] == ["b"]


def test_waiter_of_a_restarted_vm_gets_no_grant(
    steady: reservation_vm.Bench,
) -> None:
    """Guards against a slot that is granted to a process that no longer exists."""
    fill(steady)
    steady.ask("b")
    steady.restart("b")
    steady.report("b")
    assert steady.end("filler", cookie=1) == []


def test_duplicate_request_is_ignored(steady: reservation_vm.Bench) -> None:
    """Guards against two grants for one flow."""
    request = steady.request("a")
    assert len(steady.send("a", request)) == 1
    assert steady.send("a", request) == []


def test_pause_forgets_the_queue(steady: reservation_vm.Bench) -> None:
    """Guards against grants for flows that were resolved during a freeze."""
    fill(steady)
    steady.ask("short", wait_ms=20)
    steady.ask("long", wait_ms=150)
    steady.now_ms += 100
    replies = steady.scheduler.pause(steady.now_ms)
    assert [reply.host for reply in replies] == ["long"]
    assert steady.end("filler", cookie=1) == []
    assert steady.scheduler.pools(steady.now_ms)[0].waiting == 0


def test_group_beyond_the_bound_is_rejected_as_not_ready() -> None:
    """Guards against memory that grows with the number of groups."""
    bench = reservation_vm.Bench(GROUP, {1: 2})
    for index in range(scheduler.MAX_GROUPS):
        assert isinstance(bench.ask("a", group=f"shop/zone-a/{index}"), messages.Grant)
        bench.end("a", cookie=1)
    answer = bench.ask("a", group="shop/zone-b/0")
    assert isinstance(answer, messages.Reject)
    assert answer.reason is messages.RejectReason.NOT_READY


def test_target_that_is_no_longer_named_is_not_counted_as_free(
    steady: reservation_vm.Bench,
) -> None:
    """Guards against a full group that reports no wait because a target is dead."""
    steady.ask("filler", wait_ms=0)
    for _ in range(12):
        steady.now_ms += 50
        steady.ask("filler", wait_ms=0, cookies=(1,))
    assert isinstance(steady.ask("b", cookies=(1,)), messages.Queued)
    (state,) = steady.scheduler.pools(steady.now_ms)
    assert (state.slots, state.limit, state.in_flight) == (2, 5, 5)
    assert state.expected_wait_ms == 25


def test_idle_group_is_forgotten() -> None:
    """Guards against a scheduler whose bound is reached by groups of the past."""
    bench = reservation_vm.Bench(GROUP, {1: 2})
    bench.ask("a")
    bench.now_ms += scheduler.GROUP_IDLE_MS
    bench.tick()
    assert bench.scheduler.pools(bench.now_ms) == []


def test_origin_beyond_the_bound_is_rejected_as_not_ready() -> None:
    """Guards against memory that grows with the number of senders."""
    bench = reservation_vm.Bench(GROUP, {1: 2})
    for index in range(usage.MAX_ORIGINS):
        bench.report(f"vm{index}")
    answer = bench.ask("other")
    assert isinstance(answer, messages.Reject)
    assert answer.reason is messages.RejectReason.NOT_READY


def fill_queue(bench: reservation_vm.Bench, priority: int) -> None:
    """Queue as many requests as the bound allows."""
    fill(bench)
    for index in range(scheduler.MAX_WAITERS):
        answer = bench.ask("filler", caller=index, priority=priority, wait_ms=1_000_000)
        assert isinstance(answer, messages.Queued)


def test_full_queue_rejects_as_not_ready(steady: reservation_vm.Bench) -> None:
    """Guards against a queue that grows without a bound."""
    fill_queue(steady, priority=1)
    answer = steady.ask("b", caller=9999, priority=1, wait_ms=1_000_000)
    assert isinstance(answer, messages.Reject)
    assert answer.reason is messages.RejectReason.NOT_READY


def test_full_queue_displaces_a_less_urgent_waiter(
    steady: reservation_vm.Bench,
) -> None:
    """Guards against an urgent caller that finds the queue full of others."""
    fill_queue(steady, priority=1)
    replies = steady.ask_all("b", priority=0)
    reasons = [
        reply.message.reason
        for reply in replies
        if isinstance(reply.message, messages.Reject)
    ]
    assert reasons == [messages.RejectReason.DISPLACED]
    assert isinstance(replies[-1].message, messages.Queued)


def test_refusal_by_a_target_lowers_its_limit(steady: reservation_vm.Bench) -> None:
    """Guards against a target that is overfilled by flows the scheduler can't see."""
    fill(steady)
    update = steady.vm("filler").update((1,))
    (figures,) = update.usage
    update = update._replace(usage=(figures._replace(rejected=1),))
    steady.scheduler.update(steady.now_ms, "filler", update)
    (change,) = steady.scheduler.take_limit_changes()
    assert (change.cookie, change.before, change.after) == (1, 5, 4)
    assert steady.end("filler", cookie=1) == []
    assert isinstance(steady.ask("b", wait_ms=0), messages.Reject)


def test_measured_completions_set_the_expected_wait(
    steady: reservation_vm.Bench,
) -> None:
    """Guards against a queue that is longer than slow targets can serve in time.

    The targets complete 40 requests per second, half of the first assumption, so that
    six flows ahead take 150 ms.
    """
    fill(steady)
    for step in range(120):
        steady.now_ms += 25
        steady.complete("filler", 1 + step % 2, 100)
        steady.tick()
    answers = [steady.ask(f"vm{index}", caller=index) for index in range(20)]
    queued = [item for item in answers if isinstance(item, messages.Queued)]
    assert 6 <= len(queued) <= 8


def test_state_names_the_pool_and_its_load(steady: reservation_vm.Bench) -> None:
    """Guards against metrics that can't be assigned to a pool."""
    fill(steady)
    steady.ask("b")
    (state,) = steady.scheduler.pools(steady.now_ms)
    assert (state.service, state.zone) == ("shop", "zone-a")
    assert (state.slots, state.limit, state.in_flight) == (4, 10, 10)
    assert (state.waiting, state.granted, state.queued) == (1, 10, 1)
    assert state.rejected == {messages.RejectReason.FULL: 2}
