"""VMs that reserve capacity at targets for new flows, in virtual time."""

import collections
import typing

import pytest

from eelgrasswick.cookie import model, pressure_notices
from eelgrasswick.reservations import client, codec, messages
from tests import cookie_parts, reserving_fleet, reserving_parts, reserving_vm


def test_nothing_is_sent_or_held_without_pressure(
    warm_zone: reserving_parts.Fleet,
) -> None:
    """Guards against costs of reservations where they are not needed."""
    flows = warm_zone.load(40, 3000)
    warm_zone.run(200)
    assert not warm_zone.datagrams
    assert not reserving_fleet.total(warm_zone, "packets_held")
    assert all(flow in warm_zone.answered for flow in flows)
    assert not any(vm.reservations.active for vm in warm_zone.vms.values())


def test_a_loaded_pool_makes_all_vms_place_by_grants(
    warm_zone: reserving_parts.Fleet,
) -> None:
    """Guards against pressure that is not detected or not told to the zone."""
    flows = warm_zone.load(10, 6000)
    warm_zone.run(300)
    for vm in warm_zone.vms.values():
        assert vm.count("reservations_granted") > 20
        assert len(vm.events("pool_pressure_begun")) == 1
    assert not warm_zone.full
    assert all(
        (flow in warm_zone.opened) != (flow in warm_zone.refused) for flow in flows
    )


def test_pressure_ends_everywhere_after_its_last_sign(
    pressed_zone: reserving_parts.Fleet,
) -> None:
    """Guards against requests that count as signs and keep pressure alive."""
    pressed_zone.load(100, 3600)
    assert not any(vm.pressed(pressed_zone.now_ms) for vm in pressed_zone.vms.values())
    pressed_zone.run(4000)
    assert not any(vm.reservations.active for vm in pressed_zone.vms.values())
    pressed_zone.datagrams.clear()
    pressed_zone.load(100, 2000, port=35_000)
    assert not pressed_zone.datagrams


def test_pressure_lasts_for_3_s_after_a_notice(
    pressed_zone: reserving_parts.Fleet,
) -> None:
    """Guards against reservations that start and stop several times a second."""
    pressed_zone.run(2990)
    assert all(vm.pressed(pressed_zone.now_ms) for vm in pressed_zone.vms.values())
    pressed_zone.run(10)
    assert not any(vm.pressed(pressed_zone.now_ms) for vm in pressed_zone.vms.values())


def test_rejections_of_a_full_target_begin_pressure(
    warm_zone: reserving_parts.Fleet,
) -> None:
    """Guards against a burst that only the targets notice."""
    for vm in warm_zone.vms.values():
        reserving_fleet.fill(warm_zone, vm, 20)
    warm_zone.run(reserving_parts.TICK_MS)
    assert warm_zone.full >= 2
    reasons = {
        fields["reason"]
        for vm in warm_zone.vms.values()
        for fields in vm.events("pool_pressure_begun")
    }
    assert "rejections" in reasons


def test_a_scheduler_finds_pressure_again_after_its_end(
    make_fleet: reserving_fleet.Make,
) -> None:
    """Guards against counts of a former pressure that replace the estimate."""
    fleet = make_fleet({"10.9.0.1": "z1"})
    fleet.warm()
    fleet.press()
    fleet.load(100, 6500)
    (vm,) = fleet.vms.values()
    assert not vm.pressed(fleet.now_ms)
    fleet.load(11, 3300, port=40_000)
    assert vm.events("pool_pressure_begun")[-1]["reason"] == "load"


def test_a_notice_reaches_all_vms_of_a_zone_and_is_relayed_once(
    make_fleet: reserving_fleet.Make,
) -> None:
    """Guards against notices that end halfway or circulate forever."""
    hosts = {f"10.9.0.{number}": "z1" for number in range(1, 31)}
    fleet = make_fleet({**hosts, "10.9.1.1": "z2"}, reserving_fleet.TWO_ZONE_TARGETS)
    first = next(iter(fleet.vms.values()))
    notice = messages.Pressure("desk", "z1", 5)
    for _ in range(2):
        first.reservations.handle_datagram(
            fleet.now_ms, codec.encode(notice), "10.9.0.99"
        )
    fleet.run(reserving_parts.TICK_MS)
    reached = [vm for vm in fleet.vms.values() if ("desk", "z1") in _begun(vm)]
    # Each VM relays to four others at random, which misses a VM with 2% probability.
    assert len(reached) >= 28
    sent = collections.Counter(item.sender for item in fleet.of(messages.Pressure))
    assert set(sent.values()) == {pressure_notices.FAN_OUT}
    assert not fleet.vms["10.9.1.1"].pressed(fleet.now_ms)
    assert "10.9.1.1" not in {item.to for item in fleet.datagrams}


def _begun(vm: reserving_vm.Vm) -> set[tuple[str, str]]:
    return {
        (str(fields["service"]), str(fields["zone"]))
        for fields in vm.events("pool_pressure_begun")
    }


