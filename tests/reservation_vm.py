"""VMs, targets and a bench around a scheduler of reservations, without a network."""

import collections
import typing
import zlib

from eelgrasswick.reservations import (
    messages,
    scheduler,
)

SCHEDULER = 77
WAIT_MS = 150


class Vm:
    """A VM that reports its requests truthfully."""

    def __init__(self, slots: dict[int, int], incarnation: int = 1) -> None:
        """Create a VM without requests at targets with these slots."""
        self.slots = slots
        self.incarnation = incarnation
        self.number = 0
        self.requests = 0
        self.acknowledged = messages.Acknowledged()
        self.open: collections.Counter[int] = collections.Counter()
        self.completed: collections.Counter[int] = collections.Counter()
        self.busy_ms: collections.Counter[int] = collections.Counter()
        self.changed: set[int] = set()

    def usage(self, cookies: typing.Iterable[int]) -> tuple[messages.Usage, ...]:
        """Return the figures of some targets."""
        self.changed = set()
        return tuple(
            messages.Usage(
                cookie,
                self.open[cookie],
                self.completed[cookie],
                self.busy_ms[cookie],
                0,
            )
            for cookie in cookies
        )

    def update(self, cookies: typing.Iterable[int]) -> messages.UsageUpdate:
        """Return a report about some targets."""
        self.number += 1
        return messages.UsageUpdate(
            self.incarnation, self.number, self.acknowledged, self.usage(cookies)
        )

    def reserve(
        self,
        group: str,
        reported: typing.Iterable[int],
        *,
        priority: int = 0,
        wait_ms: int = WAIT_MS,
        caller: int = 0,
        cookies: tuple[int, ...] | None = None,
    ) -> messages.Reserve:
        """Return a request for a new flow."""
        self.number += 1
        self.requests += 1
        named = self.slots if cookies is None else cookies
        return messages.Reserve(
            self.incarnation,
            self.number,
            self.acknowledged,
            group,
            self.requests,
            priority,
            wait_ms,
            caller,
            tuple(messages.Candidate(cookie, self.slots[cookie]) for cookie in named),
            self.usage(reported),
        )

    def acknowledge(self, grant: messages.Grant) -> bool:
        """Take in a grant; return False when a later one has arrived before it."""
        if grant.grant <= self.acknowledged.grant:
            return False
        self.acknowledged = messages.Acknowledged(grant.incarnation, grant.grant)
        return True

    def begin(self, cookie: int) -> None:
        """Begin a request at a target."""
        self.open[cookie] += 1
        self.changed.add(cookie)

    def finish(self, cookie: int, busy_ms: int) -> None:
        """End a request at a target with a response."""
        self.open[cookie] -= 1
        self.completed[cookie] += 1
        self.busy_ms[cookie] += busy_ms
        self.changed.add(cookie)


