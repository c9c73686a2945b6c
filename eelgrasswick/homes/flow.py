"""Records of the flows of which this VM is the home, and counts of open flows."""

import collections
import enum
import typing

from eelgrasswick import (
    packet,
    target,
)
from eelgrasswick.homes import _wheel

LINGER_MS: typing.Final = 25_000
_SEQUENCE_COUNT: typing.Final = 2**32
_MAX_ACK_AHEAD_BYTES: typing.Final = 2**24


class Origin(enum.Enum):
    """How a home determined a flow's target.

    Attributes:
        PLACED: This home chose the target.
        LEARNED: The target is certain from a packet or another VM's record.
        GUESSED: The home sends packets to one possible target after another.
    """

    PLACED = "placed"
    LEARNED = "learned"
    GUESSED = "guessed"


class State(enum.Enum):
    """State of a flow's connection.

    Attributes:
        OPENING: The target has not answered yet.
        OPEN: The flow may carry data in both directions.
        CLOSED: The flow has ended; its record expires after ``LINGER_MS``.
    """

    OPENING = "opening"
    OPEN = "open"
    CLOSED = "closed"


class Record:
    """The record of one flow at its home.

    Attributes:
        target: Target to which the flow's packets are sent.
        origin: How the home determined the target.
        state: State of the flow's connection.
        opened_ms: When this VM created the record.
        last_packet_ms: When this VM last handled a packet of the flow.
        idle_timeout_ms: Time without packets after which the record expires.
        first_packet: The packet that opened the flow, or for a guessed flow the
            caller's last packet; None once the target has answered.
        syn_ack_sequence: Sequence number of the target's SYN-ACK; None once the
            caller has acknowledged it.
        ruled_out: Names of targets that don't hold the flow.
        caller_finished: The caller has sent its FIN.
        target_finished: The target has sent its FIN.
    """

    __slots__ = (
        "caller_finished",
        "first_packet",
        "syn_ack_sequence",
        "idle_timeout_ms",
        "opened_ms",
        "origin",
        "ruled_out",
        "last_packet_ms",
        "state",
        "target",
        "target_finished",
    )

    def __init__(
        self,
        chosen: target.Target,
        origin: Origin,
        state: State,
        now_ms: int,
        idle_timeout_ms: int,
    ) -> None:
        """Create the record of a flow at the time of its first packet here."""
        self.target = chosen
        self.origin = origin
        self.state = state
        self.opened_ms = now_ms
        self.last_packet_ms = now_ms
        self.idle_timeout_ms = idle_timeout_ms
        self.first_packet: packet.Packet | None = None
        self.syn_ack_sequence: int | None = None
        self.ruled_out: frozenset[str] = frozenset()
        self.caller_finished = False
        self.target_finished = False

    def shorten_idle_timeout(self) -> None:
        """Shorten the idle timeout of a learned flow, because one side has ended.

        The FIN of the other side may have reached the former home, which does
        not report it to this one. With the whole idle timeout, the record would
        count as an open flow for a quarter of an hour, and a drained target
        would not become empty.
        """
        if self.origin is Origin.LEARNED:
            self.idle_timeout_ms = min(self.idle_timeout_ms, LINGER_MS)

    @property
    def is_active(self) -> bool:
        """True while the flow counts as open at its target."""
        return self.state is not State.CLOSED

    def acknowledges_other_target(self, item: packet.Packet) -> bool:
        """Return whether a caller's packet acknowledges another target's SYN-ACK.

        Args:
            item: A packet of the caller that is not a SYN.

        Returns:
            True when the packet does not acknowledge the SYN-ACK that the
            recorded target has sent.
        """
        if self.syn_ack_sequence is None or item.resets:
            return False
        ahead_bytes = item.acknowledgement - self.syn_ack_sequence - 1
        return ahead_bytes % _SEQUENCE_COUNT >= _MAX_ACK_AHEAD_BYTES

    @property
    def expires_ms(self) -> int:
        """Time at which the record expires unless another packet arrives."""
        if self.state is State.CLOSED:
            return self.last_packet_ms + LINGER_MS
        return self.last_packet_ms + self.idle_timeout_ms


