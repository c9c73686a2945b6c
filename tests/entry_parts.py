"""Entry VMs on loopback sockets, with a store in memory."""

import contextlib
import os
import random
import socket
import typing

from twisted.internet import defer
from twisted.internet import reactor as default_reactor

from eelgrasswick import errors
from eelgrasswick.cookie import carrying, clock, entry, settings, source
from eelgrasswick.platform import entries, segments
from eelgrasswick.soak import layout
from tests import turning

READY_PATH: typing.Final = "/ready"
DATA_PORT: typing.Final = 18172
_OFFSETS: typing.Final = {"ready": 1, "peer": 2, "metrics": 3}


# The address block stays reserved until this process ends, so that tests in other
# processes use other blocks.
_HELD: typing.Final = contextlib.ExitStack()
_BLOCK: typing.Final = _HELD.enter_context(layout.reserve_block())


def host(number: int) -> str:
    """Return a loopback address that no other test process uses."""
    return f"127.{_BLOCK}.1.{number}"


class MemoryStore(source.ChangeSource):
    """A store in memory.

    Attributes:
        rows: All rows by key.
        down: True makes every call fail.
        calls: Number of calls so far.
        revision: Revision of the last write.
    """

    def __init__(self, *rows: source.Row) -> None:
        """Create a store with some rows."""
        self.rows = {row.key: row for row in rows}
        self.down = False
        self.calls = 0
        self.revision = max((row.revision for row in rows), default=0)

    def write(self, row: source.Row) -> None:
        """Store a row, and adopt its revision."""
        self.rows[row.key] = row
        self.revision = row.revision

    async def read_all(self) -> source.Changes:
        """Return all rows; see the base class."""
        self._count_call()
        return source.Changes(tuple(self.rows.values()), self.revision, 0)

    async def changes(self, after: int, wait_ms: int) -> source.Changes:
        """Return the rows that changed; wait briefly if there are none."""
        self._count_call()
        if self.revision == after:
            await _sleep(0.05)
        rows = tuple(row for row in self.rows.values() if row.revision > after)
        return source.Changes(rows, self.revision, after)

    def _count_call(self) -> None:
        self.calls += 1
        if self.down:
            raise errors.StoreError("down")


def _sleep(duration_s: float) -> "defer.Deferred[None]":
    waiting: defer.Deferred[None] = defer.Deferred()
    reactor = typing.cast(typing.Any, default_reactor)
    reactor.callLater(duration_s, waiting.callback, None)
    return waiting


class RunningVm:
    """A running entry VM that writes its log to a pipe."""

    def __init__(
        self,
        host: str,
        store: MemoryStore,
        seeds: tuple[str, ...],
        waiting: socket.socket | None = None,
        waited_ms: int = 0,
    ) -> None:
        """Start a VM at a loopback address.

        Args:
            host: Its address.
            store: The store that it watches.
            seeds: Addresses of other VMs.
            waiting: A bound socket that queues callers' packets.
            waited_ms: Time since that socket was bound.
        """
        self.host = host
        text = f"[vm]\nname = vm-{host}\nzone = z1\ndata = {host}:{DATA_PORT}\n"
        for key, offset in _OFFSETS.items():
            text += f"{key} = {host}:{DATA_PORT + offset}\n"
        seed_list = ", ".join(f"{seed}:1" for seed in seeds)
        text += f"[store]\naddress = {host}:1\n[fleet]\nseeds = {seed_list}\n"
        self.text = text
        self._read, self._write = os.pipe()
        loaded = settings.read(text)
        carrier = carrying.build_carrier(
            loaded, segments.Codec(), entries.Reader(), self._write
        )
        parts = entry.Parts(
            carrier,
            store,
            READY_PATH,
            waiting,
            clock.now_ms() - waited_ms,
        )
        self.vm = entry.EntryVm(
            default_reactor,
            loaded,
            parts,
            random.Random(1),
        )
        self.vm.start()

    def log(self) -> list[str]:
        """Return the lines written since the last call."""
        self.vm.flush_log()
        os.set_blocking(self._read, False)
        try:
            return os.read(self._read, 1_000_000).decode().splitlines()
        except BlockingIOError:
            return []

    def get(self, key: str, path: str) -> bytes:
        """Return the response to a GET at one of its addresses, with headers."""
        with socket.create_connection(
            (self.host, DATA_PORT + _OFFSETS[key])
        ) as connection:
            connection.sendall(f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
            connection.setblocking(False)
            got = bytearray()
            turning.until(lambda: _received(connection, got), "an HTTP response")
            return bytes(got)

    def ready(self) -> bool:
        """Return True if the readiness probe succeeds."""
        return self.get("ready", READY_PATH).startswith(b"HTTP/1.1 200")

    def end(self) -> None:
        """Stop the VM's tasks, and close its sockets and its log."""
        turning.result(self.vm.close())
        os.close(self._write)
        os.close(self._read)


def _received(connection: socket.socket, got: bytearray) -> bool:
    try:
        got += connection.recv(65536)
    except BlockingIOError:
        return False
    return b"\r\n\r\n" in got
