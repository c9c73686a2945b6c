"""Tests of the program that the platform starts, as a process of its own."""

import contextlib
import os
import pathlib
import signal
import socket
import subprocess
import sys
import time
import typing
import urllib.parse
import urllib.request

import pytest

from eelgrasswick.platform import names, program
from eelgrasswick.soak import layout, processes, stepped_vm
from tests import cookie_parts

LIMIT_S: typing.Final = 20.0
# Several intervals of all periodic tasks of a VM.
SETTLE_S: typing.Final = 0.6
# Runs the program with a merge of the first rows that fails.
FAILING_EARLY_START: typing.Final = """
import runpy
from eelgrasswick.platform import early

def fail(*_):
    raise RuntimeError("unexpected")

early.StartupForwarder._merge = fail
runpy.run_module("eelgrasswick.platform", run_name="__main__")
"""
MODULE: typing.Final = ("-m", "eelgrasswick.platform")


class Deployment:
    """A store with a route and a target, and the settings of one VM.

    Attributes:
        vm: IP address of the VM.
        settings: Path of its settings file.
    """

    def __init__(self, block: int, folder: pathlib.Path) -> None:
        """Create a deployment in a block of loopback addresses."""
        plan = layout.Layout(block, 1, 1, 1)
        self.vm = plan.vm_ip(0)
        self.settings = folder / "vm.ini"
        self.settings.write_text(
            f"[vm]\nname = vm1\nzone = z1\ndata = {self.vm}:{layout.DATA_PORT}\n"
            f"ready = {self.vm}:{layout.READY_PORT}\n"
            f"peer = {self.vm}:{layout.PEER_PORT}\n"
            f"metrics = {self.vm}:{layout.METRICS_PORT}\n"
            f"[store]\naddress = {plan.store_address}\n"
        )
        self._store = plan.store_address
        self._process = processes.start_store(self._store, folder)
        _await(self._write_rows, "the store")

    def _write_rows(self) -> bool:
        target = cookie_parts.target_row("i-0a", 1, address=f"{self.vm}:9")
        key = urllib.parse.quote(target.key)
        with contextlib.suppress(OSError):
            self._post("config", cookie_parts.config_row(1).value or b"")
            self._post(f"entry?key={key}", target.value or b"")
            return True
        return False

    def _post(self, path: str, body: bytes) -> None:
        url = f"http://{self._store}/own/{path}"
        urllib.request.urlopen(url, body, timeout=2).close()

    def write_config(self, version: int) -> None:
        """Write a version of the configuration."""
        row = cookie_parts.config_row(1, version=version)
        self._post("config", row.value or b"")

    def ready(self) -> bool:
        """Return whether the VM's readiness probe succeeds; renew the target."""
        self._write_rows()
        url = f"http://{self.vm}:{layout.READY_PORT}{names.READY_PATH}"
        with (
            contextlib.suppress(OSError),
            urllib.request.urlopen(url, timeout=1) as response,
        ):
            return bool(response.status == 200)
        return False

    def end(self) -> None:
        """Stop the store."""
        self._process.stop()


@pytest.fixture
def deployment(tmp_path: pathlib.Path) -> typing.Iterator[Deployment]:
    with layout.reserve_block() as block:
        made = Deployment(block, tmp_path)
        yield made
        made.end()


def _await(done: typing.Callable[[], bool], what: str) -> None:
    limit_s = time.monotonic() + LIMIT_S
    while not done():
        assert time.monotonic() < limit_s, what
        time.sleep(0.05)


@contextlib.contextmanager
def _started(
    deployment: Deployment,
    *arguments: str,
    output: int | typing.IO[str] = subprocess.PIPE,
) -> typing.Iterator["subprocess.Popen[str]"]:
    environment = {**os.environ, names.SETTINGS_VARIABLE: str(deployment.settings)}
    with subprocess.Popen(
        (sys.executable, *arguments),
        env=environment,
        stdout=output,
        stderr=subprocess.STDOUT,
        text=True,
    ) as process:
        try:
            yield process
        finally:
            process.kill()


