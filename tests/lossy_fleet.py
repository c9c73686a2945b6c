"""VMs, targets and callers in virtual time, whose datagrams may be lost.

Targets and callers behave as the platform defines: both return the last cookie that
they received on a flow, and targets repeat unacknowledged packets.
"""

import collections
import random
import typing

from eelgrasswick.cookie import (
    catalog,
    delayed_copies,
    model,
    observations,
    outcomes,
    steering,
    store_replica,
)
from eelgrasswick.emulation import packets, scheduler
from eelgrasswick.platform import segments
from tests import cookie_parts

SYN_TIMES_MS: typing.Final = (0, 200, 600)
OPEN_TIMEOUT_MS: typing.Final = 1400
REQUEST_TIMEOUT_MS: typing.Final = 2500
FIRST_INTERVAL_MS: typing.Final = 200
MAX_INTERVAL_MS: typing.Final = 1600
MAX_RETRANSMISSIONS: typing.Final = 8
# One way between callers and the platform, and between VMs and targets.
CALLER_DELAY_MS: typing.Final = 2
TARGET_DELAY_MS: typing.Final = 1
WORK_MS: typing.Final = 20
TICK_MS: typing.Final = 250
FIRST_PORT: typing.Final = 20_000

Lose = typing.Callable[[str, int, int], bool]


class Plan(typing.NamedTuple):
    """What the caller of a flow does.

    Attributes:
        requests: Number of requests.
        pause_ms: Pause before each request but the first one.
    """

    requests: int = 2
    pause_ms: int = 900


class TargetFlow:
    """The target's end of a flow."""

    def __init__(self, first: packets.Packet, sequence: int) -> None:
        """Create a flow that is not open."""
        self.first = first
        self.sequence = sequence
        self.cookie = first.echo
        self.open = False
        self.expected = first.sequence + 1
        self.sent = sequence + 1
        self.acknowledged = sequence + 1
        self.timer = 0


class Target:
    """A target that answers callers directly.

    Attributes:
        name: Name of the target.
        alive: False once it has crashed without a word.
        delay_ms: How late it reads packets.
        flows: Its flows by the caller's port.
        opened: Ports of the flows that were opened here.
        stray: Packets of flows that it does not hold, by the caller's port.
    """

    def __init__(self, fleet: "LossyFleet", name: str) -> None:
        """Create a target without flows."""
        self.name = name
        self.alive = True
        self.delay_ms = 0
        self.flows: dict[int, TargetFlow] = {}
        self.opened: set[int] = set()
        self.stray: collections.Counter[int] = collections.Counter()
        self._fleet = fleet

    def receive(self, datagram: bytes) -> None:
        """Process a datagram of a VM."""
        item = packets.decode(datagram[8:])
        if item is None or not self.alive:
            return
        port = item.source_port
        flow = self.flows.get(port)
        if item.flags & packets.SYN:
            self._on_syn(port, flow, item)
        elif flow is None or (not flow.open and item.acknowledged != flow.sequence + 1):
            self.stray[port] += 1
            self._send("reset", item, packets.RST, item.acknowledged, 0, 0)
        else:
            self._on_packet(port, flow, item)

    def _on_syn(self, port: int, flow: TargetFlow | None, item: packets.Packet) -> None:
        if flow is None or flow.first.sequence != item.sequence:
            sequence = self._fleet.rng.randrange(1, 2**31)
            flow = self.flows[port] = TargetFlow(item, sequence)
            self._arm(port, flow, 0)
        flow.cookie = item.echo
        self._send_syn_ack(flow)

    def _send_syn_ack(self, flow: TargetFlow) -> None:
        flags = packets.SYN | packets.ACK
        self._send(
            "syn_ack", flow.first, flags, flow.sequence, flow.expected, flow.cookie
        )

    def _on_packet(self, port: int, flow: TargetFlow, item: packets.Packet) -> None:
        if not flow.open:
            flow.open = True
            self.opened.add(port)
            flow.timer += 1
        flow.cookie = item.echo or flow.cookie
        if item.acknowledged == flow.sent:
            flow.acknowledged = flow.sent
        if item.flags & packets.FIN:
            del self.flows[port]
        elif item.data and item.sequence == flow.expected:
            flow.expected += len(item.data)
            self._fleet.clock.call_later(WORK_MS, self._answer, port, flow)

    def _answer(self, port: int, flow: TargetFlow) -> None:
        flow.sent += len(flow.first.data) + 100
        self._send_answer(flow)
        self._arm(port, flow, 0)

    def _send_answer(self, flow: TargetFlow) -> None:
        data = bytes(flow.sent - flow.acknowledged)
        self._send(
            "answer",
            flow.first,
            packets.ACK,
            flow.acknowledged,
            flow.expected,
            flow.cookie,
            data,
        )

    def _arm(self, port: int, flow: TargetFlow, number: int) -> None:
        if number == 0:
            flow.timer += 1
        if number < MAX_RETRANSMISSIONS:
            wait_ms = min(MAX_INTERVAL_MS, FIRST_INTERVAL_MS * 2**number)
            self._fleet.clock.call_later(
                wait_ms, self._repeat, port, flow, number, flow.timer
            )

    def _repeat(self, port: int, flow: TargetFlow, number: int, timer: int) -> None:
        if timer != flow.timer or not self.alive or self.flows.get(port) is not flow:
            return
        if not flow.open:
            self._send_syn_ack(flow)
        elif flow.acknowledged < flow.sent:
            self._send_answer(flow)
        else:
            return
        self._arm(port, flow, number + 1)

    def _send(
        self,
        kind: str,
        item: packets.Packet,
        flags: int,
        sequence: int,
        acknowledged: int,
        cookie: int,
        data: bytes = b"",
    ) -> None:
        answer = packets.Packet(
            item.destination,
            item.destination_port,
            item.source,
            item.source_port,
            flags,
            sequence,
            acknowledged,
            cookie,
            data,
        )
        self._fleet.to_caller(kind, item.source_port, answer, self.name)


