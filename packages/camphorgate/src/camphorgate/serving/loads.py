"""How busy each upstream is, as far as this instance and its peers know."""

from collections import deque

import msgspec

# A peer's figures count until it tells newer ones, as its load is about the same
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


class LoadBook:
    """Adds up the loads of all instances, and remembers where prompt parts are."""

    __slots__ = ("own_by_id", "_peers", "_parts_by_id", "_news")

    def __init__(self) -> None:
        """Start without load."""
        self.own_by_id: dict[str, Load] = {}
        self._peers: dict[str, tuple[float, dict[str, Load]]] = {}
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

    def hear(self, instance: str, loads_by_id: dict[str, Load], now: float) -> None:
        """Take the loads of a peer."""
        self._peers[instance] = (now, loads_by_id)

    def hear_reading(self, instance: str, upstream_id: str, tokens: int) -> None:
        """Correct the loads of a peer, until it tells all of them again.

        :param tokens: prompt tokens that it has just sent, negative if they were read.
        """
        _, loads_by_id = self._peers.get(instance, (0.0, None))
        if loads_by_id is None:
            return
        load = loads_by_id.setdefault(upstream_id, Load())
        load.requests = max(0, load.requests + (1 if tokens > 0 else -1))
        load.prefill_tokens = max(0, load.prefill_tokens + tokens)

    def total(self, upstream_id: str, now: float) -> Load:
        """Return the load of all instances together."""
        own = self.own_by_id.get(upstream_id)
        total = Load()
        if own is not None:
            total = Load(own.requests, own.prefill_tokens)
        for heard_at, loads_by_id in self._peers.values():
            load = loads_by_id.get(upstream_id)
            if load is not None and now - heard_at < PEER_SECONDS:
                total.requests += load.requests
                total.prefill_tokens += load.prefill_tokens
        return total

    def oldest_heard_seconds(self, now: float) -> float:
        """Return the age of the oldest peer's figures that :meth:`total` counts.

        :returns: 0 if no peer's figures count.
        """
        ages = (now - heard_at for heard_at, _ in self._peers.values())
        return max((age for age in ages if age < PEER_SECONDS), default=0.0)

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
