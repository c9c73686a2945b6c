"""The things that packets are steered by: routes, targets and segments."""

import functools
import hashlib
import types
import typing

# Above the 19,000 targets of the design size; each incarnation is hashed once.
_MAX_COOKIES: typing.Final = 32_768


class Address(typing.NamedTuple):
    """Where datagrams go: dotted IPv4 address and port."""

    host: str
    port: int


class FlowId(typing.NamedTuple):
    """The two ends of a flow, caller first."""

    caller_ip: bytes
    caller_port: int
    service_ip: bytes
    service_port: int

    def __str__(self) -> str:
        """Return the id as logs spell it."""
        caller = ".".join(map(str, self.caller_ip))
        service = ".".join(map(str, self.service_ip))
        return f"{caller}:{self.caller_port}>{service}:{self.service_port}"


class Segment(typing.NamedTuple):
    """One packet of a caller.

    Attributes:
        flow: Whose packet it is.
        opening: True for a packet that opens the flow.
        ending: True when the caller has sent all it will send.
        reset: True when the caller gives the flow up.
        sequence: Position of its data in the caller's stream.
        acknowledged: What the caller has received of the target's stream; on an
            opening packet how many copies of it went before.
        cookie: The target's cookie, 0 while the caller knows none.
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
    """A service's part of a route's new flows; weights are relative."""

    service: str
    weight: float


class Route(typing.NamedTuple):
    """An address that callers open flows to.

    Attributes:
        name: The operators' name for it.
        shares: Services that take its new flows.
        objective_ms: Within what time its requests should be answered; 0 when
            the operators set none.
        priority: 0 is the most urgent.
    """

    name: str
    shares: tuple[Share, ...]
    objective_ms: int = 0
    priority: int = 0


class Service(typing.NamedTuple):
    """What the operators say of a service's targets.

    Attributes:
        name: Its name.
        cold_ms: How long a target is cold after its start.
        cold_flows_per_s: New flows a second that a cold target bears, from all VMs
            together; None when they name no limit.
    """

    name: str
    cold_ms: int = 0
    cold_flows_per_s: float | None = None


class Config(typing.NamedTuple):
    """The operators' configuration.

    Attributes:
        version: Rises with each change.
        routes: By address and port.
        services: By name.
    """

    version: int
    routes: dict[tuple[bytes, int], Route]
    services: typing.Mapping[str, Service] = types.MappingProxyType({})


class Evacuation(typing.NamedTuple):
    """An order of the operators that a zone's targets take no new flows.

    Attributes:
        zone: The availability zone.
        malformed: What is wrong with the row's value; empty when nothing is.
    """

    zone: str
    malformed: str = ""


class Target(typing.NamedTuple):
    """One incarnation of one server.

    Attributes:
        name: Its name in the store.
        born_ms: Unix time of its start; tells incarnations of one name apart.
        token: What datagrams to it begin with, so that a server which took
            over its address does not accept them.
        service: The service it works for.
        address: Where it takes datagrams.
        zone: Its availability zone.
        slots: Requests it works on at the same time.
        draining: True when it must get no new flow.
        cold_ms: How long it was still slow when it wrote its entry.
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
    # Placement and the tick of each 250 ms ask for it several times a target.
    digest = hashlib.blake2b(f"{name}/{born_ms}".encode(), digest_size=4).digest()
    return int.from_bytes(digest, "big") or 1
