"""The operators' rules file: one rule a line, each with who asked for it.

Four kinds of line exist::

    service NAME ADDRESS tcp|udp shutdown=DATE [wait_ms=N] [idle_s=N]  # who
    target NAME SERVICE ENDPOINT zone=Z [slots=N] [connections=N] [weight=W]  # who
    drain TARGET  # who
    limit SERVICE [flows=N] [per_caller=N]  # who
"""

import datetime
import re
import typing

from eelgrasswick import errors, packet, service

MAX_WAIT_MS: typing.Final = 900
MIN_IDLE_S: typing.Final = 30
MAX_LINE_BYTES: typing.Final = 1000
_NAME: typing.Final = re.compile(r"[a-z0-9][a-z0-9._-]{0,62}")
_WORD: typing.Final = re.compile(r"\S+")


class Fault(typing.NamedTuple):
    """One thing wrong with the rules text.

    Attributes:
        line: Line number, from 1.
        column: Column number, from 1.
        problem: What is wrong.
        remedy: How to mend it.
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
    """The result of reading a rules text; usable when there are no faults."""

    rules: Rules
    faults: tuple[Fault, ...]


class _Word(typing.NamedTuple):
    text: str
    column: int


class _LineError(Exception):
    def __init__(self, column: int, problem: str, remedy: str) -> None:
        super().__init__(problem)
        self.column = column
        self.problem = problem
        self.remedy = remedy


class _Reader:
    """Takes the words of one line in turn and reports what is wrong."""

    def __init__(self, number: int, words: list[_Word], end_column: int) -> None:
        self.number = number
        self._words = words
        self._end_column = end_column
        self._options: dict[str, _Word] = {}

    def word(self, meaning: str) -> _Word:
        if not self._words or "=" in self._words[0].text:
            column = self._words[0].column if self._words else self._end_column
            raise _LineError(column, f"{meaning} is missing", f"add the {meaning}")
        return self._words.pop(0)

    def name(self, meaning: str) -> str:
        word = self.word(meaning)
        _check_name(word, meaning)
        return word.text

    def address(self, meaning: str) -> packet.Address:
        word = self.word(meaning)
        try:
            return packet.address(word.text)
        except ValueError as error:
            raise _LineError(
                word.column, str(error), "write it like 10.0.0.1:443"
            ) from error

    def options(self, *known: str) -> None:
        for word in self._words:
            key, separator, value = word.text.partition("=")
            if not separator or key not in known:
                raise _LineError(
                    word.column,
                    f"{word.text!r} is not known here",
                    f"use only {', '.join(known) or 'the words shown in the manual'}",
                )
            if key in self._options:
                raise _LineError(word.column, f"{key} stands twice", "keep one")
            self._options[key] = _Word(value, word.column + len(key) + 1)

    def option(self, key: str) -> _Word | None:
        return self._options.get(key)

    def required(self, key: str) -> _Word:
        word = self._options.get(key)
        if word is None:
            raise _LineError(self._end_column, f"{key}= is missing", f"add {key}=")
        return word

    def integer(self, key: str, default: int, low: int, high: int) -> int:
        word = self._options.get(key)
        if word is None:
            return default
        remedy = f"give a whole number from {low} to {high}"
        if not word.text.isascii() or not word.text.isdigit() or len(word.text) > 12:
            raise _LineError(word.column, f"{key}={word.text!r} is no number", remedy)
        value = int(word.text)
        if not low <= value <= high:
            raise _LineError(word.column, f"{key}={value} is out of range", remedy)
        return value


def _check_name(word: _Word, meaning: str) -> None:
    if not _NAME.fullmatch(word.text):
        raise _LineError(
            word.column,
            f"{word.text!r} is no {meaning}",
            "use a-z, 0-9, dot, dash and underscore, at most 63",
        )


def _read_service(reader: _Reader) -> ServiceRule:
    name = reader.name("service name")
    address = reader.address("service address")
    protocol = reader.word("protocol")
    if protocol.text not in ("tcp", "udp"):
        raise _LineError(
            protocol.column, f"protocol {protocol.text!r} is unknown", "use tcp or udp"
        )
    reader.options("shutdown", "wait_ms", "idle_s")
    shutdown = reader.required("shutdown")
    try:
        day = datetime.date.fromisoformat(shutdown.text)
    except ValueError as error:
        raise _LineError(
            shutdown.column, f"{shutdown.text!r} is no date", "write YYYY-MM-DD"
        ) from error
    return ServiceRule(
        reader.number,
        name,
        address,
        packet.Protocol[protocol.text.upper()],
        day,
        reader.integer("wait_ms", 300, 0, MAX_WAIT_MS),
        reader.integer("idle_s", 900, MIN_IDLE_S, 86400),
    )


def _read_target(reader: _Reader) -> TargetRule:
    name = reader.name("target name")
    service_name = reader.name("service name")
    endpoint = reader.address("target endpoint")
    reader.options("zone", "slots", "connections", "weight")
    zone = reader.required("zone")
    _check_name(zone, "zone name")
    slots = reader.integer("slots", 2, 1, 100_000)
    return TargetRule(
        reader.number,
        name,
        service_name,
        endpoint,
        zone.text,
        slots,
        reader.integer("connections", 2000, 1, 10_000_000),
        _read_weight(reader, float(slots)),
    )


def _read_weight(reader: _Reader, default: float) -> float:
    word = reader.option("weight")
    if word is None:
        return default
    remedy = "give a number from 0.01 to 10000"
    try:
        weight = float(word.text)
    except ValueError as error:
        raise _LineError(
            word.column, f"weight={word.text!r} is no number", remedy
        ) from error
    if not 0.01 <= weight <= 10_000:
        raise _LineError(word.column, f"weight={word.text} is out of range", remedy)
    return weight


def _read_drain(reader: _Reader) -> DrainRule:
    name = reader.name("target name")
    reader.options()
    return DrainRule(reader.number, name)


def _read_limit(reader: _Reader) -> LimitRule:
    name = reader.name("service name")
    reader.options("flows", "per_caller")
    flows = reader.integer("flows", 0, 1, 1_000_000_000)
    per_caller = reader.integer("per_caller", 0, 1, 1_000_000_000)
    return LimitRule(reader.number, name, service.Limit(flows, per_caller))


_READERS: typing.Final[dict[str, typing.Callable[[_Reader], Rule]]] = {
    "service": _read_service,
    "target": _read_target,
    "drain": _read_drain,
    "limit": _read_limit,
}


def parse(text: str) -> Parsed:
    """Read a rules text and list every fault in it.

    Args:
        text: The whole file.

    Returns:
        The rules that could be read and the faults, in the order of lines.
    """
    rules: list[Rule] = []
    faults: list[Fault] = []
    for number, line in enumerate(text.split("\n"), 1):
        try:
            rule = _read_line(number, line.rstrip("\r"))
        except _LineError as error:
            faults.append(Fault(number, error.column, error.problem, error.remedy))
            continue
        if rule is not None:
            rules.append(rule)
    collected = _collect(rules)
    faults.extend(_check_together(collected))
    faults.sort()
    return Parsed(collected, tuple(faults))


def read(text: str) -> Rules:
    """Read a rules text that must have no faults.

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


