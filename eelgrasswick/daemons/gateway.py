"""The store over HTTP, in the shape of the etcd v3 JSON gateway."""

import base64
import binascii
import json
import typing

import msgspec
from treq import client
from twisted.internet import defer, error
from twisted.web import client as web_client

from eelgrasswick import (
    errors,
    store,
)
from eelgrasswick.daemons import _body

_FAILURES: typing.Final = (
    error.ConnectError,
    error.ConnectionClosed,
    error.DNSLookupError,
    error.TimeoutError,
    defer.CancelledError,
    defer.TimeoutError,
    web_client.ResponseFailed,
    web_client.RequestTransmissionFailed,
    web_client.ResponseNeverReceived,
    ValueError,
)
MAX_LINE_BYTES: typing.Final = 4_000_000
MAX_RESPONSE_BYTES: typing.Final = 64_000_000
_OK: typing.Final = 200


class KeyValue(msgspec.Struct):
    """One key and its value, as the gateway encodes them."""

    key: str
    mod_revision: str
    value: str = ""

    def row(self) -> store.Row:
        """Return the decoded pair.

        Raises:
            ValueError: A field is not what it should be.
        """
        return store.Row(
            base64.b64decode(self.key, validate=True).decode(),
            base64.b64decode(self.value, validate=True),
            int(self.mod_revision),
        )


class ResponseHeader(msgspec.Struct):
    """What stands at the head of each answer."""

    revision: str


class RangeResponse(msgspec.Struct):
    """Answer to ``kv/range``."""

    kvs: list[KeyValue] = []


class TxnResponse(msgspec.Struct):
    """Answer to ``kv/txn``; a failed comparison is left out as false."""

    header: ResponseHeader
    succeeded: bool = False


class LeaseGrantResponse(msgspec.Struct):
    """Answer to ``lease/grant``."""

    ID: str  # noqa: N815


class KeepAliveResult(msgspec.Struct):
    """A lease after it was kept alive; without TTL when it has ended."""

    TTL: str = "0"  # noqa: N815


class LeaseKeepAliveResponse(msgspec.Struct):
    """Answer to ``lease/keepalive``."""

    result: KeepAliveResult


class WatchEvent(msgspec.Struct):
    """One change that a watch reports; a put when no type is given."""

    kv: KeyValue
    type: str = "PUT"


class WatchResult(msgspec.Struct):
    """The changes of one line."""

    events: list[WatchEvent] = []


class WatchLine(msgspec.Struct):
    """One line of a watch."""

    result: WatchResult


Answer = typing.TypeVar("Answer", bound=msgspec.Struct)


def decode_response(content: bytes, kind: type[Answer]) -> Answer:
    """Read an answer of the gateway.

    Args:
        content: Body of the HTTP answer.
        kind: What it should be.

    Returns:
        The answer, with all field types checked.

    Raises:
        errors.StoreError: The bytes are something else.
    """
    try:
        return msgspec.json.decode(content, type=kind)
    except (msgspec.MsgspecError, ValueError, RecursionError) as failed:
        raise errors.StoreError(f"{kind.__name__}: {failed}") from failed


def decode_rows(pairs: typing.Iterable[KeyValue]) -> tuple[store.Row, ...]:
    """Decode pairs.

    Raises:
        errors.StoreError: A pair is not encoded as it should be.
    """
    try:
        return tuple(item.row() for item in pairs)
    except (binascii.Error, ValueError) as failed:
        raise errors.StoreError(f"pair: {failed}") from failed


def _number(text: str) -> int:
    try:
        return int(text)
    except ValueError as failed:
        raise errors.StoreError(f"{text!r} is no number") from failed


