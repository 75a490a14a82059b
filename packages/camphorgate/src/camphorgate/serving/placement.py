"""Selection of the upstream for a request.

Handles long prompts that share parts next to short prompts with tight targets. The
choice depends on the predicted time to the end of prefill, so a cached part attracts
a request only while the queue there is shorter than repeating the prefill elsewhere.
"""

import heapq
from collections.abc import Callable

import msgspec
import xxhash

from camphorgate.serving.catalog import EngineSpec, Phase, Upstream
from camphorgate.serving.health import HealthTable
from camphorgate.serving.loads import LoadTable

# Prefill speed of an engine that only prefills (from the users' sheet); a decoding
# engine prefills at half of it.
PREFILL_TOKENS_PER_MS = 55.0
DECODE_PREFILL_FRACTION = 0.5
# Fixed prefill time of a prompt in addition to the time of its tokens.
PREFILL_FIXED_MS = 15.0
# Time that a running request adds to another one on the same engine.
RUNNING_REQUEST_MS = 4.0
# Maximum number of prompt tokens that a decoding engine may prefill at a time. It
# prefills 1,000 between two tokens of its streams; more would delay all their events.
MAX_DIRECT_PREFILL_TOKENS = 1500
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
# Maximum penalty by the hash of a prompt part and an engine. It is the same on every
# instance, so that all of them send a part to the same engine before any of them knows
# which engine caches it.
MAX_SHARED_ORDER_MS = 25.0
# Penalty for opening a new connection.
NEW_CONNECTION_MS = 3.0
# An upstream that fails requests is chosen only if the others are slower by this
# penalty, scaled by the upstream's failure rate. An engine without a free slot gets the
# whole penalty, and an upstream of a plain service a part by its used slots.
FAILING_PENALTY_MS = 400.0
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
    ``uncached`` the number of prompt tokens to prefill, and ``queued_ms`` the prefill
    time of the prompts already queued there. ``avoid_until`` is in the future if this
    upstream, and thus every other candidate, should be avoided until then.
    """

    upstream: Upstream
    wait_ms: float
    uncached: int = 0
    queued_ms: float = 0.0
    avoid_until: float = 0.0


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

    __slots__ = ("_loads", "_health", "_zone", "_connected", "_permit_wait_seconds")

    def __init__(
        self,
        loads: LoadTable,
        health: HealthTable,
        zone: str,
        connected: Callable[[tuple[str, int]], bool] = lambda incarnation: True,
        permit_wait_seconds: Callable[[Upstream], float] = lambda upstream: 0.0,
    ) -> None:
        """Initialize with the load and health tables of this instance.

        :param zone: availability zone of this instance.
        :param connected: returns whether an idle connection to an upstream is open.
        :param permit_wait_seconds: returns the time until the limit of an upstream
            allows a request.
        """
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

        def extra_terms(item: Upstream) -> dict[str, float]:
            repeated = max_cached - cached[item.id]
            return {
                "repeated_prefill": repeated
                / PREFILL_TOKENS_PER_MS
                * REPEATED_PREFILL_WEIGHT,
                "shared_order": order.get(item.id, 0.0),
            }

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
            terms = {
                "transfer": bits / (spec.link_mbps * 1000),
                "running": load.requests * RUNNING_REQUEST_MS,
                "queued": load.prefill_tokens
                / PREFILL_TOKENS_PER_MS
                / DECODE_PREFILL_FRACTION,
            }
            if item.zone != reader.zone:
                terms["zone_transfer"] = OTHER_ZONE_TRANSFER_MS
            if item.cheap:
                terms["cheap"] = CHEAP_DECODE_PENALTY_MS
            if load.requests >= item.slots:
                terms["full"] = FAILING_PENALTY_MS
            return Choice(item, sum(terms.values())), terms

        return self._compare(engines, now, predict)

    def may_prefill_directly(self, choice: Choice, now: float) -> bool:
        """Return whether a decoding engine can prefill without delaying others."""
        reading = self._loads.total(choice.upstream.id, now).prefill_tokens
        return reading + choice.uncached <= MAX_DIRECT_PREFILL_TOKENS

    def choose_for_call(self, upstreams: list[Upstream], now: float) -> Choice | None:
        """Choose the upstream of a service without engines by predicted wait."""
        return _lowest_cost(self.compare_for_call(upstreams, now), now)

    def compare_for_call(
        self, upstreams: list[Upstream], now: float
    ) -> list[Candidate]:
        """Return what :meth:`choose_for_call` compares, in the order of upstreams."""

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
        speed = PREFILL_TOKENS_PER_MS
        if item.phase is not Phase.PREFILL:
            speed *= DECODE_PREFILL_FRACTION
        queued = load.prefill_tokens / speed
        terms = {
            "queued": queued,
            "uncached": uncached / speed,
            "fixed": PREFILL_FIXED_MS,
        }
        return Choice(item, sum(terms.values()), uncached, queued), terms

    def _compare(
        self,
        upstreams: list[Upstream],
        now: float,
        predict: Callable[[Upstream], Prediction],
        extra_terms: Callable[[Upstream], dict[str, float]] = lambda item: {},
    ) -> list[Candidate]:
        candidates = []
        for item in upstreams:
            choice, wait_terms = predict(item)
            health = self._health.of(item.incarnation)
            terms = extra_terms(item)
            if health.failure_rate:
                terms["failing"] = health.failure_rate * FAILING_PENALTY_MS
            permit_seconds = self._permit_wait_seconds(item)
            if permit_seconds:
                terms["permit"] = permit_seconds * 1000
            if item.zone != self._zone:
                terms["other_zone"] = OTHER_ZONE_PENALTY_MS
            if not self._connected(item.incarnation):
                terms["new_connection"] = NEW_CONNECTION_MS
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
    """Return the cost of each engine for a shared part, in ms.

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
        upstream_id: digest / 2**64 * MAX_SHARED_ORDER_MS
        for upstream_id, digest in digests.items()
    }
