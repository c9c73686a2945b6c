"""What happens to each packet of a caller."""

import pytest

from eelgrasswick.cookie import (
    catalog,
    knowledge,
    liveness,
    model,
    observations,
    reports,
    silence,
    steering,
)
from eelgrasswick.platform import entries, segments
from tests import cookie_parts

FRESH_MS = 100


@pytest.fixture
def known() -> catalog.Catalog:
    return cookie_parts.known(
        cookie_parts.config_row(1),
        cookie_parts.target_row("i-0a", 2),
        cookie_parts.target_row("i-0b", 3),
        cookie_parts.target_row("i-0c", 4, zone="z2"),
    )


@pytest.fixture
def seen(known: catalog.Catalog) -> observations.Observations:
    return observations.Observations("z1", known)


@pytest.fixture
def steers(
    known: catalog.Catalog, seen: observations.Observations
) -> steering.Steering:
    return steering.Steering("z1", segments.Codec(), known, seen)


def _steer(
    steers: steering.Steering, now_ms: int, raw: bytes, age_ms: int = FRESH_MS
) -> steering.Decision:
    return steers.steer(now_ms, age_ms, segments.Codec().decode(raw), raw)


def _open(
    steers: steering.Steering, now_ms: int = 0, copies: int = 0, port: int = 40_001
) -> model.Target:
    raw = cookie_parts.packet(cookie_parts.SYN, port, acknowledged=copies)
    target = _steer(steers, now_ms, raw).target
    assert target is not None
    return target


def test_opening_packet_carries_the_cookie(steers: steering.Steering) -> None:
    decision = _steer(steers, 0, cookie_parts.packet(cookie_parts.SYN))
    assert decision.outcome is steering.Outcome.PLACED
    assert decision.target is not None
    assert decision.datagram is not None
    assert decision.datagram.startswith(decision.target.token)
    assert cookie_parts.cookie_of(decision.datagram) == decision.target.cookie
    assert decision.target.zone == "z1"


def test_any_vm_forwards_by_the_cookie(
    steers: steering.Steering, known: catalog.Catalog
) -> None:
    """The fabric's hash moves a flow to a VM that has never seen it.

    Its caller would wait in vain if that VM had to know the flow.
    """
    target = _open(steers)
    other = steering.Steering(
        "z2", segments.Codec(), known, observations.Observations("z2", known)
    )
    raw = cookie_parts.packet(cookie_parts.ACK, cookie=target.cookie, data=b"GET")
    decision = _steer(other, 5, raw)
    assert decision.target == target
    assert decision.datagram == target.token + raw


def test_copy_goes_to_another_target(steers: steering.Steering) -> None:
    """A server went silent and its entry is still there.

    The caller sends its opening packet again after 200 ms. To the same server
    again, the attempt would fail after 1.4 s.
    """
    first = _open(steers)
    again = _open(steers, 200, copies=1)
    assert again != first


def test_silent_target_is_left_out(steers: steering.Steering) -> None:
    """Several callers in a row get no answer from one server.

    Each further one would lose 200 ms there.
    """
    first = _open(steers)
    for number in range(1, 40):
        target = _open(steers, number, port=40_100 + number)
        if target == first:
            _open(steers, number + 200, copies=1, port=40_100 + number)
    later = {_open(steers, 300, port=41_000 + number) for number in range(10)}
    assert first not in later


def test_flow_stays_on_the_target_that_opened_it(steers: steering.Steering) -> None:
    """Two servers answered copies of one opening packet.

    The caller hands back the cookie it heard last. The server it names does not
    hold the flow and would reset it.
    """
    first = _open(steers)
    ack = cookie_parts.packet(cookie_parts.ACK, cookie=first.cookie)
    _steer(steers, 210, ack)
    second = _open(steers, 211, port=40_002)
    raw = cookie_parts.packet(cookie_parts.ACK, cookie=second.cookie, data=b"GET")
    assert _steer(steers, 220, raw).target == first


def test_doubled_opening_packet_goes_to_one_target(
    steers: steering.Steering, seen: observations.Observations
) -> None:
    """The network delivers an opening packet twice.

    At two targets, both would answer, and the caller's packets would name the
    one that does not hold the flow once another VM carries them.
    """
    for number in range(20):
        first = _open(steers, port=44_000 + number)
        assert _open(steers, 1, port=44_000 + number) == first
        again = _open(steers, 200, copies=1, port=44_000 + number)
        assert again != first
        assert _open(steers, 201, copies=1, port=44_000 + number) == again
        seen.answered(202, first)


