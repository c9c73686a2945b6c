"""Loads on flows that name their target, in virtual time.

Real steering, with its placement, silence, liveness and reports, is driven by
callers and targets that are models: a caller opens a long flow, asks, pauses and
asks again; a target has slots, a speed and a short queue. A seed decides all
random choices, so one load can be played under two settings and compared.
"""

import collections
import random
import typing

from eelgrasswick.cookie import codec, steering
from eelgrasswick.emulation import agenda, cookie_scenario, packets, steered_fleet

HOP_MS: typing.Final = 1
SYN_AFTER_MS: typing.Final = (0, 200, 600)
OPEN_MS: typing.Final = 1400
RESEND_MS: typing.Final = 200
QUEUE: typing.Final = 8
_REFUSED: typing.Final = frozenset(
    {steering.Outcome.NO_TARGET, steering.Outcome.EVACUATED, steering.Outcome.COLD}
)


class Result(typing.NamedTuple):
    """What callers got.

    Attributes:
        asked: Requests.
        in_time: Part answered within the aim.
        served: Part answered at all.
        p99_ms: Time within which 99% of the answers came.
        busiest: Requests at the busiest target for its strength over the mean.
        crossed: Part of the flows that were placed in another zone.
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
        at_ms: When.
        took_ms: Time from its first try to the answer; None without one.
    """

    at_ms: int
    took_ms: int | None


