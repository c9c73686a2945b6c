"""Regression seeds: seeds that once failed, and the cause of each failure."""

import typing

from eelgrasswick.soak import faults


class RegressionSeed(typing.NamedTuple):
    """A seed whose run once violated an invariant.

    Attributes:
        seed: Seed of the load and the faults.
        cause: Cause of the failure.
        kinds: Kinds from which its faults are drawn, as they were when it failed.
        scarce: True if it ran with too little capacity.
    """

    seed: int
    cause: str
    kinds: tuple[str, ...] = faults.ORIGINAL_KINDS
    scarce: bool = False


SEEDS: typing.Final = (
    RegressionSeed(1, "SYN packets queued at a paused VM were placed on new targets"),
    RegressionSeed(
        6, "a paused target answered old SYN packets; the VM with its record died"
    ),
    RegressionSeed(11, "a duplicated SYN packet was placed on two targets"),
    RegressionSeed(
        12, "expired entries were treated as deleted during a second store outage"
    ),
    RegressionSeed(14, "as seed 1, with retransmitted SYN packets"),
    RegressionSeed(15, "as seed 1, with the flow open on another target"),
    RegressionSeed(101, "as seed 6, with the VM that had the record out of rotation"),
    RegressionSeed(
        118, "VMs started during a store outage refused flows before entries returned"
    ),
    RegressionSeed(
        410,
        "2.4 s of silence expired all entries and was not detected as an outage",
        faults.KINDS_WITH_PARTITIONS,
    ),
    RegressionSeed(
        411,
        "a SYN packet was queued in the socket of a VM that started in one second",
        faults.KINDS_WITH_PARTITIONS,
    ),
    RegressionSeed(
        7014,
        "a target killed again while it started was counted as alive until then",
        faults.KINDS_WITH_EVACUATIONS,
    ),
    RegressionSeed(
        3,
        "a retransmission that crossed the reset of a refused flow was placed",
        faults.KINDS_WITH_EVACUATIONS,
        scarce=True,
    ),
    RegressionSeed(
        5, "as seed 3 with scarce capacity", faults.KINDS_WITH_EVACUATIONS, scarce=True
    ),
    RegressionSeed(
        8803,
        "a duplicate of a refused opening packet was held again and granted",
        ("fabric_doubles",),
        scarce=True,
    ),
    RegressionSeed(
        9012,
        "a VM that started refused a queued SYN packet of a flow opened elsewhere",
        faults.KINDS_WITH_EVACUATIONS,
        scarce=True,
    ),
    RegressionSeed(
        9048,
        "a refusal after a hold of 166 ms crossed the caller's retransmission",
        faults.KINDS_WITH_EVACUATIONS,
        scarce=True,
    ),
    RegressionSeed(
        31003,
        "a lost answer opened flows at second targets, and a VM that restarted sent "
        "their packets to the first ones",
        (*["datagrams_lost"] * 3, *["vm_term"] * 2, "vm_kill"),
    ),
)
