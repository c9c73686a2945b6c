"""Loads on flows that carry a cookie of their target: servers, callers and events.

The ordinary load is the smallest site of the users: seven servers of unequal speed in
three availability zones, half busy with long flows. Each other load adds one kind of
event of their heaviest days.
"""

import typing

from eelgrasswick.cookie import model, source
from eelgrasswick.emulation import steered_fleet

SERVICE: typing.Final = "desk"
SERVICE_IP: typing.Final = bytes((198, 18, 0, 1))
PORT: typing.Final = 443
CONFIG_KEY: typing.Final = "config"
TARGET_PREFIX: typing.Final = "target/"
# Instance ID of the first server; the IDs of the others follow.
FIRST_INSTANCE_ID: typing.Final = 16
_STARTED_MS: typing.Final = 1000
COLD_SLOWNESS: typing.Final = 1.6


class Server(typing.NamedTuple):
    """A target of a load.

    Attributes:
        zone: Its availability zone.
        slots: Requests that it works on at once.
        slowness: Factor of the time that work takes; 1 is normal.
    """

    zone: str
    slots: int
    slowness: float


class Event(typing.NamedTuple):
    """A fault or change that lasts for a part of the run.

    Attributes:
        at_ms: Virtual time at which it begins.
        kind: ``dark`` (a server becomes silent), ``hang`` (a server accepts flows and
            answers no request), ``cut`` (a zone is cut off from the others),
            ``burst`` (a zone gets more flows until the end of the run), ``evacuate``
            (a zone's targets are to get no new flow), ``cold_return`` (all servers of
            a zone are silent, and then restart cold at the same time) or
            ``power_off`` (all VMs are off, and lose their observations).
        subject: Index of the server, or name of the zone; empty for all VMs.
        until_ms: Virtual time at which it ends.
        factor: Flows of the zone during a burst over those before it.
    """

    at_ms: int
    kind: str
    subject: int | str
    until_ms: int
    factor: float = 1.0


class Load(typing.NamedTuple):
    """A load.

    Attributes:
        servers: All targets; they work for one service.
        flows_per_zone: Number of long flows that callers of each zone keep open.
        pause_ms: Mean pause between an answer and the next request.
        work_ms: Mean work of a request at slowness 1.
        objective_ms: Time within which an answer is in time.
        timeout_ms: Time after which callers give up a request.
        duration_ms: Duration of the run.
        requests_per_flow: Requests of a flow, after which its caller opens another.
        events: Faults and changes during the run.
        service: The service, with the time for which operators state that a started
            server is cold. A cold server takes ``COLD_SLOWNESS`` times as long.
    """

    servers: tuple[Server, ...]
    flows_per_zone: int
    pause_ms: float
    work_ms: float
    objective_ms: int
    timeout_ms: int
    duration_ms: int
    requests_per_flow: int
    events: tuple[Event, ...] = ()
    service: model.Service = model.Service(SERVICE)


_SERVERS: typing.Final = (
    Server("z1", 2, 0.7),
    Server("z1", 2, 1.7),
    Server("z2", 2, 0.7),
    Server("z2", 2, 0.7),
    Server("z2", 2, 1.7),
    Server("z3", 2, 0.7),
    Server("z3", 2, 0.7),
)
ORDINARY: typing.Final = Load(_SERVERS, 30, 400, 24, 150, 1000, 20_000, 12)
_DARK: typing.Final = tuple(Event(5000, "dark", n, 12_000) for n in (0, 3))
# Of thirty nearly idle servers six hang, in a fleet of many VMs.
HANGING: typing.Final = Load(
    tuple(Server(f"z{n % 3 + 1}", 2, 1.0) for n in range(30)),
    100,
    1000,
    24,
    600,
    3000,
    16_000,
    5,
    tuple(Event(5000, "hang", n, 12_000) for n in range(6)),
)
# Of thirty servers the ten of a zone restart together, in a fleet of many VMs.
COLD_RETURN: typing.Final = HANGING._replace(
    flows_per_zone=200,
    requests_per_flow=3,
    events=(Event(5000, "cold_return", "z2", 8000),),
    service=model.Service(SERVICE, 2000, 0.0),
)
LOADS: typing.Final[dict[str, Load]] = {
    "ordinary": ORDINARY,
    "dark": ORDINARY._replace(events=_DARK),
    "cut": ORDINARY._replace(events=(Event(8000, "cut", "z3", 14_000),)),
    "burst": ORDINARY._replace(
        flows_per_zone=25, events=(Event(5000, "burst", "z1", 20_000, 4.0),)
    ),
    "dark_burst": ORDINARY._replace(
        flows_per_zone=20,
        events=(
            *(Event(5000, "burst", zone, 20_000, 2.5) for zone in ("z1", "z2", "z3")),
            *_DARK,
        ),
    ),
    "hanging": HANGING,
    "cold_return": COLD_RETURN,
    "evacuate": ORDINARY._replace(events=(Event(6000, "evacuate", "z2", 14_000),)),
    "power_off": ORDINARY._replace(events=(Event(8000, "power_off", "", 9400),)),
    "saturation": ORDINARY._replace(flows_per_zone=120, pause_ms=200),
}


class Reader(steered_fleet.Rows):
    """Rows of a load: a configuration with one route, and one row per server."""

    def __init__(
        self, servers: tuple[Server, ...], service: model.Service | None = None
    ) -> None:
        """Create the rows of some servers.

        Args:
            servers: The servers.
            service: Their service; one without a cold period if None.
        """
        self._servers = servers
        self._service = service or model.Service(SERVICE)

    def rows(self) -> tuple[source.Row, ...]:
        """Return all rows, the configuration first."""
        numbers = range(len(self._servers))
        targets = [source.Row(f"{TARGET_PREFIX}{n}", b"", n + 2) for n in numbers]
        return (source.Row(CONFIG_KEY, b"", 1), *targets)

    def is_config(self, key: str) -> bool:
        """Return whether a key is that of the configuration."""
        return key == CONFIG_KEY

    def is_target(self, key: str) -> bool:
        """Return whether a key is that of a target."""
        return key.startswith(TARGET_PREFIX)

    def config(self, row: source.Row) -> model.Config:
        """Return the configuration, the same for all rows."""
        route = model.Route("all", (model.Share(SERVICE, 1.0),))
        routes = {(SERVICE_IP, PORT): route}
        return model.Config(row.revision, routes, {SERVICE: self._service})

    def target(self, row: source.Row) -> model.Target:
        """Return the target of a row, whose value is the start time in milliseconds."""
        number = int(row.key.removeprefix(TARGET_PREFIX))
        server = self._servers[number]
        identity = number + FIRST_INSTANCE_ID
        return model.Target(
            f"i-{identity:x}",
            int(row.value or _STARTED_MS),
            identity.to_bytes(8, "big"),
            SERVICE,
            model.Address(f"10.128.0.{identity}", 8080),
            server.zone,
            server.slots,
            False,
            0,
        )
