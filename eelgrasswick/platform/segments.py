"""Segments as the platform's callers write them."""

import struct
import typing

from eelgrasswick import errors
from eelgrasswick.cookie import codec, model

_HEAD: typing.Final = struct.Struct(
    ">H"  # len: bytes of data after the head
    "I"  # seq
    "I"  # ack; on a SYN the number of copies sent before
    "I"  # echo: the cookie, handed back by both ends
    "4x"  # sum: a keyed sum over all but the cookie; its key is not ours
    "4s"  # dst: service address
    "H"  # sport: the caller's port
    "4s"  # src: the caller's address
    "H"  # dport: service port
    "B"  # flags
    "3x"  # pad
)
_COOKIE: typing.Final = struct.Struct(">I")
_COOKIE_AT: typing.Final = 10
_RESET: typing.Final = struct.Struct(">HIIII4sH4sHB3x")
MAX_DATA_BYTES: typing.Final = 1200
_SYN: typing.Final = 32
_ACK: typing.Final = 4
_FIN: typing.Final = 1
_RST: typing.Final = 2
_KNOWN: typing.Final = _SYN | _ACK | _FIN | _RST


class Codec(codec.SegmentCodec):
    """Segments behind a head of 34 bytes."""

    def decode(self, datagram: bytes) -> model.Segment:
        """Read a datagram; see the base class."""
        if len(datagram) < _HEAD.size:
            raise errors.PacketMalformedError(f"{len(datagram)} bytes are no head")
        head = _HEAD.unpack_from(datagram)
        size, sequence, acknowledged, cookie = head[:4]
        service_ip, caller_port, caller_ip, service_port, flags = head[4:]
        if size != len(datagram) - _HEAD.size or size > MAX_DATA_BYTES:
            raise errors.PacketMalformedError(f"{size} bytes of data announced")
        opening = bool(flags & _SYN)
        # Callers send no SYN with an ACK; to a target it would look forged.
        if flags & ~_KNOWN or (opening and flags != _SYN) or (opening and size):
            raise errors.PacketMalformedError(f"flags {flags}")
        return model.Segment(
            model.FlowId(caller_ip, caller_port, service_ip, service_port),
            opening,
            bool(flags & _FIN),
            bool(flags & _RST),
            sequence,
            acknowledged,
            cookie,
            size,
        )

    def with_cookie(self, datagram: bytes, cookie: int) -> bytes:
        """Write a cookie; see the base class."""
        end = _COOKIE_AT + _COOKIE.size
        return datagram[:_COOKIE_AT] + _COOKIE.pack(cookie) + datagram[end:]

    def for_target(self, datagram: bytes, target: model.Target) -> bytes:
        """Put the target's token in front; see the base class."""
        return target.token + datagram

    def reset(self, flow: model.FlowId, acknowledged: int) -> bytes:
        """Return a reset; see the base class."""
        # On an open flow the caller takes only a reset whose position is near
        # what it last acknowledged.
        return _RESET.pack(
            0,
            acknowledged,
            0,
            0,
            0,
            flow.caller_ip,
            flow.service_port,
            flow.service_ip,
            flow.caller_port,
            _RST,
        )
