"""Which upstream takes a request.

Answers the load of long prompts that share parts, beside short ones with tight
targets: the predicted time until the prompt is read decides, so a cached part draws a
request only as far as the queue in front of it is not longer than reading it again.
"""

import heapq
from collections.abc import Callable

import msgspec
import xxhash

from camphorgate.serving.catalog import EngineSpec, Phase, Upstream
from camphorgate.serving.health import HealthBook
from camphorgate.serving.loads import LoadBook

# Reading speed of an engine that only prefills (users' sheet); a decoding engine reads
# at half of it.
PREFILL_TOKENS_PER_MS = 55.0
DECODE_PREFILL_PART = 0.5
# Fixed time of a prompt's reading beyond its tokens, ms.
PREFILL_FIXED_MS = 15.0
# What a running answer adds to the time of another on the same engine, ms.
RUNNING_MS = 4.0
# Prompt tokens that an answering engine may read at a time. It reads 1,000 between
# two tokens of its streams, so that more would hold up every event of them.
MOST_DIRECT_TOKENS = 1500
# Bytes between zones are priced, and what happens at an upstream of another zone is
# known later; this is the time that avoiding both is worth, ms. A home that holds a
# long shared part is worth more.
OTHER_ZONE_MS = 30.0
# A cache that moves between zones takes twice as long and is priced up to three times.
OTHER_ZONE_MOVE_MS = 40.0
# Streams prefer engines that cannot be reclaimed; the time that is worth, ms.
CHEAP_ANSWER_MS = 30.0
# What reading a shared part again on another engine counts beyond its time there: the
# time is then missing to the prompts behind it.
READ_AGAIN_PART = 1.0
# Every instance sends the prompts of a shared part to the same few engines, its homes,
# as far as their queues allow. With hundreds of instances few prompts of one part come
# by the same instance or zone, so who holds it is mostly not known where it is needed.
HOME_ENGINES = 2
# The part of the shared tokens that a home is taken to hold where nobody said so.
HOME_HELD_PART = 0.6
# Engines for one prompt part differ by up to this in an order that all instances share,
# so that they send it to the same engine before any of them knows who holds it.
SHARED_ORDER_MS = 25.0
# What a new connection counts against one that is open, ms.
CONNECTION_MS = 3.0
# An upstream that fails requests is chosen only if the others are this much slower.
FAILING_MS = 400.0
# Upstreams that are avoided come after all others.
AVOIDED_MS = 1e6


class Prompt(msgspec.Struct, frozen=True):
    """What placement needs to know of a generation."""

    tokens: int
    parts: tuple[tuple[str, int], ...]

    @property
    def shared_tokens(self) -> int:
        """Return the tokens of the parts that other prompts have, too."""
        return sum(size for _, size in self.parts[:-1])


class Choice(msgspec.Struct, frozen=True):
    """An upstream, and what is predicted of the request there.

    ``wait_ms`` is the time until its first token or start; ``uncached`` the prompt
    tokens that must be read; ``queued_ms`` the reading time of what is queued there
    already. ``avoid_until`` is in the future if the upstream, and with
    it every other one, should be left alone until then.
    """

    upstream: Upstream
    wait_ms: float
    uncached: int = 0
    queued_ms: float = 0.0
    avoid_until: float = 0.0


