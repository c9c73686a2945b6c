"""A VM of the fleet as the others see it."""

import enum
import typing


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

    name: str
    zone: str
    ip: str
    peer_port: int
    link_port: int
    size: int
    incarnation: int
    state: MemberState

    @property
    def serves(self) -> bool:
        """True when flows may have their home on this VM."""
        return self.state in SERVING

    @property
    def gone(self) -> bool:
        """True when the VM is taken for dead or has left."""
        return self.state in GONE

    def newer_than(self, other: "Member") -> bool:
        """Tell whether this report overrides another about the same VM."""
        if self.incarnation != other.incarnation:
            return self.incarnation > other.incarnation
        return self.state > other.state
