"""What is known of the targets when a flow is placed, own sight and reports."""

import typing

from eelgrasswick import health
from eelgrasswick.cookie import (
    catalog,
    model,
    placing,
    reports,
    silence,
    speed,
    tracker,
)


class Sights:
    """Flows, answer times and silence of all targets."""

    def __init__(self, known: catalog.Catalog) -> None:
        """Look at the targets of a catalog."""
        self._catalog = known
        self.tracker = tracker.Tracker()
        self.speeds = speed.SpeedBook()
        self.silence = silence.SilenceBook()
        self.reports = reports.Reports()
        self._factors: dict[int, float] = {}

    def candidates(
        self, now_ms: int, service: str, passed_over: int
    ) -> list[placing.Candidate]:
        """Return the targets of a service that may get a flow.

        Args:
            now_ms: Present time.
            service: Name of the service.
            passed_over: Cookie of a target that did not answer this flow
                before, 0 for none; it is left out unless there is no other.
        """
        accepting = self._catalog.accepting(service)
        suspected = [self._suspected(now_ms, item.cookie) for item in accepting]
        usable = [
            item
            for item, keep in zip(accepting, health.usable(suspected), strict=True)
            if keep
        ]
        others = [item for item in usable if item.cookie != passed_over]
        return [self._candidate(now_ms, item) for item in others or usable]

    def tick(self, now_ms: int) -> None:
        """Bring sums and speeds up to date; forget targets that are gone."""
        self.tracker.expire(now_ms)
        self.reports.tick(now_ms)
        cookies = {item.cookie for item in self._catalog.targets}
        self.speeds.keep(cookies)
        self.silence.keep(cookies)
        self._factors = {}
        for service in {item.service for item in self._catalog.targets}:
            accepting = self._catalog.accepting(service)
            means_ms = {item.cookie: self._mean_ms(item.cookie) for item in accepting}
            self._factors.update(speed.factors(means_ms))

    def report(self) -> reports.Report:
        """Return what the other VMs should know, the fullest targets in front."""
        entries = [self._entry(item.cookie) for item in self._catalog.targets]
        told = [item for item in entries if item.flows or item.silent]
        told.sort(key=lambda item: (item.silent, item.flows), reverse=True)
        return tuple(told[: reports.MAX_ENTRIES])

    def _entry(self, cookie: int) -> reports.Entry:
        mean_ms = self.speeds.mean_ms(cookie)
        return reports.Entry(
            cookie,
            self.tracker.flows_on(cookie),
            int(mean_ms) if mean_ms is not None else 0,
            self.silence.silent(cookie),
        )

    def _suspected(self, now_ms: int, cookie: int) -> bool:
        witnesses = self.reports.silent_for(now_ms, cookie)
        return self.silence.suspected(now_ms, cookie, witnesses)

    def _candidate(self, now_ms: int, target: model.Target) -> placing.Candidate:
        cookie = target.cookie
        return placing.Candidate(
            target,
            self.tracker.flows_on(cookie) + self.reports.flows_on(cookie),
            self._factors.get(cookie, 1.0),
            self._catalog.cold_ms(target, now_ms) > 0,
        )

    def _mean_ms(self, cookie: int) -> float | None:
        seen: typing.Sequence[float] = self.reports.answers_ms(cookie)
        own_ms = self.speeds.mean_ms(cookie)
        times_ms = [*seen, own_ms] if own_ms is not None else seen
        return sum(times_ms) / len(times_ms) if times_ms else None
