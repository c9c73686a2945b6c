"""Reservations of an emulated fleet in virtual time."""

import random

import pytest

from eelgrasswick.emulation import (
    open_load,
    open_scenario,
    reserving_fleet,
    scheduler,
    steered_fleet,
)
from eelgrasswick.platform import segments


def _run(name: str) -> list[open_load.End]:
    load = open_scenario.LOADS[name]._replace(duration_ms=4000)
    return open_load.Simulation(load, segments.Codec(), 1).run()


def test_reserving_fleet_under_overload_answers_nearly_all_urgent_requests() -> None:
    """Guards against an emulated fleet whose VMs do not hold flows or lose them."""
    ends = [item for item in _run("single_150_reserved") if item.asked_ms >= 1000]
    urgent = [item for item in ends if item.kind.name == "urgent"]
    plain = [item for item in _run("single_150") if item.asked_ms >= 1000]
    plain_urgent = [item for item in plain if item.kind.name == "urgent"]
    assert open_load.worth_ratio(urgent) > 0.95
    assert open_load.worth_ratio(urgent) > open_load.worth_ratio(plain_urgent)


def test_datagram_reaches_no_vm_beyond_a_cut(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a zone that is cut off and still reserves in other zones."""
    load = open_scenario.LOADS["single_150_reserved"]
    calls = scheduler.Scheduler()
    wire = segments.Codec()
    fleet = steered_fleet.Fleet(
        calls, open_scenario.Reader(load), wire, [], 1, random.Random(1)
    )
    reserving = reserving_fleet.ReservingFleet(calls, fleet, wire, lambda *_: None)
    received: list[str] = []
    monkeypatch.setattr(
        reserving, "_deliver", lambda _, receiver, __: received.append(receiver)
    )
    reserving.send("10.0.0.1", "10.0.0.2", b"")
    fleet.cut_zone = fleet.vms[1].zone
    reserving.send("10.0.0.1", "10.0.0.2", b"")
    reserving.send("10.0.0.1", "10.0.0.3", b"")
    calls.run(10)
    assert received == ["10.0.0.2", "10.0.0.3"]
