"""Tests of the decoding of the platform store's rows."""

import json
import typing

import hypothesis
import pytest
from hypothesis import strategies

from eelgrasswick import errors
from eelgrasswick.cookie import model, source
from eelgrasswick.platform import entries
from tests import cookie_parts

JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.text(),
    lambda inner: (
        strategies.lists(inner) | strategies.dictionaries(strategies.text(), inner)
    ),
    max_leaves=8,
)


@pytest.fixture
def reader() -> entries.Reader:
    return entries.Reader()


def test_target_row_is_decoded(reader: entries.Reader) -> None:
    """Guards against flows that are sent to a wrong address or to a draining target."""
    target = reader.target(cookie_parts.target_row("i-0a", 1, state="draining"))
    assert target.address == model.Address("10.128.0.10", 8080)
    assert target.token == bytes(7) + b"\x0a"
    assert target.draining
    assert target.slots == 2


def test_incarnations_of_one_id_have_different_cookies(reader: entries.Reader) -> None:
    """Guards against packets of old flows that count as those of new ones.

    A server starts again under its id and has no state of its previous incarnation.
    """
    first = reader.target(cookie_parts.target_row("i-0a", 1, born=1))
    second = reader.target(cookie_parts.target_row("i-0a", 2, born=2))
    assert first.cookie != second.cookie


def test_config_row_is_decoded(reader: entries.Reader) -> None:
    """Guards against a route whose flows go to a wrong service."""
    config = reader.config(cookie_parts.config_row(1, version=7))
    route = config.routes[(cookie_parts.SERVICE_IP, 443)]
    assert config.version == 7
    assert route.shares == (model.Share("desk", 1.0),)


def test_traffic_split_is_decoded_as_shares(reader: entries.Reader) -> None:
    """Guards against a split route that sends all flows to one service."""
    body = json.loads(cookie_parts.config_row(1).value or b"")
    del body["routes"][0]["service"]
    body["routes"][0]["traffic_split"] = [
        {"service": "a", "weight": 90},
        {"service": "b", "weight": 10},
    ]
    row = source.Row("op/config", json.dumps(body).encode(), 2)
    route = reader.config(row).routes[(cookie_parts.SERVICE_IP, 443)]
    assert route.shares == (model.Share("a", 90.0), model.Share("b", 10.0))


@pytest.mark.parametrize(
    "changes",
    [
        {"service": None},
        {"address": "nowhere"},
        {"address": "10.0.0.1:99999"},
        {"state": "sleeping"},
        {"concurrency": "2"},
        {"concurrency": True},
        {"born": None},
        {"born": 1.5},
        {"sequence": None},
        {"version": 3},
        {"zone": ["z1"]},
    ],
)
def test_target_row_with_invalid_field_is_refused(
    reader: entries.Reader, changes: dict[str, typing.Any]
) -> None:
    """Guards against callers who are sent to an address where no target answers.

    Another program writes beside the servers, with fields that are wrong or missing.
    """
    with pytest.raises(errors.EntryInvalidError):
        reader.target(cookie_parts.target_row("i-0a", 1, **changes))


@hypothesis.given(
    strategies.binary(max_size=80) | JSON.map(lambda v: json.dumps(v).encode())
)
def test_any_value_is_decoded_or_refused(value: bytes) -> None:
    """Guards against a row that makes the decoder fail in another way."""
    reader = entries.Reader()
    for key, read in (("servers/i-0a", reader.target), ("op/config", reader.config)):
        try:
            read(source.Row(key, value, 1))
        except errors.EntryInvalidError as error:
            assert error.detail


def _with_services(*services: dict[str, typing.Any]) -> source.Row:
    row = cookie_parts.config_row(1)
    body = {**json.loads(row.value or b""), "services": services}
    return row._replace(value=json.dumps(body).encode())


def test_cold_start_fields_of_a_service_are_decoded(reader: entries.Reader) -> None:
    """Guards against cold targets that get more flows than the service configures."""
    limited = {"name": "desk", "cold_start_s": 1.5, "cold_per_s": 0.0}
    config = reader.config(_with_services(limited, {"name": "vault"}))
    assert config.services["desk"] == model.Service("desk", 1500, 0.0)
    assert config.services["vault"] == model.Service("vault", 0, None)


@pytest.mark.parametrize("value", [-1, float("nan"), float("inf"), "5", True, []])
@pytest.mark.parametrize("field", ["cold_start_s", "cold_per_s"])
def test_cold_start_field_that_is_no_valid_number_is_refused(
    reader: entries.Reader, field: str, value: object
) -> None:
    """Guards against a value that fails only when a flow is placed."""
    with pytest.raises(errors.EntryInvalidError):
        reader.config(_with_services({"name": "desk", field: value}))


