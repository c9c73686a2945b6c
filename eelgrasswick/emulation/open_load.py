"""Plays loads whose requests come whether or not earlier ones are answered.

Callers that wait for their answers slow down with the servers, so a load of such
callers never asks for much more than is done. Here requests keep coming, and
those that fail are tried again, as under a real overload.
"""

import collections
import random
import typing

from eelgrasswick.cookie import codec, steering
from eelgrasswick.emulation import (
    agenda,
    cookie_scenario,
    open_scenario,
    packets,
    steered_fleet,
)

HOP_MS: typing.Final = 1
SYN_AFTER_MS: typing.Final = (0, 200, 600)
OPEN_MS: typing.Final = 1400
RESEND_MS: typing.Final = 200
ANSWER_BYTES: typing.Final = 2000
REFUSAL_BYTES: typing.Final = 150
RETRIES: typing.Final = 2
RETRY_MS: typing.Final = 20
VMS_PER_ZONE: typing.Final = 3


class End(typing.NamedTuple):
    """How a request ended.

    Attributes:
        kind: What was asked.
        zone: Where from.
        asked_ms: When.
        took_ms: Time from its first try to the answer; None without one.
    """

    kind: open_scenario.Kind
    zone: str
    asked_ms: int
    took_ms: int | None

    @property
    def in_time(self) -> bool:
        """True when it was answered within its aim."""
        return self.took_ms is not None and self.took_ms <= self.kind.objective_ms

    @property
    def worth(self) -> float:
        """What the answer is worth to the caller."""
        if self.took_ms is None:
            return 0.0
        return self.kind.worth if self.in_time else self.kind.late_worth


class _Target:
    def __init__(self, server: cookie_scenario.Server) -> None:
        self.server = server
        self.zone = server.zone
        self.silent = False
        self.busy = 0
        self.queue: collections.deque[_Try] = collections.deque()


class _Request:
    def __init__(self, kind: open_scenario.Kind, zone: str, client: int) -> None:
        self.kind = kind
        self.zone = zone
        self.client = client
        self.asked_ms = 0
        self.tries = 0
        self.ended = False


class _Flow:
    def __init__(self, request: _Request, port: int, vm: int) -> None:
        self.kind = request.kind
        self.zone = request.zone
        self.client = request.client
        self.port = port
        self.vm = vm
        self.target: _Target | None = None
        self.cookie = 0
        self.sequence = 1
        self.acknowledged = 0
        self.asked = 0
        self.ended = False


class _Try:
    """One try of a request, on one flow."""

    def __init__(self, request: _Request, flow: _Flow) -> None:
        self.request = request
        self.flow = flow
        self.arrived = False
        self.over = False


