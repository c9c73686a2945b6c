"""The operators' rules file: one rule per line, each with a comment.

The comment names the person who asked for the rule. Four kinds of line exist::

    service NAME ADDRESS tcp|udp shutdown=DATE [wait_ms=N] [idle_s=N]  # who
    target NAME SERVICE ENDPOINT zone=Z [slots=N] [connections=N] [weight=W]  # who
    drain TARGET  # who
    limit SERVICE [flows=N] [per_caller=N]  # who
"""

import datetime
import functools
import typing

from eelgrasswick import (
    _line,
    errors,
    packet,
    service,
)

MAX_WAIT_MS: typing.Final = 900
MIN_IDLE_S: typing.Final = 30
MAX_LINE_BYTES: typing.Final = 1000
LINE_CACHE_SIZE: typing.Final = 32_768


class Fault(typing.NamedTuple):
    """One fault in the rules text.

    Attributes:
        line: Line number, from 1.
        column: Column number, from 1.
        problem: Description of the fault.
        remedy: Action that corrects it.
    """

    line: int
    column: int
    problem: str
    remedy: str

    def __str__(self) -> str:
        """Return the one-line form that ``check`` prints."""
        return f"line {self.line}, column {self.column}: {self.problem}; {self.remedy}"


class ServiceRule(typing.NamedTuple):
    """A ``service`` line."""

    line: int
    name: str
    address: packet.Address
    protocol: packet.Protocol
    shutdown: datetime.date
    wait_ms: int
    idle_s: int


class TargetRule(typing.NamedTuple):
    """A ``target`` line."""

    line: int
    name: str
    service: str
    endpoint: packet.Address
    zone: str
    slots: int
    connections: int
    weight: float


class DrainRule(typing.NamedTuple):
    """A ``drain`` line."""

    line: int
    target: str


class LimitRule(typing.NamedTuple):
    """A ``limit`` line."""

    line: int
    service: str
    limit: service.Limit


Rule = ServiceRule | TargetRule | DrainRule | LimitRule


class Rules(typing.NamedTuple):
    """All rules of one text, in the order of their lines."""

    services: tuple[ServiceRule, ...]
    targets: tuple[TargetRule, ...]
    drains: tuple[DrainRule, ...]
    limits: tuple[LimitRule, ...]


class Parsed(typing.NamedTuple):
    """The result of parsing a rules text; the rules are valid without faults."""

    rules: Rules
    faults: tuple[Fault, ...]


def _read_service(reader: _line.Reader) -> ServiceRule:
    name = reader.name("service name")
    address = reader.address("service address")
    protocol = reader.word("protocol")
    if protocol.text not in ("tcp", "udp"):
        raise _line.LineError(
            protocol.column, f"protocol {protocol.text!r} is unknown", "use tcp or udp"
        )
    reader.options("shutdown", "wait_ms", "idle_s")
    shutdown = reader.required("shutdown")
    try:
        day = datetime.date.fromisoformat(shutdown.text)
    except ValueError as error:
        raise _line.LineError(
            shutdown.column, f"{shutdown.text!r} is not a date", "write YYYY-MM-DD"
        ) from error
    return ServiceRule(
        0,
        name,
        address,
        packet.Protocol[protocol.text.upper()],
        day,
        reader.integer("wait_ms", 300, 0, MAX_WAIT_MS),
        reader.integer("idle_s", 900, MIN_IDLE_S, 86400),
    )


def _read_target(reader: _line.Reader) -> TargetRule:
    name = reader.name("target name")
    service_name = reader.name("service name")
    endpoint = reader.address("target endpoint")
    reader.options("zone", "slots", "connections", "weight")
    zone = reader.required("zone")
    _line.check_name(zone, "zone name")
    slots = reader.integer("slots", 2, 1, 100_000)
    return TargetRule(
        0,
        name,
        service_name,
        endpoint,
        zone.text,
        slots,
        reader.integer("connections", 2000, 1, 10_000_000),
        _read_weight(reader, float(slots)),
    )


def _read_weight(reader: _line.Reader, default: float) -> float:
    word = reader.option("weight")
    if word is None:
        return default
    remedy = "give a number from 0.01 to 10000"
    try:
        weight = float(word.text)
    except ValueError as error:
        raise _line.LineError(
            word.column, f"weight={word.text!r} is not a number", remedy
        ) from error
    if not 0.01 <= weight <= 10_000:
        raise _line.LineError(
            word.column, f"weight={word.text} is out of range", remedy
        )
    return weight


def _read_drain(reader: _line.Reader) -> DrainRule:
    name = reader.name("target name")
    reader.options()
    return DrainRule(0, name)


def _read_limit(reader: _line.Reader) -> LimitRule:
    name = reader.name("service name")
    reader.options("flows", "per_caller")
    if not (reader.option("flows") or reader.option("per_caller")):
        reader.required("flows")
    flows = reader.integer("flows", 0, 1, 1_000_000_000)
    per_caller = reader.integer("per_caller", 0, 1, 1_000_000_000)
    return LimitRule(0, name, service.Limit(flows, per_caller))


