"""A small TCP endpoint without sockets, for emulated callers and targets.

The endpoint sends real segments with sequence numbers, puts received segments in order
and retransmits what is not acknowledged. It has no flow or congestion control: a fixed
number of segments may be in flight.
"""

import collections
import typing

from eelgrasswick import packet

SEGMENT_BYTES: typing.Final = 1200
MAX_IN_FLIGHT_SEGMENTS: typing.Final = 32
SYN_RETRY_MS: typing.Final = 1000
DATA_RETRY_MS: typing.Final = 250
MAX_TRIES: typing.Final = 15
_FIN: typing.Final = packet.Flags.FIN
_SYN: typing.Final = packet.Flags.SYN
_RST: typing.Final = packet.Flags.RST
_ACK: typing.Final = packet.Flags.ACK


class _Segment:
    __slots__ = ("data", "flags", "sent_ms", "sequence", "tries")

    def __init__(self, sequence: int, flags: int, data: bytes, now_ms: int) -> None:
        self.sequence = sequence
        self.flags = flags
        self.data = data
        self.sent_ms = now_ms
        self.tries = 1

    @property
    def end(self) -> int:
        return self.sequence + len(self.data) + bool(self.flags & (_SYN | _FIN))


class Stream:
    """One end of a connection.

    Attributes:
        received: Bytes that were received in order and not yet taken.
        outgoing: Packets to send, which the owner sends and removes.
        established: True when both SYNs are acknowledged.
        remote_closed: True when all data and the FIN of the remote end were received.
        closed: True when both FINs are acknowledged, or the stream was reset or given
            up.
        reset: True when a valid RST was received.
        reset_data: Payload of that RST.
        gave_up: True when a segment was not acknowledged after ``MAX_TRIES``.
    """

    def __init__(
        self,
        local: packet.Address,
        remote: packet.Address,
        initial_sequence: int,
        now_ms: int,
        syn: packet.Packet | None = None,
    ) -> None:
        """Open a connection, or accept one.

        Args:
            local: Address of this end.
            remote: Address of the remote end.
            initial_sequence: Sequence number of the SYN.
            now_ms: Present time in milliseconds.
            syn: The SYN of the remote end to accept; None to open the connection.
        """
        self.local = local
        self.remote = remote
        self.received = bytearray()
        self.outgoing: list[bytes] = []
        self.established = False
        self.remote_closed = False
        self.closed = False
        self.reset = False
        self.reset_data = b""
        self.gave_up = False
        self._next_sequence = initial_sequence
        self._expected_sequence = syn.sequence + 1 if syn is not None else 0
        self._passive = syn is not None
        self._unsent: collections.deque[bytes] = collections.deque()
        self._in_flight: collections.deque[_Segment] = collections.deque()
        self._out_of_order: dict[int, tuple[int, bytes]] = {}
        self._fin_wanted = False
        self._fin_sent = False
        self._send_segment(
            int(_SYN | _ACK) if syn is not None else int(_SYN), b"", now_ms
        )

    @property
    def drained(self) -> bool:
        """True when all that was sent is acknowledged."""
        return not (self._unsent or self._in_flight)

    def send(self, now_ms: int, data: bytes) -> None:
        """Queue bytes for the remote end."""
        for start in range(0, len(data), SEGMENT_BYTES):
            self._unsent.append(data[start : start + SEGMENT_BYTES])
        self._send_queued(now_ms)

    def close(self, now_ms: int) -> None:
        """Send a FIN after all queued bytes."""
        self._fin_wanted = True
        self._send_queued(now_ms)

    def take(self) -> bytes:
        """Remove and return the bytes that were received in order."""
        data = bytes(self.received)
        self.received.clear()
        return data

    def receive(self, now_ms: int, item: packet.Packet) -> None:
        """Process a packet from the remote end."""
        if self.closed:
            if item.finishes and not self.reset:
                self._emit_packet(int(_ACK), self._next_sequence, b"")
            return
        if item.resets:
            self._on_reset(item)
            return
        has_syn = bool(item.flags & _SYN)
        if has_syn and not self._on_syn(item):
            return
        if not self.established and not self._passive and not has_syn:
            return
        if self._passive and not self.established and not self._acknowledges_syn(item):
            return
        if item.flags & _ACK:
            self._on_ack(now_ms, item.acknowledgement)
        self._on_data(item)
        self._send_queued(now_ms)
        if self._fin_sent and not self._in_flight and self.remote_closed:
            self.closed = True

    def tick(self, now_ms: int) -> None:
        """Retransmit the oldest segment if it was not acknowledged in time."""
        if self.closed or not self._in_flight:
            return
        oldest = self._in_flight[0]
        base_ms = SYN_RETRY_MS if oldest.flags & _SYN else DATA_RETRY_MS
        if now_ms - oldest.sent_ms < base_ms * 2 ** min(oldest.tries - 1, 4):
            return
        if oldest.tries >= MAX_TRIES:
            self.gave_up = True
            self.closed = True
            return
        oldest.tries += 1
        oldest.sent_ms = now_ms
        self._emit_packet(oldest.flags, oldest.sequence, oldest.data)

    def _on_reset(self, item: packet.Packet) -> None:
        if not self.established and not self._passive:
            valid = (
                bool(item.flags & _ACK) and item.acknowledgement == self._next_sequence
            )
        else:
            valid = item.sequence == self._expected_sequence
        if valid:
            self.reset = True
            self.closed = True
            start = len(item.raw) - item.payload_bytes
            self.reset_data = item.raw[start:]

    def _acknowledges_syn(self, item: packet.Packet) -> bool:
        # RFC 9293 section 3.10.7.4: in SYN-RECEIVED, a segment that does not
        # acknowledge this end's SYN belongs to another connection and is reset.
        if item.flags & _ACK and item.acknowledgement == self._next_sequence:
            return True
        if item.flags & _ACK:
            self.outgoing.append(reset_for(item))
        return False

    def _on_syn(self, item: packet.Packet) -> bool:
        if self._passive:
            if self._in_flight and self._in_flight[0].flags & _SYN:
                first = self._in_flight[0]
                self._emit_packet(first.flags, first.sequence, b"")
            return False
        if self.established:
            self._emit_packet(int(_ACK), self._next_sequence, b"")
            return False
        if item.acknowledgement != self._next_sequence:
            return False
        self._expected_sequence = item.sequence + 1
        return True

    def _on_ack(self, now_ms: int, number: int) -> None:
        if not self.established:
            if number != self._next_sequence and not self._in_flight:
                return
            if self._in_flight and number < self._in_flight[0].end:
                return
            self.established = True
            if not self._passive:
                self._emit_packet(int(_ACK), self._next_sequence, b"")
        while self._in_flight and self._in_flight[0].end <= number:
            self._in_flight.popleft()
            if self._in_flight:
                self._in_flight[0].sent_ms = now_ms

    def _on_data(self, item: packet.Packet) -> None:
        fin = item.flags & _FIN
        if not item.payload_bytes and not fin:
            return
        data = (
            item.raw[len(item.raw) - item.payload_bytes :]
            if item.payload_bytes
            else b""
        )
        if item.sequence >= self._expected_sequence:
            self._out_of_order[item.sequence] = (int(fin), data)
        while self._expected_sequence in self._out_of_order:
            has_fin, data = self._out_of_order.pop(self._expected_sequence)
            self.received += data
            self._expected_sequence += len(data) + bool(has_fin)
            self.remote_closed = self.remote_closed or bool(has_fin)
        self._emit_packet(int(_ACK), self._next_sequence, b"")

    def _send_queued(self, now_ms: int) -> None:
        if not self.established:
            return
        while self._unsent and len(self._in_flight) < MAX_IN_FLIGHT_SEGMENTS:
            self._send_segment(int(_ACK), self._unsent.popleft(), now_ms)
        if self._fin_wanted and not self._fin_sent and not self._unsent:
            self._fin_sent = True
            self._send_segment(int(_FIN | _ACK), b"", now_ms)

    def _send_segment(self, flags: int, data: bytes, now_ms: int) -> None:
        segment = _Segment(self._next_sequence, flags, data, now_ms)
        self._in_flight.append(segment)
        self._next_sequence = segment.end
        self._emit_packet(flags, segment.sequence, data)

    def _emit_packet(self, flags: int, sequence: int, data: bytes) -> None:
        acknowledgement = self._expected_sequence if flags & _ACK else 0
        self.outgoing.append(
            packet.build_tcp(
                self.local, self.remote, flags, sequence, acknowledgement, data
            )
        )


def reset_for(item: packet.Packet) -> bytes:
    """Return the RST that a kernel sends for a segment of no known connection."""
    if item.flags & _ACK:
        return packet.build_tcp(
            item.destination, item.source, int(_RST), item.acknowledgement
        )
    return packet.build_tcp(
        item.destination,
        item.source,
        int(_RST | _ACK),
        0,
        item.sequence + item.payload_bytes + bool(item.flags & _SYN),
    )
