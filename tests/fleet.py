"""Starts the stand-ins and a fleet of entry VMs as processes on loopback."""

import contextlib
import json
import pathlib
import signal
import socket
import subprocess
import sys
import time
import typing
import urllib.request

ZONES = ("z1", "z2", "z3")
RULES = """\
service desk 10.1.0.1:443 tcp shutdown=2099-12-31 wait_ms=300  # asked by Wanjiru
service vault 10.1.0.2:443 tcp shutdown=2099-12-31  # asked by Otieno
limit desk flows=12000  # asked by Wanjiru
"""
RESERVED_BLOCKS = range(100, 200)
RESERVED_PORT = 6079
DESK_WEIGHTS = (1, 1, 2, 2, 2, 4, 4)


class EntryVm(typing.NamedTuple):
    """One entry VM of the demo."""

    name: str
    zone: str
    ip: str


def rules_text(block: int = 0) -> str:
    """Return the rules of two services with ten targets in three zones."""
    lines = [RULES.rstrip()]
    for index, weight in enumerate(DESK_WEIGHTS):
        zone = ZONES[index % 3]
        lines.append(
            f"target d{index + 1} desk 127.{block}.10.{index + 1}:5555 zone={zone} "
            f"slots=2 weight={weight}  # asked by Wanjiru"
        )
    for index in range(3):
        lines.append(
            f"target v{index + 1} vault 127.{block}.11.{index + 1}:5555 "
            f"zone={ZONES[index]} slots=2  # asked by Otieno"
        )
    return "\n".join(lines) + "\n"


def entry_vms(count: int, block: int = 0) -> list[EntryVm]:
    """Return entry VMs spread over the zones."""
    return [
        EntryVm(f"vm{index + 1}", ZONES[index % 3], f"127.{block}.1.{index + 1}")
        for index in range(count)
    ]


@contextlib.contextmanager
def reserved_block() -> typing.Iterator[int]:
    """Reserve a block of addresses that no other run on this machine uses.

    Two checkouts can be tested at the same time. On the same addresses each
    run would meet the other's platform and VMs.
    """
    for block in RESERVED_BLOCKS:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as held:
            try:
                held.bind((f"127.{block}.0.1", RESERVED_PORT))
            except OSError:
                continue
            yield block
            return
    raise RuntimeError("all blocks of addresses are in use")


class Fleet:
    """The processes of one run, in one folder."""

    def __init__(self, folder: pathlib.Path, count: int, block: int = 0) -> None:
        """Prepare a run with ``count`` entry VMs on addresses in 127.BLOCK/16.

        Runs at the same time need blocks of their own.
        """
        self.folder = folder
        self.block = block
        self.platform_address = f"127.{block}.0.3:23790"
        self.platform_url = f"http://{self.platform_address}"
        self.fabric_inside = f"127.{block}.0.2:6080"
        self.fabric_outside = f"127.{block}.0.2:6090"
        self.entry_vms = entry_vms(count, block)
        self.rules_path = folder / "rules.txt"
        self.rules_path.write_text(rules_text(block))
        self.tls: dict[str, str] = {}
        self.processes: dict[str, subprocess.Popen[bytes]] = {}

    def start_command(self, name: str, *arguments: str) -> subprocess.Popen[bytes]:
        """Start a command of the product under a name."""
        output = (self.folder / f"{name}.log").open("ab")
        process = subprocess.Popen(
            [sys.executable, "-m", "eelgrasswick", *arguments],
            stdout=output,
            stderr=subprocess.STDOUT,
        )
        self.processes[name] = process
        return process

    def run_command(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        """Run a command of the product to its end."""
        return subprocess.run(
            [sys.executable, "-m", "eelgrasswick", *arguments],
            capture_output=True,
            text=True,
            timeout=30,
            check=False,
        )

    def start_vm(self, node: EntryVm) -> None:
        """Start an entry VM and list it at the platform."""
        settings = self.folder / f"{node.name}.ini"
        settings.write_text(self.settings_text(node))
        self.start_command(node.name, "entry", str(settings))
        self.list_vm(node, "live")

    def settings_text(self, node: EntryVm) -> str:
        """Return the settings file of an entry VM."""
        seeds = ", ".join(f"{item.ip}:6081" for item in self.entry_vms[:3])
        return (
            f"[vm]\nname = {node.name}\nzone = {node.zone}\nip = {node.ip}\n"
            f"[fabric]\negress = {self.fabric_inside}\n"
            f"[fleet]\nnetworks = 127.{self.block}.1.0/24\nseeds = {seeds}\n"
            f"[platform]\nurl = {self.platform_url}\ntimeout_ms = 1000\n"
            "[log]\nmetrics_interval_s = 2\n" + self.tls.get(node.name, "")
        )

    def list_vm(self, node: EntryVm, state: str) -> None:
        """Change the platform's list of VMs."""
        value = {
            "zone": node.zone,
            "ip": node.ip,
            "data_port": 6080,
            "peer_port": 6081,
            "link_port": 6082,
            "state": state,
        }
        self.set_emulator({"put": {f"vms/{node.name}": value}})

    def set_emulator(self, body: dict[str, typing.Any]) -> None:
        """Throw a switch of the platform's stand-in."""
        request = urllib.request.Request(
            f"{self.platform_url}/emulator", json.dumps(body).encode(), method="POST"
        )
        urllib.request.urlopen(request, timeout=5).read()

    def await_platform(self) -> None:
        """Wait until the platform's stand-in answers."""
        for _ in range(100):
            try:
                urllib.request.urlopen(self.platform_url, timeout=1).read()
            except OSError:
                time.sleep(0.1)
            else:
                return
        raise TimeoutError("platform did not start")

    def send_signal(self, name: str, how: signal.Signals = signal.SIGTERM) -> None:
        """Send a signal to one process."""
        self.processes[name].send_signal(how)

    def stop_all(self) -> None:
        """End all processes that still run."""
        for process in self.processes.values():
            if process.poll() is None:
                process.terminate()
        for process in self.processes.values():
            try:
                process.wait(10)
            except subprocess.TimeoutExpired:
                process.kill()

    def log_lines(self, name: str, event: str) -> list[str]:
        """Return the log lines of one VM about one sort of event."""
        text = (self.folder / f"{name}.log").read_text()
        return [line for line in text.splitlines() if f"event={event} " in line]


def log_field(line: str, key: str) -> str:
    """Return the value of a key in a log line."""
    for part in line.split():
        if part.startswith(f"{key}="):
            return part.removeprefix(f"{key}=")
    return ""
