"""Tests of copies of opening packets that wait for an answer to the original."""

import typing

import pytest

from eelgrasswick.cookie import (
    carrying,
    clock,
    delayed_copies,
    outcomes,
    stall,
    steering,
)
from eelgrasswick.platform import segments
from tests import cookie_parts, early_parts, lossy_fleet, steering_parts

Calls = list[tuple[int, typing.Callable[[], None]]]


def _open_flows(fleet: lossy_fleet.LossyFleet) -> None:
    for number in range(12):
        fleet.clock.call_later(3 * number, fleet.open_flow)


@pytest.mark.parametrize("restart_ms", [0, 120])
def test_lost_answer_does_not_open_the_flow_at_a_second_target(
    restart_ms: int,
) -> None:
    """Guards against a copy that is placed just before the answer comes again.

    After a restart the copy reaches a VM that does not know of the original.
    """
    fleet = lossy_fleet.LossyFleet()
    fleet.lose = lossy_fleet.lose_first("syn_ack")
    _open_flows(fleet)
    if restart_ms:
        fleet.clock.call_later(restart_ms, fleet.restart, 0, 1100)
    fleet.clock.run(20_000)
    assert {flow.outcome for flow in fleet.flows.values()} == {"closed"}
    assert [len(names) for names in fleet.placed.values()] == [1] * 12


@pytest.mark.parametrize("lost", ["syn", "forwarded_syn"])
def test_lost_opening_packet_costs_the_interval_and_the_delay(lost: str) -> None:
    """Guards against copies that are delayed for much longer than an answer takes."""
    fleet = lossy_fleet.LossyFleet()
    fleet.lose = lossy_fleet.lose_first(lost)
    _open_flows(fleet)
    fleet.clock.run(20_000)
    limit_ms = 200 + delayed_copies.WAIT_MS + 10
    assert max(flow.opened_ms for flow in fleet.flows.values()) <= limit_ms


@pytest.fixture
def delaying(vm_steering: steering.Steering) -> steering.Steering:
    """Return the steering of a VM that delays copies."""
    vm_steering.copies.enabled = True
    return vm_steering


def _send_copy(
    vm: steering.Steering, now_ms: int, copy: int = 1, port: int = 40_001
) -> outcomes.Decision:
    raw = cookie_parts.packet(cookie_parts.SYN, port, acknowledged=copy)
    return steering_parts.steer(vm, now_ms, raw)


def _place_delayed(vm: steering.Steering, now_ms: int) -> outcomes.Decision:
    raw = cookie_parts.packet(cookie_parts.SYN, acknowledged=1)
    return vm.place_delayed(now_ms, 0, segments.Codec().decode(raw), raw)


def test_delayed_copy_goes_to_another_target(delaying: steering.Steering) -> None:
    """Guards against callers of a dead target whose copies are lost in the delay."""
    first = steering_parts.opened(delaying)
    assert _send_copy(delaying, 200).outcome is outcomes.Outcome.COPY_DELAYED
    decision = _place_delayed(delaying, 220)
    assert decision.outcome is outcomes.Outcome.PLACED_AGAIN
    assert decision.target != first


def test_copy_whose_flow_ended_during_the_delay_is_dropped(
    delaying: steering.Steering,
) -> None:
    """Guards against a copy that opens a short flow anew after its end."""
    first = steering_parts.opened(delaying)
    _send_copy(delaying, 200)
    for flags in (cookie_parts.ACK, cookie_parts.FIN | cookie_parts.ACK):
        raw = cookie_parts.packet(flags, sequence=2, cookie=first.cookie)
        steering_parts.steer(delaying, 205, raw)
    decision = _place_delayed(delaying, 220)
    assert decision.outcome is outcomes.Outcome.COPY_NOT_NEEDED
    assert decision.datagram is None


def test_copy_of_a_delayed_copy_is_dropped(delaying: steering.Steering) -> None:
    """Guards against a copy that the network doubles and that is placed twice."""
    steering_parts.opened(delaying)
    _send_copy(delaying, 200)
    assert _send_copy(delaying, 201).outcome is outcomes.Outcome.COPY_NOT_NEEDED
    assert _place_delayed(delaying, 220).outcome is outcomes.Outcome.PLACED_AGAIN


def test_copy_is_not_delayed_when_its_target_is_known_to_be_gone(
    delaying: steering.Steering,
) -> None:
    """Guards against a delay for an answer that cannot come."""
    first = steering_parts.opened(delaying)
    delaying._observations.liveness.begin(0, first.cookie, 0)
    delaying._observations.liveness.record_probe(1, first.cookie, False, True)
    decision = _send_copy(delaying, 200)
    assert decision.outcome is outcomes.Outcome.PLACED
    assert decision.target != first


def test_number_of_delayed_copies_is_limited(
    delaying: steering.Steering, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a flood of copies that fills the memory."""
    monkeypatch.setattr(delayed_copies, "MAX_COPIES", 2)
    found = [_send_copy(delaying, 0, port=port).outcome for port in range(1, 4)]
    delayed = outcomes.Outcome.COPY_DELAYED
    assert found == [delayed, delayed, outcomes.Outcome.PLACED]


@pytest.fixture
def carrier(
    log_pipe: tuple[int, int], monkeypatch: pytest.MonkeyPatch
) -> carrying.Carrier:
    """Return a carrier with one target that stands at a fixed time."""
    made = early_parts.carrier(log_pipe[1])
    changes = cookie_parts.listing(
        cookie_parts.config_row(1), cookie_parts.target_row("i-0a", 2)
    )
    now_ms = made.check_stall()
    made.apply_rows(now_ms, made.parts.replica.merge(now_ms, changes), "store")
    monkeypatch.setattr(clock, "now_ms", lambda: now_ms)
    return made


@pytest.mark.parametrize(
    ("late_ms", "placed"), [(delayed_copies.WAIT_MS, 1), (stall.STALL_MS + 1, 0)]
)
def test_copy_that_was_delayed_by_a_suspension_is_dropped(
    carrier: carrying.Carrier,
    monkeypatch: pytest.MonkeyPatch,
    late_ms: int,
    placed: int,
) -> None:
    """Guards against an old copy that opens a flow once more."""
    sent: list[bytes] = []
    calls: Calls = []
    carrier.send = lambda datagram, address: sent.append(datagram)
    carrier.delay = lambda wait_ms, call: calls.append((wait_ms, call))
    carrier.steering.copies.enabled = True
    raw = cookie_parts.packet(cookie_parts.SYN, acknowledged=1)
    carrier.handle_packet(raw, "10.0.0.1")
    assert not sent
    ((wait_ms, call),) = calls
    assert wait_ms == delayed_copies.WAIT_MS
    later_ms = clock.now_ms() + late_ms
    monkeypatch.setattr(clock, "now_ms", lambda: later_ms)
    call()
    assert len(sent) == placed
    assert not carrier.steering.copies.waits(cookie_parts.flow())


def test_starting_vm_places_copies_at_once(carrier: carrying.Carrier) -> None:
    """Guards against copies that are lost because no timer runs yet."""
    sent: list[bytes] = []
    carrier.send = lambda datagram, address: sent.append(datagram)
    raw = cookie_parts.packet(cookie_parts.SYN, acknowledged=1)
    carrier.handle_packet(raw, "10.0.0.1")
    assert len(sent) == 1
