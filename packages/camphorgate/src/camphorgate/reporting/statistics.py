"""Request counts of the last hour, which can be summed over instances."""

from collections import deque

import msgspec

BUCKET_SECONDS = 10.0
RETENTION_SECONDS = 3600.0


class WorkspaceCounts(msgspec.Struct):
    """Request counts of one workspace.

    ``served`` is the service received: prefill tokens plus weighted decode tokens for
    models, number of calls for services.
    """

    weight: float = 1.0
    requests: int = 0
    ran: int = 0
    good: int = 0
    refused: int = 0
    served: float = 0.0

    def add(self, other: "WorkspaceCounts") -> None:
        """Add the counts of another bucket or instance."""
        self.weight = other.weight
        self.requests += other.requests
        self.ran += other.ran
        self.good += other.good
        self.refused += other.refused
        self.served += other.served


class Counts(msgspec.Struct):
    """Request counts of a time interval."""

    requests: int = 0
    good: int = 0
    refused: int = 0
    unknown: int = 0
    broken_streams: int = 0
    resumes: int = 0
    on_cheap: int = 0
    harmed_on_cheap: int = 0
    prefill_tokens: int = 0
    decode_tokens: int = 0
    workspaces_by_name: dict[str, WorkspaceCounts] = msgspec.field(default_factory=dict)

    def add(self, other: "Counts") -> None:
        """Add the counts of another bucket or instance."""
        for name in _ADDITIVE_FIELDS:
            setattr(self, name, getattr(self, name) + getattr(other, name))
        for name, counts in other.workspaces_by_name.items():
            self.workspaces_by_name.setdefault(name, WorkspaceCounts()).add(counts)


_ADDITIVE_FIELDS = tuple(
    name for name in Counts.__struct_fields__ if name != "workspaces_by_name"
)


class RequestOutcome(msgspec.Struct, frozen=True):
    """The properties of a finished request that the report needs.

    ``run`` is ``"run"``, ``"not_run"`` or ``"unknown"``.
    """

    workspace: str
    weight: float
    good: bool
    run: str
    served: float
    prefill_tokens: int = 0
    decode_tokens: int = 0
    resumes: int = 0
    broken: bool = False
    cheap: bool = False


class RequestStatistics:
    """Request counts of one instance over the last hour, in buckets."""

    __slots__ = ("_buckets",)

    def __init__(self) -> None:
        """Create empty statistics."""
        self._buckets: deque[tuple[float, Counts]] = deque()

    def record(self, outcome: RequestOutcome, now: float) -> None:
        """Count a finished request.

        :param now: monotonic time in seconds.
        """
        counts = self._current_bucket(now)
        counts.requests += 1
        counts.good += outcome.good
        counts.refused += outcome.run == "not_run"
        counts.unknown += outcome.run == "unknown"
        counts.broken_streams += outcome.broken
        counts.resumes += outcome.resumes
        counts.on_cheap += outcome.cheap
        counts.harmed_on_cheap += outcome.cheap and outcome.run == "unknown"
        counts.prefill_tokens += outcome.prefill_tokens
        counts.decode_tokens += outcome.decode_tokens
        if outcome.workspace:
            self._record_workspace(counts, outcome)

    def counts_of_last(self, now: float, seconds: float) -> Counts:
        """Return the counts of the last ``seconds``, rounded to whole buckets.

        :param now: monotonic time in seconds.
        """
        total = Counts()
        for start, counts in self._buckets:
            if start + BUCKET_SECONDS > now - seconds:
                total.add(counts)
        return total

    @staticmethod
    def _record_workspace(counts: Counts, outcome: RequestOutcome) -> None:
        by_name = counts.workspaces_by_name
        if outcome.workspace not in by_name:
            by_name[outcome.workspace] = WorkspaceCounts()
        counts = by_name[outcome.workspace]
        counts.weight = outcome.weight
        counts.requests += 1
        counts.ran += outcome.run == "run"
        counts.good += outcome.good
        counts.refused += outcome.run == "not_run"
        counts.served += outcome.served

    def _current_bucket(self, now: float) -> Counts:
        start = now - now % BUCKET_SECONDS
        if not self._buckets or self._buckets[-1][0] != start:
            self._buckets.append((start, Counts()))
            while self._buckets[0][0] < now - RETENTION_SECONDS:
                self._buckets.popleft()
        return self._buckets[-1][1]


