"""Counts of requests over the last hour, mergeable over instances."""

from collections import deque

import msgspec

BUCKET_SECONDS = 10.0
HORIZON_SECONDS = 3600.0


class WorkspaceCounts(msgspec.Struct):
    """Requests of one workspace.

    ``served`` is weighted service: prefill tokens plus weighted decode tokens, calls
    for services.
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
    """Requests of a span of time."""

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
        for name in _SUMMED:
            setattr(self, name, getattr(self, name) + getattr(other, name))
        for name, counts in other.workspaces_by_name.items():
            self.workspaces_by_name.setdefault(name, WorkspaceCounts()).add(counts)


_SUMMED = tuple(
    name for name in Counts.__struct_fields__ if name != "workspaces_by_name"
)


class Outcome(msgspec.Struct, frozen=True):
    """One finished request, as far as the report needs it.

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
    """The requests of one instance over the last hour."""

    __slots__ = ("_buckets",)

    def __init__(self) -> None:
        """Start empty."""
        self._buckets: deque[tuple[float, Counts]] = deque()

    def record(self, outcome: Outcome, now: float) -> None:
        """Count a finished request.

        :param now: monotonic seconds.
        """
        counts = self._bucket(now)
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

    def recent(self, now: float, seconds: float) -> Counts:
        """Return the counts of the last seconds, in whole buckets.

        :param now: monotonic seconds.
        """
        total = Counts()
        for start, counts in self._buckets:
            if start + BUCKET_SECONDS > now - seconds:
                total.add(counts)
        return total

    @staticmethod
    def _record_workspace(counts: Counts, outcome: Outcome) -> None:
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

    def _bucket(self, now: float) -> Counts:
        start = now - now % BUCKET_SECONDS
        if not self._buckets or self._buckets[-1][0] != start:
            self._buckets.append((start, Counts()))
            while self._buckets[0][0] < now - HORIZON_SECONDS:
                self._buckets.popleft()
        return self._buckets[-1][1]


def fair_shares(
    total: float, asked_by_name: dict[str, float], weights_by_name: dict[str, float]
) -> dict[str, float]:
    """Divide service by weight, none getting more than it asked for (max-min).

    :param total: service to divide, in the unit of what was asked.
    :param asked_by_name: demand of each workspace.
    :param weights_by_name: positive weights of the same workspaces.
    :returns: the fair share of each workspace.
    """
    shares = dict.fromkeys(asked_by_name, 0.0)
    open_names = {name for name, asked in asked_by_name.items() if asked > 0}
    left = total
    while open_names and left > 1e-9:
        per_weight = left / sum(weights_by_name[name] for name in open_names)
        full = {
            name
            for name in open_names
            if asked_by_name[name] <= per_weight * weights_by_name[name]
        }
        for name in full or open_names:
            grant = per_weight * weights_by_name[name]
            shares[name] = asked_by_name[name] if full else grant
            left -= shares[name]
        open_names = open_names - full if full else set()
    return shares


def worst_served(counts: Counts) -> tuple[str, float] | None:
    """Return the workspace with the least part of its fair share, and that part.

    What a workspace asked for is its service per request that ran times all its
    requests; a workspace of which nothing ran is taken at the average of the others.
    """
    by_name = counts.workspaces_by_name
    total = sum(item.served for item in by_name.values())
    ran = sum(item.ran for item in by_name.values())
    if not total or not ran:
        return None
    asked_by_name = {}
    for name, item in by_name.items():
        mean = item.served / item.ran if item.ran else total / ran
        asked_by_name[name] = mean * item.requests
    weights_by_name = {name: item.weight for name, item in by_name.items()}
    shares = fair_shares(total, asked_by_name, weights_by_name)
    parts = {
        name: by_name[name].served / share for name, share in shares.items() if share
    }
    return min(parts.items(), key=lambda pair: pair[1]) if parts else None


def merge(parts: list[Counts]) -> Counts:
    """Return the sum over instances."""
    total = Counts()
    for part in parts:
        total.add(part)
    return total


def summarise(counts: Counts) -> dict:
    """Return the figures that operators read."""
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


def _ratio(part: float, whole: float) -> float | None:
    return round(part / whole, 4) if whole else None
