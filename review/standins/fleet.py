"""Entry VMs as the deploy file starts them, and a small deployment around them."""

import asyncio
import collections
import contextlib
import json
import os
import pathlib
import re
import signal
import socket
import subprocess
import time
import tomllib
import typing

from standins import consumer, record, server, store

ROOT: typing.Final = pathlib.Path(__file__).resolve().parents[2]
DATA_PORT: typing.Final = 8172
READY_PORT: typing.Final = 8167
SEED_PORT: typing.Final = 8166
PEER_PORT: typing.Final = 7720
STORE_PORT: typing.Final = 8169
SERVER_PORT: typing.Final = 8080
RESERVATION_PORT: typing.Final = 8199
ROUTE: typing.Final = ("198.18.0.1", 8443)
SERVICE: typing.Final = "records"
ZONES: typing.Final = ("zone-a", "zone-b", "zone-c")
SERVERS_PER_ZONE: typing.Final = 4
CONSUMERS_PER_ZONE: typing.Final = 2
# A machine is in touch when nothing was done to it for this time.
CONTACT_S: typing.Final = 4.0
# The platform restarts a process that ended after this delay.
RESTART_DELAY_S: typing.Final = 0.5
GRACE_S: typing.Final = 6.0
START_TIMEOUT_S: typing.Final = 20.0

_Item = typing.TypeVar("_Item")


class VmProcess:
    """An entry VM, which the platform restarts when it ends.

    Attributes:
        addresses: Its name and addresses.
        own_ends: Exit codes of the ends that no one else caused.
        starts: Number of starts.
        touched_s: When it was started or got a signal.
    """

    def __init__(
        self,
        log: record.Record,
        addresses: consumer.Vm,
        settings: pathlib.Path,
        output: pathlib.Path,
    ) -> None:
        """Create a VM that does not run yet."""
        self.addresses = addresses
        self.own_ends: list[int] = []
        self.starts = 0
        self.touched_s: list[float] = []
        self._log = log
        self._settings = settings
        self._output = output
        self._process: subprocess.Popen[bytes] | None = None
        self._stop_requested = False

    @property
    def running(self) -> bool:
        """Whether the process runs."""
        return self._process is not None and self._process.poll() is None

    def in_touch(self, at_s: float) -> bool:
        """Return whether nothing was done to the VM for CONTACT_S before a time."""
        return not any(at_s - CONTACT_S < item <= at_s for item in self.touched_s)

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        environment = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        environment["EELGRASSWICK_CONFIG"] = str(self._settings)
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        self.starts += 1
        self.touched_s.append(self._log.elapsed_s())
        self._stop_requested = False
        with self._output.open("ab") as output:
            self._process = subprocess.Popen(
                deploy["roles"]["entry"]["run"].split(),
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )
        self._log.write("vm_started", vm=self.addresses.name, pid=self._process.pid)

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self._process is not None and self.running:
            if number in (signal.SIGTERM, signal.SIGKILL):
                self._stop_requested = True
            self._process.send_signal(number)
            self.touched_s.append(self._log.elapsed_s())
            self._log.write("signal", vm=self.addresses.name, signal=number.name)

    async def stop(self) -> None:
        """Send SIGTERM, then SIGKILL after the grace period."""
        self.signal(signal.SIGTERM)
        end_s = time.monotonic() + GRACE_S
        while self.running and time.monotonic() < end_s:
            await asyncio.sleep(0.02)
        self.signal(signal.SIGKILL)
        if self._process is not None:
            self._process.wait()

    async def supervise(self) -> None:
        """Restart the process after each of its own ends, forever."""
        while True:
            await asyncio.sleep(0.02)
            if self._process is None or self.running or self._stop_requested:
                continue
            code = self._process.returncode
            self.own_ends.append(code)
            self._log.write("vm_ended_by_itself", vm=self.addresses.name, code=code)
            await asyncio.sleep(RESTART_DELAY_S)
            if not self._stop_requested:
                self.start()

    def last_output(self, lines: int) -> list[str]:
        """Return the last lines that the process wrote."""
        return self._output.read_text(errors="replace").splitlines()[-lines:]


