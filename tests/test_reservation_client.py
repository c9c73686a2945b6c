"""Tests of the client of reservations, in virtual time."""

import collections
import typing

import pytest

from eelgrasswick.cookie import exchange
from eelgrasswick.reservations import (
    choice,
    client,
    codec,
    groups,
    held_flow,
    messages,
    reporting,
)
from tests import reservation_parts

THREE_ZONES: typing.Final = reservation_parts.make_groups(z1=4, z2=4, z3=4)
ONE_ZONE: typing.Final = reservation_parts.make_groups(z1=4)
FULL: typing.Final = messages.RejectReason.FULL
KEYS: typing.Final = ("web/z1/0", "web/z2/0", "web/z3/0")


@pytest.fixture
def vm() -> reservation_parts.Vm:
    """Return a client in zone z1 that holds no flow."""
    return reservation_parts.Vm()


def outcomes(items: list[client.Resolution]) -> list[tuple[client.Kind, client.Reason]]:
    """Return the kinds and reasons of resolutions."""
    return [(item.kind, item.reason) for item in items]


def zone_of(asked: tuple[str, messages.Reserve]) -> str:
    """Return the zone of the group that was asked."""
    return asked[1].group.split("/")[1]


def scheduler(key: str, rank: int = 0) -> str:
    """Return a host of a group by its rank."""
    hosts = reservation_parts.HOSTS[key.split("/")[1]]
    return groups.ranked_hosts(key, hosts, rank + 1)[rank]


def test_a_granted_flow_gets_the_target_of_the_grant(vm: reservation_parts.Vm) -> None:
    """Guards against a wrong request, or a grant that is not passed on."""
    assert vm.request(0, 1, ONE_ZONE) == []
    assert vm.client.holds(reservation_parts.make_flow(1))
    host, asked = vm.asked()
    assert host == scheduler("web/z1/0")
    assert asked.group == "web/z1/0"
    assert (asked.priority, asked.wait_ms, asked.caller) == (1, 100, 77)
    assert asked.candidates == tuple(
        messages.Candidate(item.cookie, 2) for item in ONE_ZONE[0].targets
    )
    (done,) = vm.grant(7, 1)
    assert done.kind is client.Kind.GRANTED
    assert done.cookie == asked.candidates[0].cookie
    assert (done.raw, done.waited_ms, done.asked) == (b"packet", 7, 1)
    assert done.expected_wait_ms == 4
    assert not vm.client.holds(done.flow)
    assert (len(vm.client), vm.client.held_bytes) == (0, 0)


def test_a_copy_of_a_held_packet_joins_it(vm: reservation_parts.Vm) -> None:
    """Guards against two reservations for one flow."""
    vm.request(0, 1, ONE_ZONE)
    assert vm.request(5, 1, ONE_ZONE) == []
    assert len(vm.sent) == 1
    assert len(vm.grant(6, 1)) == 1


def test_a_flow_without_reply_is_placed_after_40_ms(vm: reservation_parts.Vm) -> None:
    """Guards against a dead scheduler that holds flows."""
    vm.request(0, 1, ONE_ZONE)
    assert vm.client.tick(39) == []
    assert outcomes(vm.client.tick(40)) == [
        (client.Kind.PLACE_LOCALLY, client.Reason.NO_REPLY)
    ]
    assert not vm.client.holds(reservation_parts.make_flow(1))


def miss_replies(vm: reservation_parts.Vm, now_ms: int, count: int = 3) -> None:
    """Let a number of requests at one time get no reply for 40 ms."""
    sent = len(vm.sent)
    for port in range(1000, 1000 + count):
        assert vm.request(now_ms, port, ONE_ZONE) == []
    assert len(vm.sent) == sent + count
    assert len({host for host, _ in vm.sent[sent:]}) == 1
    assert len(vm.client.tick(now_ms + 40)) == count


def test_a_scheduler_without_a_reply_is_not_asked_for_200_ms(
    vm: reservation_parts.Vm,
) -> None:
    """Guards against a short pause of a scheduler that splits a group between two."""
    miss_replies(vm, 0, count=1)
    for now_ms in (41, 239):
        assert outcomes(vm.request(now_ms, 2, ONE_ZONE)) == [
            (client.Kind.PLACE_LOCALLY, client.Reason.NO_SCHEDULER)
        ]
    assert len(vm.sent) == 1
    assert vm.request(240, 3, ONE_ZONE) == []
    assert len(vm.sent) == 2
    assert vm.asked()[0] == scheduler("web/z1/0")


def test_a_scheduler_without_3_replies_is_replaced_by_the_next_host_for_1_s(
    vm: reservation_parts.Vm,
) -> None:
    """Guards against flows that each wait 40 ms for a dead scheduler."""
    for now_ms in (0, 240, 480):
        miss_replies(vm, now_ms, count=1)
        assert vm.asked()[0] == scheduler("web/z1/0")
    for now_ms, number in ((521, 1), (1519, 2)):
        assert vm.request(now_ms, 2, ONE_ZONE) == []
        assert vm.asked()[0] == scheduler("web/z1/0", 1)
        vm.grant(now_ms, number)
    vm.client.tick(1520)
    assert vm.request(1520, 4, ONE_ZONE) == []
    assert vm.asked()[0] == scheduler("web/z1/0")
    assert len(vm.sent) == 6


