"""Short soak runs of the real programs."""

import pathlib
import subprocess
import sys
import time


def test_short_run_violates_no_invariant() -> None:
    """A fault in a 12 s run with six entry VMs and nine targets breaks an invariant."""
    command = [sys.executable, "-m", "eelgrasswick.soak", "--seed", "2"]
    command += ["--duration-s", "12", "--faults", "6"]
    done = subprocess.run(command, capture_output=True, text=True, check=False)
    assert done.returncode == 0, done.stdout + done.stderr[-2000:]
    assert "breaches=0" in done.stdout


def test_short_run_with_scarce_capacity_violates_no_invariant() -> None:
    """Guards against false refusals, long waits and starvation under pressure."""
    command = [sys.executable, "-m", "eelgrasswick.soak", "--seed", "10", "--scarce"]
    command += ["--duration-s", "12", "--faults", "4"]
    done = subprocess.run(command, capture_output=True, text=True, check=False)
    assert done.returncode == 0, done.stdout + done.stderr[-2000:]
    assert "breaches=0" in done.stdout
    assert "granted=0" not in done.stdout


def test_run_that_is_stopped_midway_leaves_no_process() -> None:
    """Processes that survive a stopped run hold addresses that the next run uses."""
    command = [sys.executable, "-m", "eelgrasswick.soak", "--seed", "2"]
    with subprocess.Popen(command, stdout=subprocess.DEVNULL) as running:
        children: list[int] = []
        deadline_s = time.monotonic() + 30
        while len(children) < 5 and time.monotonic() < deadline_s:
            time.sleep(0.1)
            children = _children(running.pid)
        assert len(children) >= 5
        running.terminate()
        running.wait(timeout=30)
    assert not [pid for pid in children if pathlib.Path(f"/proc/{pid}").exists()]


def _children(pid: int) -> list[int]:
    path = pathlib.Path(f"/proc/{pid}/task/{pid}/children")
    return [int(word) for word in path.read_text().split()]


def test_short_run_with_stepped_clocks_loses_no_flow() -> None:
    """Guards against VMs that hear of no change while their clocks are set right."""
    kinds = (
        "vm_clock_step,vm_clock_step,entry_unreadable,route_add,config_series,vm_hup"
    )
    command = [sys.executable, "-m", "eelgrasswick.soak", "--seed", "22"]
    command += ["--duration-s", "12", "--faults", "8", "--kinds", kinds]
    done = subprocess.run(command, capture_output=True, text=True, check=False)
    assert done.returncode == 0, done.stdout + done.stderr[-2000:]
    assert "breaches=0" in done.stdout


def test_short_run_with_random_loss_resets_no_flow() -> None:
    """Guards against flows whose answer is lost and whose VM restarts."""
    kinds = "datagrams_lost,datagrams_lost,datagrams_lost,vm_term,vm_term,vm_kill"
    command = [sys.executable, "-m", "eelgrasswick.soak", "--seed", "31003"]
    command += ["--kinds", kinds]
    done = subprocess.run(command, capture_output=True, text=True, check=False)
    assert done.returncode == 0, done.stdout + done.stderr[-2000:]
    assert "breaches=0" in done.stdout


def test_short_run_with_unreadable_entries_ends_no_vm() -> None:
    """Guards against an entry that keeps restarted VMs from starting."""
    kinds = "entry_unreadable,vm_term,vm_kill"
    command = [sys.executable, "-m", "eelgrasswick.soak", "--seed", "2"]
    command += ["--duration-s", "12", "--faults", "8", "--kinds", kinds]
    done = subprocess.run(command, capture_output=True, text=True, check=False)
    assert done.returncode == 0, done.stdout + done.stderr[-2000:]
    assert "breaches=0" in done.stdout