class Deployment:
    """A store, and VMs, servers and consumers in three zones, on loopback addresses."""

    def __init__(
        self, log: record.Record, folder: pathlib.Path, vms_per_zone: int
    ) -> None:
        """Create a deployment that does not run yet."""
        self._held = socket.socket()
        self._prefix = _reserve_prefix(self._held)
        self._folder = folder
        self._vms_per_zone = vms_per_zone
        self.log = log
        self.store = store.Store()
        self.vms = [
            self._vm(number, zone)
            for number, zone in enumerate(_repeat(ZONES, vms_per_zone))
        ]
        self.routers = [
            consumer.Router(log, [vm.addresses for vm in self.zone_vms(number)])
            for number in range(len(ZONES))
        ]
        self.consumers = [
            consumer.Consumer(log, router, self.host(4, number))
            for number, router in enumerate(_repeat(self.routers, CONSUMERS_PER_ZONE))
        ]
        self.servers = [
            server.Server(
                log,
                self.store,
                f"i-{number + 1:010x}",
                SERVICE,
                zone,
                self.host(3, number),
                SERVER_PORT,
                DATA_PORT,
            )
            for number, zone in enumerate(_repeat(ZONES, SERVERS_PER_ZONE))
        ]
        self._tasks: list[asyncio.Task[None]] = []

    def host(self, group: int, number: int) -> str:
        """Return a loopback address of this run."""
        return f"{self._prefix}.{group}.{number + 1}"

    def zone_vms(self, zone: int) -> list[VmProcess]:
        """Return the VMs of a zone, given by its number."""
        first = zone * self._vms_per_zone
        return self.vms[first : first + self._vms_per_zone]

    def _vm(self, number: int, zone: str) -> VmProcess:
        host = self.host(1, number)
        name = f"vm-{number + 1}"
        seeds = [self.host(1, item * self._vms_per_zone) for item in range(len(ZONES))]
        values = {
            "node_name": name,
            "zone": zone,
            "ip": host,
            "bind_addresses": {
                "datagram_address": f"{host}:{DATA_PORT}",
                "readiness_address": f"{host}:{READY_PORT}",
            },
            "internal_port_range": [PEER_PORT, PEER_PORT + 15],
            "seeds": [f"{seed}:{SEED_PORT}" for seed in seeds],
            "platform": {"address": f"{self.host(2, 0)}:{STORE_PORT}"},
            "bounds": {"grace_s": int(GRACE_S)},
        }
        settings = self._folder / f"{name}.ini"
        settings.write_text(render((ROOT / "deploy/entry.ini").read_text(), values))
        addresses = consumer.Vm(name, (host, DATA_PORT), (host, READY_PORT))
        return VmProcess(self.log, addresses, settings, self._folder / f"{name}.log")

    def put_config(self, version: int) -> None:
        """Let the operator write a configuration with one route."""
        host, port = ROUTE
        body = {
            "version": version,
            "routes": [
                {
                    "name": "r-records",
                    "host": host,
                    "prefix": f"/{port}/",
                    "type": "safe",
                    "timeout_ms": 2000,
                    "target_latency_ms": 200,
                    "priority": 1,
                    "service": SERVICE,
                    "max_attempts": 2,
                }
            ],
            "services": [
                {
                    "name": SERVICE,
                    "health_path": "/health",
                    "max_connections": 2000,
                    "protocol": "h1",
                    "tls": False,
                }
            ],
            "limits": {"idle_timeout_ms": 15000},
        }
        self.store.put("op/config", json.dumps(body).encode())
        self.log.write("config_confirmed", version=version)

    async def start(self) -> None:
        """Start everything, and wait until all VMs are in rotation.

        Raises:
            TimeoutError: A VM was not ready in time.
        """
        await self.store.listen(self.host(2, 0), STORE_PORT)
        self.put_config(1)
        for item in self.servers:
            await item.start()
        for vm in self.vms:
            vm.start()
            self._spawn(vm.supervise())
        for router in self.routers:
            self._spawn(router.probe())
        async with asyncio.timeout(START_TIMEOUT_S):
            while not all(router.complete for router in self.routers):
                await asyncio.sleep(0.1)

    async def start_load(
        self, per_s: float, pauses_s: typing.Sequence[float] = ()
    ) -> None:
        """Let each consumer open flows at a rate, with pauses between requests."""
        for item in self.consumers:
            await item.start(DATA_PORT)
            self._spawn(item.load(ROUTE, per_s, pauses_s))

    async def add_load(
        self, zone: int, per_s: float, pauses_s: typing.Sequence[float] = ()
    ) -> None:
        """Let each consumer of a zone open more flows."""
        first = zone * CONSUMERS_PER_ZONE
        for item in self.consumers[first : first + CONSUMERS_PER_ZONE]:
            self._spawn(item.load(ROUTE, per_s, pauses_s))

    def results(self, from_s: float, to_s: float) -> dict[str, int]:
        """Return how the requests ended that were sent in a span."""
        return dict(
            collections.Counter(
                outcome.result
                for item in self.consumers
                for outcome in item.outcomes
                if from_s <= outcome.sent_s < to_s
            )
        )

    async def close(self) -> None:
        """End all processes and tasks."""
        for vm in self.vms:
            vm.signal(signal.SIGCONT)
            vm.signal(signal.SIGKILL)
        for item in self._tasks:
            item.cancel()
        for vm in self.vms:
            await vm.stop()
        for part in (*self.consumers, *self.servers, self.store):
            part.close()
        self._held.close()

    def _spawn(self, work: typing.Coroutine[typing.Any, typing.Any, None]) -> None:
        self._tasks.append(asyncio.create_task(work))


def _repeat(items: typing.Sequence[_Item], count: int) -> list[_Item]:
    return [item for item in items for _ in range(count)]


def render(template: str, values: typing.Mapping[str, typing.Any]) -> str:
    """Fill in a settings template as the platform does."""

    def find(name: str) -> typing.Any:
        found: typing.Any = values
        for part in name.split("."):
            with contextlib.suppress(LookupError, ValueError, TypeError):
                found = found[int(part)] if isinstance(found, list) else found[part]
                continue
            return None
        return found

    def section(match: re.Match[str]) -> str:
        return match[2] if find(match[1]) else ""

    def value(match: re.Match[str]) -> str:
        found = find(match[1])
        if isinstance(found, list):
            return ",".join(map(str, found))
        return "" if found is None else str(found)

    text = re.sub(r"{{#([\w.]+)}}(.*?){{/\1}}", section, template, flags=re.DOTALL)
    return re.sub(r"{{([\w.]+)}}", value, text)


def _reserve_prefix(held: socket.socket) -> str:
    for block in range(30, 120):
        with contextlib.suppress(OSError):
            held.bind((f"127.{block}.0.1", RESERVATION_PORT))
            return f"127.{block}"
    raise OSError("no free block of loopback addresses")