def test_a_reply_between_missed_ones_begins_their_count_anew(
    vm: reservation_parts.Vm,
) -> None:
    """Guards against a replaced scheduler that loses a message now and then."""
    for now_ms, number in ((0, 1), (300, 2), (600, 3), (900, 4)):
        miss_replies(vm, now_ms, count=1)
        assert vm.request(now_ms + 240, 2, ONE_ZONE) == []
        assert vm.asked()[0] == scheduler("web/z1/0")
        assert len(vm.grant(now_ms + 245, number)) == 1


def test_a_late_reply_ends_the_silence_of_a_scheduler(vm: reservation_parts.Vm) -> None:
    """Guards against two schedulers of a group after one lost message."""
    vm.request(0, 1, ONE_ZONE)
    vm.client.tick(40)
    assert vm.grant(44, 1) == []
    assert vm.request(50, 2, ONE_ZONE) == []
    assert len(vm.sent) == 2
    assert vm.asked()[0] == scheduler("web/z1/0")


def silence_own_zone(vm: reservation_parts.Vm) -> int:
    """Let all tried schedulers of the own zone miss replies; return the time then."""
    now_ms = 0
    for rank, misses in enumerate((3, 3, 1)):
        for _ in range(misses):
            miss_replies(vm, now_ms)
            assert vm.asked()[0] == scheduler("web/z1/0", rank)
            now_ms += 40 + choice.RETRY_MS
        now_ms -= choice.RETRY_MS
    return now_ms


def test_flows_are_placed_at_once_when_all_tried_schedulers_are_silent(
    vm: reservation_parts.Vm,
) -> None:
    """Guards against a zone with lost schedulers that delays or refuses every flow."""
    assert silence_own_zone(vm) == 1080
    placed = [(client.Kind.PLACE_LOCALLY, client.Reason.NO_SCHEDULER)]
    for now_ms in (1080, 1279):
        assert outcomes(vm.request(now_ms, 9, ONE_ZONE)) == placed
    assert len(vm.sent) == 21
    miss_replies(vm, 1280)
    assert vm.asked()[0] == scheduler("web/z1/0", 2)
    for now_ms in (1320, 1519):
        assert outcomes(vm.request(now_ms, 9, ONE_ZONE)) == placed
    assert len(vm.sent) == 24
    assert vm.request(1520, 9, ONE_ZONE) == []
    assert vm.asked()[0] == scheduler("web/z1/0")


def test_requests_sent_before_the_end_of_a_silence_count_as_one_miss(
    vm: reservation_parts.Vm,
) -> None:
    """Guards against a scheduler that is replaced after one short pause."""
    for start_ms in (0, 240):
        for port in range(4):
            assert vm.request(start_ms + 10 * port, port, ONE_ZONE) == []
        for port in range(4):
            assert len(vm.client.tick(start_ms + 10 * port + 40)) == 1
    assert vm.request(480, 9, ONE_ZONE) == []
    assert vm.asked()[0] == scheduler("web/z1/0")
    assert len(vm.client.tick(520)) == 1
    assert vm.request(521, 9, ONE_ZONE) == []
    assert vm.asked()[0] == scheduler("web/z1/0", 1)


def test_a_silent_scheduler_of_another_zone_is_not_asked_for_1_s() -> None:
    """Guards against flows that each wait 40 ms for a zone that is cut off."""
    hosts = {"z2": reservation_parts.HOSTS["z2"][:1]}
    items = reservation_parts.make_groups(z2=4)
    chooser = choice.GroupChoice("z1")
    chooser.record_silence(40, hosts["z2"][0], "z2", 0)
    assert chooser.other(1039, items, hosts, 0) is None
    assert not chooser.reaches_other_zone(1039, items, hosts)
    chosen = chooser.other(1040, items, hosts, 0)
    assert chosen is not None
    assert chosen.host == hosts["z2"][0]


def test_a_queued_flow_is_placed_20_ms_after_the_end_of_its_wait(
    vm: reservation_parts.Vm,
) -> None:
    """Guards against a lost outcome that holds a flow, and an early end of its wait."""
    vm.request(0, 1, ONE_ZONE, wait_ms=100)
    vm.queue(5)
    assert vm.client.tick(119) == []
    assert outcomes(vm.client.tick(120)) == [
        (client.Kind.PLACE_LOCALLY, client.Reason.NO_OUTCOME)
    ]


def test_a_queued_flow_that_is_granted_later_gets_its_target(
    vm: reservation_parts.Vm,
) -> None:
    """Guards against a queue whose grants find no flow."""
    vm.request(0, 1, ONE_ZONE, wait_ms=100)
    vm.queue(5)
    (done,) = vm.grant(99, 1)
    assert (done.kind, done.waited_ms) == (client.Kind.GRANTED, 99)


def test_a_flow_is_held_for_at_most_150_ms(vm: reservation_parts.Vm) -> None:
    """Guards against a packet that is sent after the caller's retransmission."""
    vm.request(0, 1, ONE_ZONE, wait_ms=500)
    assert vm.asked()[1].wait_ms == held_flow.MAX_WAIT_MS
    vm.queue(5)
    assert vm.client.tick(149) == []
    assert len(vm.client.tick(150)) == 1
    vm.request(1000, 2, THREE_ZONES, wait_ms=500)
    vm.queue(1001)
    vm.reject(1068, 30, messages.RejectReason.TIMEOUT)
    vm.reject(1100)
    assert vm.asked()[1].wait_ms == 30
    vm.queue(1105)
    assert vm.client.tick(1149) == []
    assert len(vm.client.tick(1150)) == 1


