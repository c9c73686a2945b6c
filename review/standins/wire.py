"""Packets of the platform, as its page of the protocol gives them."""

import socket
import struct
import typing
import zlib

SYN: typing.Final = 32
ACK: typing.Final = 4
RST: typing.Final = 2
FIN: typing.Final = 1
MAX_DATA_BYTES: typing.Final = 1200
_HEADER: typing.Final = struct.Struct(">HIIII4sH4sHB3s")
# The ends of a flow share this key; the system under review does not have it.
_KEY: typing.Final = b"stand-in"


class Packet(typing.NamedTuple):
    """One packet; ``src`` and ``dst`` are dotted addresses."""

    src: str
    sport: int
    dst: str
    dport: int
    flags: int
    seq: int
    ack: int
    echo: int = 0
    data: bytes = b""

    def encode(self) -> bytes:
        """Return the packet's bytes with a correct sum."""
        return self._pack(self._sum())

    def _pack(self, checksum: int) -> bytes:
        head = _HEADER.pack(
            len(self.data),
            self.seq % 2**32,
            self.ack % 2**32,
            self.echo,
            checksum,
            socket.inet_aton(self.dst),
            self.sport,
            socket.inet_aton(self.src),
            self.dport,
            self.flags,
            b"\0\0\0",
        )
        return head + self.data

    def _sum(self) -> int:
        return zlib.crc32(_KEY + self._replace(echo=0)._pack(0))


class Received(typing.NamedTuple):
    """A packet with the result of the check of its sum."""

    packet: Packet
    genuine: bool


def decode(raw: bytes) -> Received:
    """Decode a packet.

    Raises:
        ValueError: The bytes are not a packet.
    """
    if len(raw) < _HEADER.size:
        raise ValueError("short packet")
    size, seq, ack, echo, checksum, dst, sport, src, dport, flags, _ = (
        _HEADER.unpack_from(raw)
    )
    data = raw[_HEADER.size :]
    if size != len(data):
        raise ValueError("wrong length")
    packet = Packet(
        socket.inet_ntoa(src),
        sport,
        socket.inet_ntoa(dst),
        dport,
        flags,
        seq,
        ack,
        echo,
        data,
    )
    return Received(packet, checksum == packet._sum())
