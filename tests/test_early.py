"""Tests of forwarding packets before the libraries are imported."""

import contextlib
import importlib
import os
import socket
import struct
import time
import typing

import pytest

from eelgrasswick.cookie import (
    clock,
    model,
    offer,
    peers,
    source,
)
from eelgrasswick.platform import early
from tests import cookie_parts, early_parts, entry_parts, offer_parts

DESTINATION: typing.Final = entry_parts.host(9)


@pytest.fixture
def server() -> typing.Iterator[socket.socket]:
    """Return the socket of a target."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as opened:
        opened.settimeout(early_parts.WAIT_S)
        opened.bind((DESTINATION, 0))
        yield opened


def test_packets_are_forwarded_between_the_imports(
    data_socket: socket.socket,
    server: socket.socket,
    log_pipe: tuple[int, int],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against packets that are not read until the libraries are imported.

    All VMs lose power, and callers' packets arrive while they start again. On a small
    VM the imports take longer than many deadlines.
    """
    address = f"{DESTINATION}:{server.getsockname()[1]}"
    pages = early_parts.PagedStore(
        cookie_parts.config_row(1), cookie_parts.target_row("i-0a", 2, address=address)
    )
    first = cookie_parts.packet(cookie_parts.SYN, 40_001)
    second = cookie_parts.packet(cookie_parts.SYN, 40_002)
    forwarded_ports: list[int] = []

    def import_module(name: str) -> None:
        forwarded_ports.append(cookie_parts.caller_port_of(server.recv(2000)))
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as caller:
            caller.sendto(second, data_socket.getsockname())

    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as caller:
        caller.sendto(first, data_socket.getsockname())
    monkeypatch.setattr(importlib, "import_module", import_module)
    monkeypatch.setattr(early, "LIBRARIES", ("one", "two"))
    carrier = early_parts.carrier(log_pipe[1])
    early.StartupForwarder(carrier, data_socket, clock.now_ms()).run(pages.address)
    pages.end()
    assert forwarded_ports == [40_001, 40_002]
    assert carrier.parts.replica.revision == 7
    assert "after=op%2Fconfig" in pages.requests[1]


