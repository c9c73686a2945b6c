"""Tests of a VM that starts by an offer that it fetches beside the listing."""

import importlib
import socket
import threading
import time
import typing

import pytest

from eelgrasswick.cookie import carrying, clock, store_replica
from eelgrasswick.platform import early
from tests import early_parts, offer_parts

EMPTY_OFFER: typing.Final = offer_parts.Reply(offer_parts.offer_bytes(0))


@pytest.fixture(autouse=True)
def _long_stall(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let no test fail because the machine is busy."""
    monkeypatch.setattr(early, "STALL_S", early_parts.WAIT_S)


def _import_slowly(monkeypatch: pytest.MonkeyPatch, done: threading.Event) -> None:
    """Replace the libraries by ones whose imports last until an event is set."""
    import_module = importlib.import_module

    def import_slowly(name: str) -> object:
        return done.wait(0.02) if name == "slow" else import_module(name)

    monkeypatch.setattr(importlib, "import_module", import_slowly)
    monkeypatch.setattr(early, "LIBRARIES", ("slow",) * 200)


def _rows_applied(
    monkeypatch: pytest.MonkeyPatch, carrier: carrying.Carrier
) -> threading.Event:
    """Return an event that is set once a carrier has applied rows."""
    applied = threading.Event()
    apply_rows = carrier.apply_rows

    def apply(now_ms: int, merge: store_replica.Merge, origin: str) -> None:
        apply_rows(now_ms, merge, origin)
        applied.set()

    monkeypatch.setattr(carrier, "apply_rows", apply)
    return applied


@pytest.mark.parametrize("imports", [True, False])
def test_offer_that_arrives_before_the_listing_starts_the_vm(
    data_socket: socket.socket,
    log_pipe: tuple[int, int],
    monkeypatch: pytest.MonkeyPatch,
    imports: bool,
) -> None:
    """Guards against VMs on slow links that serve nobody until their listing ends.

    All VMs lose power. The seed has no rows when it is first asked.
    """
    seed = offer_parts.ScriptedSeed(
        EMPTY_OFFER, offer_parts.Reply(offer_parts.offer_bytes(300, *early_parts.ROWS))
    )
    monkeypatch.setattr(early, "LIBRARIES", ())
    if imports:
        _import_slowly(monkeypatch, seed.served)
    store = early_parts.WaitingStore(None, *early_parts.ROWS)
    carrier = early_parts.carrier(log_pipe[1])
    forwarder = early.StartupForwarder(
        carrier, data_socket, clock.now_ms(), [seed.address]
    )
    forwarder.run(store.address)
    seed.end()
    store.end()
    assert store.closed_by_vm
    assert carrier.started
    assert 300 <= carrier.parts.replica.age_ms(clock.now_ms()) < 9000
    text = early_parts.log_text(carrier, log_pipe)
    assert b"bootstrapped" in text
    assert b"early_read_failed" not in text
    # The seed may list only a few VMs yet.
    assert forwarder.members == ()


def test_listing_that_ends_before_an_offer_closes_the_attempts(
    data_socket: socket.socket,
    log_pipe: tuple[int, int],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against connections to seeds that a running VM no longer reads."""
    monkeypatch.setattr(early, "LIBRARIES", ())
    seed = offer_parts.ScriptedSeed(EMPTY_OFFER, offer_parts.SILENCE)
    store = early_parts.WaitingStore(seed.all_requested, *early_parts.ROWS)
    carrier = early_parts.carrier(log_pipe[1])
    early.StartupForwarder(carrier, data_socket, clock.now_ms(), [seed.address]).run(
        store.address
    )
    assert seed.served.wait(early_parts.WAIT_S)
    seed.end()
    store.end()
    assert carrier.started
    assert carrier.parts.replica.revision == 7
    assert b"bootstrapped" not in early_parts.log_text(carrier, log_pipe)


def test_offer_alone_starts_the_vm_while_the_store_refuses(
    data_socket: socket.socket,
    log_pipe: tuple[int, int],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a fetch that ends with a listing that failed."""
    seed = offer_parts.ScriptedSeed(
        EMPTY_OFFER,
        EMPTY_OFFER,
        offer_parts.Reply(offer_parts.offer_bytes(9000, *early_parts.ROWS)),
    )
    _import_slowly(monkeypatch, seed.served)
    carrier = early_parts.carrier(log_pipe[1])
    early.StartupForwarder(carrier, data_socket, clock.now_ms(), [seed.address]).run(
        offer_parts.unused_address()
    )
    seed.end()
    assert carrier.started
    assert carrier.parts.replica.age_ms(clock.now_ms()) >= 9000
    text = early_parts.log_text(carrier, log_pipe)
    assert b"early_read_failed" in text
    assert b"bootstrapped" in text


def test_start_waits_for_an_offer_that_a_seed_is_sending(
    data_socket: socket.socket,
    log_pipe: tuple[int, int],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an offer that is lost because the imports end before it."""
    raw = offer_parts.offer_bytes(300, *early_parts.ROWS)
    waiting = threading.Event()
    seed = offer_parts.ScriptedSeed(EMPTY_OFFER, offer_parts.Reply(raw, after=waiting))
    wait = early.StartupForwarder._wait

    def wait_observed(forwarder: early.StartupForwarder, wait_s: float) -> None:
        waiting.set()
        wait(forwarder, wait_s)

    monkeypatch.setattr(early.StartupForwarder, "_wait", wait_observed)
    _import_slowly(monkeypatch, seed.all_requested)
    carrier = early_parts.carrier(log_pipe[1])
    early.StartupForwarder(carrier, data_socket, clock.now_ms(), [seed.address]).run(
        offer_parts.unused_address()
    )
    seed.end()
    assert carrier.started


def test_start_does_not_wait_for_seeds_when_the_listing_failed(
    data_socket: socket.socket,
    log_pipe: tuple[int, int],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against VMs that wait for each other and start no reactor.

    The store and all seeds refuse connections. No VM offers rows before its reactor
    runs.
    """
    monkeypatch.setattr(early, "LIBRARIES", ())
    monkeypatch.setattr(early, "STALL_S", 10 * early_parts.WAIT_S)
    carrier = early_parts.carrier(log_pipe[1])
    started_s = time.monotonic()
    early.StartupForwarder(
        carrier, data_socket, clock.now_ms(), [offer_parts.unused_address()]
    ).run(offer_parts.unused_address())
    assert time.monotonic() - started_s < early_parts.WAIT_S
    assert not carrier.started


def test_seeds_without_rows_do_not_prolong_the_wait_for_a_stalled_store(
    data_socket: socket.socket,
    log_pipe: tuple[int, int],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a start that waits for a store that sends no more bytes.

    All VMs restart, and each accepted connection and each offer without rows counted
    as progress. The stand-in of the store gives up after 10 s.
    """
    monkeypatch.setattr(early, "STALL_S", 0.1)
    monkeypatch.setattr(early, "MAX_STALLS", 10_000)
    monkeypatch.setattr(early, "LIBRARIES", ())
    seed = offer_parts.ScriptedSeed(*[EMPTY_OFFER] * 500)
    store = early_parts.WaitingStore(None, *early_parts.ROWS)
    carrier = early_parts.carrier(log_pipe[1])
    early.StartupForwarder(carrier, data_socket, clock.now_ms(), [seed.address]).run(
        store.address
    )
    seed.end()
    store.end()
    assert store.closed_by_vm
    assert b"early_read_failed" in early_parts.log_text(carrier, log_pipe)


def test_old_offer_does_not_end_the_listing(
    data_socket: socket.socket,
    log_pipe: tuple[int, int],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a VM that starts with old rows although the store is back."""
    seed = offer_parts.ScriptedSeed(
        EMPTY_OFFER, offer_parts.Reply(offer_parts.offer_bytes(9000, *early_parts.ROWS))
    )
    carrier = early_parts.carrier(log_pipe[1])
    applied = _rows_applied(monkeypatch, carrier)
    store = early_parts.WaitingStore(applied, *early_parts.ROWS)
    _import_slowly(monkeypatch, store.ended)
    early.StartupForwarder(carrier, data_socket, clock.now_ms(), [seed.address]).run(
        store.address
    )
    seed.end()
    store.end()
    assert carrier.started
    text = early_parts.log_text(carrier, log_pipe)
    assert b"bootstrapped" in text
    assert b"early_read_failed" not in text
    assert carrier.parts.replica.age_ms(clock.now_ms()) < 9000


def test_offer_without_targets_does_not_end_the_listing(
    data_socket: socket.socket,
    log_pipe: tuple[int, int],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a VM that has rows from a seed and cannot forward by them."""
    monkeypatch.setattr(early, "LIBRARIES", ())
    raw = offer_parts.offer_bytes(0, early_parts.ROWS[0], revision=1)
    seed = offer_parts.ScriptedSeed(EMPTY_OFFER, offer_parts.Reply(raw))
    carrier = early_parts.carrier(log_pipe[1])
    applied = _rows_applied(monkeypatch, carrier)
    store = early_parts.WaitingStore(applied, *early_parts.ROWS)
    early.StartupForwarder(carrier, data_socket, clock.now_ms(), [seed.address]).run(
        store.address
    )
    seed.end()
    store.end()
    assert carrier.started
    assert carrier.parts.replica.revision == 7


@pytest.mark.parametrize(
    "reply",
    [
        offer_parts.SILENCE,
        offer_parts.Reply(
            offer_parts.offer_bytes(0, *early_parts.ROWS)[:-1], hold=True
        ),
        offer_parts.Reply(offer_parts.offer_bytes(0, *early_parts.ROWS)[:-1]),
        EMPTY_OFFER,
        offer_parts.Reply(b"\xff" * 40),
    ],
    ids=["silent", "stops halfway", "closes halfway", "no rows", "invalid"],
)
def test_listing_goes_on_beside_a_faulty_seed(
    data_socket: socket.socket,
    log_pipe: tuple[int, int],
    monkeypatch: pytest.MonkeyPatch,
    reply: offer_parts.Reply,
) -> None:
    """Guards against a listing that a seed without an offer delays or ends."""
    monkeypatch.setattr(early, "LIBRARIES", ())
    seed = offer_parts.ScriptedSeed(reply, reply, offer_parts.SILENCE)
    # The listing ends when the attempt after the faulty one has reached the seed.
    store = early_parts.WaitingStore(seed.all_requested, *early_parts.ROWS)
    carrier = early_parts.carrier(log_pipe[1])
    early.StartupForwarder(carrier, data_socket, clock.now_ms(), [seed.address]).run(
        store.address
    )
    seed.end()
    store.end()
    assert carrier.started
    assert carrier.parts.replica.revision == 7
    assert b"bootstrap_failed" in early_parts.log_text(carrier, log_pipe)


@pytest.mark.parametrize("power", [True, False], ids=["refusing", "without power"])
def test_listing_goes_on_while_all_seeds_are_down(
    data_socket: socket.socket,
    log_pipe: tuple[int, int],
    monkeypatch: pytest.MonkeyPatch,
    power: bool,
) -> None:
    """Guards against a listing that attempts to reach the seeds delay or end."""
    monkeypatch.setattr(early, "LIBRARIES", ())
    store = early_parts.SlowStore(0.04, *early_parts.ROWS)
    carrier = early_parts.carrier(log_pipe[1])
    with early_parts.full_queue() as silent:
        seeds = (
            [offer_parts.unused_address(), offer_parts.unused_address()]
            if power
            else [silent]
        )
        early.StartupForwarder(carrier, data_socket, clock.now_ms(), seeds).run(
            store.address
        )
    store.end()
    assert carrier.started
    assert carrier.parts.replica.revision == 7
