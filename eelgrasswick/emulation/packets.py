"""Packets as the emulated callers and targets encode and check them.

This module does not share code with the adapter that VMs use: a fault in shared code
would affect both sides alike, and a soak run would not detect it.
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
_HEADER: typing.Final = struct.Struct(">HIIII4sH4sHB3s")
# Any key will do: the checksum only shows that no packet was changed on its path.
_KEY: typing.Final = b"soak"


class Packet(typing.NamedTuple):
    """One packet of a flow, as it is on the wire.

    Attributes:
        source: IP address of the sender, 4 bytes.
        source_port: Port of the sender.
        destination: IP address of the receiver, 4 bytes.
        destination_port: Port of the receiver.
        flags: Combination of ``SYN``, ``ACK``, ``FIN`` and ``RST``.
        sequence: Position of the data in the sender's stream.
        acknowledged: Position in the other stream up to which the sender has it.
        echo: The cookie.
        data: Payload, at most ``MAX_DATA_BYTES``.
        without_checksum: True for a reset by an entry VM, which can't compute the
            checksum.
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
    """Return the bytes of a packet, with its checksum."""
    return _encode_with(item, _checksum(item))


def decode(raw: bytes) -> Packet | None:
    """Return the packet in some bytes; None if they are no valid packet."""
    if len(raw) < HEADER_BYTES:
        return None
    header = _HEADER.unpack_from(raw)
    size, sequence, acknowledged, echo, checksum = header[:5]
    destination, source_port, source, destination_port, flags, _ = header[5:]
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
    if flags == RST and checksum == 0 and not item.data:
        return item._replace(without_checksum=True)
    return item if size == len(item.data) and checksum == _checksum(item) else None


def _checksum(item: Packet) -> int:
    return zlib.crc32(_KEY + _encode_with(item._replace(echo=0), 0))


def _encode_with(item: Packet, checksum: int) -> bytes:
    header = _HEADER.pack(
        len(item.data),
        item.sequence,
        item.acknowledged,
        item.echo,
        checksum,
        item.destination,
        item.source_port,
        item.source,
        item.destination_port,
        item.flags,
        b"\0\0\0",
    )
    return header + item.data
