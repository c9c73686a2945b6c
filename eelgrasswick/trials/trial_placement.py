"""Three designs for placing flows, compared as simple models under one load.

With ``slots``, every VM holds the same slot table. Each packet goes directly to
its slot's target, and each flow on another target is announced to every VM.
``home`` is the present design. With ``relay``, every request is forwarded to
the flow's home, which replicates every flow to a backup. Sizes in bytes are
those of the messages in ``wire``.
"""

import heapq
import random
import typing

from eelgrasswick import (
    config,
    service,
    target,
    wire,
)
from eelgrasswick.decisions import placement
from eelgrasswick.emulation import virtual_fleet
from eelgrasswick.fleet import member
from eelgrasswick.homes import (
    epoch,
    replica,
)
from eelgrasswick.trials import (
    trial_counts,
    trial_load,
)

ZONES: typing.Final = ("z1", "z2", "z3")
TARGETS: typing.Final = 7
HINT_TTL_MS: typing.Final = 10_000.0
BACKUP_FLUSH_MS: typing.Final = 50.0
DETECTION_MS: typing.Final = 1300.0
DISSEMINATION_MS: typing.Final = 200.0
_SAMPLE_MS: typing.Final = 500.0


class Row(typing.NamedTuple):
    """Results of one design.

    Attributes:
        way: Name of the design.
        vms: Entry VMs.
        flows: New flows during the trial.
        open_flows: Flows that are open when the trial ends.
        imbalance: Mean over time of the load of the most loaded target, as a
            multiple of its share.
        exception_share: Share of the new flows on another target than their
            default target.
        passes: VMs that a packet passes, on average over both directions.
        control_bytes_per_flow: Control bytes in the fleet per new flow.
        drain_bytes: Control bytes in the fleet when one target drains.
        leave_bytes: Control bytes in the fleet when one VM leaves.
        records_per_flow: Flow records in the fleet per open flow, with all
            copies.
        hints_per_flow: Hints in the fleet per open flow, including hints of
            flows that ended within the lifetime of a hint.
        lost_by_drain: Flows whose packets reach two targets while a drain is
            disseminated.
        lost_by_kill: Flows whose target no VM has on record after a kill.
        stalled_by_kill: Packets that wait until the killed VM is detected.
    """

    way: str
    vms: int
    flows: int
    open_flows: int
    imbalance: float
    exception_share: float
    passes: float
    control_bytes_per_flow: float
    drain_bytes: int
    leave_bytes: int
    records_per_flow: float
    hints_per_flow: float
    lost_by_drain: int
    lost_by_kill: int
    stalled_by_kill: int


class PlacedFlow(typing.NamedTuple):
    """One flow with its placement.

    Attributes:
        flow: The flow.
        target: Name of the target on which the flow is placed.
        default: Name of the flow's default target.
        home: Name of the VM that is the flow's home.
    """

    flow: trial_load.Flow
    target: str
    default: str
    home: str

    @property
    def exception(self) -> bool:
        """Whether the flow is on another target than its default target."""
        return self.target != self.default


class Placements(typing.NamedTuple):
    """All flows with their placements.

    Attributes:
        flows: The flows, including those of the warm-up.
        imbalance: Mean over time of the load of the most loaded target, as a
            multiple of its share.
    """

    flows: list[PlacedFlow]
    imbalance: float


class PacketCounts(typing.NamedTuple):
    """Packets of one flow and the VMs that process them.

    Attributes:
        packets: Packets of both directions.
        passes: Number of VMs that a packet passes, summed over the packets.
        stalled: Packets that need the home after its death and before the
            death is detected.
    """

    packets: int
    passes: int
    stalled: int


def run(load: trial_load.Load) -> list[Row]:
    """Return one row for each design.

    The slot table has two rows: without and with a bound on targets' load.
    """
    setup = Setup(load)
    default = setup.place(bounded=False)
    bounded = setup.place(bounded=True)
    return [
        _slots_row(setup, "slots_plain", default),
        _slots_row(setup, "slots_bounded", bounded),
        _home_row(setup, bounded),
        _relay_row(setup, bounded),
    ]


