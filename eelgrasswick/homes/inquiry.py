"""Asking former homes where a flow is, while its packets wait.

When VMs come or go, or a new configuration moves flows, a VM becomes the home
of flows that another VM placed a moment ago. Placing them anew could start the
same flow on a second target. So the new home asks the former ones first, and
waits for them no longer than ``ANSWER_MS``.
"""

import typing

from eelgrasswick import (
    packet,
    wire,
)
from eelgrasswick.fleet import peer
from eelgrasswick.homes import _wheel

ANSWER_MS: typing.Final = 60
MAX_FLOWS: typing.Final = 4096
MAX_PACKETS: typing.Final = 8
DELEGATION_MS: typing.Final = 10_000
MAX_DELEGATIONS: typing.Final = 100_000


class Settled(typing.NamedTuple):
    """The end of an inquiry.

    Attributes:
        flow: The flow asked about.
        packets: Its packets that waited, in order.
        target: Name of its target, or empty when nobody knows it.
        certain: True when every VM that was asked has answered.
    """

    flow: packet.FlowKey
    packets: tuple[packet.Packet, ...]
    target: str
    certain: bool


class _Delegation(typing.NamedTuple):
    name: str
    until_ms: int


class Delegations:
    """Flows that this VM has left to another one, which asked for them.

    A VM that answers "not known" must not place the flow afterwards: it may
    have older rules than the asker, and a repeated first packet that reaches it
    would start the same request on a second target.
    """

    def __init__(self) -> None:
        """Start with no flow left to another VM."""
        self._delegated: dict[packet.FlowKey, _Delegation] = {}
        self._wheel: _wheel.Wheel[packet.FlowKey] = _wheel.Wheel()

    def add(self, now_ms: int, key: packet.FlowKey, name: str) -> None:
        """Leave a flow to the VM ``name`` for a while."""
        if len(self._delegated) < MAX_DELEGATIONS:
            self._delegated[key] = _Delegation(name, now_ms + DELEGATION_MS)
            self._wheel.add(key, now_ms + DELEGATION_MS)

    def get(self, now_ms: int, key: packet.FlowKey) -> str | None:
        """Return the VM to which a flow is left."""
        found = self._delegated.get(key)
        return found.name if found is not None and found.until_ms > now_ms else None

    def clear(self) -> None:
        """Leave no flow to another VM any more."""
        self._delegated.clear()

    def expire(self, now_ms: int) -> None:
        """Drop what is over."""
        for key in self._wheel.due(now_ms):
            found = self._delegated.get(key)
            if found is not None and found.until_ms <= now_ms:
                del self._delegated[key]


class _Open:
    __slots__ = ("asked", "due_ms", "packets")

    def __init__(self, due_ms: int, asked: set[str], first: packet.Packet) -> None:
        self.due_ms = due_ms
        self.asked = asked
        self.packets = [first]


class Inquiries:
    """The inquiries of one home that are still open."""

    def __init__(self, peers: peer.Peers) -> None:
        """Ask through ``peers``."""
        self._peers = peers
        self._open: dict[packet.FlowKey, _Open] = {}

    def hold(self, key: packet.FlowKey, item: packet.Packet) -> bool:
        """Let a packet wait with an open inquiry; False when there is none."""
        found = self._open.get(key)
        if found is None:
            return False
        if len(found.packets) < MAX_PACKETS:
            found.packets.append(item)
        return True

    def start(
        self, now_ms: int, key: packet.FlowKey, item: packet.Packet, names: list[str]
    ) -> None:
        """Ask VMs about a flow and let its packet wait.

        Above ``MAX_FLOWS`` the packet is dropped; its sender repeats it.
        """
        if len(self._open) >= MAX_FLOWS:
            return
        self._open[key] = _Open(now_ms + ANSWER_MS, set(names), item)
        for name in names:
            self._peers.send(name, wire.FlowTargetRequest(key.packed))

    def tell(self, sender: str, key: packet.FlowKey, name: str) -> Settled | None:
        """Take one VM's answer; return the end when it settles the inquiry."""
        found = self._open.get(key)
        if found is None or sender not in found.asked:
            return None
        found.asked.discard(sender)
        if not name and found.asked:
            return None
        del self._open[key]
        return Settled(key, tuple(found.packets), name, True)

    def cancel(self, key: packet.FlowKey) -> None:
        """Drop an inquiry and its packets, which their sender repeats."""
        self._open.pop(key, None)

    def asks(self, key: packet.FlowKey) -> bool:
        """Tell whether an inquiry about a flow is open."""
        return key in self._open

    def clear(self) -> None:
        """Drop all inquiries and the packets that wait with them."""
        self._open.clear()

    def overdue(self, now_ms: int) -> list[Settled]:
        """End the inquiries whose time is over."""
        late = [key for key, item in self._open.items() if item.due_ms <= now_ms]
        return [
            Settled(key, tuple(self._open.pop(key).packets), "", False) for key in late
        ]
