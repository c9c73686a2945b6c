"""Tests of the table of requests in flight, without a network."""

from eelgrasswick.reservations import (
    messages,
    usage,
)

SCHEDULER = 77
COOKIE = 5


def report(
    number: int,
    in_flight: int,
    completed: int = 0,
    *,
    grant: int = 0,
    incarnation: int = 1,
    cookie: int = COOKIE,
    scheduler: int = SCHEDULER,
    rejected: int = 0,
) -> messages.UsageUpdate:
    """Return an update about one target."""
    figures = messages.Usage(cookie, in_flight, completed, completed * 30, rejected)
    acknowledged = messages.Acknowledged(scheduler, grant)
    return messages.UsageUpdate(incarnation, number, acknowledged, (figures,))


def test_in_flight_is_the_sum_over_origins() -> None:
    """Guards against a view that counts only the flows of one VM."""
    table = usage.UsageTable(SCHEDULER)
    table.record(0, "a", report(1, 2))
    table.record(0, "b", report(1, 3))
    table.record(5, "a", report(2, 1))
    assert table.in_flight(COOKIE) == 4


def test_first_report_adds_nothing_to_cumulative_counts() -> None:
    """Guards against completions of hours that are taken for those of an instant."""
    table = usage.UsageTable(SCHEDULER)
    assert table.record(0, "a", report(1, 2, 9000)) == [usage.Delta(COOKIE, 0, 0, 0)]
    deltas = table.record(5, "a", report(2, 1, 9002, rejected=1))
    assert deltas == [usage.Delta(COOKIE, 2, 60, 1)]


def test_lost_report_is_made_up_for_by_the_next_one() -> None:
    """Guards against completions that are missing after a lost message."""
    table = usage.UsageTable(SCHEDULER)
    table.record(0, "a", report(1, 2, 10))
    deltas = table.record(20, "a", report(3, 0, 14))
    assert deltas == [usage.Delta(COOKIE, 4, 120, 0)]
    assert table.in_flight(COOKIE) == 0


def test_duplicate_and_reordered_reports_are_ignored() -> None:
    """Guards against an old count that adds capacity which is in use."""
    table = usage.UsageTable(SCHEDULER)
    table.record(0, "a", report(5, 3, 10))
    assert table.record(1, "a", report(5, 3, 10)) is None
    assert table.record(2, "a", report(4, 0, 13)) is None
    assert table.in_flight(COOKIE) == 3


def test_grant_counts_until_it_is_acknowledged_with_a_report() -> None:
    """Guards against one slot that is granted twice within a message delay."""
    table = usage.UsageTable(SCHEDULER)
    table.record(0, "a", report(1, 0))
    number = table.add_grant(0, "a", COOKIE)
    assert table.in_flight(COOKIE) == 1
    table.record(2, "a", report(2, 0, grant=number - 1))
    assert table.in_flight(COOKIE) == 1
    table.record(4, "a", report(3, 1, grant=number))
    assert table.in_flight(COOKIE) == 1
    table.record(9, "a", report(4, 0, 1, grant=number))
    assert table.in_flight(COOKIE) == 0


def test_grant_counts_while_the_report_of_its_target_is_lost() -> None:
    """Guards against an acknowledgment that ends a grant before its flow is counted."""
    table = usage.UsageTable(SCHEDULER)
    table.record(0, "a", report(1, 0))
    number = table.add_grant(0, "a", COOKIE)
    # Message 2 with the target's new figures was lost; message 3 doesn't repeat them.
    table.record(6, "a", report(3, 0, grant=number, cookie=COOKIE + 1))
    assert table.in_flight(COOKIE) == 1
    table.record(8, "a", report(4, 1, grant=number))
    assert table.in_flight(COOKIE) == 1


def test_acknowledgment_of_another_scheduler_process_is_ignored() -> None:
    """Guards against a restarted scheduler that takes its new grants for received."""
    table = usage.UsageTable(SCHEDULER)
    table.record(0, "a", report(1, 0))
    table.add_grant(0, "a", COOKIE)
    table.record(2, "a", report(2, 0, grant=500, scheduler=SCHEDULER + 1))
    assert table.in_flight(COOKIE) == 1


def test_lost_grant_expires_after_300_ms() -> None:
    """Guards against capacity that stays taken by a grant that never arrived."""
    table = usage.UsageTable(SCHEDULER)
    table.record(0, "a", report(1, 0))
    table.add_grant(0, "a", COOKIE)
    table.expire(299)
    assert table.in_flight(COOKIE) == 1
    table.take_freed()
    table.expire(300)
    assert table.in_flight(COOKIE) == 0
    assert table.take_freed() == {COOKIE}


def test_counts_of_a_silent_origin_expire_after_1_s() -> None:
    """Guards against capacity that stays taken by flows of a dead VM."""
    table = usage.UsageTable(SCHEDULER)
    table.record(0, "a", report(1, 3))
    table.record(500, "b", report(1, 1))
    table.expire(999)
    assert table.in_flight(COOKIE) == 4
    table.expire(1000)
    assert table.in_flight(COOKIE) == 1
    assert len(table) == 1


def test_grant_numbers_continue_after_an_origin_expired() -> None:
    """Guards against new grants that an old acknowledgment seems to cover."""
    table = usage.UsageTable(SCHEDULER)
    table.record(0, "a", report(1, 0))
    first = table.add_grant(0, "a", COOKIE)
    table.expire(5000)
    table.record(5000, "a", report(2, 0, grant=first))
    table.add_grant(5000, "a", COOKIE)
    table.record(5001, "a", report(3, 0, grant=first))
    assert table.in_flight(COOKIE) == 1


def test_new_incarnation_replaces_the_record_and_old_messages_are_ignored() -> None:
    """Guards against counts of a former process that are added to the present ones."""
    table = usage.UsageTable(SCHEDULER)
    table.record(0, "a", report(100, 4, 50, incarnation=1))
    table.add_grant(0, "a", COOKIE)
    deltas = table.record(10, "a", report(1, 1, 3, incarnation=2))
    assert deltas == [usage.Delta(COOKIE, 0, 0, 0)]
    assert table.in_flight(COOKIE) == 1
    assert table.record(11, "a", report(101, 0, 54, incarnation=1)) is None
    assert table.in_flight(COOKIE) == 1
    assert table.is_current("a", 2) and not table.is_current("a", 1)


def test_target_that_an_origin_no_longer_lists_is_dropped() -> None:
    """Guards against a count of a removed target that takes capacity forever."""
    table = usage.UsageTable(SCHEDULER)
    table.record(0, "a", report(1, 2))
    for index in range(1, 20):
        table.record(250 * index, "a", report(1 + index, 0, cookie=COOKIE + 1))
    assert table.in_flight(COOKIE) == 0


def test_origin_beyond_the_bound_is_not_recorded() -> None:
    """Guards against memory that grows with the number of senders."""
    table = usage.UsageTable(SCHEDULER)
    for index in range(usage.MAX_ORIGINS):
        table.record(0, f"vm{index}", report(1, 0))
    assert not table.accepts("other")
    assert table.record(1, "other", report(1, 1)) is None
    assert table.accepts("vm0")
    table.expire(1000)
    assert table.accepts("other")
