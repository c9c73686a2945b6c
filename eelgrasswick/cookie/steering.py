"""What happens to each packet of a caller."""

import enum
import hashlib
import struct
import typing

from eelgrasswick.cookie import catalog, codec, model, observations, placing, tracker
from eelgrasswick.decisions import overload

# While knowledge is older, a route that is not known may be one that was just
# added. Two seconds are within the three in which a change is to be in force
# and above the age that a watched store leaves.
MAX_CATALOG_AGE_MS: typing.Final = 2000
# Callers send a copy 200 ms after an opening packet. One that is seen sooner
# has waited together with the first, and does not say that it got no answer.
MIN_RETRANSMISSION_MS: typing.Final = 120
# The copies are numbered from 0; this is the number of the last one, 600 ms later.
LAST_RETRANSMISSION: typing.Final = 2
_PARTS: typing.Final = 2**16
_NUMBERS: typing.Final = struct.Struct(">III")


class Outcome(enum.Enum):
    """What was done with a packet."""

    FORWARDED = "forwarded"
    PLACED = "placed"
    PLACED_AGAIN = "placed_again"
    NO_ROUTE = "no_route"
    NO_ROUTE_RESET = "no_route_reset"
    NO_TARGET = "no_target_reset"
    NO_TARGET_YET = "no_target_yet"
    EVACUATED = "evacuated_reset"
    COLD = "cold_reset"
    UNKNOWN_COOKIE = "unknown_cookie"
    NOT_READY = "not_ready"
    TARGET_DEAD = "target_dead_reset"
    OVERLOADED = "overloaded_reset"


class Reason(enum.Enum):
    """Why a target that serves gets no new flow."""

    EVACUATION = "evacuation"
    COLD = "cold"


class Decision(typing.NamedTuple):
    """What to send for a packet.

    Attributes:
        outcome: Why.
        datagram: What to send; None for nothing.
        address: Where to; None for the caller.
        target: The target that was chosen or named, if any.
        answer_ms: How long the target took for an answer, when the packet
            tells.
        probe: A silent target to probe, if there is one now.
        withheld: What kept the flow from targets that it might have got.
    """

    outcome: Outcome
    datagram: bytes | None
    address: model.Address | None
    target: model.Target | None
    answer_ms: int | None = None
    probe: model.Target | None = None
    withheld: tuple[Reason, ...] = ()