def test_copies_that_waited_in_a_queue_go_to_one_target(
    steers: steering.Steering,
) -> None:
    """A VM stood still while a caller sent its opening packet three times.

    It reads all three at once. They say nothing of the target, and at three
    targets the flow would be open three times.
    """
    first = _open(steers, 5000)
    assert _open(steers, 5001, copies=1) == first
    assert _open(steers, 5002, copies=2) == first


def test_wrong_cookie_of_an_open_flow_is_put_right(steers: steering.Steering) -> None:
    """Two servers answered copies of one opening packet.

    The caller's packets name the wrong one from then on. This VM knows better,
    but the next one that carries the flow does not; the server hands back what
    it is sent, so the right cookie reaches the caller again.
    """
    first = _open(steers)
    _steer(steers, 2, cookie_parts.packet(cookie_parts.ACK, cookie=first.cookie))
    raw = cookie_parts.packet(cookie_parts.ACK, cookie=first.cookie ^ 1, data=b"GET")
    decision = _steer(steers, 220, raw)
    assert decision.target == first
    assert decision.datagram is not None
    assert cookie_parts.cookie_of(decision.datagram) == first.cookie


def test_unknown_route_is_reset(steers: steering.Steering) -> None:
    raw = cookie_parts.packet(cookie_parts.SYN, port=9)
    decision = _steer(steers, 0, raw)
    assert decision.outcome is steering.Outcome.NO_ROUTE_SURE
    assert decision.address is None


def test_unknown_route_is_not_reset_on_old_knowledge(steers: steering.Steering) -> None:
    """A VM has not heard from the store for a while, and a route was added.

    A reset would tell the caller that there is no such service.
    """
    raw = cookie_parts.packet(cookie_parts.SYN, port=9)
    decision = _steer(steers, 0, raw, age_ms=steering.SURE_MS + 1)
    assert decision.datagram is None


def test_open_flow_on_a_route_that_is_not_known_yet_is_left_alone(
    steers: steering.Steering,
) -> None:
    """A route is added, and a caller opens a flow through a VM that knows it.

    The fabric's hash moves the flow to a VM that hears of the route a moment
    later. A reset would break a flow that goes on well.
    """
    raw = cookie_parts.packet(cookie_parts.ACK, cookie=5, data=b"GET", port=9)
    decision = _steer(steers, 0, raw)
    assert decision.outcome is steering.Outcome.NO_ROUTE
    assert decision.datagram is None


def test_dropped_route_carries_nothing(
    steers: steering.Steering, known: catalog.Catalog
) -> None:
    target = _open(steers)
    row = cookie_parts.config_row(9, 2, [("198.18.0.1", 80, "desk")])
    known.update(5, knowledge.Merge((row,), 0))
    raw = cookie_parts.packet(cookie_parts.ACK, cookie=target.cookie, data=b"GET")
    decision = _steer(steers, 6, raw)
    assert decision.target is None
    assert decision.outcome is steering.Outcome.NO_ROUTE_SURE
    known.update(7, knowledge.Merge((cookie_parts.config_row(10, 3),), 0))
    assert _steer(steers, 8, raw).target == target


def test_service_without_targets_is_refused_at_once(
    steers: steering.Steering, known: catalog.Catalog
) -> None:
    """All servers of a service are gone.

    A caller that hears nothing waits 1.4 s for what can't come.
    """
    rows = [cookie_parts.gone_row(f"i-0{item}", 9) for item in "abc"]
    known.update(5, knowledge.Merge(tuple(rows), 0))
    decision = _steer(steers, 6, cookie_parts.packet(cookie_parts.SYN))
    assert decision.outcome is steering.Outcome.NO_TARGET
    assert decision.datagram is not None


def test_nobody_is_refused_before_servers_can_be_back() -> None:
    """All VMs were killed while the store was down, and start as it returns.

    The servers' entries have lapsed and are back within two seconds. Until then
    a caller that is not answered sends its opening packet again; a refused one
    gives up.
    """
    known = catalog.Catalog(entries.Reader())
    known.update(0, knowledge.Merge((cookie_parts.config_row(1),), 10**9))
    steers = steering.Steering(
        "z1", segments.Codec(), known, observations.Observations("z1", known)
    )
    raw = cookie_parts.packet(cookie_parts.SYN)
    decision = _steer(steers, 100, raw)
    assert decision.outcome is steering.Outcome.NO_TARGET_YET
    assert decision.datagram is None
    for now_ms in range(0, catalog.LAPSE_MS + 1, 500):
        known.tick(now_ms, confirmed_ms=now_ms)
    assert _steer(steers, 2100, raw).outcome is steering.Outcome.NO_TARGET


def test_unknown_cookie_is_dropped(steers: steering.Steering) -> None:
    """A packet names a target that this VM has not heard of yet.

    Any answer could end a flow that goes on well at its target.
    """
    raw = cookie_parts.packet(cookie_parts.ACK, cookie=12345, data=b"GET")
    decision = _steer(steers, 0, raw)
    assert decision.outcome is steering.Outcome.UNKNOWN_COOKIE
    assert decision.datagram is None