@hypothesis.given(key=strategies.text(), value=strategies.binary(max_size=60))
def test_any_evacuation_is_decoded_or_refused(key: str, value: bytes) -> None:
    """Guards against an evacuation that is ignored because of its value."""
    row = source.Row(f"op/evacuate/{key}", value, 1)
    try:
        assert entries.Reader().evacuation(row).zone == key
    except errors.EntryInvalidError:
        assert not key


@pytest.mark.parametrize("value", [10**400, 1e308], ids=["integer", "float"])
def test_cold_start_too_long_for_a_number_of_ms_is_refused(
    reader: entries.Reader, value: float
) -> None:
    """Guards against a row whose error ends a merge halfway, or a VM's start."""
    service = {"name": "desk", "cold_start_s": value}
    body = {"version": 1, "routes": [], "services": [service]}
    row = source.Row("config", json.dumps(body).encode(), 1)
    with pytest.raises(errors.EntryInvalidError):
        reader.config(row)


def test_weight_too_large_for_a_float_is_refused(reader: entries.Reader) -> None:
    """Guards against a row whose error ends a merge halfway, or a VM's start."""
    split = [{"service": "desk", "weight": 10**400}]
    route = {"name": "r", "host": "198.18.0.1", "prefix": "/443/"}
    body = {"version": 1, "routes": [{**route, "traffic_split": split}]}
    row = source.Row("config", json.dumps(body).encode(), 1)
    with pytest.raises(errors.EntryInvalidError):
        reader.config(row)


def _with_text(field: str, value: str) -> source.Row:
    return cookie_parts.target_row("i-0a", 1, **{field: value})


def _with_bytes(field: str, value: bytes) -> source.Row:
    row = cookie_parts.target_row("i-0a", 1, **{field: "placeholder"})
    return row._replace(value=(row.value or b"").replace(b"placeholder", value))


@pytest.mark.parametrize("field", ["service", "zone", "version", "address", "state"])
@pytest.mark.parametrize(
    "value",
    [b"\xed\xa0\xbd", b"\xed\xbf\xbf", b"\xff", b"\\ud83d", b"\\udc00x"],
    ids=repr,
)
def test_target_whose_text_has_no_encoding_is_refused(
    reader: entries.Reader, field: str, value: bytes
) -> None:
    """Guards against an entry that no log line and no message can contain.

    Half of a surrogate pair is in the bytes, or the JSON has an escape for it.
    """
    with pytest.raises(errors.EntryInvalidError) as raised:
        reader.target(_with_bytes(field, value))
    assert raised.value.detail.encode()


@hypothesis.given(strategies.text(strategies.characters(), max_size=8))
def test_texts_of_a_decoded_target_have_an_encoding(value: str) -> None:
    """Guards against an entry that ends a VM when it is logged or sent on."""
    reader = entries.Reader()
    for field in ("service", "zone", "version"):
        try:
            target = reader.target(_with_text(field, value))
        except errors.EntryInvalidError as error:
            assert error.detail.encode()
        else:
            assert f"{target.name} {target.service} {target.zone}".encode()


@pytest.mark.parametrize("field", ["route", "service", "share"])
def test_config_whose_name_has_no_encoding_is_refused(
    reader: entries.Reader, field: str
) -> None:
    """Guards against a name in the configuration that no log line can contain."""
    body = json.loads(cookie_parts.config_row(1).value or b"")
    named = {
        "route": body["routes"][0],
        "service": body["services"][0],
        "share": {"weight": 1},
    }[field]
    named["service" if field == "share" else "name"] = "half \ud83d"
    if field == "share":
        body["routes"][0]["traffic_split"] = [named]
    with pytest.raises(errors.EntryInvalidError):
        reader.config(source.Row("op/config", json.dumps(body).encode(), 1))


@pytest.mark.parametrize("value", [2**53, 10**400], ids=["53 bits", "400 digits"])
@pytest.mark.parametrize("field", ["concurrency", "cold_remaining_ms", "born"])
def test_number_too_large_for_a_decision_is_refused(
    reader: entries.Reader, field: str, value: int
) -> None:
    """Guards against an entry that fails with each packet that considers it."""
    with pytest.raises(errors.EntryInvalidError):
        reader.target(cookie_parts.target_row("i-0a", 1, **{field: value}))


@hypothesis.given(
    place=strategies.sampled_from(
        [
            ("routes",),
            ("routes", 0),
            ("routes", 0, "host"),
            ("routes", 0, "prefix"),
            ("routes", 0, "traffic_split"),
            ("services",),
            ("services", 0),
            ("version",),
        ]
    ),
    value=JSON,
)
def test_any_value_within_a_config_is_decoded_or_refused(
    place: tuple[str | int, ...], value: object
) -> None:
    """Guards against a value of another type that makes the decoder fail."""
    body = json.loads(cookie_parts.config_row(1).value or b"")
    within: typing.Any = body
    for step in place[:-1]:
        within = within[step]
    within[place[-1]] = value
    try:
        entries.Reader().config(source.Row("op/config", json.dumps(body).encode(), 1))
    except errors.EntryInvalidError as error:
        assert error.detail
