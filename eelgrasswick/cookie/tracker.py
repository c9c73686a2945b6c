"""What a VM remembers of the flows that pass it.

Nothing here is needed to carry a flow right; a VM that has forgotten a flow
forwards it by its cookie. It is kept to spread new flows, to see how fast
targets answer, and to hold a flow on its target when a second one answered its
opening packet too.
"""

import collections
import typing

from eelgrasswick.cookie import model

# Bounds the memory of flows, at some hundred bytes each.
MAX_FLOWS: typing.Final = 20_000
# A flow that other VMs carry now is not seen here any more. Callers pause for
# about a second between the requests of a long flow.
IDLE_TIMEOUT_MS: typing.Final = 4000
# Longer times are pauses of the caller, not work of the target.
MAX_SAMPLE_MS: typing.Final = 2000
# A request that waits longer than this is overdue, if its flow's answers came
# sooner before. Where an answer is acknowledged only with the next request, its flow
# can't tell.
OVERDUE_MS: typing.Final = 300
# A caller that waits longer has given up, or its flow passes another VM by now.
# Counted on, requests that nobody waits for would make their target look full.
MAX_WAIT_MS: typing.Final = 2000
# Positions in a stream are counted modulo this.
_SEQUENCES: typing.Final = 2**32


class Measurement(typing.NamedTuple):
    """What a segment told about its target.

    Attributes:
        opened: True when the flow is seen to be open for the first time.
        answer_ms: Time from a request to the acknowledgement of the first part
            of its answer; None when the segment ends no such wait.
        answer_bytes: Length of that part.
        resent: True when the caller had sent the request again meanwhile.
        repeated: True when the caller sent the same data again.
    """

    opened: bool
    answer_ms: int | None
    answer_bytes: int
    request_retransmitted: bool
    retransmitted: bool


class Overdue(typing.NamedTuple):
    """A request that waits for too long.

    Attributes:
        cookie: Its target.
        first: True when its flow had no answer before, so that nothing is known
            of how its caller acknowledges.
        moved: True when flows came from other VMs meanwhile. The fabric has changed
            its hash then, and the answer may have been acknowledged elsewhere.
    """

    cookie: int
    first_request: bool
    flows_moved: bool = False


class Record:
    """One flow.

    Attributes:
        cookie: Its target; while it is not open, the one it was last sent to.
        open: True once the caller has used the cookie.
        placed_here: True when this VM chose the target.
        copies: Opening packets before the one that was last placed.
        placed_ms: When that one was placed.
        acknowledged: What the caller last acknowledged.
        prompt: True when its last answer was acknowledged soon; None without one.
        resent: True when its present request was sent again.
    """

    __slots__ = (
        "acknowledged",
        "request_acknowledged",
        "request_ms",
        "cookie",
        "retransmissions",
        "data_end",
        "open",
        "placed_here",
        "placed_ms",
        "answered_promptly",
        "request_retransmitted",
    )

    def __init__(self, cookie: int, placed_here: bool) -> None:
        """Begin with a target."""
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


