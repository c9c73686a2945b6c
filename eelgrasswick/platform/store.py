"""The platform's store over HTTP/1.1, as the product reads it."""

import typing

import h11
from twisted.internet import defer, endpoints, error, protocol

from eelgrasswick import errors
from eelgrasswick.cookie import model, source
from eelgrasswick.platform import answers, names

# The store answers in about 4 ms, and in 0.25 s when it is slow (60 times).
ANSWER_TIMEOUT_MS: typing.Final = 700
CONNECT_TIMEOUT_MS: typing.Final = 500


class _Connection(protocol.Protocol):
    """One connection to the store, one call at a time."""

    def __init__(self, host: str) -> None:
        self._host = host
        self._http = h11.Connection(h11.CLIENT, answers.MAX_BODY_BYTES)
        self._waiting: defer.Deferred[answers.HttpResponse] | None = None
        self._status = 0
        self._parts: list[bytes] = []
        self.open = True

    def call(self, path: str) -> "defer.Deferred[answers.HttpResponse]":
        """Send a call; the deferred fails when the connection ends."""
        self._waiting = defer.Deferred(self._cancel)
        self._parts = []
        self._write(answers.encode_request(self._http, self._host, path))
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
            waiting.callback(answers.HttpResponse(self._status, b"".join(self._parts)))

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
        listing = answers.Listing()
        while listing.query is not None:
            listing.add(
                await self._call(names.RANGE_PATH, listing.query, ANSWER_TIMEOUT_MS)
            )
        return listing.changes()

    async def changes(self, after: int, wait_ms: int) -> source.Changes:
        """Return what changed after a revision; see the base class."""
        query = {"prefix": "", "after": str(after), "wait_ms": str(wait_ms)}
        body = await self._call(names.WATCH_PATH, query, wait_ms + ANSWER_TIMEOUT_MS)
        try:
            rows = tuple(answers.row(item) for item in body["events"])
            revision = answers.whole_number(body["store_revision"])
        except answers.DECODE_ERRORS as fault:
            raise errors.StoreError(f"{names.WATCH_PATH}: {fault!r}") from fault
        return source.Changes(rows, revision, after)

    async def _call(
        self, name: str, query: dict[str, str], timeout_ms: int
    ) -> answers.Body:
        connection = await self._connected()
        call = connection.call(answers.request_target(name, query)).addTimeout(
            timeout_ms / 1000, self._reactor
        )
        try:
            answer = await call
        except (defer.TimeoutError, defer.CancelledError) as fault:
            raise errors.StoreError(f"{name}: no answer in {timeout_ms} ms") from fault
        return answers.decode_body(name, answer)

    async def _connected(self) -> _Connection:
        known = self._connection
        if known is not None and known.open:
            return known
        host, port = self._address
        end = endpoints.TCP4ClientEndpoint(
            self._reactor, host, port, timeout=CONNECT_TIMEOUT_MS / 1000
        )
        made = _Connection(f"{host}:{port}")
        try:
            await endpoints.connectProtocol(end, made)
        except error.ConnectError as fault:
            raise errors.StoreError(f"connect: {type(fault).__name__}") from fault
        self._connection = made
        return made
