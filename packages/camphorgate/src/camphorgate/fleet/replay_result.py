"""Evaluates a replay: service quality, cost and violated guarantees."""

import msgspec

from camphorgate.fleet.replay import (
    MAX_BATCH_SECONDS,
    MAX_FIRST_TOKEN_SECONDS,
    MAX_TOKEN_SECONDS,
    Replay,
)
from camphorgate.fleet.replay_engine import Job


class Result(msgspec.Struct, frozen=True):
    """Metrics of one replay.

    ``goodput`` is the share of all requests that were answered in time. ``cost`` is in
    ordinary upstream-hours. ``harm`` counts lost requests, bookings that ran twice, and
    engines that were stopped or changed their role with requests in flight.
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
        """Return the number of violated guarantees, which must be 0."""
        return self.lost + self.doubled + self.stopped_with_work

    @property
    def cost_per_goodput(self) -> float:
        """Return upstream-hours per thousand requests answered in time."""
        return 1000 * self.cost / max(1, self.good)


def in_time(job: Job) -> bool:
    """Return whether a request was answered in time."""
    if job.done_at is None:
        return False
    if job.kind == "batch":
        return job.done_at - job.arrived_at <= MAX_BATCH_SECONDS
    if job.kind == "booking":
        return True
    first = job.first_at - job.arrived_at <= MAX_FIRST_TOKEN_SECONDS
    return first and job.done_at - job.first_at <= MAX_TOKEN_SECONDS * job.output


def result_of(replay: Replay, cheap_cost: float) -> Result:
    """Return the metrics of a finished replay.

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
    """Return the lowest ratio of work served in time to fair share of any workspace.

    The fair shares divide all work served in time by weighted max-min fairness.
    """
    weights = replay.trace.weights
    requested = [0.0] * len(weights)
    served = [0.0] * len(weights)
    rates = replay.trace.rates
    for job, is_good in zip(replay.jobs, good, strict=True):
        amount = job.prompt / rates.prefill + job.output / rates.decode
        requested[job.workspace] += amount
        served[job.workspace] += amount * is_good
    fair = fair_shares(requested, list(weights), sum(served))
    return min((s / f for s, f in zip(served, fair, strict=True) if f > 0), default=1.0)


def fair_shares(
    requested: list[float], weights: list[float], total: float
) -> list[float]:
    """Divide a total by weighted max-min fairness; no share exceeds its request."""
    shares = [0.0] * len(requested)
    unsatisfied = {index for index, amount in enumerate(requested) if amount > 0}
    remaining = min(total, sum(requested))
    while unsatisfied and remaining > 1e-12:
        weight = sum(weights[index] for index in unsatisfied)
        offers = {index: remaining * weights[index] / weight for index in unsatisfied}
        satisfied = {
            i for i in unsatisfied if requested[i] <= shares[i] + offers[i] + 1e-12
        }
        for index in satisfied or unsatisfied:
            given = min(offers[index], requested[index] - shares[index])
            shares[index] += given
            remaining -= given
        if not satisfied:
            break
        unsatisfied -= satisfied
    return shares
