"""What a VM remembers of flows."""

import pytest

from eelgrasswick.cookie import model, tracker
from eelgrasswick.platform import segments
from tests import cookie_parts


@pytest.fixture
def flows() -> tracker.Tracker:
    return tracker.Tracker()


def _segment(
    flags: int = cookie_parts.ACK,
    sequence: int = 1,
    acknowledged: int = 0,
    data: bytes = b"",
) -> model.Segment:
    raw = cookie_parts.packet(
        flags, sequence=sequence, acknowledged=acknowledged, data=data
    )
    return segments.Codec().decode(raw)


def test_answer_time(flows: tracker.Tracker) -> None:
    flows.record_placement(0, cookie_parts.flow(), 7, 0)
    assert flows.record_segment(4, _segment(acknowledged=100), 7).opened
    flows.record_segment(5, _segment(acknowledged=100, data=b"GET"), 7)
    signal = flows.record_segment(35, _segment(acknowledged=2500), 7)
    assert signal.answer_ms == 30
    assert flows.record_segment(36, _segment(acknowledged=4100), 7).answer_ms is None


def test_pause_of_the_caller_is_no_answer_time(flows: tracker.Tracker) -> None:
    """An answer of one packet is acknowledged only with the next request.

    Taken for work, the caller's pause would make its target look slow.
    """
    flows.record_segment(0, _segment(data=b"POST"), 7)
    late = _segment(acknowledged=600, data=b"POST")
    assert flows.record_segment(tracker.MAX_SAMPLE_MS + 1, late, 7).answer_ms is None


def test_repeated_data(flows: tracker.Tracker) -> None:
    assert not flows.record_segment(0, _segment(data=b"GET"), 7).retransmitted
    assert flows.record_segment(200, _segment(data=b"GET"), 7).retransmitted


def test_counts_flows_until_they_end(flows: tracker.Tracker) -> None:
    flows.record_placement(0, cookie_parts.flow(1), 7, 0)
    flows.record_placement(0, cookie_parts.flow(), 7, 0)
    assert flows.flows_on(7) == 2
    flows.record_segment(1, _segment(cookie_parts.FIN | cookie_parts.ACK), 7)
    assert flows.flows_on(7) == 1
    flows.expire(tracker.IDLE_TIMEOUT_MS)
    assert flows.flows_on(7) == 0
    assert len(flows) == 0


