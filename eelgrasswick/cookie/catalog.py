"""The catalog: routes, evacuations and targets in force, indexed for steering."""

import collections
import typing

from eelgrasswick import errors
from eelgrasswick.cookie import (
    cold_targets,
    dropped_routes,
    entry_table,
    evacuation,
    model,
    owners,
    source,
    store_replica,
    target_lists,
)

# An entry that is missing after an outage of the store stays usable for this long.
# Entries lapse while targets can't renew them, and targets restore them within two
# seconds. If the VM dropped the lapsed entries at once, it would refuse a whole service
# until then.
LAPSED_ENTRY_GRACE_MS: typing.Final = 2000
# When a VM's rows were older than this, a deletion may be due to an outage of the
# store. Without an outage the rows are at most two seconds old.
OUTAGE_AGE_MS: typing.Final = 2500
# When a VM's rows were older than this, deletions of MASS_LAPSE_SHARE or more of a
# service's entries in one merge are attributed to an outage too. An entry lasts for
# three heartbeats and lapses when two in a row are missed, whereas several crashed
# targets rarely disappear in a single answer of the store.
SHORT_OUTAGE_AGE_MS: typing.Final = 1200
MASS_LAPSE_SHARE: typing.Final = 0.5
# Confirmations that are further apart than this indicate an outage between them. A
# watch is answered each second, and the answer takes up to 0.8 s to reach all VMs.
MAX_CONFIRMATION_GAP_MS: typing.Final = 1800
# The VM keeps forwarding to a target for this long after its entry disappeared. A
# flow may live for 60 s, and an entry may lapse while its target continues to serve.
FORMER_TARGET_RETENTION_MS: typing.Final = 60_000


class LogEvent(typing.NamedTuple):
    """A change of the catalog, as an event and its fields for the log."""

    event: str
    fields: dict[str, str | int]


class RowSource(typing.NamedTuple):
    """Where a row came from.

    Attributes:
        revision: Revision of the row.
        origin: The VM that sent the row, or the store.
        received_ms: Time when this VM received the row.
    """

    revision: int
    origin: str
    received_ms: int

    def fields(self, now_ms: int) -> dict[str, str | int]:
        """Return the source and the age of the row as fields for the log."""
        return {
            "row_revision": self.revision,
            "row_origin": self.origin,
            "row_age_ms": now_ms - self.received_ms,
        }


class _Lapsed(typing.NamedTuple):
    target: model.Target
    left_ms: int


