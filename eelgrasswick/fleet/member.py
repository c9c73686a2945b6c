"""The record that each VM has of the others."""

import enum
import typing

import msgspec

# Members arrive in messages of other VMs, and this VM sends to their addresses. An
# invalid address would make every later heartbeat fail, and the VM that had
# accepted it would appear dead to the others. Decoding therefore checks these bounds.
_OCTET: typing.Final = r"(25[0-5]|2[0-4]\d|1\d\d|[1-9]?\d)"
_MAX_NAME_LENGTH: typing.Final = 63
Name = typing.Annotated[str, msgspec.Meta(min_length=1, max_length=_MAX_NAME_LENGTH)]
Ip = typing.Annotated[str, msgspec.Meta(pattern=rf"^({_OCTET}\.){{3}}{_OCTET}\Z")]
Port = typing.Annotated[int, msgspec.Meta(ge=1, le=65535)]
Size = typing.Annotated[int, msgspec.Meta(ge=1, le=1000)]
Incarnation = typing.Annotated[int, msgspec.Meta(ge=0, lt=2**62)]


class MemberState(enum.IntEnum):
    """Life cycle of a VM; within an incarnation a higher state overrides a lower."""

    JOINING = 0
    ALIVE = 1
    SUSPECT = 2
    LEAVING = 3
    DEAD = 4
    LEFT = 5


SERVING: typing.Final = frozenset({MemberState.ALIVE, MemberState.SUSPECT})
GONE: typing.Final = frozenset({MemberState.DEAD, MemberState.LEFT})


class Member(typing.NamedTuple):
    """The identity, addresses and state of one entry VM.

    Attributes:
        name: Unique name of the VM.
        zone: Availability zone of the VM.
        ip: IPv4 address in dotted form.
        peer_port: UDP port for heartbeats and forwarded packets.
        link_port: TCP port for links.
        size: Relative capacity of the VM.
        incarnation: Increases with each start and each refuted suspicion.
        state: State in the life cycle.
    """

    name: Name
    zone: Name
    ip: Ip
    peer_port: Port
    link_port: Port
    size: Size
    incarnation: Incarnation
    state: MemberState

    @property
    def serves(self) -> bool:
        """True when flows may have their home on this VM."""
        return self.state in SERVING

    @property
    def gone(self) -> bool:
        """True when the VM is confirmed dead or has left."""
        return self.state in GONE

    def supersedes(self, other: "Member") -> bool:
        """Return whether this record overrides another of the same VM."""
        if self.incarnation != other.incarnation:
            return self.incarnation > other.incarnation
        return self.state > other.state
