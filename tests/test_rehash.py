"""Detection of flows that the fabric has spread anew over the VMs."""

from eelgrasswick.cookie import rehash
from tests import cookie_parts


def test_some_flows_of_other_vms_at_once_are_a_change() -> None:
    """Guards against requests that count although their end passes another VM."""
    detector = rehash.RehashDetector()
    for number, now_ms in enumerate((1000, 1100, 1300)):
        assert detector.rehashed_ms < 0
        detector.record_arrival(now_ms, cookie_parts.flow(number))
    assert detector.rehashed_ms == 1000


def test_flows_of_other_vms_one_by_one_are_no_change() -> None:
    """Guards against requests that do not count because of single late packets."""
    detector = rehash.RehashDetector()
    for number in range(20):
        detector.record_arrival(1000 + 151 * number, cookie_parts.flow(number))
    assert detector.rehashed_ms < 0


def test_late_packets_of_ended_flows_are_no_change() -> None:
    """Guards against a change that each burst of flow ends imitates."""
    detector = rehash.RehashDetector()
    for number in range(10):
        detector.record_ended(cookie_parts.flow(number))
        detector.record_arrival(1000 + number, cookie_parts.flow(number))
    assert detector.rehashed_ms < 0


def test_a_later_change_replaces_the_former() -> None:
    """Guards against a detector that works once."""
    detector = rehash.RehashDetector()
    for number in range(3):
        detector.record_arrival(1000, cookie_parts.flow(number))
    for number in range(3, 6):
        detector.record_arrival(9000 + number, cookie_parts.flow(number))
    assert detector.rehashed_ms == 9003


def test_the_number_of_remembered_ends_is_bounded() -> None:
    """Guards against memory that grows with the number of flows."""
    detector = rehash.RehashDetector()
    for number in range(rehash.MAX_ENDED_FLOWS + 3):
        detector.record_ended(cookie_parts.flow(number))
    for number in range(3):
        detector.record_arrival(1000, cookie_parts.flow(number))
    assert detector.rehashed_ms == 1000
