"""Cumulative counts of a VM's requests at its targets."""

from eelgrasswick.cookie import target_usage
from eelgrasswick.reservations import messages


def test_counts_accumulate_by_target() -> None:
    """Guards against counts from which no differences can be computed."""
    usage = target_usage.TargetUsage()
    usage.record_response(1, 40, None)
    usage.record_response(1, 50, 40.0)
    usage.record_rejection(1)
    usage.record_rejection(2)
    assert usage.usage(1, 3) == messages.Usage(1, 3, 2, 90, 1)
    assert usage.usage(2, 0) == messages.Usage(2, 0, 0, 0, 1)
    assert usage.usage(3, 1) == messages.Usage(3, 1, 0, 0, 0)


def test_a_long_response_counts_as_three_usual_ones_at_most() -> None:
    """Guards against a healthy target that looks slow after one long request."""
    usage = target_usage.TargetUsage()
    usage.record_response(1, 1000, 40.0)
    assert usage.usage(1, 0).busy_ms == target_usage.MAX_TIMES_USUAL * 40


def test_a_response_takes_at_least_one_ms() -> None:
    """Guards against a residence time of zero, which no rate can be computed from."""
    usage = target_usage.TargetUsage()
    usage.record_response(1, 0, 0.1)
    assert usage.usage(1, 0).busy_ms == 1


def test_counts_of_removed_targets_are_deleted() -> None:
    """Guards against memory that grows with replaced targets."""
    usage = target_usage.TargetUsage()
    usage.record_rejection(1)
    usage.record_rejection(2)
    usage.retain({2})
    assert usage.usage(1, 0).rejected == 0
    assert usage.usage(2, 0).rejected == 1