class Catalog:
    """Configuration, evacuations and targets, updated from changed rows.

    Attributes:
        config: The configuration in force; None before the first one.
        evacuations: Zones whose targets take no new flows.
        ages: Records when targets started.
        entries: The targets with an entry in the store.
        on_ended: Called with each target that has certainly ended because another
            one took over its address, and with the row that shows it.
    """

    def __init__(self, reader: source.Reader) -> None:
        """Create an empty catalog that decodes rows with the platform's reader."""
        self._reader = reader
        self.config: model.Config | None = None
        self.evacuations = evacuation.Evacuations()
        self.ages = cold_targets.Ages()
        self.entries = entry_table.EntryTable()
        self.on_ended: typing.Callable[[model.Target, source.Row], None] = _ignore
        self._by_cookie: dict[int, model.Target] = {}
        # The lists also have the targets in `_lapsed`.
        self._lists = target_lists.TargetLists(
            lambda item: item.draining or self.has_ended(item.cookie),
            self.evacuations.covers,
        )
        # These are the evacuated zones that the lists take into account.
        self._listed_zones: frozenset[str] = frozenset()
        self._gone_ms: collections.OrderedDict[int, int] = collections.OrderedDict()
        # This table has the time for which each missing entry may still be restored.
        self._missing_left_ms: dict[int, int] = {}
        self._lapsed: dict[str, _Lapsed] = {}
        self._services: frozenset[str] = frozenset()
        self._owners = owners.Owners()
        self._confirmed_ms = store_replica.NEVER_MS
        self._completion_left_ms = 0
        self._dropped_routes = dropped_routes.DroppedRoutes()
        self._received_ms: dict[int, int] = {}
        self._config_source: RowSource | None = None
        # This table has the source of the latest row of each target, which may be the
        # deletion of its entry.
        self._row_sources: dict[int, RowSource] = {}

    @property
    def ready(self) -> bool:
        """True when a configuration is in force and a target is present."""
        return self.config is not None and bool(self.entries.targets)

    @property
    def entries_complete(self) -> bool:
        """False while entries may still be missing after an outage of the store."""
        return self._completion_left_ms <= 0

    @property
    def targets(self) -> typing.Collection[model.Target]:
        """All targets with an entry in the store."""
        return self.entries.targets

    @property
    def has_lapsed(self) -> bool:
        """True while targets whose entries lapsed in an outage are still used."""
        return bool(self._lapsed)

    @property
    def forwardable_cookies(self) -> typing.Collection[int]:
        """Cookies of all targets to which packets are still forwarded."""
        return self._by_cookie.keys()

    def missing(self, target: model.Target) -> bool:
        """Return True if an entry is missing for longer than an outage explains.

        Only time for which the store is confirmed as available counts, because a live
        target can't restore its entry while the store is away, and this VM would not
        receive the entry.
        """
        return self._missing_left_ms.get(target.cookie, LAPSED_ENTRY_GRACE_MS) <= 0

    def route(self, segment: model.Segment) -> model.Route | None:
        """Return the route for a segment's service address, or None."""
        if self.config is None:
            return None
        flow = segment.flow
        return self.config.routes.get((flow.service_ip, flow.service_port))

    def route_dropped(self, segment: model.Segment) -> bool:
        """Return True if this VM has recorded the removal of a segment's route."""
        flow = segment.flow
        return (flow.service_ip, flow.service_port) in self._dropped_routes

    def by_cookie(self, cookie: int) -> model.Target | None:
        """Return the target of a cookie, including one whose entry is recently gone."""
        return self._by_cookie.get(cookie)

    def has_ended(self, cookie: int) -> bool:
        """Return True if the target of a cookie has certainly ended."""
        return self._owners.has_ended(cookie)

    def accepting(self, service: str) -> list[model.Target]:
        """Return the targets of a service that may get new flows.

        The list must not be modified. It changes with the catalog.
        """
        return self._lists.accepting(service)

    def accepting_split(self, service: str, zone: str) -> target_lists.Split:
        """Return the targets that may get new flows in a zone and in all others.

        The lists must not be modified. They change with the catalog.
        """
        return self._lists.accepting_split(service, zone)

    def accepting_target(self, cookie: int) -> model.Target | None:
        """Return the target of a cookie if it may get new flows."""
        return self._lists.accepting_target(cookie)

    def withheld(self, service: str) -> list[model.Target]:
        """Return a service's targets that only an evacuation excludes.

        The list must not be modified. It changes with the catalog.
        """
        return self._lists.withheld(service)

    def withholds_in(self, service: str, zone: str) -> bool:
        """Return True if only an evacuation excludes targets of a service and zone."""
        return bool(self._lists.withheld_split(service, zone).own)

    def cold_ms(self, target: model.Target, now_ms: int) -> int:
        """Return for how many more ms a target is expected to be cold and slow."""
        left_ms = 0
        if target.cold_ms:
            received_ms = self._received_ms.get(target.cookie, now_ms)
            left_ms = target.cold_ms - (now_ms - received_ms)
        service = self.service(target.service)
        if service is not None and service.cold_ms:
            age_ms = self.ages.age_ms(now_ms, target.cookie)
            if age_ms is not None:
                left_ms = max(left_ms, service.cold_ms - age_ms)
        return max(0, left_ms)

    def service(self, name: str) -> model.Service | None:
        """Return the configuration of a service, or None."""
        return self.config.services.get(name) if self.config is not None else None

    def target_fields(self, now_ms: int, target: model.Target) -> dict[str, str | int]:
        """Return the incarnation of a target and its latest row as log fields."""
        fields: dict[str, str | int] = {
            "cookie": target.cookie,
            "born_ms": target.born_ms,
        }
        row_source = self._row_sources.get(target.cookie)
        return fields | row_source.fields(now_ms) if row_source is not None else fields

    def config_fields(self, now_ms: int) -> dict[str, str | int]:
        """Return the version of the configuration and its row as log fields."""
        if self.config is None or self._config_source is None:
            return {}
        fields: dict[str, str | int] = {"version": self.config.version}
        return fields | self._config_source.fields(now_ms)

    def update(
        self, now_ms: int, merge: store_replica.Merge, origin: str = "-"
    ) -> list[LogEvent]:
        """Apply the rows that a merge changed.

        Args:
            now_ms: Present time.
            merge: The rows.
            origin: The VM that sent them, or the store.

        Returns:
            The resulting log events, one for each relevant row.
        """
        outage = merge.previous_age_ms > OUTAGE_AGE_MS or self._lapsed_together(merge)
        if outage:
            self._completion_left_ms = LAPSED_ENTRY_GRACE_MS
        # Entries that return after an outage mostly belong to targets that started
        # earlier, so their arrival does not show when the target started.
        watched = bool(self.targets) and self.entries_complete
        events = []
        ended: list[tuple[model.Target, source.Row]] = []
        # The configuration is applied first, because it determines the services
        # whose entries can end other targets.
        for row in sorted(merge.rows, key=lambda row: self._reader.is_target(row.key)):
            row_source = RowSource(row.revision, origin, now_ms)
            try:
                if self._reader.is_config(row.key):
                    events.append(self._update_config(row, row_source))
                elif self._reader.is_evacuation(row.key):
                    events.append(self._update_evacuation(now_ms, row))
                elif self._reader.is_target(row.key):
                    events.append(self._update_target(now_ms, row, outage, row_source))
                    self._update_age(now_ms, row, watched)
                    ended += [(target, row) for target in self._former_targets(row)]
            except Exception as error:  # noqa: BLE001
                # The other rows must take effect. They would not be merged again,
                # because this VM's copy of the store already has them.
                events.append(_failed(row, error))
        for target, _ in ended:
            self._lists.mark(target.cookie)
        self._update_lists()
        for target, row in ended:
            self.on_ended(target, row)
        return events

    def tick(self, now_ms: int, confirmed_ms: int) -> None:
        """Remove targets whose entries have been missing for long enough.

        Args:
            now_ms: Present time.
            confirmed_ms: Time up to which the store is confirmed as available.
                While the store is away again, targets can't restore their entries,
                so that time does not count.
        """
        elapsed_ms = confirmed_ms - self._confirmed_ms
        self._confirmed_ms = confirmed_ms
        if elapsed_ms > MAX_CONFIRMATION_GAP_MS:
            elapsed_ms = 0
        self._completion_left_ms = max(0, self._completion_left_ms - elapsed_ms)
        self._count_missing(elapsed_ms)
        lapsed = []
        for name, item in self._lapsed.items():
            self._lapsed[name] = item._replace(left_ms=item.left_ms - elapsed_ms)
            if self._lapsed[name].left_ms <= 0:
                lapsed.append(name)
        for name in lapsed:
            del self._lapsed[name]
            self._lists.remove_entry(name)
        while self._gone_ms:
            cookie, at_ms = next(iter(self._gone_ms.items()))
            if now_ms - at_ms < FORMER_TARGET_RETENTION_MS:
                break
            del self._gone_ms[cookie]
            self._missing_left_ms.pop(cookie, None)
            target = self._by_cookie.pop(cookie, None)
            self._received_ms.pop(cookie, None)
            self._row_sources.pop(cookie, None)
            self.ages.remove(cookie)
            if target is not None:
                self._owners.remove(target)
            # The target may still be listed, because its entry lapsed in an outage.
            self._lists.mark(cookie)
            self.entries.record_removal()
        if lapsed:
            self.entries.record_removal()
            self._update_lists()

    def _count_missing(self, elapsed_ms: int) -> None:
        for cookie, left_ms in self._missing_left_ms.items():
            since_ms = max(0, self._confirmed_ms - self._gone_ms[cookie])
            self._missing_left_ms[cookie] = left_ms - min(elapsed_ms, since_ms)

    def _record_missing(self, now_ms: int, cookie: int) -> None:
        self._gone_ms[cookie] = now_ms
        self._missing_left_ms[cookie] = LAPSED_ENTRY_GRACE_MS

    def _update_config(self, row: source.Row, row_source: RowSource) -> LogEvent:
        if row.value is None:
            return LogEvent("config_deleted", {"revision": row.revision})
        try:
            config = self._reader.config(row)
        except errors.EntryInvalidError as error:
            # The last valid configuration stays in force, because without one the
            # VM serves nothing.
            return _refused(row, error)
        if self.config is not None:
            self._dropped_routes.record(self.config, config)
        self.config = config
        self._config_source = row_source
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

    def _update_age(self, now_ms: int, row: source.Row, watched: bool) -> None:
        target = self.entries.get(row.key)
        if target is not None:
            self.ages.record_entry(now_ms, target, watched)

    def _update_evacuation(self, now_ms: int, row: source.Row) -> LogEvent:
        if row.value is None:
            former = self.evacuations.end(row.key)
            zone = former.zone if former is not None else "-"
            # Targets may have restarted during the evacuation, and this VM may not have
            # received their new entries yet.
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

    def _update_target(
        self, now_ms: int, row: source.Row, outage: bool, row_source: RowSource
    ) -> LogEvent:
        if row.value is None:
            return self._remove(now_ms, row, outage, row_source)
        try:
            target = self._reader.target(row)
        except errors.EntryInvalidError as error:
            former = self.entries.get(row.key)
            self._remove(now_ms, row, False, row_source)
            if former is not None:
                # The row has another writer, and the server may be alive.
                self._missing_left_ms.pop(former.cookie, None)
            return _refused(row, error)
        cookie = target.cookie
        before = self.entries.get(row.key)
        if before is not None and before.cookie != cookie:
            self._record_missing(now_ms, before.cookie)
        if self._lapsed.pop(row.key, None) is not None:
            self.entries.record_removal()
        self.entries.put(row.key, target)
        self._lists.set_entry(row.key, target)
        self._received_ms[cookie] = now_ms
        self._row_sources[cookie] = row_source
        self._gone_ms.pop(cookie, None)
        self._missing_left_ms.pop(cookie, None)
        return LogEvent(
            "target_known",
            {
                "target": target.name,
                "cookie": cookie,
                "service": target.service,
                "zone": target.zone,
                "draining": int(target.draining),
                "revision": row.revision,
            },
        )

    def _former_targets(self, row: source.Row) -> list[model.Target]:
        target = self.entries.get(row.key)
        # A target whose service has no route does not replace another target,
        # because any writer could have created such an entry.
        if row.value is None or target is None or target.service not in self._services:
            return []
        return self._owners.record_entry(target, row.revision)

    def _lapsed_together(self, merge: store_replica.Merge) -> bool:
        if merge.previous_age_ms <= SHORT_OUTAGE_AGE_MS:
            return False
        rows = [row for row in merge.rows if row.value is None]
        gone = [self.entries.get(row.key) for row in rows]
        counts = collections.Counter(
            item.service for item in gone if item is not None and not item.draining
        )
        return any(
            count >= 2 and count >= MASS_LAPSE_SHARE * self._serving(service)
            for service, count in counts.items()
        )

    def _serving(self, service: str) -> int:
        return len(self.accepting(service)) + len(self.withheld(service))

    def _remove(
        self, now_ms: int, row: source.Row, outage: bool, row_source: RowSource
    ) -> LogEvent:
        target = self.entries.pop(row.key)
        fields: dict[str, str | int] = {"key": row.key, "revision": row.revision}
        if target is not None:
            self._record_missing(now_ms, target.cookie)
            self._row_sources[target.cookie] = row_source
            if outage and not target.draining:
                self._lapsed[row.key] = _Lapsed(target, LAPSED_ENTRY_GRACE_MS)
                fields["usable_ms"] = LAPSED_ENTRY_GRACE_MS
            else:
                self._lists.remove_entry(row.key)
        return LogEvent("target_gone", fields)

    def _update_lists(self) -> None:
        zones = self.evacuations.zones
        if zones != self._listed_zones:
            self._lists.mark_zones(zones ^ self._listed_zones)
            self._listed_zones = zones
        owners = self._lists.apply()
        self.entries.record_cookies(owners.keys())
        present = {c: target for c, target in owners.items() if target is not None}
        self._by_cookie.update(present)


def _ignore(_target: model.Target, _row: source.Row) -> None:
    """Do nothing when a target has ended."""


def _failed(row: source.Row, error: Exception) -> LogEvent:
    return LogEvent(
        "row_failed",
        {
            "key": row.key,
            "revision": row.revision,
            "detail": f"{type(error).__name__}: {error}",
        },
    )


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
