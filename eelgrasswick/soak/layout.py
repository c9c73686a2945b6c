"""Names, ports and loopback addresses of a run."""

import contextlib
import socket
import typing

from eelgrasswick import errors

ZONES: typing.Final = ("z1", "z2", "z3")
SERVICES: typing.Final = ("desk", "vault")
DATA_PORT: typing.Final = 20172
READY_PORT: typing.Final = 20167
PEER_PORT: typing.Final = 20170
METRICS_PORT: typing.Final = 20164
STORE_PORT: typing.Final = 20179
TARGET_PORT: typing.Final = 20180
# A run keeps this port bound for as long as it uses a block of addresses.
RESERVATION_PORT: typing.Final = 20160
SERVICE_IP: typing.Final = "198.18.0.1"
# Number of VMs that each VM has in its settings as seeds of the fleet.
SEED_VMS: typing.Final = 3
# Targets of this service are cold for this time after their start and accept this rate
# of new flows then. The default settings of the VMs add an allowance, so that a cold
# target may get five new flows in any second.
COLD_SERVICE: typing.Final = "desk"
COLD_START_S: typing.Final = 1.0
COLD_FLOWS_PER_S: typing.Final = 0.0
# Values of the second part of the addresses 127.BLOCK/16 of a run.
ADDRESS_BLOCKS: typing.Final = range(130, 230)


class Layout(typing.NamedTuple):
    """Addresses of one run, all in 127.BLOCK/16.

    Attributes:
        block: Second part of all addresses.
        vms: Number of entry VMs.
        targets: Number of targets.
        callers: Number of callers, each with its own address.
    """

    block: int
    vms: int
    targets: int
    callers: int

    @property
    def store_address(self) -> str:
        """Address of the store as ``ip:port``."""
        return f"127.{self.block}.0.3:{STORE_PORT}"

    def store_proxy_ip(self, number: int) -> str:
        """IP address of the proxy between a VM and the store."""
        return f"127.{self.block}.2.{number + 1}"

    def vm_ip(self, number: int) -> str:
        """IP address of an entry VM."""
        return f"127.{self.block}.1.{number + 1}"

    def target_ip(self, number: int) -> str:
        """IP address of a target."""
        return f"127.{self.block}.3.{number + 1}"

    def caller_ip(self, number: int) -> str:
        """IP address of a caller."""
        return f"127.{self.block}.4.{number + 1}"

    def vm_settings(self, number: int, peer_ips: typing.Sequence[str]) -> str:
        """Return the settings of an entry VM as the text of its INI file.

        Args:
            number: Number of the VM, from 0.
            peer_ips: IP addresses under which the VMs reach each other.
        """
        host = self.vm_ip(number)
        seeds = ", ".join(f"{seed}:1" for seed in peer_ips[:SEED_VMS])
        return (
            f"[vm]\nname = vm{number}\nzone = {ZONES[number % len(ZONES)]}\n"
            f"data = {host}:{DATA_PORT}\nready = {host}:{READY_PORT}\n"
            f"peer = {host}:{PEER_PORT}\nmetrics = {host}:{METRICS_PORT}\n"
            f"[fleet]\nseeds = {seeds}\n"
            f"[store]\naddress = {self.store_proxy_ip(number)}:{STORE_PORT}\n"
            "[log]\nlines_per_s = 200\n"
        )


@contextlib.contextmanager
def reserve_block() -> typing.Iterator[int]:
    """Reserve a block of loopback addresses that no other run uses.

    Yields:
        The number of the block.

    Raises:
        errors.SettingsInvalidError: All blocks are in use.
    """
    for block in ADDRESS_BLOCKS:
        with contextlib.closing(socket.socket()) as held:
            try:
                held.bind((f"127.{block}.0.1", RESERVATION_PORT))
            except OSError:
                continue
            yield block
            return
    raise errors.SettingsInvalidError("all blocks of loopback addresses are in use")
