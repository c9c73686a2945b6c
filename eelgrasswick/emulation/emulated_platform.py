"""Emulation of the platform's key-value store, with faults to inject.

``EmulatedStore`` is the store, without network and with the clock that it is given.
``StoreResource`` serves it over HTTP with the requests of the etcd v3 JSON gateway.
"""

import base64
import collections
import json
import typing

from twisted.internet import defer, task
from twisted.web import resource, server

from eelgrasswick import (
    errors,
    store,
)


class Faults(typing.NamedTuple):
    """Faults of the store at present.

    Attributes:
        outage: True if the store answers no call.
        delay_ms: Delay of each answer.
        lost_answers: Number of next transactions that take effect and get no answer.
        late_ms: Delay with which those transactions take effect, after the caller
            has got an error instead of an answer.
    """

    outage: bool = False
    delay_ms: int = 0
    lost_answers: int = 0
    late_ms: int = 0


class _Entry(typing.NamedTuple):
    value: bytes
    revision: int
    lease: int


class _Watcher(typing.NamedTuple):
    prefix: str
    listener: store.Listener
    ended: defer.Deferred[None]


class EmulatedStore(store.Store):
    """A key-value store in memory.

    Attributes:
        faults: Faults at present.
        calls: Number of calls, by method.
        revision: Revision of the latest write.
    """

    def __init__(self, clock: typing.Any) -> None:
        """Create an empty store.

        Args:
            clock: A Twisted reactor or ``task.Clock``.
        """
        self.faults = Faults()
        self.calls: collections.Counter[str] = collections.Counter()
        self.revision = 1
        self._clock = clock
        self._entries: dict[str, _Entry] = {}
        self._expiry_s_by_lease: dict[int, float] = {}
        self._ttl_s_by_lease: dict[int, int] = {}
        self._watchers: list[_Watcher] = []
        self._snapshot: dict[str, _Entry] = {}

    def set_faults(self, faults: Faults) -> None:
        """Replace the faults; an outage also ends all watches."""
        self.faults = faults
        if faults.outage:
            watchers, self._watchers = self._watchers, []
            for item in watchers:
                item.ended.errback(errors.StoreError("platform outage"))

    def mute_watches(self) -> None:
        """Keep the present watches open, but send them no further changes."""
        self._watchers = []

    def save(self) -> None:
        """Take the snapshot that ``restore`` restores."""
        self._snapshot = dict(self._entries)

    def restore(self) -> None:
        """Restore the snapshot, as an operator does after the loss of the store."""
        self._entries = dict(self._snapshot)
        self.revision += 1
        for key, item in self._entries.items():
            self._entries[key] = item._replace(revision=self.revision)
        for key in list(self._entries):
            self._notify(key)

    async def read(self, key: str) -> store.Row | None:
        """Read one key; see the base class."""
        await self._begin_call("read")
        return self._row(key)

    async def read_prefix(self, prefix: str) -> tuple[store.Row, ...]:
        """Read all keys with a prefix; see the base class."""
        await self._begin_call("read_prefix")
        return self.rows(prefix)

    def rows(self, prefix: str) -> tuple[store.Row, ...]:
        """Return all rows with a prefix at once, without faults and not counted."""
        self._expire_leases()
        names = sorted(key for key in self._entries if key.startswith(prefix))
        return tuple(row for row in map(self._row, names) if row is not None)

    async def commit(
        self,
        compares: typing.Sequence[store.Compare],
        puts: typing.Sequence[store.Put],
    ) -> store.Committed:
        """Commit a transaction; see the base class."""
        await self._begin_call("commit")
        if self.faults.lost_answers > 0:
            self.faults = self.faults._replace(
                lost_answers=self.faults.lost_answers - 1
            )
            self._write_unanswered(compares, puts)
            raise errors.StoreError("answer lost")
        return self.write(compares, puts)

    def _write_unanswered(
        self,
        compares: typing.Sequence[store.Compare],
        puts: typing.Sequence[store.Put],
    ) -> None:
        if self.faults.late_ms:
            late_s = self.faults.late_ms / 1000
            self._clock.callLater(late_s, self.write, compares, puts)
        else:
            self.write(compares, puts)

    def write(
        self,
        compares: typing.Sequence[store.Compare],
        puts: typing.Sequence[store.Put],
    ) -> store.Committed:
        """Commit a transaction at once, without faults and not counted."""
        self._expire_leases()
        for item in compares:
            entry = self._entries.get(item.key)
            present = entry.revision if entry is not None else 0
            if present != item.revision:
                return store.Committed(False, self.revision)
        self.revision += 1
        for put in puts:
            self._entries[put.key] = _Entry(put.value, self.revision, put.lease)
        for put in puts:
            self._notify(put.key)
        return store.Committed(True, self.revision)

    async def grant(self, ttl_s: int) -> int:
        """Grant a lease; see the base class."""
        await self._begin_call("grant")
        lease = len(self._ttl_s_by_lease) + 1
        self._ttl_s_by_lease[lease] = ttl_s
        self._expiry_s_by_lease[lease] = self._clock.seconds() + ttl_s
        return lease

    async def keep_alive(self, lease: int) -> bool:
        """Keep a lease alive; see the base class."""
        await self._begin_call("keep_alive")
        self._expire_leases()
        if lease not in self._expiry_s_by_lease:
            return False
        self._expiry_s_by_lease[lease] = (
            self._clock.seconds() + self._ttl_s_by_lease[lease]
        )
        return True

    async def watch(self, prefix: str, after: int, listener: store.Listener) -> None:
        """Watch a prefix; see the base class."""
        await self._begin_call("watch")
        ended: defer.Deferred[None] = defer.Deferred()
        watcher = _Watcher(prefix, listener, ended)
        self._watchers.append(watcher)
        missed = [row for row in self.rows(prefix) if row.revision > after]
        if missed:
            listener(tuple(missed))
        try:
            await ended
        finally:
            if watcher in self._watchers:
                self._watchers.remove(watcher)

    @property
    def open_watches(self) -> int:
        """Number of open watches; the opening of each counts as a call."""
        return len(self._watchers)

    async def _begin_call(self, name: str) -> None:
        self.calls[name] += 1
        if self.faults.delay_ms:
            await task.deferLater(self._clock, self.faults.delay_ms / 1000)
        if self.faults.outage:
            raise errors.StoreError("platform outage")

    def _row(self, key: str) -> store.Row | None:
        entry = self._entries.get(key)
        if entry is None:
            return None
        return store.Row(key, entry.value, entry.revision)

    def _notify(self, key: str) -> None:
        row = self._row(key)
        if row is None or self.faults.outage:
            return
        for item in list(self._watchers):
            if key.startswith(item.prefix):
                item.listener((row,))

    def _expire_leases(self) -> None:
        now_s = self._clock.seconds()
        expired = {
            lease
            for lease, expiry_s in self._expiry_s_by_lease.items()
            if expiry_s <= now_s
        }
        for lease in expired:
            del self._expiry_s_by_lease[lease]
        for key, item in list(self._entries.items()):
            if item.lease in expired:
                del self._entries[key]


