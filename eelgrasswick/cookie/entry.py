"""The entry VM: its tasks, and the sockets that they own."""

import random
import socket
import typing

from twisted.internet import defer, task

from eelgrasswick import errors
from eelgrasswick.cookie import (
    carrying,
    clock,
    forwarding,
    gossip,
    knowledge,
    offer,
    peers,
    settings,
    source,
    stopping,
    store_watch,
    transfer,
    twisted_errors,
    web,
)

REQUEST_INTERVAL_S: typing.Final = 0.25
CHECK_INTERVAL_S: typing.Final = 0.1
# How often a VM that starts looks whether it can carry packets; its first read
# of the store takes about 5 ms.
READY_POLL_INTERVAL_S: typing.Final = 0.005
# Above what callers and other VMs send; longer ones are cut and then refused.
DATAGRAM_BYTES: typing.Final = 4096
METRICS_PATH: typing.Final = "/metrics"


class Parts(typing.NamedTuple):
    """What the composition root gives an entry VM.

    Attributes:
        carrier: Decides about callers' packets.
        source: The store.
        ready_path: Path of the readiness probe.
        waiting: A bound socket that callers' packets wait in until this VM can
            carry them; None to open one at the start.
        bound_ms: When that socket was bound; the libraries are imported since.
        members: The other VMs, if one of them has told of all already.
    """

    carrier: carrying.Carrier
    source: source.ChangeSource
    ready_path: str
    bound_socket: socket.socket | None = None
    bound_ms: int = 0
    members: tuple[peers.Member, ...] = ()


