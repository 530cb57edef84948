"""Executes soak runs: ``python -m lab.soak --seed 1 --runs 50 --jobs 3``."""

import argparse
import asyncio
import logging
import pathlib
import sys
import tempfile

from lab.soak.plan import SoakShape
from lab.soak.run import soak

DEFAULT_SHAPE = SoakShape()


async def _run_seed(seed, directory, shape, semaphore):
    async with semaphore:
        path = directory / str(seed)
        path.mkdir(parents=True, exist_ok=True)
        result = await soak(seed, path, shape)
    answers = sum(result.answers.values())
    served = sum(n for (_, status), n in result.answers.items() if status == 200)
    state = "held" if not result.violations else "BROKEN"
    print(f"seed {seed}: {state}; {len(result.plan)} faults, {served} of {answers}")
    for violation in result.violations[:10]:
        print(f"  {violation.promise}: {violation.detail}")
    if result.violations:
        print(f"  logs in {path}; faults: {result.plan}")
    return not result.violations


async def _run_all(arguments):
    semaphore = asyncio.Semaphore(arguments.jobs)
    shape = DEFAULT_SHAPE._replace(
        instances=arguments.instances, seconds=arguments.seconds
    )
    directory = arguments.logs or pathlib.Path(tempfile.mkdtemp(prefix="soak-"))
    seeds = range(arguments.seed, arguments.seed + arguments.runs)
    pending_runs = [_run_seed(seed, directory, shape, semaphore) for seed in seeds]
    held = await asyncio.gather(*pending_runs)
    print(f"{sum(held)} of {len(held)} runs held")
    return all(held)


def main():
    """Execute the runs; exit with 1 if a promise was broken."""
    # Closing the store stand-in during long-polling reads logs expected errors.
    logging.getLogger("uvicorn.error").setLevel(logging.CRITICAL)
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="of the first run")
    parser.add_argument("--runs", type=int, default=1)
    parser.add_argument("--jobs", type=int, default=1, help="runs side by side")
    parser.add_argument("--instances", type=int, default=DEFAULT_SHAPE.instances)
    parser.add_argument("--seconds", type=float, default=DEFAULT_SHAPE.seconds)
    parser.add_argument("--logs", type=pathlib.Path, help="folder for logs")
    sys.exit(0 if asyncio.run(_run_all(parser.parse_args())) else 1)


if __name__ == "__main__":
    main()
