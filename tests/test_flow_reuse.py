"""Detection of services whose flows carry a single request each."""

import pytest

from eelgrasswick.decisions import flow_reuse


@pytest.fixture
def reuse() -> flow_reuse.FlowReuse:
    """Return a table in which each flow of a service has had one request."""
    made = flow_reuse.FlowReuse()
    for _ in range(flow_reuse.MIN_REQUESTS):
        made.record("desk", 1)
    return made


def test_single_requests_are_found_after_enough_flows() -> None:
    """Guards against a decision by the first few flows."""
    table = flow_reuse.FlowReuse()
    for _ in range(flow_reuse.MIN_REQUESTS):
        assert not table.single_request("desk")
        table.record("desk", 1)
    assert table.single_request("desk")


def test_some_reused_flows_change_nothing(reuse: flow_reuse.FlowReuse) -> None:
    """Guards against one long flow that ends the reservations of its service."""
    reuse.record("desk", 2)
    assert reuse.single_request("desk")


def test_reused_flows_are_found(reuse: flow_reuse.FlowReuse) -> None:
    """Guards against a limit on idle flows after callers began to reuse theirs."""
    for number in range(2, 12):
        reuse.record("desk", number)
    assert not reuse.single_request("desk")


def test_flows_of_four_requests_are_no_single_requests() -> None:
    """Guards against reservations for flows that are idle most of the time."""
    table = flow_reuse.FlowReuse()
    for number in range(100):
        table.record("desk", number % 4 + 1)
        assert not table.single_request("desk")


def test_removed_services_are_deleted(reuse: flow_reuse.FlowReuse) -> None:
    """Guards against memory that grows with removed services."""
    reuse.retain({"shop"})
    assert not reuse.single_request("desk")
