"""Entries of the audit trail about drained targets that became empty."""

import msgspec

from eelgrasswick import (
    change,
    store,
)
from eelgrasswick.emulation import emulated_platform
from eelgrasswick.homes import emptiness
from tests import world


def trail(fleet_world: world.World) -> list[change.AuditEntry]:
    """Return the audit entries about empty targets."""
    entries = [
        msgspec.json.decode(row.value, type=change.AuditEntry)
        for row in fleet_world.platform.rows(store.AUDIT_PREFIX)
    ]
    return [item for item in entries if item.outcome == change.Outcome.EMPTY.value]


def drain_busiest(fleet_world: world.World, text: str) -> str:
    """Open long flows and drain the target that has most of them."""
    for _ in range(20):
        fleet_world.call("desk", parts=100, every_ms=100)
    fleet_world.run(500)
    name = max(
        (item for item in fleet_world.targets.values() if item.model.service == "desk"),
        key=lambda item: item.open_flows,
    ).model.name
    fleet_world.apply(text + f"drain {name}  # asked by Wanjiru\n")
    return name


def test_empty_target_is_in_the_audit_trail_once(
    small_world: world.World, rules_text: str
) -> None:
    """The entry must neither come while flows are open nor be missing.

    An operator drains a machine and waits for the entry to switch it off. An
    early entry would cut open flows; without one the machine runs needlessly.
    """
    name = drain_busiest(small_world, rules_text)
    small_world.run(5000)
    assert small_world.targets[name].open_flows
    assert trail(small_world) == []
    small_world.run(emptiness.EMPTY_CONFIRM_MS + 15_000)
    assert small_world.targets[name].open_flows == 0
    entries = trail(small_world)
    assert [item.lines for item in entries] == [
        (f"target {name} has no open flow at 8 VMs",)
    ]
    assert entries[0].sequence == 2


def test_platform_outage_delays_the_audit_entry(
    small_world: world.World, rules_text: str
) -> None:
    """An entry that is written during an outage of the platform must not be lost.

    The platform is down when the last flow ends. A lost entry would never be
    written again, because the target stays empty.
    """
    drain_busiest(small_world, rules_text)
    small_world.run(1000)
    small_world.platform.set_faults(emulated_platform.Faults(outage=True))
    small_world.run(emptiness.EMPTY_CONFIRM_MS + 15_000)
    assert trail(small_world) == []
    small_world.platform.set_faults(emulated_platform.Faults())
    small_world.run(8000)
    assert len(trail(small_world)) == 1
