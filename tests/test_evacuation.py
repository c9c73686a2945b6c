"""Tests of evacuated zones: the catalog of a VM, and its decisions about packets."""

import pytest

from eelgrasswick.cookie import (
    catalog,
    model,
    observations,
    outcomes,
    source,
    steering,
    store_replica,
)
from eelgrasswick.platform import entries, segments
from tests import cookie_parts, steering_parts

KEY = "op/evacuate/z1"


def _order(revision: int, value: bytes | None = b"{}", key: str = KEY) -> source.Row:
    return source.Row(key, value, revision)


def _update(
    target_catalog: catalog.Catalog, *rows: source.Row, gap_ms: int = 0
) -> list[catalog.LogEvent]:
    return target_catalog.update(10, store_replica.Merge(rows, gap_ms))


def _names(target_catalog: catalog.Catalog) -> set[str]:
    return {item.name for item in target_catalog.accepting("desk")}


def test_evacuated_zone_takes_no_new_flow(
    vm_steering: steering.Steering, target_catalog: catalog.Catalog
) -> None:
    """Guards against new flows on targets of a zone that operators have evacuated."""
    _update(target_catalog, _order(9))
    for port in range(41_000, 41_030):
        assert steering_parts.opened(vm_steering, 20, port=port).zone == "z2"


def test_open_flow_in_an_evacuated_zone_is_forwarded(
    vm_steering: steering.Steering, target_catalog: catalog.Catalog
) -> None:
    """Guards against an evacuation that breaks the open flows of its zone."""
    target = steering_parts.opened(vm_steering)
    ack = cookie_parts.packet(cookie_parts.ACK, cookie=target.cookie)
    steering_parts.steer(vm_steering, 5, ack)
    _update(target_catalog, _order(9))
    raw = cookie_parts.packet(cookie_parts.ACK, cookie=target.cookie, data=b"GET")
    assert steering_parts.steer(vm_steering, 20, raw).target == target
    # A VM without a record of the flow forwards it, too.
    other = steering.Steering(
        "z2",
        segments.Codec(),
        target_catalog,
        observations.Observations("z2", target_catalog),
    )
    assert steering_parts.steer(other, 20, raw).target == target


def test_retransmitted_opening_packet_leaves_an_evacuated_zone(
    vm_steering: steering.Steering, target_catalog: catalog.Catalog
) -> None:
    """Guards against a flow that opens late in a zone evacuated in the meantime."""
    assert steering_parts.opened(vm_steering).zone == "z1"
    _update(target_catalog, _order(9))
    assert steering_parts.opened(vm_steering, 500).zone == "z2"
    assert steering_parts.opened(vm_steering, 501, retransmissions=1).zone == "z2"


def test_opening_packet_of_a_flow_that_is_open_stays(
    vm_steering: steering.Steering, target_catalog: catalog.Catalog
) -> None:
    """Guards against a flow that opens twice when its zone is evacuated."""
    target = steering_parts.opened(vm_steering)
    ack = cookie_parts.packet(cookie_parts.ACK, cookie=target.cookie)
    steering_parts.steer(vm_steering, 5, ack)
    _update(target_catalog, _order(9))
    assert steering_parts.opened(vm_steering, 500) == target


def test_silence_of_all_other_targets_does_not_override_an_evacuation(
    vm_steering: steering.Steering,
    target_catalog: catalog.Catalog,
    vm_observations: observations.Observations,
) -> None:
    """Guards against a fallback to silent targets that includes an evacuated zone."""
    _update(target_catalog, _order(9))
    elsewhere = next(t for t in target_catalog.targets if t.zone == "z2")
    for number in range(4):
        vm_observations.record_placement(20 * number, elsewhere)
        vm_observations.record_unanswered(20 * number + 5, elsewhere)
    for port in range(41_000, 41_030):
        assert steering_parts.opened(vm_steering, 100, port=port) == elsewhere


def test_service_whose_zones_are_all_evacuated_is_refused_at_once(
    vm_steering: steering.Steering, target_catalog: catalog.Catalog
) -> None:
    """Guards against callers that wait while all zones are evacuated."""
    _update(target_catalog, _order(9), _order(10, key="op/evacuate/z2"))
    raw = cookie_parts.packet(cookie_parts.SYN)
    decision = steering_parts.steer(vm_steering, 20, raw)
    assert decision.outcome is outcomes.Outcome.EVACUATED
    assert decision.datagram is not None
    assert decision.address is None


def test_flow_that_left_its_zone_has_a_reason(
    vm_steering: steering.Steering, target_catalog: catalog.Catalog
) -> None:
    """Guards against a log without the reason why a flow left its zone."""
    raw = cookie_parts.packet(cookie_parts.SYN)
    assert steering_parts.steer(vm_steering, 20, raw).withheld == ()
    _update(target_catalog, _order(9))
    raw = cookie_parts.packet(cookie_parts.SYN, 40_002)
    decision = steering_parts.steer(vm_steering, 20, raw)
    assert decision.withheld == (outcomes.Reason.EVACUATION,)


