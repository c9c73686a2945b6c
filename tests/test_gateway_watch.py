"""Watches of the store over HTTP, with requests and responses in memory."""

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


class InMemoryGateway:
    """A gateway, the emulated store it calls, and an in-memory HTTP agent."""

    def __init__(self) -> None:
        """Connect the gateway and the store in memory."""
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
        """Start to watch the rules."""
        watching = defer.Deferred.fromCoroutine(
            self.gateway.watch(store.RULES_KEY, 0, self.rows.extend)
        )
        watching.addBoth(self.ended.append)
        self.flush()
        return watching

    def put(self, value: bytes) -> None:
        """Write the rules and deliver the updates."""
        self.store.write((), (store.Put(store.RULES_KEY, value),))
        self.flush()

    def flush(self) -> None:
        """Deliver the bytes in transit, in several rounds."""
        for _ in range(10):
            self.agent.flush()
            self.clock.advance(0.001)


@pytest.fixture
def local() -> InMemoryGateway:
    """A gateway and a store in memory."""
    return InMemoryGateway()


def test_watch_reports_each_write_in_order(local: InMemoryGateway) -> None:
    """Guards against changes that do not reach the listener."""
    local.watch()
    local.put(b"one")
    local.put(b"two")
    assert [row.value for row in local.rows] == [b"one", b"two"]


def test_cancelled_watch_closes_its_connection(local: InMemoryGateway) -> None:
    """Guards against connections of stopped watches that the platform still counts.

    A VM stops its watch when another VM takes over. If the connection stayed open,
    each such change would add one open call at the platform.
    """
    watching = local.watch()
    assert local.store.open_watches == 1
    watching.cancel()
    local.flush()
    assert local.store.open_watches == 0
    local.put(b"late")
    assert local.rows == []


def test_outage_ends_the_watch_with_store_error(local: InMemoryGateway) -> None:
    """Guards against a watch that hangs during an outage."""
    local.watch()
    local.store.set_faults(emulated_platform.Faults(outage=True))
    local.flush()
    assert local.ended[0].check(errors.StoreError)
