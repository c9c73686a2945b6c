"""Corrects the cookie that a target without the flow sends to the caller.

Two targets may answer one opening packet: the caller repeats it after 200 ms, and the
answer of the first target may be lost or late. The caller opens the flow at one of
them, but returns the cookie that it received last, and the other target repeats its
answer for about ten seconds. A VM without a record of the flow would forward the
caller's packets to that target, which resets the flow.

A target returns the last cookie that it received, too. The VM that knows the target of
the flow therefore sends the opening packet once more to the other one, with the cookie
of the flow's target. All packets that the caller receives afterwards have the same
cookie, and any VM forwards the flow correctly.
"""

import typing

from eelgrasswick.cookie import catalog, codec, model, tracker

# The update may be lost, so it is sent again with a packet that follows the first one
# this closely. Each update brings a further answer. If a target kept its first cookie,
# answers that follow the data of the flow's target would do harm.
FIRST_PACKETS: typing.Final = 2
MAX_REPETITION_MS: typing.Final = 10
# So many packets that name a target without the flow lead to a further update.
MAX_FURTHER_UPDATES: typing.Final = 2
# Packets that follow the first ones closely were sent before the caller received the
# updated cookie.
MIN_INTERVAL_MS: typing.Final = 100
# A target repeats its answer for this long after an opening packet. Later, it would
# take the update for a new flow.
ANSWER_REPEATED_MS: typing.Final = 11_000
# A target may have received no opening packet before the update. The limits on new
# flows, as after a change of the configuration, are met by an update that follows the
# caller's last opening packet this closely.
MAX_UNCONFIRMED_MS: typing.Final = 1000


class CookieUpdate(typing.NamedTuple):
    """An opening packet that is sent again, with the cookie of another target.

    Attributes:
        datagram: The datagram to send.
        target: The target without the flow, to which it is sent.
    """

    datagram: bytes
    target: model.Target


class CookieUpdates:
    """Decides which targets are sent the cookie of a flow's target."""

    def __init__(
        self, segment_codec: codec.SegmentCodec, target_catalog: catalog.Catalog
    ) -> None:
        """Create the updates of a VM.

        Args:
            segment_codec: Writes the fabric's packets.
            target_catalog: Routes and targets.
        """
        self._codec = segment_codec
        self._catalog = target_catalog

    def take_due(
        self,
        now_ms: int,
        record: tracker.Record,
        segment: model.Segment,
        route: model.Route,
    ) -> tuple[CookieUpdate, ...]:
        """Return the updates to send with a packet, and record that they are sent.

        Args:
            now_ms: Present time.
            record: Record of the packet's flow, which is open.
            segment: The packet.
            route: Route of the flow.
        """
        if record.opening is None or segment.ending or segment.reset:
            return ()
        cookies = self._unconfirmed(now_ms, record)
        cookies |= self._named_by_mistake(now_ms, record, segment, route)
        found = [self._catalog.by_cookie(cookie) for cookie in sorted(cookies)]
        opening = self._codec.with_cookie(record.opening.raw, record.cookie)
        updates = tuple(
            CookieUpdate(self._codec.for_target(opening, item), item)
            for item in found
            if item is not None and not self._catalog.has_ended(item.cookie)
        )
        if updates:
            record.updated_ms = now_ms
        return updates

    def _unconfirmed(self, now_ms: int, record: tracker.Record) -> frozenset[int]:
        if record.packets > FIRST_PACKETS:
            return frozenset()
        if record.updated_ms and now_ms - record.updated_ms > MAX_REPETITION_MS:
            return frozenset()
        if now_ms - record.placed_ms > MAX_UNCONFIRMED_MS:
            return frozenset()
        return record.unconfirmed

    def _named_by_mistake(
        self,
        now_ms: int,
        record: tracker.Record,
        segment: model.Segment,
        route: model.Route,
    ) -> frozenset[int]:
        if segment.cookie == record.cookie:
            return frozenset()
        if record.further_updates >= MAX_FURTHER_UPDATES:
            return frozenset()
        if now_ms - record.placed_ms > ANSWER_REPEATED_MS:
            return frozenset()
        if record.updated_ms and now_ms - record.updated_ms < MIN_INTERVAL_MS:
            return frozenset()
        target = self._catalog.accepting_target(segment.cookie)
        if target is None or target.service not in {s.service for s in route.shares}:
            return frozenset()
        record.further_updates += 1
        return frozenset({segment.cookie})
