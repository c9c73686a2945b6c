"""Loads on flows that name their target: servers, callers and what goes wrong.

The ordinary load is the users' smallest site: seven servers of unequal speed in
three availability zones, half busy with long flows. Each other load adds one
trouble of their heaviest days.
"""

import typing

from eelgrasswick.cookie import model, source
from eelgrasswick.emulation import steered_fleet

SERVICE: typing.Final = "desk"
SERVICE_IP: typing.Final = bytes((198, 18, 0, 1))
PORT: typing.Final = 443
CONFIG_KEY: typing.Final = "config"
TARGET_PREFIX: typing.Final = "target/"
# Servers' ids count from here.
FIRST_ID: typing.Final = 16
_BORN_MS: typing.Final = 1000
COLD_SLOWNESS: typing.Final = 1.6


class Server(typing.NamedTuple):
    """A target of a load: its zone, slots, and time factor for all work."""

    zone: str
    slots: int
    slowness: float


class Event(typing.NamedTuple):
    """Something that begins at a moment.

    Attributes:
        at_ms: When.
        kind: ``dark`` (a server falls silent), ``hang`` (a server opens flows and
            answers no request), ``cut`` (a zone is cut off from the others),
            ``burst`` (more callers come to a zone, for good), ``evacuate`` (a zone's
            targets are to get no new flow), ``cold_return`` (a zone's servers are
            away and start anew together, cold) or ``power_off`` (all VMs are away
            and forget what they saw).
        subject: Number of the server, or name of the zone; nothing for all.
        until_ms: When it is over.
        factor: How many times more flows a burst brings.
    """

    at_ms: int
    kind: str
    subject: int | str
    until_ms: int
    factor: float = 1.0


class Load(typing.NamedTuple):
    """A load.

    Attributes:
        servers: All targets, of one service.
        flows: Long flows that are open in each zone.
        pause_ms: Mean pause between an answer and the next request.
        work_ms: Mean work of a request at slowness 1.
        aim_ms: Answers within this are in time.
        limit_ms: Callers give up after this.
        duration_ms: Length of the run.
        requests: Requests of a flow, after which its caller opens another.
        events: What goes wrong.
        cold: What operators say of servers that have just started; they work at
            ``COLD_SLOWNESS`` meanwhile.
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
# Thirty servers that are nearly idle, of which six hang, before many VMs.
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
# Thirty servers, of which a zone's ten come back together before many VMs.
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
    """Rows of a load: its one route, and one row for each server."""

    def __init__(
        self, servers: tuple[Server, ...], service: model.Service | None = None
    ) -> None:
        """Read the rows of some servers, and of what operators say of them."""
        self._servers = servers
        self._service = service or model.Service(SERVICE)

    def rows(self) -> tuple[source.Row, ...]:
        """Return all rows, the configuration first."""
        numbers = range(len(self._servers))
        targets = [source.Row(f"{TARGET_PREFIX}{n}", b"", n + 2) for n in numbers]
        return (source.Row(CONFIG_KEY, b"", 1), *targets)

    def is_config(self, key: str) -> bool:
        """Tell whether a key holds the configuration."""
        return key == CONFIG_KEY

    def is_target(self, key: str) -> bool:
        """Tell whether a key holds a target."""
        return key.startswith(TARGET_PREFIX)

    def config(self, row: source.Row) -> model.Config:
        """Return the configuration, the same for all rows."""
        route = model.Route("all", (model.Share(SERVICE, 1.0),))
        routes = {(SERVICE_IP, PORT): route}
        return model.Config(row.revision, routes, {SERVICE: self._service})

    def target(self, row: source.Row) -> model.Target:
        """Return the target that a row stands for; its value is when it started."""
        number = int(row.key.removeprefix(TARGET_PREFIX))
        server = self._servers[number]
        identity = number + FIRST_ID
        return model.Target(
            f"i-{identity:x}",
            int(row.value or _BORN_MS),
            identity.to_bytes(8, "big"),
            SERVICE,
            model.Address(f"10.128.0.{identity}", 8080),
            server.zone,
            server.slots,
            False,
            0,
        )
