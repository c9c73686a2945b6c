"""Watches the platform's store for one VM, and writes to it."""

import ipaddress
import json
import random
import typing

import eliot
from twisted.internet import defer, task

from eelgrasswick import backoff, config, errors, member, message, store

LEASE_S: typing.Final = 15


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

    def repair(self, action: message.RepairStore) -> None:
        """Put a newer accepted document back into the store."""
        self._start(self._repair(action))

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
                revision = await self._read_all()
                failures = 0
                await self._store.watch(store.RULES_KEY, revision, self._on_rows)
            except errors.StoreError as error:
                self._feed(message.StoreFailed(error.detail))
            failures += 1
            wait_ms = backoff.wait_ms(failures, self._rng.random())
            await task.deferLater(self._clock, wait_ms / 1000)

    async def _read_all(self) -> int:
        row = await self._store.read(store.RULES_KEY)
        self._feed(message.StoreRead(row.value if row is not None else None))
        rows = await self._store.read_prefix(store.VMS_PREFIX)
        members = tuple(item for item in map(_listed, rows) if item is not None)
        self._feed(message.VmsListed(members))
        return row.revision if row is not None else 0

    def _on_rows(self, rows: tuple[store.Row, ...]) -> None:
        for row in rows:
            if row.key == store.RULES_KEY:
                self._feed(message.StoreRead(row.value))

    async def _report(self, action: message.ReportInForce) -> None:
        if not self._lease or not await self._store.keep_alive(self._lease):
            self._lease = await self._store.grant(LEASE_S)
        value = json.dumps({item.vm: item.sequence for item in action.sequences})
        key = store.IN_FORCE_PREFIX + self._zone
        await self._store.commit((), (store.Put(key, value.encode(), self._lease),))

    async def _repair(self, action: message.RepairStore) -> None:
        row = await self._store.read(store.RULES_KEY)
        revision = row.revision if row is not None else 0
        if row is not None and _sequence(row.value) >= action.sequence:
            return
        compare = store.Compare(store.RULES_KEY, revision)
        put = store.Put(store.RULES_KEY, action.value)
        committed = await self._store.commit((compare,), (put,))
        eliot.log_message(
            message_type="store_repaired",
            zone=self._zone,
            sequence=action.sequence,
            accepted=committed.accepted,
        )


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