def fair_shares(
    total: float, demand_by_name: dict[str, float], weights_by_name: dict[str, float]
) -> dict[str, float]:
    """Divide service by weighted max-min fairness; no share exceeds its demand.

    :param total: service to divide, in the unit of the demand.
    :param demand_by_name: demand of each workspace.
    :param weights_by_name: positive weights of the same workspaces.
    :returns: the fair share of each workspace.
    """
    shares = dict.fromkeys(demand_by_name, 0.0)
    unsatisfied = {name for name, demand in demand_by_name.items() if demand > 0}
    remaining = total
    while unsatisfied and remaining > 1e-9:
        per_weight = remaining / sum(weights_by_name[name] for name in unsatisfied)
        satisfied = {
            name
            for name in unsatisfied
            if demand_by_name[name] <= per_weight * weights_by_name[name]
        }
        for name in satisfied or unsatisfied:
            grant = per_weight * weights_by_name[name]
            shares[name] = demand_by_name[name] if satisfied else grant
            remaining -= shares[name]
        unsatisfied = unsatisfied - satisfied if satisfied else set()
    return shares


def worst_served(counts: Counts) -> tuple[str, float] | None:
    """Return the workspace that got the smallest fraction of its fair share.

    The fraction is returned with it. The demand of a workspace is its mean service per
    executed request times the number of all its requests; if none was executed, the
    mean over all workspaces is used.
    """
    by_name = counts.workspaces_by_name
    total = sum(item.served for item in by_name.values())
    ran = sum(item.ran for item in by_name.values())
    if not total or not ran:
        return None
    demand_by_name = {}
    for name, item in by_name.items():
        mean = item.served / item.ran if item.ran else total / ran
        demand_by_name[name] = mean * item.requests
    weights_by_name = {name: item.weight for name, item in by_name.items()}
    shares = fair_shares(total, demand_by_name, weights_by_name)
    fractions = {
        name: by_name[name].served / share for name, share in shares.items() if share
    }
    return min(fractions.items(), key=lambda pair: pair[1]) if fractions else None


def merge(counts_per_instance: list[Counts]) -> Counts:
    """Return the sum of the counts of several instances."""
    total = Counts()
    for counts in counts_per_instance:
        total.add(counts)
    return total


def summarise(counts: Counts) -> dict:
    """Return the values that the operators' report shows."""
    worst = worst_served(counts)
    rows = [
        {"workspace": name, **msgspec.to_builtins(item)}
        for name, item in sorted(counts.workspaces_by_name.items())
    ]
    return {
        "requests": counts.requests,
        "goodput": counts.good,
        "goodput_share": _ratio(counts.good, counts.requests),
        "refused_not_run": counts.refused,
        "outcome_unknown": counts.unknown,
        "broken_streams": counts.broken_streams,
        "resumed": counts.resumes,
        "prefill_tokens": counts.prefill_tokens,
        "decode_tokens": counts.decode_tokens,
        "cheap_share": _ratio(counts.on_cheap, counts.requests),
        "harmed_on_cheap": counts.harmed_on_cheap,
        "worst_served_workspace": worst[0] if worst else None,
        "worst_served_part_of_fair_share": round(worst[1], 4) if worst else None,
        "workspaces": rows,
    }


def _ratio(numerator: float, denominator: float) -> float | None:
    return round(numerator / denominator, 4) if denominator else None
