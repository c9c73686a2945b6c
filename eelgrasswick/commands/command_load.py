"""The command ``load``: measures a placement policy in virtual time."""

import dataclasses
import json
import pathlib
import typing

import cappa

from eelgrasswick import errors
from eelgrasswick.commands import console
from eelgrasswick.emulation import (
    experiment,
    oracle,
    scenario_file,
)


@cappa.command(name="load", help="measure a policy on a scenario, in virtual time")
@dataclasses.dataclass
class Load:
    """Arguments of ``load``."""

    scenario: pathlib.Path
    policy: typing.Annotated[
        str, cappa.Arg(long="--policy", help=", ".join(oracle.POLICIES))
    ] = "bounded"
    seed: console.Seed = 1
    as_json: console.Json = False

    def __call__(self) -> None:
        """Run the scenario and print its measurements."""
        try:
            parsed = scenario_file.parse(console.read_text(self.scenario))
            measurement = experiment.Experiment(parsed, self.policy, self.seed)
        except errors.ScenarioInvalidError as error:
            console.exit_with_error(error)
        result = measurement.run()
        print(json.dumps(result._asdict()) if self.as_json else result.line)