class EntryVm:
    """Carries packets, and keeps up what it carries them by."""

    def __init__(
        self,
        reactor: typing.Any,
        loaded: settings.Settings,
        parts: Parts,
        rng: random.Random,
    ) -> None:
        """Build the tasks; nothing is opened before ``start``.

        Args:
            reactor: Twisted reactor.
            loaded: Checked settings.
            parts: What differs between platforms.
            rng: Source of randomness.
        """
        self._reactor = reactor
        self._settings = loaded
        self._ready_path = parts.ready_path
        self._waiting = parts.bound_socket
        self._bound_ms = parts.bound_ms
        self._members = parts.members
        self._carrier = parts.carrier
        self._stats = parts.carrier.parts.stats
        self._log = parts.carrier.parts.log
        self._knowledge = parts.carrier.parts.knowledge
        self._catalog = parts.carrier.parts.catalog
        self._observations = parts.carrier.parts.observations
        self._forwarder = forwarding.Forwarder(reactor, parts.carrier, self._on_unsent)
        vm = loaded.vm
        self._gossip = gossip.Gossip(
            reactor, vm.peer, vm.zone, self._told(), rng, self._on_unsent
        )
        self._catalog.on_ended = self._forwarder.reset_ended_target
        self._forwarder.on_dead = self._gossip.report_dead_target
        self._store_watch = store_watch.StoreWatch(
            parts.source, self._knowledge, self._gossip.publish_merge, self._log, rng
        )
        self._stop_ms: int | None = None
        self._was_ready = False
        self._loops: list[task.LoopingCall] = []
        self._listening: list[typing.Any] = []

    def _told(self) -> gossip.Parts:
        return gossip.Parts(
            self._knowledge,
            self._carrier.apply_rows,
            self._observations.reports,
            self._log,
            self._stats,
            self._forwarder.probe_reported,
            self._observations.record_witness,
        )

    def start(self) -> None:
        """Open the sockets and begin."""
        vm = self._settings.vm
        now_ms = clock.now_ms()
        # Answers to what was forwarded before may lie in the socket.
        self._observations.record_pause(now_ms)
        twisted_errors.redirect_to_log(self._log, self._stats)
        self._log.write("started", zone=vm.zone, seeds=len(self._settings.fleet.seeds))
        self._gossip.peers.add_hosts(now_ms, self._settings.fleet.seeds)
        if self._members:
            self._gossip.peers.add_members(now_ms, self._members)
            self._store_watch.settle(now_ms)
        self._listen()
        self._take_packets()
        self._repeat(self._check, CHECK_INTERVAL_S)
        self._repeat(self._ask, REQUEST_INTERVAL_S)

    def _repeat(self, work: typing.Callable[[], None], every_s: float) -> None:
        loop = task.LoopingCall(work)
        loop.clock = self._reactor
        loop.start(every_s)
        self._loops.append(loop)

    async def close(self) -> None:
        """Close the sockets and end the tasks."""
        for loop in self._loops:
            loop.stop()
        for port in self._listening:
            await defer.maybeDeferred(port.stopListening)

    def flush_log(self) -> None:
        """Write the lines that wait."""
        self._log.flush()

    def reload(self, loaded: settings.Settings) -> None:
        """Take settings that have changed; addresses stay as they were."""
        self._settings = loaded
        self._gossip.peers.add_hosts(clock.now_ms(), loaded.fleet.seeds)
        self._log.write("settings_reloaded", seeds=len(loaded.fleet.seeds))

    def refuse_settings(self, error: errors.EelgrasswickError) -> None:
        """Note settings that can't be used; the present ones stay."""
        detail = error.detail.replace("\n", "; ")
        self._log.write("settings_refused", kind=error.kind.value, detail=detail)

    def stop(self) -> None:
        """Begin to leave: take no new flows, carry on until they are gone."""
        if self._stop_ms is None:
            self._stop_ms = clock.now_ms()
            self._log.write("stopping", flows=len(self._observations.tracker))

    def _listen(self) -> None:
        vm = self._settings.vm
        reactor = self._reactor
        answers = transfer.ServerFactory(
            offer.OfferEncoder(self._knowledge.changes_since, self._gossip.sender_state)
        )
        probe = web.WebFactory({self._ready_path: self._ready_page})
        pages = web.WebFactory({METRICS_PATH: self._metrics_page})
        self._listening = [
            reactor.listenUDP(
                vm.peer.port, self._gossip.port, vm.peer.host, DATAGRAM_BYTES
            ),
            reactor.listenTCP(vm.peer.port, answers, interface=vm.peer.host),
            reactor.listenTCP(vm.ready.port, probe, interface=vm.ready.host),
            reactor.listenTCP(vm.metrics.port, pages, interface=vm.metrics.host),
        ]

    def _take_packets(self) -> None:
        """Begin to read callers' packets.

        Those that wait in a socket that was bound early are read only once
        there is something to carry them by; read before, they would be lost.
        """
        vm = self._settings.vm
        port = self._forwarder.port
        if self._waiting is None:
            self._forwarder.begin()
            taken = self._reactor.listenUDP(
                vm.data.port, port, vm.data.host, DATAGRAM_BYTES
            )
        elif self._catalog.ready:
            if not self._carrier.started:
                self._carrier.start(clock.now_ms() - self._bound_ms)
            self._forwarder.begin()
            taken = self._reactor.adoptDatagramPort(
                self._waiting.fileno(), socket.AF_INET, port, DATAGRAM_BYTES
            )
            self._waiting.close()
        else:
            self._reactor.callLater(READY_POLL_INTERVAL_S, self._take_packets)
            return
        self._listening.append(taken)

    def _ask(self) -> None:
        now_ms = clock.now_ms()
        self._observations.tick(now_ms)
        vms = self._gossip.peers
        self._observations.cold.limits.update_fleet(now_ms, vms.hosts(), len(vms))
        self._carrier.log_overloads()
        self._catalog.tick(now_ms, self._knowledge.confirmed_ms)
        self._gossip.send_requests(
            now_ms, self._observations.report(), self._store_watch.store_responds
        )

    def _check(self) -> None:
        now_ms = self._carrier.check_stall()
        self._gossip.send_witnesses(now_ms, self._forwarder.probe_overdue(now_ms))
        self._carrier.log_ejections()
        self._store_watch.check(now_ms, self._gossip.peers.rank())
        ready = self._ready
        if ready != self._was_ready:
            self._was_ready = ready
            age_ms = knowledge.reported_age_ms(self._knowledge.age_ms(now_ms))
            self._log.write("ready" if ready else "not_ready", age_ms=age_ms)
        self._log.flush()
        if self._stop_ms is not None:
            self._end_if_done(now_ms, self._stop_ms)

    def _end_if_done(self, now_ms: int, asked_ms: int) -> None:
        grace_ms = int(self._settings.stop.grace_s * 1000)
        if stopping.may_exit(now_ms, asked_ms, self._carrier.last_packet_ms, grace_ms):
            self._log.write("stopped", after_ms=now_ms - asked_ms)
            self._log.flush()
            self._reactor.stop()

    @property
    def _ready(self) -> bool:
        return self._catalog.ready and self._stop_ms is None

    def _ready_page(self) -> web.Page:
        if self._ready:
            return web.Page(200, "ready\n")
        return web.Page(503, "not ready\n")

    def _metrics_page(self) -> web.Page:
        now_ms = clock.now_ms()
        self._stats.gauges.update(
            flows=len(self._observations.tracker),
            flows_waiting=sum(self._observations.tracker.waiting_flows.values()),
            peers=len(self._gossip.peers),
            peer_reports=len(self._observations.reports),
            targets=len(self._catalog.targets),
            revision=self._knowledge.revision,
            knowledge_age_ms=knowledge.reported_age_ms(self._knowledge.age_ms(now_ms)),
            store_calls=self._store_watch.calls,
        )
        return web.Page(200, self._stats.text())

    def _on_unsent(self, host: str, failure: Exception) -> None:
        self._stats.counts["datagrams_unsent"] += 1
        self._log.write("datagram_unsent", to=host, detail=str(failure))
