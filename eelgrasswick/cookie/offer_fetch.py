"""Non-blocking fetch of an offer from the seeds, beside the listing of a starting VM.

Load pattern: all VMs lose power and start together. At first no VM has rows to offer,
and the listings of all VMs share the store's link. VMs on fast links have all rows
within a tenth of a second, while the listing of a large configuration takes several
times as long on a slow link. An offer has the same rows in about a tenth of the bytes,
so a VM on a slow link asks the seeds again and again until one of them has rows.
Without these requests it would serve no caller until its own listing is complete.

Seeds that do not accept connections do not hold up the others, because a further
attempt starts after each pause. Only one seed at a time receives a request, because two
offers would compete for the link on which the listing arrives.
"""

import collections
import errno
import importlib
import select
import socket
import time
import typing

from eelgrasswick import errors
from eelgrasswick.cookie import bootstrap, clock, event_log, model

if typing.TYPE_CHECKING:
    from eelgrasswick.cookie import offer

# Time between the starts of two attempts, and after a failed one. A seed that starts
# gets one connection per pause from each starting VM, divided by the number of seeds.
PAUSE_S: typing.Final = 0.04
MAX_ATTEMPTS: typing.Final = 3
# The listing may fill this VM's link, so that a seed's reply is queued behind it. This
# time is therefore far above the round trip of 3 ms between zones.
CONNECT_TIMEOUT_S: typing.Final = 0.3
# A seed that accepted the connection has this long to send its next bytes.
IDLE_TIMEOUT_S: typing.Final = 0.2
# An offer may take this long in total, as one that a running VM fetches.
RESPONSE_TIMEOUT_S: typing.Final = 1.0
_CHUNK_BYTES: typing.Final = 65_536


class _Attempt:
    """A connection to a seed.

    Attributes:
        address: The seed.
        requested_ms: When the request was sent; None before.
        progress_s: When the attempt last made progress, in monotonic seconds.
    """

    def __init__(self, address: model.Address) -> None:
        """Create an attempt, and start to connect to the seed.

        Raises:
            OSError: The connection failed at once.
        """
        self.address = address
        self.requested_ms: int | None = None
        self.progress_s = time.monotonic()
        self._requested_s = self.progress_s
        self._data = bytearray()
        self._strings: list[bytes] = []
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._socket.setblocking(False)
        error = self._socket.connect_ex(address)
        if error not in (0, errno.EINPROGRESS):
            self._socket.close()
            raise OSError(error, "connect")

    @property
    def deadline_s(self) -> float:
        """When the attempt is given up, unless it makes progress before."""
        if self.requested_ms is None:
            return self.progress_s + CONNECT_TIMEOUT_S
        return min(
            self.progress_s + IDLE_TIMEOUT_S, self._requested_s + RESPONSE_TIMEOUT_S
        )

    def close(self) -> None:
        """Close the connection."""
        self._socket.close()

    def register(self, poll: select.poll) -> int:
        """Register the event that the attempt waits for; return the descriptor."""
        event = select.POLLOUT if self.requested_ms is None else select.POLLIN
        poll.register(self._socket, event)
        return self._socket.fileno()

    def advance(self) -> "offer.Offer | None":
        """Send the request over a new connection, or process received bytes.

        Returns:
            The offer once all its bytes have arrived, None before.

        Raises:
            errors.MessageInvalidError: The seed sent no valid offer with rows.
            OSError: The connection failed.
        """
        if self.requested_ms is None:
            self._send_request()
            return None
        try:
            while True:
                received = self._receive()
                if received is not None:
                    return received
        except BlockingIOError:
            return None

    def _send_request(self) -> None:
        error = self._socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error:
            raise OSError(error, "connect")
        self.requested_ms = clock.now_ms()
        self._socket.sendall(bootstrap.REQUEST)
        self.progress_s = self._requested_s = time.monotonic()

    def _receive(self) -> "offer.Offer | None":
        chunk = self._socket.recv(_CHUNK_BYTES)
        if not chunk:
            raise errors.MessageInvalidError("connection closed before the offer ended")
        self.progress_s = time.monotonic()
        self._data += chunk
        # The module imports cbor2, and is imported only once bytes of an offer have
        # arrived. Until then the import would delay the listing.
        decoder: typing.Any = importlib.import_module("eelgrasswick.cookie.offer")
        self._strings += bootstrap.take_strings(self._data, decoder.MAX_BYTES)
        if len(self._strings) < decoder.STRING_COUNT:
            return None
        received: offer.Offer = decoder.decode(*self._strings[: decoder.STRING_COUNT])
        if not received.changes.rows:
            raise errors.MessageInvalidError("offer without rows")
        return received


