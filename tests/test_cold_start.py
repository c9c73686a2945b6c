"""Tests of the limits on new flows to cold targets."""

import json
import random

import pytest

from eelgrasswick.cookie import (
    catalog,
    cold_targets,
    observations,
    outcomes,
    source,
    steering,
    store_replica,
)
from eelgrasswick.decisions import cold_start
from eelgrasswick.platform import segments
from tests import cookie_parts, steering_parts

SETTLED_MS = cold_start.SETTLE_MS


def _vms(count: int) -> list[cold_start.ColdStart]:
    names = [f"10.0.0.{number}" for number in range(count)]
    limiters = [cold_start.ColdStart(name) for name in names]
    for name, item in zip(names, limiters, strict=True):
        item.update_fleet(
            0, tuple(other for other in names if other != name), count - 1
        )
    return limiters


def _most(times_ms: list[int]) -> int:
    """Return the most flows in any second."""
    return max(
        (sum(at_ms <= t < at_ms + 1000 for t in times_ms) for at_ms in times_ms),
        default=0,
    )


@pytest.mark.parametrize("per_s", [0.0, 4.0, 40.0])
@pytest.mark.parametrize("count", [1, 2, 67])
def test_fleet_keeps_the_limit_under_overload(per_s: float, count: int) -> None:
    """Guards against VMs that each stay below the limit and exceed it together."""
    vms = _vms(count)
    rng = random.Random(count)
    opened: dict[int, list[int]] = {cookie: [] for cookie in range(20)}
    for now_ms in range(SETTLED_MS, SETTLED_MS + 4000):
        vm = rng.choice(vms)
        cookie = rng.randrange(20)
        if vm.allows(now_ms, cookie, per_s):
            vm.opened(now_ms, cookie)
            opened[cookie].append(now_ms)
    most = [_most(times_ms) for times_ms in opened.values()]
    assert max(most) <= (1.5 * per_s + 5) / 2
    # The VMs use at least half of the limit.
    assert sum(most) >= 0.5 * len(most)


@pytest.mark.parametrize("lost", [1, 20, 37])
def test_limit_holds_while_views_differ(lost: int) -> None:
    """Guards against a share of the limit that two VMs with different views use."""
    vms = _vms(67)
    names = [f"10.0.0.{number}" for number in range(67)]
    # Half of the VMs have removed some peers, which still run with their old view.
    for number in range(lost, 67, 2):
        kept = tuple(name for name in names[lost:] if name != names[number])
        vms[number].update_fleet(SETTLED_MS, kept, len(kept))
    for cookie in range(50):
        flows = sum(item.share(SETTLED_MS, cookie, 0.0) for item in vms)
        assert flows <= 5


def test_vm_without_contact_to_peers_opens_none() -> None:
    """Guards against a cut behind which each VM uses the whole limit."""
    (vm, *_) = _vms(10)
    vm.update_fleet(SETTLED_MS, ("10.0.0.1", "10.0.0.2"), 0)
    assert not any(vm.share(SETTLED_MS, cookie, 0.0) for cookie in range(50))


def test_vm_that_has_just_started_opens_none() -> None:
    """Guards against a restarted VM that uses its share of the limit twice."""
    (vm, *_) = _vms(10)
    assert not any(vm.share(SETTLED_MS - 1, cookie, 0.0) for cookie in range(50))
    assert any(vm.share(SETTLED_MS, cookie, 0.0) for cookie in range(50))


def test_last_free_target_is_reserved_for_urgent_flows() -> None:
    """Guards against urgent flows refused because less urgent ones came first."""
    assert cold_start.reserved_for_urgent(1, 4, urgent=False)
    assert not cold_start.reserved_for_urgent(1, 4, urgent=True)
    assert not cold_start.reserved_for_urgent(3, 4, urgent=False)


def _config(revision: int, cold_per_s: float = 0.0) -> source.Row:
    row = cookie_parts.config_row(revision)
    body = json.loads(row.value or b"")
    body["services"] = [{"name": "desk", "cold_start_s": 2.0, "cold_per_s": cold_per_s}]
    return row._replace(value=json.dumps(body).encode())


