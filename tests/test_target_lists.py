"""Tests of the incrementally updated lists of targets, with random changes."""

import collections
import hashlib
import random

import pytest

from eelgrasswick.cookie import (
    catalog,
    entry_table,
    model,
    observations,
    speed,
    store_replica,
)
from eelgrasswick.cookie import reports as vm_reports
from eelgrasswick.decisions import cold_start, overload
from eelgrasswick.platform import entries
from tests import catalog_changes, cookie_parts

_STEPS = 400


def _colliding_cookie(name: str, born_ms: int) -> int:
    digest = hashlib.blake2b(f"{name}/{born_ms}".encode(), digest_size=1).digest()
    return 1 + digest[0] % 50


@pytest.fixture(params=["distinct cookies", "colliding cookies"], autouse=True)
def _cookies(request: pytest.FixtureRequest, monkeypatch: pytest.MonkeyPatch) -> None:
    """Run each test with and without targets that have the same cookie."""
    if request.param == "colliding cookies":
        monkeypatch.setattr(model, "_cookie", _colliding_cookie)


def _check_lists(target_catalog: catalog.Catalog) -> None:
    expected = catalog_changes.rebuilt(target_catalog)
    for service in catalog_changes.SERVICES:
        accepting = expected.accepting.get(service, [])
        withheld = expected.withheld.get(service, [])
        assert target_catalog.accepting(service) == accepting
        assert target_catalog.withheld(service) == withheld
        for zone in catalog_changes.ZONES:
            own, others = target_catalog.accepting_split(service, zone)
            assert own == [item for item in accepting if item.zone == zone]
            assert others == [item for item in accepting if item.zone != zone]
            in_zone = any(item.zone == zone for item in withheld)
            assert target_catalog.withholds_in(service, zone) == in_zone
    listed = [item for items in expected.accepting.values() for item in items]
    for cookie, target in expected.owners.items():
        assert target_catalog.by_cookie(cookie) == target
        accepted = target if target in listed else None
        assert target_catalog.accepting_target(cookie) == accepted


def _check_entries(target_catalog: catalog.Catalog) -> None:
    targets = target_catalog.targets
    table: entry_table.EntryTable = target_catalog.entries
    assert set(table.cookies) == {item.cookie for item in targets}
    assert set(table.services) == {item.service for item in targets}
    pools = {overload.Pool(item.service, item.zone) for item in targets}
    assert set(table.pools) == pools


@pytest.mark.parametrize("seed", range(12))
def test_lists_equal_a_full_rebuild_after_random_changes(seed: int) -> None:
    """Guards against lists that lose, keep or reorder a target after some change."""
    target_catalog = catalog.Catalog(entries.Reader())
    changes = catalog_changes.RandomChanges(random.Random(seed), target_catalog)
    seen: collections.Counter[str] = collections.Counter()
    for _ in range(_STEPS):
        changes.change()
        # A full rebuild ran with each update, but not with each passing of time.
        changes.catalog.update(changes.now_ms, store_replica.Merge((), 0))
        _check_lists(target_catalog)
        _check_entries(target_catalog)
        seen["evacuated"] += bool(target_catalog.evacuations.zones)
        seen["lapsed"] += target_catalog.has_lapsed
        seen["ended"] += any(target_catalog.has_ended(c) for c in range(1, 51))
    assert seen["evacuated"]
    assert seen["lapsed"]


def _expected_factors(observed: observations.Observations) -> dict[int, float]:
    """Compare all targets of all services."""
    target_catalog = observed._catalog
    factors = {}
    for service in {item.service for item in target_catalog.targets}:
        means_ms: dict[int, float | None] = {}
        for item in target_catalog.accepting(service):
            times_ms: list[float] = [*observed.reports.answers_ms(item.cookie)]
            own_ms = observed.answer_times.mean_ms(item.cookie)
            if own_ms is not None:
                times_ms.append(own_ms)
            mean_ms = sum(times_ms) / len(times_ms) if times_ms else None
            means_ms[item.cookie] = mean_ms
        factors.update(speed.speed_factors(means_ms))
    return factors


