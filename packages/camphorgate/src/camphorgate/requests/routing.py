"""Which upstream serves a request.

A policy is an object with ``choose(upstreams, request, now)``, registered by name; a
pool's manifest entry names its policy. All policies share the rules of who may serve
a request at all, so that no policy can pick an excluded upstream.
"""

from collections.abc import Iterable, Sequence
from functools import lru_cache
from math import exp2
from typing import Protocol

import msgspec
import xxhash

from camphorgate.registry import Registry
from camphorgate.requests.views import RequestView, UpstreamView

# Half-lives in seconds: of the trust in a load report, and in a cached prefix. Streams
# last for seconds, so a report still tells which upstreams have no free slot; prompts
# take 50 to 400 ms, so of the prompts of others only the average over all upstreams is
# used (docs/measurements/routing.md).
REPORT_HALF_LIFE = 2.0
PREFIX_HALF_LIFE = 30.0
# Chance that the upstream that rendezvous hashing names for a prefix holds it although
# this process has not sent it there: other instances prefer the same upstream.
OWNER_PREFIX_CHANCE = 0.4
# An upstream with more than this multiple of the average wait gets no credit for a
# cached prefix, plus a slack in seconds that matters when the pool is nearly idle.
AFFINITY_LOAD_BOUND = 1.5
AFFINITY_SLACK_SECONDS = 0.1
# Seconds of prompts that others have waiting at an engine whose streams show that it
# spends all of its time on prompts, and how long such a sign is valid.
BUSY_SECONDS = 0.14
BUSY_VALID_SECONDS = 0.3
# One-way latency to another zone of the region is about 0.5 ms (1.5 ms at worst).
OTHER_ZONE_SECONDS = 0.002
# A specialised engine serves whole requests only when the others are far behind.
ROLE_PENALTY_SECONDS = 0.3
# How much of a whole request's decode time counts beside the time to first token.
DECODE_WEIGHT = 0.1
# How much of the delay that a prompt causes to the streams beside it counts.
DISTURBANCE_WEIGHT = 0.5
# Between equal upstreams a cheaper one is worth this much, per unit of cost.
COST_SECONDS = 0.002
# Time of a plain service call until its upstream's own answers are known.
SERVICE_SECONDS = 0.02
AVERAGE_WEIGHT = 0.02


class Choice(msgspec.Struct, frozen=True):
    """The upstream that was chosen, and what the policy expects of it.

    Times are seconds until the first token and between tokens.
    """

    upstream: UpstreamView
    first_token_seconds: float = 0.0
    token_seconds: float = 0.0


class Policy(Protocol):
    """What a routing policy offers."""

    def choose(
        self, upstreams: Iterable[UpstreamView], request: RequestView, now: float
    ) -> Choice | None:
        """Return the best upstream, or None if none may serve the request."""


POLICIES: Registry[type] = Registry("routing policy")


