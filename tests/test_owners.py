"""Whose address another server has now."""

import pytest

from eelgrasswick.cookie import model, owners
from eelgrasswick.platform import entries
from tests import cookie_parts

ADDRESS = "10.128.0.10:8080"


@pytest.fixture
def known() -> owners.Owners:
    return owners.Owners()


def _target(name: str, born: int, address: str = ADDRESS) -> model.Target:
    row = cookie_parts.target_row(name, 1, born=born, address=address)
    return entries.Reader().target(row)


def test_server_that_took_an_address_ends_the_former(
    known: owners.Owners,
) -> None:
    """A server crashes, and two seconds later another has its address.

    The new one accepts connections, so that a probe of the old one succeeds; its
    callers would wait for answers that never come.
    """
    former, latter = _target("i-0a", 1000), _target("i-0b", 9000)
    assert known.record_entry(former, 5) == []
    assert known.record_entry(latter, 9) == [former]
    assert known.ended(former.cookie)
    assert not known.ended(latter.cookie)


def test_order_in_which_entries_are_read_does_not_matter(
    known: owners.Owners,
) -> None:
    """A VM starts and reads both entries at once, the later one first."""
    former, latter = _target("i-0a", 1000), _target("i-0b", 9000)
    assert known.record_entry(latter, 9) == []
    assert known.record_entry(former, 5) == [former]
    assert not known.ended(latter.cookie)


def test_server_that_started_again_ends_nobody(known: owners.Owners) -> None:
    """A server crashes and is back within a second, under its name.

    The store is away, and VMs that know the former start only go on placing flows
    on it. They are open at the new one; reset when its entry is heard of, they
    would be broken.
    """
    former, latter = _target("i-0a", 1000), _target("i-0a", 9000)
    known.record_entry(former, 5)
    assert known.record_entry(latter, 9) == []
    assert not known.ended(former.cookie)


def test_entry_that_was_written_late_ends_nobody(
    known: owners.Owners,
) -> None:
    """The last heartbeat of a crashed server is done seconds after it was sent.

    By the store's revisions alone the dead server would follow the live one.
    """
    former, latter = _target("i-0a", 1000), _target("i-0b", 9000)
    known.record_entry(latter, 9)
    assert known.record_entry(former, 11) == []
    assert not known.ended(latter.cookie)


def test_wrong_clock_of_a_server_ends_nobody(known: owners.Owners) -> None:
    """A server's clock is behind when it starts at an address that was used."""
    former, latter = _target("i-0a", 9000), _target("i-0b", 4000)
    known.record_entry(former, 5)
    assert known.record_entry(latter, 9) == []
    assert not known.ended(former.cookie)


def test_entry_that_changes_ends_nobody(known: owners.Owners) -> None:
    target = _target("i-0a", 1000)
    known.record_entry(target, 5)
    assert known.record_entry(target._replace(draining=True), 9) == []


def test_each_end_is_told_once(known: owners.Owners) -> None:
    former, latter = _target("i-0a", 1000), _target("i-0b", 9000)
    known.record_entry(former, 5)
    known.record_entry(latter, 9)
    assert known.record_entry(latter._replace(draining=True), 12) == []


def test_target_that_is_forgotten_leaves_nothing(
    known: owners.Owners,
) -> None:
    former, latter = _target("i-0a", 1000), _target("i-0b", 9000)
    known.record_entry(former, 5)
    known.record_entry(latter, 9)
    known.forget(former)
    known.forget(latter)
    assert not known.ended(former.cookie)
    assert known.record_entry(former, 5) == []
