"""Simulation of loads whose requests arrive at a rate independent of answers.

Callers that wait for answers slow down with the servers, so that a load of such callers
never asks for much more than the servers do. Here requests keep arriving, and those
that fail are retried, as under a real overload.
"""

import collections
import random
import typing

from eelgrasswick.cookie import codec, model, outcomes
from eelgrasswick.emulation import (
    cookie_scenario,
    open_scenario,
    packets,
    reserving_fleet,
    scheduler,
    steered_fleet,
)

HOP_MS: typing.Final = 1
SYN_DELAYS_MS: typing.Final = (0, 200, 600)
OPEN_TIMEOUT_MS: typing.Final = 1400
RETRANSMIT_MS: typing.Final = 200
ANSWER_BYTES: typing.Final = 2000
REFUSAL_BYTES: typing.Final = 150
MAX_RETRIES: typing.Final = 2
RETRY_MS: typing.Final = 20
VMS_PER_ZONE: typing.Final = 3


class End(typing.NamedTuple):
    """How a request ended.

    Attributes:
        kind: Kind of the request.
        zone: Zone of its caller.
        asked_ms: Virtual time at which it arrived.
        took_ms: Time from its arrival to the answer; None without an answer.
    """

    kind: open_scenario.Kind
    zone: str
    asked_ms: int
    took_ms: int | None

    @property
    def in_time(self) -> bool:
        """True if it was answered within its objective."""
        return self.took_ms is not None and self.took_ms <= self.kind.objective_ms

    @property
    def worth(self) -> float:
        """Worth of the answer to the caller; 0 without an answer."""
        if self.took_ms is None:
            return 0.0
        return self.kind.worth if self.in_time else self.kind.late_worth


class _Target:
    def __init__(self, server: cookie_scenario.Server) -> None:
        self.server = server
        self.zone = server.zone
        self.silent = False
        self.busy_slots = 0
        self.queue: collections.deque[_Attempt] = collections.deque()


class _Request:
    def __init__(self, kind: open_scenario.Kind, zone: str, caller: int) -> None:
        self.kind = kind
        self.zone = zone
        self.caller = caller
        self.asked_ms = 0
        self.tries = 0
        self.ended = False


class _Flow:
    def __init__(self, request: _Request, port: int, vm: int) -> None:
        self.kind = request.kind
        self.zone = request.zone
        self.caller = request.caller
        self.port = port
        self.vm = vm
        self.target: _Target | None = None
        self.cookie = 0
        self.sequence = 1
        self.acknowledged = 0
        self.requests_done = 0
        self.ended = False


class _Attempt:
    """One attempt at a request, on one flow."""

    def __init__(self, request: _Request, flow: _Flow) -> None:
        self.request = request
        self.flow = flow
        self.arrived = False
        self.ended = False


