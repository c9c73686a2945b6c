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
    steering,
)
from eelgrasswick.platform import answers, names

if typing.TYPE_CHECKING:
    from eelgrasswick.cookie import peers

# What the store may take to connect, and for all of its answers. A VM that it does
# not answer goes on without, and hears from other VMs once it has started; it must
# not start much later for having asked.
READ_S: typing.Final = 0.1
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
        self._carrier = carrier
        self._socket = waiting
        self._bound_ms = bound_ms

    def run(self, store: model.Address) -> None:
        """Learn all rows, then import the libraries and carry packets between them."""
        if not self._learn_from_peer():
            self._learn(store)
        if not self._carrier.parts.catalog.ready:
            return
        self._carrier.send = self._send
        self._carrier.begin(clock.now_ms() - self._bound_ms)
        self._take_all()
        for name in LIBRARIES:
            importlib.import_module(name)
            self._take_all()

    def _learn_from_peer(self) -> bool:
        answer = bootstrap.ask(self._seeds, self._carrier.parts.log)
        if answer is None:
            return False
        known = self._carrier.parts.knowledge
        now_ms = clock.now_ms()
        merge = answer.offer.learn(now_ms, answer.asked_ms, known)
        self._carrier.learned(now_ms, merge, answer.host)
        self.members = answer.offer.standing.members
        self._carrier.parts.log.write(
            "bootstrapped",
            peer=answer.host,
            took_ms=now_ms - answer.asked_ms,
            members=len(self.members),
            revision=known.revision,
            age_ms=knowledge.shown_ms(known.age_ms(now_ms)),
        )
        # What an outage of the store has made old is better than nothing, but the
        # store may be back by now.
        return known.age_ms(now_ms) <= steering.SURE_MS

    def _learn(self, store: model.Address) -> None:
        known = self._carrier.parts.knowledge
        asked_ms = clock.now_ms()
        try:
            changes = _read_all(store)
        except (errors.EelgrasswickError, OSError, h11.ProtocolError) as fault:
            detail = f"{type(fault).__name__}: {fault}"
            self._carrier.parts.log.write("early_read_failed", detail=detail)
            return
        now_ms = clock.now_ms()
        self._carrier.learned(now_ms, known.merge(now_ms, changes), _ORIGIN)
        known.confirm(changes.revision, asked_ms)

    def _take_all(self) -> None:
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


def _read_all(store: model.Address) -> typing.Any:
    end_s = time.monotonic() + READ_S
    listing = answers.Listing()
    with socket.create_connection(store, timeout=READ_S) as connection:
        http = h11.Connection(h11.CLIENT, answers.MAX_BODY_BYTES)
        while listing.query is not None:
            asked = answers.target(names.RANGE_PATH, listing.query)
            host = f"{store.host}:{store.port}"
            connection.sendall(answers.request(http, host, asked))
            answer = _receive(connection, http, end_s)
            listing.add(answers.read(names.RANGE_PATH, answer))
            http.start_next_cycle()
    return listing.changes()


def _receive(
    connection: socket.socket, http: h11.Connection, end_s: float
) -> answers.Answer:
    status = 0
    parts: list[bytes] = []
    while True:
        event = http.next_event()
        if event is h11.NEED_DATA:
            connection.settimeout(max(0.001, end_s - time.monotonic()))
            http.receive_data(connection.recv(_CHUNK_BYTES))
        elif isinstance(event, h11.Response):
            status = event.status_code
        elif isinstance(event, h11.Data):
            parts.append(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            return answers.Answer(status, b"".join(parts))
        else:
            raise errors.StoreError("the store closed the connection")
