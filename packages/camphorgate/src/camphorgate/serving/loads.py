"""How busy each upstream is, as far as this instance and its peers know.

Answers placement in fleets where each of hundreds of instances sends a few requests a
second: instances of the own zone tell their own loads, and those of another zone tell
the sum of their zone, so that any of them brings the whole zone's figures up to date.
"""

from collections import deque
from collections.abc import Iterable

import msgspec

# A source's figures count until it tells newer ones, as its load is about the same
# meanwhile, and nothing after this time, when it is gone or cut off.
PEER_SECONDS = 3.0
# Prompt parts are taken for cached this long after their last use.
PART_SECONDS = 20.0
# Parts read that are told in one message.
MOST_NEWS = 40
# Parts remembered for one engine; the oldest are forgotten first.
MOST_PARTS = 2000


class Load(msgspec.Struct):
    """What one instance has under way at an upstream.

    ``prefill_tokens`` are the prompt tokens that were sent and not answered yet.
    """

    requests: float = 0
    prefill_tokens: float = 0


_NO_LOAD = Load()


class LoadBook:
    """Adds up the loads of all instances, and remembers where prompt parts are.

    The figures of others come from sources: an instance of the own zone, or another
    zone as a whole. Their sum is kept up to date with each message, so that asking for
    it costs the same however many sources there are.
    """

    __slots__ = ("own_by_id", "_sources", "_sum_by_id", "_parts_by_id", "_news")

    def __init__(self) -> None:
        """Start without load."""
        self.own_by_id: dict[str, Load] = {}
        # In the order in which they were heard, the longest ago first.
        self._sources: dict[str, tuple[float, dict[str, Load]]] = {}
        self._sum_by_id: dict[str, Load] = {}
        self._parts_by_id: dict[str, dict[str, float]] = {}
        self._news: deque[tuple[float, str, str]] = deque(maxlen=MOST_NEWS)

    def begin(self, upstream_id: str, prefill_tokens: int) -> None:
        """Note a request that is sent."""
        load = self.own_by_id.setdefault(upstream_id, Load())
        load.requests += 1
        load.prefill_tokens += prefill_tokens

    def end(self, upstream_id: str, prefill_tokens: int) -> None:
        """Note the end of a request that :meth:`begin` noted."""
        load = self.own_by_id[upstream_id]
        load.prefill_tokens -= prefill_tokens
        load.requests -= 1
        if not load.requests and not load.prefill_tokens:
            del self.own_by_id[upstream_id]

    def hear(self, source: str, loads_by_id: dict[str, Load], now: float) -> None:
        """Take the loads of a source in place of those that it told before.

        :param source: name of an instance or of a zone.
        """
        self._forget(source)
        self._sources[source] = (now, loads_by_id)
        for upstream_id, load in loads_by_id.items():
            self._add(upstream_id, load.requests, load.prefill_tokens)

    def hear_reading(self, source: str, upstream_id: str, tokens: int) -> None:
        """Correct the loads of a source, until it tells all of them again.

        :param tokens: prompt tokens that it has just sent, negative if they were read.
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
        """Return the load of all instances together."""
        self._expire(now)
        own = self.own_by_id.get(upstream_id, _NO_LOAD)
        others = self._sum_by_id.get(upstream_id, _NO_LOAD)
        return Load(
            own.requests + others.requests, own.prefill_tokens + others.prefill_tokens
        )

    def sum_of(self, sources: Iterable[str], now: float) -> dict[str, Load]:
        """Return this instance's loads and those of some sources, added up.

        :param sources: those that do not count any more are passed over.
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

    def oldest_heard_seconds(self, now: float) -> float:
        """Return the age of the oldest figures of others that :meth:`total` counts.

        :returns: 0 if no figures of others count.
        """
        self._expire(now)
        for heard_at, _ in self._sources.values():
            return now - heard_at
        return 0.0

    def _expire(self, now: float) -> None:
        """Leave out the sources that were not heard for too long."""
        while self._sources:
            source = next(iter(self._sources))
            if now - self._sources[source][0] < PEER_SECONDS:
                return
            self._forget(source)

    def _forget(self, source: str) -> None:
        _, loads_by_id = self._sources.pop(source, (0.0, {}))
        for upstream_id, load in loads_by_id.items():
            self._add(upstream_id, -load.requests, -load.prefill_tokens)

    def _add(self, upstream_id: str, requests: float, prefill_tokens: float) -> None:
        """Add to the sum of all sources; loads are whole numbers, so it is exact."""
        total = self._sum_by_id.setdefault(upstream_id, Load())
        total.requests += requests
        total.prefill_tokens += prefill_tokens
        if not total.requests and not total.prefill_tokens:
            del self._sum_by_id[upstream_id]

    def read_parts(self, upstream_id: str, parts: tuple, now: float) -> None:
        """Note that an engine holds the shared parts of a prompt.

        :param parts: pairs of id and tokens; the last is not shared.
        """
        for name, _ in parts[:-1]:
            self._remember(upstream_id, name, now)
            self._news.append((now, upstream_id, name))

    def hear_parts(self, news: list[tuple[str, str]], now: float) -> None:
        """Take what a peer's requests left at the engines."""
        for upstream_id, name in news:
            self._remember(upstream_id, name, now)

    def news(self, now: float, seconds: float) -> list[tuple[str, str]]:
        """Return the parts read lately, as pairs of engine and part.

        :param seconds: how long ago they may have been read, so that every peer hears
            of them and a lost message loses none.
        """
        while self._news and now - self._news[0][0] > seconds:
            self._news.popleft()
        return [(upstream_id, name) for _, upstream_id, name in self._news]

    def cached_tokens(self, upstream_id: str, parts: tuple, now: float) -> int:
        """Return how many tokens of a prompt an engine probably holds."""
        known = self._parts_by_id.get(upstream_id)
        tokens = 0
        if known is None:
            return 0
        for name, size in parts[:-1]:
            if now - known.get(name, -PART_SECONDS) >= PART_SECONDS:
                break
            tokens += size
        return tokens

    def keep_only(self, upstream_ids: set[str]) -> None:
        """Forget what was cached at upstreams that are gone."""
        for upstream_id in self._parts_by_id.keys() - upstream_ids:
            del self._parts_by_id[upstream_id]

    def _remember(self, upstream_id: str, name: str, now: float) -> None:
        parts = self._parts_by_id.setdefault(upstream_id, {})
        parts.pop(name, None)
        parts[name] = now
        if len(parts) > MOST_PARTS:
            del parts[next(iter(parts))]
