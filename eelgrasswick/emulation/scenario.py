"""What a scenario of the command ``load`` describes.

A fleet of entry VMs, one service with its targets as they claim to be and as
they truly are, the work callers bring, and events.
"""

import enum
import typing


class EventKind(enum.Enum):
    """What can happen to the subject of an event."""

    TARGET_DOWN = "target_down"
    TARGET_UP = "target_up"
    TARGET_HANGS = "target_hangs"
    DRAIN = "drain"
    VM_DOWN = "vm_down"
    VM_CUT = "vm_cut"
    ZONE_DOWN = "zone_down"


class Failing(enum.Enum):
    """How a target fails while it looks alive."""

    NO = "no"
    RESET = "reset"
    ANSWER = "answer"


class Vm(typing.NamedTuple):
    """An entry VM of the scenario."""

    name: str
    zone: str
    size: int


class TargetModel(typing.NamedTuple):
    """A target as it claims to be and as it is.

    Attributes:
        name: Unique name.
        zone: Its availability zone.
        slots: Requests it works on at once.
        connections: Open flows it takes; it sheds above.
        weight: Strength that the rules claim.
        speed: True work done per slot and time; 1 is normal.
        cold_ms: Time at a third of its speed after it starts.
        flattery: What its load endpoint multiplies the truth with.
        fails: Whether it resets, or answers at once without working.
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
        """Work it truly does per unit of time."""
        return self.slots * self.speed if self.fails is Failing.NO else 0.0


class Work(typing.NamedTuple):
    """One kind of request.

    Attributes:
        name: Its name in the results.
        share: Relative part of all requests.
        work_ms: Time in a slot of speed 1.
        hold_ms: Time for which the flow stays open after the work.
    """

    name: str
    share: float
    work_ms: float
    hold_ms: int


class Event(typing.NamedTuple):
    """Something that happens at a time to a VM, target or zone."""

    at_ms: int
    kind: EventKind
    subject: str


class Load(typing.NamedTuple):
    """How much callers bring.

    Attributes:
        duration_ms: How long new requests come.
        of_capacity: Offered work over what all targets can do.
        burst_at_ms: Start of a burst; 0 for none.
        burst_ms: Length of the burst.
        burst_of_capacity: Offered work during the burst.
        deadline_ms: An answer later than this is of no use.
        tries: Attempts of a caller that is refused and told to come back.
        callers: Number of caller addresses.
        hot_callers: How many of them bring ``hot_share`` of all requests.
        hot_share: See ``hot_callers``.
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
    """A whole scenario."""

    vms: tuple[Vm, ...]
    targets: tuple[TargetModel, ...]
    works: tuple[Work, ...]
    load: Load
    events: tuple[Event, ...]
    wait_ms: int
    per_caller: int

    @property
    def capacity(self) -> float:
        """Work that all targets do per unit of time."""
        return sum(item.strength for item in self.targets)

    @property
    def mean_work_ms(self) -> float:
        """Mean work of a request."""
        shares = sum(item.share for item in self.works)
        return sum(item.share * item.work_ms for item in self.works) / shares