def _read_line(number: int, line: str) -> Rule | None:
    if len(line.encode(errors="replace")) > MAX_LINE_BYTES:
        raise _LineError(1, "line is over 1000 bytes", "split or shorten it")
    body, mark, comment = line.partition("#")
    words = [_Word(found.group(), found.start() + 1) for found in _WORD.finditer(body)]
    if not words:
        return None
    if not mark or not comment.strip():
        raise _LineError(
            len(body.rstrip()) + 1,
            "no comment says who asked for this rule",
            "end the line with '# asked by NAME'",
        )
    kind = words.pop(0)
    read_kind = _READERS.get(kind.text)
    if read_kind is None:
        raise _LineError(
            kind.column,
            f"{kind.text!r} is no kind of rule",
            f"use {', '.join(_READERS)}",
        )
    return read_kind(_Reader(number, words, len(body.rstrip()) + 1))


def _collect(rules: list[Rule]) -> Rules:
    return Rules(
        tuple(item for item in rules if isinstance(item, ServiceRule)),
        tuple(item for item in rules if isinstance(item, TargetRule)),
        tuple(item for item in rules if isinstance(item, DrainRule)),
        tuple(item for item in rules if isinstance(item, LimitRule)),
    )


def _check_together(rules: Rules) -> list[Fault]:
    faults = _repeats(((r.line, r.name) for r in rules.services), "service name")
    faults += _repeats(((r.line, r.name) for r in rules.targets), "target name")
    faults += _repeats(((r.line, r.target) for r in rules.drains), "drain of target")
    faults += _repeats(((r.line, r.service) for r in rules.limits), "limit of service")
    faults += _repeats(
        ((r.line, f"{r.protocol.name.lower()} {r.address}") for r in rules.services),
        "service address",
    )
    faults += _repeats(
        ((r.line, str(r.endpoint)) for r in rules.targets), "target endpoint"
    )
    services = {r.name for r in rules.services}
    targets = {r.name for r in rules.targets}
    named = [(r.line, r.service, services, "service") for r in rules.targets]
    named += [(r.line, r.target, targets, "target") for r in rules.drains]
    named += [(r.line, r.service, services, "service") for r in rules.limits]
    for line, name, known, what in named:
        if name not in known:
            problem = f"{what} {name!r} has no line of its own"
            faults.append(
                Fault(line, 1, problem, f"add a {what} line or mend the name")
            )
    return faults


def _repeats(items: typing.Iterable[tuple[int, str]], what: str) -> list[Fault]:
    first: dict[str, int] = {}
    faults = []
    for line, name in items:
        if name in first:
            problem = f"{what} {name!r} stands already on line {first[name]}"
            faults.append(Fault(line, 1, problem, "remove or rename one of them"))
        first.setdefault(name, line)
    return faults
