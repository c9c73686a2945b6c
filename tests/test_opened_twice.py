"""Tests of opening packets whose copies reach several VMs."""

import typing

import pytest

from eelgrasswick.cookie import carrying, clock, model, outcomes, stall, steering
from eelgrasswick.platform import segments
from tests import cookie_parts, early_parts, steering_parts

NAMES: typing.Final = tuple(f"i-{number:02x}" for number in range(1, 9))
PORTS: typing.Final = range(40_001, 40_051)


def _open(vm: steering.Steering, port: int, copy: int, queued: bool) -> model.Target:
    raw = cookie_parts.packet(cookie_parts.SYN, port, acknowledged=copy)
    target = vm.steer(0, 0, segments.Codec().decode(raw), raw, queued).target
    assert target is not None
    return target


def test_queued_packet_and_its_copy_go_to_one_target() -> None:
    """Guards against a flow that two VMs open at two targets, one of which resets it.

    The packet waits in the socket of a suspended VM, and the fabric sends the copy to
    another one, which sees other loads.
    """
    suspended, _ = steering_parts.same_zone_vm(*NAMES, busy=3)
    other, _ = steering_parts.same_zone_vm(*NAMES, busy=17)
    for port in PORTS:
        target = _open(other, port, 1, queued=False)
        assert _open(suspended, port, 0, queued=True) == target


def test_copies_are_spread_over_the_targets() -> None:
    """Guards against one target that gets all flows whose first packet was lost."""
    vm, _ = steering_parts.same_zone_vm(*NAMES)
    targets = {_open(vm, port, 1, queued=False) for port in PORTS}
    assert len(targets) == len(NAMES)


def test_copy_goes_elsewhere_when_its_target_left_the_packet_unanswered() -> None:
    """Guards against a caller whose packets all go to one dead target."""
    vm, _ = steering_parts.same_zone_vm(*NAMES)
    first = _open(vm, PORTS[0], 1, queued=False)
    raw = cookie_parts.packet(cookie_parts.SYN, PORTS[0], acknowledged=2)
    assert steering_parts.steer(vm, 400, raw).target != first


def test_queued_packet_is_not_refused(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a refusal of a flow that another VM has opened meanwhile."""
    vm, _ = steering_parts.same_zone_vm(*NAMES)
    monkeypatch.setattr(steering.Steering, "_is_refused", lambda *_: True)
    monkeypatch.setattr(steering.Steering, "_without_overloaded", lambda *_: [])
    assert _open(vm, PORTS[0], 0, queued=True)
    raw = cookie_parts.packet(cookie_parts.SYN, PORTS[1])
    decision = steering_parts.steer(vm, 0, raw)
    assert decision.outcome is outcomes.Outcome.OVERLOADED


@pytest.fixture
def carrier(log_pipe: tuple[int, int]) -> carrying.Carrier:
    made = early_parts.carrier(log_pipe[1])
    rows = [cookie_parts.target_row(name, 2 + n) for n, name in enumerate(NAMES)]
    changes = cookie_parts.listing(cookie_parts.config_row(1), *rows)
    now_ms = clock.now_ms()
    made.apply_rows(now_ms, made.parts.replica.merge(now_ms, changes), "store")
    return made


def test_packets_that_were_queued_during_a_pause_go_to_agreed_targets(
    carrier: carrying.Carrier, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a pause that is long enough for a copy, but taken for none."""
    agreed, _ = steering_parts.same_zone_vm(*NAMES)
    sent: list[bytes] = []
    carrier.send = lambda datagram, address: sent.append(datagram)
    paused_ms = carrier.check_stall()
    monkeypatch.setattr(clock, "now_ms", lambda: paused_ms + stall.QUEUED_MS + 1)
    for port in PORTS[:20]:
        carrier.handle_packet(cookie_parts.packet(cookie_parts.SYN, port), "10.0.0.1")
    expected = [_open(agreed, port, 1, queued=False).cookie for port in PORTS[:20]]
    assert [cookie_parts.cookie_of(item) for item in sent] == expected


def test_flow_that_was_opened_twice_is_counted_once(
    carrier: carrying.Carrier, log_pipe: tuple[int, int]
) -> None:
    """Guards against flows that are opened twice without a trace."""
    sent: list[bytes] = []
    carrier.send = lambda datagram, address: sent.append(datagram)
    cookies = [item.cookie for item in carrier.parts.catalog.targets][:2]
    for cookie in (cookies[0], cookies[1], cookies[1]):
        raw = cookie_parts.packet(cookie_parts.ACK, cookie=cookie, data=b"GET")
        carrier.handle_packet(raw, "10.0.0.1")
    assert [cookie_parts.cookie_of(item) for item in sent] == [cookies[0]] * 3
    assert carrier.parts.stats.counts["flows_opened_twice"] == 1
    assert b"event=flow_opened_twice" in early_parts.log_text(carrier, log_pipe)
