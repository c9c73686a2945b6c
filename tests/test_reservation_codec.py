"""Tests of the encoding of messages about reservations."""

import typing

import cbor2
import hypothesis
import pytest
from hypothesis import strategies

from eelgrasswick import errors
from eelgrasswick.cookie import exchange, model
from eelgrasswick.reservations import codec, messages

COUNT: typing.Final = strategies.integers(0, exchange.MAX_COUNT)
TEXT: typing.Final = strategies.text(max_size=model.MAX_NAME_CHARACTERS)
GROUP: typing.Final = strategies.tuples(*[strategies.text(max_size=80)] * 3).map(
    "/".join
)
ACKNOWLEDGED: typing.Final = strategies.builds(messages.Acknowledged, COUNT, COUNT)
CANDIDATES: typing.Final = strategies.lists(
    strategies.builds(messages.Candidate, COUNT, COUNT),
    max_size=messages.MAX_CANDIDATES,
).map(tuple)
USAGE: typing.Final = strategies.lists(
    strategies.builds(messages.Usage, COUNT, COUNT, COUNT, COUNT, COUNT), max_size=5
).map(tuple)
MESSAGES: typing.Final = strategies.one_of(
    strategies.builds(
        messages.Reserve,
        COUNT,
        COUNT,
        ACKNOWLEDGED,
        GROUP,
        COUNT,
        COUNT,
        COUNT,
        COUNT,
        CANDIDATES,
        USAGE,
    ),
    strategies.builds(messages.Grant, COUNT, COUNT, COUNT, COUNT, COUNT),
    strategies.builds(messages.Queued, COUNT, COUNT),
    strategies.builds(
        messages.Reject, COUNT, strategies.sampled_from(messages.RejectReason), COUNT
    ),
    strategies.builds(messages.UsageUpdate, COUNT, COUNT, ACKNOWLEDGED, USAGE),
    strategies.builds(messages.Pressure, TEXT, TEXT, COUNT),
)
ANY_ITEM: typing.Final = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-(2**70), 2**70)
    | strategies.floats()
    | strategies.text(max_size=5)
    | strategies.binary(max_size=5),
    lambda items: (
        strategies.lists(items, max_size=6)
        | strategies.dictionaries(strategies.integers(0, 9), items, max_size=3)
    ),
    max_leaves=12,
)
RESERVE: typing.Final = messages.Reserve(
    7,
    1,
    messages.Acknowledged(),
    "web/z1/0",
    3,
    0,
    50,
    9,
    (messages.Candidate(5, 2),),
    (messages.Usage(5, 1, 2, 70, 0),),
)


def decode_or_error(payload: bytes) -> messages.Message | None:
    """Decode a payload; None stands for the typed error."""
    try:
        return codec.decode(payload)
    except errors.MessageInvalidError:
        return None


@hypothesis.given(MESSAGES)
def test_every_message_decodes_to_itself(message: messages.Message) -> None:
    """Guards against fields that are lost, reordered or get another type."""
    payload = codec.encode(message)
    decoded = codec.decode(payload)
    assert decoded == message
    assert type(decoded) is type(message)
    assert codec.is_reservation(payload)


@hypothesis.settings(max_examples=500)
@hypothesis.given(strategies.binary(max_size=80))
def test_any_bytes_give_a_message_or_the_typed_error(payload: bytes) -> None:
    """Guards against a datagram that ends the process with another exception."""
    decode_or_error(payload)


@hypothesis.settings(max_examples=500)
@hypothesis.given(strategies.integers(14, 23), strategies.binary(max_size=60))
def test_any_bytes_after_a_valid_head_give_a_message_or_the_typed_error(
    kind: int, rest: bytes
) -> None:
    """Guards against decoders of single kinds that raise another exception."""
    for length in range(0x80, 0x98):
        decode_or_error(bytes((length, kind)) + rest)


@hypothesis.settings(max_examples=500)
@hypothesis.given(
    strategies.integers(16, 21), strategies.lists(ANY_ITEM, min_size=2, max_size=10)
)
def test_any_fields_give_a_message_or_the_typed_error(
    kind: int, fields: list[typing.Any]
) -> None:
    """Guards against well-formed CBOR with fields of other types."""
    decode_or_error(cbor2.dumps([kind, *fields]))


@hypothesis.settings(max_examples=500)
@hypothesis.given(MESSAGES, strategies.data())
def test_a_damaged_message_gives_a_message_or_the_typed_error(
    message: messages.Message, data: strategies.DataObject
) -> None:
    """Guards against damage within a message that raises another exception."""
    payload = bytearray(codec.encode(message))
    position = data.draw(strategies.integers(0, len(payload) - 1))
    payload[position] = data.draw(strategies.integers(0, 255))
    decode_or_error(bytes(payload))
    decode_or_error(bytes(payload[:position]))


@pytest.mark.parametrize(
    "field", [-1, True, 1.0, None, "1", b"1", [1], 2**63], ids=repr
)
def test_a_field_that_is_no_count_is_invalid(field: object) -> None:
    """Guards against values with which the scheduler can't compute."""
    for index in (0, 1, 4, 5, 6, 7):
        fields: list[typing.Any] = list(RESERVE)
        fields[index] = field
        with pytest.raises(errors.MessageInvalidError):
            codec.decode(cbor2.dumps([16, *fields]))


@pytest.mark.parametrize(
    "item",
    [
        [16, *RESERVE, 1],
        [16, *RESERVE[:-1]],
        [16, *RESERVE[:8], [[1, 2]] * 9, []],
        [16, *RESERVE[:8], {(1, 2): 3}, []],
        [16, *RESERVE[:8], [[1, 2]], [[1, 2, 3, 4]]],
        [16, *RESERVE[:3], "x" * 257, *RESERVE[4:]],
        [16, *RESERVE[:3], "web/z1/" + "0" * 250, *RESERVE[4:]],
        [16, *RESERVE[:3], "web/z1", *RESERVE[4:]],
        [16, *RESERVE[:3], "", *RESERVE[4:]],
        [18, 1],
        [19, 1, 5, 0],
        [19, 1, 0, 0],
        [21, "web", 1, 2],
        [15, 1, 2],
        [22, 1, 2],
    ],
    ids=repr,
)
def test_a_message_with_wrong_structure_is_invalid(item: list[typing.Any]) -> None:
    """Guards against messages that are taken for what they are not."""
    with pytest.raises(errors.MessageInvalidError):
        codec.decode(cbor2.dumps(item))


def test_the_existing_kinds_are_no_reservations() -> None:
    """Guards against gossip that is decoded as a message about reservations."""
    for kind in range(1, 6):
        payload = cbor2.dumps([kind, 1, "z1", True, 1, 0, None, [], []])
        assert not codec.is_reservation(payload)
    for payload in (b"", b"\x85", b"\x10\x10", b"\xa3\x10\x00"):
        assert not codec.is_reservation(payload)


def test_the_largest_update_fits_in_a_datagram() -> None:
    """Guards against updates that are fragmented or dropped on the way."""
    day_ms = 86_400_000
    row = messages.Usage(2**32 - 1, 300, 2**31, 30 * day_ms, 2**20)
    update = messages.UsageUpdate(
        2**31 - 1,
        2**32 - 1,
        messages.Acknowledged(2**31 - 1, 2**32 - 1),
        (row,) * codec.MAX_USAGE,
    )
    assert len(codec.encode(update)) <= exchange.MAX_BYTES
