"""Outlier ejection by the witnesses of a zone's VMs."""

import typing

import pytest

from eelgrasswick.decisions import ejection

COOKIE: typing.Final = 7
OTHERS: typing.Final = (8, 9, 10)
START_MS: typing.Final = 100_000


@pytest.fixture
def outliers() -> ejection.OutlierEjection:
    return ejection.OutlierEjection()


def _witness(
    outliers: ejection.OutlierEjection,
    vm: int,
    now_ms: int = START_MS,
    cookie: int = COOKIE,
    age_ms: int = 0,
) -> bool:
    return outliers.add_witness(now_ms, ejection.Witness(cookie, vm, age_ms), 0.0)


def test_enough_witnesses_eject_a_target(outliers: ejection.OutlierEjection) -> None:
    for vm in range(ejection.MIN_WITNESSES):
        assert not outliers.ejected(START_MS, COOKIE)
        _witness(outliers, vm)
    assert outliers.ejected(START_MS, COOKIE)
    assert list(outliers.allowed(START_MS, (COOKIE, *OTHERS))) == list(OTHERS)
    assert outliers.unlogged == [
        ejection.Ejection(COOKIE, 3, ejection.BASE_EJECTION_MS)
    ]


def test_one_vm_ejects_no_target(outliers: ejection.OutlierEjection) -> None:
    """Guards against a VM whose own link or processor is at fault."""
    for step in range(10):
        _witness(outliers, 1, START_MS + step)
    assert not outliers.ejected(START_MS + 10, COOKIE)


def test_late_witnesses_do_not_count_together(
    outliers: ejection.OutlierEjection,
) -> None:
    """Guards against stragglers that add up over a long time."""
    for vm in range(6):
        _witness(outliers, vm, START_MS + vm * ejection.WITNESS_WINDOW_MS)
    assert not outliers.ejected(START_MS + 6 * ejection.WITNESS_WINDOW_MS, COOKIE)


def test_witness_that_waited_in_a_queue_is_dropped(
    outliers: ejection.OutlierEjection,
) -> None:
    """Guards against old datagrams that a suspended VM passes on."""
    for vm in range(6):
        assert not _witness(outliers, vm, age_ms=ejection.WITNESS_WINDOW_MS + 1)
    assert not outliers.ejected(START_MS, COOKIE)


def test_slow_service_keeps_its_targets(outliers: ejection.OutlierEjection) -> None:
    """Guards against an overload that would eject one target after the other."""
    targets = (COOKIE, *OTHERS)
    for cookie in targets[:3]:
        for vm in range(ejection.MIN_WITNESSES):
            _witness(outliers, vm, cookie=cookie)
    assert set(outliers.allowed(START_MS, targets)) == set(targets)


def test_one_of_two_targets_may_be_ejected(outliers: ejection.OutlierEjection) -> None:
    for vm in range(ejection.MIN_WITNESSES):
        _witness(outliers, vm)
    assert list(outliers.allowed(START_MS, (COOKIE, 8))) == [8]


def test_ejection_ends_by_itself(outliers: ejection.OutlierEjection) -> None:
    """Guards against a target that is well again and never used."""
    for vm in range(ejection.MIN_WITNESSES):
        _witness(outliers, vm)
    assert not outliers.ejected(START_MS + ejection.BASE_EJECTION_MS, COOKIE)


def test_trial_that_fails_ejects_again_for_longer(
    outliers: ejection.OutlierEjection,
) -> None:
    """Guards against a target that hangs for long and costs flows on each return."""
    for vm in range(ejection.MIN_WITNESSES):
        _witness(outliers, vm)
    again_ms = START_MS + ejection.BASE_EJECTION_MS + 300
    _witness(outliers, 1, again_ms)
    assert outliers.ejected(again_ms + 2 * ejection.BASE_EJECTION_MS - 1, COOKIE)
    assert not outliers.ejected(again_ms + 2 * ejection.BASE_EJECTION_MS, COOKIE)


def test_return_is_at_another_moment_on_each_vm() -> None:
    """Guards against all VMs sending their next flows to a target that still hangs."""
    ends = []
    for fraction in (0.0, 1.0):
        made = ejection.OutlierEjection()
        for vm in range(ejection.MIN_WITNESSES):
            made.add_witness(START_MS, ejection.Witness(COOKIE, vm, 0), fraction)
        ends.append(made.unlogged[0].lasts_ms)
    assert ends == [2000, 3000]


def test_witness_is_passed_on_once(outliers: ejection.OutlierEjection) -> None:
    """Guards against rumors that VMs pass to and fro without end."""
    assert _witness(outliers, 1)
    assert not _witness(outliers, 1)
    assert _witness(outliers, 2)
    assert _witness(outliers, 3)
    assert not _witness(outliers, 4)


def test_targets_that_are_gone_are_forgotten(
    outliers: ejection.OutlierEjection,
) -> None:
    for vm in range(ejection.MIN_WITNESSES):
        _witness(outliers, vm)
    outliers.keep(START_MS, (COOKIE,))
    assert outliers.ejected(START_MS, COOKIE)
    outliers.keep(START_MS, ())
    assert not outliers.ejected(START_MS, COOKIE)
    _witness(outliers, 1)
    outliers.keep(START_MS + ejection.PROBATION_MS, (COOKIE,))
    assert _witness(outliers, 1, START_MS + ejection.PROBATION_MS)
