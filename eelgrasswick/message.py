"""What an entry VM's engine is fed and what it returns.

The engine has no socket, clock or random source. A harness or the daemon feeds
it events, each with the present time, and carries out the actions it returns.
"""

import enum
import typing

from eelgrasswick import packet
from eelgrasswick.fleet import member


class FabricDatagram(typing.NamedTuple):
    """A datagram from the fabric or a target.

    Attributes:
        source: Outer source address.
        payload: UDP payload.
    """

    source: packet.Address
    payload: bytes


class PeerDatagram(typing.NamedTuple):
    """A datagram on the port where other VMs speak."""

    source: packet.Address
    payload: bytes


class LinkReceived(typing.NamedTuple):
    """A message from another VM over a link.

    Attributes:
        sender: Name of the VM, as the link established it.
        payload: Encoded peer message.
    """

    sender: str
    payload: bytes


class StoreRead(typing.NamedTuple):
    """The platform answered a read or a watch.

    Attributes:
        value: The rules document, or None when the store holds none.
    """

    value: bytes | None


class VmsListed(typing.NamedTuple):
    """The platform's lagging list of VMs."""

    members: tuple[member.Member, ...]


class StoreFailed(typing.NamedTuple):
    """The platform did not answer."""

    detail: str


class Tick(typing.NamedTuple):
    """Time has passed; sent every ``engine.TICK_MS``."""


class Leave(typing.NamedTuple):
    """The operator asked this VM to stop."""


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
        destination: Where the VM takes links.
        payload: Encoded peer message.
    """

    receiver: str
    destination: packet.Address
    payload: bytes


class WatchStore(typing.NamedTuple):
    """Start or stop watching the platform's store from this VM."""

    active: bool


class ReportInForce(typing.NamedTuple):
    """Write to the platform which sequence each known VM has in force.

    Attributes:
        sequences: VM name and sequence, for all VMs of this VM's zone.
    """

    sequences: tuple["InForce", ...]


class InForce(typing.NamedTuple):
    """The configuration one VM has in force."""

    vm: str
    sequence: int


class RepairStore(typing.NamedTuple):
    """Put a newer accepted document back into a store that went back."""

    value: bytes
    sequence: int


class RecordTargetEmpty(typing.NamedTuple):
    """Write to the audit trail that a target has no open flow left.

    Attributes:
        target: Name of the target.
        sequence: Configuration under which it was first seen to leave.
        since_ms: When its last flow had ended, milliseconds since 1970.
        homes: Number of VMs whose counts were at hand.
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
    """The VM has left the fleet; the process may end."""


# What the task that owns the store connection carries out.
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
    """Everything an entry VM counts; the metric names derive from these."""

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
    """Collects the actions and counts that the engine's parts bring forth."""

    def __init__(self) -> None:
        """Start empty."""
        self.actions: list[Action] = []
        self.counts: dict[Counter, int] = dict.fromkeys(Counter, 0)

    def put(self, action: Action) -> None:
        """Add an action."""
        self.actions.append(action)

    def count(self, counter: Counter, amount: int = 1) -> None:
        """Add to a counter."""
        self.counts[counter] += amount

    def take(self) -> list[Action]:
        """Return the collected actions and start anew."""
        taken = self.actions
        self.actions = []
        return taken
