"""Builders of routes, targets and packets for tests of cookie-based flows."""

import json
import socket
import struct
import typing

from eelgrasswick.cookie import catalog, model, source, store_replica
from eelgrasswick.platform import entries

SERVICE_IP: typing.Final = socket.inet_aton("198.18.0.1")
CALLER_IP: typing.Final = socket.inet_aton("100.64.0.7")
PORT: typing.Final = 443
SYN: typing.Final = 32
ACK: typing.Final = 4
FIN: typing.Final = 1
RST: typing.Final = 2


def config_row(
    revision: int, version: int = 1, routes: typing.Iterable[tuple[str, int, str]] = ()
) -> source.Row:
    """Return a configuration row; each route is an address, a port and a service."""
    listed = list(routes) or [("198.18.0.1", PORT, "desk")]
    body = {
        "version": version,
        "routes": [
            {
                "name": f"r{number}",
                "host": host,
                "prefix": f"/{port}/",
                "type": "safe",
                "timeout_ms": 800,
                "target_latency_ms": 120,
                "priority": 2,
                "service": service,
                "max_attempts": 2,
            }
            for number, (host, port, service) in enumerate(listed)
        ],
        "services": [{"name": "desk", "health_path": "/health"}],
        "limits": {"idle_timeout_ms": 15_000},
    }
    return source.Row("op/config", json.dumps(body).encode(), revision)


def target_row(name: str, revision: int, **changes: typing.Any) -> source.Row:
    """Return a target's row; ``changes`` replace fields, and None removes a field."""
    body: dict[str, typing.Any] = {
        "service": "desk",
        "address": f"10.128.0.{int(name[-2:], 16)}:8080",
        "zone": "z1",
        "version": "v1",
        "concurrency": 2,
        "state": "ready",
        "cold_remaining_ms": 0,
        "sequence": 4,
        "born": 1000,
        **changes,
    }
    kept = {key: value for key, value in body.items() if value is not None}
    return source.Row(f"servers/{name}", json.dumps(kept).encode(), revision)


def gone_row(name: str, revision: int) -> source.Row:
    """Return the row of a target whose entry was deleted."""
    return source.Row(f"servers/{name}", None, revision)


def listing(*rows: source.Row) -> source.Changes:
    """Return a full listing that consists of some rows."""
    return source.Changes(rows, max(row.revision for row in rows), 0)


def catalog_from(*rows: source.Row, now_ms: int = 0) -> catalog.Catalog:
    """Return a catalog that was updated from some rows."""
    target_catalog = catalog.Catalog(entries.Reader())
    target_catalog.update(now_ms, store_replica.Merge(rows, 0))
    return target_catalog


def packet(
    flags: int,
    caller_port: int = 40_001,
    sequence: int = 1,
    acknowledged: int = 0,
    cookie: int = 0,
    data: bytes = b"",
    port: int = PORT,
) -> bytes:
    """Return a caller's datagram, encoded field by field as the protocol defines."""
    head = struct.pack(">HII", len(data), sequence, acknowledged)
    head += struct.pack(">I", cookie) + b"\xa1\xb2\xc3\xd5" + SERVICE_IP
    head += struct.pack(">H", caller_port) + CALLER_IP + struct.pack(">H", port)
    return head + bytes([flags, 0, 0, 0]) + data


def cookie_of(datagram: bytes) -> int:
    """Return the cookie in a datagram that was sent to a target."""
    return int.from_bytes(datagram[18:22], "big")


def caller_port_of(datagram: bytes) -> int:
    """Return the caller's port in a datagram that was sent to a target."""
    return int.from_bytes(datagram[30:32], "big")


def flow(caller_port: int = 40_001) -> model.FlowId:
    """Return the id of the flow that ``packet`` belongs to."""
    return model.FlowId(CALLER_IP, caller_port, SERVICE_IP, PORT)
