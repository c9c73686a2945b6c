"""Tests of forwarding packets before the libraries are imported."""

import abc
import base64
import contextlib
import importlib
import json
import os
import socket
import struct
import threading
import time
import typing

import pytest

from eelgrasswick.cookie import (
    carrying,
    clock,
    model,
    offer,
    peers,
    settings,
    source,
)
from eelgrasswick.platform import early, entries, segments
from tests import cookie_parts, entry_parts

HOST: typing.Final = "127.0.0.1"
DESTINATION: typing.Final = entry_parts.host(9)
WAIT_S: typing.Final = 10.0


def _item(row: source.Row) -> dict[str, object]:
    value = base64.b64encode(row.value or b"").decode()
    return {"key": row.key, "value": value, "revision": row.revision}


def _page(items: typing.Sequence[object], more: bool) -> bytes:
    body = {"items": items, "has_more": more, "store_revision": 7}
    raw = json.dumps(body).encode()
    head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(raw)}\r\n\r\n"
    return head.encode() + raw


def _answer(
    connection: socket.socket, items: typing.Sequence[object], more: bool
) -> str:
    request = connection.recv(65536).decode()
    connection.sendall(_page(items, more))
    return request.split("\r\n", 1)[0]


class OneConnectionServer(abc.ABC):
    """A server that answers one connection in a thread."""

    def __init__(self) -> None:
        """Create a server that listens."""
        self._socket = socket.create_server((HOST, 0))
        self._thread = threading.Thread(target=self._run)
        self._thread.start()

    @property
    def address(self) -> model.Address:
        """The address on which the server listens."""
        return model.Address(HOST, self._socket.getsockname()[1])

    def end(self) -> None:
        """Wait until the connection is answered, and close the socket."""
        self._thread.join()
        self._socket.close()

    def _run(self) -> None:
        connection, _ = self._socket.accept()
        with connection:
            self._answer(connection)

    @abc.abstractmethod
    def _answer(self, connection: socket.socket) -> None:
        """Answer a connection."""


class PagedStore(OneConnectionServer):
    """A store that answers two calls with one page each, the configuration first."""

    def __init__(self, *rows: source.Row) -> None:
        """Create a store that answers with the given rows."""
        self.requests: list[str] = []
        self._items = [_item(row) for row in rows]
        super().__init__()

    def _answer(self, connection: socket.socket) -> None:
        self.requests.append(_answer(connection, self._items[:1], True))
        self.requests.append(_answer(connection, self._items[1:], False))


@pytest.fixture
def data_socket() -> typing.Iterator[socket.socket]:
    """Return the data socket of a VM that starts."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as opened:
        opened.setblocking(False)
        opened.bind((HOST, 0))
        yield opened


@pytest.fixture
def server() -> typing.Iterator[socket.socket]:
    """Return the socket of a target."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as opened:
        opened.settimeout(WAIT_S)
        opened.bind((DESTINATION, 0))
        yield opened


@pytest.fixture
def log() -> typing.Iterator[tuple[int, int]]:
    """Return the two ends of a pipe for the log."""
    pipe_ends = os.pipe()
    yield pipe_ends
    for end in pipe_ends:
        with contextlib.suppress(OSError):
            os.close(end)


def _carrier(descriptor: int) -> carrying.Carrier:
    text = "[vm]\nname = vm1\nzone = z1\n"
    for key in ("data", "ready", "peer", "metrics"):
        text += f"{key} = {HOST}:1\n"
    loaded = settings.read(text + f"[store]\naddress = {HOST}:1\n")
    return carrying.build_carrier(
        loaded, segments.Codec(), entries.Reader(), descriptor
    )


