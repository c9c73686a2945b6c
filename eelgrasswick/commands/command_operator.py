"""Commands for operators: check, apply, watch and audit."""

import dataclasses
import getpass
import json
import pathlib
import sys
import typing

import cappa
from twisted.internet import task

from eelgrasswick import (
    change,
    errors,
    rule,
)
from eelgrasswick.commands import console
from eelgrasswick.daemons import gateway
from eelgrasswick.decisions import backoff

_POLL_INTERVAL_S: typing.Final = 0.5
_NO_SEQUENCE: typing.Final = -1
BasedOn = typing.Annotated[
    int | None,
    cappa.Arg(long="--based-on", help="sequence that the file was edited from"),
]


@cappa.command(name="check", help="check a rules file and print every fault")
@dataclasses.dataclass
class Check:
    """Arguments of ``check``."""

    file: pathlib.Path
    as_json: console.Json = False

    def __call__(self) -> None:
        """Print the faults; exit with 1 if there are any."""
        faults = rule.parse(console.read_text(self.file)).faults
        if self.as_json:
            print(json.dumps([item._asdict() for item in faults]))
        for item in faults:
            print(f"{self.file}: {item}", file=sys.stderr)
        if faults:
            raise cappa.Exit(
                code=errors.ERROR_HANDLING[errors.ErrorKind.RULES_INVALID].exit_code
            )
        if not self.as_json:
            print(f"{self.file}: no faults")


@cappa.command(name="apply", help="submit a rules file")
@dataclasses.dataclass
class Apply:
    """Arguments of ``apply``."""

    file: pathlib.Path
    platform: console.Platform
    dry_run: typing.Annotated[bool, cappa.Arg(long="--dry-run")] = False
    based_on: BasedOn = None
    author: console.Author = ""
    as_json: console.Json = False

    def __call__(self) -> None:
        """Print the difference, submit it and print the outcome."""
        console.run(self._apply)

    async def _apply(self, reactor: typing.Any) -> None:
        operator = _operator(reactor, self.platform, self.author)
        plan = await operator.plan(console.read_text(self.file), console.now_ms())
        if self.based_on is not None:
            await _check_base(operator, plan, self.based_on)
        if self.dry_run:
            before = plan.before.sequence
            console.print_lines(
                plan.lines, self.as_json, outcome="dry_run", sequence=before
            )
            return
        _print_result(await operator.submit(plan), self.as_json)


async def _check_base(
    operator: change.Operator, plan: change.Plan, based_on: int
) -> None:
    # The store's comparison covers only the time between reading and writing. A file
    # that was edited from an older text would remove another operator's lines, after
    # that operator has seen them accepted. Therefore the sequence from which the
    # edit started is compared as well.
    if plan.empty or plan.before.sequence == based_on:
        return
    print(
        f"accepted since sequence {based_on}, up to {plan.before.sequence}:",
        file=sys.stderr,
    )
    for entry in await operator.audit():
        if entry.sequence > based_on and entry.outcome == change.Outcome.ACCEPTED.value:
            for line in entry.lines:
                print(f"{entry.sequence} {entry.author}: {line}", file=sys.stderr)
    raise errors.ChangeConflictError("the lines above were accepted first")


@cappa.command(name="watch", help="submit a rules file whenever it is saved")
@dataclasses.dataclass
class Watch:
    """Arguments of ``watch``."""

    file: pathlib.Path
    platform: console.Platform
    author: console.Author = ""

    def __call__(self) -> None:
        """Submit the file after every save until interrupted."""
        console.run(self._watch)

    async def _watch(self, reactor: typing.Any) -> None:
        operator = _operator(reactor, self.platform, self.author)
        watcher = FileWatcher(operator, self.file)
        while True:
            wait_s = await watcher.poll(console.now_ms())
            await task.deferLater(reactor, wait_s)


class FileWatcher:
    """Submits a rules file whenever its text has changed."""

    def __init__(self, operator: change.Operator, file: pathlib.Path) -> None:
        """Create a watcher of one file that submits as one operator."""
        self._operator = operator
        self._file = file
        self._handled_text: str | None = None
        self._base_sequence = _NO_SEQUENCE
        self._failures = 0
        self._last_read_error = ""

    async def poll(self, now_ms: int) -> float:
        """Submit the file if its text has changed since the last poll.

        Args:
            now_ms: Wall-clock time in milliseconds.

        Returns:
            Seconds to wait before the next poll.
        """
        text = self._read()
        if text is None or text == self._handled_text:
            return _POLL_INTERVAL_S
        try:
            await self._submit(text, now_ms)
        except (errors.StoreError, errors.ChangeUnknownError) as error:
            # A save during an outage must not be lost, because the operator assumes
            # that it is submitted. The same text is submitted again until the store
            # responds.
            console.print_error(error)
            self._failures += 1
            return max(_POLL_INTERVAL_S, backoff.wait_ms(self._failures, 0.5) / 1000)
        except errors.EelgrasswickError as error:
            console.print_error(error)
        self._failures = 0
        self._handled_text = text
        return _POLL_INTERVAL_S

    def _read(self) -> str | None:
        # An editor may replace the file, which is then missing for a moment. The
        # command continues, because it would otherwise not submit later saves.
        try:
            text = self._file.read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as error:
            if str(error) != self._last_read_error:
                print(f"{self._file}: {error}", file=sys.stderr, flush=True)
            self._last_read_error = str(error)
            return None
        self._last_read_error = ""
        return text

    async def _submit(self, text: str, now_ms: int) -> None:
        plan = await self._operator.plan(text, now_ms)
        base_sequence = self._base_sequence
        # A conflict is printed once. The operator has then seen the other changes,
        # and the next save is submitted on top of them.
        self._base_sequence = plan.before.sequence
        if base_sequence == _NO_SEQUENCE:
            # The file is not submitted at the start of the command, because it may
            # be older than the accepted rules.
            console.print_lines(plan.lines, False, outcome="waits_for_save")
            return
        await _check_base(self._operator, plan, base_sequence)
        result = await self._operator.submit(plan)
        self._base_sequence = result.sequence
        _print_result(result, False)


@cappa.command(name="audit", help="show who changed what, and how it ended")
@dataclasses.dataclass
class Audit:
    """Arguments of ``audit``."""

    platform: console.Platform
    as_json: console.Json = False

    def __call__(self) -> None:
        """Print one line per change."""
        console.run(self._audit)

    async def _audit(self, reactor: typing.Any) -> None:
        entries = await _operator(reactor, self.platform, "").audit()
        console.print_table([item._asdict() for item in entries], self.as_json)


def _operator(reactor: typing.Any, url: str, author: str) -> change.Operator:
    platform = gateway.Gateway(reactor, url, console.STORE_TIMEOUT_MS)
    return change.Operator(platform, author or getpass.getuser())


def _print_result(result: change.Result, as_json: bool) -> None:
    console.print_lines(
        result.lines,
        as_json,
        outcome=result.outcome.value,
        sequence=result.sequence,
        change_id=result.change_id,
    )
    if result.outcome is change.Outcome.CONFLICT:
        raise errors.ChangeConflictError("the lines above were accepted first")
