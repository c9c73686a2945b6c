"""Tests of flows whose opening packet was answered by two targets."""

import random
import typing

import pytest

from eelgrasswick.cookie import (
    clock,
    cookie_updates,
    model,
    observations,
    outcomes,
    steering,
    store_replica,
)
from eelgrasswick.platform import segments
from tests import cookie_parts, early_parts, lossy_fleet, steering_parts

WINNERS_SEQUENCE: typing.Final = 5000


def _open_flows(fleet: lossy_fleet.LossyFleet, plan: lossy_fleet.Plan) -> None:
    for number in range(12):
        fleet.clock.call_later(3 * number, fleet.open_flow, plan)


def _assert_served(fleet: lossy_fleet.LossyFleet) -> None:
    fleet.clock.run(40_000)
    assert {flow.outcome for flow in fleet.flows.values()} == {"closed"}
    assert fleet.stray_packets() == 0


LOSSES: typing.Final = {
    "answer": ("syn_ack",),
    "answer_and_update": ("syn_ack", "update"),
    "answer_and_acknowledgement": ("syn_ack", "ack"),
    "opening_packet": ("forwarded_syn",),
}


@pytest.mark.parametrize("lost", LOSSES.values(), ids=LOSSES)
@pytest.mark.parametrize("pause_ms", [300, 900, 4900])
def test_flow_stays_at_its_target_after_a_pause(
    lost: tuple[str, ...], pause_ms: int
) -> None:
    """Guards against a VM that forgets a flow and trusts a cookie of another target."""
    fleet = lossy_fleet.LossyFleet(vms=1)
    fleet.lose = lossy_fleet.lose_first(*lost)
    _open_flows(fleet, lossy_fleet.Plan(3, pause_ms))
    _assert_served(fleet)


@pytest.mark.parametrize("lost", LOSSES.values(), ids=LOSSES)
@pytest.mark.parametrize("restarts_ms", [(500,), (1000, 2500, 4000)])
def test_flow_stays_at_its_target_when_it_moves_to_another_vm(
    lost: tuple[str, ...], restarts_ms: tuple[int, ...]
) -> None:
    """Guards against a VM without a record that trusts a cookie of another target."""
    fleet = lossy_fleet.LossyFleet()
    fleet.lose = lossy_fleet.lose_first(*lost)
    _open_flows(fleet, lossy_fleet.Plan(8, 700))
    for number, at_ms in enumerate(restarts_ms):
        fleet.clock.call_later(at_ms, fleet.restart, number, 1100)
    _assert_served(fleet)


def test_flow_stays_at_its_target_when_the_other_one_is_late() -> None:
    """Guards against targets whose answers to the opening packet come after others."""
    fleet = lossy_fleet.LossyFleet()
    for number, target in enumerate(fleet.targets.values()):
        target.delay_ms = 250 * (number % 2)
    _open_flows(fleet, lossy_fleet.Plan(8, 700))
    for number in range(3):
        fleet.clock.call_later(1000 + 1500 * number, fleet.restart, number, 1100)
    _assert_served(fleet)


@pytest.mark.parametrize("pause_ms", [900, 4900])
@pytest.mark.parametrize("answers", [2, 3])
def test_flow_that_moves_between_its_opening_packets_stays_at_its_target(
    answers: int, pause_ms: int
) -> None:
    """Guards against a VM that places a copy and does not know of the first target."""
    fleet = lossy_fleet.LossyFleet(targets=4)
    fleet.lose = lossy_fleet.lose_first(*["syn_ack"] * answers)
    _open_flows(fleet, lossy_fleet.Plan(4, pause_ms))
    for number in range(3):
        fleet.clock.call_later(120 + 1700 * number, fleet.restart, number, 1100)
    _assert_served(fleet)


def test_flow_is_not_reset_when_another_target_that_answered_it_ends() -> None:
    """Guards against a VM that takes a dead target for that of the flow."""
    fleet = lossy_fleet.LossyFleet(targets=6)
    fleet.lose = lossy_fleet.lose_first("syn_ack", "syn_ack")
    _open_flows(fleet, lossy_fleet.Plan(3, 900))
    fleet.clock.run(800)
    holders = {item for port in fleet.flows for item in fleet.holders(port)}
    for target in fleet.targets.values():
        if target not in holders:
            fleet.replace(target)
    fleet.restart_all()
    fleet.clock.run(40_000)
    assert {flow.outcome for flow in fleet.flows.values()} == {"closed"}