class Tracker:
    """Records of the flows seen lately, and how many each target has."""

    def __init__(self) -> None:
        """Know no flow."""
        self._records: collections.OrderedDict[model.FlowId, Record] = (
            collections.OrderedDict()
        )
        self._seen_ms: dict[model.FlowId, int] = {}
        self._flows: collections.Counter[int] = collections.Counter()
        self._asked: collections.OrderedDict[model.FlowId, int] = (
            collections.OrderedDict()
        )
        # Flows whose callers wait for an answer, since when.
        self._waiting: collections.OrderedDict[model.FlowId, int] = (
            collections.OrderedDict()
        )
        self._in_hand: collections.Counter[int] = collections.Counter()
        # When a flow last came that other VMs had opened.
        self._moved_ms = -1

    def __len__(self) -> int:
        """Return the number of flows that are remembered."""
        return len(self._records)

    def flows_on(self, cookie: int) -> int:
        """Return how many remembered flows a target has."""
        return self._flows[cookie]

    @property
    def waiting_flows(self) -> typing.Mapping[int, int]:
        """How many flows wait for an answer, by target.

        A flow that is being opened counts, as its caller is about to ask.
        """
        return self._in_hand

    def targets(self) -> set[int]:
        """Return the targets that have flows."""
        return set(self._flows)

    def get(self, flow: model.FlowId) -> Record | None:
        """Return what is remembered of a flow."""
        return self._records.get(flow)

    def record_placement(
        self, now_ms: int, flow: model.FlowId, cookie: int, copies: int
    ) -> None:
        """Note that a flow's opening packet went to a target.

        Args:
            now_ms: Present time.
            flow: The flow.
            cookie: The target.
            copies: How many opening packets its caller had sent before.
        """
        record = self._records.get(flow)
        if record is None:
            record = Record(cookie, True)
            self._add(now_ms, flow, record)
        else:
            self._touch(now_ms, flow)
            self._move(flow, record, cookie)
        self._wait(now_ms, flow, record)
        record.retransmissions = copies
        record.placed_ms = now_ms

    def record_segment(
        self, now_ms: int, segment: model.Segment, cookie: int
    ) -> Measurement:
        """Note that a segment of an open flow went to a target."""
        record = self._records.get(segment.flow)
        if record is None:
            record = Record(cookie, False)
            self._add(now_ms, segment.flow, record)
            self._moved_ms = now_ms
        else:
            self._touch(now_ms, segment.flow)
        opened = not record.open and record.placed_here
        if not record.open:
            record.open = True
            self._move(segment.flow, record, cookie)
            self._answered(segment.flow, cookie)
        record.acknowledged = segment.acknowledged
        before_ms = record.request_ms
        answer_bytes = (segment.acknowledged - record.request_acknowledged) % _SEQUENCES
        answer_ms, repeated = _timing(now_ms, record, segment)
        signal = Measurement(
            opened, answer_ms, answer_bytes, record.request_retransmitted, repeated
        )
        record.request_retransmitted = repeated
        if record.request_ms != before_ms:
            self._asked.pop(segment.flow, None)
            self._answered(segment.flow, record.cookie)
            if record.request_ms:
                self._asked[segment.flow] = record.request_ms
                self._wait(now_ms, segment.flow, record)
        elif segment.data_bytes and not repeated and segment.flow in self._asked:
            # The request is still being sent, and its answer is not due yet.
            self._asked[segment.flow] = now_ms
            self._asked.move_to_end(segment.flow)
        if segment.ending or segment.reset:
            self._drop(segment.flow)
        return signal

    def take_overdue(self, now_ms: int) -> list[Overdue]:
        """Return the requests that wait for too long.

        A request is told of once, however often its packet is sent again.

        A flow that was reset by its target, or whose target hangs, is silent: its
        caller gave it up, and no packet that is sent again tells of it.
        """
        found = []
        while self._asked:
            flow, asked_ms = next(iter(self._asked.items()))
            if now_ms - asked_ms < OVERDUE_MS:
                break
            del self._asked[flow]
            record = self._records[flow]
            if record.answered_promptly is not False:
                moved = self._moved_ms > asked_ms
                found.append(
                    Overdue(record.cookie, record.answered_promptly is None, moved)
                )
        return found

    def open_flows(self, cookie: int) -> list[tuple[model.FlowId, int]]:
        """Return the open flows of a target, and what their callers acknowledged."""
        return [
            (flow, record.acknowledged)
            for flow, record in self._records.items()
            if record.open and record.cookie == cookie
        ]

    def forget(self, flow: model.FlowId) -> None:
        """Drop what is remembered of a flow that was reset."""
        if flow in self._records:
            self._drop(flow)

    def expire(self, now_ms: int) -> None:
        """Forget flows that were not seen for a while."""
        while self._records:
            flow = next(iter(self._records))
            if now_ms - self._seen_ms[flow] < IDLE_TIMEOUT_MS:
                break
            self._drop(flow)
        while self._waiting:
            flow, since_ms = next(iter(self._waiting.items()))
            if now_ms - since_ms < MAX_WAIT_MS:
                break
            self._answered(flow, self._records[flow].cookie)

    def _wait(self, now_ms: int, flow: model.FlowId, record: Record) -> None:
        if flow not in self._waiting:
            self._in_hand[record.cookie] += 1
            self._waiting[flow] = now_ms

    def _answered(self, flow: model.FlowId, cookie: int) -> None:
        if self._waiting.pop(flow, None) is not None:
            _less(self._in_hand, cookie)

    def _add(self, now_ms: int, flow: model.FlowId, record: Record) -> None:
        if len(self._records) >= MAX_FLOWS:
            self._drop(next(iter(self._records)))
        self._records[flow] = record
        self._seen_ms[flow] = now_ms
        self._flows[record.cookie] += 1

    def _touch(self, now_ms: int, flow: model.FlowId) -> None:
        self._records.move_to_end(flow)
        self._seen_ms[flow] = now_ms

    def _move(self, flow: model.FlowId, record: Record, cookie: int) -> None:
        if record.cookie == cookie:
            return
        _less(self._flows, record.cookie)
        self._flows[cookie] += 1
        if flow in self._waiting:
            _less(self._in_hand, record.cookie)
            self._in_hand[cookie] += 1
        record.cookie = cookie

    def _drop(self, flow: model.FlowId) -> None:
        record = self._records.pop(flow)
        del self._seen_ms[flow]
        self._asked.pop(flow, None)
        self._answered(flow, record.cookie)
        _less(self._flows, record.cookie)


def _less(counts: collections.Counter[int], cookie: int) -> None:
    counts[cookie] -= 1
    if counts[cookie] <= 0:
        del counts[cookie]


def _timing(
    now_ms: int, record: Record, segment: model.Segment
) -> tuple[int | None, bool]:
    answer_ms = None
    if record.request_ms and segment.acknowledged != record.request_acknowledged:
        waited_ms = now_ms - record.request_ms
        record.answered_promptly = waited_ms <= OVERDUE_MS
        # An acknowledgement that comes with the next request has waited for it, so
        # that its time is the caller's pause and no work of the target.
        if waited_ms <= MAX_SAMPLE_MS and not segment.data_bytes:
            answer_ms = waited_ms
        record.request_ms = 0
    if not segment.data_bytes:
        return answer_ms, False
    end = segment.sequence + segment.data_bytes
    repeated = end == record.data_end
    record.data_end = end
    if not record.request_ms:
        record.request_ms = now_ms
        record.request_acknowledged = segment.acknowledged
    return answer_ms, repeated
