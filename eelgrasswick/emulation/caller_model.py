"""Model of callers in virtual time, for the command ``load``.

A caller opens a flow, retransmits an opening packet that is not answered, sends its
request when the flow is open, and gives up when the answer takes too long. After a
refusal it retries at the time that the refusal gives, as often as the scenario allows.
"""

import abc
import random
import typing

from eelgrasswick import packet
from eelgrasswick.emulation import model, oracle, outcome, scenario

HOP_MS: typing.Final = 1.0
# Times after the start of an attempt at which its opening packet is retransmitted.
SYN_RETRY_DELAYS_MS: typing.Final = (1000, 3000)
# Delay of a retry after a reset, and between retransmissions of a FIN.
RETRY_MS: typing.Final = 1000
# Number of deadlines after which a caller gives up an attempt.
GIVE_UP_DEADLINES: typing.Final = 4
# Time after the last arrival at which callers stop retrying.
RETRIES_END_MS: typing.Final = 5000
_FLAGS: typing.Final = packet.Flags
_SERVICE: typing.Final = packet.Address(bytes((10, 1, 0, 1)), 443)
_PORT_COUNT: typing.Final = 60_000
_FIRST_PORT: typing.Final = 1024


class _Flow:
    __slots__ = ("accepted", "attempt", "key", "syn", "target")

    def __init__(
        self, attempt: model.Attempt, key: packet.FlowKey, syn: packet.Packet
    ) -> None:
        self.attempt = attempt
        self.key = key
        self.syn = syn
        self.accepted = False
        self.target = ""


class Environment(abc.ABC):
    """The run that callers are part of, as they use it.

    Attributes:
        now_ms: Virtual time since the start of the run.
        scenario: The scenario that is run.
        tally: Counts how requests end.
        targets: All targets by name.
        truth: Records the work that each target gets.
    """

    now_ms: float
    scenario: scenario.Scenario
    tally: outcome.Tally
    targets: dict[str, model.Target]
    truth: oracle.GroundTruth

    @abc.abstractmethod
    def call_later(
        self, delay_ms: float, call: typing.Callable[..., None], *arguments: typing.Any
    ) -> None:
        """Schedule a call after a delay."""

    @abc.abstractmethod
    def deliver_request(self, item: packet.Packet, key: packet.FlowKey) -> bool:
        """Deliver a caller's packet to the flow's home; return False if it is lost."""

    @abc.abstractmethod
    def deliver_answer(
        self, item: packet.Packet, key: packet.FlowKey, name: str
    ) -> bool:
        """Deliver a target's packet to the flow's home; return False if it is lost."""


