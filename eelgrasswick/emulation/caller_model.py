"""Callers in virtual time, for the command ``load``.

A caller opens a flow, repeats an opening packet that nobody answers, sends its
request when the flow is open, and gives up when the answer takes too long.
Refused, it returns when the refusal says, as often as the scenario allows.
"""

import abc
import random
import typing

from eelgrasswick import packet
from eelgrasswick.emulation import model, oracle, outcome, scenario

HOP_MS: typing.Final = 1.0
SYN_MS: typing.Final = (1000, 3000)
REPEAT_MS: typing.Final = 1000
PATIENCE: typing.Final = 4
LAST_MS: typing.Final = 5000
_FLAGS: typing.Final = packet.Flags
_SERVICE: typing.Final = packet.Address(bytes((10, 1, 0, 1)), 443)
_PORTS: typing.Final = 60_000
_FIRST_PORT: typing.Final = 1024


class _Live:
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
    """What callers need of the run that they are part of.

    Attributes:
        now_ms: Present time of the run.
        scenario: What is played.
        tally: Counts what callers get.
        targets: By name.
        truth: Takes what each target really got.
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
        """Call something after a delay."""

    @abc.abstractmethod
    def request(self, item: packet.Packet, key: packet.FlowKey) -> bool:
        """Bring a caller's packet to the flow's home; False when it is lost."""

    @abc.abstractmethod
    def answer(self, item: packet.Packet, key: packet.FlowKey, name: str) -> bool:
        """Bring a target's packet to the flow's home; False when it is lost."""


class Callers:
    """All callers of a run."""

    def __init__(self, run: Environment, seed: int) -> None:
        """Call into one run, at times that follow from a seed."""
        self._run = run
        self._load = run.scenario.load
        # Of its own, so that all policies meet the same arrivals.
        self._rng = random.Random(seed)
        self._live: dict[bytes, _Live] = {}
        self._requests: list[model.Request] = []
        self._ports = 0

    def start(self) -> None:
        """Let requests come from now on."""
        self._run.call_later(0, self._arrive)

    def finish(self) -> None:
        """Count the requests that never ended."""
        for request in self._requests:
            if not request.ended:
                refused = request.refused
                end = outcome.End.REFUSED if refused else outcome.End.SILENT
                self._end(request, end)

    # Arrivals and attempts.

    def _arrive(self) -> None:
        run = self._run
        if run.now_ms >= self._load.duration_ms:
            return
        works = run.scenario.works
        work = self._rng.choices(works, [item.share for item in works])[0]
        request = model.Request(len(self._requests), work, self._caller(), run.now_ms)
        self._requests.append(request)
        self._attempt(request)
        rate = self._offered() * run.scenario.capacity / run.scenario.mean_work_ms
        if rate:
            run.call_later(self._rng.expovariate(rate), self._arrive)

    def _offered(self) -> float:
        load = self._load
        begun = load.burst_at_ms and self._run.now_ms >= load.burst_at_ms
        if begun and self._run.now_ms < load.burst_at_ms + load.burst_ms:
            return load.burst_of_capacity
        return load.of_capacity

    def _caller(self) -> int:
        load = self._load
        hot = load.hot_callers
        if hot and self._rng.random() < load.hot_share:
            return self._rng.randrange(hot)
        return hot + self._rng.randrange(max(1, load.callers - hot))

    def _attempt(self, request: model.Request) -> None:
        run = self._run
        request.tries += 1
        request.refused = False
        request.attempt_ms = run.now_ms
        self._ports += 1
        ip = bytes((10, 9, request.caller // 250, request.caller % 250 + 1))
        local = packet.Address(ip, _FIRST_PORT + self._ports % _PORTS)
        key = packet.FlowKey(packet.Protocol.TCP, *local, *_SERVICE)
        attempt = model.Attempt(key.packed, request, request.tries)
        live = _Live(attempt, key, self._packet(key, _FLAGS.SYN, b"Q"))
        self._live[attempt.flow] = live
        run.call_later(HOP_MS, self._open, live)
        for delay_ms in SYN_MS:
            run.call_later(delay_ms, self._open, live)
        run.call_later(PATIENCE * self._load.deadline_ms, self._give_up, live)

    def _open(self, live: _Live) -> None:
        if self._waits(live) and not live.accepted:
            self._run.request(live.syn, live.key)

    def _give_up(self, live: _Live) -> None:
        if not self._waits(live):
            return
        late = live.accepted or live.attempt.request.ran
        self._end(
            live.attempt.request, outcome.End.LATE if late else outcome.End.SILENT
        )
        self._leave(live)

    def _waits(self, live: _Live) -> bool:
        # A refused attempt is over although its request is not.
        return self._live.get(live.attempt.flow) is live and live.attempt.alive

    def _leave(self, live: _Live) -> None:
        self._run.request(self._packet(live.key, _FLAGS.RST, b"R"), live.key)
        if live.target:
            self._run.targets[live.target].close(live.attempt.flow)
        self._live.pop(live.attempt.flow, None)

    # Packets that arrive.

    def at_target(self, name: str, payload: bytes) -> None:
        """Handle a packet that a home sent to a target."""
        target = self._run.targets[name]
        live = self._live.get(payload[1:])
        if not target.up or live is None or payload[:1] != b"Q":
            return
        if live.accepted:
            return
        if not target.accept(live.attempt):
            reset = _FLAGS.RST | _FLAGS.ACK
            self._run.answer(self._answer(live.key, reset, b"R"), live.key, name)
            return
        self._run.truth.record_work(name, live.attempt.request.work.work_ms)
        opened = self._answer(live.key, _FLAGS.SYN | _FLAGS.ACK, b"S" + _name(name))
        self._run.answer(opened, live.key, name)

    def at_caller(self, payload: bytes) -> None:
        """Handle a packet that a home sent to a caller."""
        kind, flow, name = payload[:1], payload[1:14], payload[14:].decode("latin-1")
        if kind == b"E":
            self._refused(payload)
            return
        live = self._live.get(flow)
        if live is None or not live.attempt.alive:
            return
        if kind == b"S" and not live.accepted:
            live.accepted = True
            live.target = name
            self._run.call_later(2 * HOP_MS, self._ask, live)
        elif kind == b"R":
            self._reset(live)

    def _refused(self, payload: bytes) -> None:
        item = packet.FouCodec().decode(payload)
        live = self._live.get(item.answer_key().packed)
        if live is None or not live.attempt.alive:
            return
        request = live.attempt.request
        self._run.tally.refusals += 1
        request.refused = True
        self._run.tally.refused_ran += request.ran > 0
        del self._live[live.attempt.flow]
        text = payload[-item.payload_bytes :].decode()
        retry_ms = int(text.rpartition("=")[2])
        self._again(request, retry_ms, outcome.End.REFUSED)

    def _reset(self, live: _Live) -> None:
        request = live.attempt.request
        self._live.pop(live.attempt.flow, None)
        if live.target:
            self._run.targets[live.target].close(live.attempt.flow)
            self._end(request, outcome.End.FAILED)
        else:
            self._again(request, REPEAT_MS, outcome.End.REFUSED)

    def _again(self, request: model.Request, delay_ms: int, end: outcome.End) -> None:
        if request.tries >= self._load.tries:
            self._end(request, end)
            return
        self._run.call_later(delay_ms, self._return, request)

    def _return(self, request: model.Request) -> None:
        if request.ended or self._run.now_ms > self._load.duration_ms + LAST_MS:
            return
        request.returned = True
        self._run.tally.returns += 1
        self._attempt(request)

    # Work.

    def _ask(self, live: _Live) -> None:
        target = self._run.targets[live.target]
        if not target.up or not live.attempt.alive:
            return
        if target.model.fails is scenario.Failing.RESET:
            self._run.answer(
                self._answer(live.key, _FLAGS.RST, b"R", sequence=1),
                live.key,
                live.target,
            )
        elif target.model.fails is scenario.Failing.ANSWER:
            self._end(live.attempt.request, outcome.End.FAILED)
            self._close(live)
        else:
            target.enqueue(live.attempt)
            self._work(target)

    def _work(self, target: model.Target) -> None:
        while (begun := target.begin(self._run.now_ms)) is not None:
            request = begun.attempt.request
            request.ran += 1
            self._run.tally.ran_twice += request.ran == 2
            wait_ms = self._run.now_ms - request.attempt_ms
            self._run.tally.record_wait(request.work, wait_ms)
            delay_ms = begun.done_ms - self._run.now_ms
            self._run.call_later(
                delay_ms, self._done, target, begun.attempt, target.incarnation
            )

    def _done(self, target: model.Target, attempt: model.Attempt, life: int) -> None:
        if life != target.incarnation:
            return
        target.finish(attempt)
        self._work(target)
        live = self._live.get(attempt.flow)
        if live is None or not attempt.alive:
            return
        request = attempt.request
        taken_ms = self._run.now_ms + 2 * HOP_MS - request.attempt_ms
        if request.work.hold_ms:
            self._run.call_later(request.work.hold_ms, self._held, live, taken_ms)
        else:
            self._answered(live, taken_ms)

    def _held(self, live: _Live, taken_ms: float) -> None:
        if live.attempt.alive:
            self._answered(live, taken_ms)

    def _answered(self, live: _Live, taken_ms: float) -> None:
        in_time = taken_ms <= self._load.deadline_ms
        end = outcome.End.IN_TIME if in_time else outcome.End.LATE
        self._end(live.attempt.request, end)
        self._close(live)

    def cut(self, attempt: model.Attempt) -> None:
        """Break a flow whose target has gone."""
        live = self._live.get(attempt.flow)
        if live is None or not attempt.alive:
            return
        if live.accepted:
            self._end(attempt.request, outcome.End.BROKEN)
            self._leave(live)

    # Ends.

    def _close(self, live: _Live) -> None:
        self._run.targets[live.target].close(live.attempt.flow)
        self._live.pop(live.attempt.flow, None)
        self._finish_target(live, 0)
        self._run.call_later(2 * HOP_MS, self._finish_caller, live, 0)

    def _finish_target(self, live: _Live, repeats: int) -> None:
        item = self._answer(live.key, _FLAGS.FIN | _FLAGS.ACK, b"F")
        if not self._run.answer(item, live.key, live.target) and repeats < 3:
            self._run.call_later(REPEAT_MS, self._finish_target, live, repeats + 1)

    def _finish_caller(self, live: _Live, repeats: int) -> None:
        item = self._packet(live.key, _FLAGS.FIN | _FLAGS.ACK, b"F")
        if not self._run.request(item, live.key) and repeats < 3:
            self._run.call_later(REPEAT_MS, self._finish_caller, live, repeats + 1)

    def _end(self, request: model.Request, end: outcome.End) -> None:
        request.ended = True
        self._run.tally.record_end(self._run.now_ms, request, end)

    @staticmethod
    def _packet(key: packet.FlowKey, flags: int, kind: bytes) -> packet.Packet:
        source = packet.Address(key.caller_ip, key.caller_port)
        raw = kind + key.packed
        return packet.Packet(key.protocol, source, _SERVICE, flags, 1, 1, 0, raw)

    @staticmethod
    def _answer(
        key: packet.FlowKey, flags: int, kind: bytes, sequence: int = 0
    ) -> packet.Packet:
        caller = packet.Address(key.caller_ip, key.caller_port)
        raw = kind[:1] + key.packed + kind[1:]
        return packet.Packet(key.protocol, _SERVICE, caller, flags, sequence, 1, 0, raw)


def _name(text: str) -> bytes:
    return text.encode()