def test_a_lost_grant_leads_to_local_placement_without_an_acknowledgement(
    vm: reservation_parts.Vm,
) -> None:
    """Guards against an acknowledgement of a grant that was never received."""
    vm.request(0, 1, ONE_ZONE)
    vm.queue(1)
    vm.client.tick(120)
    vm.request(130, 2, ONE_ZONE)
    assert vm.asked()[1].acknowledged == messages.Acknowledged()


def test_a_late_grant_is_acknowledged_and_not_placed(vm: reservation_parts.Vm) -> None:
    """Guards against capacity that stays reserved, and a flow that is opened twice."""
    vm.request(0, 1, ONE_ZONE)
    vm.client.tick(40)
    host, _ = vm.asked()
    assert vm.grant(45, 6) == []
    (sent,) = vm.client.usage_due(46, vm.usage)
    assert sent.host == host
    assert isinstance(sent.message, messages.UsageUpdate)
    assert sent.message.acknowledged == messages.Acknowledged(55, 6)
    assert vm.grant(47, 7) == []
    assert vm.client.usage_due(47, vm.usage) == []
    (sent,) = vm.client.usage_due(48, vm.usage)
    assert isinstance(sent.message, messages.UsageUpdate)
    assert sent.message.acknowledged == messages.Acknowledged(55, 7)
    assert vm.client.usage_due(70, vm.usage) == []


def test_a_duplicated_or_older_grant_changes_nothing(vm: reservation_parts.Vm) -> None:
    """Guards against a reordered grant that lowers the acknowledgement."""
    vm.request(0, 1, ONE_ZONE)
    vm.grant(1, 6)
    assert vm.grant(2, 6) == []
    assert vm.grant(3, 4) == []
    vm.request(5, 2, ONE_ZONE)
    assert vm.asked()[1].acknowledged == messages.Acknowledged(55, 6)
    host, asked = vm.asked()
    vm.client.receive(
        6, host, messages.Grant(56, asked.request, asked.candidates[0].cookie, 1, 0)
    )
    vm.request(7, 3, ONE_ZONE)
    assert vm.asked()[1].acknowledged == messages.Acknowledged(56, 1)


def test_a_reply_of_another_host_or_to_another_request_is_ignored(
    vm: reservation_parts.Vm,
) -> None:
    """Guards against a grant of a VM that was not asked, or for a former process."""
    vm.request(0, 1, ONE_ZONE)
    host, asked = vm.asked()
    grant = messages.Grant(55, asked.request, asked.candidates[0].cookie, 1, 0)
    assert vm.client.receive(1, "10.0.0.99", grant) == []
    assert vm.client.receive(1, host, grant._replace(request=1)) == []
    assert vm.client.receive(1, host, messages.Pressure("web", "z1", 3)) == []
    assert len(vm.client) == 1


def test_a_grant_of_a_target_that_was_no_candidate_is_placed_locally(
    vm: reservation_parts.Vm,
) -> None:
    """Guards against a flow that is sent to a draining target."""
    vm.request(0, 1, ONE_ZONE)
    host, asked = vm.asked()
    grant = messages.Grant(55, asked.request, 12345, 1, 0)
    assert outcomes(vm.client.receive(1, host, grant)) == [
        (client.Kind.PLACE_LOCALLY, client.Reason.UNKNOWN_TARGET)
    ]


def test_a_rejected_flow_asks_another_zone_and_then_the_best_group(
    vm: reservation_parts.Vm,
) -> None:
    """Guards against a refusal while another zone has free capacity."""
    vm.request(0, 1, THREE_ZONES, wait_ms=100)
    assert (zone_of(vm.asked()), vm.asked()[1].wait_ms) == ("z1", 50)
    assert vm.reject(10, 30) == []
    second = zone_of(vm.asked())
    assert second in ("z2", "z3")
    assert vm.asked()[1].wait_ms == 0
    assert vm.reject(13, 25) == []
    third = zone_of(vm.asked())
    assert third not in ("z1", second)
    assert vm.asked()[1].wait_ms == 87
    (done,) = vm.reject(16, 40)
    assert (done.kind, done.reason) == (client.Kind.REFUSED, client.Reason.FULL)
    assert (done.asked, done.waited_ms, done.expected_wait_ms) == (3, 16, 40)
    assert len({message.request for _, message in vm.sent}) == 3


def test_the_third_request_prefers_the_own_zone_on_ties(
    vm: reservation_parts.Vm,
) -> None:
    """Guards against flows that cross zones without need."""
    items = reservation_parts.make_groups(z1=4, z2=4)
    vm.request(0, 1, items)
    vm.reject(1, 30)
    assert zone_of(vm.asked()) == "z2"
    vm.reject(2, 30)
    assert zone_of(vm.asked()) == "z1"


def test_ties_prefer_the_own_zone_in_any_order_of_groups() -> None:
    """Guards against a preference that is only that of the first group."""
    chooser = choice.GroupChoice("z2")
    for items in (THREE_ZONES, THREE_ZONES[::-1]):
        chosen = chooser.best(0, items, reservation_parts.HOSTS, ())
        assert chosen is not None
        assert chosen.group.zone == "z2"


