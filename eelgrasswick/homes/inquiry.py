"""Inquiries to former homes about the target of a flow, while its packets wait.

When VMs join or leave, or a new configuration moves flows, a VM becomes the
home of flows that another VM placed shortly before. If it placed them again, it
could start the same flow on a second target. The new home therefore sends an
inquiry to the former ones first, and waits for their responses for at most
``RESPONSE_TIMEOUT_MS``.
"""

import typing

from eelgrasswick import (
    packet,
    wire,
)
from eelgrasswick.fleet import peer
from eelgrasswick.homes import _wheel

RESPONSE_TIMEOUT_MS: typing.Final = 60
MAX_INQUIRIES: typing.Final = 4096
MAX_PACKETS_PER_FLOW: typing.Final = 8
DELEGATION_TTL_MS: typing.Final = 10_000
MAX_DELEGATIONS: typing.Final = 100_000


class InquiryResult(typing.NamedTuple):
    """The result of a settled inquiry.

    Attributes:
        flow: Key of the flow.
        packets: The packets of the flow that waited, in order.
        target: Name of the flow's target, or empty when no VM has it.
        certain: True when a VM has named the target or every VM that was sent
            the inquiry has responded.
    """

    flow: packet.FlowKey
    packets: tuple[packet.Packet, ...]
    target: str
    certain: bool


class _Delegation(typing.NamedTuple):
    name: str
    expires_ms: int


class Delegations:
    """Flows that this VM has delegated to another VM, which inquired about them.

    A VM that responds that it has no record must not place the flow afterwards:
    it may have older rules than the VM that inquired, and a retransmitted first
    packet that reaches it would start the same request on a second target.
    """

    def __init__(self) -> None:
        """Create an empty table of delegations."""
        self._delegated: dict[packet.FlowKey, _Delegation] = {}
        self._wheel: _wheel.Wheel[packet.FlowKey] = _wheel.Wheel()

    def add(self, now_ms: int, key: packet.FlowKey, name: str) -> None:
        """Delegate a flow to the VM ``name`` for ``DELEGATION_TTL_MS``."""
        if len(self._delegated) < MAX_DELEGATIONS:
            self._delegated[key] = _Delegation(name, now_ms + DELEGATION_TTL_MS)
            self._wheel.add(key, now_ms + DELEGATION_TTL_MS)

    def get(self, now_ms: int, key: packet.FlowKey) -> str | None:
        """Return the VM to which a flow is delegated, if any."""
        found = self._delegated.get(key)
        return found.name if found is not None and found.expires_ms > now_ms else None

    def clear(self) -> None:
        """Remove all delegations."""
        self._delegated.clear()

    def expire(self, now_ms: int) -> None:
        """Remove the delegations that have expired."""
        for key in self._wheel.due(now_ms):
            found = self._delegated.get(key)
            if found is not None and found.expires_ms <= now_ms:
                del self._delegated[key]


class _OpenInquiry:
    """An inquiry that is not settled yet.

    Attributes:
        awaited: Names of the VMs whose responses are outstanding.
        due_ms: When the response timeout expires.
        packets: The packets of the flow that wait, in order.
    """

    __slots__ = ("awaited", "due_ms", "packets")

    def __init__(self, due_ms: int, awaited: set[str], first: packet.Packet) -> None:
        self.due_ms = due_ms
        self.awaited = awaited
        self.packets = [first]


class Inquiries:
    """The inquiries of one home that are not settled yet."""

    def __init__(self, peers: peer.Peers) -> None:
        """Create an empty set of inquiries, which are sent through ``peers``."""
        self._peers = peers
        self._open: dict[packet.FlowKey, _OpenInquiry] = {}

    def append_if_open(self, key: packet.FlowKey, item: packet.Packet) -> bool:
        """Append a packet to an open inquiry; return False if there is none.

        Above ``MAX_PACKETS_PER_FLOW`` the packet is dropped; its sender
        retransmits it.
        """
        found = self._open.get(key)
        if found is None:
            return False
        if len(found.packets) < MAX_PACKETS_PER_FLOW:
            found.packets.append(item)
        return True

    def start(
        self, now_ms: int, key: packet.FlowKey, item: packet.Packet, names: list[str]
    ) -> None:
        """Send an inquiry about a flow to VMs and let the flow's packet wait.

        Above ``MAX_INQUIRIES`` the packet is dropped; its sender retransmits it.
        """
        if len(self._open) >= MAX_INQUIRIES:
            return
        self._open[key] = _OpenInquiry(now_ms + RESPONSE_TIMEOUT_MS, set(names), item)
        for name in names:
            self._peers.send(name, wire.FlowTargetRequest(key.packed))

    def record_response(
        self, sender: str, key: packet.FlowKey, name: str
    ) -> InquiryResult | None:
        """Record one VM's response; return the result if it settles the inquiry."""
        found = self._open.get(key)
        if found is None or sender not in found.awaited:
            return None
        found.awaited.discard(sender)
        if not name and found.awaited:
            return None
        del self._open[key]
        return InquiryResult(key, tuple(found.packets), name, True)

    def cancel(self, key: packet.FlowKey) -> None:
        """Drop an inquiry and its packets, which their sender retransmits."""
        self._open.pop(key, None)

    def is_open(self, key: packet.FlowKey) -> bool:
        """Return whether an inquiry about a flow is open."""
        return key in self._open

    def clear(self) -> None:
        """Drop all inquiries and the packets that wait for them."""
        self._open.clear()

    def overdue(self, now_ms: int) -> list[InquiryResult]:
        """Settle the inquiries whose response timeout has expired."""
        late = [key for key, item in self._open.items() if item.due_ms <= now_ms]
        return [
            InquiryResult(key, tuple(self._open.pop(key).packets), "", False)
            for key in late
        ]
