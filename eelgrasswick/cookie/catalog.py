"""What is in force: routes, evacuations and targets, by the keys for steering."""

import collections
import typing

from eelgrasswick import errors
from eelgrasswick.cookie import (
    cold_targets,
    evacuation,
    knowledge,
    model,
    owners,
    source,
)

# How long an entry that is gone after an outage of the store may still be
# used. Entries lapse while targets can't renew them and are back within two
# seconds; dropped at once, a whole service would be refused meanwhile.
LAPSED_ENTRY_GRACE_MS: typing.Final = 2000
# Age of knowledge from which a deletion may be due to an outage. Without one a
# VM's knowledge is at most two seconds old.
OUTAGE_AGE_MS: typing.Final = 2500
# From this age on, entries that go together are due to an outage too: half of a
# service's or more. Entries last for three heartbeats, and two that are missed in a
# row make a lapse; targets that crash are seldom noticed in one answer of the store.
SHORT_OUTAGE_AGE_MS: typing.Final = 1200
MASS_LAPSE_SHARE: typing.Final = 0.5
# Confirmations that are further apart than this have an outage between them. A
# watch is answered each second, and its answer takes up to 0.8 s to reach all VMs.
MAX_CONFIRMATION_GAP_MS: typing.Final = 1800
# A flow may live for 60 s. So long a target that is gone is remembered, as its
# entry may lapse while it goes on serving.
FORMER_TARGET_RETENTION_MS: typing.Final = 60_000
# Dropped routes that are remembered; the design size has 8,100 addresses and
# 13,000 changes a day, and flows of a dropped route live for a minute.
MAX_DROPPED_ROUTES: typing.Final = 1000


class LogEvent(typing.NamedTuple):
    """Something a VM now believes, for the log."""

    event: str
    fields: dict[str, str | int]


class _Lapsed(typing.NamedTuple):
    target: model.Target
    left_ms: int


