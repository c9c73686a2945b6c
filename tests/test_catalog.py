"""Tests of the catalog of routes and targets in force."""

import pytest

from eelgrasswick.cookie import catalog, model, source, store_replica
from eelgrasswick.platform import entries
from tests import cookie_parts


@pytest.fixture
def current() -> catalog.Catalog:
    return cookie_parts.catalog_from(
        cookie_parts.config_row(1),
        cookie_parts.target_row("i-0a", 2),
        cookie_parts.target_row("i-0b", 3),
    )


def _names(current: catalog.Catalog) -> set[str]:
    return {item.name for item in current.accepting("desk")}


def _update(
    current: catalog.Catalog, now_ms: int, row: source.Row, previous_age_ms: int = 0
) -> list[catalog.LogEvent]:
    return current.update(now_ms, store_replica.Merge((row,), previous_age_ms))


def test_draining_target_gets_no_new_flow(current: catalog.Catalog) -> None:
    """Guards against new flows on a draining target, which break when it leaves."""
    _update(current, 10, cookie_parts.target_row("i-0a", 4, state="draining"))
    assert _names(current) == {"i-0b"}
    cookie = next(t.cookie for t in current.targets if t.name == "i-0a")
    assert current.by_cookie(cookie) is not None


def test_target_whose_entry_lapsed_still_gets_packets(current: catalog.Catalog) -> None:
    """Guards against breaking open flows of a live target whose entry lapsed."""
    cookie = next(t.cookie for t in current.targets if t.name == "i-0a")
    _update(current, 10, cookie_parts.gone_row("i-0a", 4))
    assert _names(current) == {"i-0b"}
    assert current.by_cookie(cookie) is not None
    current.tick(10 + catalog.FORMER_TARGET_RETENTION_MS, confirmed_ms=0)
    assert current.by_cookie(cookie) is None


def test_entries_that_lapse_in_an_outage_stay_usable_for_two_seconds(
    current: catalog.Catalog,
) -> None:
    """Guards against refusing a service when the store returns without its entries."""
    # Live targets restore their entries within two seconds.
    _update(current, 5000, cookie_parts.gone_row("i-0a", 4), previous_age_ms=5000)
    assert "i-0a" in _names(current)
    current.tick(5000, confirmed_ms=5000)
    current.tick(6000, confirmed_ms=6000)
    assert "i-0a" in _names(current)
    current.tick(7000, confirmed_ms=7000)
    assert _names(current) == {"i-0b"}


def test_entries_stay_usable_while_the_store_is_away_again(
    current: catalog.Catalog,
) -> None:
    """Guards against refusing all callers when the store fails again at once.

    Targets can't restore their lapsed entries while the store is away.
    """
    _update(current, 5000, cookie_parts.gone_row("i-0a", 4), previous_age_ms=5000)
    current.tick(5250, confirmed_ms=5000)
    for now_ms in range(5500, 12_000, 250):
        current.tick(now_ms, confirmed_ms=5600)
    assert "i-0a" in _names(current)
    for now_ms in range(12_000, 14_250, 250):
        current.tick(now_ms, confirmed_ms=now_ms - 100)
    assert _names(current) == {"i-0b"}


def test_restarted_target_still_gets_packets_for_its_old_cookie(
    current: catalog.Catalog,
) -> None:
    """Guards against callers that wait because a restarted target can't reset flows."""
    before = next(t for t in current.targets if t.name == "i-0a")
    _update(current, 10, cookie_parts.target_row("i-0a", 4, born=2000))
    assert current.by_cookie(before.cookie) == before
    assert len(_names(current)) == 2


def test_malformed_entry_removes_only_its_target(current: catalog.Catalog) -> None:
    events = _update(current, 10, source.Row("servers/i-0a", b"\xff", 4))
    assert events[0].event == "entry_refused"
    assert _names(current) == {"i-0b"}


def test_target_whose_entry_is_deleted_is_missing_after_two_seconds(
    current: catalog.Catalog,
) -> None:
    target = next(t for t in current.targets if t.name == "i-0a")
    current.tick(9, confirmed_ms=9)
    _update(current, 10, cookie_parts.gone_row("i-0a", 4))
    current.tick(1010, confirmed_ms=1010)
    assert not current.missing(target)
    current.tick(2010, confirmed_ms=2010)
    assert current.missing(target)


def test_target_whose_entry_is_overwritten_is_not_missing(
    current: catalog.Catalog,
) -> None:
    """Guards against a row of another writer taken as a sign that a target is gone."""
    target = next(t for t in current.targets if t.name == "i-0a")
    _update(current, 10, source.Row("servers/i-0a", b"{}", 4))
    for now_ms in range(0, 6000, 1000):
        current.tick(now_ms, confirmed_ms=now_ms)
    assert not current.missing(target)


def test_malformed_config_leaves_the_last_one_in_force(
    current: catalog.Catalog,
) -> None:
    """Guards against a half-written configuration that stops every service."""
    _update(current, 10, source.Row("op/config", b"{}", 4))
    assert current.config is not None
    assert current.config.version == 1


