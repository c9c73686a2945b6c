"""Packets between the fabric, entry VMs and targets, and their encapsulation.

A datagram carries one whole IPv4 packet as its payload, as Linux foo-over-UDP
with ``ipproto 4`` sends and receives it. Parsing and building use dpkt.
"""

import abc
import enum
import socket
import typing

import dpkt

from eelgrasswick import errors

MAX_PACKET_BYTES: typing.Final = 9000
# An ICMP error quotes the IPv4 header and the first 8 bytes after it (RFC 792).
_QUOTE_BYTES: typing.Final = 28
_DEFAULT_TTL: typing.Final = 64


class Protocol(enum.IntEnum):
    """Transport protocols that the load balancer supports, by IP protocol number."""

    TCP = dpkt.ip.IP_PROTO_TCP
    UDP = dpkt.ip.IP_PROTO_UDP


class Flags(enum.IntFlag):
    """TCP flags that the load balancer evaluates."""

    NONE = 0
    FIN = dpkt.tcp.TH_FIN
    SYN = dpkt.tcp.TH_SYN
    RST = dpkt.tcp.TH_RST
    ACK = dpkt.tcp.TH_ACK


_SYN: typing.Final = int(Flags.SYN)
_ACK: typing.Final = int(Flags.ACK)
_RST: typing.Final = int(Flags.RST)
_FIN: typing.Final = int(Flags.FIN)
_CONTROL: typing.Final = _SYN | _RST | _FIN


class Address(typing.NamedTuple):
    """An IPv4 address in its four-byte form and a port."""

    ip: bytes
    port: int

    def __str__(self) -> str:
        """Return ``a.b.c.d:port``."""
        return f"{socket.inet_ntoa(self.ip)}:{self.port}"


class FlowKey(typing.NamedTuple):
    """Identity of a flow: protocol, caller address and service address.

    Packets of both directions have the same key.
    """

    protocol: int
    caller_ip: bytes
    caller_port: int
    service_ip: bytes
    service_port: int

    @property
    def packed(self) -> bytes:
        """The key in 13 bytes, the input of every hash over flows."""
        return (
            bytes((self.protocol,))
            + self.caller_ip
            + self.caller_port.to_bytes(2, "big")
            + self.service_ip
            + self.service_port.to_bytes(2, "big")
        )

    def __str__(self) -> str:
        """Return the form in which logs name the flow, without spaces."""
        name = "tcp" if self.protocol == Protocol.TCP else "udp"
        caller = Address(self.caller_ip, self.caller_port)
        service = Address(self.service_ip, self.service_port)
        return f"{name}/{caller}>{service}"


class Packet(typing.NamedTuple):
    """One parsed packet and its bytes as received.

    Attributes:
        protocol: IP protocol number.
        source: Inner source address and port.
        destination: Inner destination address and port.
        flags: TCP flags; 0 for UDP.
        sequence: TCP sequence number; 0 for UDP.
        acknowledgement: TCP acknowledgement number; 0 for UDP.
        payload_bytes: Length of the transport payload.
        raw: The whole IPv4 packet.
    """

    protocol: int
    source: Address
    destination: Address
    flags: int
    sequence: int
    acknowledgement: int
    payload_bytes: int
    raw: bytes

    @property
    def opens(self) -> bool:
        """True for a TCP SYN without ACK."""
        return self.flags & (_SYN | _ACK) == _SYN

    @property
    def resets(self) -> bool:
        """True when the RST flag is set."""
        return bool(self.flags & _RST)

    @property
    def finishes(self) -> bool:
        """True when the FIN flag is set."""
        return bool(self.flags & _FIN)

    @property
    def controls(self) -> bool:
        """True when the packet opens, accepts, ends or resets a flow."""
        return bool(self.flags & _CONTROL)

    @property
    def refuses_open(self) -> bool:
        """True for a RST with which a target refuses a SYN.

        RFC 9293 section 3.10.7.1: such a reset has sequence number zero and
        acknowledges the SYN, so the target has not processed any of the flow.
        """
        return self.resets and self.sequence == 0 and bool(self.flags & _ACK)

    def request_key(self) -> FlowKey:
        """Return the flow of a packet that a caller sends to a service."""
        return FlowKey(self.protocol, *self.source, *self.destination)

    def answer_key(self) -> FlowKey:
        """Return the flow of a packet that a target sends to a caller."""
        return FlowKey(self.protocol, *self.destination, *self.source)


class PacketCodec(abc.ABC):
    """Converts between datagrams of one encapsulation and packets."""

    @abc.abstractmethod
    def decode(self, datagram: bytes) -> Packet:
        """Return the packet inside a datagram.

        Args:
            datagram: UDP payload as received.

        Returns:
            The parsed packet.

        Raises:
            errors.PacketError: The bytes are not a valid packet of a supported kind.
        """

    @abc.abstractmethod
    def encode(self, packet: bytes) -> bytes:
        """Return the datagram that carries an IPv4 packet."""


class FouCodec(PacketCodec):
    """Foo-over-UDP with ``ipproto 4``: the datagram is the IPv4 packet."""

    def decode(self, datagram: bytes) -> Packet:
        """Parse and check one datagram; see the base class."""
        if len(datagram) > MAX_PACKET_BYTES:
            raise errors.PacketUnsupportedError("packet larger than 9000 bytes")
        if not datagram:
            raise errors.PacketMalformedError("empty datagram")
        if datagram[0] >> 4 == 6:
            raise errors.PacketUnsupportedError("IPv6 is not supported")
        try:
            outer = dpkt.ip.IP(datagram)
        except (dpkt.UnpackError, ValueError, IndexError) as error:
            raise errors.PacketMalformedError(str(error)) from error
        _check_header(outer, datagram)
        return _to_packet(outer, datagram)

    def encode(self, packet: bytes) -> bytes:
        """Return the packet itself, which is the datagram."""
        return packet


