"""Tests of the decisions about callers' packets."""

from eelgrasswick.cookie import (
    catalog,
    observations,
    outcomes,
    reports,
    steering,
    store_replica,
)
from eelgrasswick.decisions import overload
from eelgrasswick.platform import entries, segments
from tests import cookie_parts, steering_parts


def test_opening_packet_carries_the_cookie(vm_steering: steering.Steering) -> None:
    decision = steering_parts.steer(
        vm_steering, 0, cookie_parts.packet(cookie_parts.SYN)
    )
    assert decision.outcome is outcomes.Outcome.PLACED
    assert decision.target is not None
    assert decision.datagram is not None
    assert decision.datagram.startswith(decision.target.token)
    assert cookie_parts.cookie_of(decision.datagram) == decision.target.cookie
    assert decision.target.zone == "z1"


def test_any_vm_forwards_by_the_cookie(
    vm_steering: steering.Steering, target_catalog: catalog.Catalog
) -> None:
    """Guards against flows lost when the fabric's hash moves them to another VM."""
    target = steering_parts.opened(vm_steering)
    other = steering.Steering(
        "z2",
        segments.Codec(),
        target_catalog,
        observations.Observations("z2", target_catalog),
    )
    raw = cookie_parts.packet(cookie_parts.ACK, cookie=target.cookie, data=b"GET")
    decision = steering_parts.steer(other, 5, raw)
    assert decision.target == target
    assert decision.datagram == target.token + raw


def test_flow_stays_on_the_target_that_opened_it(
    vm_steering: steering.Steering,
) -> None:
    """Guards against a reset by a second server that answered the opening packet.

    The caller uses the cookie that it received last, whose server may not have the
    flow.
    """
    first = steering_parts.opened(vm_steering)
    ack = cookie_parts.packet(cookie_parts.ACK, cookie=first.cookie)
    steering_parts.steer(vm_steering, 210, ack)
    second = steering_parts.opened(vm_steering, 211, port=40_002)
    raw = cookie_parts.packet(cookie_parts.ACK, cookie=second.cookie, data=b"GET")
    assert steering_parts.steer(vm_steering, 220, raw).target == first


def test_duplicated_opening_packet_goes_to_one_target(
    vm_steering: steering.Steering, vm_observations: observations.Observations
) -> None:
    """Guards against a flow at two targets when the network duplicates a packet.

    Both targets would answer, and the caller's packets could carry the cookie of the
    target without the flow once another VM forwards them.
    """
    for number in range(20):
        first = steering_parts.opened(vm_steering, port=44_000 + number)
        assert steering_parts.opened(vm_steering, 1, port=44_000 + number) == first
        again = steering_parts.opened(
            vm_steering, 200, retransmissions=1, port=44_000 + number
        )
        assert again != first
        assert (
            steering_parts.opened(
                vm_steering, 201, retransmissions=1, port=44_000 + number
            )
            == again
        )
        vm_observations.record_answer(202, first)


def test_queued_retransmissions_go_to_one_target(
    vm_steering: steering.Steering,
) -> None:
    """Guards against a flow at three targets after a stall of the VM.

    The VM reads the opening packet and both retransmissions at once, which is no sign
    that the target is silent.
    """
    first = steering_parts.opened(vm_steering, 5000)
    assert steering_parts.opened(vm_steering, 5001, retransmissions=1) == first
    assert steering_parts.opened(vm_steering, 5002, retransmissions=2) == first


def test_wrong_cookie_of_an_open_flow_is_corrected(
    vm_steering: steering.Steering,
) -> None:
    """Guards against a wrong cookie that stays with the caller.

    Two servers answered the same opening packet, and the caller uses the wrong
    cookie. This VM has a record of the flow, but the next VM that carries it has none.
    The server returns the cookie that it receives, so the caller gets the right one.
    """
    first = steering_parts.opened(vm_steering)
    steering_parts.steer(
        vm_steering, 2, cookie_parts.packet(cookie_parts.ACK, cookie=first.cookie)
    )
    raw = cookie_parts.packet(cookie_parts.ACK, cookie=first.cookie ^ 1, data=b"GET")
    decision = steering_parts.steer(vm_steering, 220, raw)
    assert decision.target == first
    assert decision.datagram is not None
    assert cookie_parts.cookie_of(decision.datagram) == first.cookie


def test_unknown_route_is_reset(vm_steering: steering.Steering) -> None:
    raw = cookie_parts.packet(cookie_parts.SYN, port=9)
    decision = steering_parts.steer(vm_steering, 0, raw)
    assert decision.outcome is outcomes.Outcome.NO_ROUTE_RESET
    assert decision.address is None


