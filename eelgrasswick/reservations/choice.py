"""Choice of the group that a VM asks, and of the VM that it asks as its scheduler.

Load pattern: all pools of a service are under pressure, and every VM looks for the
group with the shortest wait. If each VM asked the group with the shortest known wait
first, all would ask the same one until its next report. A VM therefore compares two
groups of a zone, and asks other zones only when its own can't serve a flow. Groups of
other zones that have just reported that they are full are not asked again at once,
because each such request would be answered by a rejection.
"""

import typing

from eelgrasswick.reservations import groups

# A group of another zone that reported that it is full is not asked for this time. In
# an overload of all zones, most flows would otherwise cause one request to each.
FULL_MS: typing.Final = 250
# A reported wait is used for this time.
REPORT_MS: typing.Final = 1000
# A scheduler that did not reply in time is not asked for this time.
RETRY_MS: typing.Final = 200
# After so many requests in a row without a reply, the next VM by rendezvous hashing is
# asked instead for this time. After the first one already, two VMs would often schedule
# the same group, each with a part of the counts.
MAX_MISSED: typing.Final = 3
SILENCE_MS: typing.Final = 1000
# At most this many VMs are tried as the scheduler of a group. More failures at once are
# a partition or the loss of a zone.
MAX_RANKS: typing.Final = 3
# Another zone with this many VMs that did not reply is treated as unreachable. One such
# VM may have died alone.
SILENT_ZONE_HOSTS: typing.Final = 2
_MAX_RANKINGS: typing.Final = 4096
# This is earlier than every time of a report.
_NEVER_MS: typing.Final = -(10**9)

HostsByZone = typing.Mapping[str, typing.Sequence[str]]


class Choice(typing.NamedTuple):
    """A group to ask and its scheduler."""

    group: groups.Group
    host: str


class _Report(typing.NamedTuple):
    at_ms: int
    wait_ms: int
    full_ms: int


class _Ranking(typing.NamedTuple):
    hosts: typing.Sequence[str]
    ranked: tuple[str, ...]


class _Silence(typing.NamedTuple):
    until_ms: int
    zone: str
    missed: int


