"""A stand-in for the platform's store, which a run starts as a process.

Paths that begin with ``/own/`` belong to the stand-in: targets and the operator write
through them, and a run sets faults.
"""

import base64
import json
import sys
import time
import typing

from twisted.internet import defer, reactor, task
from twisted.web import resource, server

from eelgrasswick.platform import names

MAX_HISTORY_ITEMS: typing.Final = 2000
# A target's entry expires when the target has not written it for this time.
ENTRY_TTL_S: typing.Final = 3.6


# Entries of other writers that VMs can't read: half of a surrogate pair as bytes, as an
# escape and in the key, a number of 400 digits, bytes that are no JSON, fields of other
# types, and no start time.
_FIELDS: typing.Final = (
    b'"address":"127.0.0.1:9","zone":"z1","version":"v1","state":"ready",'
    b'"cold_remaining_ms":0,"sequence":1,"born":1'
)
UNREADABLE_ENTRIES: typing.Final = (
    ("foreign-1", b'{"service":"desk-\xed\xa0\xbd","concurrency":2,' + _FIELDS + b"}"),
    ("foreign-2", b'{"service":"desk-\\ud83d","concurrency":2,' + _FIELDS + b"}"),
    ("foreign-\ud83d", b'{"service":"desk","concurrency":2,' + _FIELDS + b"}"),
    (
        "foreign-4",
        b'{"service":"desk","concurrency":1' + b"0" * 400 + b"," + _FIELDS + b"}",
    ),
    ("foreign-5", b"\xff\xfe"),
    ("foreign-6", b'{"service":["desk"],"concurrency":{},' + _FIELDS + b"}"),
    (
        "foreign-7",
        b'{"service":"desk","concurrency":2,'
        + _FIELDS.replace(b',"born":1', b"")
        + b"}",
    ),
)


class Item(typing.NamedTuple):
    """A change of a key.

    Attributes:
        key: The key.
        value: Value of the key; None if the change deleted it.
        revision: Revision of the store at the change.
    """

    key: str
    value: bytes | None
    revision: int


class Store:
    """Keys, the history of their changes, and the present faults of the store.

    Attributes:
        revision: Revision of the last change.
        items: Present keys by name.
        history: Changes after compacted_revision, oldest first.
        compacted_revision: Last revision that is no longer in the history.
        waiting_watches: Deferreds of the watches that wait for a change.
        written_s: Monotonic time of the last write of each target's entry.
        fault: Fault of all requests of VMs: ``silent``, ``busy`` or ``reset``; empty
            for none. Any of them also refuses writes of targets' entries.
        refused_hosts: IP addresses whose requests are refused.
        delay_s: Delay of each response to a VM in seconds.
    """

    def __init__(self) -> None:
        """Create an empty store without faults."""
        self.revision = 1
        self.items: dict[str, Item] = {}
        self.history: list[Item] = []
        self.compacted_revision = 0
        self.waiting_watches: list[defer.Deferred[None]] = []
        self.written_s: dict[str, float] = {}
        self.fault = ""
        self.refused_hosts: frozenset[str] = frozenset()
        self.delay_s = 0.0

    def put(self, key: str, value: bytes | None) -> int:
        """Write a key, or delete it if the value is None.

        Writing the present value of a key changes nothing.

        Returns:
            The revision of the store.
        """
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
        if len(self.history) > MAX_HISTORY_ITEMS:
            self.compacted_revision = self.history.pop(0).revision
        self.complete_watches()
        return self.revision

    def complete_watches(self) -> None:
        """Complete all waiting watches."""
        waiting, self.waiting_watches = self.waiting_watches, []
        for item in waiting:
            item.callback(None)

    def drop_history(self) -> None:
        """Drop the history of changes, so that older watches get status 410."""
        self.history.clear()
        self.compacted_revision = self.revision
        self.complete_watches()

    def expire(self) -> None:
        """Delete the entries that their targets have not written for ENTRY_TTL_S."""
        now_s = time.monotonic()
        for key, at_s in list(self.written_s.items()):
            if now_s - at_s > ENTRY_TTL_S and key in self.items:
                self.put(key, None)
                del self.written_s[key]


