"""Rows of the platform's store as configuration, evacuations and targets."""

import json
import math
import re
import socket
import typing

from eelgrasswick import errors
from eelgrasswick.cookie import model, source
from eelgrasswick.platform import names

_ID: typing.Final = re.compile(r"(?:.*[^0-9a-f])?([0-9a-f]{1,16})")
_STATES: typing.Final = frozenset({"ready", "draining"})
_FAULTS: typing.Final = (ValueError, TypeError, LookupError, OSError, RecursionError)
_Body = dict[str, typing.Any]


class Reader(source.Reader):
    """Decodes the values that operators and servers write."""

    def is_config(self, key: str) -> bool:
        """Tell whether a key holds the configuration."""
        return key == names.CONFIG_KEY

    def is_target(self, key: str) -> bool:
        """Tell whether a key holds a target."""
        return key.startswith(names.TARGET_PREFIX)

    def is_evacuation(self, key: str) -> bool:
        """Tell whether a key orders an evacuation."""
        return key.startswith(names.EVACUATION_PREFIX)

    def config(self, row: source.Row) -> model.Config:
        """Return the configuration in a row; see the base class."""
        try:
            return _config(_body(row.value))
        except _FAULTS as error:
            raise errors.EntryInvalidError(f"config: {error!r}") from error

    def evacuation(self, row: source.Row) -> model.Evacuation:
        """Return the evacuation that a row orders; see the base class."""
        zone = row.key.removeprefix(names.EVACUATION_PREFIX)
        if not zone:
            raise errors.EntryInvalidError("evacuation: the key names no zone")
        try:
            _body(row.value)
        except _FAULTS as error:
            return model.Evacuation(zone, repr(error))
        return model.Evacuation(zone)

    def target(self, row: source.Row) -> model.Target:
        """Return the target in a row; see the base class."""
        try:
            return _target(row.key.removeprefix(names.TARGET_PREFIX), _body(row.value))
        except _FAULTS as error:
            raise errors.EntryInvalidError(f"server: {error!r}") from error


def _body(value: bytes | None) -> _Body:
    body = json.loads(value or b"")
    if not isinstance(body, dict):
        raise TypeError("the body is no object")
    return body


def _config(body: _Body) -> model.Config:
    routes = {}
    for item in body["routes"]:
        # ``prefix`` is the service port between slashes, ``host`` its address.
        port = int(item["prefix"].strip("/"))
        routes[(socket.inet_aton(item["host"]), port)] = _route(item)
    services = [_service(item) for item in body.get("services", [])]
    return model.Config(
        _number(body["version"]), routes, {item.name: item for item in services}
    )


def _service(item: _Body) -> model.Service:
    per_s = item.get("cold_per_s")
    return model.Service(
        _text(item["name"]),
        int(1000 * _amount(item.get("cold_start_s", 0))),
        None if per_s is None else _amount(per_s),
    )


def _route(item: _Body) -> model.Route:
    split = item.get("traffic_split")
    if split:
        shares = tuple(
            model.Share(_text(part["service"]), float(part["weight"])) for part in split
        )
    else:
        shares = (model.Share(_text(item["service"]), 1.0),)
    return model.Route(
        _text(item["name"]),
        shares,
        _number(item.get("target_latency_ms", 0)),
        _number(item.get("priority", 0)),
    )


def _target(name: str, body: _Body) -> model.Target:
    state = body["state"]
    if state not in _STATES:
        raise ValueError(f"state {state!r}")
    # Not used here, but an entry without them is not a server's own.
    _text(body["version"])
    _number(body["sequence"])
    token = _ID.fullmatch(name)
    if token is None:
        raise ValueError(f"id {name!r} has no hex digits")
    return model.Target(
        name,
        # ``born`` is the start of this incarnation; a server may start again under
        # the id that it had.
        _number(body.get("born", 0)),
        # Datagrams begin with the digits of the id as a number of 8 bytes.
        int(token.group(1), 16).to_bytes(8, "big"),
        _text(body["service"]),
        _address(_text(body["address"])),
        _text(body["zone"]),
        _number(body["concurrency"]),
        state == "draining",
        _number(body["cold_remaining_ms"]),
    )


def _address(text: str) -> model.Address:
    host, _, port = text.rpartition(":")
    packed = socket.inet_aton(host)
    if not 0 < int(port) < 65536:
        raise ValueError(f"port {port}")
    return model.Address(socket.inet_ntoa(packed), int(port))


def _number(value: object) -> int:
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        raise TypeError(f"{value!r} is no whole number")
    return value


def _amount(value: object) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise TypeError(f"{value!r} is no number")
    if not 0 <= value < math.inf:
        raise ValueError(f"{value!r} is out of range")
    return float(value)


def _text(value: object) -> str:
    if not isinstance(value, str):
        raise TypeError(f"{value!r} is no text")
    return value
