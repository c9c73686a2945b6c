"""Forwards callers' packets through a socket, and probes suspected targets."""

import typing

from twisted.internet import defer

from eelgrasswick.cookie import (
    carrying,
    clock,
    model,
    outcomes,
    ports,
    probing,
    source,
    store_replica,
)
from eelgrasswick.decisions import ejection

_PROBE_FAILED: typing.Final = outcomes.ResetReason.PROBE_FAILED


class Forwarder:
    """Forwards packets, and probes suspected targets.

    Attributes:
        port: The socket, for the reactor to listen on.
        on_dead: Called with the cookie of each target that this VM has detected as
            dead.
    """

    def __init__(
        self, reactor: typing.Any, carrier: carrying.Carrier, failed: ports.OnUnsent
    ) -> None:
        """Create a forwarder that does not send yet.

        Args:
            reactor: Twisted reactor.
            carrier: Decides about packets.
            failed: Called for each datagram that could not be sent.
        """
        self.port = ports.Port(carrier.handle_packet, failed)
        self.on_dead: typing.Callable[[int], None] = _ignore
        self._reactor = reactor
        self._carrier = carrier
        self._catalog = carrier.parts.catalog
        self._observations = carrier.parts.observations
        self._log = carrier.parts.log
        self._stats = carrier.parts.stats
        carrier.probe = self._begin_probe

    def begin(self) -> None:
        """Send the carrier's datagrams through the socket from now on."""
        self._carrier.send = self.port.send
        self._carrier.delay = self._delay
        self._carrier.steering.copies.enabled = True

    def _delay(self, wait_ms: int, call: typing.Callable[[], None]) -> None:
        # When timers are late, packets may wait in the socket. The reactor reads them
        # before the second call.
        self._reactor.callLater(wait_ms / 1000, self._reactor.callLater, 0, call)

    def _begin_probe(self, target: model.Target) -> None:
        defer.ensureDeferred(self._probe(target))

    async def _probe(self, target: model.Target) -> None:
        begun_ms = clock.now_ms()
        controls = self._observations.control_targets(begun_ms, target)
        result = await probing.compare(
            self._reactor, target.address, [item.address for item in controls]
        )
        ended_ms = clock.now_ms()
        missing = self._catalog.missing(target)
        path_proven = result.control_ms is not None
        longest_gap_ms = self._carrier.stalls.longest_gap_ms(begun_ms, ended_ms)
        if self._carrier.stalls.gap_since(begun_ms, ended_ms):
            # The probe may have timed out while its answer was unread in the socket.
            path_proven, missing = False, False
        if path_proven:
            self._observations.record_zone_answer(ended_ms, target.zone)
        dead = self._observations.liveness.record_probe(
            ended_ms,
            target.cookie,
            result.accepted,
            path_proven,
            missing,
        )
        self._stats.counts["targets_probed"] += 1
        self._stats.observe(f"probe_{result.outcome.value}", result.took_ms)
        self._log.write(
            "target_dead" if dead else "target_probed",
            target=target.name,
            **self._catalog.target_fields(ended_ms, target),
            accepted=int(result.accepted),
            outcome=result.outcome.value,
            took_ms=result.took_ms,
            controls=",".join(item.name for item in controls) or "-",
            control_ms="-" if result.control_ms is None else result.control_ms,
            longest_gap_ms=longest_gap_ms,
            entry_missing=int(missing),
            path_ms=store_replica.reported_age_ms(
                ended_ms - self._observations.zone_answered_ms(target)
            ),
            flows_reset=self._reset_flows(target, _PROBE_FAILED) if dead else 0,
        )
        if dead:
            self.on_dead(target.cookie)

    def probe_overdue(self, now_ms: int) -> list[ejection.Witness]:
        """Probe the targets whose answers are overdue.

        Returns:
            The witnesses to send to the other VMs of the zone.
        """
        targets, witnesses = self._observations.take_overdue(now_ms)
        for target in targets:
            defer.ensureDeferred(self._probe(target))
        return witnesses

    def probe_reported(self, cookie: int) -> None:
        """Probe a target that a peer reports as dead, if flows are open on it.

        The peer may be cut off from the target, so its report alone resets no flow.
        """
        target = self._catalog.by_cookie(cookie)
        if target is None or not self._observations.tracker.open_flows(cookie):
            return
        if self._observations.begin_check(clock.now_ms(), target):
            defer.ensureDeferred(self._probe(target))

    def reset_ended_target(self, target: model.Target, row: source.Row) -> None:
        """Reset the flows of a target whose address another server has taken over.

        Args:
            target: The target.
            row: The row that shows the take-over.
        """
        self._log.write(
            "target_ended",
            target=target.name,
            **self._catalog.target_fields(clock.now_ms(), target),
            by=row.key,
            by_revision=row.revision,
            flows_reset=self._reset_flows(target, outcomes.ResetReason.ADDRESS_TAKEN),
        )

    def _reset_flows(self, target: model.Target, reason: outcomes.ResetReason) -> int:
        resets = self._carrier.steering.reset_flows(target)
        for item in resets:
            self.port.send(item.datagram, self._carrier.caller_address(item.flow))
            self._carrier.count_reset(reason)
            self._log.write(
                "flow_target_dead_reset",
                flow=item.flow,
                target=target.name,
                reason=reason.value,
                known_by=item.known_by.value,
                **self._catalog.target_fields(clock.now_ms(), target),
            )
        self._stats.counts["flows_abandoned"] += len(resets)
        return len(resets)


def _ignore(_: int) -> None:
    """Do nothing about a dead target."""
