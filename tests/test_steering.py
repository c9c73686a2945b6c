"""What happens to each packet of a caller."""

from eelgrasswick.cookie import (
    catalog,
    knowledge,
    observations,
    reports,
    steering,
)
from eelgrasswick.decisions import overload
from eelgrasswick.platform import entries, segments
from tests import cookie_parts, steering_parts


def test_opening_packet_carries_the_cookie(steers: steering.Steering) -> None:
    decision = steering_parts.steer(steers, 0, cookie_parts.packet(cookie_parts.SYN))
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
    target = steering_parts.opened(steers)
    other = steering.Steering(
        "z2", segments.Codec(), known, observations.Observations("z2", known)
    )
    raw = cookie_parts.packet(cookie_parts.ACK, cookie=target.cookie, data=b"GET")
    decision = steering_parts.steer(other, 5, raw)
    assert decision.target == target
    assert decision.datagram == target.token + raw


def test_flow_stays_on_the_target_that_opened_it(steers: steering.Steering) -> None:
    """Two servers answered copies of one opening packet.

    The caller hands back the cookie it heard last. The server it names does not
    hold the flow and would reset it.
    """
    first = steering_parts.opened(steers)
    ack = cookie_parts.packet(cookie_parts.ACK, cookie=first.cookie)
    steering_parts.steer(steers, 210, ack)
    second = steering_parts.opened(steers, 211, port=40_002)
    raw = cookie_parts.packet(cookie_parts.ACK, cookie=second.cookie, data=b"GET")
    assert steering_parts.steer(steers, 220, raw).target == first


def test_doubled_opening_packet_goes_to_one_target(
    steers: steering.Steering, seen: observations.Observations
) -> None:
    """The network delivers an opening packet twice.

    At two targets, both would answer, and the caller's packets would name the
    one that does not hold the flow once another VM carries them.
    """
    for number in range(20):
        first = steering_parts.opened(steers, port=44_000 + number)
        assert steering_parts.opened(steers, 1, port=44_000 + number) == first
        again = steering_parts.opened(steers, 200, copies=1, port=44_000 + number)
        assert again != first
        assert (
            steering_parts.opened(steers, 201, copies=1, port=44_000 + number) == again
        )
        seen.record_answer(202, first)


def test_copies_that_waited_in_a_queue_go_to_one_target(
    steers: steering.Steering,
) -> None:
    """A VM stood still while a caller sent its opening packet three times.

    It reads all three at once. They say nothing of the target, and at three
    targets the flow would be open three times.
    """
    first = steering_parts.opened(steers, 5000)
    assert steering_parts.opened(steers, 5001, copies=1) == first
    assert steering_parts.opened(steers, 5002, copies=2) == first


def test_wrong_cookie_of_an_open_flow_is_put_right(steers: steering.Steering) -> None:
    """Two servers answered copies of one opening packet.

    The caller's packets name the wrong one from then on. This VM knows better,
    but the next one that carries the flow does not; the server hands back what
    it is sent, so the right cookie reaches the caller again.
    """
    first = steering_parts.opened(steers)
    steering_parts.steer(
        steers, 2, cookie_parts.packet(cookie_parts.ACK, cookie=first.cookie)
    )
    raw = cookie_parts.packet(cookie_parts.ACK, cookie=first.cookie ^ 1, data=b"GET")
    decision = steering_parts.steer(steers, 220, raw)
    assert decision.target == first
    assert decision.datagram is not None
    assert cookie_parts.cookie_of(decision.datagram) == first.cookie


def test_unknown_route_is_reset(steers: steering.Steering) -> None:
    raw = cookie_parts.packet(cookie_parts.SYN, port=9)
    decision = steering_parts.steer(steers, 0, raw)
    assert decision.outcome is steering.Outcome.NO_ROUTE_RESET
    assert decision.address is None


def test_unknown_route_is_not_reset_on_old_knowledge(steers: steering.Steering) -> None:
    """A VM has not heard from the store for a while, and a route was added.

    A reset would tell the caller that there is no such service.
    """
    raw = cookie_parts.packet(cookie_parts.SYN, port=9)
    decision = steering_parts.steer(
        steers, 0, raw, age_ms=steering.MAX_CATALOG_AGE_MS + 1
    )
    assert decision.datagram is None


def test_open_flow_on_a_route_that_is_not_known_yet_is_left_alone(
    steers: steering.Steering,
) -> None:
    """A route is added, and a caller opens a flow through a VM that knows it.

    The fabric's hash moves the flow to a VM that hears of the route a moment
    later. A reset would break a flow that goes on well.
    """
    raw = cookie_parts.packet(cookie_parts.ACK, cookie=5, data=b"GET", port=9)
    decision = steering_parts.steer(steers, 0, raw)
    assert decision.outcome is steering.Outcome.NO_ROUTE
    assert decision.datagram is None


