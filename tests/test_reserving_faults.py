"""VMs that reserve capacity, with faults and changes of the configuration."""

import typing

import pytest

from eelgrasswick import errors
from eelgrasswick.cookie import reserving, source
from eelgrasswick.reservations import client, codec, messages
from tests import cookie_parts, reserving_fleet, reserving_parts, reserving_vm


def test_a_dead_scheduler_delays_flows_for_40_ms_and_is_replaced(
    pressed_zone: reserving_parts.Fleet,
) -> None:
    """Guards against flows that are lost with the scheduler of their group."""
    dead = reserving_fleet.scheduler(pressed_zone)
    vm = reserving_fleet.other(pressed_zone)
    pressed_zone.kill(dead)
    flow = pressed_zone.open(vm, 30_000)
    pressed_zone.run(client.REPLY_TIMEOUT_MS - 1)
    assert not pressed_zone.opened.get(flow)
    pressed_zone.run(7)
    assert len(pressed_zone.opened[flow]) == 1
    # The dead scheduler is not asked again at once.
    soon = pressed_zone.open(vm, 30_001)
    assert len(pressed_zone.opened[soon]) == 1
    pressed_zone.lose(dead.host)
    pressed_zone.run(250)
    pressed_zone.datagrams.clear()
    later = pressed_zone.open(vm, 30_002)
    pressed_zone.run(10)
    assert len(pressed_zone.opened[later]) == 1
    assert vm.count("reservations_granted") == 1


def test_a_frozen_scheduler_forgets_its_queue(
    pressed_zone: reserving_parts.Fleet,
) -> None:
    """Guards against late grants that count although no flow uses them."""
    frozen = reserving_fleet.scheduler(pressed_zone)
    vm = reserving_fleet.other(pressed_zone)
    reserving_fleet.fill(pressed_zone, vm)
    assert frozen.reservations.gauges(pressed_zone.now_ms)["scheduled_waiting"]
    pressed_zone.freeze(frozen, 600)
    pressed_zone.run(400)
    assert not reserving_fleet.held(vm)
    pressed_zone.run(210)
    gauges = frozen.reservations.gauges(pressed_zone.now_ms)
    assert not gauges["scheduled_waiting"]
    pressed_zone.press()
    pressed_zone.run(1200)
    assert not frozen.reservations.gauges(pressed_zone.now_ms)["scheduled_in_flight"]
    flow = pressed_zone.open(vm, 31_000)
    pressed_zone.run(10)
    assert len(pressed_zone.opened[flow]) == 1


def test_all_flows_of_a_stopped_vm_are_placed_at_once(
    pressed_zone: reserving_parts.Fleet,
) -> None:
    """Guards against held flows that end with their VM."""
    vm = reserving_fleet.other(pressed_zone)
    reserving_fleet.fill(pressed_zone, vm)
    waiting = reserving_fleet.held(vm)
    assert waiting
    vm.reservations.stop(pressed_zone.now_ms)
    assert not reserving_fleet.held(vm)
    assert vm.count("reservations_place_locally") == waiting
    pressed_zone.open(vm, 31_000)
    assert not reserving_fleet.held(vm)
    # The VM reports its requests until the end.
    pressed_zone.datagrams.clear()
    pressed_zone.run(100)
    assert any(item.sender == vm.host for item in pressed_zone.of(messages.UsageUpdate))


def test_a_vm_that_wakes_drops_packets_that_are_past_their_time(
    pressed_zone: reserving_parts.Fleet,
) -> None:
    """Guards against a flow that opens again after another VM has opened it."""
    vm = reserving_fleet.other(pressed_zone)
    flow = pressed_zone.open(vm, 30_000)
    assert reserving_fleet.held(vm) == 1
    pressed_zone.freeze(vm, 250)
    pressed_zone.run(260)
    assert not reserving_fleet.held(vm)
    assert vm.count("packets_held_too_long") == 1
    assert not pressed_zone.opened.get(flow)
    assert flow not in pressed_zone.refused


