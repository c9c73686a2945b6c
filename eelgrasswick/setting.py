"""Settings of an entry VM: an INI file, checked whole at start."""

import configparser
import ipaddress
import pathlib
import re
import typing

from eelgrasswick import errors, packet


class VmSettings(typing.NamedTuple):
    """Section ``vm``: who this VM is and where it listens."""

    name: str
    zone: str
    ip: str
    data_port: int
    peer_port: int
    link_port: int
    size: int


class FleetSettings(typing.NamedTuple):
    """Section ``fleet``: where other VMs are and which addresses are trusted."""

    networks: tuple[ipaddress.IPv4Network, ...]
    seeds: tuple[packet.Address, ...]


class PlatformSettings(typing.NamedTuple):
    """Section ``platform``: the store and how long to wait for it."""

    url: str
    timeout_ms: int


class LogSettings(typing.NamedTuple):
    """Section ``log``: bounds on what is written."""

    dropped_per_s: int
    metrics_interval_s: int


class TlsSettings(typing.NamedTuple):
    """Section ``tls``: PEM files for the links; all empty for plain TCP."""

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


class Entry(typing.NamedTuple):
    """One key that a settings file may hold.

    Attributes:
        section: INI section.
        key: INI key.
        meaning: What it is, with its unit.
        read: Turns the text into a value; raises ValueError.
        default: Text used when the key is absent; None when it is required.
    """

    section: str
    key: str
    meaning: str
    read: typing.Callable[[str], typing.Any]
    default: str | None


_NAME: typing.Final = re.compile(r"[a-z0-9][a-z0-9._-]{0,62}")


def _name(text: str) -> str:
    if not _NAME.fullmatch(text):
        raise ValueError("use a-z, 0-9, dot, dash and underscore, at most 63")
    return text


def _ip(text: str) -> str:
    return str(ipaddress.IPv4Address(text))


def _integer(low: int, high: int) -> typing.Callable[[str], int]:
    def read(text: str) -> int:
        value = int(text)
        if not low <= value <= high:
            raise ValueError(f"must be from {low} to {high}")
        return value

    return read


def _networks(text: str) -> tuple[ipaddress.IPv4Network, ...]:
    return tuple(ipaddress.IPv4Network(item) for item in _items(text))


def _addresses(text: str) -> tuple[packet.Address, ...]:
    return tuple(packet.address(item) for item in _items(text))


def _items(text: str) -> list[str]:
    return [item.strip() for item in text.split(",") if item.strip()]


def _url(text: str) -> str:
    if not re.fullmatch(r"https?://[^\s/]+(:\d+)?/?", text):
        raise ValueError("write it like http://10.0.0.1:2379")
    return text.rstrip("/")


_PORT: typing.Final = _integer(1, 65535)

ENTRIES: typing.Final[tuple[Entry, ...]] = (
    Entry("vm", "name", "unique name of this VM", _name, None),
    Entry("vm", "zone", "its availability zone", _name, None),
    Entry("vm", "ip", "IPv4 address it listens on", _ip, None),
    Entry("vm", "data_port", "UDP port for foo-over-UDP packets", _PORT, "6080"),
    Entry("vm", "peer_port", "UDP port for other VMs", _PORT, "6081"),
    Entry("vm", "link_port", "TCP port for other VMs", _PORT, "6082"),
    Entry("vm", "size", "relative strength of this VM", _integer(1, 1000), "1"),
    Entry(
        "fabric", "egress", "a.b.c.d:port for packets to callers", packet.address, None
    ),
    Entry("fleet", "networks", "networks that VMs speak from", _networks, None),
    Entry("fleet", "seeds", "peer addresses of some VMs", _addresses, ""),
    Entry("platform", "url", "base URL of the store", _url, None),
    Entry(
        "platform", "timeout_ms", "wait for one call, ms", _integer(50, 60_000), "2000"
    ),
    Entry("tls", "certificate", "PEM file that names this VM", str, ""),
    Entry("tls", "key", "PEM file of its private key", str, ""),
    Entry("tls", "authority", "PEM file of who signs all VMs", str, ""),
    Entry(
        "log", "dropped_per_s", "log lines of one sort per s", _integer(1, 1000), "10"
    ),
    Entry(
        "log", "metrics_interval_s", "seconds between metrics", _integer(1, 3600), "10"
    ),
)


def load(path: pathlib.Path) -> Settings:
    """Read and check a settings file.

    Args:
        path: The INI file.

    Returns:
        The settings.

    Raises:
        errors.SettingsInvalidError: The detail names every fault.
    """
    try:
        text = path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise errors.SettingsInvalidError(f"{path}: {error}") from error
    return read(text)


def read(text: str) -> Settings:
    """Check a settings text.

    Args:
        text: The whole file.

    Returns:
        The settings.

    Raises:
        errors.SettingsInvalidError: The detail names every fault, one a line.
    """
    parser = configparser.ConfigParser(
        # Keys under [DEFAULT] would count for all sections without being named.
        interpolation=None,
        default_section="",
    )
    try:
        parser.read_string(text)
    except configparser.Error as error:
        raise errors.SettingsInvalidError(str(error)) from error
    faults = _unknown(parser)
    values: dict[str, dict[str, typing.Any]] = {}
    for entry in ENTRIES:
        section = values.setdefault(entry.section, {})
        section[entry.key] = _value(parser, entry, faults)
    if faults:
        raise errors.SettingsInvalidError("\n".join(faults))
    return Settings(
        VmSettings(**values["vm"]),
        values["fabric"]["egress"],
        FleetSettings(**values["fleet"]),
        PlatformSettings(**values["platform"]),
        TlsSettings(**values["tls"]),
        LogSettings(**values["log"]),
    )


def _unknown(parser: configparser.ConfigParser) -> list[str]:
    known = {(entry.section, entry.key) for entry in ENTRIES}
    sections = {entry.section for entry in ENTRIES}
    faults = []
    for section in parser.sections():
        if section not in sections:
            faults.append(f"[{section}]: unknown section")
            continue
        for key in parser[section]:
            if (section, key) not in known:
                faults.append(f"[{section}] {key}: unknown key")
    return faults


def _value(
    parser: configparser.ConfigParser, entry: Entry, faults: list[str]
) -> typing.Any:
    text = parser.get(entry.section, entry.key, fallback=entry.default)
    if text is None:
        faults.append(f"[{entry.section}] {entry.key}: missing; {entry.meaning}")
        return None
    try:
        return entry.read(text)
    except ValueError as error:
        faults.append(f"[{entry.section}] {entry.key}: {text!r}: {error}")
        return None
