"""What happens to each packet of a caller."""

import enum
import hashlib
import typing

from eelgrasswick import health
from eelgrasswick.cookie import catalog, codec, model, placing, speed, tracker

# While knowledge is older, a route that is not known may be one that was just
# added. Two seconds are within the three in which a change is to be in force
# and above the age that a watched store leaves.
SURE_MS: typing.Final = 2000


class Outcome(enum.Enum):
    """What was done with a packet."""

    FORWARDED = "forwarded"
    PLACED = "placed"
    PLACED_AGAIN = "placed_again"
    NO_ROUTE = "no_route"
    NO_ROUTE_SURE = "no_route_reset"
    NO_TARGET = "no_target_reset"
    UNKNOWN_COOKIE = "unknown_cookie"
    NOT_READY = "not_ready"


class Decision(typing.NamedTuple):
    """What to send for a packet.

    Attributes:
        outcome: Why.
        datagram: What to send; None for nothing.
        address: Where to; None for the caller.
        target: The target that was chosen or named, if any.
        answer_ms: How long the target took for an answer, when the packet
            tells.
    """

    outcome: Outcome
    datagram: bytes | None
    address: model.Address | None
    target: model.Target | None
    answer_ms: int | None = None


class Steering:
    """Decides about packets by the catalog and by what was seen of flows."""

    def __init__(
        self, zone: str, wire: codec.SegmentCodec, known: catalog.Catalog
    ) -> None:
        """Steer for a VM of a zone."""
        self._zone = zone
        self._codec = wire
        self._catalog = known
        self.tracker = tracker.Tracker()
        self.speeds = speed.SpeedBook()
        self._health = health.HealthBook()

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
        return self._forward(now_ms, segment, raw)

    def tick(self, now_ms: int) -> None:
        """Forget what is over."""
        self.tracker.expire(now_ms)
        self._catalog.tick(now_ms)
        self.speeds.keep({item.cookie for item in self._catalog.targets})

    def _unrouted(self, age_ms: int, segment: model.Segment) -> Decision:
        # A reset ends the caller's attempt. Sent for a route that was just
        # added and is not known here yet, it would refuse what is allowed; a
        # caller that hears nothing sends its opening packet again.
        if segment.reset or age_ms > SURE_MS:
            return Decision(Outcome.NO_ROUTE, None, None, None)
        datagram = self._codec.reset(segment)
        return Decision(Outcome.NO_ROUTE_SURE, datagram, None, None)

    def _open(
        self, now_ms: int, route: model.Route, segment: model.Segment, raw: bytes
    ) -> Decision:
        flow = segment.flow
        fraction = _fraction(flow)
        service = placing.pick_service(route.shares, fraction)
        record = self.tracker.get(flow)
        again = segment.acknowledged > 0 and record is not None and not record.open
        silent = self._note_unanswered(now_ms, record) if again and record else None
        candidates = self._candidates(now_ms, service, silent)
        target = placing.choose(candidates, self._zone, int(fraction * 0xFFFF))
        if target is None:
            datagram = self._codec.reset(segment)
            return Decision(Outcome.NO_TARGET, datagram, None, None)
        cookie = target.cookie
        self.tracker.placed(now_ms, flow, cookie)
        datagram = self._codec.addressed(self._codec.marked(raw, cookie), target)
        outcome = Outcome.PLACED_AGAIN if again else Outcome.PLACED
        return Decision(outcome, datagram, target.address, target)

    def _note_unanswered(
        self, now_ms: int, record: tracker.Record
    ) -> model.Target | None:
        target = self._catalog.by_cookie(record.cookie)
        if target is not None:
            self._health.unanswered(now_ms, target.name)
        return target

    def _candidates(
        self, now_ms: int, service: str, silent: model.Target | None
    ) -> list[placing.Candidate]:
        accepting = self._catalog.accepting(service)
        suspected = [self._health.suspected(now_ms, item.name) for item in accepting]
        usable = [
            item
            for item, keep in zip(accepting, health.usable(suspected), strict=True)
            if keep
        ]
        # A target that did not answer the first opening packet is passed over
        # for the copy, unless there is no other.
        usable = [item for item in usable if item != silent] or usable
        speeds = self.speeds.factors([item.cookie for item in usable])
        return [
            placing.Candidate(
                item,
                self.tracker.flows_on(item.cookie),
                speeds[item.cookie],
                self._catalog.cold_ms(item, now_ms) > 0,
            )
            for item in usable
        ]

    def _forward(self, now_ms: int, segment: model.Segment, raw: bytes) -> Decision:
        record = self.tracker.get(segment.flow)
        cookie = segment.cookie
        if record is not None and record.open:
            # When two targets answered copies of one opening packet, the
            # caller names the one it heard last, which does not hold the flow.
            cookie = record.cookie
        target = self._catalog.by_cookie(cookie)
        if target is None:
            return Decision(Outcome.UNKNOWN_COOKIE, None, None, None)
        sight = self.tracker.passed(now_ms, segment, cookie)
        if sight.opened:
            self._health.answered(target.name)
        if sight.answer_ms is not None:
            self.speeds.answered(cookie, sight.answer_ms)
        datagram = self._codec.addressed(raw, target)
        return Decision(
            Outcome.FORWARDED, datagram, target.address, target, sight.answer_ms
        )


def _fraction(flow: model.FlowId) -> float:
    text = flow.caller_ip + flow.caller_port.to_bytes(2, "big") + flow.service_ip
    digest = hashlib.blake2b(text, digest_size=4).digest()
    return int.from_bytes(digest, "big") / 2**32
