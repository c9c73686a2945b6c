"""Records of the flows that a VM forwards.

Forwarding does not depend on these records: a VM without a record of a flow
forwards the flow by its cookie. The records serve to balance new flows, to measure
response times, and to keep a flow on its target when a second target answered the
opening packet, too.
"""

import collections
import typing

from eelgrasswick.cookie import model, rehash

# The number of records is limited, because each takes some hundred bytes.
MAX_FLOWS: typing.Final = 20_000
# The record of a flow without a packet for this long is deleted, because another VM may
# forward the flow now. Callers pause for about a second between the requests of a long
# flow.
IDLE_TIMEOUT_MS: typing.Final = 4000
# Longer times are ignored, because they are pauses of the caller and no response times.
MAX_SAMPLE_MS: typing.Final = 2000
# A request that waits longer than this is overdue, unless the previous response of
# its flow was acknowledged later than this. A caller that acknowledges a response only
# with its next request gives no measure of the response time.
OVERDUE_MS: typing.Final = 300
# A request is counted as waiting for at most this long. Afterwards its caller has
# given up, or another VM forwards the flow; if such requests were still counted, their
# target would look full.
MAX_WAIT_MS: typing.Final = 2000
# A request is reported as in flight to the schedulers of its target for at most this
# time. A target that does not answer for so long gets no new flows for other reasons.
MAX_IN_FLIGHT_MS: typing.Final = 1000
# Stream positions are counted modulo this number.
_SEQUENCES: typing.Final = 2**32


class Measurement(typing.NamedTuple):
    """Results of recording one segment of a flow.

    Attributes:
        opened: True when the segment is the first that shows the flow to be open.
        answer_ms: Time from a request to the acknowledgement of the first part
            of its response; None when the segment ends no such wait.
        answer_bytes: Length of that part.
        request_retransmitted: True when the caller had retransmitted the request.
        retransmitted: True when this segment is a retransmission.
        request_number: Number of the request that begins with this segment, among
            those of a flow that this VM placed; 0 when none begins.
    """

    opened: bool
    answer_ms: int | None
    answer_bytes: int
    request_retransmitted: bool
    retransmitted: bool
    request_number: int = 0


class Overdue(typing.NamedTuple):
    """A request that has waited for a response for more than `OVERDUE_MS`.

    Attributes:
        cookie: Cookie of the flow's target.
        first_request: True when the flow has had no response yet, so that this VM
            cannot determine whether its caller acknowledges responses at once.
        flows_moved: True when flows moved here from other VMs in the meantime. The
            fabric has changed its hash then, and the acknowledgement of the response
            may have passed another VM.
    """

    cookie: int
    first_request: bool
    flows_moved: bool = False


class Opening(typing.NamedTuple):
    """An opening packet.

    Attributes:
        sequence: Position of the opening in the caller's stream.
        raw: The packet as received.
    """

    sequence: int
    raw: bytes


class Record:
    """State of one flow.

    Attributes:
        cookie: Cookie of the target; until the flow is open, of the target that got
            its last opening packet.
        open: True once the caller has used the cookie.
        placed_here: True when this VM chose the target.
        retransmissions: Number of the opening packet that was last placed, 0 for the
            original.
        placed_ms: Time when that packet was placed.
        request_ms: Time when the request began that waits for a response; 0 for none.
        request_acknowledged: Position that the caller had acknowledged then.
        data_end: Position after the data that the caller last sent.
        acknowledged: Position in the target's stream that the caller last acknowledged.
        answered_promptly: True when the last response was acknowledged within
            `OVERDUE_MS`; None before the first response.
        request_retransmitted: True when the caller's last segment was a retransmission.
        requests: Number of requests that began on the flow.
        opened_twice: True when a packet named another target than that of the flow.
        opening: The opening packet that was last placed; None if this VM placed none,
            or did not see which target the flow was opened at.
        unconfirmed: Cookies of other targets that an opening packet was sent to, or may
            have been sent to by another VM.
        packets: Number of further packets of the flow.
        updated_ms: Time when another target was last sent the flow's cookie; 0 for
            never.
        further_updates: Number of times when this was due to a packet that named that
            target.
    """

    __slots__ = (
        "acknowledged",
        "answered_promptly",
        "cookie",
        "data_end",
        "further_updates",
        "open",
        "opened_twice",
        "opening",
        "packets",
        "placed_here",
        "placed_ms",
        "request_acknowledged",
        "request_ms",
        "request_retransmitted",
        "requests",
        "retransmissions",
        "unconfirmed",
        "updated_ms",
    )

    def __init__(self, cookie: int, placed_here: bool) -> None:
        """Create the record of a flow that is not open yet.

        Args:
            cookie: Cookie of the target.
            placed_here: True when this VM chose the target.
        """
        self.cookie = cookie
        self.open = False
        self.placed_here = placed_here
        self.retransmissions = 0
        self.placed_ms = 0
        self.request_ms = 0
        self.request_acknowledged = 0
        self.data_end = 0
        self.acknowledged = 0
        self.answered_promptly: bool | None = None
        self.request_retransmitted = False
        self.requests = 0
        self.opened_twice = False
        self.opening: Opening | None = None
        self.unconfirmed: frozenset[int] = frozenset()
        self.packets = 0
        self.updated_ms = 0
        self.further_updates = 0


