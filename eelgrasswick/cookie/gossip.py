"""The task that talks to the other entry VMs; it owns the socket for that."""

import random
import typing

from twisted.internet import defer

from eelgrasswick import errors
from eelgrasswick.cookie import (
    clock,
    event_log,
    exchange,
    knowledge,
    model,
    offer,
    peers,
    ports,
    reports,
    stats,
    transfer,
)
from eelgrasswick.decisions import ejection


class Parts(typing.NamedTuple):
    """What is told to others and learned from them.

    Attributes:
        knowledge: Rows of the store.
        learned: Follows the rows that are new.
        reports: Takes what others say of targets.
        log: The log.
        stats: The counters.
        check: Looks after a target that another VM has found dead.
        witness: Takes a witness against a target; True to pass it on.
    """

    knowledge: knowledge.Knowledge
    on_merge: typing.Callable[[int, knowledge.Merge, str], None]
    reports: reports.Reports
    log: event_log.EventLog
    stats: stats.Stats
    check_target: typing.Callable[[int], None]
    on_witness: typing.Callable[[int, ejection.Witness], bool]


class Gossip:
    """Asks, answers and tells; passes on what the store says.

    Attributes:
        port: The socket, for the reactor to listen on.
        peers: The other VMs.
    """

    def __init__(
        self,
        reactor: typing.Any,
        me: model.Address,
        zone: str,
        parts: Parts,
        rng: random.Random,
        failed: ports.Failed,
    ) -> None:
        """Talk for a VM.

        Args:
            reactor: Twisted reactor.
            me: Its address for other VMs; all VMs use the same port.
            zone: Its availability zone.
            parts: What is told and learned.
            rng: Chooses whom to ask.
            failed: Told of datagrams that could not be sent.
        """
        self.port = ports.Port(self._on_peer, failed)
        self.peers = peers.Peers(me.host, zone, rng)
        self._reactor = reactor
        self._peer_port = me.port
        self._knowledge = parts.knowledge
        self._learned = parts.on_merge
        self._log = parts.log
        self._stats = parts.stats
        self._reports = parts.reports
        self._check = parts.check_target
        self._witness = parts.on_witness
        self._exchange = exchange.Exchange(
            zone, parts.knowledge, self.peers, parts.reports, rng
        )
        self._fetching: set[str] = set()

    def sender_state(self) -> offer.SenderState:
        """Return how this VM stands, for VMs that lack rows."""
        age_ms = self._knowledge.age_ms(clock.now_ms())
        members = self.peers.members()
        return offer.SenderState(knowledge.reported_age_ms(age_ms), tuple(members))

    def send_requests(
        self, now_ms: int, report: reports.Report, reads_store: bool
    ) -> None:
        """Ask the VMs that are next.

        Args:
            now_ms: Present time.
            report: What this VM says of targets.
            reads_store: False while the store does not answer it.
        """
        self._reports.others = len(self.peers)
        self._exchange.report = report
        self._exchange.reads_store = reads_store
        requests, gone = self._exchange.due_requests(now_ms)
        for item in requests:
            self._send_peer(item)
        for host in gone:
            self._log.write("peer_lost", peer=host, alive=len(self.peers))
        self.peers.expire(now_ms)

    def publish_merge(self, now_ms: int, merge: knowledge.Merge, origin: str) -> None:
        """Follow rows that are new, and tell others of them."""
        self._learned(now_ms, merge, origin)
        for item in self._exchange.update_messages(now_ms, merge):
            self._send_peer(item)

    def report_dead_target(self, cookie: int) -> None:
        """Tell others that this VM has found a target dead."""
        for item in self._exchange.dead_target_notices(clock.now_ms(), cookie):
            self._send_peer(item)

    def send_witnesses(
        self, now_ms: int, items: typing.Iterable[ejection.Witness]
    ) -> None:
        """Tell some VMs of the zone of overdue requests, and pass on what they told.

        Called regularly, so that what comes close together goes in one datagram.
        """
        for item in items:
            self._exchange.add_witness(now_ms, item)
        for outgoing in self._exchange.witness_messages(now_ms):
            self._send_peer(outgoing)

    def _on_peer(self, payload: bytes, host: str) -> None:
        now_ms = clock.now_ms()
        try:
            received = self._exchange.receive(now_ms, host, payload)
        except errors.MessageInvalidError as error:
            self._stats.counts["peer_messages_invalid"] += 1
            self._log.write("peer_message_refused", source=host, detail=error.detail)
            return
        for item in received.sends:
            self._send_peer(item)
        for cookie in received.dead_cookies:
            self._check(cookie)
        for witness in received.witnesses:
            if self._witness(now_ms, witness):
                self._exchange.add_witness(now_ms, witness)
        if received.joined:
            self._log.write("peer_regained", peer=host, alive=len(self.peers))
        if received.merge is not None:
            self._learned(now_ms, received.merge, host)
        if received.fetch_from and received.fetch_from not in self._fetching:
            defer.ensureDeferred(self._fetch(received.fetch_from))

    async def _fetch(self, host: str) -> None:
        self._fetching.add(host)
        asked_ms = clock.now_ms()
        address = model.Address(host, self._peer_port)
        try:
            taken = await transfer.fetch(
                self._reactor, address, self._knowledge.revision
            )
        except errors.EelgrasswickError as error:
            self._stats.counts["transfers_failed"] += 1
            self._log.write("transfer_failed", peer=host, kind=error.kind.value)
            return
        finally:
            self._fetching.discard(host)
        now_ms = clock.now_ms()
        self.publish_merge(
            now_ms, taken.merge_into(now_ms, asked_ms, self._knowledge), host
        )
        self.peers.add_members(now_ms, taken.sender_state.members)

    def _send_peer(self, item: exchange.Outgoing) -> None:
        self.port.send(item.payload, model.Address(item.host, self._peer_port))
