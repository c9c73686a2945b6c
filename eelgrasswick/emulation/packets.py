"""Packets as the stand-ins at both ends of a flow write and check them.

This is written apart from the adapter on purpose: were both wrong in the same
way, a soak run would not notice.
"""

import struct
import typing
import zlib

SYN: typing.Final = 32
ACK: typing.Final = 4
FIN: typing.Final = 1
RST: typing.Final = 2
HEADER_BYTES: typing.Final = 34
MAX_DATA_BYTES: typing.Final = 1200
_HEAD: typing.Final = struct.Struct(">HIIII4sH4sHB3s")
# Any key does; the stand-ins only show that nobody changed a packet.
_KEY: typing.Final = b"soak"


class Packet(typing.NamedTuple):
    """One packet of a flow, as it stands on the wire.

    Attributes:
        source: IP address of the sender's end, 4 bytes.
        source_port: Its port.
        destination: IP address of the other end.
        destination_port: Its port.
        flags: Bits of SYN, ACK, FIN and RST.
        sequence: Position of the data in the sender's stream.
        acknowledged: What the sender has received.
        echo: The cookie.
        data: Up to 1,200 bytes.
        unsummed: True for a reset of the entry VMs, which can't sum packets.
    """

    source: bytes
    source_port: int
    destination: bytes
    destination_port: int
    flags: int
    sequence: int
    acknowledged: int
    echo: int
    data: bytes
    without_checksum: bool = False


def encode(item: Packet) -> bytes:
    """Return a packet's bytes with their sum."""
    return _pack(item, _sum(item))


def decode(raw: bytes) -> Packet | None:
    """Return the packet in some bytes, or None when they are none."""
    if len(raw) < HEADER_BYTES:
        return None
    head = _HEAD.unpack_from(raw)
    size, sequence, acknowledged, echo, total = head[:5]
    destination, source_port, source, destination_port, flags, _ = head[5:]
    item = Packet(
        source,
        source_port,
        destination,
        destination_port,
        flags,
        sequence,
        acknowledged,
        echo,
        raw[HEADER_BYTES:],
    )
    if flags == RST and total == 0 and not item.data:
        return item._replace(without_checksum=True)
    return item if size == len(item.data) and total == _sum(item) else None


def _sum(item: Packet) -> int:
    return zlib.crc32(_KEY + _pack(item._replace(echo=0), 0))


def _pack(item: Packet, total: int) -> bytes:
    head = _HEAD.pack(
        len(item.data),
        item.sequence,
        item.acknowledged,
        item.echo,
        total,
        item.destination,
        item.source_port,
        item.source,
        item.destination_port,
        item.flags,
        b"\0\0\0",
    )
    return head + item.data
