"""Starts, signals and stops the processes of a run, by process id alone."""

import json
import os
import pathlib
import signal
import subprocess
import sys
import time
import typing

from eelgrasswick.platform import names
from eelgrasswick.soak import stepped_vm

# A process that does not end within this time after SIGTERM is killed.
STOP_TIMEOUT_S: typing.Final = 8.0


class Process:
    """A program that can be restarted, and its log file.

    Attributes:
        name: Name of the process and of its log file.
        starts: Number of times it was started.
    """

    def __init__(
        self,
        name: str,
        arguments: typing.Sequence[str],
        folder: pathlib.Path,
        environment: typing.Mapping[str, str] | None = None,
    ) -> None:
        """Start Python with arguments; output goes to a log file in a folder."""
        self.name = name
        self.starts = 0
        self._arguments = (sys.executable, *arguments)
        self._log = folder / f"{name}.log"
        self._environment = {**os.environ, **(environment or {})}
        self._running: subprocess.Popen[bytes] | None = None
        self.start()

    @property
    def alive(self) -> bool:
        """True while the process exists, suspended or not."""
        return self._running is not None and self._running.poll() is None

    @property
    def exit_code(self) -> int | None:
        """Exit code of the process; None while it runs."""
        return self._running.poll() if self._running is not None else None

    def start(self) -> None:
        """Start the process if it does not run."""
        if self.alive:
            return
        self.starts += 1
        with self._log.open("ab") as log:
            self._running = subprocess.Popen(
                self._arguments,
                env=self._environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it runs."""
        if self.alive and self._running is not None:
            self._running.send_signal(number)

    def stop(self) -> None:
        """Resume and terminate the process, and kill it after STOP_TIMEOUT_S."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGTERM)
        deadline_s = time.monotonic() + STOP_TIMEOUT_S
        while self.alive and time.monotonic() < deadline_s:
            time.sleep(0.02)
        self.signal(signal.SIGKILL)
        if self._running is not None:
            self._running.wait()


def start_target(
    settings: typing.Mapping[str, typing.Any], folder: pathlib.Path
) -> Process:
    """Start the process of a target."""
    arguments = ("-m", "eelgrasswick.soak.target", json.dumps(settings))
    return Process(settings["name"], arguments, folder)


def start_store(address: str, folder: pathlib.Path) -> Process:
    """Start the process of the store at an address ``ip:port``."""
    return Process("store", ("-m", "eelgrasswick.soak.store", address), folder)


def start_entry_vm(
    name: str, settings: str, folder: pathlib.Path, steps_clock: bool = False
) -> Process:
    """Start the process of an entry VM.

    Args:
        name: Name of the VM.
        settings: Text of its settings file.
        folder: Folder for the settings and the log.
        steps_clock: False to start it in the same way as the platform does; True to
            let ``clock_file`` set its time of day.
    """
    path = folder / f"{name}.ini"
    path.write_text(settings)
    arguments: tuple[str, ...] = ("-m", "eelgrasswick.platform")
    if steps_clock:
        offset_file = clock_file(name, folder)
        stepped_vm.write_offset(offset_file, 0.0)
        arguments = ("-m", "eelgrasswick.soak.stepped_vm", str(offset_file))
    return Process(name, arguments, folder, {names.SETTINGS_VARIABLE: str(path)})


def clock_file(name: str, folder: pathlib.Path) -> pathlib.Path:
    """Return the path of the file with the offset of a VM's time of day."""
    return folder / f"{name}.clock"
