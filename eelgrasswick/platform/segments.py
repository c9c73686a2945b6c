"""Segments in the format of the platform's callers."""

import struct
import typing

from eelgrasswick import errors
from eelgrasswick.cookie import codec, model

_HEADER: typing.Final = struct.Struct(
    ">H"  # len: bytes of data after the header
    "I"  # seq
    "I"  # ack; on a SYN the number of earlier transmissions
    "I"  # echo: the cookie, which both ends return
    "4x"  # sum: keyed checksum over all but the cookie; VMs lack its key
    "4s"  # dst: service address
    "H"  # sport: the caller's port
    "4s"  # src: the caller's address
    "H"  # dport: service port
    "B"  # flags
    "3x"  # pad
)
_COOKIE: typing.Final = struct.Struct(">I")
_COOKIE_OFFSET: typing.Final = 10
_RESET: typing.Final = struct.Struct(">HIIII4sH4sHB3x")
MAX_DATA_BYTES: typing.Final = 1200
_SYN: typing.Final = 32
_ACK: typing.Final = 4
_FIN: typing.Final = 1
_RST: typing.Final = 2
_KNOWN_FLAGS: typing.Final = _SYN | _ACK | _FIN | _RST


class Codec(codec.SegmentCodec):
    """Codec of segments with a header of 34 bytes."""

    def decode(self, datagram: bytes) -> model.Segment:
        """Decode a datagram; see the base class."""
        if len(datagram) < _HEADER.size:
            raise errors.PacketMalformedError(
                f"{len(datagram)} bytes are shorter than a header"
            )
        header = _HEADER.unpack_from(datagram)
        size, sequence, acknowledged, cookie = header[:4]
        service_ip, caller_port, caller_ip, service_port, flags = header[4:]
        if size != len(datagram) - _HEADER.size or size > MAX_DATA_BYTES:
            raise errors.PacketMalformedError(f"{size} bytes of data announced")
        opening = bool(flags & _SYN)
        # Callers send no SYN with an ACK. A target would treat such a segment as
        # forged.
        if flags & ~_KNOWN_FLAGS or (opening and flags != _SYN) or (opening and size):
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
        """Return the datagram with a cookie; see the base class."""
        end = _COOKIE_OFFSET + _COOKIE.size
        return datagram[:_COOKIE_OFFSET] + _COOKIE.pack(cookie) + datagram[end:]

    def for_target(self, datagram: bytes, target: model.Target) -> bytes:
        """Return the target's token and the datagram; see the base class."""
        return target.token + datagram

    def reset(self, flow: model.FlowId, acknowledged: int) -> bytes:
        """Return a reset; see the base class."""
        # On an open flow the caller accepts only a reset whose sequence number is near
        # the one that it last acknowledged.
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
