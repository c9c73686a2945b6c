"""Commands that run stand-ins for the systems that the load balancer uses."""

import dataclasses
import pathlib
import random
import typing

import cappa
from twisted.internet import reactor as default_reactor
from twisted.internet import task

from eelgrasswick import (
    packet,
    rule,
)
from eelgrasswick.commands import console
from eelgrasswick.emulation import emulator


@cappa.command(name="platform", help="stand-in for the platform's store")
@dataclasses.dataclass
class StandinPlatform:
    """Arguments of ``standin platform``."""

    address: str

    def __call__(self) -> None:
        """Serve until interrupted."""
        emulator.run_platform(default_reactor, packet.address(self.address))
        typing.cast(typing.Any, default_reactor).run()


@cappa.command(name="fabric", help="stand-in for the fabric")
@dataclasses.dataclass
class StandinFabric:
    """Arguments of ``standin fabric``."""

    inside: str
    outside: str
    platform: console.Platform
    seed: console.Seed = 1

    def __call__(self) -> None:
        """Distribute packets to the VMs until interrupted."""
        spray = emulator.VmDirectory(
            default_reactor, self.platform, random.Random(self.seed)
        )
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
    platform: console.Platform
    report: pathlib.Path
    seed: console.Seed = 1

    def __call__(self) -> None:
        """Serve until interrupted, then write a report."""
        rng = random.Random(self.seed)
        spray = emulator.VmDirectory(default_reactor, self.platform, rng)
        rules = rule.read(console.read_text(self.rules))
        targets = emulator.Targets(default_reactor, rules, spray, rng)
        spray.start()
        reactor = typing.cast(typing.Any, default_reactor)
        reactor.addSystemEventTrigger(
            "before",
            "shutdown",
            lambda: self.report.write_text(targets.report()),
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
    seed: console.Seed = 1

    def __call__(self) -> None:
        """Send requests for the configured time, then write a report."""
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
        calling = emulator.LoadGenerator(
            reactor,
            rule.read(console.read_text(self.rules)),
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
