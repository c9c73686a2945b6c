"""A service: an address that callers open flows to, and its contract."""

import datetime
import typing

from eelgrasswick import (
    packet,
    target,
)


class Limit(typing.NamedTuple):
    """How many open flows a service takes over the whole fleet.

    Attributes:
        flows: Open flows of all callers together; 0 means no limit.
        per_caller: Open flows of one caller address; 0 means no limit.
    """

    flows: int
    per_caller: int


NO_LIMIT: typing.Final = Limit(0, 0)


class ServiceKey(typing.NamedTuple):
    """Protocol and address that together name a service on the wire."""

    protocol: int
    ip: bytes
    port: int


class Service(typing.NamedTuple):
    """One service as the rules describe it.

    Attributes:
        name: Unique among all services.
        address: The address callers use.
        protocol: TCP or UDP.
        shutdown: Last day of the service; it is served until that day ends, UTC.
        wait_ms: Longest time a first packet may wait for a slot.
        idle_s: Seconds of silence after which a flow is forgotten.
        limit: Fleet-wide limits.
        targets: All targets, the retired ones included.
        retired: True when its line has left the rules while flows may be open.
        reused: True when its address belonged to another service before.
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
        """How packets name this service."""
        return ServiceKey(self.protocol, self.address.ip, self.address.port)

    def ended(self, today: datetime.date) -> bool:
        """Tell whether new flows are over for this service."""
        return self.retired or today > self.shutdown
