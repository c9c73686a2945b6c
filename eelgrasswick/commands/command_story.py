"""The command ``story``: what the logs say of one flow."""

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
        """Print the story, or say that no log knows the flow."""
        lines = [line for path in self.logs for line in _lines(path)]
        told = story.extract(lines, self.flow)
        if not told.flow:
            raise cappa.Exit(f"no log names {self.flow}", code=1)
        for title, part in told._asdict().items():
            print(f"{title}:")
            for line in part:
                print(f"  {line}")


def _lines(path: pathlib.Path) -> list[str]:
    return console.read_text(path).splitlines()