def test_successive_turns_compare_all_pairs_of_groups() -> None:
    """Guards against groups that are only compared with their neighbors."""
    items = reservation_parts.make_groups(z1=40)
    chooser = choice.GroupChoice("z1")
    for index, item in enumerate(items):
        chooser.record_wait(0, item.key, 10 * index)
    counts: collections.Counter[str] = collections.Counter()
    for turn in range(20):
        chosen = chooser.own(1, items, reservation_parts.HOSTS, turn)
        assert chosen is not None
        counts[chosen.group.key] += 1
    assert [counts[item.key] for item in items] == [8, 6, 4, 2, 0]


def test_groups_that_can_not_serve_the_flow_in_time_are_not_asked_again(
    vm: reservation_parts.Vm,
) -> None:
    """Guards against a refusal that is delayed by requests without a chance."""
    items = reservation_parts.make_groups(z1=4, z2=4)
    vm.request(0, 1, items, wait_ms=100)
    vm.reject(1, 300)
    assert outcomes(vm.reject(2, 200)) == [(client.Kind.REFUSED, client.Reason.FULL)]
    assert len(vm.sent) == 2


def test_the_second_request_goes_to_the_shortest_reported_wait(
    vm: reservation_parts.Vm,
) -> None:
    """Guards against requests to a zone that reported a longer wait."""
    vm.request(0, 1, THREE_ZONES)
    vm.reject(1, 30)
    slower = zone_of(vm.asked())
    vm.reject(2, 80)
    faster = zone_of(vm.asked())
    vm.grant(3, 1)
    for port in range(2, 8):
        now_ms = 200 + port
        vm.request(now_ms, port, THREE_ZONES)
        vm.reject(now_ms, 30)
        assert zone_of(vm.asked()) == faster != slower
        vm.grant(now_ms, port)


def test_a_full_zone_is_skipped_for_250_ms(vm: reservation_parts.Vm) -> None:
    """Guards against requests whose rejection is known before.

    Without another zone to ask, the first request has the whole wait.
    """
    items = reservation_parts.make_groups(z1=4, z2=4)
    vm.request(0, 1, items)
    vm.reject(1, 30)
    vm.reject(2, 90)
    vm.grant(3, 1)
    for now_ms, number in ((100, 2), (251, 3)):
        vm.request(now_ms, number, items)
        assert (zone_of(vm.asked()), vm.asked()[1].wait_ms) == ("z1", 100)
        vm.reject(now_ms + 1, 30)
        assert (zone_of(vm.asked()), vm.asked()[1].wait_ms) == ("z1", 99)
        vm.grant(now_ms + 2, number)
    vm.request(253, 4, items)
    assert (zone_of(vm.asked()), vm.asked()[1].wait_ms) == ("z1", 50)
    vm.reject(254, 30)
    assert (zone_of(vm.asked()), vm.asked()[1].wait_ms) == ("z2", 0)


def test_one_full_zone_of_two_does_not_give_the_first_request_the_whole_wait(
    vm: reservation_parts.Vm,
) -> None:
    """Guards against a flow that waits in a full zone while another one is free."""
    vm.request(0, 1, THREE_ZONES)
    vm.reject(1, 30)
    full = zone_of(vm.asked())
    vm.reject(2, 90)
    vm.grant(3, 1)
    vm.request(4, 2, THREE_ZONES)
    assert (zone_of(vm.asked()), vm.asked()[1].wait_ms) == ("z1", 50)
    vm.reject(5, 30)
    assert zone_of(vm.asked()) not in ("z1", full)


@pytest.mark.parametrize(
    ("items", "hosts"),
    [
        (ONE_ZONE, reservation_parts.HOSTS),
        (THREE_ZONES, {"z1": reservation_parts.HOSTS["z1"]}),
        (
            tuple(
                item if item.zone == "z1" else item._replace(targets=())
                for item in THREE_ZONES
            ),
            reservation_parts.HOSTS,
        ),
    ],
    ids=["no other groups", "no VMs in other zones", "no candidates in other zones"],
)
def test_without_another_zone_the_first_request_has_the_whole_wait(
    vm: reservation_parts.Vm,
    items: tuple[groups.Group, ...],
    hosts: dict[str, tuple[str, ...]],
) -> None:
    """Guards against half of the wait being unused."""
    vm.request(0, 1, items, wait_ms=100, hosts=hosts)
    assert (zone_of(vm.asked()), vm.asked()[1].wait_ms) == ("z1", 100)
    vm.queue(1)
    done = vm.reject(100, 30, messages.RejectReason.TIMEOUT)
    assert outcomes(done) == [(client.Kind.REFUSED, client.Reason.TIMEOUT)]
    assert len(vm.sent) == 1


