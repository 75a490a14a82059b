"""Load of each upstream, from the figures of this instance and its peers.

Supports placement in fleets where each of hundreds of instances sends a few requests
per second. Instances of the same zone report their own loads; instances of another zone
report the sum of their zone, so that any one of them updates the figures of the zone.
"""

from collections import deque
from collections.abc import Iterable

import msgspec

from camphorgate.serving.part_names import MAX_KEY_CHARACTERS

# A source's figures apply until it reports newer ones, as its load stays about the same
# meanwhile. After this time the source is gone or disconnected and they are dropped.
MAX_SOURCE_AGE_SECONDS = 3.0
# Prompt parts are assumed to stay cached for this long after their last use.
PART_CACHED_SECONDS = 20.0
# Maximum number of recently prefilled parts reported in one message.
MAX_RECENT_PARTS = 40
# Maximum number of parts tracked per engine; the oldest are evicted first.
MAX_PARTS_PER_ENGINE = 2000
# Maximum number of parts tracked for all engines; bounds their memory to about 8 MB.
MAX_PARTS = 40_000


class Load(msgspec.Struct):
    """Requests of one instance in progress at an upstream.

    ``prefill_tokens`` is the number of prompt tokens sent and not answered yet.
    """

    requests: float = 0
    prefill_tokens: float = 0


_NO_LOAD = Load()