class StoreResource(resource.Resource):
    """Serves an emulated store over HTTP, and its faults under ``/emulator``."""

    isLeaf = True  # noqa: N815

    def __init__(self, emulated: EmulatedStore) -> None:
        """Create the resource of a store."""
        super().__init__()
        self._store = emulated
        self._handlers: dict[bytes, typing.Callable[[typing.Any], typing.Any]] = {
            b"/v3/kv/range": self._range,
            b"/v3/kv/txn": self._txn,
            b"/v3/lease/grant": self._grant,
            b"/v3/lease/keepalive": self._keep_alive,
        }

    def render_GET(self, request: typing.Any) -> bytes:  # noqa: N802
        """Return the call counts as JSON."""
        counts = {**self._store.calls, "watching": self._store.open_watches}
        return json.dumps(counts).encode()

    def render_POST(self, request: typing.Any) -> bytes | int:  # noqa: N802
        """Process a call to the store, or a change of its faults."""
        body = json.loads(request.content.read())
        if request.path == b"/emulator":
            return self._apply_control(body)
        if request.path == b"/v3/watch":
            self._watch(request, body["create_request"])
            return server.NOT_DONE_YET
        handler = self._handlers.get(request.path)
        if handler is None:
            request.setResponseCode(404)
            return b"{}"
        done = defer.Deferred.fromCoroutine(handler(body))
        done.addCallback(_send_answer, request)
        done.addErrback(_abort_connection, request)
        return server.NOT_DONE_YET

    def _apply_control(self, body: typing.Any) -> bytes:
        for key, value in body.pop("put", {}).items():
            self._store.write((), (store.Put(key, json.dumps(value).encode()),))
        if body.pop("save", False):
            self._store.save()
        if body.pop("restore", False):
            self._store.restore()
        if body.pop("mute_watches", False):
            self._store.mute_watches()
        self._store.set_faults(self._store.faults._replace(**body))
        return b"{}"

    async def _range(self, body: typing.Any) -> typing.Any:
        key = _decode(body["key"])
        rows: tuple[store.Row, ...]
        if "range_end" in body:
            rows = await self._store.read_prefix(key)
        else:
            row = await self._store.read(key)
            rows = (row,) if row is not None else ()
        return self._answer(kvs=[_row_body(row) for row in rows])

    async def _txn(self, body: typing.Any) -> typing.Any:
        compares = [
            store.Compare(_decode(item["key"]), int(item["mod_revision"]))
            for item in body.get("compare", [])
        ]
        puts = [
            store.Put(
                _decode(item["request_put"]["key"]),
                base64.b64decode(item["request_put"]["value"]),
                int(item["request_put"].get("lease", 0)),
            )
            for item in body.get("success", [])
        ]
        committed = await self._store.commit(compares, puts)
        return self._answer(succeeded=committed.accepted)

    async def _grant(self, body: typing.Any) -> typing.Any:
        lease = await self._store.grant(int(body["TTL"]))
        return self._answer(ID=str(lease), TTL=body["TTL"])

    async def _keep_alive(self, body: typing.Any) -> typing.Any:
        lease = int(body["ID"])
        kept = await self._store.keep_alive(lease)
        return {"result": {"ID": str(lease), "TTL": "1" if kept else "0"}}

    def _watch(self, request: typing.Any, create: typing.Any) -> None:
        def listener(rows: tuple[store.Row, ...]) -> None:
            events = [{"type": "PUT", "kv": _row_body(row)} for row in rows]
            result = self._answer(events=events)
            request.write(json.dumps({"result": result}).encode() + b"\n")

        request.write(json.dumps({"result": self._answer(created=True)}).encode())
        request.write(b"\n")
        watching = defer.Deferred.fromCoroutine(
            self._store.watch(
                _decode(create["key"]), int(create["start_revision"]) - 1, listener
            )
        )
        watching.addErrback(_abort_connection, request)
        request.notifyFinish().addErrback(lambda _: watching.cancel())

    def _answer(self, **fields: typing.Any) -> typing.Any:
        return {"header": {"revision": str(self._store.revision)}, **fields}


def _send_answer(answer: typing.Any, request: typing.Any) -> None:
    if request.channel is not None:
        request.write(json.dumps(answer).encode())
        request.finish()


def _abort_connection(failure: typing.Any, request: typing.Any) -> None:
    # During an outage the connection ends without an answer.
    failure.trap(errors.StoreError, defer.CancelledError)
    if request.channel is not None:
        request.channel.forceAbortClient()


def _decode(text: str) -> str:
    return base64.b64decode(text).decode()


def _row_body(row: store.Row) -> dict[str, str]:
    return {
        "key": base64.b64encode(row.key.encode()).decode(),
        "value": base64.b64encode(row.value).decode(),
        "mod_revision": str(row.revision),
    }