@pytest.mark.parametrize("seed", [1, 2])
def test_random_loss_beside_restarts_resets_no_flow(seed: int) -> None:
    """Guards against losses in combinations that no other test lists."""
    fleet = lossy_fleet.LossyFleet(seed)
    fleet.lose = lossy_fleet.lose_at_random(random.Random(seed), 0.01)
    for number in range(600):
        fleet.clock.call_later(
            20 * number, fleet.open_flow, lossy_fleet.Plan(4, 300 + number % 1500)
        )
    for number in range(6):
        fleet.clock.call_later(1000 + 1800 * number, fleet.restart, number % 3, 1100)
    fleet.clock.run(40_000)
    assert fleet.broken() == []


def _open_at_second(
    vm: steering.Steering, port: int = 40_001
) -> tuple[model.Target, model.Target, outcomes.Decision]:
    """Open a flow at its second target; return both, and the first decision on it."""
    first = steering_parts.opened(vm, 0, port=port)
    second = steering_parts.opened(vm, 200, 1, port)
    assert first != second
    return first, second, _send(vm, 204, second.cookie, port=port)


def _send(
    vm: steering.Steering,
    now_ms: int,
    cookie: int,
    sequence: int = 2,
    flags: int = cookie_parts.ACK,
    port: int = 40_001,
) -> outcomes.Decision:
    raw = cookie_parts.packet(flags, port, sequence, WINNERS_SEQUENCE, cookie)
    return steering_parts.steer(vm, now_ms, raw)


def _updates(decision: outcomes.Decision) -> list[tuple[str, int]]:
    return [
        (item.target.name, cookie_parts.cookie_of(item.datagram))
        for item in decision.updates
    ]


def test_other_target_gets_the_opening_packet_with_the_flows_cookie(
    vm_steering: steering.Steering,
) -> None:
    """Guards against an update that is no opening packet of the caller."""
    first, second, decision = _open_at_second(vm_steering)
    assert _updates(decision) == [(first.name, second.cookie)]
    copy = cookie_parts.packet(cookie_parts.SYN, acknowledged=1, cookie=second.cookie)
    assert decision.updates[0].datagram == first.token + copy


def test_opening_packet_need_not_take_a_position_in_the_stream(
    vm_steering: steering.Steering,
) -> None:
    """Guards against callers whose first packets never lead to an update."""
    first = steering_parts.opened(vm_steering)
    second = steering_parts.opened(vm_steering, 200, 1)
    decision = _send(vm_steering, 204, second.cookie, sequence=1)
    assert _updates(decision) == [(first.name, second.cookie)]


def test_update_goes_to_the_later_target_if_the_first_one_has_the_flow(
    vm_steering: steering.Steering,
) -> None:
    """Guards against an update by which the flow's own target names the other one."""
    first = steering_parts.opened(vm_steering)
    second = steering_parts.opened(vm_steering, 200, 1)
    decision = _send(vm_steering, 204, first.cookie)
    assert _updates(decision) == [(second.name, first.cookie)]


def test_update_is_sent_again_when_a_packet_names_the_other_target(
    vm_steering: steering.Steering,
) -> None:
    """Guards against a lost or late update."""
    first, second, _ = _open_at_second(vm_steering)
    _send(vm_steering, 205, second.cookie)
    _send(vm_steering, 206, second.cookie)
    for at_ms, sent in ((260, False), (900, True), (950, False), (1900, True)):
        decision = _send(vm_steering, at_ms, first.cookie, sequence=90)
        assert decision.target == second
        expected = [(first.name, second.cookie)] if sent else []
        assert _updates(decision) == expected