def test_a_partitioned_zone_is_not_asked_after_two_silent_hosts(
    vm: reservation_parts.Vm,
) -> None:
    """Guards against a partition that costs 40 ms for each VM of the other zone."""
    items = reservation_parts.make_groups(z1=4, z2=20)
    vm.request(0, 1, items)
    vm.reject(0, 30)
    first = vm.asked()
    assert vm.client.tick(39) == []
    assert vm.asked() == first
    assert vm.client.tick(40) == []
    second = vm.asked()
    assert zone_of(first) == zone_of(second) == "z2"
    assert first[0] != second[0]
    assert vm.client.tick(79) == []
    assert outcomes(vm.client.tick(80)) == [(client.Kind.REFUSED, client.Reason.FULL)]
    vm.request(100, 8, items, wait_ms=100)
    assert (zone_of(vm.asked()), vm.asked()[1].wait_ms) == ("z1", 100)
    vm.reject(101, 30)
    assert zone_of(vm.asked()) == "z1"
    vm.grant(102, 1)
    for now_ms, port, wait_ms in ((1039, 9, 100), (1040, 10, 50)):
        vm.request(now_ms, port, items, wait_ms=100)
        assert (zone_of(vm.asked()), vm.asked()[1].wait_ms) == ("z1", wait_ms)


@pytest.mark.parametrize("granted", [True, False])
def test_a_full_own_zone_decides_while_the_other_zone_is_cut_off(
    vm: reservation_parts.Vm, granted: bool
) -> None:
    """Guards against flows that a partition places at full targets."""
    vm.request(0, 1, reservation_parts.make_groups(z1=4, z2=4))
    vm.reject(1, 30)
    assert zone_of(vm.asked()) == "z2"
    assert vm.client.tick(41) == []
    assert (zone_of(vm.asked()), vm.asked()[1].wait_ms) == ("z1", 59)
    (done,) = vm.grant(45, 1) if granted else vm.reject(45, 70)
    assert done.kind is (client.Kind.GRANTED if granted else client.Kind.REFUSED)
    assert (done.asked, done.waited_ms) == (3, 45)


def test_a_flow_that_a_full_own_zone_can_not_serve_is_refused_on_silence(
    vm: reservation_parts.Vm,
) -> None:
    """Guards against a third request without a chance, and a local placement."""
    vm.request(0, 1, reservation_parts.make_groups(z1=4, z2=4))
    vm.reject(1, 300)
    assert vm.client.tick(40) == []
    assert outcomes(vm.client.tick(41)) == [(client.Kind.REFUSED, client.Reason.FULL)]
    assert len(vm.sent) == 2


def test_a_flow_of_a_full_own_zone_is_refused_at_the_end_of_its_hold(
    vm: reservation_parts.Vm,
) -> None:
    """Guards against a local placement when the hold ends before the reply timeout."""
    vm.request(0, 1, THREE_ZONES, wait_ms=130)
    vm.queue(1)
    vm.reject(84, 30, messages.RejectReason.TIMEOUT)
    assert vm.client.tick(124) == []
    assert zone_of(vm.asked()) != "z1"
    assert vm.client.tick(149) == []
    assert outcomes(vm.client.tick(150)) == [
        (client.Kind.REFUSED, client.Reason.TIMEOUT)
    ]
    assert len(vm.sent) == 3


@pytest.mark.parametrize("own", ["no targets", "silent", "not ready"])
def test_a_flow_is_placed_on_silence_when_its_own_zone_did_not_state_to_be_full(
    vm: reservation_parts.Vm, own: str
) -> None:
    """Guards against a refusal because one of two other zones is full."""
    items = THREE_ZONES
    if own == "no targets":
        items = reservation_parts.make_groups(z2=4, z3=4)
    elif own == "silent":
        miss_replies(vm, 0, count=1)
    vm.request(100, 1, items)
    if own == "not ready":
        vm.reject(100, 0, messages.RejectReason.NOT_READY)
    vm.reject(101, 300)
    assert zone_of(vm.asked()) != "z1"
    assert outcomes(vm.client.tick(141)) == [
        (client.Kind.PLACE_LOCALLY, client.Reason.NO_REPLY)
    ]


def test_a_late_flow_that_is_resolved_within_a_request_is_resolved_once(
    vm: reservation_parts.Vm,
) -> None:
    """Guards against a tick that fails when a scheduler on this VM replies at once."""
    items = reservation_parts.make_groups(z1=4, z2=4)
    vm.request(0, 1, items)
    vm.reject(0, 30)
    vm.request(0, 2, ONE_ZONE)
    host, waiting = vm.asked()
    resolved: list[client.Resolution] = []

    def deliver(to: str, message: messages.Message) -> None:
        vm.send(to, message)
        cookie = waiting.candidates[0].cookie
        grant = messages.Grant(55, waiting.request, cookie, 1, 0)
        resolved.extend(vm.client.receive(40, host, grant))

    vm.client._send = deliver
    assert vm.client.tick(40) == []
    assert [item.flow for item in resolved] == [reservation_parts.make_flow(2)]
    assert vm.client.holds(reservation_parts.make_flow(1))


def test_a_flow_of_a_group_that_is_not_ready_is_placed_and_not_refused(
    vm: reservation_parts.Vm,
) -> None:
    """Guards against a refusal without knowledge of the capacity."""
    items = reservation_parts.make_groups(z1=4, z2=4)
    vm.request(0, 1, items)
    vm.reject(1, 0, messages.RejectReason.NOT_READY)
    assert zone_of(vm.asked()) == "z2"
    assert outcomes(vm.reject(2, 300)) == [
        (client.Kind.PLACE_LOCALLY, client.Reason.NOT_READY)
    ]
    assert len(vm.sent) == 2