class CallerFlow:
    """The caller's end of a flow.

    Attributes:
        outcome: ``open``, ``closed``, ``lost``, ``refused``, or ``reset by`` a name.
        opened_ms: How long it took to open the flow.
        answered: Number of requests that were answered.
    """

    def __init__(self, fleet: "LossyFleet", port: int, plan: Plan) -> None:
        """Create a flow, and send its opening packet."""
        self.outcome = ""
        self.opened_ms = -1
        self.answered = 0
        self._fleet = fleet
        self._port = port
        self._plan = plan
        self._cookie = 0
        self._sequence = fleet.rng.randrange(1, 2**31)
        self._expected = 0
        self._request = b""
        self._begun_ms = fleet.clock.now_ms
        for number, at_ms in enumerate(SYN_TIMES_MS):
            fleet.clock.call_later(at_ms, self._send_syn, number)
        fleet.clock.call_later(OPEN_TIMEOUT_MS, self._give_up)

    def receive(self, item: packets.Packet, sender: str) -> None:
        """Process a packet of a target, or a reset."""
        if self.outcome not in ("", "open"):
            return
        self._cookie = item.echo or self._cookie
        if item.flags & packets.RST:
            self.outcome = f"reset by {sender}" if self.outcome else "refused"
        elif item.flags & packets.SYN:
            self._on_syn_ack(item)
        elif item.data:
            self._on_answer(item)

    def _on_syn_ack(self, item: packets.Packet) -> None:
        if self.outcome:
            return
        self.outcome = "open"
        self.opened_ms = self._fleet.clock.now_ms - self._begun_ms
        self._sequence += 1
        self._expected = item.sequence + 1
        self._send("ack", packets.ACK, self._sequence, b"")
        self._begin_request(0)

    def _on_answer(self, item: packets.Packet) -> None:
        if item.sequence == self._expected and self._request:
            self._expected += len(item.data)
            self._sequence += len(self._request)
            self._request = b""
            self.answered += 1
            self._fleet.clock.call_later(
                self._plan.pause_ms, self._begin_request, self.answered
            )
        self._send("ack", packets.ACK, self._sequence, b"")

    def _begin_request(self, number: int) -> None:
        if self.outcome != "open":
            return
        if number == self._plan.requests:
            self._send("end", packets.FIN | packets.ACK, self._sequence, b"")
            self.outcome = "closed"
            return
        self._request = b"GET /%d" % number
        self._fleet.clock.call_later(REQUEST_TIMEOUT_MS, self._time_out, number)
        self._send_request(number, FIRST_INTERVAL_MS)

    def _send_request(self, number: int, interval_ms: int) -> None:
        if self.outcome != "open" or self.answered != number:
            return
        self._send("request", packets.ACK, self._sequence, self._request)
        self._fleet.clock.call_later(
            interval_ms,
            self._send_request,
            number,
            min(MAX_INTERVAL_MS, 2 * interval_ms),
        )

    def _time_out(self, number: int) -> None:
        if self.outcome == "open" and self.answered == number:
            self.outcome = "timed out"

    def _send_syn(self, number: int) -> None:
        if not self.outcome:
            self._send("syn", packets.SYN, self._sequence, b"", number)

    def _give_up(self) -> None:
        self.outcome = self.outcome or "lost"

    def _send(
        self, kind: str, flags: int, sequence: int, data: bytes, number: int = 0
    ) -> None:
        item = packets.Packet(
            cookie_parts.CALLER_IP,
            self._port,
            cookie_parts.SERVICE_IP,
            cookie_parts.PORT,
            flags,
            sequence,
            number if flags & packets.SYN else self._expected,
            0 if flags & packets.SYN else self._cookie,
            data,
        )
        self._fleet.to_vm(kind, self._port, packets.encode(item))


