"""Parsing and building of packets."""

import contextlib

import pytest
from hypothesis import given, strategies

from eelgrasswick import (
    errors,
    packet,
)

CALLER = packet.address("10.9.0.1:4000")
SERVICE = packet.address("10.1.0.1:443")


@pytest.fixture
def codec() -> packet.PacketCodec:
    return packet.FouCodec()


def test_tcp_packet_survives_encoding_and_decoding(codec: packet.PacketCodec) -> None:
    raw = packet.build_tcp(CALLER, SERVICE, packet.Flags.SYN, 7, 0, b"hello")
    item = codec.decode(codec.encode(raw))
    assert item.opens
    assert item.payload_bytes == 5
    assert item.request_key() == packet.FlowKey(6, *CALLER, *SERVICE)


def test_fragment_is_unsupported(codec: packet.PacketCodec) -> None:
    # Only the first fragment of a packet has ports, so fragments can't be balanced.
    # They must be dropped and counted, so that the operator can see them.
    raw = bytearray(packet.build_udp(CALLER, SERVICE, b"x"))
    raw[6] = 0x20
    with pytest.raises(errors.PacketUnsupportedError):
        codec.decode(bytes(raw))


def test_refusal_of_udp_quotes_the_packet(codec: packet.PacketCodec) -> None:
    item = codec.decode(packet.build_udp(CALLER, SERVICE, b"x" * 40))
    refusal = packet.build_refusal(item, errors.ErrorKind.NO_TARGET, 1000)
    assert item.raw[:28] in refusal


def test_refusal_of_tcp_is_a_reset_with_the_reason(codec: packet.PacketCodec) -> None:
    syn = codec.decode(packet.build_tcp(CALLER, SERVICE, packet.Flags.SYN, 41))
    refusal = packet.build_refusal(syn, errors.ErrorKind.NO_TARGET, 1000)
    item = codec.decode(refusal)
    assert item.refuses_open
    assert item.acknowledgement == 42
    assert refusal.endswith(b"kind=no_target retry_after_ms=1000")


@given(strategies.binary(max_size=200))
def test_any_bytes_give_a_packet_or_a_packet_error(data: bytes) -> None:
    # Any host can send any bytes to the data port. If a VM crashed on them, its
    # flows would be lost.
    with contextlib.suppress(errors.PacketError):
        packet.FouCodec().decode(data)