class Catalog:
    """Configuration and targets, kept up from the rows that change.

    Attributes:
        config: What operators have put in force; None before the first.
        evacuations: Zones whose targets take no new flows.
        ages: When targets started.
        on_ended: Told of each target that is over for certain.
    """

    def __init__(self, reader: source.Reader) -> None:
        """Read rows with the adapter's reader."""
        self._reader = reader
        self.config: model.Config | None = None
        self.evacuations = evacuation.Evacuations()
        self.ages = cold_targets.Ages()
        self.on_ended: typing.Callable[[model.Target], None] = _ignore
        self._by_name: dict[str, model.Target] = {}
        self._by_cookie: dict[int, model.Target] = {}
        self._by_service: dict[str, list[model.Target]] = {}
        # Those that would accept flows, were their zone not evacuated.
        self._withheld: dict[str, list[model.Target]] = {}
        self._gone_ms: collections.OrderedDict[int, int] = collections.OrderedDict()
        self._lapsed: dict[str, _Lapsed] = {}
        self._services: frozenset[str] = frozenset()
        self._owners = owners.Owners()
        self._confirmed_ms = knowledge.NEVER_MS
        self._unsettled_ms = 0
        # A dict for its order: the oldest is forgotten first.
        self._dropped: dict[tuple[bytes, int], None] = {}
        self._seen_ms: dict[int, int] = {}

    @property
    def ready(self) -> bool:
        """True when there are routes and targets to steer by."""
        return self.config is not None and bool(self._by_name)

    @property
    def settled(self) -> bool:
        """False while servers may not be back in the store after an outage."""
        return self._unsettled_ms <= 0

    @property
    def targets(self) -> typing.Collection[model.Target]:
        """All targets in the store."""
        return self._by_name.values()

    @property
    def forwardable_cookies(self) -> typing.Collection[int]:
        """Cookies of all targets that packets are still sent to."""
        return self._by_cookie.keys()

    def missing(self, target: model.Target, now_ms: int) -> bool:
        """Tell whether an entry has been gone for longer than an outage explains."""
        at_ms = self._gone_ms.get(target.cookie)
        return at_ms is not None and now_ms - at_ms >= LAPSED_ENTRY_GRACE_MS

    def route(self, segment: model.Segment) -> model.Route | None:
        """Return the route a segment is for, if there is one."""
        if self.config is None:
            return None
        flow = segment.flow
        return self.config.routes.get((flow.service_ip, flow.service_port))

    def route_dropped(self, segment: model.Segment) -> bool:
        """Tell whether the route of a segment was dropped while this VM looked."""
        return (segment.flow.service_ip, segment.flow.service_port) in self._dropped

    def by_cookie(self, cookie: int) -> model.Target | None:
        """Return the target that a cookie names, also one that left lately."""
        return self._by_cookie.get(cookie)

    def ended(self, cookie: int) -> bool:
        """Tell whether the target that a cookie names is over for certain."""
        return self._owners.ended(cookie)

    def accepting(self, service: str) -> list[model.Target]:
        """Return the targets of a service that may get new flows."""
        return self._by_service.get(service, [])

    def withheld(self, service: str) -> list[model.Target]:
        """Return the targets that get no new flows for an evacuation alone."""
        return self._withheld.get(service, [])

    def cold_ms(self, target: model.Target, now_ms: int) -> int:
        """Return how much longer a target is expected to be slow."""
        left_ms = 0
        if target.cold_ms:
            seen_ms = self._seen_ms.get(target.cookie, now_ms)
            left_ms = target.cold_ms - (now_ms - seen_ms)
        service = self.service(target.service)
        if service is not None and service.cold_ms:
            age_ms = self.ages.age_ms(now_ms, target.cookie)
            if age_ms is not None:
                left_ms = max(left_ms, service.cold_ms - age_ms)
        return max(0, left_ms)

    def service(self, name: str) -> model.Service | None:
        """Return what operators say of a service, if it is in force."""
        return self.config.services.get(name) if self.config is not None else None

    def update(self, now_ms: int, merge: knowledge.Merge) -> list[LogEvent]:
        """Follow rows that changed.

        Returns:
            What this VM believes from now on, one note for each change.
        """
        outage = merge.previous_age_ms > OUTAGE_AGE_MS or self._lapsed_together(merge)
        if outage:
            self._unsettled_ms = LAPSED_ENTRY_GRACE_MS
        # Entries that come back after an outage are mostly those of old targets.
        watched = bool(self._by_name) and self.settled
        notes = []
        over: list[model.Target] = []
        # The configuration first: it says whose entries count.
        for row in sorted(merge.rows, key=lambda row: self._reader.is_target(row.key)):
            if self._reader.is_config(row.key):
                notes.append(self._take_config(row))
            elif self._reader.is_evacuation(row.key):
                notes.append(self._take_evacuation(now_ms, row))
            elif self._reader.is_target(row.key):
                notes.append(self._take_target(now_ms, row, outage))
                self._note_age(now_ms, row, watched)
                over += self._ended_by(row)
        self._rebuild()
        for target in over:
            self.on_ended(target)
        return notes

    def tick(self, now_ms: int, confirmed_ms: int) -> None:
        """Forget targets that are gone for long enough.

        Args:
            now_ms: Present time.
            confirmed_ms: Up to when the store is known to have been there. While
                it is away again, servers can't bring their entries back, and
                that time does not count.
        """
        elapsed_ms = confirmed_ms - self._confirmed_ms
        self._confirmed_ms = confirmed_ms
        if elapsed_ms > MAX_CONFIRMATION_GAP_MS:
            elapsed_ms = 0
        self._unsettled_ms = max(0, self._unsettled_ms - elapsed_ms)
        lapsed = []
        for name, item in self._lapsed.items():
            self._lapsed[name] = item._replace(left_ms=item.left_ms - elapsed_ms)
            if self._lapsed[name].left_ms <= 0:
                lapsed.append(name)
        for name in lapsed:
            del self._lapsed[name]
        while self._gone_ms:
            cookie, at_ms = next(iter(self._gone_ms.items()))
            if now_ms - at_ms < FORMER_TARGET_RETENTION_MS:
                break
            del self._gone_ms[cookie]
            target = self._by_cookie.pop(cookie, None)
            self._seen_ms.pop(cookie, None)
            self.ages.forget(cookie)
            if target is not None:
                self._owners.forget(target)
        if lapsed:
            self._rebuild()

    def _take_config(self, row: source.Row) -> LogEvent:
        if row.value is None:
            return LogEvent("config_deleted", {"revision": row.revision})
        try:
            config = self._reader.config(row)
        except errors.EntryInvalidError as error:
            # The last good configuration stays; without one nothing is served.
            return _refused(row, error)
        self._note_dropped(config)
        self.config = config
        routes = config.routes.values()
        self._services = frozenset(s.service for item in routes for s in item.shares)
        return LogEvent(
            "config_in_force",
            {
                "version": config.version,
                "revision": row.revision,
                "routes": len(config.routes),
            },
        )

    def _note_age(self, now_ms: int, row: source.Row, watched: bool) -> None:
        target = self._by_name.get(row.key)
        if target is not None:
            self.ages.record_entry(now_ms, target, watched)

    def _take_evacuation(self, now_ms: int, row: source.Row) -> LogEvent:
        if row.value is None:
            over = self.evacuations.end(row.key)
            zone = over.zone if over is not None else "-"
            # They may have been started anew meanwhile, and their entries are late.
            for target in self.targets:
                if target.zone == zone:
                    self.ages.record_start(now_ms, target.cookie)
            return LogEvent("evacuation_over", {"zone": zone, "revision": row.revision})
        try:
            item = self._reader.evacuation(row)
        except errors.EntryInvalidError as error:
            return _refused(row, error)
        self.evacuations.begin(row.key, item)
        fields: dict[str, str | int] = {
            "zone": item.zone,
            "revision": row.revision,
            "targets": sum(target.zone == item.zone for target in self.targets),
        }
        if item.malformed:
            fields["malformed"] = item.malformed
        return LogEvent("evacuation_in_force", fields)

    def _note_dropped(self, config: model.Config) -> None:
        if self.config is None:
            return
        for key in self.config.routes.keys() - config.routes.keys():
            self._dropped[key] = None
        for key in [key for key in self._dropped if key in config.routes]:
            del self._dropped[key]
        while len(self._dropped) > MAX_DROPPED_ROUTES:
            del self._dropped[next(iter(self._dropped))]

    def _take_target(self, now_ms: int, row: source.Row, outage: bool) -> LogEvent:
        if row.value is None:
            return self._remove(now_ms, row, outage)
        try:
            target = self._reader.target(row)
        except errors.EntryInvalidError as error:
            self._remove(now_ms, row, False)
            return _refused(row, error)
        before = self._by_name.get(row.key)
        if before is not None and before.cookie != target.cookie:
            self._gone_ms[before.cookie] = now_ms
        self._lapsed.pop(row.key, None)
        self._by_name[row.key] = target
        self._seen_ms[target.cookie] = now_ms
        self._gone_ms.pop(target.cookie, None)
        return LogEvent(
            "target_known",
            {
                "target": target.name,
                "cookie": target.cookie,
                "service": target.service,
                "zone": target.zone,
                "draining": int(target.draining),
                "revision": row.revision,
            },
        )

    def _ended_by(self, row: source.Row) -> list[model.Target]:
        target = self._by_name.get(row.key)
        # A server of a service that no route names is nobody's successor; an
        # entry like that may be anyone's.
        if row.value is None or target is None or target.service not in self._services:
            return []
        return self._owners.record_entry(target, row.revision)

    def _lapsed_together(self, merge: knowledge.Merge) -> bool:
        if merge.previous_age_ms <= SHORT_OUTAGE_AGE_MS:
            return False
        rows = [row for row in merge.rows if row.value is None]
        gone = [self._by_name[row.key] for row in rows if row.key in self._by_name]
        counts = collections.Counter(item.service for item in gone if not item.draining)
        return any(
            count >= 2 and count >= MASS_LAPSE_SHARE * self._serving(service)
            for service, count in counts.items()
        )

    def _serving(self, service: str) -> int:
        return len(self.accepting(service)) + len(self.withheld(service))

    def _remove(self, now_ms: int, row: source.Row, outage: bool) -> LogEvent:
        target = self._by_name.pop(row.key, None)
        fields: dict[str, str | int] = {"key": row.key, "revision": row.revision}
        if target is not None:
            self._gone_ms[target.cookie] = now_ms
            if outage and not target.draining:
                self._lapsed[row.key] = _Lapsed(target, LAPSED_ENTRY_GRACE_MS)
                fields["usable_ms"] = LAPSED_ENTRY_GRACE_MS
        return LogEvent("target_gone", fields)

    def _rebuild(self) -> None:
        # Two targets with one cookie would get each other's packets. The elder
        # keeps the cookie; the other gets no flow, which only costs its slots.
        self._by_service = {}
        self._withheld = {}
        lapsed = [item.target for item in self._lapsed.values()]
        present = [*self._by_name.values(), *lapsed]
        owners: dict[int, model.Target] = {}
        for target in sorted(present, key=lambda item: (item.born_ms, item.name)):
            if target.cookie in owners:
                continue
            owners[target.cookie] = target
            if target.draining or self.ended(target.cookie):
                continue
            evacuated = self.evacuations.covers(target)
            book = self._withheld if evacuated else self._by_service
            book.setdefault(target.service, []).append(target)
        self._by_cookie.update(owners)


def _ignore(_: model.Target) -> None:
    """Do nothing about a target that is over."""


def _refused(row: source.Row, error: errors.EelgrasswickError) -> LogEvent:
    return LogEvent(
        "entry_refused",
        {
            "key": row.key,
            "revision": row.revision,
            "kind": error.kind.value,
            "detail": error.detail,
        },
    )
