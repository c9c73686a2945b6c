"""Starts a small deployment on loopback: entry VMs, store, servers, consumers."""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import tempfile
import time
import typing

from review.standins2 import consumer, record, server, store

ROOT: typing.Final = pathlib.Path(__file__).resolve().parents[2]
ZONES: typing.Final = ("a", "a", "a", "b", "b", "c", "c")
DATA_PORT: typing.Final = 8172
READY_PORT: typing.Final = 8167
CONTROL_PORT: typing.Final = 8166
PEER_PORT: typing.Final = 7720
METRICS_PORT: typing.Final = 9464
STORE_PORT: typing.Final = 8169
SERVER_PORT: typing.Final = 5555
# Each consumer has 5,000 source ports above this one.
FIRST_PORT: typing.Final = 30_000
GRACE_S: typing.Final = 6


class CouldNotRunError(Exception):
    """The deployment did not start."""


class Fleet:
    """One deployment; all addresses are in 127.BLOCK/16."""

    def __init__(
        self, log: record.Record, folder: pathlib.Path, zones: typing.Sequence[str]
    ) -> None:
        """Choose addresses that nobody else uses."""
        self.log = log
        self.folder = folder
        self.zones = list(zones)
        self.store = store.Store()
        self.servers: list[server.Server] = []
        self.routers: dict[str, consumer.Router] = {}
        self.consumers: dict[str, consumer.Consumer] = {}
        self.vms: dict[str, subprocess.Popen[bytes]] = {}
        self.routes: dict[int, str] = {443: "desk"}
        self.version = 0
        self._held, self.block = _reserve_block()
        self._tasks: list[asyncio.Task[None]] = []

    def vm_host(self, number: int) -> str:
        """IP address of a VM."""
        return f"127.{self.block}.1.{number + 1}"

    @property
    def service_ip(self) -> str:
        """IP address of all routes."""
        return f"127.{self.block}.9.1"

    async def start(self, servers_by_zone: typing.Mapping[str, int]) -> None:
        """Start everything, and wait until all VMs are ready and have settled."""
        await self.store.start(f"127.{self.block}.2.1", STORE_PORT)
        self.write_config()
        for zone, count in servers_by_zone.items():
            for _ in range(count):
                await self.add_server("desk", zone)
        for number in range(len(self.zones)):
            self.start_vm(number)
        for index, zone in enumerate(dict.fromkeys(self.zones)):
            hosts = [self.vm_host(i) for i, z in enumerate(self.zones) if z == zone]
            router = self.routers[zone] = consumer.Router(hosts, READY_PORT)
            self._tasks.append(asyncio.create_task(router.run()))
            host = f"127.{self.block}.4.{index + 1}"
            self.consumers[zone] = consumer.Consumer(
                host, DATA_PORT, router, self.log, FIRST_PORT + 5000 * index
            )
            await self.consumers[zone].start()
        self._tasks.append(asyncio.create_task(self._expire()))
        end_s = time.monotonic() + 20
        while not all(item.all_ready for item in self.routers.values()):
            if time.monotonic() > end_s:
                raise CouldNotRunError("the VMs are not ready")
            await asyncio.sleep(0.1)
        # Machines are in touch once they have run undisturbed for 4 s.
        await asyncio.sleep(5)

    async def add_server(self, service: str, zone: str) -> server.Server:
        """Start a server at an address of its own."""
        number = len(self.servers) + 1
        added = server.Server(
            f"srv-{random.randrange(16**9, 16**10):010x}",
            service,
            zone,
            (f"127.{self.block}.3.{number}", SERVER_PORT),
            DATA_PORT,
            self.store,
            self.log,
        )
        await added.start()
        self.servers.append(added)
        return added

    def write_config(self) -> int:
        """Write the config; return its revision, which confirms it."""
        self.version += 3
        routes = [
            {
                "name": f"r{port}",
                "host": self.service_ip,
                "prefix": f"/{port}/",
                "service": service,
                "type": "unsafe",
                "timeout_ms": 2500,
                "target_latency_ms": 250,
                "max_attempts": 1,
                "priority": 1,
            }
            for port, service in self.routes.items()
        ]
        services = [
            {"name": name, "health_path": "/health", "max_connections": 2000}
            for name in dict.fromkeys(self.routes.values())
        ]
        body = {
            "version": self.version,
            "routes": routes,
            "services": services,
            "limits": {"idle_timeout_ms": 15_000},
        }
        self.log.write("config", version=self.version, routes=len(routes))
        return self.store.put("op/config", json.dumps(body).encode())

    def start_vm(self, number: int) -> None:
        """Start an entry VM with the command of the deploy file."""
        host = self.vm_host(number)
        seeds = ",".join(f"{self.vm_host(item)}:{CONTROL_PORT}" for item in (0, 3, 5))
        path = self.folder / f"vm-{number}.ini"
        path.write_text(
            f"[vm]\nname = vm-{number}\nzone = {self.zones[number]}\n"
            f"data = {host}:{DATA_PORT}\nready = {host}:{READY_PORT}\n"
            f"peer = {host}:{PEER_PORT}\nmetrics = {host}:{METRICS_PORT}\n"
            f"[fleet]\nseeds = {seeds}\n"
            f"[store]\naddress = 127.{self.block}.2.1:{STORE_PORT}\n"
            f"[stop]\ngrace_s = {GRACE_S}\n[cold]\n[policy]\nreserve = no\n"
        )
        environment = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        environment["PYTHONPATH"] = "target/deps"
        environment["EELGRASSWICK_CONFIG"] = str(path)
        with (self.folder / f"vm-{number}.log").open("ab") as log:
            self.vms[host] = subprocess.Popen(
                ["python3", "-S", "-m", "eelgrasswick.platform"],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.log.write("vm_starts", vm=host, zone=self.zones[number])

    def signal_vm(self, host: str, number: signal.Signals) -> None:
        """Send a signal to a VM."""
        self.log.write("signal", vm=host, signal=number.name)
        self.vms[host].send_signal(number)

    async def restart_vm(self, number: int) -> None:
        """Stop a VM as the platform does, and start it again."""
        host = self.vm_host(number)
        self.signal_vm(host, signal.SIGTERM)
        end_s = time.monotonic() + GRACE_S
        while self.vms[host].poll() is None and time.monotonic() < end_s:
            await asyncio.sleep(0.05)
        if self.vms[host].poll() is None:
            self.signal_vm(host, signal.SIGKILL)
            self.vms[host].wait()
        self.start_vm(number)

    def vm_log(self, event: str) -> list[str]:
        """Return the log lines of all VMs with an event."""
        found = []
        for path in sorted(self.folder.glob("vm-*.log")):
            for line in path.read_text(errors="replace").splitlines():
                if f" event={event} " in line:
                    found.append(line)
        return found

    async def _expire(self) -> None:
        while True:
            self.store.expire()
            await asyncio.sleep(0.2)

    def close(self) -> None:
        """End all that was started."""
        for process in self.vms.values():
            if process.poll() is None:
                process.kill()
            process.wait()
        for task in self._tasks:
            task.cancel()
        for item in (*self.servers, *self.consumers.values(), self.store):
            item.close()
        self._held.close()


def _reserve_block() -> tuple[socket.socket, int]:
    for block in random.sample(range(20, 100), 80):
        held = socket.socket()
        try:
            held.bind((f"127.{block}.0.1", CONTROL_PORT))
        except OSError:
            held.close()
            continue
        return held, block
    raise CouldNotRunError("no free block of loopback addresses")


Case = typing.Callable[[Fleet, bool], typing.Awaitable[bool]]


def run_case(
    case: Case,
    folder: pathlib.Path,
    servers_by_zone: typing.Mapping[str, int],
    zones: typing.Sequence[str] = ZONES,
) -> int:
    """Run a case; return 1 if the rule was broken, 0 if it held, 2 otherwise."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    log = record.Record(folder / "record.txt")

    async def play() -> int:
        with tempfile.TemporaryDirectory() as temporary:
            fleet = Fleet(log, pathlib.Path(temporary), zones)
            try:
                async with asyncio.timeout(110):
                    await fleet.start(servers_by_zone)
                    return 1 if await case(fleet, trouble) else 0
            finally:
                keep = os.environ.get("KEEP_LOGS")
                if keep:
                    for path in pathlib.Path(temporary).glob("vm-*.log"):
                        pathlib.Path(keep, path.name).write_bytes(path.read_bytes())
                fleet.close()

    with contextlib.closing(log):
        try:
            verdict = asyncio.run(play())
        except (CouldNotRunError, OSError, TimeoutError) as error:
            log.write("could_not_run", error=repr(error))
            verdict = 2
        log.write("verdict", exit=verdict, trouble=int(trouble))
    return verdict
