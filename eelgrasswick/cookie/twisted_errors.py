"""Failures in the event log, and redirection of those that Twisted reports."""

import typing

from twisted import logger

from eelgrasswick.cookie import event_log, stats


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
            failure = event.get("log_failure")
            log.write(
                "internal_error",
                detail=logger.formatEvent(event),
                where=trace(failure) if failure else "",
            )

    logger.globalLogBeginner.beginLoggingTo(
        [typing.cast(typing.Any, observer)], redirectStandardIO=False
    )


def trace(failure: typing.Any) -> str:
    """Return the innermost frames of a Twisted failure."""
    return str(failure.getTraceback())[-event_log.MAX_TRACE_CHARACTERS :]