class OfferFetch:
    """Attempts to fetch an offer from the seeds, until one of them sends rows."""

    def __init__(
        self, seeds: typing.Sequence[model.Address], log: event_log.EventLog
    ) -> None:
        """Create a fetch whose first attempt starts after a pause.

        Args:
            seeds: Addresses at which other VMs serve their rows.
            log: Receives a line for each kind of failure of each seed.
        """
        self._created_s = time.monotonic()
        self._next_start_s = self._created_s + PAUSE_S
        self._seeds = collections.deque(dict.fromkeys(bootstrap.rotate(seeds)))
        self._log = log
        self._attempts: list[_Attempt] = []
        self._logged: set[tuple[model.Address, str]] = set()

    @property
    def progress_s(self) -> float:
        """When the awaited offer last made progress, in monotonic seconds.

        Attempts that failed do not count. Otherwise seeds without rows would prolong
        the wait for a store that sends no bytes.
        """
        awaited = [item for item in self._attempts if item.requested_ms is not None]
        return max((item.progress_s for item in awaited), default=self._created_s)

    @property
    def requested(self) -> bool:
        """True while a seed that accepted a connection is to send its offer."""
        return any(item.requested_ms is not None for item in self._attempts)

    @property
    def due_s(self) -> float:
        """When ``poll`` is to be called even if no bytes arrive, monotonic seconds."""
        times_s = [item.deadline_s for item in self._attempts]
        if self._may_start():
            times_s.append(self._next_start_s)
        return min(times_s, default=float("inf"))

    def close(self) -> None:
        """Close all connections."""
        for item in self._attempts:
            item.close()
        self._attempts = []

    def register(self, poll: select.poll) -> dict[int, _Attempt]:
        """Register the events that the attempts wait for.

        Returns:
            The attempts by descriptor. While an offer is awaited, these are only the
            attempt that awaits it.
        """
        awaiting = [item for item in self._attempts if item.requested_ms is not None]
        return {item.register(poll): item for item in awaiting or self._attempts}

    def poll(self) -> bootstrap.Response | None:
        """Advance the attempts without blocking.

        Returns:
            The first offer with rows, None before.
        """
        response = self._advance_ready()
        if response is None:
            self._end_late()
            self._start_due()
        return response

    def _advance_ready(self) -> bootstrap.Response | None:
        if not self._attempts:
            return None
        poll = select.poll()
        attempts = self.register(poll)
        for descriptor, _ in poll.poll(0):
            attempt = attempts[descriptor]
            received = self._advance(attempt)
            if received is not None and attempt.requested_ms is not None:
                host = attempt.address.host
                return bootstrap.Response(host, attempt.requested_ms, received)
            if self.requested:
                # The other connections wait until this seed has sent its offer.
                break
        return None

    def _advance(self, attempt: _Attempt) -> "offer.Offer | None":
        try:
            return attempt.advance()
        except (errors.MessageInvalidError, OSError) as fault:
            self._end(attempt, fault)
            return None

    def _end_late(self) -> None:
        now_s = time.monotonic()
        for item in list(self._attempts):
            if now_s >= item.deadline_s:
                step = "connect" if item.requested_ms is None else "response"
                self._end(item, TimeoutError(step))

    def _end(self, attempt: _Attempt, fault: Exception) -> None:
        attempt.close()
        self._attempts.remove(attempt)
        self._next_start_s = time.monotonic() + PAUSE_S
        self._log_failure(attempt.address, fault)

    def _log_failure(self, address: model.Address, fault: Exception) -> None:
        # A seed that has not started refuses every attempt in the same way.
        failure = (address, f"{type(fault).__name__}: {fault}")
        if failure not in self._logged:
            self._logged.add(failure)
            bootstrap.log_failure(self._log, address, fault)

    def _may_start(self) -> bool:
        limit = min(MAX_ATTEMPTS, len(self._seeds))
        return len(self._attempts) < limit and not self.requested

    def _start_due(self) -> None:
        now_s = time.monotonic()
        if now_s < self._next_start_s or not self._may_start():
            return
        self._next_start_s = now_s + PAUSE_S
        address = self._next_seed()
        try:
            self._attempts.append(_Attempt(address))
        except OSError as fault:
            self._log_failure(address, fault)

    def _next_seed(self) -> model.Address:
        busy = {item.address for item in self._attempts}
        while True:
            self._seeds.rotate(-1)
            if self._seeds[-1] not in busy:
                return self._seeds[-1]
