"""Tests of the program that the platform starts, as a process of its own."""

import contextlib
import os
import pathlib
import socket
import subprocess
import sys
import time
import typing
import urllib.parse
import urllib.request

import pytest

from eelgrasswick.platform import names, program
from eelgrasswick.soak import layout, processes
from tests import cookie_parts

LIMIT_S: typing.Final = 20.0
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
    deployment: Deployment, *arguments: str
) -> typing.Iterator["subprocess.Popen[str]"]:
    environment = {**os.environ, names.SETTINGS_VARIABLE: str(deployment.settings)}
    with subprocess.Popen(
        (sys.executable, *arguments),
        env=environment,
        stdout=subprocess.PIPE,
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
