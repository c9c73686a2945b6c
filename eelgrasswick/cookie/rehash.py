"""Detects that the fabric has spread flows anew over the VMs.

When a VM joins or leaves the rotation, nearly all flows move to other VMs. The VM that
forwarded a request then never sees the end of its response, and would count the request
as in flight until its timeout. Each such change would fill the targets with requests
that ended long ago.
"""

import collections
import typing

from eelgrasswick.cookie import model

# So many flows of other VMs within this time show that flows were spread anew. Single
# ones may be late packets of flows that have ended.
MIN_FLOWS: typing.Final = 3
WINDOW_MS: typing.Final = 300
# The last packets of a flow may arrive after its end, and its number is remembered
# until then.
MAX_ENDED_FLOWS: typing.Final = 2048


class RehashDetector:
    """Flows that arrived from other VMs.

    Attributes:
        rehashed_ms: When the first flow of the last detected change arrived; requests
            that began earlier have probably moved. Before any change it is in the past.
    """

    def __init__(self) -> None:
        """Create a detector without any flow."""
        self.rehashed_ms = -1
        self._arrivals_ms: collections.deque[int] = collections.deque(maxlen=MIN_FLOWS)
        self._ended: collections.OrderedDict[model.FlowId, None] = (
            collections.OrderedDict()
        )

    def record_ended(self, flow: model.FlowId) -> None:
        """Record that a flow ended at this VM."""
        self._ended[flow] = None
        if len(self._ended) > MAX_ENDED_FLOWS:
            self._ended.popitem(last=False)

    def record_arrival(self, now_ms: int, flow: model.FlowId) -> None:
        """Record a packet of an open flow that this VM has no record of."""
        if flow in self._ended:
            return
        self._arrivals_ms.append(now_ms)
        first_ms = self._arrivals_ms[0]
        if len(self._arrivals_ms) == MIN_FLOWS and now_ms - first_ms <= WINDOW_MS:
            self.rehashed_ms = first_ms
