"""Carries callers' packets while the libraries are imported.

Their import takes 0.2 s of a core, and more on a small one. After a loss of power of
all VMs callers find nobody meanwhile, and requests with deadlines below a second are
late or lost. What decides about packets needs none of these libraries; so it is
imported first, the store is asked for all rows, and the libraries are imported part
by part, with the packets that came meanwhile carried after each. A VM that starts
while others serve asks one of them first, which spares the store a listing and tells
of the other VMs, too.

A thread for the import would carry them sooner still, but a VM's threads may take
turns of a tenth of a second.
"""

import importlib
import socket
import time
import typing

import h11

from eelgrasswick import errors
from eelgrasswick.cookie import (
    bootstrap,
    carrying,
    clock,
    knowledge,
    model,
    source,
    steering,
)
from eelgrasswick.platform import listing

if typing.TYPE_CHECKING:
    from eelgrasswick.cookie import peers

# How long the start waits for the store before the libraries are imported, while no
# bytes come and in all. A store that answers at once has then told all rows.
IDLE_S: typing.Final = 0.03
FIRST_S: typing.Final = 0.1
# Without bytes for so long, and with all libraries imported, the start goes on without
# the store and hears from other VMs.
STALL_S: typing.Final = 0.5
# The libraries in an order in which none brings in much more than itself.
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
# A listing that comes on may take so many times as long.
MOST_STALLS: typing.Final = 4
# Packets between two imports at most, or a flood of them would put off the start.
MAX_TAKEN: typing.Final = 500
_CHUNK_BYTES: typing.Final = 65_536
_ORIGIN: typing.Final = "store"


class Early:
    """Carries packets by a bound socket until the reactor can."""

    def __init__(
        self,
        carrier: carrying.Carrier,
        waiting: socket.socket,
        bound_ms: int,
        seeds: typing.Sequence[model.Address] = (),
    ) -> None:
        """Carry the packets that wait in a socket.

        Args:
            carrier: Decides about them.
            waiting: The socket; it does not block.
            bound_ms: When it was bound.
            seeds: Other VMs, where they answer those that lack rows.
        """
        self.members: tuple[peers.Member, ...] = ()
        self._seeds = seeds
        self._reading: listing.Reading | None = None
        self._carrier = carrier
        self._socket = waiting
        self._bound_ms = bound_ms

    def run(self, store: model.Address) -> None:
        """Learn all rows, import the libraries, and carry packets meanwhile."""
        if not self._learn_from_peer():
            self._reading = listing.Reading(store)
            self._read(IDLE_S, FIRST_S)
        self._take_all()
        for name in LIBRARIES:
            importlib.import_module(name)
            self._read(0.0, 0.0)
            self._take_all()
        if not self._carrier.began:
            self._read(STALL_S, STALL_S * MOST_STALLS)
            self._take_all()
        if self._reading is not None:
            self._give_up("no answer in time")

    def _learn_from_peer(self) -> bool:
        answer = bootstrap.fetch_rows(self._seeds, self._carrier.parts.log)
        if answer is None:
            return False
        known = self._carrier.parts.knowledge
        now_ms = clock.now_ms()
        merge = answer.offer.merge_into(now_ms, answer.requested_ms, known)
        self._carrier.learned(now_ms, merge, answer.host)
        self.members = answer.offer.sender_state.members
        self._carrier.parts.log.write(
            "bootstrapped",
            peer=answer.host,
            took_ms=now_ms - answer.requested_ms,
            members=len(self.members),
            revision=known.revision,
            age_ms=knowledge.reported_age_ms(known.age_ms(now_ms)),
        )
        # What an outage of the store has made old is better than nothing, but the
        # store may be back by now.
        return known.age_ms(now_ms) <= steering.SURE_MS

    def _read(self, idle_s: float, total_s: float) -> None:
        """Read on in the listing, if it has not come to its end.

        Args:
            idle_s: How long to wait when no bytes come.
            total_s: How long to wait in all.
        """
        end_s = time.monotonic() + total_s
        while self._reading is not None:
            before_s = self._reading.progress_s
            wait_s = min(before_s + idle_s, end_s) - time.monotonic()
            try:
                changes = self._reading.read(max(0.0, wait_s))
            except (errors.EelgrasswickError, OSError, h11.ProtocolError) as fault:
                self._give_up(f"{type(fault).__name__}: {fault}")
                return
            if changes is not None:
                self._learn(changes, self._reading.asked_ms)
                self._end_reading()
            elif wait_s <= 0 and self._reading.progress_s == before_s:
                return

    def _learn(self, changes: source.Changes, asked_ms: int) -> None:
        known = self._carrier.parts.knowledge
        now_ms = clock.now_ms()
        self._carrier.learned(now_ms, known.merge(now_ms, changes), _ORIGIN)
        known.confirm(changes.revision, asked_ms)

    def _give_up(self, detail: str) -> None:
        self._carrier.parts.log.write("early_read_failed", detail=detail)
        self._end_reading()

    def _end_reading(self) -> None:
        if self._reading is not None:
            self._reading.close()
        self._reading = None

    def _take_all(self) -> None:
        if not self._carrier.parts.catalog.ready:
            return
        if not self._carrier.began:
            self._carrier.send = self._send
            self._carrier.begin(clock.now_ms() - self._bound_ms)
        for _ in range(MAX_TAKEN):
            try:
                raw, address = self._socket.recvfrom(_CHUNK_BYTES)
            except BlockingIOError:
                break
            self._carrier.take(raw, address[0])
        self._carrier.parts.log.flush()

    def _send(self, datagram: bytes, address: model.Address) -> None:
        try:
            self._socket.sendto(datagram, address)
        except OSError as failure:
            # It is lost, like any other; its sender sends it again.
            self._carrier.parts.stats.counts["datagrams_unsent"] += 1
            self._carrier.parts.log.write(
                "datagram_unsent", to=address.host, detail=str(failure)
            )
