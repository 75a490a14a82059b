"""Selection of the upstream for a request.

Handles long prompts that share parts next to short prompts with tight targets. The
choice depends on the predicted time to the end of prefill, so a cached part attracts
a request only while the queue there is shorter than repeating the prefill elsewhere.
"""

import heapq
import math
import random
from collections.abc import Callable

import msgspec
import xxhash

from camphorgate.serving.catalog import EngineSpec, Upstream
from camphorgate.serving.health import HealthTable
from camphorgate.serving.loads import LoadTable
from camphorgate.serving.pace import PaceTable
from camphorgate.serving.upstream_speed import SpeedTable

# Maximum time that a decoding engine may spend on prefill for queued prompts. Its
# streams get their events later by about as much: 1,500 tokens at 27.5 per ms.
MAX_DIRECT_PREFILL_MS = 1500 / 27.5
# Penalty for an upstream in another zone: traffic between zones is charged, and the
# state of its upstreams is known later. A home that caches a long shared part outweighs
# this penalty.
OTHER_ZONE_PENALTY_MS = 30.0
# A cache transfer between zones takes twice as long and costs up to three times as
# much.
OTHER_ZONE_TRANSFER_MS = 40.0
# Penalty for decoding on cheap engines, as streams prefer engines that cannot be
# reclaimed.
CHEAP_DECODE_PENALTY_MS = 30.0
# Weight of the time to prefill tokens that another engine has cached. It is counted in
# addition to the predicted time, as it also delays the prompts queued behind.
REPEATED_PREFILL_WEIGHT = 1.0
# All instances send the prompts of a shared part to the same few engines (its homes),
# as far as their queues allow. With hundreds of instances, few prompts of one part pass
# the same instance or zone, so an instance rarely knows which engine caches the part.
HOME_ENGINES = 2
# Fraction of the shared tokens that a home is assumed to cache without a report of it.
HOME_CACHED_FRACTION = 0.6
# Maximum penalty by the hash of a prompt part and an engine, as prompt tokens that a
# usual engine of the service would prefill meanwhile (25 ms at 55 tokens per ms). It is
# about the same on every instance, so that all of them send a part to the same engine
# before any of them knows which engine caches it.
MAX_SHARED_ORDER_TOKENS = 25 * 55
# Cost of a plain request at an upstream whose slots are all in use, as a multiple of
# its service time. It grows with the square of the used fraction, as the load at the
# arrival of the request is known only roughly.
USED_SLOTS_WEIGHT = 3.0
# Additional cost for requests beyond the slots, per slot: they wait or are refused.
EXCESS_WEIGHT = 6.0
# The number of requests of other instances is an older one and has changed by about its
# square root. Each choice assumes a random number in this range, in multiples of the
# root, so that instances with the same old figures do not choose the same upstream.
LOAD_SPREAD = 1.0
# The same for the prompts queued at an engine, which change more slowly as they are
# announced, in multiples of the root.
QUEUE_SPREAD = 0.6
# The range for an engine at which no prompts are known, in ms: about half a usual one.
# With figures 0.2 s old, 87 instances otherwise send all prompts of that time to the
# engine that was idle (simulated at 134 prompts a second for 20 engines: 0.92 of them
# in time, 0.97 with this range).
MIN_QUEUE_SPREAD_MS = 30.0
# The same for streams, which are not announced, in multiples of the root. Simulated
# with 223 streams of 0.15 s a second on 10 engines and figures 0.2 s old: the engine
# with the most streams had 2.6 times the mean without it, 1.9 times with it.
DECODE_SPREAD = 3.0
# The same where there are none, in requests; it decides between equal upstreams only.
EQUAL_SPREAD = 0.01
# Penalty for opening a new connection.
NEW_CONNECTION_MS = 3.0
# An upstream that fails requests is chosen only if the others are slower by this
# penalty, scaled by the upstream's failure rate. An engine without a free slot gets the
# whole penalty, and an upstream of a plain service a part by its used slots.
FAILING_PENALTY_MS = 400.0
# Ranks upstreams that other instances may send to after their start behind the others,
# but ahead of avoided ones.
OUTSIDE_SHARE_PENALTY_MS = 1e5
# Ranks avoided upstreams after all others.
AVOIDED_PENALTY_MS = 1e6