def test_unknown_route_is_not_reset_by_an_old_catalog(
    vm_steering: steering.Steering,
) -> None:
    """Guards against resets for a route that was added while the store was away."""
    raw = cookie_parts.packet(cookie_parts.SYN, port=9)
    decision = steering_parts.steer(
        vm_steering, 0, raw, age_ms=steering.MAX_CATALOG_AGE_MS + 1
    )
    assert decision.datagram is None


def test_open_flow_on_a_route_not_received_yet_is_not_reset(
    vm_steering: steering.Steering,
) -> None:
    """Guards against resets of flows on a route that this VM has not received yet.

    The caller opened the flow through a VM with the route, and the fabric's hash
    moved the flow here.
    """
    raw = cookie_parts.packet(cookie_parts.ACK, cookie=5, data=b"GET", port=9)
    decision = steering_parts.steer(vm_steering, 0, raw)
    assert decision.outcome is outcomes.Outcome.NO_ROUTE
    assert decision.datagram is None


def test_packet_on_a_removed_route_is_not_forwarded(
    vm_steering: steering.Steering, target_catalog: catalog.Catalog
) -> None:
    target = steering_parts.opened(vm_steering)
    row = cookie_parts.config_row(9, 2, [("198.18.0.1", 80, "desk")])
    target_catalog.update(5, store_replica.Merge((row,), 0))
    raw = cookie_parts.packet(cookie_parts.ACK, cookie=target.cookie, data=b"GET")
    decision = steering_parts.steer(vm_steering, 6, raw)
    assert decision.target is None
    assert decision.outcome is outcomes.Outcome.NO_ROUTE_RESET
    assert decision.reset_reason is outcomes.ResetReason.ROUTE_DROPPED
    target_catalog.update(7, store_replica.Merge((cookie_parts.config_row(10, 3),), 0))
    assert steering_parts.steer(vm_steering, 8, raw).target == target


def test_service_without_targets_is_refused_at_once(
    vm_steering: steering.Steering, target_catalog: catalog.Catalog
) -> None:
    """Guards against callers that wait 1.4 s for a service without servers."""
    rows = [cookie_parts.gone_row(f"i-0{item}", 9) for item in "abc"]
    target_catalog.update(5, store_replica.Merge(tuple(rows), 0))
    decision = steering_parts.steer(
        vm_steering, 6, cookie_parts.packet(cookie_parts.SYN)
    )
    assert decision.outcome is outcomes.Outcome.NO_TARGET
    assert decision.datagram is not None


def test_no_flow_is_refused_before_servers_can_return() -> None:
    """Guards against refusals when VMs start together with the store.

    The servers' entries have expired and return within two seconds. Until then an
    unanswered caller retransmits its opening packet, but a refused caller gives up.
    """
    target_catalog = catalog.Catalog(entries.Reader())
    target_catalog.update(0, store_replica.Merge((cookie_parts.config_row(1),), 10**9))
    vm_steering = steering.Steering(
        "z1",
        segments.Codec(),
        target_catalog,
        observations.Observations("z1", target_catalog),
    )
    raw = cookie_parts.packet(cookie_parts.SYN)
    decision = steering_parts.steer(vm_steering, 100, raw)
    assert decision.outcome is outcomes.Outcome.NO_TARGET_YET
    assert decision.datagram is None
    for now_ms in range(0, catalog.LAPSED_ENTRY_GRACE_MS + 1, 500):
        target_catalog.tick(now_ms, confirmed_ms=now_ms)
    assert (
        steering_parts.steer(vm_steering, 2100, raw).outcome
        is outcomes.Outcome.NO_TARGET
    )


def test_unknown_cookie_is_dropped(vm_steering: steering.Steering) -> None:
    """Guards against resets of flows to a target that this VM has not received yet."""
    raw = cookie_parts.packet(cookie_parts.ACK, cookie=12345, data=b"GET")
    decision = steering_parts.steer(vm_steering, 0, raw)
    assert decision.outcome is outcomes.Outcome.UNKNOWN_COOKIE
    assert decision.datagram is None


def test_flows_of_other_vms_are_counted(
    vm_steering: steering.Steering,
    target_catalog: catalog.Catalog,
    vm_observations: observations.Observations,
) -> None:
    """Guards against new flows to a target that another VM of the zone has filled."""
    first, second, elsewhere = target_catalog.accepting("desk")
    filled = [reports.TargetReport(t.cookie, 30, 0, False) for t in (first, elsewhere)]
    vm_observations.reports.record(0, "10.0.0.8", tuple(filled))
    vm_observations.tick(0)
    targets = []
    for port in range(41_000, 41_020):
        target = steering_parts.opened(vm_steering, 10, port=port)
        raw = cookie_parts.packet(cookie_parts.ACK, port, cookie=target.cookie)
        steering_parts.steer(vm_steering, 14, raw)
        targets.append(target)
    assert targets.count(second) > 15


