"""Measure idle entry VM processes: processor time, memory and connections.

Run as ``python -m tests.measure_processes 4 8 16``, with sizes of fleets. The
program prints one line per size. It starts all processes on loopback and ends
them.
"""

import os
import pathlib
import statistics
import sys
import tempfile
import time
import typing

from tests import fleet

ADDRESS_BLOCK = 3
READY_TIMEOUT_S = 60.0
SETTLE_S = 15.0
MEASURED_S = 10.0
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
CPU_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


class Usage(typing.NamedTuple):
    """Resource usage of one process at one time.

    Attributes:
        cpu_s: Processor time since the process started.
        memory_mb: Resident memory.
        sockets: Open file descriptors, most of which are sockets.
    """

    cpu_s: float
    memory_mb: float
    sockets: int


class Point(typing.NamedTuple):
    """Measurements of an idle fleet of one size.

    Attributes:
        vms: Entry VMs.
        ready_s: Time until all VMs had the rules in force.
        cpu_share: Processor time as a share of a core, median over the VMs.
        memory_mb: Resident memory, median over the VMs.
        sockets: Open file descriptors, median over the VMs.
        platform_cpu_share: Processor time of the platform's stand-in as a share
            of a core.
    """

    vms: int
    ready_s: float
    cpu_share: float
    memory_mb: float
    sockets: float
    platform_cpu_share: float


def usage(process_id: int) -> Usage:
    """Return the resource usage of a process, read from ``/proc``."""
    process_folder = pathlib.Path(f"/proc/{process_id}")
    fields = (process_folder / "stat").read_text().rpartition(")")[2].split()
    cpu_s = (int(fields[11]) + int(fields[12])) / CPU_TICKS_PER_S
    pages = int((process_folder / "statm").read_text().split()[1])
    sockets = len(list((process_folder / "fd").iterdir()))
    return Usage(cpu_s, pages * PAGE_BYTES / 1e6, sockets)


def measure(count: int) -> Point:
    """Start a fleet, wait until it is idle and measure it.

    Args:
        count: Number of entry VMs.

    Raises:
        TimeoutError: Not all VMs have the rules in force in time.
    """
    with tempfile.TemporaryDirectory() as name:
        run = fleet.Fleet(pathlib.Path(name), count, block=ADDRESS_BLOCK)
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
    time.sleep(MEASURED_S)
    after = {name: usage(item.pid) for name, item in run.processes.items()}
    names = [node.name for node in run.entry_vms]

    def share(name: str) -> float:
        return (after[name].cpu_s - before[name].cpu_s) / MEASURED_S

    return Point(
        count,
        round(ready_s, 1),
        round(statistics.median(map(share, names)), 4),
        round(statistics.median(after[name].memory_mb for name in names), 1),
        statistics.median(after[name].sockets for name in names),
        round(share("platform"), 4),
    )


def _await_rules(run: fleet.Fleet, begun_s: float) -> float:
    while time.monotonic() - begun_s < READY_TIMEOUT_S:
        if all(run.log_lines(node.name, "config_in_force") for node in run.entry_vms):
            return time.monotonic() - begun_s
        time.sleep(0.2)
    raise TimeoutError("not all VMs have the rules in force within the time limit")


def main() -> None:
    """Measure fleets of the sizes given on the command line."""
    for text in sys.argv[1:] or ("4", "8"):
        point = measure(int(text))
        pairs = point._asdict().items()
        print(" ".join(f"{key}={value}" for key, value in pairs), flush=True)


if __name__ == "__main__":
    main()
