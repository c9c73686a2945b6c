"""The store over HTTP, in the shape of the etcd v3 JSON gateway."""

import base64
import json
import typing

import treq
from treq import client
from twisted.internet import defer, error, interfaces, protocol
from twisted.python import failure as python_failure
from twisted.web import client as web_client
from twisted.web import http

from eelgrasswick import errors, store

_FAILURES: typing.Final = (
    error.ConnectError,
    error.ConnectionClosed,
    error.TimeoutError,
    defer.CancelledError,
    defer.TimeoutError,
    web_client.ResponseFailed,
    web_client.RequestTransmissionFailed,
    web_client.ResponseNeverReceived,
    web_client.ResponseDone,
    http.PotentialDataLoss,
    ValueError,
    KeyError,
    TypeError,
)
MAX_LINE_BYTES: typing.Final = 4_000_000


class Gateway(store.Store):
    """A store behind ``URL/v3/...``; treq sends the calls."""

    def __init__(
        self, reactor: interfaces.IReactorTime, url: str, timeout_ms: int
    ) -> None:
        """Call the gateway at a URL, each call for at most ``timeout_ms``."""
        self._reactor = reactor
        self._url = url
        self._timeout_s = timeout_ms / 1000
        pool = web_client.HTTPConnectionPool(reactor, persistent=True)
        agent: typing.Any = web_client.Agent(reactor, pool=pool)
        self._http: typing.Any = client.HTTPClient(agent)

    async def read(self, key: str) -> store.Row | None:
        """Read one key; see the base class."""
        answer = await self._call("kv/range", {"key": _encode(key.encode())})
        rows = _rows(answer)
        return rows[0] if rows else None

    async def read_prefix(self, prefix: str) -> tuple[store.Row, ...]:
        """Read all keys with a prefix; see the base class."""
        return _rows(await self._call("kv/range", _range(prefix)))

    async def commit(
        self,
        compares: typing.Sequence[store.Compare],
        puts: typing.Sequence[store.Put],
    ) -> store.Committed:
        """Commit a transaction; see the base class."""
        body = {
            "compare": [
                {
                    "key": _encode(item.key.encode()),
                    "target": "MOD",
                    "result": "EQUAL",
                    "mod_revision": str(item.revision),
                }
                for item in compares
            ],
            "success": [
                {
                    "request_put": {
                        "key": _encode(item.key.encode()),
                        "value": _encode(item.value),
                        "lease": str(item.lease),
                    }
                }
                for item in puts
            ],
        }
        answer = await self._call("kv/txn", body)
        accepted = bool(answer.get("succeeded", False))
        return store.Committed(accepted, int(answer["header"]["revision"]))

    async def grant(self, ttl_s: int) -> int:
        """Grant a lease; see the base class."""
        answer = await self._call("lease/grant", {"TTL": str(ttl_s), "ID": "0"})
        return int(answer["ID"])

    async def keep_alive(self, lease: int) -> bool:
        """Keep a lease alive; see the base class."""
        answer = await self._call("lease/keepalive", {"ID": str(lease)})
        return int(answer["result"].get("TTL", 0)) > 0

    async def watch(self, prefix: str, after: int, listener: store.Listener) -> None:
        """Watch a prefix; see the base class."""
        create = {**_range(prefix), "start_revision": str(after + 1)}
        lines = _Lines(listener)
        try:
            response = await self._http.post(
                f"{self._url}/v3/watch",
                data=json.dumps({"create_request": create}).encode(),
                timeout=self._timeout_s,
                reactor=self._reactor,
                unbuffered=True,
            )
            await _Body(lines).read(response)
        except _FAILURES as failure:
            raise errors.StoreError(f"watch: {failure!r}") from failure

    async def _call(self, path: str, body: dict[str, typing.Any]) -> typing.Any:
        try:
            return await self._post(path, body).addTimeout(
                self._timeout_s, self._reactor
            )
        except _FAILURES as failure:
            raise errors.StoreError(f"{path}: {failure!r}") from failure

    @defer.inlineCallbacks
    def _post(
        self, path: str, body: dict[str, typing.Any]
    ) -> typing.Generator[defer.Deferred[typing.Any], typing.Any, typing.Any]:
        response = yield self._http.post(
            f"{self._url}/v3/{path}", data=json.dumps(body).encode()
        )
        content = yield treq.content(response)
        if response.code != 200:
            raise ValueError(f"HTTP status {response.code}")
        return json.loads(content)


class _Body(protocol.Protocol):
    """Reads the body of a watch until it ends or is cancelled.

    treq's own collector leaves the connection open when it is cancelled, and
    keeps the whole body. A VM that lays its watch down would go on to count as
    a waiting call, and one that watches for long would run out of memory.
    """

    def __init__(self, lines: "_Lines") -> None:
        self._lines = lines
        self._done: defer.Deferred[None] = defer.Deferred(lambda _: self._close())
        self._closed = False

    def read(self, response: typing.Any) -> defer.Deferred[None]:
        response.deliverBody(self)
        return self._done

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        if self._closed:
            return
        try:
            self._lines.take(data)
        except (ValueError, KeyError, TypeError):
            self._close()
            self._done.errback()

    def connectionLost(  # noqa: N802
        self, reason: python_failure.Failure = protocol.connectionDone
    ) -> None:
        if not self._closed:
            self._done.errback(reason)

    def _close(self) -> None:
        self._closed = True
        transport: typing.Any = self.transport
        if transport is not None:
            transport.loseConnection()


class _Lines:
    """Cuts a watch's byte stream into JSON lines and passes rows on."""

    def __init__(self, listener: store.Listener) -> None:
        self._listener = listener
        self._rest = b""

    def take(self, data: bytes) -> None:
        *lines, self._rest = (self._rest + data).split(b"\n")
        if len(self._rest) > MAX_LINE_BYTES:
            raise ValueError("watch line is too long")
        for line in lines:
            if line.strip():
                self._line(line)

    def _line(self, line: bytes) -> None:
        result = json.loads(line)["result"]
        puts = [
            _row(event["kv"])
            for event in result.get("events", [])
            if event.get("type", "PUT") == "PUT"
        ]
        if puts:
            self._listener(tuple(puts))


def _range(prefix: str) -> dict[str, str]:
    end = prefix[:-1] + chr(ord(prefix[-1]) + 1)
    return {"key": _encode(prefix.encode()), "range_end": _encode(end.encode())}


def _encode(value: bytes) -> str:
    return base64.b64encode(value).decode()


def _rows(answer: typing.Any) -> tuple[store.Row, ...]:
    return tuple(_row(item) for item in answer.get("kvs", []))


def _row(item: typing.Any) -> store.Row:
    return store.Row(
        base64.b64decode(item["key"]).decode(),
        base64.b64decode(item.get("value", "")),
        int(item["mod_revision"]),
    )
