"""Handles each packet of a caller, independently of sockets and event loop.

A starting VM forwards packets before the libraries of the event loop are imported.
"""

import functools
import typing

from eelgrasswick import errors
from eelgrasswick.cookie import (
    catalog,
    clock,
    codec,
    delayed_copies,
    event_log,
    model,
    observations,
    outcomes,
    settings,
    source,
    stall,
    stats,
    steering,
    store_replica,
)
from eelgrasswick.decisions import cold_start, overload

# This number is above that of any retransmission of an opening packet. As the lowest
# number that is kept, it makes the VM drop all opening packets of the backlog.
NO_RETRANSMISSION: typing.Final = 1 << 32
# Forwarded packets are counted but not logged, because a log line for each packet would
# slow down forwarding.
# A held or delayed packet is logged with its resolution.
_UNLOGGED_OUTCOMES: typing.Final = frozenset(
    {
        outcomes.Outcome.FORWARDED,
        outcomes.Outcome.HELD,
        outcomes.Outcome.COPY_DELAYED,
    }
)


Send = typing.Callable[[bytes, model.Address], None]
Delay = typing.Callable[[int, typing.Callable[[], None]], None]


class Parts(typing.NamedTuple):
    """Components that a carrier uses.

    Attributes:
        codec: Reads and writes the fabric's packets.
        replica: This VM's copy of the store, with its age.
        catalog: Routes and targets.
        observations: Observations of flows and targets.
        log: The log.
        stats: The counters.
    """

    codec: codec.SegmentCodec
    replica: store_replica.StoreReplica
    catalog: catalog.Catalog
    observations: observations.Observations
    log: event_log.EventLog
    stats: stats.Stats


