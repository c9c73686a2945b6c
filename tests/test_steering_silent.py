"""Tests of steering around targets that are silent, dead or replaced."""

import pytest

from eelgrasswick.cookie import (
    catalog,
    liveness,
    model,
    observations,
    outcomes,
    reports,
    silence,
    steering,
    store_replica,
)
from tests import cookie_parts, steering_parts


def test_retransmission_goes_to_another_target(vm_steering: steering.Steering) -> None:
    """Guards against retransmissions that all go to one silent server.

    The caller's attempt would fail after 1.4 s.
    """
    first = steering_parts.opened(vm_steering)
    again = steering_parts.opened(vm_steering, 200, retransmissions=1)
    assert again != first


def test_silent_target_is_excluded(vm_steering: steering.Steering) -> None:
    """Guards against callers that each lose 200 ms at the same silent server."""
    first = steering_parts.opened(vm_steering)
    for number in range(1, 40):
        target = steering_parts.opened(vm_steering, number, port=40_100 + number)
        if target == first:
            steering_parts.opened(
                vm_steering, number + 200, retransmissions=1, port=40_100 + number
            )
    later = {
        steering_parts.opened(vm_steering, 300, port=41_000 + number)
        for number in range(10)
    }
    assert first not in later


def test_target_reported_as_silent_by_two_vms_is_excluded(
    vm_steering: steering.Steering, vm_observations: observations.Observations
) -> None:
    """Guards against a VM that ignores two peers' reports of a silent server.

    Two of its own callers would lose 200 ms before it detected the silence itself.
    """
    first = steering_parts.opened(vm_steering)
    silent = (reports.TargetReport(first.cookie, 3, 0, silent=True),)
    vm_observations.reports.record(0, "10.0.0.8", silent)
    vm_observations.reports.record(0, "10.0.0.9", silent)
    targets = {
        steering_parts.opened(vm_steering, 10, port=41_000 + number)
        for number in range(20)
    }
    assert first not in targets


def test_report_of_one_vm_excludes_no_target(
    vm_steering: steering.Steering, vm_observations: observations.Observations
) -> None:
    """Guards against one VM with a broken link that excludes targets for its peers."""
    first = steering_parts.opened(vm_steering)
    vm_observations.reports.record(
        0, "10.0.0.8", (reports.TargetReport(first.cookie, 3, 0, True),)
    )
    targets = {
        steering_parts.opened(vm_steering, 10, port=41_000 + number)
        for number in range(20)
    }
    assert first in targets


def test_zone_that_is_cut_off_is_excluded_at_once(
    target_catalog: catalog.Catalog,
    vm_observations: observations.Observations,
    vm_steering: steering.Steering,
) -> None:
    """Guards against callers that lose 200 ms at each target of a zone cut off."""
    rows = [
        cookie_parts.target_row(f"i-1{digit}", 20, zone="z2") for digit in "0123456789"
    ]
    target_catalog.update(0, store_replica.Merge(tuple(rows), 0))
    far = [item for item in target_catalog.accepting("desk") if item.zone == "z2"]
    vm_observations.record_unanswered(0, far[0])
    vm_observations.record_unanswered(0, far[1])
    own = [item for item in target_catalog.accepting("desk") if item.zone == "z1"]
    full = tuple(reports.TargetReport(item.cookie, 90, 0, False) for item in own)
    vm_observations.reports.record(0, "10.0.0.8", full)
    vm_observations.tick(0)
    targets = {
        steering_parts.opened(vm_steering, 10, port=41_000 + number)
        for number in range(20)
    }
    assert targets == set(own)


def test_no_target_is_excluded_when_all_are_silent(
    target_catalog: catalog.Catalog, vm_observations: observations.Observations
) -> None:
    """Guards against a VM that refuses all callers after a fault of its own link."""
    for target in target_catalog.accepting("desk"):
        vm_observations.record_unanswered(0, target)
        vm_observations.record_unanswered(0, target)
    assert len(vm_observations.candidates(10, "desk", 0, 0.5, True).candidates) == 3


def test_target_whose_flows_only_retransmit_is_excluded(
    vm_steering: steering.Steering,
) -> None:
    """Guards against new flows to a server whose open flows only retransmit."""
    first = steering_parts.opened(vm_steering)
    raw = cookie_parts.packet(cookie_parts.ACK, cookie=first.cookie, data=b"GET")
    for now_ms in (10, 210, 610):
        steering_parts.steer(vm_steering, now_ms, raw)
    targets = {
        steering_parts.opened(vm_steering, 620, port=41_000 + number)
        for number in range(20)
    }
    assert first not in targets


def _crash(
    vm_steering: steering.Steering, vm_observations: observations.Observations
) -> model.Target:
    """Make a target with one open flow silent; return it when it is dead."""
    first = steering_parts.opened(vm_steering)
    raw = cookie_parts.packet(cookie_parts.ACK, cookie=first.cookie, data=b"GET")
    decision = None
    for now_ms in (10, 210):
        neighbour = steering_parts.opened(vm_steering, now_ms, port=42_000 + now_ms)
        while neighbour == first:
            neighbour = steering_parts.opened(
                vm_steering, now_ms, port=43_000 + len(vm_observations.tracker)
            )
        vm_observations.record_answer(now_ms, neighbour)
        decision = steering_parts.steer(vm_steering, now_ms, raw)
    assert decision is not None
    assert decision.probe == first
    assert vm_observations.liveness.record_probe(460, first.cookie, False, True)
    return first


