"""A fleet of engines in virtual time, for the commands that measure.

The fleet has one queue of timed calls, and one network that delays and loses datagrams.
Its engines, watchers and emulated store are those that the tests use. A command that
needs targets or callers adds its own.
"""

import collections
import heapq
import itertools
import json
import random
import time
import typing

from twisted.internet import task

from eelgrasswick import (
    config,
    message,
    packet,
    store,
    wire,
)
from eelgrasswick.daemons import watcher
from eelgrasswick.decisions import placement
from eelgrasswick.emulation import emulated_platform
from eelgrasswick.fleet import (
    member,
    membership,
    peer,
)
from eelgrasswick.homes import engine

START_MS: typing.Final = 1_800_000_000_000
# A datagram takes ``DELAY_MS`` and up to ``JITTER_MS`` more.
DELAY_MS: typing.Final = 0.5
JITTER_MS: typing.Final = 1.0
# Delay that each loss adds to a message on a link.
RETRANSMIT_MS: typing.Final = 200.0
STORE_TICK_MS: typing.Final = 5.0
_CODE_INDEX: typing.Final = 1


class Traffic(typing.NamedTuple):
    """Control messages that VMs sent.

    Attributes:
        messages: Number of messages.
        size_bytes: Size of all messages, without headers of lower layers.
    """

    messages: int
    size_bytes: int


class _FanOutMembership(membership.Membership):
    """Membership with a configurable fan-out of announcements."""

    fan_out = engine.ANNOUNCE_FAN_OUT
    announced = 0

    def announce(self, count: int) -> None:
        self.announced += min(self.fan_out, len(self.others))
        super().announce(self.fan_out)


class _FanOutEngine(engine.Engine):
    """An engine with a configurable fan-out of announcements."""

    def __init__(
        self,
        me: member.Member,
        seeds: typing.Sequence[packet.Address],
        rng: random.Random,
        fan_out: int,
        policy: placement.Placement,
    ) -> None:
        super().__init__(me, seeds, packet.FouCodec(), policy, random.Random(0))
        self.announcer = _FanOutMembership(me, seeds, self.peers, self.outbox, rng)
        self.announcer.fan_out = fan_out
        self.membership = self.announcer


class ClaimedWeightHash(placement.BoundedHash):
    """The bounded hash with the strength of targets that the rules state."""

    learns = False


class Vm:
    """A VM of the fleet, which runs one engine.

    Attributes:
        me: Its member record when it joined.
        engine: Its engine.
        cpu_ns: CPU time spent in the engine, in nanoseconds.
        events_fed: Number of events fed to the engine.
        messages_by_code: Number of messages sent, by their code in ``wire``.
        bytes_by_code: Bytes of messages sent, by their code in ``wire``.
        in_force_ms: Virtual time at which each configuration came into force, by
            sequence.
        watcher: Its watcher of the store.
        alive: False after it was killed.
    """

    def __init__(self, me: member.Member, vm_engine: _FanOutEngine) -> None:
        """Create a VM that has fed its engine no event."""
        self.me = me
        self.engine = vm_engine
        self.cpu_ns = 0
        self.events_fed = 0
        self.messages_by_code: collections.Counter[int] = collections.Counter()
        self.bytes_by_code: collections.Counter[int] = collections.Counter()
        self.in_force_ms: dict[int, float] = {}
        self.watcher: watcher.Watcher
        self.alive = True

    def record_sent(self, payload: bytes) -> None:
        """Count a message that this VM sends, by its code."""
        # Each message is a CBOR array, whose first item is the message code.
        self.messages_by_code[payload[_CODE_INDEX]] += 1
        self.bytes_by_code[payload[_CODE_INDEX]] += len(payload)

    @property
    def announced(self) -> int:
        """Number of pings sent to announce a newer configuration."""
        return self.engine.announcer.announced


