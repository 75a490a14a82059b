"""Fits the closed form of the served share to short replays with fixed roles.

``python -m benchmarks.fleet_fit`` prints the constants of
:mod:`camphorgate.fleet.service_share` that fit best, and the error of the
current ones.
"""

import math
import random
from concurrent.futures import ProcessPoolExecutor

import numpy as np

from benchmarks.traces import RATES, constant_trace
from camphorgate.fleet import service_share
from camphorgate.fleet.pool_state import Demand, RoleCounts
from camphorgate.fleet.replay import Replay
from camphorgate.fleet.replay_result import result_of

CONSTANTS = (
    "WAIT_DECAY",
    "LENGTH_SPREAD",
    "OVERFLOW_POWER",
    "DECODE_KNEE",
    "DECODE_STEEPNESS",
    "LOST_DECODE",
)
ENGINES = (6, 9)
LOADS = (0.3, 0.45, 0.6, 0.75, 0.9)
PREFILL_SHARES = (0.2, 0.43, 0.7)
SECONDS = 300.0
STEPS = 2000

Row = tuple[RoleCounts, Demand, float]


class _StaticPlanner:
    """A planner that never changes a role or the capacity."""

    changes = 0

    def plan(self, now, engines, sample) -> list:
        """Return no orders."""
        return []

    def target_of(self, engine_id: str) -> None:
        """Return ``None``, as no engine changes its role."""


def measure(task: tuple[RoleCounts, float, float]) -> Row:
    """Replay one split of roles under a steady load and return its goodput."""
    split, load, share = task
    trace = constant_trace(split, load, share, SECONDS)
    result = result_of(Replay(trace, _StaticPlanner(), 1.0).run(), 1.0)
    work = [item for item in trace.requests if item[4] != "booking"]
    prefill = sum(item[2] for item in work)
    demand = Demand(
        prefill / SECONDS,
        sum(item[3] for item in work) / SECONDS,
        prompt=prefill / len(work),
    )
    return split, demand, result.goodput


def rms_error(rows: list[Row]) -> float:
    """Return the root mean square error of the current constants."""
    errors = [
        service_share.served_share(split, demand, RATES) - goodput
        for split, demand, goodput in rows
    ]
    return math.sqrt(float(np.mean(np.square(errors))))


def fit(rows: list[Row]) -> float:
    """Fit the constants by random search and return the lowest error."""
    generator = random.Random(1)
    lowest_error = rms_error(rows)
    for step in range(STEPS):
        step_size = 0.2 * 0.5 ** (3 * step / STEPS)
        previous = {name: getattr(service_share, name) for name in CONSTANTS}
        for name in CONSTANTS:
            if generator.random() < 0.4:
                candidate = previous[name] * math.exp(generator.gauss(0, step_size))
                setattr(service_share, name, candidate)
        error = rms_error(rows)
        if error < lowest_error:
            lowest_error = error
        else:
            for name, value in previous.items():
                setattr(service_share, name, value)
    return lowest_error


def main(workers: int = 6) -> None:
    """Measure all splits and print the fit."""
    tasks = [
        (RoleCounts(prefill, decode, count - prefill - decode), load, share)
        for count in ENGINES
        for load in LOADS
        for share in PREFILL_SHARES
        for prefill in range(count)
        for decode in range(count - prefill)
    ]
    with ProcessPoolExecutor(workers) as pool:
        rows = list(pool.map(measure, tasks, chunksize=8))
    print(f"{len(rows)} runs, error of the current constants {rms_error(rows):.4f}")
    print(f"error of the fit {fit(rows):.4f}")
    for name in CONSTANTS:
        print(f"{name} = {getattr(service_share, name):.3f}")


if __name__ == "__main__":
    main()
