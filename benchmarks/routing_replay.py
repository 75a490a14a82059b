"""Measures routing policies through a shift of the prompt-to-output mix.

Run ``python -m benchmarks.routing_replay --seeds 20``. For the shift it prints the
share of requests that met both latency targets, relative to round robin on the same
seed. For a flood from one workspace it prints the work served for the worst-served
workspace relative to its fair share, the share of the requests of small workspaces that
met both targets, and the number of all such requests per second.
"""

import argparse
import random
import statistics
import sys
from concurrent.futures import ProcessPoolExecutor

import msgspec

from benchmarks.replay import Engine, Job, Replay
from benchmarks.replay_gateways import (
    DECODE_TOKENS_PER_SECOND,
    PREFILL_TOKENS_PER_SECOND,
    Gateway,
    PriorityGateway,
    QueueGateway,
)
from camphorgate.requests.fairness import weighted_service
from camphorgate.requests.request_state import RoutingRequest, UpstreamState

ZONES = ("zone-a", "zone-b", "zone-c", "zone-d")
WORKSPACES = tuple(f"workspace-{number}" for number in range(8))
WORKSPACE_WEIGHTS = (8, 6, 4, 1, 1, 1, 1, 1)
GATEWAYS = 7
ENGINES = 9
SLOTS = 16
CACHED_PREFIXES = 12
PREFIXES_PER_WORKSPACE = 4
# Mean prompt and output tokens of the two mixes.
CHAT_MIX = (700, 120)
LONG_PROMPT_MIX = (4200, 60)
PHASES = ((0.0, CHAT_MIX), (20.0, LONG_PROMPT_MIX), (45.0, CHAT_MIX))
SHIFT_RUN_SECONDS = 60.0
# The shift, including the time until its queues have drained.
SHIFT_WINDOW = (20.0, 50.0)
# Demand of each workspace in the flood, as a share of the capacity of the engines.
FLOOD_DEMANDS = {
    "three-above-their-share": (0.3, 0.3, 0.3, 0.04, 0.04, 0.04, 0.04, 1.5),
    "only-the-flood-above": (0.15, 0.15, 0.15, 0.05, 0.05, 0.05, 0.05, 1.5),
}
SMALL_WORKSPACES = frozenset(WORKSPACES[3:7])
FLOOD_WINDOW = (10.0, 110.0)
FLOOD_SECONDS = 120.0
# Policy and gateway class; the first variant is the reference.
VARIANTS = {
    "round_robin": ("round_robin", Gateway),
    "least_outstanding": ("least_outstanding", Gateway),
    "expected_latency": ("expected_latency", Gateway),
    "expected_latency+queue": ("expected_latency", QueueGateway),
    "expected_latency+queue+priority": ("expected_latency", PriorityGateway),
}


def build_engines(seed: int, spread: float) -> list[Engine]:
    """Return the engines; their actual rates deviate by up to ``spread``."""
    generator = random.Random(seed)
    engines = []
    for number in range(ENGINES):
        factor = 1 + generator.uniform(-spread, spread)
        view = UpstreamState(
            id=f"engine-{number}",
            pool="models",
            zone=ZONES[number % len(ZONES)],
            slots=SLOTS,
            prefill_tokens_per_second=PREFILL_TOKENS_PER_SECOND * factor,
            decode_tokens_per_second=DECODE_TOKENS_PER_SECOND * factor,
        )
        engines.append(Engine(view, CACHED_PREFIXES))
    return engines


def _mix_at(arrival: float) -> tuple[int, int]:
    return [mix for begin, mix in PHASES if begin <= arrival][-1]


def build_jobs(seed: int, load: float) -> list[Job]:
    """Return the requests of one run.

    :param load: offered work as a share of the capacity of the engines without a cache.
    """
    generator = random.Random(seed + 1000)
    jobs = []
    arrival = 0.0
    while True:
        prompt, output = _mix_at(arrival)
        seconds = prompt / PREFILL_TOKENS_PER_SECOND + output / DECODE_TOKENS_PER_SECOND
        arrival += generator.expovariate(load * ENGINES / seconds)
        if arrival >= SHIFT_RUN_SECONDS:
            return jobs
        number = generator.choices(range(8), WORKSPACE_WEIGHTS)[0]
        jobs.append(_build_job(generator, arrival, prompt, output, number))


def _build_job(
    generator: random.Random, arrival: float, prompt: int, output: int, number: int
) -> Job:
    prefix = prompt // 3
    tail = int(generator.lognormvariate(-0.5, 1.0) * (prompt - prefix))
    request = RoutingRequest(
        workspace=WORKSPACES[number],
        pool="models",
        prompt_tokens=min(prefix + tail, 9000),
        output_tokens=max(1, int(generator.expovariate(1 / output))),
        prefix_digest=f"{number}-{prefix}-{generator.randrange(PREFIXES_PER_WORKSPACE)}",
        prefix_tokens=prefix,
        zone=generator.choice(ZONES),
    )
    return Job(arrival, generator.randrange(GATEWAYS), request)


def run_shift(
    policy: str, seed: int, load: float, spread: float, gateway_class: type = Gateway
) -> tuple[float, float]:
    """Replay the shift and return its goodput and the duration of a routing choice.

    :returns: share of arrived requests that met both latency targets; microseconds.
    """
    engines = build_engines(seed, spread)
    gateways = [gateway_class(number, policy, engines) for number in range(GATEWAYS)]
    jobs = build_jobs(seed, load)
    Replay(engines, gateways, seed, SHIFT_RUN_SECONDS).run(jobs)
    shift = [job for job in jobs if SHIFT_WINDOW[0] <= job.arrival < SHIFT_WINDOW[1]]
    good = sum(job.meets_latency_targets() for job in shift) / len(shift)
    choices = sum(gateway.choices for gateway in gateways)
    return good, 1e6 * sum(gateway.choose_seconds for gateway in gateways) / choices