@pytest.mark.parametrize("hosts", [1, 3], ids=["one host", "three hosts"])
def test_a_flow_is_not_refused_by_other_zones_while_its_own_zone_is_silent(
    vm: reservation_parts.Vm, hosts: int
) -> None:
    """Guards against a refusal while targets of the own zone may be free."""
    items = reservation_parts.make_groups(z1=4, z2=4)
    if hosts == 1:
        miss_replies(vm, 0, count=1)
        now_ms = 40
    else:
        now_ms = silence_own_zone(vm)
    assert vm.request(now_ms + 1, 9, items) == []
    assert zone_of(vm.asked()) == "z2"
    assert outcomes(vm.reject(now_ms + 2, 300)) == [
        (client.Kind.PLACE_LOCALLY, client.Reason.NO_SCHEDULER)
    ]


def test_a_zone_without_targets_asks_other_zones(vm: reservation_parts.Vm) -> None:
    """Guards against flows that are never held, or refused, for lack of own targets."""
    items = reservation_parts.make_groups(z2=4)
    vm.request(0, 1, items, wait_ms=100)
    assert (zone_of(vm.asked()), vm.asked()[1].wait_ms) == ("z2", 0)
    vm.reject(2, 50)
    assert (zone_of(vm.asked()), vm.asked()[1].wait_ms) == ("z2", 98)
    assert outcomes(vm.reject(4, 200)) == [(client.Kind.REFUSED, client.Reason.FULL)]


def test_a_displaced_flow_asks_on(vm: reservation_parts.Vm) -> None:
    """Guards against a refusal of a displaced flow that another zone can serve."""
    vm.request(0, 1, THREE_ZONES)
    vm.queue(1)
    assert vm.reject(20, 60, messages.RejectReason.DISPLACED) == []
    assert zone_of(vm.asked()) != "z1"
    assert vm.grant(22, 1)[0].kind is client.Kind.GRANTED


def test_of_several_groups_the_better_of_two_is_asked(
    vm: reservation_parts.Vm,
) -> None:
    """Guards against groups that are never asked, and a slow group asked as often."""
    items = reservation_parts.make_groups(z1=24)
    counts = dict.fromkeys((item.key for item in items), 0)
    for port in range(60):
        vm.request(port, port, items)
        host, asked = vm.asked()
        counts[asked.group] += 1
        slow = asked.group == "web/z1/1"
        cookie = asked.candidates[0].cookie
        grant = messages.Grant(55, asked.request, cookie, port + 1, 90 if slow else 10)
        vm.client.receive(port, host, grant)
    assert counts["web/z1/1"] <= 3
    assert min(counts["web/z1/0"], counts["web/z1/2"]) >= 15


def test_a_stopped_client_places_all_flows_and_still_reports(
    vm: reservation_parts.Vm,
) -> None:
    """Guards against flows that are lost with the VM, and against wrong counts."""
    vm.request(0, 1, ONE_ZONE)
    vm.request(0, 2, ONE_ZONE)
    stopped = [(client.Kind.PLACE_LOCALLY, client.Reason.STOPPED)]
    assert outcomes(vm.client.stop(10)) == stopped * 2
    assert outcomes(vm.request(11, 3, ONE_ZONE)) == stopped
    assert (len(vm.client), vm.client.held_bytes) == (0, 0)
    assert vm.grant(12, 1) == []
    assert len(vm.client.usage_due(12, vm.usage)) == 1
    assert vm.client.usage_due(14, vm.usage) == []


def test_a_pause_drops_the_flows_past_their_time(vm: reservation_parts.Vm) -> None:
    """Guards against a flow that another VM has opened from its retransmission."""
    vm.request(0, 1, ONE_ZONE)
    vm.request(80, 2, ONE_ZONE)
    (done,) = vm.client.pause(160)
    assert (done.kind, done.reason) == (client.Kind.DROP, client.Reason.PAUSED)
    assert done.flow == reservation_parts.make_flow(1)
    assert vm.client.tick(160) == []
    (later,) = vm.grant(161, 1)
    assert later.kind is client.Kind.GRANTED


def test_a_pause_is_not_held_against_the_scheduler(vm: reservation_parts.Vm) -> None:
    """Guards against a silence that is only that of this VM."""
    vm.request(0, 1, ONE_ZONE)
    vm.client.pause(145)
    assert len(vm.client.tick(150)) == 1
    assert vm.request(151, 2, ONE_ZONE) == []
    assert len(vm.sent) == 2
    assert vm.asked()[0] == scheduler("web/z1/0")


@pytest.mark.parametrize("cause", ["tick", "grant", "reject", "stop"])
def test_after_an_unnoticed_pause_no_flow_is_placed_or_reset(
    vm: reservation_parts.Vm, cause: str
) -> None:
    """Guards against a flow that is opened twice, or reset while it is served."""
    vm.request(0, 1, ONE_ZONE, wait_ms=0)
    if cause == "tick":
        done = vm.client.tick(200)
    elif cause == "grant":
        done = vm.grant(200, 1)
    elif cause == "reject":
        done = vm.reject(200, 300)
    else:
        done = vm.client.stop(200)
    assert [(item.kind, item.cookie) for item in done] == [(client.Kind.DROP, 0)]


