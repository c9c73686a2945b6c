"""Tests of the fetch of an offer beside the listing of a starting VM."""

import os
import select
import socket
import subprocess
import sys
import time
import typing

import pytest
from twisted.internet import reactor as default_reactor

from eelgrasswick.cookie import (
    bootstrap,
    event_log,
    model,
    offer,
    offer_fetch,
    source,
    stats,
    store_replica,
    transfer,
)
from tests import cookie_parts, offer_parts, turning

ROWS: typing.Final = (cookie_parts.config_row(1), cookie_parts.target_row("i-0a", 2))
OFFER: typing.Final = offer_parts.Reply(offer_parts.offer_bytes(300, *ROWS))


class Log(typing.NamedTuple):
    """A log whose lines a test can read."""

    events: event_log.EventLog
    descriptor: int

    def lines(self) -> list[bytes]:
        """Return the lines that were written since the last call."""
        self.events.write("end")
        self.events.flush()
        return os.read(self.descriptor, 65_536).splitlines()[:-1]


@pytest.fixture
def log() -> typing.Iterator[Log]:
    """Return a log that writes to a pipe."""
    reading, writing = os.pipe()
    yield Log(event_log.EventLog(writing, "vm1", 50, stats.Stats()), reading)
    os.close(reading)
    os.close(writing)


def _poll_until(
    fetch: offer_fetch.OfferFetch, done: typing.Callable[[], bool]
) -> bootstrap.Response | None:
    """Poll a fetch as a starting VM does, until an offer arrives or a condition."""
    limit_s = time.monotonic() + offer_parts.WAIT_S
    while not done():
        assert time.monotonic() < limit_s
        response = fetch.poll()
        if response is not None:
            fetch.close()
            return response
        poll = select.poll()
        fetch.register(poll)
        wait_s = min(fetch.due_s, limit_s) - time.monotonic()
        poll.poll(1000 * max(0.0, min(wait_s, 0.05)))
    return None


def _fetch(*seeds: model.Address, log: Log) -> bootstrap.Response:
    fetch = offer_fetch.OfferFetch(seeds, log.events)
    response = _poll_until(fetch, lambda: False)
    assert response is not None
    return response


def test_offer_of_a_seed_is_returned_with_its_age(log: Log) -> None:
    """Guards against a VM that waits for its listing although a seed has rows."""
    seed = offer_parts.ScriptedSeed(OFFER)
    response = _fetch(seed.address, log=log)
    seed.end()
    assert seed.requests == [bootstrap.REQUEST]
    assert response.host == offer_parts.HOST
    assert response.offer.changes == source.Changes(ROWS, 7, 0)
    assert response.offer.sender_state.age_ms == 300
    assert log.lines() == []


@pytest.mark.parametrize(
    "raw",
    [
        b"",
        b"\xff" * 40,
        offer_parts.frame(b"x", b"y"),
        offer_parts.frame(b"x", b"y", b"z"),
        offer_parts.offer_bytes(0),
        OFFER.raw[:-1],
        offer_parts.frame(b"\x80") + OFFER.raw,
    ],
    ids=["none", "too long", "garbage", "3 strings", "no rows", "half", "no offer"],
)
def test_reply_without_an_offer_is_logged_and_followed_by_an_attempt(
    log: Log, raw: bytes
) -> None:
    """Guards against a fetch that ends or fails at a seed without valid rows.

    The seed has started and has no rows yet, or it closes the connection halfway.
    """
    seed = offer_parts.ScriptedSeed(offer_parts.Reply(raw), OFFER)
    response = _fetch(seed.address, log=log)
    seed.end()
    assert response.offer.changes.rows == ROWS
    (line,) = log.lines()
    assert b"bootstrap_failed" in line


@pytest.mark.parametrize("size", [0, 3, 20])
def test_seed_that_stops_sending_is_followed_by_the_next(
    log: Log, monkeypatch: pytest.MonkeyPatch, size: int
) -> None:
    """Guards against a frozen seed that holds up the offers of the others."""
    monkeypatch.setattr(offer_fetch, "IDLE_TIMEOUT_S", 0.03)
    stopping = [offer_parts.Reply(OFFER.raw[:size], hold=True)] * 8
    frozen = offer_parts.ScriptedSeed(*stopping)
    fetch = offer_fetch.OfferFetch([frozen.address], log.events)
    assert _poll_until(fetch, lambda: len(frozen.requests) == 2) is None
    fetch.close()
    seed = offer_parts.ScriptedSeed(OFFER)
    response = _fetch(frozen.address, seed.address, log=log)
    frozen.end()
    seed.end()
    assert response.offer.changes.rows == ROWS
    assert b"TimeoutError: response" in b"".join(log.lines())


