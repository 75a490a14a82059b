"""Routing policies, which select the upstream for a request.

A policy is an object with ``choose(upstreams, request, now)``, registered by name; a
pool's manifest entry names its policy. All policies filter upstreams by the same
eligibility check, so that no policy can choose an excluded upstream.
"""

from collections.abc import Iterable, Sequence
from functools import lru_cache
from math import exp2
from typing import Protocol

import msgspec
import xxhash

from camphorgate.registry import Registry
from camphorgate.requests.request_state import RoutingRequest, UpstreamState

# Half-lives of the weight of a load report and of the probability that a prefix is
# still cached. Streams last for seconds, so a report still shows which upstreams have
# no free slot. Prompts take 50 to 400 ms, so for the prompts of other instances only
# the average over all upstreams is used (docs/measurements/routing.md).
REPORT_HALF_LIFE_SECONDS = 2.0
PREFIX_HALF_LIFE_SECONDS = 30.0
# Probability that the upstream that rendezvous hashing selects for a prefix has it
# cached although this process has not sent it there: other instances prefer the same
# upstream.
OWNER_CACHED_PROBABILITY = 0.4
# An upstream whose wait exceeds this multiple of the average plus the slack gets no
# credit for a cached prefix. The slack matters while the pool is nearly idle.
MAX_AFFINITY_WAIT_RATIO = 1.5
AFFINITY_SLACK_SECONDS = 0.1
# Prefill work of other instances at an engine whose streams show that it spends all of
# its time on prefill, and how long such an observation is valid.
BUSY_PREFILL_SECONDS = 0.14
MAX_BUSY_SIGNAL_AGE_SECONDS = 0.3
# One-way latency to another zone of the region is about 0.5 ms (1.5 ms at worst).
CROSS_ZONE_SECONDS = 0.002
# Added to the cost of an engine with the prefill or decode role, so that it serves
# whole requests only when the wait at the other engines is much longer.
ROLE_PENALTY_SECONDS = 0.3
# Weight of the decode time of the whole request relative to the time to first token.
DECODE_COST_WEIGHT = 0.1
# Weight of the delay that a prefill causes to concurrent streams on the same engine.
INTERFERENCE_WEIGHT = 0.5
# Added per unit of an upstream's cost, to prefer the cheaper of equal upstreams.
SECONDS_PER_COST_UNIT = 0.002
# Assumed duration of a plain service call, scaled by the slowness of the upstream.
DEFAULT_CALL_SECONDS = 0.02
# Minimum weight of a new request in the moving averages of prompt and output length.
MIN_AVERAGE_WEIGHT = 0.02


class Choice(msgspec.Struct, frozen=True):
    """The chosen upstream and its expected latency.

    ``first_token_seconds`` is the time to first token and ``token_seconds`` the time
    between tokens.
    """

    upstream: UpstreamState
    first_token_seconds: float = 0.0
    token_seconds: float = 0.0


class Policy(Protocol):
    """Interface of routing policies."""

    def choose(
        self, upstreams: Iterable[UpstreamState], request: RoutingRequest, now: float
    ) -> Choice | None:
        """Return the best upstream, or None if none is eligible."""


POLICIES: Registry[type] = Registry("routing policy")


