"""A stand-in for the platform's store: linearizable keys, watches and a history."""

import asyncio
import base64
import contextlib
import json
import time
import typing
import urllib.parse

PAGE_ITEMS: typing.Final = 500
HISTORY_S: typing.Final = 20.0
ANSWER_S: typing.Final = 0.004


class Item(typing.NamedTuple):
    """A key as it was last written; ``value`` is None when it was deleted."""

    key: str
    value: bytes | None
    revision: int
    created: int
    at_s: float

    def body(self) -> dict[str, typing.Any]:
        """Return the item as the store sends it."""
        if self.value is None:
            return {"key": self.key, "revision": self.revision, "deleted": True}
        return {
            "key": self.key,
            "value": base64.b64encode(self.value).decode(),
            "revision": self.revision,
            "created": self.created,
            "lease": 0,
        }


class Store:
    """The store, which answers the VMs over HTTP.

    Operators and servers of a run write through ``put``.

    Attributes:
        revision: Revision of the last change.
    """

    def __init__(self) -> None:
        """Create an empty store."""
        self.revision = 1
        self._items: dict[str, Item] = {}
        self._history: list[Item] = []
        self._forgotten = 0
        self._changed: asyncio.Event = asyncio.Event()
        self._server: asyncio.Server | None = None

    def put(self, key: str, value: bytes | None) -> int:
        """Write or delete a key; return the revision that confirms it."""
        known = self._items.get(key)
        if (known.value if known else None) == value:
            return self.revision
        self.revision += 1
        created = known.created if known else self.revision
        item = Item(key, value, self.revision, created, time.monotonic())
        if value is None:
            del self._items[key]
        else:
            self._items[key] = item
        self._history.append(item)
        while time.monotonic() - self._history[0].at_s > HISTORY_S:
            self._forgotten = self._history.pop(0).revision
        self._changed.set()
        self._changed = asyncio.Event()
        return self.revision

    async def listen(self, host: str, port: int) -> None:
        """Serve the store's calls at an address."""
        self._server = await asyncio.start_server(self._serve, host, port)

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(
            ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError
        ):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                target = head.split(b" ", 2)[1].decode()
                path, _, query = target.partition("?")
                arguments = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
                status, body = await self._answer(path, arguments)
                await asyncio.sleep(ANSWER_S)
                content = json.dumps(body).encode()
                writer.write(
                    b"HTTP/1.1 %d x\r\nContent-Type: application/json\r\n"
                    b"Content-Length: %d\r\n\r\n" % (status, len(content)) + content
                )
                await writer.drain()
        writer.close()

    async def _answer(
        self, path: str, query: dict[str, str]
    ) -> tuple[int, dict[str, typing.Any]]:
        if path == "/api/kv-range":
            return 200, self._range(query)
        if path == "/api/kv-watch":
            return await self._watch(query)
        if path == "/api/kv-key":
            item = self._items.get(query["key"])
            return (200, item.body()) if item else (404, {})
        return 404, {}

    def _range(self, query: dict[str, str]) -> dict[str, typing.Any]:
        after = query.get("after", "")
        prefix = query.get("prefix", "")
        found = sorted(k for k in self._items if k.startswith(prefix) and k > after)
        page = found[:PAGE_ITEMS]
        return {
            "items": [self._items[key].body() for key in page],
            "has_more": len(found) > len(page),
            "store_revision": self.revision,
        }

    async def _watch(self, query: dict[str, str]) -> tuple[int, dict[str, typing.Any]]:
        after, prefix = int(query["after"]), query.get("prefix", "")
        end_s = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            if after < self._forgotten:
                return 410, {}
            events = [
                item.body()
                for item in self._history
                if item.revision > after and item.key.startswith(prefix)
            ]
            left_s = end_s - time.monotonic()
            if events or left_s <= 0:
                return 200, {"events": events, "store_revision": self.revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left_s)