class Bench:
    """A scheduler and VMs whose messages arrive at once.

    Attributes:
        now_ms: Present time in milliseconds.
        scheduler: The scheduler.
    """

    def __init__(self, group: str, slots: dict[int, int]) -> None:
        """Create a scheduler that no VM has asked for this group."""
        self.now_ms = 0
        self.scheduler = scheduler.Scheduler(SCHEDULER)
        self._group = group
        self._slots = slots
        self._vms: dict[str, Vm] = {}

    def vm(self, host: str) -> Vm:
        """Return a VM, which is created when it is first named."""
        return self._vms.setdefault(host, Vm(self._slots))

    def ask(
        self, host: str, lose_reply: bool = False, **options: typing.Any
    ) -> messages.Message:
        """Send a request and return its answer."""
        replies = self.ask_all(host, lose_reply, **options)
        request = self.vm(host).requests
        (answer,) = (
            reply.message
            for reply in replies
            if reply.host == host and getattr(reply.message, "request", 0) == request
        )
        return answer

    def ask_all(
        self, host: str, lose_reply: bool = False, **options: typing.Any
    ) -> list[scheduler.Reply]:
        """Send a request and return all replies to it."""
        replies = self.scheduler.reserve(
            self.now_ms, host, self.request(host, **options)
        )
        return replies if lose_reply else self.deliver(replies)

    def request(
        self, host: str, group: str | None = None, **options: typing.Any
    ) -> messages.Reserve:
        """Return a request of a VM, which is not sent."""
        options.setdefault("caller", zlib.crc32(host.encode()))
        return self.vm(host).reserve(group or self._group, self._slots, **options)

    def send(self, host: str, message: messages.Reserve) -> list[scheduler.Reply]:
        """Send a prepared request."""
        return self.deliver(self.scheduler.reserve(self.now_ms, host, message))

    def report(self, host: str) -> list[scheduler.Reply]:
        """Send the figures of all targets."""
        update = self.vm(host).update(self._slots)
        return self.deliver(self.scheduler.update(self.now_ms, host, update))

    def report_all(self) -> list[scheduler.Reply]:
        """Send the figures of all VMs."""
        return [reply for host in list(self._vms) for reply in self.report(host)]

    def forget_open(self, host: str, cookie: int, busy_ms: int = 40) -> None:
        """End a request without a report."""
        self.vm(host).finish(cookie, busy_ms)

    def end(self, host: str, cookie: int, busy_ms: int = 40) -> list[scheduler.Reply]:
        """End a request and report it."""
        self.forget_open(host, cookie, busy_ms)
        return self.report(host)

    def complete(self, host: str, cookie: int, busy_ms: int) -> None:
        """Report a response; as many requests stay in flight."""
        self.vm(host).begin(cookie)
        self.end(host, cookie, busy_ms)

    def restart(self, host: str) -> None:
        """Replace a VM's process."""
        self._vms[host] = Vm(self._slots, self.vm(host).incarnation + 1)

    def completed(self) -> "collections.Counter[int]":
        """Return the responses of each target to all VMs."""
        total: collections.Counter[int] = collections.Counter()
        for vm in self._vms.values():
            total.update(vm.completed)
        return total

    def tick(self) -> list[scheduler.Reply]:
        """Let the scheduler expire what is due."""
        return self.deliver(self.scheduler.tick(self.now_ms))

    def deliver(self, replies: list[scheduler.Reply]) -> list[scheduler.Reply]:
        """Begin the requests that were granted; return the replies."""
        for host, message in replies:
            if isinstance(message, messages.Grant):
                self.vm(host).acknowledge(message)
                self.vm(host).begin(message.cookie)
        return replies


class Play:
    """Targets that work on the requests that a bench's scheduler grants."""

    def __init__(
        self, bench: Bench, slots: dict[int, int], work_ms: dict[int, int]
    ) -> None:
        """Create idle targets.

        Args:
            bench: Bench whose scheduler grants the requests.
            slots: Slots by target.
            work_ms: Time that a request takes in a slot, by target.
        """
        self.granted = 0
        self.waited_ms: list[int] = []
        self._bench = bench
        self._slots = slots
        self._work_ms = work_ms
        self._since_ms: dict[tuple[str, int], int] = {}
        # By target, the VMs and the begin of the requests, and the ends of work.
        self._requests: dict[int, collections.deque[tuple[str, int]]] = {
            cookie: collections.deque() for cookie in slots
        }
        self._ends_ms: dict[int, collections.deque[int]] = {
            cookie: collections.deque() for cookie in slots
        }

    def arrive(self, host: str, caller: int) -> None:
        """Let a flow of a caller arrive at a VM."""
        self._since_ms[host, self._bench.vm(host).requests + 1] = self._bench.now_ms
        self._take(self._bench.ask_all(host, caller=caller))

    def advance(self, time_ms: int) -> None:
        """Let the targets work."""
        for _ in range(time_ms):
            self._bench.now_ms += 1
            for cookie, ends_ms in self._ends_ms.items():
                while ends_ms and ends_ms[0] <= self._bench.now_ms:
                    ends_ms.popleft()
                    host, begin_ms = self._requests[cookie].popleft()
                    busy_ms = self._bench.now_ms - begin_ms
                    self._take(self._bench.end(host, cookie, busy_ms))
        self._take(self._bench.tick())

    def in_flight(self) -> list[int]:
        """Return the requests at each target."""
        return [len(requests) for requests in self._requests.values()]

    def _take(self, replies: list[scheduler.Reply]) -> None:
        now_ms = self._bench.now_ms
        for host, message in replies:
            if not isinstance(message, messages.Grant):
                continue
            self.granted += 1
            self.waited_ms.append(now_ms - self._since_ms[host, message.request])
            ends_ms = self._ends_ms[message.cookie]
            slots = self._slots[message.cookie]
            begin_ms = max(now_ms, ends_ms[-slots] if len(ends_ms) >= slots else 0)
            ends_ms.append(begin_ms + self._work_ms[message.cookie])
            self._requests[message.cookie].append((host, now_ms))
