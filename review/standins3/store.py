"""Stand-in for the platform's store, inside the driver's process."""

import asyncio
import base64
import json
import typing
import urllib.parse

PAGE: typing.Final = 500


class Store:
    """Items with one revision counter, and watches of their changes.

    Attributes:
        revision: Revision of the last change.
    """

    def __init__(self) -> None:
        """Create an empty store."""
        self.revision = 1
        self._items: dict[str, dict[str, typing.Any]] = {}
        self._events: list[dict[str, typing.Any]] = []
        self._changed = asyncio.Event()

    def put(self, key: str, value: object) -> int:
        """Write an item; return the revision of the change."""
        self.revision += 1
        text = base64.b64encode(json.dumps(value).encode()).decode()
        created = self._items.get(key, {}).get("created", self.revision)
        item = {
            "key": key,
            "value": text,
            "revision": self.revision,
            "created": created,
            "lease": 0,
        }
        self._items[key] = item
        self._append(item)
        return self.revision

    def delete(self, key: str) -> int:
        """Delete an item; return the revision of the change."""
        self.revision += 1
        del self._items[key]
        self._append({"key": key, "revision": self.revision, "deleted": True})
        return self.revision

    def _append(self, event: dict[str, typing.Any]) -> None:
        self._events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def serve(self, host: str, port: int) -> asyncio.Server:
        """Serve the store at an address."""
        return await asyncio.start_server(self._connection, host, port)

    async def _connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while line := await reader.readline():
                while (await reader.readline()).strip():
                    pass
                target = line.decode().split()[1]
                status, body = await self._answer(target)
                content = json.dumps(body).encode()
                head = (
                    f"HTTP/1.1 {status} Answer\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(content)}\r\n\r\n"
                )
                await asyncio.sleep(0.004)
                writer.write(head.encode() + content)
                await writer.drain()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, target: str) -> tuple[int, dict[str, typing.Any]]:
        path, _, text = target.partition("?")
        query = dict(urllib.parse.parse_qsl(text))
        prefix = query.get("prefix", "")
        if path == "/api/kv-range":
            keys = sorted(
                key
                for key in self._items
                if key.startswith(prefix) and key > query.get("after", "")
            )
            items = [self._items[key] for key in keys[:PAGE]]
            return 200, {
                "items": items,
                "has_more": len(keys) > PAGE,
                "store_revision": self.revision,
            }
        if path == "/api/kv-watch":
            after = int(query["after"])
            await self._wait(after, int(query.get("wait_ms", "0")) / 1000)
            events = [
                item
                for item in self._events
                if item["revision"] > after and item["key"].startswith(prefix)
            ]
            return 200, {"events": events, "store_revision": self.revision}
        return 404, {}

    async def _wait(self, after: int, wait_s: float) -> None:
        if self.revision > after:
            return
        try:
            await asyncio.wait_for(self._changed.wait(), wait_s)
        except TimeoutError:
            return