def test_update_is_repeated_only_closely_after_the_first_packet(
    vm_steering: steering.Steering,
) -> None:
    """Guards against answers of the other target that follow the flow's own data."""
    _, second, decision = _open_at_second(vm_steering)
    assert decision.updates
    late_ms = 204 + cookie_updates.MAX_REPETITION_MS + 1
    assert not _send(vm_steering, late_ms, second.cookie).updates
    assert _send(vm_steering, late_ms, second.cookie).target == second


def test_number_of_further_updates_is_limited(vm_steering: steering.Steering) -> None:
    """Guards against endless answers of a target that keeps its first cookie."""
    first, second, _ = _open_at_second(vm_steering)
    _send(vm_steering, 205, second.cookie)
    sent = [
        bool(_send(vm_steering, at_ms, first.cookie, sequence=90).updates)
        for at_ms in range(400, 4000, 200)
    ]
    assert sum(sent) == cookie_updates.MAX_FURTHER_UPDATES


def test_vm_that_missed_the_opening_of_a_flow_sends_no_update(
    vm_steering: steering.Steering,
) -> None:
    """Guards against a VM that takes the cookie of a late answer for the flow's."""
    first = steering_parts.opened(vm_steering)
    second = steering_parts.opened(vm_steering, 200, 1)
    # The flow was opened through another VM, which the sequence number shows.
    decision = _send(vm_steering, 900, first.cookie, sequence=90)
    assert _updates(decision) == []
    assert _updates(_send(vm_steering, 1000, second.cookie, sequence=90)) == []


def _copy_without_original(
    vm: steering.Steering, port: int
) -> tuple[model.Target, set[str]]:
    """Open a flow by a copy; return its target, and those that get an update."""
    target = steering_parts.opened(vm, 0, 1, port)
    decision = _send(vm, 4, target.cookie, port=port)
    return target, {item.target.name for item in decision.updates}


def test_update_reaches_the_target_on_which_another_vm_placed_the_original() -> None:
    """Guards against a first target that the VM of the copy does not know."""
    names = [f"i-{number:02x}" for number in range(1, 9)]
    other, _ = steering_parts.same_zone_vm(*names, busy=7)
    vm, _ = steering_parts.same_zone_vm(*names)
    for port in range(40_001, 40_051):
        original = steering_parts.opened(other, port=port)
        target, updated = _copy_without_original(vm, port)
        assert original == target or original.name in updated
        assert len(updated) == 1


def test_update_reaches_a_likely_target_that_only_this_vm_excludes() -> None:
    """Guards against VMs that exclude different targets."""
    names = [f"i-{number:02x}" for number in range(1, 9)]
    other, _ = steering_parts.same_zone_vm(*names)
    vm, _ = steering_parts.same_zone_vm(*names)
    silent = next(iter(vm._catalog.targets))
    for number in range(9):
        vm._observations.record_unanswered(number, silent)
    found = 0
    for port in range(40_001, 40_101):
        original = steering_parts.opened(other, port=port)
        target, updated = _copy_without_original(vm, port)
        assert target != silent
        if original == silent:
            assert original.name in updated
            found += 1
    assert found


def test_cold_target_gets_no_update_for_an_original_that_it_may_not_have() -> None:
    """Guards against updates that exceed the limit on new flows of a cold target."""
    rows = [
        cookie_parts.target_row(name, 2, cold_remaining_ms=9000 * (name == "i-0c"))
        for name in ("i-0a", "i-0b", "i-0c")
    ]
    made = cookie_parts.catalog_from(cookie_parts.config_row(1), *rows)
    vm = steering.Steering(
        "z1", segments.Codec(), made, observations.Observations("z1", made)
    )
    for port in range(40_001, 40_021):
        target, updated = _copy_without_original(vm, port)
        if target.name != "i-0c":
            assert "i-0c" not in updated


@pytest.mark.parametrize("flags", [cookie_parts.FIN, cookie_parts.RST])
def test_flow_that_ends_needs_no_update(
    vm_steering: steering.Steering, flags: int
) -> None:
    """Guards against a target that takes the update for a new flow."""
    steering_parts.opened(vm_steering)
    second = steering_parts.opened(vm_steering, 200, 1)
    decision = _send(vm_steering, 204, second.cookie, flags=flags | cookie_parts.ACK)
    assert _updates(decision) == []


