"""The invariants of soak runs: each check finds the violation that it is for."""

import pathlib
import typing

import pytest

from eelgrasswick.emulation import packets
from eelgrasswick.soak import faults, history

K = history.Kind
DIGEST = history.response_digest(history.expected_response("r1", 100))


def _event(at_s: float, kind: history.Kind, **fields: typing.Any) -> history.Event:
    who = fields.pop("who", "i-10")
    return history.Event(at_s, kind, who, **fields)


@pytest.fixture
def good() -> list[history.Event]:
    """Return the events of a flow whose single request is answered."""
    return [
        _event(0, K.ROUTE_ADDED, who="op", flow="443", detail="desk"),
        _event(0, K.BEGUN),
        _event(5, K.OPENED, flow="1>443", detail="desk", sent_s=5),
        _event(5.1, K.RAN, flow="1>443", request="r1", detail=DIGEST),
        _event(5.2, K.ANSWERED, who="c", flow="1>443", request="r1", detail=DIGEST),
    ]


def _violated(events: list[history.Event]) -> set[str]:
    return {violation.invariant for violation in history.check_invariants(events)}


def test_good_run_violates_no_invariant(good: list[history.Event]) -> None:
    assert _violated(good) == set()
    assert history.check_recovery(good, 6) == []


def test_request_that_ran_twice_violates_at_most_once(
    good: list[history.Event],
) -> None:
    repeated = _event(5.3, K.RAN, who="i-11", flow="1>443", request="r1", detail=DIGEST)
    assert _violated([*good, repeated]) == {"at most once"}


def test_corrupted_response_violates_whole_answer(good: list[history.Event]) -> None:
    corrupted = _event(5.2, K.ANSWERED, who="c", flow="1>443", request="r1", detail="x")
    assert _violated([*good[:-1], corrupted]) == {"whole answer"}


def test_response_without_an_execution_violates_own_answer(
    good: list[history.Event],
) -> None:
    other = good[-1]._replace(request="r9")
    assert _violated([*good, other]) == {"own answer"}


def test_late_flow_in_an_evacuated_zone_violates_evacuation(
    good: list[history.Event],
) -> None:
    events = [
        *good,
        _event(1, K.BEGUN, who="i-11", detail="z1"),
        _event(6, K.EVACUATED, who="z1"),
        _event(11.5, K.OPENED, who="i-11", flow="2>443", detail="desk", sent_s=11.5),
    ]
    assert _violated(events) == set()
    late = _event(12, K.OPENED, who="i-11", flow="3>443", detail="desk", sent_s=12)
    assert _violated([*events, late]) == {"evacuation"}
    over = _event(11.9, K.TAKEN_BACK, who="z1")
    assert _violated([*events, over, late]) == set()


def test_sixth_flow_in_a_second_on_a_cold_target_violates_cold(
    good: list[history.Event],
) -> None:
    begun = _event(6, K.BEGUN, who="i-11")
    flows = [
        _event(6 + n / 10, K.OPENED, who="i-11", flow=f"{n}>443", detail="desk")
        for n in range(1, 7)
    ]
    assert _violated([*good, begun, *flows[:5]]) == set()
    assert _violated([*good, begun, *flows]) == {"cold"}
    warm = [item._replace(at_s=item.at_s + 1) for item in flows]
    assert _violated([*good, begun, *warm]) == set()


def test_flow_on_a_target_of_another_service_violates_right_service(
    good: list[history.Event],
) -> None:
    wrong = _event(6, K.OPENED, flow="2>443", detail="vault", sent_s=6)
    assert _violated([*good, wrong]) == {"right service"}


def test_late_flow_on_a_draining_target_violates_drain(
    good: list[history.Event],
) -> None:
    drained = _event(6, K.DRAINED)
    late = _event(10, K.OPENED, flow="2>443", detail="desk", sent_s=10)
    assert _violated([*good, drained, late._replace(at_s=8)]) == set()
    assert _violated([*good, drained, late]) == {"drain"}


def test_late_flow_on_a_dropped_route_violates_config(
    good: list[history.Event],
) -> None:
    dropped = _event(6, K.ROUTE_DROPPED, who="op", flow="443")
    late = _event(10, K.OPENED, flow="2>443", detail="desk", sent_s=10)
    assert _violated([*good, dropped, late]) == {"config"}


def test_refused_flow_on_a_present_route_violates_config(
    good: list[history.Event],
) -> None:
    refused = _event(9, K.REFUSED, who="c", flow="2>443", sent_s=9)
    assert _violated([*good, refused]) == {"config"}