def _rendezvous_weight(key: str, upstream_id: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{key}\0{upstream_id}".encode())


@lru_cache(maxsize=8192)
def _prefix_owner(key: str, upstream_ids: tuple[str, ...]) -> str:
    return max(upstream_ids, key=lambda name: _rendezvous_weight(key, name))


def is_eligible(upstream: UpstreamState, request: RoutingRequest) -> bool:
    """Return whether an upstream is eligible for a request.

    Upstreams that are leaving, suspected, being probed or without the model are not. A
    non-idempotent request never goes to a cheap upstream, which can be evicted.
    """
    return (
        not upstream.leaving
        and upstream.health == "healthy"
        and (request.idempotent or upstream.kind != "cheap")
        and (
            not request.model
            or upstream.models is None
            or request.model in upstream.models
        )
    )


def select_subset(
    upstreams: Sequence[UpstreamState],
    instance_id: str,
    per_zone: int,
    zone: str = "",
    per_other_zone: int | None = None,
) -> list[UpstreamState]:
    """Return the subset of a large pool that an instance uses.

    From each zone it takes the upstreams with the highest rendezvous weight, so that
    adding or removing one upstream changes the subsets of few instances.

    :param per_zone: number of upstreams from the instance's own zone.
    :param zone: the instance's own zone.
    :param per_other_zone: number from each other zone, ``per_zone`` by default.
    """
    others = per_zone if per_other_zone is None else per_other_zone
    ranked = sorted(
        upstreams, key=lambda item: -_rendezvous_weight(instance_id, item.id)
    )
    count_by_zone: dict[str, int] = {}
    chosen = []
    for upstream in ranked:
        taken = count_by_zone.get(upstream.zone, 0)
        if taken < (per_zone if upstream.zone == zone else others):
            count_by_zone[upstream.zone] = taken + 1
            chosen.append(upstream)
    return chosen


@POLICIES.register("round_robin")
class RoundRobin:
    """Rotates through the upstreams; a baseline for comparison."""

    __slots__ = ("_rotation",)

    def __init__(self, instance_id: str = "") -> None:
        """Start at a place that depends on the instance."""
        self._rotation = xxhash.xxh3_64_intdigest(instance_id.encode())

    def choose(
        self, upstreams: Iterable[UpstreamState], request: RoutingRequest, now: float
    ) -> Choice | None:
        """Return the next eligible upstream, or None if there is none."""
        candidates = [item for item in upstreams if is_eligible(item, request)]
        if not candidates:
            return None
        self._rotation += 1
        return Choice(candidates[self._rotation % len(candidates)])


@POLICIES.register("least_outstanding")
class LeastOutstanding:
    """The upstream with the fewest own requests in flight; a baseline."""

    __slots__ = ("_rotation",)

    def __init__(self, instance_id: str = "") -> None:
        """Start at a place that depends on the instance."""
        self._rotation = xxhash.xxh3_64_intdigest(instance_id.encode())

    def choose(
        self, upstreams: Iterable[UpstreamState], request: RoutingRequest, now: float
    ) -> Choice | None:
        """Return the least used upstream, equal ones in turn."""
        candidates = [item for item in upstreams if is_eligible(item, request)]
        if not candidates:
            return None
        self._rotation += 1
        first = self._rotation % len(candidates)
        rotated = candidates[first:] + candidates[:first]
        return Choice(min(rotated, key=lambda item: item.own_requests))


@POLICIES.register("expected_latency")
class ExpectedLatency:
    """Chooses the upstream with the lowest expected latency cost.

    The cost covers the request itself and the streams that its prefill delays.
    """

    __slots__ = ("_rotation", "_request_count", "_mean_prefill", "_mean_output")

    def __init__(self, instance_id: str = "") -> None:
        """Start without traffic statistics.

        :param instance_id: makes instances start at different upstreams.
        """
        # Breaks ties by rotating through upstreams of equal cost.
        self._rotation = xxhash.xxh3_64_intdigest(instance_id.encode())
        self._request_count = 0
        self._mean_prefill = 0.0
        self._mean_output = 0.0

    def choose(
        self, upstreams: Iterable[UpstreamState], request: RoutingRequest, now: float
    ) -> Choice | None:
        """Return the eligible upstream with the lowest expected cost in seconds.

        :param now: monotonic seconds, from which the age of reports is computed.
        """
        candidates = [item for item in upstreams if is_eligible(item, request)]
        if not candidates:
            return None
        self._record_request(request)
        owner = ""
        if request.prefix_digest:
            ids = tuple([item.id for item in candidates])
            owner = _prefix_owner(request.prefix_digest, ids)
        # Rotate, so that ties go to a different upstream each time.
        first = self._rotation % len(candidates)
        candidates = candidates[first:] + candidates[:first]
        mean_others, others = _requests_of_other_instances(candidates, now)
        waits = self._wait_seconds(candidates, mean_others, others, now)
        max_affinity_wait = (
            MAX_AFFINITY_WAIT_RATIO * sum(waits) / len(waits) + AFFINITY_SLACK_SECONDS
        )
        # The cost is at least the wait unless the prefix is longer than the prompt, as
        # the declared costs of upstreams are not negative.
        wait_is_lower_bound = request.prefix_tokens <= request.prompt_tokens
        best = None
        for upstream, wait in zip(candidates, waits, strict=True):
            if wait_is_lower_bound and best is not None and wait >= best[0]:
                continue
            cached = 0.0
            if owner and wait <= max_affinity_wait:
                cached = _cached_probability(upstream, request, owner, now)
            estimate = _estimate(upstream, request, mean_others, wait, cached)
            if best is None or estimate[0] < best[0]:
                best = (*estimate, upstream)
        return Choice(best[3], best[1], best[2])

    def _record_request(self, request: RoutingRequest) -> None:
        self._rotation += 1
        self._request_count += 1
        weight = max(MIN_AVERAGE_WEIGHT, 1 / self._request_count)
        self._mean_prefill += weight * (request.prompt_tokens - self._mean_prefill)
        self._mean_output += weight * (request.output_tokens - self._mean_output)

    def _wait_seconds(
        self,
        candidates: list[UpstreamState],
        mean_others: float,
        others: list[float],
        now: float,
    ) -> list[float]:
        """Return, per upstream, the seconds until its current prompts are prefilled.

        :param mean_others: mean requests of other instances per upstream.
        :param others: requests of other instances at each upstream.
        """
        mean_prefill, mean_output = self._mean_prefill, self._mean_output
        pairs = zip(candidates, others, strict=True)
        if not mean_prefill:
            return [
                (item.own_requests + count)
                / item.slots
                * DEFAULT_CALL_SECONDS
                * item.slowness
                for item, count in pairs
            ]
        return [
            _prefill_wait(item, mean_prefill, mean_output, mean_others, count, now)
            for item, count in pairs
        ]


def _prefill_wait(
    upstream: UpstreamState,
    mean_prefill: float,
    mean_output: float,
    mean_others: float,
    others: float,
    now: float,
) -> float:
    """Return the seconds until an engine has prefilled its current prompts.

    :param mean_prefill: mean prompt tokens of a request.
    :param mean_output: mean output tokens of a request.
    :param mean_others: mean requests of other instances per upstream.
    :param others: requests of other instances at this upstream.
    """
    # Avoids min() and max(): their calls took a third of the time of a choice.
    slots = upstream.slots
    own = upstream.own_requests
    prefill_rate = upstream.prefill_tokens_per_second
    streams = own + mean_others if own + mean_others < slots else slots
    prefill_seconds = mean_prefill / prefill_rate
    stream_seconds = mean_output * streams / upstream.decode_tokens_per_second
    # Fraction of the other instances' requests that is expected to be in prefill.
    in_prefill = prefill_seconds / (prefill_seconds + stream_seconds)
    wait = upstream.own_prefill_tokens / prefill_rate
    if now - upstream.gap_updated_at < MAX_BUSY_SIGNAL_AGE_SECONDS:
        # Observed in own streams without lag, so it replaces half of the estimate.
        undisturbed, gap = upstream.undisturbed_gap_seconds, upstream.gap_seconds
        if undisturbed < gap:
            wait += BUSY_PREFILL_SECONDS * (1.0 - undisturbed / gap)
        in_prefill *= 0.5
    wait += (
        in_prefill * (mean_others if mean_others < slots else slots) * prefill_seconds
    )
    if own + others > slots:
        excess = own + others - slots
        wait += excess * (stream_seconds / slots + prefill_seconds)
    return wait * upstream.slowness


def _requests_of_other_instances(
    candidates: list[UpstreamState], now: float
) -> tuple[float, list[float]]:
    """Return the requests that other instances have in flight.

    An old report says less about one upstream than about all of them, so each value is
    shrunk towards the mean as its report ages.

    :returns: the mean over all upstreams, and the value of each.
    """
    counts = []
    weights = []
    total = weighted = 0.0
    for upstream in candidates:
        report = upstream.report
        if report is None:
            counts.append(0.0)
            weights.append(0.0)
            continue
        count = report.running + report.waiting - upstream.own_requests_at_report
        if count < 0:
            count = 0.0
        age = now - report.observed_at + report.lag_seconds
        weight = exp2(-age / REPORT_HALF_LIFE_SECONDS) if age > 0 else 1.0
        counts.append(count)
        weights.append(weight)
        total += weight
        weighted += count * weight
    if not total:
        return 0.0, counts
    mean_others = weighted / total
    pairs = zip(counts, weights, strict=True)
    return mean_others, [
        mean_others + weight * (count - mean_others) for count, weight in pairs
    ]


def _cached_probability(
    upstream: UpstreamState, request: RoutingRequest, owner: str, now: float
) -> float:
    """Return the probability that an upstream has the request's prefix cached."""
    probability = OWNER_CACHED_PROBABILITY if upstream.id == owner else 0.0
    seen_at = upstream.prefix_seen_at_by_digest.get(request.prefix_digest)
    if seen_at is None:
        return probability
    return max(probability, exp2((seen_at - now) / PREFIX_HALF_LIFE_SECONDS))


def _estimate(
    upstream: UpstreamState,
    request: RoutingRequest,
    others: float,
    wait: float,
    cached: float,
) -> tuple[float, float, float]:
    """Return cost, time to first token and time between tokens, in seconds.

    :param others: expected requests of other instances at the upstream.
    :param wait: seconds until the upstream has prefilled its current prompts.
    :param cached: probability that the prefix is cached.
    """
    slots = upstream.slots
    slowness = upstream.slowness
    streams = upstream.own_requests + others
    if streams > slots:
        streams = slots
    new_tokens = request.prompt_tokens - cached * request.prefix_tokens
    prefill = new_tokens / upstream.prefill_tokens_per_second * slowness
    token_seconds = (streams + 1) / upstream.decode_tokens_per_second * slowness
    first = wait + prefill + token_seconds
    if upstream.zone != request.zone:
        first += CROSS_ZONE_SECONDS
    cost = first + DECODE_COST_WEIGHT * request.output_tokens * token_seconds
    cost += INTERFERENCE_WEIGHT * prefill * streams / slots
    cost += SECONDS_PER_COST_UNIT * upstream.cost
    if upstream.role != "both":
        cost += ROLE_PENALTY_SECONDS
    return cost, first, token_seconds