class VirtualFleet:
    """Engines, a network and an emulated store in virtual time.

    Attributes:
        vms: All VMs, in the order in which they joined.
        now_ms: Present virtual time in milliseconds.
        platform: The emulated store, which counts its calls.
        on_data: Called with datagrams to targets; None if there are no targets.
        on_fabric: Called with datagrams to callers; None if there are no callers.
    """

    def __init__(
        self,
        count: int,
        zones: typing.Sequence[str],
        seed: int,
        loss: float = 0.0,
        fan_out: int = engine.ANNOUNCE_FAN_OUT,
        policy: type[placement.Placement] = placement.BoundedHash,
    ) -> None:
        """Start VMs, distributed evenly over zones.

        Args:
            count: Number of VMs.
            zones: Names of the zones.
            seed: Seed of all random choices.
            loss: Share of datagrams that are lost; links retransmit theirs.
            fan_out: Number of VMs to which a VM announces a newer configuration.
            policy: Placement policy of new flows.
        """
        self.now_ms = float(START_MS)
        self.vms: list[Vm] = []
        self.on_data: typing.Callable[[Vm, message.SendDatagram], None] | None = None
        self.on_fabric: typing.Callable[[Vm, message.SendFabric], None] | None = None
        self._rng = random.Random(seed)
        self._loss = loss
        self._fan_out = fan_out
        self._policy = policy
        self._queue: list[tuple[float, int, typing.Callable[[], None]]] = []
        self._call_numbers = itertools.count()
        self._clock = task.Clock()
        self._clock.rightNow = START_MS / 1000
        self.platform = emulated_platform.EmulatedStore(self._clock)
        self._vm_by_peer_address: dict[packet.Address, Vm] = {}
        self._vm_by_link_address: dict[packet.Address, Vm] = {}
        self.call_later(0.0, self._tick_store)
        for index in range(count):
            self.add_vm(index, zones[index % len(zones)])

    def add_vm(self, index: int, zone: str) -> Vm:
        """Start a VM and list it at the platform.

        Args:
            index: Index of the VM, which determines its name and address.
            zone: Its availability zone.

        Returns:
            The VM.
        """
        ip = f"10.0.{index // 250}.{index % 250 + 1}"
        me = member.Member(
            f"vm{index + 1}",
            zone,
            ip,
            6081,
            6082,
            1,
            round(self.now_ms),
            member.MemberState.JOINING,
        )
        seeds = [peer.address_of(item.me) for item in self.vms[:3]]
        rng = random.Random(self._rng.random())
        vm = Vm(me, _FanOutEngine(me, seeds, rng, self._fan_out, self._policy()))
        vm.watcher = watcher.Watcher(
            self._clock, self.platform, zone, lambda event: self.feed(vm, event), rng
        )
        self.vms.append(vm)
        self._vm_by_peer_address[peer.address_of(me)] = vm
        self._vm_by_link_address[packet.address(f"{ip}:6082")] = vm
        self._list_at_platform(me)
        self.call_later(self._rng.random() * engine.TICK_MS, lambda: self._tick(vm))
        return vm

    def put_rules(self, document: config.Document) -> None:
        """Write a configuration document to the store, as an accepted change does."""
        put = store.Put(store.RULES_KEY, config.encode(document))
        self.platform.write((), (put,))

    def call_later(self, delay_ms: float, call: typing.Callable[[], None]) -> None:
        """Schedule a call after a delay in virtual milliseconds."""
        entry = (self.now_ms + delay_ms, next(self._call_numbers), call)
        heapq.heappush(self._queue, entry)

    def run(self, ms: float) -> None:
        """Advance virtual time by some milliseconds and run the calls due in it."""
        until_ms = self.now_ms + ms
        while self._queue and self._queue[0][0] <= until_ms:
            self.now_ms, _, call = heapq.heappop(self._queue)
            call()
        self.now_ms = until_ms

    def run_until(self, done: typing.Callable[[], bool], limit_ms: float) -> bool:
        """Run until a condition holds.

        Args:
            done: The condition, checked every 20 ms of virtual time.
            limit_ms: Longest virtual time to run.

        Returns:
            Whether the condition holds.
        """
        end_ms = self.now_ms + limit_ms
        while self.now_ms < end_ms:
            if done():
                return True
            self.run(20.0)
        return done()

    def ready(self) -> bool:
        """Return whether every living VM serves and lists all others as serving."""
        living = sum(item.alive for item in self.vms)
        return all(
            item.engine.membership.me.serves and self._count_serving(item) == living
            for item in self.vms
            if item.alive
        )

    def _count_serving(self, vm: Vm) -> int:
        return sum(item.serves for item in vm.engine.membership.members)

    def kill(self, vm: Vm) -> None:
        """Stop a VM without notice to the others."""
        vm.alive = False
        vm.watcher.set_active(False)

    def traffic(self) -> Traffic:
        """Return the control traffic that all VMs sent so far."""
        counts = [item.engine.outbox.counts for item in self.vms]
        return Traffic(
            sum(item[message.Counter.CONTROL_SENT] for item in counts),
            sum(item[message.Counter.CONTROL_SENT_BYTES] for item in counts),
        )

    def draw_delay_ms(self) -> float:
        """Draw the delay of a datagram in milliseconds."""
        return DELAY_MS + self._rng.random() * JITTER_MS

    def feed(self, vm: Vm, event: message.Event) -> None:
        """Feed an event to the engine of a living VM and carry out its actions."""
        if not vm.alive:
            return
        before_ns = time.thread_time_ns()
        actions = vm.engine.feed(round(self.now_ms), event)
        vm.cpu_ns += time.thread_time_ns() - before_ns
        vm.events_fed += 1
        vm.in_force_ms.setdefault(vm.engine.config_sync.sequence, self.now_ms)
        for action in actions:
            self._carry_out(vm, action)

    def _carry_out(self, vm: Vm, action: message.Action) -> None:
        match action:
            case message.SendDatagram() if self.on_data is not None:
                self.on_data(vm, action)
            case message.SendFabric() if self.on_fabric is not None:
                self.on_fabric(vm, action)
            case message.SendPeer():
                self._send_peer(vm, action)
            case message.SendLink():
                self._send_link(vm, action)
            case message.WatchStore() | message.ReportInForce() | message.RepairStore():
                vm.watcher.execute(action)
            case _:
                pass

    def _send_peer(self, vm: Vm, action: message.SendPeer) -> None:
        vm.record_sent(action.payload)
        receiver = self._vm_by_peer_address.get(action.destination)
        if receiver is None or self._rng.random() < self._loss:
            return
        event = message.PeerDatagram(peer.address_of(vm.me), action.payload)
        self.call_later(self.draw_delay_ms(), lambda: self.feed(receiver, event))

    def _send_link(self, vm: Vm, action: message.SendLink) -> None:
        vm.record_sent(action.payload)
        receiver = self._vm_by_link_address[action.destination]
        event = message.LinkReceived(vm.me.name, action.payload)
        wait_ms = 2 * self.draw_delay_ms()
        while self._rng.random() < self._loss:
            wait_ms += RETRANSMIT_MS
        self.call_later(wait_ms, lambda: self.feed(receiver, event))

    def _tick(self, vm: Vm) -> None:
        if vm.alive:
            self.feed(vm, message.Tick())
            self.call_later(engine.TICK_MS, lambda: self._tick(vm))

    def _tick_store(self) -> None:
        self._clock.advance(STORE_TICK_MS / 1000)
        self.call_later(STORE_TICK_MS, self._tick_store)

    def _list_at_platform(self, me: member.Member) -> None:
        value = {
            "zone": me.zone,
            "ip": me.ip,
            "peer_port": me.peer_port,
            "link_port": me.link_port,
        }
        put = store.Put(store.VMS_PREFIX + me.name, json.dumps(value).encode())
        self.platform.write((), (put,))


