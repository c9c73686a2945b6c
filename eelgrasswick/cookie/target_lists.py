"""Lists of the targets that may get new flows, updated target by target.

Load pattern: a fleet with thousands of targets, of which some restart, drain or lapse
every second. If all lists were rebuilt for each changed row, a change would take
milliseconds in which the VM forwards no packet. Only the targets that changed are
therefore removed from the lists and inserted at their places.
"""

import bisect
import typing

from eelgrasswick.cookie import model

Predicate = typing.Callable[[model.Target], bool]


class Split(typing.NamedTuple):
    """Targets of a service in one zone and in all others, in the order of the lists."""

    own: typing.Sequence[model.Target]
    others: typing.Sequence[model.Target]


class OrderedTargets:
    """Targets in the order of their start times and names, without duplicates.

    Attributes:
        targets: The targets. The list is updated in place.
    """

    def __init__(self, targets: typing.Iterable[model.Target] = ()) -> None:
        """Create a list of some targets."""
        self.targets = sorted(targets, key=_order)
        # Comparing stored keys is several times as fast as building them.
        self._keys = [_order(item) for item in self.targets]

    def add(self, target: model.Target) -> None:
        """Insert a target that is not listed."""
        key = _order(target)
        index = bisect.bisect_left(self._keys, key)
        self._keys.insert(index, key)
        self.targets.insert(index, target)

    def remove(self, target: model.Target) -> None:
        """Remove a listed target, which is identified by start time and name."""
        index = bisect.bisect_left(self._keys, _order(target))
        del self._keys[index]
        del self.targets[index]


class ServiceTargets:
    """Targets of one service, also by the zones that were asked for."""

    def __init__(self) -> None:
        """Create empty lists."""
        self._all = OrderedTargets()
        # This table has two lists for each zone: its targets, and those of other zones.
        self._splits: dict[str, tuple[OrderedTargets, OrderedTargets]] = {}

    @property
    def targets(self) -> list[model.Target]:
        """All targets of the service."""
        return self._all.targets

    def add(self, target: model.Target) -> None:
        """Insert a target that is not listed."""
        self._all.add(target)
        for zone, (own, others) in self._splits.items():
            (own if target.zone == zone else others).add(target)

    def remove(self, target: model.Target) -> None:
        """Remove a listed target."""
        self._all.remove(target)
        for zone, (own, others) in self._splits.items():
            (own if target.zone == zone else others).remove(target)

    def split(self, zone: str) -> Split:
        """Return the targets of a zone and those of all other zones."""
        found = self._splits.get(zone)
        if found is None:
            found = self._splits[zone] = (
                OrderedTargets(item for item in self.targets if item.zone == zone),
                OrderedTargets(item for item in self.targets if item.zone != zone),
            )
        own, others = found
        return Split(own.targets, others.targets)


class _Group:
    """Targets by cookie, and lists of them by service."""

    def __init__(self) -> None:
        self._targets: dict[int, model.Target] = {}
        self._services: dict[str, ServiceTargets] = {}

    def get(self, cookie: int) -> model.Target | None:
        return self._targets.get(cookie)

    def service(self, name: str) -> ServiceTargets:
        found = self._services.get(name)
        return ServiceTargets() if found is None else found

    def set(self, cookie: int, target: model.Target | None) -> None:
        """Replace the target of a cookie; None removes it."""
        former = self._targets.get(cookie)
        if target == former:
            return
        if former is not None:
            self._remove(cookie, former)
        if target is not None:
            self._targets[cookie] = target
            service = self._services.get(target.service)
            if service is None:
                service = self._services[target.service] = ServiceTargets()
            service.add(target)

    def _remove(self, cookie: int, former: model.Target) -> None:
        del self._targets[cookie]
        service = self._services[former.service]
        service.remove(former)
        if not service.targets:
            del self._services[former.service]


class TargetLists:
    """The targets of each service that may get new flows, by their entries.

    Two targets with the same cookie would receive each other's packets. The older
    target keeps the cookie. The other one gets no flows, which only wastes its slots.

    Changes of entries take effect with the next `apply`.
    """

    def __init__(self, excluded: Predicate, withheld: Predicate) -> None:
        """Create empty lists.

        Args:
            excluded: Returns True for a target that gets no new flow.
            withheld: Returns True for a target that gets no new flow only because its
                zone is evacuated.
        """
        self._excluded = excluded
        self._is_withheld = withheld
        self._entries: dict[str, model.Target] = {}
        # This table has the keys of the entries with each cookie, nearly always one.
        self._keys: dict[int, tuple[str, ...]] = {}
        self._accepting = _Group()
        self._withheld = _Group()
        self._marked: set[int] = set()

    def accepting(self, service: str) -> list[model.Target]:
        """Return the targets of a service that may get new flows."""
        return self._accepting.service(service).targets

    def withheld(self, service: str) -> list[model.Target]:
        """Return a service's targets that only an evacuation excludes."""
        return self._withheld.service(service).targets

    def accepting_split(self, service: str, zone: str) -> Split:
        """Return the result of `accepting` by zone."""
        return self._accepting.service(service).split(zone)

    def withheld_split(self, service: str, zone: str) -> Split:
        """Return the result of `withheld` by zone."""
        return self._withheld.service(service).split(zone)

    def accepting_target(self, cookie: int) -> model.Target | None:
        """Return the target of a cookie if it may get new flows."""
        return self._accepting.get(cookie)

    def set_entry(self, key: str, target: model.Target) -> None:
        """Add or replace the entry of a key."""
        self.remove_entry(key)
        cookie = target.cookie
        self._entries[key] = target
        self._keys[cookie] = (*self._keys.get(cookie, ()), key)
        self.mark(cookie)

    def remove_entry(self, key: str) -> None:
        """Remove the entry of a key, if any."""
        former = self._entries.pop(key, None)
        if former is None:
            return
        cookie = former.cookie
        keys = tuple(item for item in self._keys.pop(cookie) if item != key)
        if keys:
            self._keys[cookie] = keys
        self.mark(cookie)

    def mark(self, cookie: int) -> None:
        """Let the next `apply` consider the target of a cookie."""
        self._marked.add(cookie)

    def mark_zones(self, zones: typing.Collection[str]) -> None:
        """Let the next `apply` consider all targets of some zones."""
        for target in self._entries.values():
            if target.zone in zones:
                self.mark(target.cookie)

    def apply(self) -> dict[int, model.Target | None]:
        """Update the lists for the marked targets.

        Returns:
            The target that each considered cookie stands for; None without an entry.
        """
        owners = {cookie: self._owner(cookie) for cookie in self._marked}
        self._marked = set()
        for cookie, target in owners.items():
            listed = None if target is None or self._excluded(target) else target
            withheld = listed is not None and self._is_withheld(listed)
            self._accepting.set(cookie, None if withheld else listed)
            self._withheld.set(cookie, listed if withheld else None)
        return owners

    def _owner(self, cookie: int) -> model.Target | None:
        keys = self._keys.get(cookie, ())
        if len(keys) <= 1:
            return self._entries[keys[0]] if keys else None
        return min((self._entries[key] for key in keys), key=_order)


def _order(target: model.Target) -> tuple[int, str]:
    return target.born_ms, target.name
