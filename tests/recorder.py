"""Writes down the history of a run in virtual time."""

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

# A caller sends far fewer bytes on a flow than this.
_SPAN = 2**16
_OUTCOMES = {
    emulated_caller.End.WHOLE: history.Outcome.WHOLE,
    emulated_caller.End.REFUSED: history.Outcome.REFUSED,
    emulated_caller.End.WRONG_SERVICE: history.Outcome.WRONG,
}


class Recorder:
    """Turns what the emulators saw into records.

    Attributes:
        run: The history so far.
    """

    def __init__(self) -> None:
        """Start with an empty history."""
        self.history = history.History()
        self._noted_ends = 0
        self._latest: dict[packet.FlowKey, int] = {}
        self._opened: dict[tuple[packet.FlowKey, int], int] = {}

    def record_call(
        self, now_ms: int, number: int, key: packet.FlowKey, service: str
    ) -> None:
        """Note that a caller opened a flow."""
        self.history.add(history.Call(now_ms, number, str(key), service))
        self._latest[key] = number

    def record_opening(self, item: packet.Packet) -> None:
        """Note the sequence numbers with which a caller opens a flow."""
        if item.opens:
            key = item.request_key()
            self._opened[key, item.sequence // _SPAN] = self._latest[key]
            self._opened[key, item.sequence // _SPAN + 1] = self._latest[key]

    def _number(self, item: packet.Packet) -> int:
        key = item.request_key()
        if item.protocol == packet.Protocol.UDP:
            data = item.raw[len(item.raw) - item.payload_bytes :]
            return msgspec.json.decode(data, type=emulated_target.Request).number
        return self._opened.get((key, item.sequence // _SPAN), 0)

    def record_delivery(
        self, now_ms: int, item: packet.Packet, to: emulated_target.Model
    ) -> None:
        """Note that a packet came to a target."""
        flow = str(item.request_key())
        size = item.payload_bytes
        self.history.add(
            history.Delivery(
                now_ms, self._number(item), flow, to.name, to.service, size
            )
        )

    def record_starts(self, at: emulated_target.Target) -> None:
        """Note the work that a target began since the last time."""
        model = at.model
        for item in at.begun:
            self.history.add(
                history.Start(
                    item.at_ms, item.number, str(item.flow), model.name, model.service
                )
            )
        at.begun.clear()

    def record_ends(self, ends: typing.Sequence[emulated_caller.History]) -> None:
        """Note the flows that ended since the last time."""
        for item in ends[self._noted_ends :]:
            self.history.add(
                history.End(
                    item.ended_ms,
                    item.number,
                    _outcome(item),
                    item.target,
                    item.detail,
                )
            )
        self._noted_ends = len(ends)


def _outcome(item: emulated_caller.History) -> history.Outcome:
    if item.detail.startswith(("answer of", "body of")):
        return history.Outcome.WRONG
    return _OUTCOMES.get(item.end, history.Outcome.BROKEN)