class Vm(typing.NamedTuple):
    """An entry VM."""

    steering: steering.Steering
    observations: observations.Observations
    catalog: catalog.Catalog


class LossyFleet:
    """A zone's VMs, the targets of two zones, and callers.

    Attributes:
        clock: Virtual time.
        rng: Source of randomness.
        lose: Called with the kind of a datagram, the caller's port and the number of
            earlier datagrams of this kind on the flow; returns whether it is lost.
        vms: The VMs.
        rotation: Indices of the VMs that receive packets.
        targets: The targets by address.
        flows: The callers' flows by port.
        placed: Names of the targets that received the opening packet of a flow, without
            those that only received it again with the cookie of another one.
    """

    def __init__(self, seed: int = 1, vms: int = 3, targets: int = 3) -> None:
        """Create a fleet with so many targets in each zone, which loses nothing."""
        self.clock = scheduler.Scheduler()
        self.rng = random.Random(seed)
        self.lose: Lose = _lose_nothing
        self._rows = [cookie_parts.config_row(1)]
        self.targets: dict[model.Address, Target] = {}
        for number in range(1, 2 * targets + 1):
            name, zone = f"i-{number:02x}", f"z{1 + number % 2}"
            self._rows.append(cookie_parts.target_row(name, 1 + number, zone=zone))
            address = model.Address(f"10.128.0.{number}", 8080)
            self.targets[address] = Target(self, name)
        self.vms = [self._new_vm() for _ in range(vms)]
        self.rotation = list(range(vms))
        self.flows: dict[int, CallerFlow] = {}
        self.placed: dict[int, set[str]] = collections.defaultdict(set)
        self._codec = segments.Codec()
        self._counts: collections.Counter[tuple[str, int]] = collections.Counter()
        self.clock.call_later(TICK_MS, self._tick)

    def _new_vm(self) -> Vm:
        target_catalog = cookie_parts.catalog_from(*self._rows)
        observed = observations.Observations("z1", target_catalog)
        vm_steering = steering.Steering(
            "z1", segments.Codec(), target_catalog, observed
        )
        vm_steering.copies.enabled = True
        return Vm(vm_steering, observed, target_catalog)

    def _tick(self) -> None:
        for vm in self.vms:
            vm.observations.tick(self.clock.now_ms)
        self.clock.call_later(TICK_MS, self._tick)

    def restart(self, number: int, out_ms: int) -> None:
        """Take a VM out of rotation, and return it without its records."""
        self.rotation = [item for item in self.rotation if item != number]
        self.clock.call_later(out_ms, self._return, number)

    def _return(self, number: int) -> None:
        self.vms[number] = self._new_vm()
        self.rotation = sorted({*self.rotation, number})

    def restart_all(self) -> None:
        """Restart all VMs at once, without their records."""
        self.vms = [self._new_vm() for _ in self.vms]

    def replace(self, target: Target) -> None:
        """End a target, whose address another one takes over at once."""
        target.alive = False
        number = int(target.name[-2:], 16)
        row = cookie_parts.target_row(
            f"i-{100 + number:02x}",
            len(self._rows) + 1,
            address=f"10.128.0.{number}:8080",
            born=self.clock.now_ms + 2000,
        )
        self._rows.append(row)
        for vm in self.vms:
            merge = store_replica.Merge((row,), 0)
            vm.catalog.update(self.clock.now_ms, merge)

    def open_flow(self, plan: Plan | None = None) -> int:
        """Open a flow now; return the caller's port."""
        port = FIRST_PORT + len(self.flows)
        self.flows[port] = CallerFlow(self, port, plan or Plan())
        return port

    def _is_lost(self, kind: str, port: int) -> bool:
        number = self._counts[kind, port]
        self._counts[kind, port] += 1
        return self.lose(kind, port, number)

    def to_vm(self, kind: str, port: int, raw: bytes) -> None:
        """Send a caller's packet to the VM that the fabric selects."""
        if not self._is_lost(kind, port):
            self.clock.call_later(CALLER_DELAY_MS, self._at_vm, kind, port, raw)

    def _at_vm(self, kind: str, port: int, raw: bytes) -> None:
        vm = self.vms[self.rotation[port % len(self.rotation)]]
        segment = self._codec.decode(raw)
        decision = vm.steering.steer(self.clock.now_ms, 0, segment, raw)
        if decision.outcome is outcomes.Outcome.COPY_DELAYED:
            wait_ms = delayed_copies.WAIT_MS
            self.clock.call_later(wait_ms, self._place_delayed, vm, port, segment, raw)
        self._carry_out(kind, port, decision)

    def _place_delayed(
        self, vm: Vm, port: int, segment: model.Segment, raw: bytes
    ) -> None:
        now_ms = self.clock.now_ms
        decision = vm.steering.place_delayed(now_ms, 0, segment, raw)
        self._carry_out("syn", port, decision)

    def _carry_out(self, kind: str, port: int, decision: outcomes.Decision) -> None:
        for update in decision.updates:
            self._to_target("update", port, update.datagram, update.target.address)
        if decision.address is not None and decision.datagram is not None:
            name = f"forwarded_{kind}"
            self._to_target(name, port, decision.datagram, decision.address)
        elif decision.datagram is not None:
            reset = packets.decode(decision.datagram)
            assert reset is not None
            self.to_caller("reset", port, reset, "a VM")

    def _to_target(
        self, kind: str, port: int, datagram: bytes, address: model.Address
    ) -> None:
        target = self.targets[address]
        if kind == "forwarded_syn":
            self.placed[port].add(target.name)
        delay_ms = TARGET_DELAY_MS + target.delay_ms
        if not self._is_lost(kind, port):
            self.clock.call_later(delay_ms, target.receive, datagram)

    def to_caller(
        self, kind: str, port: int, item: packets.Packet, sender: str
    ) -> None:
        """Send a packet to a caller."""
        if not self._is_lost(kind, port):
            self.clock.call_later(CALLER_DELAY_MS, self._at_caller, port, item, sender)

    def _at_caller(self, port: int, item: packets.Packet, sender: str) -> None:
        self.flows[port].receive(item, sender)

    def holders(self, port: int) -> list[Target]:
        """Return the targets at which a flow was opened."""
        return [item for item in self.targets.values() if port in item.opened]

    def stray_packets(self) -> int:
        """Return the number of packets that reached targets without their flow."""
        return sum(sum(item.stray.values()) for item in self.targets.values())

    def broken(self) -> list[int]:
        """Return the flows that were reset although their target is alive."""
        return [
            port
            for port, flow in self.flows.items()
            if flow.outcome.startswith("reset")
            and any(item.alive for item in self.holders(port))
        ]


def _lose_nothing(kind: str, port: int, number: int) -> bool:
    return False


def lose_first(*kinds: str) -> Lose:
    """Return a rule by which the first datagram of some kinds is lost on each flow.

    A kind that is named several times is lost as many times.
    """
    counts = collections.Counter(kinds)
    return lambda kind, port, number: number < counts[kind]


def lose_at_random(rng: random.Random, share: float) -> Lose:
    """Return a rule by which a share of all datagrams is lost."""
    return lambda kind, port, number: rng.random() < share