def test_a_vm_that_wakes_in_time_places_by_the_waiting_grant(
    pressed_zone: reserving_parts.Fleet,
) -> None:
    """Guards against flows that a short freeze of their VM drops."""
    vm = reserving_fleet.other(pressed_zone)
    flow = pressed_zone.open(vm, 30_000)
    pressed_zone.freeze(vm, 100)
    pressed_zone.run(110)
    assert len(pressed_zone.opened[flow]) == 1
    assert vm.count("reservations_granted") == 1


def test_a_zone_that_is_cut_off_serves_its_flows(
    pressed_zones: reserving_parts.Fleet,
) -> None:
    """Guards against zones that depend on each other."""

    def within_zone(item: reserving_parts.Datagram) -> typing.Sequence[int]:
        same = pressed_zones.vms[item.sender].zone == pressed_zones.vms[item.to].zone
        return (1,) if same else ()

    pressed_zones.delays = within_zone
    own = [vm for vm in pressed_zones.vms.values() if vm.zone == "z1"]
    flows = []
    for number in range(150):
        flows.append(
            pressed_zones.open(own[number % 3], 30_000 + number, caller=number)
        )
        pressed_zones.run(8)
    pressed_zones.run(300)
    assert all(
        (flow in pressed_zones.opened) or (flow in pressed_zones.refused)
        for flow in flows
    )
    at_home = [
        flow
        for flow in flows
        if flow in pressed_zones.answered
        and pressed_zones.opened[flow][0] in reserving_fleet.TARGETS
    ]
    # Two targets with two slots serve 100 requests a second.
    assert len(at_home) > 90


def test_lost_doubled_and_late_datagrams_leave_no_count_behind(
    pressed_zone: reserving_parts.Fleet,
) -> None:
    """Guards against counts that drift with the faults of the network."""
    numbers = iter(range(10**6))
    pressed_zone.delays = lambda _: ((1,), (), (1, 3), (30,), (1,))[next(numbers) % 5]
    flows = pressed_zone.load(9, 2000)
    pressed_zone.run(300)
    assert all(
        (flow in pressed_zone.opened) != (flow in pressed_zone.refused)
        for flow in flows
    )
    assert all(len(names) == 1 for names in pressed_zone.opened.values())
    pressed_zone.run(1500)
    assert not reserving_fleet.scheduler(pressed_zone).reservations.gauges(
        pressed_zone.now_ms
    )["scheduled_in_flight"]


def test_flows_are_placed_locally_where_the_scheduler_is_an_old_build(
    pressed_zone: reserving_parts.Fleet,
) -> None:
    """Guards against refusals or losses during a rolling update."""
    reserving_fleet.scheduler(pressed_zone).old = True
    flows = []
    for number in range(40):
        flows.append(
            pressed_zone.open(
                reserving_fleet.other(pressed_zone), 30_000 + number, caller=number
            )
        )
        pressed_zone.run(20)
    pressed_zone.run(200)
    assert not pressed_zone.refused
    assert all(flow in pressed_zone.answered for flow in flows)


def test_a_flow_of_a_dropped_route_is_not_placed(
    pressed_zone: reserving_parts.Fleet,
) -> None:
    """Guards against a grant that overrules the new configuration."""
    vm = reserving_fleet.other(pressed_zone)
    flow = pressed_zone.open(vm, 30_000)
    routes = (reserving_vm.Route(port=9),)
    vm.apply(pressed_zone.now_ms, reserving_vm.config_row(50, routes, version=2))
    pressed_zone.run(60)
    assert not pressed_zone.opened.get(flow)
    assert vm.count("packets_no_route_reset") == 1