def build_flood(seed: int, demands: tuple[float, ...]) -> list[Job]:
    """Return the requests of three large, four small and one flooding workspace."""
    generator = random.Random(seed + 2000)
    prompt, output = LONG_PROMPT_MIX
    seconds = prompt / PREFILL_TOKENS_PER_SECOND + output / DECODE_TOKENS_PER_SECOND
    jobs = []
    for number, demand in enumerate(demands):
        arrival = 0.0
        while (
            arrival := arrival + generator.expovariate(demand * ENGINES / seconds)
        ) < FLOOD_SECONDS:
            jobs.append(_build_job(generator, arrival, prompt, output, number))
    return sorted(jobs, key=lambda job: job.arrival)


def _in_window(at: float) -> bool:
    return FLOOD_WINDOW[0] <= at < FLOOD_WINDOW[1]


def worst_share(jobs: list[Job]) -> float:
    """Return the lowest ratio of served work to fair share among the workspaces.

    The fair share is the max-min share of all served work, bounded by the demand.
    """
    demanded = dict.fromkeys(WORKSPACES, 0.0)
    served = dict.fromkeys(WORKSPACES, 0.0)
    for job in jobs:
        service = weighted_service(job.request.prompt_tokens, job.request.output_tokens)
        if _in_window(job.arrival):
            demanded[job.request.workspace] += service
        if _in_window(job.done_at):
            served[job.request.workspace] += service
    remaining, share_by_workspace = sum(served.values()), {}
    for position, name in enumerate(sorted(WORKSPACES, key=demanded.get)):
        share = min(demanded[name], remaining / (len(WORKSPACES) - position))
        share_by_workspace[name] = share
        remaining -= share
    return min(served[name] / share_by_workspace[name] for name in WORKSPACES)


def run_flood(
    policy: str,
    seed: int,
    demands: tuple[float, ...],
    spread: float,
    gateway_class: type,
) -> list[Job]:
    """Replay the flood and return its requests."""
    engines = build_engines(seed, spread)
    gateways = [gateway_class(number, policy, engines) for number in range(GATEWAYS)]
    jobs = build_flood(seed, demands)
    Replay(engines, gateways, seed, FLOOD_SECONDS).run(jobs)
    return jobs


def _shift_task(arguments: tuple) -> tuple[float, float]:
    variant, seed, load, spread = arguments
    policy, gateway_class = VARIANTS[variant]
    return run_shift(policy, seed, load, spread, gateway_class)


class FloodFigures(msgspec.Struct):
    """Results of one flood: shares from 0 to 1, and good requests per second."""

    worst_share: float
    small_good_share: float
    goodput: float


def _flood_task(arguments: tuple) -> FloodFigures:
    variant, seed, demands, spread = arguments
    policy, gateway_class = VARIANTS[variant]
    jobs = run_flood(policy, seed, demands, spread, gateway_class)
    arrived = [job for job in jobs if _in_window(job.arrival)]
    small = [job for job in arrived if job.request.workspace in SMALL_WORKSPACES]
    return FloodFigures(
        worst_share(jobs),
        sum(job.meets_latency_targets() for job in small) / len(small),
        sum(job.meets_latency_targets() for job in arrived)
        / (FLOOD_WINDOW[1] - FLOOD_WINDOW[0]),
    )


def _summary(values: list[float]) -> str:
    return (
        f"mean={statistics.mean(values):.3f} min={min(values):.3f} "
        f"max={max(values):.3f} deviation={statistics.pstdev(values):.3f}"
    )


def _measure_shift(pool: ProcessPoolExecutor, options: argparse.Namespace) -> None:
    for load in options.loads:
        reference = []
        for variant in VARIANTS:
            tasks = [(variant, s, load, options.spread) for s in range(options.seeds)]
            runs = list(pool.map(_shift_task, tasks))
            good = [share for share, _ in runs]
            reference = reference or good
            ratios = [
                value / reference_value
                for value, reference_value in zip(good, reference, strict=True)
            ]
            micros = statistics.median(micro for _, micro in runs)
            print(
                f"shift load={load} variant={variant} "
                f"good_share={statistics.mean(good):.3f} ratio {_summary(ratios)} "
                f"choose_us={micros:.1f}",
                flush=True,
            )


def _measure_flood(pool: ProcessPoolExecutor, options: argparse.Namespace) -> None:
    for name, demands in FLOOD_DEMANDS.items():
        for variant in VARIANTS:
            tasks = [
                (variant, seed, demands, options.spread)
                for seed in range(options.seeds)
            ]
            runs = list(pool.map(_flood_task, tasks))
            for field in FloodFigures.__struct_fields__:
                values = [getattr(run, field) for run in runs]
                print(f"flood demands={name} {variant=!s} {field} {_summary(values)}")
            sys.stdout.flush()


def main() -> None:
    """Run the shift and the floods and print one line per result."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=20)
    parser.add_argument("--loads", type=float, nargs="+", default=[0.5, 0.7, 0.9, 1.0])
    parser.add_argument("--spread", type=float, default=0.3)
    parser.add_argument("--workers", type=int, default=4)
    options = parser.parse_args()
    with ProcessPoolExecutor(options.workers) as pool:
        _measure_shift(pool, options)
        _measure_flood(pool, options)


if __name__ == "__main__":
    main()
