"""Non-blocking listing of all rows of the platform's store.

Load pattern: hundreds of VMs that start together after a power loss. Their listings
fill the store's link, so that each takes several times as long as a single one. The VM
uses the time for other work, and does not give up a listing that makes progress.
"""

import select
import socket
import time
import typing

import h11

from eelgrasswick import errors
from eelgrasswick.cookie import clock, model, source
from eelgrasswick.platform import answers, names

_CHUNK_BYTES: typing.Final = 65_536


class ListingReader:
    """A listing in progress.

    Attributes:
        requested_ms: When the listing was requested; the age of its rows counts from
            then.
        progress_s: When it last made progress, in monotonic seconds.
    """

    def __init__(self, store: model.Address) -> None:
        """Create a listing, and start to connect to the store."""
        self.requested_ms = clock.now_ms()
        self.progress_s = time.monotonic()
        self._host = f"{store.host}:{store.port}"
        self._listing = answers.Listing()
        self._http = h11.Connection(h11.CLIENT, answers.MAX_BODY_BYTES)
        self._status = 0
        self._parts: list[bytes] = []
        self._requested = False
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._socket.setblocking(False)
        self._socket.connect_ex(store)

    def close(self) -> None:
        """Close the connection."""
        self._socket.close()

    def read(self, wait_s: float) -> source.Changes | None:
        """Process the bytes that have arrived.

        Args:
            wait_s: How long to wait for bytes, in seconds.

        Returns:
            All rows once the last page has arrived, None before.

        Raises:
            errors.StoreError: The store refuses the call, or its response can't be
                decoded.
            OSError: The connection failed.
        """
        if not self._ready(wait_s):
            return None
        if not self._requested:
            self._send_first()
            return None
        chunk = self._socket.recv(_CHUNK_BYTES)
        if not chunk:
            raise errors.StoreError("the store closed the connection")
        self.progress_s = time.monotonic()
        self._http.receive_data(chunk)
        self._handle_events()
        return self._listing.changes() if self._listing.query is None else None

    def register(self, poll: select.poll) -> None:
        """Register the event that the listing waits for."""
        poll.register(
            self._socket, select.POLLIN if self._requested else select.POLLOUT
        )

    def _ready(self, wait_s: float) -> bool:
        poll = select.poll()
        self.register(poll)
        return bool(poll.poll(1000 * wait_s))

    def _send_first(self) -> None:
        error = self._socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error:
            raise OSError(error, "connect")
        self._requested = True
        self.progress_s = time.monotonic()
        self._send_next()

    def _send_next(self) -> None:
        if self._listing.query is None:
            return
        target = answers.request_target(names.RANGE_PATH, self._listing.query)
        self._socket.sendall(answers.encode_request(self._http, self._host, target))

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
                self._add_page()
                return
            else:
                raise errors.StoreError("the store closed the connection")

    def _add_page(self) -> None:
        body = b"".join(self._parts)
        self._parts = []
        response = answers.HttpResponse(self._status, body)
        self._listing.add(answers.decode_body(names.RANGE_PATH, response))
        if self._listing.query is None:
            return
        self._http.start_next_cycle()
        self._send_next()
