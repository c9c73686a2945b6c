"""Packets that are carried before the libraries are imported."""

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
    asked = connection.recv(65536).decode()
    connection.sendall(_page(items, more))
    return asked.split("\r\n", 1)[0]


class Answering(abc.ABC):
    """Listens, and answers one connection in a thread."""

    def __init__(self) -> None:
        """Begin to listen."""
        self._socket = socket.create_server((HOST, 0))
        self._thread = threading.Thread(target=self._run)
        self._thread.start()

    @property
    def address(self) -> model.Address:
        """Where it listens."""
        return model.Address(HOST, self._socket.getsockname()[1])

    def end(self) -> None:
        """Wait for the connection to be answered, and close."""
        self._thread.join()
        self._socket.close()

    def _run(self) -> None:
        connection, _ = self._socket.accept()
        with connection:
            self._answer(connection)

    @abc.abstractmethod
    def _answer(self, connection: socket.socket) -> None:
        """Answer a connection."""


class Pages(Answering):
    """A store that answers two calls, the configuration first."""

    def __init__(self, *rows: source.Row) -> None:
        """Answer with some rows."""
        self.asked: list[str] = []
        self._items = [_item(row) for row in rows]
        super().__init__()

    def _answer(self, connection: socket.socket) -> None:
        self.asked.append(_answer(connection, self._items[:1], True))
        self.asked.append(_answer(connection, self._items[1:], False))


@pytest.fixture
def bound() -> typing.Iterator[socket.socket]:
    """Return the socket of a VM that starts."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as made:
        made.setblocking(False)
        made.bind((HOST, 0))
        yield made


@pytest.fixture
def server() -> typing.Iterator[socket.socket]:
    """Return the socket of a target."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as made:
        made.settimeout(WAIT_S)
        made.bind((DESTINATION, 0))
        yield made


@pytest.fixture
def log() -> typing.Iterator[tuple[int, int]]:
    """Return the two ends of a pipe for the log."""
    ends = os.pipe()
    yield ends
    for end in ends:
        with contextlib.suppress(OSError):
            os.close(end)


def _carrier(descriptor: int) -> carrying.Carrier:
    text = "[vm]\nname = vm1\nzone = z1\n"
    for key in ("data", "ready", "peer", "metrics"):
        text += f"{key} = {HOST}:1\n"
    loaded = settings.read(text + f"[store]\naddress = {HOST}:1\n")
    return carrying.assemble(loaded, segments.Codec(), entries.Reader(), descriptor)


