"""The entry VM: its periodic tasks and its sockets."""

import random
import socket
import typing

from twisted.internet import defer

from eelgrasswick import errors
from eelgrasswick.cookie import (
    carrying,
    clock,
    forwarding,
    gossip,
    held_packets,
    offer,
    peers,
    periodic,
    reserving,
    settings,
    source,
    stopping,
    store_replica,
    store_watch,
    transfer,
    twisted_errors,
    web,
)

REQUEST_INTERVAL_S: typing.Final = 0.25
CHECK_INTERVAL_S: typing.Final = 0.1
# Held flows and usage of targets are checked this often while any pool is under
# pressure. Requests take some tens of milliseconds, so that a later report of their end
# would leave slots idle.
RESERVATION_INTERVAL_S: typing.Final = 0.005
# A starting VM checks this often whether it can forward packets. Its first read of
# the store takes about 5 ms.
READY_POLL_INTERVAL_S: typing.Final = 0.005
# Callers and other VMs send shorter datagrams. A longer one is truncated and then
# refused.
DATAGRAM_BYTES: typing.Final = 4096
METRICS_PATH: typing.Final = "/metrics"


class Parts(typing.NamedTuple):
    """The parts of an entry VM that its composition root provides.

    Attributes:
        carrier: Decides what happens to callers' packets.
        source: The store.
        ready_path: Path of the readiness probe.
        bound_socket: A bound socket that queues callers' packets until this VM can
            forward them; None to open one at the start.
        bound_ms: When that socket was bound, before the import of the libraries.
        members: The other VMs, if another VM already sent a list of them.
    """

    carrier: carrying.Carrier
    source: source.ChangeSource
    ready_path: str
    bound_socket: socket.socket | None = None
    bound_ms: int = 0
    members: tuple[peers.Member, ...] = ()