def test_seed_that_sends_bytes_without_an_end_is_given_up(
    log: Log, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a slow seed that keeps the others from being asked."""
    monkeypatch.setattr(offer_fetch, "RESPONSE_TIMEOUT_S", 0.1)
    with socket.create_server((offer_parts.HOST, 0)) as listening:
        address = model.Address(*listening.getsockname())
        fetch = offer_fetch.OfferFetch([address], log.events)
        _poll_until(fetch, lambda: fetch.requested)
        connection, _ = listening.accept()

        def given_up() -> bool:
            if fetch.requested:
                connection.send(b"\x00")
            return not fetch.requested

        with connection:
            # The first string is announced as long, so that it never ends.
            connection.sendall(b"\x00\x10\x00\x00")
            assert _poll_until(fetch, given_up) is None
        fetch.close()
    assert b"TimeoutError: response" in b"".join(log.lines())


def test_seeds_that_refuse_are_asked_again_and_logged_once(log: Log) -> None:
    """Guards against a flood of log lines while no seed has started yet."""
    addresses = [offer_parts.unused_address() for _ in range(2)]
    fetch = offer_fetch.OfferFetch(addresses, log.events)
    end_s = time.monotonic() + 10 * offer_fetch.PAUSE_S
    assert _poll_until(fetch, lambda: time.monotonic() > end_s) is None
    fetch.close()
    assert len(log.lines()) == 2


def test_seed_that_starts_later_is_found(log: Log) -> None:
    """Guards against a fetch that ends when all seeds refused connections once."""
    address = offer_parts.unused_address()
    fetch = offer_fetch.OfferFetch([address], log.events)
    lines: list[bytes] = []

    def refused() -> bool:
        lines.extend(log.lines())
        return bool(lines)

    assert _poll_until(fetch, refused) is None
    listening = socket.create_server(address)
    with listening:
        assert _poll_until(fetch, lambda: fetch.requested) is None
    fetch.close()


def test_seeds_without_power_do_not_hold_up_the_others(
    log: Log, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a wait for seeds that do not even refuse connections."""
    monkeypatch.setattr(offer_fetch, "CONNECT_TIMEOUT_S", 2 * offer_parts.WAIT_S)
    with turning.full_listener() as first, turning.full_listener() as second:
        seed = offer_parts.ScriptedSeed(OFFER)
        response = _fetch(first, second, seed.address, log=log)
        seed.end()
    assert response.offer.changes.rows == ROWS


def test_seed_without_power_is_given_up(
    log: Log, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against attempts to dead seeds that leave no room for further ones."""
    monkeypatch.setattr(offer_fetch, "CONNECT_TIMEOUT_S", 0.02)
    with turning.full_listener() as address:
        fetch = offer_fetch.OfferFetch([address], log.events)
        lines: list[bytes] = []

        def given_up() -> bool:
            lines.extend(log.lines())
            return bool(lines)

        assert _poll_until(fetch, given_up) is None
        fetch.close()
    assert b"TimeoutError: connect" in lines[0]


def test_only_one_seed_at_a_time_receives_a_request(log: Log) -> None:
    """Guards against offers that compete for the link on which the listing arrives."""
    first = offer_parts.ScriptedSeed(offer_parts.SILENCE)
    second = offer_parts.ScriptedSeed(offer_parts.SILENCE)
    fetch = offer_fetch.OfferFetch([first.address, second.address], log.events)
    end_s = time.monotonic() + 3 * offer_fetch.PAUSE_S
    _poll_until(fetch, lambda: fetch.requested and time.monotonic() > end_s)
    fetch.close()
    first.end()
    second.end()
    # A connection without a request would count as an empty one.
    assert first.requests + second.requests == [bootstrap.REQUEST]


def test_repeated_seed_has_one_connection(
    log: Log, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a busy loop that looks for another seed than the present one."""
    monkeypatch.setattr(offer_fetch, "PAUSE_S", 0.0)
    with turning.full_listener() as address:
        fetch = offer_fetch.OfferFetch([address, address], log.events)
        for _ in range(3):
            fetch.poll()
        assert len(fetch.register(select.poll())) == 1
        assert fetch.due_s > time.monotonic()
        fetch.close()


def test_seed_answers_at_once_with_its_rows_when_its_reactor_runs(log: Log) -> None:
    """Guards against an error instead of an offer while the seed has no rows yet."""
    reactor = typing.cast(typing.Any, default_reactor)
    replica = store_replica.StoreReplica()
    offers = offer.OfferEncoder(
        replica.changes_since, lambda: offer.SenderState(5, offer_parts.MEMBERS)
    )
    port = reactor.listenTCP(
        0, transfer.ServerFactory(offers), interface=offer_parts.HOST
    )
    address = model.Address(offer_parts.HOST, port.getHost().port)
    fetch = offer_fetch.OfferFetch([address], log.events)
    lines: list[bytes] = []
    received: list[bootstrap.Response] = []

    def refused() -> bool:
        assert fetch.poll() is None
        lines.extend(log.lines())
        return bool(lines)

    def answered() -> bool:
        response = fetch.poll()
        received.extend([response] if response is not None else [])
        return bool(received)

    turning.until(refused)
    replica.merge(0, source.Changes(ROWS, 7, 0))
    turning.until(answered)
    fetch.close()
    turning.result(port.stopListening())
    assert b"offer without rows" in lines[0]
    assert received[0].offer.changes == source.Changes(ROWS, 7, 0)


def test_libraries_are_not_imported_before_an_offer_arrives() -> None:
    """Guards against imports that delay the listing of a VM whose seeds are down."""
    program = """
import os, socket, sys, time
from eelgrasswick.cookie import event_log, model, offer_fetch, stats
silent = socket.create_server(("127.0.0.1", 0))
with socket.create_server(("127.0.0.1", 0)) as closed:
    unused = closed.getsockname()
log = event_log.EventLog(os.open(os.devnull, os.O_WRONLY), "vm1", 50, stats.Stats())
seeds = [model.Address(*silent.getsockname()), model.Address(*unused)]
fetch = offer_fetch.OfferFetch(seeds, log)
end_s = time.monotonic() + 10
while not fetch.requested and time.monotonic() < end_s:
    assert fetch.poll() is None
assert fetch.requested
print([name for name in ("cbor2", "twisted") if name in sys.modules])
"""
    done = subprocess.run(
        [sys.executable, "-c", program], check=True, capture_output=True, text=True
    )
    assert done.stdout.strip() == "[]"
