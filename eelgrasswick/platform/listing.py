"""All rows of the platform's store, read without an event loop or a wait.

Answers the load of hundreds of VMs that start together after a loss of power. Their
listings fill the store's link, so that each takes several times as long as one alone;
the time is used for other work, and a listing that comes on is not given up.
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
    """A listing that is under way.

    Attributes:
        asked_ms: When it was asked for; the age of its rows counts from then.
        progress_s: When it last got on; monotonic time.
    """

    def __init__(self, store: model.Address) -> None:
        """Begin to connect to the store."""
        self.asked_ms = clock.now_ms()
        self.progress_s = time.monotonic()
        self._host = f"{store.host}:{store.port}"
        self._listing = answers.Listing()
        self._http = h11.Connection(h11.CLIENT, answers.MAX_BODY_BYTES)
        self._status = 0
        self._parts: list[bytes] = []
        self._asked = False
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._socket.setblocking(False)
        self._socket.connect_ex(store)

    def close(self) -> None:
        """Close the connection."""
        self._socket.close()

    def read(self, wait_s: float) -> source.Changes | None:
        """Take what has come.

        Args:
            wait_s: How long to wait for something.

        Returns:
            All rows once the last page is there, None before.

        Raises:
            errors.StoreError: The store refuses, or its answer can't be read.
            OSError: The connection failed.
        """
        if not self._wait(wait_s):
            return None
        if not self._asked:
            self._ask()
            return None
        chunk = self._socket.recv(_CHUNK_BYTES)
        if not chunk:
            raise errors.StoreError("the store closed the connection")
        self.progress_s = time.monotonic()
        self._http.receive_data(chunk)
        self._events()
        return self._listing.changes() if self._listing.query is None else None

    def _wait(self, wait_s: float) -> bool:
        waiting = select.poll()
        waiting.register(self._socket, select.POLLIN if self._asked else select.POLLOUT)
        return bool(waiting.poll(1000 * wait_s))

    def _ask(self) -> None:
        fault = self._socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if fault:
            raise OSError(fault, "connect")
        self._asked = True
        self.progress_s = time.monotonic()
        self._send_next()

    def _send_next(self) -> None:
        if self._listing.query is None:
            return
        asked = answers.request_target(names.RANGE_PATH, self._listing.query)
        self._socket.sendall(answers.encode_request(self._http, self._host, asked))

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
                self._page()
                return
            else:
                raise errors.StoreError("the store closed the connection")

    def _page(self) -> None:
        body = b"".join(self._parts)
        self._parts = []
        answer = answers.HttpResponse(self._status, body)
        self._listing.add(answers.decode_body(names.RANGE_PATH, answer))
        if self._listing.query is None:
            return
        self._http.start_next_cycle()
        self._send_next()
