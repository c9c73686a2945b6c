"""The entry VM: its tasks, and the sockets that they own."""

import random
import typing

from twisted.internet import defer, task

from eelgrasswick import errors
from eelgrasswick.cookie import (
    catalog,
    clock,
    codec,
    exchange,
    journal,
    knowledge,
    model,
    peers,
    ports,
    probing,
    settings,
    sights,
    source,
    stats,
    steering,
    stopping,
    storing,
    transfer,
    web,
)

ASK_S: typing.Final = 0.25
CHECK_S: typing.Final = 0.1
# Above what callers and other VMs send; longer ones are cut and then refused.
DATAGRAM_BYTES: typing.Final = 4096
# A VM that did nothing for so long was suspended or stood still. Its callers
# have sent copies by then, and the fabric has begun to leave it out.
STALL_MS: typing.Final = 400
# How long it then takes to read what waits in the socket: 200 KB, 2,000 packets
# of 100 bytes, at 25 us each.
BACKLOG_MS: typing.Final = 50
# Ages above this are shown as this; a VM that knows nothing has none.
AGE_SHOWN_MS: typing.Final = 1_000_000
METRICS_PATH: typing.Final = "/metrics"
_QUIET_OUTCOMES: typing.Final = frozenset({steering.Outcome.FORWARDED})


class Parts(typing.NamedTuple):
    """What the composition root gives an entry VM.

    Attributes:
        codec: Reads and writes the fabric's packets.
        source: The store.
        reader: Decodes its rows.
        ready_path: Path of the readiness probe.
    """

    codec: codec.SegmentCodec
    source: source.ChangeSource
    reader: source.Reader
    ready_path: str


