"""Client of the platform's store over HTTP, for the etcd v3 JSON gateway."""

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

_CALL_ERRORS: typing.Final = (
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
# Bounds on the memory that one response of the store can take.
MAX_LINE_BYTES: typing.Final = 4_000_000
MAX_RESPONSE_BYTES: typing.Final = 64_000_000
_HTTP_OK: typing.Final = 200


class KeyValue(msgspec.Struct):
    """A key and its value, both encoded in base64."""

    key: str
    mod_revision: str
    value: str = ""

    def row(self) -> store.Row:
        """Return the decoded row.

        Raises:
            ValueError: A field is not valid base64, UTF-8 or a whole number.
        """
        return store.Row(
            base64.b64decode(self.key, validate=True).decode(),
            base64.b64decode(self.value, validate=True),
            int(self.mod_revision),
        )


class ResponseHeader(msgspec.Struct):
    """Header of each response: the revision of the store."""

    revision: str


class RangeResponse(msgspec.Struct):
    """Response to ``kv/range``."""

    kvs: list[KeyValue] = []


class TxnResponse(msgspec.Struct):
    """Response to ``kv/txn``; ``succeeded`` is absent when a comparison failed."""

    header: ResponseHeader
    succeeded: bool = False


class LeaseGrantResponse(msgspec.Struct):
    """Response to ``lease/grant``."""

    ID: str  # noqa: N815


class KeepAliveResult(msgspec.Struct):
    """A lease after a keep-alive; ``TTL`` is absent when it has expired."""

    TTL: str = "0"  # noqa: N815


class LeaseKeepAliveResponse(msgspec.Struct):
    """Response to ``lease/keepalive``."""

    result: KeepAliveResult


class WatchEvent(msgspec.Struct):
    """One change that a watch reports; ``type`` is absent for a put."""

    kv: KeyValue
    type: str = "PUT"


class WatchResult(msgspec.Struct):
    """The changes in one line of a watch."""

    events: list[WatchEvent] = []


class WatchLine(msgspec.Struct):
    """One line of a watch's response stream."""

    result: WatchResult


Response = typing.TypeVar("Response", bound=msgspec.Struct)


def decode_response(content: bytes, kind: type[Response]) -> Response:
    """Decode a response of the gateway.

    Args:
        content: Body of the HTTP response.
        kind: Type of the expected response.

    Returns:
        The response, with all field types checked.

    Raises:
        errors.StoreError: The content is not a response of this type.
    """
    try:
        return msgspec.json.decode(content, type=kind)
    except (msgspec.MsgspecError, ValueError, RecursionError) as failure:
        raise errors.StoreError(f"{kind.__name__}: {failure}") from failure


def decode_rows(pairs: typing.Iterable[KeyValue]) -> tuple[store.Row, ...]:
    """Decode keys and values to rows.

    Raises:
        errors.StoreError: A field can't be decoded.
    """
    try:
        return tuple(item.row() for item in pairs)
    except (binascii.Error, ValueError) as failure:
        raise errors.StoreError(f"invalid key or value: {failure}") from failure


def _whole_number(text: str) -> int:
    try:
        return int(text)
    except ValueError as failure:
        raise errors.StoreError(f"{text!r} is not a whole number") from failure


class Gateway(store.Store):
    """The store whose etcd gateway is at ``URL/v3/...``."""

    def __init__(self, reactor: typing.Any, url: str, timeout_ms: int) -> None:
        """Create a client of the gateway at a URL.

        Args:
            reactor: Twisted's reactor.
            url: Base URL of the gateway, without a slash at its end.
            timeout_ms: Time-out of each call, and of the start of a watch.
        """
        self._reactor = reactor
        self._url = url
        self._timeout_s = timeout_ms / 1000
        pool = web_client.HTTPConnectionPool(reactor, persistent=True)
        agent: typing.Any = web_client.Agent(reactor, pool=pool)
        self._http: typing.Any = client.HTTPClient(agent)

    async def read(self, key: str) -> store.Row | None:
        """Return a key's row; see the base class."""
        body = {"key": _encode(key.encode())}
        response = await self._call("kv/range", body, RangeResponse)
        rows = decode_rows(response.kvs)
        return rows[0] if rows else None

    async def read_prefix(self, prefix: str) -> tuple[store.Row, ...]:
        """Return all rows with a prefix; see the base class."""
        response = await self._call("kv/range", _range(prefix), RangeResponse)
        return decode_rows(response.kvs)

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
        response = await self._call("kv/txn", body, TxnResponse)
        return store.Committed(
            response.succeeded, _whole_number(response.header.revision)
        )

    async def grant(self, ttl_s: int) -> int:
        """Grant a lease; see the base class."""
        body = {"TTL": str(ttl_s), "ID": "0"}
        return _whole_number(
            (await self._call("lease/grant", body, LeaseGrantResponse)).ID
        )

    async def keep_alive(self, lease: int) -> bool:
        """Keep a lease alive; see the base class."""
        body = {"ID": str(lease)}
        response = await self._call("lease/keepalive", body, LeaseKeepAliveResponse)
        return _whole_number(response.result.TTL) > 0

    async def watch(self, prefix: str, after: int, listener: store.Listener) -> None:
        """Watch a prefix; see the base class."""
        create = {**_range(prefix), "start_revision": str(after + 1)}
        receiver = _body.BodyReceiver(WatchDecoder(listener).receive)
        try:
            response = await self._post("watch", {"create_request": create}).addTimeout(
                self._timeout_s, self._reactor
            )
            response.deliverBody(receiver)
            await receiver.done
        except _CALL_ERRORS as failure:
            raise errors.StoreError(f"watch: {failure!r}") from failure

    async def _call(
        self, path: str, body: dict[str, typing.Any], kind: type[Response]
    ) -> Response:
        buffer = _ResponseBuffer()
        try:
            await self._fetch(path, body, buffer).addTimeout(
                self._timeout_s, self._reactor
            )
        except _CALL_ERRORS as failure:
            raise errors.StoreError(f"{path}: {failure!r}") from failure
        return decode_response(buffer.content(), kind)

    @defer.inlineCallbacks
    def _fetch(
        self, path: str, body: dict[str, typing.Any], buffer: "_ResponseBuffer"
    ) -> typing.Generator[defer.Deferred[typing.Any], typing.Any, None]:
        response = yield self._post(path, body)
        receiver = _body.BodyReceiver(buffer.append)
        response.deliverBody(receiver)
        yield receiver.done

    @defer.inlineCallbacks
    def _post(
        self, path: str, body: dict[str, typing.Any]
    ) -> typing.Generator[defer.Deferred[typing.Any], typing.Any, typing.Any]:
        # treq keeps a copy of each body unless it is unbuffered. The copy of a
        # watch's body would grow for as long as the watch lasts.
        response = yield self._http.post(
            f"{self._url}/v3/{path}", data=json.dumps(body).encode(), unbuffered=True
        )
        if response.code != _HTTP_OK:
            response.deliverBody(_body.BodyReceiver(lambda _: None))
            raise ValueError(f"HTTP status {response.code}")
        return response


class _ResponseBuffer:
    """Collects a response body up to ``MAX_RESPONSE_BYTES``."""

    def __init__(self) -> None:
        self._chunks: list[bytes] = []
        self._size_bytes = 0

    def append(self, data: bytes) -> None:
        self._size_bytes += len(data)
        if self._size_bytes > MAX_RESPONSE_BYTES:
            raise errors.StoreError("the response is too long")
        self._chunks.append(data)

    def content(self) -> bytes:
        return b"".join(self._chunks)


class WatchDecoder:
    """Splits a watch's byte stream into JSON lines and passes their rows on."""

    def __init__(self, listener: store.Listener) -> None:
        """Create a decoder that passes the rows of each line to a listener."""
        self._listener = listener
        self._partial_line = b""

    def receive(self, data: bytes) -> None:
        """Decode the complete lines of the stream, and keep the rest.

        Raises:
            errors.StoreError: A line is too long or is not a message of a watch.
        """
        *lines, self._partial_line = (self._partial_line + data).split(b"\n")
        if len(self._partial_line) > MAX_LINE_BYTES:
            raise errors.StoreError("a line of the watch is too long")
        for line in lines:
            if line.strip():
                self._decode_line(line)

    def _decode_line(self, line: bytes) -> None:
        events = decode_response(line, WatchLine).result.events
        puts = decode_rows(event.kv for event in events if event.type == "PUT")
        if puts:
            self._listener(puts)


def _range(prefix: str) -> dict[str, str]:
    end = prefix[:-1] + chr(ord(prefix[-1]) + 1)
    return {"key": _encode(prefix.encode()), "range_end": _encode(end.encode())}


def _encode(value: bytes) -> str:
    return base64.b64encode(value).decode()
