"""Packets for each path through an entry VM, as input for measurements."""

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
_MAX_CANDIDATE_FLOWS: typing.Final = 20_000


class Sender(enum.Enum):
    """The network or process from which the VM receives a packet."""

    FABRIC = "fabric"
    PEER = "peer"
    TARGET = "target"


class Path(typing.NamedTuple):
    """Packets that take the same path through the VM, one per flow.

    Attributes:
        name: Name of the path.
        sender: Where the VM receives the packets from.
        packets: The IPv4 packets.
        sources: Outer source address of each packet when a target sends it,
            else empty.
        send_once: True when the same packets take another path if they are
            sent again.
    """

    name: str
    sender: Sender
    packets: list[bytes]
    sources: list[packet.Address]
    send_once: bool = False


def build_paths(
    current: epoch.Epoch, owner: service.Service, vm: str, peer: str
) -> list[Path]:
    """Return the paths, to be measured in this order.

    Each path relies on state that earlier paths create. Answers of targets
    create hints, so paths that must not find a hint come before them.

    Args:
        current: Epoch in force at the measured VM.
        owner: Service of all flows.
        vm: Name of the measured VM.
        peer: Name of another VM that is also a home.
    """
    own = _flows(current, owner, vm)
    foreign = _flows(current, owner, peer)
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
    """Return the key of a flow to an address; each number has its own caller.

    Args:
        number: Number of the flow; keys repeat after 65,536 numbers.
        address: Address of the service.
    """
    caller = packet.Address(bytes((10, 9, number >> 8 & 255, number & 255)), 40000)
    return packet.FlowKey(packet.Protocol.TCP, *caller, *address)


def request_packet(key: packet.FlowKey, flags: int, size_bytes: int) -> bytes:
    """Return a TCP packet from a flow's caller, with a payload of zeros.

    Args:
        key: Key of the flow.
        flags: TCP flags.
        size_bytes: Size of the payload.
    """
    caller = packet.Address(key.caller_ip, key.caller_port)
    address = packet.Address(key.service_ip, key.service_port)
    return packet.build_tcp(caller, address, flags, 1, 1, bytes(size_bytes))


def answer_packet(key: packet.FlowKey, size_bytes: int) -> bytes:
    """Return a TCP packet from a flow's target, with a payload of zeros.

    Args:
        key: Key of the flow.
        size_bytes: Size of the payload.
    """
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
    candidates = (
        flow_key(number, owner.address) for number in range(_MAX_CANDIDATE_FLOWS)
    )
    found = (key for key in candidates if current.locate(key, owner).home == home)
    return [key for key, _ in zip(found, range(FLOWS_PER_PATH), strict=False)]