class Tracker:
    """Records of recently active flows, and their number by target."""

    def __init__(self) -> None:
        """Create an empty tracker."""
        self._records: collections.OrderedDict[model.FlowId, Record] = (
            collections.OrderedDict()
        )
        self._last_packet_ms: dict[model.FlowId, int] = {}
        self._flows: collections.Counter[int] = collections.Counter()
        self._requests_ms: collections.OrderedDict[model.FlowId, int] = (
            collections.OrderedDict()
        )
        # This table has the time when the wait began for each flow whose caller waits
        # for a response.
        self._waiting_since_ms: collections.OrderedDict[model.FlowId, int] = (
            collections.OrderedDict()
        )
        self._waiting_counts: collections.Counter[int] = collections.Counter()
        # This is the last time at which a flow that another VM had opened first arrived
        # here.
        self._flows_moved_ms = -1
        self._rehash = rehash.RehashDetector()

    def __len__(self) -> int:
        """Return the number of recorded flows."""
        return len(self._records)

    def flows_on(self, cookie: int) -> int:
        """Return the number of recorded flows of a target."""
        return self._flows[cookie]

    @property
    def waiting_flows(self) -> typing.Mapping[int, int]:
        """Number of flows that wait for a response, by target.

        A flow that is being opened counts as waiting, because its caller is about to
        send a request.
        """
        return self._waiting_counts

    def in_flight(self, now_ms: int) -> dict[int, int]:
        """Return the requests that are in flight through this VM, by target.

        Requests whose flow has probably moved to another VM are left out, because this
        VM will not see their end.
        """
        since_ms = max(self._rehash.rehashed_ms, now_ms - MAX_IN_FLIGHT_MS)
        counts: collections.Counter[int] = collections.Counter()
        # The table is in the order of time, and the oldest waits are left out.
        for flow, begun_ms in reversed(self._waiting_since_ms.items()):
            if begun_ms < since_ms:
                break
            counts[self._records[flow].cookie] += 1
        return counts

    def targets(self) -> set[int]:
        """Return the cookies of the targets that have flows."""
        return set(self._flows)

    def get(self, flow: model.FlowId) -> Record | None:
        """Return the record of a flow, if any."""
        return self._records.get(flow)

    def record_placement(
        self,
        now_ms: int,
        flow: model.FlowId,
        cookie: int,
        retransmissions: int,
        opening: Opening | None = None,
        likely: frozenset[int] = frozenset(),
    ) -> None:
        """Record that a flow's opening packet was sent to a target.

        Args:
            now_ms: Present time.
            flow: The flow.
            cookie: Cookie of the target.
            retransmissions: Number of opening packets that the caller sent before.
            opening: The opening packet, if it may be needed again.
            likely: Cookies of targets that other VMs may have placed the flow on.
        """
        record = self._records.get(flow)
        if record is None:
            record = Record(cookie, True)
            self._add(now_ms, flow, record)
        else:
            self._touch(now_ms, flow)
            self._move(flow, record, cookie)
        self._begin_wait(now_ms, flow, record)
        record.retransmissions = retransmissions
        record.placed_ms = now_ms
        record.opening = opening
        record.unconfirmed |= likely - {cookie}

    def record_segment(
        self, now_ms: int, segment: model.Segment, cookie: int
    ) -> Measurement:
        """Record that a segment of an open flow was forwarded to a target."""
        record = self._records.get(segment.flow)
        if record is None:
            record = Record(cookie, False)
            self._add(now_ms, segment.flow, record)
            self._flows_moved_ms = now_ms
            self._rehash.record_arrival(now_ms, segment.flow)
        else:
            self._touch(now_ms, segment.flow)
        opened = not record.open and record.placed_here
        if not record.open:
            record.open = True
            if not _follows(segment, record.opening):
                record.opening = None
            self._move(segment.flow, record, cookie)
            self._end_wait(segment.flow, cookie)
        record.packets += 1
        record.acknowledged = segment.acknowledged
        before_ms = record.request_ms
        answer_bytes = (segment.acknowledged - record.request_acknowledged) % _SEQUENCES
        requests = record.requests
        answer_ms, retransmitted = _measure(now_ms, record, segment)
        begun = record.placed_here and record.requests > requests
        measurement = Measurement(
            opened,
            answer_ms,
            answer_bytes,
            record.request_retransmitted,
            retransmitted,
            record.requests if begun else 0,
        )
        record.request_retransmitted = retransmitted
        if record.request_ms != before_ms:
            self._requests_ms.pop(segment.flow, None)
            self._end_wait(segment.flow, record.cookie)
            if record.request_ms:
                self._requests_ms[segment.flow] = record.request_ms
                self._begin_wait(now_ms, segment.flow, record)
        elif (
            segment.data_bytes
            and not retransmitted
            and segment.flow in self._requests_ms
        ):
            # The caller is still sending the request, so its response is not due yet.
            self._requests_ms[segment.flow] = now_ms
            self._requests_ms.move_to_end(segment.flow)
        if segment.ending or segment.reset:
            self._drop(segment.flow)
            self._rehash.record_ended(segment.flow)
        return measurement

    def take_overdue(self, now_ms: int) -> list[Overdue]:
        """Return the requests that have become overdue since the last call.

        Each request is returned once, however often its packet is retransmitted.

        A timeout is needed because a flow that was reset by its target, or whose
        target hangs, may be silent: its caller has given it up, and no retransmission
        shows the failure.
        """
        found = []
        while self._requests_ms:
            flow, request_ms = next(iter(self._requests_ms.items()))
            if now_ms - request_ms < OVERDUE_MS:
                break
            del self._requests_ms[flow]
            record = self._records[flow]
            if record.answered_promptly is not False:
                moved = self._flows_moved_ms > request_ms
                found.append(
                    Overdue(record.cookie, record.answered_promptly is None, moved)
                )
        return found

    def open_flows(self, cookie: int) -> list[tuple[model.FlowId, Record]]:
        """Return the open flows of a target with their records."""
        return [
            (flow, record)
            for flow, record in self._records.items()
            if record.open and record.cookie == cookie
        ]

    def remove(self, flow: model.FlowId) -> None:
        """Delete the record of a flow that was reset."""
        if flow in self._records:
            self._drop(flow)

    def expire(self, now_ms: int) -> None:
        """Delete the records of idle flows, and end waits that last too long."""
        while self._records:
            flow = next(iter(self._records))
            if now_ms - self._last_packet_ms[flow] < IDLE_TIMEOUT_MS:
                break
            self._drop(flow)
        while self._waiting_since_ms:
            flow, since_ms = next(iter(self._waiting_since_ms.items()))
            if now_ms - since_ms < MAX_WAIT_MS:
                break
            self._end_wait(flow, self._records[flow].cookie)

    def _begin_wait(self, now_ms: int, flow: model.FlowId, record: Record) -> None:
        if flow not in self._waiting_since_ms:
            self._waiting_counts[record.cookie] += 1
            self._waiting_since_ms[flow] = now_ms

    def _end_wait(self, flow: model.FlowId, cookie: int) -> None:
        if self._waiting_since_ms.pop(flow, None) is not None:
            _decrement(self._waiting_counts, cookie)

    def _add(self, now_ms: int, flow: model.FlowId, record: Record) -> None:
        if len(self._records) >= MAX_FLOWS:
            self._drop(next(iter(self._records)))
        self._records[flow] = record
        self._last_packet_ms[flow] = now_ms
        self._flows[record.cookie] += 1

    def _touch(self, now_ms: int, flow: model.FlowId) -> None:
        self._records.move_to_end(flow)
        self._last_packet_ms[flow] = now_ms

    def _move(self, flow: model.FlowId, record: Record, cookie: int) -> None:
        if record.cookie == cookie:
            return
        _decrement(self._flows, record.cookie)
        self._flows[cookie] += 1
        if flow in self._waiting_since_ms:
            _decrement(self._waiting_counts, record.cookie)
            self._waiting_counts[cookie] += 1
        record.unconfirmed = (record.unconfirmed | {record.cookie}) - {cookie}
        record.cookie = cookie

    def _drop(self, flow: model.FlowId) -> None:
        record = self._records.pop(flow)
        del self._last_packet_ms[flow]
        self._requests_ms.pop(flow, None)
        self._end_wait(flow, record.cookie)
        _decrement(self._flows, record.cookie)


