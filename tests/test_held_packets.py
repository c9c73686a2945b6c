"""Resolutions of held flows: what is sent, logged and counted."""

import pytest

from eelgrasswick.cookie import (
    catalog,
    held_packets,
    holding,
    model,
    observations,
    outcomes,
    source,
    stall,
    steering,
    store_replica,
)
from eelgrasswick.decisions import overload
from eelgrasswick.platform import segments
from eelgrasswick.reservations import held_flow
from tests import cookie_parts, reserving_fleet, reserving_parts, reserving_vm

RAW = cookie_parts.packet(cookie_parts.SYN)
FRESH_MS = 100


class _Holder(holding.Holder):
    """A holder that holds or declines every flow."""

    def __init__(self, accepts: bool) -> None:
        self.accepts = accepts
        self.requests: list[holding.HoldRequest] = []

    def holds(self, flow: model.FlowId) -> bool:
        return self.accepts and any(item.flow == flow for item in self.requests)

    def wants(self, now_ms: int, route: model.Route, service: str) -> bool:
        return True

    def hold(self, now_ms: int, request: holding.HoldRequest) -> bool:
        self.requests.append(request)
        return self.accepts


def _steer(
    vm_steering: steering.Steering, copy: int = 0, now_ms: int = 0
) -> outcomes.Decision:
    raw = cookie_parts.packet(cookie_parts.SYN, acknowledged=copy)
    segment = segments.Codec().decode(raw)
    return vm_steering.steer(now_ms, FRESH_MS, segment, raw)


def _target(target_catalog: catalog.Catalog, name: str) -> model.Target:
    return next(item for item in target_catalog.targets if item.name == name)


def test_a_held_flow_is_not_sent_and_has_no_record(
    vm_steering: steering.Steering, vm_observations: observations.Observations
) -> None:
    """Guards against a held flow that counts at a target."""
    vm_steering.holder = holder = _Holder(True)
    decision = _steer(vm_steering)
    assert decision == outcomes.Decision(outcomes.Outcome.HELD, None, None, None)
    assert len(vm_observations.tracker) == 0
    (request,) = holder.requests
    assert {item.name for item in request.targets} == {"i-0a", "i-0b", "i-0c"}
    assert request.service == "desk"
    assert _steer(vm_steering).outcome is outcomes.Outcome.HELD
    assert len(holder.requests) == 1


def test_a_flow_that_can_not_be_held_is_placed(
    vm_steering: steering.Steering,
) -> None:
    """Guards against flows that are lost when the holder is full."""
    vm_steering.holder = _Holder(False)
    assert _steer(vm_steering).outcome is outcomes.Outcome.PLACED


def test_a_retransmission_is_not_held(vm_steering: steering.Steering) -> None:
    """Guards against a refusal after another VM has opened the flow."""
    vm_steering.holder = holder = _Holder(True)
    assert _steer(vm_steering, copy=1).outcome is outcomes.Outcome.PLACED
    assert not holder.requests


def test_a_reserved_flow_goes_to_its_target(
    vm_steering: steering.Steering,
    vm_observations: observations.Observations,
    target_catalog: catalog.Catalog,
) -> None:
    """Guards against a grant that is spent at another target."""
    target = _target(target_catalog, "i-0c")
    decision = vm_steering.place_reserved(0, FRESH_MS, RAW, target.cookie)
    assert decision.outcome is outcomes.Outcome.PLACED
    assert decision.address == target.address
    assert decision.datagram is not None
    assert cookie_parts.cookie_of(decision.datagram) == target.cookie
    assert vm_observations.tracker.in_flight(0) == {target.cookie: 1}


@pytest.mark.parametrize(
    "row",
    [
        cookie_parts.gone_row("i-0c", 9),
        cookie_parts.target_row("i-0c", 9, zone="z2", state="draining", sequence=5),
        cookie_parts.target_row("i-0c", 9, zone="z2", service="shop", sequence=5),
        cookie_parts.target_row("i-0c", 9, zone="z2", born=2000, sequence=5),
        source.Row("op/evacuate/z2", b"{}", 9),
    ],
)
def test_a_grant_at_a_changed_target_is_placed_by_observations(
    vm_steering: steering.Steering, target_catalog: catalog.Catalog, row: source.Row
) -> None:
    """Guards against flows on targets that take none."""
    target = _target(target_catalog, "i-0c")
    target_catalog.update(5, store_replica.Merge((row,), 0))
    decision = vm_steering.place_reserved(10, FRESH_MS, RAW, target.cookie)
    assert decision.outcome is outcomes.Outcome.PLACED
    assert decision.target is not None
    assert decision.target.cookie != target.cookie


def test_a_held_flow_without_route_is_reset(
    vm_steering: steering.Steering, target_catalog: catalog.Catalog
) -> None:
    """Guards against flows that are placed after their route was dropped."""
    row = cookie_parts.config_row(9, 2, [("198.18.0.9", 443, "desk")])
    target_catalog.update(5, store_replica.Merge((row,), 0))
    cookie = _target(target_catalog, "i-0a").cookie
    for decision in (
        vm_steering.place_held(10, FRESH_MS, RAW),
        vm_steering.place_reserved(10, FRESH_MS, RAW, cookie),
    ):
        assert decision.outcome is outcomes.Outcome.NO_ROUTE_RESET


def test_a_held_flow_without_targets_is_reset(
    vm_steering: steering.Steering, target_catalog: catalog.Catalog
) -> None:
    """Guards against a silent end of a flow whose targets are gone."""
    rows = tuple(cookie_parts.gone_row(f"i-0{name}", 9) for name in "abc")
    target_catalog.update(5, store_replica.Merge(rows, 0))
    decision = vm_steering.place_held(10, FRESH_MS, RAW)
    assert decision.outcome is outcomes.Outcome.NO_TARGET
    assert decision.datagram is not None


