"""Delays copies of opening packets, so that a late answer makes them unnecessary.

A caller repeats its opening packet 200 ms after the original, and a target repeats its
answer 200 ms after it received the original. If only the answer was lost, the second
answer reaches the caller a few milliseconds after the copy was sent. A copy that was
placed at once would open the flow at a second target.
"""

import typing

from eelgrasswick.cookie import model

# The second answer of a target, and the acknowledgement of the caller, arrive within
# this time after the copy: both travel once between caller and platform, and the
# original and its answer cross zones. The wait adds to that of callers whose first
# target is dead.
WAIT_MS: typing.Final = 20
# Further copies are placed at once.
MAX_COPIES: typing.Final = 1000


class DelayedCopies:
    """Copies that wait for a packet that shows their flow to be open.

    Attributes:
        enabled: False while there is no timer by which delayed copies are placed.
    """

    def __init__(self) -> None:
        """Create an empty registry, which delays nothing yet."""
        self.enabled = False
        self._flows: set[model.FlowId] = set()

    def begin(self, flow: model.FlowId) -> bool:
        """Delay a copy; return False if it is to be placed at once."""
        if not self.enabled or len(self._flows) >= MAX_COPIES:
            return False
        self._flows.add(flow)
        return True

    def waits(self, flow: model.FlowId) -> bool:
        """Return True while a copy of a flow's opening packet is delayed."""
        return flow in self._flows

    def end(self, flow: model.FlowId) -> bool:
        """End the delay of a copy; return False if it has ended before."""
        if flow not in self._flows:
            return False
        self._flows.remove(flow)
        return True
