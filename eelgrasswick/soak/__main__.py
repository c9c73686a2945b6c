"""Runs a seed, or several one after the other: ``python -m eelgrasswick.soak``."""

import argparse
import pathlib
import shutil
import tempfile
import typing

from twisted.internet import defer, task

from eelgrasswick.soak import faults, layout, regression_seeds, run, scarcity


def _options() -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="eelgrasswick.soak", description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="the first seed")
    parser.add_argument("--seeds", type=int, default=1, help="how many seeds")
    parser.add_argument("--duration-s", type=float, default=24.0)
    parser.add_argument("--vms", type=int, default=6)
    parser.add_argument("--targets", type=int, default=9)
    parser.add_argument("--flows-per-s", type=float, default=15.0)
    parser.add_argument("--faults", type=int, default=10)
    parser.add_argument(
        "--kept", action="store_true", help="the seeds that failed once, as they were"
    )
    parser.add_argument(
        "--scarce", action="store_true", help="too little capacity for any seed"
    )
    parser.add_argument("--kinds", help="kinds of faults to draw from, with commas")
    parser.add_argument("--plot", type=pathlib.Path, help="picture of the last run")
    parser.add_argument("--keep", type=pathlib.Path, help="folder for failing seeds")
    return parser.parse_args()


async def _run_seeds(reactor: typing.Any, options: argparse.Namespace) -> None:
    end = options.seed + options.seeds
    seeds: tuple[regression_seeds.RegressionSeed, ...] = regression_seeds.SEEDS
    if not options.kept:
        seeds = tuple(_drawn(seed, options) for seed in range(options.seed, end))
    failed = 0
    for item in seeds:
        run_options = run.Options(
            item.seed,
            options.duration_s,
            options.vms,
            options.targets,
            options.flows_per_s,
            options.faults,
            item.kinds,
            options.plot,
            item.scarce,
        )
        failed += not await _run_seed(reactor, run_options, options.keep)
    print(f"{len(seeds) - failed} passed, {failed} failed")
    if failed:
        raise SystemExit(1)


def _drawn(seed: int, options: argparse.Namespace) -> regression_seeds.RegressionSeed:
    scarce = options.scarce or scarcity.is_drawn(seed)
    kinds = tuple(options.kinds.split(",")) if options.kinds else faults.KINDS
    return regression_seeds.RegressionSeed(seed, "", kinds, scarce)


async def _run_seed(
    reactor: typing.Any, options: run.Options, keep: pathlib.Path | None
) -> bool:
    with layout.reserve_block() as block, tempfile.TemporaryDirectory() as path:
        folder = pathlib.Path(path)
        verdict = await run.Run(reactor, block, options, folder).execute()
        print(verdict.line, flush=True)
        for violation in verdict.breaches:
            print(
                f"  {violation.invariant}: {violation.detail}: {violation.event}",
                flush=True,
            )
        if not verdict.passed and keep is not None:
            destination = keep / f"seed-{options.seed}"
            shutil.copytree(folder, destination, dirs_exist_ok=True)
    return verdict.passed


def main() -> None:
    """Run the seeds that the command line selects."""
    options = _options()

    def start(reactor: typing.Any) -> "defer.Deferred[None]":
        return defer.Deferred.fromCoroutine(_run_seeds(reactor, options))

    task.react(start)


if __name__ == "__main__":
    main()
