"""The location of flows under one configuration and one view of the fleet.

An epoch pairs a configuration with the serving VMs. From these alone, without
any message, a VM computes the default target of a flow, the VM that is the
flow's home and the VM that is the home's backup. The default target is chosen
from the configuration alone, and the home is chosen from the VMs of the
target's zone, so that only the first hop crosses zones.
"""

import collections
import typing

from eelgrasswick import (
    config,
    packet,
    service,
    target,
)
from eelgrasswick.fleet import member
from eelgrasswick.homes import rendezvous

_SLOT_MASK: typing.Final = 0xFFF
MAX_EARLIER_EPOCHS: typing.Final = 6
_MAX_JOINED: typing.Final = 50


class Location(typing.NamedTuple):
    """The default target, home and backup of one flow.

    Attributes:
        default: Target that rendezvous hashing selects; None when no target
            takes new flows.
        home: Name of the VM that decides about the flow; None when no VM serves.
        backup: Name of the VM that keeps a copy if the flow is an exception;
            None when the home is the only serving VM.
    """

    default: target.Target | None
    home: str | None
    backup: str | None


class _Owners(typing.NamedTuple):
    home: str | None
    backup: str | None


class _Ranked(typing.NamedTuple):
    """The properties on which the rank of a VM depends.

    Its state and incarnation don't change its rank.
    """

    name: str
    zone: str
    size: int