def test_dropped_route_carries_nothing(
    steers: steering.Steering, known: catalog.Catalog
) -> None:
    target = steering_parts.opened(steers)
    row = cookie_parts.config_row(9, 2, [("198.18.0.1", 80, "desk")])
    known.update(5, knowledge.Merge((row,), 0))
    raw = cookie_parts.packet(cookie_parts.ACK, cookie=target.cookie, data=b"GET")
    decision = steering_parts.steer(steers, 6, raw)
    assert decision.target is None
    assert decision.outcome is steering.Outcome.NO_ROUTE_RESET
    known.update(7, knowledge.Merge((cookie_parts.config_row(10, 3),), 0))
    assert steering_parts.steer(steers, 8, raw).target == target


def test_service_without_targets_is_refused_at_once(
    steers: steering.Steering, known: catalog.Catalog
) -> None:
    """All servers of a service are gone.

    A caller that hears nothing waits 1.4 s for what can't come.
    """
    rows = [cookie_parts.gone_row(f"i-0{item}", 9) for item in "abc"]
    known.update(5, knowledge.Merge(tuple(rows), 0))
    decision = steering_parts.steer(steers, 6, cookie_parts.packet(cookie_parts.SYN))
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
    decision = steering_parts.steer(steers, 100, raw)
    assert decision.outcome is steering.Outcome.NO_TARGET_YET
    assert decision.datagram is None
    for now_ms in range(0, catalog.LAPSED_ENTRY_GRACE_MS + 1, 500):
        known.tick(now_ms, confirmed_ms=now_ms)
    assert steering_parts.steer(steers, 2100, raw).outcome is steering.Outcome.NO_TARGET


def test_unknown_cookie_is_dropped(steers: steering.Steering) -> None:
    """A packet names a target that this VM has not heard of yet.

    Any answer could end a flow that goes on well at its target.
    """
    raw = cookie_parts.packet(cookie_parts.ACK, cookie=12345, data=b"GET")
    decision = steering_parts.steer(steers, 0, raw)
    assert decision.outcome is steering.Outcome.UNKNOWN_COOKIE
    assert decision.datagram is None


def test_flows_of_other_vms_count(
    steers: steering.Steering, known: catalog.Catalog, seen: observations.Observations
) -> None:
    """Another VM of the zone has filled one target.

    A VM that counts its own flows only would fill it further.
    """
    first, second, elsewhere = known.accepting("desk")
    filled = [reports.TargetReport(t.cookie, 30, 0, False) for t in (first, elsewhere)]
    seen.reports.record(0, "10.0.0.8", tuple(filled))
    seen.tick(0)
    targets = []
    for port in range(41_000, 41_020):
        target = steering_parts.opened(steers, 10, port=port)
        raw = cookie_parts.packet(cookie_parts.ACK, port, cookie=target.cookie)
        steering_parts.steer(steers, 14, raw)
        targets.append(target)
    assert targets.count(second) > 15


def test_flows_spread_evenly(
    steers: steering.Steering, known: catalog.Catalog, seen: observations.Observations
) -> None:
    for number in range(60):
        steering_parts.opened(steers, port=41_000 + number)
    own = [t for t in known.targets if t.zone == "z1"]
    counts = [seen.tracker.flows_on(t.cookie) for t in own]
    assert max(counts) - min(counts) <= 4


def _overload(seen: observations.Observations, zone: str) -> int:
    """Have nearly all answers of a zone be late; return the time until when."""
    pool = overload.Pool("desk", zone)
    for number in range(400):
        ratio = 0.2 if number < 20 else 1.9
        seen.refusals.answered(10 * number, pool, ratio, False, 1)
    return 10 * number


def test_flow_that_its_zone_refuses_goes_where_there_is_room(
    steers: steering.Steering, seen: observations.Observations
) -> None:
    """A crowd comes to one zone, and the targets of another are half idle.

    Refused there, its callers would be lost although they can be served.
    """
    now_ms = _overload(seen, "z1")
    assert steering_parts.opened(steers, now_ms).zone == "z2"


def test_flow_that_no_zone_has_room_for_is_refused_at_once(
    steers: steering.Steering, seen: observations.Observations
) -> None:
    """All targets have more to do than they can.

    The caller is told at once that nothing has run, and does not wait for an answer
    that would be late.
    """
    _overload(seen, "z1")
    now_ms = _overload(seen, "z2")
    decision = steering_parts.steer(
        steers, now_ms, cookie_parts.packet(cookie_parts.SYN)
    )
    assert decision.outcome is steering.Outcome.OVERLOADED
    assert decision.address is None
    assert decision.datagram is not None
    assert seen.tracker.waiting_flows == {}


def test_copy_of_an_opening_packet_is_not_refused(
    steers: steering.Steering, seen: observations.Observations
) -> None:
    """The first opening packet came to a target by another VM.

    Its answer may be on the way to the caller. A reset would then end a flow that a
    target holds, and tell the caller that nothing has run.
    """
    _overload(seen, "z1")
    now_ms = _overload(seen, "z2")
    raw = cookie_parts.packet(cookie_parts.SYN, acknowledged=1)
    decision = steering_parts.steer(steers, now_ms, raw)
    assert decision.outcome is steering.Outcome.PLACED
