"""Which targets are cold, and whether a flow may go to one."""

import time
import typing

from eelgrasswick.cookie import model
from eelgrasswick.decisions import cold_start

ServiceOf = typing.Callable[[str], model.Service | None]


class Age(typing.NamedTuple):
    """How old an incarnation of a target was when this VM first saw it.

    Attributes:
        seen_ms: When this VM saw it.
        age_ms: Its age then, at least.
    """

    seen_ms: int
    age_ms: int


class Ages:
    """When targets started, as far as a VM knows.

    An entry may say that its target is not cold although it has just started, and is
    late by up to a heartbeat.
    """

    def __init__(self, unix_s: typing.Callable[[], float] = time.time) -> None:
        """Know no target.

        Args:
            unix_s: Time of day; may be wrong by seconds.
        """
        self._unix_s = unix_s
        self._ages: dict[int, Age] = {}
        self._suspected_ms: dict[int, int] = {}

    def record_entry(self, now_ms: int, target: model.Target, watched: bool) -> None:
        """Note an entry.

        Args:
            now_ms: Present time.
            target: What the entry says.
            watched: False when this VM hears of targets that mostly started long ago;
                their age is then taken by the time of day.
        """
        if target.cookie in self._ages:
            return
        age_ms = 0 if watched else int(1000 * self._unix_s()) - target.born_ms
        # Below zero the time of day is wrong. All targets taken for new by it would
        # have this VM refuse all flows.
        if age_ms >= 0:
            self._ages[target.cookie] = Age(now_ms, age_ms)

    def record_start(self, now_ms: int, cookie: int) -> None:
        """Take a target for one that starts now."""
        self._ages[cookie] = Age(now_ms, 0)

    def record_suspicion(self, now_ms: int, cookie: int) -> None:
        """Note a target that is taken for silent; it may be about to start anew."""
        self._suspected_ms[cookie] = now_ms

    def cleared_for_ms(self, now_ms: int, cookie: int) -> int | None:
        """Return for how long a target has not been suspected; None if it never was."""
        at_ms = self._suspected_ms.get(cookie)
        return None if at_ms is None else now_ms - at_ms

    def forget(self, cookie: int) -> None:
        """Forget a target."""
        self._ages.pop(cookie, None)
        self._suspected_ms.pop(cookie, None)

    def age_ms(self, now_ms: int, cookie: int) -> int | None:
        """Return how long ago a target started, at least; None if it is unknown."""
        known = self._ages.get(cookie)
        return None if known is None else known.age_ms + now_ms - known.seen_ms


class Eligible(typing.NamedTuple):
    """Targets that a flow may go to.

    Attributes:
        targets: The targets.
        left_out: True when cold ones were left out.
    """

    targets: typing.Sequence[model.Target]
    cold_excluded: bool


class ColdTargets:
    """Keeps flows from cold targets of services that limit them."""

    def __init__(
        self,
        limits: cold_start.ColdStart,
        service_of: ServiceOf,
        cold_ms: typing.Callable[[model.Target, int], int],
        ages: Ages,
    ) -> None:
        """Watch over the targets of a catalog.

        Args:
            limits: This VM's part of the flows that cold targets take.
            service_of: Returns a service by its name, if it is in force.
            cold_ms: Returns how much longer a target is cold at a time.
            ages: When targets started or came back.
        """
        self.limits = limits
        self._service_of = service_of
        self._cold_ms = cold_ms
        self._ages = ages

    def limit_per_s(self, name: str) -> float | None:
        """Return what a service's cold targets bear; None without a limit."""
        service = self._service_of(name)
        return service.cold_flows_per_s if service is not None else None

    def eligible(
        self,
        now_ms: int,
        targets: typing.Sequence[model.Target],
        urgent: bool,
    ) -> Eligible:
        """Return the warm ones of some targets, or what cold ones still take.

        Args:
            now_ms: Present time.
            targets: Targets of one service, at least one.
            urgent: True for the most urgent flows of the service.
        """
        per_s = self.limit_per_s(targets[0].service)
        if per_s is None:
            return Eligible(targets, False)
        warm = [item for item in targets if not self._cold_ms(item, now_ms)]
        # After a silence of a target nobody is refused for it: the silence may have
        # been that of this VM's own link.
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
        """Note a flow to a target."""
        if self.limit_per_s(target.service) is not None and self._cold_ms(
            target, now_ms
        ):
            self.limits.opened(now_ms, target.cookie)
