"""A VM's watcher, when the store is slow, restored, or stops reporting."""

import random
import typing

import pytest
from twisted.internet import defer, task

from eelgrasswick import (
    change,
    config,
    message,
    store,
)
from eelgrasswick.daemons import watcher
from eelgrasswick.emulation import emulated_platform


class WatchedStore:
    """A store and one VM's watcher, in virtual time."""

    def __init__(self, text: str) -> None:
        """Write sequence 1 to the store, then start to watch."""
        self.clock = task.Clock()
        self.store = emulated_platform.EmulatedStore(self.clock)
        self.events: list[message.Event] = []
        self.put(self.document(1, text))
        self.watcher = watcher.Watcher(
            self.clock, self.store, "z1", self.events.append, random.Random(1)
        )
        self.watcher.set_active(True)
        self.run(100)

    def document(self, sequence: int, text: str, author: str = "a") -> bytes:
        """Return an encoded document with the rules."""
        document = config.Document(
            sequence, f"{author}{sequence}", author, 1, text, "", ()
        )
        return config.encode(document)

    def put(self, value: bytes) -> None:
        """Write the rules unconditionally."""
        self.store.write((), (store.Put(store.RULES_KEY, value),))

    def stored_document(self) -> config.Document:
        """Return the rules document in the store."""
        return config.decode(self.store.rows(store.RULES_KEY)[0].value)

    def run(self, ms: int) -> None:
        """Advance the clock in steps of 10 ms."""
        for _ in range(ms // 10):
            self.clock.advance(0.01)

    def values(self) -> list[bytes | None]:
        """Return the values that the watcher has passed to the engine."""
        return [e.value for e in self.events if isinstance(e, message.StoreRead)]


@pytest.fixture
def watched(rules_text: str) -> WatchedStore:
    """A watcher that has read sequence 1."""
    return WatchedStore(rules_text)


def test_change_during_a_silent_watch_is_found(
    watched: WatchedStore, rules_text: str
) -> None:
    """Guards against a change that comes into force only after a restart.

    A middlebox drops an idle connection without a reset, so the watch reports
    nothing and does not end.
    """
    watched.store.mute_watches()
    watched.put(watched.document(2, rules_text))
    watched.run(2900)
    assert watched.values()[-1] == watched.document(2, rules_text)


def test_store_restored_during_a_silent_watch_is_found(
    watched: WatchedStore, rules_text: str
) -> None:
    """Guards against a VM that misses a restore of the store.

    The store is restored from a backup at the same address, with lower revisions.
    A watch that starts after a higher revision reports nothing.
    """
    watched.store.mute_watches()
    watched.put(watched.document(7, rules_text))
    watched.store.revision = 0
    watched.put(watched.document(5, rules_text))
    watched.run(watcher.READ_INTERVAL_MS + 3000)
    assert watched.values()[-1] == watched.document(5, rules_text)


def test_slow_store_is_still_watched(watched: WatchedStore, rules_text: str) -> None:
    """Guards against watches that are cancelled before they have started.

    Each response takes 3 s. Changes would have to wait for the next full read.
    """
    watched.store.set_faults(emulated_platform.Faults(delay_ms=3000))
    watched.run(30_000)
    watched.put(watched.document(2, rules_text))
    watched.run(9000)
    assert watched.values()[-1] == watched.document(2, rules_text)


def test_watches_that_end_at_once_are_retried_with_backoff(
    watched: WatchedStore,
) -> None:
    """Guards against hundreds of calls a second when each watch closes at once."""
    watched.store.watch = _close_at_once  # type: ignore[method-assign]
    watched.watcher.set_active(False)
    watched.watcher.set_active(True)
    watched.run(5000)
    watched.store.calls.clear()
    watched.run(10_000)
    assert 5 < watched.store.calls["read"] < 20


async def _close_at_once(prefix: str, after: int, listener: store.Listener) -> None:
    return None


def test_repair_writes_the_newer_document_and_its_audit_entry(
    watched: WatchedStore, rules_text: str
) -> None:
    """Guards against a lost change, and a missing audit entry, after a restore.

    The store was restored to sequence 1 while the fleet has sequence 2 in force.
    The audit trail was restored with it and lacks sequence 2.
    """
    value = watched.document(2, rules_text)
    watched.watcher.repair(message.RepairStore(value, 2))
    watched.run(100)
    assert watched.stored_document().sequence == 2
    operator = change.Operator(watched.store, "x")
    audits: list[typing.Any] = []
    _run(operator.audit(), audits)
    assert [(item.sequence, item.outcome) for item in audits[0]] == [(2, "repaired")]


def test_repair_yields_to_an_operator(watched: WatchedStore, rules_text: str) -> None:
    """Guards against a repair that overwrites a newer change of an operator.

    The change is accepted between the repair's read and its write.
    """
    watched.store.set_faults(emulated_platform.Faults(delay_ms=50))
    value = watched.document(2, rules_text)
    watched.watcher.repair(message.RepairStore(value, 2))
    watched.run(70)
    watched.put(watched.document(2, rules_text, "operator"))
    watched.run(500)
    assert watched.stored_document().author == "operator"


def test_expired_lease_is_replaced(watched: WatchedStore) -> None:
    """Guards against reports that are missing after a VM was paused.

    The VM is paused for longer than its lease, and reports with the expired lease.
    """
    report = message.ReportInForce((message.InForce("vm1", 1),))
    watched.watcher.report(report)
    watched.run(100)
    watched.clock.advance(60)
    assert watched.store.rows(store.IN_FORCE_PREFIX) == ()
    watched.watcher.report(report)
    watched.run(100)
    assert len(watched.store.rows(store.IN_FORCE_PREFIX)) == 1


def test_change_after_an_outage_is_found(
    watched: WatchedStore, rules_text: str
) -> None:
    """Guards against a watcher that stops, or hides the outage from the engine."""
    watched.store.set_faults(emulated_platform.Faults(outage=True))
    watched.run(20_000)
    failures = [e for e in watched.events if isinstance(e, message.StoreFailed)]
    assert failures
    watched.store.set_faults(emulated_platform.Faults())
    watched.put(watched.document(2, rules_text))
    watched.run(2500)
    assert watched.values()[-1] == watched.document(2, rules_text)


def _run(work: typing.Any, ended: list[typing.Any]) -> None:
    defer.Deferred.fromCoroutine(work).addBoth(ended.append)