class Epoch:
    """One configuration together with one view of the serving VMs."""

    def __init__(
        self, current: config.Config, members: typing.Iterable[member.Member]
    ) -> None:
        """Create an epoch of the serving ones among ``members``."""
        self.config = current
        self.members = {item.name: item for item in members if item.serves}
        # The candidates of a service are computed when its first flow arrives.
        # Computing those of thousands of services at each change would delay
        # the tick in which the epoch begins.
        self._targets: dict[str, list[rendezvous.Candidate]] = {}
        self._entries = {
            item.name: rendezvous.candidate(item.name, item.size)
            for item in self.members.values()
        }
        self._all = list(self._entries.values())
        self._by_zone: dict[str, list[rendezvous.Candidate]] = {}
        for item in self.members.values():
            self._by_zone.setdefault(item.zone, []).append(self._entries[item.name])
        self._owners: dict[tuple[str, int], _Owners] = {}
        # The sum is computed once here and not for each new flow, because
        # otherwise the cost of opening a flow would grow with the fleet.
        self._total_size = sum(item.size for item in self.members.values())

    def share(self, name: str) -> float:
        """Return a VM's fraction of the fleet's total size, 0 to 1.

        If no VM serves, this VM is on its own and its fraction is 1.
        """
        if not self._total_size:
            return 1.0
        known = self.members.get(name)
        return known.size / self._total_size if known is not None else 0.0

    @property
    def zones(self) -> frozenset[str]:
        """Names of the zones in which at least one VM serves."""
        return frozenset(self._by_zone)

    def same_members(self, members: typing.Iterable[member.Member]) -> bool:
        """Return whether homes would be the same with these serving VMs."""
        own = {(item.name, item.zone, item.size) for item in self.members.values()}
        return own == {(item.name, item.zone, item.size) for item in members}

    def locate(self, flow: packet.FlowKey, flow_service: service.Service) -> Location:
        """Return the location of a flow to a service."""
        key = flow.packed
        chosen = rendezvous.best(key, self._candidates(flow_service.name))
        default = self.config.targets[chosen] if chosen is not None else None
        zone = default.zone if default is not None else ""
        owners = self._owners_of(zone, rendezvous.digest(key))
        return Location(default, owners.home, owners.backup)

    def ranked(
        self, flow: packet.FlowKey, flow_service: service.Service
    ) -> list[target.Target]:
        """Return the targets that take new flows, the default target first."""
        names = rendezvous.ranked(flow.packed, self._candidates(flow_service.name))
        return [self.config.targets[name] for name in names]

    def ranked_all(
        self, flow: packet.FlowKey, flow_service: service.Service
    ) -> list[target.Target]:
        """Return all targets by rank, including those that take no new flow.

        The default target of a flow that began before a drain is the one that
        ranks first if the drain is disregarded.
        """
        entries = [
            rendezvous.candidate(item.name, item.weight)
            for item in flow_service.targets
        ]
        names = rendezvous.ranked(flow.packed, entries)
        return [self.config.targets[name] for name in names]

    def _candidates(self, name: str) -> list[rendezvous.Candidate]:
        found = self._targets.get(name)
        if found is None:
            known = self.config.services.get(name)
            found = _target_candidates(known) if known is not None else []
            self._targets[name] = found
        return found

    def _owners_of(self, zone: str, flow_hash: int) -> _Owners:
        slot = flow_hash & _SLOT_MASK
        found = self._owners.get((zone, slot))
        if found is None:
            found = self._rank_owners(zone, slot.to_bytes(2, "big"))
            self._owners[(zone, slot)] = found
        return found

    @property
    def cached_slots(self) -> int:
        """Number of slots whose home and backup are cached."""
        return len(self._owners)

    def reuse_from(self, before: "Epoch") -> None:
        """Copy cached results of an earlier epoch that the change leaves valid.

        The home and backup of a slot are ranked over all VMs. Ranking all slots
        again after each change of a large fleet would keep a VM busy for
        seconds, and it would send no heartbeats meanwhile. With rendezvous hashing,
        a home or backup that still serves keeps its role unless a VM that
        joined ranks above it.

        Args:
            before: The epoch that was in force until now.
        """
        if before.config is self.config:
            self._targets = before._targets
        own, earlier = self._ranked_members(), before._ranked_members()
        joined = own - earlier
        departed = {item.name for item in earlier - own}
        if len(joined) > _MAX_JOINED:
            return
        for (zone, slot), owners in before._owners.items():
            if owners.home in departed or owners.backup in departed:
                continue
            if not self._is_reusable(before, zone, owners):
                continue
            key = slot.to_bytes(2, "big")
            self._owners[(zone, slot)] = self._rank_against_joined(
                key, zone, owners, joined
            )

    def _ranked_members(self) -> set[_Ranked]:
        return {
            _Ranked(item.name, item.zone, item.size) for item in self.members.values()
        }

    def _is_reusable(self, before: "Epoch", zone: str, owners: _Owners) -> bool:
        # If no VM serves in the zone, or VMs serve in one zone only, home and
        # backup are ranked over a different set of VMs. A change to or from
        # such a state requires a new ranking.
        if owners.home is None or owners.backup is None:
            return False
        same_zone = before.members[owners.home].zone == zone
        return (
            same_zone
            and bool(self._by_zone.get(zone))
            and before.members[owners.backup].zone != zone
        )

    def _rank_against_joined(
        self, key: bytes, zone: str, owners: _Owners, joined: set[_Ranked]
    ) -> _Owners:
        if not joined:
            return owners
        home, backup = owners
        same_zone = [home, *(item.name for item in joined if item.zone == zone)]
        other_zones = [backup, *(item.name for item in joined if item.zone != zone)]
        return _Owners(self._best(key, same_zone), self._best(key, other_zones))

    def _best(self, key: bytes, names: list[str | None]) -> str | None:
        entries = [self._entries[name] for name in names if name is not None]
        return rendezvous.best(key, entries)

    def _rank_owners(self, zone: str, key: bytes) -> _Owners:
        home = rendezvous.best(key, self._by_zone.get(zone) or self._all)
        if home is None:
            return _Owners(None, None)
        # A whole zone can fail at once. If home and backup were in the same
        # zone, its failure would lose the exceptions, and the targets of open
        # flows would have to be guessed. A backup in another zone keeps them.
        elsewhere = [
            item
            for item in self._all
            if self.members[item.name].zone != self.members[home].zone
        ]
        others = elsewhere or [item for item in self._all if item.name != home]
        return _Owners(home, rendezvous.best(key, others))


