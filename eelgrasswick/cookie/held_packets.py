"""Sends, refuses or drops opening packets that were held for a reservation."""

import typing

from eelgrasswick.cookie import carrying, outcomes
from eelgrasswick.reservations import held_flow

# A reset within this time after the caller has sent its opening packet reaches the
# caller before its retransmission, after 200 ms, can have opened the flow at another
# VM. The rest is for the way to the caller and for timers that fire late. With 170 ms,
# resets crossed retransmissions on a busy machine.
MAX_REFUSAL_AGE_MS: typing.Final = held_flow.MAX_HELD_MS


class HeldPackets:
    """Carries out the resolutions of held flows."""

    def __init__(self, carrier: carrying.Carrier) -> None:
        """Create the resolver of a VM.

        Args:
            carrier: Sends, logs and counts the results.
        """
        self._carrier = carrier

    def resolve(self, now_ms: int, resolution: held_flow.Resolution) -> None:
        """Place, refuse or drop a flow that was held."""
        age_ms = self._carrier.parts.replica.age_ms(now_ms)
        decision = self._decide(now_ms, age_ms, resolution)
        segment = self._carrier.parts.codec.decode(resolution.raw)
        self._carrier.send_decision(segment, decision)
        self._carrier.account(
            now_ms,
            age_ms,
            segment,
            decision,
            held_ms=resolution.waited_ms,
            asked=resolution.asked,
            expected_wait_ms=resolution.expected_wait_ms,
            resolution=resolution.kind.value,
            held_reason=resolution.reason.value,
        )

    def _decide(
        self, now_ms: int, age_ms: int, resolution: held_flow.Resolution
    ) -> outcomes.Decision:
        raw = resolution.raw
        if self._may_be_open(now_ms, resolution):
            outcome = outcomes.Outcome.HELD_TOO_LONG
            return outcomes.Decision(outcome)
        steer = self._carrier.steering
        tracker = self._carrier.parts.observations.tracker
        if tracker.get(resolution.flow) is not None:
            # Packets of the flow passed this VM in the meantime, so another VM has
            # opened it with a copy of the held packet.
            return outcomes.Decision(outcomes.Outcome.HELD_TOO_LONG)
        match resolution.kind:
            case held_flow.Kind.GRANTED:
                return steer.place_reserved(now_ms, age_ms, raw, resolution.cookie)
            case held_flow.Kind.PLACE_LOCALLY:
                return steer.place_held(now_ms, age_ms, raw)
            case held_flow.Kind.REFUSED:
                return steer.refuse_held(now_ms, raw)
            case held_flow.Kind.DROP:
                outcome = outcomes.Outcome.HELD_TOO_LONG
                return outcomes.Decision(outcome)

    def _may_be_open(self, now_ms: int, resolution: held_flow.Resolution) -> bool:
        """Return True when a refused flow may have been opened through another VM.

        After a pause or a start of this VM, an opening packet may have been queued in
        the socket until the caller retransmitted it. A reset would end the open flow.
        """
        if resolution.kind is not held_flow.Kind.REFUSED:
            return False
        read_ms = now_ms - resolution.waited_ms
        queued_ms = self._carrier.stalls.queued_ms(read_ms)
        return queued_ms + resolution.waited_ms > MAX_REFUSAL_AGE_MS
