"""The store over HTTP, carried in memory."""

import typing

import pytest
from treq import client, testing
from twisted.internet import defer, task

from eelgrasswick import (
    errors,
    store,
)
from eelgrasswick.daemons import gateway
from eelgrasswick.emulation import emulated_platform


class Carried:
    """A gateway, the emulated store it calls, and the bytes between them."""

    def __init__(self) -> None:
        """Connect both in memory."""
        self.clock = task.Clock()
        self.store = emulated_platform.EmulatedStore(self.clock)
        site = emulated_platform.StoreResource(self.store)
        self.agent = testing.RequestTraversalAgent(site)
        reactor: typing.Any = self.clock
        self.gateway = gateway.Gateway(reactor, "http://platform", 1000)
        self.gateway._http = client.HTTPClient(
            self.agent, data_to_body_producer=testing._SynchronousProducer
        )
        self.rows: list[store.Row] = []
        self.ended: list[typing.Any] = []

    def watch(self) -> defer.Deferred[None]:
        """Begin to watch the rules."""
        watching = defer.Deferred.fromCoroutine(
            self.gateway.watch(store.RULES_KEY, 0, self.rows.extend)
        )
        watching.addBoth(self.ended.append)
        self.flush()
        return watching

    def put(self, value: bytes) -> None:
        """Write a value into the store."""
        self.store.write((), (store.Put(store.RULES_KEY, value),))
        self.flush()

    def flush(self) -> None:
        """Carry bytes until none are left."""
        for _ in range(10):
            self.agent.flush()
            self.clock.advance(0.001)


@pytest.fixture
def carried() -> Carried:
    """A gateway and a store in memory."""
    return Carried()


def test_watch_passes_changes_on(carried: Carried) -> None:
    carried.watch()
    carried.put(b"one")
    carried.put(b"two")
    assert [row.value for row in carried.rows] == [b"one", b"two"]


def test_watch_that_is_laid_down_leaves_no_connection(carried: Carried) -> None:
    # A VM gives its watch to another one. A connection that stayed open would
    # go on to count as a call at the platform, one more with each change.
    watching = carried.watch()
    assert carried.store.open_watches == 1
    watching.cancel()
    carried.flush()
    assert carried.store.open_watches == 0
    carried.put(b"late")
    assert carried.rows == []


def test_outage_ends_the_watch(carried: Carried) -> None:
    carried.watch()
    carried.store.set_faults(emulated_platform.Faults(outage=True))
    carried.flush()
    assert carried.ended[0].check(errors.StoreError)
