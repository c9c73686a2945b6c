"""Tests of the cost of placing a flow with many targets and many VMs."""

import collections
import typing

import pytest

from eelgrasswick.cookie import (
    catalog,
    model,
    observations,
    placing,
    reports,
    source,
    store_replica,
)
from eelgrasswick.emulation import cookie_scenario


class _Counted(reports.TargetReport):
    """An entry of a report that counts its reads."""

    reads: typing.ClassVar[int] = 0

    def __getattribute__(self, name: str) -> typing.Any:
        """Count each read of `silent`."""
        if name == "silent":
            _Counted.reads += 1
        return super().__getattribute__(name)


class _WideReader(cookie_scenario.Reader):
    """Rows of more servers than the last byte of an address can number."""

    def target(self, row: source.Row) -> model.Target:
        """Return a target with an address of its own."""
        item = super().target(row)
        number = int.from_bytes(item.token, "big")
        host = f"10.128.{number // 250}.{number % 250}"
        return item._replace(address=model.Address(host, 8080))


@pytest.fixture
def vm_observations() -> observations.Observations:
    """Return the observations of a VM with the reports of sixty peers."""
    servers = (cookie_scenario.Server("z1", 2, 1.0),) * 60
    reader = cookie_scenario.Reader(servers)
    target_catalog = catalog.Catalog(reader)
    target_catalog.update(0, store_replica.Merge(reader.rows(), 0))
    vm_observations = observations.Observations("z1", target_catalog)
    for number in range(60):
        report = tuple(_Counted(t.cookie, 1, 30, False) for t in target_catalog.targets)
        vm_observations.reports.record(0, f"vm{number}", report)
    vm_observations.tick(0)
    return vm_observations


def test_new_flow_does_not_search_all_reports(
    vm_observations: observations.Observations,
) -> None:
    """Guards against a burst of new flows that blocks a VM of a large fleet.

    With a search of sixty reports for each of 75 targets, one opening packet took
    9 ms instead of 0.2 ms. Packets behind it waited, and the search used a tenth of a
    small VM's processor.
    """
    before = _Counted.reads
    for _ in range(10):
        vm_observations.candidates(100, cookie_scenario.SERVICE, 0, 0.5, True)
    assert _Counted.reads == before


def test_few_of_many_targets_are_considered() -> None:
    """Guards against a VM that is blocked by a service with 2,400 servers.

    Considering every server costs 10 ms per flow, in which the VM forwards no packet.
    """
    servers = [cookie_scenario.Server(f"z{n % 3 + 1}", 2, 1.0) for n in range(400)]
    reader = _WideReader(tuple(servers))
    target_catalog = catalog.Catalog(reader)
    target_catalog.update(0, store_replica.Merge(reader.rows(), 0))
    accepting = target_catalog.accepting(cookie_scenario.SERVICE)
    own_targets, others = target_catalog.accepting_split(cookie_scenario.SERVICE, "z1")
    looked_at: collections.Counter[int] = collections.Counter()
    for step in range(1000):
        found = placing.sample_targets(own_targets, others, step / 1000)
        assert len(found) == len(set(found)) == 2 * placing.SAMPLE_SIZE
        assert sum(item.zone == "z1" for item in found) == placing.SAMPLE_SIZE
        looked_at.update(item.cookie for item in found)
    own = [looked_at[item.cookie] for item in accepting if item.zone == "z1"]
    assert max(own) < 1.1 * min(own)


def test_report_lists_targets_with_flows_only() -> None:
    """Guards against reports that list thousands of targets without flows."""
    reader = cookie_scenario.Reader(cookie_scenario.ORDINARY.servers)
    target_catalog = catalog.Catalog(reader)
    target_catalog.update(0, store_replica.Merge(reader.rows(), 0))
    vm_observations = observations.Observations("z1", target_catalog)
    target = next(iter(target_catalog.targets))
    flow = model.FlowId(bytes(4), 1, cookie_scenario.SERVICE_IP, 443)
    vm_observations.tracker.record_placement(0, flow, target.cookie, 0)
    assert [entry.cookie for entry in vm_observations.report()] == [target.cookie]
