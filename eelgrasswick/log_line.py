"""Log lines of key=value pairs, and a limit on how many are written."""

import collections
import datetime
import json
import re
import typing

_UNQUOTED: typing.Final = re.compile(r"[^\s=\"]+")
# Longer values are cut off, so that one field can't fill the log.
MAX_VALUE_CHARACTERS: typing.Final = 2000


def render(at_s: float, event: str, fields: typing.Mapping[str, object]) -> str:
    """Return one event as a line of key=value pairs.

    Args:
        at_s: Unix time of the event in seconds.
        event: Name of the event.
        fields: Fields of the event by name.

    Returns:
        The line, without a line end; ``at`` and ``event`` are the first fields.
    """
    at = datetime.datetime.fromtimestamp(at_s, datetime.UTC)
    parts = [f"at={at.isoformat(timespec='milliseconds')}", f"event={quote(event)}"]
    parts += [f"{key}={quote(value)}" for key, value in fields.items()]
    return " ".join(parts)


def quote(value: object) -> str:
    """Return a value as text that can be encoded, quoted when it is no plain word.

    Characters that can't be printed are escaped. They include lone surrogates, which
    have no encoding, and control characters, which a terminal would act on.
    """
    text = str(value)
    if len(text) > MAX_VALUE_CHARACTERS:
        text = text[:MAX_VALUE_CHARACTERS] + "..."
    if text.isprintable() and _UNQUOTED.fullmatch(text):
        return text
    return json.dumps(text)


class SuppressedLines(typing.NamedTuple):
    """How many lines of one event were suppressed in a second."""

    event: str
    lines: int


class LineRateLimiter:
    """Limits the lines of each event a second.

    Anyone can send corrupt datagrams. A log line for each would fill the disk of the
    system that collects the logs, and take processor time that packets need.
    """

    def __init__(self, per_s: int) -> None:
        """Create a limiter to ``per_s`` lines of each event a second."""
        self._per_s = per_s
        self._current_second = 0
        self._counts: collections.Counter[str] = collections.Counter()

    def next_second(self, now_ms: int) -> list[SuppressedLines]:
        """Return the suppressed lines of the last second when a new one has begun."""
        second = now_ms // 1000
        if second == self._current_second:
            return []
        self._current_second = second
        left_out = [
            SuppressedLines(event, count - self._per_s)
            for event, count in self._counts.items()
            if count > self._per_s
        ]
        self._counts.clear()
        return left_out

    def allows(self, event: str) -> bool:
        """Count a line of an event; return whether it may be written."""
        self._counts[event] += 1
        return self._counts[event] <= self._per_s