def test_target_that_others_find_silent_is_left_out(
    steers: steering.Steering, seen: observations.Observations
) -> None:
    """A server went silent and two other VMs have lost packets to it.

    This VM would lose two callers of its own before it knew.
    """
    first = _open(steers)
    silent = (reports.Entry(first.cookie, 3, 0, silent=True),)
    seen.reports.take(0, "10.0.0.8", silent)
    seen.reports.take(0, "10.0.0.9", silent)
    targets = {_open(steers, 10, port=41_000 + number) for number in range(20)}
    assert first not in targets


def test_one_other_vm_removes_no_target(
    steers: steering.Steering, seen: observations.Observations
) -> None:
    """One VM's own link is broken and it finds every target silent."""
    first = _open(steers)
    seen.reports.take(0, "10.0.0.8", (reports.Entry(first.cookie, 3, 0, True),))
    targets = {_open(steers, 10, port=41_000 + number) for number in range(20)}
    assert first in targets


def test_zone_that_is_cut_off_is_left_out_at_once(
    known: catalog.Catalog, seen: observations.Observations, steers: steering.Steering
) -> None:
    """A zone is cut off from the others, where most targets are.

    Its callers would lose 200 ms and more at each of those targets in turn.
    """
    rows = [
        cookie_parts.target_row(f"i-1{digit}", 20, zone="z2") for digit in "0123456789"
    ]
    known.update(0, knowledge.Merge(tuple(rows), 0))
    far = [item for item in known.accepting("desk") if item.zone == "z2"]
    seen.unanswered(0, far[0])
    seen.unanswered(0, far[1])
    own = [item for item in known.accepting("desk") if item.zone == "z1"]
    full = tuple(reports.Entry(item.cookie, 90, 0, False) for item in own)
    seen.reports.take(0, "10.0.0.8", full)
    seen.tick(0)
    targets = {_open(steers, 10, port=41_000 + number) for number in range(20)}
    assert targets == set(own)


def test_nothing_is_left_out_when_all_are_silent(
    known: catalog.Catalog, seen: observations.Observations
) -> None:
    """A VM's own link to all targets is broken for a moment.

    If it refused every caller, none would come through when the link is back.
    """
    for target in known.accepting("desk"):
        seen.unanswered(0, target)
        seen.unanswered(0, target)
    assert len(seen.candidates(10, "desk", 0, 0.5)) == 3


def test_data_sent_again_and_again_tells_of_a_silent_target(
    steers: steering.Steering,
) -> None:
    """A server goes silent while its flows are open.

    Their callers send again what they asked; new ones should not go there.
    """
    first = _open(steers)
    raw = cookie_parts.packet(cookie_parts.ACK, cookie=first.cookie, data=b"GET")
    for now_ms in (10, 210, 610):
        _steer(steers, now_ms, raw)
    targets = {_open(steers, 620, port=41_000 + number) for number in range(20)}
    assert first not in targets


def _crash(steers: steering.Steering, seen: observations.Observations) -> model.Target:
    """Let a target fall silent with one flow open; return it when it is dead."""
    first = _open(steers)
    raw = cookie_parts.packet(cookie_parts.ACK, cookie=first.cookie, data=b"GET")
    decision = None
    for now_ms in (10, 210):
        neighbour = _open(steers, now_ms, port=42_000 + now_ms)
        while neighbour == first:
            neighbour = _open(steers, now_ms, port=43_000 + len(seen.tracker))
        seen.answered(now_ms, neighbour)
        decision = _steer(steers, now_ms, raw)
    assert decision is not None
    assert decision.probe == first
    assert seen.liveness.probed(460, first.cookie, False, 300)
    return first


def test_flows_of_a_dead_target_are_reset(
    steers: steering.Steering, seen: observations.Observations
) -> None:
    """A server crashes while flows are open on it.

    Their callers would wait until their time limit for each request.
    """
    first = _crash(steers, seen)
    resets = steers.abandon(first)
    assert [flow for flow, _ in resets] == [cookie_parts.flow()]
    raw = cookie_parts.packet(
        cookie_parts.ACK, 40_077, acknowledged=900, cookie=first.cookie, data=b"GET"
    )
    decision = _steer(steers, 710, raw)
    assert decision.outcome is steering.Outcome.TARGET_DEAD
    assert decision.address is None


def test_target_that_answers_again_is_not_dead(
    steers: steering.Steering, seen: observations.Observations
) -> None:
    first = _crash(steers, seen)
    seen.answered(720, first)
    raw = cookie_parts.packet(cookie_parts.ACK, cookie=first.cookie, data=b"GET")
    assert _steer(steers, 730, raw).outcome is steering.Outcome.FORWARDED


