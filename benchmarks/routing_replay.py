"""Measures routing policies through a shift of the prompt-to-output mix.

Run ``python -m benchmarks.routing_replay --seeds 20``. It prints the part of requests
that met both latency goals during the shift, over that of round robin on the same seed,
and under a flood the service of the worst-served workspace over its fair share, the
part of the small workspaces' requests that met both goals, and all such requests per
second.
"""

import argparse
import random
import statistics
import sys
from concurrent.futures import ProcessPoolExecutor

import msgspec

from benchmarks.replay import Engine, Job, Replay
from benchmarks.replay_gateways import (
    DECODE_RATE,
    PREFILL_RATE,
    Gateway,
    PriorityGateway,
    QueueGateway,
)
from camphorgate.requests.fairness import service_of
from camphorgate.requests.views import RequestView, UpstreamView

ZONES = ("zone-a", "zone-b", "zone-c", "zone-d")
WORKSPACES = tuple(f"workspace-{number}" for number in range(8))
WORKSPACE_WEIGHTS = (8, 6, 4, 1, 1, 1, 1, 1)
GATEWAYS = 7
ENGINES = 9
SLOTS = 16
CACHED_PREFIXES = 12
PREFIXES_PER_WORKSPACE = 4
# Mean prompt and output tokens of the two mixes, and requests per second at which
# the nine engines are just busy.
CHAT = (700, 120)
READS = (4200, 60)
PHASES = ((0.0, CHAT), (20.0, READS), (45.0, CHAT))
SECONDS = 60.0
# The shift with the time until its queues have drained.
SHIFT = (20.0, 50.0)
# What each workspace asks for in the flood, as a part of what the engines can do.
FLOODS = {
    "three-above-their-share": (0.3, 0.3, 0.3, 0.04, 0.04, 0.04, 0.04, 1.5),
    "only-the-flood-above": (0.15, 0.15, 0.15, 0.05, 0.05, 0.05, 0.05, 1.5),
}
SMALL_WORKSPACES = frozenset(WORKSPACES[3:7])
FLOOD_WINDOW = (10.0, 110.0)
FLOOD_SECONDS = 120.0
# Policy and gateway; the first one is the reference.
VARIANTS = {
    "round_robin": ("round_robin", Gateway),
    "least_outstanding": ("least_outstanding", Gateway),
    "expected_latency": ("expected_latency", Gateway),
    "expected_latency+queue": ("expected_latency", QueueGateway),
    "expected_latency+queue+priority": ("expected_latency", PriorityGateway),
}


def build_engines(seed: int, spread: float) -> list[Engine]:
    """Return the engines; their real rates differ by up to ``spread``."""
    source = random.Random(seed)
    engines = []
    for number in range(ENGINES):
        factor = 1 + source.uniform(-spread, spread)
        view = UpstreamView(
            id=f"engine-{number}",
            pool="models",
            zone=ZONES[number % len(ZONES)],
            slots=SLOTS,
            prefill_tokens_per_second=PREFILL_RATE * factor,
            decode_tokens_per_second=DECODE_RATE * factor,
        )
        engines.append(Engine(view, CACHED_PREFIXES))
    return engines


def _mix_at(when: float) -> tuple[int, int]:
    return [mix for begin, mix in PHASES if begin <= when][-1]


def build_jobs(seed: int, load: float) -> list[Job]:
    """Return the requests of one run.

    :param load: offered work as a part of what the engines can do without a cache.
    """
    source = random.Random(seed + 1000)
    jobs = []
    when = 0.0
    while True:
        prompt, output = _mix_at(when)
        seconds = prompt / PREFILL_RATE + output / DECODE_RATE
        when += source.expovariate(load * ENGINES / seconds)
        if when >= SECONDS:
            return jobs
        number = source.choices(range(8), WORKSPACE_WEIGHTS)[0]
        jobs.append(_build_job(source, when, prompt, output, number))


def _build_job(
    source: random.Random, when: float, prompt: int, output: int, number: int
) -> Job:
    prefix = prompt // 3
    tail = int(source.lognormvariate(-0.5, 1.0) * (prompt - prefix))
    request = RequestView(
        workspace=WORKSPACES[number],
        pool="models",
        prompt_tokens=min(prefix + tail, 9000),
        output_tokens=max(1, int(source.expovariate(1 / output))),
        prefix_digest=f"{number}-{prefix}-{source.randrange(PREFIXES_PER_WORKSPACE)}",
        prefix_tokens=prefix,
        zone=source.choice(ZONES),
    )
    return Job(when, source.randrange(GATEWAYS), request)


