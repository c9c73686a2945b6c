"""Starts the VMs of a case as the deploy file does, and probes their readiness."""

import asyncio
import contextlib
import os
import pathlib
import signal
import socket
import subprocess
import time
import typing

from review.standins3 import wire

REPOSITORY: typing.Final = pathlib.Path(__file__).resolve().parents[2]
PROBE_S: typing.Final = 0.5
MISSES: typing.Final = 2
RESTART_DELAY_S: typing.Final = 0.3
GRACE_S: typing.Final = 6.0


def free_block() -> int:
    """Return the second part of loopback addresses that no other run uses."""
    for block in range(60, 120):
        with contextlib.closing(socket.socket()) as held:
            try:
                held.bind((f"127.{block}.1.1", wire.READY_PORT))
            except OSError:
                continue
            return block
    raise OSError("no free block of loopback addresses")


class Vm:
    """One entry VM: its settings, its process and its place in the rotation."""

    def __init__(self, folder: pathlib.Path, name: str, zone: str, host: str) -> None:
        """Create a VM that is not started yet."""
        self.name = name
        self.zone = zone
        self.host = host
        self.misses = MISSES
        self.settings = folder / f"{name}.ini"
        self._log = folder / f"{name}.log"
        self._process: subprocess.Popen[bytes] | None = None

    def write_settings(self, seeds: str, store: str, extra: str = "") -> None:
        """Write the settings file as the template of the deploy file gives it."""
        self.settings.write_text(
            f"[vm]\nname = {self.name}\nzone = {self.zone}\n"
            f"data = {self.host}:{wire.DATA_PORT}\n"
            f"ready = {self.host}:{wire.READY_PORT}\n"
            f"peer = {self.host}:{wire.PEER_PORT}\n"
            f"metrics = {self.host}:{wire.METRICS_PORT}\n\n"
            f"[fleet]\nseeds = {seeds}\n\n[store]\naddress = {store}\n\n"
            f"[stop]\ngrace_s = {GRACE_S:g}\n\n[cold]\n{extra}\n"
            "[policy]\nreserve = no\n"
        )

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", ""),
            "PYTHONPATH": "target/deps",
            "EELGRASSWICK_CONFIG": str(self.settings),
        }
        with self._log.open("ab") as log:
            self._process = subprocess.Popen(
                ["python3", "-S", "-m", "eelgrasswick.platform"],
                cwd=REPOSITORY,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    @property
    def alive(self) -> bool:
        """True while the process runs."""
        return self._process is not None and self._process.poll() is None

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it runs."""
        if self.alive and self._process is not None:
            self._process.send_signal(number)

    def kill(self) -> None:
        """End the process at once."""
        self.signal(signal.SIGKILL)
        if self._process is not None:
            self._process.wait()

    async def restart(self) -> None:
        """Stop the process as planned work does, and start it again."""
        self.signal(signal.SIGTERM)
        end_s = time.monotonic() + GRACE_S
        while self.alive and time.monotonic() < end_s:
            await asyncio.sleep(0.02)
        self.kill()
        await asyncio.sleep(RESTART_DELAY_S)
        self.start()

    async def probe(self) -> None:
        """Probe the readiness once, and count a miss."""
        try:
            async with asyncio.timeout(0.4):
                reader, writer = await asyncio.open_connection(
                    self.host, wire.READY_PORT
                )
                writer.write(b"GET /api/readyz HTTP/1.1\r\nHost: vm\r\n\r\n")
                line = await reader.readline()
                writer.close()
            ready = b" 200 " in line
        except (OSError, TimeoutError):
            ready = False
        self.misses = 0 if ready else self.misses + 1

    @property
    def in_rotation(self) -> bool:
        """True unless two probes in a row missed."""
        return self.misses < MISSES


class Fleet:
    """The VMs of a case and the routers' view of them."""

    def __init__(
        self, vms: typing.Sequence[Vm], on_rotation: typing.Callable[[], None]
    ) -> None:
        """Create a fleet; the callback is called when a rotation changes."""
        self.vms = vms
        self.changes = 0
        self._on_rotation = on_rotation
        self._last: dict[str, list[str]] = {}

    def rotation(self, zone: str) -> list[str]:
        """Return the VMs to which the routers of a zone send packets."""
        own = [vm for vm in self.vms if vm.zone == zone]
        ready = [vm.host for vm in own if vm.in_rotation]
        return ready if 2 * len(ready) >= len(own) else [vm.host for vm in own]

    async def probe_forever(self) -> None:
        """Probe each VM twice a second, the VMs one after the other."""
        await asyncio.gather(
            *(self._probe_vm(vm, i / len(self.vms)) for i, vm in enumerate(self.vms))
        )

    async def _probe_vm(self, vm: Vm, phase: float) -> None:
        next_s = time.monotonic() + phase * PROBE_S
        while True:
            await asyncio.sleep(max(0.0, next_s - time.monotonic()))
            next_s += PROBE_S
            await vm.probe()
            now = {item.zone: self.rotation(item.zone) for item in self.vms}
            if now != self._last:
                self.changes += 1
                self._last = now
                self._on_rotation()

    async def wait_ready(self, limit_s: float) -> None:
        """Wait until all VMs are in rotation.

        Raises:
            TimeoutError: They were not ready in time.
        """
        end_s = time.monotonic() + limit_s
        while not all(vm.misses == 0 for vm in self.vms):
            if time.monotonic() > end_s:
                raise TimeoutError("the VMs were not ready in time")
            await asyncio.sleep(0.1)
