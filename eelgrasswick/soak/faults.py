"""Which faults a run has and when, all drawn from its seed."""

import random
import typing

QUIET_START_S: typing.Final = 4.0
QUIET_END_S: typing.Final = 4.0


class Fault(typing.NamedTuple):
    """A fault from outside the programs.

    Attributes:
        at_s: When it begins, in seconds from the start of the load.
        kind: Which one; a method of ``actions.Actions`` with this name carries it out.
        for_s: How long it lasts, where it has an end.
        pick: From 0 to 1; says on which process or part it falls.
        strength: From 0 to 1; says how strong it is.
    """

    at_s: float
    kind: str
    duration_s: float
    selector: float
    strength: float


# The kinds that the first seeds were drawn from; a kept seed draws from these, as
# more kinds would make another run of it.
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
# Kept seeds are drawn from these as well.
KINDS_WITH_PARTITIONS: typing.Final = (
    *ORIGINAL_KINDS,
    "vm_cut",
    "vm_mute",
    "vm_deaf",
    "zone_cut",
    "peers_lose",
    "peers_delay",
)
KINDS: typing.Final = (*KINDS_WITH_PARTITIONS, "zone_evacuate")


def draw(
    seed: int, duration_s: float, count: int, kinds: typing.Sequence[str] = KINDS
) -> list[Fault]:
    """Return the faults of a seed, in the order of their beginning.

    They come in series and overlap; the first seconds are quiet, so that the
    run has something to compare with, and so are the last ones.

    Args:
        seed: Decides everything.
        duration_s: Length of the load.
        count: How many faults.
        kinds: What is drawn from.
    """
    rng = random.Random(seed)
    found = [
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
    return sorted(found)
