"""One end of a TCP connection, small and without sockets, for the emulators.

It sends real segments with sequence numbers, puts received ones in order and
repeats what is not acknowledged. Windows and congestion are left out: a fixed
number of segments may be under way.
"""

import collections
import typing

from eelgrasswick import packet

SEGMENT_BYTES: typing.Final = 1200
IN_FLIGHT: typing.Final = 32
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
        received: Bytes received in order and not yet taken.
        outgoing: Packets to send; the owner takes them.
        established: Both SYNs are acknowledged.
        peer_closed: The peer's FIN has come in order.
        closed: Both FINs are acknowledged, or the stream was reset or given up.
        reset: A valid RST came.
        reset_data: Data of that RST.
        gave_up: Nothing was acknowledged for too many tries.
    """

    def __init__(
        self,
        local: packet.Address,
        remote: packet.Address,
        initial: int,
        now_ms: int,
        answering: packet.Packet | None = None,
    ) -> None:
        """Open towards ``remote``, or answer its SYN."""
        self.local = local
        self.remote = remote
        self.received = bytearray()
        self.outgoing: list[bytes] = []
        self.established = False
        self.peer_closed = False
        self.closed = False
        self.reset = False
        self.reset_data = b""
        self.gave_up = False
        self._next = initial
        self._expected = answering.sequence + 1 if answering is not None else 0
        self._answering = answering is not None
        self._unsent: collections.deque[bytes] = collections.deque()
        self._flying: collections.deque[_Segment] = collections.deque()
        self._early: dict[int, tuple[int, bytes]] = {}
        self._fin_wanted = False
        self._fin_sent = False
        self._put(int(_SYN | _ACK) if answering is not None else int(_SYN), b"", now_ms)

    @property
    def drained(self) -> bool:
        """True when all that was sent is acknowledged."""
        return not (self._unsent or self._flying)

    def send(self, now_ms: int, data: bytes) -> None:
        """Queue bytes for the peer."""
        for start in range(0, len(data), SEGMENT_BYTES):
            self._unsent.append(data[start : start + SEGMENT_BYTES])
        self._pump(now_ms)

    def close(self, now_ms: int) -> None:
        """Send a FIN after all that is queued."""
        self._fin_wanted = True
        self._pump(now_ms)

    def take(self) -> bytes:
        """Return the bytes received in order and clear them."""
        data = bytes(self.received)
        self.received.clear()
        return data

    def receive(self, now_ms: int, item: packet.Packet) -> None:
        """Handle a packet from the peer."""
        if self.closed:
            if item.finishes and not self.reset:
                self._emit(int(_ACK), self._next, b"")
            return
        if item.resets:
            self._on_reset(item)
            return
        syn = bool(item.flags & _SYN)
        if syn and not self._on_syn(item):
            return
        if not self.established and not self._answering and not syn:
            return
        if self._answering and not self.established and not self._accepts(item):
            return
        if item.flags & _ACK:
            self._on_ack(now_ms, item.acknowledgement)
        self._on_data(item)
        self._pump(now_ms)
        if self._fin_sent and not self._flying and self.peer_closed:
            self.closed = True

    def tick(self, now_ms: int) -> None:
        """Repeat what has not been acknowledged in time."""
        if self.closed or not self._flying:
            return
        oldest = self._flying[0]
        base_ms = SYN_RETRY_MS if oldest.flags & _SYN else DATA_RETRY_MS
        if now_ms - oldest.sent_ms < base_ms * 2 ** min(oldest.tries - 1, 4):
            return
        if oldest.tries >= MAX_TRIES:
            self.gave_up = True
            self.closed = True
            return
        oldest.tries += 1
        oldest.sent_ms = now_ms
        self._emit(oldest.flags, oldest.sequence, oldest.data)

    def _on_reset(self, item: packet.Packet) -> None:
        if not self.established and not self._answering:
            valid = bool(item.flags & _ACK) and item.acknowledgement == self._next
        else:
            valid = item.sequence == self._expected
        if valid:
            self.reset = True
            self.closed = True
            start = len(item.raw) - item.payload_bytes
            self.reset_data = item.raw[start:]

    def _accepts(self, item: packet.Packet) -> bool:
        # RFC 9293 section 3.10.7.4: in SYN-RECEIVED a segment that does not
        # acknowledge our SYN belongs to another connection, and is reset.
        if item.flags & _ACK and item.acknowledgement == self._next:
            return True
        if item.flags & _ACK:
            self.outgoing.append(reset_for(item))
        return False

    def _on_syn(self, item: packet.Packet) -> bool:
        if self._answering:
            if self._flying and self._flying[0].flags & _SYN:
                first = self._flying[0]
                self._emit(first.flags, first.sequence, b"")
            return False
        if self.established:
            self._emit(int(_ACK), self._next, b"")
            return False
        if item.acknowledgement != self._next:
            return False
        self._expected = item.sequence + 1
        return True

    def _on_ack(self, now_ms: int, number: int) -> None:
        if not self.established:
            if number != self._next and not self._flying:
                return
            if self._flying and number < self._flying[0].end:
                return
            self.established = True
            if not self._answering:
                self._emit(int(_ACK), self._next, b"")
        while self._flying and self._flying[0].end <= number:
            self._flying.popleft()
            if self._flying:
                self._flying[0].sent_ms = now_ms

    def _on_data(self, item: packet.Packet) -> None:
        fin = item.flags & _FIN
        if not item.payload_bytes and not fin:
            return
        data = (
            item.raw[len(item.raw) - item.payload_bytes :]
            if item.payload_bytes
            else b""
        )
        if item.sequence >= self._expected:
            self._early[item.sequence] = (int(fin), data)
        while self._expected in self._early:
            ends, data = self._early.pop(self._expected)
            self.received += data
            self._expected += len(data) + bool(ends)
            self.peer_closed = self.peer_closed or bool(ends)
        self._emit(int(_ACK), self._next, b"")

    def _pump(self, now_ms: int) -> None:
        if not self.established:
            return
        while self._unsent and len(self._flying) < IN_FLIGHT:
            self._put(int(_ACK), self._unsent.popleft(), now_ms)
        if self._fin_wanted and not self._fin_sent and not self._unsent:
            self._fin_sent = True
            self._put(int(_FIN | _ACK), b"", now_ms)

    def _put(self, flags: int, data: bytes, now_ms: int) -> None:
        segment = _Segment(self._next, flags, data, now_ms)
        self._flying.append(segment)
        self._next = segment.end
        self._emit(flags, segment.sequence, data)

    def _emit(self, flags: int, sequence: int, data: bytes) -> None:
        acknowledgement = self._expected if flags & _ACK else 0
        self.outgoing.append(
            packet.build_tcp(
                self.local, self.remote, flags, sequence, acknowledgement, data
            )
        )


def reset_for(item: packet.Packet) -> bytes:
    """Return the RST a kernel sends for a segment of no connection."""
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
