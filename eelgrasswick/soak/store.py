"""A stand-in for the platform's store, as a process that a run starts."""

import base64
import json
import sys
import time
import typing

from twisted.internet import defer, reactor, task
from twisted.web import resource, server

from eelgrasswick.platform import names

HISTORY: typing.Final = 2000
TTL_S: typing.Final = 3.6


class Item(typing.NamedTuple):
    """A key at its last change; no value when it was deleted."""

    key: str
    value: bytes | None
    revision: int


class Store:
    """Keys, their history, and what is wrong with the store at present."""

    def __init__(self) -> None:
        """Begin empty."""
        self.revision = 1
        self.items: dict[str, Item] = {}
        self.history: list[Item] = []
        self.forgotten = 0
        self.waiting: list[defer.Deferred[None]] = []
        self.heard_s: dict[str, float] = {}
        self.fault = ""
        self.refused: frozenset[str] = frozenset()
        self.delay_s = 0.0

    def put(self, key: str, value: bytes | None) -> int:
        """Write or delete a key; a value that is there already changes nothing."""
        present = self.items.get(key)
        if (present.value if present is not None else None) == value:
            return self.revision
        self.revision += 1
        item = Item(key, value, self.revision)
        self.history.append(item)
        if value is None:
            del self.items[key]
        else:
            self.items[key] = item
        if len(self.history) > HISTORY:
            self.forgotten = self.history.pop(0).revision
        self.wake()
        return self.revision

    def wake(self) -> None:
        """Answer the watches that wait."""
        waiting, self.waiting = self.waiting, []
        for item in waiting:
            item.callback(None)

    def forget(self) -> None:
        """Drop the history."""
        self.history.clear()
        self.forgotten = self.revision
        self.wake()

    def expire(self) -> None:
        """Delete the entries of servers that were not heard for long."""
        now_s = time.monotonic()
        for key, at_s in list(self.heard_s.items()):
            if now_s - at_s > TTL_S and key in self.items:
                self.put(key, None)
                del self.heard_s[key]


class Calls(resource.Resource):
    """The store's calls, those of the servers and operators, and faults."""

    isLeaf = True  # noqa: N815

    def __init__(self, kept: Store) -> None:
        """Serve a store."""
        super().__init__()
        self._store = kept

    def render(self, request: server.Request) -> typing.Any:
        """Answer a call; the deferred work ends the request."""
        done = defer.Deferred.fromCoroutine(self._answer(request))
        done.addErrback(lambda failure: print(failure, file=sys.stderr, flush=True))
        return server.NOT_DONE_YET

    async def _answer(self, request: server.Request) -> None:
        path = request.path.decode()
        gone = request.notifyFinish()
        gone.addErrback(lambda _: None)
        own = path.startswith("/own/")
        if not own and self._blocked(request):
            return
        if self._store.delay_s and not own:
            await _sleep(self._store.delay_s)
        status, body = await self._call(path, request)
        if request.finished or request.channel is None:
            return
        request.setResponseCode(status)
        request.write(json.dumps(body).encode())
        request.finish()

    def _blocked(self, request: server.Request) -> bool:
        fault = self._store.fault
        if request.getClientAddress().host in self._store.refused:
            fault = fault or "busy"
        if fault == "busy":
            request.setResponseCode(503)
            request.finish()
        elif fault == "reset":
            _known(request.transport).abortConnection()
        return bool(fault)

    async def _call(self, path: str, request: server.Request) -> tuple[int, object]:
        if path == names.RANGE_PATH:
            return 200, self._range()
        if path == names.WATCH_PATH:
            return await self._watch(request)
        if path == "/own/entry":
            return self._entry(request)
        if path == "/own/config":
            return 200, self._store.put(
                names.CONFIG_KEY, _known(request.content).read()
            )
        if path == "/own/evacuation":
            return self._evacuation(json.loads(_known(request.content).read()))
        if path == "/own/fault":
            return self._fault(json.loads(_known(request.content).read()))
        return 404, {}

    def _range(self) -> object:
        items = [_shown(item) for item in self._store.items.values()]
        revision = self._store.revision
        return {"items": items, "has_more": False, "store_revision": revision}

    async def _watch(self, request: server.Request) -> tuple[int, object]:
        after = int(request.args[b"after"][0])
        if after < self._store.forgotten:
            return 410, {}
        if self._store.revision <= after:
            waiting: defer.Deferred[None] = defer.Deferred()
            self._store.waiting.append(waiting)
            wait_s = int(request.args[b"wait_ms"][0]) / 1000
            waiting.addTimeout(wait_s, reactor, onTimeoutCancel=lambda *_: None)
            await waiting
        if after < self._store.forgotten:
            return 410, {}
        events = [_shown(item) for item in self._store.history if item.revision > after]
        return 200, {"events": events, "store_revision": self._store.revision}

    def _entry(self, request: server.Request) -> tuple[int, object]:
        if self._store.fault:
            return 503, {}
        key = request.args[b"key"][0].decode()
        value = _known(request.content).read()
        if value:
            self._store.heard_s[key] = time.monotonic()
        return 200, self._store.put(key, value or None)

    def _evacuation(self, body: dict[str, typing.Any]) -> tuple[int, object]:
        key = names.EVACUATION_PREFIX + body["zone"]
        return 200, self._store.put(key, None if body["over"] else b"{}")

    def _fault(self, body: dict[str, typing.Any]) -> tuple[int, object]:
        self._store.fault = body.get("fault", "")
        self._store.delay_s = body.get("delay_s", 0.0)
        self._store.refused = frozenset(body.get("refused", ()))
        if body.get("forget"):
            self._store.forget()
        return 200, {}


def _shown(item: Item) -> dict[str, typing.Any]:
    if item.value is None:
        return {"key": item.key, "revision": item.revision, "deleted": True}
    text = base64.b64encode(item.value).decode()
    return {"key": item.key, "value": text, "revision": item.revision, "lease": 0}


def _known(part: typing.Any) -> typing.Any:
    return part


def _sleep(duration_s: float) -> "defer.Deferred[None]":
    done: defer.Deferred[None] = defer.Deferred()
    typing.cast(typing.Any, reactor).callLater(duration_s, done.callback, None)
    return done


def main() -> None:
    """Serve on the address that the command line names."""
    host, _, port = sys.argv[1].rpartition(":")
    kept = Store()
    running = typing.cast(typing.Any, reactor)
    running.listenTCP(int(port), server.Site(Calls(kept)), interface=host)
    task.LoopingCall(kept.expire).start(0.2)
    running.run()


if __name__ == "__main__":
    main()
