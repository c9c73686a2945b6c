"""Helpers shared by the commands: running, printing, and exit codes."""

import json
import pathlib
import sys
import time
import typing

import cappa
from twisted.internet import defer, task

from eelgrasswick import errors
from eelgrasswick.daemons import setting

STORE_TIMEOUT_MS: typing.Final = 3000
USAGE_EXIT_CODE: typing.Final = 1
Platform = typing.Annotated[
    str, cappa.Arg(long="--platform", help="URL of the store", parse=setting.url)
]
Json = typing.Annotated[bool, cappa.Arg(long="--json", help="print JSON")]
Author = typing.Annotated[str, cappa.Arg(long="--author", help="who submits")]
Seed = typing.Annotated[int, cappa.Arg(long="--seed", help="seed of random choices")]

Scalar = str | int | float | bool | tuple[str, ...]
Row = typing.Mapping[str, Scalar]


def run(
    work: typing.Callable[[typing.Any], typing.Coroutine[typing.Any, typing.Any, None]],
) -> None:
    """Run a coroutine on the reactor and exit with its outcome.

    Args:
        work: Called with the reactor.

    Raises:
        cappa.Exit: The work raised an ``errors.EelgrasswickError``.
    """
    failures: list[BaseException] = []

    def start(reactor: typing.Any) -> defer.Deferred[None]:
        running: defer.Deferred[None] = defer.Deferred.fromCoroutine(work(reactor))
        running.addErrback(record_failure)
        return running

    def record_failure(failure: typing.Any) -> None:
        failures.append(failure.value)

    try:
        # ``react`` raises SystemExit, also when the work has failed.
        task.react(start)
    except SystemExit:
        if not failures:
            raise
    exit_with_error(failures[0])


def exit_with_error(error: BaseException) -> typing.NoReturn:
    """Print an ``errors.EelgrasswickError`` to stderr and exit with its code.

    Any other exception is raised again.
    """
    if not isinstance(error, errors.EelgrasswickError):
        raise error
    print_error(error)
    raise cappa.Exit(code=error.handling.exit_code)


def print_error(error: errors.EelgrasswickError) -> None:
    """Print an error, one line per fault, and then its remedy."""
    for line in error.detail.splitlines():
        print(f"{error.kind.value}: {line}", file=sys.stderr)
    print(f"{error.kind.value}: {error.handling.remedy}", file=sys.stderr, flush=True)


def read_text(path: pathlib.Path) -> str:
    """Return the text of a file; print an error and exit if it can't be read."""
    try:
        return path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        print(f"{path}: {error}", file=sys.stderr)
        raise cappa.Exit(code=USAGE_EXIT_CODE) from error


def print_lines(
    lines: typing.Sequence[str], as_json: bool, **fields: str | int
) -> None:
    """Print lines and then key=value pairs, or all of it as one JSON object."""
    if as_json:
        print(json.dumps({**fields, "lines": list(lines)}), flush=True)
        return
    for line in lines:
        print(line)
    print(" ".join(f"{key}={value}" for key, value in fields.items()), flush=True)


def print_table(rows: typing.Sequence[Row], as_json: bool) -> None:
    """Print one line of key=value pairs per row, or a JSON array."""
    if as_json:
        print(json.dumps(rows))
        return
    for row in rows:
        print(" ".join(f"{key}={_format_value(value)}" for key, value in row.items()))


def _format_value(value: Scalar) -> str:
    formatted = "; ".join(value) if isinstance(value, tuple) else str(value)
    # Texts of the store may have characters that a terminal acts on or can't encode.
    plain = formatted and " " not in formatted and formatted.isprintable()
    return formatted if plain else json.dumps(formatted)


def now_ms() -> int:
    """Return wall-clock time in milliseconds."""
    return time.time_ns() // 1_000_000
