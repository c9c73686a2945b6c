"""Kinds and times of the faults of a run, all drawn from its seed."""

import random
import typing

# No fault begins in the first and last seconds of the load.
QUIET_START_S: typing.Final = 4.0
QUIET_END_S: typing.Final = 4.0


class Fault(typing.NamedTuple):
    """A fault that is injected from outside the programs.

    Attributes:
        at_s: Start of the fault, in seconds from the start of the load.
        kind: Name of the method of ``actions.FaultInjector`` that injects it.
        duration_s: Duration in seconds, for faults that have an end.
        selector: Number from 0 to 1 that selects the affected process, link or zone.
        strength: Number from 0 to 1 that scales the effect.
    """

    at_s: float
    kind: str
    duration_s: float
    selector: float
    strength: float


# Regression seeds that failed before other kinds were added draw from these kinds,
# because a longer list would turn a seed into a different run.
ORIGINAL_KINDS: typing.Final = (
    "vm_term",
    "vm_kill",
    "vm_pause",
    "vm_hup",
    "vms_kill_all",
    "target_kill",
    "target_pause",
    "target_drain",
    "store_silent",
    "store_busy",
    "store_reset",
    "store_slow",
    "store_refuses_some",
    "store_forgets",
    "link_silent",
    "link_one_way",
    "link_delay",
    "link_reset",
    "fabric_loses",
    "fabric_doubles",
    "fabric_reorders",
    "route_add",
    "route_drop",
    "config_series",
)
# Regression seeds that failed before zone_evacuate was added draw from these kinds.
KINDS_WITH_PARTITIONS: typing.Final = (
    *ORIGINAL_KINDS,
    "vm_cut",
    "vm_mute",
    "vm_deaf",
    "zone_cut",
    "peers_lose",
    "peers_delay",
)
# Regression seeds that failed before the last kinds were added draw from these kinds.
KINDS_WITH_EVACUATIONS: typing.Final = (*KINDS_WITH_PARTITIONS, "zone_evacuate")
KINDS: typing.Final = (
    *KINDS_WITH_EVACUATIONS,
    "vm_clock_step",
    "entry_unreadable",
    "vm_pause_briefly",
    "datagrams_lost",
)


def draw(
    seed: int, duration_s: float, count: int, kinds: typing.Sequence[str] = KINDS
) -> list[Fault]:
    """Return the faults of a seed, in the order of their start.

    Faults follow one another closely and overlap. No fault starts in the first
    seconds, which serve as a baseline, or in the last ones, in which the fleet
    recovers.

    Args:
        seed: Seed of all random draws.
        duration_s: Duration of the load in seconds.
        count: Number of faults.
        kinds: Kinds to draw from.
    """
    rng = random.Random(seed)
    drawn = [
        Fault(
            round(
                rng.uniform(
                    QUIET_START_S, max(QUIET_START_S, duration_s - QUIET_END_S)
                ),
                2,
            ),
            rng.choice(kinds),
            round(rng.uniform(0.5, 4.0), 2),
            rng.random(),
            rng.random(),
        )
        for _ in range(count)
    ]
    return sorted(drawn)