class Opening(typing.NamedTuple):
    """A flow that a target took.

    Attributes:
        at_ms: When.
        target: Number of the target.
        cold: True when it had just started.
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
        self.busy = 0
        self.queue: collections.deque[_Flow] = collections.deque()
        self.ran = 0


class _Flow:
    def __init__(self, port: int, zone: str, vm: int, left: int) -> None:
        self.port = port
        self.zone = zone
        self.vm = vm
        self.left = left
        self.target: _Target | None = None
        self.cookie = 0
        self.sequence = 1
        self.acknowledged = 0
        self.asked_ms = 0
        self.waiting = 0
        self.arrived = 0
        self.ended = False


class Simulation:
    """One run of a load."""

    def __init__(
        self,
        load: cookie_scenario.Load,
        wire: codec.SegmentCodec,
        seed: int,
        vms_per_zone: int = 3,
    ) -> None:
        """Prepare a run.

        Args:
            load: What is played.
            wire: Reads and writes packets.
            seed: Decides all random choices.
            vms_per_zone: Entry VMs in each zone.
        """
        self._load = load
        self._rng = random.Random(seed)
        self._due = agenda.Scheduler()
        self._targets = [_Target(n, item) for n, item in enumerate(load.servers)]
        self._fleet = steered_fleet.Fleet(
            self._due,
            cookie_scenario.Reader(load.servers, load.service),
            wire,
            self._targets,
            vms_per_zone,
            random.Random(seed),
        )
        self._ends: list[End] = []
        self._openings: list[Opening] = []
        self._asked = self._opened = self._crossed = 0
        self._port = 1000

    @property
    def ends(self) -> typing.Sequence[End]:
        """How all requests ended, in order."""
        return self._ends

    @property
    def openings(self) -> typing.Sequence[Opening]:
        """All flows that targets took, in order."""
        return self._openings

    def run(self) -> Result:
        """Play the load to its end."""
        for zone in steered_fleet.ZONES:
            for _ in range(self._load.flows_per_zone):
                self._due.call_later(self._rng.randrange(1000), self._new_flow, zone)
        for trouble in self._load.events:
            self._due.call_later(trouble.at_ms, self._begin, trouble)
        self._due.run(self._load.duration_ms)
        return self._result()

    def _begin(self, trouble: cookie_scenario.Event) -> None:
        if trouble.kind == "dark":
            self._targets[int(trouble.subject)].silent = True
        elif trouble.kind == "hang":
            self._targets[int(trouble.subject)].hangs = True
        elif trouble.kind == "cut":
            self._fleet.cut_zone = str(trouble.subject)
        elif trouble.kind == "power_off":
            self._fleet.powered_off = True
        elif trouble.kind == "evacuate":
            self._write_evacuation(str(trouble.subject), b"{}")
        elif trouble.kind == "cold_return":
            for target in self._in_zone(trouble):
                target.silent = True
        else:
            zone = str(trouble.subject)
            for _ in range(int((trouble.factor - 1) * self._load.flows_per_zone)):
                self._new_flow(zone)
        self._due.call_later(
            trouble.until_ms - trouble.at_ms, self._end_trouble, trouble
        )

    def _end_trouble(self, trouble: cookie_scenario.Event) -> None:
        if trouble.kind == "dark":
            self._targets[int(trouble.subject)].silent = False
        elif trouble.kind == "hang":
            self._targets[int(trouble.subject)].hangs = False
        elif trouble.kind == "cut":
            self._fleet.cut_zone = ""
        elif trouble.kind == "power_off":
            self._fleet.powered_off = False
            self._fleet.start()
        elif trouble.kind == "evacuate":
            self._write_evacuation(str(trouble.subject), None)
        elif trouble.kind == "cold_return":
            for target in self._in_zone(trouble):
                self._restart(target)

    def _in_zone(self, trouble: cookie_scenario.Event) -> list[_Target]:
        return [item for item in self._targets if item.zone == trouble.subject]

    def _restart(self, target: _Target) -> None:
        """Start a server anew; it is cold and holds nothing of before."""
        target.silent = False
        target.queue.clear()
        target.cold_until_ms = self._due.now_ms + self._load.service.cold_ms
        self._fleet.restart(target.number, str(self._due.now_ms).encode())

    def _write_evacuation(self, zone: str, value: bytes | None) -> None:
        self._fleet.write(steered_fleet.EVACUATION_PREFIX + zone, value)

    def _new_flow(self, zone: str, asked_ms: int | None = None) -> None:
        self._port += 1
        vm = self._rng.choice(self._fleet.vms_in_zone(zone))
        flow = _Flow(self._port, zone, vm, self._load.requests_per_flow)
        # The first request of a flow waits for it to open; one that is asked
        # again counts from its first try.
        flow.asked_ms = self._due.now_ms if asked_ms is None else asked_ms
        self._asked += asked_ms is None
        for copies, delay_ms in enumerate(SYN_AFTER_MS):
            self._due.call_later(delay_ms, self._open, flow, copies)
        self._due.call_later(OPEN_MS, self._give_up_opening, flow)

    def _open(self, flow: _Flow, copies: int) -> None:
        if flow.target is not None or flow.ended:
            return
        decision = self._steer(flow, packets.SYN, copies, b"")
        target = self._reached(flow, decision)
        if decision.outcome in _REFUSED:
            self._fail(flow)
        elif target is not None and decision.target is not None:
            flow.target = target
            flow.cookie = decision.target.cookie
            self._opened += 1
            cold = self._due.now_ms < target.cold_until_ms
            self._openings.append(Opening(self._due.now_ms, target.number, cold))
            self._crossed += target.server.zone != flow.zone
            self._due.call_later(2 * HOP_MS, self._ask, flow)

    def _give_up_opening(self, flow: _Flow) -> None:
        if flow.target is None and not flow.ended:
            self._fail(flow)

    def _ask(self, flow: _Flow) -> None:
        if flow.ended:
            return
        flow.left -= 1
        flow.waiting += 1
        self._send_request(flow, flow.waiting, RESEND_MS)
        self._due.call_later(self._load.timeout_ms, self._time_out, flow, flow.waiting)

    def _send_request(self, flow: _Flow, waiting: int, wait_ms: int) -> None:
        if flow.ended or flow.waiting != waiting:
            return
        decision = self._steer(flow, packets.ACK, flow.acknowledged, b"GET\n")
        if decision.outcome is steering.Outcome.TARGET_DEAD:
            self._move(flow)
            return
        target = self._reached(flow, decision)
        if target is not None and flow.arrived != waiting:
            flow.arrived = waiting
            self._arrive(target, flow)
        self._due.call_later(wait_ms, self._send_request, flow, waiting, 2 * wait_ms)

    def _arrive(self, target: _Target, flow: _Flow) -> None:
        if target.busy < target.server.slots:
            self._work(target, flow)
        elif len(target.queue) < QUEUE:
            target.queue.append(flow)
        else:
            self._fail(flow)

    def _work(self, target: _Target, flow: _Flow) -> None:
        target.busy += 1
        target.ran += 1
        work_ms = self._rng.lognormvariate(0, 0.5) / 1.133 * self._load.work_ms
        took_ms = work_ms * target.server.slowness
        if self._due.now_ms < target.cold_until_ms:
            took_ms *= cookie_scenario.COLD_SLOWNESS
        self._due.call_later(took_ms, self._done, target, flow, flow.waiting)

    def _done(self, target: _Target, flow: _Flow, waiting: int) -> None:
        target.busy -= 1
        if target.queue:
            self._work(target, target.queue.popleft())
        cut = self._fleet.partitioned(flow.zone, target.server.zone)
        if (
            target.silent
            or target.hangs
            or cut
            or flow.ended
            or flow.waiting != waiting
        ):
            return
        self._ends.append(
            End(self._due.now_ms, self._due.now_ms + HOP_MS - flow.asked_ms)
        )
        flow.waiting += 1
        flow.sequence += 4
        flow.acknowledged += 2400
        self._steer(flow, packets.ACK, flow.acknowledged, b"")
        if flow.left <= 0:
            self._steer(flow, packets.FIN | packets.ACK, flow.acknowledged, b"")
            flow.ended = True
            self._due.call_later(self._pause(), self._new_flow, flow.zone)
            return
        self._due.call_later(self._pause(), self._ask_next, flow)

    def _ask_next(self, flow: _Flow) -> None:
        self._asked += 1
        flow.asked_ms = self._due.now_ms
        self._ask(flow)

    def _time_out(self, flow: _Flow, waiting: int) -> None:
        if not flow.ended and flow.waiting == waiting:
            self._fail(flow)

    def _move(self, flow: _Flow) -> None:
        # A caller whose flow was reset asks again on a new one.
        flow.ended = True
        self._new_flow(flow.zone, flow.asked_ms)

    def _fail(self, flow: _Flow) -> None:
        self._ends.append(End(self._due.now_ms, None))
        flow.ended = True
        self._due.call_later(self._pause(), self._new_flow, flow.zone)

    def _pause(self) -> float:
        return self._rng.expovariate(1 / self._load.pause_ms)

    def _steer(
        self, flow: _Flow, flags: int, acknowledged: int, data: bytes
    ) -> steering.Decision:
        stream = steered_fleet.FlowState(
            flow.vm,
            1,
            flow.port,
            cookie_scenario.SERVICE_IP,
            cookie_scenario.PORT,
            flow.sequence,
            flow.cookie,
        )
        return self._fleet.steer(stream, flags, acknowledged, data)

    def _reached(self, flow: _Flow, decision: steering.Decision) -> _Target | None:
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
            item.ran * item.server.slowness / item.server.slots
            for item in self._targets
            if not item.silent
        ]
        done = len(self._ends)
        return Result(
            self._asked,
            sum(item <= self._load.objective_ms for item in times_ms) / max(1, done),
            len(times_ms) / max(1, done),
            times_ms[len(times_ms) * 99 // 100] if times_ms else 0,
            max(loads) * len(loads) / max(1e-9, sum(loads)),
            self._crossed / max(1, self._opened),
        )
