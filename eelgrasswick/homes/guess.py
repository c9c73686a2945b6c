"""Finds the target of a flow for which the home has no record or a doubtful one.

The home sends a packet from the middle of such a flow to the possible targets
in turn: the one that holds the flow accepts it, and any other resets it. The
home holds those resets back from the caller until every possible target has
sent one.
"""

import typing

from eelgrasswick import (
    message,
    packet,
    service,
    target,
)
from eelgrasswick.homes import (
    flow,
    tables,
)

MAX_CANDIDATES: typing.Final = 16
_COUNT: typing.Final = message.Counter
# With more default targets in the window, the former home's choice is ambiguous.
_MAX_DEFAULTS: typing.Final = 2


class TargetSearch:
    """Finds targets of flows of which no VM has a record."""

    def __init__(self, name: str, shared: tables.Tables) -> None:
        """Create the search of the VM ``name``."""
        self._name = name
        self._tables = shared

    def begin(
        self, now_ms: int, key: packet.FlowKey, flow_service: service.Service
    ) -> flow.Record | None:
        """Record a guess for a flow; return None if no target may get its packets."""
        # The address belonged to another service before, or may belong to
        # another one under newer rules that this VM has not received yet. The
        # packet may be meant for that service, and no target of this service
        # may receive it.
        doubtful = flow_service.reused or (
            flow_service.retired and self._tables.epochs.outdated
        )
        candidates = [] if doubtful else self._candidates(key, flow_service)
        if not candidates:
            self._tables.outbox.count(_COUNT.PACKETS_UNKNOWN_FLOW)
            return None
        record = flow.Record(
            candidates[0],
            flow.Origin.GUESSED,
            flow.State.OPEN,
            now_ms,
            flow_service.idle_s * 1000,
        )
        self._tables.flows.add(key, record)
        self._tables.outbox.count(_COUNT.FLOWS_GUESSED)
        name = record.target.name
        self._tables.outbox.put(message.log("flow_guessed", flow=str(key), target=name))
        return record

    def convert_to_guess(
        self,
        item: packet.Packet,
        key: packet.FlowKey,
        flow_service: service.Service,
        record: flow.Record,
    ) -> None:
        """Mark a flow as guessed whose caller acknowledged another SYN-ACK."""
        # During a network partition, or while views differ, a second home can
        # place a retransmitted SYN on a second target. The caller acknowledges
        # the SYN-ACK of one of the two. The other target would reset the
        # caller's packets, and that reset would break an open flow if it were
        # forwarded as valid. The home whose target the caller did not
        # acknowledge therefore treats the flow's target as unknown.
        record.syn_ack_sequence = None
        record.origin = flow.Origin.GUESSED
        record.first_packet = item
        self._tables.outbox.count(_COUNT.FLOWS_GUESSED)
        self.try_next_target(key, flow_service, record)

    def try_next_target(
        self, key: packet.FlowKey, flow_service: service.Service, record: flow.Record
    ) -> bool:
        """Try the next possible target, because this one does not hold the flow.

        Args:
            key: The flow.
            flow_service: Service to which the flow goes.
            record: The guess; its target is changed to the next one.

        Returns:
            False when no possible target is left.
        """
        record.ruled_out = record.ruled_out | {record.target.name}
        rest = [
            other
            for other in self._candidates(key, flow_service)
            if other.name not in record.ruled_out
        ]
        if not rest:
            return False
        self._tables.flows.move(key, record, rest[0])
        if record.first_packet is not None:
            send = message.SendDatagram(record.target.endpoint, record.first_packet.raw)
            self._tables.outbox.put(send)
        return True

    def _candidates(
        self, key: packet.FlowKey, flow_service: service.Service
    ) -> list[target.Target]:
        epochs = self._tables.epochs
        current = epochs.current
        assert current is not None
        found = {item.name: item for item in epochs.possible_targets(key, flow_service)}
        for item in current.ranked_all(key, flow_service):
            found.setdefault(item.name, item)
        present = current.config.targets
        names = [name for name in found if name in present]
        return [present[name] for name in names[:MAX_CANDIDATES]]

    # The methods below handle the first datagrams of UDP flows.

    def all_owners_reachable(
        self, now_ms: int, key: packet.FlowKey, flow_service: service.Service
    ) -> bool:
        """Return whether every VM that may have placed the flow is reachable."""
        former = self._tables.epochs.earlier_owners(now_ms, key, flow_service)
        peers = self._tables.peers
        return all(name == self._name or peers.reachable(name) for name in former)

    def former_home_target(
        self, now_ms: int, key: packet.FlowKey, flow_service: service.Service
    ) -> target.Target | None:
        """Return the target on which an unreachable former home would place a flow.

        The former home may have started this same request. It chose the default
        target under its own rules, and that target detects a request that it
        has already run; on any other target the request would run twice.

        Returns:
            The target, or None when it is ambiguous or takes no new flow.
        """
        current = self._tables.epochs.current
        assert current is not None
        defaults = self._tables.epochs.recent_defaults(now_ms, key, flow_service)
        if not 0 < len(defaults) <= _MAX_DEFAULTS:
            return None
        present = current.config.targets.get(defaults[-1].name)
        return present if present is not None and present.accepts else None
