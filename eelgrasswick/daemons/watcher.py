"""Watches the platform's store for one VM, and writes to it."""

import ipaddress
import json
import random
import typing

import eliot
from twisted.internet import defer, task

from eelgrasswick import (
    change,
    config,
    errors,
    message,
    store,
)
from eelgrasswick.decisions import backoff
from eelgrasswick.fleet import member

LEASE_TTL_S: typing.Final = 15
WATCH_TIMEOUT_MS: typing.Final = 2000
READ_INTERVAL_MS: typing.Final = 10_000
MAX_PENDING_AUDIT_PUTS: typing.Final = 1000


class Watcher:
    """The task that owns a VM's conversation with the store."""

    def __init__(
        self,
        clock: typing.Any,
        platform: store.Store,
        zone: str,
        feed: typing.Callable[[message.Event], None],
        rng: random.Random,
    ) -> None:
        """Feed what the store says to the engine of a VM in a zone."""
        self._clock = clock
        self._store = platform
        self._zone = zone
        self._feed = feed
        self._rng = rng
        self._watch: defer.Deferred[None] | None = None
        self._turn = 0
        self._lease = 0
        self._unwritten: dict[str, store.Put] = {}
        self._revision = 0

    def execute(self, action: message.StoreAction) -> None:
        """Do what an engine asks for at the store."""
        match action:
            case message.WatchStore():
                self.set_active(action.active)
            case message.ReportInForce():
                self.report(action)
            case message.RepairStore():
                self.repair(action)
            case message.RecordTargetEmpty():
                self.record_empty(action)

    def set_active(self, active: bool) -> None:
        """Take up or lay down the watch."""
        self._turn += 1
        if self._watch is not None:
            self._watch.cancel()
            self._watch = None
        if active:
            self._watch = defer.Deferred.fromCoroutine(self._watch_while(self._turn))
            self._watch.addErrback(_cancelled)

    def report(self, action: message.ReportInForce) -> None:
        """Write which sequence each VM of the zone has in force."""
        self._start(self._report(action))
        if self._unwritten:
            self._start(self._write_trail())

    def repair(self, action: message.RepairStore) -> None:
        """Put a newer accepted document back into the store."""
        self._start(self._repair(action))

    def record_empty(self, action: message.RecordTargetEmpty) -> None:
        """Write to the audit trail that a target is empty."""
        if len(self._unwritten) < MAX_PENDING_AUDIT_PUTS:
            put = change.target_empty_audit_put(action)
            self._unwritten[put.key] = put
        self._start(self._write_trail())

    def _start(self, work: typing.Coroutine[typing.Any, typing.Any, None]) -> None:
        done = defer.Deferred.fromCoroutine(work)
        done.addErrback(self._failed)

    def _failed(self, failure: typing.Any) -> None:
        failure.trap(errors.StoreError)
        self._feed(message.StoreFailed(failure.value.detail))

    async def _watch_while(self, turn: int) -> None:
        # A cancelled HTTP call can end with an error of its own instead of the
        # cancellation. Without the turn the loop would go on, and the VM would
        # hold a second watch, which the platform counts and limits.
        failures = 0
        while turn == self._turn:
            try:
                await self._watch_until_read(turn)
                failures = 0
                continue
            except errors.StoreError as error:
                if turn != self._turn:
                    return
                self._feed(message.StoreFailed(error.detail))
            failures += 1
            wait_ms = backoff.wait_ms(failures, self._rng.random())
            await task.deferLater(self._clock, wait_ms / 1000)

    async def _watch_until_read(self, turn: int) -> None:
        """Read all, then watch until it is time to read again."""
        begun_ms = self._now_ms()
        await self._read_all()
        read_ms = self._now_ms() - begun_ms
        until_ms = self._now_ms() + READ_INTERVAL_MS
        while turn == self._turn and self._now_ms() < until_ms:
            # A slow store also takes long to begin a watch. Given up before it
            # has begun, no watch would ever come about.
            fraction = 0.75 + 0.25 * self._rng.random()
            await self._watch_for(int(WATCH_TIMEOUT_MS * fraction) + 2 * read_ms)

    async def _watch_for(self, wait_ms: int) -> None:
        # A watch can go mute without an end, when a connection is dropped on
        # the way or the store behind it was replaced. An accepted change would
        # not come into force here; so each watch is given up after a while, and
        # the next one begins after the last revision seen.
        watching = defer.Deferred.fromCoroutine(
            self._store.watch(store.RULES_KEY, self._revision, self._on_rows)
        )
        lapse = _Lapse(watching)
        timer = self._clock.callLater(wait_ms / 1000, lapse.end)
        try:
            await watching
        except (errors.StoreError, defer.CancelledError):
            if not lapse.ended:
                raise
        finally:
            if timer.active():
                timer.cancel()
        if not lapse.ended:
            raise errors.StoreError("the platform ended the watch")

    def _now_ms(self) -> int:
        return round(self._clock.seconds() * 1000)

    async def _read_all(self) -> None:
        row = await self._store.read(store.RULES_KEY)
        self._revision = row.revision if row is not None else 0
        self._feed(message.StoreRead(row.value if row is not None else None))
        rows = await self._store.read_prefix(store.VMS_PREFIX)
        members = tuple(item for item in map(_listed, rows) if item is not None)
        self._feed(message.VmsListed(members))

    def _on_rows(self, rows: tuple[store.Row, ...]) -> None:
        for row in rows:
            if row.key == store.RULES_KEY:
                self._revision = max(self._revision, row.revision)
                self._feed(message.StoreRead(row.value))

    async def _report(self, action: message.ReportInForce) -> None:
        if not self._lease or not await self._store.keep_alive(self._lease):
            self._lease = await self._store.grant(LEASE_TTL_S)
        value = json.dumps({item.vm: item.sequence for item in action.sequences})
        key = store.IN_FORCE_PREFIX + self._zone
        await self._store.commit((), (store.Put(key, value.encode(), self._lease),))

    async def _write_trail(self) -> None:
        # An outage keeps the entries here until the next report gets through.
        # Two VMs of a zone write the same key; the second finds it there.
        for put in list(self._unwritten.values()):
            await self._store.commit((store.Compare(put.key, 0),), (put,))
            self._unwritten.pop(put.key, None)

    async def _repair(self, action: message.RepairStore) -> None:
        row = await self._store.read(store.RULES_KEY)
        revision = row.revision if row is not None else 0
        if row is not None and _sequence(row.value) >= action.sequence:
            return
        compare = store.Compare(store.RULES_KEY, revision)
        puts = (
            store.Put(store.RULES_KEY, action.value),
            change.repaired_audit_put(config.decode(action.value)),
        )
        committed = await self._store.commit((compare,), puts)
        eliot.log_message(
            message_type="store_repaired",
            zone=self._zone,
            sequence=action.sequence,
            accepted=committed.accepted,
        )


class _Lapse:
    """Gives a watch up, and remembers that it did."""

    def __init__(self, watching: defer.Deferred[None]) -> None:
        self.ended = False
        self._watching = watching

    def end(self) -> None:
        self.ended = True
        self._watching.cancel()


def _sequence(value: bytes) -> int:
    try:
        return config.decode(value).sequence
    except errors.RulesInvalidError:
        return 0


def _listed(row: store.Row) -> member.Member | None:
    try:
        plain = json.loads(row.value)
        return member.Member(
            row.key.removeprefix(store.VMS_PREFIX),
            str(plain["zone"]),
            str(ipaddress.IPv4Address(plain["ip"])),
            int(plain["peer_port"]),
            int(plain["link_port"]),
            1,
            0,
            member.MemberState.JOINING,
        )
    except (ValueError, KeyError, TypeError) as error:
        eliot.log_message(
            message_type="listed_vm_invalid", key=row.key, detail=str(error)
        )
        return None


def _cancelled(failure: typing.Any) -> None:
    failure.trap(defer.CancelledError)