def test_flows_above_500_are_placed_locally(vm: reservation_parts.Vm) -> None:
    """Guards against memory and delay that grow with the load."""
    for port in range(500):
        assert vm.request(0, port, ONE_ZONE) == []
    assert outcomes(vm.request(0, 501, ONE_ZONE)) == [
        (client.Kind.PLACE_LOCALLY, client.Reason.LIMIT)
    ]
    vm.grant(1, 1)
    assert vm.request(1, 502, ONE_ZONE) == []


def test_packets_above_1_mb_are_placed_locally(vm: reservation_parts.Vm) -> None:
    """Guards against memory that grows with the size of packets."""
    raw = bytes(50_000)
    for port in range(20):
        assert vm.request(0, port, ONE_ZONE, raw=raw) == []
    assert vm.client.held_bytes == client.MAX_BYTES
    assert outcomes(vm.request(0, 21, ONE_ZONE, raw=b"x")) == [
        (client.Kind.PLACE_LOCALLY, client.Reason.LIMIT)
    ]
    assert len(vm.client.tick(40)) == 20
    assert vm.client.held_bytes == 0


def test_a_reply_within_send_is_handled(vm: reservation_parts.Vm) -> None:
    """Guards against a scheduler on this VM whose reply arrives within the request."""
    resolved: list[client.Resolution] = []

    def deliver(host: str, message: messages.Message) -> None:
        vm.send(host, message)
        assert isinstance(message, messages.Reserve)
        if message.group.startswith("web/z1/"):
            resolved.extend(vm.reject(3, 30))
        else:
            resolved.extend(vm.grant(3, 1))

    local = client.ReservationClient("10.0.0.0", "z1", 5, deliver, vm.usage_of)
    vm.client = local
    assert vm.request(3, 1, THREE_ZONES) == []
    assert [item.kind for item in resolved] == [client.Kind.GRANTED]
    assert (len(local), local.held_bytes) == (0, 0)
    assert local.tick(1000) == []


def test_a_request_carries_the_changed_usage_of_its_candidates(
    vm: reservation_parts.Vm,
) -> None:
    """Guards against schedulers without counts, and against repeated ones."""
    used, unused = (item.cookie for item in ONE_ZONE[0].targets[:2])
    vm.set_usage(used, 1, 4)
    vm.set_usage(99, 1, 1)
    vm.request(0, 1, ONE_ZONE)
    assert vm.asked()[1].usage == (vm.usage[used],)
    vm.grant(1, 1)
    vm.request(2, 2, ONE_ZONE)
    assert vm.asked()[1].usage == ()
    vm.set_usage(unused, 1, 0)
    vm.request(3, 3, ONE_ZONE)
    assert vm.asked()[1].usage == (vm.usage[unused],)
    numbers = [message.number for _, message in vm.sent if hasattr(message, "number")]
    assert numbers == sorted(set(numbers))


def test_an_acknowledgement_comes_with_the_usage_of_the_granted_target(
    vm: reservation_parts.Vm,
) -> None:
    """Guards against a grant that ends before its flow is counted."""
    items = reservation_parts.make_groups(z1=16)
    hosts = {"z1": (reservation_parts.OWN_HOST,)}
    vm.request(0, 1, items, hosts=hosts)
    first = vm.asked()[1]
    (done,) = vm.grant(1, 1)
    vm.set_usage(done.cookie, 1, 0)
    for port in range(2, 10):
        vm.request(2, port, items, hosts=hosts)
        if vm.asked()[1].group != first.group:
            break
        assert vm.asked()[1].acknowledged == messages.Acknowledged(55, 1)
    with_acknowledgement = vm.sent[1][1]
    assert isinstance(with_acknowledgement, messages.Reserve)
    assert with_acknowledgement.acknowledged == messages.Acknowledged(55, 1)
    assert vm.usage[done.cookie] in with_acknowledgement.usage


def test_usage_is_sent_at_once_after_a_change_and_repeated_every_250_ms(
    vm: reservation_parts.Vm,
) -> None:
    """Guards against counts that are late, or that a scheduler drops by their age."""
    vm.request(0, 1, ONE_ZONE)
    (done,) = vm.grant(1, 1)
    vm.set_usage(done.cookie, 1, 0)
    sent = {
        now_ms: items
        for now_ms in range(2, 1000)
        if (items := vm.client.usage_due(now_ms, vm.usage))
    }
    assert list(sent)[0] == 2
    later = list(sent)[1:]
    assert len(later) == 3
    assert all(b - a <= 252 for a, b in zip(sent, later, strict=False))
    for (item,) in sent.values():
        assert isinstance(item.message, messages.UsageUpdate)
        assert item.message.usage == (vm.usage[done.cookie],)
        assert item.message.acknowledged == messages.Acknowledged(55, 1)


def test_updates_of_changing_usage_are_2_ms_apart(vm: reservation_parts.Vm) -> None:
    """Guards against one message for each change under high load."""
    vm.request(0, 1, ONE_ZONE)
    (done,) = vm.grant(1, 1)
    times = []
    for now_ms in range(2, 22):
        vm.set_usage(done.cookie, 1, now_ms)
        if sends := vm.client.usage_due(now_ms, vm.usage):
            (item,) = sends
            assert isinstance(item.message, messages.UsageUpdate)
            assert item.message.usage == (vm.usage[done.cookie],)
            times.append(now_ms)
    assert times == list(range(2, 22, 2))


