"""Fixtures with fleets of VMs that reserve capacity."""

import typing

import pytest

from tests import reserving_parts, reserving_vm

VMS = {"10.9.0.1": "z1", "10.9.0.2": "z1", "10.9.0.3": "z1"}
TARGETS = {"i-0a": "z1", "i-0b": "z1"}
TWO_ZONES = {**VMS, "10.9.1.1": "z2", "10.9.1.2": "z2"}
TWO_ZONE_TARGETS = {**TARGETS, "i-0c": "z2", "i-0d": "z2"}
GROUP = "desk/z1/0"

Make = typing.Callable[..., reserving_parts.Fleet]


@pytest.fixture
def make_fleet(monkeypatch: pytest.MonkeyPatch) -> Make:
    """Return a function that makes a fleet."""

    def made(
        vms: typing.Mapping[str, str] = VMS,
        targets: typing.Mapping[str, str] = TARGETS,
        **options: typing.Any,
    ) -> reserving_parts.Fleet:
        return reserving_parts.Fleet(monkeypatch, vms, targets, **options)

    return made


@pytest.fixture
def warm_zone(make_fleet: Make) -> reserving_parts.Fleet:
    """Return a zone of three VMs and two targets that has had some flows."""
    fleet = make_fleet()
    fleet.warm()
    return fleet


@pytest.fixture
def pressed_zone(warm_zone: reserving_parts.Fleet) -> reserving_parts.Fleet:
    """Return the same zone under pressure."""
    warm_zone.press()
    warm_zone.datagrams.clear()
    return warm_zone


@pytest.fixture
def pressed_zones(make_fleet: Make) -> reserving_parts.Fleet:
    """Return two zones with two targets each, both under pressure."""
    fleet = make_fleet(TWO_ZONES, TWO_ZONE_TARGETS)
    fleet.warm()
    fleet.press()
    fleet.datagrams.clear()
    return fleet


def scheduler(fleet: reserving_parts.Fleet, key: str = GROUP) -> reserving_vm.Vm:
    """Return the scheduler of a group of the first zone."""
    return reserving_parts.scheduler_of(fleet, key)


def other(fleet: reserving_parts.Fleet) -> reserving_vm.Vm:
    """Return a VM of the first zone that schedules no group."""
    busy = scheduler(fleet)
    return next(vm for vm in fleet.vms.values() if vm is not busy)


def fill(fleet: reserving_parts.Fleet, vm: reserving_vm.Vm, count: int = 60) -> None:
    """Open flows until the group of the first zone grants no further one."""
    for number in range(count):
        fleet.open(vm, 25_000 + number, caller=1000 + number)
    fleet.run(3)


def total(fleet: reserving_parts.Fleet, name: str) -> int:
    """Return the sum of a counter over all VMs."""
    return sum(vm.count(name) for vm in fleet.vms.values())


def held(vm: reserving_vm.Vm) -> int:
    """Return how many flows a VM holds."""
    return vm.reservations.gauges(0)["flows_held"]
