"""Tests of outlier ejection by the witnesses of a zone's VMs."""

import typing

import pytest

from eelgrasswick.decisions import ejection

COOKIE: typing.Final = 7
OTHERS: typing.Final = (8, 9, 10)
START_MS: typing.Final = 100_000


@pytest.fixture
def outliers() -> ejection.OutlierEjection:
    return ejection.OutlierEjection()


def _add_witness(
    outliers: ejection.OutlierEjection,
    vm: int,
    now_ms: int = START_MS,
    cookie: int = COOKIE,
    age_ms: int = 0,
) -> bool:
    return outliers.add_witness(now_ms, ejection.Witness(cookie, vm, age_ms), 0.0)


def test_target_with_enough_witnesses_is_ejected(
    outliers: ejection.OutlierEjection,
) -> None:
    """Guards against a hanging target that keeps getting new flows."""
    for vm in range(ejection.MIN_WITNESSES):
        assert not outliers.ejected(START_MS, COOKIE)
        _add_witness(outliers, vm)
    assert outliers.ejected(START_MS, COOKIE)
    assert list(outliers.allowed(START_MS, (COOKIE, *OTHERS))) == list(OTHERS)
    assert outliers.unlogged == [
        ejection.Ejection(COOKIE, 3, ejection.BASE_EJECTION_MS)
    ]


def test_witnesses_of_one_vm_do_not_eject(outliers: ejection.OutlierEjection) -> None:
    """Guards against a VM whose own link or processor is at fault."""
    for step in range(10):
        _add_witness(outliers, 1, START_MS + step)
    assert not outliers.ejected(START_MS + 10, COOKIE)


def test_witnesses_outside_one_window_do_not_eject(
    outliers: ejection.OutlierEjection,
) -> None:
    """Guards against stragglers that add up over a long time."""
    for vm in range(6):
        _add_witness(outliers, vm, START_MS + vm * ejection.WITNESS_WINDOW_MS)
    assert not outliers.ejected(START_MS + 6 * ejection.WITNESS_WINDOW_MS, COOKIE)


def test_witness_older_than_the_window_is_dropped(
    outliers: ejection.OutlierEjection,
) -> None:
    """Guards against old datagrams that a suspended VM sends on."""
    for vm in range(6):
        assert not _add_witness(outliers, vm, age_ms=ejection.WITNESS_WINDOW_MS + 1)
    assert not outliers.ejected(START_MS, COOKIE)


def test_more_outliers_than_the_panic_threshold_are_all_allowed(
    outliers: ejection.OutlierEjection,
) -> None:
    """Guards against an overload that ejects one target after the other."""
    targets = (COOKIE, *OTHERS)
    for cookie in targets[:3]:
        for vm in range(ejection.MIN_WITNESSES):
            _add_witness(outliers, vm, cookie=cookie)
    assert set(outliers.allowed(START_MS, targets)) == set(targets)


def test_one_of_two_targets_can_be_ejected(outliers: ejection.OutlierEjection) -> None:
    """Guards against a panic threshold that keeps small services from any ejection."""
    for vm in range(ejection.MIN_WITNESSES):
        _add_witness(outliers, vm)
    assert list(outliers.allowed(START_MS, (COOKIE, 8))) == [8]


def test_ejection_ends_after_its_time(outliers: ejection.OutlierEjection) -> None:
    """Guards against a target that has recovered and gets no flows."""
    for vm in range(ejection.MIN_WITNESSES):
        _add_witness(outliers, vm)
    assert not outliers.ejected(START_MS + ejection.BASE_EJECTION_MS, COOKIE)


def test_witness_during_probation_ejects_for_twice_as_long(
    outliers: ejection.OutlierEjection,
) -> None:
    """Guards against a target that hangs for long and loses flows at each return."""
    for vm in range(ejection.MIN_WITNESSES):
        _add_witness(outliers, vm)
    again_ms = START_MS + ejection.BASE_EJECTION_MS + 300
    _add_witness(outliers, 1, again_ms)
    assert outliers.ejected(again_ms + 2 * ejection.BASE_EJECTION_MS - 1, COOKIE)
    assert not outliers.ejected(again_ms + 2 * ejection.BASE_EJECTION_MS, COOKIE)


def test_ejection_ends_at_different_times_on_vms() -> None:
    """Guards against all VMs sending their next flows to a target that still hangs."""
    ends = []
    for fraction in (0.0, 1.0):
        records = ejection.OutlierEjection()
        for vm in range(ejection.MIN_WITNESSES):
            records.add_witness(START_MS, ejection.Witness(COOKIE, vm, 0), fraction)
        ends.append(records.unlogged[0].lasts_ms)
    assert ends == [2000, 3000]


def test_witness_is_sent_on_once_and_only_until_enough(
    outliers: ejection.OutlierEjection,
) -> None:
    """Guards against witnesses that VMs send to one another without end."""
    assert _add_witness(outliers, 1)
    assert not _add_witness(outliers, 1)
    assert _add_witness(outliers, 2)
    assert _add_witness(outliers, 3)
    assert not _add_witness(outliers, 4)


def test_records_of_removed_and_expired_targets_are_deleted(
    outliers: ejection.OutlierEjection,
) -> None:
    """Guards against a table that grows with every target that ever existed."""
    for vm in range(ejection.MIN_WITNESSES):
        _add_witness(outliers, vm)
    outliers.retain(START_MS, (COOKIE,))
    assert outliers.ejected(START_MS, COOKIE)
    outliers.retain(START_MS, ())
    assert not outliers.ejected(START_MS, COOKIE)
    _add_witness(outliers, 1)
    outliers.retain(START_MS + ejection.PROBATION_MS, (COOKIE,))
    assert _add_witness(outliers, 1, START_MS + ejection.PROBATION_MS)
