"""Tests of the detection of pools under pressure."""

import random

from eelgrasswick.decisions import overload, pressure

POOL = overload.Pool("desk", "z1")
OTHER = overload.Pool("desk", "z2")
STEP_MS = 250


def play_load(
    found: pressure.Pressure, start_ms: int, loads: list[float], slots: int = 20
) -> int:
    """Record one load per step; return the time after the last one."""
    for index, load in enumerate(loads):
        found.record_load(start_ms + index * STEP_MS, POOL, load * slots, slots)
    return start_ms + len(loads) * STEP_MS


def test_single_noisy_sample_does_not_begin_pressure() -> None:
    """Guards against reservations in pools that have enough capacity."""
    found = pressure.Pressure()
    now_ms = play_load(found, 0, [9.0])
    now_ms = play_load(found, now_ms, [0.7] * 20 + [9.0] + [0.7] * 20)
    now_ms = play_load(found, now_ms + 10_000, [9.0])
    assert found.take_changes(now_ms) == []


def test_noisy_load_below_the_threshold_begins_pressure_rarely() -> None:
    """Guards against pressure from the few flows that one VM sees.

    The load varies by more than half of its mean and exceeds the threshold in one
    sample of seven, for 1,000 s.
    """
    chance = random.Random(5)
    found = pressure.Pressure()
    now_ms = play_load(found, 0, [chance.uniform(0.2, 0.9) for _ in range(4000)])
    assert sum(change.begun for change in found.take_changes(now_ms)) <= 1


def test_sustained_load_begins_pressure_within_three_seconds() -> None:
    """Guards against a shortage in which no reservations are made."""
    found = pressure.Pressure()
    now_ms = play_load(found, 0, [0.5] * 20)
    assert not found.pressed(now_ms, POOL)
    now_ms = play_load(found, now_ms, [1.0] * 12)
    assert found.pressed(now_ms, POOL)
    assert not found.pressed(now_ms, OTHER)
    [change] = found.take_changes(now_ms)
    assert change.begun and change.own and change.reason is pressure.Sign.LOAD
    assert change.load >= pressure.PRESSED_LOAD
    assert (change.in_flight, change.slots) == (20.0, 20)


def test_pressure_ends_three_seconds_after_its_last_sign() -> None:
    """Guards against pressure that flickers, or that never ends."""
    found = pressure.Pressure()
    found.record_rejection(0, POOL)
    found.record_rejection(1000, POOL)
    assert found.pressed(3999, POOL)
    assert not found.pressed(4000, POOL)
    begun, over = found.take_changes(4500)
    assert begun.begun and begun.rejections == 2
    assert not over.begun and over.at_ms == 4000
    assert over.reason is pressure.Sign.REJECTIONS
    assert found.take_changes(4600) == []


def test_load_near_the_threshold_does_not_flicker() -> None:
    """Guards against pressure that begins and ends several times a second."""
    chance = random.Random(6)
    found = pressure.Pressure()
    now_ms = play_load(found, 0, [chance.uniform(0.6, 1.1) for _ in range(1200)])
    changes = found.take_changes(now_ms)
    times_ms = [change.at_ms for change in changes]
    assert [change.begun for change in changes[:2]] == [True, False]
    for begun_ms, over_ms in zip(times_ms[::2], times_ms[1::2], strict=False):
        assert over_ms - begun_ms >= pressure.HOLD_MS
    assert len(changes) <= 12


def test_rejections_more_than_a_second_apart_do_not_begin_pressure() -> None:
    """Guards against pressure because of one target that is full by chance."""
    found = pressure.Pressure()
    for now_ms in range(0, 20_000, 1001):
        found.record_rejection(now_ms, POOL)
        assert not found.pressed(now_ms, POOL)


def test_rejections_of_two_pools_are_counted_apart() -> None:
    """Guards against pressure in one zone because of another zone."""
    found = pressure.Pressure()
    found.record_rejection(0, POOL)
    found.record_rejection(0, OTHER)
    assert found.take_changes(0) == []


def test_notice_begins_pressure_that_causes_no_notice() -> None:
    """Guards against notices that keep each other alive."""
    found = pressure.Pressure()
    found.record_notice(0, POOL)
    assert found.pressed(0, POOL)
    assert not found.has_own_sign(0, POOL)
    [change] = found.take_changes(0)
    assert change.begun and not change.own
    assert not found.pressed(3000, POOL)


def test_own_sign_after_a_notice_keeps_pressure_without_a_second_begin() -> None:
    """Guards against log lines for each sign, and against pressure that ends early."""
    found = pressure.Pressure()
    found.record_notice(0, POOL)
    found.record_rejection(2000, POOL)
    found.record_rejection(2500, POOL)
    assert found.has_own_sign(5499, POOL) and found.pressed(5499, POOL)
    assert len(found.take_changes(5499)) == 1


def test_pressure_that_begins_again_is_reported_in_order() -> None:
    """Guards against a lost end when the changes are read late."""
    found = pressure.Pressure()
    found.record_notice(0, POOL)
    found.record_notice(10_000, POOL)
    assert [item.begun for item in found.take_changes(10_000)] == [True, False, True]


def test_load_without_slots_is_ignored() -> None:
    """Guards against a division by zero in a pool whose targets state no slots."""
    found = pressure.Pressure()
    for now_ms in range(0, 5000, STEP_MS):
        found.record_load(now_ms, POOL, 50, 0)
    assert not found.pressed(5000, POOL)


def test_removed_pool_is_forgotten() -> None:
    """Guards against state that stays for pools that are gone."""
    found = pressure.Pressure()
    found.record_notice(0, POOL)
    found.retain([OTHER])
    assert not found.pressed(1, POOL)
    found.record_rejection(2, POOL)
    assert not found.pressed(2, POOL)
