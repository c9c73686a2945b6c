"""Three ways to place flows, as flat models under the same load.

``slots`` is a slot table that every VM holds: a packet goes straight to its
slot's target, and each flow that is elsewhere is told to every VM. ``home`` is
the design in use. ``relay`` forwards every packet to a home, which has a backup
keep every flow. Bytes are those of the messages in ``wire``.
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
    """What one way came to.

    Attributes:
        way: Name of the way.
        vms: Entry VMs.
        flows: New flows during the trial.
        open_flows: Open flows at its end.
        imbalance: Mean over time of the fullest target's load over its share.
        exception_share: Part of the new flows that are off their default.
        passes: VMs that a packet passes, on average over both directions.
        control_bytes_per_flow: Control bytes in the fleet per new flow.
        drain_bytes: Control bytes in the fleet when one target drains.
        leave_bytes: Control bytes in the fleet when one VM leaves.
        records_per_flow: Entries kept in the fleet per open flow, all copies.
        hints_per_flow: Hints kept in the fleet per open flow, those of flows
            that ended within the lifetime of a hint included.
        lost_by_drain: Flows that meet two targets while a drain spreads.
        lost_by_kill: Flows of which nobody knows the target after a kill.
        stalled_by_kill: Packets that wait until the kill is noticed.
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
    """One flow on its target.

    Attributes:
        flow: The flow.
        target: Name of its target.
        default: Name of its default target.
        home: Name of its home.
    """

    flow: trial_load.Flow
    target: str
    default: str
    home: str

    @property
    def exception(self) -> bool:
        """True when hashing alone does not find the target."""
        return self.target != self.default


class Placements(typing.NamedTuple):
    """All flows on their targets.

    Attributes:
        flows: The flows, those of the warm-up included.
        imbalance: Mean over time of the fullest target's load over its share.
    """

    flows: list[PlacedFlow]
    imbalance: float


class PacketCounts(typing.NamedTuple):
    """The packets of one flow on their way through the VMs.

    Attributes:
        packets: Packets of both directions.
        passes: VMs that these passed, added up.
        stalled: Packets that need the home while its death is unnoticed.
    """

    packets: int
    passes: int
    stalled: int


def run(load: trial_load.Load) -> list[Row]:
    """Return one row for each way."""
    stage = Setup(load)
    plain = stage.place(bounded=False)
    bounded = stage.place(bounded=True)
    return [
        _slots(stage, "slots_plain", plain),
        _slots(stage, "slots_bounded", bounded),
        _home(stage, bounded),
        _relay(stage, bounded),
    ]


class Setup:
    """The load, the fleet and the rules that all ways share."""

    def __init__(self, load: trial_load.Load) -> None:
        """Prepare the flows and an epoch."""
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

    def owner(self, of: epoch.Epoch) -> service.Service:
        """Return the service of all flows under an epoch."""
        return of.config.services["s0"]

    def place(self, bounded: bool) -> Placements:
        """Place all flows; each home knows the others' counts of a second ago."""
        policy = placement.BoundedHash()
        tables = trial_counts.OpenFlowCounts(-trial_load.LONG_MAX_MS)
        closing: list[tuple[float, str, str]] = []
        placed = []
        samples = []
        sample_ms = 0.0
        owner = self.owner(self.epoch)
        for item in self.flows:
            while closing and closing[0][0] <= item.at_ms:
                _, home, name = heapq.heappop(closing)
                tables.add(home, name, -1)
            tables.refresh(item.at_ms)
            if item.at_ms >= sample_ms:
                sample_ms = item.at_ms + _SAMPLE_MS
                samples.append(_imbalance(tables.totals, owner.targets))
            place = self.epoch.locate(item.key, owner)
            assert place.default is not None and place.home is not None
            chosen = place.default
            if bounded:
                loads = [
                    _target_load(one, tables.estimate(place.home, one.name))
                    for one in self.epoch.ranked(item.key, owner)
                ]
                chosen = policy.choose(loads, self.load.bound_factor) or chosen
            tables.add(place.home, chosen.name, 1)
            heapq.heappush(closing, (item.until_ms, place.home, chosen.name))
            placed.append(PlacedFlow(item, chosen.name, place.default.name, place.home))
        return Placements(placed, sum(samples) / len(samples))

    def new(self, placed: Placements) -> list[PlacedFlow]:
        """Return the flows that open during the trial."""
        return [item for item in placed.flows if item.flow.at_ms >= 0]

    def open(self, placed: Placements) -> list[PlacedFlow]:
        """Return the flows that are open when the trial ends."""
        return [item for item in placed.flows if item.flow.until_ms > self.end_ms]

    def count_direct(self, item: PlacedFlow) -> PacketCounts:
        """Carry a flow whose packets each go straight from any VM."""
        packets = 2 * len(item.flow.requests_ms())
        return PacketCounts(packets, packets, 0)

    def count_with_hints(self, item: PlacedFlow) -> PacketCounts:
        """Carry a flow by the home, except where a VM has a hint."""
        hints: dict[str, float] = {}
        times_ms = item.flow.requests_ms()
        passes = stalled = 0
        for index, at_ms in enumerate(times_ms):
            ends = index in (0, len(times_ms) - 1)
            entry = self.rng.choice(self.names)
            known = not ends and hints.get(entry, -1.0) >= at_ms
            away = entry != item.home and not known
            passes += 2 if away else 1
            waits = self.end_ms - DETECTION_MS <= at_ms < self.end_ms
            if waits and item.home == self.names[0] and not known:
                stalled += 1
            back = self.rng.choice(self.names)
            passes += 2 if ends and back != item.home else 1
            hints[back] = at_ms + HINT_TTL_MS
        return PacketCounts(2 * len(times_ms), passes, stalled)

    def hints(self, item: PlacedFlow) -> int:
        """Return how many VMs hold a hint of a flow when the trial ends."""
        since_ms = self.end_ms - HINT_TTL_MS
        answers = sum(since_ms <= t < self.end_ms for t in item.flow.requests_ms())
        return len({self.rng.choice(self.names) for _ in range(answers)})

    def count_through_home(self, item: PlacedFlow) -> PacketCounts:
        """Carry a flow whose requests all go by the home."""
        times_ms = item.flow.requests_ms()
        away = sum(self.rng.choice(self.names) != item.home for _ in times_ms)
        waits = [t for t in times_ms if self.end_ms - DETECTION_MS <= t < self.end_ms]
        stalled = len(waits) if item.home == self.names[0] else 0
        return PacketCounts(2 * len(times_ms), 2 * len(times_ms) + away, stalled)