class Simulation:
    """A run of a load."""

    def __init__(
        self, load: open_scenario.Load, wire: codec.SegmentCodec, seed: int
    ) -> None:
        """Create the fleet and the targets of a run.

        Args:
            load: The load to run.
            wire: Decodes and encodes packets.
            seed: Seed of all random choices.
        """
        self._load = load
        self._rng = random.Random(seed)
        self._scheduler = scheduler.Scheduler()
        self._targets = [_Target(item) for item in load.servers]
        self._fleet = steered_fleet.Fleet(
            self._scheduler,
            open_scenario.Reader(load),
            wire,
            self._targets,
            VMS_PER_ZONE,
            random.Random(seed),
        )
        # Attempts whose opening packet may be held, by the port of their caller.
        self._opening: dict[int, _Attempt] = {}
        if load.reserves:
            reserving_fleet.ReservingFleet(
                self._scheduler, self._fleet, wire, self._finish_held
            )
        self._ends: list[End] = []
        self._idle_flows: dict[tuple[str, int], list[_Flow]] = collections.defaultdict(
            list
        )
        self._last_port = 1000
        self._demand_factor = 1.0

    def run(self) -> list[End]:
        """Run the load; return how requests ended, in the order of their ends."""
        for zone, share in zip(
            steered_fleet.ZONES, self._load.zone_shares, strict=True
        ):
            self._schedule_arrival(zone, share / sum(self._load.zone_shares))
        for event in self._load.events:
            self._scheduler.call_later(event.at_ms, self._begin_event, event)
            self._scheduler.call_later(event.until_ms, self._end_event, event)
        self._scheduler.run(self._load.duration_ms)
        return self._ends

    def _begin_event(self, event: open_scenario.Event) -> None:
        if event.kind == "cut":
            self._fleet.cut_zone = event.zone
        elif event.kind == "power_off":
            self._fleet.powered_off = True
        else:
            self._demand_factor = event.factor

    def _end_event(self, event: open_scenario.Event) -> None:
        if event.kind == "cut":
            self._fleet.cut_zone = ""
        elif event.kind == "power_off":
            self._fleet.powered_off = False
            self._fleet.start()
        else:
            self._demand_factor = 1.0

    def _schedule_arrival(self, zone: str, share: float) -> None:
        per_ms = self._load.requests_per_ms * share * self._demand_factor
        self._scheduler.call_later(
            self._rng.expovariate(per_ms), self._start_request, zone, share
        )

    def _start_request(self, zone: str, share: float) -> None:
        self._schedule_arrival(zone, share)
        kinds = self._load.kinds
        kind = self._rng.choices(kinds, [item.share for item in kinds])[0]
        request = _Request(kind, zone, self._rng.randrange(self._load.clients_per_zone))
        request.asked_ms = self._scheduler.now_ms
        self._scheduler.call_later(kind.timeout_ms, self._time_out, request)
        self._start_attempt(request)

    def _time_out(self, request: _Request) -> None:
        if not request.ended:
            self._record_end(request, None)

    def _record_end(self, request: _Request, took_ms: int | None) -> None:
        request.ended = True
        self._ends.append(End(request.kind, request.zone, request.asked_ms, took_ms))

    def _start_attempt(self, request: _Request) -> None:
        if request.ended:
            return
        request.tries += 1
        idle_flows = self._idle_flows[(request.zone, request.caller)]
        if request.kind.uses_long_flows and idle_flows:
            attempt = _Attempt(request, idle_flows.pop())
            self._schedule_timeout(attempt)
            self._send_request(attempt, RETRANSMIT_MS)
            return
        self._last_port += 1
        vm = self._rng.choice(self._fleet.vms_in_zone(request.zone))
        attempt = _Attempt(request, _Flow(request, self._last_port, vm))
        self._schedule_timeout(attempt)
        for retransmissions, delay_ms in enumerate(SYN_DELAYS_MS):
            self._scheduler.call_later(
                delay_ms, self._send_syn, attempt, retransmissions
            )
        self._scheduler.call_later(OPEN_TIMEOUT_MS, self._give_up_opening, attempt)

    def _schedule_timeout(self, attempt: _Attempt) -> None:
        request = attempt.request
        left_ms = request.asked_ms + request.kind.timeout_ms - self._scheduler.now_ms
        self._scheduler.call_later(left_ms, self._close, attempt)

    def _send_syn(self, attempt: _Attempt, retransmissions: int) -> None:
        flow = attempt.flow
        if flow.target is not None or flow.ended:
            return
        self._opening[flow.port] = attempt
        decision = self._steer(flow, packets.SYN, retransmissions, b"")
        if decision.outcome is not outcomes.Outcome.HELD:
            self._finish_opening(attempt, decision)

    def _finish_held(self, flow: model.FlowId, decision: outcomes.Decision) -> None:
        attempt = self._opening.get(flow.caller_port)
        if attempt is not None and not attempt.flow.ended:
            self._finish_opening(attempt, decision)

    def _finish_opening(self, attempt: _Attempt, decision: outcomes.Decision) -> None:
        flow = attempt.flow
        self._opening.pop(flow.port, None)
        if decision.datagram is not None and decision.address is None:
            self._fail(attempt, arrived=False)
            return
        target = self._reached(flow, decision)
        if target is not None and decision.target is not None:
            flow.target = target
            flow.cookie = decision.target.cookie
            self._scheduler.call_later(
                2 * HOP_MS, self._send_request, attempt, RETRANSMIT_MS
            )

    def _give_up_opening(self, attempt: _Attempt) -> None:
        if attempt.flow.target is None:
            self._fail(attempt, arrived=False)

    def _send_request(self, attempt: _Attempt, retransmit_ms: int) -> None:
        flow = attempt.flow
        if attempt.ended or flow.ended:
            return
        decision = self._steer(flow, packets.ACK, flow.acknowledged, b"GET\n")
        if decision.outcome is outcomes.Outcome.TARGET_DEAD:
            self._fail(attempt, arrived=attempt.arrived)
            return
        target = self._reached(flow, decision)
        if target is None:
            self._scheduler.call_later(
                retransmit_ms, self._send_request, attempt, 2 * retransmit_ms
            )
            return
        # A target acknowledges a request on arrival, long before it answers, so that
        # the caller does not retransmit it.
        attempt.arrived = True
        self._receive_request(target, attempt)

    def _receive_request(self, target: _Target, attempt: _Attempt) -> None:
        if target.busy_slots < target.server.slots:
            self._start_work(target, attempt)
        elif len(target.queue) < self._load.queue_limit:
            target.queue.append(attempt)
        else:
            self._receive_answer(attempt, REFUSAL_BYTES)
            self._fail(attempt, arrived=False)

    def _start_work(self, target: _Target, attempt: _Attempt) -> None:
        target.busy_slots += 1
        kind = attempt.request.kind
        # The mean of this lognormal distribution is 1.133.
        work_ms = self._rng.lognormvariate(0, 0.5) / 1.133 * kind.work_ms
        self._scheduler.call_later(
            work_ms * target.server.slowness, self._finish_work, target, attempt
        )

    def _finish_work(self, target: _Target, attempt: _Attempt) -> None:
        target.busy_slots -= 1
        if target.queue:
            self._start_work(target, target.queue.popleft())
        flow = attempt.flow
        cut = self._fleet.partitioned(flow.zone, target.zone)
        if cut or attempt.ended or flow.ended:
            return
        self._receive_answer(attempt, ANSWER_BYTES)
        request = attempt.request
        if not request.ended:
            self._record_end(
                request, self._scheduler.now_ms + HOP_MS - request.asked_ms
            )
        flow.requests_done += 1
        if (
            flow.kind.uses_long_flows
            and flow.requests_done < self._load.requests_per_flow
        ):
            attempt.ended = True
            self._idle_flows[(flow.zone, flow.caller)].append(flow)
        else:
            self._close(attempt)

    def _receive_answer(self, attempt: _Attempt, size: int) -> None:
        flow = attempt.flow
        flow.sequence += 4
        flow.acknowledged += size
        self._steer(flow, packets.ACK, flow.acknowledged, b"")

    def _fail(self, attempt: _Attempt, arrived: bool) -> None:
        if attempt.ended:
            return
        self._close(attempt)
        request = attempt.request
        if request.ended:
            return
        retry = not arrived or request.kind.uses_long_flows
        if retry and request.tries <= MAX_RETRIES:
            self._scheduler.call_later(RETRY_MS, self._start_attempt, request)
        else:
            self._record_end(request, None)

    def _close(self, attempt: _Attempt) -> None:
        flow = attempt.flow
        if flow.ended or attempt.ended:
            return
        attempt.ended = True
        flow.ended = True
        if flow.target is not None:
            self._steer(flow, packets.FIN | packets.ACK, flow.acknowledged, b"")

    def _steer(
        self, flow: _Flow, flags: int, acknowledged: int, data: bytes
    ) -> outcomes.Decision:
        number = self._load.kinds.index(flow.kind)
        state = steered_fleet.FlowState(
            flow.vm,
            flow.caller,
            flow.port,
            open_scenario.SERVICE_IP,
            open_scenario.FIRST_PORT + number,
            flow.sequence,
            flow.cookie,
        )
        return self._fleet.steer(state, flags, acknowledged, data)

    def _reached(self, flow: _Flow, decision: outcomes.Decision) -> _Target | None:
        if decision.target is None:
            return None
        target = self._targets[self._fleet.target_index(decision.target)]
        return None if self._fleet.partitioned(flow.zone, target.zone) else target


def worth_ratio(ends: typing.Iterable[End]) -> float:
    """Return the worth of requests over their worth if all were answered in time."""
    achieved = possible = 0.0
    for item in ends:
        achieved += item.worth
        possible += item.kind.worth
    return achieved / possible if possible else 1.0


def max_worth_ratio(load: open_scenario.Load) -> float:
    """Return the upper bound of the worth ratio under steady demand.

    The bound is reached if the servers, without any queues, do the requests that are
    worth most for their work, up to their capacity.
    """
    left_ms = load.capacity
    achieved = possible = 0.0
    total = sum(item.share for item in load.kinds)
    by_value = sorted(load.kinds, key=lambda item: item.work_ms / item.worth)
    for kind in by_value:
        per_ms = load.requests_per_ms * kind.share / total
        served = min(per_ms, left_ms / kind.work_ms)
        left_ms -= served * kind.work_ms
        achieved += served * kind.worth
        possible += per_ms * kind.worth
    return achieved / possible