def test_packets_are_forwarded_between_the_imports(
    data_socket: socket.socket,
    server: socket.socket,
    log: tuple[int, int],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against packets that are not read until the libraries are imported.

    All VMs lose power, and callers' packets arrive while they start again. On a small
    VM the imports take longer than many deadlines.
    """
    address = f"{DESTINATION}:{server.getsockname()[1]}"
    pages = PagedStore(
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
    carrier = _carrier(log[1])
    early.StartupForwarder(carrier, data_socket, clock.now_ms()).run(pages.address)
    pages.end()
    assert forwarded_ports == [40_001, 40_002]
    assert carrier.parts.replica.revision == 7
    assert "after=op%2Fconfig" in pages.requests[1]


def test_silent_store_does_not_block_the_start(
    data_socket: socket.socket, log: tuple[int, int], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a VM that waits long for a store that doesn't answer.

    The store accepts the connection and sends nothing. The VM starts without it and
    receives the rows from other VMs.
    """
    monkeypatch.setattr(early, "STALL_S", 0.05)
    with socket.create_server((HOST, 0)) as silent:
        carrier = _carrier(log[1])
        address = model.Address(HOST, silent.getsockname()[1])
        early.StartupForwarder(carrier, data_socket, clock.now_ms()).run(address)
    assert not carrier.started
    carrier.parts.log.flush()
    assert b"early_read_failed" in os.read(log[0], 65536)


class SlowStore(OneConnectionServer):
    """A store whose link is full, so that its only page arrives in parts."""

    def __init__(self, pause_s: float, *rows: source.Row) -> None:
        """Create a store that sends the rows in parts, one after each pause."""
        self._pause_s = pause_s
        self._items = [_item(row) for row in rows]
        super().__init__()

    def _answer(self, connection: socket.socket) -> None:
        connection.recv(65536)
        raw = _page(self._items, False)
        size = -(-len(raw) // 8)
        for start in range(0, len(raw), size):
            time.sleep(self._pause_s)
            connection.sendall(raw[start : start + size])


class ScriptedServer(OneConnectionServer):
    """A server that answers the first request with prepared bytes."""

    def __init__(self, raw: bytes) -> None:
        """Create a server that answers with the given bytes."""
        self._raw = raw
        super().__init__()

    def _answer(self, connection: socket.socket) -> None:
        connection.recv(65536)
        connection.sendall(self._raw)


class StandInPeer(ScriptedServer):
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


ROWS: typing.Final = (
    cookie_parts.config_row(1),
    cookie_parts.target_row("i-0a", 2),
)


def _unused() -> model.Address:
    with socket.create_server((HOST, 0)) as opened:
        return model.Address(HOST, opened.getsockname()[1])


def test_listing_that_arrives_slowly_is_read_to_its_end(
    data_socket: socket.socket, log: tuple[int, int], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against hundreds of VMs that list the store together and all give up.

    Together they fill the store's link, so that each listing takes longer than one
    alone.
    """
    monkeypatch.setattr(early, "LIBRARIES", ())
    store = SlowStore(0.04, *ROWS)
    carrier = _carrier(log[1])
    early.StartupForwarder(carrier, data_socket, clock.now_ms()).run(store.address)
    store.end()
    assert carrier.parts.replica.revision == 7
    assert carrier.started


def test_rows_are_kept_when_the_store_closes_after_its_last_page(
    data_socket: socket.socket, log: tuple[int, int], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against rows that are dropped because the connection can't be reused."""
    monkeypatch.setattr(early, "LIBRARIES", ())
    raw = _page([_item(row) for row in ROWS], False)
    head = b"HTTP/1.1 200 OK\r\n"
    store = ScriptedServer(raw.replace(head, head + b"Connection: close\r\n"))
    carrier = _carrier(log[1])
    early.StartupForwarder(carrier, data_socket, clock.now_ms()).run(store.address)
    store.end()
    assert carrier.parts.replica.revision == 7


def test_libraries_are_imported_while_the_store_answers(
    data_socket: socket.socket, log: tuple[int, int], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a start that waits for the store with an idle processor."""
    imported: list[bool] = []
    carrier = _carrier(log[1])

    def import_module(name: str) -> None:
        imported.append(carrier.started)
        time.sleep(0.1)

    monkeypatch.setattr(importlib, "import_module", import_module)
    monkeypatch.setattr(early, "LIBRARIES", ("one",) * 8)
    store = SlowStore(0.06, *ROWS)
    early.StartupForwarder(carrier, data_socket, clock.now_ms()).run(store.address)
    store.end()
    assert not imported[0]
    assert imported[-1]


def test_vm_with_an_answering_peer_does_not_list_the_store(
    data_socket: socket.socket, log: tuple[int, int], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a listing of the store for each of hundreds of restarts."""
    monkeypatch.setattr(early, "LIBRARIES", ())
    peer = StandInPeer(*_offer(300, *ROWS))
    carrier = _carrier(log[1])
    forwarder = early.StartupForwarder(
        carrier, data_socket, clock.now_ms(), [peer.address]
    )
    forwarder.run(_unused())
    peer.end()
    replica = carrier.parts.replica
    assert replica.revision == 7
    assert 300 <= replica.age_ms(clock.now_ms()) < 2000
    assert forwarder.members == (peers.Member("10.0.0.8", "z1"),)
    assert carrier.started
    assert b"early_read_failed" not in os.read(log[0], 65536)


def test_old_rows_of_a_peer_are_used_while_the_store_is_unavailable(
    data_socket: socket.socket, log: tuple[int, int], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a VM that serves no caller until the store is available."""
    monkeypatch.setattr(early, "LIBRARIES", ())
    peer = StandInPeer(*_offer(9000, *ROWS))
    carrier = _carrier(log[1])
    early.StartupForwarder(carrier, data_socket, clock.now_ms(), [peer.address]).run(
        _unused()
    )
    peer.end()
    assert carrier.started
    assert 9000 <= carrier.parts.replica.age_ms(clock.now_ms()) < 9400
    assert b"early_read_failed" in os.read(log[0], 65536)


def test_silent_seeds_do_not_block_the_start(
    data_socket: socket.socket, log: tuple[int, int], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a start that waits for each seed after a power loss of all VMs.

    Seeds without power don't even refuse connections; here their queues are full.
    """
    monkeypatch.setattr(early, "LIBRARIES", ())
    with contextlib.ExitStack() as stack:
        silent_seeds = [stack.enter_context(_full_queue()) for _ in range(3)]
        pages = PagedStore(*ROWS)
        carrier = _carrier(log[1])
        early.StartupForwarder(carrier, data_socket, clock.now_ms(), silent_seeds).run(
            pages.address
        )
        pages.end()
    assert carrier.started
    # All seeds time out together. If they were tried one after the other, only some
    # would be tried.
    assert os.read(log[0], 65536).count(b"TimeoutError: connect") == 3


@contextlib.contextmanager
def _full_queue() -> typing.Iterator[model.Address]:
    """Return an address where connections hang because its queue is full."""
    with socket.create_server((HOST, 0), backlog=0) as listening:
        address = model.Address(HOST, listening.getsockname()[1])
        waiting = [socket.socket() for _ in range(4)]
        for item in waiting:
            item.setblocking(False)
            item.connect_ex(address)
        yield address
        for item in waiting:
            item.close()


@pytest.mark.parametrize(
    "strings", [(), (b"x", b"y"), _offer(0), (b"\xff" * 40,)], ids=repr
)
def test_store_is_listed_when_a_peer_has_no_valid_answer(
    data_socket: socket.socket,
    log: tuple[int, int],
    monkeypatch: pytest.MonkeyPatch,
    strings: tuple[bytes, ...],
) -> None:
    """Guards against a peer that has no rows or sends garbage."""
    monkeypatch.setattr(early, "LIBRARIES", ())
    peer, pages = StandInPeer(*strings), PagedStore(*ROWS)
    carrier = _carrier(log[1])
    forwarder = early.StartupForwarder(
        carrier, data_socket, clock.now_ms(), [_unused(), peer.address]
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