class EntryVm:
    """Carries packets, and keeps up what it carries them by."""

    def __init__(
        self,
        reactor: typing.Any,
        loaded: settings.Settings,
        parts: Parts,
        rng: random.Random,
        descriptor: int,
    ) -> None:
        """Build the tasks; nothing is opened before ``start``.

        Args:
            reactor: Twisted reactor.
            loaded: Checked settings.
            parts: What differs between platforms.
            rng: Source of randomness.
            descriptor: File descriptor of the log.
        """
        self._reactor = reactor
        self._settings = loaded
        self._codec = parts.codec
        self._ready_path = parts.ready_path
        self._stats = stats.Stats()
        vm = loaded.vm
        self._journal = journal.Journal(
            descriptor, vm.name, loaded.log.lines_per_s, self._stats
        )
        self._knowledge = knowledge.Knowledge()
        self._catalog = catalog.Catalog(parts.reader)
        self._sights = sights.Sights(vm.zone, self._catalog)
        self._steering = steering.Steering(
            vm.zone, parts.codec, self._catalog, self._sights
        )
        self._peers = peers.Peers(vm.peer.host, vm.zone, rng)
        self._exchange = exchange.Exchange(
            vm.zone, self._knowledge, self._peers, self._sights.reports, rng
        )
        self._storing = storing.Storing(
            parts.source, self._knowledge, self._merged, self._journal, rng
        )
        self._data = ports.Port(self._on_data, self._on_unsent)
        self._peer = ports.Port(self._on_peer, self._on_unsent)
        self._fetching: set[str] = set()
        self._stop_ms: int | None = None
        self._packet_ms = 0
        self._awake_ms = clock.now_ms()
        self._backlog_until_ms = 0
        self._was_ready = False
        self._loops: list[task.LoopingCall] = []
        self._listening: list[typing.Any] = []

    def start(self) -> None:
        """Open the sockets and begin."""
        vm = self._settings.vm
        now_ms = clock.now_ms()
        self._journal.take_twisted(clock.now_ms)
        self._write("started", zone=vm.zone, seeds=len(self._settings.fleet.seeds))
        self._peers.named(now_ms, self._settings.fleet.seeds)
        self._listen()
        self._repeat(self._check, CHECK_S)
        self._repeat(self._ask, ASK_S)

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
        self._journal.flush()

    def reload(self, loaded: settings.Settings) -> None:
        """Take settings that have changed; addresses stay as they were."""
        self._settings = loaded
        self._peers.named(clock.now_ms(), loaded.fleet.seeds)
        self._write("settings_reloaded", seeds=len(loaded.fleet.seeds))

    def refuse_settings(self, error: errors.EelgrasswickError) -> None:
        """Note settings that can't be used; the present ones stay."""
        detail = error.detail.replace("\n", "; ")
        self._write("settings_refused", kind=error.kind.value, detail=detail)

    def stop(self) -> None:
        """Begin to leave: take no new flows, carry on until they are gone."""
        if self._stop_ms is None:
            self._stop_ms = clock.now_ms()
            self._write("stopping", flows=len(self._sights.tracker))

    def _listen(self) -> None:
        vm = self._settings.vm
        reactor = self._reactor
        answers = transfer.ServerFactory(self._knowledge.since)
        probe = web.WebFactory({self._ready_path: self._ready_page})
        pages = web.WebFactory({METRICS_PATH: self._metrics_page})
        self._listening = [
            reactor.listenUDP(vm.data.port, self._data, vm.data.host, DATAGRAM_BYTES),
            reactor.listenUDP(vm.peer.port, self._peer, vm.peer.host, DATAGRAM_BYTES),
            reactor.listenTCP(vm.peer.port, answers, interface=vm.peer.host),
            reactor.listenTCP(vm.ready.port, probe, interface=vm.ready.host),
            reactor.listenTCP(vm.metrics.port, pages, interface=vm.metrics.host),
        ]

    def _on_data(self, raw: bytes, host: str) -> None:
        now_ms = self._wake()
        self._packet_ms = now_ms
        try:
            segment = self._codec.decode(raw)
        except errors.PacketMalformedError as error:
            self._stats.counts["packets_malformed"] += 1
            self._write("packet_dropped", source=host, detail=error.detail)
            return
        if segment.opening and now_ms < self._backlog_until_ms:
            self._stats.counts["packets_dropped_old"] += 1
            self._write("flow_dropped_old", flow=segment.flow)
            return
        age_ms = self._knowledge.age_ms(now_ms)
        decision = self._steering.steer(now_ms, age_ms, segment, raw)
        self._send(segment, decision)
        self._account(now_ms, age_ms, segment, decision)
        if decision.probe is not None:
            defer.ensureDeferred(self._probe(decision.probe))

    def _wake(self) -> int:
        """Return the present time; notice when this VM has stood still."""
        now_ms = clock.now_ms()
        gap_ms = now_ms - self._awake_ms
        self._awake_ms = now_ms
        if gap_ms > STALL_MS:
            # Opening packets that waited are old. Their flows may be open by
            # now, through other VMs; placed here, they would be open twice.
            self._backlog_until_ms = now_ms + BACKLOG_MS
            self._write("woke", stood_still_ms=gap_ms)
        return now_ms

    def _send(self, segment: model.Segment, decision: steering.Decision) -> None:
        if decision.datagram is None:
            return
        address = decision.address or self._caller(segment.flow)
        self._data.send(decision.datagram, address)

    def _caller(self, flow: model.FlowId) -> model.Address:
        host = ".".join(map(str, flow.caller_ip))
        return model.Address(host, self._settings.vm.data.port)

    async def _probe(self, target: model.Target) -> None:
        now_ms = clock.now_ms()
        missing = self._catalog.missing(target, now_ms)
        # The address of a target that is gone may be another's already.
        accepted = not missing and await probing.accepts(self._reactor, target.address)
        path_ms = self._sights.path_ms(target)
        now_ms = clock.now_ms()
        dead = self._sights.verdicts.probed(now_ms, target.cookie, accepted, path_ms)
        resets = self._steering.abandon(target) if dead else []
        for flow, datagram in resets:
            self._data.send(datagram, self._caller(flow))
        self._stats.counts["targets_probed"] += 1
        self._stats.counts["flows_abandoned"] += len(resets)
        self._write(
            "target_dead" if dead else "target_probed",
            target=target.name,
            accepted=int(accepted),
            entry_missing=int(missing),
            path_ms=min(now_ms - path_ms, AGE_SHOWN_MS),
            flows_reset=len(resets),
        )
        for flow, _ in resets:
            self._write("flow_target_dead_reset", flow=flow, target=target.name)

    def _account(
        self,
        now_ms: int,
        age_ms: int,
        segment: model.Segment,
        decision: steering.Decision,
    ) -> None:
        outcome = decision.outcome
        self._stats.counts[f"packets_{outcome.value}"] += 1
        if decision.answer_ms is not None:
            self._stats.observe("answer", decision.answer_ms)
        if outcome in _QUIET_OUTCOMES:
            return
        target = decision.target
        self._journal.write(
            now_ms,
            f"flow_{outcome.value}",
            flow=segment.flow,
            copy=segment.acknowledged if segment.opening else "-",
            cookie=segment.cookie,
            target=target.name if target is not None else "-",
            zone=target.zone if target is not None else "-",
            on_target=self._flows_on(target),
            revision=self._knowledge.revision,
            age_ms=min(age_ms, AGE_SHOWN_MS),
        )

    def _flows_on(self, target: model.Target | None) -> int:
        if target is None:
            return 0
        own = self._sights.tracker.flows_on(target.cookie)
        return own + self._sights.reports.flows_on(target.cookie)

    def _on_peer(self, payload: bytes, host: str) -> None:
        now_ms = clock.now_ms()
        try:
            heard = self._exchange.receive(now_ms, host, payload)
        except errors.MessageInvalidError as error:
            self._stats.counts["peer_messages_invalid"] += 1
            self._write("peer_message_refused", source=host, detail=error.detail)
            return
        for item in heard.sends:
            self._send_peer(item)
        if heard.joined:
            self._write("peer_regained", peer=host, alive=len(self._peers))
        if heard.merge is not None:
            self._learned(now_ms, heard.merge, host)
        if heard.fetch_from and heard.fetch_from not in self._fetching:
            defer.ensureDeferred(self._fetch(heard.fetch_from))

    async def _fetch(self, host: str) -> None:
        self._fetching.add(host)
        address = model.Address(host, self._settings.vm.peer.port)
        try:
            changes = await transfer.fetch(
                self._reactor, address, self._knowledge.revision
            )
        except errors.EelgrasswickError as error:
            self._stats.counts["transfers_failed"] += 1
            self._write("transfer_failed", peer=host, kind=error.kind.value)
            return
        finally:
            self._fetching.discard(host)
        now_ms = clock.now_ms()
        self._merged(now_ms, self._knowledge.merge(now_ms, changes), host)

    def _merged(self, now_ms: int, merge: knowledge.Merge, origin: str) -> None:
        self._learned(now_ms, merge, origin)
        for item in self._exchange.news(now_ms, merge):
            self._send_peer(item)

    def _learned(self, now_ms: int, merge: knowledge.Merge, origin: str) -> None:
        if not merge.rows:
            return
        gap_ms = min(merge.gap_ms, AGE_SHOWN_MS)
        for note in self._catalog.update(now_ms, merge):
            self._write(note.event, **note.fields, origin=origin, gap_ms=gap_ms)

    def _ask(self) -> None:
        now_ms = clock.now_ms()
        self._sights.tick(now_ms)
        self._catalog.tick(now_ms, self._knowledge.age_ms(now_ms))
        self._exchange.reads_store = self._storing.answers
        self._exchange.report = self._sights.report()
        requests, gone = self._exchange.ask(now_ms)
        for item in requests:
            self._send_peer(item)
        for host in gone:
            self._write("peer_lost", peer=host, alive=len(self._peers))
        self._peers.forget(now_ms)

    def _check(self) -> None:
        now_ms = self._wake()
        self._storing.check(now_ms, self._peers.rank())
        ready = self._ready
        if ready != self._was_ready:
            self._was_ready = ready
            age_ms = min(self._knowledge.age_ms(now_ms), AGE_SHOWN_MS)
            self._write("ready" if ready else "not_ready", age_ms=age_ms)
        self._journal.flush()
        if self._stop_ms is not None:
            self._end_if_done(now_ms, self._stop_ms)

    def _end_if_done(self, now_ms: int, asked_ms: int) -> None:
        grace_ms = int(self._settings.stop.grace_s * 1000)
        if stopping.may_end(now_ms, asked_ms, self._packet_ms, grace_ms):
            self._write("stopped", after_ms=now_ms - asked_ms)
            self._journal.flush()
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
            flows=len(self._sights.tracker),
            peers=len(self._peers),
            targets=len(self._catalog.targets),
            revision=self._knowledge.revision,
            knowledge_age_ms=min(self._knowledge.age_ms(now_ms), AGE_SHOWN_MS),
            store_calls=self._storing.calls,
        )
        return web.Page(200, self._stats.text())

    def _send_peer(self, item: exchange.Outgoing) -> None:
        port = self._settings.vm.peer.port
        self._peer.send(item.payload, model.Address(item.host, port))

    def _on_unsent(self, host: str, failure: Exception) -> None:
        self._stats.counts["datagrams_unsent"] += 1
        self._write("datagram_unsent", to=host, detail=str(failure))

    def _write(self, event: str, **fields: object) -> None:
        self._journal.write(clock.now_ms(), event, **fields)
