"""Tests of the records of flows."""

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


def test_response_time_ends_at_the_first_acknowledgement(
    flows: tracker.Tracker,
) -> None:
    flows.record_placement(0, cookie_parts.flow(), 7, 0)
    assert flows.record_segment(4, _segment(acknowledged=100), 7).opened
    flows.record_segment(5, _segment(acknowledged=100, data=b"GET"), 7)
    measurement = flows.record_segment(35, _segment(acknowledged=2500), 7)
    assert measurement.answer_ms == 30
    assert flows.record_segment(36, _segment(acknowledged=4100), 7).answer_ms is None


def test_pause_of_the_caller_is_no_response_time(flows: tracker.Tracker) -> None:
    """Guards against a caller's pause that makes its target look slow.

    The caller acknowledges a response of one packet only with its next request.
    """
    flows.record_segment(0, _segment(data=b"POST"), 7)
    late = _segment(acknowledged=600, data=b"POST")
    assert flows.record_segment(tracker.MAX_SAMPLE_MS + 1, late, 7).answer_ms is None


def test_same_data_twice_is_a_retransmission(flows: tracker.Tracker) -> None:
    assert not flows.record_segment(0, _segment(data=b"GET"), 7).retransmitted
    assert flows.record_segment(200, _segment(data=b"GET"), 7).retransmitted


def test_flow_is_counted_until_it_ends(flows: tracker.Tracker) -> None:
    flows.record_placement(0, cookie_parts.flow(1), 7, 0)
    flows.record_placement(0, cookie_parts.flow(), 7, 0)
    assert flows.flows_on(7) == 2
    flows.record_segment(1, _segment(cookie_parts.FIN | cookie_parts.ACK), 7)
    assert flows.flows_on(7) == 1
    flows.expire(tracker.IDLE_TIMEOUT_MS)
    assert flows.flows_on(7) == 0
    assert len(flows) == 0


def test_number_of_records_is_bounded(
    flows: tracker.Tracker, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a flood of opening packets that exhausts the memory."""
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
    """Guards against a crashed server that goes undetected.

    Its machine resets the flows itself, so the VM receives no more packets of them.
    """
    _asked(flows, 10, 1, 100)
    flows.record_segment(40, _segment(acknowledged=2500), 7)
    _asked(flows, 1000, 4, 4100)
    assert flows.take_overdue(1000 + tracker.OVERDUE_MS - 1) == []
    assert flows.take_overdue(1000 + tracker.OVERDUE_MS) == [tracker.Overdue(7, False)]
    assert flows.take_overdue(1000 + tracker.OVERDUE_MS + 1) == []


def test_first_request_without_an_answer_is_overdue(flows: tracker.Tracker) -> None:
    """Guards against a target that hangs and has no flow with an earlier response."""
    _asked(flows, 10, 1, 100)
    assert flows.take_overdue(10 + tracker.OVERDUE_MS) == [tracker.Overdue(7, True)]


def test_request_that_is_still_being_sent_is_not_overdue(
    flows: tracker.Tracker,
) -> None:
    """Guards against uploads that make targets look hung."""
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
    """Guards against a changed hash that makes targets look hung.

    The caller's acknowledgement passes another VM then.
    """
    _asked(flows, 10, 1, 100)
    other = cookie_parts.flow(40_002)
    flows.record_segment(100, _segment(acknowledged=2500)._replace(flow=other), 8)
    assert flows.take_overdue(10 + tracker.OVERDUE_MS) == [
        tracker.Overdue(7, True, True)
    ]


def test_retransmitted_request_is_reported_once(flows: tracker.Tracker) -> None:
    """Guards against one flow on a lossy link that excludes a working target.

    If each retransmission were reported, the target would get no new flows although
    it answers all other callers.
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


def test_flow_that_is_placed_again_waits_at_its_new_target(
    flows: tracker.Tracker,
) -> None:
    flows.record_placement(0, cookie_parts.flow(), 7, 0)
    flows.record_placement(200, cookie_parts.flow(), 8, 1)
    assert flows.waiting_flows == {8: 1}


def test_wait_of_a_caller_that_gave_up_expires(flows: tracker.Tracker) -> None:
    """Guards against abandoned requests that make their target look full."""
    _asked(flows, 5, 1, 100)
    flows.expire(5 + tracker.MAX_WAIT_MS)
    assert flows.waiting_flows == {}


def test_answer_after_a_resent_request_is_marked(flows: tracker.Tracker) -> None:
    """Guards against a lost request that makes its target look slow."""
    _asked(flows, 5, 1, 100)
    _asked(flows, 205, 1, 100)
    measurement = flows.record_segment(240, _segment(acknowledged=2500), 7)
    assert measurement.request_retransmitted
    assert measurement.answer_bytes == 2400


def test_answers_of_one_packet_are_never_overdue(flows: tracker.Tracker) -> None:
    """Guards against a probe for each short response.

    A caller acknowledges a response of one packet only with its next request.
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


def test_requests_in_flight_are_counted_by_target(flows: tracker.Tracker) -> None:
    """Guards against schedulers that see free slots where requests work."""
    for number, cookie in enumerate((7, 7, 8)):
        flows.record_placement(10, cookie_parts.flow(40_001 + number), cookie, 0)
    assert flows.in_flight(20) == {7: 2, 8: 1}
    flows.remove(cookie_parts.flow(40_002))
    assert flows.in_flight(20) == {7: 1, 8: 1}


def test_an_answered_request_is_not_in_flight(flows: tracker.Tracker) -> None:
    """Guards against slots that stay occupied after their response."""
    flows.record_placement(0, cookie_parts.flow(), 7, 0)
    _asked(flows, 5, 1, 100)
    assert flows.in_flight(10) == {7: 1}
    flows.record_segment(30, _segment(acknowledged=2500), 7)
    assert flows.in_flight(31) == {}


def test_a_request_is_in_flight_for_1_s_at_most(flows: tracker.Tracker) -> None:
    """Guards against targets that look full of requests whose end was not seen."""
    flows.record_placement(100, cookie_parts.flow(), 7, 0)
    flows.record_placement(600, cookie_parts.flow(40_002), 7, 0)
    assert flows.in_flight(100 + tracker.MAX_IN_FLIGHT_MS) == {7: 2}
    assert flows.in_flight(101 + tracker.MAX_IN_FLIGHT_MS) == {7: 1}


def test_requests_before_a_rehash_are_not_in_flight(flows: tracker.Tracker) -> None:
    """Guards against full targets after each change of the VMs in rotation."""
    flows.record_placement(100, cookie_parts.flow(), 7, 0)
    flows.record_placement(205, cookie_parts.flow(40_002), 8, 0)
    for number in range(3):
        raw = cookie_parts.packet(cookie_parts.ACK, 50_000 + number, acknowledged=9)
        flows.record_segment(200 + number, segments.Codec().decode(raw), 9)
    assert flows.in_flight(210) == {8: 1}
