"""Engines in virtual time, for the measuring commands.

One queue of timed calls and one network that delays and loses. The engines,
the watchers and the store's stand-in are the ones that the tests use; targets
and callers are left to the command that needs them.
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
DELAY_MS: typing.Final = 0.5
JITTER_MS: typing.Final = 1.0
RETRANSMIT_MS: typing.Final = 200.0
STORE_STEP_MS: typing.Final = 5.0
_CODE_AT: typing.Final = 1


class Traffic(typing.NamedTuple):
    """What one VM sent for control.

    Attributes:
        messages: Messages.
        size_bytes: Their bytes, without headers of the layers below.
    """

    messages: int
    size_bytes: int


class _Announcer(membership.Membership):
    """Membership that announces with a fan-out of the trial's choice."""

    fan_out = engine.ANNOUNCE_FAN_OUT
    announced = 0

    def announce(self, count: int) -> None:
        self.announced += min(self.fan_out, len(self.others))
        super().announce(self.fan_out)


class _Engine(engine.Engine):
    """An engine whose announcements have a chosen fan-out."""

    def __init__(
        self,
        me: member.Member,
        seeds: typing.Sequence[packet.Address],
        rng: random.Random,
        fan_out: int,
        policy: placement.Placement,
    ) -> None:
        super().__init__(me, seeds, packet.FouCodec(), policy, random.Random(0))
        self.announcer = _Announcer(me, seeds, self.peers, self.outbox, rng)
        self.announcer.fan_out = fan_out
        self.membership = self.announcer


class ClaimedWeightHash(placement.BoundedHash):
    """The bounded hash that takes targets as strong as the rules claim."""

    learns = False


class Vm:
    """One engine of the fleet.

    Attributes:
        me: The VM as it joins.
        engine: Its engine.
        cpu_ns: Processor time spent in the engine, nanoseconds.
        feeds: Events fed so far.
        kinds: Messages sent, by their code in ``wire``.
        sizes: Bytes sent, likewise.
        in_force_ms: When each sequence came into force here, virtual time.
    """

    def __init__(self, me: member.Member, runs: _Engine) -> None:
        """Wrap an engine."""
        self.me = me
        self.engine = runs
        self.cpu_ns = 0
        self.events_fed = 0
        self.messages_by_code: collections.Counter[int] = collections.Counter()
        self.bytes_by_code: collections.Counter[int] = collections.Counter()
        self.in_force_ms: dict[int, float] = {}
        self.watcher: watcher.Watcher
        self.alive = True

    def record_sent(self, payload: bytes) -> None:
        """Count a message that this VM sends."""
        # Every message is a CBOR array whose first item is its code.
        self.messages_by_code[payload[_CODE_AT]] += 1
        self.bytes_by_code[payload[_CODE_AT]] += len(payload)

    @property
    def announced(self) -> int:
        """Pings sent to announce a newer configuration."""
        return self.engine.announcer.announced