def test_silent_store_does_not_block_the_start(
    data_socket: socket.socket,
    log_pipe: tuple[int, int],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a VM that waits long for a store that doesn't answer.

    The store accepts the connection and sends nothing. The VM starts without it and
    receives the rows from other VMs.
    """
    monkeypatch.setattr(early, "STALL_S", 0.05)
    with socket.create_server((early_parts.HOST, 0)) as silent:
        carrier = early_parts.carrier(log_pipe[1])
        address = model.Address(early_parts.HOST, silent.getsockname()[1])
        early.StartupForwarder(carrier, data_socket, clock.now_ms()).run(address)
    assert not carrier.started
    carrier.parts.log.flush()
    assert b"early_read_failed" in os.read(log_pipe[0], 65536)


class StandInPeer(early_parts.ScriptedServer):
    """Stand-in of another VM that answers a VM that lacks rows."""

    def __init__(self, *strings: bytes) -> None:
        """Create a stand-in that sends strings, each after its length."""
        super().__init__(
            b"".join(struct.pack(">I", len(item)) + item for item in strings)
        )


def _offer(age_ms: int, *rows: source.Row) -> tuple[bytes, bytes]:
    members = (peers.Member("10.0.0.8", "z1"),)
    changes = source.Changes(rows, 7, 0)
    offers = offer.OfferEncoder(
        lambda _: changes, lambda: offer.SenderState(age_ms, members)
    )
    return offers.encode(0)


def test_listing_that_arrives_slowly_is_read_to_its_end(
    data_socket: socket.socket,
    log_pipe: tuple[int, int],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against hundreds of VMs that list the store together and all give up.

    Together they fill the store's link, so that each listing takes longer than one
    alone.
    """
    monkeypatch.setattr(early, "LIBRARIES", ())
    store = early_parts.SlowStore(0.04, *early_parts.ROWS)
    carrier = early_parts.carrier(log_pipe[1])
    early.StartupForwarder(carrier, data_socket, clock.now_ms()).run(store.address)
    store.end()
    assert carrier.parts.replica.revision == 7
    assert carrier.started


def test_rows_are_kept_when_the_store_closes_after_its_last_page(
    data_socket: socket.socket,
    log_pipe: tuple[int, int],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against rows that are dropped because the connection can't be reused."""
    monkeypatch.setattr(early, "LIBRARIES", ())
    raw = early_parts.page([early_parts.item(row) for row in early_parts.ROWS], False)
    head = b"HTTP/1.1 200 OK\r\n"
    store = early_parts.ScriptedServer(
        raw.replace(head, head + b"Connection: close\r\n")
    )
    carrier = early_parts.carrier(log_pipe[1])
    early.StartupForwarder(carrier, data_socket, clock.now_ms()).run(store.address)
    store.end()
    assert carrier.parts.replica.revision == 7


def test_libraries_are_imported_while_the_store_answers(
    data_socket: socket.socket,
    log_pipe: tuple[int, int],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a start that waits for the store with an idle processor."""
    imported: list[bool] = []
    carrier = early_parts.carrier(log_pipe[1])

    def import_module(name: str) -> None:
        imported.append(carrier.started)
        time.sleep(0.1)

    monkeypatch.setattr(importlib, "import_module", import_module)
    monkeypatch.setattr(early, "LIBRARIES", ("one",) * 8)
    store = early_parts.SlowStore(0.06, *early_parts.ROWS)
    early.StartupForwarder(carrier, data_socket, clock.now_ms()).run(store.address)
    store.end()
    assert not imported[0]
    assert imported[-1]


def test_vm_with_an_answering_peer_does_not_list_the_store(
    data_socket: socket.socket,
    log_pipe: tuple[int, int],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a listing of the store for each of hundreds of restarts."""
    monkeypatch.setattr(early, "LIBRARIES", ())
    peer = StandInPeer(*_offer(300, *early_parts.ROWS))
    carrier = early_parts.carrier(log_pipe[1])
    forwarder = early.StartupForwarder(
        carrier, data_socket, clock.now_ms(), [peer.address]
    )
    forwarder.run(offer_parts.unused_address())
    peer.end()
    replica = carrier.parts.replica
    assert replica.revision == 7
    assert 300 <= replica.age_ms(clock.now_ms()) < 2000
    assert forwarder.members == (peers.Member("10.0.0.8", "z1"),)
    assert carrier.started
    assert b"early_read_failed" not in os.read(log_pipe[0], 65536)


def test_old_rows_of_a_peer_are_used_while_the_store_is_unavailable(
    data_socket: socket.socket,
    log_pipe: tuple[int, int],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a VM that serves no caller until the store is available."""
    monkeypatch.setattr(early, "LIBRARIES", ())
    peer = StandInPeer(*_offer(9000, *early_parts.ROWS))
    carrier = early_parts.carrier(log_pipe[1])
    early.StartupForwarder(carrier, data_socket, clock.now_ms(), [peer.address]).run(
        offer_parts.unused_address()
    )
    peer.end()
    assert carrier.started
    assert 9000 <= carrier.parts.replica.age_ms(clock.now_ms()) < 9400
    assert b"early_read_failed" in os.read(log_pipe[0], 65536)


def test_silent_seeds_do_not_block_the_start(
    data_socket: socket.socket,
    log_pipe: tuple[int, int],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a start that waits for each seed after a power loss of all VMs.

    Seeds without power don't even refuse connections; here their queues are full.
    """
    monkeypatch.setattr(early, "LIBRARIES", ())
    with contextlib.ExitStack() as stack:
        silent_seeds = [stack.enter_context(early_parts.full_queue()) for _ in range(3)]
        pages = early_parts.PagedStore(*early_parts.ROWS)
        carrier = early_parts.carrier(log_pipe[1])
        early.StartupForwarder(carrier, data_socket, clock.now_ms(), silent_seeds).run(
            pages.address
        )
        pages.end()
    assert carrier.started
    # All seeds time out together. If they were tried one after the other, only some
    # would be tried.
    assert os.read(log_pipe[0], 65536).count(b"TimeoutError: connect") == 3


@pytest.mark.parametrize(
    "strings",
    [(), (b"x", b"y"), _offer(0), (b"\xff" * 40,), (b"x", b"y", b"z")],
    ids=repr,
)
def test_store_is_listed_when_a_peer_has_no_valid_answer(
    data_socket: socket.socket,
    log_pipe: tuple[int, int],
    monkeypatch: pytest.MonkeyPatch,
    strings: tuple[bytes, ...],
) -> None:
    """Guards against a peer that has no rows or sends garbage."""
    monkeypatch.setattr(early, "LIBRARIES", ())
    peer, pages = StandInPeer(*strings), early_parts.PagedStore(*early_parts.ROWS)
    carrier = early_parts.carrier(log_pipe[1])
    forwarder = early.StartupForwarder(
        carrier,
        data_socket,
        clock.now_ms(),
        [offer_parts.unused_address(), peer.address],
    )
    forwarder.run(pages.address)
    peer.end()
    pages.end()
    assert carrier.parts.replica.revision == 7
    assert forwarder.members == ()


def test_all_listed_libraries_can_be_imported() -> None:
    """Guards against a library release that moves a module and breaks the start."""
    for name in early.LIBRARIES:
        importlib.import_module(name)


def _with_bytes(name: str, revision: int, service: bytes) -> source.Row:
    row = cookie_parts.target_row(name, revision, service="placeholder")
    return row._replace(value=(row.value or b"").replace(b"placeholder", service))


UNREADABLE_ROWS: typing.Final = (
    _with_bytes("i-0b", 3, b"half-\xed\xa0\xbd"),
    _with_bytes("i-0c", 4, b"half-\\ud83d"),
    cookie_parts.target_row("i-0d", 5, concurrency=10**400),
    source.Row("servers/x", b"\xff\xfe", 6),
)


@pytest.mark.parametrize("source_name", ["store", "peer"])
def test_unreadable_entries_do_not_end_the_start(
    data_socket: socket.socket,
    log_pipe: tuple[int, int],
    monkeypatch: pytest.MonkeyPatch,
    source_name: str,
) -> None:
    """Guards against another writer's entry that keeps every VM from starting."""
    monkeypatch.setattr(early, "LIBRARIES", ())
    rows = (*early_parts.ROWS, *UNREADABLE_ROWS)
    peer: early_parts.OneConnectionServer
    if source_name == "peer":
        peer = StandInPeer(*_offer(300, *rows))
    else:
        peer = early_parts.PagedStore(*rows)
    seeds = [peer.address] if source_name == "peer" else []
    unused = offer_parts.unused_address()
    carrier = early_parts.carrier(log_pipe[1])
    early.StartupForwarder(carrier, data_socket, clock.now_ms(), seeds).run(
        unused if seeds else peer.address
    )
    peer.end()
    assert carrier.started
    assert [item.name for item in carrier.parts.catalog.targets] == ["i-0a"]
    text = early_parts.log_text(carrier, log_pipe)
    assert text.count(b"event=entry_refused") == len(UNREADABLE_ROWS)
    assert b"event=target_known" in text