class StoreResource(resource.Resource):
    """Serves the requests of VMs, targets and the operator, and sets faults."""

    isLeaf = True  # noqa: N815

    def __init__(self, store: Store) -> None:
        """Serve a store."""
        super().__init__()
        self._store = store

    def render(self, request: server.Request) -> typing.Any:
        """Start processing a request; a coroutine finishes it later."""
        done = defer.Deferred.fromCoroutine(self._respond(request))
        done.addErrback(lambda failure: print(failure, file=sys.stderr, flush=True))
        return server.NOT_DONE_YET

    async def _respond(self, request: server.Request) -> None:
        path = request.path.decode()
        finished = request.notifyFinish()
        finished.addErrback(lambda _: None)
        is_own = path.startswith("/own/")
        if not is_own and self._apply_fault(request):
            return
        if self._store.delay_s and not is_own:
            await _sleep(self._store.delay_s)
        status, body = await self._dispatch(path, request)
        if request.finished or request.channel is None:
            return
        request.setResponseCode(status)
        request.write(json.dumps(body).encode())
        request.finish()

    def _apply_fault(self, request: server.Request) -> bool:
        fault = self._store.fault
        if request.getClientAddress().host in self._store.refused_hosts:
            fault = fault or "busy"
        if fault == "busy":
            request.setResponseCode(503)
            request.finish()
        elif fault == "reset":
            _untyped(request.transport).abortConnection()
        return bool(fault)

    async def _dispatch(self, path: str, request: server.Request) -> tuple[int, object]:
        if path == names.RANGE_PATH:
            return 200, self._range()
        if path == names.WATCH_PATH:
            return await self._watch(request)
        if path == "/own/entry":
            return self._entry(request)
        if path == "/own/config":
            return 200, self._store.put(
                names.CONFIG_KEY, _untyped(request.content).read()
            )
        if path == "/own/evacuation":
            return self._evacuation(json.loads(_untyped(request.content).read()))
        if path == "/own/foreign":
            return self._foreign(json.loads(_untyped(request.content).read()))
        if path == "/own/fault":
            return self._fault(json.loads(_untyped(request.content).read()))
        return 404, {}

    def _range(self) -> object:
        items = [_encoded(item) for item in self._store.items.values()]
        revision = self._store.revision
        return {"items": items, "has_more": False, "store_revision": revision}

    async def _watch(self, request: server.Request) -> tuple[int, object]:
        after = int(request.args[b"after"][0])
        if after < self._store.compacted_revision:
            return 410, {}
        if self._store.revision <= after:
            waiting: defer.Deferred[None] = defer.Deferred()
            self._store.waiting_watches.append(waiting)
            wait_s = int(request.args[b"wait_ms"][0]) / 1000
            waiting.addTimeout(wait_s, reactor, onTimeoutCancel=lambda *_: None)
            await waiting
        if after < self._store.compacted_revision:
            return 410, {}
        events = [
            _encoded(item) for item in self._store.history if item.revision > after
        ]
        return 200, {"events": events, "store_revision": self._store.revision}

    def _entry(self, request: server.Request) -> tuple[int, object]:
        if self._store.fault:
            return 503, {}
        key = request.args[b"key"][0].decode()
        value = _untyped(request.content).read()
        if value:
            self._store.written_s[key] = time.monotonic()
        return 200, self._store.put(key, value or None)

    def _evacuation(self, body: dict[str, typing.Any]) -> tuple[int, object]:
        key = names.EVACUATION_PREFIX + body["zone"]
        return 200, self._store.put(key, None if body["over"] else b"{}")

    def _foreign(self, body: dict[str, typing.Any]) -> tuple[int, object]:
        key, value = UNREADABLE_ENTRIES[body["number"] % len(UNREADABLE_ENTRIES)]
        return 200, self._store.put(names.TARGET_PREFIX + key, value)

    def _fault(self, body: dict[str, typing.Any]) -> tuple[int, object]:
        self._store.fault = body.get("fault", "")
        self._store.delay_s = body.get("delay_s", 0.0)
        self._store.refused_hosts = frozenset(body.get("refused", ()))
        if body.get("forget"):
            self._store.drop_history()
        return 200, {}


def _encoded(item: Item) -> dict[str, typing.Any]:
    if item.value is None:
        return {"key": item.key, "revision": item.revision, "deleted": True}
    text = base64.b64encode(item.value).decode()
    return {"key": item.key, "value": text, "revision": item.revision, "lease": 0}


def _untyped(value: typing.Any) -> typing.Any:
    return value


def _sleep(duration_s: float) -> "defer.Deferred[None]":
    done: defer.Deferred[None] = defer.Deferred()
    typing.cast(typing.Any, reactor).callLater(duration_s, done.callback, None)
    return done


def main() -> None:
    """Serve a store on the address that the command line gives as ``ip:port``."""
    host, _, port = sys.argv[1].rpartition(":")
    store = Store()
    untyped_reactor = typing.cast(typing.Any, reactor)
    untyped_reactor.listenTCP(
        int(port), server.Site(StoreResource(store)), interface=host
    )
    task.LoopingCall(store.expire).start(0.2)
    untyped_reactor.run()


if __name__ == "__main__":
    main()
