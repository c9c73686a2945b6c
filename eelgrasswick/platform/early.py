"""Forwards callers' packets while the libraries are imported.

The import takes 0.2 s of a core, and more on a small one. After a power loss of all VMs
no VM would serve callers in that time, and requests with deadlines below a second would
be late or lost. The modules that decide about packets need none of these libraries, so
they are imported first. Then the VM requests all rows from the store, and the libraries
are imported one by one; after each import the packets that arrived during it are
forwarded. A VM that starts while others serve requests the rows from one of them first,
which saves the store a listing and also provides the addresses of the other VMs.

When all VMs start together, none has rows at first, and the listing of a large
configuration takes long on a slow link. Beside the listing, the VM therefore asks its
seeds for an offer again and again, and uses whichever arrives first. VMs with fast
links have the rows early.

An import in a thread would forward packets sooner, but the threads of a VM may
alternate in turns of a tenth of a second.
"""

import importlib
import select
import socket
import time
import typing

import h11

from eelgrasswick import errors
from eelgrasswick.cookie import (
    bootstrap,
    carrying,
    clock,
    event_log,
    model,
    offer_fetch,
    source,
    steering,
    store_replica,
)
from eelgrasswick.platform import listing

if typing.TYPE_CHECKING:
    from eelgrasswick.cookie import peers

# These times limit how long the start waits for the store before the libraries are
# imported: while no bytes arrive, and in total. A store that answers at once has sent
# all rows by then.
FIRST_IDLE_S: typing.Final = 0.03
FIRST_READ_S: typing.Final = 0.1
# When no bytes arrive for this time and all libraries are imported, the start continues
# without the store, and the VM receives the rows from other VMs.
STALL_S: typing.Final = 0.5
# The order of these libraries is one in which none imports many modules besides itself.
LIBRARIES: typing.Final = (
    "random",
    "asyncio",
    "http.client",
    "urllib.request",
    "attr",
    "zope.interface",
    "twisted.python.reflect",
    "twisted.python.failure",
    "twisted.internet.interfaces",
    "twisted.internet.defer",
    "twisted.internet.protocol",
    "twisted.internet.address",
    "twisted.internet.base",
    "twisted.internet.tcp",
    "twisted.internet.epollreactor",
    "twisted.internet.endpoints",
    "cbor2",
)
# A listing that makes progress may take this many times as long as ``STALL_S``.
MAX_STALLS: typing.Final = 4
# At most this many packets are forwarded between two imports. Without this limit a
# flood of packets would delay the start.
MAX_PACKETS_PER_IMPORT: typing.Final = 500
_CHUNK_BYTES: typing.Final = 65_536
_ORIGIN: typing.Final = "store"