def test_notices_of_other_vms_cause_no_new_ones(
    warm_zone: reserving_parts.Fleet,
) -> None:
    """Guards against notices that keep each other alive."""
    warm_zone.press()
    warm_zone.run(20)
    sent = len(warm_zone.of(messages.Pressure))
    warm_zone.run(8000)
    assert len(warm_zone.of(messages.Pressure)) == sent


def test_flows_of_several_requests_are_never_held(
    make_fleet: reserving_fleet.Make,
) -> None:
    """Guards against a limit on the number of idle flows."""
    fleet = make_fleet()
    fleet.warm(requests=4)
    fleet.press()
    fleet.load(20, 1000)
    assert not reserving_fleet.total(fleet, "packets_held")


def test_a_service_without_known_requests_is_not_held(
    make_fleet: reserving_fleet.Make,
) -> None:
    """Guards against held flows before it is known what flows carry."""
    fleet = make_fleet()
    fleet.press()
    fleet.open(reserving_fleet.other(fleet), 30_000)
    assert not reserving_fleet.total(fleet, "packets_held")


@pytest.mark.parametrize(
    "options",
    [
        {"routes": (reserving_vm.Route(objective_ms=0),)},
        {"concurrency": None},
        {"concurrency": 0},
    ],
)
def test_flows_without_latency_target_or_slots_are_never_held(
    make_fleet: reserving_fleet.Make, options: dict[str, typing.Any]
) -> None:
    """Guards against held flows whose wait or capacity is unknown."""
    fleet = make_fleet(**options)
    for target in fleet.targets.values():
        target.slots = 2
    fleet.warm()
    fleet.press()
    fleet.load(20, 500)
    assert not reserving_fleet.total(fleet, "packets_held")
    assert not fleet.of(messages.Reserve)


def test_settings_reload_switches_reservations(
    pressed_zone: reserving_parts.Fleet,
) -> None:
    """Guards against a setting that needs a restart."""
    vm = reserving_fleet.other(pressed_zone)
    vm.reservations.enabled = False
    pressed_zone.open(vm, 30_000)
    assert not vm.count("packets_held")
    vm.reservations.enabled = True
    pressed_zone.open(vm, 30_001)
    assert vm.count("packets_held") == 1


def test_a_vm_without_reservations_sends_no_notice(
    make_fleet: reserving_fleet.Make,
) -> None:
    """Guards against messages although `[policy] reserve` is no."""
    fleet = make_fleet()
    for vm in fleet.vms.values():
        vm.reservations.enabled = False
    fleet.warm()
    fleet.load(10, 4000)
    assert any(vm.events("pool_pressure_begun") for vm in fleet.vms.values())
    assert not fleet.datagrams


def test_a_copy_of_a_held_packet_is_not_sent(
    pressed_zone: reserving_parts.Fleet,
) -> None:
    """Guards against a flow that opens at two targets."""
    vm = reserving_fleet.other(pressed_zone)
    flow = pressed_zone.open(vm, 30_000)
    pressed_zone.packet(vm, reserving_vm.opening(30_000))
    assert vm.count("packets_held") == 2
    pressed_zone.run(100)
    assert len(pressed_zone.opened[flow]) == 1


def test_a_copy_of_a_placed_packet_is_not_held_after_its_target_ended(
    pressed_zone: reserving_parts.Fleet,
) -> None:
    """Guards against a refusal of a flow that a target has received."""
    vm = reserving_fleet.other(pressed_zone)
    for target in pressed_zone.targets.values():
        target.dead = True
    flow = pressed_zone.open(vm, 30_000)
    pressed_zone.run(4)
    assert len(pressed_zone.opened[flow]) == 1
    alive = vm.observations.liveness
    for target in vm.catalog.targets:
        assert alive.begin(pressed_zone.now_ms, target.cookie, pressed_zone.now_ms)
        assert alive.record_probe(pressed_zone.now_ms, target.cookie, False, True)
    pressed_zone.packet(vm, reserving_vm.opening(30_000))
    assert vm.count("packets_held") == 1


def test_a_refused_flow_reached_no_target(pressed_zone: reserving_parts.Fleet) -> None:
    """Guards against a reset of a flow that may have been executed."""
    flows = pressed_zone.load(2, 800)
    pressed_zone.run(300)
    refused = [flow for flow in flows if flow in pressed_zone.refused]
    assert len(refused) > 50
    assert not any(pressed_zone.opened.get(flow) for flow in refused)
    assert reserving_fleet.total(pressed_zone, "packets_no_capacity_reset") == len(
        refused
    )
    assert not pressed_zone.full


