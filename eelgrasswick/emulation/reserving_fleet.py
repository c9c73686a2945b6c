"""Reservations of the VMs of an emulated fleet; datagrams take virtual time."""

import os
import random
import typing

from eelgrasswick.cookie import (
    codec,
    event_log,
    model,
    observations,
    outcomes,
    peers,
    reserving,
    stats,
)
from eelgrasswick.emulation import scheduler, steered_fleet
from eelgrasswick.reservations import client, held_flow

DATAGRAM_DELAY_MS: typing.Final = 1
CHECK_INTERVAL_MS: typing.Final = 5
LOG_LINES_PER_S: typing.Final = 1

OnResolved = typing.Callable[[model.FlowId, outcomes.Decision], None]


class _Member:
    """A VM of the fleet and its reservations."""

    def __init__(
        self,
        fleet: "ReservingFleet",
        vm: steered_fleet.Vm,
        host: str,
        registry: peers.Peers,
    ) -> None:
        self.vm = vm
        self._fleet = fleet
        self._checking = False
        counters = fleet.counters
        log = event_log.EventLog(
            fleet.log_descriptor, host, LOG_LINES_PER_S, counters, fleet.now_ms
        )
        parts = reserving.Parts(
            vm.catalog,
            vm.observations,
            registry,
            log,
            counters,
            lambda receiver, payload: fleet.send(host, receiver, payload),
            self._resolve,
            self._activate,
        )
        self.reservations = reserving.Reservations(
            host, vm.zone, True, parts, random.Random(host)
        )
        vm.steering.holder = self.reservations
        _connect(vm.observations, self.reservations)

    def _activate(self) -> None:
        if not self._checking:
            self._checking = True
            self._fleet.call_later(CHECK_INTERVAL_MS, self._check)

    def _check(self) -> None:
        self.reservations.check(self._fleet.now_ms())
        self._checking = self.reservations.active
        if self._checking:
            self._fleet.call_later(CHECK_INTERVAL_MS, self._check)

    def _resolve(self, now_ms: int, item: client.Resolution) -> None:
        steer = self.vm.steering
        match item.kind:
            case held_flow.Kind.GRANTED:
                decision = steer.place_reserved(now_ms, 0, item.raw, item.cookie)
            case held_flow.Kind.PLACE_LOCALLY:
                decision = steer.place_held(now_ms, 0, item.raw)
            case held_flow.Kind.REFUSED:
                decision = steer.refuse_held(now_ms, item.raw)
            case held_flow.Kind.DROP:
                outcome = outcomes.Outcome.HELD_TOO_LONG
                decision = outcomes.Decision(outcome, None, None, None)
        self._fleet.on_resolved(self._fleet.flow(item.raw), decision)


class ReservingFleet:
    """The reservations of all VMs of a fleet, which must not restart its VMs.

    Attributes:
        counters: Counters of all VMs together.
        log_descriptor: File descriptor to which the VMs' log lines are discarded.
        on_resolved: Called with each flow that was held, and the decision about it.
    """

    def __init__(
        self,
        call_scheduler: scheduler.Scheduler,
        fleet: steered_fleet.Fleet,
        wire: codec.SegmentCodec,
        on_resolved: OnResolved,
    ) -> None:
        """Let all VMs of a fleet reserve capacity."""
        self.counters = stats.Stats()
        self.log_descriptor = os.open(os.devnull, os.O_WRONLY)
        self.on_resolved = on_resolved
        self._scheduler = call_scheduler
        self._fleet = fleet
        self._codec = wire
        hosts = [f"10.0.0.{number + 1}" for number in range(len(fleet.vms))]
        self._members: dict[str, _Member] = {}
        for host, vm in zip(hosts, fleet.vms, strict=True):
            registry = peers.Peers(host, vm.zone, random.Random(host))
            for other, other_vm in zip(hosts, fleet.vms, strict=True):
                registry.record_contact(1, other, other_vm.zone, True)
            self._members[host] = _Member(self, vm, host, registry)
        call_scheduler.call_later(steered_fleet.TICK_INTERVAL_MS, self._tick)

    def now_ms(self) -> int:
        """Return the present virtual time."""
        return self._scheduler.now_ms

    def call_later(self, delay_ms: int, call: typing.Callable[[], None]) -> None:
        """Schedule a call."""
        self._scheduler.call_later(delay_ms, call)

    def flow(self, raw: bytes) -> model.FlowId:
        """Return the flow of a packet."""
        return self._codec.decode(raw).flow

    def send(self, sender: str, receiver: str, payload: bytes) -> None:
        """Deliver a datagram to another VM, unless a cut separates their zones."""
        zones = (self._members[host].vm.zone for host in (sender, receiver))
        if not self._fleet.partitioned(*zones):
            self._scheduler.call_later(
                DATAGRAM_DELAY_MS, self._deliver, sender, receiver, payload
            )

    def _deliver(self, sender: str, receiver: str, payload: bytes) -> None:
        reservations = self._members[receiver].reservations
        reservations.handle_datagram(self._scheduler.now_ms, payload, sender)

    def _tick(self) -> None:
        for member in self._members.values():
            member.reservations.tick(self._scheduler.now_ms)
        self._scheduler.call_later(steered_fleet.TICK_INTERVAL_MS, self._tick)


def _connect(
    observed: observations.Observations, reservations: reserving.Reservations
) -> None:
    observed.on_rejection = reservations.record_rejection
    observed.on_response = reservations.record_response