def run_once(
    policy: str, seed: int, load: float, spread: float, gateway_class: type = Gateway
) -> tuple[float, float]:
    """Return goodput during the shift and microseconds per choice.

    :returns: good requests as a part of those that arrived, and microseconds.
    """
    engines = build_engines(seed, spread)
    gateways = [gateway_class(number, policy, engines) for number in range(GATEWAYS)]
    jobs = build_jobs(seed, load)
    Replay(engines, gateways, seed, SECONDS).run(jobs)
    shift = [job for job in jobs if SHIFT[0] <= job.arrival < SHIFT[1]]
    good = sum(job.good() for job in shift) / len(shift)
    choices = sum(gateway.choices for gateway in gateways)
    return good, 1e6 * sum(gateway.choose_seconds for gateway in gateways) / choices


def build_flood(seed: int, demands: tuple[float, ...]) -> list[Job]:
    """Return the requests of three large, four small and one flooding workspace."""
    source = random.Random(seed + 2000)
    prompt, output = READS
    seconds = prompt / PREFILL_RATE + output / DECODE_RATE
    jobs = []
    for number, demand in enumerate(demands):
        when = 0.0
        while (
            when := when + source.expovariate(demand * ENGINES / seconds)
        ) < FLOOD_SECONDS:
            jobs.append(_build_job(source, when, prompt, output, number))
    return sorted(jobs, key=lambda job: job.arrival)


def _in_window(when: float) -> bool:
    return FLOOD_WINDOW[0] <= when < FLOOD_WINDOW[1]


def worst_share(jobs: list[Job]) -> float:
    """Return the lowest ratio of service to fair share of any workspace.

    The fair share is the max-min share of all service given, by what each asked.
    """
    asked = dict.fromkeys(WORKSPACES, 0.0)
    served = dict.fromkeys(WORKSPACES, 0.0)
    for job in jobs:
        service = service_of(job.request.prompt_tokens, job.request.output_tokens)
        if _in_window(job.arrival):
            asked[job.request.workspace] += service
        if _in_window(job.done_at):
            served[job.request.workspace] += service
    left, share_by_workspace = sum(served.values()), {}
    for position, name in enumerate(sorted(WORKSPACES, key=asked.get)):
        share = min(asked[name], left / (len(WORKSPACES) - position))
        share_by_workspace[name] = share
        left -= share
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
    return run_once(policy, seed, load, spread, gateway_class)


class FloodFigures(msgspec.Struct):
    """Results of one flood: shares of 1, and good requests per second of all."""

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
        sum(job.good() for job in small) / len(small),
        sum(job.good() for job in arrived) / (FLOOD_WINDOW[1] - FLOOD_WINDOW[0]),
    )


def _spread_of(values: list[float]) -> str:
    return (
        f"mean={statistics.mean(values):.3f} min={min(values):.3f} "
        f"max={max(values):.3f} deviation={statistics.pstdev(values):.3f}"
    )


def _measure_shift(pool: ProcessPoolExecutor, options: argparse.Namespace) -> None:
    for load in options.loads:
        base = []
        for variant in VARIANTS:
            tasks = [(variant, s, load, options.spread) for s in range(options.seeds)]
            runs = list(pool.map(_shift_task, tasks))
            good = [share for share, _ in runs]
            base = base or good
            ratios = [value / known for value, known in zip(good, base, strict=True)]
            micros = statistics.median(micro for _, micro in runs)
            print(
                f"shift load={load} variant={variant} "
                f"good_share={statistics.mean(good):.3f} ratio {_spread_of(ratios)} "
                f"choose_us={micros:.1f}",
                flush=True,
            )


def _measure_flood(pool: ProcessPoolExecutor, options: argparse.Namespace) -> None:
    for name, demands in FLOODS.items():
        for variant in VARIANTS:
            tasks = [
                (variant, seed, demands, options.spread)
                for seed in range(options.seeds)
            ]
            runs = list(pool.map(_flood_task, tasks))
            for figure in FloodFigures.__struct_fields__:
                values = [getattr(run, figure) for run in runs]
                print(
                    f"flood demands={name} {variant=!s} {figure} {_spread_of(values)}"
                )
            sys.stdout.flush()


def main() -> None:
    """Print one line per scenario and variant."""
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