def test_reset_of_an_open_flow_on_a_live_target_violates_open_flow(
    good: list[history.Event],
) -> None:
    reset = _event(6, K.RESET, who="c", flow="1>443", detail=history.RESET_BY_TARGET)
    assert _violated([*good, reset]) == {"open flow"}
    ended = _event(5.5, K.ENDED)
    assert _violated([*good, ended, reset]) == set()


def test_target_that_is_killed_twice_before_it_starts_ended_the_first_time(
    good: list[history.Event],
) -> None:
    """Guards against a legitimate reset reported as a violation."""
    reset = _event(6, K.RESET, who="c", flow="1>443", detail=history.RESET_BY_TARGET)
    ends = [_event(at_s, K.ENDED) for at_s in (5.5, 6.5, 7)]
    assert _violated([*good, ends[0], reset, ends[1]]) == set()
    assert _violated([*good, reset, ends[1], ends[2]]) == {"open flow"}


def test_reset_soon_after_a_pause_is_allowed_by_a_target_only(
    good: list[history.Event],
) -> None:
    """A target that resumes after a pause answers old packets and resets flows.

    The pause affected the target alone, so that a reset by a VM is a violation.
    """
    pause = _event(5.5, K.FAULT, detail=f"{history.PAUSE_FAULT} 0.5")
    reset = _event(6, K.RESET, who="c", flow="1>443", detail=history.RESET_BY_TARGET)
    assert _violated([*good, pause, reset]) == set()
    assert _violated([*good, pause, reset._replace(detail=history.RESET_BY_VM)]) == {
        "open flow"
    }


def test_fleet_that_does_not_recover_violates_recovery(
    good: list[history.Event],
) -> None:
    lost = [_event(6, K.LOST, who="c", flow=f"{n}>443") for n in range(5)]
    assert [item.invariant for item in history.check_recovery([*good, *lost], 6)] == [
        "recovery"
    ]


def test_event_file_with_a_truncated_line_is_readable(tmp_path: pathlib.Path) -> None:
    path = tmp_path / "events"
    item = _event(5, K.OPENED, flow="1>443", detail="desk", sent_s=4.5)
    history.write(path, item)
    with path.open("a") as file:
        file.write('[5, "op')
    assert history.read(path) == [item]


def test_faults_are_determined_by_the_seed() -> None:
    assert faults.draw(7, 24, 10) == faults.draw(7, 24, 10)
    assert faults.draw(7, 24, 10) != faults.draw(8, 24, 10)


def test_packet_with_changed_data_is_rejected() -> None:
    item = packets.Packet(b"aaaa", 1, b"bbbb", 2, packets.ACK, 5, 6, 7, b"data")
    raw = packets.encode(item)
    assert packets.decode(raw) == item
    other_cookie = raw[:10] + b"\0\0\0\1" + raw[14:]
    assert packets.decode(other_cookie) == item._replace(echo=1)
    assert packets.decode(raw[:-1] + b"x") is None


def test_refusal_outside_an_overload_violates_config(good: list[history.Event]) -> None:
    """Guards against an overload that excuses refusals for the rest of the run."""
    overload = _event(1, K.FAULT, who="for 10.0", detail="overload ")
    fields = {"who": "c", "flow": "2>443", "detail": history.RESET_BY_VM}
    during = _event(9, K.REFUSED, sent_s=8.9, **fields)
    after = _event(14, K.REFUSED, sent_s=13.9, **fields)
    assert _violated([*good, overload, during]) == set()
    assert _violated([*good, overload, after]) == {"config"}
    assert _violated([*good, during]) == {"config"}


def test_vm_that_ends_by_itself_violates_own_end(good: list[history.Event]) -> None:
    """Guards against VMs that crash and are restarted in time, unnoticed."""
    ends = [
        _event(6, K.FAULT, who=who, detail=f"{history.RESTART} {code}")
        for who, code in (("vm1", 0), ("vm2", -9), ("i-10", 1))
    ]
    assert _violated([*good, *ends]) == set()
    crashed = _event(6, K.FAULT, who="vm1", detail=f"{history.RESTART} 1")
    assert _violated([*good, crashed]) == {"own end"}


def test_loss_beside_harmless_faults_alone_is_a_violation(
    good: list[history.Event],
) -> None:
    """Guards against VMs that stay silent while their clocks are set right."""
    lost = _event(7, K.LOST, who="c", flow="2>443", detail="not opened")
    step = _event(6, K.FAULT, who="for 1.0", detail="vm_clock_step 0.50")
    killed = _event(6, K.FAULT, who="for 1.0", detail="vm_kill 0.50")
    assert _violated([*good, lost, step]) == {"harmless faults"}
    assert _violated([*good, lost, step, killed]) == set()
