"""Which targets are passed over because they are silent."""

import pytest

from eelgrasswick.cookie import silence


@pytest.fixture
def book() -> silence.SilenceDetector:
    return silence.SilenceDetector()


def test_silent_target_is_passed_over(book: silence.SilenceDetector) -> None:
    """A server crashed without a word; its entry is still in the store."""
    assert not book.record_unanswered(0, 7)
    assert not book.suspected(0, 7, 0)
    assert book.record_unanswered(1, 7)
    assert book.suspected(1, 7, 0)


def test_answer_in_between_begins_anew(book: silence.SilenceDetector) -> None:
    """A link loses a packet now and then.

    A target that was passed over for it would be missing for nothing.
    """
    for now_ms in range(10):
        book.record_unanswered(now_ms, 7)
        assert not book.suspected(now_ms, 7, 0)
        book.record_answer(7)


def test_another_vm_is_a_witness(book: silence.SilenceDetector) -> None:
    book.record_unanswered(0, 7)
    assert book.suspected(0, 7, 1)
    assert not book.suspected(0, 8, 1)
    assert book.suspected(0, 8, 2)


def test_silent_target_is_tried_one_flow_at_a_time(
    book: silence.SilenceDetector,
) -> None:
    """A server that was silent comes back.

    If all flows tried it at once, all would wait when it did not.
    """
    book.record_unanswered(0, 7)
    book.record_unanswered(0, 7)
    assert not book.suspected(silence.TRIAL_INTERVAL_MS, 7, 0)
    book.record_trial(silence.TRIAL_INTERVAL_MS, 7)
    assert book.suspected(silence.TRIAL_INTERVAL_MS, 7, 0)
    assert book.record_answer(7)
    assert not book.suspected(silence.TRIAL_INTERVAL_MS, 7, 0)


def test_forgets_targets_that_left(book: silence.SilenceDetector) -> None:
    book.record_unanswered(0, 7)
    book.record_unanswered(0, 7)
    book.keep([])
    assert not book.silent(7)
