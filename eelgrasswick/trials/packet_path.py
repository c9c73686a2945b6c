"""The ways a packet can take through an entry VM, as input for measurements."""

import enum
import typing

from eelgrasswick import (
    packet,
    service,
)
from eelgrasswick.homes import epoch

FLOWS_PER_PATH: typing.Final = 600
REQUEST_BYTES: typing.Final = 200
ANSWER_BYTES: typing.Final = 1200
_SEARCH: typing.Final = 20_000


class Sender(enum.Enum):
    """Who hands the packet to the VM."""

    FABRIC = "fabric"
    PEER = "peer"
    TARGET = "target"


class Path(typing.NamedTuple):
    """Packets that all go the same way, one per flow.

    Attributes:
        name: Name of the path.
        sender: Who hands them to the VM.
        packets: The IPv4 packets.
        sources: Outer source of each when a target sends it, else empty.
        once: True when sending them again would be another path.
    """

    name: str
    sender: Sender
    packets: list[bytes]
    sources: list[packet.Address]
    send_once: bool = False


def build_paths(
    current: epoch.Epoch, owner: service.Service, me: str, other: str
) -> list[Path]:
    """Return the paths, in an order in which each finds what it needs.

    Hints exist after the answers, so packets that must not find one come first.

    Args:
        current: Epoch in force at the measured VM.
        owner: Service of all flows.
        me: Name of the measured VM.
        other: Name of another VM that is a home too.
    """
    own = _flows(current, owner, me)
    foreign = _flows(current, owner, other)
    opening = [request_packet(key, packet.Flags.SYN, 0) for key in own]
    data = [request_packet(key, packet.Flags.ACK, REQUEST_BYTES) for key in own]
    elsewhere = [
        request_packet(key, packet.Flags.ACK, REQUEST_BYTES) for key in foreign
    ]
    answers = [answer_packet(key, ANSWER_BYTES) for key in foreign]
    sources = [_endpoint(current, owner, key) for key in foreign]
    return [
        Path("open_at_home", Sender.FABRIC, opening, [], True),
        Path("request_at_home", Sender.FABRIC, data, []),
        Path("request_from_vm_at_home", Sender.PEER, data, []),
        Path("request_to_other_home", Sender.FABRIC, elsewhere, []),
        Path("answer", Sender.TARGET, answers, sources),
        Path("request_by_hint", Sender.FABRIC, elsewhere, []),
    ]


def flow_key(number: int, address: packet.Address) -> packet.FlowKey:
    """Return the flow with a number to a service's address."""
    caller = packet.Address(bytes((10, 9, number >> 8 & 255, number & 255)), 40000)
    return packet.FlowKey(packet.Protocol.TCP, *caller, *address)


def request_packet(key: packet.FlowKey, flags: int, size_bytes: int) -> bytes:
    """Return a caller's packet of a flow."""
    caller = packet.Address(key.caller_ip, key.caller_port)
    address = packet.Address(key.service_ip, key.service_port)
    return packet.build_tcp(caller, address, flags, 1, 1, bytes(size_bytes))


def answer_packet(key: packet.FlowKey, size_bytes: int) -> bytes:
    """Return a target's packet of a flow."""
    caller = packet.Address(key.caller_ip, key.caller_port)
    address = packet.Address(key.service_ip, key.service_port)
    return packet.build_tcp(address, caller, packet.Flags.ACK, 1, 1, bytes(size_bytes))


def _endpoint(
    current: epoch.Epoch, owner: service.Service, key: packet.FlowKey
) -> packet.Address:
    default = current.locate(key, owner).default
    assert default is not None
    return default.endpoint


def _flows(
    current: epoch.Epoch, owner: service.Service, home: str
) -> list[packet.FlowKey]:
    candidates = (flow_key(number, owner.address) for number in range(_SEARCH))
    found = (key for key in candidates if current.locate(key, owner).home == home)
    return [key for key, _ in zip(found, range(FLOWS_PER_PATH), strict=False)]
