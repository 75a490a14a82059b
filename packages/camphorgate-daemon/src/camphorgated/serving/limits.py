"""Keeps the limits that upstreams name in their answers.

Provides ``limits``.
"""

from aioprometheus import Counter as PrometheusCounter
from aioprometheus import Gauge

from camphorgate.application import Application
from camphorgate.log import log_event
from camphorgate.serving.catalog import Stage, Upstream
from camphorgate.serving.upstream_limits import LimitTable, LimitWord
from camphorgated.serving.platform_protocol import ResponseFacts

# Source of a word in the log: an answer to this instance.
ANSWER = "answer"


class Limits:
    """The limits of upstreams as this instance knows them."""

    __slots__ = ("table", "_app", "_gossip", "_limited", "_sends")

    def __init__(self, app: Application) -> None:
        """Start without limits."""
        self.table = LimitTable()
        self._app = app
        self._gossip = app.service("gossip")
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

    def record_send(self, upstream: Upstream, kind: str) -> None:
        """Count a request that is sent to an upstream with a limit.

        :param kind: what the request asks for, such as ``answer`` or ``prefill``.
        """
        if self.table.limit(upstream.incarnation) is not None:
            self._sends.inc({"service": upstream.service, "kind": kind})

    def _log(self, word: LimitWord, source: str) -> None:
        limited = [item for item in self.table.words() if item.per_second]
        self._limited.set({}, len(limited))
        log_event(
            "upstream_limit_changed",
            upstream=word.upstream[0],
            started_at=word.upstream[1],
            per_second=word.per_second,
            source=source,
            age_ms=(self._gossip.synchronized_now() - word.said_at) * 1000,
            limited=len(limited),
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
