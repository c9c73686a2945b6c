"""Compares the speeds of the targets of each service.

Load pattern: services with thousands of targets, of which a VM has response times of
some. If all targets were compared every second, the comparison would block the VM for
several milliseconds. Only the services with new response times or changed targets are
therefore compared, and only their targets with a known response time are visited.
"""

import bisect
import typing

from eelgrasswick.cookie import (
    catalog,
    entry_table,
    model,
    reports,
    speed,
)


class _Measured(typing.NamedTuple):
    """A target with a known response time, in the order of the catalog's lists.

    The order makes the sums of a comparison independent of the order of changes.
    """

    born_ms: int
    name: str
    cookie: int


class SpeedComparison:
    """Speed factors of all targets, as of the last comparison."""

    def __init__(
        self,
        target_catalog: catalog.Catalog,
        changes: entry_table.Changes,
        answer_times: speed.AnswerTimes,
        vm_reports: reports.Reports,
    ) -> None:
        """Create a comparison in which all targets have the usual speed.

        Args:
            target_catalog: The catalog.
            changes: Changes of the catalog; their cookies and services are handled
                here.
            answer_times: Response times that this VM measured.
            vm_reports: Reports of the other VMs.
        """
        self._catalog = target_catalog
        self._changes = changes
        self._answer_times = answer_times
        self._reports = vm_reports
        # These tables have the targets with a known response time that may get flows.
        self._measured: dict[int, model.Target] = {}
        self._means_ms: dict[int, float] = {}
        self._by_service: dict[str, list[_Measured]] = {}
        # This table has the factors of each service by cookie.
        self._compared: dict[str, dict[int, float]] = {}
        self._factors: dict[int, float] = {}

    def factor(self, cookie: int) -> float:
        """Return the factor for the slots of a target."""
        return self._factors.get(cookie, 1.0)

    def compare(self) -> None:
        """Compare the services with new response times or changed targets."""
        services = set(self._changes.services)
        for changed in (
            self._changes.cookies,
            self._answer_times.changed,
            self._reports.changed,
        ):
            for cookie in changed:
                services.update(self._update_mean(cookie))
            changed.clear()
        self._changes.services.clear()
        found = {service: self._compare_service(service) for service in services}
        # A target may have moved from one of the services to another one, so factors
        # are deleted before others are added.
        for service, factors in found.items():
            former = self._compared.pop(service, {})
            for cookie in former.keys() - factors.keys():
                del self._factors[cookie]
        for service, factors in found.items():
            if factors:
                self._compared[service] = factors
                self._factors.update(factors)

    def _update_mean(self, cookie: int) -> list[str]:
        """Update the mean of a target; return the services that this concerns."""
        target = self._catalog.accepting_target(cookie)
        mean_ms = self._mean_ms(cookie) if target is not None else None
        former = self._measured.get(cookie)
        if mean_ms is None:
            target = None
        if target == former and mean_ms == self._means_ms.get(cookie):
            return []
        concerned = []
        if former is not None:
            concerned.append(former.service)
            self._remove(former)
        if target is not None and mean_ms is not None:
            concerned.append(target.service)
            self._add(target, mean_ms)
        return concerned

    def _add(self, target: model.Target, mean_ms: float) -> None:
        self._measured[target.cookie] = target
        self._means_ms[target.cookie] = mean_ms
        measured = self._by_service.setdefault(target.service, [])
        bisect.insort(measured, _measured(target))

    def _remove(self, target: model.Target) -> None:
        del self._measured[target.cookie]
        del self._means_ms[target.cookie]
        measured = self._by_service[target.service]
        del measured[bisect.bisect_left(measured, _measured(target))]
        if not measured:
            del self._by_service[target.service]

    def _compare_service(self, service: str) -> dict[int, float]:
        measured = self._by_service.get(service)
        if measured is None or service not in self._catalog.entries.services:
            return {}
        # Targets without a known response time have no influence on the others.
        return speed.speed_factors(
            {cookie: self._means_ms[cookie] for _, _, cookie in measured}
        )

    def _mean_ms(self, cookie: int) -> float | None:
        reported_ms: typing.Sequence[float] = self._reports.answers_ms(cookie)
        own_ms = self._answer_times.mean_ms(cookie)
        times_ms = [*reported_ms, own_ms] if own_ms is not None else reported_ms
        return sum(times_ms) / len(times_ms) if times_ms else None


def _measured(target: model.Target) -> _Measured:
    return _Measured(target.born_ms, target.name, target.cookie)
