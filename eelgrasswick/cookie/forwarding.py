"""The task that carries callers' packets; it owns the socket they come by."""

import typing

from twisted.internet import defer

from eelgrasswick.cookie import (
    carrying,
    clock,
    knowledge,
    model,
    ports,
    probing,
)
from eelgrasswick.decisions import ejection


class Forwarder:
    """Carries packets, and probes targets that are in doubt.

    Attributes:
        port: The socket, for the reactor to listen on.
        on_dead: Told of each target that this VM has found dead.
    """

    def __init__(
        self, reactor: typing.Any, carrier: carrying.Carrier, failed: ports.OnUnsent
    ) -> None:
        """Carry packets.

        Args:
            reactor: Twisted reactor.
            carrier: Decides about them.
            failed: Told of datagrams that could not be sent.
        """
        self.port = ports.Port(carrier.take, failed)
        self.on_dead: typing.Callable[[int], None] = _ignore
        self._reactor = reactor
        self._carrier = carrier
        self._catalog = carrier.parts.catalog
        self._observations = carrier.parts.observations
        self._log = carrier.parts.log
        self._stats = carrier.parts.stats
        carrier.probe = self._begin_probe

    def begin(self) -> None:
        """Send by the socket from now on."""
        self._carrier.send = self.port.send

    def _begin_probe(self, target: model.Target) -> None:
        defer.ensureDeferred(self._probe(target))

    async def _probe(self, target: model.Target) -> None:
        now_ms = clock.now_ms()
        missing = self._catalog.missing(target, now_ms)
        accepted = await probing.accepts(self._reactor, target.address)
        if not accepted and not missing:
            await self._look_for_path(now_ms, target)
        path_ms = self._observations.path_ms(target)
        ended_ms = clock.now_ms()
        if self._carrier.stalls.since(now_ms, ended_ms):
            # The probe may have timed out with its answer unread.
            path_ms, missing = knowledge.NEVER_MS, False
        dead = self._observations.liveness.probed(
            ended_ms, target.cookie, accepted, path_ms, missing
        )
        self._stats.counts["targets_probed"] += 1
        self._log.write(
            "target_dead" if dead else "target_probed",
            target=target.name,
            accepted=int(accepted),
            entry_missing=int(missing),
            path_ms=knowledge.reported_age_ms(ended_ms - path_ms),
            flows_reset=self._reset_flows(target) if dead else 0,
        )
        if dead:
            self.on_dead(target.cookie)

    async def _look_for_path(self, since_ms: int, target: model.Target) -> None:
        # Only an answer of a neighbour tells a dead target from a cut. A VM with few
        # flows in the zone hears none for seconds, and its callers would wait for
        # their deadlines; so it asks a neighbour for a connection, too.
        if self._observations.path_ms(target) > since_ms:
            return
        neighbour = self._observations.neighbour(clock.now_ms(), target)
        if neighbour is not None:
            if await probing.accepts(self._reactor, neighbour.address):
                self._observations.path_seen(clock.now_ms(), target.zone)
            return
        await probing.path_known(
            self._reactor, lambda: self._observations.path_ms(target) > since_ms
        )

    def check_overdue(self, now_ms: int) -> list[ejection.Witness]:
        """Probe the targets whose answers are overdue.

        Returns:
            What other VMs of the zone should hear.
        """
        targets, witnesses = self._observations.overdue(now_ms)
        for target in targets:
            defer.ensureDeferred(self._probe(target))
        return witnesses

    def check(self, cookie: int) -> None:
        """Probe a target that another VM has found dead, if flows are open on it.

        The other VM may be cut off from it, so its word alone resets nothing.
        """
        target = self._catalog.by_cookie(cookie)
        if target is None or not self._observations.tracker.open_on(cookie):
            return
        if self._observations.probe_due(clock.now_ms(), target):
            defer.ensureDeferred(self._probe(target))

    def abandon(self, target: model.Target) -> None:
        """Reset the flows of a target that is over for certain."""
        self._log.write(
            "target_ended",
            target=target.name,
            cookie=target.cookie,
            flows_reset=self._reset_flows(target),
        )

    def _reset_flows(self, target: model.Target) -> int:
        resets = self._carrier.steering.abandon(target)
        for flow, datagram in resets:
            self.port.send(datagram, self._carrier.caller(flow))
            self._log.write("flow_target_dead_reset", flow=flow, target=target.name)
        self._stats.counts["flows_abandoned"] += len(resets)
        return len(resets)


def _ignore(_: int) -> None:
    """Tell nobody of a dead target."""