class Setup:
    """The load, the fleet and the epochs that all designs share.

    Attributes:
        load: Parameters of the trial.
        rng: Source of the random choices of VMs.
        flows: The flows in the order in which they open.
        names: Names of the VMs; the first one leaves or is killed.
        end_ms: Virtual time of the end of the trial.
        epoch: Epoch during the trial.
        after_drain: Epoch in which target ``t6`` drains.
        after_leave: Epoch without the first VM.
    """

    def __init__(self, load: trial_load.Load) -> None:
        """Generate the flows and create the epochs."""
        self.load = load
        self.rng = random.Random(load.seed + 1)
        self.flows = trial_load.generate_flows(load)
        self.names = [f"vm{index + 1}" for index in range(load.vms)]
        self.end_ms = load.duration_s * 1000.0
        text = virtual_fleet.rules_text(1, TARGETS, ZONES)
        self._members = [_member(n, i) for i, n in enumerate(self.names)]
        self.epoch = self._epoch(text, self._members)
        drained = f"{text}drain t6  # asked by a measurement\n"
        self.after_drain = self._epoch(drained, self._members)
        self.after_leave = self._epoch(text, self._members[1:])

    def _epoch(self, text: str, members: list[member.Member]) -> epoch.Epoch:
        document = virtual_fleet.document(1, text)
        return epoch.Epoch(config.Config(document), members)

    def owner(self, current: epoch.Epoch) -> service.Service:
        """Return the service of all flows under an epoch."""
        return current.config.services["s0"]

    def place(self, bounded: bool) -> Placements:
        """Place all flows and return their placements.

        Each home has the open flows of other homes from their last reports,
        which are sent once a second.

        Args:
            bounded: Whether to bound the load of targets; otherwise every flow
                is placed on its default target.
        """
        policy = placement.BoundedHash()
        counts = trial_counts.OpenFlowCounts(-trial_load.LONG_MAX_MS)
        closing: list[tuple[float, str, str]] = []
        placed = []
        samples = []
        sample_ms = 0.0
        owner = self.owner(self.epoch)
        for item in self.flows:
            while closing and closing[0][0] <= item.at_ms:
                _, home, name = heapq.heappop(closing)
                counts.add(home, name, -1)
            counts.refresh(item.at_ms)
            if item.at_ms >= sample_ms:
                sample_ms = item.at_ms + _SAMPLE_MS
                samples.append(_imbalance(counts.totals, owner.targets))
            place = self.epoch.locate(item.key, owner)
            assert place.default is not None and place.home is not None
            chosen = place.default
            if bounded:
                loads = [
                    _target_load(one, counts.estimate(place.home, one.name))
                    for one in self.epoch.ranked(item.key, owner)
                ]
                chosen = policy.choose(loads, self.load.bound_factor) or chosen
            counts.add(place.home, chosen.name, 1)
            heapq.heappush(closing, (item.until_ms, place.home, chosen.name))
            placed.append(PlacedFlow(item, chosen.name, place.default.name, place.home))
        return Placements(placed, sum(samples) / len(samples))

    def new(self, placements: Placements) -> list[PlacedFlow]:
        """Return the flows that open during the trial."""
        return [item for item in placements.flows if item.flow.at_ms >= 0]

    def open(self, placements: Placements) -> list[PlacedFlow]:
        """Return the flows that are open when the trial ends."""
        return [item for item in placements.flows if item.flow.until_ms > self.end_ms]

    def count_direct(self, item: PlacedFlow) -> PacketCounts:
        """Count packets when any VM sends them directly to the target."""
        packets = 2 * len(item.flow.requests_ms())
        return PacketCounts(packets, packets, 0)

    def count_with_hints(self, item: PlacedFlow) -> PacketCounts:
        """Count packets when VMs without a hint forward them to the home."""
        hints: dict[str, float] = {}
        times_ms = item.flow.requests_ms()
        passes = stalled = 0
        for index, at_ms in enumerate(times_ms):
            # Packets that open or end a flow pass the home in both directions,
            # so that the home records the whole life of the flow.
            at_either_end = index in (0, len(times_ms) - 1)
            request_vm = self.rng.choice(self.names)
            hinted = not at_either_end and hints.get(request_vm, -1.0) >= at_ms
            forwarded = request_vm != item.home and not hinted
            passes += 2 if forwarded else 1
            before_detection = self.end_ms - DETECTION_MS <= at_ms < self.end_ms
            if before_detection and item.home == self.names[0] and not hinted:
                stalled += 1
            answer_vm = self.rng.choice(self.names)
            passes += 2 if at_either_end and answer_vm != item.home else 1
            hints[answer_vm] = at_ms + HINT_TTL_MS
        return PacketCounts(2 * len(times_ms), passes, stalled)

    def hints(self, item: PlacedFlow) -> int:
        """Return the number of VMs with a hint of a flow when the trial ends."""
        since_ms = self.end_ms - HINT_TTL_MS
        answers = sum(since_ms <= t < self.end_ms for t in item.flow.requests_ms())
        return len({self.rng.choice(self.names) for _ in range(answers)})

    def count_through_home(self, item: PlacedFlow) -> PacketCounts:
        """Count packets when all requests are forwarded to the home."""
        times_ms = item.flow.requests_ms()
        forwarded = sum(self.rng.choice(self.names) != item.home for _ in times_ms)
        waiting = [t for t in times_ms if self.end_ms - DETECTION_MS <= t < self.end_ms]
        stalled = len(waiting) if item.home == self.names[0] else 0
        return PacketCounts(2 * len(times_ms), 2 * len(times_ms) + forwarded, stalled)