def test_only_the_older_of_two_targets_with_one_cookie_is_used(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against packets that reach the wrong target when two hashes are equal."""
    monkeypatch.setattr(model.Target, "cookie", property(lambda _: 5))
    current = cookie_parts.catalog_from(
        cookie_parts.config_row(1),
        cookie_parts.target_row("i-0a", 2, born=9),
        cookie_parts.target_row("i-0b", 3, born=8),
    )
    assert _names(current) == {"i-0b"}
    owner = current.by_cookie(5)
    assert owner is not None
    assert owner.name == "i-0b"


def test_not_ready_without_targets() -> None:
    target_catalog = catalog.Catalog(entries.Reader())
    assert not target_catalog.ready
    target_catalog.update(0, store_replica.Merge((cookie_parts.config_row(1),), 0))
    assert not target_catalog.ready
    target_catalog.update(
        0, store_replica.Merge((cookie_parts.target_row("i-0a", 2),), 0)
    )
    assert target_catalog.ready


def test_target_whose_address_another_took_over_ends(
    current: catalog.Catalog,
) -> None:
    """Guards against new flows on a crashed target whose entry is still present."""
    ended: list[str] = []
    current.on_ended = lambda target, _: ended.append(target.name)
    former = next(t for t in current.targets if t.name == "i-0a")
    row = cookie_parts.target_row("i-0c", 9, born=9000, address="10.128.0.10:8080")
    _update(current, 10, row)
    assert ended == ["i-0a"]
    assert current.has_ended(former.cookie)
    assert _names(current) == {"i-0b", "i-0c"}


def test_entry_of_a_service_without_route_ends_no_target(
    current: catalog.Catalog,
) -> None:
    """Guards against a foreign entry that has the address of a live target."""
    ended: list[str] = []
    current.on_ended = lambda target, _: ended.append(target.name)
    row = cookie_parts.target_row(
        "i-0c", 9, born=9000, address="10.128.0.10:8080", service="stray"
    )
    _update(current, 10, row)
    assert ended == []
    assert "i-0a" in _names(current)


def test_ended_target_is_removed_after_the_retention_time(
    current: catalog.Catalog,
) -> None:
    former = next(t for t in current.targets if t.name == "i-0a")
    row = cookie_parts.target_row("i-0c", 9, born=9000, address="10.128.0.10:8080")
    _update(current, 10, row)
    _update(current, 10, cookie_parts.gone_row("i-0a", 10))
    assert current.has_ended(former.cookie)
    current.tick(10 + catalog.FORMER_TARGET_RETENTION_MS, confirmed_ms=0)
    assert not current.has_ended(former.cookie)
    assert current.by_cookie(former.cookie) is None


def test_address_takeover_is_detected_when_the_config_is_the_last_row() -> None:
    """Guards against a starting VM that depends on the order of the rows it gets."""
    ended: list[str] = []
    target_catalog = catalog.Catalog(entries.Reader())
    target_catalog.on_ended = lambda target, _: ended.append(target.name)
    rows = (
        cookie_parts.target_row("i-0a", 2),
        cookie_parts.target_row("i-0c", 9, born=9000, address="10.128.0.10:8080"),
        cookie_parts.config_row(1),
    )
    target_catalog.update(0, store_replica.Merge(rows, 0))
    assert ended == ["i-0a"]


def test_entries_that_lapse_together_in_a_short_outage_stay_usable(
    current: catalog.Catalog,
) -> None:
    """Guards against refusing a whole service after the store failed for two seconds.

    The entries lapse, although the VM's rows are hardly older than in normal operation.
    """
    rows = (cookie_parts.gone_row("i-0a", 4), cookie_parts.gone_row("i-0b", 5))
    current.update(3000, store_replica.Merge(rows, catalog.SHORT_OUTAGE_AGE_MS + 1))
    assert _names(current) == {"i-0a", "i-0b"}
    assert not current.entries_complete


def test_entry_that_lapses_alone_after_a_short_outage_is_dropped(
    current: catalog.Catalog,
) -> None:
    """Guards against flows on a crashed target when rows were 1.5 s old."""
    _update(current, 3000, cookie_parts.gone_row("i-0a", 4), previous_age_ms=1500)
    assert _names(current) == {"i-0b"}
    assert current.entries_complete


def test_entries_that_are_deleted_together_without_outage_are_dropped(
    current: catalog.Catalog,
) -> None:
    """Guards against flows on two targets that operators removed at once."""
    rows = (cookie_parts.gone_row("i-0a", 4), cookie_parts.gone_row("i-0b", 5))
    current.update(3000, store_replica.Merge(rows, 400))
    assert _names(current) == set()


def test_row_that_fails_costs_no_other_row(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against rows that are lost for good behind one that fails."""
    read_target = entries.Reader.target

    def fail_once(reader: entries.Reader, row: source.Row) -> model.Target:
        if row.key == "servers/i-0b":
            raise RuntimeError("unexpected")
        return read_target(reader, row)

    monkeypatch.setattr(entries.Reader, "target", fail_once)
    target_catalog = catalog.Catalog(entries.Reader())
    rows = (
        cookie_parts.target_row("i-0a", 1),
        cookie_parts.target_row("i-0b", 2),
        cookie_parts.target_row("i-0c", 3),
        cookie_parts.config_row(4),
    )
    events = target_catalog.update(0, store_replica.Merge(rows, 0))
    assert {item.name for item in target_catalog.targets} == {"i-0a", "i-0c"}
    assert [item.event for item in events].count("row_failed") == 1
