"""Random changes of a catalog, and the lists that a full rebuild gives."""

import random
import typing

from eelgrasswick.cookie import catalog, model, source, store_replica
from eelgrasswick.platform import names
from tests import cookie_parts

SERVICES: typing.Final = ("desk", "slots", "mail")
ZONES: typing.Final = ("z1", "z2", "z3")
_NAMES: typing.Final = 60


class Lists(typing.NamedTuple):
    """Lists of targets by service, and the target of each cookie."""

    accepting: dict[str, list[model.Target]]
    withheld: dict[str, list[model.Target]]
    owners: dict[int, model.Target]


def rebuilt(target_catalog: catalog.Catalog) -> Lists:
    """Return the lists, built from all entries and lapsed entries of a catalog."""
    lists = Lists({}, {}, {})
    lapsed = [item.target for item in target_catalog._lapsed.values()]
    present = [*target_catalog.targets, *lapsed]
    for target in sorted(present, key=lambda item: (item.born_ms, item.name)):
        if target.cookie in lists.owners:
            continue
        lists.owners[target.cookie] = target
        if target.draining or target_catalog.has_ended(target.cookie):
            continue
        evacuated = target_catalog.evacuations.covers(target)
        by_service = lists.withheld if evacuated else lists.accepting
        by_service.setdefault(target.service, []).append(target)
    return lists


class RandomChanges:
    """Applies random changes to a catalog.

    Attributes:
        now_ms: Present time, which advances with each change.
        catalog: The catalog.
    """

    def __init__(self, rng: random.Random, target_catalog: catalog.Catalog) -> None:
        """Create the changes of an empty catalog, and set a configuration."""
        self.now_ms = 0
        self.catalog = target_catalog
        self._rng = rng
        self._confirmed_ms = 0
        self._revision = 1
        self._merge(self._config())

    def change(self) -> None:
        """Apply one merge of one to ten rows, or let time pass."""
        self.now_ms += self._rng.randrange(400)
        if self._rng.random() < 0.3:
            self.pass_time()
            return
        count = self._rng.choice((0, 1, 1, 1, 1, 1, 10))
        rows = [self._row() for _ in range(count)]
        self._merge(*{row.key: row for row in rows}.values())

    def pass_time(self) -> None:
        """Let time pass, in which the store may be away."""
        self.now_ms += self._rng.choice((250, 250, 250, 1000, 1000, 61_000))
        if self._rng.random() < 0.7:
            self._confirmed_ms = self.now_ms
        self.catalog.tick(self.now_ms, self._confirmed_ms)

    def _merge(self, *rows: source.Row) -> None:
        age_ms = self._rng.choice((0, 0, 1500, catalog.OUTAGE_AGE_MS + 1))
        self.catalog.update(self.now_ms, store_replica.Merge(rows, age_ms))

    def _row(self) -> source.Row:
        self._revision += 1
        kind = self._rng.random()
        if kind < 0.02:
            return self._config()
        if kind < 0.08:
            zone = self._rng.choice(ZONES)
            value = self._rng.choice((None, b"{}"))
            return source.Row(names.EVACUATION_PREFIX + zone, value, self._revision)
        name = f"i-{self._rng.randrange(_NAMES):02x}"
        if kind < 0.3:
            return cookie_parts.gone_row(name, self._revision)
        if kind < 0.33:
            return source.Row(f"servers/{name}", b"[]", self._revision)
        # Few addresses and start times, so that servers take over addresses.
        return cookie_parts.target_row(
            name,
            self._revision,
            service=self._rng.choice(SERVICES),
            zone=self._rng.choice(ZONES),
            state=self._rng.choice(("ready", "ready", "ready", "draining")),
            born=self._rng.choice((1000, 1000, 1000, 2000, 3000)),
            address=f"10.128.0.{self._rng.randrange(1, 80)}:8080",
            concurrency=self._rng.randrange(1, 4),
        )

    def _config(self) -> source.Row:
        services = self._rng.sample(SERVICES, self._rng.choice((2, 3)))
        routes = [("198.18.0.1", 443 + n, name) for n, name in enumerate(services)]
        return cookie_parts.config_row(self._revision, self._revision, routes)
