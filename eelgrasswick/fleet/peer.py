"""Sending of messages to other VMs, with counters of the control traffic."""

import socket
import typing

from eelgrasswick import (
    message,
    packet,
    wire,
)
from eelgrasswick.fleet import member

_DATA_MESSAGES: typing.Final = (wire.Forward, wire.Relay)


class Peers:
    """Address table of the fleet that turns peer messages into send actions."""

    def __init__(self, outbox: message.Outbox) -> None:
        """Create an empty table that sends through ``outbox``."""
        self._outbox = outbox
        self._members: dict[str, member.Member] = {}
        self._names: dict[packet.Address, str] = {}

    def set_members(self, members: typing.Iterable[member.Member]) -> None:
        """Replace the table by the present members, dead ones included."""
        self._members = {item.name: item for item in members}
        ordered = sorted(self._members.values(), key=lambda item: item.incarnation)
        self._names = {address_of(item): item.name for item in ordered}

    def name_at(self, source: packet.Address) -> str | None:
        """Return the name of the VM at a peer address, or None."""
        return self._names.get(source)

    def has_ip(self, name: str, ip: str) -> bool:
        """Return whether the VM of this name is known under an IPv4 address."""
        known = self._members.get(name)
        return known is not None and known.ip == ip

    def reachable(self, name: str) -> bool:
        """Return whether a VM is known and neither dead nor left."""
        known = self._members.get(name)
        return known is not None and not known.gone

    def zone_known(self, zone: str) -> bool:
        """Return whether the table has a VM of a zone, dead or alive."""
        return any(item.zone == zone for item in self._members.values())

    def send(self, name: str, item: wire.PeerMessage) -> bool:
        """Send a datagram to a VM; return False when the VM is not known."""
        known = self._members.get(name)
        if known is None:
            return False
        self.send_to(address_of(known), item)
        return True

    def send_to(self, destination: packet.Address, item: wire.PeerMessage) -> None:
        """Send a datagram to a peer address."""
        payload = wire.encode(item)
        if not isinstance(item, _DATA_MESSAGES):
            self._count(payload)
        self._outbox.put(message.SendPeer(destination, payload))

    def send_link(self, name: str, item: wire.PeerMessage) -> None:
        """Send a message over the link to a VM, if the VM is known."""
        known = self._members.get(name)
        if known is None:
            return
        payload = wire.encode(item)
        self._count(payload)
        address = packet.Address(socket.inet_aton(known.ip), known.link_port)
        self._outbox.put(message.SendLink(name, address, payload))

    def _count(self, payload: bytes) -> None:
        self._outbox.count(message.Counter.CONTROL_SENT)
        self._outbox.count(message.Counter.CONTROL_SENT_BYTES, len(payload))


def address_of(item: member.Member) -> packet.Address:
    """Return the address at which a VM receives peer datagrams."""
    return packet.Address(socket.inet_aton(item.ip), item.peer_port)
