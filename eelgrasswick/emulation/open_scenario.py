"""Loads whose requests come whether or not earlier ones are answered.

Three kinds of request on one service, with weights and priorities: a feed on
long flows, an upload and a page that open a flow for each request. The demand
is given as a part of what all servers can do.
"""

import typing

from eelgrasswick.cookie import model, source
from eelgrasswick.emulation import cookie_scenario

SERVICE_IP: typing.Final = cookie_scenario.SERVICE_IP
FIRST_PORT: typing.Final = 1


class Kind(typing.NamedTuple):
    """A kind of request, on a route of its own.

    Attributes:
        name: Its name in tables.
        part: Relative number of requests.
        work_ms: Mean work at slowness 1.
        aim_ms: Answers within this are in time.
        limit_ms: Callers give up after this.
        worth: What an answer in time is worth.
        late_worth: What a later one is worth.
        priority: 0 is highest.
        long: True when requests share long flows.
    """

    name: str
    share: float
    work_ms: float
    objective_ms: int
    timeout_ms: int
    worth: float
    late_worth: float
    priority: int
    uses_long_flows: bool


class Event(typing.NamedTuple):
    """Something that begins at a moment.

    Attributes:
        at_ms: When.
        until_ms: When it is over.
        kind: ``cut`` (a zone is cut off), ``burst`` (demand is multiplied) or
            ``power_off`` (all VMs are away and forget what they saw).
        zone: The zone that is cut off.
        factor: By how much a burst multiplies the demand.
    """

    at_ms: int
    until_ms: int
    kind: str
    zone: str = ""
    factor: float = 1.0


class Load(typing.NamedTuple):
    """A load.

    Attributes:
        servers: All targets, of one service.
        kinds: What is asked.
        demand: Work that is asked for over what all servers can do.
        duration_ms: Length of the run.
        clients: Callers in each zone; each keeps its own idle flows.
        requests_per_flow: Requests of a long flow, after which it is closed.
        queue: Requests that a server lets wait beyond those it works on.
        events: What goes wrong.
        zone_parts: Relative number of callers' requests from each zone.
    """

    servers: tuple[cookie_scenario.Server, ...]
    kinds: tuple[Kind, ...]
    demand: float
    duration_ms: int = 12_000
    clients_per_zone: int = 12
    requests_per_flow: int = 5
    queue_limit: int = 12
    events: tuple[Event, ...] = ()
    zone_shares: tuple[float, float, float] = (1.0, 1.0, 1.0)

    @property
    def capacity(self) -> float:
        """Milliseconds of work that all servers do in a millisecond."""
        return sum(item.slots / item.slowness for item in self.servers)

    @property
    def mean_work_ms(self) -> float:
        """Mean work of a request."""
        total = sum(item.share for item in self.kinds)
        return sum(item.share * item.work_ms for item in self.kinds) / total

    @property
    def requests_per_ms(self) -> float:
        """Requests that come in a millisecond."""
        return self.demand * self.capacity / self.mean_work_ms


def _servers(
    slots: int, slownesses: tuple[float, ...]
) -> tuple[cookie_scenario.Server, ...]:
    zones = ("z1", "z1", "z1", "z2", "z2", "z3", "z3")
    return tuple(
        cookie_scenario.Server(zone, slots, slownesses[number % len(slownesses)])
        for number, zone in enumerate(zones)
    )


KINDS: typing.Final = (
    Kind("feed", 7.0, 40.0, 200, 2000, 1.0, 0.3, 2, True),
    Kind("upload", 2.0, 52.0, 250, 2500, 2.0, 0.6, 1, False),
)
EVEN: typing.Final = _servers(3, (1.0,))
UNEQUAL: typing.Final = _servers(2, (1 / 0.3, 1.0, 1 / 2.2))
UNEQUAL_THREE: typing.Final = _servers(3, (1 / 0.3, 1.0, 1 / 2.2))
_CUT: typing.Final = Event(4000, 9000, "cut", "z3")

LOADS: typing.Final[dict[str, Load]] = {
    **{
        f"demand_{percent}": Load(EVEN, KINDS, percent / 100)
        for percent in (50, 70, 80, 100, 120, 150, 200, 300)
    },
    "burst_ends": Load(
        EVEN, KINDS, 0.7, events=(Event(4000, 7000, "burst", factor=2.5),)
    ),
    # The zone has two of seven servers and asks for 1/0.8 of what they can do.
    "zone_cut": Load(EVEN, KINDS, 0.6, events=(_CUT,), zone_shares=(1.0, 1.0, 2.94)),
    "power_off": Load(EVEN, KINDS, 0.7, events=(Event(4000, 5400, "power_off"),)),
    "unequal_70": Load(UNEQUAL, KINDS, 0.7),
    "unequal_150": Load(UNEQUAL, KINDS, 1.5),
    "unequal_three_150": Load(UNEQUAL_THREE, KINDS, 1.5),
}


class Reader(cookie_scenario.Reader):
    """Rows of a load with one route for each kind of request."""

    def __init__(self, load: Load) -> None:
        """Read the rows of a load."""
        self._open_load = load
        super().__init__(load.servers)

    def config(self, row: source.Row) -> model.Config:
        """Return the configuration, the same for all rows."""
        shares = (model.Share(cookie_scenario.SERVICE, 1.0),)
        routes = {
            (SERVICE_IP, FIRST_PORT + number): model.Route(
                kind.name, shares, kind.objective_ms, kind.priority
            )
            for number, kind in enumerate(self._open_load.kinds)
        }
        return model.Config(row.revision, routes)