class Carrier:
    """Decides about each packet, sends the result, and logs and counts it.

    Attributes:
        parts: Components of the carrier.
        steering: Decides about packets.
        stalls: Detects stalls of this VM.
        started: True once packets are read that were queued during the start.
        last_packet_ms: Time when the last packet arrived.
        send: Sends a datagram to an address.
        delay: Calls a function after a time in ms, and after the packets that arrived
            in that time were handled.
        probe: Called with each target to probe.
        on_stall: Called with the time after each stall of this VM.
    """

    def __init__(self, zone: str, caller_port: int, parts: Parts) -> None:
        """Create the carrier of a VM, which does not send yet.

        Args:
            zone: Availability zone of the VM.
            caller_port: UDP port on which callers receive packets.
            parts: Components of the carrier.
        """
        self.parts = parts
        self.steering = steering.Steering(
            zone, parts.codec, parts.catalog, parts.observations
        )
        self.stalls = stall.Stalls(clock.now_ms())
        self.started = False
        self.last_packet_ms = 0
        self.send: Send = _ignore_datagram
        self.delay: Delay = _ignore_delay
        self.probe: typing.Callable[[model.Target], None] = _ignore_target
        self.on_stall: typing.Callable[[int], None] = _ignore_stall
        self._caller_port = caller_port
        self._codec = parts.codec
        self._replica = parts.replica
        self._catalog = parts.catalog
        self._observations = parts.observations
        self._log = parts.log
        self._stats = parts.stats
        self._backlog_until_ms = 0
        self._queued_until_ms = 0
        self._backlog_min_retransmission = NO_RETRANSMISSION

    def check_stall(self) -> int:
        """Return the present time, and record a stall of this VM that has just ended.

        A stall is logged, and the opening packets of the backlog are dropped.
        """
        now_ms = clock.now_ms()
        gap_ms = self.stalls.record_activity(now_ms)
        if gap_ms > stall.PROBE_GAP_MS:
            self._observations.record_pause(now_ms)
            self.on_stall(now_ms)
        if gap_ms > stall.QUEUED_MS:
            self._queued_until_ms = now_ms + stall.BACKLOG_MS
        if gap_ms > stall.STALL_MS:
            # Opening packets of the backlog are old, and other VMs may have opened
            # their flows in the meantime. If this VM placed such a flow, it would be
            # open twice.
            self._backlog_until_ms = now_ms + stall.BACKLOG_MS
            self._backlog_min_retransmission = NO_RETRANSMISSION
            self._observations.record_stall(now_ms)
            self._log.write("woke", stood_still_ms=gap_ms)
        return now_ms

    def start(self, waited_ms: int) -> None:
        """Record that packets are read from now on, and how long they were queued.

        Args:
            waited_ms: Time for which packets were queued during the start.
        """
        self.stalls = stall.Stalls(clock.now_ms() - waited_ms)
        self._log.write("packets_taken", waited_ms=waited_ms)
        self.started = True
        self.check_stall()
        # A caller sends its last retransmission only if the packets before were not
        # answered. If the VM dropped the last one, too, the caller's attempt would
        # fail.
        self._backlog_min_retransmission = steering.LAST_RETRANSMISSION

    def handle_packet(self, raw: bytes, host: str) -> None:
        """Handle a packet from a host.

        Args:
            raw: The packet as received.
            host: IPv4 address of the sender, dotted.
        """
        now_ms = self.check_stall()
        self.last_packet_ms = now_ms
        try:
            segment = self._codec.decode(raw)
        except errors.PacketMalformedError as error:
            self._stats.counts["packets_malformed"] += 1
            self._log.write("packet_dropped", source=host, detail=error.detail)
            return
        if segment.opening and self._too_old(now_ms, segment):
            self._drop_old(segment)
            return
        age_ms = self._replica.age_ms(now_ms)
        queued = now_ms < self._queued_until_ms
        decision = self.steering.steer(now_ms, age_ms, segment, raw, queued)
        if decision.outcome is outcomes.Outcome.COPY_DELAYED:
            self.delay(
                delayed_copies.WAIT_MS,
                functools.partial(self._place_delayed, segment, raw),
            )
        self._carry_out(now_ms, age_ms, segment, decision)

    def _carry_out(
        self,
        now_ms: int,
        age_ms: int,
        segment: model.Segment,
        decision: outcomes.Decision,
    ) -> None:
        self.send_decision(segment, decision)
        self.account(now_ms, age_ms, segment, decision)
        if decision.probe is not None:
            self.probe(decision.probe)

    def _place_delayed(self, segment: model.Segment, raw: bytes) -> None:
        now_ms = self.check_stall()
        if self._too_old(now_ms, segment):
            # The VM was suspended in the meantime.
            self.steering.copies.end(segment.flow)
            self._drop_old(segment)
            return
        age_ms = self._replica.age_ms(now_ms)
        decision = self.steering.place_delayed(now_ms, age_ms, segment, raw)
        self._carry_out(now_ms, age_ms, segment, decision)

    def _drop_old(self, segment: model.Segment) -> None:
        self._stats.counts["packets_dropped_old"] += 1
        self._log.write("flow_dropped_old", flow=segment.flow)

    def _too_old(self, now_ms: int, segment: model.Segment) -> bool:
        in_backlog = now_ms < self._backlog_until_ms
        return in_backlog and segment.acknowledged < self._backlog_min_retransmission

    def send_decision(
        self, segment: model.Segment, decision: outcomes.Decision
    ) -> None:
        """Send the datagrams of a decision, if any."""
        for update in decision.updates:
            self.send(update.datagram, update.target.address)
        if decision.datagram is None:
            return
        address = decision.address or self.caller_address(segment.flow)
        self.send(decision.datagram, address)

    def caller_address(self, flow: model.FlowId) -> model.Address:
        """Return the address on which the caller of a flow receives packets."""
        host = ".".join(map(str, flow.caller_ip))
        return model.Address(host, self._caller_port)

    def account(
        self,
        now_ms: int,
        age_ms: int,
        segment: model.Segment,
        decision: outcomes.Decision,
        **further_fields: object,
    ) -> None:
        """Count and log a decision.

        Args:
            now_ms: Present time.
            age_ms: Age of this VM's copy of the store.
            segment: The packet that was decided about.
            decision: The decision.
            further_fields: Further fields of the log line.
        """
        outcome = decision.outcome
        self._stats.counts[f"packets_{outcome.value}"] += 1
        if decision.opened_twice:
            self._stats.counts["flows_opened_twice"] += 1
            self._log.write(
                "flow_opened_twice",
                flow=segment.flow,
                target=decision.target.name if decision.target is not None else "-",
                cookie=segment.cookie,
                age_ms=store_replica.reported_age_ms(age_ms),
            )
        for update in decision.updates:
            self._stats.counts["cookie_updates"] += 1
            self._log.write(
                "cookie_updated",
                flow=segment.flow,
                target=update.target.name,
                of=decision.target.name if decision.target is not None else "-",
                cookie=segment.cookie,
                age_ms=store_replica.reported_age_ms(age_ms),
            )
        if decision.answer_ms is not None:
            self._stats.observe("answer", decision.answer_ms)
        for reason in decision.withheld:
            self._stats.counts[f"flows_withheld_{reason.value}"] += 1
        if decision.reset_reason is not None:
            self.count_reset(decision.reset_reason)
        if outcome in _UNLOGGED_OUTCOMES:
            return
        target = decision.target
        self._log.write(
            f"flow_{outcome.value}",
            flow=segment.flow,
            copy=segment.acknowledged if segment.opening else "-",
            **self._reset_fields(now_ms, segment, decision),
            target=target.name if target is not None else "-",
            zone=target.zone if target is not None else "-",
            on_target=self._flows_on(target),
            revision=self._replica.revision,
            age_ms=store_replica.reported_age_ms(age_ms),
            **self._withheld_fields(decision),
            **self._overload_fields(target),
            **further_fields,
        )

    def count_reset(self, reason: outcomes.ResetReason) -> None:
        """Count an open flow that this VM resets."""
        self._stats.counts[f"open_flows_reset_{reason.value}"] += 1

    def _reset_fields(
        self, now_ms: int, segment: model.Segment, decision: outcomes.Decision
    ) -> dict[str, object]:
        fields: dict[str, object] = {"cookie": segment.cookie}
        if decision.reset_reason is None:
            return fields
        fields["reason"] = decision.reset_reason.value
        if decision.known_by is not None:
            fields["known_by"] = decision.known_by.value
        if decision.target is None:
            return fields | self._catalog.config_fields(now_ms)
        fields |= self._catalog.target_fields(now_ms, decision.target)
        checked_ms = self._observations.liveness.checked_ms(decision.target.cookie)
        if checked_ms is not None:
            fields["checked_for_ms"] = now_ms - checked_ms
        return fields

    def _withheld_fields(self, decision: outcomes.Decision) -> dict[str, object]:
        if not decision.withheld:
            return {}
        return {"withheld": ",".join(reason.value for reason in decision.withheld)}

    def _overload_fields(self, target: model.Target | None) -> dict[str, object]:
        if target is None:
            return {}
        pool = overload.Pool(target.service, target.zone)
        load_shedder = self._observations.load_shedder
        if not load_shedder.limiting(pool):
            return {}
        # These are the figures by which refusals are decided. They are also logged for
        # flows that were admitted during the overload.
        return {
            "of_objective": f"{load_shedder.ratio(pool):.2f}",
            "refused_part": f"{load_shedder.refused_levels(pool):.2f}",
        }

    def log_overloads(self) -> None:
        """Log the overloads that have begun or ended since the last call."""
        load_shedder = self._observations.load_shedder
        while load_shedder.changed:
            pool = load_shedder.changed.pop()
            begun = load_shedder.limiting(pool)
            self._log.write(
                "overload_begun" if begun else "overload_over",
                service=pool.service,
                zone=pool.zone,
                of_objective=f"{load_shedder.ratio(pool):.2f}",
            )

    def log_ejections(self) -> None:
        """Log the targets that were ejected since the last call."""
        unlogged = self._observations.ejections.unlogged
        while unlogged:
            item = unlogged.pop()
            self._stats.counts["targets_ejected"] += 1
            target = self._catalog.by_cookie(item.cookie)
            self._log.write(
                "target_ejected",
                target=target.name if target is not None else "-",
                zone=target.zone if target is not None else "-",
                cookie=item.cookie,
                witnesses=item.witnesses,
                lasts_ms=item.lasts_ms,
            )

    def _flows_on(self, target: model.Target | None) -> int:
        if target is None:
            return 0
        own = self._observations.tracker.flows_on(target.cookie)
        return own + self._observations.reports.flows_on(target.cookie)

    def apply_rows(self, now_ms: int, merge: store_replica.Merge, origin: str) -> None:
        """Apply rows of the store that are new to this VM.

        Args:
            now_ms: Present time.
            merge: The rows.
            origin: Source of the rows, for the log.
        """
        for detail in merge.refused:
            self._stats.counts["rows_refused"] += 1
            self._log.write("row_refused", detail=detail, origin=origin)
        if not merge.rows:
            return
        gap_ms = store_replica.reported_age_ms(merge.previous_age_ms)
        for note in self._catalog.update(now_ms, merge, origin):
            self._log.write(note.event, **note.fields, origin=origin, gap_ms=gap_ms)


