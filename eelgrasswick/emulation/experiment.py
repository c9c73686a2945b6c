"""Run of a scenario in virtual time, with the placement code of the product.

Homes place flows with load reports as old as in a real fleet. Targets work through
their queues. Callers make requests, wait, give up, and retry when a refusal says so.
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
REPORT_INTERVAL_MS: typing.Final = 1000
HOP_MS: typing.Final = 1.0
MAX_DETECTION_MS: typing.Final = 2000
SETTLE_MS: typing.Final = 15_000
_SERVICE: typing.Final = packet.Address(bytes((10, 1, 0, 1)), 443)


class Experiment(caller_model.Environment):
    """One run of one scenario under one policy.

    Attributes:
        now_ms: Virtual time since the start of the run.
        rng: Random choices of the run, apart from those of its callers.
        scenario: The scenario that is run.
        tally: Counts how requests end.
        targets: All targets by name.
        truth: True state of the targets, for policies that may use it.
        nodes: All entry VMs by name.
    """

    def __init__(self, spec: scenario.Scenario, policy: str, seed: int) -> None:
        """Prepare a run.

        Args:
            spec: The scenario to run.
            policy: One of ``oracle.POLICIES``.
            seed: Seed of all random choices.

        Raises:
            errors.ScenarioInvalidError: There is no such policy.
        """
        if policy not in oracle.POLICIES:
            known = ", ".join(oracle.POLICIES)
            raise errors.ScenarioInvalidError(
                f"policy {policy!r} is not one of {known}"
            )
        self.now_ms = 0.0
        self.rng = random.Random(seed)
        self.scenario = spec
        self.tally = outcome.Tally(spec)
        self.targets = {item.name: model.Target(item) for item in spec.targets}
        self.truth = oracle.GroundTruth(self.targets, lambda: self.now_ms)
        self._policy = policy
        self._seed = seed
        self._queue: list[
            tuple[float, int, typing.Callable[..., None], tuple[typing.Any, ...]]
        ] = []
        self._call_count = 0
        self._drained_targets: set[str] = set()
        self._disturbed_targets = {
            item.name for item in spec.targets if not item.strength
        }
        self._config = _config(spec, self._drained_targets)
        self.nodes = {
            vm.name: node.Node(vm, index, oracle.POLICIES[policy](self.truth))
            for index, vm in enumerate(spec.vms)
        }
        self._endpoints = {
            item.endpoint: name for name, item in self._config.targets.items()
        }
        self._addresses = {item.me.ip: name for name, item in self.nodes.items()}
        self._receiving_vms = list(self.nodes)
        self._callers = caller_model.Callers(self, seed)

    def call_later(
        self, delay_ms: float, call: typing.Callable[..., None], *arguments: typing.Any
    ) -> None:
        """Schedule a call after a delay."""
        self._call_count += 1
        entry = (self.now_ms + delay_ms, self._call_count, call, arguments)
        heapq.heappush(self._queue, entry)

    def run(self) -> outcome.Result:
        """Run the scenario and return its results."""
        for index, item in enumerate(self.nodes.values()):
            self._update_epoch(item)
            self.call_later(self.rng.random() * TICK_MS, self._tick, item)
            phase_ms = REPORT_INTERVAL_MS * (index + 1) / len(self.nodes)
            self.call_later(phase_ms, self._send_report, item)
        for event in self.scenario.events:
            self.call_later(event.at_ms, self._apply_event, event)
        self._callers.start()
        end_ms = self.scenario.load.duration_ms + SETTLE_MS
        while self._queue and self._queue[0][0] <= end_ms:
            self.now_ms, _, call, arguments = heapq.heappop(self._queue)
            call(*arguments)
        self._callers.finish()
        return self._result()

    # Entry VMs.

    @property
    def clock_ms(self) -> int:
        """Wall-clock time of the entry VMs in milliseconds."""
        return START_MS + int(self.now_ms)

    def home_of(self, key: packet.FlowKey) -> node.Node | None:
        """Return the home to which a random VM forwards a flow.

        Returns:
            The home; None if the random VM or the home has stopped.
        """
        entry = self.nodes[self.rng.choice(self._receiving_vms)]
        current = entry.tables.epochs.current
        if not entry.alive or current is None:
            return None
        name = current.locate(key, current.config.services["desk"]).home
        found = self.nodes[name] if name is not None else None
        return found if found is not None and found.alive else None

    def deliver_request(self, item: packet.Packet, key: packet.FlowKey) -> bool:
        """Deliver a caller's packet to the flow's home; return False if it is lost."""
        home = self.home_of(key)
        if home is None:
            return False
        owner = self._config.services["desk"]
        home.home.request(self.clock_ms, item, key, owner)
        self._carry_out(home, home.outbox.take())
        return True

    def deliver_answer(
        self, item: packet.Packet, key: packet.FlowKey, name: str
    ) -> bool:
        """Deliver a target's packet to the flow's home; return False if it is lost."""
        home = self.home_of(key)
        if home is None:
            return False
        sender = self._config.targets[name]
        owner = self._config.services["desk"]
        home.home.answer(self.clock_ms, item, key, sender, owner)
        self._carry_out(home, home.outbox.take())
        return True

    def _carry_out(self, sender: node.Node, actions: list[message.Action]) -> None:
        for action in actions:
            match action:
                case message.SendDatagram():
                    name = self._endpoints[action.destination]
                    self.call_later(
                        HOP_MS, self._callers.receive_at_target, name, action.payload
                    )
                case message.SendFabric():
                    self.call_later(
                        HOP_MS, self._callers.receive_at_caller, action.payload
                    )
                case message.SendPeer():
                    self._send_to_peer(sender, action)

    def _send_to_peer(self, sender: node.Node, action: message.SendPeer) -> None:
        ip = ".".join(str(part) for part in action.destination.ip)
        receiver = self.nodes[self._addresses[ip]]
        if not (sender.cut or receiver.cut):
            self.call_later(
                HOP_MS, self._receive_from_peer, sender, receiver, action.payload
            )

    def _receive_from_peer(
        self, sender: node.Node, receiver: node.Node, payload: bytes
    ) -> None:
        if receiver.alive:
            actions = receiver.receive_peer_message(
                self.clock_ms, sender.vm.name, payload
            )
            self._carry_out(receiver, actions)

    def _tick(self, item: node.Node) -> None:
        if item.alive:
            self._carry_out(item, item.tick(self.clock_ms))
            self.call_later(TICK_MS, self._tick, item)

    def _send_report(self, item: node.Node) -> None:
        if not item.alive:
            return
        report = item.load_report(self.clock_ms)
        for other in self.nodes.values():
            if other is not item and not (item.cut or other.cut):
                item.peers.send_link(other.vm.name, report)
                self.call_later(
                    HOP_MS, self._record_report, other, item.vm.name, report
                )
        item.outbox.take()
        self.call_later(REPORT_INTERVAL_MS, self._send_report, item)

    def _record_report(
        self, receiver: node.Node, sender: str, report: wire.LoadReport
    ) -> None:
        receiver.tables.loads.record(self.clock_ms, sender, report)

    def _update_epoch(self, item: node.Node) -> None:
        if not item.alive:
            return
        reachable = [
            other.me
            for other in self.nodes.values()
            if other is item or (other.alive and not (other.cut or item.cut))
        ]
        item.peers.set_members([other.me for other in self.nodes.values()])
        item.tables.epochs.advance(
            self.clock_ms, node.epoch_of(self._config, reachable)
        )

    # Events.

    def _apply_event(self, event: scenario.Event) -> None:
        kinds = scenario.EventKind
        name = event.subject
        match event.kind:
            case kinds.TARGET_DOWN:
                self._stop_target(name)
            case kinds.TARGET_UP:
                self.targets[name].start(self.now_ms)
            case kinds.TARGET_HANGS:
                self._disturbed_targets.add(name)
                self.targets[name].hangs = True
            case kinds.DRAIN:
                self._disturbed_targets.add(name)
                self._drained_targets.add(name)
                self._config = _config(self.scenario, self._drained_targets)
                self._schedule_epoch_updates()
            case kinds.VM_DOWN:
                self._stop_vm(name)
            case kinds.VM_CUT:
                self.nodes[name].cut = True
                self._schedule_epoch_updates()
            case kinds.ZONE_DOWN:
                self._stop_zone(name)

    def _stop_target(self, name: str) -> None:
        self._disturbed_targets.add(name)
        for attempt in self.targets[name].stop():
            self._callers.break_flow(attempt)

    def _stop_vm(self, name: str) -> None:
        self.nodes[name].alive = False
        self.call_later(MAX_DETECTION_MS / 2, self._receiving_vms.remove, name)
        self._schedule_epoch_updates()

    def _stop_zone(self, zone: str) -> None:
        for item in self.scenario.targets:
            if item.zone == zone:
                self._stop_target(item.name)
        for vm in self.scenario.vms:
            if vm.zone == zone:
                self._stop_vm(vm.name)

    def _schedule_epoch_updates(self) -> None:
        # VMs detect a change at different times.
        for item in self.nodes.values():
            delay_ms = MAX_DETECTION_MS * (0.5 + self.rng.random() / 2)
            self.call_later(delay_ms, self._update_epoch, item)

    def _result(self) -> outcome.Result:
        tally = self.tally
        counters = message.Counter
        placed = max(1, self._sum_counter(counters.FLOWS_PLACED))
        steady_targets = set(self.targets) - self._disturbed_targets
        seconds = self.scenario.load.duration_ms / 1000
        control = (
            self._sum_counter(counters.CONTROL_SENT_BYTES) / len(self.nodes) / seconds
        )
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
            outcome.imbalance(self.targets.values(), steady_targets),
            tally.wait_ms(first, 50),
            tally.wait_ms(first, 99),
            tally.hot_share,
            tally.other_share,
            round(self._sum_counter(counters.FLOWS_EXCEPTION) / placed, 3),
            self._sum_counter(counters.FLOWS_MOVED),
            round(control),
        )

    def _sum_counter(self, counter: message.Counter) -> int:
        return sum(item.outbox.counts[counter] for item in self.nodes.values())


def _config(spec: scenario.Scenario, drained: set[str]) -> config.Config:
    lines = [
        f"service desk {_SERVICE} tcp shutdown=2099-12-31 wait_ms={spec.wait_ms} # load"
    ]
    if spec.per_caller:
        lines.append(f"limit desk per_caller={spec.per_caller} # load")
    for index, item in enumerate(spec.targets):
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
