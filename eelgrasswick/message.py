"""Events that an entry VM's engine processes, and actions that it returns.

The engine has no socket, clock or random source. A harness or the daemon passes
it events, each with the present time, and executes the actions that it returns.
"""

import enum
import typing

from eelgrasswick import packet
from eelgrasswick.fleet import member


class FabricDatagram(typing.NamedTuple):
    """A datagram received from the fabric or a target.

    Attributes:
        source: Outer source address.
        payload: UDP payload.
    """

    source: packet.Address
    payload: bytes


class PeerDatagram(typing.NamedTuple):
    """A datagram received on the peer port."""

    source: packet.Address
    payload: bytes


class LinkReceived(typing.NamedTuple):
    """A message received from another VM over a link.

    Attributes:
        sender: Name of the VM, as established when the link was opened.
        payload: Encoded peer message.
    """

    sender: str
    payload: bytes


class StoreRead(typing.NamedTuple):
    """The platform responded to a read or a watch.

    Attributes:
        value: The encoded rules document, or None when the store has none.
    """

    value: bytes | None


class VmsListed(typing.NamedTuple):
    """The platform's listing of VMs, which lags behind their actual state."""

    members: tuple[member.Member, ...]


class StoreFailed(typing.NamedTuple):
    """The platform did not respond."""

    detail: str


class Tick(typing.NamedTuple):
    """Time has passed; sent every ``engine.TICK_MS``."""


class Leave(typing.NamedTuple):
    """The operator requested that this VM stops."""


Event = (
    FabricDatagram
    | PeerDatagram
    | LinkReceived
    | StoreRead
    | VmsListed
    | StoreFailed
    | Tick
    | Leave
)


class SendDatagram(typing.NamedTuple):
    """Send a datagram from the data port to a target."""

    destination: packet.Address
    payload: bytes


class SendFabric(typing.NamedTuple):
    """Send a datagram from the data port to the fabric, for a caller."""

    payload: bytes


class SendPeer(typing.NamedTuple):
    """Send a datagram from the peer port to another VM."""

    destination: packet.Address
    payload: bytes


class SendLink(typing.NamedTuple):
    """Send an encoded peer message over the link to a VM.

    Attributes:
        receiver: Name of the VM.
        destination: Address at which the VM accepts links.
        payload: Encoded peer message.
    """

    receiver: str
    destination: packet.Address
    payload: bytes


class WatchStore(typing.NamedTuple):
    """Start or stop watching the platform's store from this VM."""

    active: bool


class ReportInForce(typing.NamedTuple):
    """Write to the platform which sequence each known VM of the zone has in force.

    Attributes:
        sequences: Name and sequence of each VM of this VM's zone.
    """

    sequences: tuple["InForce", ...]


class InForce(typing.NamedTuple):
    """The configuration one VM has in force."""

    vm: str
    sequence: int


class RepairStore(typing.NamedTuple):
    """Write an accepted document back to a store that lost or replaced it."""

    value: bytes
    sequence: int


class RecordTargetEmpty(typing.NamedTuple):
    """Write to the audit trail that a target has no open flows any more.

    Attributes:
        target: Name of the target.
        sequence: Configuration in which the target was first draining or retired.
        since_ms: Time at which its last flow had ended, milliseconds since 1970.
        homes: Number of VMs whose flow counts were available.
    """

    target: str
    sequence: int
    since_ms: int
    homes: int


class Field(typing.NamedTuple):
    """One key and value of a log line."""

    key: str
    value: str | int | float


class Log(typing.NamedTuple):
    """Write one event to the log."""

    name: str
    fields: tuple[Field, ...]


class Stopped(typing.NamedTuple):
    """The VM has left the fleet, and its process may end."""


# The task with the store connection executes these actions.
StoreAction = WatchStore | ReportInForce | RepairStore | RecordTargetEmpty

Action = (
    SendDatagram
    | SendFabric
    | SendPeer
    | SendLink
    | WatchStore
    | ReportInForce
    | RepairStore
    | RecordTargetEmpty
    | Log
    | Stopped
)


def log(name: str, **fields: str | int | float) -> Log:
    """Return a log action from keyword arguments."""
    return Log(name, tuple(Field(key, value) for key, value in fields.items()))


class Counter(enum.Enum):
    """Counters of an entry VM; the metric names derive from their values."""

    PACKETS_REQUEST = "packets_request"
    PACKETS_ANSWER = "packets_answer"
    PACKETS_FORWARDED = "packets_forwarded"
    PACKETS_MALFORMED = "packets_malformed"
    PACKETS_UNSUPPORTED = "packets_unsupported"
    PACKETS_UNKNOWN_SENDER = "packets_unknown_sender"
    PACKETS_UNKNOWN_SERVICE = "packets_unknown_service"
    PACKETS_UNKNOWN_FLOW = "packets_unknown_flow"
    PACKETS_NO_HOME = "packets_no_home"
    PACKETS_OUTDATED = "packets_outdated"
    PACKETS_HOP_LIMIT = "packets_hop_limit"
    ANSWERS_STRAY = "answers_stray"
    RESETS_HELD_BACK = "resets_held_back"
    FLOWS_PLACED = "flows_placed"
    FLOWS_EXCEPTION = "flows_exception"
    FLOWS_LEARNED = "flows_learned"
    FLOWS_GUESSED = "flows_guessed"
    FLOWS_MOVED = "flows_moved"
    FLOWS_REFUSED = "flows_refused"
    FLOWS_WAITED = "flows_waited"
    FLOWS_CLOSED = "flows_closed"
    FLOWS_EXPIRED = "flows_expired"
    FLOWS_DROPPED = "flows_dropped"
    MESSAGES_INVALID = "messages_invalid"
    MESSAGES_DROPPED = "messages_dropped"
    CONFIG_ACCEPTED = "config_accepted"
    CONFIG_REFUSED = "config_refused"
    CONTROL_SENT_BYTES = "control_sent_bytes"
    CONTROL_SENT = "control_sent"


class Outbox:
    """Collects the actions and counts that the parts of the engine produce."""

    def __init__(self) -> None:
        """Create an empty outbox."""
        self.actions: list[Action] = []
        self.counts: dict[Counter, int] = dict.fromkeys(Counter, 0)

    def put(self, action: Action) -> None:
        """Add an action."""
        self.actions.append(action)

    def count(self, counter: Counter, amount: int = 1) -> None:
        """Add to a counter."""
        self.counts[counter] += amount

    def take(self) -> list[Action]:
        """Return the collected actions and clear the list."""
        taken = self.actions
        self.actions = []
        return taken
