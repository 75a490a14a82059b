"""Measures routing policies through a shift of the prompt-to-output mix.

Run ``python -m benchmarks.routing_replay --seeds 20``.
"""

import argparse
import random
import statistics
import time

from benchmarks.replay import Engine, Job, Replay
from camphorgate.requests.routing import POLICIES
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


class Gateway:
    """Routes each request on arrival, with its own views of the engines."""

    def __init__(self, number: int, policy: str, engines: list[Engine]) -> None:
        self.views_by_id = {
            engine.view.id: UpstreamView(
                id=engine.view.id,
                pool="models",
                zone=engine.view.zone,
                slots=engine.view.slots,
                prefill_tokens_per_second=20000.0,
                decode_tokens_per_second=600.0,
            )
            for engine in engines
        }
        self.policy = POLICIES.get(policy)(f"gateway-{number}")
        self.choose_seconds = 0.0
        self.choices = 0

    def arrive(self, job: Job, replay: Replay) -> None:
        """Route a job at once."""
        begun = time.perf_counter()
        choice = self.policy.choose(self.views_by_id.values(), job.request, replay.now)
        self.choose_seconds += time.perf_counter() - begun
        self.choices += 1
        replay.dispatch(job, choice.upstream)

    def release(self, job: Job, replay: Replay) -> None:
        """Note that a job ended."""


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
            prefill_tokens_per_second=20000.0 * factor,
            decode_tokens_per_second=600.0 * factor,
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
        seconds = prompt / 20000.0 + output / 600.0
        when += source.expovariate(load * ENGINES / seconds)
        if when >= SECONDS:
            return jobs
        jobs.append(_build_job(source, when, prompt, output))


def _build_job(source: random.Random, when: float, prompt: int, output: int) -> Job:
    number = source.choices(range(8), WORKSPACE_WEIGHTS)[0]
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


def run_once(policy: str, seed: int, load: float, spread: float) -> tuple[float, float]:
    """Return goodput during the shift and microseconds per choice.

    :returns: good requests as a part of those that arrived, and microseconds.
    """
    engines = build_engines(seed, spread)
    gateways = [Gateway(number, policy, engines) for number in range(GATEWAYS)]
    jobs = build_jobs(seed, load)
    Replay(engines, gateways, seed, SECONDS).run(jobs)
    shift = [job for job in jobs if SHIFT[0] <= job.arrival < SHIFT[1]]
    good = sum(job.good() for job in shift) / len(shift)
    choices = sum(gateway.choices for gateway in gateways)
    return good, 1e6 * sum(gateway.choose_seconds for gateway in gateways) / choices


def _report(load: float, spread: float, seeds: int) -> None:
    goodput_by_policy = {}
    for policy in ("round_robin", "least_outstanding", "expected_latency"):
        runs = [run_once(policy, seed, load, spread) for seed in range(seeds)]
        goodput_by_policy[policy] = [good for good, _ in runs]
        micros = statistics.median(micro for _, micro in runs)
        base = goodput_by_policy["round_robin"]
        pairs = zip(goodput_by_policy[policy], base, strict=True)
        ratios = sorted(good / reference for good, reference in pairs)
        share = statistics.mean(good for good, _ in runs)
        print(
            f"load={load} spread={spread} policy={policy} "
            f"shift_good_share={share:.3f} "
            f"ratio_mean={statistics.mean(ratios):.3f} ratio_min={ratios[0]:.3f} "
            f"ratio_max={ratios[-1]:.3f} choose_us={micros:.1f}",
            flush=True,
        )


def main() -> None:
    """Print one line per load and policy."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=20)
    parser.add_argument("--loads", type=float, nargs="+", default=[0.4, 0.7, 0.9, 1.0])
    parser.add_argument("--spread", type=float, default=0.2)
    options = parser.parse_args()
    for load in options.loads:
        _report(load, options.spread, options.seeds)


if __name__ == "__main__":
    main()
