"""How a newer configuration reaches every VM: push, pull, or both.

A watcher has it first. With a fan-out of 0 the others hear of it by the
heartbeats only and ask for it: pull. With a fan-out above 0 each VM that has
just got it pings that many others at once, and they ask for it: push, with the
heartbeats as the repair.
"""

import typing

from eelgrasswick import wire
from eelgrasswick.emulation import virtual_fleet

CHANGES: typing.Final = 5
SETTLE_MS: typing.Final = 3000.0
LIMIT_MS: typing.Final = 30_000.0
ZONES: typing.Final = ("z1", "z2", "z3")


class Spread(typing.NamedTuple):
    """What one setting came to.

    Attributes:
        vms: Engines in the fleet.
        fan_out: VMs to which each VM announces.
        loss: Share of datagrams lost.
        median_ms: Time until all VMs had a change, median over the changes.
        worst_ms: The longest of these times.
        announces: Extra pings a VM sent per change.
        pulls: ConfigRequest messages a VM sent per change.
        offers: Documents a VM sent per change.
        store_calls: Calls to the store in the whole fleet, per second.
        watches: Watches that wait at the store.
        missing: VMs that lacked a change when the limit was over.
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
    """Put several changes in force on one fleet and measure how they spread."""
    fleet = virtual_fleet.VirtualFleet(vms, ZONES, seed, loss, fan_out)
    text = virtual_fleet.rules_text(2, 10, ZONES)
    fleet.put_rules(virtual_fleet.document(1, text))
    fleet.run_until(fleet.ready, LIMIT_MS)
    fleet.run(SETTLE_MS)
    before = _sent(fleet)
    calls_before = sum(fleet.platform.calls.values())
    start_ms = fleet.now_ms
    times = [_change(fleet, number + 2, text) for number in range(CHANGES)]
    passed_ms = fleet.now_ms - start_ms
    after = _sent(fleet)
    calls = sum(fleet.platform.calls.values()) - calls_before
    each = vms * CHANGES
    times_ms = sorted(item.spread_ms for item in times)
    return Spread(
        vms,
        fan_out,
        loss,
        round(times_ms[len(times_ms) // 2], 1),
        round(times_ms[-1], 1),
        round((after.announces - before.announces) / each, 2),
        round((after.pulls - before.pulls) / each, 2),
        round((after.offers - before.offers) / each, 2),
        round(calls / passed_ms * 1000, 2),
        fleet.platform.open_watches,
        sum(item.missing for item in times),
    )


class _Change(typing.NamedTuple):
    spread_ms: float
    missing: int


def _change(fleet: virtual_fleet.VirtualFleet, sequence: int, text: str) -> _Change:
    begun_ms = fleet.now_ms
    fleet.put_rules(virtual_fleet.document(sequence, f"{text}# change {sequence}\n"))

    def lacking() -> int:
        return sum(vm.engine.keeper.sequence < sequence for vm in fleet.vms)

    fleet.run_until(lambda: not lacking(), LIMIT_MS)
    last_ms = max(vm.in_force_ms.get(sequence, fleet.now_ms) for vm in fleet.vms)
    missing = lacking()
    fleet.run(SETTLE_MS)
    return _Change(last_ms - begun_ms, missing)


class _Sent(typing.NamedTuple):
    announces: int
    pulls: int
    offers: int


def _sent(fleet: virtual_fleet.VirtualFleet) -> _Sent:
    pull = virtual_fleet.message_code(wire.ConfigRequest(0))
    offer = virtual_fleet.message_code(wire.ConfigResponse(b""))
    return _Sent(
        sum(vm.announced for vm in fleet.vms),
        sum(vm.messages_by_code[pull] for vm in fleet.vms),
        sum(vm.messages_by_code[offer] for vm in fleet.vms),
    )
