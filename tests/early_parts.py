"""Stand-ins and builders for tests of a VM that starts."""

import abc
import base64
import contextlib
import json
import os
import socket
import threading
import time
import typing

import pytest

from eelgrasswick.cookie import carrying, model, settings, source
from eelgrasswick.platform import entries, segments
from tests import cookie_parts

HOST: typing.Final = "127.0.0.1"
WAIT_S: typing.Final = 10.0
ROWS: typing.Final = (
    cookie_parts.config_row(1),
    cookie_parts.target_row("i-0a", 2),
)


def item(row: source.Row) -> dict[str, object]:
    """Return a row as the store lists it."""
    value = base64.b64encode(row.value or b"").decode()
    return {"key": row.key, "value": value, "revision": row.revision}


def page(items: typing.Sequence[object], more: bool) -> bytes:
    """Return the response with a page of rows."""
    body = {"items": items, "has_more": more, "store_revision": 7}
    raw = json.dumps(body).encode()
    head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(raw)}\r\n\r\n"
    return head.encode() + raw


def _answer(
    connection: socket.socket, items: typing.Sequence[object], more: bool
) -> str:
    request = connection.recv(65536).decode()
    connection.sendall(page(items, more))
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
        self._items = [item(row) for row in rows]
        super().__init__()

    def _answer(self, connection: socket.socket) -> None:
        self.requests.append(_answer(connection, self._items[:1], True))
        self.requests.append(_answer(connection, self._items[1:], False))


class SlowStore(OneConnectionServer):
    """A store whose link is full, so that its only page arrives in parts."""

    def __init__(self, pause_s: float, *rows: source.Row) -> None:
        """Create a store that sends the rows in parts, one after each pause."""
        self._pause_s = pause_s
        self._items = [item(row) for row in rows]
        super().__init__()

    def _answer(self, connection: socket.socket) -> None:
        connection.recv(65536)
        raw = page(self._items, False)
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


class WaitingStore(OneConnectionServer):
    """A store that sends its only page after an event, and half of it before.

    Attributes:
        ended: Set once the page is sent, or the VM has closed the connection.
        closed_by_vm: Whether the VM closed the connection before the page was sent.
    """

    def __init__(self, event: threading.Event | None, *rows: source.Row) -> None:
        """Create a store whose listing ends after an event, or never without one."""
        self.ended = threading.Event()
        self.closed_by_vm = False
        self._event = event
        self._items = [item(row) for row in rows]
        super().__init__()

    def _answer(self, connection: socket.socket) -> None:
        connection.settimeout(WAIT_S)
        connection.recv(65536)
        raw = page(self._items, False)
        connection.sendall(raw[: len(raw) // 2])
        if self._event is not None:
            self._event.wait(WAIT_S)
            connection.sendall(raw[len(raw) // 2 :])
        else:
            with contextlib.suppress(ConnectionResetError):
                self.closed_by_vm = not connection.recv(65536)
        self.ended.set()


@pytest.fixture
def data_socket() -> typing.Iterator[socket.socket]:
    """Return the data socket of a VM that starts."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as opened:
        opened.setblocking(False)
        opened.bind((HOST, 0))
        yield opened


@pytest.fixture
def log_pipe() -> typing.Iterator[tuple[int, int]]:
    """Return the two ends of a pipe for the log."""
    pipe_ends = os.pipe()
    yield pipe_ends
    for end in pipe_ends:
        with contextlib.suppress(OSError):
            os.close(end)


def carrier(descriptor: int) -> carrying.Carrier:
    """Return the carrier of a VM that logs to a descriptor."""
    text = "[vm]\nname = vm1\nzone = z1\n"
    for key in ("data", "ready", "peer", "metrics"):
        text += f"{key} = {HOST}:1\n"
    loaded = settings.read(text + f"[store]\naddress = {HOST}:1\n")
    return carrying.build_carrier(
        loaded, segments.Codec(), entries.Reader(), descriptor
    )


def log_text(starting: carrying.Carrier, log_pipe: tuple[int, int]) -> bytes:
    """Return the log of a carrier that was not yet read."""
    starting.parts.log.write("end")
    starting.parts.log.flush()
    return os.read(log_pipe[0], 65536)


@contextlib.contextmanager
def full_queue() -> typing.Iterator[model.Address]:
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