def test_target_that_repeats_its_answer_no_more_gets_no_update(
    vm_steering: steering.Steering,
) -> None:
    """Guards against a target that takes the update for a new flow."""
    first, second, _ = _open_at_second(vm_steering)
    last_ms = 200 + cookie_updates.ANSWER_REPEATED_MS
    _send(vm_steering, 205, second.cookie)
    for at_ms in range(1000, last_ms, 1000):
        _send(vm_steering, at_ms, second.cookie, sequence=90)
    decision = _send(vm_steering, last_ms + 1, first.cookie, sequence=90)
    assert decision.target == second
    assert _updates(decision) == []


def test_target_whose_address_was_taken_over_gets_no_update() -> None:
    """Guards against updates to a server that is gone."""
    vm, target_catalog = steering_parts.same_zone_vm("i-0a", "i-0b")
    first = steering_parts.opened(vm)
    second = steering_parts.opened(vm, 200, 1)
    address = f"{first.address.host}:{first.address.port}"
    row = cookie_parts.target_row("i-0c", 9, address=address, born=2000)
    target_catalog.update(0, store_replica.Merge((row,), 0))
    assert _updates(_send(vm, 204, second.cookie)) == []


@pytest.mark.parametrize("state", ["draining", "ready"])
def test_draining_target_that_a_later_packet_names_gets_no_update(state: str) -> None:
    """Guards against an opening packet that reaches a target after its drain began."""
    vm, target_catalog = steering_parts.same_zone_vm("i-0a", "i-0b")
    first, second, _ = _open_at_second(vm)
    _send(vm, 205, second.cookie)
    row = cookie_parts.target_row(first.name, 9, state=state)
    target_catalog.update(0, store_replica.Merge((row,), 0))
    decision = _send(vm, 900, first.cookie, sequence=90)
    assert decision.target == second
    assert bool(decision.updates) is (state == "ready")


def test_new_flow_from_the_same_port_is_placed_anew(
    vm_steering: steering.Steering,
) -> None:
    """Guards against a new flow that is taken for a copy of the former one."""
    _, second, _ = _open_at_second(vm_steering)
    raw = cookie_parts.packet(cookie_parts.SYN, sequence=70_000)
    decision = steering_parts.steer(vm_steering, 900, raw)
    assert decision.outcome is outcomes.Outcome.PLACED
    assert decision.target is not None
    assert not decision.updates
    decision = _send(vm_steering, 904, decision.target.cookie, sequence=70_001)
    assert not decision.updates


def test_updates_are_sent_logged_and_counted(
    log_pipe: tuple[int, int],
) -> None:
    """Guards against updates that leave no trace."""
    carrier = early_parts.carrier(log_pipe[1])
    rows = [cookie_parts.target_row(name, 2) for name in ("i-0a", "i-0b")]
    changes = cookie_parts.listing(cookie_parts.config_row(1), *rows)
    carrier.apply_rows(0, carrier.parts.replica.merge(0, changes), "store")
    sent: list[tuple[bytes, model.Address]] = []
    carrier.send = lambda datagram, address: sent.append((datagram, address))
    first, second = carrier.parts.catalog.targets
    now_ms = clock.now_ms()
    carrier.parts.observations.tracker.record_placement(
        now_ms - 200, cookie_parts.flow(), first.cookie, 0
    )
    raw = cookie_parts.packet(cookie_parts.SYN, acknowledged=1)
    decision = carrier.steering.steer(now_ms, 0, segments.Codec().decode(raw), raw)
    assert decision.target == second
    raw = cookie_parts.packet(cookie_parts.ACK, sequence=2, cookie=second.cookie)
    carrier.handle_packet(raw, "10.0.0.1")
    assert [item[1] for item in sent] == [first.address, second.address]
    assert cookie_parts.cookie_of(sent[0][0]) == second.cookie
    assert carrier.parts.stats.counts["cookie_updates"] == 1
    line = early_parts.log_text(carrier, log_pipe).decode()
    assert "event=cookie_updated" in line
    assert f"flow={cookie_parts.flow()}" in line
    assert f"target={first.name} of={second.name}" in line
