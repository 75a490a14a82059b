"""Runs seeds of a soak from the command line."""

import argparse
import asyncio
import contextlib
import os
import tempfile
from collections.abc import Callable
from pathlib import Path
from typing import Protocol


class Runnable(Protocol):
    """A soak of one seed."""

    async def run(self) -> list[str]:
        """Run it and return the violations."""


def build_parser(description: str) -> argparse.ArgumentParser:
    """Return a parser with the options that all soaks have."""
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--seed", type=int, default=None)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--logs", default="run/soak", help="folder for the logs")
    return parser


def run_seeds(
    options: argparse.Namespace, name: str, run_seed: Callable[[int, Path], list[str]]
) -> int:
    """Run one or more seeds and print their violations.

    :param name: name of the runs, for their folders.
    :param run_seed: runs a seed with a folder for its logs and returns the violations.
    :returns: the exit code.
    """
    first = options.seed
    if first is None:
        first = int.from_bytes(os.urandom(3), "big")
    failed = []
    for seed in range(first, first + options.seeds):
        violations = run_seed(seed, Path(options.logs) / f"{name}-{seed}")
        for line in violations:
            print(f"seed {seed}: {line}", flush=True)
        if violations:
            failed.append(seed)
    print(f"{options.seeds - len(failed)} seeds passed, failed: {failed}")
    return 1 if failed else 0


def run_soak(build: Callable[[Path], Runnable], folder: Path | None) -> list[str]:
    """Run a soak and return its violations.

    :param build: builds the soak with a folder for its logs.
    :param folder: folder that is kept; ``None`` for a temporary one.
    """
    with contextlib.ExitStack() as stack:
        if folder is None:
            folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        folder.mkdir(parents=True, exist_ok=True)
        return asyncio.run(build(folder).run())
