"""Seeds that failed once; each is played again as it was, with its cause."""

import typing

from eelgrasswick.soak import faults


class RegressionSeed(typing.NamedTuple):
    """A seed that broke a promise.

    Attributes:
        seed: It decides the load and the faults.
        cause: Why it failed.
        kinds: What its faults are drawn from.
    """

    seed: int
    cause: str
    kinds: tuple[str, ...] = faults.ORIGINAL_KINDS


SEEDS: typing.Final = (
    RegressionSeed(
        1, "opening packets that waited at a paused VM were placed at new servers"
    ),
    RegressionSeed(
        6, "a paused server answered old opening packets; the knowing VM was killed"
    ),
    RegressionSeed(11, "a doubled opening packet was placed at two servers"),
    RegressionSeed(12, "lapsed entries counted as gone while the store was away again"),
    RegressionSeed(14, "as seed 1, with copies of the opening packet"),
    RegressionSeed(15, "as seed 1, with the flow open elsewhere"),
    RegressionSeed(101, "as seed 6, with the knowing VM out of rotation"),
    RegressionSeed(
        118, "VMs that started in an outage refused flows before entries were back"
    ),
    RegressionSeed(
        410,
        "a silence of 2.4 s ended all entries, and was not taken for an outage",
        faults.KINDS_WITH_PARTITIONS,
    ),
    RegressionSeed(
        411,
        "an opening packet waited in the socket of a VM that took a second to start",
        faults.KINDS_WITH_PARTITIONS,
    ),
)