def message_code(item: wire.PeerMessage) -> int:
    """Return the code of a message, the key of ``Vm.messages_by_code``."""
    return wire.encode(item)[_CODE_INDEX]


def rules_text(services: int, targets: int, zones: typing.Sequence[str]) -> str:
    """Return rules with targets of weights 1:1:1:2:2:4:4 in all services.

    Args:
        services: Number of services.
        targets: Number of targets of all services together.
        zones: Names of the zones.
    """
    weights = (1, 1, 1, 2, 2, 4, 4)
    lines = [
        f"service s{n} 10.{100 + n // 62500}.{n // 250 % 250}.{n % 250 + 1}:443 tcp "
        "shutdown=2099-12-31  # asked by a measurement"
        for n in range(services)
    ]
    lines += [
        f"target t{n} s{n % services} 10.{n // 62500 + 1}.{n // 250 % 250}."
        f"{n % 250 + 1}:5555 zone={zones[n // services % len(zones)]} "
        f"connections=60000 weight={weights[n % len(weights)]}  "
        "# asked by a measurement"
        for n in range(targets)
    ]
    return "\n".join(lines) + "\n"


def document(sequence: int, text: str) -> config.Document:
    """Return the configuration document of an accepted change.

    Args:
        sequence: Its sequence.
        text: The rules.
    """
    return config.Document(
        sequence, f"change-{sequence}", "measurement", START_MS, text, "", ()
    )
