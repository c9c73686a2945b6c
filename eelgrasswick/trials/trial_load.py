"""The load of the placement trial: many short flows and some long ones.

Short flows are check-ins and lookups; their durations have a lognormal
distribution. Long flows are open boards, with a request every half second, and
downloads, with an acknowledgement every 20 ms; their durations have a bounded
Pareto distribution, as Crovella and Bestavros found for transfers
("Self-similarity in World Wide Web traffic", 1997). Flows that are open when
the trial begins opened during a warm-up.
"""

import random
import typing

from eelgrasswick import packet
from eelgrasswick.decisions import placement

LONG_SHARE: typing.Final = 0.2
SHORT_MEDIAN_MS: typing.Final = 300.0
SHORT_SIGMA: typing.Final = 1.0
SHORT_REQUEST_INTERVALS: typing.Final = 4
LONG_MIN_MS: typing.Final = 2000.0
LONG_MAX_MS: typing.Final = 60_000.0
LONG_ALPHA: typing.Final = 1.2
BOARD_INTERVAL_MS: typing.Final = 500.0
DOWNLOAD_INTERVAL_MS: typing.Final = 20.0
DOWNLOAD_SHARE: typing.Final = 0.25
ADDRESS: typing.Final = packet.address("10.100.0.1:443")


class Load(typing.NamedTuple):
    """Parameters of a trial.

    Attributes:
        vms: Entry VMs.
        rate_per_s: New flows per second in the whole fleet.
        duration_s: Duration in seconds of virtual time.
        seed: Seed of every random choice.
        bound_factor: Bound on a target's load, as a multiple of its share.
        learns_capacity: Whether homes learn strengths and limits of targets
            from their responses; used by the engines only.
    """

    vms: int
    rate_per_s: int
    duration_s: int
    seed: int
    bound_factor: float = placement.OPEN_FACTOR
    learns_capacity: bool = True


class Flow(typing.NamedTuple):
    """One flow of the load.

    Attributes:
        key: Addresses of the flow.
        at_ms: Time at which the flow opens; the trial begins at 0.
        until_ms: Time at which the flow closes.
        interval_ms: Time between two requests on the flow.
    """

    key: packet.FlowKey
    at_ms: float
    until_ms: float
    interval_ms: float

    def requests_ms(self) -> list[float]:
        """Return the times at which the caller sends a packet.

        The first packet opens the flow.
        """
        count = int((self.until_ms - self.at_ms) / self.interval_ms) + 1
        return [self.at_ms + index * self.interval_ms for index in range(count)]


def generate_flows(load: Load, warm_up: bool = True) -> list[Flow]:
    """Return the flows of a trial in the order in which they open.

    Args:
        load: Parameters of the trial.
        warm_up: Whether to include flows that opened before the trial begins
            and are still open then.
    """
    rng = random.Random(load.seed)
    begin_ms = -LONG_MAX_MS if warm_up else 0.0
    at_ms = begin_ms
    generated: list[Flow] = []
    while at_ms < load.duration_s * 1000:
        at_ms += rng.expovariate(load.rate_per_s / 1000)
        item = _flow(rng, at_ms, len(generated))
        if item.until_ms > 0:
            generated.append(item)
    return generated


def _flow(rng: random.Random, at_ms: float, number: int) -> Flow:
    ip = bytes((10, 8 + (number >> 22), number >> 14 & 255, number >> 6 & 255))
    port = 20_000 + (number & 63) * 100 + rng.randrange(100)
    key = packet.FlowKey(packet.Protocol.TCP, ip, port, ADDRESS.ip, ADDRESS.port)
    if rng.random() < LONG_SHARE:
        length_ms = min(LONG_MAX_MS, LONG_MIN_MS * rng.paretovariate(LONG_ALPHA))
        download = rng.random() < DOWNLOAD_SHARE
        interval_ms = DOWNLOAD_INTERVAL_MS if download else BOARD_INTERVAL_MS
        return Flow(key, at_ms, at_ms + length_ms, interval_ms)
    length_ms = SHORT_MEDIAN_MS * rng.lognormvariate(0.0, SHORT_SIGMA)
    return Flow(key, at_ms, at_ms + length_ms, length_ms / SHORT_REQUEST_INTERVALS)
