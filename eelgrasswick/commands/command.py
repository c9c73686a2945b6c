"""The command line: the group of all commands, and the command ``entry``."""

import dataclasses
import pathlib
import sys
import typing

import cappa
from twisted.internet import reactor as default_reactor

from eelgrasswick import (
    compose,
    errors,
)
from eelgrasswick.commands import (
    command_load,
    command_operator,
    command_show,
    command_standin,
    command_story,
    console,
)
from eelgrasswick.daemons import (
    log,
    setting,
)
from eelgrasswick.trials import (
    capacity,
    packet_cost,
    trial,
)


@cappa.command(name="entry", help="run an entry VM")
@dataclasses.dataclass
class Entry:
    """Arguments of ``entry``."""

    settings: pathlib.Path

    def __call__(self) -> None:
        """Run an entry VM; on SIGTERM it leaves the fleet and the process exits."""
        try:
            settings = setting.load(self.settings)
            log.log_to_stream(sys.stdout)
            log.log_twisted_errors(settings.vm.name)
            compose.entry_daemon(default_reactor, settings).start()
        except errors.EelgrasswickError as error:
            console.exit_with_error(error)
        typing.cast(typing.Any, default_reactor).run(installSignalHandlers=False)


@cappa.command(name="eelgrasswick", help="a layer-4 load balancer fleet")
@dataclasses.dataclass
class Eelgrasswick:
    """The group of all commands."""

    command: cappa.Subcommands[
        command_operator.Check
        | command_operator.Apply
        | command_operator.Watch
        | command_show.Show
        | command_operator.Audit
        | command_load.Load
        | Entry
        | command_standin.Standin
        | command_story.Story
        | trial.Trial
        | packet_cost.PacketCost
        | capacity.Capacity
    ]


def main() -> None:
    """Run the command line."""
    cappa.invoke(Eelgrasswick)