def test_controls_are_other_unsuspected_targets_of_the_zone() -> None:
    """Guards against a comparison of a dead target with itself or with a dead one."""
    names = [f"i-0{letter}" for letter in "abcdef"]
    rows = [cookie_parts.target_row(name, 2) for name in names]
    elsewhere = cookie_parts.target_row("i-1a", 3, zone="z2")
    shared = cookie_parts.target_row("i-2a", 3, address="10.128.0.10:8080")
    current = cookie_parts.catalog_from(
        cookie_parts.config_row(1), *rows, elsewhere, shared
    )
    observed = observations.Observations("z1", current)
    by_name = {item.name: item for item in current.targets}
    for name in ("i-0c", "i-0d"):
        for at_ms in (100, 300):
            observed.record_unanswered(at_ms, by_name[name])
    used = set()
    for _ in range(10):
        controls = observed.control_targets(400, by_name["i-0a"])
        assert len(controls) == observations.CONTROLS
        used.update(item.name for item in controls)
    assert used == {"i-0b", "i-0e", "i-0f"}


def test_suspected_targets_are_controls_if_there_are_no_others() -> None:
    """Guards against a dead target that stays undetected in a suspected zone."""
    names = ("i-0a", "i-0b", "i-0c")
    current = cookie_parts.catalog_from(
        cookie_parts.config_row(1),
        *[cookie_parts.target_row(name, 2) for name in names],
    )
    observed = observations.Observations("z1", current)
    by_name = {item.name: item for item in current.targets}
    for at_ms in (100, 300):
        observed.record_unanswered(at_ms, by_name["i-0b"])
    controls = observed.control_targets(400, by_name["i-0a"])
    assert [item.name for item in controls] == ["i-0c", "i-0b"]


def test_flows_of_a_dead_target_are_reset(
    vm_steering: steering.Steering, vm_observations: observations.Observations
) -> None:
    """Guards against callers of a crashed server that wait until their deadlines."""
    first = _crash(vm_steering, vm_observations)
    resets = vm_steering.reset_flows(first)
    assert [item.flow for item in resets] == [cookie_parts.flow()]
    assert resets[0].known_by is outcomes.KnownBy.PLACEMENT
    raw = cookie_parts.packet(
        cookie_parts.ACK, 40_077, acknowledged=900, cookie=first.cookie, data=b"GET"
    )
    decision = steering_parts.steer(vm_steering, 710, raw)
    assert decision.outcome is outcomes.Outcome.TARGET_DEAD
    assert decision.reset_reason is outcomes.ResetReason.PROBE_FAILED
    assert decision.known_by is outcomes.KnownBy.COOKIE
    assert decision.address is None


def test_target_that_answers_again_is_not_dead(
    vm_steering: steering.Steering, vm_observations: observations.Observations
) -> None:
    first = _crash(vm_steering, vm_observations)
    vm_observations.record_answer(720, first)
    raw = cookie_parts.packet(cookie_parts.ACK, cookie=first.cookie, data=b"GET")
    assert (
        steering_parts.steer(vm_steering, 730, raw).outcome
        is outcomes.Outcome.FORWARDED
    )


def test_dead_target_gets_no_flow(
    vm_steering: steering.Steering, vm_observations: observations.Observations
) -> None:
    """Guards against flows placed on a dead server whose entry still exists.

    Such a flow would be reset with the caller's next packet.
    """
    first = _crash(vm_steering, vm_observations)
    for number in range(30):
        assert steering_parts.opened(vm_steering, 1600, port=44_000 + number) != first


def test_target_that_returns_keeps_its_flows(
    vm_steering: steering.Steering,
    target_catalog: catalog.Catalog,
    vm_observations: observations.Observations,
) -> None:
    """Guards against resets of flows on a server that only lost its link.

    Another VM has opened a flow on the server since. This VM forwards its packet and
    probes the server once more.
    """
    first = _crash(vm_steering, vm_observations)
    vm_steering.reset_flows(first)
    now_ms = 470 + liveness.DEAD_HOLD_MS
    neighbours = [item for item in target_catalog.accepting("desk") if item != first]
    vm_observations.record_answer(now_ms, neighbours[0])
    raw = cookie_parts.packet(
        cookie_parts.ACK, 40_078, cookie=first.cookie, data=b"GET"
    )
    decision = steering_parts.steer(vm_steering, now_ms, raw)
    assert decision.outcome is outcomes.Outcome.FORWARDED
    assert decision.probe == first
    again = steering_parts.steer(vm_steering, now_ms + 10, raw)
    assert again.outcome is outcomes.Outcome.FORWARDED
    assert again.probe is None


