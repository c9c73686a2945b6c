"""Asks schedulers for capacity, and holds opening packets until they have answered.

Load pattern: a pool is under pressure, so that most of its targets are full at any
time. Without a reservation, a VM that knows only its own flows places new flows at full
targets while others are free. A flow of which no packet was sent to a target can be
refused truthfully, so the packet is held meanwhile. The hold ends before the caller's
first retransmission, which may arrive at another VM. A scheduler that does not answer
delays a flow by `REPLY_TIMEOUT_MS` and never causes a refusal.

`send` may deliver a message for this VM at once, so that `receive` is called within
`request`. A message is therefore sent only after all changes of state.
"""

import typing

from eelgrasswick.cookie import model
from eelgrasswick.reservations import (
    choice,
    groups,
    held_flow,
    messages,
    reporting,
)

# A flow without a reply for this time is placed without a reservation.
REPLY_TIMEOUT_MS: typing.Final = 40
MAX_FLOWS: typing.Final = 500
MAX_BYTES: typing.Final = 1_000_000
_EXPIRE_INTERVAL_MS: typing.Final = 1000

Send = reporting.Send
Kind = held_flow.Kind
Reason = held_flow.Reason
FlowRequest = held_flow.FlowRequest
Resolution = held_flow.Resolution

_REASONS: typing.Final = {
    messages.RejectReason.FULL: Reason.FULL,
    messages.RejectReason.TIMEOUT: Reason.TIMEOUT,
    messages.RejectReason.DISPLACED: Reason.DISPLACED,
    messages.RejectReason.NOT_READY: Reason.NOT_READY,
}


