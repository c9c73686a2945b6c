"""The checks of soak runs find what they are made for."""

import pathlib
import typing

import pytest

from eelgrasswick.emulation import packets
from eelgrasswick.soak import faults, history

K = history.Kind
ANSWER = history.response_digest(history.expected_response("r1", 100))


def _event(at_s: float, kind: history.Kind, **fields: typing.Any) -> history.Event:
    who = fields.pop("who", "i-10")
    return history.Event(at_s, kind, who, **fields)


@pytest.fixture
def good() -> list[history.Event]:
    """A flow that is opened, asks once, and is answered."""
    return [
        _event(0, K.ROUTE_ADDED, who="op", flow="443", detail="desk"),
        _event(0, K.BEGUN),
        _event(5, K.OPENED, flow="1>443", detail="desk", sent_s=5),
        _event(5.1, K.RAN, flow="1>443", request="r1", detail=ANSWER),
        _event(5.2, K.ANSWERED, who="c", flow="1>443", request="r1", detail=ANSWER),
    ]


def _promises(events: list[history.Event]) -> set[str]:
    return {breach.invariant for breach in history.check_invariants(events)}


def test_good_run_breaks_nothing(good: list[history.Event]) -> None:
    assert _promises(good) == set()
    assert history.check_recovery(good, 6) == []


def test_request_that_ran_twice(good: list[history.Event]) -> None:
    twice = _event(5.3, K.RAN, who="i-11", flow="1>443", request="r1", detail=ANSWER)
    assert _promises([*good, twice]) == {"at most once"}


def test_answer_that_was_cut(good: list[history.Event]) -> None:
    cut = _event(5.2, K.ANSWERED, who="c", flow="1>443", request="r1", detail="x")
    assert _promises([*good[:-1], cut]) == {"whole answer"}


def test_answer_that_nobody_gave(good: list[history.Event]) -> None:
    other = good[-1]._replace(request="r9")
    assert _promises([*good, other]) == {"own answer"}


def test_flow_in_an_evacuated_zone(good: list[history.Event]) -> None:
    events = [
        *good,
        _event(1, K.BEGUN, who="i-11", detail="z1"),
        _event(6, K.EVACUATED, who="z1"),
        _event(11.5, K.OPENED, who="i-11", flow="2>443", detail="desk", sent_s=11.5),
    ]
    assert _promises(events) == set()
    late = _event(12, K.OPENED, who="i-11", flow="3>443", detail="desk", sent_s=12)
    assert _promises([*events, late]) == {"evacuation"}
    over = _event(11.9, K.TAKEN_BACK, who="z1")
    assert _promises([*events, over, late]) == set()


def test_flows_at_a_cold_target(good: list[history.Event]) -> None:
    begun = _event(6, K.BEGUN, who="i-11")
    flows = [
        _event(6 + n / 10, K.OPENED, who="i-11", flow=f"{n}>443", detail="desk")
        for n in range(1, 7)
    ]
    assert _promises([*good, begun, *flows[:5]]) == set()
    assert _promises([*good, begun, *flows]) == {"cold"}
    warm = [item._replace(at_s=item.at_s + 1) for item in flows]
    assert _promises([*good, begun, *warm]) == set()


def test_flow_at_another_service(good: list[history.Event]) -> None:
    wrong = _event(6, K.OPENED, flow="2>443", detail="vault", sent_s=6)
    assert _promises([*good, wrong]) == {"right service"}


def test_flow_at_a_target_that_leaves(good: list[history.Event]) -> None:
    drained = _event(6, K.DRAINED)
    late = _event(10, K.OPENED, flow="2>443", detail="desk", sent_s=10)
    assert _promises([*good, drained, late._replace(at_s=8)]) == set()
    assert _promises([*good, drained, late]) == {"drain"}


def test_flow_by_a_route_that_was_dropped(good: list[history.Event]) -> None:
    dropped = _event(6, K.ROUTE_DROPPED, who="op", flow="443")
    late = _event(10, K.OPENED, flow="2>443", detail="desk", sent_s=10)
    assert _promises([*good, dropped, late]) == {"config"}


def test_refusal_of_a_route_that_is_there(good: list[history.Event]) -> None:
    refused = _event(9, K.REFUSED, who="c", flow="2>443", sent_s=9)
    assert _promises([*good, refused]) == {"config"}


def test_reset_of_an_open_flow(good: list[history.Event]) -> None:
    reset = _event(6, K.RESET, who="c", flow="1>443", detail=history.RESET_BY_TARGET)
    assert _promises([*good, reset]) == {"open flow"}
    ended = _event(5.5, K.ENDED)
    assert _promises([*good, ended, reset]) == set()


def test_late_reset_of_a_paused_target_only_is_allowed(
    good: list[history.Event],
) -> None:
    """A target is paused, answers old packets when it wakes, and resets flows.

    It is the target that was harmed; a VM has no such excuse.
    """
    pause = _event(5.5, K.FAULT, detail=f"{history.PAUSE_FAULT} 0.5")
    reset = _event(6, K.RESET, who="c", flow="1>443", detail=history.RESET_BY_TARGET)
    assert _promises([*good, pause, reset]) == set()
    assert _promises([*good, pause, reset._replace(detail=history.RESET_BY_VM)]) == {
        "open flow"
    }


def test_fleet_that_does_not_come_back(good: list[history.Event]) -> None:
    lost = [_event(6, K.LOST, who="c", flow=f"{n}>443") for n in range(5)]
    assert [item.invariant for item in history.check_recovery([*good, *lost], 6)] == [
        "recovery"
    ]


def test_events_outlive_a_process(tmp_path: pathlib.Path) -> None:
    path = tmp_path / "events"
    item = _event(5, K.OPENED, flow="1>443", detail="desk", sent_s=4.5)
    history.write(path, item)
    with path.open("a") as file:
        file.write('[5, "op')
    assert history.read(path) == [item]


def test_one_seed_draws_the_same_faults() -> None:
    assert faults.draw(7, 24, 10) == faults.draw(7, 24, 10)
    assert faults.draw(7, 24, 10) != faults.draw(8, 24, 10)


def test_packet_that_was_changed_is_noticed() -> None:
    item = packets.Packet(b"aaaa", 1, b"bbbb", 2, packets.ACK, 5, 6, 7, b"data")
    raw = packets.encode(item)
    assert packets.decode(raw) == item
    other_cookie = raw[:10] + b"\0\0\0\1" + raw[14:]
    assert packets.decode(other_cookie) == item._replace(echo=1)
    assert packets.decode(raw[:-1] + b"x") is None
