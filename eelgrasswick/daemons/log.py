"""Logging through eliot, with one line of key=value pairs for each event."""

import typing

import eliot
from twisted import logger

from eelgrasswick import (
    log_line,
    message,
)

# Fields that eliot adds; the time and the event name come first in each line.
_ELIOT_FIELDS: typing.Final = frozenset(
    {"timestamp", "task_uuid", "task_level", "message_type"}
)


def render(fields: dict[str, typing.Any]) -> str:
    """Return one eliot message as a line of key=value pairs.

    Args:
        fields: The message as eliot passes it to a destination.

    Returns:
        The line, without a line end; ``at`` and ``event`` are the first fields.
    """
    visible = {key: value for key, value in fields.items() if key not in _ELIOT_FIELDS}
    event = fields.get("message_type", "unnamed")
    return log_line.render(fields["timestamp"], event, visible)


def log_to_stream(stream: typing.TextIO) -> None:
    """Make eliot write its messages as lines to a stream."""

    def destination(fields: dict[str, typing.Any]) -> None:
        stream.write(render(fields) + "\n")
        stream.flush()

    eliot.add_destinations(destination)


def log_twisted_errors(vm: str) -> None:
    """Log errors that Twisted reports as events ``twisted_error``.

    An unhandled error in a callback would otherwise be written to standard error as
    a traceback of many lines, which a search of the log by VM does not find.

    Args:
        vm: Name of this VM.
    """

    def observer(event: typing.Any) -> None:
        if event.get("log_level") in (logger.LogLevel.error, logger.LogLevel.critical):
            detail = logger.formatEvent(event)
            eliot.log_message(message_type="twisted_error", vm=vm, detail=detail)

    logger.globalLogBeginner.beginLoggingTo(
        [typing.cast(typing.Any, observer)], redirectStandardIO=False
    )


class Logger:
    """Writes log actions, with a limit on the lines of each event a second.

    The number of suppressed lines is logged in the next second.
    """

    def __init__(self, vm: str, per_s: int) -> None:
        """Create a logger.

        Args:
            vm: Name of this VM, which each line contains.
            per_s: Number of lines of each event that are written a second.
        """
        self._vm = vm
        self._limiter = log_line.LineRateLimiter(per_s)

    def write(self, now_ms: int, item: message.Log) -> None:
        """Write one event, unless its lines of this second are used up."""
        for event, count in self._limiter.next_second(now_ms):
            eliot.log_message(
                message_type="log_bounded", vm=self._vm, sort=event, left_out=count
            )
        if not self._limiter.allows(item.name):
            return
        fields: dict[str, str | int | float] = {"vm": self._vm}
        fields.update(item.fields)
        eliot.log_message(item.name, **fields)
