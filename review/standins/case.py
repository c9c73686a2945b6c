"""The frame of a case: its record, its folder and its exit code."""

import asyncio
import os
import pathlib
import tempfile
import typing

from standins import record

RULE_HELD: typing.Final = 0
RULE_BROKEN: typing.Final = 1
COULD_NOT_RUN: typing.Final = 2

# Runs a case with the record, a temporary folder and whether there is a disruption.
# Returns whether the rule is broken.
Run = typing.Callable[
    [record.Record, pathlib.Path, bool], typing.Coroutine[typing.Any, typing.Any, bool]
]


def execute(folder: pathlib.Path, run: Run) -> int:
    """Run a case whose record goes to a folder, and return its exit code."""
    log = record.Record(folder / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        with tempfile.TemporaryDirectory() as temporary:
            broken = asyncio.run(run(log, pathlib.Path(temporary), trouble))
    except (OSError, TimeoutError, KeyboardInterrupt) as error:
        log.say("could_not_run", error=repr(error))
        return COULD_NOT_RUN
    finally:
        log.close()
    return RULE_BROKEN if broken else RULE_HELD
