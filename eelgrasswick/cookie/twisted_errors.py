"""Redirection of errors that Twisted reports to the event log."""

import typing

from twisted import logger

from eelgrasswick.cookie import event_log, stats

# The end of a traceback has the innermost frames, which identify the fault.
MAX_TRACE_CHARACTERS: typing.Final = 600


def redirect_to_log(log: event_log.EventLog, counters: stats.Stats) -> None:
    """Write errors that Twisted reports to an event log, and count them.

    Otherwise an error in a callback whose result is not awaited would go to standard
    error in many lines, where no search by event finds it.
    """

    def observer(event: typing.Any) -> None:
        if event.get("log_level") in (
            logger.LogLevel.error,
            logger.LogLevel.critical,
        ):
            counters.counts["internal_errors"] += 1
            detail = logger.formatEvent(event)
            failure = event.get("log_failure")
            where = failure.getTraceback()[-MAX_TRACE_CHARACTERS:] if failure else ""
            log.write("internal_error", detail=detail, where=where)

    logger.globalLogBeginner.beginLoggingTo(
        [typing.cast(typing.Any, observer)], redirectStandardIO=False
    )
