"""Remembers flows that this VM refused, so that late copies are refused as well.

A copy of an opening packet may arrive after the reset was sent: the network duplicates
packets, and a caller may retransmit before it has the reset. If the copy were placed, a
target would receive a flow whose reset states that no target has received it.
"""

import collections
import typing

from eelgrasswick.cookie import model

# A caller gives up an attempt after 1.4 s. Its next attempts use other ports.
RETENTION_MS: typing.Final = 1400
MAX_FLOWS: typing.Final = 4000


class RefusedFlows:
    """The flows that were refused last."""

    def __init__(self) -> None:
        """Create an empty registry."""
        self._until_ms: collections.OrderedDict[model.FlowId, int] = (
            collections.OrderedDict()
        )

    def add(self, now_ms: int, flow: model.FlowId) -> None:
        """Record that a flow was refused."""
        self._until_ms.pop(flow, None)
        self._until_ms[flow] = now_ms + RETENTION_MS
        while len(self._until_ms) > MAX_FLOWS or self._first_is_over(now_ms):
            self._until_ms.popitem(last=False)

    def _first_is_over(self, now_ms: int) -> bool:
        return next(iter(self._until_ms.values())) <= now_ms

    def has(self, now_ms: int, flow: model.FlowId) -> bool:
        """Return True when a flow was refused a short time ago."""
        return self._until_ms.get(flow, 0) > now_ms
