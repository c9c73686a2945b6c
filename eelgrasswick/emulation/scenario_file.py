"""Parser of the scenarios of the command ``load``, which are INI files.

All faults of a file are reported together.
"""

import configparser
import enum
import typing

from eelgrasswick import errors
from eelgrasswick.emulation import scenario

Kind = typing.TypeVar("Kind", bound=enum.Enum)


def parse(text: str) -> scenario.Scenario:
    """Parse a scenario.

    Args:
        text: The whole INI file.

    Returns:
        The scenario.

    Raises:
        errors.ScenarioInvalidError: The file has faults; the detail lists all of them.
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(text)
    except configparser.Error as error:
        raise errors.ScenarioInvalidError(str(error)) from error
    reader = _Reader(parser)
    parsed = _parse_sections(reader)
    _check(reader, parsed)
    if reader.faults:
        raise errors.ScenarioInvalidError("\n".join(reader.faults))
    return parsed


def _parse_sections(reader: "_Reader") -> scenario.Scenario:
    return scenario.Scenario(
        _vms(reader),
        tuple(_target(reader, name) for name in reader.named("target")),
        tuple(_work(reader, name) for name in reader.named("work")),
        _load(reader),
        tuple(_event(reader, name) for name in reader.named("event")),
        int(reader.number("service", "wait_ms", 300, 0, 900)),
        int(reader.number("service", "per_caller", 0, 0, 1e6)),
    )


class _Reader:
    """Reads values of an INI file, and collects faults instead of raising errors."""

    def __init__(self, parser: configparser.ConfigParser) -> None:
        self.parser = parser
        self.faults: list[str] = []
        self._read: set[tuple[str, str]] = set()

    def fault(self, section: str, problem: str) -> None:
        self.faults.append(f"[{section}] {problem}")

    def named(self, kind: str) -> list[str]:
        prefix = f"{kind} "
        return [name for name in self.parser.sections() if name.startswith(prefix)]

    def text(self, section: str, key: str, default: str | None = None) -> str:
        self._read.add((section, key))
        value = self.parser.get(section, key, fallback=default)
        if value is None:
            self.fault(section, f"{key} is missing")
            return ""
        return value

    def number(
        self, section: str, key: str, default: float | None, low: float, high: float
    ) -> float:
        text = self.text(section, key, None if default is None else str(default))
        if not text:
            return low
        try:
            value = float(text)
        except ValueError:
            self.fault(section, f"{key}={text!r} is not a number")
            return low
        if not low <= value <= high:
            self.fault(section, f"{key}={text} is not between {low:g} and {high:g}")
            return low
        return value

    def choice(self, section: str, key: str, default: Kind) -> Kind:
        kinds = type(default)
        text = self.text(section, key, default.value)
        try:
            return kinds(text)
        except ValueError:
            known = ", ".join(item.value for item in kinds)
            self.fault(section, f"{key}={text!r} is not one of {known}")
            return default

    def unread(self) -> list[str]:
        return [
            f"[{section}] {key} is not a known key"
            for section in self.parser.sections()
            for key in self.parser[section]
            if (section, key) not in self._read
        ]


def _vms(reader: _Reader) -> tuple[scenario.Vm, ...]:
    found: list[scenario.Vm] = []
    zones = reader.parser["vms"] if reader.parser.has_section("vms") else {}
    for zone in zones:
        for text in reader.text("vms", zone).split():
            if not text.isdigit() or not 1 <= int(text) <= 1000:
                reader.fault("vms", f"{zone}: size {text!r} is not from 1 to 1000")
                continue
            found.append(scenario.Vm(f"vm{len(found) + 1}", zone, int(text)))
    return tuple(found)


def _target(reader: _Reader, section: str) -> scenario.TargetModel:
    slots = int(reader.number(section, "slots", 2, 1, 1000))
    return scenario.TargetModel(
        section.partition(" ")[2],
        reader.text(section, "zone"),
        slots,
        int(reader.number(section, "connections", 2000, 1, 1e6)),
        reader.number(section, "weight", slots, 0.01, 10_000),
        reader.number(section, "speed", 1, 0.01, 100),
        int(reader.number(section, "cold_ms", 0, 0, 1e6)),
        reader.number(section, "flattery", 1, 0, 1000),
        reader.choice(section, "fails", scenario.Failing.NO),
    )


def _work(reader: _Reader, section: str) -> scenario.Work:
    return scenario.Work(
        section.partition(" ")[2],
        reader.number(section, "share", 1, 0, 1e6),
        reader.number(section, "work_ms", None, 0.1, 1e6),
        int(reader.number(section, "hold_ms", 0, 0, 1e7)),
    )


def _load(reader: _Reader) -> scenario.Load:
    section = "load"
    return scenario.Load(
        int(reader.number(section, "duration_ms", None, 100, 1e7)),
        reader.number(section, "of_capacity", None, 0, 100),
        int(reader.number(section, "burst_at_ms", 0, 0, 1e7)),
        int(reader.number(section, "burst_ms", 0, 0, 1e7)),
        reader.number(section, "burst_of_capacity", 0, 0, 1000),
        int(reader.number(section, "deadline_ms", 1000, 1, 1e6)),
        int(reader.number(section, "tries", 3, 1, 100)),
        int(reader.number(section, "callers", 64, 1, 60_000)),
        int(reader.number(section, "hot_callers", 0, 0, 60_000)),
        reader.number(section, "hot_share", 0, 0, 1),
    )


def _event(reader: _Reader, section: str) -> scenario.Event:
    reader.text(section, "kind")
    kind = reader.choice(section, "kind", scenario.EventKind.DRAIN)
    at_ms = int(reader.number(section, "at_ms", None, 0, 1e7))
    return scenario.Event(at_ms, kind, reader.text(section, "subject"))


def _check(reader: _Reader, parsed: scenario.Scenario) -> None:
    reader.faults += reader.unread()
    if not parsed.vms:
        reader.fault("vms", "a scenario needs at least one VM")
    if not parsed.targets:
        reader.fault("target", "a scenario needs at least one target")
    if not sum(item.share for item in parsed.works):
        reader.fault("work", "a scenario needs at least one work with a share above 0")
    known = {item.name for item in parsed.vms} | {item.zone for item in parsed.vms}
    known |= {item.name for item in parsed.targets}
    known |= {item.zone for item in parsed.targets}
    for event in parsed.events:
        if event.subject not in known:
            reader.fault(
                "event",
                f"subject {event.subject!r} is not in the scenario",
            )
    if parsed.load.hot_callers > parsed.load.callers:
        reader.fault("load", "hot_callers is greater than callers")
