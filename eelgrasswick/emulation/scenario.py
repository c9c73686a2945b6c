"""Data types of the scenarios that the command ``load`` runs.

A scenario describes a fleet of entry VMs, one service, the claimed and the true
properties of its targets, the requests of callers, and events.
"""

import enum
import typing


class EventKind(enum.Enum):
    """What happens to the subject of an event: a VM, a target or a zone."""

    TARGET_DOWN = "target_down"
    TARGET_UP = "target_up"
    TARGET_HANGS = "target_hangs"
    DRAIN = "drain"
    VM_DOWN = "vm_down"
    VM_CUT = "vm_cut"
    ZONE_DOWN = "zone_down"


class Failing(enum.Enum):
    """How a target fails while it still accepts flows."""

    NO = "no"
    RESET = "reset"
    ANSWER = "answer"


class Vm(typing.NamedTuple):
    """An entry VM of the scenario.

    Attributes:
        name: Unique name.
        zone: Its availability zone.
        size: Its relative strength.
    """

    name: str
    zone: str
    size: int


class TargetModel(typing.NamedTuple):
    """The claimed and the true properties of a target.

    Attributes:
        name: Unique name.
        zone: Its availability zone.
        slots: Requests it works on at once.
        connections: Open flows it accepts at once; it refuses further ones.
        weight: Strength that the rules state.
        speed: True speed of each slot; 1 is normal.
        cold_ms: For how long it works at a third of its speed after it starts.
        flattery: Factor by which its load endpoint multiplies its true load.
        fails: Whether it resets flows, or answers at once without working.
    """

    name: str
    zone: str
    slots: int
    connections: int
    weight: float
    speed: float
    cold_ms: int
    flattery: float
    fails: Failing

    @property
    def strength(self) -> float:
        """Work that it truly does per unit of time, in slots of speed 1."""
        return self.slots * self.speed if self.fails is Failing.NO else 0.0


class Work(typing.NamedTuple):
    """One kind of request.

    Attributes:
        name: Its name in the results.
        share: Relative number of requests of this kind.
        work_ms: Time that its work takes in a slot of speed 1.
        hold_ms: For how long the flow stays open after the work.
    """

    name: str
    share: float
    work_ms: float
    hold_ms: int


class Event(typing.NamedTuple):
    """An event of the scenario.

    Attributes:
        at_ms: When it happens, from the start of the run.
        kind: What happens.
        subject: Name of the VM, target or zone to which it happens.
    """

    at_ms: int
    kind: EventKind
    subject: str


class Load(typing.NamedTuple):
    """How many requests callers make, and how long they wait.

    Attributes:
        duration_ms: For how long new requests arrive.
        of_capacity: Offered work over the capacity of all targets.
        burst_at_ms: Start of a burst; 0 for none.
        burst_ms: Length of the burst.
        burst_of_capacity: Offered work over that capacity during the burst.
        deadline_ms: Time from an attempt after which its answer is late.
        tries: Most attempts at a request that is refused and may be retried.
        callers: Number of caller addresses.
        hot_callers: How many of them make the share ``hot_share`` of all requests.
        hot_share: Share of all requests that hot callers make.
    """

    duration_ms: int
    of_capacity: float
    burst_at_ms: int
    burst_ms: int
    burst_of_capacity: float
    deadline_ms: int
    tries: int
    callers: int
    hot_callers: int
    hot_share: float


class Scenario(typing.NamedTuple):
    """A scenario.

    Attributes:
        vms: All entry VMs.
        targets: All targets of the one service.
        works: Kinds of requests.
        load: How many requests callers make.
        events: What happens during the run.
        wait_ms: For how long VMs may keep an opening packet waiting for a target.
        per_caller: Limit of open flows of one caller; 0 for none.
    """

    vms: tuple[Vm, ...]
    targets: tuple[TargetModel, ...]
    works: tuple[Work, ...]
    load: Load
    events: tuple[Event, ...]
    wait_ms: int
    per_caller: int

    @property
    def capacity(self) -> float:
        """Work that all targets do per unit of time, in slots of speed 1."""
        return sum(item.strength for item in self.targets)

    @property
    def mean_work_ms(self) -> float:
        """Mean work of a request, in milliseconds of a slot of speed 1."""
        shares = sum(item.share for item in self.works)
        return sum(item.share * item.work_ms for item in self.works) / shares
