"""Decides for each packet of a caller whether and where to forward it."""

import hashlib
import struct
import typing

from eelgrasswick.cookie import (
    catalog,
    codec,
    cookie_updates,
    delayed_copies,
    holding,
    model,
    observations,
    outcomes,
    placing,
    refused_flows,
    tracker,
    unrouted,
)
from eelgrasswick.decisions import overload

# An unknown route may have just been added if the catalog is older than this. Two
# seconds are less than the three seconds in which a change has to take effect, and
# more than the age that the catalog reaches while the watch of the store works.
MAX_CATALOG_AGE_MS: typing.Final = 2000
# Callers retransmit an opening packet after 200 ms. A retransmission that arrives
# sooner was queued together with the first packet, and is no sign that the target
# left the first packet unanswered.
MIN_RETRANSMISSION_MS: typing.Final = 120
# This is the number of the last retransmission of an opening packet, which callers send
# 600 ms after the original packet. The original packet has number 0.
LAST_RETRANSMISSION: typing.Final = 2
_HIGH_BITS: typing.Final = 2**16
_NUMBERS: typing.Final = struct.Struct(">III")


class Steering:
    """Decides about packets from the catalog and the observations of this VM.

    Attributes:
        holder: Holds opening packets while capacity is reserved for them.
        copies: Copies of opening packets that wait for an answer to the original.
    """

    def __init__(
        self,
        zone: str,
        segment_codec: codec.SegmentCodec,
        target_catalog: catalog.Catalog,
        observed: observations.Observations,
    ) -> None:
        """Create the steering of a VM.

        Args:
            zone: Availability zone of the VM.
            segment_codec: Reads and writes the fabric's packets.
            target_catalog: Routes and targets.
            observed: Observations of flows and targets.
        """
        self._zone = zone
        self._codec = segment_codec
        self._catalog = target_catalog
        self._observations = observed
        self._unrouted = unrouted.UnroutedFlows()
        self.holder: holding.Holder = holding.NoHolder()
        self.copies = delayed_copies.DelayedCopies()
        self._refused = refused_flows.RefusedFlows()
        self._updates = cookie_updates.CookieUpdates(segment_codec, target_catalog)

    def steer(
        self,
        now_ms: int,
        age_ms: int,
        segment: model.Segment,
        raw: bytes,
        queued: bool = False,
        waited: bool = False,
    ) -> outcomes.Decision:
        """Decide about one packet.

        A copy of an opening packet that is delayed goes to `place_delayed` after
        `delayed_copies.WAIT_MS`.

        Args:
            now_ms: Present time.
            age_ms: Age of this VM's copy of the store.
            segment: The decoded packet.
            raw: The packet as received.
            queued: True when the packet may have been queued for so long that its
                caller has sent it again.
            waited: True for a copy of an opening packet that was delayed.
        """
        if self._catalog.config is None:
            return outcomes.Decision(outcomes.Outcome.NOT_READY)
        route = self._catalog.route(segment)
        if route is None:
            return self._without_route(now_ms, age_ms, segment)
        if segment.opening:
            return self._open(now_ms, route, segment, raw, queued, waited)
        return self._forward(now_ms, route, segment, raw)

    def _without_route(
        self, now_ms: int, age_ms: int, segment: model.Segment
    ) -> outcomes.Decision:
        # A reset ends the caller's attempt. If the route was just added and this VM
        # has not received it yet, a reset would refuse an allowed flow, whereas a
        # caller without a response retransmits its opening packet.
        resettable = segment.opening or self._on_dropped_route(now_ms, age_ms, segment)
        if segment.reset or age_ms > MAX_CATALOG_AGE_MS or not resettable:
            return outcomes.Decision(outcomes.Outcome.NO_ROUTE)
        datagram = self._codec.reset(segment.flow, segment.acknowledged)
        reason = None if segment.opening else outcomes.ResetReason.ROUTE_DROPPED
        return outcomes.Decision(
            outcomes.Outcome.NO_ROUTE_RESET, datagram, None, None, reset_reason=reason
        )

    def _on_dropped_route(
        self, now_ms: int, age_ms: int, segment: model.Segment
    ) -> bool:
        # An open flow proves that some VM has the route, so this VM resets an open flow
        # only after it has recorded the removal of the route. A flow that is unknown
        # here may have been opened after the route was added again.
        if not self._catalog.route_dropped(segment):
            return False
        if self._observations.tracker.get(segment.flow) is not None:
            return True
        first_ms = self._unrouted.first_packet_ms(now_ms, segment.flow)
        if now_ms - age_ms < first_ms:
            return False
        self._unrouted.remove(segment.flow)
        return True

    def _open(
        self,
        now_ms: int,
        route: model.Route,
        segment: model.Segment,
        raw: bytes,
        queued: bool,
        waited: bool,
    ) -> outcomes.Decision:
        flow = segment.flow
        if self.copies.waits(flow):
            return outcomes.Decision(outcomes.Outcome.COPY_NOT_NEEDED)
        if self.holder.holds(flow):
            # No target has received the flow yet, so the copy adds nothing.
            return outcomes.Decision(outcomes.Outcome.HELD)
        if self._refused.has(now_ms, flow):
            return self.refuse_held(now_ms, raw)
        retransmissions = segment.acknowledged
        record = self._record_of(segment)
        previous = (
            self._catalog.by_cookie(record.cookie) if record is not None else None
        )
        if record is None or previous is None or self._death_reason(now_ms, previous):
            # A flow whose packet went to a target that is dead by now must not be
            # refused as if no target had received it, so its copies are not held.
            repeated = bool(retransmissions) or queued
            first = record is None and not repeated
            # Another VM may place a copy of this packet.
            agreed = record is None and repeated
            # A target that another VM placed the original on may be about to answer.
            may_wait = record is None and bool(retransmissions) and not waited
            if may_wait and self.copies.begin(flow):
                return outcomes.Decision(outcomes.Outcome.COPY_DELAYED)
            return self._place(now_ms, route, segment, raw, None, first, agreed)
        too_soon = now_ms - record.placed_ms < MIN_RETRANSMISSION_MS
        unanswered = retransmissions > record.retransmissions
        moves = unanswered or self._catalog.evacuations.covers(previous)
        if record.open or not moves or too_soon:
            # The network duplicated the packet, or the packet was queued behind the
            # first one. Sent to a second target, it would open the flow twice.
            return self._forwarded_to(outcomes.Outcome.PLACED, previous, raw)
        if not waited and self.copies.begin(flow):
            return outcomes.Decision(outcomes.Outcome.COPY_DELAYED)
        decision = self._place(now_ms, route, segment, raw, previous)
        if unanswered and self._observations.record_unanswered(now_ms, previous):
            return decision._replace(probe=previous)
        return decision

    def place_delayed(
        self, now_ms: int, age_ms: int, segment: model.Segment, raw: bytes
    ) -> outcomes.Decision:
        """Place a copy of an opening packet that was delayed, if it is still needed.

        Args:
            now_ms: Present time.
            age_ms: Age of this VM's copy of the store.
            segment: The decoded opening packet.
            raw: The packet as received.
        """
        if not self.copies.end(segment.flow):
            return outcomes.Decision(outcomes.Outcome.COPY_NOT_NEEDED)
        return self.steer(now_ms, age_ms, segment, raw, waited=True)

    def _record_of(self, opening: model.Segment) -> tracker.Record | None:
        """Return the record of the flow that a packet opens.

        The record of a former flow from the same port is deleted.
        """
        record = self._observations.tracker.get(opening.flow)
        if record is None or record.opening is None:
            return record
        if record.opening.sequence == opening.sequence:
            return record
        self._observations.tracker.remove(opening.flow)
        return None

    def _place(
        self,
        now_ms: int,
        route: model.Route,
        segment: model.Segment,
        raw: bytes,
        silent: model.Target | None,
        first: bool = False,
        agreed: bool = False,
    ) -> outcomes.Decision:
        """Choose the target of a flow, or hold the flow.

        Args:
            now_ms: Present time.
            route: Route of the flow.
            segment: The decoded opening packet.
            raw: The opening packet.
            silent: The target that left the previous opening packet unanswered.
            first: True for the first decision about the flow, which may be to hold it.
            agreed: True to choose the target that other VMs choose for copies of the
                packet.
        """
        flow = segment.flow
        retransmissions = segment.acknowledged
        service = placing.pick_service(route.shares, _draws(flow, 0).first)
        unanswered_cookie = silent.cookie if silent is not None else 0
        draws = _draws(flow, 0 if agreed else retransmissions)
        # The low bits of the draw are as uniform as its high bits and independent of
        # them.
        low_part = draws.second * _HIGH_BITS % 1
        urgent = not self._observations.levels.rank(service, route.priority).above
        eligible = self._observations.candidates(
            now_ms, service, unanswered_cookie, low_part, urgent
        )
        candidates = eligible.candidates
        withheld = self._withheld(service, eligible.cold_excluded)
        if first and candidates:
            self._observations.levels.opened(now_ms, service, route.priority)
            if self.holder.wants(now_ms, route, service) and self.holder.hold(
                now_ms,
                holding.HoldRequest(
                    flow,
                    route,
                    service,
                    raw,
                    tuple(item.target for item in candidates),
                    urgent,
                ),
            ):
                return outcomes.Decision(outcomes.Outcome.HELD, withheld=withheld)
        if agreed:
            chosen = placing.choose_agreed_target(candidates, self._zone, draws)
        else:
            chosen = placing.choose_target(candidates, self._zone, draws)
        if chosen is None:
            return self._without_target(flow, withheld)
        target = chosen
        # Only the first opening packet of a flow is refused. When a retransmission
        # arrives, a target may have accepted the packet before, and the caller may be
        # about to send its request there.
        may_refuse = not retransmissions and not agreed
        if may_refuse and self._is_refused(now_ms, route, chosen, draws):
            alternative = placing.choose_target(
                self._without_overloaded(candidates), self._zone, draws
            )
            if alternative is None:
                # No target has received the flow, so nothing of it has run. An
                # admitted flow would be late and would delay the next ones.
                self._refused.add(now_ms, flow)
                datagram = self._codec.reset(flow, 0)
                return outcomes.Decision(
                    outcomes.Outcome.OVERLOADED, datagram, None, chosen
                )
            target = alternative
        likely: frozenset[int] = frozenset()
        if agreed:
            likely = self._likely_targets(now_ms, eligible, draws)
        self._record_placement(now_ms, segment, target, raw, likely)
        outcome = (
            outcomes.Outcome.PLACED if silent is None else outcomes.Outcome.PLACED_AGAIN
        )
        return self._forwarded_to(outcome, target, raw)._replace(withheld=withheld)

    def _likely_targets(
        self, now_ms: int, eligible: observations.Candidates, draws: placing.Draws
    ) -> frozenset[int]:
        """Return the targets on which another VM may have placed the original packet.

        That VM may have excluded fewer targets than this one. Cold targets are left
        out, as they may get few opening packets.
        """
        usable = [item.target for item in eligible.candidates]
        return frozenset(
            item.cookie
            for targets in (usable, eligible.accepting)
            for item in placing.likely_targets(targets, self._zone, draws)
            if not self._catalog.cold_ms(item, now_ms)
        )

    def place_held(self, now_ms: int, age_ms: int, raw: bytes) -> outcomes.Decision:
        """Place a flow that was held, by this VM's own observations.

        Args:
            now_ms: Present time.
            age_ms: Age of this VM's copy of the store.
            raw: The held opening packet.
        """
        segment = self._codec.decode(raw)
        route = self._catalog.route(segment)
        if route is None:
            return self._without_route(now_ms, age_ms, segment)
        return self._place(now_ms, route, segment, raw, None)

    def place_reserved(
        self, now_ms: int, age_ms: int, raw: bytes, cookie: int
    ) -> outcomes.Decision:
        """Place a held flow on the target at which capacity is reserved for it.

        Args:
            now_ms: Present time.
            age_ms: Age of this VM's copy of the store.
            raw: The held opening packet.
            cookie: Cookie of the target.
        """
        segment = self._codec.decode(raw)
        target = self._catalog.accepting_target(cookie)
        route = self._catalog.route(segment)
        if (
            route is None
            or target is None
            or not self._takes(now_ms, route, segment.flow, target)
        ):
            # The configuration or the target has changed since the request.
            return self.place_held(now_ms, age_ms, raw)
        self._record_placement(now_ms, segment, target, raw)
        return self._forwarded_to(outcomes.Outcome.PLACED, target, raw)

    def _takes(
        self,
        now_ms: int,
        route: model.Route,
        flow: model.FlowId,
        target: model.Target,
    ) -> bool:
        service = placing.pick_service(route.shares, _draws(flow, 0).first)
        return service == target.service and not self._death_reason(now_ms, target)

    def refuse_held(self, now_ms: int, raw: bytes) -> outcomes.Decision:
        """Refuse a held flow for which there is no capacity in time.

        No target has received the flow, so nothing of it has run.
        """
        flow = self._codec.decode(raw).flow
        self._refused.add(now_ms, flow)
        datagram = self._codec.reset(flow, 0)
        return outcomes.Decision(outcomes.Outcome.NO_CAPACITY, datagram, None, None)

    def _record_placement(
        self,
        now_ms: int,
        segment: model.Segment,
        target: model.Target,
        raw: bytes,
        likely: frozenset[int] = frozenset(),
    ) -> None:
        self._observations.tracker.record_placement(
            now_ms,
            segment.flow,
            target.cookie,
            segment.acknowledged,
            tracker.Opening(segment.sequence, raw),
            likely,
        )
        self._observations.record_placement(now_ms, target)

    def _withheld(
        self, service: str, cold_excluded: bool
    ) -> tuple[outcomes.Reason, ...]:
        reasons = [outcomes.Reason.COLD] if cold_excluded else []
        in_own_zone = self._catalog.withholds_in(service, self._zone)
        evacuated = in_own_zone or bool(self._catalog.withheld(service))
        if in_own_zone or (evacuated and not self._catalog.accepting(service)):
            reasons.append(outcomes.Reason.EVACUATION)
        return tuple(reasons)

    def _without_target(
        self, flow: model.FlowId, withheld: tuple[outcomes.Reason, ...]
    ) -> outcomes.Decision:
        if not self._catalog.entries_complete:
            # A reset would be final, whereas a target may be available for the caller's
            # next retransmission.
            return outcomes.Decision(outcomes.Outcome.NO_TARGET_YET)
        outcome = outcomes.Outcome.NO_TARGET
        if outcomes.Reason.COLD in withheld:
            outcome = outcomes.Outcome.COLD
        elif outcomes.Reason.EVACUATION in withheld:
            outcome = outcomes.Outcome.EVACUATED
        datagram = self._codec.reset(flow, 0)
        return outcomes.Decision(outcome, datagram, None, None, withheld=withheld)

    def _without_overloaded(
        self, candidates: typing.Sequence[placing.Candidate]
    ) -> list[placing.Candidate]:
        # The load of a zone shows in its response times more than in its numbers of
        # flows. Response times are measured only by VMs of the same zone.
        limiting = self._observations.load_shedder.limiting
        return [
            item
            for item in candidates
            if not limiting(overload.Pool(item.target.service, item.target.zone))
        ]

    def _is_refused(
        self,
        now_ms: int,
        route: model.Route,
        target: model.Target,
        draws: placing.Draws,
    ) -> bool:
        observed = self._observations
        pool = overload.Pool(target.service, target.zone)
        if not observed.load_shedder.limiting(pool):
            return False
        rank = observed.levels.rank(target.service, route.priority)
        return draws.refuse < observed.load_shedder.refused_share(now_ms, pool, rank)

    def _forwarded_to(
        self, outcome: outcomes.Outcome, target: model.Target, raw: bytes
    ) -> outcomes.Decision:
        marked = self._codec.with_cookie(raw, target.cookie)
        datagram = self._codec.for_target(marked, target)
        return outcomes.Decision(outcome, datagram, target.address, target)

    def _forward(
        self, now_ms: int, route: model.Route, segment: model.Segment, raw: bytes
    ) -> outcomes.Decision:
        self.copies.end(segment.flow)
        record = self._observations.tracker.get(segment.flow)
        cookie = segment.cookie
        if record is not None and record.open:
            # If two targets answered the same opening packet, the caller uses the
            # cookie that it received last, which may be that of the target without
            # the flow. The VM forwards the correct cookie, and the target returns it
            # to the caller.
            cookie = record.cookie
        opened_twice = (
            record is not None and cookie != segment.cookie and not record.opened_twice
        )
        if record is not None and opened_twice:
            record.opened_twice = True
        target = self._catalog.by_cookie(cookie)
        if target is None:
            return outcomes.Decision(outcomes.Outcome.UNKNOWN_COOKIE)
        reason = self._death_reason(now_ms, target)
        if reason is not None:
            self._observations.tracker.remove(segment.flow)
            datagram = self._codec.reset(segment.flow, segment.acknowledged)
            return outcomes.Decision(
                outcomes.Outcome.TARGET_DEAD,
                datagram,
                None,
                target,
                reset_reason=reason,
                known_by=_known_by(record),
            )
        measurement = self._observations.tracker.record_segment(now_ms, segment, cookie)
        probe = (
            target
            if self._record_measurement(now_ms, route, target, measurement)
            else None
        )
        if self._observations.should_reprobe(now_ms, target):
            probe = target
        if cookie != segment.cookie:
            raw = self._codec.with_cookie(raw, cookie)
        updates: tuple[cookie_updates.CookieUpdate, ...] = ()
        if record is not None and (record.unconfirmed or cookie != segment.cookie):
            updates = self._updates.take_due(now_ms, record, segment, route)
        return outcomes.Decision(
            outcomes.Outcome.FORWARDED,
            self._codec.for_target(raw, target),
            target.address,
            target,
            measurement.answer_ms,
            probe,
            opened_twice=opened_twice,
            updates=updates,
        )

    def _death_reason(
        self, now_ms: int, target: model.Target
    ) -> outcomes.ResetReason | None:
        if self._catalog.has_ended(target.cookie):
            return outcomes.ResetReason.ADDRESS_TAKEN
        if self._observations.liveness.dead(now_ms, target.cookie):
            return outcomes.ResetReason.PROBE_FAILED
        return None

    def reset_flows(self, target: model.Target) -> list[outcomes.FlowReset]:
        """Remove the open flows of a dead target, and return a reset for each."""
        flows = self._observations.tracker.open_flows(target.cookie)
        resets = []
        for flow, record in flows:
            datagram = self._codec.reset(flow, record.acknowledged)
            resets.append(outcomes.FlowReset(flow, datagram, _known_by(record)))
            self._observations.tracker.remove(flow)
        return resets

    def _record_measurement(
        self,
        now_ms: int,
        route: model.Route,
        target: model.Target,
        measurement: tracker.Measurement,
    ) -> bool:
        probe = False
        if measurement.opened or measurement.answer_ms is not None:
            self._observations.record_answer(now_ms, target)
        elif measurement.retransmitted:
            probe = self._observations.record_unanswered(now_ms, target)
        if measurement.request_number:
            self._observations.flow_reuse.record(
                target.service, measurement.request_number
            )
        if measurement.answer_ms is not None:
            self._observations.record_answer_time(target, measurement.answer_ms)
            self._observations.record_objective(now_ms, route, target, measurement)
        return probe


def _known_by(record: tracker.Record | None) -> outcomes.KnownBy:
    if record is None or not record.open:
        return outcomes.KnownBy.COOKIE
    return (
        outcomes.KnownBy.PLACEMENT
        if record.placed_here
        else outcomes.KnownBy.FORMER_PACKET
    )


def _draws(flow: model.FlowId, retransmissions: int) -> placing.Draws:
    text = flow.caller_ip + flow.caller_port.to_bytes(2, "big") + flow.service_ip
    digest = hashlib.blake2b(
        text + bytes([retransmissions & 0xFF]), digest_size=12
    ).digest()
    return placing.Draws(*(item / 2**32 for item in _NUMBERS.unpack(digest)))
