"""Packets that are carried before the libraries are imported."""

import base64
import contextlib
import importlib
import json
import os
import socket
import threading
import typing

import pytest

from eelgrasswick.cookie import carrying, clock, model, settings, source
from eelgrasswick.platform import early, entries, segments
from tests import cookie_parts, entry_parts

HOST: typing.Final = "127.0.0.1"
DESTINATION: typing.Final = entry_parts.host(9)
WAIT_S: typing.Final = 10.0


def _item(row: source.Row) -> dict[str, object]:
    value = base64.b64encode(row.value or b"").decode()
    return {"key": row.key, "value": value, "revision": row.revision}


def _answer(connection: socket.socket, items: list[object], more: bool) -> str:
    asked = connection.recv(65536).decode()
    body = {"items": items, "has_more": more, "store_revision": 7}
    raw = json.dumps(body).encode()
    head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(raw)}\r\n\r\n"
    connection.sendall(head.encode() + raw)
    return asked.split("\r\n", 1)[0]


class Pages:
    """A store that answers two calls, the configuration first."""

    def __init__(self, *rows: source.Row) -> None:
        """Listen, and answer in a thread."""
        self.asked: list[str] = []
        self._items = [_item(row) for row in rows]
        self._socket = socket.create_server((HOST, 0))
        self._thread = threading.Thread(target=self._run)
        self._thread.start()

    @property
    def address(self) -> model.Address:
        """Where it listens."""
        return model.Address(HOST, self._socket.getsockname()[1])

    def end(self) -> None:
        """Wait for the calls and close."""
        self._thread.join()
        self._socket.close()

    def _run(self) -> None:
        connection, _ = self._socket.accept()
        with connection:
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
    monkeypatch.setattr(early, "READ_S", 0.05)
    with socket.create_server((HOST, 0)) as silent:
        carrier = _carrier(log[1])
        address = model.Address(HOST, silent.getsockname()[1])
        early.Early(carrier, bound, clock.now_ms()).run(address)
    assert not carrier.began
    carrier.parts.log.flush()
    assert b"early_read_failed" in os.read(log[0], 65536)


def test_libraries_are_all_there() -> None:
    """A library's next release may move a module.

    The VM would fail at its start.
    """
    for name in early.LIBRARIES:
        importlib.import_module(name)