def test_zone_gets_flows_again_after_its_evacuation(
    target_catalog: catalog.Catalog,
) -> None:
    _update(target_catalog, _order(9))
    assert _names(target_catalog) == {"i-0c"}
    notes = _update(target_catalog, _order(12, None))
    assert notes[0].event == "evacuation_over"
    assert notes[0].fields["zone"] == "z1"
    assert _names(target_catalog) == {"i-0a", "i-0b", "i-0c"}


def test_repeated_order_ends_with_the_deletion_of_its_row(
    target_catalog: catalog.Catalog,
) -> None:
    """Guards against an evacuation that stays in force after its row was deleted."""
    _update(target_catalog, _order(9))
    _update(target_catalog, _order(10))
    _update(target_catalog, _order(11, None))
    assert len(_names(target_catalog)) == 3
    # The order is deleted so soon that the watch returns both changes together, the
    # newer one last.
    _update(target_catalog, _order(12), _order(13, None))
    assert len(_names(target_catalog)) == 3


@pytest.mark.parametrize("value", [b"[]", b"\xff", b"", b"1"])
def test_order_with_a_malformed_value_is_in_force(
    target_catalog: catalog.Catalog, value: bytes
) -> None:
    """Guards against an evacuation that is ignored because its value is malformed."""
    (note,) = _update(target_catalog, _order(9, value))
    assert note.event == "evacuation_in_force"
    assert note.fields["malformed"]
    assert _names(target_catalog) == {"i-0c"}


@pytest.mark.parametrize("key", ["op/evacuate/nowhere", "op/evacuate/"])
def test_zone_without_targets_changes_nothing(
    target_catalog: catalog.Catalog, key: str
) -> None:
    """Guards against an order for an unknown zone that evacuates other zones."""
    (note,) = _update(target_catalog, _order(9, key=key))
    assert note.event in ("evacuation_in_force", "entry_refused")
    assert note.fields.get("targets", 0) == 0
    assert len(_names(target_catalog)) == 3
    _update(target_catalog, _order(10, None, key=key))
    assert len(_names(target_catalog)) == 3


def test_vm_that_starts_during_an_evacuation_applies_it() -> None:
    """Guards against a starting VM that ignores the evacuation among all rows."""
    target_catalog = cookie_parts.catalog_from(
        _order(1),
        cookie_parts.target_row("i-0a", 2),
        cookie_parts.target_row("i-0b", 3, zone="z2"),
        cookie_parts.config_row(4),
    )
    assert _names(target_catalog) == {"i-0b"}


def test_listing_without_the_order_ends_it() -> None:
    """Guards against an evacuation that stays in force on VMs that missed its end.

    The store has compacted the history in which the row was deleted.
    """
    rows = (cookie_parts.config_row(1), cookie_parts.target_row("i-0a", 2))
    replica = store_replica.StoreReplica()
    target_catalog = catalog.Catalog(entries.Reader())
    target_catalog.update(0, replica.merge(0, cookie_parts.listing(*rows, _order(3))))
    assert _names(target_catalog) == set()
    target_catalog.update(5000, replica.merge(5000, source.Changes(rows, 8, 0)))
    assert _names(target_catalog) == {"i-0a"}


def test_order_received_from_another_vm_is_disseminated() -> None:
    """Guards against VMs without the store that receive only updates of targets."""
    replica = store_replica.StoreReplica()
    rows = (cookie_parts.config_row(1), cookie_parts.target_row("i-0a", 2))
    replica.merge(0, cookie_parts.listing(*rows))
    replica.merge(10, source.Changes((_order(3),), 3, 2))
    assert replica.changes_since(2).rows == (_order(3),)
    replica.merge(20, source.Changes((_order(4, None),), 4, 3))
    assert replica.changes_since(3).rows == (_order(4, None),)


def test_target_that_starts_in_an_evacuated_zone_gets_no_flow(
    target_catalog: catalog.Catalog,
) -> None:
    """Guards against flows to servers that were replaced during an evacuation."""
    _update(target_catalog, _order(9))
    _update(target_catalog, cookie_parts.target_row("i-0d", 11))
    assert _names(target_catalog) == {"i-0c"}


def test_entries_that_expire_during_an_evacuation_stay_excluded(
    target_catalog: catalog.Catalog,
) -> None:
    """Guards against entries that an outage keeps usable in an evacuated zone."""
    _update(target_catalog, _order(9))
    _update(target_catalog, cookie_parts.gone_row("i-0a", 10), gap_ms=5000)
    assert _names(target_catalog) == {"i-0c"}


def test_cookie_of_a_withheld_target_is_still_found(
    target_catalog: catalog.Catalog,
) -> None:
    _update(target_catalog, _order(9))
    withheld: list[model.Target] = target_catalog.withheld("desk")
    assert {item.name for item in withheld} == {"i-0a", "i-0b"}
    assert all(target_catalog.by_cookie(item.cookie) == item for item in withheld)
