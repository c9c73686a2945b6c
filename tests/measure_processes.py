"""Measures real entry VMs at rest: processor time, memory and connections.

Run as ``python -m tests.measure_processes 4 8 16``; one line per size. All
processes are on loopback and are ended by this program.
"""

import os
import pathlib
import statistics
import sys
import tempfile
import time
import typing

from tests import fleet

BLOCK = 3
READY_S = 60.0
SETTLE_S = 15.0
SPAN_S = 10.0
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


class Usage(typing.NamedTuple):
    """One process at one moment.

    Attributes:
        cpu_s: Processor time so far.
        memory_mb: Resident memory.
        sockets: Open file descriptors, sockets for the most part.
    """

    cpu_s: float
    memory_mb: float
    sockets: int


class Point(typing.NamedTuple):
    """A fleet of one size, medians over its VMs.

    Attributes:
        vms: Entry VMs.
        ready_s: Time until all had the rules in force.
        cpu_share: Share of a core.
        memory_mb: Resident memory.
        sockets: Open file descriptors.
        platform_cpu_share: Share of a core of the platform's stand-in.
    """

    vms: int
    ready_s: float
    cpu_share: float
    memory_mb: float
    sockets: float
    platform_cpu_share: float


def usage(process_id: int) -> Usage:
    """Read what a process uses from the kernel."""
    folder = pathlib.Path(f"/proc/{process_id}")
    fields = (folder / "stat").read_text().rpartition(")")[2].split()
    cpu_s = (int(fields[11]) + int(fields[12])) / TICKS_PER_S
    pages = int((folder / "statm").read_text().split()[1])
    sockets = len(list((folder / "fd").iterdir()))
    return Usage(cpu_s, pages * PAGE_BYTES / 1e6, sockets)


def measure(count: int) -> Point:
    """Start a fleet, let it rest and measure it."""
    with tempfile.TemporaryDirectory() as name:
        run = fleet.Fleet(pathlib.Path(name), count, block=BLOCK)
        try:
            return _measure(run, count)
        finally:
            run.stop_all()


def _measure(run: fleet.Fleet, count: int) -> Point:
    run.start_command("platform", "standin", "platform", run.platform_address)
    run.await_platform()
    begun_s = time.monotonic()
    for node in run.entry_vms:
        run.start_vm(node)
    applied = run.run_command(
        "apply", str(run.rules_path), "--platform", run.platform_url
    )
    assert applied.returncode == 0, applied.stderr
    ready_s = _await_rules(run, begun_s)
    time.sleep(SETTLE_S)
    before = {name: usage(item.pid) for name, item in run.processes.items()}
    time.sleep(SPAN_S)
    after = {name: usage(item.pid) for name, item in run.processes.items()}
    names = [node.name for node in run.entry_vms]

    def share(name: str) -> float:
        return (after[name].cpu_s - before[name].cpu_s) / SPAN_S

    return Point(
        count,
        round(ready_s, 1),
        round(statistics.median(map(share, names)), 4),
        round(statistics.median(after[name].memory_mb for name in names), 1),
        statistics.median(after[name].sockets for name in names),
        round(share("platform"), 4),
    )


def _await_rules(run: fleet.Fleet, begun_s: float) -> float:
    while time.monotonic() - begun_s < READY_S:
        if all(run.log_lines(node.name, "config_in_force") for node in run.entry_vms):
            return time.monotonic() - begun_s
        time.sleep(0.2)
    raise TimeoutError("not all VMs have the rules in force")


def main() -> None:
    """Measure the sizes named on the command line."""
    for text in sys.argv[1:] or ("4", "8"):
        point = measure(int(text))
        pairs = point._asdict().items()
        print(" ".join(f"{key}={value}" for key, value in pairs), flush=True)


if __name__ == "__main__":
    main()
