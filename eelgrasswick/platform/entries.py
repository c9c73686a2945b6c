"""Decoding of the platform store's rows: configuration, evacuations, targets."""

import json
import re
import socket
import typing

from eelgrasswick import errors
from eelgrasswick.cookie import model, source
from eelgrasswick.platform import names

_SERVER_ID: typing.Final = re.compile(r"(?:.*[^0-9a-f])?([0-9a-f]{1,16})")
# Numbers up to this one have the same value in all implementations of JSON (RFC 8259,
# section 6). Decisions would fail with a number that does not fit in a float.
_MAX_NUMBER: typing.Final = 2**53 - 1
_STATES: typing.Final = frozenset({"ready", "draining"})
_DECODE_ERRORS: typing.Final = (
    ValueError,
    TypeError,
    LookupError,
    OSError,
    RecursionError,
)
_Body = dict[str, typing.Any]


class Reader(source.Reader):
    """Decoder of the values that operators and servers write."""

    def is_config(self, key: str) -> bool:
        """Return whether a key holds the configuration."""
        return key == names.CONFIG_KEY

    def is_target(self, key: str) -> bool:
        """Return whether a key holds a target."""
        return key.startswith(names.TARGET_PREFIX)

    def is_evacuation(self, key: str) -> bool:
        """Return whether a key holds an evacuation."""
        return key.startswith(names.EVACUATION_PREFIX)

    def config(self, row: source.Row) -> model.Config:
        """Return the configuration in a row; see the base class."""
        try:
            return _config(_body(row.value))
        except _DECODE_ERRORS as error:
            raise errors.EntryInvalidError(f"config: {error!r}") from error

    def evacuation(self, row: source.Row) -> model.Evacuation:
        """Return the evacuation in a row; see the base class."""
        zone = row.key.removeprefix(names.EVACUATION_PREFIX)
        if not zone:
            raise errors.EntryInvalidError("evacuation: the key names no zone")
        try:
            _body(row.value)
        except _DECODE_ERRORS as error:
            return model.Evacuation(zone, repr(error))
        return model.Evacuation(zone)

    def target(self, row: source.Row) -> model.Target:
        """Return the target in a row; see the base class."""
        try:
            return _target(row.key.removeprefix(names.TARGET_PREFIX), _body(row.value))
        except _DECODE_ERRORS as error:
            raise errors.EntryInvalidError(f"server: {error!r}") from error


def _body(value: bytes | None) -> _Body:
    # ``json.loads`` would accept bytes that are not valid UTF-8.
    return _object(json.loads((value or b"").decode("utf-8-sig")))


def _object(value: object) -> _Body:
    if not isinstance(value, dict):
        raise TypeError(f"{value!r} is not a JSON object")
    return value


def _config(body: _Body) -> model.Config:
    routes = {}
    for item in body["routes"]:
        # ``prefix`` is the service port between slashes, and ``host`` the service
        # address.
        port = int(_string(_object(item)["prefix"]).strip("/"))
        routes[(socket.inet_aton(_string(item["host"])), port)] = _route(item)
    services = [_service(_object(item)) for item in body.get("services", [])]
    return model.Config(
        _whole_number(body["version"]), routes, {item.name: item for item in services}
    )


def _service(item: _Body) -> model.Service:
    per_s = item.get("cold_per_s")
    return model.Service(
        _string(item["name"]),
        int(1000 * _non_negative_number(item.get("cold_start_s", 0))),
        None if per_s is None else _non_negative_number(per_s),
    )


def _route(item: _Body) -> model.Route:
    split = item.get("traffic_split")
    if split:
        shares = tuple(
            model.Share(_string(part["service"]), _non_negative_number(part["weight"]))
            for part in split
        )
    else:
        shares = (model.Share(_string(item["service"]), 1.0),)
    return model.Route(
        _string(item["name"]),
        shares,
        _whole_number(item.get("target_latency_ms", 0)),
        _whole_number(item.get("priority", 0)),
    )


def _target(name: str, body: _Body) -> model.Target:
    state = body["state"]
    if state not in _STATES:
        raise ValueError(f"state {state!r}")
    # These fields are not used, but an entry without them was not written by a server.
    _string(body["version"])
    _whole_number(body["sequence"])
    match = _SERVER_ID.fullmatch(name)
    if match is None:
        raise ValueError(f"id {name!r} has no hex digits")
    return model.Target(
        name,
        # ``born`` is the start time of this incarnation. A server may start again under
        # its previous id.
        _whole_number(body["born"]),
        # Datagrams to the target start with its token: the hexadecimal digits of its id
        # as a number of 8 bytes.
        int(match.group(1), 16).to_bytes(8, "big"),
        _string(body["service"]),
        _address(_string(body["address"])),
        _string(body["zone"]),
        _whole_number(body["concurrency"]),
        state == "draining",
        _whole_number(body["cold_remaining_ms"]),
    )


def _address(text: str) -> model.Address:
    host, _, port = text.rpartition(":")
    packed = socket.inet_aton(host)
    if not 0 < int(port) < 65536:
        raise ValueError(f"port {port}")
    return model.Address(socket.inet_ntoa(packed), int(port))


def _whole_number(value: object) -> int:
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        raise TypeError(f"{value!r} is not a whole number")
    if value > _MAX_NUMBER:
        raise ValueError(f"{value!r} is out of range")
    return value


def _non_negative_number(value: object) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise TypeError(f"{value!r} is not a number")
    if not 0 <= value <= _MAX_NUMBER:
        raise ValueError(f"{value!r} is out of range")
    return float(value)


def _string(value: object) -> str:
    if not isinstance(value, str):
        raise TypeError(f"{value!r} is not a string")
    # A JSON escape may denote half of a surrogate pair. Such a string has no encoding,
    # and neither the log nor a message to other VMs could contain it.
    value.encode()
    return value
