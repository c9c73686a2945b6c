"""Tests of the codec of callers' segments."""

import hypothesis
import pytest
from hypothesis import strategies

from eelgrasswick import errors
from eelgrasswick.cookie import model
from eelgrasswick.platform import entries, segments
from tests import cookie_parts

# Example of the protocol page: an opening packet from 100.64.0.7:40001 to
# 198.18.0.1:443.
EXAMPLE = bytes.fromhex(
    "00001122334400000000 00000000 a1b2c3d5 c6120001 9c41 64400007 01bb 20 000000"
)
EXAMPLE_RESET = bytes.fromhex(
    "00000000000000000000 00000000 00000000 64400007 01bb c6120001 9c41 02 000000"
)


@pytest.fixture
def codec() -> segments.Codec:
    return segments.Codec()


def test_example_segment_is_decoded(codec: segments.Codec) -> None:
    """Guards against a codec that differs from the protocol page."""
    segment = codec.decode(EXAMPLE)
    assert str(segment.flow) == "100.64.0.7:40001>198.18.0.1:443"
    assert segment.opening
    assert segment.sequence == 0x11223344
    assert segment.cookie == 0


def test_reset_equals_the_example(codec: segments.Codec) -> None:
    """Guards against resets that callers do not accept."""
    assert codec.reset(codec.decode(EXAMPLE).flow, 0) == EXAMPLE_RESET


def test_marking_changes_only_the_cookie(codec: segments.Codec) -> None:
    """Guards against a cookie that overwrites other fields."""
    marked = codec.with_cookie(EXAMPLE, 0xDEADBEEF)
    assert codec.decode(marked).cookie == 0xDEADBEEF
    assert codec.with_cookie(marked, 0) == EXAMPLE


def test_addressed_datagram_starts_with_the_token(codec: segments.Codec) -> None:
    """Guards against datagrams that the target's host can't deliver."""
    row = cookie_parts.target_row("i-7f3a91c2", 1)
    target = entries.Reader().target(row)
    assert (
        codec.for_target(EXAMPLE, target) == bytes.fromhex("000000007f3a91c2") + EXAMPLE
    )


@pytest.mark.parametrize(
    "datagram",
    [
        b"",
        EXAMPLE[:33],
        EXAMPLE + b"x",
        cookie_parts.packet(cookie_parts.SYN | cookie_parts.ACK),
        cookie_parts.packet(cookie_parts.SYN, data=b"x"),
        cookie_parts.packet(16 | cookie_parts.ACK),
        cookie_parts.packet(cookie_parts.ACK, data=b"x" * 1201),
    ],
)
def test_segment_that_no_caller_sends_is_refused(
    codec: segments.Codec, datagram: bytes
) -> None:
    """Guards against forged datagrams, which anyone can send to a VM's port.

    If a forged answer were forwarded, the target would drop the flow. A wrong length
    would mix the data of two packets.
    """
    with pytest.raises(errors.PacketMalformedError):
        codec.decode(datagram)


@hypothesis.given(strategies.binary(max_size=60))
def test_any_bytes_give_a_segment_or_an_error(datagram: bytes) -> None:
    """Guards against bytes that make the decoder fail in another way."""
    codec = segments.Codec()
    try:
        segment = codec.decode(datagram)
    except errors.PacketMalformedError:
        return
    assert isinstance(segment, model.Segment)
