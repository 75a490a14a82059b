"""Fits the closed form of service to short runs of the replay with fixed splits.

``python -m benchmarks.fleet_fit`` prints the constants of
:mod:`camphorgate.fleet.service_share` that fit best, and the error of the present
ones.
"""

import math
import random
from concurrent.futures import ProcessPoolExecutor

import numpy as np

from benchmarks.traces import RATES, constant_trace
from camphorgate.fleet import service_share
from camphorgate.fleet.replay import Replay
from camphorgate.fleet.replay_result import result_of
from camphorgate.fleet.state import Demand, Split

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

Row = tuple[Split, Demand, float]


class _Still:
    """A planner that changes nothing."""

    changes = 0

    def plan(self, now, engines, sample) -> list:
        """Return no orders."""
        return []

    def target_of(self, engine_id: str) -> None:
        """Return that nothing changes."""


def measure(task: tuple[Split, float, float]) -> Row:
    """Replay one split under a steady load."""
    split, load, share = task
    trace = constant_trace(split, load, share, SECONDS)
    result = result_of(Replay(trace, _Still(), 1.0).run(), 1.0)
    work = [item for item in trace.requests if item[4] != "booking"]
    prefill = sum(item[2] for item in work)
    demand = Demand(
        prefill / SECONDS,
        sum(item[3] for item in work) / SECONDS,
        prompt=prefill / len(work),
    )
    return split, demand, result.goodput


def error_of(rows: list[Row]) -> float:
    """Return the root mean square error of the present constants."""
    errors = [
        service_share.served_share(split, demand, RATES) - goodput
        for split, demand, goodput in rows
    ]
    return math.sqrt(float(np.mean(np.square(errors))))


def fit(rows: list[Row]) -> float:
    """Move the constants at random and keep what fits better."""
    source = random.Random(1)
    best = error_of(rows)
    for step in range(STEPS):
        size = 0.2 * 0.5 ** (3 * step / STEPS)
        before = {name: getattr(service_share, name) for name in CONSTANTS}
        for name in CONSTANTS:
            if source.random() < 0.4:
                moved = before[name] * math.exp(source.gauss(0, size))
                setattr(service_share, name, moved)
        error = error_of(rows)
        if error < best:
            best = error
        else:
            for name, value in before.items():
                setattr(service_share, name, value)
    return best


def main(workers: int = 6) -> None:
    """Measure all splits and print the fit."""
    tasks = [
        (Split(prefill, decode, count - prefill - decode), load, share)
        for count in ENGINES
        for load in LOADS
        for share in PREFILL_SHARES
        for prefill in range(count)
        for decode in range(count - prefill)
    ]
    with ProcessPoolExecutor(workers) as pool:
        rows = list(pool.map(measure, tasks, chunksize=8))
    print(f"{len(rows)} runs, error of the present constants {error_of(rows):.4f}")
    print(f"error of the fit {fit(rows):.4f}")
    for name in CONSTANTS:
        print(f"{name} = {getattr(service_share, name):.3f}")


if __name__ == "__main__":
    main()