def test_a_held_flow_is_not_held_again(vm_steering: steering.Steering) -> None:
    """Guards against a flow that is held forever."""
    vm_steering.holder = holder = _Holder(True)
    assert vm_steering.place_held(0, FRESH_MS, RAW).outcome is outcomes.Outcome.PLACED
    assert not holder.requests


def test_a_refusal_is_a_reset_to_the_caller(
    vm_steering: steering.Steering, vm_observations: observations.Observations
) -> None:
    """Guards against a refusal that the caller does not recognize."""
    decision = vm_steering.refuse_held(0, RAW)
    reset = segments.Codec().reset(cookie_parts.flow(), 0)
    outcome = outcomes.Outcome.NO_CAPACITY
    assert decision == outcomes.Decision(outcome, reset, None, None)
    assert len(vm_observations.tracker) == 0


def test_levels_count_each_flow_once(
    vm_steering: steering.Steering, vm_observations: observations.Observations
) -> None:
    """Guards against levels that flows count for twice while the holder is full."""
    levels: list[int] = []

    class _Levels(overload.PriorityLevels):
        def opened(self, now_ms: int, service: str, priority: int) -> None:
            levels.append(priority)

    vm_observations.levels = _Levels()
    vm_steering.holder = _Holder(False)
    _steer(vm_steering)
    assert levels == [2]


@pytest.mark.parametrize(
    ("kind", "reason", "outcome"),
    [
        (held_flow.Kind.GRANTED, held_flow.Reason.NONE, "placed"),
        (held_flow.Kind.PLACE_LOCALLY, held_flow.Reason.NO_REPLY, "placed"),
        (held_flow.Kind.REFUSED, held_flow.Reason.FULL, "no_capacity_reset"),
        (held_flow.Kind.DROP, held_flow.Reason.PAUSED, "held_too_long"),
    ],
)
def test_each_resolution_is_carried_out_counted_and_logged(
    make_fleet: reserving_fleet.Make,
    kind: held_flow.Kind,
    reason: held_flow.Reason,
    outcome: str,
) -> None:
    """Guards against held flows that end without a trace."""
    fleet: reserving_parts.Fleet = make_fleet()
    vm: reserving_vm.Vm = next(iter(fleet.vms.values()))
    sent: list[model.Address] = []
    vm.carrier.send = lambda raw, address: sent.append(address)
    raw = reserving_vm.opening(30_000)
    target = vm.catalog.accepting("desk")[0]
    flow = segments.Codec().decode(raw).flow
    resolution = held_flow.Resolution(kind, flow, raw, target.cookie, 12, 2, 34, reason)
    held_packets.HeldPackets(vm.carrier).resolve(fleet.now_ms, resolution)
    assert vm.count(f"packets_{outcome}") == 1
    (fields,) = vm.events(f"flow_{outcome}")
    assert fields["held_ms"] == 12
    assert fields["asked"] == 2
    assert fields["expected_wait_ms"] == 34
    assert fields["resolution"] == kind.value
    assert fields["held_reason"] == reason.value
    assert len(sent) == (kind is not held_flow.Kind.DROP)
    if kind is held_flow.Kind.REFUSED:
        assert sent == [vm.carrier.caller_address(flow)]
    if kind is held_flow.Kind.GRANTED:
        assert sent == [target.address]


@pytest.mark.parametrize(
    ("queued_ms", "waited_ms", "resets"),
    [(0, 130, 1), (100, 45, 1), (160, 45, 0), (100, 100, 0)],
)
def test_a_flow_that_was_queued_in_the_socket_too_long_is_not_reset(
    make_fleet: reserving_fleet.Make, queued_ms: int, waited_ms: int, resets: int
) -> None:
    """Guards against a reset of a flow that the caller's retransmission has opened.

    A VM that starts or was paused reads the original packet when the retransmission
    has been placed by another VM.
    """
    vm = next(iter(make_fleet().vms.values()))
    vm.carrier.stalls = stall.Stalls(1000)
    vm.carrier.stalls.record_activity(1000 + queued_ms)
    sent: list[model.Address] = []
    vm.carrier.send = lambda raw, address: sent.append(address)
    raw = reserving_vm.opening(30_000)
    flow = segments.Codec().decode(raw).flow
    resolution = held_flow.Resolution(
        held_flow.Kind.REFUSED, flow, raw, 0, waited_ms, 1, 0, held_flow.Reason.FULL
    )
    now_ms = 1000 + queued_ms + 10 + waited_ms
    held_packets.HeldPackets(vm.carrier).resolve(now_ms, resolution)
    assert len(sent) == resets


@pytest.mark.parametrize("kind", list(held_flow.Kind))
def test_a_flow_that_another_vm_has_opened_is_dropped(
    make_fleet: reserving_fleet.Make, kind: held_flow.Kind
) -> None:
    """Guards against a flow that opens at a second target or is reset."""
    fleet = make_fleet()
    vm = next(iter(fleet.vms.values()))
    target, other = vm.catalog.accepting("desk")
    raw = cookie_parts.packet(cookie_parts.ACK, cookie=other.cookie, data=b"x")
    vm.carrier.handle_packet(raw, "100.64.0.7")
    sent: list[model.Address] = []
    vm.carrier.send = lambda raw, address: sent.append(address)
    resolution = held_flow.Resolution(
        kind, cookie_parts.flow(), RAW, target.cookie, 12, 1, 0, held_flow.Reason.NONE
    )
    held_packets.HeldPackets(vm.carrier).resolve(fleet.now_ms, resolution)
    assert not sent
    assert vm.count("packets_held_too_long") == 1