def test_packets_are_carried_before_the_libraries_are_there(
    bound: socket.socket,
    server: socket.socket,
    log: tuple[int, int],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """All VMs lose power, and callers' packets come while they start again.

    Until the libraries were imported nobody read them; on a small VM that is longer
    than many a request may take.
    """
    address = f"{DESTINATION}:{server.getsockname()[1]}"
    pages = Pages(
        cookie_parts.config_row(1), cookie_parts.target_row("i-0a", 2, address=address)
    )
    first = cookie_parts.packet(cookie_parts.SYN, 40_001)
    second = cookie_parts.packet(cookie_parts.SYN, 40_002)
    took: list[int] = []

    def import_module(name: str) -> None:
        took.append(cookie_parts.caller_port_of(server.recv(2000)))
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as caller:
            caller.sendto(second, bound.getsockname())

    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as caller:
        caller.sendto(first, bound.getsockname())
    monkeypatch.setattr(importlib, "import_module", import_module)
    monkeypatch.setattr(early, "LIBRARIES", ("one", "two"))
    carrier = _carrier(log[1])
    early.Early(carrier, bound, clock.now_ms()).run(pages.address)
    pages.end()
    assert took == [40_001, 40_002]
    assert carrier.parts.knowledge.revision == 7
    assert "after=op%2Fconfig" in pages.asked[1]


def test_store_that_is_away_holds_up_no_start(
    bound: socket.socket, log: tuple[int, int], monkeypatch: pytest.MonkeyPatch
) -> None:
    """The store accepts the connection and says nothing.

    The VM starts without it and hears from other VMs; it must not wait for long.
    """
    monkeypatch.setattr(early, "STALL_S", 0.05)
    with socket.create_server((HOST, 0)) as silent:
        carrier = _carrier(log[1])
        address = model.Address(HOST, silent.getsockname()[1])
        early.Early(carrier, bound, clock.now_ms()).run(address)
    assert not carrier.began
    carrier.parts.log.flush()
    assert b"early_read_failed" in os.read(log[0], 65536)


class Trickle(Answering):
    """A store whose link is full, so that its one page comes bit by bit."""

    def __init__(self, pause_s: float, *rows: source.Row) -> None:
        """Answer with some rows, a part after each pause."""
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


class Scripted(Answering):
    """Answers the first question with prepared bytes."""

    def __init__(self, raw: bytes) -> None:
        """Answer with some bytes."""
        self._raw = raw
        super().__init__()

    def _answer(self, connection: socket.socket) -> None:
        connection.recv(65536)
        connection.sendall(self._raw)


class Peer(Scripted):
    """Another VM that answers one that lacks rows."""

    def __init__(self, *strings: bytes) -> None:
        """Answer with some strings."""
        super().__init__(
            b"".join(struct.pack(">I", len(item)) + item for item in strings)
        )


def _offer(age_ms: int, *rows: source.Row) -> tuple[bytes, bytes]:
    members = (peers.Member("10.0.0.8", "z1"),)
    changes = source.Changes(rows, 7, 0)
    made = offer.OfferEncoder(
        lambda _: changes, lambda: offer.SenderState(age_ms, members)
    )
    return made.encode(0)


ROWS: typing.Final = (
    cookie_parts.config_row(1),
    cookie_parts.target_row("i-0a", 2),
)


def _unused() -> model.Address:
    with socket.create_server((HOST, 0)) as made:
        return model.Address(HOST, made.getsockname()[1])


def test_listing_that_comes_slowly_is_read_to_its_end(
    bound: socket.socket, log: tuple[int, int], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against hundreds of VMs that list the store together and all give up.

    Together they fill its link, so that each answer takes longer than one alone.
    """
    monkeypatch.setattr(early, "LIBRARIES", ())
    store = Trickle(0.04, *ROWS)
    carrier = _carrier(log[1])
    early.Early(carrier, bound, clock.now_ms()).run(store.address)
    store.end()
    assert carrier.parts.knowledge.revision == 7
    assert carrier.began


def test_store_that_closes_after_its_last_page_has_told_all(
    bound: socket.socket, log: tuple[int, int], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against rows that are dropped as the connection can't be used again."""
    monkeypatch.setattr(early, "LIBRARIES", ())
    raw = _page([_item(row) for row in ROWS], False)
    head = b"HTTP/1.1 200 OK\r\n"
    store = Scripted(raw.replace(head, head + b"Connection: close\r\n"))
    carrier = _carrier(log[1])
    early.Early(carrier, bound, clock.now_ms()).run(store.address)
    store.end()
    assert carrier.parts.knowledge.revision == 7


def test_libraries_are_imported_while_the_store_answers(
    bound: socket.socket, log: tuple[int, int], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a start that waits for the store with its processor idle."""
    imported: list[bool] = []
    carrier = _carrier(log[1])

    def import_module(name: str) -> None:
        imported.append(carrier.began)
        time.sleep(0.1)

    monkeypatch.setattr(importlib, "import_module", import_module)
    monkeypatch.setattr(early, "LIBRARIES", ("one",) * 8)
    store = Trickle(0.06, *ROWS)
    early.Early(carrier, bound, clock.now_ms()).run(store.address)
    store.end()
    assert not imported[0]
    assert imported[-1]


def test_vm_that_starts_while_others_serve_asks_no_store(
    bound: socket.socket, log: tuple[int, int], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a listing of the store for each of hundreds of restarts."""
    monkeypatch.setattr(early, "LIBRARIES", ())
    peer = Peer(*_offer(300, *ROWS))
    carrier = _carrier(log[1])
    starting = early.Early(carrier, bound, clock.now_ms(), [peer.address])
    starting.run(_unused())
    peer.end()
    known = carrier.parts.knowledge
    assert known.revision == 7
    assert 300 <= known.age_ms(clock.now_ms()) < 2000
    assert starting.members == (peers.Member("10.0.0.8", "z1"),)
    assert carrier.began
    assert b"early_read_failed" not in os.read(log[0], 65536)


def test_old_rows_are_used_while_the_store_is_away(
    bound: socket.socket, log: tuple[int, int], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a VM that serves nobody until the store is back."""
    monkeypatch.setattr(early, "LIBRARIES", ())
    peer = Peer(*_offer(9000, *ROWS))
    carrier = _carrier(log[1])
    early.Early(carrier, bound, clock.now_ms(), [peer.address]).run(_unused())
    peer.end()
    assert carrier.began
    assert 9000 <= carrier.parts.knowledge.age_ms(clock.now_ms()) < 9400
    assert b"early_read_failed" in os.read(log[0], 65536)


def test_dark_seeds_hold_up_no_start(
    bound: socket.socket, log: tuple[int, int], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a start that waits for each seed after a loss of power of all.

    Seeds without power do not even refuse; here their queues are full.
    """
    monkeypatch.setattr(early, "LIBRARIES", ())
    with contextlib.ExitStack() as held:
        dark = [held.enter_context(_full_queue()) for _ in range(3)]
        pages = Pages(*ROWS)
        carrier = _carrier(log[1])
        early.Early(carrier, bound, clock.now_ms(), dark).run(pages.address)
        pages.end()
    assert carrier.began
    # All are given up together; one after the other only some would be tried.
    assert os.read(log[0], 65536).count(b"TimeoutError: connect") == 3


@contextlib.contextmanager
def _full_queue() -> typing.Iterator[model.Address]:
    """Return an address where connections hang, as its queue is full."""
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
def test_peer_without_an_answer_leaves_the_store(
    bound: socket.socket,
    log: tuple[int, int],
    monkeypatch: pytest.MonkeyPatch,
    strings: tuple[bytes, ...],
) -> None:
    """Guards against a peer that knows nothing or sends garbage."""
    monkeypatch.setattr(early, "LIBRARIES", ())
    peer, pages = Peer(*strings), Pages(*ROWS)
    carrier = _carrier(log[1])
    starting = early.Early(carrier, bound, clock.now_ms(), [_unused(), peer.address])
    starting.run(pages.address)
    peer.end()
    pages.end()
    assert carrier.parts.knowledge.revision == 7
    assert starting.members == ()


def test_libraries_are_all_there() -> None:
    """A library's next release may move a module.

    The VM would fail at its start.
    """
    for name in early.LIBRARIES:
        importlib.import_module(name)
