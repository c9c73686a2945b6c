"""What the audit trail says of targets that were drained."""

import msgspec

from eelgrasswick import (
    change,
    store,
)
from eelgrasswick.emulation import emulated_platform
from eelgrasswick.homes import emptiness
from tests import world


def trail(made: world.World) -> list[change.AuditEntry]:
    """Return the entries about empty targets."""
    entries = [
        msgspec.json.decode(row.value, type=change.AuditEntry)
        for row in made.platform.rows(store.AUDIT_PREFIX)
    ]
    return [item for item in entries if item.outcome == change.Outcome.EMPTY.value]


def drain_busiest(made: world.World, text: str) -> str:
    """Open long flows and drain a target that has some."""
    for _ in range(20):
        made.call("desk", parts=100, every_ms=100)
    made.run(500)
    name = max(
        (item for item in made.targets.values() if item.model.service == "desk"),
        key=lambda item: item.open_flows,
    ).model.name
    made.apply(text + f"drain {name}  # asked by Wanjiru\n")
    return name


def test_empty_target_is_in_the_trail_once(
    small_world: world.World, rules_text: str
) -> None:
    # An operator drains a machine and waits to switch it off. Said too early,
    # open boards are cut; not said, the machine runs for nothing.
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


def test_outage_delays_the_entry_only(
    small_world: world.World, rules_text: str
) -> None:
    # The platform is down when the last flow ends. Lost, the entry would never
    # come, because the target stays empty.
    drain_busiest(small_world, rules_text)
    small_world.run(1000)
    small_world.platform.set_faults(emulated_platform.Faults(outage=True))
    small_world.run(emptiness.EMPTY_CONFIRM_MS + 15_000)
    assert trail(small_world) == []
    small_world.platform.set_faults(emulated_platform.Faults())
    small_world.run(8000)
    assert len(trail(small_world)) == 1
