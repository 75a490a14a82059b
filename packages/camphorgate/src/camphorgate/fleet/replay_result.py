"""What a replay is judged by."""

import msgspec

from camphorgate.fleet.replay import (
    BATCH_SECONDS,
    FIRST_TOKEN_SECONDS,
    TOKEN_SECONDS,
    Replay,
)
from camphorgate.fleet.replay_engine import Job


class Result(msgspec.Struct, frozen=True):
    """Figures of one run.

    ``goodput`` is the share of all requests that were answered in time; ``cost`` is in
    ordinary upstream-hours; ``harm`` counts requests lost, bookings run twice and
    engines stopped or changed with work.
    """

    goodput: float
    good: int
    requests: int
    refused: int
    changes: int
    worst_workspace: float
    cost: float
    cheap_share: float
    lost: int
    doubled: int
    stopped_with_work: int
    unknown: int

    @property
    def harm(self) -> int:
        """Return what must be 0."""
        return self.lost + self.doubled + self.stopped_with_work

    @property
    def cost_per_goodput(self) -> float:
        """Return upstream-hours per thousand requests answered in time."""
        return 1000 * self.cost / max(1, self.good)


def in_time(job: Job) -> bool:
    """Tell whether a request was answered in time."""
    if job.done_at is None:
        return False
    if job.kind == "batch":
        return job.done_at - job.at <= BATCH_SECONDS
    if job.kind == "booking":
        return True
    first = job.first_at - job.at <= FIRST_TOKEN_SECONDS
    return first and job.done_at - job.first_at <= TOKEN_SECONDS * job.output


def result_of(replay: Replay, cheap_cost: float) -> Result:
    """Judge a finished replay.

    :param cheap_cost: cost of a cheap upstream-hour, an ordinary one being 1.
    """
    jobs = replay.jobs
    good = [in_time(job) for job in jobs]
    ended = (job.done_at is not None or job.refused or job.unknown for job in jobs)
    seconds, work = replay.engine_seconds, replay.work_by_kind
    return Result(
        goodput=sum(good) / max(1, len(jobs)),
        good=sum(good),
        requests=len(jobs),
        refused=sum(job.refused for job in jobs),
        changes=replay.planner.changes,
        worst_workspace=_worst_workspace(replay, good),
        cost=(seconds["ordinary"] + cheap_cost * seconds["cheap"]) / 3600,
        cheap_share=work["cheap"] / max(1e-9, sum(work.values())),
        lost=len(jobs) - sum(ended),
        doubled=sum(job.kind == "booking" and job.runs > 1 for job in jobs),
        stopped_with_work=replay.stopped_with_work,
        unknown=sum(job.unknown for job in jobs),
    )


def _worst_workspace(replay: Replay, good: list[bool]) -> float:
    """Return the worst workspace's service in time as a part of its fair share.

    The fair share is what max-min fairness by weight gives it of everything that was
    served in time.
    """
    weights = replay.trace.weights
    asked = [0.0] * len(weights)
    served = [0.0] * len(weights)
    rates = replay.trace.rates
    for job, counted in zip(replay.jobs, good, strict=True):
        amount = job.prompt / rates.prefill + job.output / rates.decode
        asked[job.workspace] += amount
        served[job.workspace] += amount * counted
    fair = fair_shares(asked, list(weights), sum(served))
    return min((s / f for s, f in zip(served, fair, strict=True) if f > 0), default=1.0)


def fair_shares(asked: list[float], weights: list[float], total: float) -> list[float]:
    """Divide a total by max-min fairness: no one gets more than was asked for."""
    shares = [0.0] * len(asked)
    hungry = {index for index, amount in enumerate(asked) if amount > 0}
    left = min(total, sum(asked))
    while hungry and left > 1e-12:
        weight = sum(weights[index] for index in hungry)
        offers = {index: left * weights[index] / weight for index in hungry}
        sated = {i for i in hungry if asked[i] <= shares[i] + offers[i] + 1e-12}
        for index in sated or hungry:
            given = min(offers[index], asked[index] - shares[index])
            shares[index] += given
            left -= given
        if not sated:
            break
        hungry -= sated
    return shares
