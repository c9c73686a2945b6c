"""The command that runs the trials from which design decisions were derived."""

import abc
import dataclasses
import json
import pathlib
import typing

import cappa

from eelgrasswick import errors
from eelgrasswick.commands import console
from eelgrasswick.decisions import placement
from eelgrasswick.emulation import cookie_scenario, open_scenario
from eelgrasswick.trials import (
    trial_engine,
    trial_load,
    trial_overload,
    trial_placement,
    trial_spread,
    trial_steering,
)

Seed = typing.Annotated[int, cappa.Arg(long="--seed", help="seed of random choices")]
Vms = typing.Annotated[int, cappa.Arg(long="--vms", help="number of entry VMs")]


@cappa.command(name="spread", help="how a newer configuration reaches every VM")
@dataclasses.dataclass
class Spread:
    """Arguments of ``trial spread``."""

    vms: Vms = 8
    fan_outs: typing.Annotated[
        list[int], cappa.Arg(long="--fan-out", help="VMs to announce to; 0 for none")
    ] = dataclasses.field(default_factory=lambda: [0, 1, 2, 4, 8])
    losses: typing.Annotated[
        list[float], cappa.Arg(long="--loss", help="share of datagrams lost")
    ] = dataclasses.field(default_factory=lambda: [0.0, 0.05, 0.2])
    seed: Seed = 1

    def __call__(self) -> None:
        """Print one line for each combination of loss and fan-out."""
        for loss in self.losses:
            for fan_out in self.fan_outs:
                print_row(trial_spread.measure(self.vms, fan_out, loss, self.seed))


@cappa.command(name="placement", help="weigh three ways to place flows")
@dataclasses.dataclass
class Placement:
    """Arguments of ``trial placement``."""

    vms: Vms = 8
    rate_per_s: typing.Annotated[
        int, cappa.Arg(long="--rate-per-s", help="new flows a second")
    ] = 2000
    duration_s: typing.Annotated[
        int, cappa.Arg(long="--duration-s", help="virtual seconds")
    ] = 20
    engines: typing.Annotated[
        bool, cappa.Arg(long="--engines", help="run the engines, not the models")
    ] = False
    factor: typing.Annotated[
        float, cappa.Arg(long="--factor", help="bound on a target's load")
    ] = placement.OPEN_FACTOR
    claimed: typing.Annotated[
        bool, cappa.Arg(long="--claimed", help="engines take targets as claimed")
    ] = False
    seed: Seed = 1

    def __call__(self) -> None:
        """Print one line for each model, or a single line for the engines."""
        load = trial_load.Load(
            self.vms,
            self.rate_per_s,
            self.duration_s,
            self.seed,
            self.factor,
            not self.claimed,
        )
        if self.engines:
            print_row(trial_engine.run(load))
            return
        for row in trial_placement.run(load):
            print_row(row)


@dataclasses.dataclass
class _Loads(abc.ABC):
    """Arguments of a trial that runs loads selected by name."""

    loads: typing.Annotated[list[str], cappa.Arg(help="names of loads")]
    seed: Seed = 1
    seeds: typing.Annotated[
        int, cappa.Arg(long="--seeds", help="how many seeds, from the first on")
    ] = 1
    plot: typing.Annotated[
        pathlib.Path | None, cappa.Arg(long="--plot", help="picture of the last run")
    ] = None

    def __call__(self) -> None:
        """Print one line for each combination of load and seed."""
        try:
            for name in self.loads:
                for seed in range(self.seed, self.seed + self.seeds):
                    print_row(self._run(name, seed))
        except errors.ScenarioInvalidError as error:
            console.exit_with_error(error)

    @abc.abstractmethod
    def _run(self, name: str, seed: int) -> typing.NamedTuple:
        """Run one load and return its row."""


@cappa.command(
    name="steering",
    help="what callers get when flows name their target; loads: "
    + ", ".join(cookie_scenario.LOADS),
)
@dataclasses.dataclass
class Steering(_Loads):
    """Arguments of ``trial steering``."""

    def _run(self, name: str, seed: int) -> typing.NamedTuple:
        return trial_steering.play(name, seed, self.plot)


@cappa.command(
    name="overload",
    help="what callers get when requests keep coming; loads: "
    + ", ".join(open_scenario.LOADS),
)
@dataclasses.dataclass
class Overload(_Loads):
    """Arguments of ``trial overload``."""

    def _run(self, name: str, seed: int) -> typing.NamedTuple:
        return trial_overload.play(name, seed, self.plot)


@cappa.command(name="trial", help="run a trial in virtual time")
@dataclasses.dataclass
class Trial:
    """The command group of the trials."""

    part: cappa.Subcommands[Spread | Placement | Steering | Overload]


def print_row(row: typing.Any) -> None:
    """Print a named tuple as one line of key=value pairs.

    A value that contains a space is printed as a JSON string.
    """
    pairs = row._asdict().items()
    print(" ".join(f"{key}={_formatted(value)}" for key, value in pairs), flush=True)


def _formatted(value: object) -> str:
    text = str(value)
    return json.dumps(text) if " " in text else text
