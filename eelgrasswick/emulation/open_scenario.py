"""Loads whose requests arrive at a rate independent of answers.

A load has kinds of requests on one service, with weights and priorities: a feed on long
flows, and an upload that opens a flow for each request. The demand is given relative
to the capacity of all servers.
"""

import typing

from eelgrasswick.cookie import model, source
from eelgrasswick.emulation import cookie_scenario

SERVICE_IP: typing.Final = cookie_scenario.SERVICE_IP
FIRST_PORT: typing.Final = 1


class Kind(typing.NamedTuple):
    """A kind of request, which has a route of its own.

    Attributes:
        name: Its name in tables, and of its route.
        share: Relative number of requests of this kind.
        work_ms: Mean time of the work at slowness 1.
        objective_ms: Time within which an answer is in time.
        timeout_ms: Time after which callers give up a request.
        worth: Worth of an answer in time.
        late_worth: Worth of a later answer.
        priority: Priority of the route; 0 is the highest.
        uses_long_flows: True if several requests use one flow.
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
    """A fault or change that lasts for a part of the run.

    Attributes:
        at_ms: Virtual time at which it begins.
        until_ms: Virtual time at which it ends.
        kind: ``cut`` (a zone is cut off from the others), ``burst`` (the demand is
            multiplied) or ``power_off`` (all VMs are off, and lose their
            observations).
        zone: The zone that is cut off.
        factor: Factor of the demand during a burst.
    """

    at_ms: int
    until_ms: int
    kind: str
    zone: str = ""
    factor: float = 1.0


class Load(typing.NamedTuple):
    """A load.

    Attributes:
        servers: All targets; they work for one service.
        kinds: Kinds of requests.
        demand: Work of all requests over the capacity of all servers.
        duration_ms: Duration of the run.
        clients_per_zone: Callers in each zone; each keeps idle flows of its own.
        requests_per_flow: Requests of a long flow, after which it is closed.
        queue_limit: Requests that a server queues beyond those it works on.
        events: Faults and changes during the run.
        zone_shares: Relative number of requests from callers of each zone.
        reserves: True if the VMs reserve capacity under pressure.
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
    reserves: bool = False

    @property
    def capacity(self) -> float:
        """Milliseconds of work that all servers do per millisecond."""
        return sum(item.slots / item.slowness for item in self.servers)

    @property
    def mean_work_ms(self) -> float:
        """Mean work of a request, in milliseconds."""
        total_share = sum(item.share for item in self.kinds)
        return sum(item.share * item.work_ms for item in self.kinds) / total_share

    @property
    def requests_per_ms(self) -> float:
        """Mean number of requests that arrive per millisecond."""
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
SINGLE_KINDS: typing.Final = (
    Kind("urgent", 3.0, 34.0, 500, 2500, 2.0, 0.6, 0, False),
    Kind("look_up", 7.0, 34.0, 900, 2500, 1.0, 0.3, 1, False),
)
PAIRS: typing.Final = _servers(2, (1.0,))
EVEN: typing.Final = _servers(3, (1.0,))
UNEQUAL: typing.Final = _servers(2, (1 / 0.3, 1.0, 1 / 2.2))
UNEQUAL_THREE: typing.Final = _servers(3, (1 / 0.3, 1.0, 1 / 2.2))
_CUT: typing.Final = Event(4000, 9000, "cut", "z3")

LOADS: typing.Final[dict[str, Load]] = {
    **{
        f"demand_{percent}": Load(EVEN, KINDS, percent / 100)
        for percent in (50, 70, 80, 100, 120, 150, 200, 300)
    },
    **{
        f"single_{percent}{suffix}": Load(
            PAIRS, SINGLE_KINDS, percent / 100, queue_limit=8, reserves=bool(suffix)
        )
        for percent in (70, 120, 150, 300)
        for suffix in ("", "_reserved")
    },
    "burst_ends": Load(
        EVEN, KINDS, 0.7, events=(Event(4000, 7000, "burst", factor=2.5),)
    ),
    # Zone z3 has two of seven servers, and its callers ask for 1/0.8 of their
    # capacity.
    "zone_cut": Load(EVEN, KINDS, 0.6, events=(_CUT,), zone_shares=(1.0, 1.0, 2.94)),
    "power_off": Load(EVEN, KINDS, 0.7, events=(Event(4000, 5400, "power_off"),)),
    "unequal_70": Load(UNEQUAL, KINDS, 0.7),
    "unequal_150": Load(UNEQUAL, KINDS, 1.5),
    "unequal_three_150": Load(UNEQUAL_THREE, KINDS, 1.5),
}


class Reader(cookie_scenario.Reader):
    """Rows of a load that has one route for each kind of request."""

    def __init__(self, load: Load) -> None:
        """Create the rows of a load."""
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
