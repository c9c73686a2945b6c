"""Tests of fleet membership, and of the registry of target reports."""

import random

import hypothesis
import pytest
from hypothesis import strategies

from eelgrasswick.cookie import peers, reports


@pytest.fixture
def others() -> peers.Peers:
    registry = peers.Peers("10.0.0.1", "z1", random.Random(1))
    for number in range(2, 8):
        registry.record_contact(1, f"10.0.0.{number}", f"z{number % 3 + 1}", True)
    return registry


def test_vm_that_leaves_two_requests_unanswered_is_dead(others: peers.Peers) -> None:
    """Guards against a zone that relies on a killed VM to watch the store."""
    assert not others.record_request("10.0.0.3")
    assert others.record_request("10.0.0.3")
    assert len(others) == 5
    assert others.record_contact(10, "10.0.0.3", "z1", True)
    assert len(others) == 6


def test_vms_of_a_zone_have_distinct_ranks() -> None:
    """Guards against two VMs of a zone that both have rank 0 and watch the store."""
    hosts = [f"10.0.0.{number}" for number in range(1, 9)]
    ranks = []
    for host in hosts:
        registry = peers.Peers(host, "z1", random.Random(1))
        for other in hosts:
            if other != host:
                registry.record_contact(1, other, "z1", True)
        ranks.append(registry.rank())
    assert sorted(ranks) == list(range(8))


def test_vms_that_the_store_refuses_have_no_rank(others: peers.Peers) -> None:
    """Guards against a watcher that the store refuses while it serves other VMs."""
    for number in range(2, 8):
        others.record_contact(1, f"10.0.0.{number}", "z1", False)
    assert others.rank() == 0


def test_each_vm_receives_a_request_in_turn(others: peers.Peers) -> None:
    selected = {host for _ in range(12) for host in others.next_hosts()}
    assert len(selected) == 6


def test_added_vms_receive_a_request_first(others: peers.Peers) -> None:
    others.add_hosts(5, ["10.0.0.50", "10.0.0.1"])
    assert "10.0.0.50" in others.next_hosts()
    assert "10.0.0.1" not in {host for _ in range(20) for host in others.next_hosts()}


def test_updates_go_to_the_own_zone_and_to_others(others: peers.Peers) -> None:
    selected = others.select_push_hosts(1)
    zones = {int(host.rpartition(".")[2]) % 3 for host in selected}
    assert len(selected) == 2
    assert len(zones) == 2


def test_vms_without_contact_for_long_expire(others: peers.Peers) -> None:
    others.record_contact(peers.EXPIRY_MS, "10.0.0.2", "z1", True)
    others.expire(peers.EXPIRY_MS + 2)
    assert len(others) == 1


def test_vm_that_another_vm_lists_counts_for_the_rank(others: peers.Peers) -> None:
    """Guards against starting VMs that all take rank 0 before their first contacts."""
    # In a large fleet, contact with each other VM takes many seconds.
    hosts = [f"10.0.1.{number}" for number in range(20)]
    before = others.rank()
    others.add_members(5, [peers.Member(host, "z1") for host in hosts])
    assert others.rank() > before
    assert len(others) == 6


def test_listed_vm_that_does_not_respond_has_no_rank(others: peers.Peers) -> None:
    """Guards against a zone that relies on a dead VM, listed by others, to watch."""
    hosts = [f"10.0.1.{number}" for number in range(20)]
    before = others.rank()
    others.add_members(5, [peers.Member(host, "z1") for host in hosts])
    for host in hosts:
        others.record_request(host)
    assert others.rank() == before


def test_live_vms_of_a_large_fleet_do_not_expire() -> None:
    """Guards against expiry of live VMs when a cycle of requests takes too long."""
    registry = peers.Peers("10.0.0.1", "z1", random.Random(1))
    hosts = [f"10.1.{number // 250}.{number % 250}" for number in range(400)]
    for host in hosts:
        registry.record_contact(1, host, "z1", True)
    for step in range(1, 1201):
        now_ms = 250 * step
        for host in registry.next_hosts():
            registry.record_contact(now_ms, host, "z1", True)
        registry.expire(now_ms)
    assert len(registry) == 400


def test_reports_of_a_third_of_the_vms_are_extrapolated_to_all() -> None:
    """Guards against VMs of a large fleet that count only a third of all flows."""
    registry = reports.Reports()
    for number in range(20):
        registry.record(0, f"vm{number}", (reports.TargetReport(7, 3, 20, False),))
    registry.other_vms = 60
    registry.tick(10)
    assert registry.flows_on(7) == 180
    assert len(registry) == 20


def test_a_single_report_is_not_extrapolated() -> None:
    """Guards against a starting VM that multiplies one report by hundreds of VMs."""
    registry = reports.Reports()
    registry.record(0, "vm1", (reports.TargetReport(7, 3, 20, False),))
    registry.other_vms = 200
    registry.tick(10)
    assert registry.flows_on(7) == 3


def test_reports_of_all_vms_are_summed() -> None:
    registry = reports.Reports()
    registry.record(0, "a", (reports.TargetReport(7, 3, 20, False),))
    registry.record(0, "b", (reports.TargetReport(7, 4, 30, True),))
    registry.tick(10)
    assert registry.flows_on(7) == 7
    assert list(registry.answers_ms(7)) == [20, 30]
    assert registry.count_silent_reports(10, 7) == 1
    assert registry.count_silent_reports(reports.SILENCE_VALID_MS + 1, 7) == 0


def test_dead_vm_or_expired_report_does_not_count() -> None:
    """Guards against counting a killed VM's flows twice, as other VMs have them now."""
    registry = reports.Reports()
    registry.record(0, "a", (reports.TargetReport(7, 3, 20, False),))
    registry.remove("a")
    registry.tick(10)
    assert registry.flows_on(7) == 0
    registry.record(0, "b", (reports.TargetReport(7, 3, 20, False),))
    registry.tick(reports.RETENTION_MS + 1)
    assert registry.flows_on(7) == 0


_ENTRIES = strategies.lists(
    strategies.builds(
        reports.TargetReport,
        strategies.integers(1, 4),
        strategies.integers(0, 3),
        strategies.integers(0, 3),
        strategies.booleans(),
    ),
    max_size=4,
    unique_by=lambda entry: entry.cookie,
)


@hypothesis.given(
    strategies.lists(strategies.tuples(strategies.integers(1, 3), _ENTRIES))
)
def test_sums_equal_those_of_the_latest_reports(
    recorded: list[tuple[int, list[reports.TargetReport]]],
) -> None:
    """Guards against sums that drift as reports are replaced and dropped."""
    registry = reports.Reports()
    last: dict[int, list[reports.TargetReport]] = {}
    for vm, entries in recorded:
        registry.record(0, f"vm{vm}", tuple(entries))
        last[vm] = entries
    held = [entry for entries in last.values() for entry in entries]
    for cookie in range(1, 5):
        same = [entry for entry in held if entry.cookie == cookie]
        assert registry.flows_on(cookie) == sum(entry.flows for entry in same)
        times_ms = [entry.answer_ms for entry in same if entry.answer_ms]
        assert sorted(registry.answers_ms(cookie)) == sorted(times_ms)
        assert registry.count_silent_reports(0, cookie) == sum(
            entry.silent for entry in same
        )
    registry.tick(reports.RETENTION_MS + 1)
    assert all(registry.flows_on(cookie) == 0 for cookie in range(1, 5))