def _slots(stage: Setup, way: str, placed: Placements) -> Row:
    new, still = stage.new(placed), stage.open(placed)
    exceptions = [item for item in new if item.exception]
    others = stage.load.vms - 1
    told = len(exceptions) * (BACKUP_ENTRY_BYTES + DISCARD_ENTRY_BYTES) * others
    moved = [item for item in still if _default(stage, item) != item.default]
    kept = sum(item.exception for item in still)
    # While a table spreads, the packets of a flow that opens now meet VMs of
    # both views; those whose slot moves reach two targets.
    opening = [
        item
        for item in still
        if item.flow.at_ms >= stage.end_ms - DISSEMINATION_MS
        and _default(stage, item) != item.default
    ]
    passages = [stage.count_direct(item) for item in new]
    return _row(stage, way, placed, passages)._replace(
        control_bytes_per_flow=round(told / len(new), 1),
        drain_bytes=round(len(moved) * BACKUP_ENTRY_BYTES * others),
        records_per_flow=round(kept * stage.load.vms / len(still), 2),
        lost_by_drain=len(opening),
    )


def _home(stage: Setup, placed: Placements) -> Row:
    new, still = stage.new(placed), stage.open(placed)
    exceptions = sum(item.exception for item in new)
    told = exceptions * (BACKUP_ENTRY_BYTES + DISCARD_ENTRY_BYTES)
    kept = sum(item.exception for item in still)
    passages = [stage.count_with_hints(item) for item in new]
    hints = sum(stage.hints(item) for item in placed.flows)
    fresh = [
        item
        for item in still
        if item.exception
        and item.home == stage.names[0]
        and item.flow.at_ms >= stage.end_ms - BACKUP_FLUSH_MS
    ]
    return _row(stage, "home", placed, passages)._replace(
        control_bytes_per_flow=round(told / len(new), 1),
        drain_bytes=_moved_bytes(stage, still, stage.after_drain),
        leave_bytes=_moved_bytes(stage, still, stage.after_leave),
        records_per_flow=round(1 + kept / len(still), 2),
        hints_per_flow=round(hints / len(still), 2),
        lost_by_kill=len(fresh),
    )


def _relay(stage: Setup, placed: Placements) -> Row:
    new, still = stage.new(placed), stage.open(placed)
    fresh = [
        item
        for item in still
        if item.home == stage.names[0]
        and item.flow.at_ms >= stage.end_ms - BACKUP_FLUSH_MS
    ]
    gone = sum(item.home == stage.names[0] for item in still)
    passages = [stage.count_through_home(item) for item in new]
    return _row(stage, "relay", placed, passages)._replace(
        control_bytes_per_flow=float(
            round(BACKUP_ENTRY_BYTES + DISCARD_ENTRY_BYTES, 1)
        ),
        # The home hands its flows over, and their new home keeps them anew.
        leave_bytes=round(2 * gone * BACKUP_ENTRY_BYTES),
        records_per_flow=2.0,
        lost_by_kill=len(fresh),
    )


def _moved_bytes(stage: Setup, still: list[PlacedFlow], after: epoch.Epoch) -> int:
    # As the rehomer does: an exception goes to its new home, or to the backup
    # when the home stays; a new home has its backup keep it.
    owner = stage.owner(after)
    sent = 0
    for item in still:
        place = after.locate(item.flow.key, owner)
        assert place.default is not None
        if item.target == place.default.name:
            continue
        sent += 2 if place.home != item.home else 1
    return round(sent * BACKUP_ENTRY_BYTES)


def _default(stage: Setup, item: PlacedFlow) -> str:
    owner = stage.owner(stage.after_drain)
    default = stage.after_drain.locate(item.flow.key, owner).default
    assert default is not None
    return default.name


def _row(
    stage: Setup, way: str, placed: Placements, passages: list[PacketCounts]
) -> Row:
    new, still = stage.new(placed), stage.open(placed)
    packets = sum(item.packets for item in passages)
    return Row(
        way=way,
        vms=stage.load.vms,
        flows=len(new),
        open_flows=len(still),
        imbalance=round(placed.imbalance, 2),
        exception_share=round(sum(i.exception for i in new) / len(new), 4),
        passes=round(sum(item.passes for item in passages) / packets, 3),
        control_bytes_per_flow=0.0,
        drain_bytes=0,
        leave_bytes=0,
        records_per_flow=0.0,
        hints_per_flow=0.0,
        lost_by_drain=0,
        lost_by_kill=0,
        stalled_by_kill=sum(item.stalled for item in passages),
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
    """Return a target's load for a model in which no flow fades from memory."""
    return placement.TargetLoad(item, flows, 0, flows, item.weight, True)
