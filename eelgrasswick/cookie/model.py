"""Data types of steering: routes, services, targets, flows and segments."""

import functools
import hashlib
import types
import typing

# VMs refuse messages of other VMs with longer names.
MAX_NAME_CHARACTERS: typing.Final = 256
# The cache of cookies is larger than the 19,000 targets of the design size, so that
# each incarnation is hashed once.
_MAX_COOKIES: typing.Final = 32_768


class Address(typing.NamedTuple):
    """Address of datagrams: dotted IPv4 address and port."""

    host: str
    port: int


class FlowId(typing.NamedTuple):
    """The two ends of a flow, caller first."""

    caller_ip: bytes
    caller_port: int
    service_ip: bytes
    service_port: int

    def __str__(self) -> str:
        """Return the identifier as written in logs."""
        caller = ".".join(map(str, self.caller_ip))
        service = ".".join(map(str, self.service_ip))
        return f"{caller}:{self.caller_port}>{service}:{self.service_port}"


class Segment(typing.NamedTuple):
    """One packet of a caller.

    Attributes:
        flow: Flow of the packet.
        opening: True for a packet that opens the flow.
        ending: True when the caller will send no more data.
        reset: True when the caller aborts the flow.
        sequence: Position of the data in the caller's stream.
        acknowledged: Position up to which the caller has received the target's stream;
            on an opening packet the number of the retransmission, 0 for the original.
        cookie: The target's cookie, 0 while the caller has received none.
        data_bytes: Length of the data.
    """

    flow: FlowId
    opening: bool
    ending: bool
    reset: bool
    sequence: int
    acknowledged: int
    cookie: int
    data_bytes: int


class Share(typing.NamedTuple):
    """A service's share of a route's new flows; weights are relative."""

    service: str
    weight: float


class Route(typing.NamedTuple):
    """An address that callers open flows to.

    Attributes:
        name: Name that the operators gave to the route.
        shares: Services that take its new flows.
        objective_ms: Response time objective of its requests; 0 when the operators
            set none.
        priority: Priority of its flows; 0 is the most urgent.
    """

    name: str
    shares: tuple[Share, ...]
    objective_ms: int = 0
    priority: int = 0


class Service(typing.NamedTuple):
    """Configuration of a service's targets.

    Attributes:
        name: Name of the service.
        cold_ms: Time for which a target is cold after its start.
        cold_flows_per_s: Limit of new flows a second to a cold target, from all VMs
            together; None when the operators set no limit.
    """

    name: str
    cold_ms: int = 0
    cold_flows_per_s: float | None = None


class Config(typing.NamedTuple):
    """The operators' configuration.

    Attributes:
        version: Number that increases with each change.
        routes: Routes by address and port.
        services: Services by name.
    """

    version: int
    routes: dict[tuple[bytes, int], Route]
    services: typing.Mapping[str, Service] = types.MappingProxyType({})


class Evacuation(typing.NamedTuple):
    """An order of the operators that a zone's targets take no new flows.

    Attributes:
        zone: The availability zone.
        malformed: Fault in the row's value; empty for a valid row.
    """

    zone: str
    malformed: str = ""


class Target(typing.NamedTuple):
    """One incarnation of one server.

    Attributes:
        name: Name of the server in the store.
        born_ms: Unix time of its start, which distinguishes incarnations of one name.
        token: Prefix of the datagrams to it, by which a server that took over its
            address rejects them.
        service: Name of its service.
        address: Address on which it receives datagrams.
        zone: Its availability zone.
        slots: Number of requests that it handles concurrently.
        draining: True when it must get no new flow.
        cold_ms: Remaining time for which it was cold when it wrote its entry.
    """

    name: str
    born_ms: int
    token: bytes
    service: str
    address: Address
    zone: str
    slots: int
    draining: bool
    cold_ms: int

    @property
    def cookie(self) -> int:
        """A 32-bit hash of name and incarnation, never 0."""
        return _cookie(self.name, self.born_ms)


@functools.lru_cache(maxsize=_MAX_COOKIES)
def _cookie(name: str, born_ms: int) -> int:
    # Placement, and the tick that runs every 250 ms, need the cookie several times per
    # target.
    digest = hashlib.blake2b(f"{name}/{born_ms}".encode(), digest_size=4).digest()
    return int.from_bytes(digest, "big") or 1