class Steering:
    """Decides about packets by the catalog and by what was seen of flows."""

    def __init__(
        self,
        zone: str,
        wire: codec.SegmentCodec,
        known: catalog.Catalog,
        seen: observations.Observations,
    ) -> None:
        """Steer for a VM of a zone."""
        self._zone = zone
        self._codec = wire
        self._catalog = known
        self._observations = seen

    def steer(
        self, now_ms: int, age_ms: int, segment: model.Segment, raw: bytes
    ) -> Decision:
        """Decide about one packet.

        Args:
            now_ms: Present time.
            age_ms: Age of what this VM knows.
            segment: The packet, decoded.
            raw: The packet as it came.
        """
        if self._catalog.config is None:
            return Decision(Outcome.NOT_READY, None, None, None)
        route = self._catalog.route(segment)
        if route is None:
            return self._unrouted(age_ms, segment)
        if segment.opening:
            return self._open(now_ms, route, segment, raw)
        return self._forward(now_ms, route, segment, raw)

    def _unrouted(self, age_ms: int, segment: model.Segment) -> Decision:
        # A reset ends the caller's attempt. Sent for a route that was just
        # added and is not known here yet, it would refuse what is allowed; a
        # caller that hears nothing sends its opening packet again. A flow that
        # is open already shows that some VM knows the route, so it is reset
        # only when this VM has seen the route go.
        known = segment.opening or self._catalog.route_dropped(segment)
        if segment.reset or age_ms > MAX_CATALOG_AGE_MS or not known:
            return Decision(Outcome.NO_ROUTE, None, None, None)
        datagram = self._codec.reset(segment.flow, segment.acknowledged)
        return Decision(Outcome.NO_ROUTE_RESET, datagram, None, None)

    def _open(
        self, now_ms: int, route: model.Route, segment: model.Segment, raw: bytes
    ) -> Decision:
        flow = segment.flow
        copies = segment.acknowledged
        record = self._observations.tracker.get(flow)
        before = self._catalog.by_cookie(record.cookie) if record is not None else None
        if record is None or before is None or self._is_dead(now_ms, before):
            return self._place(now_ms, route, flow, raw, copies, None)
        soon = now_ms - record.placed_ms < MIN_RETRANSMISSION_MS
        unanswered = copies > record.retransmissions
        moves = unanswered or self._catalog.evacuations.covers(before)
        if record.open or not moves or soon:
            # The network doubled the packet, or it waited in a queue behind the
            # first. At a second target the flow would be open twice.
            return self._passed_on(Outcome.PLACED, before, raw)
        decision = self._place(now_ms, route, flow, raw, copies, before)
        if unanswered and self._observations.record_unanswered(now_ms, before):
            return decision._replace(probe=before)
        return decision

    def _place(
        self,
        now_ms: int,
        route: model.Route,
        flow: model.FlowId,
        raw: bytes,
        copies: int,
        silent: model.Target | None,
    ) -> Decision:
        service = placing.pick_service(route.shares, _draws(flow, 0).first)
        passed_over = silent.cookie if silent is not None else 0
        draws = _draws(flow, copies)
        # Its last bits are as even as the number, and say nothing of it.
        part = draws.second * _PARTS % 1
        urgent = not self._observations.levels.rank(service, route.priority).above
        found = self._observations.candidates(
            now_ms, service, passed_over, part, urgent
        )
        candidates = found.candidates
        withheld = self._withheld(service, found.cold_excluded)
        chosen = placing.choose_target(candidates, self._zone, draws)
        if chosen is None:
            return self._without_target(flow, withheld)
        target = chosen
        # Only a first opening packet is refused. Where a copy comes, a target may have
        # taken the one before, and the caller may be about to ask it.
        if not copies and self._is_refused(now_ms, route, chosen, draws):
            calm = placing.choose_target(self._calm(candidates), self._zone, draws)
            if calm is None:
                # No target saw it, so that it has not run. Let in, it would be late
                # and make the next ones late, too.
                datagram = self._codec.reset(flow, 0)
                return Decision(Outcome.OVERLOADED, datagram, None, chosen)
            target = calm
        self._observations.tracker.record_placement(now_ms, flow, target.cookie, copies)
        self._observations.record_placement(now_ms, target)
        outcome = Outcome.PLACED if silent is None else Outcome.PLACED_AGAIN
        return self._passed_on(outcome, target, raw)._replace(withheld=withheld)

    def _withheld(self, service: str, cold: bool) -> tuple[Reason, ...]:
        found = [Reason.COLD] if cold else []
        evacuated = self._catalog.withheld(service)
        near = any(item.zone == self._zone for item in evacuated)
        if near or (evacuated and not self._catalog.accepting(service)):
            found.append(Reason.EVACUATION)
        return tuple(found)

    def _without_target(
        self, flow: model.FlowId, withheld: tuple[Reason, ...]
    ) -> Decision:
        if not self._catalog.settled:
            # A refusal would be final while the caller's next copy may find one.
            return Decision(Outcome.NO_TARGET_YET, None, None, None)
        outcome = Outcome.NO_TARGET
        if Reason.COLD in withheld:
            outcome = Outcome.COLD
        elif Reason.EVACUATION in withheld:
            outcome = Outcome.EVACUATED
        datagram = self._codec.reset(flow, 0)
        return Decision(outcome, datagram, None, None, withheld=withheld)

    def _calm(
        self, candidates: typing.Sequence[placing.Candidate]
    ) -> list[placing.Candidate]:
        # A zone that is full while another has room shows less in flows than in its
        # answers, which come from no VM of another zone.
        limiting = self._observations.refusals.limiting
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
        seen = self._observations
        seen.levels.opened(now_ms, target.service, route.priority)
        pool = overload.Pool(target.service, target.zone)
        if not seen.refusals.limiting(pool):
            return False
        rank = seen.levels.rank(target.service, route.priority)
        return draws.refuse < seen.refusals.refused_share(now_ms, pool, rank)

    def _passed_on(
        self, outcome: Outcome, target: model.Target, raw: bytes
    ) -> Decision:
        marked = self._codec.with_cookie(raw, target.cookie)
        datagram = self._codec.for_target(marked, target)
        return Decision(outcome, datagram, target.address, target)

    def _forward(
        self, now_ms: int, route: model.Route, segment: model.Segment, raw: bytes
    ) -> Decision:
        record = self._observations.tracker.get(segment.flow)
        cookie = segment.cookie
        if record is not None and record.open:
            # When two targets answered copies of one opening packet, the
            # caller names the one it heard last, which does not hold the flow.
            # The right cookie goes on, for the target to hand it back.
            cookie = record.cookie
        target = self._catalog.by_cookie(cookie)
        if target is None:
            return Decision(Outcome.UNKNOWN_COOKIE, None, None, None)
        if self._is_dead(now_ms, target):
            self._observations.tracker.forget(segment.flow)
            datagram = self._codec.reset(segment.flow, segment.acknowledged)
            return Decision(Outcome.TARGET_DEAD, datagram, None, target)
        signal = self._observations.tracker.record_segment(now_ms, segment, cookie)
        probe = target if self._learn(now_ms, route, target, signal) else None
        if self._observations.should_reprobe(now_ms, target):
            probe = target
        if cookie != segment.cookie:
            raw = self._codec.with_cookie(raw, cookie)
        return Decision(
            Outcome.FORWARDED,
            self._codec.for_target(raw, target),
            target.address,
            target,
            signal.answer_ms,
            probe,
        )

    def _is_dead(self, now_ms: int, target: model.Target) -> bool:
        cookie = target.cookie
        ended = self._catalog.ended(cookie)
        return ended or self._observations.liveness.dead(now_ms, cookie)

    def reset_flows(self, target: model.Target) -> list[tuple[model.FlowId, bytes]]:
        """Return a reset for each open flow of a target that is dead."""
        flows = self._observations.tracker.open_flows(target.cookie)
        for flow, _ in flows:
            self._observations.tracker.forget(flow)
        return [(flow, self._codec.reset(flow, at)) for flow, at in flows]

    def _learn(
        self,
        now_ms: int,
        route: model.Route,
        target: model.Target,
        signal: tracker.Measurement,
    ) -> bool:
        probe = False
        if signal.opened or signal.answer_ms is not None:
            self._observations.record_answer(now_ms, target)
        elif signal.retransmitted:
            probe = self._observations.record_unanswered(now_ms, target)
        if signal.answer_ms is not None:
            self._observations.record_answer_time(target, signal.answer_ms)
            self._observations.record_objective(now_ms, route, target, signal)
        return probe


def _draws(flow: model.FlowId, copies: int) -> placing.Draws:
    text = flow.caller_ip + flow.caller_port.to_bytes(2, "big") + flow.service_ip
    digest = hashlib.blake2b(text + bytes([copies & 0xFF]), digest_size=12).digest()
    return placing.Draws(*(item / 2**32 for item in _NUMBERS.unpack(digest)))
