"""The opening packets that wait at this home, by service.

Module ``decisions.waiting`` implements the queueing. This module keeps a queue for each
service and ensures that a waiting flow never runs after it was refused, and
is never refused after it ran.
"""

import typing

from eelgrasswick import (
    packet,
    service,
)
from eelgrasswick.decisions import (
    admission,
    waiting,
)
from eelgrasswick.homes import tables


class WaitingPacket(typing.NamedTuple):
    """An opening packet that waits.

    Attributes:
        packet: The packet.
        flow: Key of the packet's flow.
    """

    packet: packet.Packet
    flow: packet.FlowKey


Queue = waiting.WaitQueue[WaitingPacket]


class Pending:
    """The queues of waiting flows, one for each service."""

    def __init__(self, name: str, shared: tables.Tables) -> None:
        """Create an empty set of queues for the VM ``name``."""
        self._name = name
        self._tables = shared
        self._queues: dict[str, Queue] = {}

    def queue(self, flow_service: service.Service) -> Queue:
        """Return the queue of a service, which is created if necessary."""
        known = self._queues.setdefault(
            flow_service.name, waiting.WaitQueue(flow_service.wait_ms)
        )
        known.wait_ms = flow_service.wait_ms
        return known

    def waiting_services(self) -> list[str]:
        """Return the names of the services that have waiting flows."""
        return [name for name, known in self._queues.items() if len(known)]

    def offer(
        self, now_ms: int, item: packet.Packet, key: packet.FlowKey, queue: Queue
    ) -> admission.Refusal | None:
        """Let a flow wait; return the refusal if it may not."""
        return queue.offer(now_ms, key.packed, key.caller_ip, WaitingPacket(item, key))

    def take_if_waiting(self, item: packet.Packet, key: packet.FlowKey) -> bool:
        """Handle a packet if its flow waits; return False if it does not.

        A retransmitted SYN changes nothing. A RST or FIN shows that the caller
        has gone: if its flow stayed in the queue, it would occupy a slot without
        a caller.
        """
        flow = key.packed
        queue = next((q for q in self._queues.values() if flow in q), None)
        if queue is None:
            return False
        if item.resets or item.finishes:
            queue.cancel(flow)
        return True

    def cancel(self, key: packet.FlowKey) -> None:
        """Drop a flow, because another VM now decides about it.

        This VM responds to the new home that it has no record of the flow, and
        the new home places it. If this VM placed the flow too, the flow would
        reach two targets. If this VM refused the flow, the refusal would state
        that the request has not run although it runs.
        """
        flow = key.packed
        for queue in self._queues.values():
            queue.cancel(flow)

    def is_home(self, key: packet.FlowKey, flow_service: service.Service) -> bool:
        """Return whether this VM is still the home of a flow."""
        current = self._tables.epochs.current
        return (
            current is not None and current.locate(key, flow_service).home == self._name
        )
