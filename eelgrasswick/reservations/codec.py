"""Encoding of the messages about reservations.

A message is a CBOR array whose first item is the kind. Kinds below 24 and the lengths
of these arrays take one byte each, so the second byte of a datagram tells its kind.
"""

import typing

import cbor2

from eelgrasswick import errors
from eelgrasswick.cookie import exchange, model
from eelgrasswick.reservations import messages

# A message with this many entries of usage fits in a datagram of `exchange.MAX_BYTES`.
MAX_USAGE: typing.Final = 40

_RESERVE: typing.Final = 16
_GRANT: typing.Final = 17
_QUEUED: typing.Final = 18
_REJECT: typing.Final = 19
_USAGE_UPDATE: typing.Final = 20
_PRESSURE: typing.Final = 21

_KINDS: typing.Final[dict[type[messages.Message], int]] = {
    messages.Reserve: _RESERVE,
    messages.Grant: _GRANT,
    messages.Queued: _QUEUED,
    messages.Reject: _REJECT,
    messages.UsageUpdate: _USAGE_UPDATE,
    messages.Pressure: _PRESSURE,
}
# First bytes of a CBOR array whose length is part of the byte.
_FIRST_ARRAY: typing.Final = 0x80
_LAST_ARRAY: typing.Final = 0x97


def is_reservation(payload: bytes) -> bool:
    """Return whether the first bytes are those of a message about reservations."""
    return (
        len(payload) > 1
        and _RESERVE <= payload[1] <= _PRESSURE
        and _FIRST_ARRAY <= payload[0] <= _LAST_ARRAY
    )


def encode(message: messages.Message) -> bytes:
    """Return the datagram of a message."""
    return cbor2.dumps([_KINDS[type(message)], *message])


def decode(payload: bytes) -> messages.Message:
    """Return the message of a datagram.

    Raises:
        errors.MessageInvalidError: The datagram is not a valid message.
    """
    if not is_reservation(payload):
        raise errors.MessageInvalidError("reservation message: unknown kind")
    try:
        kind, *fields = _list(cbor2.loads(payload))
        return _DECODERS[kind](fields)
    except exchange.DECODE_ERRORS as error:
        raise errors.MessageInvalidError(f"reservation message: {error}") from error


def _reserve(fields: list[typing.Any]) -> messages.Reserve:
    incarnation, number, acknowledged, group, *rest = fields
    request, priority, wait_ms, caller, candidates, usage = rest
    return messages.Reserve(
        exchange.decode_count(incarnation),
        exchange.decode_count(number),
        _acknowledged(acknowledged),
        _group(group),
        exchange.decode_count(request),
        exchange.decode_count(priority),
        exchange.decode_count(wait_ms),
        exchange.decode_count(caller),
        _candidates(candidates),
        _usage(usage),
    )


def _grant(fields: list[typing.Any]) -> messages.Grant:
    incarnation, request, cookie, grant, expected_wait_ms = map(
        exchange.decode_count, fields
    )
    return messages.Grant(incarnation, request, cookie, grant, expected_wait_ms)


def _queued(fields: list[typing.Any]) -> messages.Queued:
    request, expected_wait_ms = map(exchange.decode_count, fields)
    return messages.Queued(request, expected_wait_ms)


def _reject(fields: list[typing.Any]) -> messages.Reject:
    request, reason, expected_wait_ms = map(exchange.decode_count, fields)
    return messages.Reject(request, messages.RejectReason(reason), expected_wait_ms)


def _usage_update(fields: list[typing.Any]) -> messages.UsageUpdate:
    incarnation, number, acknowledged, usage = fields
    return messages.UsageUpdate(
        exchange.decode_count(incarnation),
        exchange.decode_count(number),
        _acknowledged(acknowledged),
        _usage(usage),
    )


def _pressure(fields: list[typing.Any]) -> messages.Pressure:
    service, zone, number = fields
    return messages.Pressure(_text(service), _text(zone), exchange.decode_count(number))


_DECODERS: typing.Final[
    dict[int, typing.Callable[[list[typing.Any]], messages.Message]]
] = {
    _RESERVE: _reserve,
    _GRANT: _grant,
    _QUEUED: _queued,
    _REJECT: _reject,
    _USAGE_UPDATE: _usage_update,
    _PRESSURE: _pressure,
}


def _acknowledged(item: object) -> messages.Acknowledged:
    incarnation, grant = map(exchange.decode_count, _list(item))
    return messages.Acknowledged(incarnation, grant)


def _candidates(items: object) -> tuple[messages.Candidate, ...]:
    listed = _list(items)
    if len(listed) > messages.MAX_CANDIDATES:
        raise ValueError(f"{len(listed)} candidates")
    return tuple(_candidate(item) for item in listed)


def _candidate(item: object) -> messages.Candidate:
    cookie, slots = map(exchange.decode_count, _list(item))
    return messages.Candidate(cookie, slots)


def _usage(items: object) -> tuple[messages.Usage, ...]:
    return tuple(_usage_entry(item) for item in _list(items))


def _usage_entry(item: object) -> messages.Usage:
    cookie, in_flight, completed, busy_ms, rejected = map(
        exchange.decode_count, _list(item)
    )
    return messages.Usage(cookie, in_flight, completed, busy_ms, rejected)


def _text(value: object) -> str:
    if not isinstance(value, str) or len(value) > model.MAX_NAME_CHARACTERS:
        raise TypeError("expected a text that is no longer than a name")
    return value


def _group(value: object) -> str:
    text = _text(value)
    if text.count("/") < 2:
        raise ValueError("expected a group of the form service/zone/index")
    return text


def _list(value: object) -> list[typing.Any]:
    # Maps and sets can be iterated too, but are no valid encoding of a list.
    if not isinstance(value, list):
        raise TypeError("expected an array")
    return value