class Gateway(store.Store):
    """A store behind ``URL/v3/...``; treq sends the calls."""

    def __init__(self, reactor: typing.Any, url: str, timeout_ms: int) -> None:
        """Call the gateway at a URL, each call for at most ``timeout_ms``."""
        self._reactor = reactor
        self._url = url
        self._timeout_s = timeout_ms / 1000
        pool = web_client.HTTPConnectionPool(reactor, persistent=True)
        agent: typing.Any = web_client.Agent(reactor, pool=pool)
        self._http: typing.Any = client.HTTPClient(agent)

    async def read(self, key: str) -> store.Row | None:
        """Read one key; see the base class."""
        body = {"key": _encode(key.encode())}
        answer = await self._call("kv/range", body, RangeResponse)
        rows = decode_rows(answer.kvs)
        return rows[0] if rows else None

    async def read_prefix(self, prefix: str) -> tuple[store.Row, ...]:
        """Read all keys with a prefix; see the base class."""
        answer = await self._call("kv/range", _range(prefix), RangeResponse)
        return decode_rows(answer.kvs)

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
        answer = await self._call("kv/txn", body, TxnResponse)
        return store.Committed(answer.succeeded, _number(answer.header.revision))

    async def grant(self, ttl_s: int) -> int:
        """Grant a lease; see the base class."""
        body = {"TTL": str(ttl_s), "ID": "0"}
        return _number((await self._call("lease/grant", body, LeaseGrantResponse)).ID)

    async def keep_alive(self, lease: int) -> bool:
        """Keep a lease alive; see the base class."""
        body = {"ID": str(lease)}
        answer = await self._call("lease/keepalive", body, LeaseKeepAliveResponse)
        return _number(answer.result.TTL) > 0

    async def watch(self, prefix: str, after: int, listener: store.Listener) -> None:
        """Watch a prefix; see the base class."""
        create = {**_range(prefix), "start_revision": str(after + 1)}
        body = _body.BodyReceiver(WatchDecoder(listener).receive)
        try:
            response = await self._post("watch", {"create_request": create}).addTimeout(
                self._timeout_s, self._reactor
            )
            response.deliverBody(body)
            await body.done
        except _FAILURES as failure:
            raise errors.StoreError(f"watch: {failure!r}") from failure

    async def _call(
        self, path: str, body: dict[str, typing.Any], kind: type[Answer]
    ) -> Answer:
        content = _Content()
        try:
            await self._fetch(path, body, content).addTimeout(
                self._timeout_s, self._reactor
            )
        except _FAILURES as failure:
            raise errors.StoreError(f"{path}: {failure!r}") from failure
        return decode_response(content.joined(), kind)

    @defer.inlineCallbacks
    def _fetch(
        self, path: str, body: dict[str, typing.Any], content: "_Content"
    ) -> typing.Generator[defer.Deferred[typing.Any], typing.Any, None]:
        response = yield self._post(path, body)
        taking = _body.BodyReceiver(content.take)
        response.deliverBody(taking)
        yield taking.done

    @defer.inlineCallbacks
    def _post(
        self, path: str, body: dict[str, typing.Any]
    ) -> typing.Generator[defer.Deferred[typing.Any], typing.Any, typing.Any]:
        # treq keeps a copy of each body unless told otherwise; that of a watch
        # would grow for as long as the watch lasts.
        response = yield self._http.post(
            f"{self._url}/v3/{path}", data=json.dumps(body).encode(), unbuffered=True
        )
        if response.code != _OK:
            response.deliverBody(_body.BodyReceiver(lambda _: None))
            raise ValueError(f"HTTP status {response.code}")
        return response


class _Content:
    """Collects an answer up to a size."""

    def __init__(self) -> None:
        self._parts: list[bytes] = []
        self._bytes = 0

    def take(self, data: bytes) -> None:
        self._bytes += len(data)
        if self._bytes > MAX_RESPONSE_BYTES:
            raise errors.StoreError("answer is too long")
        self._parts.append(data)

    def joined(self) -> bytes:
        return b"".join(self._parts)


class WatchDecoder:
    """Cuts a watch's byte stream into JSON lines and passes rows on."""

    def __init__(self, listener: store.Listener) -> None:
        """Pass the rows of each line to a listener."""
        self._listener = listener
        self._rest = b""

    def receive(self, data: bytes) -> None:
        """Take the next bytes of the stream.

        Raises:
            errors.StoreError: A line is not what a watch sends.
        """
        *lines, self._rest = (self._rest + data).split(b"\n")
        if len(self._rest) > MAX_LINE_BYTES:
            raise errors.StoreError("watch line is too long")
        for line in lines:
            if line.strip():
                self._line(line)

    def _line(self, line: bytes) -> None:
        events = decode_response(line, WatchLine).result.events
        puts = decode_rows(event.kv for event in events if event.type == "PUT")
        if puts:
            self._listener(puts)


def _range(prefix: str) -> dict[str, str]:
    end = prefix[:-1] + chr(ord(prefix[-1]) + 1)
    return {"key": _encode(prefix.encode()), "range_end": _encode(end.encode())}


def _encode(value: bytes) -> str:
    return base64.b64encode(value).decode()