def test_flows_of_a_replaced_target_are_reset(
    vm_steering: steering.Steering, target_catalog: catalog.Catalog
) -> None:
    """Guards against packets to a server that took over a crashed server's address.

    The new server drops such packets silently, and the callers would wait.
    """
    first = steering_parts.opened(vm_steering)
    row = cookie_parts.target_row(
        "i-0d",
        9,
        born=9000,
        address=f"{first.address.host}:{first.address.port}",
    )
    target_catalog.update(10, store_replica.Merge((row,), 0))
    raw = cookie_parts.packet(cookie_parts.ACK, cookie=first.cookie, data=b"GET")
    decision = steering_parts.steer(vm_steering, 20, raw)
    assert decision.outcome is outcomes.Outcome.TARGET_DEAD
    assert decision.reset_reason is outcomes.ResetReason.ADDRESS_TAKEN


def test_opening_packet_of_a_replaced_target_goes_elsewhere(
    vm_steering: steering.Steering, target_catalog: catalog.Catalog
) -> None:
    """Guards against a flow lost when its server is replaced while it opens."""
    first = steering_parts.opened(vm_steering)
    address = f"{first.address.host}:{first.address.port}"
    row = cookie_parts.target_row("i-0d", 9, born=9000, address=address)
    target_catalog.update(10, store_replica.Merge((row,), 0))
    copy = cookie_parts.packet(cookie_parts.SYN, acknowledged=1)
    decision = steering_parts.steer(vm_steering, 20, copy)
    assert decision.outcome is outcomes.Outcome.PLACED
    assert decision.target is not None
    assert decision.target.cookie != first.cookie


def test_flow_on_a_restarted_server_is_forwarded(
    vm_steering: steering.Steering, target_catalog: catalog.Catalog
) -> None:
    """Guards against resets of flows opened on a server that restarted.

    The server restarted during an outage of the store, and the flow carries the
    cookie of the former start. It remains open when the new entry arrives.
    """
    first = steering_parts.opened(vm_steering)
    row = cookie_parts.target_row(
        first.name,
        9,
        born=9000,
        address=f"{first.address.host}:{first.address.port}",
    )
    target_catalog.update(10, store_replica.Merge((row,), 3000))
    raw = cookie_parts.packet(cookie_parts.ACK, cookie=first.cookie, data=b"GET")
    decision = steering_parts.steer(vm_steering, 20, raw)
    assert decision.outcome is outcomes.Outcome.FORWARDED
    assert decision.address == first.address


@pytest.mark.parametrize(
    ("paused", "moved", "reported"),
    [(False, False, True), (True, False, False), (False, True, False)],
)
def test_overdue_request_is_evidence_only_without_another_cause(
    vm_steering: steering.Steering,
    vm_observations: observations.Observations,
    paused: bool,
    moved: bool,
    reported: bool,
) -> None:
    """Guards against the ejection of healthy targets.

    Requests look overdue after VMs stalled together, or after the fabric changed its
    hash.
    """
    first = steering_parts.opened(vm_steering, 5000)
    for now_ms, acknowledged, data in (
        (5010, 100, b"GET"),
        (5030, 2500, b""),
        (5100, 4100, b"GET"),
    ):
        raw = cookie_parts.packet(
            cookie_parts.ACK,
            sequence=now_ms,
            acknowledged=acknowledged,
            cookie=first.cookie,
            data=data,
        )
        steering_parts.steer(vm_steering, now_ms, raw)
    if paused:
        vm_observations.record_pause(5390)
    if moved:
        raw = cookie_parts.packet(cookie_parts.ACK, 40_900, cookie=first.cookie)
        steering_parts.steer(vm_steering, 5200, raw)
    witnesses = vm_observations.take_overdue(5400)[1]
    assert bool(witnesses) == reported


def test_target_that_hangs_gets_fewer_flows(
    vm_steering: steering.Steering, vm_observations: observations.Observations
) -> None:
    """Guards against new flows to a server that opens flows but answers no request.

    Its health check passes, and each new flow costs its caller a deadline.
    """
    first = steering_parts.opened(vm_steering)
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
            steering_parts.steer(vm_steering, now_ms, raw)
    assert vm_observations.take_overdue(600)[0] == [first]
    assert all(
        steering_parts.opened(vm_steering, 610, port=47_000 + n) != first
        for n in range(20)
    )
    trial_ms = 600 + silence.TRIAL_INTERVAL_MS
    assert any(
        steering_parts.opened(vm_steering, trial_ms, port=48_000 + n) == first
        for n in range(20)
    )


def test_retransmitted_opening_packet_leaves_the_zone(
    vm_steering: steering.Steering, vm_observations: observations.Observations
) -> None:
    """Guards against a caller whose retransmissions all go to one zone cut off."""
    for number in range(20):
        first = steering_parts.opened(vm_steering, port=44_000 + number)
        again = steering_parts.opened(
            vm_steering, 200, retransmissions=1, port=44_000 + number
        )
        assert again.zone != first.zone
        vm_observations.record_answer(201, first)
        vm_observations.record_answer(201, again)
