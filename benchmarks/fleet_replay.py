"""Compares the fleet planners with baselines and a clairvoyant planner.

``python -m benchmarks.fleet_replay [--seeds 20] [--trace NAME] [--workers 4]`` prints a
table per deployment and writes ``docs/measurements/fleet.csv`` with ``--write``.
"""

import csv
import statistics
import time
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

import fire
import msgspec

from benchmarks.clairvoyant import ClairvoyantPlanner
from benchmarks.traces import RATES, Site, traces
from camphorgate.fleet.planner_parameters import (
    PlannerParameters,
    planner_parameters_for,
)
from camphorgate.fleet.replay import Replay
from camphorgate.fleet.replay_planner import PolicyPlanner
from camphorgate.fleet.replay_result import Result, result_of
from camphorgate.manifest import Capacity, Objective, Pool

RESULTS = Path(__file__).resolve().parent.parent / "docs/measurements/fleet.csv"
PLANS = ("static", "greedy_threshold", "forecast", "clairvoyant")
# Traces with a fixed number of engines, so that only roles change.
FIXED_FLEET = ("mix_shift", "crash_in_change")
PROVISIONING_SECONDS = 180.0
CSV_FIELDS = (
    "deployment",
    "trace",
    "plan",
    "seed",
    "goodput",
    "changes",
    "worst_workspace",
    "cheap_share",
    "cost_per_goodput",
    "refused",
    "unknown",
    "harm",
)


class Deployment(msgspec.Struct, frozen=True):
    """A deployment of the design page, as planner settings."""

    zones: tuple[str, ...]
    engines: int
    cheap: int
    cheap_share: float
    objective: Objective


DEPLOYMENTS = {
    "maronenglut": Deployment(
        ("innsbruck-a", "innsbruck-b", "kufstein-a", "salzburg-a"),
        9,
        4,
        0.5,
        Objective(goodput=1.0, worst_workspace=1.0, cost=2.0, cheap_capacity=2.0),
    ),
    "akmola": Deployment(
        ("astana-north", "kokshe", "shchuch"),
        6,
        2,
        0.35,
        Objective(goodput=2.0, worst_workspace=2.0, cost=1.0, cheap_capacity=0.5),
    ),
}


def parameters_for(deployment: Deployment, trace: str) -> PlannerParameters:
    """Return the planner parameters, with a fixed fleet where only roles change."""
    fixed = trace in FIXED_FLEET
    engines = deployment.engines
    capacity = Capacity(
        minimum=engines if fixed else 3,
        maximum=engines if fixed else 3 * engines,
        cheap_share=deployment.cheap_share,
        provisioning_seconds=PROVISIONING_SECONDS,
    )
    pool = Pool("models", "engines", capacity=capacity)
    parameters = planner_parameters_for(deployment.objective, pool)
    if fixed:
        return msgspec.structs.replace(parameters, capacity_policy="static")
    return parameters


def run_one(name: str, trace_name: str, plan: str, seed: int) -> dict:
    """Replay one trace under one plan and return the results."""
    deployment = DEPLOYMENTS[name]
    site = Site(list(deployment.zones), deployment.engines, deployment.cheap)
    trace = traces.get(trace_name)(site, seed)
    parameters = parameters_for(deployment, trace_name)
    if plan in ("static", "greedy_threshold"):
        capacity = parameters.capacity_policy
        parameters = msgspec.structs.replace(
            parameters,
            role_policy=plan,
            capacity_policy=capacity if capacity == "static" else plan,
        )
    if plan == "clairvoyant":
        planner = ClairvoyantPlanner(trace, parameters)
    else:
        planner = PolicyPlanner(parameters, RATES, trace.zones)
    started = time.process_time()
    replay = Replay(trace, planner, PROVISIONING_SECONDS).run()
    result = result_of(replay, Capacity().cheap_cost)
    return {
        "deployment": name,
        "trace": trace_name,
        "plan": plan,
        "seed": seed,
        "processor_seconds": time.process_time() - started,
        "harm": result.harm,
        "cost_per_goodput": result.cost_per_goodput,
        **msgspec.to_builtins(result),
    }