def test_dead_target_gets_no_flow(
    steers: steering.Steering, seen: observations.Observations
) -> None:
    """A server is dead, and its entry is still there.

    A flow that is placed on it would be reset with the caller's next packet.
    """
    first = _crash(steers, seen)
    for number in range(30):
        assert _open(steers, 1600, port=44_000 + number) != first


def test_target_that_is_back_keeps_its_flows(
    steers: steering.Steering, known: catalog.Catalog, seen: observations.Observations
) -> None:
    """A server was cut off by itself, taken for dead, and is back.

    Another VM has opened a flow on it. A packet of that flow comes here: it goes
    on, and the server is asked once more whether it is there.
    """
    first = _crash(steers, seen)
    steers.abandon(first)
    now_ms = 470 + liveness.DEAD_MS
    neighbours = [item for item in known.accepting("desk") if item != first]
    seen.answered(now_ms, neighbours[0])
    raw = cookie_parts.packet(
        cookie_parts.ACK, 40_078, cookie=first.cookie, data=b"GET"
    )
    decision = _steer(steers, now_ms, raw)
    assert decision.outcome is steering.Outcome.FORWARDED
    assert decision.probe == first
    again = _steer(steers, now_ms + 10, raw)
    assert again.outcome is steering.Outcome.FORWARDED
    assert again.probe is None


def test_flows_of_a_replaced_target_are_reset(
    steers: steering.Steering, known: catalog.Catalog
) -> None:
    """A server crashed and another one has its address by now.

    The packets of its flows would reach the other, which drops them in silence.
    """
    first = _open(steers)
    row = cookie_parts.target_row(
        "i-0d",
        9,
        born=9000,
        address=f"{first.address.host}:{first.address.port}",
    )
    known.update(10, knowledge.Merge((row,), 0))
    raw = cookie_parts.packet(cookie_parts.ACK, cookie=first.cookie, data=b"GET")
    assert _steer(steers, 20, raw).outcome is steering.Outcome.TARGET_DEAD


def test_opening_packet_of_a_replaced_target_goes_elsewhere(
    steers: steering.Steering, known: catalog.Catalog
) -> None:
    """A server is replaced between an opening packet and its copy."""
    first = _open(steers)
    known.update(
        10, knowledge.Merge((cookie_parts.target_row(first.name, 9, born=9000),), 0)
    )
    copy = cookie_parts.packet(cookie_parts.SYN, acknowledged=1)
    decision = _steer(steers, 20, copy)
    assert decision.outcome is steering.Outcome.PLACED
    assert decision.target is not None
    assert decision.target.cookie != first.cookie


def test_flows_of_other_vms_count(
    steers: steering.Steering, known: catalog.Catalog, seen: observations.Observations
) -> None:
    """Another VM of the zone has filled one target.

    A VM that counts its own flows only would fill it further.
    """
    first, second, elsewhere = known.accepting("desk")
    filled = [reports.Entry(t.cookie, 30, 0, False) for t in (first, elsewhere)]
    seen.reports.take(0, "10.0.0.8", tuple(filled))
    seen.tick(0)
    targets = [_open(steers, 10, port=41_000 + number) for number in range(20)]
    assert targets.count(second) > 15


def test_flows_spread_evenly(
    steers: steering.Steering, known: catalog.Catalog, seen: observations.Observations
) -> None:
    for number in range(60):
        _open(steers, port=41_000 + number)
    own = [t for t in known.targets if t.zone == "z1"]
    counts = [seen.tracker.flows_on(t.cookie) for t in own]
    assert max(counts) - min(counts) <= 4


def test_target_that_hangs_gets_fewer_flows(
    steers: steering.Steering, seen: observations.Observations
) -> None:
    """A server opens flows and accepts connections, but answers no request.

    Its health check is good. Each new flow there costs its caller a time limit.
    """
    first = _open(steers)
    for number in range(2):
        port = 46_000 + number
        for now_ms, acknowledged, data in (
            (10, 100, b"GET"),
            (30, 2500, b""),
            (100, 4100, b"GET"),
        ):
            raw = cookie_parts.packet(
                cookie_parts.ACK,
                port,
                sequence=1 + now_ms,
                acknowledged=acknowledged,
                cookie=first.cookie,
                data=data,
            )
            _steer(steers, now_ms, raw)
    assert seen.overdue(600) == [first]
    assert all(_open(steers, 610, port=47_000 + n) != first for n in range(20))
    trial_ms = 600 + silence.TRIAL_MS
    assert any(_open(steers, trial_ms, port=48_000 + n) == first for n in range(20))