def _slots_row(setup: Setup, way: str, placements: Placements) -> Row:
    new, open_flows = setup.new(placements), setup.open(placements)
    exceptions = [item for item in new if item.exception]
    others = setup.load.vms - 1
    control_bytes = (
        len(exceptions) * (BACKUP_ENTRY_BYTES + DISCARD_ENTRY_BYTES) * others
    )
    moved = [
        item for item in open_flows if _default_after_drain(setup, item) != item.default
    ]
    open_exceptions = sum(item.exception for item in open_flows)
    # While a new table is disseminated, packets of a flow that has just opened
    # pass VMs with the old table and VMs with the new one. If the flow's slot
    # moves, the packets reach two targets.
    opening = [
        item
        for item in open_flows
        if item.flow.at_ms >= setup.end_ms - DISSEMINATION_MS
        and _default_after_drain(setup, item) != item.default
    ]
    packet_counts = [setup.count_direct(item) for item in new]
    return _common_row(setup, way, placements, packet_counts)._replace(
        control_bytes_per_flow=round(control_bytes / len(new), 1),
        drain_bytes=round(len(moved) * BACKUP_ENTRY_BYTES * others),
        records_per_flow=round(open_exceptions * setup.load.vms / len(open_flows), 2),
        lost_by_drain=len(opening),
    )


def _home_row(setup: Setup, placements: Placements) -> Row:
    new, open_flows = setup.new(placements), setup.open(placements)
    exceptions = sum(item.exception for item in new)
    control_bytes = exceptions * (BACKUP_ENTRY_BYTES + DISCARD_ENTRY_BYTES)
    open_exceptions = sum(item.exception for item in open_flows)
    packet_counts = [setup.count_with_hints(item) for item in new]
    hints = sum(setup.hints(item) for item in placements.flows)
    unreplicated = [
        item
        for item in open_flows
        if item.exception
        and item.home == setup.names[0]
        and item.flow.at_ms >= setup.end_ms - BACKUP_FLUSH_MS
    ]
    return _common_row(setup, "home", placements, packet_counts)._replace(
        control_bytes_per_flow=round(control_bytes / len(new), 1),
        drain_bytes=_rehome_bytes(setup, open_flows, setup.after_drain),
        leave_bytes=_rehome_bytes(setup, open_flows, setup.after_leave),
        records_per_flow=round(1 + open_exceptions / len(open_flows), 2),
        hints_per_flow=round(hints / len(open_flows), 2),
        lost_by_kill=len(unreplicated),
    )


