"""Heartbeats that wait for an Ack, including those sent for other VMs."""

import typing

from eelgrasswick import packet

ACK_TIMEOUT_MS: typing.Final = 100
INDIRECT_ACK_TIMEOUT_MS: typing.Final = 200
MAX_RELAYED: typing.Final = 256


class Overdue(typing.NamedTuple):
    """A heartbeat whose Ack did not arrive in time.

    Attributes:
        number: Number of the heartbeat.
        name: The VM that was pinged.
        final: True when the indirect pings through other VMs got no Ack either.
    """

    number: int
    name: str
    final: bool


class Relayed(typing.NamedTuple):
    """A heartbeat sent on behalf of a VM that got no Ack itself.

    Attributes:
        number: Number that the requester gave its heartbeat.
        requester: Peer address of the requester.
        name: The VM that is pinged.
    """

    number: int
    requester: packet.Address
    name: str


class _PendingAck:
    __slots__ = ("due_ms", "final", "name")

    def __init__(self, name: str, due_ms: int) -> None:
        self.name = name
        self.due_ms = due_ms
        self.final = False


class Probes:
    """Numbers heartbeats and matches Acks to them."""

    def __init__(self) -> None:
        """Create a registry without outstanding heartbeats."""
        self.last_number = 0
        self._pending: dict[int, _PendingAck] = {}
        self._relayed: dict[int, Relayed] = {}

    def take_number(self) -> int:
        """Return the number for a new heartbeat."""
        self.last_number += 1
        return self.last_number

    def expect_ack(self, now_ms: int, number: int, name: str) -> None:
        """Start the Ack timeout of a heartbeat to a VM."""
        self._pending[number] = _PendingAck(name, now_ms + ACK_TIMEOUT_MS)

    def relay(self, item: Relayed) -> int:
        """Return the number for a heartbeat sent on behalf of another VM."""
        number = self.take_number()
        self._relayed[number] = item
        if len(self._relayed) > MAX_RELAYED:
            self._relayed.pop(next(iter(self._relayed)))
        return number

    def record_ack(self, number: int, name: str) -> Relayed | None:
        """Match an Ack to its heartbeat.

        Args:
            number: Number that the Ack carries.
            name: The VM that sent the Ack. Another VM may have got the address
                of a dead one. If its Acks counted for the VM that was pinged,
                the dead VM would stay the home of flows for ever.

        Returns:
            The relayed heartbeat whose requester must receive the Ack, if any.
        """
        pending = self._pending.get(number)
        if pending is not None and pending.name == name:
            del self._pending[number]
        relayed = self._relayed.get(number)
        if relayed is None or relayed.name != name:
            return None
        return self._relayed.pop(number)

    def overdue(self, now_ms: int) -> list[Overdue]:
        """Return the heartbeats whose Ack timeout has passed.

        A heartbeat is returned once when the direct Ack is overdue, and once more
        when the indirect one is.
        """
        found = []
        for number, item in list(self._pending.items()):
            if item.due_ms > now_ms:
                continue
            found.append(Overdue(number, item.name, item.final))
            if item.final:
                del self._pending[number]
            item.final = True
            item.due_ms = now_ms + INDIRECT_ACK_TIMEOUT_MS
        return found

    def clear(self) -> None:
        """Discard all Ack timeouts."""
        self._pending.clear()
