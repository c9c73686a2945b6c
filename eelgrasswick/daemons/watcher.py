"""Reads, watches and writes the platform's store for one VM."""

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

# A report is written every 5 s, so the lease survives two lost reports.
LEASE_TTL_S: typing.Final = 15
WATCH_TIMEOUT_MS: typing.Final = 2000
READ_INTERVAL_MS: typing.Final = 10_000
MAX_PENDING_AUDIT_PUTS: typing.Final = 1000


class Watcher:
    """One VM's reads, watches and writes of the platform's store.

    A failed call is passed to the engine as ``message.StoreFailed``.
    """

    def __init__(
        self,
        clock: typing.Any,
        platform: store.Store,
        zone: str,
        feed: typing.Callable[[message.Event], None],
        rng: random.Random,
    ) -> None:
        """Create an inactive watcher for a VM.

        Args:
            clock: Twisted's reactor, or a clock in virtual time.
            platform: Client of the platform's store.
            zone: Availability zone of the VM.
            feed: Called with each event for the VM's engine.
            rng: Random source for backoff and jitter.
        """
        self._clock = clock
        self._store = platform
        self._zone = zone
        self._feed = feed
        self._rng = rng
        self._watch: defer.Deferred[None] | None = None
        self._generation = 0
        self._lease = 0
        self._pending_audit_puts: dict[str, store.Put] = {}
        self._revision = 0

    def execute(self, action: message.StoreAction) -> None:
        """Execute a store action of the engine."""
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
        """Start or stop watching the rules and reading the listing of VMs."""
        self._generation += 1
        if self._watch is not None:
            self._watch.cancel()
            self._watch = None
        if active:
            self._watch = defer.Deferred.fromCoroutine(
                self._watch_loop(self._generation)
            )
            self._watch.addErrback(_ignore_cancellation)

    def report(self, action: message.ReportInForce) -> None:
        """Write which sequence each VM of the zone has in force, under a lease."""
        self._run(self._report(action))
        if self._pending_audit_puts:
            self._run(self._write_audit_entries())

    def repair(self, action: message.RepairStore) -> None:
        """Write an accepted document back to a store that has an older one."""
        self._run(self._repair(action))

    def record_empty(self, action: message.RecordTargetEmpty) -> None:
        """Write to the audit trail that a target has no open flows any more."""
        if len(self._pending_audit_puts) < MAX_PENDING_AUDIT_PUTS:
            put = change.target_empty_audit_put(action)
            self._pending_audit_puts[put.key] = put
        self._run(self._write_audit_entries())

    def _run(self, work: typing.Coroutine[typing.Any, typing.Any, None]) -> None:
        running = defer.Deferred.fromCoroutine(work)
        running.addErrback(self._on_failure)

    def _on_failure(self, failure: typing.Any) -> None:
        failure.trap(errors.StoreError)
        self._feed(message.StoreFailed(failure.value.detail))

    async def _watch_loop(self, generation: int) -> None:
        # A cancelled HTTP call can end with another error than the cancellation.
        # The loop therefore also ends when its generation is outdated. Otherwise
        # the VM would hold a second watch, which the platform counts and limits.
        failures = 0
        while generation == self._generation:
            try:
                await self._read_then_watch(generation)
                failures = 0
                continue
            except errors.StoreError as error:
                if generation != self._generation:
                    return
                self._feed(message.StoreFailed(error.detail))
            failures += 1
            wait_ms = backoff.wait_ms(failures, self._rng.random())
            await task.deferLater(self._clock, wait_ms / 1000)

    async def _read_then_watch(self, generation: int) -> None:
        """Read the rules and the listing, then watch until the next read is due."""
        started_ms = self._now_ms()
        await self._read_all()
        read_duration_ms = self._now_ms() - started_ms
        next_read_ms = self._now_ms() + READ_INTERVAL_MS
        while generation == self._generation and self._now_ms() < next_read_ms:
            # The time-out of the watch grows with the time that the reads took. A
            # slow store also takes long to start a watch, and with a fixed time-out
            # every watch would be cancelled before it has started.
            fraction = 0.75 + 0.25 * self._rng.random()
            await self._watch_once(
                int(WATCH_TIMEOUT_MS * fraction) + 2 * read_duration_ms
            )

    async def _watch_once(self, timeout_ms: int) -> None:
        # A watch can stop reporting without an error, when a middlebox drops the
        # connection or the store is replaced. An accepted change would not come
        # into force on this VM. Each watch is therefore cancelled after a time-out,
        # and the next one starts after the last revision received.
        watching = defer.Deferred.fromCoroutine(
            self._store.watch(store.RULES_KEY, self._revision, self._on_rows)
        )
        timeout = _WatchTimeout(watching)
        timer = self._clock.callLater(timeout_ms / 1000, timeout.expire)
        try:
            await watching
        except (errors.StoreError, defer.CancelledError):
            if not timeout.expired:
                raise
        finally:
            if timer.active():
                timer.cancel()
        if not timeout.expired:
            raise errors.StoreError("the platform closed the watch before its time-out")

    def _now_ms(self) -> int:
        return round(self._clock.seconds() * 1000)

    async def _read_all(self) -> None:
        row = await self._store.read(store.RULES_KEY)
        self._revision = row.revision if row is not None else 0
        self._feed(message.StoreRead(row.value if row is not None else None))
        rows = await self._store.read_prefix(store.VMS_PREFIX)
        members = tuple(item for item in map(_decode_member, rows) if item is not None)
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

    async def _write_audit_entries(self) -> None:
        # Entries that could not be written remain pending, and the next report
        # writes them. Two VMs of a zone write the same key; the condition that the
        # key is absent makes the second write a no-op.
        for put in list(self._pending_audit_puts.values()):
            await self._store.commit((store.Compare(put.key, 0),), (put,))
            self._pending_audit_puts.pop(put.key, None)

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


class _WatchTimeout:
    """Cancels a watch at its time-out and records that it has done so."""

    def __init__(self, watching: defer.Deferred[None]) -> None:
        self.expired = False
        self._watching = watching

    def expire(self) -> None:
        self.expired = True
        self._watching.cancel()


def _sequence(value: bytes) -> int:
    try:
        return config.decode(value).sequence
    except errors.RulesInvalidError:
        return 0


def _decode_member(row: store.Row) -> member.Member | None:
    try:
        fields = json.loads(row.value)
        return member.Member(
            row.key.removeprefix(store.VMS_PREFIX),
            str(fields["zone"]),
            str(ipaddress.IPv4Address(fields["ip"])),
            int(fields["peer_port"]),
            int(fields["link_port"]),
            1,
            0,
            member.MemberState.JOINING,
        )
    except (ValueError, KeyError, TypeError) as error:
        eliot.log_message(
            message_type="listed_vm_invalid", key=row.key, detail=str(error)
        )
        return None


def _ignore_cancellation(failure: typing.Any) -> None:
    failure.trap(defer.CancelledError)
