"""Settings, from an INI file, of an entry VM that forwards flows by cookies."""

import typing

from eelgrasswick import ini
from eelgrasswick.cookie import model


class VmSettings(typing.NamedTuple):
    """Section ``vm``: name, zone and listening addresses of this VM.

    Attributes:
        name: Name of this VM in logs.
        zone: Availability zone of this VM.
        data: Address for callers' packets; callers receive packets at this port too.
        ready: Address of the readiness probe that the fabric calls.
        peer: Address for other VMs, UDP and TCP.
        metrics: Address at which metrics are served.
    """

    name: str
    zone: str
    data: model.Address
    ready: model.Address
    peer: model.Address
    metrics: model.Address


class FleetSettings(typing.NamedTuple):
    """Section ``fleet``: IP addresses of some VMs to contact at the start."""

    seeds: tuple[str, ...]


class StoreSettings(typing.NamedTuple):
    """Section ``store``: address of the platform's store."""

    address: model.Address


class StopSettings(typing.NamedTuple):
    """Section ``stop``: seconds between SIGTERM and SIGKILL."""

    grace_s: float


class LogSettings(typing.NamedTuple):
    """Section ``log``: maximum number of lines of one event per second."""

    lines_per_s: int


class PolicySettings(typing.NamedTuple):
    """Section ``policy``: decisions about new flows under high load.

    Attributes:
        refuse: Whether flows are refused while targets answer late.
        reserve: Whether flows of a pool under pressure reserve capacity at a target.
    """

    refuse: bool
    reserve: bool


class ColdSettings(typing.NamedTuple):
    """Section ``cold``: how far flows on a cold target may exceed its capacity.

    Attributes:
        overage: Factor on the flows that a cold target can serve.
        slack_flows: Flows per second in addition to that.
    """

    overage: float
    slack_flows: float


class Settings(typing.NamedTuple):
    """All settings of one entry VM."""

    vm: VmSettings
    fleet: FleetSettings
    store: StoreSettings
    stop: StopSettings
    log: LogSettings
    policy: PolicySettings
    cold: ColdSettings


def address(text: str) -> model.Address:
    """Parse an address of the form ``IP:PORT``.

    Raises:
        ValueError: The text is not a valid address.
    """
    host, _, port = text.rpartition(":")
    return model.Address(ini.ip(host), ini.integer(1, 65535)(port))


def _seed_hosts(text: str) -> tuple[str, ...]:
    return tuple(address(item).host for item in ini.items(text))


def _name(text: str) -> str:
    name = text.strip()
    if not name:
        raise ValueError("must not be empty")
    if len(name) > model.MAX_NAME_CHARACTERS:
        raise ValueError(f"must have at most {model.MAX_NAME_CHARACTERS} characters")
    return name


def _yes_no(text: str) -> bool:
    if text.strip() not in ("yes", "no"):
        raise ValueError("must be yes or no")
    return text.strip() == "yes"


def _auto_no(text: str) -> bool:
    if text.strip() not in ("auto", "no"):
        raise ValueError("must be auto or no")
    return text.strip() == "auto"


def _factor(text: str) -> float:
    value = float(text)
    if not 0 <= value <= 1000:
        raise ValueError("must be from 0 to 1000")
    return value


def _seconds(text: str) -> float:
    value = float(text)
    if not 1 <= value <= 600:
        raise ValueError("must be from 1 to 600")
    return value


ENTRIES: typing.Final = (
    ini.Entry("vm", "name", "name of this VM", _name, None),
    ini.Entry("vm", "zone", "its availability zone", _name, None),
    ini.Entry("vm", "data", "IP:port for callers' packets", address, None),
    ini.Entry("vm", "ready", "IP:port of the readiness probe", address, None),
    ini.Entry("vm", "peer", "IP:port for other VMs", address, None),
    ini.Entry("vm", "metrics", "IP:port of the metrics", address, None),
    ini.Entry("fleet", "seeds", "IP:port of some VMs", _seed_hosts, ""),
    ini.Entry("store", "address", "IP:port of the store", address, None),
    ini.Entry("stop", "grace_s", "s from SIGTERM to SIGKILL", _seconds, "6"),
    ini.Entry(
        "log", "lines_per_s", "lines of one sort per s", ini.integer(1, 1000), "50"
    ),
    ini.Entry("policy", "refuse", "yes or no, refuse in an overload", _yes_no, "yes"),
    ini.Entry(
        "policy", "reserve", "auto or no, reserve capacity at targets", _auto_no, "auto"
    ),
    ini.Entry(
        "cold", "overage", "factor on the flows a cold target bears", _factor, "1.5"
    ),
    ini.Entry("cold", "slack_flows", "flows a s on top of that", _factor, "5"),
)


def read(text: str) -> Settings:
    """Parse and validate the text of a settings file.

    Raises:
        errors.SettingsInvalidError: The detail lists every fault, one per line.
    """
    values = ini.read(text, ENTRIES)
    return Settings(
        VmSettings(**values["vm"]),
        FleetSettings(**values["fleet"]),
        StoreSettings(**values["store"]),
        StopSettings(**values["stop"]),
        LogSettings(**values["log"]),
        PolicySettings(**values["policy"]),
        ColdSettings(**values["cold"]),
    )
