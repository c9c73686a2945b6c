"""A small HTTP server for the readiness probe and the metrics."""

import typing

import h11
from twisted.internet import protocol
from twisted.protocols import policies

# Without a time-out an idle connection would occupy a file descriptor forever.
IDLE_TIMEOUT_S: typing.Final = 30


class Page(typing.NamedTuple):
    """The HTTP status and text of a response."""

    status: int
    text: str


Pages = dict[str, typing.Callable[[], Page]]


class HttpProtocol(protocol.Protocol, policies.TimeoutMixin):
    """Responds to the HTTP requests of one connection by path, one at a time."""

    def __init__(self, pages: Pages) -> None:
        """Create a protocol that serves pages by path, and 404 for other paths."""
        self._pages = pages
        self._http = h11.Connection(h11.SERVER)

    def connectionMade(self) -> None:  # noqa: N802
        """Start the idle time-out of the connection."""
        self.setTimeout(IDLE_TIMEOUT_S)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Handle received bytes of requests."""
        self.resetTimeout()
        try:
            self._http.receive_data(data)
            self._handle_events()
        except h11.ProtocolError:
            typing.cast(typing.Any, self.transport).loseConnection()

    def connectionLost(self, reason: typing.Any = protocol.connectionDone) -> None:  # noqa: N802
        """Cancel the idle time-out."""
        self.setTimeout(None)

    def _handle_events(self) -> None:
        while True:
            event = self._http.next_event()
            if event in (h11.NEED_DATA, h11.PAUSED):
                return
            if isinstance(event, h11.Request):
                self._respond(event)
            elif isinstance(event, h11.EndOfMessage):
                if self._http.our_state is h11.MUST_CLOSE:
                    typing.cast(typing.Any, self.transport).loseConnection()
                    return
                self._http.start_next_cycle()
            elif isinstance(event, h11.ConnectionClosed):
                typing.cast(typing.Any, self.transport).loseConnection()
                return

    def _respond(self, request: h11.Request) -> None:
        path = request.target.decode("latin-1").partition("?")[0]
        make_page = self._pages.get(path)
        page = make_page() if make_page is not None else Page(404, "no such page\n")
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
    """Creates an ``HttpProtocol`` for each connection."""

    noisy = False

    def __init__(self, pages: Pages) -> None:
        """Create a factory whose protocols serve pages by path."""
        self._pages = pages

    def buildProtocol(self, addr: object) -> HttpProtocol:  # noqa: N802
        """Create the protocol of a new connection."""
        return HttpProtocol(self._pages)
