"""A short soak run of the real programs."""

import subprocess
import sys


def test_short_run_keeps_all_promises() -> None:
    """Faults overlap on six entry VMs, nine targets and a store for 12 s."""
    command = [sys.executable, "-m", "eelgrasswick.soak", "--seed", "2"]
    command += ["--duration-s", "12", "--faults", "6"]
    done = subprocess.run(command, capture_output=True, text=True, check=False)
    assert done.returncode == 0, done.stdout + done.stderr[-2000:]
    assert "breaches=0" in done.stdout
