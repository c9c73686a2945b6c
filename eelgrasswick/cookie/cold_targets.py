"""Ages of targets, and limits on new flows to cold targets."""

import time
import typing

from eelgrasswick.cookie import model
from eelgrasswick.decisions import cold_start

ServiceOf = typing.Callable[[str], model.Service | None]


class Age(typing.NamedTuple):
    """Age of an incarnation of a target when this VM first recorded it.

    Attributes:
        recorded_ms: Time when this VM first recorded the incarnation.
        age_ms: Lower bound of its age at that time.
    """

    recorded_ms: int
    age_ms: int


class Ages:
    """Ages of targets, and their last suspicions, as recorded by one VM.

    The entries of targets are not sufficient: an entry may report a target that has
    just started as warm, and it arrives up to one heartbeat late.
    """

    def __init__(self, unix_s: typing.Callable[[], float] = time.time) -> None:
        """Create an empty table.

        Args:
            unix_s: Returns the time of day, which may be wrong by seconds.
        """
        self._unix_s = unix_s
        self._ages: dict[int, Age] = {}
        self._suspected_ms: dict[int, int] = {}

    def record_entry(self, now_ms: int, target: model.Target, watched: bool) -> None:
        """Record the entry of a target.

        Args:
            now_ms: Present time.
            target: The decoded entry.
            watched: False when the VM has just started or the store returns after an
                outage, because most targets started long ago then. The age is then
                computed by the time of day.
        """
        if target.cookie in self._ages:
            return
        age_ms = 0 if watched else int(1000 * self._unix_s()) - target.born_ms
        # If the age is negative, the time of day is wrong. If all targets were treated
        # as new because of a wrong time, this VM would refuse all flows.
        if age_ms >= 0:
            self._ages[target.cookie] = Age(now_ms, age_ms)

    def record_start(self, now_ms: int, cookie: int) -> None:
        """Record that a target starts now."""
        self._ages[cookie] = Age(now_ms, 0)

    def record_suspicion(self, now_ms: int, cookie: int) -> None:
        """Record that a target is suspected; it may be about to restart."""
        self._suspected_ms[cookie] = now_ms

    def cleared_for_ms(self, now_ms: int, cookie: int) -> int | None:
        """Return the time since a target's last suspicion; None if there was none."""
        at_ms = self._suspected_ms.get(cookie)
        return None if at_ms is None else now_ms - at_ms

    def remove(self, cookie: int) -> None:
        """Delete the records of a target."""
        self._ages.pop(cookie, None)
        self._suspected_ms.pop(cookie, None)

    def age_ms(self, now_ms: int, cookie: int) -> int | None:
        """Return a lower bound of a target's age; None if it is unknown."""
        age = self._ages.get(cookie)
        return None if age is None else age.age_ms + now_ms - age.recorded_ms


class Eligible(typing.NamedTuple):
    """Targets that a flow may be placed on.

    Attributes:
        targets: The targets.
        cold_excluded: True when cold targets were excluded.
    """

    targets: typing.Sequence[model.Target]
    cold_excluded: bool


class ColdTargets:
    """Limits new flows to cold targets, for the services that set a limit."""

    def __init__(
        self,
        limits: cold_start.ColdStart,
        service_of: ServiceOf,
        cold_ms: typing.Callable[[model.Target, int], int],
        ages: Ages,
    ) -> None:
        """Create the limits for the targets of a catalog.

        Args:
            limits: This VM's share of the flows that cold targets may take.
            service_of: Returns a service by its name, if it is configured.
            cold_ms: Returns how much longer a target is cold, for a given time.
            ages: Ages and suspicions of the targets.
        """
        self.limits = limits
        self._service_of = service_of
        self._cold_ms = cold_ms
        self._ages = ages

    def limit_per_s(self, name: str) -> float | None:
        """Return the limit of flows a second per cold target; None without a limit."""
        service = self._service_of(name)
        return service.cold_flows_per_s if service is not None else None

    def eligible(
        self,
        now_ms: int,
        targets: typing.Sequence[model.Target],
        urgent: bool,
    ) -> Eligible:
        """Return the warm targets, or cold ones below their limit if none is warm.

        Args:
            now_ms: Present time.
            targets: Targets of one service, at least one.
            urgent: True for the most urgent flows of the service.
        """
        per_s = self.limit_per_s(targets[0].service)
        if per_s is None:
            return Eligible(targets, False)
        warm = [item for item in targets if not self._cold_ms(item, now_ms)]
        # Targets that may be cold after a suspicion are used rather than refusing the
        # flow, because the suspicion may be due to a fault of this VM's own link.
        certain = [item for item in warm if not self._may_be_cold(now_ms, item)]
        if certain or warm:
            found = certain or warm
            return Eligible(found, len(found) < len(targets))
        own = [t for t in targets if self.limits.share(now_ms, t.cookie, per_s)]
        free = [t for t in own if self.limits.allows(now_ms, t.cookie, per_s)]
        if cold_start.reserved_for_urgent(len(free), len(own), urgent):
            free = []
        return Eligible(free, True)

    def _may_be_cold(self, now_ms: int, target: model.Target) -> bool:
        service = self._service_of(target.service)
        cleared_ms = self._ages.cleared_for_ms(now_ms, target.cookie)
        if service is None or cleared_ms is None:
            return False
        return cleared_ms < service.cold_ms

    def record_flow(self, now_ms: int, target: model.Target) -> None:
        """Record that a flow was placed on a target."""
        if self.limit_per_s(target.service) is not None and self._cold_ms(
            target, now_ms
        ):
            self.limits.opened(now_ms, target.cookie)