def test_memory_is_bounded(
    flows: tracker.Tracker, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A flood of opening packets comes from addresses that don't exist."""
    monkeypatch.setattr(tracker, "MAX_FLOWS", 50)
    for port in range(1000):
        flows.record_placement(port, cookie_parts.flow(port), port % 3, 0)
    assert len(flows) == 50
    assert sum(flows.flows_on(cookie) for cookie in range(3)) == 50


def _asked(
    flows: tracker.Tracker, now_ms: int, sequence: int, acknowledged: int
) -> None:
    segment = _segment(sequence=sequence, acknowledged=acknowledged, data=b"GET")
    flows.record_segment(now_ms, segment, 7)


def test_request_without_an_answer_is_overdue(flows: tracker.Tracker) -> None:
    """A server crashes and is reachable, so that it resets its flows itself.

    The VM sees none of that, only that the flow it forwarded is silent.
    """
    _asked(flows, 10, 1, 100)
    flows.record_segment(40, _segment(acknowledged=2500), 7)
    _asked(flows, 1000, 4, 4100)
    assert flows.take_overdue(1000 + tracker.OVERDUE_MS - 1) == []
    assert flows.take_overdue(1000 + tracker.OVERDUE_MS) == [tracker.Overdue(7, False)]
    assert flows.take_overdue(1000 + tracker.OVERDUE_MS + 1) == []


def test_first_request_without_an_answer_is_overdue(flows: tracker.Tracker) -> None:
    """Guards against a target that hangs and is seen by its new flows only."""
    _asked(flows, 10, 1, 100)
    assert flows.take_overdue(10 + tracker.OVERDUE_MS) == [tracker.Overdue(7, True)]


def test_request_that_is_still_being_sent_is_not_overdue(
    flows: tracker.Tracker,
) -> None:
    """Guards against uploads that make their targets look as if they hung."""
    for step in range(5):
        _asked(flows, 10 + 200 * step, 1 + 3 * step, 100)
        assert flows.take_overdue(10 + 200 * step) == []
    assert flows.take_overdue(809 + tracker.OVERDUE_MS) == []
    assert flows.take_overdue(810 + tracker.OVERDUE_MS) == [tracker.Overdue(7, True)]
    _asked(flows, 1200, 20, 100)
    assert flows.take_overdue(1200 + tracker.OVERDUE_MS) == []


def test_overdue_request_whose_flow_may_have_moved_is_marked(
    flows: tracker.Tracker,
) -> None:
    """Guards against a changed hash that makes targets look as if they hung.

    The caller's acknowledgement passes another VM then.
    """
    _asked(flows, 10, 1, 100)
    other = cookie_parts.flow(40_002)
    flows.record_segment(100, _segment(acknowledged=2500)._replace(flow=other), 8)
    assert flows.take_overdue(10 + tracker.OVERDUE_MS) == [
        tracker.Overdue(7, True, True)
    ]


def test_request_that_is_sent_again_is_told_of_once(flows: tracker.Tracker) -> None:
    """A link loses the packets of one flow, and its caller sends them again and again.

    Told of with each of them, the one flow would keep all new flows away from a
    target that answers everybody else.
    """
    _asked(flows, 10, 1, 100)
    flows.record_segment(40, _segment(acknowledged=2500), 7)
    _asked(flows, 1000, 4, 4100)
    assert flows.take_overdue(1000 + tracker.OVERDUE_MS) == [tracker.Overdue(7, False)]
    _asked(flows, 1600, 4, 4100)
    assert flows.take_overdue(1600 + tracker.OVERDUE_MS) == []


def test_waiting_flows_count_until_they_are_answered(flows: tracker.Tracker) -> None:
    flows.record_placement(0, cookie_parts.flow(), 7, 0)
    assert flows.waiting_flows == {7: 1}
    flows.record_segment(4, _segment(acknowledged=100), 7)
    assert flows.waiting_flows == {}
    _asked(flows, 5, 1, 100)
    assert flows.waiting_flows == {7: 1}
    flows.record_segment(30, _segment(acknowledged=2500), 7)
    assert flows.waiting_flows == {}


def test_flow_whose_opening_goes_elsewhere_waits_there(
    flows: tracker.Tracker,
) -> None:
    flows.record_placement(0, cookie_parts.flow(), 7, 0)
    flows.record_placement(200, cookie_parts.flow(), 8, 1)
    assert flows.waiting_flows == {8: 1}


def test_caller_that_gave_up_does_not_wait_for_ever(flows: tracker.Tracker) -> None:
    """A caller gives a request up without a packet that says so.

    Counted on, such requests would make their target look full.
    """
    _asked(flows, 5, 1, 100)
    flows.expire(5 + tracker.MAX_WAIT_MS)
    assert flows.waiting_flows == {}


def test_answer_after_a_resent_request_is_marked(flows: tracker.Tracker) -> None:
    """A request is lost on the way, and answered once it was sent again.

    Its time tells of the loss, not of the target.
    """
    _asked(flows, 5, 1, 100)
    _asked(flows, 205, 1, 100)
    signal = flows.record_segment(240, _segment(acknowledged=2500), 7)
    assert signal.request_retransmitted
    assert signal.answer_bytes == 2400


def test_answers_of_one_packet_are_never_overdue(flows: tracker.Tracker) -> None:
    """A caller acknowledges a short answer only with its next request.

    Taken for overdue, each of them would cost a probe.
    """
    _asked(flows, 10, 1, 100)
    _asked(flows, 1000, 4, 700)
    _asked(flows, 2000, 7, 1300)
    assert flows.take_overdue(2900) == []


def test_flow_that_was_given_up_is_not_overdue(flows: tracker.Tracker) -> None:
    _asked(flows, 10, 1, 100)
    flows.record_segment(40, _segment(acknowledged=2500), 7)
    _asked(flows, 1000, 4, 4100)
    flows.record_segment(1100, _segment(cookie_parts.RST, 4), 7)
    assert flows.take_overdue(2000) == []