def build_carrier(
    loaded: settings.Settings,
    segment_codec: codec.SegmentCodec,
    reader: source.Reader,
    descriptor: int,
) -> Carrier:
    """Build a carrier with its components.

    Args:
        loaded: Validated settings.
        segment_codec: Reads and writes the fabric's packets.
        reader: Decodes the rows of the store.
        descriptor: File descriptor of the log.
    """
    vm = loaded.vm
    counters = stats.Stats()
    target_catalog = catalog.Catalog(reader)
    parts = Parts(
        segment_codec,
        store_replica.StoreReplica(),
        target_catalog,
        observations.Observations(
            vm.zone,
            target_catalog,
            loaded.policy.refuse,
            vm.peer.host,
            cold_start.Limit(*loaded.cold),
        ),
        event_log.EventLog(descriptor, vm.name, loaded.log.lines_per_s, counters),
        counters,
    )
    return Carrier(vm.zone, vm.data.port, parts)


def _ignore_datagram(datagram: bytes, address: model.Address) -> None:
    """Send no datagram, before the forwarder sets the send function."""


def _ignore_delay(wait_ms: int, call: typing.Callable[[], None]) -> None:
    """Call nothing, before the forwarder sets the delay function."""


def _ignore_stall(now_ms: int) -> None:
    """Do nothing about a stall, before reservations are in use."""


def _ignore_target(target: model.Target) -> None:
    """Probe no target, before the forwarder sets the probe function."""
