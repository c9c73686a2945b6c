"""The processes of a run: started, signalled by id, and ended, no others."""

import json
import os
import pathlib
import signal
import subprocess
import sys
import time
import typing

from eelgrasswick.platform import names

END_S: typing.Final = 8.0


class Process:
    """One program, its log, and how it is started again."""

    def __init__(
        self,
        name: str,
        arguments: typing.Sequence[str],
        folder: pathlib.Path,
        environment: typing.Mapping[str, str] | None = None,
    ) -> None:
        """Start a Python module with arguments; its log goes to a folder."""
        self.name = name
        self.starts = 0
        self._arguments = (sys.executable, *arguments)
        self._log = folder / f"{name}.log"
        self._environment = {**os.environ, **(environment or {})}
        self._running: subprocess.Popen[bytes] | None = None
        self.start()

    @property
    def alive(self) -> bool:
        """True while the process runs, paused or not."""
        return self._running is not None and self._running.poll() is None

    @property
    def exit_code(self) -> int | None:
        """How it ended; None while it runs."""
        return self._running.poll() if self._running is not None else None

    def start(self) -> None:
        """Start it if it does not run."""
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
        """Send it a signal if it runs."""
        if self.alive and self._running is not None:
            self._running.send_signal(number)

    def end(self) -> None:
        """End it for good."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGTERM)
        limit_s = time.monotonic() + END_S
        while self.alive and time.monotonic() < limit_s:
            time.sleep(0.02)
        self.signal(signal.SIGKILL)
        if self._running is not None:
            self._running.wait()


def target(settings: typing.Mapping[str, typing.Any], folder: pathlib.Path) -> Process:
    """Start a target's process."""
    arguments = ("-m", "eelgrasswick.soak.target", json.dumps(settings))
    return Process(settings["name"], arguments, folder)


def store(address: str, folder: pathlib.Path) -> Process:
    """Start the store's process."""
    return Process("store", ("-m", "eelgrasswick.soak.store", address), folder)


def entry_vm(name: str, ini: str, folder: pathlib.Path) -> Process:
    """Start the process of an entry VM as the platform starts it."""
    path = folder / f"{name}.ini"
    path.write_text(ini)
    arguments = ("-m", "eelgrasswick.platform")
    return Process(name, arguments, folder, {names.SETTINGS_VARIABLE: str(path)})