class EntryVm:
    """Forwards packets, and keeps its copy of the routes and targets current."""

    def __init__(
        self,
        reactor: typing.Any,
        loaded: settings.Settings,
        parts: Parts,
        rng: random.Random,
    ) -> None:
        """Create the tasks without opening sockets; ``start`` opens them.

        Args:
            reactor: Twisted reactor.
            loaded: Validated settings.
            parts: Parts from the composition root, which differ between platforms.
            rng: Source of randomness.
        """
        self._reactor = reactor
        self._settings = loaded
        self._ready_path = parts.ready_path
        self._bound_socket = parts.bound_socket
        self._bound_ms = parts.bound_ms
        self._members = parts.members
        self._carrier = parts.carrier
        self._stats = parts.carrier.parts.stats
        self._log = parts.carrier.parts.log
        self._replica = parts.carrier.parts.replica
        self._catalog = parts.carrier.parts.catalog
        self._observations = parts.carrier.parts.observations
        self._forwarder = forwarding.Forwarder(reactor, parts.carrier, self._on_unsent)
        vm = loaded.vm
        self._gossip = gossip.Gossip(
            reactor, vm.peer, vm.zone, self._gossip_parts(), rng, self._on_unsent
        )
        self._reservations = reserving.Reservations(
            vm.peer.host, vm.zone, loaded.policy.reserve, self._reserving_parts(), rng
        )
        self._reservation_check = self._task(
            "reservations", self._check_reservations, RESERVATION_INTERVAL_S
        )
        self._data_port_opening = self._task(
            "data_port", self._poll_data_port, READY_POLL_INTERVAL_S
        )
        self._connect_reservations()
        self._catalog.on_ended = self._forwarder.reset_ended_target
        self._forwarder.on_dead = self._gossip.report_dead_target
        self._store_watch = store_watch.StoreWatch(
            parts.source, self._replica, self._gossip.publish_merge, self._log, rng
        )
        self._stop_requested_ms: int | None = None
        self._was_ready = False
        self._tasks = [self._reservation_check, self._data_port_opening]
        self._listening: list[typing.Any] = []

    def _reserving_parts(self) -> reserving.Parts:
        return reserving.Parts(
            self._catalog,
            self._observations,
            self._gossip.peers,
            self._log,
            self._stats,
            self._gossip.send,
            held_packets.HeldPackets(self._carrier).resolve,
            self._run_reservation_check,
        )

    def _connect_reservations(self) -> None:
        self._carrier.steering.holder = self._reservations
        self._carrier.on_stall = self._reservations.pause
        self._observations.on_rejection = self._reservations.record_rejection
        self._observations.on_response = self._reservations.record_response

    def _on_reservation(self, now_ms: int, payload: bytes, host: str) -> None:
        self._carrier.check_stall()
        self._reservations.handle_datagram(now_ms, payload, host)

    def _gossip_parts(self) -> gossip.Parts:
        return gossip.Parts(
            self._replica,
            self._carrier.apply_rows,
            self._observations.reports,
            self._log,
            self._stats,
            self._forwarder.probe_reported,
            self._observations.record_witness,
            self._on_reservation,
        )

    def start(self) -> None:
        """Open the sockets and start the periodic tasks."""
        vm = self._settings.vm
        now_ms = clock.now_ms()
        # Unread answers to packets that were forwarded before the start may be in
        # the socket, so the start counts as a pause.
        self._observations.record_pause(now_ms)
        twisted_errors.redirect_to_log(self._log, self._stats)
        self._log.write("started", zone=vm.zone, seeds=len(self._settings.fleet.seeds))
        self._gossip.peers.add_hosts(now_ms, self._settings.fleet.seeds)
        if self._members:
            self._gossip.peers.add_members(now_ms, self._members)
            self._store_watch.mark_rank_reliable(now_ms)
        self._listen()
        if self._data_port_readable:
            self._open_data_port()
        else:
            self._data_port_opening.start(now=False)
        self.run_periodically("check", self._check, CHECK_INTERVAL_S)
        self.run_periodically("tick", self._tick, REQUEST_INTERVAL_S)

    def log_failed_start(self, failure: typing.Any) -> None:
        """Log that ``start`` raised an exception."""
        self._write_failure("start_failed", failure)

    def run_periodically(
        self, name: str, work: typing.Callable[[], None], interval_s: float
    ) -> None:
        """Call a function now and at an interval, for as long as this VM runs."""
        added = self._task(name, work, interval_s)
        self._tasks.append(added)
        added.start()

    def _task(
        self, name: str, work: typing.Callable[[], None], interval_s: float
    ) -> periodic.PeriodicTask:
        return periodic.PeriodicTask(
            self._reactor, name, work, interval_s, self._on_task_failure
        )

    def _on_task_failure(self, name: str, failure: typing.Any) -> None:
        self._stats.counts["tasks_failed"] += 1
        self._write_failure("task_failed", failure, task=name)

    def _write_failure(self, event: str, failure: typing.Any, **fields: object) -> None:
        self._log.write(
            event,
            **fields,
            detail=failure.getErrorMessage(),
            where=twisted_errors.trace(failure),
        )
        # The task that usually writes pending lines may be the one that failed.
        self._log.flush()

    async def close(self) -> None:
        """Close the sockets and end the tasks."""
        for item in self._tasks:
            item.stop()
        for port in self._listening:
            await defer.maybeDeferred(port.stopListening)

    def flush_log(self) -> None:
        """Write the pending log lines."""
        self._log.flush()

    def reload(self, loaded: settings.Settings) -> None:
        """Apply changed settings; the VM's own addresses stay as they were."""
        self._settings = loaded
        self._reservations.enabled = loaded.policy.reserve
        self._gossip.peers.add_hosts(clock.now_ms(), loaded.fleet.seeds)
        self._log.write("settings_reloaded", seeds=len(loaded.fleet.seeds))

    def refuse_settings(self, error: errors.EelgrasswickError) -> None:
        """Log invalid settings; the present settings stay in force."""
        detail = error.detail.replace("\n", "; ")
        self._log.write("settings_refused", kind=error.kind.value, detail=detail)

    def stop(self, requested_ms: int | None = None) -> None:
        """Begin the shutdown: report not ready, and forward until traffic ends.

        Args:
            requested_ms: When the stop was requested, if that was earlier.
        """
        if self._stop_requested_ms is None:
            self._stop_requested_ms = requested_ms or clock.now_ms()
            self._reservations.stop(self._stop_requested_ms)
            self._log.write("stopping", flows=len(self._observations.tracker))

    def _listen(self) -> None:
        vm = self._settings.vm
        reactor = self._reactor
        transfers = transfer.ServerFactory(
            offer.OfferEncoder(self._replica.changes_since, self._gossip.sender_state)
        )
        probe = web.WebFactory({self._ready_path: self._ready_page})
        pages = web.WebFactory({METRICS_PATH: self._metrics_page})
        self._listening = [
            reactor.listenUDP(
                vm.peer.port, self._gossip.port, vm.peer.host, DATAGRAM_BYTES
            ),
            reactor.listenTCP(vm.peer.port, transfers, interface=vm.peer.host),
            reactor.listenTCP(vm.ready.port, probe, interface=vm.ready.host),
            reactor.listenTCP(vm.metrics.port, pages, interface=vm.metrics.host),
        ]

    @property
    def _data_port_readable(self) -> bool:
        """False while packets must wait in a socket that was bound early.

        They are read only once this VM has routes and targets; packets read before
        that would be lost.
        """
        return self._bound_socket is None or self._catalog.ready

    def _poll_data_port(self) -> None:
        if self._data_port_readable:
            self._data_port_opening.stop()
            self._open_data_port()

    def _open_data_port(self) -> None:
        vm = self._settings.vm
        port = self._forwarder.port
        if self._bound_socket is None:
            self._forwarder.begin()
            listener = self._reactor.listenUDP(
                vm.data.port, port, vm.data.host, DATAGRAM_BYTES
            )
        else:
            if not self._carrier.started:
                self._carrier.start(clock.now_ms() - self._bound_ms)
            self._forwarder.begin()
            listener = self._reactor.adoptDatagramPort(
                self._bound_socket.fileno(), socket.AF_INET, port, DATAGRAM_BYTES
            )
            self._bound_socket.close()
        self._listening.append(listener)

    def _tick(self) -> None:
        now_ms = clock.now_ms()
        self._observations.tick(now_ms)
        vms = self._gossip.peers
        self._observations.cold.limits.update_fleet(now_ms, vms.hosts(), len(vms))
        self._carrier.log_overloads()
        self._reservations.tick(now_ms)
        if self._reservations.active:
            self._run_reservation_check()
        self._catalog.tick(now_ms, self._replica.confirmed_ms)
        self._gossip.send_requests(
            now_ms, self._observations.report(), self._store_watch.store_responds
        )

    def _run_reservation_check(self) -> None:
        if not self._reservation_check.running:
            self._reservation_check.start(now=False)

    def _check_reservations(self) -> None:
        self._reservations.check(self._carrier.check_stall())
        if not self._reservations.active:
            self._reservation_check.stop()

    def _check(self) -> None:
        now_ms = self._carrier.check_stall()
        self._gossip.send_witnesses(now_ms, self._forwarder.probe_overdue(now_ms))
        self._carrier.log_ejections()
        self._store_watch.check(now_ms, self._gossip.peers.rank())
        ready = self._ready
        if ready != self._was_ready:
            self._was_ready = ready
            age_ms = store_replica.reported_age_ms(self._replica.age_ms(now_ms))
            self._log.write("ready" if ready else "not_ready", age_ms=age_ms)
        self._log.flush()
        if self._stop_requested_ms is not None:
            self._exit_if_done(now_ms, self._stop_requested_ms)

    def _exit_if_done(self, now_ms: int, requested_ms: int) -> None:
        grace_ms = int(self._settings.stop.grace_s * 1000)
        if stopping.may_exit(
            now_ms, requested_ms, self._carrier.last_packet_ms, grace_ms
        ):
            self._log.write("stopped", after_ms=now_ms - requested_ms)
            self._log.flush()
            self._reactor.stop()

    @property
    def _ready(self) -> bool:
        return self._catalog.ready and self._stop_requested_ms is None

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
            revision=self._replica.revision,
            knowledge_age_ms=store_replica.reported_age_ms(
                self._replica.age_ms(now_ms)
            ),
            store_calls=self._store_watch.calls,
            **self._reservations.gauges(now_ms),
        )
        return web.Page(200, self._stats.text())

    def _on_unsent(self, host: str, failure: Exception) -> None:
        self._stats.counts["datagrams_unsent"] += 1
        self._log.write("datagram_unsent", to=host, detail=str(failure))