class Prompt(msgspec.Struct, frozen=True):
    """The properties of a generation that placement uses."""

    tokens: int
    parts: tuple[tuple[str, int], ...]

    @property
    def shared_tokens(self) -> int:
        """Return the number of tokens in the parts shared with other prompts."""
        return sum(size for _, size in self.parts[:-1])


class Choice(msgspec.Struct, frozen=True):
    """An upstream and the predictions for a request sent to it.

    ``wait_ms`` is the time until the first token or the start of the request,
    ``uncached`` the number of prompt tokens to prefill, ``prefill_ms`` the engine's
    time for these tokens, and ``queued_ms`` its time for the prompts already queued
    there. ``avoid_until`` is in the future if this upstream, and thus every other
    candidate, should be avoided until then. ``others`` is the number of requests
    of other instances known to be in progress at the engine.
    """

    upstream: Upstream
    wait_ms: float
    uncached: int = 0
    queued_ms: float = 0.0
    avoid_until: float = 0.0
    prefill_ms: float = 0.0
    others: float = 0.0


class Candidate(msgspec.Struct, frozen=True):
    """An upstream that was compared, and what it was compared by.

    ``wait_terms`` are the parts of the predicted wait, ``other_terms`` what is added to
    it for the comparison only, both in ms by name. ``avoid_until`` is in the future
    while the upstream should be avoided.
    """

    choice: Choice
    wait_terms: dict[str, float]
    other_terms: dict[str, float]
    avoid_until: float

    @property
    def cost_ms(self) -> float:
        """Return the sum of all terms; the candidate with the lowest is chosen."""
        return self.choice.wait_ms + sum(self.other_terms.values())


# The choice for an upstream, and the terms of its predicted wait.
Prediction = tuple[Choice, dict[str, float]]


