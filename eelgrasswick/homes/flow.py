"""Flows of which this VM is the home, and the counts that follow from them."""

import collections
import enum
import typing

from eelgrasswick import (
    packet,
    target,
)
from eelgrasswick.homes import _wheel

LINGER_MS: typing.Final = 25_000
_SEQUENCES: typing.Final = 2**32
_WINDOW: typing.Final = 2**24


class Origin(enum.Enum):
    """How a home came to know a flow's target."""

    PLACED = "placed"
    LEARNED = "learned"
    GUESSED = "guessed"


class State(enum.Enum):
    """Where a flow is in its life."""

    OPENING = "opening"
    OPEN = "open"
    CLOSED = "closed"


class Record:
    """One flow at its home.

    Attributes:
        target: Where its packets go.
        origin: How the target is known.
        state: Where the flow is in its life.
        opened_ms: When this VM first saw the flow.
        last_packet_ms: When a packet of it last came by.
        idle_timeout_ms: Silence after which it is forgotten.
        first_packet: The packet that opened it, until the target has answered.
        syn_ack_sequence: Sequence number of the target's SYN-ACK, until the caller has
            acknowledged it.
        ruled_out: Names of targets that are known not to hold the flow.
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
        """Record a flow that this VM knows from now on."""
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
        """Forget a flow soon that was learned, because a side of it has ended.

        The other side's end can have come to the former home, which does not
        tell. Kept for its whole idle time, the record would count as an open
        flow for a quarter of an hour, and a drained target would not get empty.
        """
        if self.origin is Origin.LEARNED:
            self.idle_timeout_ms = min(self.idle_timeout_ms, LINGER_MS)

    @property
    def is_active(self) -> bool:
        """True while the flow takes room at its target."""
        return self.state is not State.CLOSED

    def acknowledges_other_target(self, item: packet.Packet) -> bool:
        """Tell whether a caller's packet shows that it met another target.

        Args:
            item: A packet of the caller that is no SYN.

        Returns:
            True when the packet does not acknowledge the SYN-ACK that this
            target has sent.
        """
        if self.syn_ack_sequence is None or item.resets:
            return False
        ahead = item.acknowledgement - self.syn_ack_sequence - 1
        return ahead % _SEQUENCES >= _WINDOW

    @property
    def expires_ms(self) -> int:
        """When the record may be dropped unless a packet comes."""
        if self.state is State.CLOSED:
            return self.last_packet_ms + LINGER_MS
        return self.last_packet_ms + self.idle_timeout_ms


class Caller(typing.NamedTuple):
    """A caller address at a service, as per-caller limits count it."""

    service: str
    ip: bytes


class Expired(typing.NamedTuple):
    """A record that was dropped for its age."""

    flow: packet.FlowKey
    record: Record


class FlowTable:
    """The records of one home, with open flows by target and by caller."""

    def __init__(self) -> None:
        """Start without flows."""
        self._records: dict[packet.FlowKey, Record] = {}
        self._wheel: _wheel.Wheel[packet.FlowKey] = _wheel.Wheel()
        self.open_by_target: collections.Counter[str] = collections.Counter()
        self.open_by_service: collections.Counter[str] = collections.Counter()
        self.open_by_caller: collections.Counter[Caller] = collections.Counter()

    def __len__(self) -> int:
        """Return the number of records, lingering ones included."""
        return len(self._records)

    def get(self, flow: packet.FlowKey) -> Record | None:
        """Return the record of a flow."""
        return self._records.get(flow)

    def items(self) -> list[tuple[packet.FlowKey, Record]]:
        """Return flows and records."""
        return list(self._records.items())

    def add(self, flow: packet.FlowKey, record: Record) -> None:
        """Take a record in, in place of any earlier one."""
        self.remove(flow)
        self._records[flow] = record
        self._wheel.add(flow, _check_ms(record.last_packet_ms, record))
        if record.is_active:
            self._count(flow, record.target, 1)

    def remove(self, flow: packet.FlowKey) -> Record | None:
        """Drop a record and return it."""
        record = self._records.pop(flow, None)
        if record is not None and record.is_active:
            self._count(flow, record.target, -1)
        return record

    def clear(self) -> None:
        """Drop all records."""
        for flow in list(self._records):
            self.remove(flow)

    def move(self, flow: packet.FlowKey, record: Record, to: target.Target) -> None:
        """Point a record to another target."""
        if record.is_active:
            self._count(flow, record.target, -1)
            self._count(flow, to, 1)
        record.target = to

    def close(self, now_ms: int, flow: packet.FlowKey, record: Record) -> None:
        """Mark a flow as ended; the record lingers.

        A late packet of the flow must not be taken for a flow that nobody
        knows, and a caller that uses its port again must meet the same target
        while other VMs may still hold a hint of the old flow. Without the
        linger one would see resets just after ports are used again.
        """
        if not record.is_active:
            return
        self._count(flow, record.target, -1)
        record.state = State.CLOSED
        record.last_packet_ms = now_ms

    def expire(self, now_ms: int) -> list[Expired]:
        """Drop the records whose time is over and return them."""
        dropped = []
        for flow in self._wheel.due(now_ms):
            record = self._records.get(flow)
            if record is None:
                continue
            if record.expires_ms <= now_ms:
                self.remove(flow)
                dropped.append(Expired(flow, record))
            else:
                self._wheel.add(flow, _check_ms(now_ms, record))
        return dropped

    def _count(self, flow: packet.FlowKey, chosen: target.Target, step: int) -> None:
        _step(self.open_by_target, chosen.name, step)
        _step(self.open_by_service, chosen.service, step)
        _step(self.open_by_caller, Caller(chosen.service, flow.caller_ip), step)


def _check_ms(now_ms: int, record: Record) -> int:
    # A wheel entry outlives its record. Were it set for the whole idle time,
    # hundreds of thousands of entries of short, ended flows would pile up; so
    # a record is looked at at least once every linger time.
    return min(record.expires_ms, now_ms + LINGER_MS)


Counted = typing.TypeVar("Counted")


def _step(counter: collections.Counter[Counted], key: Counted, step: int) -> None:
    counter[key] += step
    if not counter[key]:
        del counter[key]
