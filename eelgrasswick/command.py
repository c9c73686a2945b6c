"""The command line."""

import dataclasses
import getpass
import json
import pathlib
import random
import sys
import time
import typing

import cappa
from twisted.internet import defer, task
from twisted.internet import reactor as default_reactor

from eelgrasswick import (
    change,
    command_load,
    compose,
    emulator,
    errors,
    gateway,
    log,
    packet,
    rule,
    setting,
    store,
)

_TIMEOUT_MS: typing.Final = 3000
_WATCH_S: typing.Final = 0.5
Platform = typing.Annotated[str, cappa.Arg(long="--platform", help="URL of the store")]
Json = typing.Annotated[bool, cappa.Arg(long="--json", help="print JSON")]
Seed = typing.Annotated[int, cappa.Arg(long="--seed", help="seed of random choices")]


@cappa.command(name="check", help="check a rules file and print every fault")
@dataclasses.dataclass
class Check:
    """Arguments of ``check``."""

    file: pathlib.Path
    as_json: Json = False

    def __call__(self) -> None:
        """Print the faults; exit with 1 if there are any."""
        faults = rule.parse(_text(self.file)).faults
        if self.as_json:
            print(json.dumps([item._asdict() for item in faults]))
        for item in faults:
            print(f"{self.file}: {item}", file=sys.stderr)
        if faults:
            raise cappa.Exit(
                code=errors.ANSWERS[errors.ErrorKind.RULES_INVALID].exit_code
            )
        if not self.as_json:
            print(f"{self.file}: no faults")


@cappa.command(name="apply", help="submit a rules file")
@dataclasses.dataclass
class Apply:
    """Arguments of ``apply``."""

    file: pathlib.Path
    platform: Platform
    dry_run: typing.Annotated[bool, cappa.Arg(long="--dry-run")] = False
    author: typing.Annotated[str, cappa.Arg(long="--author")] = ""
    as_json: Json = False

    def __call__(self) -> None:
        """Show the difference, submit it and tell how it ended."""
        _run(self._apply)

    async def _apply(self, reactor: typing.Any) -> None:
        operator = _operator(reactor, self.platform, self.author)
        plan = await operator.plan(_text(self.file), _now_ms())
        if self.dry_run:
            _print_lines(plan.lines, self.as_json, outcome="dry_run")
            return
        _tell(await operator.submit(plan), self.as_json)


@cappa.command(name="watch", help="submit a rules file whenever it is saved")
@dataclasses.dataclass
class Watch:
    """Arguments of ``watch``."""

    file: pathlib.Path
    platform: Platform
    author: typing.Annotated[str, cappa.Arg(long="--author")] = ""

    def __call__(self) -> None:
        """Submit on every save until interrupted."""
        _run(self._watch)

    async def _watch(self, reactor: typing.Any) -> None:
        operator = _operator(reactor, self.platform, self.author)
        seen = None
        while True:
            text = _text(self.file)
            if text != seen:
                seen = text
                await _submit_saved(operator, text)
            await task.deferLater(reactor, _WATCH_S)


async def _submit_saved(operator: change.Operator, text: str) -> None:
    try:
        plan = await operator.plan(text, _now_ms())
        _tell(await operator.submit(plan), False)
    except errors.EelgrasswickError as error:
        print(f"{error.kind.value}: {error.detail}", file=sys.stderr)
    except cappa.Exit:
        pass


@cappa.command(name="show", help="show the sequence in force at each entry VM")
@dataclasses.dataclass
class Show:
    """Arguments of ``show``."""

    platform: Platform
    as_json: Json = False

    def __call__(self) -> None:
        """Print one line per VM."""
        _run(self._show)

    async def _show(self, reactor: typing.Any) -> None:
        platform = gateway.Gateway(reactor, self.platform, _TIMEOUT_MS)
        rows = await platform.read_prefix(store.IN_FORCE_PREFIX)
        found = [
            {
                "zone": row.key.removeprefix(store.IN_FORCE_PREFIX),
                "vm": vm,
                "sequence": n,
            }
            for row in rows
            for vm, n in sorted(json.loads(row.value).items())
        ]
        _print_table(found, self.as_json)


@cappa.command(name="audit", help="show who changed what, and how it ended")
@dataclasses.dataclass
class Audit:
    """Arguments of ``audit``."""

    platform: Platform
    as_json: Json = False

    def __call__(self) -> None:
        """Print one line per submission."""
        _run(self._audit)

    async def _audit(self, reactor: typing.Any) -> None:
        entries = await _operator(reactor, self.platform, "").audit()
        _print_table([item._asdict() for item in entries], self.as_json)


@cappa.command(name="entry", help="run an entry VM")
@dataclasses.dataclass
class Entry:
    """Arguments of ``entry``."""

    settings: pathlib.Path

    def __call__(self) -> None:
        """Run until SIGTERM; leave the fleet, then end."""
        loaded = _checked(lambda: setting.load(self.settings))
        log.write_to(sys.stdout)
        compose.entry_daemon(default_reactor, loaded).start()
        typing.cast(typing.Any, default_reactor).run(installSignalHandlers=False)


@cappa.command(name="platform", help="stand-in for the platform's store")
@dataclasses.dataclass
class StandinPlatform:
    """Arguments of ``standin platform``."""

    address: str

    def __call__(self) -> None:
        """Serve until ended."""
        emulator.run_platform(default_reactor, packet.address(self.address))
        typing.cast(typing.Any, default_reactor).run()


