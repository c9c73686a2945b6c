"""Runs a scenario in virtual time with the decisions of the product.

Homes decide with figures as old as in a fleet, targets work through their
queues, callers come, wait, give up and return when they were told to.
"""

import heapq
import random
import typing

from eelgrasswick import (
    config,
    errors,
    message,
    node,
    packet,
    rule,
    wire,
)
from eelgrasswick.emulation import (
    caller_model,
    model,
    oracle,
    outcome,
    scenario,
)

START_MS: typing.Final = 1_800_000_000_000
TICK_MS: typing.Final = 50
REPORT_MS: typing.Final = 1000
HOP_MS: typing.Final = 1.0
NOTICE_MS: typing.Final = 2000
SETTLE_MS: typing.Final = 15_000
_SERVICE: typing.Final = packet.Address(bytes((10, 1, 0, 1)), 443)


class Experiment(caller_model.Environment):
    """One run of one scenario under one policy.

    Attributes:
        now_ms: Virtual time since the start.
        rng: Source of all random choices.
        tally: What has happened so far.
        truth: What an oracle may know.
    """

    def __init__(self, read: scenario.Scenario, policy: str, seed: int) -> None:
        """Prepare a run.

        Args:
            read: The scenario.
            policy: One of ``oracle.POLICIES``.
            seed: Seed of all random choices.

        Raises:
            errors.ScenarioInvalidError: The policy is not known.
        """
        if policy not in oracle.POLICIES:
            known = ", ".join(oracle.POLICIES)
            raise errors.ScenarioInvalidError(f"policy {policy!r} is none of {known}")
        self.now_ms = 0.0
        self.rng = random.Random(seed)
        self.scenario = read
        self.tally = outcome.Tally(read)
        self.targets = {item.name: model.Target(item) for item in read.targets}
        self.truth = oracle.GroundTruth(self.targets, lambda: self.now_ms)
        self._policy = policy
        self._seed = seed
        self._events: list[
            tuple[float, int, typing.Callable[..., None], tuple[typing.Any, ...]]
        ] = []
        self._count = 0
        self._drained: set[str] = set()
        self._unsteady = {i.name for i in read.targets if not i.strength}
        self._config = _config(read, self._drained)
        self.nodes = {
            vm.name: node.Node(vm, index, oracle.POLICIES[policy](self.truth))
            for index, vm in enumerate(read.vms)
        }
        self._endpoints = {
            item.endpoint: name for name, item in self._config.targets.items()
        }
        self._addresses = {item.me.ip: name for name, item in self.nodes.items()}
        self._spread = list(self.nodes)
        self._callers = caller_model.Callers(self, seed)

    def call_later(
        self, delay_ms: float, call: typing.Callable[..., None], *arguments: typing.Any
    ) -> None:
        """Call something after a delay."""
        self._count += 1
        entry = (self.now_ms + delay_ms, self._count, call, arguments)
        heapq.heappush(self._events, entry)

    def run(self) -> outcome.Result:
        """Play the scenario and return its figures."""
        for index, item in enumerate(self.nodes.values()):
            self._advance(item)
            self.call_later(self.rng.random() * TICK_MS, self._tick, item)
            phase_ms = REPORT_MS * (index + 1) / len(self.nodes)
            self.call_later(phase_ms, self._report, item)
        for event in self.scenario.events:
            self.call_later(event.at_ms, self._event, event)
        self._callers.start()
        end_ms = self.scenario.load.duration_ms + SETTLE_MS
        while self._events and self._events[0][0] <= end_ms:
            self.now_ms, _, call, arguments = heapq.heappop(self._events)
            call(*arguments)
        self._callers.finish()
        return self._result()

    # Entry VMs.

    @property
    def clock_ms(self) -> int:
        """Wall-clock time as entry VMs see it."""
        return START_MS + int(self.now_ms)

    def home_of(self, key: packet.FlowKey) -> node.Node | None:
        """Return the home of a flow in the view of some VM; None if it is dead."""
        entry = self.nodes[self.rng.choice(self._spread)]
        current = entry.tables.epochs.current
        if not entry.alive or current is None:
            return None
        name = current.locate(key, current.config.services["desk"]).home
        found = self.nodes[name] if name is not None else None
        return found if found is not None and found.alive else None

    def request(self, item: packet.Packet, key: packet.FlowKey) -> bool:
        """Bring a caller's packet to the flow's home; False when it is lost."""
        home = self.home_of(key)
        if home is None:
            return False
        owner = self._config.services["desk"]
        home.home.request(self.clock_ms, item, key, owner)
        self._carry(home, home.outbox.take())
        return True

    def answer(self, item: packet.Packet, key: packet.FlowKey, name: str) -> bool:
        """Bring a target's packet to the flow's home; False when it is lost."""
        home = self.home_of(key)
        if home is None:
            return False
        sender = self._config.targets[name]
        owner = self._config.services["desk"]
        home.home.answer(self.clock_ms, item, key, sender, owner)
        self._carry(home, home.outbox.take())
        return True

    def _carry(self, sender: node.Node, actions: list[message.Action]) -> None:
        for action in actions:
            match action:
                case message.SendDatagram():
                    name = self._endpoints[action.destination]
                    self.call_later(
                        HOP_MS, self._callers.at_target, name, action.payload
                    )
                case message.SendFabric():
                    self.call_later(HOP_MS, self._callers.at_caller, action.payload)
                case message.SendPeer():
                    self._to_peer(sender, action)

    def _to_peer(self, sender: node.Node, action: message.SendPeer) -> None:
        ip = ".".join(str(part) for part in action.destination.ip)
        receiver = self.nodes[self._addresses[ip]]
        if not (sender.cut or receiver.cut):
            self.call_later(HOP_MS, self._at_peer, sender, receiver, action.payload)

    def _at_peer(self, sender: node.Node, receiver: node.Node, payload: bytes) -> None:
        if receiver.alive:
            actions = receiver.receive_peer_message(
                self.clock_ms, sender.vm.name, payload
            )
            self._carry(receiver, actions)

    def _tick(self, item: node.Node) -> None:
        if item.alive:
            self._carry(item, item.tick(self.clock_ms))
            self.call_later(TICK_MS, self._tick, item)

    def _report(self, item: node.Node) -> None:
        if not item.alive:
            return
        report = item.load_report(self.clock_ms)
        for other in self.nodes.values():
            if other is not item and not (item.cut or other.cut):
                item.peers.send_link(other.vm.name, report)
                self.call_later(HOP_MS, self._reported, other, item.vm.name, report)
        item.outbox.take()
        self.call_later(REPORT_MS, self._report, item)

    def _reported(
        self, receiver: node.Node, sender: str, report: wire.LoadReport
    ) -> None:
        receiver.tables.loads.record(self.clock_ms, sender, report)

    def _advance(self, item: node.Node) -> None:
        if not item.alive:
            return
        seen = [
            other.me
            for other in self.nodes.values()
            if other is item or (other.alive and not (other.cut or item.cut))
        ]
        item.peers.set_members([other.me for other in self.nodes.values()])
        item.tables.epochs.advance(self.clock_ms, node.epoch_of(self._config, seen))

    # Events.

    def _event(self, event: scenario.Event) -> None:
        kinds = scenario.EventKind
        name = event.subject
        match event.kind:
            case kinds.TARGET_DOWN:
                self._stop_target(name)
            case kinds.TARGET_UP:
                self.targets[name].start(self.now_ms)
            case kinds.TARGET_HANGS:
                self._unsteady.add(name)
                self.targets[name].hangs = True
            case kinds.DRAIN:
                self._unsteady.add(name)
                self._drained.add(name)
                self._config = _config(self.scenario, self._drained)
                self._notice()
            case kinds.VM_DOWN:
                self._stop_vm(name)
            case kinds.VM_CUT:
                self.nodes[name].cut = True
                self._notice()
            case kinds.ZONE_DOWN:
                self._stop_zone(name)

    def _stop_target(self, name: str) -> None:
        self._unsteady.add(name)
        for attempt in self.targets[name].stop():
            self._callers.cut(attempt)

    def _stop_vm(self, name: str) -> None:
        self.nodes[name].alive = False
        self.call_later(NOTICE_MS / 2, self._spread.remove, name)
        self._notice()

    def _stop_zone(self, zone: str) -> None:
        for item in self.scenario.targets:
            if item.zone == zone:
                self._stop_target(item.name)
        for vm in self.scenario.vms:
            if vm.zone == zone:
                self._stop_vm(vm.name)

    def _notice(self) -> None:
        # Each VM learns of a change in its own time.
        for item in self.nodes.values():
            delay_ms = NOTICE_MS * (0.5 + self.rng.random() / 2)
            self.call_later(delay_ms, self._advance, item)

    def _result(self) -> outcome.Result:
        tally = self.tally
        counts = message.Counter
        placed = max(1, self._total(counts.FLOWS_PLACED))
        steady = set(self.targets) - self._unsteady
        seconds = self.scenario.load.duration_ms / 1000
        control = self._total(counts.CONTROL_SENT_BYTES) / len(self.nodes) / seconds
        first = self.scenario.works[0].name
        ends = tally.ends
        return outcome.Result(
            self._policy,
            self._seed,
            sum(ends.values()),
            ends[outcome.End.IN_TIME],
            ends[outcome.End.LATE],
            ends[outcome.End.REFUSED],
            ends[outcome.End.FAILED],
            ends[outcome.End.BROKEN],
            ends[outcome.End.SILENT],
            tally.ran_twice,
            tally.refused_ran,
            tally.refusals,
            tally.returns,
            tally.returns_in_time,
            tally.goodput,
            outcome.imbalance(self.targets.values(), steady),
            tally.wait_ms(first, 50),
            tally.wait_ms(first, 99),
            tally.hot_share,
            tally.other_share,
            round(self._total(counts.FLOWS_EXCEPTION) / placed, 3),
            self._total(counts.FLOWS_MOVED),
            round(control),
        )

    def _total(self, counter: message.Counter) -> int:
        return sum(item.outbox.counts[counter] for item in self.nodes.values())


def _config(read: scenario.Scenario, drained: set[str]) -> config.Config:
    lines = [
        f"service desk {_SERVICE} tcp shutdown=2099-12-31 wait_ms={read.wait_ms} # load"
    ]
    if read.per_caller:
        lines.append(f"limit desk per_caller={read.per_caller} # load")
    for index, item in enumerate(read.targets):
        lines.append(
            f"target {item.name} desk 10.2.{index // 250}.{index % 250 + 1}:5555"
            f" zone={item.zone} slots={item.slots}"
            f" connections={item.connections} weight={item.weight:g} # load"
        )
    lines += [f"drain {name} # load" for name in sorted(drained)]
    sequence = 1 + len(drained)
    text = "\n".join(lines) + "\n"
    rule.read(text)
    return config.Config(
        config.Document(sequence, "load", "load", START_MS, text, "", ())
    )
