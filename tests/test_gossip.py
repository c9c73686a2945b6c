"""Tests of the task that exchanges messages with other VMs."""

import random
import typing

import pytest
from twisted.internet import defer, testing

from eelgrasswick import errors
from eelgrasswick.cookie import (
    event_log,
    exchange,
    gossip,
    model,
    peers,
    reports,
    source,
    stats,
    store_replica,
    transfer,
)
from tests import cookie_parts

HOSTS: typing.Final = tuple(f"10.1.0.{number}" for number in range(1, 8))


@pytest.fixture
def replica() -> store_replica.StoreReplica:
    made = store_replica.StoreReplica()
    made.merge(0, cookie_parts.listing(cookie_parts.config_row(1)))
    return made


@pytest.fixture
def task(
    replica: store_replica.StoreReplica, tmp_path: typing.Any
) -> typing.Iterator[gossip.Gossip]:
    counters = stats.Stats()
    with (tmp_path / "log").open("wb") as file:
        parts = gossip.Parts(
            replica,
            lambda *_: None,
            reports.Reports(),
            event_log.EventLog(file.fileno(), "vm-1", 50, counters),
            counters,
            lambda _: None,
            lambda *_: False,
            lambda *_: None,
        )
        address = model.Address("10.1.0.9", 1)
        made = gossip.Gossip(
            testing.MemoryReactorClock(),
            address,
            "z1",
            parts,
            random.Random(1),
            lambda *_: None,
        )
        made.port.transport = testing.StringTransport()  # type: ignore[assignment]
        yield made


def _announce(task: gossip.Gossip, host: str) -> None:
    """Deliver an update of a VM that has rows too large for a datagram."""
    other = store_replica.StoreReplica()
    other.merge(0, source.Changes((cookie_parts.config_row(9),), 9, 0))
    sender = exchange.Exchange(
        "z1",
        other,
        peers.Peers(host, "z1", random.Random(1)),
        reports.Reports(),
        random.Random(1),
    )
    payload = sender._encode(0, exchange._UPDATE, 0, None, ())
    task.port.datagramReceived(payload, (host, 1))


def test_large_row_is_fetched_from_few_of_the_vms_that_announce_it(
    task: gossip.Gossip, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a link congested by copies of one configuration."""
    asked: list[str] = []

    def fetch(_: object, address: model.Address, __: int) -> "defer.Deferred[object]":
        asked.append(address.host)
        return defer.Deferred()

    monkeypatch.setattr(transfer, "fetch", fetch)
    for host in HOSTS:
        _announce(task, host)
    assert asked == list(HOSTS[:2])


def test_failed_fetch_makes_room_for_another_vm(
    task: gossip.Gossip, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a VM that never receives a change as its first peers failed."""
    pending: list[defer.Deferred[object]] = []

    def fetch(*_: object) -> "defer.Deferred[object]":
        pending.append(defer.Deferred())
        return pending[-1]

    monkeypatch.setattr(transfer, "fetch", fetch)
    for host in HOSTS[:3]:
        _announce(task, host)
    pending[0].errback(errors.VmSilentError("10.1.0.1: TimeoutError"))
    _announce(task, HOSTS[3])
    assert len(pending) == 3
