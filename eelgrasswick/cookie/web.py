"""A small HTTP server for the readiness probe and the metrics."""

import typing

import h11
from twisted.internet import protocol
from twisted.protocols import policies

# A connection that says nothing would hold a descriptor for good.
IDLE_TIMEOUT_S: typing.Final = 30


class Page(typing.NamedTuple):
    """An answer: HTTP status and text."""

    status: int
    text: str


Pages = dict[str, typing.Callable[[], Page]]


class Web(protocol.Protocol, policies.TimeoutMixin):
    """Answers GET requests by path, one after the other."""

    def __init__(self, pages: Pages) -> None:
        """Answer with the pages of some paths; others get 404."""
        self._pages = pages
        self._http = h11.Connection(h11.SERVER)

    def connectionMade(self) -> None:  # noqa: N802
        """Bound how long the client may be silent."""
        self.setTimeout(IDLE_TIMEOUT_S)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Take bytes of a request."""
        self.resetTimeout()
        try:
            self._http.receive_data(data)
            self._events()
        except h11.ProtocolError:
            typing.cast(typing.Any, self.transport).loseConnection()

    def connectionLost(self, reason: typing.Any = protocol.connectionDone) -> None:  # noqa: N802
        """Stop the timer."""
        self.setTimeout(None)

    def _events(self) -> None:
        while True:
            event = self._http.next_event()
            if event in (h11.NEED_DATA, h11.PAUSED):
                return
            if isinstance(event, h11.Request):
                self._answer(event)
            elif isinstance(event, h11.EndOfMessage):
                if self._http.our_state is h11.MUST_CLOSE:
                    typing.cast(typing.Any, self.transport).loseConnection()
                    return
                self._http.start_next_cycle()
            elif isinstance(event, h11.ConnectionClosed):
                typing.cast(typing.Any, self.transport).loseConnection()
                return

    def _answer(self, request: h11.Request) -> None:
        path = request.target.decode("latin-1").partition("?")[0]
        known = self._pages.get(path)
        page = known() if known is not None else Page(404, "no such page\n")
        body = page.text.encode()
        headers = [
            ("Content-Type", "text/plain; charset=utf-8"),
            ("Content-Length", str(len(body))),
        ]
        transport = typing.cast(typing.Any, self.transport)
        response = h11.Response(status_code=page.status, headers=headers)
        parts = [
            self._http.send(response),
            self._http.send(h11.Data(data=body)),
            self._http.send(h11.EndOfMessage()),
        ]
        transport.write(b"".join(part for part in parts if part))


class WebFactory(protocol.Factory):
    """Makes a ``Web`` for each connection."""

    noisy = False

    def __init__(self, pages: Pages) -> None:
        """Serve some pages."""
        self._pages = pages

    def buildProtocol(self, addr: object) -> Web:  # noqa: N802
        """Return the protocol of a new connection."""
        return Web(self._pages)