class LoadTable:
    """Sums the loads of all instances and tracks which engines cache prompt parts.

    The figures of others come from sources: an instance of the same zone, or another
    zone as a whole. Each message updates their sum, so that reading it takes constant
    time for any number of sources.
    """

    __slots__ = (
        "own_by_id",
        "_sources",
        "_sum_by_id",
        "_parts_by_id",
        "_part_count",
        "_recent_parts",
    )

    def __init__(self) -> None:
        """Initialize without load."""
        self.own_by_id: dict[str, Load] = {}
        # Ordered by the time of the last message, oldest first.
        self._sources: dict[str, tuple[float, dict[str, Load]]] = {}
        self._sum_by_id: dict[str, Load] = {}
        # Names of parts by engine, each with the time of its last use, oldest first;
        # engines in the order of their latest parts.
        self._parts_by_id: dict[str, dict[str, float]] = {}
        self._part_count = 0
        self._recent_parts: deque[tuple[float, str, str]] = deque(
            maxlen=MAX_RECENT_PARTS
        )

    def begin_request(self, upstream_id: str, prefill_tokens: int) -> None:
        """Record a request that is sent."""
        load = self.own_by_id.setdefault(upstream_id, Load())
        load.requests += 1
        load.prefill_tokens += prefill_tokens

    def end_request(self, upstream_id: str, prefill_tokens: int) -> None:
        """Record the end of a request recorded by :meth:`begin_request`."""
        load = self.own_by_id[upstream_id]
        load.prefill_tokens -= prefill_tokens
        load.requests -= 1
        if not load.requests and not load.prefill_tokens:
            del self.own_by_id[upstream_id]

    def receive_loads(
        self, source: str, loads_by_id: dict[str, Load], now: float
    ) -> None:
        """Replace the loads of a source by those it reports now.

        :param source: name of an instance or of a zone.
        """
        self._forget(source)
        self._sources[source] = (now, loads_by_id)
        for upstream_id, load in loads_by_id.items():
            self._add(upstream_id, load.requests, load.prefill_tokens)

    def receive_prefill_notice(
        self, source: str, upstream_id: str, tokens: int
    ) -> None:
        """Adjust the loads of a source until its next complete report.

        :param tokens: prompt tokens that it has just sent; negative if prefilled.
        """
        _, loads_by_id = self._sources.get(source, (0.0, None))
        if loads_by_id is None:
            return
        load = loads_by_id.setdefault(upstream_id, Load())
        requests = max(0, load.requests + (1 if tokens > 0 else -1))
        prefill_tokens = max(0, load.prefill_tokens + tokens)
        self._add(
            upstream_id,
            requests - load.requests,
            prefill_tokens - load.prefill_tokens,
        )
        load.requests = requests
        load.prefill_tokens = prefill_tokens

    def total(self, upstream_id: str, now: float) -> Load:
        """Return the combined load of all instances."""
        self._expire(now)
        own = self.own_by_id.get(upstream_id, _NO_LOAD)
        others = self._sum_by_id.get(upstream_id, _NO_LOAD)
        return Load(
            own.requests + others.requests, own.prefill_tokens + others.prefill_tokens
        )

    def has_sources(self, now: float) -> bool:
        """Return whether figures of others are included."""
        self._expire(now)
        return bool(self._sources)

    def own_requests(self, upstream_id: str) -> float:
        """Return the requests of this instance in progress at an upstream."""
        return self.own_by_id.get(upstream_id, _NO_LOAD).requests

    def sum_of(self, sources: Iterable[str], now: float) -> dict[str, Load]:
        """Return the sum of this instance's loads and those of the given sources.

        :param sources: names of sources; expired ones are ignored.
        """
        self._expire(now)
        books = [self.own_by_id]
        books += [self._sources[name][1] for name in sources if name in self._sources]
        total_by_id: dict[str, Load] = {}
        for book in books:
            for upstream_id, load in book.items():
                total = total_by_id.setdefault(upstream_id, Load())
                total.requests += load.requests
                total.prefill_tokens += load.prefill_tokens
        return total_by_id

    def max_source_age_seconds(self, now: float) -> float:
        """Return the age of the oldest figures of others that :meth:`total` includes.

        :returns: 0 if no figures of others are included.
        """
        self._expire(now)
        for received_at, _ in self._sources.values():
            return now - received_at
        return 0.0

    def _expire(self, now: float) -> None:
        """Drop the sources whose last report is too old."""
        while self._sources:
            source = next(iter(self._sources))
            if now - self._sources[source][0] < MAX_SOURCE_AGE_SECONDS:
                return
            self._forget(source)

    def _forget(self, source: str) -> None:
        _, loads_by_id = self._sources.pop(source, (0.0, {}))
        for upstream_id, load in loads_by_id.items():
            self._add(upstream_id, -load.requests, -load.prefill_tokens)

    def _add(self, upstream_id: str, requests: float, prefill_tokens: float) -> None:
        """Add to the sum of all sources; exact, as loads are whole numbers."""
        total = self._sum_by_id.setdefault(upstream_id, Load())
        total.requests += requests
        total.prefill_tokens += prefill_tokens
        if not total.requests and not total.prefill_tokens:
            del self._sum_by_id[upstream_id]

    def record_cached_parts(self, upstream_id: str, parts: tuple, now: float) -> None:
        """Record that an engine caches the shared parts of a prompt.

        :param parts: pairs of part id and token count; the last part is not shared.
        """
        for name, _ in parts[:-1]:
            self._remember(upstream_id, name, now)
            self._recent_parts.append((now, upstream_id, name))

    def receive_cached_parts(self, news: list[tuple[str, str]], now: float) -> None:
        """Record the parts that a peer's requests left cached at engines.

        :param news: pairs of engine and part; names that no peer of this version sends
            are ignored.
        """
        for upstream_id, name in news:
            if len(name) <= MAX_KEY_CHARACTERS:
                self._remember(upstream_id, name, now)

    def recent_cached_parts(self, now: float, seconds: float) -> list[tuple[str, str]]:
        """Return the recently prefilled parts as pairs of engine and part.

        :param seconds: maximum age of the parts; it spans several messages, so that
            every peer receives them even if a message is lost.
        """
        while self._recent_parts and now - self._recent_parts[0][0] > seconds:
            self._recent_parts.popleft()
        return [(upstream_id, name) for _, upstream_id, name in self._recent_parts]

    def cached_tokens(self, upstream_id: str, parts: tuple, now: float) -> int:
        """Return how many tokens of a prompt an engine probably has cached."""
        known = self._parts_by_id.get(upstream_id)
        tokens = 0
        if known is None:
            return 0
        for name, size in parts[:-1]:
            if now - known.get(name, -PART_CACHED_SECONDS) >= PART_CACHED_SECONDS:
                break
            tokens += size
        return tokens

    def keep_only(self, upstream_ids: set[str]) -> None:
        """Forget the cached parts of all other upstreams."""
        for upstream_id in self._parts_by_id.keys() - upstream_ids:
            self._part_count -= len(self._parts_by_id.pop(upstream_id))

    def part_count(self) -> int:
        """Return how many parts are tracked, those of each engine counted."""
        return self._part_count

    def _remember(self, upstream_id: str, name: str, now: float) -> None:
        # The engine of the latest part comes last.
        parts = self._parts_by_id.pop(upstream_id, {})
        self._parts_by_id[upstream_id] = parts
        self._part_count += name not in parts
        parts.pop(name, None)
        parts[name] = now
        if len(parts) > MAX_PARTS_PER_ENGINE:
            self._evict_oldest(upstream_id)
        while now - parts[next(iter(parts))] >= PART_CACHED_SECONDS:
            self._evict_oldest(upstream_id)
        if self._part_count > MAX_PARTS:
            self._evict_oldest(next(iter(self._parts_by_id)))

    def _evict_oldest(self, upstream_id: str) -> None:
        """Forget the part of an engine that was used the longest time ago."""
        parts = self._parts_by_id[upstream_id]
        del parts[next(iter(parts))]
        self._part_count -= 1
        if not parts:
            del self._parts_by_id[upstream_id]