def _check_header(outer: typing.Any, datagram: bytes) -> None:
    if outer.v != 4:
        raise errors.PacketMalformedError("IP version is not 4")
    if outer.len != len(datagram):
        raise errors.PacketMalformedError("IP length differs from datagram length")
    if outer.mf or outer.offset:
        raise errors.PacketUnsupportedError("IP fragment")


def _to_packet(outer: typing.Any, datagram: bytes) -> Packet:
    inner = outer.data
    if isinstance(inner, dpkt.tcp.TCP):
        return Packet(
            Protocol.TCP,
            Address(outer.src, inner.sport),
            Address(outer.dst, inner.dport),
            inner.flags,
            inner.seq,
            inner.ack,
            len(inner.data),
            datagram,
        )
    if isinstance(inner, dpkt.udp.UDP):
        return Packet(
            Protocol.UDP,
            Address(outer.src, inner.sport),
            Address(outer.dst, inner.dport),
            0,
            0,
            0,
            len(inner.data),
            datagram,
        )
    if outer.p in (Protocol.TCP, Protocol.UDP):
        raise errors.PacketMalformedError("transport header is truncated")
    raise errors.PacketUnsupportedError(f"IP protocol {outer.p}")


def address(text: str) -> Address:
    """Parse ``a.b.c.d:port``.

    Args:
        text: Dotted quad, a colon and a decimal port from 1 to 65535.

    Returns:
        The address.

    Raises:
        ValueError: The text has another form.
    """
    host, separator, port_text = text.rpartition(":")
    if not separator or not port_text.isascii() or not port_text.isdigit():
        raise ValueError(f"{text!r} is not of the form a.b.c.d:port")
    port = int(port_text)
    if not 1 <= port <= 65535:
        raise ValueError(f"port {port} is not between 1 and 65535")
    try:
        packed = socket.inet_pton(socket.AF_INET, host)
    except OSError as error:
        raise ValueError(f"{host!r} is not an IPv4 address") from error
    return Address(packed, port)


def build_tcp(
    source: Address,
    destination: Address,
    flags: int,
    sequence: int = 0,
    acknowledgement: int = 0,
    data: bytes = b"",
) -> bytes:
    """Build an IPv4 packet with one TCP segment and valid checksums."""
    segment = dpkt.tcp.TCP(
        sport=source.port,
        dport=destination.port,
        seq=sequence & 0xFFFFFFFF,
        ack=acknowledgement & 0xFFFFFFFF,
        flags=flags,
        win=65535,
        data=data,
    )
    return _build(source.ip, destination.ip, Protocol.TCP, segment)


def build_udp(source: Address, destination: Address, data: bytes) -> bytes:
    """Build an IPv4 packet with one UDP datagram and valid checksums."""
    datagram = dpkt.udp.UDP(sport=source.port, dport=destination.port, data=data)
    datagram.ulen = len(datagram)
    return _build(source.ip, destination.ip, Protocol.UDP, datagram)


def build_refusal(packet: Packet, kind: errors.ErrorKind, retry_after_ms: int) -> bytes:
    """Build the packet that refuses a flow that no target has processed.

    A TCP caller gets a reset whose data gives the reason, as RFC 1122 section
    4.2.2.12 allows. A UDP caller gets an ICMP "administratively prohibited" that
    quotes the packet.

    Args:
        packet: The caller's first packet.
        kind: Reason for the refusal.
        retry_after_ms: Time after which the caller should retry.

    Returns:
        An IPv4 packet for the caller.
    """
    if packet.protocol == Protocol.TCP:
        text = f"kind={kind.value} retry_after_ms={retry_after_ms}"
        return build_tcp(
            packet.destination,
            packet.source,
            _RST | _ACK,
            0,
            packet.sequence + 1,
            text.encode(),
        )
    unreachable = dpkt.icmp.ICMP(
        type=dpkt.icmp.ICMP_UNREACH,
        code=dpkt.icmp.ICMP_UNREACH_FILTER_PROHIB,
        data=dpkt.icmp.ICMP.Unreach(data=packet.raw[:_QUOTE_BYTES]),
    )
    return _build(
        packet.destination.ip, packet.source.ip, dpkt.ip.IP_PROTO_ICMP, unreachable
    )


def refused_flow(datagram: bytes) -> FlowKey | None:
    """Return the UDP flow that an ICMP refusal quotes.

    Args:
        datagram: An IPv4 packet, as built by ``build_refusal``.

    Returns:
        The flow, or None when the packet is not such a refusal.
    """
    try:
        quoted = dpkt.ip.IP(datagram).data.data.data
        inner = quoted.data
        source = Address(quoted.src, inner.sport)
        destination = Address(quoted.dst, inner.dport)
    except (dpkt.UnpackError, AttributeError, ValueError, IndexError):
        return None
    return FlowKey(Protocol.UDP, *source, *destination)


def _build(source: bytes, destination: bytes, protocol: int, inner: object) -> bytes:
    outer = dpkt.ip.IP(
        src=source, dst=destination, p=protocol, ttl=_DEFAULT_TTL, data=inner
    )
    outer.len = len(outer)
    return bytes(outer)
