"""A service: an address that callers open flows to, and its limits."""

import datetime
import typing

from eelgrasswick import (
    packet,
    target,
)


class Limit(typing.NamedTuple):
    """Limits on the open flows of a service over the whole fleet.

    Attributes:
        flows: Maximum open flows of all callers together; 0 for no limit.
        per_caller: Maximum open flows of one caller address; 0 for no limit.
    """

    flows: int
    per_caller: int


NO_LIMIT: typing.Final = Limit(0, 0)


class ServiceKey(typing.NamedTuple):
    """Protocol, address and port that identify a service in packets."""

    protocol: int
    ip: bytes
    port: int


class Service(typing.NamedTuple):
    """One service as the rules describe it.

    Attributes:
        name: Unique among all services.
        address: Address and port to which callers open flows.
        protocol: TCP or UDP.
        shutdown: Last day of the service; new flows are accepted until the end
            of that day, UTC.
        wait_ms: Longest time that a first packet may wait for a slot.
        idle_s: Time without packets after which a flow expires.
        limit: Limits on open flows over the whole fleet.
        targets: All targets, including retired ones.
        retired: True when its line was removed from the rules while flows may
            still be open.
        reused: True when its address belonged to another service earlier.
    """

    name: str
    address: packet.Address
    protocol: packet.Protocol
    shutdown: datetime.date
    wait_ms: int
    idle_s: int
    limit: Limit
    targets: tuple[target.Target, ...]
    retired: bool
    reused: bool

    @property
    def key(self) -> ServiceKey:
        """Key that identifies this service in packets."""
        return ServiceKey(self.protocol, self.address.ip, self.address.port)

    def ended(self, today: datetime.date) -> bool:
        """Return whether this service accepts no new flows any more."""
        return self.retired or today > self.shutdown
