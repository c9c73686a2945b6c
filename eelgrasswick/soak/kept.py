"""Seeds that failed once; each is played again as it was, with its cause."""

import typing

from eelgrasswick.soak import faults


class Kept(typing.NamedTuple):
    """A seed that broke a promise.

    Attributes:
        seed: It decides the load and the faults.
        cause: Why it failed.
        kinds: What its faults are drawn from.
    """

    seed: int
    cause: str
    kinds: tuple[str, ...] = faults.FIRST_KINDS


SEEDS: typing.Final = (
    Kept(1, "opening packets that waited at a paused VM were placed at new servers"),
    Kept(6, "a paused server answered old opening packets; the knowing VM was killed"),
    Kept(11, "a doubled opening packet was placed at two servers"),
    Kept(12, "lapsed entries counted as gone while the store was away again"),
    Kept(14, "as seed 1, with copies of the opening packet"),
    Kept(15, "as seed 1, with the flow open elsewhere"),
    Kept(101, "as seed 6, with the knowing VM out of rotation"),
    Kept(118, "VMs that started in an outage refused flows before entries were back"),
    Kept(
        410,
        "a silence of 2.4 s ended all entries, and was not taken for an outage",
        faults.CUT_KINDS,
    ),
    Kept(
        411,
        "an opening packet waited in the socket of a VM that took a second to start",
        faults.CUT_KINDS,
    ),
)
