"""A VM that reserves capacity, without sockets, and the rows and packets it gets."""

import json
import os
import random
import struct
import typing

from eelgrasswick.cookie import (
    carrying,
    catalog,
    event_log,
    held_packets,
    model,
    observations,
    peers,
    reserving,
    source,
    stats,
    store_replica,
)
from eelgrasswick.platform import entries, segments
from tests import cookie_parts

OBJECTIVE_MS: typing.Final = 400
URGENT_PORT: typing.Final = 444

Transmit = typing.Callable[["Vm", str, bytes], None]
Sent = typing.Callable[["Vm", bytes, model.Address], None]


class Route(typing.NamedTuple):
    """A route of the configuration, by its port."""

    port: int = cookie_parts.PORT
    service: str = "desk"
    objective_ms: int = OBJECTIVE_MS
    priority: int = 2


ROUTES: typing.Final = (Route(), Route(URGENT_PORT, priority=0))


def config_row(
    revision: int, routes: typing.Iterable[Route] = ROUTES, version: int = 1
) -> source.Row:
    """Return a configuration row with some routes."""
    body = {
        "version": version,
        "routes": [
            {
                "name": f"r{item.port}",
                "host": "198.18.0.1",
                "prefix": f"/{item.port}/",
                "type": "safe",
                "timeout_ms": 800,
                "target_latency_ms": item.objective_ms,
                "priority": item.priority,
                "service": item.service,
                "max_attempts": 2,
            }
            for item in routes
        ],
        "services": [
            {"name": name, "health_path": "/health"}
            for name in sorted({item.service for item in routes})
        ],
        "limits": {"idle_timeout_ms": 15_000},
    }
    return source.Row("op/config", json.dumps(body).encode(), revision)


def opening(
    port: int, copy: int = 0, caller: int = 7, route: int = cookie_parts.PORT
) -> bytes:
    """Return the opening packet of a flow of one of many callers."""
    return from_caller(
        cookie_parts.packet(cookie_parts.SYN, port, acknowledged=copy, port=route),
        caller,
    )


def from_caller(raw: bytes, caller: int) -> bytes:
    return raw[:24] + struct.pack(">I", 0x64400000 + caller) + raw[28:]


class _Log(event_log.EventLog):
    """A log that keeps its lines as data."""

    def __init__(self, counters: stats.Stats) -> None:
        super().__init__(os.open(os.devnull, os.O_WRONLY), "vm", 1000, counters)
        self.lines: list[tuple[str, dict[str, object]]] = []

    def write(self, event: str, **fields: object) -> None:
        self.lines.append((event, fields))


class Vm:
    """A VM without sockets.

    Attributes:
        old: True for a build that drops datagrams about reservations.
        alive: False after it was killed.
        frozen: True while it stands still.
    """

    def __init__(self, host: str, zone: str, transmit: Transmit, sent: Sent) -> None:
        """Create a VM that knows no others and has no rows.

        Args:
            host: Its address.
            zone: Its zone.
            transmit: Sends a datagram to another VM.
            sent: Sends a datagram to a target or a caller.
        """
        self.host, self.zone = host, zone
        self.old = False
        self.alive = True
        self.frozen = False
        self.backlog: list[typing.Callable[[], None]] = []
        self.stats = stats.Stats()
        self.log = _Log(self.stats)
        self.catalog = catalog.Catalog(entries.Reader())
        self.replica = store_replica.StoreReplica()
        self.observations = observations.Observations(zone, self.catalog, vm=host)
        rng = random.Random(host)
        self.peers = peers.Peers(host, zone, rng)
        self.carrier = carrying.Carrier(
            zone,
            18172,
            carrying.Parts(
                segments.Codec(),
                self.replica,
                self.catalog,
                self.observations,
                self.log,
                self.stats,
            ),
        )
        self.reservations = reserving.Reservations(
            host,
            zone,
            True,
            reserving.Parts(
                self.catalog,
                self.observations,
                self.peers,
                self.log,
                self.stats,
                lambda to, payload: transmit(self, to, payload),
                held_packets.HeldPackets(self.carrier).resolve,
                lambda: None,
            ),
            rng,
        )
        self.carrier.steering.holder = self.reservations
        self.carrier.on_stall = self.reservations.pause
        self.observations.on_rejection = self.reservations.record_rejection
        self.observations.on_response = self.reservations.record_response
        self.carrier.send = lambda raw, address: sent(self, raw, address)

    def apply(self, now_ms: int, *rows: source.Row) -> None:
        """Apply rows of the store."""
        self.replica.confirmed_ms = now_ms
        self.carrier.apply_rows(now_ms, store_replica.Merge(tuple(rows), 0), "store")

    def pressed(self, now_ms: int, service: str = "desk") -> bool:
        """Return whether this VM holds new flows of the first route."""
        route = model.Route("r", (model.Share(service, 1),), OBJECTIVE_MS)
        return self.reservations.wants(now_ms, route, service)

    def count(self, name: str) -> int:
        """Return a counter."""
        return self.stats.counts[name]

    def events(self, name: str) -> list[dict[str, object]]:
        """Return the fields of the log lines of an event."""
        return [fields for event, fields in self.log.lines if event == name]
