"""The platform's store over HTTP/1.1, as the product reads it."""

import base64
import json
import typing
import urllib.parse

import h11
from twisted.internet import defer, endpoints, error, protocol

from eelgrasswick import errors
from eelgrasswick.cookie import model, source

# The store answers in about 4 ms, and in 0.25 s when it is slow (60 times).
ANSWER_MS: typing.Final = 700
CONNECT_MS: typing.Final = 500
MAX_BODY_BYTES: typing.Final = 16_000_000
_OK: typing.Final = 200
_GONE: typing.Final = 410
_FAULTS: typing.Final = (ValueError, TypeError, LookupError)
_Body = dict[str, typing.Any]


class _Answer(typing.NamedTuple):
    status: int
    body: bytes


class _Connection(protocol.Protocol):
    """One connection to the store, one call at a time."""

    def __init__(self, host: str) -> None:
        self._host = host
        self._http = h11.Connection(h11.CLIENT, MAX_BODY_BYTES)
        self._waiting: defer.Deferred[_Answer] | None = None
        self._status = 0
        self._parts: list[bytes] = []
        self.open = True

    def call(self, path: str) -> "defer.Deferred[_Answer]":
        """Send a call; the deferred fails when the connection ends."""
        self._waiting = defer.Deferred(self._cancel)
        self._parts = []
        request = h11.Request(method="GET", target=path, headers=[("Host", self._host)])
        self._write(self._http.send(request))
        self._write(self._http.send(h11.EndOfMessage()))
        return self._waiting

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Take bytes of an answer."""
        try:
            self._http.receive_data(data)
            self._events()
        except h11.RemoteProtocolError as fault:
            self._fail(fault)

    def connectionLost(self, reason: typing.Any = protocol.connectionDone) -> None:  # noqa: N802
        """Fail the call that waits."""
        self._fail(reason.value)

    def close(self) -> None:
        """End the connection at once."""
        self.open = False
        if self.transport is not None:
            typing.cast(typing.Any, self.transport).abortConnection()

    def _events(self) -> None:
        while True:
            event = self._http.next_event()
            if event in (h11.NEED_DATA, h11.PAUSED):
                return
            if isinstance(event, h11.Response):
                self._status = event.status_code
            elif isinstance(event, h11.Data):
                self._parts.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                self._done()
            elif isinstance(event, h11.ConnectionClosed):
                self._fail(ValueError("the store closed the connection"))
                return

    def _done(self) -> None:
        waiting, self._waiting = self._waiting, None
        if self._http.our_state is h11.MUST_CLOSE:
            self.close()
        else:
            self._http.start_next_cycle()
        if waiting is not None:
            waiting.callback(_Answer(self._status, b"".join(self._parts)))

    def _fail(self, fault: BaseException) -> None:
        waiting, self._waiting = self._waiting, None
        self.close()
        if waiting is not None:
            waiting.errback(errors.StoreError(f"{type(fault).__name__}: {fault}"))

    def _cancel(self, _: object) -> None:
        # An answer that comes later would be taken for that of the next call.
        self._waiting = None
        self.close()

    def _write(self, data: bytes | None) -> None:
        if data:
            typing.cast(typing.Any, self.transport).write(data)


class Store(source.ChangeSource):
    """The store at an address; one connection, opened again when it ends."""

    def __init__(self, reactor: typing.Any, address: model.Address) -> None:
        """Call the store at an address."""
        self._reactor = reactor
        self._address = address
        self._connection: _Connection | None = None

    async def read_all(self) -> source.Changes:
        """Return all rows; see the base class."""
        rows: list[source.Row] = []
        revision = 0
        query = {"prefix": ""}
        while True:
            body = await self._call("kv-range", query, ANSWER_MS)
            try:
                page = [_row(item) for item in body["items"]]
                # Pages are no snapshot. What changes after the first one is
                # asked for again from its revision.
                revision = revision or _number(body["store_revision"])
                more = bool(body["has_more"])
            except _FAULTS as fault:
                raise errors.StoreError(f"kv-range: {fault!r}") from fault
            rows += page
            if not more or not page:
                return source.Changes(tuple(rows), revision, 0)
            query = {"prefix": "", "after": page[-1].key}

    async def changes(self, after: int, wait_ms: int) -> source.Changes:
        """Return what changed after a revision; see the base class."""
        query = {"prefix": "", "after": str(after), "wait_ms": str(wait_ms)}
        body = await self._call("kv-watch", query, wait_ms + ANSWER_MS)
        try:
            rows = tuple(_row(item) for item in body["events"])
            revision = _number(body["store_revision"])
        except _FAULTS as fault:
            raise errors.StoreError(f"kv-watch: {fault!r}") from fault
        return source.Changes(rows, revision, after)

    async def _call(self, name: str, query: dict[str, str], timeout_ms: int) -> _Body:
        connection = await self._connected()
        path = f"/api/{name}?{urllib.parse.urlencode(query)}"
        call = connection.call(path).addTimeout(timeout_ms / 1000, self._reactor)
        try:
            answer = await call
        except (defer.TimeoutError, defer.CancelledError) as fault:
            raise errors.StoreError(f"{name}: no answer in {timeout_ms} ms") from fault
        return _read(name, answer)

    async def _connected(self) -> _Connection:
        known = self._connection
        if known is not None and known.open:
            return known
        host, port = self._address
        end = endpoints.TCP4ClientEndpoint(
            self._reactor, host, port, timeout=CONNECT_MS / 1000
        )
        made = _Connection(f"{host}:{port}")
        try:
            await endpoints.connectProtocol(end, made)
        except error.ConnectError as fault:
            raise errors.StoreError(f"connect: {type(fault).__name__}") from fault
        self._connection = made
        return made


def _read(name: str, answer: _Answer) -> _Body:
    if answer.status == _GONE:
        raise errors.HistoryGoneError(f"{name}: history gone")
    if answer.status != _OK:
        raise errors.StoreError(f"{name}: HTTP status {answer.status}")
    try:
        body = json.loads(answer.body)
    except ValueError as fault:
        raise errors.StoreError(f"{name}: {fault}") from fault
    if not isinstance(body, dict):
        raise errors.StoreError(f"{name}: the body is no object")
    return body


def _row(item: _Body) -> source.Row:
    value = None
    if not item.get("deleted"):
        value = base64.b64decode(item["value"], validate=True)
    key = item["key"]
    if not isinstance(key, str):
        raise TypeError("a key is no text")
    return source.Row(key, value, _number(item["revision"]))


def _number(value: object) -> int:
    if isinstance(value, bool) or not isinstance(value, int):
        raise TypeError(f"{value!r} is no whole number")
    return value
