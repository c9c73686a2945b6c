"""Recording of the history of a run in virtual time."""

import typing

import msgspec

from eelgrasswick import (
    history,
    packet,
)
from eelgrasswick.emulation import (
    emulated_caller,
    emulated_target,
)

# Distinguishes the flows that use one port in succession by their sequence
# numbers. A caller sends far fewer bytes on a flow.
_SEQUENCE_SPAN_BYTES = 2**16
_OUTCOMES = {
    emulated_caller.End.WHOLE: history.Outcome.WHOLE,
    emulated_caller.End.REFUSED: history.Outcome.REFUSED,
    emulated_caller.End.WRONG_SERVICE: history.Outcome.WRONG,
}


class Recorder:
    """Recorder of calls, deliveries, starts and ends for the invariants.

    Attributes:
        history: The history so far.
    """

    def __init__(self) -> None:
        """Create a recorder with an empty history."""
        self.history = history.History()
        self._recorded_ends = 0
        self._latest_request: dict[packet.FlowKey, int] = {}
        self._request_by_sequence: dict[tuple[packet.FlowKey, int], int] = {}

    def record_call(
        self, now_ms: int, number: int, key: packet.FlowKey, service: str
    ) -> None:
        """Record that a caller opened a flow.

        Args:
            now_ms: Present time in milliseconds.
            number: Number of the request.
            key: Key of the flow.
            service: Name of the service.
        """
        self.history.add(history.Call(now_ms, number, str(key), service))
        self._latest_request[key] = number

    def record_opening(self, item: packet.Packet) -> None:
        """Record the initial sequence number of a flow, if a packet opens one."""
        if item.opens:
            key = item.request_key()
            self._request_by_sequence[key, item.sequence // _SEQUENCE_SPAN_BYTES] = (
                self._latest_request[key]
            )
            self._request_by_sequence[
                key, item.sequence // _SEQUENCE_SPAN_BYTES + 1
            ] = self._latest_request[key]

    def _request_number(self, item: packet.Packet) -> int:
        key = item.request_key()
        if item.protocol == packet.Protocol.UDP:
            data = item.raw[len(item.raw) - item.payload_bytes :]
            return msgspec.json.decode(data, type=emulated_target.Request).number
        return self._request_by_sequence.get(
            (key, item.sequence // _SEQUENCE_SPAN_BYTES), 0
        )

    def record_delivery(
        self, now_ms: int, item: packet.Packet, to: emulated_target.Model
    ) -> None:
        """Record that a packet is delivered to a target."""
        flow = str(item.request_key())
        size = item.payload_bytes
        self.history.add(
            history.Delivery(
                now_ms, self._request_number(item), flow, to.name, to.service, size
            )
        )

    def record_starts(self, at: emulated_target.Target) -> None:
        """Record the requests that a target began since the last call."""
        model = at.model
        for item in at.work_starts:
            self.history.add(
                history.Start(
                    item.at_ms, item.number, str(item.flow), model.name, model.service
                )
            )
        at.work_starts.clear()

    def record_ends(self, ends: typing.Sequence[emulated_caller.FlowRecord]) -> None:
        """Record the flows that ended since the last call.

        Args:
            ends: Histories of all flows that ended so far.
        """
        for item in ends[self._recorded_ends :]:
            self.history.add(
                history.End(
                    item.ended_ms,
                    item.number,
                    _outcome(item),
                    item.target,
                    item.detail,
                )
            )
        self._recorded_ends = len(ends)


def _outcome(item: emulated_caller.FlowRecord) -> history.Outcome:
    if item.detail.startswith(("answer of", "body of")):
        return history.Outcome.WRONG
    return _OUTCOMES.get(item.end, history.Outcome.BROKEN)
