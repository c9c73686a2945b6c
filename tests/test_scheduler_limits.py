"""Tests that a scheduler keeps targets busy and never above their limits."""

import collections
import random
import typing

import hypothesis
import pytest
from hypothesis import strategies

from eelgrasswick.reservations import (
    messages,
    scheduler,
)
from tests import reservation_vm

GROUP = "shop/zone-a/0"
SLOTS = {1: 2, 2: 1, 3: 0}
# Limits at the start: twice the slots and one, and 4 for unknown slots.
FIRST_LIMITS = {1: 5, 2: 3, 3: 4}
VMS = ("a", "b", "c")
# A VM reports all targets at least so often, and some reports are lost, but none stays
# silent for so long that its grants expire.
REPORT_MS = 100
# A VM holds a flow for its wait and 20 ms more.
HOLD_MS = reservation_vm.WAIT_MS + 20


class _InTransit(typing.NamedTuple):
    host: str
    to_scheduler: bool
    message: messages.Message


class LossyNetwork:
    """VMs and a scheduler whose messages are lost, doubled and reordered."""

    def __init__(self) -> None:
        """Create VMs that have asked nothing yet."""
        self.now_ms = 0
        self.opened = 0
        self._scheduler = scheduler.Scheduler(reservation_vm.SCHEDULER)
        self._vms = {host: reservation_vm.Vm(SLOTS) for host in VMS}
        self._held_ms: dict[tuple[str, int], int] = {}
        self._reported_ms = dict.fromkeys(VMS, 0)
        self._transit: list[_InTransit] = []
        self._limits = dict(FIRST_LIMITS)
        self._highest = dict(FIRST_LIMITS)

    def ask(self, host: str, priority: int) -> None:
        """Send a request with the figures that have changed since the last message."""
        vm = self._vms[host]
        message = vm.reserve(GROUP, vm.changed, priority=priority)
        self._held_ms[host, message.request] = self.now_ms + HOLD_MS
        self._transit.append(_InTransit(host, True, message))

    def report(self, host: str) -> None:
        """Send the figures that have changed."""
        vm = self._vms[host]
        self._transit.append(_InTransit(host, True, vm.update(vm.changed)))

    def finish(self, host: str, position: int) -> None:
        """End one of the requests of a VM, if it has any."""
        vm = self._vms[host]
        cookies = list(vm.open.elements())
        if cookies:
            vm.finish(cookies[position % len(cookies)], 40)

    def deliver(self, fates: typing.Callable[[], str]) -> None:
        """Deliver, lose, double or keep each message in transit, in any order.

        Args:
            fates: Returns what happens to the next message.
        """
        transit, self._transit = self._transit, []
        late = []
        for item in transit:
            fate = fates()
            if fate == "late":
                late.append(item)
            elif fate != "lost":
                self._arrive(item)
            if fate == "doubled":
                self._transit.append(item)
        for item in late:
            if fates() == "late":
                self._transit.append(item)
            else:
                self._arrive(item)

    def advance(self, time_ms: int) -> None:
        """Let time pass, in which VMs report all targets when it is time."""
        self.now_ms += time_ms
        for host, reported_ms in self._reported_ms.items():
            if self.now_ms - reported_ms >= REPORT_MS:
                self._reported_ms[host] = self.now_ms
                update = self._vms[host].update(SLOTS)
                self._arrive(_InTransit(host, True, update))
        self._take(self._scheduler.tick(self.now_ms))

    def _arrive(self, item: _InTransit) -> None:
        host, message = item.host, item.message
        if isinstance(message, messages.Reserve):
            self._take(self._scheduler.reserve(self.now_ms, host, message))
        elif isinstance(message, messages.UsageUpdate):
            self._take(self._scheduler.update(self.now_ms, host, message))
        elif isinstance(message, messages.Grant):
            self._open(host, message)

    def _open(self, host: str, grant: messages.Grant) -> None:
        vm = self._vms[host]
        if not vm.acknowledge(grant):
            return
        if self._held_ms.pop((host, grant.request), 0) < self.now_ms:
            return
        vm.begin(grant.cookie)
        self.opened += 1
        assert self._in_flight()[grant.cookie] <= self._highest[grant.cookie]

    def _take(self, replies: list[scheduler.Reply]) -> None:
        before = dict(self._limits)
        for change in self._scheduler.take_limit_changes():
            self._limits[change.cookie] = change.after
            self._highest[change.cookie] = max(
                self._highest[change.cookie], change.after
            )
        in_flight = self._in_flight()
        for host, message in replies:
            if isinstance(message, messages.Grant):
                cookie = message.cookie
                in_flight[cookie] += 1
                assert in_flight[cookie] <= max(before[cookie], self._limits[cookie])
            self._transit.append(_InTransit(host, False, message))

    def _in_flight(self) -> "collections.Counter[int]":
        total: collections.Counter[int] = collections.Counter()
        for vm in self._vms.values():
            total.update(vm.open)
        return total