def _run_task(arguments: tuple) -> dict:
    return run_one(*arguments)


def write_results(rows: list[dict]) -> None:
    """Write the results as CSV, one row per run."""
    with RESULTS.open("w", encoding="utf-8", newline="") as file:
        writer = csv.writer(file, lineterminator="\n")
        writer.writerow(CSV_FIELDS)
        for row in rows:
            values = [row[name] for name in CSV_FIELDS]
            writer.writerow(
                [round(v, 4) if isinstance(v, float) else v for v in values]
            )


def _cell(rows: list[dict], field: str) -> str:
    values = [row[field] for row in rows]
    spread = statistics.pstdev(values)
    return f"{statistics.fmean(values):.3f}±{spread:.3f}"


def _print_table(rows: list[dict]) -> None:
    fields = [name for name in Result.__struct_fields__ if name in _TABLE_FIELDS]
    print("| trace | plan | " + " | ".join([*fields, "cost/1000 good", "harm"]) + " |")
    print("|" + "---|" * (len(fields) + 4))
    for trace in dict.fromkeys(row["trace"] for row in rows):
        for plan in dict.fromkeys(row["plan"] for row in rows):
            chosen = [r for r in rows if r["trace"] == trace and r["plan"] == plan]
            cells = [_cell(chosen, name) for name in [*fields, "cost_per_goodput"]]
            harm = sum(row["harm"] for row in chosen)
            print(f"| {trace} | {plan} | " + " | ".join([*cells, str(harm)]) + " |")


def _print_targets(rows: list[dict]) -> None:
    """Print the ratios to the clairvoyant plan, paired by seed."""
    print("\n| trace | goodput ratio (lowest seed) | changes | cost ratio | harm |")
    print("|---|---|---|---|---|")
    for trace in dict.fromkeys(row["trace"] for row in rows):
        forecast = [r for r in rows if r["trace"] == trace and r["plan"] == "forecast"]
        clairvoyant = [
            r for r in rows if r["trace"] == trace and r["plan"] == "clairvoyant"
        ]
        if not forecast or not clairvoyant:
            continue
        pairs = list(zip(forecast, clairvoyant, strict=True))
        goodput = [a["good"] / b["good"] for a, b in pairs]
        cost = [a["cost_per_goodput"] / b["cost_per_goodput"] for a, b in pairs]
        changes = [
            sum(row["changes"] for row in side) for side in (forecast, clairvoyant)
        ]
        print(
            f"| {trace} | {statistics.fmean(goodput):.3f} ({min(goodput):.3f}) "
            f"| {changes[0]}:{changes[1]} "
            f"| {statistics.fmean(cost):.3f} (highest {max(cost):.3f}) "
            f"| {sum(row['harm'] for row in forecast)} |"
        )


_TABLE_FIELDS = ("goodput", "changes", "worst_workspace", "cheap_share", "refused")


def main(
    seeds: int = 20,
    trace: str = "",
    deployment: str = "",
    plans: str = "",
    workers: int = 5,
    write: bool = False,
) -> None:
    """Run the comparison.

    :param seeds: number of seeds, starting from 1.
    :param trace: one trace; all by default.
    :param plans: plan names separated by commas; all by default.
    :param write: whether to write the CSV file that the plots use.
    """
    names = [trace] if trace else list(traces)
    chosen = plans if isinstance(plans, tuple) else tuple(filter(None, [plans]))
    rows: list[dict] = []
    with ProcessPoolExecutor(workers) as pool:
        for name in names:
            for deployment_name in [deployment] if deployment else DEPLOYMENTS:
                tasks = [
                    (deployment_name, name, plan, seed)
                    for plan in chosen or PLANS
                    for seed in range(1, seeds + 1)
                ]
                found = list(pool.map(_run_task, tasks))
                print(f"\n{deployment_name}, {seeds} seeds\n")
                _print_table(found)
                _print_targets(found)
                print(flush=True)
                rows += found
                if write:
                    write_results(rows)


if __name__ == "__main__":
    fire.Fire(main)
