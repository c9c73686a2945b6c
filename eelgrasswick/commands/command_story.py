"""The command ``story``: log lines of entry VMs that concern one flow."""

import dataclasses
import pathlib
import typing

import cappa

from eelgrasswick import story
from eelgrasswick.commands import console


@cappa.command(name="story", help="tell a flow's story from the logs of entry VMs")
@dataclasses.dataclass
class Story:
    """Arguments of ``story``."""

    flow: typing.Annotated[str, cappa.Arg(help="IP:port>IP:port, or a part of it")]
    logs: typing.Annotated[list[pathlib.Path], cappa.Arg(help="log files")]

    def __call__(self) -> None:
        """Print the flow's log lines by section, or exit with 1 when there are none."""
        lines = [line for path in self.logs for line in _lines(path)]
        found = story.extract(lines, self.flow)
        if not found.flow:
            raise cappa.Exit(f"no log contains {self.flow}", code=1)
        for title, section in found._asdict().items():
            print(f"{title}:")
            for line in section:
                print(f"  {line}")


def _lines(path: pathlib.Path) -> list[str]:
    return console.read_text(path).splitlines()