def play_lossy(seed: int, lost: int, doubled: int, late: int, rounds: int) -> int:
    """Play a shortage with these percentages of faults; return the opened flows."""
    source = random.Random(seed)
    network = LossyNetwork()
    fates = ["lost"] * lost + ["doubled"] * doubled + ["late"] * late
    fates += ["delivered"] * (100 - len(fates))
    for _ in range(rounds):
        for host in source.choices(VMS, k=source.randrange(3)):
            network.ask(host, source.randrange(3))
        for host in source.choices(VMS, k=source.randrange(3)):
            network.finish(host, source.randrange(10))
        for host in source.choices(VMS, k=source.randrange(3)):
            network.report(host)
        network.deliver(lambda: source.choice(fates))
        network.advance(source.randrange(1, 20))
    return network.opened


@hypothesis.given(
    seed=strategies.integers(0, 2**32),
    lost=strategies.integers(0, 30),
    doubled=strategies.integers(0, 30),
    late=strategies.integers(0, 30),
)
@hypothesis.settings(max_examples=60)
def test_grants_never_exceed_a_limit_when_messages_are_lost_doubled_or_late(
    seed: int, lost: int, doubled: int, late: int
) -> None:
    """Guards against capacity that a lost, doubled or reordered message adds."""
    play_lossy(seed, lost, doubled, late, rounds=120)


def test_flows_are_opened_although_messages_are_lost_doubled_or_late() -> None:
    """Guards against limits that hold because hardly anything is granted."""
    assert play_lossy(seed=1, lost=10, doubled=10, late=10, rounds=400) > 150


@pytest.fixture
def bench() -> reservation_vm.Bench:
    """Bench with two targets of two slots whose group is past its first 300 ms."""
    made = reservation_vm.Bench(GROUP, {1: 2, 2: 2})
    made.ask("first", wait_ms=0, cookies=())
    made.now_ms = 300
    return made


def test_slots_stay_busy_in_a_shortage(bench: reservation_vm.Bench) -> None:
    """Guards against slots that idle, or targets that are too full, in a shortage.

    Four slots of 40 ms serve 400 requests in 4 s, and 600 arrive.
    """
    play = reservation_vm.Play(bench, {1: 2, 2: 2}, work_ms={1: 40, 2: 40})
    for step in range(200):
        for index in range(3):
            play.arrive(f"vm{index}", caller=3 * step + index)
        play.advance(20)
        assert max(play.in_flight()) <= 8
    assert play.granted >= 0.95 * 400
    assert max(play.waited_ms) <= reservation_vm.WAIT_MS


def test_callers_are_served_in_turn_in_a_shortage(
    bench: reservation_vm.Bench,
) -> None:
    """Guards against one greedy caller that takes the capacity from all others.

    The greedy caller opens 160 flows per second, the other one 40, and 100 are served.
    """
    play = reservation_vm.Play(bench, {1: 2, 2: 2}, work_ms={1: 40, 2: 40})
    for _ in range(160):
        play.arrive("greedy", caller=1)
        play.arrive("greedy", caller=1)
        play.arrive("greedy", caller=1)
        play.arrive("greedy", caller=1)
        play.arrive("modest", caller=2)
        play.advance(25)
    served = bench.vm("modest").completed.total()
    assert served >= 0.95 * 160


def test_targets_of_unequal_speed_are_loaded_alike() -> None:
    """Guards against slow targets that are full while fast ones idle.

    The targets serve 35, 35 and 85 requests per second, and 140 per second arrive.
    """
    slots = {1: 2, 2: 2, 3: 2}
    work_ms = {1: 57, 2: 57, 3: 23}
    bench = reservation_vm.Bench(GROUP, slots)
    play = reservation_vm.Play(bench, slots, work_ms)
    source = random.Random(1)
    for caller in range(2800):
        play.arrive(f"vm{caller % 5}", caller=caller)
        play.advance(source.choice((1, 7, 13)))
    completed = bench.completed()
    loads = [completed[cookie] * work_ms[cookie] for cookie in slots]
    assert max(loads) <= 1.2 * sum(loads) / len(loads)
    assert completed.total() >= 0.95 * 2800
