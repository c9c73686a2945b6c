"""Packets, addresses and record lines that the stand-ins share."""

import socket
import struct
import typing
import zlib

SYN: typing.Final = 32
ACK: typing.Final = 4
FIN: typing.Final = 1
RST: typing.Final = 2
HEAD: typing.Final = struct.Struct(">HIIII4sH4sHB3s")
MODULUS: typing.Final = 2**32
KEY: typing.Final = b"review-3"
SERVICE_IP: typing.Final = socket.inet_aton("198.18.0.1")
SERVICE_PORT: typing.Final = 443
# Ports of the program under review, of the servers and of the control messages.
DATA_PORT: typing.Final = 8172
READY_PORT: typing.Final = 8167
PEER_PORT: typing.Final = 7720
METRICS_PORT: typing.Final = 9464
STORE_PORT: typing.Final = 8169
SERVER_PORT: typing.Final = 8080
CONTROL_PORT: typing.Final = 8300


class Packet(typing.NamedTuple):
    """A packet of a flow as it is on the wire."""

    src: bytes
    sport: int
    dst: bytes
    dport: int
    flags: int
    seq: int
    ack: int
    echo: int
    data: bytes
    own_reset: bool = False


def _pack(item: Packet, echo: int, total: int) -> bytes:
    head = HEAD.pack(
        len(item.data),
        item.seq % MODULUS,
        item.ack % MODULUS,
        echo,
        total,
        item.dst,
        item.sport,
        item.src,
        item.dport,
        item.flags,
        b"\0\0\0",
    )
    return head + item.data


def _sum(item: Packet) -> int:
    return zlib.crc32(KEY + _pack(item, 0, 0)) or 1


def encode(item: Packet) -> bytes:
    """Return the bytes of a packet with its sum."""
    return _pack(item, item.echo, _sum(item))


def decode(raw: bytes) -> Packet | None:
    """Return the packet in some bytes; None if its sender did not write it so."""
    if len(raw) < HEAD.size:
        return None
    size, seq, ack, echo, total, dst, sport, src, dport, flags, _ = HEAD.unpack_from(
        raw
    )
    data = raw[HEAD.size :]
    item = Packet(src, sport, dst, dport, flags, seq, ack, echo, data)
    if flags == RST and total == 0 and not data:
        return item._replace(own_reset=True)
    if size != len(data) or total != _sum(item):
        return None
    return item


def after(first: int, second: int) -> int:
    """Return how far the first position is after the second one."""
    return (first - second + MODULUS // 2) % MODULUS - MODULUS // 2