class StartupForwarder:
    """Forwards packets from a bound socket until the reactor runs."""

    def __init__(
        self,
        carrier: carrying.Carrier,
        data_socket: socket.socket,
        bound_ms: int,
        seeds: typing.Sequence[model.Address] = (),
    ) -> None:
        """Create a forwarder of the packets that wait in a socket.

        Args:
            carrier: Decides about the packets.
            data_socket: The bound socket; it is non-blocking.
            bound_ms: When the socket was bound, in milliseconds.
            seeds: Addresses at which other VMs answer VMs that lack rows.
        """
        self.members: tuple[peers.Member, ...] = ()
        self._seeds = seeds
        self._reader: listing.ListingReader | None = None
        self._fetch: offer_fetch.OfferFetch | None = None
        self._carrier = carrier
        self._data_socket = data_socket
        self._bound_ms = bound_ms

    def run(self, store: model.Address) -> None:
        """Read all rows, import the libraries, and forward packets meanwhile."""
        if not self._fetch_from_peer():
            self._reader = listing.ListingReader(store)
            if self._seeds and not self._carrier.parts.replica.revision:
                self._fetch = offer_fetch.OfferFetch(
                    self._seeds, self._carrier.parts.log
                )
            self._read(FIRST_IDLE_S, FIRST_READ_S)
        self._forward_waiting()
        for name in LIBRARIES:
            importlib.import_module(name)
            self._read(0.0, 0.0)
            self._forward_waiting()
        if not self._carrier.started:
            self._read(STALL_S, STALL_S * MAX_STALLS)
            self._forward_waiting()
        self._close_fetch()
        if self._reader is not None:
            self._give_up("no response from the store in time")

    def close(self) -> None:
        """Close the connections of a start that failed."""
        self.members = ()
        self._close_reader()
        self._close_fetch()

    def _fetch_from_peer(self) -> bool:
        answer = bootstrap.fetch_rows(self._seeds, self._carrier.parts.log)
        if answer is None:
            return False
        self._apply_offer(answer)
        self.members = answer.offer.sender_state.members
        return self._rows_recent()

    def _apply_offer(self, answer: bootstrap.Response) -> None:
        replica = self._carrier.parts.replica
        now_ms = clock.now_ms()
        merge = answer.offer.merge_into(now_ms, answer.requested_ms, replica)
        self._carrier.apply_rows(now_ms, merge, answer.host)
        self._carrier.parts.log.write(
            "bootstrapped",
            peer=answer.host,
            took_ms=now_ms - answer.requested_ms,
            members=len(answer.offer.sender_state.members),
            revision=replica.revision,
            age_ms=store_replica.reported_age_ms(replica.age_ms(now_ms)),
        )

    def _rows_recent(self) -> bool:
        # Rows that are old because of an outage of the store are better than none, but
        # the store may be available again by now.
        age_ms = self._carrier.parts.replica.age_ms(clock.now_ms())
        return age_ms <= steering.MAX_CATALOG_AGE_MS

    def _read(self, idle_s: float, total_s: float) -> None:
        """Continue to read the listing and to fetch an offer, until one starts the VM.

        Args:
            idle_s: How long to wait when no bytes arrive.
            total_s: How long to wait in total.
        """
        end_s = time.monotonic() + total_s
        while self._reader is not None or self._fetch is not None:
            before_s = self._progress_s()
            if self._read_listing() or self._poll_fetch():
                return
            if self._progress_s() > before_s:
                continue
            wait_s = min(before_s + idle_s, end_s) - time.monotonic()
            if wait_s <= 0 or not self._awaits_rows():
                return
            self._wait(wait_s)

    def _awaits_rows(self) -> bool:
        # After the listing failed, only an offer that a seed is about to send is
        # awaited. All VMs may wait like this one, and none offers rows before its
        # reactor runs.
        if self._reader is not None:
            return True
        return self._fetch is not None and self._fetch.requested

    def _progress_s(self) -> float:
        sources = (self._reader, self._fetch)
        return max((item.progress_s for item in sources if item), default=0.0)

    def _wait(self, wait_s: float) -> None:
        """Wait until the listing or the fetch can make progress."""
        poll = select.poll()
        if self._reader is not None:
            self._reader.register(poll)
        if self._fetch is not None:
            self._fetch.register(poll)
            wait_s = min(wait_s, self._fetch.due_s - time.monotonic())
        poll.poll(1000 * max(0.0, wait_s))

    def _read_listing(self) -> bool:
        """Process received bytes of the listing; return True if it is complete."""
        if self._reader is None:
            return False
        try:
            changes = self._reader.read(0.0)
        except (errors.EelgrasswickError, OSError, h11.ProtocolError) as error:
            self._give_up(f"{type(error).__name__}: {error}")
            return False
        if changes is None:
            return False
        self._merge(changes, self._reader.requested_ms)
        self._close_reader()
        self._close_fetch()
        return True

    def _poll_fetch(self) -> bool:
        """Advance the fetch of an offer; return True if this VM can start by it."""
        answer = self._fetch.poll() if self._fetch is not None else None
        if answer is None:
            return False
        # The members of the offer are not used. A seed that has just started lists
        # only some VMs, and this VM would take its rank among them for reliable.
        self._apply_offer(answer)
        self._close_fetch()
        ready = self._carrier.parts.catalog.ready
        if ready and self._rows_recent():
            self._close_reader()
        return ready

    def _merge(self, changes: source.Changes, requested_ms: int) -> None:
        replica = self._carrier.parts.replica
        now_ms = clock.now_ms()
        self._carrier.apply_rows(now_ms, replica.merge(now_ms, changes), _ORIGIN)
        replica.confirm(changes.revision, requested_ms)

    def _give_up(self, detail: str) -> None:
        self._carrier.parts.log.write("early_read_failed", detail=detail)
        self._close_reader()

    def _close_reader(self) -> None:
        if self._reader is not None:
            self._reader.close()
        self._reader = None

    def _close_fetch(self) -> None:
        if self._fetch is not None:
            self._fetch.close()
        self._fetch = None

    def _forward_waiting(self) -> None:
        if not self._carrier.parts.catalog.ready:
            return
        if not self._carrier.started:
            self._carrier.send = self._send
            self._carrier.start(clock.now_ms() - self._bound_ms)
        for _ in range(MAX_PACKETS_PER_IMPORT):
            try:
                raw, address = self._data_socket.recvfrom(_CHUNK_BYTES)
            except BlockingIOError:
                break
            self._carrier.handle_packet(raw, address[0])
        self._carrier.parts.log.flush()

    def _send(self, datagram: bytes, address: model.Address) -> None:
        try:
            self._data_socket.sendto(datagram, address)
        except OSError as failure:
            # The datagram is lost like any other, and its sender retransmits it.
            self._carrier.parts.stats.counts["datagrams_unsent"] += 1
            self._carrier.parts.log.write(
                "datagram_unsent", to=address.host, detail=str(failure)
            )


def log_failure(log: event_log.EventLog, error: Exception) -> None:
    """Log that the start failed before the reactor ran."""
    # The module is imported only in this case, because its import takes time.
    formatter: typing.Any = importlib.import_module("traceback")
    where = "".join(formatter.format_tb(error.__traceback__))
    log.write(
        "early_start_failed",
        detail=f"{type(error).__name__}: {error}",
        where=where[-event_log.MAX_TRACE_CHARACTERS :],
    )