class GroupChoice:
    """What a VM knows about groups and their schedulers."""

    def __init__(self, zone: str) -> None:
        """Create the choice of a VM in a zone."""
        self._zone = zone
        self._reports: dict[str, _Report] = {}
        self._silent: dict[str, _Silence] = {}
        self._rankings: dict[str, _Ranking] = {}

    def own(
        self,
        now_ms: int,
        items: typing.Iterable[groups.Group],
        hosts: HostsByZone,
        turn: int,
    ) -> Choice | None:
        """Return a group of the own zone, the better of two.

        Args:
            now_ms: Present time.
            items: Groups of the service in all zones.
            hosts: Live VMs by zone.
            turn: A number that is different for each call, which selects the two.
        """
        own = [item for item in items if item.zone == self._zone]
        return self._choice(
            now_ms, self._better(now_ms, self._askable(now_ms, own, hosts), turn), hosts
        )

    def other(
        self,
        now_ms: int,
        items: typing.Iterable[groups.Group],
        hosts: HostsByZone,
        turn: int,
    ) -> Choice | None:
        """Return the group of another zone with the shortest wait that is not full."""
        by_zone: dict[str, list[groups.Group]] = {}
        others = [item for item in items if item.zone != self._zone]
        for item in self._askable(now_ms, others, hosts):
            if not self._is_full(now_ms, item.key):
                by_zone.setdefault(item.zone, []).append(item)
        zones = list(by_zone.values())
        # Zones with equal waits take turns.
        first = turn % len(zones) if zones else 0
        best = [self._better(now_ms, zone, turn) for zone in zones[first:]]
        best += [self._better(now_ms, zone, turn) for zone in zones[:first]]
        return self._choice(now_ms, self._shortest(now_ms, best), hosts)

    def best(
        self,
        now_ms: int,
        items: typing.Iterable[groups.Group],
        hosts: HostsByZone,
        excluded: typing.Container[str],
    ) -> Choice | None:
        """Return the group with the shortest wait, on ties one of the own zone."""
        allowed = [item for item in items if item.key not in excluded]
        askable = self._askable(now_ms, allowed, hosts)
        askable.sort(key=lambda item: item.zone != self._zone)
        return self._choice(now_ms, self._shortest(now_ms, askable), hosts)

    def reaches_other_zone(
        self, now_ms: int, items: typing.Iterable[groups.Group], hosts: HostsByZone
    ) -> bool:
        """Return whether a group of another zone that is not full can be asked."""
        return any(
            item.zone != self._zone
            and not self._is_full(now_ms, item.key)
            and self._is_askable(now_ms, item, hosts)
            for item in items
        )

    def record_wait(self, now_ms: int, key: str, wait_ms: int) -> None:
        """Record a group's report of the wait that a request would have."""
        self._reports[key] = _Report(now_ms, wait_ms, _NEVER_MS)

    def record_full(self, now_ms: int, key: str, wait_ms: int) -> None:
        """Record a group's report that it is full."""
        self._reports[key] = _Report(now_ms, wait_ms, now_ms)

    def record_silence(self, now_ms: int, host: str, zone: str, asked_ms: int) -> None:
        """Record that a scheduler did not reply in time.

        Args:
            now_ms: Present time.
            host: Address of the scheduler.
            zone: Its availability zone.
            asked_ms: When it was asked.
        """
        known = self._silent.get(host)
        if known is not None and asked_ms < known.until_ms:
            # The requests of one pause count once.
            return
        missed = 1 if known is None else known.missed + 1
        persistent = missed >= MAX_MISSED or zone != self._zone
        span_ms = SILENCE_MS if persistent else RETRY_MS
        self._silent[host] = _Silence(now_ms + span_ms, zone, missed)

    def record_reply(self, host: str) -> None:
        """Record that a scheduler replied, possibly late."""
        self._silent.pop(host, None)

    def expire(self, now_ms: int) -> None:
        """Delete what is not used any more."""
        self._reports = {
            key: item
            for key, item in self._reports.items()
            if now_ms - item.at_ms <= REPORT_MS
        }
        self._silent = {
            host: item
            for host, item in self._silent.items()
            if item.until_ms + SILENCE_MS > now_ms
        }

    def _choice(
        self, now_ms: int, group: groups.Group | None, hosts: HostsByZone
    ) -> Choice | None:
        if group is None:
            return None
        host = self._scheduler(now_ms, group, hosts)
        return None if host is None else Choice(group, host)

    def _better(
        self, now_ms: int, items: list[groups.Group], turn: int
    ) -> groups.Group | None:
        count = len(items)
        if count < 2:
            return items[0] if items else None
        # Successive turns compare every pair equally often.
        first = turn % count
        second = (first + 1 + turn // count % (count - 1)) % count
        return self._shortest(now_ms, [items[first], items[second]])

    def _shortest(
        self, now_ms: int, items: typing.Sequence[groups.Group | None]
    ) -> groups.Group | None:
        found = [item for item in items if item is not None]
        if len(found) < 2:
            return found[0] if found else None
        return min(found, key=lambda item: self._wait_ms(now_ms, item.key))

    def _wait_ms(self, now_ms: int, key: str) -> int:
        report = self._reports.get(key)
        if report is None or now_ms - report.at_ms > REPORT_MS:
            return 0
        return report.wait_ms

    def _is_full(self, now_ms: int, key: str) -> bool:
        report = self._reports.get(key)
        return report is not None and now_ms - report.full_ms <= FULL_MS

    def _askable(
        self, now_ms: int, items: typing.Iterable[groups.Group], hosts: HostsByZone
    ) -> list[groups.Group]:
        return [item for item in items if self._is_askable(now_ms, item, hosts)]

    def _is_askable(self, now_ms: int, item: groups.Group, hosts: HostsByZone) -> bool:
        if not item.targets or not hosts.get(item.zone):
            return False
        return not self._silent or self._scheduler(now_ms, item, hosts) is not None

    def _scheduler(
        self, now_ms: int, group: groups.Group, hosts: HostsByZone
    ) -> str | None:
        ranked = self._ranked(group.key, hosts[group.zone])
        if not self._silent:
            return ranked[0]
        if group.zone != self._zone and self._is_unreachable(now_ms, group.zone):
            return None
        for host in ranked:
            silence = self._silent.get(host)
            if silence is None or now_ms >= silence.until_ms:
                return host
            if silence.missed < MAX_MISSED and group.zone == self._zone:
                return None
        return None

    def _is_unreachable(self, now_ms: int, zone: str) -> bool:
        silent = [
            item
            for item in self._silent.values()
            if item.zone == zone and now_ms < item.until_ms
        ]
        return len(silent) >= SILENT_ZONE_HOSTS

    def _ranked(self, key: str, hosts: typing.Sequence[str]) -> tuple[str, ...]:
        # Hashing the hundreds of hosts of a large zone takes longer than the rest of a
        # request, so the result is kept until the hosts change.
        ranking = self._rankings.get(key)
        if ranking is not None and (ranking.hosts is hosts or ranking.hosts == hosts):
            return ranking.ranked
        if len(self._rankings) >= _MAX_RANKINGS:
            self._rankings.clear()
        ranked = groups.ranked_hosts(key, hosts, MAX_RANKS)
        # A copy detects that the caller changed its list.
        self._rankings[key] = _Ranking(
            hosts if isinstance(hosts, tuple) else list(hosts), ranked
        )
        return ranked