@cappa.command(name="fabric", help="stand-in for the fabric")
@dataclasses.dataclass
class StandinFabric:
    """Arguments of ``standin fabric``."""

    inside: str
    outside: str
    platform: Platform
    seed: Seed = 1

    def __call__(self) -> None:
        """Spray packets until ended."""
        spray = emulator.Spray(default_reactor, self.platform, random.Random(self.seed))
        emulator.Fabric(
            default_reactor,
            spray,
            packet.address(self.inside),
            packet.address(self.outside),
        )
        spray.start()
        typing.cast(typing.Any, default_reactor).run()


@cappa.command(name="targets", help="stand-ins for all targets of a rules file")
@dataclasses.dataclass
class StandinTargets:
    """Arguments of ``standin targets``."""

    rules: pathlib.Path
    platform: Platform
    report: pathlib.Path
    seed: Seed = 1

    def __call__(self) -> None:
        """Serve until ended, then write a report."""
        rng = random.Random(self.seed)
        spray = emulator.Spray(default_reactor, self.platform, rng)
        rules = rule.read(_text(self.rules))
        targets = emulator.Targets(default_reactor, rules, spray, rng)
        spray.start()
        reactor = typing.cast(typing.Any, default_reactor)
        reactor.addSystemEventTrigger(
            "before", "shutdown", lambda: self.report.write_text(targets.report())
        )
        reactor.run()


@cappa.command(name="callers", help="stand-ins for callers")
@dataclasses.dataclass
class StandinCallers:
    """Arguments of ``standin callers``."""

    rules: pathlib.Path
    fabric: str
    report: pathlib.Path
    rate_per_s: typing.Annotated[float, cappa.Arg(long=True)] = 20.0
    duration_s: typing.Annotated[float, cappa.Arg(long=True)] = 10.0
    grace_s: typing.Annotated[float, cappa.Arg(long=True)] = 10.0
    long_share: typing.Annotated[float, cappa.Arg(long=True)] = 0.2
    work_ms: typing.Annotated[int, cappa.Arg(long=True)] = 20
    long_parts: typing.Annotated[int, cappa.Arg(long=True)] = 40
    long_every_ms: typing.Annotated[int, cappa.Arg(long=True)] = 200
    seed: Seed = 1

    def __call__(self) -> None:
        """Call until done, then write a report."""
        load = emulator.Load(
            self.rate_per_s,
            self.duration_s,
            self.grace_s,
            self.long_share,
            self.work_ms,
            self.long_parts,
            self.long_every_ms,
        )
        reactor = typing.cast(typing.Any, default_reactor)
        calling = emulator.Calling(
            reactor,
            rule.read(_text(self.rules)),
            packet.address(self.fabric),
            load,
            random.Random(self.seed),
        )
        task.LoopingCall(lambda: print(calling.progress(), flush=True)).start(1.0)
        calling.done.addCallback(lambda _: reactor.stop())
        reactor.run()
        self.report.write_text(calling.report())


@cappa.command(name="standin", help="run a stand-in of what lies around the system")
@dataclasses.dataclass
class Standin:
    """The group of stand-ins."""

    part: cappa.Subcommands[
        StandinPlatform | StandinFabric | StandinTargets | StandinCallers
    ]


@cappa.command(name="eelgrasswick", help="a layer-4 load balancer fleet")
@dataclasses.dataclass
class Eelgrasswick:
    """All commands."""

    command: cappa.Subcommands[
        Check | Apply | Watch | Show | Audit | Entry | Standin | command_load.Load
    ]


def main() -> None:
    """Run the command line."""
    cappa.invoke(Eelgrasswick)


def _run(work: typing.Callable[[typing.Any], typing.Any]) -> None:
    failures: list[BaseException] = []

    def start(reactor: typing.Any) -> defer.Deferred[None]:
        done: defer.Deferred[None] = defer.Deferred.fromCoroutine(work(reactor))
        done.addErrback(note)
        return done

    def note(failure: typing.Any) -> None:
        failures.append(failure.value)

    try:
        task.react(start)
    except SystemExit:
        if not failures:
            raise
    _exit(failures[0])


def _checked(read: typing.Callable[[], setting.Settings]) -> setting.Settings:
    try:
        return read()
    except errors.EelgrasswickError as error:
        _exit(error)
        raise


def _exit(error: BaseException) -> None:
    if not isinstance(error, errors.EelgrasswickError):
        raise error
    answer = error.answer
    print(f"{error.kind.value}: {error.detail}\n{answer.remedy}", file=sys.stderr)
    raise cappa.Exit(code=answer.exit_code)


def _operator(reactor: typing.Any, url: str, author: str) -> change.Operator:
    platform = gateway.Gateway(reactor, url, _TIMEOUT_MS)
    return change.Operator(platform, author or getpass.getuser())


def _tell(result: change.Result, as_json: bool) -> None:
    _print_lines(
        result.lines,
        as_json,
        outcome=result.outcome.value,
        sequence=result.sequence,
        change_id=result.change_id,
    )
    if result.outcome is change.Outcome.CONFLICT:
        raise errors.ChangeConflictError("the lines above were accepted first")


def _print_lines(lines: tuple[str, ...], as_json: bool, **fields: str | int) -> None:
    if as_json:
        print(json.dumps({**fields, "lines": lines}))
        return
    for line in lines:
        print(line)
    print(" ".join(f"{key}={value}" for key, value in fields.items()))


def _print_table(rows: list[dict[str, typing.Any]], as_json: bool) -> None:
    if as_json:
        print(json.dumps(rows))
        return
    for row in rows:
        print(" ".join(f"{key}={value}" for key, value in row.items()))


def _text(path: pathlib.Path) -> str:
    try:
        return path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        print(f"{path}: {error}", file=sys.stderr)
        raise cappa.Exit(code=1) from error


def _now_ms() -> int:
    return time.time_ns() // 1_000_000