@pytest.fixture
def target_catalog() -> catalog.Catalog:
    """Return three warm targets of a service that limits cold ones."""
    return cookie_parts.catalog_from(
        _config(1),
        cookie_parts.target_row("i-0a", 2),
        cookie_parts.target_row("i-0b", 3),
        cookie_parts.target_row("i-0c", 4, zone="z2"),
    )


def _update(target_catalog: catalog.Catalog, now_ms: int, *rows: source.Row) -> None:
    target_catalog.update(now_ms, store_replica.Merge(rows, 0))


def _settle(target_catalog: catalog.Catalog) -> None:
    for now_ms in range(0, 5000, 500):
        target_catalog.tick(now_ms, now_ms)


def test_cold_target_gets_no_flow_while_others_are_warm(
    vm_steering: steering.Steering, target_catalog: catalog.Catalog
) -> None:
    """Guards against a server that is overloaded as soon as it has started."""
    _settle(target_catalog)
    _update(
        target_catalog, 100, cookie_parts.target_row("i-0d", 9, cold_remaining_ms=2000)
    )
    names = {
        steering_parts.opened(vm_steering, 200 + n, port=41_000 + n).name
        for n in range(60)
    }
    assert names >= {"i-0a", "i-0b"}
    assert "i-0d" not in names
    names = {
        steering_parts.opened(vm_steering, 2200, port=42_000 + n).name
        for n in range(60)
    }
    assert "i-0d" in names


def test_new_target_is_cold_whatever_its_entry_says(
    vm_steering: steering.Steering, target_catalog: catalog.Catalog
) -> None:
    """Guards against a restarted server whose entry reports it as warm."""
    _settle(target_catalog)
    row = cookie_parts.target_row("i-0a", 9, born=5000, cold_remaining_ms=0)
    _update(target_catalog, 100, row)
    for number in range(30):
        target = steering_parts.opened(vm_steering, 200, port=41_000 + number)
        assert target.name != "i-0a"


def test_entries_that_return_after_an_outage_are_warm(
    target_catalog: catalog.Catalog,
) -> None:
    """Guards against a service treated as new when its entries return."""
    target_catalog.update(
        5000, store_replica.Merge((cookie_parts.gone_row("i-0a", 9),), 9000)
    )
    target_catalog.update(
        5200, store_replica.Merge((cookie_parts.target_row("i-0a", 10),), 100)
    )
    assert not any(
        target_catalog.cold_ms(item, 5200) for item in target_catalog.targets
    )


def test_flow_leaves_its_zone_while_the_zone_is_cold(
    vm_steering: steering.Steering, target_catalog: catalog.Catalog
) -> None:
    """Guards against a zone that returns cold and gets all its callers at once."""
    _settle(target_catalog)
    rows = [cookie_parts.target_row(f"i-0{n}", 9, born=5000) for n in "ab"]
    _update(target_catalog, 100, *rows)
    for number in range(30):
        raw = cookie_parts.packet(cookie_parts.SYN, 41_000 + number)
        decision = steering_parts.steer(vm_steering, 200, raw)
        assert decision.target is not None
        assert decision.target.zone == "z2"
        assert decision.withheld == (outcomes.Reason.COLD,)


def test_zone_is_cold_after_its_evacuation(
    vm_steering: steering.Steering, target_catalog: catalog.Catalog
) -> None:
    """Guards against servers that restarted while their zone was evacuated.

    Their entries may still be those of the former start.
    """
    _settle(target_catalog)
    _update(target_catalog, 100, source.Row("op/evacuate/z1", b"{}", 9))
    _update(target_catalog, 9000, source.Row("op/evacuate/z1", None, 10))
    assert steering_parts.opened(vm_steering, 9100).zone == "z2"
    assert steering_parts.opened(vm_steering, 11_000, port=41_000).zone == "z1"


def test_target_that_was_dead_and_answers_is_cold(
    target_catalog: catalog.Catalog, vm_observations: observations.Observations
) -> None:
    """Guards against a restarted server whose new entry has not arrived yet."""
    _settle(target_catalog)
    target = next(item for item in target_catalog.targets if item.name == "i-0a")
    vm_observations.record_zone_answer(100, "z1")
    assert vm_observations.begin_check(100, target)
    assert vm_observations.liveness.record_probe(
        200, target.cookie, accepted=False, path_proven=True
    )
    vm_observations.record_answer(3000, target)
    assert target_catalog.cold_ms(target, 3000) == 2000