class Placement:
    """Chooses upstreams by predicted time; stateless."""

    __slots__ = (
        "_loads",
        "_health",
        "_speeds",
        "random_source",
        "_pace",
        "_zone",
        "_connected",
        "_permit_wait_seconds",
    )

    def __init__(
        self,
        loads: LoadTable,
        health: HealthTable,
        zone: str,
        connected: Callable[[tuple[str, int]], bool] = lambda incarnation: True,
        permit_wait_seconds: Callable[[Upstream], float] = lambda upstream: 0.0,
        speeds: SpeedTable | None = None,
        pace: PaceTable | None = None,
        random_source: random.Random | None = None,
    ) -> None:
        """Initialize with the load and health tables of this instance.

        :param zone: availability zone of this instance.
        :param connected: returns whether an idle connection to an upstream is open.
        :param permit_wait_seconds: returns the time until the limit of an upstream
            allows a request.
        :param speeds: predicts durations; by default, the start values apply.
        :param pace: tells which upstreams this instance may send to after their start;
            by default, all.
        """
        self._pace = pace
        self.random_source = random_source or random.Random()
        self._speeds = speeds or SpeedTable()
        self._connected = connected
        self._permit_wait_seconds = permit_wait_seconds
        self._loads = loads
        self._health = health
        self._zone = zone

    def choose_for_prefill(
        self, engines: list[Upstream], prompt: Prompt, now: float
    ) -> Choice | None:
        """Choose the engine that prefills a prompt.

        :param engines: the candidates, of any phase.
        """
        return _lowest_cost(self.compare_for_prefill(engines, prompt, now), now)

    def compare_for_prefill(
        self, engines: list[Upstream], prompt: Prompt, now: float
    ) -> list[Candidate]:
        """Return what :meth:`choose_for_prefill` compares, in the order of engines."""
        cached = {
            item.id: self._loads.cached_tokens(item.id, prompt.parts, now)
            for item in engines
        }
        order = _shared_order(prompt, engines)
        # The homes of the shared part, of any phase.
        for upstream_id in heapq.nsmallest(HOME_ENGINES, order, key=order.__getitem__):
            held = int(prompt.shared_tokens * HOME_CACHED_FRACTION)
            cached[upstream_id] = max(cached[upstream_id], held)
        max_cached = max(cached.values(), default=0)
        service = engines[0].service if engines else ""
        usual_ms_per_token = 1.0 / self._speeds.prefill_tokens_per_ms(service)
        spreads = self._speeds.learns and self._loads.has_sources(now)
        uniform = self.random_source.uniform

        def extra_terms(item: Upstream, choice: Choice) -> dict[str, float]:
            repeated = max_cached - cached[item.id]
            repeated_tokens = repeated * REPEATED_PREFILL_WEIGHT
            terms = {
                "repeated_prefill": repeated_tokens * usual_ms_per_token,
                "shared_order": order.get(item.id, 0.0) * usual_ms_per_token,
            }
            if spreads:
                spread = MIN_QUEUE_SPREAD_MS
                if choice.others > 0:
                    spread += QUEUE_SPREAD * choice.queued_ms / math.sqrt(choice.others)
                terms["spread"] = uniform(-spread, spread)
            return terms

        def predict(item: Upstream) -> Prediction:
            return self._predict_prefill(item, prompt, cached[item.id], now)

        return self._compare(engines, now, predict, extra_terms)

    def choose_for_decode(
        self,
        engines: list[Upstream],
        prompt: Prompt,
        reader: Upstream | None,
        spec: EngineSpec,
        now: float,
    ) -> Choice | None:
        """Choose the engine that generates the answer.

        :param reader: the engine that holds the prompt's cache; ``None`` if the
            decoding engine prefills the prompt itself.
        """
        candidates = self.compare_for_decode(engines, prompt, reader, spec, now)
        return _lowest_cost(candidates, now)

    def compare_for_decode(
        self,
        engines: list[Upstream],
        prompt: Prompt,
        reader: Upstream | None,
        spec: EngineSpec,
        now: float,
    ) -> list[Candidate]:
        """Return what :meth:`choose_for_decode` compares, in the order of engines."""
        if reader is None:
            return self.compare_for_prefill(engines, prompt, now)

        def predict(item: Upstream) -> Prediction:
            load = self._loads.total(item.id, now)
            cached = self._loads.cached_tokens(item.id, prompt.parts, now)
            moved = max(0, prompt.tokens - cached)
            bits = moved * spec.bytes_per_token * 8
            terms = {"transfer": bits / (spec.link_mbps * 1000)}
            if load.requests:
                step_ms = self._speeds.step_ms(item, load.requests, now)
                terms["running"] = load.requests * step_ms
            if load.prefill_tokens:
                _, ms_per_token = self._speeds.prefill_line(item, now)
                terms["queued"] = load.prefill_tokens * ms_per_token
            if item.zone != reader.zone:
                terms["zone_transfer"] = OTHER_ZONE_TRANSFER_MS
            if item.cheap:
                terms["cheap"] = CHEAP_DECODE_PENALTY_MS
            if load.requests >= item.slots:
                terms["full"] = FAILING_PENALTY_MS
            others = load.requests - self._loads.own_requests(item.id)
            return Choice(item, sum(terms.values()), others=others), terms

        spreads = self._speeds.learns and self._loads.has_sources(now)

        def extra_terms(item: Upstream, choice: Choice) -> dict[str, float]:
            if not spreads:
                return {}
            requests = DECODE_SPREAD * math.sqrt(max(1.0, choice.others))
            step_ms = self._speeds.step_ms(item, choice.others, now)
            return {"spread": self.random_source.uniform(-requests, requests) * step_ms}

        return self._compare(engines, now, predict, extra_terms)

    @staticmethod
    def may_prefill_directly(choice: Choice) -> bool:
        """Return whether a decoding engine can prefill without delaying others."""
        return choice.queued_ms + choice.prefill_ms <= MAX_DIRECT_PREFILL_MS

    def choose_for_call(self, upstreams: list[Upstream], now: float) -> Choice | None:
        """Choose the upstream of a service without engines by predicted wait."""
        return _lowest_cost(self.compare_for_call(upstreams, now), now)

    def compare_for_call(
        self, upstreams: list[Upstream], now: float
    ) -> list[Candidate]:
        """Return what :meth:`choose_for_call` compares, in the order of upstreams."""
        if not self._speeds.learns:
            return self._compare_used_slots(upstreams, now)
        used_ms_by_id: dict[str, float] = {}

        def predict(item: Upstream) -> Prediction:
            own = self._loads.own_requests(item.id)
            others = self._loads.total(item.id, now).requests - own
            requests, uncertain = self._speeds.reports.estimate(item, own, others, now)
            spread = max(EQUAL_SPREAD, LOAD_SPREAD * math.sqrt(max(0.0, uncertain)))
            requests += self.random_source.uniform(-spread, spread)
            used = max(0.0, requests + 1) / max(1, item.slots)
            call_ms = self._speeds.call_ms(item, now)
            excess = max(0.0, used - 1.0)
            cost = 1.0 + USED_SLOTS_WEIGHT * used * used + EXCESS_WEIGHT * excess
            wait = call_ms * excess
            used_ms_by_id[item.id] = call_ms * cost - wait
            return Choice(item, wait), {"excess": wait}

        def extra_terms(item: Upstream, choice: Choice) -> dict[str, float]:
            return {"used_slots": used_ms_by_id[item.id]}

        return self._compare(upstreams, now, predict, extra_terms)

    def _compare_used_slots(
        self, upstreams: list[Upstream], now: float
    ) -> list[Candidate]:
        def predict(item: Upstream) -> Prediction:
            load = self._loads.total(item.id, now)
            wait = load.requests / max(1, item.slots) * FAILING_PENALTY_MS
            return Choice(item, wait), {"used_slots": wait}

        return self._compare(upstreams, now, predict)

    def _predict_prefill(
        self, item: Upstream, prompt: Prompt, cached: int, now: float
    ) -> Prediction:
        load = self._loads.total(item.id, now)
        uncached = max(1, prompt.tokens - cached)
        fixed_ms, ms_per_token = self._speeds.prefill_line(item, now)
        terms = {
            "queued": load.prefill_tokens * ms_per_token,
            "uncached": uncached * ms_per_token,
            "fixed": fixed_ms,
        }
        others = load.requests - self._loads.own_requests(item.id)
        choice = Choice(
            item,
            sum(terms.values()),
            uncached,
            terms["queued"],
            0.0,
            terms["uncached"],
            others,
        )
        return choice, terms

    def _compare(
        self,
        upstreams: list[Upstream],
        now: float,
        predict: Callable[[Upstream], Prediction],
        extra_terms: Callable[[Upstream, Choice], dict[str, float]] = (
            lambda item, choice: {}
        ),
    ) -> list[Candidate]:
        candidates = []
        paces = self._pace is not None and len(self._pace) > 0
        for item in upstreams:
            choice, wait_terms = predict(item)
            incarnation = item.incarnation
            health = self._health.of(incarnation)
            terms = extra_terms(item, choice)
            failure_rate = self._health.failure_rate(incarnation, now)
            if failure_rate:
                terms["failing"] = failure_rate * FAILING_PENALTY_MS
            permit_seconds = self._permit_wait_seconds(item)
            if permit_seconds:
                terms["permit"] = permit_seconds * 1000
            if item.zone != self._zone:
                terms["other_zone"] = OTHER_ZONE_PENALTY_MS
            if not self._connected(incarnation):
                terms["new_connection"] = NEW_CONNECTION_MS
            if paces and not self._pace.includes(incarnation, now):
                terms["outside_share"] = OUTSIDE_SHARE_PENALTY_MS
            if health.avoided(now):
                # Among avoided upstreams, prefer the one that may be tried first.
                terms["avoided"] = AVOIDED_PENALTY_MS * (1.0 + health.avoid_until - now)
            candidates.append(Candidate(choice, wait_terms, terms, health.avoid_until))
        return candidates


def _lowest_cost(candidates: list[Candidate], now: float) -> Choice | None:
    best = min(candidates, key=lambda candidate: candidate.cost_ms, default=None)
    if best is None or best.avoid_until <= now:
        return None if best is None else best.choice
    return msgspec.structs.replace(best.choice, avoid_until=best.avoid_until)


def _shared_order(prompt: Prompt, engines: list[Upstream]) -> dict[str, float]:
    """Return the cost of each engine for a shared part, in prompt tokens.

    The cost is proportional to a rendezvous hash: it is the same on every instance, and
    an added or removed engine changes the cheapest engines of few parts only.

    :returns: costs by engine id; empty for a prompt without a shared part.
    """
    if len(prompt.parts) < 2:
        return {}
    part = prompt.parts[-2][0]
    digests = {
        item.id: xxhash.xxh3_64_intdigest(f"{part}/{item.id}".encode())
        for item in engines
    }
    return {
        upstream_id: digest / 2**64 * MAX_SHARED_ORDER_TOKENS
        for upstream_id, digest in digests.items()
    }
