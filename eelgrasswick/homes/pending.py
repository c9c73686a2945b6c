"""The opening packets that wait at this home, by service.

The rules of waiting are in ``waiting``; this part keeps a queue for each
service and sees to it that a waiting flow never runs after it was refused, and
never is refused after it ran.
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
    """An opening packet that waits."""

    packet: packet.Packet
    flow: packet.FlowKey


Queue = waiting.Queue[WaitingPacket]


class Pending:
    """One queue for each service that has waiting flows or had some lately."""

    def __init__(self, name: str, shared: tables.Tables) -> None:
        """Keep queues as the VM ``name``."""
        self._name = name
        self._tables = shared
        self._queues: dict[str, Queue] = {}

    def queue(self, flow_service: service.Service) -> Queue:
        """Return the queue of a service."""
        known = self._queues.setdefault(
            flow_service.name, waiting.Queue(flow_service.wait_ms)
        )
        known.wait_ms = flow_service.wait_ms
        return known

    def waiting_services(self) -> list[str]:
        """Return the services in which flows wait."""
        return [name for name, known in self._queues.items() if len(known)]

    def offer(
        self, now_ms: int, item: packet.Packet, key: packet.FlowKey, queue: Queue
    ) -> admission.Refusal | None:
        """Let a flow wait, or tell why it may not."""
        return queue.offer(now_ms, key.packed, key.caller_ip, WaitingPacket(item, key))

    def take_if_waiting(self, item: packet.Packet, key: packet.FlowKey) -> bool:
        """Take a packet of a flow that waits; False when it does not wait.

        A repeated SYN changes nothing. A RST or FIN tells that the caller has
        gone: left in the queue, its flow would take a slot for nobody.
        """
        flow = key.packed
        queue = next((q for q in self._queues.values() if flow in q), None)
        if queue is None:
            return False
        if item.resets or item.finishes:
            queue.cancel(flow)
        return True

    def cancel(self, key: packet.FlowKey) -> None:
        """Drop a flow because another VM decides about it now.

        The new home is told that this VM does not know the flow, and places it.
        Placed here too, it would reach two targets; refused here, its caller
        would be told "not run" of a request that runs.
        """
        flow = key.packed
        for queue in self._queues.values():
            queue.cancel(flow)

    def is_home(self, key: packet.FlowKey, flow_service: service.Service) -> bool:
        """Tell whether this VM still decides about a flow."""
        current = self._tables.epochs.current
        return (
            current is not None and current.locate(key, flow_service).home == self._name
        )