class Callers:
    """All callers of a run."""

    def __init__(self, run: Environment, seed: int) -> None:
        """Create the callers of a run.

        Args:
            run: The run.
            seed: Seed of the arrival times and of the choice of callers.
        """
        self._run = run
        self._load = run.scenario.load
        # The callers have a generator of their own, so that all policies get the same
        # arrivals.
        self._rng = random.Random(seed)
        self._flows: dict[bytes, _Flow] = {}
        self._requests: list[model.Request] = []
        self._ports_used = 0

    def start(self) -> None:
        """Schedule the first request; each one schedules the next."""
        self._run.call_later(0, self._start_request)

    def finish(self) -> None:
        """Record the end of requests that are still open when the run ends."""
        for request in self._requests:
            if not request.ended:
                refused = request.refused
                end = outcome.End.REFUSED if refused else outcome.End.SILENT
                self._record_end(request, end)

    # Arrival and attempts of requests.

    def _start_request(self) -> None:
        run = self._run
        if run.now_ms >= self._load.duration_ms:
            return
        works = run.scenario.works
        work = self._rng.choices(works, [item.share for item in works])[0]
        request = model.Request(
            len(self._requests), work, self._choose_caller(), run.now_ms
        )
        self._requests.append(request)
        self._start_attempt(request)
        rate = self._offered_load() * run.scenario.capacity / run.scenario.mean_work_ms
        if rate:
            run.call_later(self._rng.expovariate(rate), self._start_request)

    def _offered_load(self) -> float:
        load = self._load
        started = load.burst_at_ms and self._run.now_ms >= load.burst_at_ms
        if started and self._run.now_ms < load.burst_at_ms + load.burst_ms:
            return load.burst_of_capacity
        return load.of_capacity

    def _choose_caller(self) -> int:
        load = self._load
        hot = load.hot_callers
        if hot and self._rng.random() < load.hot_share:
            return self._rng.randrange(hot)
        return hot + self._rng.randrange(max(1, load.callers - hot))

    def _start_attempt(self, request: model.Request) -> None:
        run = self._run
        request.tries += 1
        request.refused = False
        request.attempt_ms = run.now_ms
        self._ports_used += 1
        ip = bytes((10, 9, request.caller // 250, request.caller % 250 + 1))
        local = packet.Address(ip, _FIRST_PORT + self._ports_used % _PORT_COUNT)
        key = packet.FlowKey(packet.Protocol.TCP, *local, *_SERVICE)
        attempt = model.Attempt(key.packed, request, request.tries)
        flow = _Flow(attempt, key, self._caller_packet(key, _FLAGS.SYN, b"Q"))
        self._flows[attempt.flow_key] = flow
        run.call_later(HOP_MS, self._send_syn, flow)
        for delay_ms in SYN_RETRY_DELAYS_MS:
            run.call_later(delay_ms, self._send_syn, flow)
        run.call_later(GIVE_UP_DEADLINES * self._load.deadline_ms, self._give_up, flow)

    def _send_syn(self, flow: _Flow) -> None:
        if self._is_pending(flow) and not flow.accepted:
            self._run.deliver_request(flow.syn, flow.key)

    def _give_up(self, flow: _Flow) -> None:
        if not self._is_pending(flow):
            return
        late = flow.accepted or flow.attempt.request.ran
        self._record_end(
            flow.attempt.request, outcome.End.LATE if late else outcome.End.SILENT
        )
        self._abort(flow)

    def _is_pending(self, flow: _Flow) -> bool:
        # A refusal ends the attempt, while its request may be retried.
        return self._flows.get(flow.attempt.flow_key) is flow and flow.attempt.alive

    def _abort(self, flow: _Flow) -> None:
        self._run.deliver_request(
            self._caller_packet(flow.key, _FLAGS.RST, b"R"), flow.key
        )
        if flow.target:
            self._run.targets[flow.target].close(flow.attempt.flow_key)
        self._flows.pop(flow.attempt.flow_key, None)

    # Packets from homes.

    def receive_at_target(self, name: str, payload: bytes) -> None:
        """Process a packet that a home sent to a target."""
        target = self._run.targets[name]
        flow = self._flows.get(payload[1:])
        if not target.up or flow is None or payload[:1] != b"Q":
            return
        if flow.accepted:
            return
        if not target.accept(flow.attempt):
            reset = _FLAGS.RST | _FLAGS.ACK
            self._run.deliver_answer(
                self._target_packet(flow.key, reset, b"R"), flow.key, name
            )
            return
        self._run.truth.record_work(name, flow.attempt.request.work.work_ms)
        syn_ack = self._target_packet(
            flow.key, _FLAGS.SYN | _FLAGS.ACK, b"S" + _encode_name(name)
        )
        self._run.deliver_answer(syn_ack, flow.key, name)

    def receive_at_caller(self, payload: bytes) -> None:
        """Process a packet that a home sent to a caller."""
        kind, flow_key, name = (
            payload[:1],
            payload[1:14],
            payload[14:].decode("latin-1"),
        )
        if kind == b"E":
            self._on_refusal(payload)
            return
        flow = self._flows.get(flow_key)
        if flow is None or not flow.attempt.alive:
            return
        if kind == b"S" and not flow.accepted:
            flow.accepted = True
            flow.target = name
            self._run.call_later(2 * HOP_MS, self._send_request, flow)
        elif kind == b"R":
            self._on_reset(flow)

    def _on_refusal(self, payload: bytes) -> None:
        item = packet.FouCodec().decode(payload)
        flow = self._flows.get(item.answer_key().packed)
        if flow is None or not flow.attempt.alive:
            return
        request = flow.attempt.request
        self._run.tally.refusals += 1
        request.refused = True
        self._run.tally.refused_ran += request.ran > 0
        del self._flows[flow.attempt.flow_key]
        text = payload[-item.payload_bytes :].decode()
        retry_ms = int(text.rpartition("=")[2])
        self._retry_later(request, retry_ms, outcome.End.REFUSED)

    def _on_reset(self, flow: _Flow) -> None:
        request = flow.attempt.request
        self._flows.pop(flow.attempt.flow_key, None)
        if flow.target:
            self._run.targets[flow.target].close(flow.attempt.flow_key)
            self._record_end(request, outcome.End.FAILED)
        else:
            self._retry_later(request, RETRY_MS, outcome.End.REFUSED)

    def _retry_later(
        self, request: model.Request, delay_ms: int, end: outcome.End
    ) -> None:
        if request.tries >= self._load.tries:
            self._record_end(request, end)
            return
        self._run.call_later(delay_ms, self._retry, request)

    def _retry(self, request: model.Request) -> None:
        if request.ended or self._run.now_ms > self._load.duration_ms + RETRIES_END_MS:
            return
        request.returned = True
        self._run.tally.returns += 1
        self._start_attempt(request)

    # Work of targets.

    def _send_request(self, flow: _Flow) -> None:
        target = self._run.targets[flow.target]
        if not target.up or not flow.attempt.alive:
            return
        if target.model.fails is scenario.Failing.RESET:
            self._run.deliver_answer(
                self._target_packet(flow.key, _FLAGS.RST, b"R", sequence=1),
                flow.key,
                flow.target,
            )
        elif target.model.fails is scenario.Failing.ANSWER:
            self._record_end(flow.attempt.request, outcome.End.FAILED)
            self._close(flow)
        else:
            target.enqueue(flow.attempt)
            self._start_work(target)

    def _start_work(self, target: model.Target) -> None:
        while (begun := target.begin(self._run.now_ms)) is not None:
            request = begun.attempt.request
            request.ran += 1
            self._run.tally.ran_twice += request.ran == 2
            wait_ms = self._run.now_ms - request.attempt_ms
            self._run.tally.record_wait(request.work, wait_ms)
            delay_ms = begun.done_ms - self._run.now_ms
            self._run.call_later(
                delay_ms, self._finish_work, target, begun.attempt, target.incarnation
            )

    def _finish_work(
        self, target: model.Target, attempt: model.Attempt, incarnation: int
    ) -> None:
        if incarnation != target.incarnation:
            return
        target.finish(attempt)
        self._start_work(target)
        flow = self._flows.get(attempt.flow_key)
        if flow is None or not attempt.alive:
            return
        request = attempt.request
        elapsed_ms = self._run.now_ms + 2 * HOP_MS - request.attempt_ms
        if request.work.hold_ms:
            self._run.call_later(
                request.work.hold_ms, self._finish_hold, flow, elapsed_ms
            )
        else:
            self._on_answer(flow, elapsed_ms)

    def _finish_hold(self, flow: _Flow, elapsed_ms: float) -> None:
        if flow.attempt.alive:
            self._on_answer(flow, elapsed_ms)

    def _on_answer(self, flow: _Flow, elapsed_ms: float) -> None:
        in_time = elapsed_ms <= self._load.deadline_ms
        end = outcome.End.IN_TIME if in_time else outcome.End.LATE
        self._record_end(flow.attempt.request, end)
        self._close(flow)

    def break_flow(self, attempt: model.Attempt) -> None:
        """Abort an accepted flow whose target has stopped."""
        flow = self._flows.get(attempt.flow_key)
        if flow is None or not attempt.alive:
            return
        if flow.accepted:
            self._record_end(attempt.request, outcome.End.BROKEN)
            self._abort(flow)

    # Ends of flows and requests.

    def _close(self, flow: _Flow) -> None:
        self._run.targets[flow.target].close(flow.attempt.flow_key)
        self._flows.pop(flow.attempt.flow_key, None)
        self._send_target_fin(flow, 0)
        self._run.call_later(2 * HOP_MS, self._send_caller_fin, flow, 0)

    def _send_target_fin(self, flow: _Flow, retransmissions: int) -> None:
        item = self._target_packet(flow.key, _FLAGS.FIN | _FLAGS.ACK, b"F")
        if (
            not self._run.deliver_answer(item, flow.key, flow.target)
            and retransmissions < 3
        ):
            self._run.call_later(
                RETRY_MS, self._send_target_fin, flow, retransmissions + 1
            )

    def _send_caller_fin(self, flow: _Flow, retransmissions: int) -> None:
        item = self._caller_packet(flow.key, _FLAGS.FIN | _FLAGS.ACK, b"F")
        if not self._run.deliver_request(item, flow.key) and retransmissions < 3:
            self._run.call_later(
                RETRY_MS, self._send_caller_fin, flow, retransmissions + 1
            )

    def _record_end(self, request: model.Request, end: outcome.End) -> None:
        request.ended = True
        self._run.tally.record_end(self._run.now_ms, request, end)

    @staticmethod
    def _caller_packet(key: packet.FlowKey, flags: int, kind: bytes) -> packet.Packet:
        source = packet.Address(key.caller_ip, key.caller_port)
        raw = kind + key.packed
        return packet.Packet(key.protocol, source, _SERVICE, flags, 1, 1, 0, raw)

    @staticmethod
    def _target_packet(
        key: packet.FlowKey, flags: int, kind: bytes, sequence: int = 0
    ) -> packet.Packet:
        caller = packet.Address(key.caller_ip, key.caller_port)
        raw = kind[:1] + key.packed + kind[1:]
        return packet.Packet(key.protocol, _SERVICE, caller, flags, sequence, 1, 0, raw)


def _encode_name(text: str) -> bytes:
    return text.encode()