class Caller(typing.NamedTuple):
    """A caller's address at a service, the key of per-caller limits."""

    service: str
    ip: bytes


class Expired(typing.NamedTuple):
    """A flow whose record has expired."""

    flow: packet.FlowKey
    record: Record


class FlowTable:
    """The flow records of one home, with counts of open flows.

    Attributes:
        open_by_target: Open flows by name of the target.
        open_by_service: Open flows by name of the service.
        open_by_caller: Open flows by service and caller address.
    """

    def __init__(self) -> None:
        """Create an empty table."""
        self._records: dict[packet.FlowKey, Record] = {}
        self._wheel: _wheel.Wheel[packet.FlowKey] = _wheel.Wheel()
        self.open_by_target: collections.Counter[str] = collections.Counter()
        self.open_by_service: collections.Counter[str] = collections.Counter()
        self.open_by_caller: collections.Counter[Caller] = collections.Counter()

    def __len__(self) -> int:
        """Return the number of records, including those of closed flows."""
        return len(self._records)

    def get(self, flow: packet.FlowKey) -> Record | None:
        """Return the record of a flow."""
        return self._records.get(flow)

    def items(self) -> list[tuple[packet.FlowKey, Record]]:
        """Return all flow keys with their records."""
        return list(self._records.items())

    def add(self, flow: packet.FlowKey, record: Record) -> None:
        """Add the record of a flow, in place of any earlier one."""
        self.remove(flow)
        self._records[flow] = record
        self._wheel.add(flow, _next_check_ms(record.last_packet_ms, record))
        if record.is_active:
            self._count(flow, record.target, 1)

    def remove(self, flow: packet.FlowKey) -> Record | None:
        """Remove and return the record of a flow, if any."""
        record = self._records.pop(flow, None)
        if record is not None and record.is_active:
            self._count(flow, record.target, -1)
        return record

    def clear(self) -> None:
        """Remove all records."""
        for flow in list(self._records):
            self.remove(flow)

    def move(self, flow: packet.FlowKey, record: Record, to: target.Target) -> None:
        """Change the target of a record."""
        if record.is_active:
            self._count(flow, record.target, -1)
            self._count(flow, to, 1)
        record.target = to

    def close(self, now_ms: int, flow: packet.FlowKey, record: Record) -> None:
        """Mark a flow as closed and keep its record for ``LINGER_MS``.

        A late packet of the flow must not be treated as part of an unknown
        flow, and a caller that reuses its port must get the same target while
        other VMs may still hold a hint of the closed flow. If the record were
        removed at once, callers would receive resets shortly after they reuse a
        port.
        """
        if not record.is_active:
            return
        self._count(flow, record.target, -1)
        record.state = State.CLOSED
        record.last_packet_ms = now_ms

    def expire(self, now_ms: int) -> list[Expired]:
        """Remove and return the records that have expired."""
        dropped = []
        for flow in self._wheel.due(now_ms):
            record = self._records.get(flow)
            if record is None:
                continue
            if record.expires_ms <= now_ms:
                self.remove(flow)
                dropped.append(Expired(flow, record))
            else:
                self._wheel.add(flow, _next_check_ms(now_ms, record))
        return dropped

    def _count(self, flow: packet.FlowKey, chosen: target.Target, step: int) -> None:
        _add_to(self.open_by_target, chosen.name, step)
        _add_to(self.open_by_service, chosen.service, step)
        _add_to(self.open_by_caller, Caller(chosen.service, flow.caller_ip), step)


def _next_check_ms(now_ms: int, record: Record) -> int:
    # A wheel entry outlives its record. If entries were set for the whole idle
    # timeout, hundreds of thousands of entries of short, ended flows would
    # accumulate. Each record is therefore checked at least once per LINGER_MS.
    return min(record.expires_ms, now_ms + LINGER_MS)


Counted = typing.TypeVar("Counted")


def _add_to(counter: collections.Counter[Counted], key: Counted, step: int) -> None:
    counter[key] += step
    if not counter[key]:
        del counter[key]
