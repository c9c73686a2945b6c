"""Log lines about pressure on pools, limits of targets and scheduled groups."""

import typing

from eelgrasswick.cookie import catalog, event_log
from eelgrasswick.decisions import pressure, target_limit
from eelgrasswick.reservations import target_group


class ReservationLog:
    """Logs what a VM decides about pools and groups."""

    def __init__(
        self, log: event_log.EventLog, target_catalog: catalog.Catalog
    ) -> None:
        """Create the log of a VM.

        Args:
            log: Receives the lines.
            target_catalog: Names targets by their cookies.
        """
        self._log = log
        self._catalog = target_catalog
        # The requests of each group that were decided on at its last line.
        self._decided: dict[str, int] = {}

    def write_groups(self, states: typing.Iterable[target_group.GroupState]) -> None:
        """Log the state of the groups that had requests since the last call."""
        decided = {}
        for state in states:
            decided[state.key] = state.granted + sum(state.rejected.values())
            if decided[state.key] != self._decided.get(state.key, 0):
                self._write_group(state)
        self._decided = decided

    def _write_group(self, state: target_group.GroupState) -> None:
        self._log.write(
            "group_state",
            group=state.key,
            slots=state.slots,
            limit=state.limit,
            in_flight=state.in_flight,
            waiting=state.waiting,
            expected_wait_ms=state.expected_wait_ms,
            residence_ms=f"{state.residence_ms:.0f}",
            rate_per_s=f"{state.rate_per_s:.0f}",
            granted=state.granted,
            queued=state.queued,
            **{
                f"rejected_{reason.name.lower()}": count
                for reason, count in state.rejected.items()
            },
        )

    def write_pressure(self, change: pressure.Change) -> None:
        """Log that pressure on a pool has begun or ended."""
        self._log.write(
            "pool_pressure_begun" if change.begun else "pool_pressure_over",
            service=change.pool.service,
            zone=change.pool.zone,
            reason=change.reason.value,
            load=f"{change.load:.2f}",
            in_flight=f"{change.in_flight:.1f}",
            slots=change.slots,
            rejections=change.rejections,
        )

    def write_limit(self, change: target_limit.LimitChange) -> None:
        """Log that the limit of a target has changed."""
        target = self._catalog.by_cookie(change.cookie)
        self._log.write(
            "target_limit",
            target=target.name if target is not None else "-",
            before=change.before,
            after=change.after,
            reason=change.reason.value,
            in_flight=f"{change.in_flight:.1f}",
            residence_ms=_rounded(change.residence_ms),
            shortest_ms=_rounded(change.shortest_ms),
        )


def _rounded(value: float | None) -> str:
    return "-" if value is None else f"{value:.0f}"
