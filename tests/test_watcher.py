"""A VM's conversation with the store, when the store is slow, mute or wrong."""

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


class Watched:
    """A store, an operator and one VM's watcher, in virtual time."""

    def __init__(self, text: str) -> None:
        """Accept rules, then begin to watch."""
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
        """Return the bytes of a document."""
        plain = config.Document(
            sequence, f"{author}{sequence}", author, 1, text, "", ()
        )
        return config.encode(plain)

    def put(self, value: bytes) -> None:
        """Write the rules without a condition."""
        self.store.write((), (store.Put(store.RULES_KEY, value),))

    def held(self) -> config.Document:
        """Return the document in the store."""
        return config.decode(self.store.rows(store.RULES_KEY)[0].value)

    def run(self, ms: int) -> None:
        """Let time pass."""
        for _ in range(ms // 10):
            self.clock.advance(0.01)

    def values(self) -> list[bytes | None]:
        """Return the values that the watcher has passed on."""
        return [e.value for e in self.events if isinstance(e, message.StoreRead)]


@pytest.fixture
def watched(rules_text: str) -> Watched:
    """A watcher that has read sequence 1."""
    return Watched(rules_text)


def test_change_behind_a_mute_watch_is_found(watched: Watched, rules_text: str) -> None:
    # A middlebox drops an idle connection without a word. The watch waits for
    # ever; an accepted change would come into force with the next restart.
    watched.store.mute_watches()
    watched.put(watched.document(2, rules_text))
    watched.run(2900)
    assert watched.values()[-1] == watched.document(2, rules_text)


def test_store_that_went_back_without_a_word_is_found(
    watched: Watched, rules_text: str
) -> None:
    # The store is restored from a copy behind the same address, with lower
    # revisions. A watch from a later revision shows nothing of that.
    watched.store.mute_watches()
    watched.put(watched.document(7, rules_text))
    watched.store.revision = 0
    watched.put(watched.document(5, rules_text))
    watched.run(watcher.READ_INTERVAL_MS + 3000)
    assert watched.values()[-1] == watched.document(5, rules_text)


def test_slow_store_is_still_watched(watched: Watched, rules_text: str) -> None:
    # Each answer takes three seconds. Given up sooner, the watch would never
    # come about, and changes would wait for the next full read.
    watched.store.set_faults(emulated_platform.Faults(delay_ms=3000))
    watched.run(30_000)
    watched.put(watched.document(2, rules_text))
    watched.run(9000)
    assert watched.values()[-1] == watched.document(2, rules_text)


def test_watch_that_ends_at_once_does_not_flood_the_store(watched: Watched) -> None:
    # The platform accepts a watch and closes it again, over and over. Called
    # again at once each time, it would get hundreds of calls a second.
    watched.store.watch = _ending  # type: ignore[method-assign]
    watched.watcher.set_active(False)
    watched.watcher.set_active(True)
    watched.run(5000)
    watched.store.calls.clear()
    watched.run(10_000)
    assert 5 < watched.store.calls["read"] < 20


async def _ending(prefix: str, after: int, listener: store.Listener) -> None:
    return None


def test_repair_puts_the_newer_document_back(watched: Watched, rules_text: str) -> None:
    # The store was restored to sequence 1 while the fleet has 2 in force. The
    # trail was restored with it, and would not show sequence 2 any more.
    value = watched.document(2, rules_text)
    watched.watcher.repair(message.RepairStore(value, 2))
    watched.run(100)
    assert watched.held().sequence == 2
    operator = change.Operator(watched.store, "x")
    trail: list[typing.Any] = []
    _run(operator.audit(), trail)
    assert [(item.sequence, item.outcome) for item in trail[0]] == [(2, "repaired")]


def test_repair_yields_to_an_operator(watched: Watched, rules_text: str) -> None:
    # An operator's change is accepted between the repair's read and its write.
    watched.store.set_faults(emulated_platform.Faults(delay_ms=50))
    value = watched.document(2, rules_text)
    watched.watcher.repair(message.RepairStore(value, 2))
    watched.run(70)
    watched.put(watched.document(2, rules_text, "operator"))
    watched.run(500)
    assert watched.held().author == "operator"


def test_lapsed_lease_is_replaced(watched: Watched) -> None:
    # A VM is paused for longer than its lease. It wakes, believes in the lease
    # and reports; the report must stand in the store all the same.
    report = message.ReportInForce((message.InForce("vm1", 1),))
    watched.watcher.report(report)
    watched.run(100)
    watched.clock.advance(60)
    assert watched.store.rows(store.IN_FORCE_PREFIX) == ()
    watched.watcher.report(report)
    watched.run(100)
    assert len(watched.store.rows(store.IN_FORCE_PREFIX)) == 1


def test_outage_is_reported_and_survived(watched: Watched, rules_text: str) -> None:
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