def test_every_flow_is_placed_refused_or_dropped_within_the_wait(
    pressed_zone: reserving_parts.Fleet,
) -> None:
    """Guards against packets that are held forever."""
    pressed_zone.load(2, 800)
    pressed_zone.run(client.held_flow.MAX_HELD_MS + reserving_parts.CHECK_MS + 1)
    assert not any(reserving_fleet.held(vm) for vm in pressed_zone.vms.values())
    for vm in pressed_zone.vms.values():
        assert all(
            typing.cast(int, fields["held_ms"]) <= client.held_flow.MAX_HELD_MS + 5
            for event, fields in vm.log.lines
            if "held_ms" in fields
        )


def test_urgent_flows_are_served_before_others(
    pressed_zone: reserving_parts.Fleet,
) -> None:
    """Guards against an urgent flow that waits behind less urgent ones."""
    flows: dict[int, list[model.FlowId]] = {}
    for number in range(240):
        urgent = number % 6 == 0
        port = reserving_vm.URGENT_PORT if urgent else cookie_parts.PORT
        vm = list(pressed_zone.vms.values())[number % 3]
        opened = pressed_zone.open(vm, 30_000 + number, caller=number, route=port)
        flows.setdefault(port, []).append(opened)
        pressed_zone.run(4)
    pressed_zone.run(300)
    urgent_share, usual_share = (
        sum(flow in pressed_zone.answered for flow in flows[port]) / len(flows[port])
        for port in (reserving_vm.URGENT_PORT, cookie_parts.PORT)
    )
    assert urgent_share >= 0.95
    assert usual_share < 0.6


def test_a_greedy_caller_does_not_starve_others(
    pressed_zone: reserving_parts.Fleet,
) -> None:
    """Guards against service in the order of arrival only."""
    shares: dict[bool, list[bool]] = {True: [], False: []}
    flows: list[tuple[bool, model.FlowId]] = []
    vms = list(pressed_zone.vms.values())
    for number in range(300):
        greedy = number % 10 > 0
        caller = 1 if greedy else 500 + number // 10 % 5
        flows.append(
            (greedy, pressed_zone.open(vms[number % 3], 30_000 + number, caller=caller))
        )
        pressed_zone.run(4)
    pressed_zone.run(300)
    for greedy, flow in flows:
        shares[greedy].append(flow in pressed_zone.answered)
    modest = sum(shares[False]) / len(shares[False])
    assert modest > 0.9
    assert sum(shares[True]) / len(shares[True]) < 0.6


def test_flows_leave_a_full_zone_and_return(
    pressed_zones: reserving_parts.Fleet,
) -> None:
    """Guards against refusals while another zone has free capacity."""
    own = [vm for vm in pressed_zones.vms.values() if vm.zone == "z1"]
    flows = []
    for number in range(100):
        flows.append(
            pressed_zones.open(own[number % 3], 30_000 + number, caller=number)
        )
        pressed_zones.run(8)
    pressed_zones.run(300)
    away = [
        flow
        for flow in flows
        if {"i-0c", "i-0d"} & set(pressed_zones.opened.get(flow, ()))
    ]
    assert len(away) > 10
    assert sum(flow in pressed_zones.answered for flow in flows) >= 95
    pressed_zones.press()
    later = []
    for number in range(20):
        later.append(
            pressed_zones.open(own[number % 3], 33_000 + number, caller=number)
        )
        pressed_zones.run(50)
    pressed_zones.run(200)
    assert all(pressed_zones.opened[flow][0] in ("i-0a", "i-0b") for flow in later)


def test_a_held_flow_counts_once_among_the_priorities(
    pressed_zone: reserving_parts.Fleet,
) -> None:
    """Guards against priorities that seem more frequent while flows are held."""
    vm = reserving_fleet.other(pressed_zone)
    counted: list[int] = []
    vm.observations.levels.opened = (  # type: ignore[method-assign]
        lambda now_ms, service, priority: counted.append(priority)
    )
    pressed_zone.kill(reserving_fleet.scheduler(pressed_zone))
    flow = pressed_zone.open(vm, 30_000)
    pressed_zone.run(60)
    assert pressed_zone.opened[flow]
    assert counted == [2]


def test_requests_of_a_large_pool_name_whole_groups(
    make_fleet: reserving_fleet.Make,
) -> None:
    """Guards against schedulers that may choose among few targets of their group."""
    names = {f"i-{number:02x}": f"z{number % 2 + 1}" for number in range(250)}
    fleet = make_fleet(targets=names)
    fleet.warm()
    fleet.press()
    vm = reserving_fleet.other(fleet)
    for number in range(200):
        fleet.open(vm, 30_000 + number, caller=number)
    sent = [item.message for item in fleet.of(messages.Reserve)]
    groups = {item.group for item in sent if isinstance(item, messages.Reserve)}
    sizes = {
        len(item.candidates) for item in sent if isinstance(item, messages.Reserve)
    }
    assert sizes <= {7, 8}
    # 125 targets of the own zone make 16 groups.
    assert groups <= {f"desk/z1/{number}" for number in range(16)}
    assert len(groups) >= 6
