"""Logs through eliot: one line of key=value pairs for each event."""

import collections
import datetime
import json
import re
import typing

import eliot
from twisted import logger

from eelgrasswick import message

_PLAIN: typing.Final = re.compile(r"[^\s=\"]+")
_HIDDEN: typing.Final = frozenset(
    {"timestamp", "task_uuid", "task_level", "message_type"}
)


def render(fields: dict[str, typing.Any]) -> str:
    """Return one eliot message as a line of key=value pairs.

    Args:
        fields: The message as eliot passes it to a destination.

    Returns:
        The line, without a line end; ``at`` and ``event`` come first.
    """
    at = datetime.datetime.fromtimestamp(fields["timestamp"], datetime.UTC)
    parts = [
        f"at={at.isoformat(timespec='milliseconds')}",
        f"event={_quote(fields.get('message_type', 'unnamed'))}",
    ]
    for key, value in fields.items():
        if key not in _HIDDEN:
            parts.append(f"{key}={_quote(value)}")
    return " ".join(parts)


def _quote(value: object) -> str:
    text = str(value)
    if _PLAIN.fullmatch(text):
        return text
    return json.dumps(text)


def write_to(stream: typing.TextIO) -> None:
    """Have eliot write its messages as lines to a stream."""

    def destination(fields: dict[str, typing.Any]) -> None:
        stream.write(render(fields) + "\n")
        stream.flush()

    eliot.add_destinations(destination)


def take_twisted(vm: str) -> None:
    """Write errors that Twisted reports as events of this log.

    An error in a callback that nobody waits for would otherwise go to standard
    error in many lines, where no grep by VM finds it.
    """

    def observer(event: typing.Any) -> None:
        if event.get("log_level") in (logger.LogLevel.error, logger.LogLevel.critical):
            detail = logger.formatEvent(event)
            eliot.log_message(message_type="twisted_error", vm=vm, detail=detail)

    logger.globalLogBeginner.beginLoggingTo(
        [typing.cast(typing.Any, observer)], redirectStandardIO=False
    )


class Logger:
    """Writes log actions, each sort at a bounded rate.

    Anyone can send corrupt datagrams. A line for each would fill the disk of
    whoever collects the logs; so each sort of event has a bound per second, and
    the next second tells how many lines were left out.
    """

    def __init__(self, vm: str, per_s: int) -> None:
        """Name the VM in every line; write ``per_s`` lines of a sort a second."""
        self._vm = vm
        self._per_s = per_s
        self._second = 0
        self._written: collections.Counter[str] = collections.Counter()

    def write(self, now_ms: int, item: message.Log) -> None:
        """Write one event, unless its sort has had its lines this second."""
        second = now_ms // 1000
        if second != self._second:
            self._next_second(second)
        self._written[item.name] += 1
        if self._written[item.name] > self._per_s:
            return
        fields: dict[str, str | int | float] = {"vm": self._vm}
        fields.update(item.fields)
        eliot.log_message(item.name, **fields)

    def _next_second(self, second: int) -> None:
        self._second = second
        for name, count in self._written.items():
            if count > self._per_s:
                eliot.log_message(
                    message_type="log_bounded",
                    vm=self._vm,
                    sort=name,
                    left_out=count - self._per_s,
                )
        self._written.clear()
