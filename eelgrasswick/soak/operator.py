"""The operator of a run, who writes the configuration and sets store faults."""

import json
import time
import typing

import treq
from twisted.internet import defer

from eelgrasswick.platform import names
from eelgrasswick.soak import history, layout, scarcity

TIMEOUT_S: typing.Final = 1.0
# Service ports of the routes that are added during a run start here.
FIRST_ADDED_PORT: typing.Final = 500
_COLD_START_SETTINGS: typing.Final = {
    "name": layout.COLD_SERVICE,
    "cold_start_s": layout.COLD_START_S,
    "cold_per_s": layout.COLD_FLOWS_PER_S,
}


class Operator:
    """Changes routes and evacuates zones; the store's response confirms a change.

    Attributes:
        added_ports: Service ports of all routes that were added during the run.
    """

    def __init__(
        self,
        reactor: typing.Any,
        store: str,
        on_event: typing.Callable[[history.Event], None],
        scarce: bool = False,
    ) -> None:
        """Write to the store at an address, and record what it confirms.

        Args:
            reactor: Reactor of the run.
            store: Address of the store as ``ip:port``.
            on_event: Records an event.
            scarce: True to give the routes a latency target and two priorities.
        """
        self.added_ports: list[int] = []
        self._reactor = reactor
        self._store = store
        self._on_event = on_event
        self._scarce = scarce
        self._routes = {443: "desk", 444: "vault"}
        if scarce:
            self._routes[scarcity.SECOND_PORT] = "desk"
        self._confirmed_routes: dict[int, str] = {}
        self._version = 0
        self._evacuated_zone = ""

    def add_route(self) -> None:
        """Add a route."""
        port = FIRST_ADDED_PORT + len(self.added_ports)
        self.added_ports.append(port)
        self._routes[port] = "desk"
        defer.ensureDeferred(self.write_config())

    def drop_route(self, selector: float) -> None:
        """Drop one of the added routes, selected by a number from 0 to 1."""
        added = [port for port in self._routes if port >= FIRST_ADDED_PORT]
        if added:
            del self._routes[added[int(selector * len(added))]]
            defer.ensureDeferred(self.write_config())

    def evacuate(self, zone: str) -> bool:
        """Evacuate a zone; return False if one is evacuated already."""
        if self._evacuated_zone:
            return False
        self._evacuated_zone = zone
        defer.ensureDeferred(self._evacuate(zone))
        return True

    def end_evacuation(self, zone: str) -> None:
        """End the evacuation of a zone.

        The event is recorded before the store confirms the change, because targets
        of the zone may get flows as soon as the change is written.
        """
        self._evacuated_zone = ""
        self._on_event(history.Event(time.monotonic(), history.Kind.TAKEN_BACK, zone))
        defer.ensureDeferred(self._post("evacuation", {"zone": zone, "over": True}))

    async def _evacuate(self, zone: str) -> None:
        if await self._post("evacuation", {"zone": zone, "over": False}):
            self._on_event(
                history.Event(time.monotonic(), history.Kind.EVACUATED, zone)
            )

    def write_unreadable_entry(self, number: int) -> None:
        """Write an entry of another writer that names no target and can't be read."""
        self._post("foreign", {"number": number})

    def set_store_fault(self, fields: dict[str, typing.Any]) -> None:
        """Replace the faults of the store; an empty table removes all."""
        self._post("fault", fields)

    async def write_config(self) -> bool:
        """Write the whole configuration, and return whether the store confirmed it."""
        self._version += 1
        wanted = dict(self._routes)
        routes = [_route(port, service) for port, service in wanted.items()]
        if self._scarce:
            for route in routes:
                route |= scarcity.route_fields(route["name"])
        body = {
            "version": self._version,
            "routes": routes,
            "services": [_COLD_START_SETTINGS],
        }
        for port in wanted.keys() - self._confirmed_routes.keys():
            # Callers may reach a new route as soon as the store has it, which is
            # before the operator receives the confirmation.
            self._record(history.Kind.ROUTE_ADDED, port, wanted[port])
        if not await self._post("config", body):
            return False
        for port in self._confirmed_routes.keys() - wanted.keys():
            self._record(history.Kind.ROUTE_DROPPED, port, "")
        self._confirmed_routes = wanted
        return True

    def count_targets(self) -> "defer.Deferred[int]":
        """Return the number of targets that have written their entries."""
        url = f"http://{self._store}{names.RANGE_PATH}"
        call: typing.Any = treq.get(url, timeout=TIMEOUT_S, persistent=False)
        call.addCallback(treq.json_content)
        call.addCallback(_count_targets)
        return typing.cast("defer.Deferred[int]", call.addErrback(lambda _: 0))

    def _record(self, kind: history.Kind, port: int, service: str) -> None:
        now_s = time.monotonic()
        self._on_event(history.Event(now_s, kind, "op", str(port), "", service))

    def _post(self, name: str, body: typing.Any) -> "defer.Deferred[bool]":
        url = f"http://{self._store}/own/{name}"
        content = json.dumps(body).encode()
        call = treq.post(url, content, timeout=TIMEOUT_S, persistent=False)
        call.addCallback(treq.content)
        call.addCallback(lambda _: True)
        return typing.cast("defer.Deferred[bool]", call.addErrback(lambda _: False))


def _count_targets(body: dict[str, typing.Any]) -> int:
    keys = [item["key"] for item in body["items"]]
    return sum(key.startswith(names.TARGET_PREFIX) for key in keys)


def _route(port: int, service: str) -> dict[str, typing.Any]:
    return {
        "name": f"r{port}",
        "host": layout.SERVICE_IP,
        "prefix": f"/{port}/",
        "type": "safe",
        "timeout_ms": 3000,
        "service": service,
    }
