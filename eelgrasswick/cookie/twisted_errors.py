"""Errors that Twisted reports, as lines of the event log."""

import typing

from twisted import logger

from eelgrasswick.cookie import event_log, stats

# The innermost frames of a traceback, which name the fault.
TRACE_CHARACTERS: typing.Final = 600


def redirect_to_log(log: event_log.EventLog, counted: stats.Stats) -> None:
    """Write errors that Twisted reports as events of a log.

    An error in a callback that nobody waits for would otherwise go to standard
    error in many lines, where no search by event finds it.
    """

    def observer(event: typing.Any) -> None:
        if event.get("log_level") in (
            logger.LogLevel.error,
            logger.LogLevel.critical,
        ):
            counted.counts["internal_errors"] += 1
            detail = logger.formatEvent(event)
            failure = event.get("log_failure")
            where = failure.getTraceback()[-TRACE_CHARACTERS:] if failure else ""
            log.write("internal_error", detail=detail, where=where)

    logger.globalLogBeginner.beginLoggingTo(
        [typing.cast(typing.Any, observer)], redirectStandardIO=False
    )
