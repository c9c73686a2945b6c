"""Dissemination of a newer configuration to every VM: pull, or push and pull.

The VMs that watch the store receive the configuration first. With a fan-out of 0
the other VMs detect it only by the sequence number in heartbeats and request it:
pull. With a fan-out above 0, each VM that has just received the configuration
also pings that many peers at once, which then request it: push. Heartbeats
still repair lost announcements.
"""

import typing

from eelgrasswick import wire
from eelgrasswick.emulation import virtual_fleet

CHANGES: typing.Final = 5
SETTLE_MS: typing.Final = 3000.0
SPREAD_TIMEOUT_MS: typing.Final = 30_000.0
ZONES: typing.Final = ("z1", "z2", "z3")


class Spread(typing.NamedTuple):
    """Results for one combination of fan-out and loss.

    Attributes:
        vms: Engines in the fleet.
        fan_out: Peers to which each VM announces a configuration.
        loss: Share of datagrams lost.
        median_ms: Time until all VMs had a change in force, median over the
            changes.
        worst_ms: Longest time until all VMs had a change in force.
        announces: Announcing pings sent per VM and change.
        pulls: ConfigRequest messages sent per VM and change.
        offers: ConfigResponse messages sent per VM and change.
        store_calls: Calls to the store by the whole fleet, per second.
        watches: Watches open at the store.
        missing: VMs without a change at the time limit, summed over the
            changes.
    """

    vms: int
    fan_out: int
    loss: float
    median_ms: float
    worst_ms: float
    announces: float
    pulls: float
    offers: float
    store_calls: float
    watches: int
    missing: int


def measure(vms: int, fan_out: int, loss: float, seed: int) -> Spread:
    """Apply several changes to one fleet and measure their dissemination.

    Args:
        vms: Entry VMs.
        fan_out: Peers to which each VM announces a newer configuration.
        loss: Share of datagrams lost.
        seed: Seed of every random choice.
    """
    fleet = virtual_fleet.VirtualFleet(vms, ZONES, seed, loss, fan_out)
    text = virtual_fleet.rules_text(2, 10, ZONES)
    fleet.put_rules(virtual_fleet.document(1, text))
    fleet.run_until(fleet.ready, SPREAD_TIMEOUT_MS)
    fleet.run(SETTLE_MS)
    before = _sent_counts(fleet)
    calls_before = sum(fleet.platform.calls.values())
    start_ms = fleet.now_ms
    changes = [_apply_change(fleet, number + 2, text) for number in range(CHANGES)]
    passed_ms = fleet.now_ms - start_ms
    after = _sent_counts(fleet)
    calls = sum(fleet.platform.calls.values()) - calls_before
    vm_changes = vms * CHANGES
    times_ms = sorted(item.spread_ms for item in changes)
    return Spread(
        vms,
        fan_out,
        loss,
        round(times_ms[len(times_ms) // 2], 1),
        round(times_ms[-1], 1),
        round((after.announces - before.announces) / vm_changes, 2),
        round((after.pulls - before.pulls) / vm_changes, 2),
        round((after.offers - before.offers) / vm_changes, 2),
        round(calls / passed_ms * 1000, 2),
        fleet.platform.open_watches,
        sum(item.missing for item in changes),
    )


class _ChangeResult(typing.NamedTuple):
    spread_ms: float
    missing: int


def _apply_change(
    fleet: virtual_fleet.VirtualFleet, sequence: int, text: str
) -> _ChangeResult:
    begun_ms = fleet.now_ms
    fleet.put_rules(virtual_fleet.document(sequence, f"{text}# change {sequence}\n"))

    def vms_without_change() -> int:
        return sum(vm.engine.config_sync.sequence < sequence for vm in fleet.vms)

    fleet.run_until(lambda: not vms_without_change(), SPREAD_TIMEOUT_MS)
    last_ms = max(vm.in_force_ms.get(sequence, fleet.now_ms) for vm in fleet.vms)
    missing = vms_without_change()
    fleet.run(SETTLE_MS)
    return _ChangeResult(last_ms - begun_ms, missing)


class _SentCounts(typing.NamedTuple):
    announces: int
    pulls: int
    offers: int


def _sent_counts(fleet: virtual_fleet.VirtualFleet) -> _SentCounts:
    pull = virtual_fleet.message_code(wire.ConfigRequest(0))
    offer = virtual_fleet.message_code(wire.ConfigResponse(b""))
    return _SentCounts(
        sum(vm.announced for vm in fleet.vms),
        sum(vm.messages_by_code[pull] for vm in fleet.vms),
        sum(vm.messages_by_code[offer] for vm in fleet.vms),
    )
