"""Log lines of key=value pairs, and a bound on how many are written."""

import collections
import datetime
import json
import re
import typing

_PLAIN: typing.Final = re.compile(r"[^\s=\"]+")


def render(at_s: float, event: str, fields: typing.Mapping[str, object]) -> str:
    """Return one event as a line of key=value pairs.

    Args:
        at_s: Unix time of the event in seconds.
        event: Its sort.
        fields: What is known of it.

    Returns:
        The line, without a line end; ``at`` and ``event`` come first.
    """
    at = datetime.datetime.fromtimestamp(at_s, datetime.UTC)
    parts = [f"at={at.isoformat(timespec='milliseconds')}", f"event={quote(event)}"]
    parts += [f"{key}={quote(value)}" for key, value in fields.items()]
    return " ".join(parts)


def quote(value: object) -> str:
    """Return a value as it stands in a line."""
    text = str(value)
    if _PLAIN.fullmatch(text):
        return text
    return json.dumps(text)


class SuppressedLines(typing.NamedTuple):
    """How many lines of a sort were not written in a second."""

    sort: str
    lines: int


class LineRateLimiter:
    """Lets through a number of lines of each sort a second.

    Anyone can send corrupt datagrams. A line for each would fill the disk of
    whoever collects the logs, and cost the time that packets need.
    """

    def __init__(self, per_s: int) -> None:
        """Let ``per_s`` lines of a sort through each second."""
        self._per_s = per_s
        self._second = 0
        self._counts: collections.Counter[str] = collections.Counter()

    def next_second(self, now_ms: int) -> list[SuppressedLines]:
        """Return what was left out, when a new second has begun."""
        second = now_ms // 1000
        if second == self._second:
            return []
        self._second = second
        left_out = [
            SuppressedLines(sort, count - self._per_s)
            for sort, count in self._counts.items()
            if count > self._per_s
        ]
        self._counts.clear()
        return left_out

    def allows(self, sort: str) -> bool:
        """Count a line of a sort; False when it is to be left out."""
        self._counts[sort] += 1
        return self._counts[sort] <= self._per_s
