"""Records when packets of open flows without a route first arrived at this VM.

A flow whose route was dropped and added again may be open at a VM that has the later
configuration. Only rows that were confirmed after the flow's first packet arrived
here show that the route is still dropped.
"""

import collections
import typing

from eelgrasswick.cookie import model

# The number of records is limited, because any caller can create one with a packet.
MAX_FLOWS: typing.Final = 2000
# Callers retransmit after 1.6 s at most. A later packet belongs to another flow with
# the same ports.
RETENTION_MS: typing.Final = 5000


class UnroutedFlows:
    """Times of the first packets of open flows without a route."""

    def __init__(self) -> None:
        """Create an empty registry."""
        self._first_ms: collections.OrderedDict[model.FlowId, int] = (
            collections.OrderedDict()
        )

    def first_packet_ms(self, now_ms: int, flow: model.FlowId) -> int:
        """Return when the first packet of a flow arrived, which may be now."""
        first_ms = self._first_ms.get(flow)
        if first_ms is None or now_ms - first_ms > RETENTION_MS:
            self._first_ms.pop(flow, None)
            self._first_ms[flow] = first_ms = now_ms
            if len(self._first_ms) > MAX_FLOWS:
                self._first_ms.popitem(last=False)
        return first_ms

    def remove(self, flow: model.FlowId) -> None:
        """Delete the record of a flow that was reset."""
        self._first_ms.pop(flow, None)