def test_target_that_was_silent_and_answers_is_treated_as_cold(
    vm_steering: steering.Steering,
    target_catalog: catalog.Catalog,
    vm_observations: observations.Observations,
) -> None:
    """Guards against a server that crashed and restarted before a probe failed."""
    _settle(target_catalog)
    target = next(item for item in target_catalog.targets if item.name == "i-0a")
    vm_observations.record_unanswered(100, target)
    vm_observations.record_unanswered(300, target)
    steering_parts.opened(vm_steering, 400)
    vm_observations.record_answer(1000, target)
    for number in range(30):
        assert steering_parts.opened(vm_steering, 1100, port=41_000 + number) != target


def test_no_flow_is_refused_after_a_vms_own_link_failed(
    vm_steering: steering.Steering,
    target_catalog: catalog.Catalog,
    vm_observations: observations.Observations,
) -> None:
    """Guards against a VM that treats all targets as new after its link was cut."""
    _settle(target_catalog)
    for target in target_catalog.targets:
        vm_observations.record_unanswered(100, target)
        vm_observations.record_unanswered(300, target)
    steering_parts.opened(vm_steering, 400)
    for target in target_catalog.targets:
        vm_observations.record_answer(1000, target)
    assert steering_parts.opened(vm_steering, 1100, port=41_000)


def test_vm_whose_clock_is_behind_treats_targets_as_warm() -> None:
    """Guards against a VM with a wrong time of day that refuses all flows."""
    ages = cold_targets.Ages(unix_s=lambda: 0.5)
    (target, *_) = cookie_parts.catalog_from(
        _config(1), cookie_parts.target_row("i-0a", 2)
    ).targets
    ages.record_entry(0, target, watched=False)
    assert ages.age_ms(0, target.cookie) is None


def test_vm_that_starts_treats_new_targets_as_cold() -> None:
    """Guards against a starting VM that overloads a server that has just started."""
    ages = cold_targets.Ages(unix_s=lambda: 1.5)
    (target, *_) = cookie_parts.catalog_from(
        _config(1), cookie_parts.target_row("i-0a", 2)
    ).targets
    ages.record_entry(0, target, watched=False)
    assert ages.age_ms(100, target.cookie) == 600


def test_flows_beyond_what_cold_targets_take_are_refused_at_once(
    vm_steering: steering.Steering,
    target_catalog: catalog.Catalog,
    vm_observations: observations.Observations,
) -> None:
    """Guards against callers that wait for cold targets at their limit."""
    _settle(target_catalog)
    vm_observations.cold.limits.update_fleet(0, (), 0)
    rows = [cookie_parts.target_row(f"i-0{n}", 9, born=5000) for n in "abc"]
    _update(target_catalog, SETTLED_MS, *rows)
    found = []
    for number in range(60):
        raw = cookie_parts.packet(cookie_parts.SYN, 41_000 + number)
        decision = steering_parts.steer(vm_steering, SETTLED_MS + 10 * number, raw)
        found.append(decision.outcome)
        if decision.target is None:
            # No target received the flow, and the caller gets a reset at once.
            assert decision.datagram is not None
            assert decision.address is None
    assert found.count(outcomes.Outcome.PLACED) == 6
    assert found.count(outcomes.Outcome.COLD) == 54


def test_service_without_a_limit_fills_cold_targets(
    target_catalog: catalog.Catalog,
) -> None:
    """Guards against refusals for a service whose operators set no limit."""
    _update(target_catalog, 0, cookie_parts.config_row(8))
    vm_observations = observations.Observations("z1", target_catalog)
    vm_steering = steering.Steering(
        "z1", segments.Codec(), target_catalog, vm_observations
    )
    rows = [
        cookie_parts.target_row(f"i-0{n}", 9, cold_remaining_ms=2000) for n in "abc"
    ]
    _update(target_catalog, 100, *rows)
    for number in range(30):
        assert (
            steering_parts.opened(vm_steering, 200, port=41_000 + number).zone == "z1"
        )
