"""Logs through eliot: one line of key=value pairs for each event."""

import typing

import eliot
from twisted import logger

from eelgrasswick import (
    log_line,
    message,
)

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
    shown = {key: value for key, value in fields.items() if key not in _HIDDEN}
    event = fields.get("message_type", "unnamed")
    return log_line.render(fields["timestamp"], event, shown)


def log_to_stream(stream: typing.TextIO) -> None:
    """Have eliot write its messages as lines to a stream."""

    def destination(fields: dict[str, typing.Any]) -> None:
        stream.write(render(fields) + "\n")
        stream.flush()

    eliot.add_destinations(destination)


def log_twisted_errors(vm: str) -> None:
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

    The next second tells how many lines were left out.
    """

    def __init__(self, vm: str, per_s: int) -> None:
        """Name the VM in every line; write ``per_s`` lines of a sort a second."""
        self._vm = vm
        self._bound = log_line.LineRateLimiter(per_s)

    def write(self, now_ms: int, item: message.Log) -> None:
        """Write one event, unless its sort has had its lines this second."""
        for sort, count in self._bound.next_second(now_ms):
            eliot.log_message(
                message_type="log_bounded", vm=self._vm, sort=sort, left_out=count
            )
        if not self._bound.allows(item.name):
            return
        fields: dict[str, str | int | float] = {"vm": self._vm}
        fields.update(item.fields)
        eliot.log_message(item.name, **fields)
