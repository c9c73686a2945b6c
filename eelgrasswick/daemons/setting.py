"""Settings of an entry VM, read from an INI file and checked at start."""

import ipaddress
import pathlib
import re
import typing

from eelgrasswick import (
    ini,
    packet,
)


class VmSettings(typing.NamedTuple):
    """Section ``vm``: name, zone, addresses and relative strength of this VM."""

    name: str
    zone: str
    ip: str
    data_port: int
    peer_port: int
    link_port: int
    size: int


class FleetSettings(typing.NamedTuple):
    """Section ``fleet``: trusted networks, and addresses of some peers."""

    networks: tuple[ipaddress.IPv4Network, ...]
    seeds: tuple[packet.Address, ...]


class PlatformSettings(typing.NamedTuple):
    """Section ``platform``: URL of the store and time-out of its calls."""

    url: str
    timeout_ms: int


class LogSettings(typing.NamedTuple):
    """Section ``log``: limit on log lines, and the interval of metrics."""

    dropped_per_s: int
    metrics_interval_s: int


class TlsSettings(typing.NamedTuple):
    """Section ``tls``: paths of the PEM files for links; empty for plain TCP."""

    certificate: str
    key: str
    authority: str


class Settings(typing.NamedTuple):
    """All settings of one entry VM."""

    vm: VmSettings
    fabric: packet.Address
    fleet: FleetSettings
    platform: PlatformSettings
    tls: TlsSettings
    log: LogSettings


def _networks(text: str) -> tuple[ipaddress.IPv4Network, ...]:
    return tuple(ipaddress.IPv4Network(item) for item in ini.items(text))


def _addresses(text: str) -> tuple[packet.Address, ...]:
    return tuple(packet.address(item) for item in ini.items(text))


def url(text: str) -> str:
    """Return the base URL of the store, without a slash at its end.

    Raises:
        ValueError: The text is not an HTTP URL without a path.
    """
    if not re.fullmatch(r"https?://[^\s/]+(:\d+)?/?", text):
        raise ValueError("write it like http://10.0.0.1:2379")
    return text.rstrip("/")


_PORT: typing.Final = ini.integer(1, 65535)

ENTRIES: typing.Final[tuple[ini.Entry, ...]] = (
    ini.Entry("vm", "name", "unique name of this VM", ini.name, None),
    ini.Entry("vm", "zone", "its availability zone", ini.name, None),
    ini.Entry("vm", "ip", "IPv4 address it listens on", ini.ip, None),
    ini.Entry("vm", "data_port", "UDP port for foo-over-UDP packets", _PORT, "6080"),
    ini.Entry("vm", "peer_port", "UDP port for other VMs", _PORT, "6081"),
    ini.Entry("vm", "link_port", "TCP port for other VMs", _PORT, "6082"),
    ini.Entry("vm", "size", "relative strength of this VM", ini.integer(1, 1000), "1"),
    ini.Entry(
        "fabric", "egress", "a.b.c.d:port for packets to callers", packet.address, None
    ),
    ini.Entry("fleet", "networks", "networks that VMs speak from", _networks, None),
    ini.Entry("fleet", "seeds", "peer addresses of some VMs", _addresses, ""),
    ini.Entry("platform", "url", "base URL of the store", url, None),
    ini.Entry(
        "platform",
        "timeout_ms",
        "wait for one call, ms",
        ini.integer(50, 60_000),
        "2000",
    ),
    ini.Entry("tls", "certificate", "PEM file that names this VM", str, ""),
    ini.Entry("tls", "key", "PEM file of its private key", str, ""),
    ini.Entry("tls", "authority", "PEM file of who signs all VMs", str, ""),
    ini.Entry(
        "log",
        "dropped_per_s",
        "log lines of one sort per s",
        ini.integer(1, 1000),
        "10",
    ),
    ini.Entry(
        "log",
        "metrics_interval_s",
        "seconds between metrics",
        ini.integer(1, 3600),
        "10",
    ),
)


def load(path: pathlib.Path) -> Settings:
    """Read and check a settings file.

    Args:
        path: The INI file.

    Returns:
        The settings.

    Raises:
        errors.SettingsInvalidError: The detail lists every fault, one per line.
    """
    return read(ini.text(path))


def read(text: str) -> Settings:
    """Parse and check the text of a settings file.

    Args:
        text: Content of the INI file.

    Returns:
        The settings.

    Raises:
        errors.SettingsInvalidError: The detail lists every fault, one per line.
    """
    values = ini.read(text, ENTRIES)
    return Settings(
        VmSettings(**values["vm"]),
        values["fabric"]["egress"],
        FleetSettings(**values["fleet"]),
        PlatformSettings(**values["platform"]),
        TlsSettings(**values["tls"]),
        LogSettings(**values["log"]),
    )
