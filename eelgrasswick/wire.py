"""Messages between entry VMs, and their CBOR form.

Each message is a CBOR array: a code, then the fields in order. Decoding checks
the type of every field, so a part that gets a message can rely on it.
"""

import typing

import cbor2
import msgspec

from eelgrasswick import (
    errors,
    packet,
)
from eelgrasswick.fleet import member

MAX_LINK_BYTES: typing.Final = 2_000_000

Hops = typing.Annotated[int, msgspec.Meta(ge=0, le=255)]


class Forward(typing.NamedTuple):
    """A caller's packet on its way to the flow's home.

    Attributes:
        hops: VMs it has passed.
        packet: The IPv4 packet.
    """

    hops: Hops
    packet: bytes


class Relay(typing.NamedTuple):
    """A target's SYN, FIN or RST on its way to the flow's home.

    Attributes:
        hops: VMs it has passed.
        target: Name of the target that sent it.
        packet: The IPv4 packet.
    """

    hops: Hops
    target: str
    packet: bytes


class FlowTargetRequest(typing.NamedTuple):
    """The present home asks a former one whether it knows a flow."""

    flow: bytes


class FlowTargetResponse(typing.NamedTuple):
    """The answer to Ask; the target is empty when the flow is not known."""

    flow: bytes
    target: str


class Ping(typing.NamedTuple):
    """A heartbeat that asks for an Ack.

    Attributes:
        number: Matches the Ack to the Ping.
        sender: The sender as it sees itself.
        sequence: Configuration in force at the sender; 0 for none.
        updates: News about other VMs.
    """

    number: int
    sender: member.Member
    sequence: int
    updates: tuple[member.Member, ...]


class Ack(typing.NamedTuple):
    """The answer to a Ping; the fields are those of Ping."""

    number: int
    sender: member.Member
    sequence: int
    updates: tuple[member.Member, ...]


class IndirectPingRequest(typing.NamedTuple):
    """Asks the receiver to ping a VM that did not answer the sender.

    Attributes:
        number: Number that the relayed Ack must carry.
        suspect: Name of the VM to ping.
    """

    number: int
    suspect: str


class FlowPlacement(typing.NamedTuple):
    """One flow that is not on its default target."""

    flow: bytes
    target: str


class BackupExceptions(typing.NamedTuple):
    """A home asks its backup to keep exceptions."""

    entries: tuple[FlowPlacement, ...]


class DiscardExceptions(typing.NamedTuple):
    """A home tells its backup that flows have ended."""

    flows: tuple[bytes, ...]


class Handover(typing.NamedTuple):
    """Exceptions for the VM that has become the home of their flows."""

    entries: tuple[FlowPlacement, ...]


class OpenFlows(typing.NamedTuple):
    """What one home has on one target.

    Attributes:
        target: Name of the target.
        flows: Open flows.
        recent_tenths: Ten times the flows lately placed, which fade; see
            ``work.WorkBook``. Whole numbers would round the few that each home
            has on a weak target down to nothing.
    """

    target: str
    flows: int
    recent_tenths: int


class LoadReport(typing.NamedTuple):
    """Open and recent flows of one home, for the others' estimates."""

    entries: tuple[OpenFlows, ...]


class ConfigResponse(typing.NamedTuple):
    """A configuration document, pushed or sent for a ConfigWant."""

    value: bytes


class ConfigRequest(typing.NamedTuple):
    """Asks for the document when the receiver has a newer one.

    Attributes:
        sequence: What the sender has in force; 0 for none.
    """

    sequence: int


class ExplainFlowRequest(typing.NamedTuple):
    """An operator asks what a VM knows of a flow."""

    flow: bytes


class ExplainTargetRequest(typing.NamedTuple):
    """An operator asks what a VM knows of a target."""

    target: str


class Fact(typing.NamedTuple):
    """One key and value of an explanation."""

    key: str
    value: str


class ExplainResponse(typing.NamedTuple):
    """The answer to an operator's question."""

    facts: tuple[Fact, ...]


PeerMessage = (
    Forward
    | Relay
    | FlowTargetRequest
    | FlowTargetResponse
    | Ping
    | Ack
    | IndirectPingRequest
    | BackupExceptions
    | DiscardExceptions
    | Handover
    | LoadReport
    | ConfigResponse
    | ConfigRequest
    | ExplainFlowRequest
    | ExplainTargetRequest
    | ExplainResponse
)

_TYPES: typing.Final[dict[int, type[PeerMessage]]] = {
    1: Forward,
    2: Relay,
    3: FlowTargetRequest,
    4: FlowTargetResponse,
    5: Ping,
    6: Ack,
    7: IndirectPingRequest,
    8: BackupExceptions,
    9: DiscardExceptions,
    10: Handover,
    11: LoadReport,
    12: ConfigResponse,
    13: ConfigRequest,
    14: ExplainFlowRequest,
    15: ExplainTargetRequest,
    16: ExplainResponse,
}
_CODES: typing.Final[dict[type[PeerMessage], int]] = {
    kind: code for code, kind in _TYPES.items()
}
_FLOW_BYTES: typing.Final = 13


def encode(item: PeerMessage) -> bytes:
    """Return the CBOR form of a message."""
    return cbor2.dumps((_CODES[type(item)], *item))


def decode(payload: bytes) -> PeerMessage:
    """Read a message.

    Args:
        payload: Bytes from another VM.

    Returns:
        The message, with all field types checked.

    Raises:
        errors.MessageInvalidError: The bytes are no message we know.
    """
    if len(payload) > MAX_LINK_BYTES:
        raise errors.MessageInvalidError("message is too large")
    try:
        plain = cbor2.loads(payload)
    except (cbor2.CBORDecodeError, ValueError, RecursionError) as error:
        raise errors.MessageInvalidError(f"not CBOR: {error}") from error
    if not isinstance(plain, (list, tuple)) or not plain:
        raise errors.MessageInvalidError("not an array")
    code, *fields = plain
    kind = _TYPES.get(code) if type(code) is int else None
    if kind is None:
        raise errors.MessageInvalidError("unknown message code")
    try:
        return msgspec.convert(fields, kind, builtin_types=(bytes,))
    except msgspec.ValidationError as error:
        raise errors.MessageInvalidError(f"{kind.__name__}: {error}") from error


def flow_key(packed: bytes) -> packet.FlowKey:
    """Read the thirteen bytes that ``FlowKey.packed`` makes.

    Raises:
        errors.MessageInvalidError: The length is not thirteen.
    """
    if len(packed) != _FLOW_BYTES:
        raise errors.MessageInvalidError("flow key is not 13 bytes")
    return packet.FlowKey(
        packed[0],
        packed[1:5],
        int.from_bytes(packed[5:7], "big"),
        packed[7:11],
        int.from_bytes(packed[11:13], "big"),
    )
