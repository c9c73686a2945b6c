"""The gossip task: exchanges messages with other entry VMs over its own socket."""

import random
import typing

from twisted.internet import defer

from eelgrasswick import errors
from eelgrasswick.cookie import (
    clock,
    event_log,
    exchange,
    model,
    offer,
    peers,
    ports,
    reports,
    stats,
    store_replica,
    transfer,
)
from eelgrasswick.decisions import ejection
from eelgrasswick.reservations import codec as reservation_codec

# A VM fetches rows from at most this many others at once. Each VM receives an
# announcement from several, and a large configuration from each would congest its link.
# A second one serves the VM when the first is slow or dead.
MAX_FETCHES: typing.Final = 2


class Parts(typing.NamedTuple):
    """The data that gossip shares, and the callbacks for received messages.

    Attributes:
        replica: This VM's copy of the store's rows.
        on_merge: Called with the time, the merge, and where its rows came from.
        reports: Records the other VMs' reports about targets.
        log: The event log.
        stats: The counters.
        check_target: Called with the cookie of a target that another VM has
            detected as dead.
        on_witness: Called with a witness against a target; returns True if the
            witness is to be passed on.
        on_reservation: Called with the time, a datagram about reservations, and the
            host of its sender.
    """

    replica: store_replica.StoreReplica
    on_merge: typing.Callable[[int, store_replica.Merge, str], None]
    reports: reports.Reports
    log: event_log.EventLog
    stats: stats.Stats
    check_target: typing.Callable[[int], None]
    on_witness: typing.Callable[[int, ejection.Witness], bool]
    on_reservation: typing.Callable[[int, bytes, str], None]


class Gossip:
    """Sends requests, responses and updates to other VMs, and handles theirs.

    Attributes:
        port: The socket, for the reactor to listen on.
        peers: The other VMs.
    """

    def __init__(
        self,
        reactor: typing.Any,
        own_address: model.Address,
        zone: str,
        parts: Parts,
        rng: random.Random,
        on_unsent: ports.OnUnsent,
    ) -> None:
        """Create the gossip task of a VM.

        Args:
            reactor: Twisted reactor.
            own_address: This VM's address for other VMs; all VMs use the same port.
            zone: This VM's availability zone.
            parts: Shared data and callbacks.
            rng: Selects the VMs that receive requests.
            on_unsent: Called with the host and the error when a datagram could not
                be sent.
        """
        self.port = ports.Port(self._on_datagram, on_unsent)
        self.peers = peers.Peers(own_address.host, zone, rng)
        self._reactor = reactor
        self._peer_port = own_address.port
        self._replica = parts.replica
        self._on_merge = parts.on_merge
        self._log = parts.log
        self._stats = parts.stats
        self._reports = parts.reports
        self._check_target = parts.check_target
        self._on_witness = parts.on_witness
        self._on_reservation = parts.on_reservation
        self._exchange = exchange.Exchange(
            zone, parts.replica, self.peers, parts.reports, rng
        )
        self._fetching: set[str] = set()

    def sender_state(self) -> offer.SenderState:
        """Return the age and members that accompany rows sent to another VM."""
        age_ms = self._replica.age_ms(clock.now_ms())
        members = self.peers.members()
        return offer.SenderState(store_replica.reported_age_ms(age_ms), tuple(members))

    def send_requests(
        self, now_ms: int, report: reports.Report, reads_store: bool
    ) -> None:
        """Send the requests that are due, and log the VMs that are now dead.

        Args:
            now_ms: Present time.
            report: This VM's report about targets.
            reads_store: False while the store does not respond to this VM.
        """
        self._reports.other_vms = len(self.peers)
        self._exchange.report = report
        self._exchange.reads_store = reads_store
        requests, newly_dead = self._exchange.due_requests(now_ms)
        for item in requests:
            self._send_peer(item)
        for host in newly_dead:
            self._log.write("peer_lost", peer=host, alive=len(self.peers))
        self.peers.expire(now_ms)

    def publish_merge(
        self, now_ms: int, merge: store_replica.Merge, origin: str
    ) -> None:
        """Apply new rows on this VM, and push them to other VMs."""
        self._on_merge(now_ms, merge, origin)
        for item in self._exchange.update_messages(now_ms, merge):
            self._send_peer(item)

    def report_dead_target(self, cookie: int) -> None:
        """Notify other VMs that this VM has detected a target as dead."""
        for item in self._exchange.dead_target_notices(clock.now_ms(), cookie):
            self._send_peer(item)

    def send_witnesses(
        self, now_ms: int, items: typing.Iterable[ejection.Witness]
    ) -> None:
        """Send new and relayed witnesses to some VMs of the zone.

        The caller runs this periodically, so that witnesses which arise close
        together share one datagram.
        """
        for item in items:
            self._exchange.add_witness(now_ms, item)
        for outgoing in self._exchange.witness_messages(now_ms):
            self._send_peer(outgoing)

    def _on_datagram(self, payload: bytes, host: str) -> None:
        now_ms = clock.now_ms()
        if reservation_codec.is_reservation(payload):
            self._on_reservation(now_ms, payload, host)
            return
        try:
            received = self._exchange.receive(now_ms, host, payload)
        except errors.MessageInvalidError as error:
            self._stats.counts["peer_messages_invalid"] += 1
            self._log.write("peer_message_refused", source=host, detail=error.detail)
            return
        for item in received.sends:
            self._send_peer(item)
        for cookie in received.dead_cookies:
            self._check_target(cookie)
        for witness in received.witnesses:
            if self._on_witness(now_ms, witness):
                self._exchange.add_witness(now_ms, witness)
        if received.joined:
            self._log.write("peer_regained", peer=host, alive=len(self.peers))
        if received.merge is not None:
            self._on_merge(now_ms, received.merge, host)
        if received.fetch_from and self._may_fetch(received.fetch_from):
            defer.ensureDeferred(self._fetch(received.fetch_from))

    def _may_fetch(self, host: str) -> bool:
        return host not in self._fetching and len(self._fetching) < MAX_FETCHES

    async def _fetch(self, host: str) -> None:
        self._fetching.add(host)
        requested_ms = clock.now_ms()
        address = model.Address(host, self._peer_port)
        try:
            received = await transfer.fetch(
                self._reactor, address, self._replica.revision
            )
        except errors.EelgrasswickError as error:
            self._stats.counts["transfers_failed"] += 1
            self._log.write("transfer_failed", peer=host, kind=error.kind.value)
            return
        finally:
            self._fetching.discard(host)
        now_ms = clock.now_ms()
        self.publish_merge(
            now_ms, received.merge_into(now_ms, requested_ms, self._replica), host
        )
        self.peers.add_members(now_ms, received.sender_state.members)

    def send(self, host: str, payload: bytes) -> None:
        """Send a datagram to another VM."""
        self._send_peer(exchange.Outgoing(host, payload))

    def _send_peer(self, item: exchange.Outgoing) -> None:
        self.port.send(item.payload, model.Address(item.host, self._peer_port))
