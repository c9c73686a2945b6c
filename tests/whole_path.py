"""Demo: a fleet of processes on loopback, with a leave, a kill and a drain."""

import collections
import json
import pathlib
import signal
import sys
import tempfile
import time
import typing

from tests import fleet

VM_COUNT = 8
CALLERS_DURATION_S = 16
LISTING_LAG_S = 1.0


class Summary(typing.NamedTuple):
    """Result of the run; the field names are the keys of the last output line.

    Attributes:
        flows: Flows that callers opened.
        requests: Requests that targets ran, each as often as it ran.
        whole: Flows with a whole answer.
        broken: Broken or unfinished flows, except those counted as broken by
            the kill.
        broken_by_kill: Broken or unfinished flows that were open at the kill of
            a VM or opened within 3 s after it.
        wrong_service: Flows and requests that reached a wrong service.
        doubled: Requests that ran more than once.
        lost: Requests with a whole answer that no target reports.
        refused: Flows that were refused.
        refused_but_ran: Requests of refused flows that ran.
        imbalance: Maximum over mean of the requests per weight.
        config_in_force_ms: Longest time from the acceptance of the second change
            until it was in force at a VM; -1 if it was in force at none.
    """

    flows: int
    requests: int
    whole: int
    broken: int
    broken_by_kill: int
    wrong_service: int
    doubled: int
    lost: int
    refused: int
    refused_but_ran: int
    imbalance: float
    config_in_force_ms: int

    @property
    def passed(self) -> bool:
        """True if the run violated no invariant; a kill may break flows."""
        return not (
            self.broken
            or self.wrong_service
            or self.doubled
            or self.lost
            or self.refused_but_ran
        )


def main() -> int:
    """Run the demo and return the exit code, 1 after a violation."""
    with tempfile.TemporaryDirectory() as name:
        run = fleet.Fleet(pathlib.Path(name), VM_COUNT)
        try:
            killed_ms = run_scenario(run)
        finally:
            run.stop_all()
        summary = summarize(run, killed_ms)
        if not summary.passed:
            for log in sorted(run.folder.glob("*.log")):
                print(f"--- {log.name}\n{log.read_text()[-1500:]}", file=sys.stderr)
    print(" ".join(f"{key}={value}" for key, value in summary._asdict().items()))
    return 0 if summary.passed else 1


def run_scenario(run: fleet.Fleet) -> int:
    """Run a fleet through a leave, a drain and a kill.

    Returns:
        Unix time of the kill in milliseconds.
    """
    print_progress("starting platform, fabric and targets")
    run.start_command("platform", "standin", "platform", run.platform_address)
    run.await_platform()
    common = ("--platform", run.platform_url)
    run.start_command(
        "fabric",
        "standin",
        "fabric",
        run.fabric_inside,
        run.fabric_outside,
        *common,
    )
    report = str(run.folder / "targets.json")
    run.start_command(
        "targets", "standin", "targets", str(run.rules_path), report, *common
    )
    print_progress(f"starting {VM_COUNT} entry VMs")
    for vm in run.entry_vms:
        run.start_vm(vm)
    print_progress(
        run.run_command("apply", str(run.rules_path), *common, "--author", "demo")
        .stdout.strip()
        .splitlines()[-1]
    )
    time.sleep(4)
    callers = run.start_command(
        "callers",
        "standin",
        "callers",
        str(run.rules_path),
        run.fabric_outside,
        str(run.folder / "callers.json"),
        "--rate-per-s",
        "30",
        "--duration-s",
        str(CALLERS_DURATION_S),
        "--grace-s",
        "14",
    )
    time.sleep(3)
    print_progress("vm2 leaves")
    run.list_vm(run.entry_vms[1], "leaving")
    run.send_signal("vm2")
    time.sleep(1)
    run.list_vm(run.entry_vms[1], "gone")
    time.sleep(3)
    print_progress("target d4 drains")
    run.rules_path.write_text(
        run.rules_path.read_text() + "drain d4  # asked by Wanjiru\n"
    )
    print_progress(
        run.run_command("apply", str(run.rules_path), *common, "--author", "demo")
        .stdout.strip()
        .splitlines()[-1]
    )
    time.sleep(3)
    print_progress("vm5 is killed")
    killed_ms = time.time_ns() // 1_000_000
    run.send_signal("vm5", signal.SIGKILL)
    time.sleep(LISTING_LAG_S)
    run.list_vm(run.entry_vms[4], "gone")
    log = run.folder / "callers.log"
    while callers.poll() is None:
        time.sleep(1)
        lines = log.read_text().splitlines()
        if lines:
            print_progress(lines[-1])
    return killed_ms


def summarize(run: fleet.Fleet, killed_ms: int) -> Summary:
    """Compare the histories of callers with the requests that targets ran.

    Prints the broken and unfinished flows on standard error.
    """
    # Each call is a list of the fields of emulated_caller.History: 0 is the
    # request number, 3 began_ms, 5 ended_ms and 6 the end.
    calls = json.loads((run.folder / "callers.json").read_text())
    targets = json.loads((run.folder / "targets.json").read_text())
    ran: collections.Counter[int] = collections.Counter()
    for item in targets.values():
        ran.update({int(number): n for number, n in item["executed"].items()})
    ends = collections.Counter(call[6] for call in calls)
    broken = [call for call in calls if call[6] in ("broken", "unfinished")]
    broken_by_kill = [
        call for call in broken if call[3] <= killed_ms + 3000 and call[5] >= killed_ms
    ]
    for call in broken:
        print("broken", call, file=sys.stderr)
    refused = [call[0] for call in calls if call[6] == "refused"]
    return Summary(
        flows=len(calls),
        requests=sum(ran.values()),
        whole=ends["whole"],
        broken=len(broken) - len(broken_by_kill),
        broken_by_kill=len(broken_by_kill),
        wrong_service=ends["wrong_service"]
        + sum(item["wrong_service"] for item in targets.values()),
        doubled=sum(1 for count in ran.values() if count > 1),
        lost=sum(1 for call in calls if call[6] == "whole" and not ran[call[0]]),
        refused=len(refused),
        refused_but_ran=sum(1 for number in refused if ran[number]),
        imbalance=imbalance(targets),
        config_in_force_ms=longest_in_force_ms(run),
    )


def imbalance(targets: dict[str, typing.Any]) -> float:
    """Return the maximum over the mean of the desk's requests per weight.

    The target d4 is left out, because the run drains it.
    """
    loads = [
        len(targets[f"d{index + 1}"]["executed"]) / weight
        for index, weight in enumerate(fleet.DESK_WEIGHTS)
        if index != 3
    ]
    return round(max(loads) / (sum(loads) / len(loads)), 3)


def longest_in_force_ms(run: fleet.Fleet) -> int:
    """Return the longest time in ms until a VM had the second change in force.

    Returns:
        The time since the change was accepted, or -1 if no VM has it in force.
    """
    times = []
    for vm in run.entry_vms:
        for line in run.log_lines(vm.name, "config_in_force"):
            if fleet.log_field(line, "sequence") == "2":
                times.append(int(fleet.log_field(line, "accepted_ms_ago")))
    return max(times, default=-1)


def print_progress(text: str) -> None:
    """Print a line with the time and the progress of the run."""
    print(f"[{time.strftime('%H:%M:%S')}] {text}", flush=True)


if __name__ == "__main__":
    sys.exit(main())