class Simulation:
    """One run of a load."""

    def __init__(
        self, load: open_scenario.Load, wire: codec.SegmentCodec, seed: int
    ) -> None:
        """Prepare a run.

        Args:
            load: What is played.
            wire: Reads and writes packets.
            seed: Decides all random choices.
        """
        self._load = load
        self._rng = random.Random(seed)
        self._due = agenda.Scheduler()
        self._targets = [_Target(item) for item in load.servers]
        self._fleet = steered_fleet.Fleet(
            self._due,
            open_scenario.Reader(load),
            wire,
            self._targets,
            VMS_PER_ZONE,
            random.Random(seed),
        )
        self._ends: list[End] = []
        self._idle: dict[tuple[str, int], list[_Flow]] = collections.defaultdict(list)
        self._port = 1000
        self._factor = 1.0

    def run(self) -> list[End]:
        """Play the load; return how its requests ended, in order."""
        for zone, part in zip(steered_fleet.ZONES, self._load.zone_shares, strict=True):
            self._next_arrival(zone, part / sum(self._load.zone_shares))
        for trouble in self._load.events:
            self._due.call_later(trouble.at_ms, self._begin, trouble)
            self._due.call_later(trouble.until_ms, self._end_trouble, trouble)
        self._due.run(self._load.duration_ms)
        return self._ends

    def _begin(self, trouble: open_scenario.Event) -> None:
        if trouble.kind == "cut":
            self._fleet.cut_zone = trouble.zone
        elif trouble.kind == "power_off":
            self._fleet.powered_off = True
        else:
            self._factor = trouble.factor

    def _end_trouble(self, trouble: open_scenario.Event) -> None:
        if trouble.kind == "cut":
            self._fleet.cut_zone = ""
        elif trouble.kind == "power_off":
            self._fleet.powered_off = False
            self._fleet.start()
        else:
            self._factor = 1.0

    def _next_arrival(self, zone: str, part: float) -> None:
        per_ms = self._load.requests_per_ms * part * self._factor
        self._due.call_later(self._rng.expovariate(per_ms), self._arrival, zone, part)

    def _arrival(self, zone: str, part: float) -> None:
        self._next_arrival(zone, part)
        kinds = self._load.kinds
        kind = self._rng.choices(kinds, [item.share for item in kinds])[0]
        request = _Request(kind, zone, self._rng.randrange(self._load.clients_per_zone))
        request.asked_ms = self._due.now_ms
        self._due.call_later(kind.timeout_ms, self._lose, request)
        self._try(request)

    def _lose(self, request: _Request) -> None:
        if not request.ended:
            self._end(request, None)

    def _end(self, request: _Request, took_ms: int | None) -> None:
        request.ended = True
        self._ends.append(End(request.kind, request.zone, request.asked_ms, took_ms))

    def _try(self, request: _Request) -> None:
        if request.ended:
            return
        request.tries += 1
        idle = self._idle[(request.zone, request.client)]
        if request.kind.uses_long_flows and idle:
            attempt = _Try(request, idle.pop())
            self._give_up_at_limit(attempt)
            self._send(attempt, RESEND_MS)
            return
        self._port += 1
        vm = self._rng.choice(self._fleet.vms_in_zone(request.zone))
        attempt = _Try(request, _Flow(request, self._port, vm))
        self._give_up_at_limit(attempt)
        for copies, delay_ms in enumerate(SYN_AFTER_MS):
            self._due.call_later(delay_ms, self._open, attempt, copies)
        self._due.call_later(OPEN_MS, self._give_up_opening, attempt)

    def _give_up_at_limit(self, attempt: _Try) -> None:
        request = attempt.request
        left_ms = request.asked_ms + request.kind.timeout_ms - self._due.now_ms
        self._due.call_later(left_ms, self._close, attempt)

    def _open(self, attempt: _Try, copies: int) -> None:
        flow = attempt.flow
        if flow.target is not None or flow.ended:
            return
        decision = self._steer(flow, packets.SYN, copies, b"")
        if decision.datagram is not None and decision.address is None:
            self._fail(attempt, ran=False)
            return
        target = self._reached(flow, decision)
        if target is not None and decision.target is not None:
            flow.target = target
            flow.cookie = decision.target.cookie
            self._due.call_later(2 * HOP_MS, self._send, attempt, RESEND_MS)

    def _give_up_opening(self, attempt: _Try) -> None:
        if attempt.flow.target is None:
            self._fail(attempt, ran=False)

    def _send(self, attempt: _Try, wait_ms: int) -> None:
        flow = attempt.flow
        if attempt.over or flow.ended:
            return
        decision = self._steer(flow, packets.ACK, flow.acknowledged, b"GET\n")
        if decision.outcome is steering.Outcome.TARGET_DEAD:
            self._fail(attempt, ran=attempt.arrived)
            return
        target = self._reached(flow, decision)
        if target is None:
            self._due.call_later(wait_ms, self._send, attempt, 2 * wait_ms)
            return
        # A target acknowledges a request at once, long before it answers.
        attempt.arrived = True
        self._arrive(target, attempt)

    def _arrive(self, target: _Target, attempt: _Try) -> None:
        if target.busy < target.server.slots:
            self._work(target, attempt)
        elif len(target.queue) < self._load.queue_limit:
            target.queue.append(attempt)
        else:
            self._answered(attempt, REFUSAL_BYTES)
            self._fail(attempt, ran=False)

    def _work(self, target: _Target, attempt: _Try) -> None:
        target.busy += 1
        kind = attempt.request.kind
        work_ms = self._rng.lognormvariate(0, 0.5) / 1.133 * kind.work_ms
        self._due.call_later(
            work_ms * target.server.slowness, self._done, target, attempt
        )

    def _done(self, target: _Target, attempt: _Try) -> None:
        target.busy -= 1
        if target.queue:
            self._work(target, target.queue.popleft())
        flow = attempt.flow
        cut = self._fleet.partitioned(flow.zone, target.zone)
        if cut or attempt.over or flow.ended:
            return
        self._answered(attempt, ANSWER_BYTES)
        request = attempt.request
        if not request.ended:
            self._end(request, self._due.now_ms + HOP_MS - request.asked_ms)
        flow.asked += 1
        if flow.kind.uses_long_flows and flow.asked < self._load.requests_per_flow:
            attempt.over = True
            self._idle[(flow.zone, flow.client)].append(flow)
        else:
            self._close(attempt)

    def _answered(self, attempt: _Try, size: int) -> None:
        flow = attempt.flow
        flow.sequence += 4
        flow.acknowledged += size
        self._steer(flow, packets.ACK, flow.acknowledged, b"")

    def _fail(self, attempt: _Try, ran: bool) -> None:
        if attempt.over:
            return
        self._close(attempt)
        request = attempt.request
        if request.ended:
            return
        again = not ran or request.kind.uses_long_flows
        if again and request.tries <= RETRIES:
            self._due.call_later(RETRY_MS, self._try, request)
        else:
            self._end(request, None)

    def _close(self, attempt: _Try) -> None:
        flow = attempt.flow
        if flow.ended or attempt.over:
            return
        attempt.over = True
        flow.ended = True
        if flow.target is not None:
            self._steer(flow, packets.FIN | packets.ACK, flow.acknowledged, b"")

    def _steer(
        self, flow: _Flow, flags: int, acknowledged: int, data: bytes
    ) -> steering.Decision:
        number = self._load.kinds.index(flow.kind)
        stream = steered_fleet.FlowState(
            flow.vm,
            flow.client,
            flow.port,
            open_scenario.SERVICE_IP,
            open_scenario.FIRST_PORT + number,
            flow.sequence,
            flow.cookie,
        )
        return self._fleet.steer(stream, flags, acknowledged, data)

    def _reached(self, flow: _Flow, decision: steering.Decision) -> _Target | None:
        if decision.target is None:
            return None
        target = self._targets[self._fleet.target_index(decision.target)]
        return None if self._fleet.partitioned(flow.zone, target.zone) else target


def worth_ratio(ends: typing.Iterable[End]) -> float:
    """Return what callers got over what all answers in time would be worth."""
    got = owed = 0.0
    for item in ends:
        got += item.worth
        owed += item.kind.worth
    return got / owed if owed else 1.0


def max_worth_ratio(load: open_scenario.Load) -> float:
    """Return the worth that no decider can pass while the demand is steady.

    It knows what is asked and fills the servers with what is worth most for its
    work; nothing waits.
    """
    left_ms = load.capacity
    got = owed = 0.0
    total = sum(item.share for item in load.kinds)
    by_value = sorted(load.kinds, key=lambda item: item.work_ms / item.worth)
    for kind in by_value:
        per_ms = load.requests_per_ms * kind.share / total
        served = min(per_ms, left_ms / kind.work_ms)
        left_ms -= served * kind.work_ms
        got += served * kind.worth
        owed += per_ms * kind.worth
    return got / owed