def _record_randomly(
    rng: random.Random, now_ms: int, observed: observations.Observations
) -> None:
    """Record answers, reports, unanswered packets and placements at any target."""
    cookies = sorted(observed._catalog.forwardable_cookies)
    for service in catalog_changes.SERVICES:
        for target in observed._catalog.accepting(service):
            observed.cold.limits.share(now_ms, target.cookie, 1.0)
    for cookie in rng.sample(cookies, min(len(cookies), 10)):
        target = observed._catalog.by_cookie(cookie)
        assert target is not None
        for _ in range(rng.randrange(6)):
            observed.record_answer_time(target, rng.randrange(10, 90))
        if rng.random() < 0.2:
            observed.record_unanswered(now_ms, target)
            observed.record_placement(now_ms, target)
    if cookies and rng.random() < 0.5:
        entries_of_vm = tuple(
            vm_reports.TargetReport(cookie, 1, rng.choice((0, 20, 70)), False)
            for cookie in rng.sample(cookies, min(len(cookies), 8))
        )
        host = f"10.0.0.{rng.randrange(5)}"
        observed.reports.record(now_ms, host, entries_of_vm)
    elif rng.random() < 0.1:
        observed.reports.remove(f"10.0.0.{rng.randrange(5)}")


def _check_retained(observed: observations.Observations) -> None:
    cookies = {item.cookie for item in observed._catalog.targets}
    assert observed.answer_times._answers.keys() <= cookies
    assert observed._silence.keys() <= cookies
    assert observed._response_silence.keys() <= cookies
    assert observed.liveness.cookies <= set(observed._catalog.forwardable_cookies)
    assert observed.ejections._records.keys() <= cookies
    assert observed.cold.limits._opened_ms.keys() <= cookies
    assert observed.cold.limits._ranks.keys() <= cookies


@pytest.mark.parametrize("seed", range(12))
def test_factors_and_records_equal_those_of_all_targets(seed: int) -> None:
    """Guards against outdated speed factors, and records of removed targets.

    The factors are compared without tolerance, because VMs and tests rely on equal
    decisions for equal observations.
    """
    rng = random.Random(seed)
    target_catalog = catalog.Catalog(entries.Reader())
    changes = catalog_changes.RandomChanges(rng, target_catalog)
    observed = observations.Observations("z1", target_catalog)
    observed.cold.limits.update_fleet(-cold_start.SETTLE_MS, ("10.0.0.1",), 1)
    compared_ms = -observations.SPEED_INTERVAL_MS
    expected: dict[int, float] = {}
    unequal = 0
    for _ in range(_STEPS):
        changes.change()
        _record_randomly(rng, changes.now_ms, observed)
        if rng.random() < 0.3:
            continue
        observed.tick(changes.now_ms)
        _check_retained(observed)
        if changes.now_ms - compared_ms >= observations.SPEED_INTERVAL_MS:
            compared_ms = changes.now_ms
            expected = _expected_factors(observed)
        for cookie in target_catalog.forwardable_cookies:
            factor = observed._speeds.factor(cookie)
            assert factor == expected.get(cookie, 1.0)
            unequal += factor != 1.0
    assert unequal


def test_service_without_entries_is_not_compared() -> None:
    """Guards against factors that outlast the last entry of a service.

    The lists still have lapsed targets then, and no list changes when the entry of a
    draining target is removed.
    """
    target_catalog = cookie_parts.catalog_from(
        cookie_parts.config_row(1),
        cookie_parts.target_row("i-0a", 2),
        cookie_parts.target_row("i-0b", 3),
        cookie_parts.target_row("i-0c", 4, state="draining"),
    )
    observed = observations.Observations("z1", target_catalog)
    fast, slow = target_catalog.accepting("desk")
    report = (
        vm_reports.TargetReport(fast.cookie, 1, 20, False),
        vm_reports.TargetReport(slow.cookie, 1, 70, False),
    )
    observed.reports.record(0, "10.0.0.8", report)
    gone = [cookie_parts.gone_row(name, 5) for name in ("i-0a", "i-0b")]
    outage_ms = catalog.OUTAGE_AGE_MS + 1
    target_catalog.update(0, store_replica.Merge(tuple(gone), outage_ms))
    observed.tick(0)
    assert observed._speeds.factor(fast.cookie) > 1.0
    last = cookie_parts.gone_row("i-0c", 6)
    target_catalog.update(100, store_replica.Merge((last,), 0))
    observed.tick(1000)
    assert target_catalog.accepting("desk") == [fast, slow]
    assert observed._speeds.factor(fast.cookie) == 1.0
