"""A fleet of entry VMs and the stand-ins, as processes on loopback."""

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
SERVICE_RULES = """\
service desk 10.1.0.1:443 tcp shutdown=2099-12-31 wait_ms=300  # asked by Wanjiru
service vault 10.1.0.2:443 tcp shutdown=2099-12-31  # asked by Otieno
limit desk flows=12000  # asked by Wanjiru
"""
# Second bytes of the loopback addresses that test runs can reserve.
RESERVED_BLOCKS = range(100, 200)
# A run holds a block while it has this UDP port bound.
RESERVED_PORT = 6079
# Weights of the targets of the service desk, d1 to d7.
DESK_WEIGHTS = (1, 1, 2, 2, 2, 4, 4)


class EntryVm(typing.NamedTuple):
    """Name, zone and address of an entry VM."""

    name: str
    zone: str
    ip: str


def rules_text(block: int = 0) -> str:
    """Return the rules of two services with ten targets in three zones.

    Args:
        block: Second byte of the addresses of the targets, 127.BLOCK.x.x.
    """
    lines = [SERVICE_RULES.rstrip()]
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
    """Return entry VMs in 127.BLOCK/16 that are assigned to the zones in turn."""
    return [
        EntryVm(f"vm{index + 1}", ZONES[index % 3], f"127.{block}.1.{index + 1}")
        for index in range(count)
    ]


@contextlib.contextmanager
def reserved_block() -> typing.Iterator[int]:
    """Reserve a block of addresses that no other run on this machine uses.

    Two checkouts can be tested at the same time. With the same addresses, each
    run would reach the platform and the VMs of the other one. A bound UDP
    socket marks a block as in use.

    Yields:
        The number of the block; its addresses are 127.BLOCK.x.x.

    Raises:
        RuntimeError: All blocks are in use.
    """
    for block in RESERVED_BLOCKS:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as reservation:
            try:
                reservation.bind((f"127.{block}.0.1", RESERVED_PORT))
            except OSError:
                continue
            yield block
            return
    raise RuntimeError("all address blocks in RESERVED_BLOCKS are in use")


class Fleet:
    """The processes of one run, with their settings and logs in one folder.

    Attributes:
        folder: Folder of the settings, rules, reports and logs.
        block: Second byte of all addresses of the run.
        platform_address: Address and port of the platform's stand-in.
        platform_url: URL of the platform's stand-in.
        fabric_inside: Address and port of the fabric's stand-in for VMs.
        fabric_outside: Address and port of the fabric's stand-in for callers.
        entry_vms: Entry VMs of the run, whether started or not.
        rules_path: File of the rules.
        tls: The ``[tls]`` section of the settings by the name of the VM.
        processes: Started processes by name.
    """

    def __init__(self, folder: pathlib.Path, count: int, block: int = 0) -> None:
        """Prepare a run with ``count`` entry VMs on addresses in 127.BLOCK/16.

        Each of several simultaneous runs needs a block of its own.
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
        """Start a command of eelgrasswick as a process with a name.

        The output goes to the file ``NAME.log`` in the folder of the run.
        """
        output = (self.folder / f"{name}.log").open("ab")
        process = subprocess.Popen(
            [sys.executable, "-m", "eelgrasswick", *arguments],
            stdout=output,
            stderr=subprocess.STDOUT,
        )
        self.processes[name] = process
        return process

    def run_command(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        """Run a command of eelgrasswick to its end, for at most 30 s."""
        return subprocess.run(
            [sys.executable, "-m", "eelgrasswick", *arguments],
            capture_output=True,
            text=True,
            timeout=30,
            check=False,
        )

    def start_vm(self, vm: EntryVm) -> None:
        """Write the settings of an entry VM, start it and list it."""
        settings = self.folder / f"{vm.name}.ini"
        settings.write_text(self.settings_text(vm))
        self.start_command(vm.name, "entry", str(settings))
        self.list_vm(vm, "live")

    def settings_text(self, vm: EntryVm) -> str:
        """Return the text of the settings file of an entry VM."""
        seeds = ", ".join(f"{item.ip}:6081" for item in self.entry_vms[:3])
        return (
            f"[vm]\nname = {vm.name}\nzone = {vm.zone}\nip = {vm.ip}\n"
            f"[fabric]\negress = {self.fabric_inside}\n"
            f"[fleet]\nnetworks = 127.{self.block}.1.0/24\nseeds = {seeds}\n"
            f"[platform]\nurl = {self.platform_url}\ntimeout_ms = 1000\n"
            "[log]\nmetrics_interval_s = 2\n" + self.tls.get(vm.name, "")
        )

    def list_vm(self, vm: EntryVm, state: str) -> None:
        """Set the state of a VM in the platform's list of VMs."""
        value = {
            "zone": vm.zone,
            "ip": vm.ip,
            "data_port": 6080,
            "peer_port": 6081,
            "link_port": 6082,
            "state": state,
        }
        self.set_emulator({"put": {f"vms/{vm.name}": value}})

    def set_emulator(self, body: dict[str, typing.Any]) -> None:
        """Post a change of rows or faults to the platform's stand-in."""
        request = urllib.request.Request(
            f"{self.platform_url}/emulator", json.dumps(body).encode(), method="POST"
        )
        urllib.request.urlopen(request, timeout=5).read()

    def await_platform(self) -> None:
        """Wait until the platform's stand-in accepts requests.

        Raises:
            TimeoutError: The stand-in refuses 100 requests, 0.1 s apart.
        """
        for _ in range(100):
            try:
                urllib.request.urlopen(self.platform_url, timeout=1).read()
            except OSError:
                time.sleep(0.1)
            else:
                return
        raise TimeoutError("platform stand-in did not accept 100 requests")

    def send_signal(
        self, name: str, signal_number: signal.Signals = signal.SIGTERM
    ) -> None:
        """Send a signal to the process with a name."""
        self.processes[name].send_signal(signal_number)

    def stop_all(self) -> None:
        """Terminate all running processes; kill those that need over 10 s."""
        for process in self.processes.values():
            if process.poll() is None:
                process.terminate()
        for process in self.processes.values():
            try:
                process.wait(10)
            except subprocess.TimeoutExpired:
                process.kill()

    def log_lines(self, name: str, event: str) -> list[str]:
        """Return the log lines of a process that report one kind of event."""
        text = (self.folder / f"{name}.log").read_text()
        return [line for line in text.splitlines() if f"event={event} " in line]


def log_field(line: str, key: str) -> str:
    """Return the value of a key in a log line, or an empty text."""
    for part in line.split():
        if part.startswith(f"{key}="):
            return part.removeprefix(f"{key}=")
    return ""