def test_unused_targets_are_reported_once_more_and_then_no_longer(
    vm: reservation_parts.Vm,
) -> None:
    """Guards against messages without need, and against a lost last change."""
    vm.request(0, 1, ONE_ZONE)
    (done,) = vm.grant(1, 1)
    vm.set_usage(done.cookie, 1, 0)
    assert len(vm.client.usage_due(2, vm.usage)) == 1
    assert vm.client.usage_due(4, vm.usage) == []
    vm.set_usage(done.cookie, 0, 1)
    times = [
        now_ms for now_ms in range(40, 5000) if vm.client.usage_due(now_ms, vm.usage)
    ]
    assert times[0] == 40
    assert len(times) <= 3
    assert times[-1] <= 600


def test_a_scheduler_that_is_not_asked_for_3_s_gets_no_more_reports(
    vm: reservation_parts.Vm,
) -> None:
    """Guards against messages while no pool is under pressure."""
    vm.request(0, 1, ONE_ZONE)
    (done,) = vm.grant(1, 1)
    vm.set_usage(done.cookie, 1, 0)
    for now_ms in range(0, 3000, 5):
        vm.client.usage_due(now_ms, vm.usage)
    for now_ms in range(3000, 6000, 5):
        assert vm.client.usage_due(now_ms, vm.usage) == []


def test_a_target_that_is_no_longer_known_is_reported_as_unused(
    vm: reservation_parts.Vm,
) -> None:
    """Guards against a request that counts forever at the scheduler."""
    cookie = ONE_ZONE[0].targets[0].cookie
    vm.set_usage(cookie, 1, 3)
    vm.request(0, 1, ONE_ZONE)
    vm.usage.clear()
    (sent,) = vm.client.usage_due(1, vm.usage)
    assert vm.client.usage_due(3, vm.usage) == []
    assert isinstance(sent.message, messages.UsageUpdate)
    assert sent.message.usage == (messages.Usage(cookie, 0, 3, 90, 0),)


def test_the_end_of_the_last_request_is_reported_with_its_response(
    vm: reservation_parts.Vm,
) -> None:
    """Guards against responses and rejections that a scheduler learns much later.

    The usage contains only targets with requests in flight.
    """
    cookie = ONE_ZONE[0].targets[0].cookie
    vm.set_usage(cookie, 1, 3)
    vm.request(0, 1, ONE_ZONE)
    vm.usage[cookie] = messages.Usage(cookie, 0, 4, 130, 1)
    (sent,) = vm.client.usage_due(1, {})
    assert vm.client.usage_due(3, {}) == []
    assert isinstance(sent.message, messages.UsageUpdate)
    assert sent.message.usage == (vm.usage[cookie],)


def test_a_new_scheduler_gets_all_counts_of_the_candidates(
    vm: reservation_parts.Vm,
) -> None:
    """Guards against a scheduler that takes over without the counts."""
    cookie = ONE_ZONE[0].targets[0].cookie
    vm.set_usage(cookie, 1, 3)
    for now_ms in (0, 240, 480):
        miss_replies(vm, now_ms)
    assert vm.request(521, 2, ONE_ZONE) == []
    assert vm.asked()[0] == scheduler("web/z1/0", 1)
    assert vm.asked()[1].usage == (vm.usage[cookie],)
    assert vm.asked()[1].acknowledged == messages.Acknowledged()


def test_a_change_of_hosts_moves_the_scheduler(vm: reservation_parts.Vm) -> None:
    """Guards against a ranking of hosts that is kept after a VM has died."""
    vm.request(0, 1, ONE_ZONE)
    first = vm.asked()[0]
    remaining = [host for host in reservation_parts.HOSTS["z1"] if host != first]
    vm.request(1, 2, ONE_ZONE, hosts={"z1": remaining})
    second = vm.asked()[0]
    assert second == scheduler("web/z1/0", 1)
    remaining.remove(second)
    vm.request(2, 3, ONE_ZONE, hosts={"z1": remaining})
    assert vm.asked()[0] == scheduler("web/z1/0", 2)


def test_counts_of_schedulers_and_targets_are_bounded(
    vm: reservation_parts.Vm,
) -> None:
    """Guards against memory that grows with replaced VMs and targets."""
    reporter = reporting.UsageReporter(1, vm.usage_of)
    vm.set_usage(7, 1, 1)
    reporter.reserve_fields(0, "10.0.0.1", [7])
    for number in range(1000):
        reporter.reserve_fields(1, "10.0.0.1", [1000 + number])
    vm.set_usage(7, 0, 2)
    for number in range(1000):
        vm.set_usage(1000 + number, 0, 5)
    sends = reporter.due(10, vm.usage)
    assert reporter.due(20, vm.usage) == []
    rows = [row for item in sends for row in getattr(item.message, "usage", ())]
    assert vm.usage[7] in rows
    assert len(rows) <= reporting.MAX_TRACKED + 2
    assert all(len(codec.encode(item.message)) <= exchange.MAX_BYTES for item in sends)
    for number in range(1000):
        reporter.reserve_fields(30, f"10.1.{number // 250}.{number % 250}", [7])
    vm.set_usage(7, 3, 9)
    sends = reporter.due(40, vm.usage)
    assert reporter.due(50, vm.usage) == []
    hosts = {item.host for item in sends}
    assert len(hosts) == reporting.MAX_SCHEDULERS
    assert "10.1.3.249" in hosts
