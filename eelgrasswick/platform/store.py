"""Client of the platform's store over HTTP/1.1."""

import typing

import h11
from twisted.internet import defer, endpoints, error, protocol
from twisted.protocols import policies

from eelgrasswick import errors
from eelgrasswick.cookie import model, source
from eelgrasswick.platform import answers, names

# The store answers in about 4 ms, and in 0.25 s when it is 60 times as slow. A large
# configuration takes seconds over a slow link, so an answer is given up only when no
# byte of it arrives for this time, or after MAX_ANSWER_MS in all.
ANSWER_TIMEOUT_MS: typing.Final = 700
MAX_ANSWER_MS: typing.Final = 8000
CONNECT_TIMEOUT_MS: typing.Final = 500


class _Connection(protocol.Protocol, policies.TimeoutMixin):
    """One connection to the store, with one call at a time.

    Attributes:
        open: False once the connection is closed.
        received_bytes: Number of bytes received since the call began.
    """

    def __init__(self, reactor: typing.Any, host: str) -> None:
        self._reactor = reactor
        self._host = host
        self._http = h11.Connection(h11.CLIENT, answers.MAX_BODY_BYTES)
        self._pending: defer.Deferred[answers.HttpResponse] | None = None
        self._status = 0
        self._parts: list[bytes] = []
        self.open = True
        self.received_bytes = 0

    def callLater(  # noqa: N802
        self, period: float, func: typing.Callable[[], None]
    ) -> typing.Any:
        """Start the timer of the mixin on the reactor of this client."""
        return self._reactor.callLater(period, func)

    def call(
        self, path: str, first_byte_ms: int
    ) -> "defer.Deferred[answers.HttpResponse]":
        """Send a call; the deferred fails when the connection closes.

        Args:
            path: Path and query.
            first_byte_ms: How long to wait for the first byte of the answer.
        """
        self.setTimeout(first_byte_ms / 1000)
        self._pending = defer.Deferred(self._cancel)
        self._parts = []
        self.received_bytes = 0
        self._write(answers.encode_request(self._http, self._host, path))
        return self._pending

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Process bytes of a response."""
        self.received_bytes += len(data)
        self.setTimeout(ANSWER_TIMEOUT_MS / 1000)
        try:
            self._http.receive_data(data)
            self._handle_events()
        except h11.RemoteProtocolError as failure:
            self._fail(failure)

    def connectionLost(self, reason: typing.Any = protocol.connectionDone) -> None:  # noqa: N802
        """Fail the pending call."""
        self._fail(reason.value)

    def timeoutConnection(self) -> None:  # noqa: N802
        """Fail the pending call, whose answer makes no progress."""
        self._fail(TimeoutError("the answer makes no progress"))

    def close(self) -> None:
        """Abort the connection."""
        self.open = False
        self.setTimeout(None)
        if self.transport is not None:
            typing.cast(typing.Any, self.transport).abortConnection()

    def _handle_events(self) -> None:
        while True:
            event = self._http.next_event()
            if event in (h11.NEED_DATA, h11.PAUSED):
                return
            if isinstance(event, h11.Response):
                self._status = event.status_code
            elif isinstance(event, h11.Data):
                self._parts.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                self._complete()
            elif isinstance(event, h11.ConnectionClosed):
                self._fail(ValueError("the store closed the connection"))
                return

    def _complete(self) -> None:
        pending, self._pending = self._pending, None
        self.setTimeout(None)
        if self._http.our_state is h11.MUST_CLOSE:
            self.close()
        else:
            self._http.start_next_cycle()
        if pending is not None:
            pending.callback(answers.HttpResponse(self._status, b"".join(self._parts)))

    def _fail(self, failure: BaseException) -> None:
        pending, self._pending = self._pending, None
        self.close()
        if pending is not None:
            detail = f"{type(failure).__name__}: {failure}"
            pending.errback(
                errors.StoreError(f"{detail}, {self.received_bytes} bytes received")
            )

    def _cancel(self, _: object) -> None:
        # The connection is closed, because a response that arrives later would be
        # treated as that of the next call.
        self._pending = None
        self.close()

    def _write(self, data: bytes | None) -> None:
        if data:
            typing.cast(typing.Any, self.transport).write(data)


class Store(source.ChangeSource):
    """The store at an address, over one connection that is reopened when it closes."""

    def __init__(self, reactor: typing.Any, address: model.Address) -> None:
        """Create a client of the store at an address."""
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
        """Return the changes after a revision; see the base class."""
        query = {"prefix": "", "after": str(after), "wait_ms": str(wait_ms)}
        body = await self._call(names.WATCH_PATH, query, wait_ms + ANSWER_TIMEOUT_MS)
        try:
            answer = answers.rows(body["events"])
            revision = answers.whole_number(body["store_revision"])
        except answers.DECODE_ERRORS as failure:
            raise errors.StoreError(f"{names.WATCH_PATH}: {failure!r}") from failure
        return source.Changes(answer.rows, revision, after, answer.refused)

    async def _call(
        self, name: str, query: dict[str, str], first_byte_ms: int
    ) -> answers.Body:
        connection = await self._connected()
        call = connection.call(
            answers.request_target(name, query), first_byte_ms
        ).addTimeout((first_byte_ms + MAX_ANSWER_MS) / 1000, self._reactor)
        try:
            response = await call
        except errors.StoreError as failure:
            raise errors.StoreError(f"{name}: {failure.detail}") from failure
        except (defer.TimeoutError, defer.CancelledError) as failure:
            raise errors.StoreError(
                f"{name}: no complete response in {first_byte_ms + MAX_ANSWER_MS} ms,"
                f" {connection.received_bytes} bytes received"
            ) from failure
        return answers.decode_body(name, response)

    async def _connected(self) -> _Connection:
        known = self._connection
        if known is not None and known.open:
            return known
        host, port = self._address
        endpoint = endpoints.TCP4ClientEndpoint(
            self._reactor, host, port, timeout=CONNECT_TIMEOUT_MS / 1000
        )
        opened = _Connection(self._reactor, f"{host}:{port}")
        try:
            await endpoints.connectProtocol(endpoint, opened)
        except error.ConnectError as failure:
            raise errors.StoreError(f"connect: {type(failure).__name__}") from failure
        self._connection = opened
        return opened