class VirtualFleet:
    """Engines, a network and the store's stand-in in virtual time.

    Attributes:
        vms: All VMs, in the order in which they joined.
        platform: The store's stand-in; it counts the calls.
        on_data: Takes datagrams for targets, set by a command that has some.
        on_fabric: Takes datagrams for callers, likewise.
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
        """Start VMs spread over zones.

        Args:
            count: Number of VMs.
            zones: Names of the zones.
            seed: Seed of every random choice.
            loss: Share of datagrams lost; a link repeats instead.
            fan_out: VMs to which a newer configuration is announced.
            policy: Places new flows.
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
        self._numbers = itertools.count()
        self._clock = task.Clock()
        self._clock.rightNow = START_MS / 1000
        self.platform = emulated_platform.EmulatedStore(self._clock)
        self._by_peer: dict[packet.Address, Vm] = {}
        self._by_link: dict[packet.Address, Vm] = {}
        self.call_later(0.0, self._step_store)
        for index in range(count):
            self.add_vm(index, zones[index % len(zones)])

    def add_vm(self, index: int, zone: str) -> Vm:
        """Start the VM with a number and list it at the platform."""
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
        vm = Vm(me, _Engine(me, seeds, rng, self._fan_out, self._policy()))
        vm.watcher = watcher.Watcher(
            self._clock, self.platform, zone, lambda event: self.feed(vm, event), rng
        )
        self.vms.append(vm)
        self._by_peer[peer.address_of(me)] = vm
        self._by_link[packet.address(f"{ip}:6082")] = vm
        self._list(me)
        self.call_later(self._rng.random() * engine.TICK_MS, lambda: self._tick(vm))
        return vm

    def put_rules(self, document: config.Document) -> None:
        """Put a document into the store as an accepted change would."""
        put = store.Put(store.RULES_KEY, config.encode(document))
        self.platform.write((), (put,))

    def call_later(self, delay_ms: float, call: typing.Callable[[], None]) -> None:
        """Call something after a delay in virtual milliseconds."""
        entry = (self.now_ms + delay_ms, next(self._numbers), call)
        heapq.heappush(self._queue, entry)

    def run(self, ms: float) -> None:
        """Let virtual time pass."""
        until_ms = self.now_ms + ms
        while self._queue and self._queue[0][0] <= until_ms:
            self.now_ms, _, call = heapq.heappop(self._queue)
            call()
        self.now_ms = until_ms

    def run_until(self, done: typing.Callable[[], bool], limit_ms: float) -> bool:
        """Let time pass until something holds; False when it never did."""
        end_ms = self.now_ms + limit_ms
        while self.now_ms < end_ms:
            if done():
                return True
            self.run(20.0)
        return done()

    def ready(self) -> bool:
        """Tell whether every living VM serves and knows all the others."""
        living = sum(item.alive for item in self.vms)
        return all(
            item.engine.membership.me.serves and self._knows(item) == living
            for item in self.vms
            if item.alive
        )

    def _knows(self, vm: Vm) -> int:
        return sum(item.serves for item in vm.engine.membership.members)

    def kill(self, vm: Vm) -> None:
        """End a VM without warning."""
        vm.alive = False
        vm.watcher.set_active(False)

    def traffic(self) -> Traffic:
        """Return the control traffic of all VMs so far."""
        counts = [item.engine.outbox.counts for item in self.vms]
        return Traffic(
            sum(item[message.Counter.CONTROL_SENT] for item in counts),
            sum(item[message.Counter.CONTROL_SENT_BYTES] for item in counts),
        )

    def draw_delay_ms(self) -> float:
        """Draw the time a datagram takes."""
        return DELAY_MS + self._rng.random() * JITTER_MS

    def feed(self, vm: Vm, event: message.Event) -> None:
        """Feed an event to a living VM and carry its actions out."""
        if not vm.alive:
            return
        before_ns = time.thread_time_ns()
        actions = vm.engine.feed(round(self.now_ms), event)
        vm.cpu_ns += time.thread_time_ns() - before_ns
        vm.events_fed += 1
        vm.in_force_ms.setdefault(vm.engine.keeper.sequence, self.now_ms)
        for action in actions:
            self._do(vm, action)

    def _do(self, vm: Vm, action: message.Action) -> None:
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
                vm.watcher.carry_out(action)
            case _:
                pass

    def _send_peer(self, vm: Vm, action: message.SendPeer) -> None:
        vm.record_sent(action.payload)
        receiver = self._by_peer.get(action.destination)
        if receiver is None or self._rng.random() < self._loss:
            return
        event = message.PeerDatagram(peer.address_of(vm.me), action.payload)
        self.call_later(self.draw_delay_ms(), lambda: self.feed(receiver, event))

    def _send_link(self, vm: Vm, action: message.SendLink) -> None:
        vm.record_sent(action.payload)
        receiver = self._by_link[action.destination]
        event = message.LinkReceived(vm.me.name, action.payload)
        wait_ms = 2 * self.draw_delay_ms()
        while self._rng.random() < self._loss:
            wait_ms += RETRANSMIT_MS
        self.call_later(wait_ms, lambda: self.feed(receiver, event))

    def _tick(self, vm: Vm) -> None:
        if vm.alive:
            self.feed(vm, message.Tick())
            self.call_later(engine.TICK_MS, lambda: self._tick(vm))

    def _step_store(self) -> None:
        self._clock.advance(STORE_STEP_MS / 1000)
        self.call_later(STORE_STEP_MS, self._step_store)

    def _list(self, me: member.Member) -> None:
        value = {
            "zone": me.zone,
            "ip": me.ip,
            "peer_port": me.peer_port,
            "link_port": me.link_port,
        }
        put = store.Put(store.VMS_PREFIX + me.name, json.dumps(value).encode())
        self.platform.write((), (put,))


def message_code(item: wire.PeerMessage) -> int:
    """Return the code under which ``Vm.kinds`` counts a message."""
    return wire.encode(item)[_CODE_AT]


def rules_text(services: int, targets: int, zones: typing.Sequence[str]) -> str:
    """Return rules with targets of weights 1:1:1:2:2:4:4 spread over services.

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
    """Return the document of one accepted change."""
    return config.Document(
        sequence, f"change-{sequence}", "measurement", START_MS, text, "", ()
    )
