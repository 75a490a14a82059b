"""Keeps the limits that upstreams name in their answers, together with all instances.

Provides ``limits``. An instance that receives a new word tells some peers at once, and
everyone who learns it repeats it for a while. A part of the whole table goes to a
random peer every second, and to each peer that starts.
"""

import random
from typing import TypeVar

from aioprometheus import Counter as PrometheusCounter
from aioprometheus import Gauge

from camphorgate.application import Application
from camphorgate.log import log_event
from camphorgate.serving.catalog import Stage, Upstream
from camphorgate.serving.upstream_limits import Incarnation, LimitTable, LimitWord
from camphorgated.serving.messages import LimitNews
from camphorgated.serving.platform_protocol import ResponseFacts
from camphorgated.serving.rumors import PEERS_PER_TICK, Rumors

# Sources of a word in the log: an answer to this instance, or a peer.
ANSWER = "answer"
PEER = "peer"
# Peers that are told of a new word at once.
FIRST_PEERS = 24
# Keeps a datagram below the size at which links fragment it; a word has 60 bytes.
MAX_WORDS_PER_DATAGRAM = 16
# A part of the table is sent to a random peer at this interval.
SAMPLE_TICKS = 5

T = TypeVar("T")


class Limits:
    """The limits of upstreams as this instance knows them."""

    __slots__ = (
        "table",
        "_app",
        "_gossip",
        "_directory",
        "_rumors",
        "_random",
        "_limited",
        "_sends",
    )

    def __init__(self, app: Application) -> None:
        """Start without limits."""
        self.table = LimitTable()
        self._app = app
        self._gossip = app.service("gossip")
        self._directory = app.service("directory")
        self._rumors = Rumors()
        self._random = random.Random()
        registry = app.service("statistics").registry
        self._limited = Gauge(
            "camphorgate_limited_upstreams",
            "Upstreams that name a limit.",
            registry=registry,
        )
        self._sends = PrometheusCounter(
            "camphorgate_limited_sends",
            "Requests sent to upstreams that name a limit, by what they ask for.",
            registry=registry,
        )

        self._gossip.add_handler(LimitNews, self._receive)
        self._gossip.add_tick_listener(self._tick)
        self._gossip.add_peer_listener(self._tell_peer)

    def limit(self, upstream: Upstream) -> float | None:
        """Return the limit of an upstream in requests per second, if it has one."""
        return self.table.limit(upstream.incarnation)

    def record_response(
        self, upstream: Upstream, facts: ResponseFacts, sent_at: float | None
    ) -> None:
        """Record what the head of an answer says about the limit.

        Only an answer to a request that was executed tells that there is no limit:
        others may come from something in between.

        :param sent_at: steady clock time at which the request was sent.
        """
        named = facts.limit_per_second
        if named is None and (facts.stage is not Stage.SENT or facts.status >= 500):
            return
        if named is None and not len(self.table):
            return
        word = self.table.record_answer(
            upstream.incarnation,
            named,
            sent_at,
            self._app.clock.monotonic(),
            self._gossip.synchronized_now(),
        )
        if word is not None:
            self._log(word, ANSWER)
            self._rumors.add(word.upstream)
            peers = self._choose(self._peers(), FIRST_PEERS)
            self._gossip.send([LimitNews([word])], peers)

    def merge(self, word: LimitWord) -> None:
        """Merge a word that a peer has sent."""
        now = self._app.clock.monotonic()
        if self.table.merge(word, now, self._gossip.synchronized_now()):
            self._log(word, PEER)
            self._rumors.add(word.upstream)

    def record_send(self, upstream: Upstream, kind: str) -> None:
        """Count a request that is sent to an upstream with a limit.

        :param kind: what the request asks for, such as ``answer`` or ``prefill``.
        """
        if self.table.limit(upstream.incarnation) is not None:
            self._sends.inc({"service": upstream.service, "kind": kind})

    def _receive(self, news: LimitNews) -> None:
        for word in news.words:
            self.merge(word)

    def _peers(self) -> list[str]:
        return self._gossip.near + self._gossip.far

    def _tick(self, turn: int) -> None:
        if not len(self.table):
            return
        peers = self._peers()
        news = self._take_news()
        if news:
            chosen = self._choose(peers, PEERS_PER_TICK)
            self._gossip.send([LimitNews(news)], chosen)
        if turn % SAMPLE_TICKS == 0:
            self._expire()
            for address in self._choose(peers, 1):
                self._tell_peer(address)

    def _expire(self) -> None:
        listed = self._directory.table.by_id.values()
        now = self._app.clock.monotonic()
        self.table.expire((item.incarnation for item in listed), now)
        self._limited.set({}, self._limited_count())

    def _take_news(self) -> list[LimitWord]:
        """Return what has to be sent at this tick, the latest first."""
        news: list[LimitWord] = []

        def add(incarnation: Incarnation) -> bool | None:
            if len(news) == MAX_WORDS_PER_DATAGRAM:
                return None
            word = self.table.word(incarnation)
            if word is not None:
                news.append(word)
            return word is not None

        self._rumors.collect(add)
        return news

    def _choose(self, items: list[T], most: int) -> list[T]:
        """Return some random items."""
        return self._random.sample(items, min(most, len(items)))

    def _tell_peer(self, address: str) -> None:
        """Send a part of the table to a peer."""
        words = self.table.words()
        if words:
            chosen = self._choose(words, MAX_WORDS_PER_DATAGRAM)
            self._gossip.send([LimitNews(chosen)], [address])

    def _limited_count(self) -> int:
        return sum(item.per_second > 0.0 for item in self.table.words())

    def _log(self, word: LimitWord, source: str) -> None:
        limited = self._limited_count()
        self._limited.set({}, limited)
        log_event(
            "upstream_limit_changed",
            upstream=word.upstream[0],
            started_at=word.upstream[1],
            per_second=word.per_second,
            source=source,
            age_ms=(self._gossip.synchronized_now() - word.said_at) * 1000,
            limited=limited,
        )

    def dump(self) -> dict:
        """Return the state for the operator dump."""
        now = self._gossip.synchronized_now()
        return {
            word.upstream[0]: {
                "per_second": word.per_second,
                "said_seconds_ago": now - word.said_at,
            }
            for word in self.table.words()
        }


def setup(app: Application) -> None:
    """Provide the limits."""
    limits = Limits(app)
    app.provide("limits", limits)
    app.add_dump_section("limits", limits.dump)
