"""The operator of a run: writes the configuration, and switches store faults."""

import json
import time
import typing

import treq
from twisted.internet import defer

from eelgrasswick.soak import history, layout

TIMEOUT_S: typing.Final = 1.0
FIRST_ADDED: typing.Final = 500
_COLD: typing.Final = {
    "name": layout.COLD_SERVICE,
    "cold_start_s": layout.COLD_START_S,
    "cold_per_s": layout.COLD_FLOWS_PER_S,
}


class Operator:
    """Changes routes and evacuates zones; the store's answer is the confirmation."""

    def __init__(
        self,
        reactor: typing.Any,
        store: str,
        seen: typing.Callable[[history.Event], None],
    ) -> None:
        """Write to a store, and note what it confirmed."""
        self.added: list[int] = []
        self._reactor = reactor
        self._store = store
        self._seen = seen
        self._routes = {443: "desk", 444: "vault"}
        self._told: dict[int, str] = {}
        self._version = 0
        self._evacuated = ""

    def add(self) -> None:
        """Add a route."""
        port = FIRST_ADDED + len(self.added)
        self.added.append(port)
        self._routes[port] = "desk"
        defer.ensureDeferred(self.configure())

    def drop(self, pick: float) -> None:
        """Drop one of the routes that were added."""
        added = [port for port in self._routes if port >= FIRST_ADDED]
        if added:
            del self._routes[added[int(pick * len(added))]]
            defer.ensureDeferred(self.configure())

    def evacuate(self, zone: str) -> bool:
        """Evacuate a zone, unless one is evacuated already."""
        if self._evacuated:
            return False
        self._evacuated = zone
        defer.ensureDeferred(self._evacuate(zone))
        return True

    def take_back(self, zone: str) -> None:
        """Take a zone back; targets there may get flows as soon as it is written."""
        self._evacuated = ""
        self._seen(history.Event(time.monotonic(), history.Kind.TAKEN_BACK, zone))
        defer.ensureDeferred(self._post("evacuation", {"zone": zone, "over": True}))

    async def _evacuate(self, zone: str) -> None:
        if await self._post("evacuation", {"zone": zone, "over": False}):
            self._seen(history.Event(time.monotonic(), history.Kind.EVACUATED, zone))

    def fault(self, fields: dict[str, typing.Any]) -> None:
        """Switch the store's faults; none for an empty table."""
        self._post("fault", fields)

    async def configure(self) -> bool:
        """Write the configuration in full; True when it was confirmed."""
        self._version += 1
        wanted = dict(self._routes)
        routes = [_route(port, service) for port, service in wanted.items()]
        body = {"version": self._version, "routes": routes, "services": [_COLD]}
        for port in wanted.keys() - self._told.keys():
            # Callers may reach a new route as soon as the store has it, which is
            # before the operator hears so.
            self._note(history.Kind.ROUTE_ADDED, port, wanted[port])
        if not await self._post("config", body):
            return False
        for port in self._told.keys() - wanted.keys():
            self._note(history.Kind.ROUTE_DROPPED, port, "")
        self._told = wanted
        return True

    def _note(self, kind: history.Kind, port: int, service: str) -> None:
        now_s = time.monotonic()
        self._seen(history.Event(now_s, kind, "op", str(port), "", service))

    def _post(self, name: str, body: typing.Any) -> "defer.Deferred[bool]":
        url = f"http://{self._store}/own/{name}"
        content = json.dumps(body).encode()
        call = treq.post(url, content, timeout=TIMEOUT_S, persistent=False)
        call.addCallback(treq.content)
        call.addCallback(lambda _: True)
        return typing.cast("defer.Deferred[bool]", call.addErrback(lambda _: False))


def _route(port: int, service: str) -> dict[str, typing.Any]:
    return {
        "name": f"r{port}",
        "host": layout.SERVICE_IP,
        "prefix": f"/{port}/",
        "type": "safe",
        "timeout_ms": 3000,
        "service": service,
    }