def test_program_ends_when_a_socket_cannot_be_opened(deployment: Deployment) -> None:
    """Guards against a process that neither serves nor ends, so none replaces it."""
    with (
        socket.create_server((deployment.vm, layout.METRICS_PORT)),
        _started(deployment, *MODULE) as process,
    ):
        output, _ = process.communicate(timeout=LIMIT_S)
    assert process.returncode == program.START_FAILED_EXIT_CODE
    assert "event=start_failed" in output
    assert str(layout.METRICS_PORT) in output


def test_program_starts_when_the_early_rows_cannot_be_merged(
    deployment: Deployment,
) -> None:
    """Guards against an exception before the event loop that recurs at each start."""
    with _started(deployment, "-c", FAILING_EARLY_START) as process:
        _await(deployment.ready, "readiness")
        process.terminate()
        output, _ = process.communicate(timeout=LIMIT_S)
    assert "event=early_start_failed" in output
    assert "event=target_known" in output


@pytest.mark.parametrize(
    "steps_s", [(-3600.0,), (3600.0, 0.0)], ids=["back", "forward and back"]
)
def test_program_hears_of_changes_while_its_time_of_day_is_set_back(
    deployment: Deployment, tmp_path: pathlib.Path, steps_s: tuple[float, ...]
) -> None:
    """Guards against timers that stand still for as long as the clock is set back."""
    offset_file = processes.clock_file("vm1", tmp_path)
    stepped_vm.write_offset(offset_file, 0.0)
    arguments = ("-m", "eelgrasswick.soak.stepped_vm", str(offset_file))
    log = tmp_path / "vm.log"
    with (
        log.open("w") as output,
        _started(deployment, *arguments, output=output) as process,
    ):
        _await(deployment.ready, "readiness")
        for step_s in steps_s:
            stepped_vm.write_offset(offset_file, step_s)
            time.sleep(SETTLE_S)
        deployment.write_config(5)
        _await(lambda: "version=5" in log.read_text(), "the new configuration")
        process.terminate()
        assert process.wait(LIMIT_S) == 0


# Prints a line once the first line of the program has run.
ANNOUNCED_START: typing.Final = """
import runpy
from eelgrasswick.platform import early_signals

class Announced(early_signals.EarlySignals):
    def __init__(self):
        super().__init__()
        print("begun", flush=True)

early_signals.EarlySignals = Announced
runpy.run_module("eelgrasswick.platform", run_name="__main__")
"""
SIGNAL_TIMES_S: typing.Final = [number * 0.02 for number in range(20)]


def _after_begin(process: "subprocess.Popen[str]", delay_s: float) -> None:
    assert process.stdout is not None
    assert process.stdout.readline() == "begun\n"
    time.sleep(delay_s)


@pytest.mark.parametrize("number", [signal.SIGHUP, signal.SIGPIPE])
def test_signal_during_the_start_does_not_end_the_program(
    deployment: Deployment, number: signal.Signals
) -> None:
    """Guards against a change of the settings that ends VMs which are starting."""
    for delay_s in SIGNAL_TIMES_S:
        with _started(deployment, "-c", ANNOUNCED_START) as process:
            _after_begin(process, delay_s)
            process.send_signal(number)
            _await(deployment.ready, f"readiness, signal after {delay_s:.2f} s")
            assert process.poll() is None


def test_stop_during_the_start_ends_the_program_cleanly(deployment: Deployment) -> None:
    """Guards against packets that are dropped by a VM which is stopped at its start."""
    for delay_s in SIGNAL_TIMES_S:
        with _started(deployment, "-c", ANNOUNCED_START) as process:
            _after_begin(process, delay_s)
            process.terminate()
            output, _ = process.communicate(timeout=LIMIT_S)
        assert process.returncode == 0, f"SIGTERM after {delay_s:.2f} s"
        assert "event=stopped" in output