def _decrement(counts: collections.Counter[int], cookie: int) -> None:
    counts[cookie] -= 1
    if counts[cookie] <= 0:
        del counts[cookie]


def _follows(segment: model.Segment, opening: Opening | None) -> bool:
    """Return True for the first data, or the packet before it, of a flow's caller.

    Its cookie is that of the target at which the caller opened the flow. Later packets
    may have the cookie of another target. An opening packet may take a position in the
    stream, as in TCP, or none.
    """
    if opening is None:
        return False
    return (segment.sequence - opening.sequence) % _SEQUENCES <= 1


def _measure(
    now_ms: int, record: Record, segment: model.Segment
) -> tuple[int | None, bool]:
    answer_ms = None
    if record.request_ms and segment.acknowledged != record.request_acknowledged:
        waited_ms = now_ms - record.request_ms
        record.answered_promptly = waited_ms <= OVERDUE_MS
        # An acknowledgement that arrives with the next request was delayed until that
        # request, so its time measures the caller's pause and not the target.
        if waited_ms <= MAX_SAMPLE_MS and not segment.data_bytes:
            answer_ms = waited_ms
        record.request_ms = 0
    if not segment.data_bytes:
        return answer_ms, False
    end = segment.sequence + segment.data_bytes
    retransmitted = end == record.data_end
    record.data_end = end
    if not record.request_ms:
        record.requests += 1
        record.request_ms = now_ms
        record.request_acknowledged = segment.acknowledged
    return answer_ms, retransmitted
