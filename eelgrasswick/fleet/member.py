"""A VM of the fleet as the others see it."""

import enum
import typing

import msgspec

# Members come in messages of other VMs, and their addresses are sent to. One that
# is no address would fail at each heartbeat from then on, and the VM that took it
# in would look dead to the others; so decoding checks these bounds.
_OCTET: typing.Final = r"(25[0-5]|2[0-4]\d|1\d\d|[1-9]?\d)"
_MAX_NAME: typing.Final = 63
Name = typing.Annotated[str, msgspec.Meta(min_length=1, max_length=_MAX_NAME)]
Ip = typing.Annotated[str, msgspec.Meta(pattern=rf"^({_OCTET}\.){{3}}{_OCTET}\Z")]
Port = typing.Annotated[int, msgspec.Meta(ge=1, le=65535)]
Size = typing.Annotated[int, msgspec.Meta(ge=1, le=1000)]
Incarnation = typing.Annotated[int, msgspec.Meta(ge=0, lt=2**62)]


class MemberState(enum.IntEnum):
    """Life of a VM; for one incarnation a higher state overrides a lower one."""

    JOINING = 0
    ALIVE = 1
    SUSPECT = 2
    LEAVING = 3
    DEAD = 4
    LEFT = 5


SERVING: typing.Final = frozenset({MemberState.ALIVE, MemberState.SUSPECT})
GONE: typing.Final = frozenset({MemberState.DEAD, MemberState.LEFT})


class Member(typing.NamedTuple):
    """One entry VM and what is known of it.

    Attributes:
        name: Unique name of the VM.
        zone: Its availability zone.
        ip: Its IPv4 address, dotted.
        peer_port: UDP port for heartbeats and forwarded packets.
        link_port: TCP port for links.
        size: Relative strength of the VM.
        incarnation: Grows with each start and each refuted suspicion.
        state: Where it is in its life.
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
        """True when the VM is taken for dead or has left."""
        return self.state in GONE

    def supersedes(self, other: "Member") -> bool:
        """Tell whether this report overrides another about the same VM."""
        if self.incarnation != other.incarnation:
            return self.incarnation > other.incarnation
        return self.state > other.state
