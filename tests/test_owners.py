"""Tests of the detection of addresses that another server took over."""

import pytest

from eelgrasswick.cookie import model, owners
from eelgrasswick.platform import entries
from tests import cookie_parts

ADDRESS = "10.128.0.10:8080"


@pytest.fixture
def registry() -> owners.Owners:
    return owners.Owners()


def _target(name: str, born: int, address: str = ADDRESS) -> model.Target:
    row = cookie_parts.target_row(name, 1, born=born, address=address)
    return entries.Reader().target(row)


def test_server_that_takes_over_an_address_ends_the_former(
    registry: owners.Owners,
) -> None:
    """Guards against callers that wait for a server whose address was taken over.

    The new server accepts connections, so a probe of the former one succeeds.
    """
    former, latter = _target("i-0a", 1000), _target("i-0b", 9000)
    assert registry.record_entry(former, 5) == []
    assert registry.record_entry(latter, 9) == [former]
    assert registry.has_ended(former.cookie)
    assert not registry.has_ended(latter.cookie)


def test_order_in_which_entries_are_read_does_not_matter(
    registry: owners.Owners,
) -> None:
    """Guards against a starting VM that reads the later entry first."""
    former, latter = _target("i-0a", 1000), _target("i-0b", 9000)
    assert registry.record_entry(latter, 9) == []
    assert registry.record_entry(former, 5) == [former]
    assert not registry.has_ended(latter.cookie)


def test_restarted_server_ends_no_target(registry: owners.Owners) -> None:
    """Guards against resets of flows on a server that restarted under its name.

    While the store is away, VMs with the entry of the former start place flows on the
    server, and it accepts them. They are open when the new entry arrives.
    """
    former, latter = _target("i-0a", 1000), _target("i-0a", 9000)
    registry.record_entry(former, 5)
    assert registry.record_entry(latter, 9) == []
    assert not registry.has_ended(former.cookie)


def test_entry_that_was_written_late_ends_no_target(
    registry: owners.Owners,
) -> None:
    """Guards against a dead server that appears to replace a live one.

    The store executes the last heartbeat of the crashed server seconds after it was
    sent, so the revisions alone have the wrong order.
    """
    former, latter = _target("i-0a", 1000), _target("i-0b", 9000)
    registry.record_entry(latter, 9)
    assert registry.record_entry(former, 11) == []
    assert not registry.has_ended(latter.cookie)


def test_wrong_clock_of_a_server_ends_no_target(registry: owners.Owners) -> None:
    """Guards against a new server that looks like the former by its late clock."""
    former, latter = _target("i-0a", 9000), _target("i-0b", 4000)
    registry.record_entry(former, 5)
    assert registry.record_entry(latter, 9) == []
    assert not registry.has_ended(former.cookie)


def test_changed_entry_ends_no_target(registry: owners.Owners) -> None:
    target = _target("i-0a", 1000)
    registry.record_entry(target, 5)
    assert registry.record_entry(target._replace(draining=True), 9) == []


def test_each_ended_target_is_returned_once(registry: owners.Owners) -> None:
    former, latter = _target("i-0a", 1000), _target("i-0b", 9000)
    registry.record_entry(former, 5)
    registry.record_entry(latter, 9)
    assert registry.record_entry(latter._replace(draining=True), 12) == []


def test_forgotten_target_leaves_no_record(
    registry: owners.Owners,
) -> None:
    former, latter = _target("i-0a", 1000), _target("i-0b", 9000)
    registry.record_entry(former, 5)
    registry.record_entry(latter, 9)
    registry.remove(former)
    registry.remove(latter)
    assert not registry.has_ended(former.cookie)
    assert registry.record_entry(former, 5) == []
