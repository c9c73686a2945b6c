"""The load and the checks of soak runs with too little capacity."""

import typing

import pytest

from eelgrasswick.soak import history, pressure_checks, regression_seeds, scarcity

K = history.Kind


def _event(at_s: float, kind: history.Kind, **fields: typing.Any) -> history.Event:
    who = fields.pop("who", "c")
    return history.Event(at_s, kind, who, **fields)


def _violated(events: list[history.Event]) -> list[str]:
    return [violation.invariant for violation in pressure_checks.check(events)]


@pytest.fixture
def refused() -> list[history.Event]:
    """Return the events of a flow that a VM refused before it sent it to a target."""
    return [
        _event(5.0, K.SENT, flow="1>443", detail="0"),
        _event(5.1, K.REFUSED, flow="1>443", detail=history.RESET_BY_VM),
    ]


def test_refused_flow_that_reached_no_target_violates_nothing(
    refused: list[history.Event],
) -> None:
    """Guards against a check that takes each refusal for a violation."""
    assert _violated(refused) == []


@pytest.mark.parametrize("kind", [K.ARRIVED, K.OPENED, K.RAN])
@pytest.mark.parametrize("at_s", [5.05, 5.15])
def test_refused_flow_that_reached_a_target_violates_true_refusal(
    refused: list[history.Event], kind: history.Kind, at_s: float
) -> None:
    """Guards against a missed target that got the flow before or after the reset."""
    reached = _event(at_s, kind, who="i-10", flow="1>443", detail="0")
    assert _violated([*refused, reached]) == ["true refusal"]


def test_flow_on_a_dropped_route_does_not_violate_true_refusal(
    refused: list[history.Event],
) -> None:
    """Guards against a dropped route, which ends flows at targets, as a violation."""
    reached = _event(5.05, K.ARRIVED, who="i-10", flow="1>443", detail="0")
    dropped = _event(4.9, K.ROUTE_DROPPED, who="op", flow="443")
    assert _violated([dropped, *refused, reached]) == []


def _arrival(wait_s: float) -> list[history.Event]:
    return [
        _event(5.0, K.SENT, flow="1>443", detail="0"),
        _event(5.0 + wait_s, K.ARRIVED, who="i-10", flow="1>443", detail="0"),
    ]


def test_opening_packet_that_arrives_late_violates_wait() -> None:
    """Guards against a VM that holds a packet until the caller has sent another."""
    assert _violated(_arrival(0.2)) == []
    assert _violated(_arrival(0.3)) == ["wait"]


def test_retransmission_is_compared_with_its_own_time() -> None:
    """Guards against a retransmission that counts from the first packet."""
    again = [
        _event(5.3, K.SENT, flow="1>443", detail="1"),
        _event(5.31, K.ARRIVED, who="i-10", flow="1>443", detail="1"),
    ]
    assert _violated([*_arrival(0.01), *again]) == []


@pytest.mark.parametrize(
    ("who", "cookie", "expected"),
    [("i-11", 7, []), ("i-11", 8, ["wait"]), ("i-10", 7, ["wait"])],
)
def test_late_packet_with_the_cookie_of_the_flows_target_is_no_wait(
    who: str, cookie: int, expected: list[str]
) -> None:
    """Guards against an update of cookies that hides a late placement."""
    late = _event(5.9, K.ARRIVED, who=who, flow="1>443", detail="0", cookie=cookie)
    for opened_s in (5.05, 5.95):
        opened = _event(opened_s, K.OPENED, who="i-10", flow="1>443", cookie=7)
        assert _violated([*_arrival(0.01), opened, late]) == expected


@pytest.mark.parametrize(
    ("fault", "expected"),
    [
        (_event(3.0, K.FAULT, who="for 1.0", detail="vm_pause 0.5"), []),
        (_event(1.0, K.FAULT, who="for 0.5", detail="vm_pause 0.5"), ["wait"]),
        (_event(4.9, K.FAULT, who="for 4.0", detail="store_slow 0.5"), ["wait"]),
        (_event(4.0, K.FAULT, who="vm1", detail="restart -9"), []),
    ],
)
def test_late_packet_is_excused_only_by_a_delaying_fault_at_its_time(
    fault: history.Event, expected: list[str]
) -> None:
    """Guards against faults of other kinds or times that hide a long wait."""
    assert _violated([fault, *_arrival(0.3)]) == expected


def _asks(count: int, interval_s: float) -> list[history.Event]:
    return [_event(n * interval_s, K.REFUSED, flow=f"{n}>443") for n in range(count)]


def test_caller_that_is_never_served_violates_starvation() -> None:
    """Guards against a caller that asks for seconds while others are served."""
    assert _violated(_asks(18, 0.5)) == ["starvation"]


def test_caller_that_is_served_at_times_or_asks_rarely_is_not_starved() -> None:
    """Guards against a check that takes each series of refusals for starvation."""
    served = _event(5.1, K.ANSWERED, flow="99>443")
    other = _event(5.1, K.ANSWERED, who="other", flow="98>443")
    assert _violated([*_asks(18, 0.5), served]) == []
    assert _violated([*_asks(18, 0.5), other]) == ["starvation"]
    assert _violated(_asks(5, 3.0)) == []


def test_regression_seeds_play_with_the_capacity_with_which_they_failed() -> None:
    """Guards against a draw that turns a kept seed into a different run."""
    scarce = {item.seed for item in regression_seeds.SEEDS if item.scarce}
    assert scarce == {3, 5, 8803, 9012, 9048}
    assert not scarcity.is_drawn(2)
    drawn = sum(scarcity.is_drawn(seed) for seed in range(1000))
    assert 0.25 < drawn / 1000 < 0.35


def test_load_exceeds_the_capacity_only_between_the_quiet_times() -> None:
    """Guards against an overload during the check of the recovery."""
    bursts = [scarcity.burst(at_s, 24.0) for at_s in (1.9, 2.0, 17.9, 18.0, 23.0)]
    expected = [scarcity.NORMAL_BURST, *[scarcity.PRESSURE_BURST] * 2]
    assert bursts == [*expected, *[scarcity.NORMAL_BURST] * 2]


def test_routes_have_a_latency_target_and_two_priorities() -> None:
    """Guards against routes that do not take part in reservations."""
    fields = [scarcity.route_fields(name) for name in ("r443", "r445")]
    assert all(item["target_latency_ms"] for item in fields)
    assert [item["priority"] for item in fields] == [0, 1]
