"""Simulation of loads on flows that carry a cookie of their target.

The steering of the product, with its placement, detection of silent targets, liveness
and reports, runs in virtual time with models of callers and targets. A caller opens a
long flow, sends a request, pauses and sends the next one. A target has slots, a speed
and a short queue. A seed decides all random choices, so that a load can be run with two
settings and the results compared.
"""

import collections
import random
import typing

from eelgrasswick.cookie import codec, outcomes
from eelgrasswick.emulation import cookie_scenario, packets, scheduler, steered_fleet

HOP_MS: typing.Final = 1
# Times after which a caller sends an opening packet and its retransmissions.
SYN_DELAYS_MS: typing.Final = (0, 200, 600)
OPEN_TIMEOUT_MS: typing.Final = 1400
RETRANSMIT_MS: typing.Final = 200
# Requests that a target queues beyond those it works on; it refuses further ones.
QUEUE_LIMIT: typing.Final = 8
_REFUSALS: typing.Final = frozenset(
    {outcomes.Outcome.NO_TARGET, outcomes.Outcome.EVACUATED, outcomes.Outcome.COLD}
)


class Result(typing.NamedTuple):
    """Results of a run, as observed by callers.

    Attributes:
        asked: Number of requests.
        in_time: Share of ended requests answered within the objective.
        served: Share of ended requests that were answered.
        p99_ms: The 99th percentile of the times to an answer.
        busiest: Requests of the busiest target over the mean, relative to strength.
        crossed: Share of the flows that were placed in a zone other than the caller's.
    """

    asked: int
    in_time: float
    served: float
    p99_ms: int
    busiest: float
    crossed: float


class End(typing.NamedTuple):
    """How a request ended.

    Attributes:
        at_ms: Virtual time at which it ended.
        took_ms: Time from its first attempt to the answer; None without an answer.
    """

    at_ms: int
    took_ms: int | None


class Opening(typing.NamedTuple):
    """The opening of a flow that a target accepted.

    Attributes:
        at_ms: Virtual time of the opening.
        target: Index of the target.
        cold: True if the target had recently started.
    """

    at_ms: int
    target: int
    cold: bool


class _Target:
    def __init__(self, number: int, server: cookie_scenario.Server) -> None:
        self.number = number
        self.server = server
        self.zone = server.zone
        self.silent = False
        self.hangs = False
        self.cold_until_ms = 0
        self.busy_slots = 0
        self.queue: collections.deque[_Flow] = collections.deque()
        self.requests_begun = 0


class _Flow:
    def __init__(self, port: int, zone: str, vm: int, requests: int) -> None:
        self.port = port
        self.zone = zone
        self.vm = vm
        self.requests_left = requests
        self.target: _Target | None = None
        self.cookie = 0
        self.sequence = 1
        self.acknowledged = 0
        self.request_began_ms = 0
        # The token changes with each request and each answer, so that timers and work
        # of an earlier request have no effect.
        self.request_token = 0
        self.arrived_token = 0
        self.ended = False


