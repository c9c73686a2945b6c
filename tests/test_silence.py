"""Tests of the detection of silent targets."""

import pytest

from eelgrasswick.cookie import silence


@pytest.fixture
def detector() -> silence.SilenceDetector:
    return silence.SilenceDetector()


def test_target_is_suspected_after_two_unanswered_packets(
    detector: silence.SilenceDetector,
) -> None:
    """Guards against flows to a crashed server whose entry is still in the store."""
    assert not detector.record_unanswered(0, 7)
    assert not detector.suspected(0, 7, 0)
    assert detector.record_unanswered(1, 7)
    assert detector.suspected(1, 7, 0)


def test_answer_resets_the_count(detector: silence.SilenceDetector) -> None:
    """Guards against the exclusion of a working target for occasional packet loss."""
    for now_ms in range(10):
        detector.record_unanswered(now_ms, 7)
        assert not detector.suspected(now_ms, 7, 0)
        detector.record_answer(7)


def test_witness_counts_as_one_unanswered_packet(
    detector: silence.SilenceDetector,
) -> None:
    detector.record_unanswered(0, 7)
    assert detector.suspected(0, 7, 1)
    assert not detector.suspected(0, 8, 1)
    assert detector.suspected(0, 8, 2)


def test_silent_target_gets_one_trial_flow_at_a_time(
    detector: silence.SilenceDetector,
) -> None:
    """Guards against many flows that are sent to a target that may still be silent."""
    detector.record_unanswered(0, 7)
    detector.record_unanswered(0, 7)
    assert not detector.suspected(silence.TRIAL_INTERVAL_MS, 7, 0)
    detector.record_trial(silence.TRIAL_INTERVAL_MS, 7)
    assert detector.suspected(silence.TRIAL_INTERVAL_MS, 7, 0)
    assert detector.record_answer(7)
    assert not detector.suspected(silence.TRIAL_INTERVAL_MS, 7, 0)


def test_record_of_a_removed_target_is_deleted(
    detector: silence.SilenceDetector,
) -> None:
    detector.record_unanswered(0, 7)
    detector.record_unanswered(0, 7)
    detector.retain([])
    assert not detector.silent(7)
