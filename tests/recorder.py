"""Writes down the history of a run in virtual time."""

import typing

from eelgrasswick import emulated_caller, emulated_target, history, packet

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
        self.run = history.History()
        self._noted_ends = 0

    def called(
        self, now_ms: int, number: int, key: packet.FlowKey, service: str
    ) -> None:
        """Note that a caller opened a flow."""
        self.run.add(history.Call(now_ms, number, str(key), service))

    def delivered(
        self, now_ms: int, item: packet.Packet, to: emulated_target.Model
    ) -> None:
        """Note that a packet came to a target."""
        flow = str(item.request_key())
        self.run.add(
            history.Delivery(now_ms, flow, to.name, to.service, item.payload_bytes)
        )

    def begun(self, at: emulated_target.Target) -> None:
        """Note the work that a target began since the last time."""
        model = at.model
        for item in at.begun:
            self.run.add(
                history.Start(
                    item.at_ms, item.number, str(item.flow), model.name, model.service
                )
            )
        at.begun.clear()

    def ended(self, ends: typing.Sequence[emulated_caller.History]) -> None:
        """Note the flows that ended since the last time."""
        for item in ends[self._noted_ends :]:
            self.run.add(
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
