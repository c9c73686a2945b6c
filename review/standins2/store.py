"""A stand-in for the platform's store: rows, revisions, watches."""

import asyncio
import base64
import contextlib
import json
import time
import typing
import urllib.parse

WATCH_PATH: typing.Final = "/api/kv-watch"
RANGE_PATH: typing.Final = "/api/kv-range"
# Three heartbeats of a server without a write end its entry.
ENTRY_TTL_S: typing.Final = 2.31


class Row(typing.NamedTuple):
    """A change of a key; the value is None for a deletion."""

    key: str
    value: bytes | None
    revision: int


class Store:
    """Rows by key, their history, and the connections of callers.

    Attributes:
        revision: Revision of the last change.
        calls: Calls so far by the IP address of the caller.
    """

    def __init__(self) -> None:
        """Create an empty store."""
        self.revision = 1
        self.calls: dict[str, int] = {}
        self._rows: dict[str, Row] = {}
        self._history: list[Row] = []
        self._changed = asyncio.Event()
        self._written_s: dict[str, float] = {}
        self._server: asyncio.Server | None = None
        self._connections: set[asyncio.Task[None]] = set()

    async def start(self, host: str, port: int) -> None:
        """Listen on an address."""
        self._server = await asyncio.start_server(self._serve, host, port)

    def close(self) -> None:
        """Stop to listen, and end all connections."""
        if self._server is not None:
            self._server.close()
        for task in self._connections:
            task.cancel()

    def put(self, key: str, value: bytes | None) -> int:
        """Write or delete a key; return the revision, which confirms the change."""
        present = self._rows.get(key)
        if (present.value if present else None) == value:
            return self.revision
        self.revision += 1
        row = Row(key, value, self.revision)
        self._history.append(row)
        if value is None:
            del self._rows[key]
        else:
            self._rows[key] = row
        self._changed.set()
        self._changed = asyncio.Event()
        return self.revision

    def heartbeat(self, key: str, value: bytes) -> None:
        """Write the entry of a server, which lasts for ``ENTRY_TTL_S``."""
        self._written_s[key] = time.monotonic()
        self.put(key, value)

    def expire(self) -> None:
        """Delete the entries of servers that have been silent for too long."""
        for key, at_s in list(self._written_s.items()):
            if time.monotonic() - at_s > ENTRY_TTL_S:
                del self._written_s[key]
                self.put(key, None)

    def remove(self, key: str) -> None:
        """Delete the entry of a server that has left."""
        self._written_s.pop(key, None)
        if key in self._rows:
            self.put(key, None)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._connections.add(task)
        host = writer.get_extra_info("peername")[0]
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                target = head.split(b" ", 2)[1].decode()
                self.calls[host] = self.calls.get(host, 0) + 1
                status, body = await self._answer(target)
                data = json.dumps(body).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            return
        finally:
            self._connections.discard(task)
            writer.close()

    async def _answer(self, target: str) -> tuple[int, dict[str, typing.Any]]:
        path, _, query = target.partition("?")
        fields = dict(urllib.parse.parse_qsl(query))
        if path == RANGE_PATH:
            items = [_item(row) for row in sorted(self._rows.values())]
            return 200, {
                "items": items,
                "has_more": False,
                "store_revision": self.revision,
            }
        if path == WATCH_PATH:
            after = int(fields["after"])
            if self.revision <= after:
                changed = self._changed
                wait_s = int(fields["wait_ms"]) / 1000
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(changed.wait(), wait_s)
            events = [_item(row) for row in self._history if row.revision > after]
            return 200, {"events": events, "store_revision": self.revision}
        return 404, {}


def _item(row: Row) -> dict[str, typing.Any]:
    if row.value is None:
        return {"key": row.key, "revision": row.revision, "deleted": True}
    return {
        "key": row.key,
        "value": base64.b64encode(row.value).decode(),
        "revision": row.revision,
        "created": row.revision,
        "lease": 0,
    }