def _rendezvous_weight(key: str, upstream_id: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{key}\0{upstream_id}".encode())


@lru_cache(maxsize=8192)
def _owner_of(key: str, upstream_ids: tuple[str, ...]) -> str:
    return max(upstream_ids, key=lambda name: _rendezvous_weight(key, name))


def may_serve(upstream: UpstreamView, request: RequestView) -> bool:
    """Tell whether an upstream may serve a request at all.

    A leaving, suspected or probed upstream and one without the model may not, and a
    request that must not be repeated never goes to one that can be evicted.
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


def subset(
    upstreams: Sequence[UpstreamView],
    instance_id: str,
    per_zone: int,
    zone: str = "",
    per_other_zone: int | None = None,
) -> list[UpstreamView]:
    """Return the upstreams that an instance uses when there are many.

    Each zone contributes those with the highest rendezvous weight, so that a change
    of one upstream changes the subsets of few instances.

    :param per_zone: how many of the instance's own zone.
    :param zone: the instance's own zone.
    :param per_other_zone: how many of each other zone, ``per_zone`` by default.
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
    """Each upstream in turn; a baseline."""

    __slots__ = ("_turn",)

    def __init__(self, instance_id: str = "") -> None:
        """Start at a place that depends on the instance."""
        self._turn = xxhash.xxh3_64_intdigest(instance_id.encode())

    def choose(
        self, upstreams: Iterable[UpstreamView], request: RequestView, now: float
    ) -> Choice | None:
        """Return the next upstream that may serve the request."""
        candidates = [item for item in upstreams if may_serve(item, request)]
        if not candidates:
            return None
        self._turn += 1
        return Choice(candidates[self._turn % len(candidates)])


@POLICIES.register("least_outstanding")
class LeastOutstanding:
    """The upstream with the fewest own requests in flight; a baseline."""

    __slots__ = ("_turn",)

    def __init__(self, instance_id: str = "") -> None:
        """Start at a place that depends on the instance."""
        self._turn = xxhash.xxh3_64_intdigest(instance_id.encode())

    def choose(
        self, upstreams: Iterable[UpstreamView], request: RequestView, now: float
    ) -> Choice | None:
        """Return the least used upstream, equal ones in turn."""
        candidates = [item for item in upstreams if may_serve(item, request)]
        if not candidates:
            return None
        self._turn += 1
        first = self._turn % len(candidates)
        rotated = candidates[first:] + candidates[:first]
        return Choice(min(rotated, key=lambda item: item.own_requests))


@POLICIES.register("expected_latency")
class ExpectedLatency:
    """The upstream with the lowest expected delay to the request and its neighbours."""

    __slots__ = ("_turn", "_seen", "_mean_prefill", "_mean_output")

    def __init__(self, instance_id: str = "") -> None:
        """Start without knowledge of the traffic.

        :param instance_id: makes each instance begin at another upstream.
        """
        # Equal upstreams are taken in turn.
        self._turn = xxhash.xxh3_64_intdigest(instance_id.encode())
        self._seen = 0
        self._mean_prefill = 0.0
        self._mean_output = 0.0

    def choose(
        self, upstreams: Iterable[UpstreamView], request: RequestView, now: float
    ) -> Choice | None:
        """Return the upstream with the lowest expected cost in seconds.

        :param now: monotonic seconds, against which reports are aged.
        """
        candidates = [item for item in upstreams if may_serve(item, request)]
        if not candidates:
            return None
        self._note(request)
        owner = ""
        if request.prefix_digest:
            ids = tuple([item.id for item in candidates])
            owner = _owner_of(request.prefix_digest, ids)
        # Equal upstreams are taken in turn.
        first = self._turn % len(candidates)
        candidates = candidates[first:] + candidates[:first]
        mean, others = _work_of_others(candidates, now)
        waits = self._wait_seconds(candidates, mean, others, now)
        bound = AFFINITY_LOAD_BOUND * sum(waits) / len(waits) + AFFINITY_SLACK_SECONDS
        # No cost is below the wait unless a prefix is longer than its prompt, as the
        # declared costs of upstreams are not negative.
        bounded = request.prefix_tokens <= request.prompt_tokens
        best = None
        for upstream, wait in zip(candidates, waits, strict=True):
            if bounded and best is not None and wait >= best[0]:
                continue
            cached = 0.0
            if owner and wait <= bound:
                cached = _cached_chance(upstream, request, owner, now)
            estimate = _estimate(upstream, request, mean, wait, cached)
            if best is None or estimate[0] < best[0]:
                best = (*estimate, upstream)
        return Choice(best[3], best[1], best[2])

    def _note(self, request: RequestView) -> None:
        self._turn += 1
        self._seen += 1
        weight = max(AVERAGE_WEIGHT, 1 / self._seen)
        self._mean_prefill += weight * (request.prompt_tokens - self._mean_prefill)
        self._mean_output += weight * (request.output_tokens - self._mean_output)

    def _wait_seconds(
        self,
        candidates: list[UpstreamView],
        mean: float,
        others: list[float],
        now: float,
    ) -> list[float]:
        """Return the times until upstreams have finished the prompts that they have.

        :param mean: requests of others at an average upstream.
        :param others: requests of others at each one.
        """
        mean_prefill, mean_output = self._mean_prefill, self._mean_output
        pairs = zip(candidates, others, strict=True)
        if not mean_prefill:
            return [
                (item.own_requests + count)
                / item.slots
                * SERVICE_SECONDS
                * item.slowness
                for item, count in pairs
            ]
        return [
            _prompt_wait(item, mean_prefill, mean_output, mean, count, now)
            for item, count in pairs
        ]


def _prompt_wait(
    upstream: UpstreamView,
    mean_prefill: float,
    mean_output: float,
    mean: float,
    others: float,
    now: float,
) -> float:
    """Return the time until an engine has finished the prompts that it has.

    :param mean_prefill: prompt tokens of an average request.
    :param mean_output: output tokens of an average request.
    :param mean: requests of others at an average upstream.
    :param others: requests of others at this one.
    """
    # Written without min() and max(), whose calls took a third of a choice.
    slots = upstream.slots
    own = upstream.own_requests
    prefill_rate = upstream.prefill_tokens_per_second
    streams = own + mean if own + mean < slots else slots
    prefill_seconds = mean_prefill / prefill_rate
    stream_seconds = mean_output * streams / upstream.decode_tokens_per_second
    # Of the requests of others, the part that is expected in prefill.
    in_prefill = prefill_seconds / (prefill_seconds + stream_seconds)
    wait = upstream.own_prefill_tokens / prefill_rate
    if now - upstream.gap_seen_at < BUSY_VALID_SECONDS:
        # Seen in own streams without any lag, so it replaces half of the guess.
        quiet, gap = upstream.quiet_gap_seconds, upstream.gap_seconds
        if quiet < gap:
            wait += BUSY_SECONDS * (1.0 - quiet / gap)
        in_prefill *= 0.5
    wait += in_prefill * (mean if mean < slots else slots) * prefill_seconds
    if own + others > slots:
        excess = own + others - slots
        wait += excess * (stream_seconds / slots + prefill_seconds)
    return wait * upstream.slowness


def _work_of_others(
    candidates: list[UpstreamView], now: float
) -> tuple[float, list[float]]:
    """Return the requests that other instances have in flight.

    An old report says less about one upstream than about all of them, so each value is
    drawn towards the average as its report ages.

    :returns: the average over all upstreams, and the value of each.
    """
    counts = []
    trusts = []
    total = weighted = 0.0
    for upstream in candidates:
        report = upstream.report
        if report is None:
            counts.append(0.0)
            trusts.append(0.0)
            continue
        count = report.running + report.waiting - upstream.own_requests_at_report
        if count < 0:
            count = 0.0
        age = now - report.observed_at + report.lag_seconds
        trust = exp2(-age / REPORT_HALF_LIFE) if age > 0 else 1.0
        counts.append(count)
        trusts.append(trust)
        total += trust
        weighted += count * trust
    if not total:
        return 0.0, counts
    mean = weighted / total
    pairs = zip(counts, trusts, strict=True)
    return mean, [mean + trust * (count - mean) for count, trust in pairs]


def _cached_chance(
    upstream: UpstreamView, request: RequestView, owner: str, now: float
) -> float:
    """Return the probability that an upstream holds the request's prefix."""
    chance = OWNER_PREFIX_CHANCE if upstream.id == owner else 0.0
    seen_at = upstream.prefix_seen_at_by_digest.get(request.prefix_digest)
    if seen_at is None:
        return chance
    return max(chance, exp2((seen_at - now) / PREFIX_HALF_LIFE))


def _estimate(
    upstream: UpstreamView,
    request: RequestView,
    others: float,
    wait: float,
    cached: float,
) -> tuple[float, float, float]:
    """Return cost, time to first token and time between tokens, in seconds.

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
        first += OTHER_ZONE_SECONDS
    cost = first + DECODE_WEIGHT * request.output_tokens * token_seconds
    cost += DISTURBANCE_WEIGHT * prefill * streams / slots
    cost += COST_SECONDS * upstream.cost
    if upstream.role != "both":
        cost += ROLE_PENALTY_SECONDS
    return cost, first, token_seconds