class ReservationClient:
    """Requests of one VM to schedulers, and the packets that wait for the answers."""

    def __init__(
        self,
        host: str,
        zone: str,
        incarnation: int,
        send: typing.Callable[[str, messages.Message], None],
        usage_of: reporting.UsageOf,
    ) -> None:
        """Create a client that holds no flow.

        Args:
            host: Address of this VM.
            zone: Availability zone of this VM.
            incarnation: Random number of this process.
            send: Sends a message to a VM, which may be this one.
            usage_of: Returns the present usage of a target by its cookie.
        """
        self.host = host
        self._zone = zone
        self._incarnation = incarnation
        self._send = send
        self._choice = choice.GroupChoice(zone)
        self._reporter = reporting.UsageReporter(incarnation, usage_of)
        self._held: dict[model.FlowId, held_flow.HeldFlow] = {}
        self._by_number: dict[int, held_flow.HeldFlow] = {}
        self._held_bytes = 0
        # A random first number keeps replies to a former process of this VM from
        # matching a request of this one.
        self._number = incarnation
        # Each flow compares another two groups.
        self._turn = incarnation
        self._next_due_ms = 0
        self._expire_ms = 0
        self._stopped = False

    def __len__(self) -> int:
        """Return the number of held flows."""
        return len(self._held)

    @property
    def held_bytes(self) -> int:
        """Size of the held packets."""
        return self._held_bytes

    def request(self, now_ms: int, item: FlowRequest) -> list[Resolution]:
        """Hold a flow and request capacity for it.

        Returns:
            The resolution of the flow if it can't be held or no scheduler can be asked.
            A copy of a held packet is dropped without a resolution.
        """
        if item.flow in self._held:
            return []
        held = held_flow.HeldFlow(now_ms, item)
        if self._stopped:
            return [held.resolution(now_ms, Kind.PLACE_LOCALLY, Reason.STOPPED)]
        held_bytes = self._held_bytes + len(item.raw)
        if len(self._held) >= MAX_FLOWS or held_bytes > MAX_BYTES:
            return [held.resolution(now_ms, Kind.PLACE_LOCALLY, Reason.LIMIT)]
        self._held[item.flow] = held
        self._held_bytes = held_bytes
        self._turn += 1
        return self._ask_next(now_ms, held)

    def holds(self, flow: model.FlowId) -> bool:
        """Return whether a packet of a flow is held, so that a copy may be dropped."""
        return flow in self._held

    def receive(
        self, now_ms: int, host: str, message: messages.Message
    ) -> list[Resolution]:
        """Handle a reply of a scheduler; return the resolutions that it causes."""
        if not isinstance(message, messages.Grant | messages.Queued | messages.Reject):
            return []
        self._choice.record_reply(host)
        if isinstance(message, messages.Grant):
            self._reporter.record_grant(host, message)
        held = self._by_number.get(message.request)
        if held is None or held.host != host or held.group is None:
            return []
        held.expected_wait_ms = message.expected_wait_ms
        if isinstance(message, messages.Reject):
            return self._rejected(now_ms, held, held.group, message)
        self._choice.record_wait(now_ms, held.group.key, message.expected_wait_ms)
        if isinstance(message, messages.Grant):
            return [self._granted(now_ms, held, held.group, message.cookie)]
        held.queued = True
        held.set_due(held.asked_ms + held.wait_ms + held_flow.OUTCOME_GRACE_MS)
        self._next_due_ms = min(self._next_due_ms, held.due_ms)
        return []

    def tick(self, now_ms: int) -> list[Resolution]:
        """Return the resolutions of flows whose time has passed."""
        if now_ms >= self._expire_ms:
            self._expire_ms = now_ms + _EXPIRE_INTERVAL_MS
            self._choice.expire(now_ms)
        if not self._held or now_ms < self._next_due_ms:
            return []
        late = [item for item in self._held.values() if item.due_ms <= now_ms]
        resolutions = []
        for item in late:
            # A request that `_expired` sends to a scheduler on this VM may resolve
            # other late flows, or let them ask again.
            if self._held.get(item.item.flow) is item and item.due_ms <= now_ms:
                resolutions += self._expired(now_ms, item)
        self._update_next_due()
        return resolutions

    def stop(self, now_ms: int) -> list[Resolution]:
        """Resolve all flows, and hold no flow from now on.

        Usage is still reported, and late grants are acknowledged.
        """
        self._stopped = True
        return [
            self._resolve(now_ms, item, Kind.PLACE_LOCALLY, Reason.STOPPED)
            for item in list(self._held.values())
        ]

    def pause(self, now_ms: int) -> list[Resolution]:
        """Resolve the flows whose time passed while this VM stood still.

        The replies for the others may wait in the socket, so their timers are extended.
        Call this before `tick` and before such replies are handled.
        """
        resolutions = []
        for item in list(self._held.values()):
            if now_ms - item.since_ms >= held_flow.MAX_HELD_MS:
                resolutions.append(
                    self._resolve(now_ms, item, Kind.DROP, Reason.PAUSED)
                )
            else:
                item.extend(now_ms, REPLY_TIMEOUT_MS)
        return resolutions

    def extend(self, now_ms: int) -> None:
        """Extend the timers after a gap in which no reply was read.

        Call this before `tick` and before such replies are handled.
        """
        for item in self._held.values():
            item.extend(now_ms, REPLY_TIMEOUT_MS)
        self._update_next_due()

    def usage_due(
        self, now_ms: int, usage: typing.Mapping[int, messages.Usage]
    ) -> list[Send]:
        """Return the updates of usage that are due.

        Args:
            now_ms: Present time.
            usage: Present usage of all targets that this VM uses, by cookie.
        """
        return self._reporter.due(now_ms, usage)

    def _ask_next(self, now_ms: int, held: held_flow.HeldFlow) -> list[Resolution]:
        while held.step < 3:
            held.step += 1
            chosen, wait_ms = self._next_choice(now_ms, held)
            if chosen is not None:
                self._ask(now_ms, held, chosen, wait_ms)
                return []
        if held.doubt is not None or not held.asked:
            reason = held.doubt or Reason.NO_SCHEDULER
            return [self._resolve(now_ms, held, Kind.PLACE_LOCALLY, reason)]
        return [self._resolve(now_ms, held, Kind.REFUSED, held.reason)]

    def _next_choice(
        self, now_ms: int, held: held_flow.HeldFlow
    ) -> tuple[choice.Choice | None, int]:
        item = held.item
        hosts = item.hosts_by_zone
        left_ms = held.left_ms(now_ms)
        if held.step == 1:
            chosen = self._choice.own(now_ms, item.groups, hosts, self._turn)
            if chosen is None and self._has_own_targets(item):
                held.doubt = Reason.NO_SCHEDULER
            if self._choice.reaches_other_zone(now_ms, item.groups, hosts):
                left_ms //= 2
            return chosen, left_ms
        if held.step == 2:
            return self._choice.other(now_ms, item.groups, hosts, self._turn), 0
        if not left_ms:
            return None, 0
        best = self._choice.best(now_ms, item.groups, hosts, held.excluded)
        return best, left_ms

    def _has_own_targets(self, item: FlowRequest) -> bool:
        return any(group.zone == self._zone and group.targets for group in item.groups)

    def _ask(
        self, now_ms: int, held: held_flow.HeldFlow, chosen: choice.Choice, wait_ms: int
    ) -> None:
        self._number += 1
        held.number = self._number
        held.asked += 1
        held.host = chosen.host
        held.group = chosen.group
        held.asked_ms = now_ms
        held.wait_ms = wait_ms
        held.queued = False
        held.set_due(now_ms + REPLY_TIMEOUT_MS)
        if not self._by_number:
            self._next_due_ms = held.due_ms
        self._next_due_ms = min(self._next_due_ms, held.due_ms)
        self._by_number[held.number] = held
        self._send(chosen.host, self._reserve(now_ms, held, chosen))

    def _reserve(
        self, now_ms: int, held: held_flow.HeldFlow, chosen: choice.Choice
    ) -> messages.Reserve:
        targets = chosen.group.targets[: messages.MAX_CANDIDATES]
        candidates = tuple(
            messages.Candidate(target.cookie, target.slots) for target in targets
        )
        fields = self._reporter.reserve_fields(
            now_ms, chosen.host, [item.cookie for item in candidates]
        )
        return messages.Reserve(
            self._incarnation,
            fields.number,
            fields.acknowledged,
            chosen.group.key,
            held.number,
            held.item.priority,
            held.wait_ms,
            held.item.caller,
            candidates,
            fields.usage,
        )

    def _granted(
        self, now_ms: int, held: held_flow.HeldFlow, group: groups.Group, cookie: int
    ) -> Resolution:
        if all(target.cookie != cookie for target in group.targets):
            reason = Reason.UNKNOWN_TARGET
            return self._resolve(now_ms, held, Kind.PLACE_LOCALLY, reason)
        return self._resolve(now_ms, held, Kind.GRANTED, Reason.NONE, cookie)

    def _rejected(
        self,
        now_ms: int,
        held: held_flow.HeldFlow,
        group: groups.Group,
        message: messages.Reject,
    ) -> list[Resolution]:
        del self._by_number[held.number]
        held.reason = _REASONS[message.reason]
        if group.zone == self._zone and held.reason is not Reason.NOT_READY:
            held.own_full = True
        wait_ms = message.expected_wait_ms
        if message.reason == messages.RejectReason.NOT_READY:
            held.doubt = Reason.NOT_READY
            held.excluded.add(group.key)
        elif message.reason == messages.RejectReason.FULL:
            self._choice.record_full(now_ms, group.key, wait_ms)
            # The scheduler would reject another request as well.
            if wait_ms > held.left_ms(now_ms):
                held.excluded.add(group.key)
        else:
            self._choice.record_wait(now_ms, group.key, wait_ms)
        return self._ask_next(now_ms, held)

    def _expired(self, now_ms: int, held: held_flow.HeldFlow) -> list[Resolution]:
        if held.queued or held.group is None:
            reason = Reason.NO_OUTCOME
            return [self._resolve(now_ms, held, Kind.PLACE_LOCALLY, reason)]
        zone = held.group.zone
        # A request shortly before the end of the hold has not timed out yet.
        if now_ms - held.asked_ms >= REPLY_TIMEOUT_MS:
            self._choice.record_silence(now_ms, held.host, zone, held.asked_ms)
        if zone != self._zone and held.own_full:
            # The flow must not be placed in the full own zone only because another zone
            # is cut off.
            self._by_number.pop(held.number, None)
            held.excluded.add(held.group.key)
            return self._ask_next(now_ms, held)
        return [self._resolve(now_ms, held, Kind.PLACE_LOCALLY, Reason.NO_REPLY)]

    def _resolve(
        self,
        now_ms: int,
        held: held_flow.HeldFlow,
        kind: Kind,
        reason: Reason,
        cookie: int = 0,
    ) -> Resolution:
        del self._held[held.item.flow]
        self._by_number.pop(held.number, None)
        self._held_bytes -= len(held.item.raw)
        return held.resolution(now_ms, kind, reason, cookie)

    def _update_next_due(self) -> None:
        self._next_due_ms = min(
            (item.due_ms for item in self._held.values()), default=0
        )