def test_a_flow_of_a_replaced_service_goes_to_the_new_one(
    make_fleet: reserving_fleet.Make,
) -> None:
    """Guards against a grant at a target of the former service."""
    fleet = make_fleet()
    fleet.warm()
    fleet.press()
    vm = reserving_fleet.other(fleet)
    flow = fleet.open(vm, 30_000)
    routes = (reserving_vm.Route(service="shop"),)
    row = cookie_parts.target_row("i-0b", 61, service="shop", zone="z1", sequence=9)
    vm.apply(fleet.now_ms, reserving_vm.config_row(60, routes, version=2), row)
    fleet.run(60)
    assert fleet.opened[flow] == ["i-0b"]


@pytest.mark.parametrize("change", ["evacuated", "draining", "gone", "dead"])
def test_a_grant_for_a_target_that_takes_no_flows_is_not_used(
    make_fleet: reserving_fleet.Make, change: str
) -> None:
    """Guards against new flows on a target that was excluded meanwhile."""
    fleet = make_fleet(targets={"i-0a": "z1", "i-0c": "z2"})
    fleet.warm()
    fleet.press()
    vm = reserving_fleet.other(fleet)
    flow = fleet.open(vm, 30_000)
    assert reserving_fleet.held(vm) == 1
    if change == "evacuated":
        vm.apply(fleet.now_ms, source.Row("op/evacuate/z1", b"{}", 50))
    elif change == "draining":
        row = cookie_parts.target_row("i-0a", 50, state="draining", sequence=9)
        vm.apply(fleet.now_ms, row)
    elif change == "gone":
        vm.apply(fleet.now_ms, cookie_parts.gone_row("i-0a", 50))
    else:
        target = vm.catalog.accepting_split("desk", "z1").own[0]
        alive = vm.observations.liveness
        assert alive.begin(fleet.now_ms, target.cookie, fleet.now_ms)
        assert alive.record_probe(fleet.now_ms, target.cookie, False, True)
    fleet.run(60)
    assert fleet.opened[flow] == ["i-0c"]


def test_an_invalid_datagram_is_counted_and_logged(
    warm_zone: reserving_parts.Fleet,
) -> None:
    """Guards against a datagram that ends with a traceback."""
    vm = reserving_fleet.other(warm_zone)
    vm.reservations.handle_datagram(warm_zone.now_ms, b"\x83\x15\x01", "10.9.0.9")
    assert vm.count("peer_messages_invalid") == 1
    assert vm.events("peer_message_refused")[0]["source"] == "10.9.0.9"


def test_a_request_for_a_malformed_group_is_counted_logged_and_not_answered(
    warm_zone: reserving_parts.Fleet,
) -> None:
    """Guards against a group without a service that ends with a traceback."""
    asking, asked = (
        reserving_fleet.other(warm_zone),
        reserving_fleet.scheduler(warm_zone),
    )
    request = messages.Reserve(
        1, 1, messages.Acknowledged(), "nothing", 7, 0, 0, 0, (), ()
    )
    payload = codec.encode(request)
    with pytest.raises(errors.MessageInvalidError):
        codec.decode(payload)
    warm_zone.datagrams.clear()
    asked.reservations.handle_datagram(warm_zone.now_ms, payload, asking.host)
    assert not warm_zone.datagrams
    assert asked.count("peer_messages_invalid") == 1
    assert asked.events("peer_message_refused")[0]["source"] == asking.host


def test_notices_of_unknown_services_are_forgotten(
    warm_zone: reserving_parts.Fleet,
) -> None:
    """Guards against memory that grows with the names in messages."""
    vm = reserving_fleet.other(warm_zone)
    for number in range(100):
        notice = messages.Pressure(f"s{number}", "z1", number)
        vm.reservations.handle_datagram(
            warm_zone.now_ms, codec.encode(notice), "10.9.0.9"
        )
    warm_zone.run(reserving.REMOVAL_INTERVAL_MS + reserving_parts.TICK_MS)
    assert not vm.reservations._pressure._states.keys() - {
        ("desk", "z1"),
        ("desk", "z2"),
    }
    assert not vm.reservations.active
