"""The command ``load``: measures a policy on a scenario in virtual time."""

import dataclasses
import json
import pathlib
import sys
import typing

import cappa

from eelgrasswick import errors, experiment, oracle, scenario_file


@cappa.command(name="load", help="measure a policy on a scenario, in virtual time")
@dataclasses.dataclass
class Load:
    """Arguments of ``load``."""

    scenario: pathlib.Path
    policy: typing.Annotated[
        str, cappa.Arg(long="--policy", help=", ".join(oracle.POLICIES))
    ] = "bounded"
    seed: typing.Annotated[
        int, cappa.Arg(long="--seed", help="seed of random choices")
    ] = 1
    as_json: typing.Annotated[bool, cappa.Arg(long="--json", help="print JSON")] = False

    def __call__(self) -> None:
        """Run the scenario and print its figures."""
        try:
            read = scenario_file.parse(self.scenario.read_text())
            if self.policy not in oracle.POLICIES:
                known = ", ".join(oracle.POLICIES)
                raise errors.ScenarioInvalidError(f"policy is none of {known}")
        except (OSError, UnicodeDecodeError) as error:
            print(f"{self.scenario}: {error}", file=sys.stderr)
            raise cappa.Exit(code=1) from error
        except errors.ScenarioInvalidError as error:
            print(f"{error.kind.value}: {error.detail}", file=sys.stderr)
            print(error.answer.remedy, file=sys.stderr)
            raise cappa.Exit(code=error.answer.exit_code) from error
        result = experiment.Experiment(read, self.policy, self.seed).run()
        print(json.dumps(result._asdict()) if self.as_json else result.line)