class Placement:
    """Chooses upstreams by predicted time; holds no state of its own."""

    __slots__ = ("_loads", "_health", "_zone", "_connected")

    def __init__(
        self,
        loads: LoadBook,
        health: HealthBook,
        zone: str,
        connected: Callable[[tuple[str, int]], bool] = lambda incarnation: True,
    ) -> None:
        """Use the books of this instance.

        :param zone: availability zone of this instance.
        :param connected: tells whether a connection to an upstream is open and idle.
        """
        self._connected = connected
        self._loads = loads
        self._health = health
        self._zone = zone

    def for_reading(
        self, engines: list[Upstream], prompt: Prompt, now: float
    ) -> Choice | None:
        """Choose the engine that reads a prompt.

        :param engines: those that may, of any phase.
        """
        cached = {
            item.id: self._loads.cached_tokens(item.id, prompt.parts, now)
            for item in engines
        }
        order = _shared_order(prompt, engines)
        # Those that read the prompts of a shared part, of any phase.
        for upstream_id in heapq.nsmallest(HOME_ENGINES, order, key=order.__getitem__):
            held = int(prompt.shared_tokens * HOME_HELD_PART)
            cached[upstream_id] = max(cached[upstream_id], held)
        most = max(cached.values(), default=0)

        def cost(choice: Choice) -> float:
            again = most - cached[choice.upstream.id]
            extra = again / PREFILL_TOKENS_PER_MS * READ_AGAIN_PART
            return extra + order.get(choice.upstream.id, 0.0)

        def predict(item: Upstream) -> Choice:
            return self._reading(item, prompt, cached[item.id], now)

        return self._best(engines, now, predict, cost)

    def for_answering(
        self,
        engines: list[Upstream],
        prompt: Prompt,
        reader: Upstream | None,
        spec: EngineSpec,
        now: float,
    ) -> Choice | None:
        """Choose the engine that generates the answer.

        :param reader: the engine that holds the prompt's cache, ``None`` if the
            answering engine reads the prompt itself.
        """
        if reader is None:
            return self.for_reading(engines, prompt, now)

        def predict(item: Upstream) -> Choice:
            load = self._loads.total(item.id, now)
            cached = self._loads.cached_tokens(item.id, prompt.parts, now)
            moved = max(0, prompt.tokens - cached)
            bits = moved * spec.bytes_per_token * 8
            wait = bits / (spec.link_mbps * 1000) + load.requests * RUNNING_MS
            wait += load.prefill_tokens / PREFILL_TOKENS_PER_MS / DECODE_PREFILL_PART
            if item.zone != reader.zone:
                wait += OTHER_ZONE_MOVE_MS
            if item.cheap:
                wait += CHEAP_ANSWER_MS
            if load.requests >= item.slots:
                wait += FAILING_MS
            return Choice(item, wait)

        return self._best(engines, now, predict)

    def direct_allowed(self, choice: Choice, now: float) -> bool:
        """Tell whether an answering engine can read a prompt without harm to others."""
        reading = self._loads.total(choice.upstream.id, now).prefill_tokens
        return reading + choice.uncached <= MOST_DIRECT_TOKENS

    def for_call(self, upstreams: list[Upstream], now: float) -> Choice | None:
        """Choose the upstream of a plain service with the least predicted wait."""

        def predict(item: Upstream) -> Choice:
            load = self._loads.total(item.id, now)
            wait = load.requests / max(1, item.slots) * FAILING_MS
            return Choice(item, wait)

        return self._best(upstreams, now, predict)

    def _reading(
        self, item: Upstream, prompt: Prompt, cached: int, now: float
    ) -> Choice:
        load = self._loads.total(item.id, now)
        uncached = max(1, prompt.tokens - cached)
        speed = PREFILL_TOKENS_PER_MS
        if item.phase is not Phase.PREFILL:
            speed *= DECODE_PREFILL_PART
        queued = load.prefill_tokens / speed
        wait = queued + uncached / speed + PREFILL_FIXED_MS
        return Choice(item, wait, uncached, queued)

    def _best(
        self,
        upstreams: list[Upstream],
        now: float,
        predict: Callable[[Upstream], Choice],
        extra_cost: Callable[[Choice], float] = lambda choice: 0.0,
    ) -> Choice | None:
        best = None
        best_cost = 0.0
        avoid_until = 0.0
        for item in upstreams:
            choice = predict(item)
            health = self._health.of(item.incarnation)
            cost = choice.wait_ms + extra_cost(choice)
            cost += health.failing_share * FAILING_MS
            if item.zone != self._zone:
                cost += OTHER_ZONE_MS
            if not self._connected(item.incarnation):
                cost += CONNECTION_MS
            if health.avoided(now):
                # The one that may be tried first is the best of those to be avoided.
                cost += AVOIDED_MS * (1.0 + health.avoid_until - now)
            if best is None or cost < best_cost:
                best, best_cost = choice, cost
                avoid_until = health.avoid_until
        if best is not None and avoid_until > now:
            best = msgspec.structs.replace(best, avoid_until=avoid_until)
        return best


def _shared_order(prompt: Prompt, engines: list[Upstream]) -> dict[str, float]:
    """Return the place of each engine in the order for a prompt's shared part, ms.

    The order is the same on every instance, and an engine that comes or goes changes
    it for few parts.

    :returns: by id; empty for a prompt without a shared part.
    """
    if len(prompt.parts) < 2:
        return {}
    part = prompt.parts[-2][0]
    digests = {
        item.id: xxhash.xxh3_64_intdigest(f"{part}/{item.id}".encode())
        for item in engines
    }
    return {
        upstream_id: digest / 2**64 * SHARED_ORDER_MS
        for upstream_id, digest in digests.items()
    }