def _target_candidates(item: service.Service) -> list[rendezvous.Candidate]:
    return [
        rendezvous.candidate(entry.name, entry.weight)
        for entry in item.targets
        if entry.accepts
    ]


class _Earlier(typing.NamedTuple):
    epoch: Epoch
    ended_ms: int


class EpochLog:
    """The epoch in force and the epochs that ended recently."""

    def __init__(self, window_ms: int) -> None:
        """Create an empty log.

        Args:
            window_ms: Time for which the owners and default targets of an ended
                epoch are still taken into account, in milliseconds.
        """
        self.current: Epoch | None = None
        self._newest_sequence = 0
        self._window_ms = window_ms
        self._earlier: collections.deque[_Earlier] = collections.deque(
            maxlen=MAX_EARLIER_EPOCHS
        )
        self._by_config: collections.deque[Epoch] = collections.deque(
            maxlen=MAX_EARLIER_EPOCHS
        )

    @property
    def outdated(self) -> bool:
        """True when a peer has reported a newer configuration."""
        return (
            self.current is not None
            and self._newest_sequence > self.current.config.sequence
        )

    def note_sequence(self, sequence: int) -> None:
        """Record the sequence of the configuration that a peer has in force."""
        self._newest_sequence = max(self._newest_sequence, sequence)

    def advance(self, now_ms: int, epoch: Epoch) -> None:
        """Put a new epoch in force and end the current one."""
        if self.current is not None:
            epoch.reuse_from(self.current)
            self._earlier.appendleft(_Earlier(self.current, now_ms))
            if self.current.config is not epoch.config:
                self._by_config.appendleft(self.current)
        self.current = epoch

    def add_earlier(self, now_ms: int, epoch: Epoch) -> None:
        """Add an epoch of other VMs, as if it had been in force here until now."""
        self._earlier.appendleft(_Earlier(epoch, now_ms))

    def earlier_owners(
        self, now_ms: int, flow: packet.FlowKey, flow_service: service.Service
    ) -> list[str]:
        """Return the VMs that may have a record of the flow from earlier epochs.

        Args:
            now_ms: Present time in milliseconds.
            flow: The flow.
            flow_service: Service to which the flow goes.

        Returns:
            Names of homes and backups under the epochs that ended within the
            window, the newest first, without duplicates.
        """
        names: dict[str, None] = {}
        for item in self._earlier:
            if now_ms - item.ended_ms > self._window_ms:
                break
            known = item.epoch.config.services.get(flow_service.name)
            if known is None:
                continue
            place = item.epoch.locate(flow, known)
            names.update(dict.fromkeys((place.home, place.backup)))  # type: ignore[arg-type]
        return [name for name in names if name]

    def recent_defaults(
        self, now_ms: int, flow: packet.FlowKey, flow_service: service.Service
    ) -> list[target.Target]:
        """Return the flow's default targets in the window, the newest first."""
        assert self.current is not None
        recent = [
            item.epoch
            for item in self._earlier
            if now_ms - item.ended_ms <= self._window_ms
        ]
        found: dict[str, target.Target] = {}
        for epoch in (self.current, *recent):
            known = epoch.config.services.get(flow_service.name)
            default = epoch.locate(flow, known).default if known is not None else None
            if default is not None:
                found.setdefault(default.name, default)
        return list(found.values())

    def possible_targets(
        self, flow: packet.FlowKey, flow_service: service.Service
    ) -> list[target.Target]:
        """Return the flow's possible targets, of the newest configuration first.

        A flow of which no VM has a record is on the default target of the
        configuration under which it began. The result has the default target
        of each configuration that is still kept.
        """
        epochs = [self.current] if self.current is not None else []
        epochs += self._by_config
        found: dict[str, target.Target] = {}
        for item in epochs:
            known = item.config.services.get(flow_service.name)
            if known is None:
                continue
            default = item.locate(flow, known).default
            if default is not None:
                found.setdefault(default.name, default)
        return list(found.values())