def _relay_row(setup: Setup, placements: Placements) -> Row:
    new, open_flows = setup.new(placements), setup.open(placements)
    unreplicated = [
        item
        for item in open_flows
        if item.home == setup.names[0]
        and item.flow.at_ms >= setup.end_ms - BACKUP_FLUSH_MS
    ]
    leaving = sum(item.home == setup.names[0] for item in open_flows)
    packet_counts = [setup.count_through_home(item) for item in new]
    return _common_row(setup, "relay", placements, packet_counts)._replace(
        control_bytes_per_flow=float(
            round(BACKUP_ENTRY_BYTES + DISCARD_ENTRY_BYTES, 1)
        ),
        # The leaving home sends its flows to their new homes, which replicate
        # them to their backups again.
        leave_bytes=round(2 * leaving * BACKUP_ENTRY_BYTES),
        records_per_flow=2.0,
        lost_by_kill=len(unreplicated),
    )


def _rehome_bytes(
    setup: Setup, open_flows: list[PlacedFlow], after: epoch.Epoch
) -> int:
    # The model follows the rehomer. If the home of an exception changes, the
    # exception is sent to the new home, which replicates it to its backup. If
    # the home stays, it is sent to the backup only.
    owner = setup.owner(after)
    sent = 0
    for item in open_flows:
        place = after.locate(item.flow.key, owner)
        assert place.default is not None
        if item.target == place.default.name:
            continue
        sent += 2 if place.home != item.home else 1
    return round(sent * BACKUP_ENTRY_BYTES)


def _default_after_drain(setup: Setup, item: PlacedFlow) -> str:
    owner = setup.owner(setup.after_drain)
    default = setup.after_drain.locate(item.flow.key, owner).default
    assert default is not None
    return default.name


def _common_row(
    setup: Setup, way: str, placements: Placements, packet_counts: list[PacketCounts]
) -> Row:
    new, open_flows = setup.new(placements), setup.open(placements)
    packets = sum(item.packets for item in packet_counts)
    return Row(
        way=way,
        vms=setup.load.vms,
        flows=len(new),
        open_flows=len(open_flows),
        imbalance=round(placements.imbalance, 2),
        exception_share=round(sum(i.exception for i in new) / len(new), 4),
        passes=round(sum(item.passes for item in packet_counts) / packets, 3),
        control_bytes_per_flow=0.0,
        drain_bytes=0,
        leave_bytes=0,
        records_per_flow=0.0,
        hints_per_flow=0.0,
        lost_by_drain=0,
        lost_by_kill=0,
        stalled_by_kill=sum(item.stalled for item in packet_counts),
    )


def _imbalance(
    counts: typing.Mapping[str, int], targets: typing.Sequence[target.Target]
) -> float:
    total = sum(counts.values())
    strength = sum(item.weight for item in targets)
    if not total:
        return 1.0
    return max(
        counts.get(item.name, 0) * strength / (total * item.weight) for item in targets
    )


def _member(name: str, index: int) -> member.Member:
    return member.Member(
        name,
        ZONES[index % len(ZONES)],
        f"10.0.0.{index + 1}",
        6081,
        6082,
        1,
        1,
        member.MemberState.ALIVE,
    )


def _per_entry(kind: typing.Any, entry: typing.Any) -> float:
    return len(wire.encode(kind((entry,) * replica.BATCH_FLOWS))) / replica.BATCH_FLOWS


BACKUP_ENTRY_BYTES: typing.Final = _per_entry(
    wire.BackupExceptions, wire.FlowPlacement(bytes(13), "target-17")
)
DISCARD_ENTRY_BYTES: typing.Final = _per_entry(wire.DiscardExceptions, bytes(13))


def _target_load(item: target.Target, flows: float) -> placement.TargetLoad:
    """Return a target's load that counts open flows as recent, without decay."""
    return placement.TargetLoad(item, flows, 0, flows, item.weight, True)