class Simulation:
    """A run of a load."""

    def __init__(
        self,
        load: cookie_scenario.Load,
        wire: codec.SegmentCodec,
        seed: int,
        vms_per_zone: int = 3,
    ) -> None:
        """Create the fleet, targets and callers of a run.

        Args:
            load: The load to run.
            wire: Decodes and encodes packets.
            seed: Seed of all random choices.
            vms_per_zone: Number of entry VMs in each zone.
        """
        self._load = load
        self._rng = random.Random(seed)
        self._scheduler = scheduler.Scheduler()
        self._targets = [_Target(n, item) for n, item in enumerate(load.servers)]
        self._fleet = steered_fleet.Fleet(
            self._scheduler,
            cookie_scenario.Reader(load.servers, load.service),
            wire,
            self._targets,
            vms_per_zone,
            random.Random(seed),
        )
        self._ends: list[End] = []
        self._openings: list[Opening] = []
        self._request_count = self._accepted_count = self._cross_zone_count = 0
        self._last_port = 1000

    @property
    def ends(self) -> typing.Sequence[End]:
        """How the requests ended, in the order of their ends."""
        return self._ends

    @property
    def openings(self) -> typing.Sequence[Opening]:
        """All flows that targets accepted, in the order of their openings."""
        return self._openings

    def run(self) -> Result:
        """Run the load to its end and return the results."""
        for zone in steered_fleet.ZONES:
            for _ in range(self._load.flows_per_zone):
                self._scheduler.call_later(
                    self._rng.randrange(1000), self._start_flow, zone
                )
        for event in self._load.events:
            self._scheduler.call_later(event.at_ms, self._begin_event, event)
        self._scheduler.run(self._load.duration_ms)
        return self._result()

    def _begin_event(self, event: cookie_scenario.Event) -> None:
        if event.kind == "dark":
            self._targets[int(event.subject)].silent = True
        elif event.kind == "hang":
            self._targets[int(event.subject)].hangs = True
        elif event.kind == "cut":
            self._fleet.cut_zone = str(event.subject)
        elif event.kind == "power_off":
            self._fleet.powered_off = True
        elif event.kind == "evacuate":
            self._write_evacuation(str(event.subject), b"{}")
        elif event.kind == "cold_return":
            for target in self._targets_in_zone(event):
                target.silent = True
        else:
            zone = str(event.subject)
            for _ in range(int((event.factor - 1) * self._load.flows_per_zone)):
                self._start_flow(zone)
        self._scheduler.call_later(event.until_ms - event.at_ms, self._end_event, event)

    def _end_event(self, event: cookie_scenario.Event) -> None:
        if event.kind == "dark":
            self._targets[int(event.subject)].silent = False
        elif event.kind == "hang":
            self._targets[int(event.subject)].hangs = False
        elif event.kind == "cut":
            self._fleet.cut_zone = ""
        elif event.kind == "power_off":
            self._fleet.powered_off = False
            self._fleet.start()
        elif event.kind == "evacuate":
            self._write_evacuation(str(event.subject), None)
        elif event.kind == "cold_return":
            for target in self._targets_in_zone(event):
                self._restart(target)

    def _targets_in_zone(self, event: cookie_scenario.Event) -> list[_Target]:
        return [item for item in self._targets if item.zone == event.subject]

    def _restart(self, target: _Target) -> None:
        """Restart a target; it is cold, and its queue is empty."""
        target.silent = False
        target.queue.clear()
        target.cold_until_ms = self._scheduler.now_ms + self._load.service.cold_ms
        self._fleet.restart(target.number, str(self._scheduler.now_ms).encode())

    def _write_evacuation(self, zone: str, value: bytes | None) -> None:
        self._fleet.write(steered_fleet.EVACUATION_PREFIX + zone, value)

    def _start_flow(self, zone: str, request_began_ms: int | None = None) -> None:
        self._last_port += 1
        vm = self._rng.choice(self._fleet.vms_in_zone(zone))
        flow = _Flow(self._last_port, zone, vm, self._load.requests_per_flow)
        # The time to an answer includes the opening of the flow, and for a request
        # that is retried also its earlier attempts.
        flow.request_began_ms = (
            self._scheduler.now_ms if request_began_ms is None else request_began_ms
        )
        self._request_count += request_began_ms is None
        for retransmissions, delay_ms in enumerate(SYN_DELAYS_MS):
            self._scheduler.call_later(delay_ms, self._send_syn, flow, retransmissions)
        self._scheduler.call_later(OPEN_TIMEOUT_MS, self._give_up_opening, flow)

    def _send_syn(self, flow: _Flow, retransmissions: int) -> None:
        if flow.target is not None or flow.ended:
            return
        decision = self._steer(flow, packets.SYN, retransmissions, b"")
        target = self._reached_target(flow, decision)
        if decision.outcome in _REFUSALS:
            self._fail(flow)
        elif target is not None and decision.target is not None:
            flow.target = target
            flow.cookie = decision.target.cookie
            self._accepted_count += 1
            cold = self._scheduler.now_ms < target.cold_until_ms
            self._openings.append(Opening(self._scheduler.now_ms, target.number, cold))
            self._cross_zone_count += target.server.zone != flow.zone
            self._scheduler.call_later(2 * HOP_MS, self._start_request, flow)

    def _give_up_opening(self, flow: _Flow) -> None:
        if flow.target is None and not flow.ended:
            self._fail(flow)

    def _start_request(self, flow: _Flow) -> None:
        if flow.ended:
            return
        flow.requests_left -= 1
        flow.request_token += 1
        self._send_request(flow, flow.request_token, RETRANSMIT_MS)
        self._scheduler.call_later(
            self._load.timeout_ms, self._time_out, flow, flow.request_token
        )

    def _send_request(self, flow: _Flow, token: int, retransmit_ms: int) -> None:
        if flow.ended or flow.request_token != token:
            return
        decision = self._steer(flow, packets.ACK, flow.acknowledged, b"GET\n")
        if decision.outcome is outcomes.Outcome.TARGET_DEAD:
            self._retry_on_new_flow(flow)
            return
        target = self._reached_target(flow, decision)
        if target is not None and flow.arrived_token != token:
            flow.arrived_token = token
            self._receive_request(target, flow)
        self._scheduler.call_later(
            retransmit_ms, self._send_request, flow, token, 2 * retransmit_ms
        )

    def _receive_request(self, target: _Target, flow: _Flow) -> None:
        if target.busy_slots < target.server.slots:
            self._start_work(target, flow)
        elif len(target.queue) < QUEUE_LIMIT:
            target.queue.append(flow)
        else:
            self._fail(flow)

    def _start_work(self, target: _Target, flow: _Flow) -> None:
        target.busy_slots += 1
        target.requests_begun += 1
        # The mean of this lognormal distribution is 1.133.
        work_ms = self._rng.lognormvariate(0, 0.5) / 1.133 * self._load.work_ms
        took_ms = work_ms * target.server.slowness
        if self._scheduler.now_ms < target.cold_until_ms:
            took_ms *= cookie_scenario.COLD_SLOWNESS
        self._scheduler.call_later(
            took_ms, self._finish_work, target, flow, flow.request_token
        )

    def _finish_work(self, target: _Target, flow: _Flow, token: int) -> None:
        target.busy_slots -= 1
        if target.queue:
            self._start_work(target, target.queue.popleft())
        cut = self._fleet.partitioned(flow.zone, target.server.zone)
        if (
            target.silent
            or target.hangs
            or cut
            or flow.ended
            or flow.request_token != token
        ):
            return
        self._ends.append(
            End(
                self._scheduler.now_ms,
                self._scheduler.now_ms + HOP_MS - flow.request_began_ms,
            )
        )
        flow.request_token += 1
        flow.sequence += 4
        flow.acknowledged += 2400
        self._steer(flow, packets.ACK, flow.acknowledged, b"")
        if flow.requests_left <= 0:
            self._steer(flow, packets.FIN | packets.ACK, flow.acknowledged, b"")
            flow.ended = True
            self._scheduler.call_later(
                self._draw_pause_ms(), self._start_flow, flow.zone
            )
            return
        self._scheduler.call_later(
            self._draw_pause_ms(), self._start_next_request, flow
        )

    def _start_next_request(self, flow: _Flow) -> None:
        self._request_count += 1
        flow.request_began_ms = self._scheduler.now_ms
        self._start_request(flow)

    def _time_out(self, flow: _Flow, token: int) -> None:
        if not flow.ended and flow.request_token == token:
            self._fail(flow)

    def _retry_on_new_flow(self, flow: _Flow) -> None:
        # A caller whose flow was reset repeats its request on a new flow.
        flow.ended = True
        self._start_flow(flow.zone, flow.request_began_ms)

    def _fail(self, flow: _Flow) -> None:
        self._ends.append(End(self._scheduler.now_ms, None))
        flow.ended = True
        self._scheduler.call_later(self._draw_pause_ms(), self._start_flow, flow.zone)

    def _draw_pause_ms(self) -> float:
        return self._rng.expovariate(1 / self._load.pause_ms)

    def _steer(
        self, flow: _Flow, flags: int, acknowledged: int, data: bytes
    ) -> outcomes.Decision:
        state = steered_fleet.FlowState(
            flow.vm,
            1,
            flow.port,
            cookie_scenario.SERVICE_IP,
            cookie_scenario.PORT,
            flow.sequence,
            flow.cookie,
        )
        return self._fleet.steer(state, flags, acknowledged, data)

    def _reached_target(
        self, flow: _Flow, decision: outcomes.Decision
    ) -> _Target | None:
        if decision.target is None:
            return None
        target = self._targets[self._fleet.target_index(decision.target)]
        cut = self._fleet.partitioned(flow.zone, target.server.zone)
        return None if target.silent or cut else target

    def _result(self) -> Result:
        times_ms = sorted(
            item.took_ms for item in self._ends if item.took_ms is not None
        )
        loads = [
            item.requests_begun * item.server.slowness / item.server.slots
            for item in self._targets
            if not item.silent
        ]
        ended = len(self._ends)
        return Result(
            self._request_count,
            sum(item <= self._load.objective_ms for item in times_ms) / max(1, ended),
            len(times_ms) / max(1, ended),
            times_ms[len(times_ms) * 99 // 100] if times_ms else 0,
            max(loads) * len(loads) / max(1e-9, sum(loads)),
            self._cross_zone_count / max(1, self._accepted_count),
        )