_READERS: typing.Final[dict[str, typing.Callable[[_line.Reader], Rule]]] = {
    "service": _read_service,
    "target": _read_target,
    "drain": _read_drain,
    "limit": _read_limit,
}


def parse(text: str) -> Parsed:
    """Parse a rules text and list every fault in it.

    Args:
        text: The whole file.

    Returns:
        The rules of the valid lines and all faults, each in the order of lines.
    """
    rules: list[Rule] = []
    faults: list[Fault] = []
    for number, line in enumerate(text.split("\n"), 1):
        found = _read_line(line.rstrip("\r"))
        if isinstance(found, Fault):
            faults.append(found._replace(line=number))
        elif found is not None:
            rules.append(found._replace(line=number))
    collected = _collect(rules)
    faults.extend(_check_consistency(collected))
    faults.sort()
    return Parsed(collected, tuple(faults))


def read(text: str) -> Rules:
    """Parse a rules text that must have no faults.

    Args:
        text: The whole file.

    Returns:
        The rules.

    Raises:
        errors.RulesInvalidError: The text has faults; the detail lists them all.
    """
    parsed = parse(text)
    if parsed.faults:
        raise errors.RulesInvalidError("\n".join(str(item) for item in parsed.faults))
    return parsed.rules


@functools.lru_cache(LINE_CACHE_SIZE)
def _read_line(line: str) -> Rule | Fault | None:
    """Parse one line; the result has line number 0.

    A configuration change leaves nearly all lines unchanged, but each VM parses
    the whole text again. At thousands of changes per day, parsing without the
    cache would alone exceed the CPU budget of the control plane.
    """
    try:
        return _read_words(line)
    except _line.LineError as error:
        return Fault(0, error.column, error.problem, error.remedy)


def _read_words(line: str) -> Rule | None:
    separated = line.splitlines()
    if len(separated) > 1:
        # Other programs would display the line as two, and the second part would
        # look like a rule that is in force.
        raise _line.LineError(
            len(separated[0]) + 1,
            "the line contains a character that other programs treat as a line end",
            "remove it, or write two lines",
        )
    if len(line.encode(errors="replace")) > MAX_LINE_BYTES:
        raise _line.LineError(1, "line is over 1000 bytes", "split or shorten it")
    body, mark, comment = line.partition("#")
    words = [
        _line.Token(found.group(), found.start() + 1)
        for found in _line.WORD_PATTERN.finditer(body)
    ]
    if not words:
        return None
    if not mark or not comment.strip():
        raise _line.LineError(
            len(body.rstrip()) + 1,
            "no comment says who asked for this rule",
            "end the line with '# asked by NAME'",
        )
    kind = words.pop(0)
    read_kind = _READERS.get(kind.text)
    if read_kind is None:
        raise _line.LineError(
            kind.column,
            f"{kind.text!r} is not a kind of rule",
            f"use {', '.join(_READERS)}",
        )
    return read_kind(_line.Reader(words, len(body.rstrip()) + 1))


def _collect(rules: list[Rule]) -> Rules:
    return Rules(
        tuple(item for item in rules if isinstance(item, ServiceRule)),
        tuple(item for item in rules if isinstance(item, TargetRule)),
        tuple(item for item in rules if isinstance(item, DrainRule)),
        tuple(item for item in rules if isinstance(item, LimitRule)),
    )


def _check_consistency(rules: Rules) -> list[Fault]:
    faults = _duplicates(((r.line, r.name) for r in rules.services), "service name")
    faults += _duplicates(((r.line, r.name) for r in rules.targets), "target name")
    faults += _duplicates(((r.line, r.target) for r in rules.drains), "drain of target")
    faults += _duplicates(
        ((r.line, r.service) for r in rules.limits), "limit of service"
    )
    faults += _duplicates(
        ((r.line, f"{r.protocol.name.lower()} {r.address}") for r in rules.services),
        "service address",
    )
    faults += _duplicates(
        ((r.line, str(r.endpoint)) for r in rules.targets), "target endpoint"
    )
    services = {r.name for r in rules.services}
    targets = {r.name for r in rules.targets}
    named = [(r.line, r.service, services, "service") for r in rules.targets]
    named += [(r.line, r.target, targets, "target") for r in rules.drains]
    named += [(r.line, r.service, services, "service") for r in rules.limits]
    for line, name, known, what in named:
        if name not in known:
            problem = f"{what} {name!r} is not defined"
            faults.append(
                Fault(line, 1, problem, f"add a {what} line or correct the name")
            )
    return faults


def _duplicates(items: typing.Iterable[tuple[int, str]], what: str) -> list[Fault]:
    first: dict[str, int] = {}
    faults = []
    for line, name in items:
        if name in first:
            problem = f"{what} {name!r} is already on line {first[name]}"
            faults.append(Fault(line, 1, problem, "remove or rename one of them"))
        first.setdefault(name, line)
    return faults
