"""Load and targets of the seeds that put pools under pressure.

The callers open a flow for each request. From the quiet start until shortly before the
end they ask for more than the targets can serve, and one caller asks for more than the
others. Without these seeds, no reservation is ever requested in a run.
"""

import pathlib
import random
import typing

from eelgrasswick.soak import caller, history, layout

# Share of the seeds, other than regression seeds, that run with too little capacity.
SEED_SHARE: typing.Final = 0.3
# Requests take this many times as long as in other seeds, so that the few flows per
# second that one process can play exceed the capacity.
WORK_FACTOR: typing.Final = 8
QUEUE: typing.Final = 8
# Route to the same service as port 443, with a lower priority.
SECOND_PORT: typing.Final = 445
TARGET_LATENCY_MS: typing.Final = 1000
RETRIES: typing.Final = 2
RESPONSE_BYTES: typing.Final = 2000
# Flows that are opened together, under pressure and otherwise.
PRESSURE_BURST: typing.Final = 7
NORMAL_BURST: typing.Final = 1
PRESSURE_START_S: typing.Final = 2.0
# The pressure ends this long before the window in which the recovery is checked.
PRESSURE_END_S: typing.Final = history.RECOVERY_WINDOW_S + 2.0
# The greedy caller opens this many times as many flows as each other caller.
GREEDY_FACTOR: typing.Final = 4


def is_drawn(seed: int) -> bool:
    """Return whether a seed runs with too little capacity.

    The draw is separate from all others, which therefore stay the same.
    """
    return random.Random(f"scarce {seed}").random() < SEED_SHARE


def burst(elapsed_s: float, duration_s: float) -> int:
    """Return the number of flows to open together at a time of the run."""
    pressed = PRESSURE_START_S <= elapsed_s < duration_s - PRESSURE_END_S
    return PRESSURE_BURST if pressed else NORMAL_BURST


def draw_flow(
    rng: random.Random, hosts: typing.Sequence[str]
) -> tuple[str, caller.FlowPlan]:
    """Return the caller and the plan of a flow with a single request."""
    host = rng.choice([*hosts, *[hosts[0]] * (GREEDY_FACTOR - 1)])
    port = rng.choice((443, SECOND_PORT, SECOND_PORT, 444))
    plan = caller.FlowPlan(layout.SERVICE_IP, port, 1, RESPONSE_BYTES, 0.0, RETRIES)
    return host, plan


def route_fields(name: str) -> dict[str, typing.Any]:
    """Return the fields of a route that let its flows take part in reservations."""
    priority = 1 if name == f"r{SECOND_PORT}" else 0
    return {"target_latency_ms": TARGET_LATENCY_MS, "priority": priority}


def count_granted(folder: pathlib.Path) -> int:
    """Return how many flows the VMs of a run placed on a reservation."""
    logs = (path.read_text(errors="replace") for path in folder.glob("vm*.log"))
    return sum(text.count("resolution=granted") for text in logs)