def test_flows_spread_evenly(
    vm_steering: steering.Steering,
    target_catalog: catalog.Catalog,
    vm_observations: observations.Observations,
) -> None:
    for number in range(60):
        steering_parts.opened(vm_steering, port=41_000 + number)
    own = [t for t in target_catalog.targets if t.zone == "z1"]
    counts = [vm_observations.tracker.flows_on(t.cookie) for t in own]
    assert max(counts) - min(counts) <= 4


def _overload(vm_observations: observations.Observations, zone: str) -> int:
    """Record late responses of a zone; return the time of the last one in ms."""
    pool = overload.Pool("desk", zone)
    for number in range(400):
        ratio = 0.2 if number < 20 else 1.9
        vm_observations.load_shedder.answered(10 * number, pool, ratio, False, 1)
    return 10 * number


def test_flow_refused_by_its_zone_goes_to_a_zone_with_room(
    vm_steering: steering.Steering, vm_observations: observations.Observations
) -> None:
    """Guards against refusals in an overloaded zone while another zone has room."""
    now_ms = _overload(vm_observations, "z1")
    assert steering_parts.opened(vm_steering, now_ms).zone == "z2"


def test_flow_is_refused_at_once_when_all_zones_are_overloaded(
    vm_steering: steering.Steering, vm_observations: observations.Observations
) -> None:
    """Guards against callers that wait for a late response when all are overloaded."""
    _overload(vm_observations, "z1")
    now_ms = _overload(vm_observations, "z2")
    decision = steering_parts.steer(
        vm_steering, now_ms, cookie_parts.packet(cookie_parts.SYN)
    )
    assert decision.outcome is outcomes.Outcome.OVERLOADED
    assert decision.address is None
    assert decision.datagram is not None
    assert vm_observations.tracker.waiting_flows == {}


def test_retransmitted_opening_packet_is_not_refused(
    vm_steering: steering.Steering, vm_observations: observations.Observations
) -> None:
    """Guards against the reset of a flow that another VM has already placed.

    The target's answer to the first opening packet may be on the way to the caller.
    """
    _overload(vm_observations, "z1")
    now_ms = _overload(vm_observations, "z2")
    raw = cookie_parts.packet(cookie_parts.SYN, acknowledged=1)
    decision = steering_parts.steer(vm_steering, now_ms, raw)
    assert decision.outcome is outcomes.Outcome.PLACED


def _drop_route(target_catalog: catalog.Catalog, now_ms: int) -> None:
    row = cookie_parts.config_row(9, 2, [("198.18.0.1", 80, "desk")])
    target_catalog.update(now_ms, store_replica.Merge((row,), 0))


def test_open_flow_on_a_route_that_was_added_again_is_not_reset(
    vm_steering: steering.Steering, target_catalog: catalog.Catalog
) -> None:
    """Guards against resets by a VM that has a route's removal but not its return."""
    target = target_catalog.accepting("desk")[0]
    _drop_route(target_catalog, 0)
    raw = cookie_parts.packet(cookie_parts.ACK, cookie=target.cookie, data=b"GET")
    for now_ms, age_ms in ((1000, 900), (1200, 1100), (1600, 700)):
        decision = steering_parts.steer(vm_steering, now_ms, raw, age_ms=age_ms)
        assert decision.datagram is None
    row = cookie_parts.config_row(10, 3)
    target_catalog.update(1700, store_replica.Merge((row,), 0))
    assert steering_parts.steer(vm_steering, 2400, raw).target == target


def test_open_flow_on_a_dropped_route_is_reset_by_later_rows(
    vm_steering: steering.Steering, target_catalog: catalog.Catalog
) -> None:
    """Guards against callers of a dropped route that wait for their deadlines."""
    target = target_catalog.accepting("desk")[0]
    _drop_route(target_catalog, 0)
    raw = cookie_parts.packet(cookie_parts.ACK, cookie=target.cookie, data=b"GET")
    steering_parts.steer(vm_steering, 1000, raw, age_ms=900)
    decision = steering_parts.steer(vm_steering, 1400, raw, age_ms=300)
    assert decision.outcome is outcomes.Outcome.NO_ROUTE_RESET
    assert decision.reset_reason is outcomes.ResetReason.ROUTE_DROPPED
