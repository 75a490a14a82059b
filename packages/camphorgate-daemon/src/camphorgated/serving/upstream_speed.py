"""Learns the speed of upstreams from responses, and shares it with the peers of a zone.

Provides ``speeds``. What this instance observes goes to the zone's peers with its
states: an entry for each upstream observed, at most one a second, so that the size of a
message does not depend on the number of upstreams. A peer that has just started gets
more of the table at once.
"""

import random

from aioprometheus import Gauge

from camphorgate.application import Application
from camphorgate.log import log_event
from camphorgate.serving.catalog import Upstream
from camphorgate.serving.upstream_speed import SpeedNews, SpeedTable
from camphorgate.serving.upstream_speed.table import (
    MAX_NEWS_FACTORS,
    MAX_NEWS_MODELS,
)
from camphorgated.serving.generation import Generation
from camphorgated.serving.messages import State
from camphorgated.serving.platform_protocol import ResponseFacts

# Streams of fewer output tokens tell too little of the time between two of them.
MIN_MEASURED_TOKENS = 8
# Models change slowly and are sent with the states of every so many ticks. The number
# has no factor in common with the ticks in which the states reach all peers in turn.
MODEL_TICKS = 11
# A peer that has started is found by its first state, which came this long ago at most.
NEW_PEER_SECONDS = 1.0
# Expected number of peers that send a part of their table to one that has started; more
# datagrams at once would delay its responses on a slow link.
MAX_SENDERS_TO_NEW_PEER = 8
# Metrics and log lines are updated at this interval.
REPORT_TICKS = 25
# A learned factor is logged when it has changed by this ratio since it was last logged.
LOGGED_CHANGE = 1.3


class StepMeasurement:
    """Measures the time between the tokens of one stream."""

    __slots__ = (
        "_speeds",
        "_upstream",
        "_tokens",
        "_begun_at",
        "_first_events",
        "_last",
    )

    def __init__(
        self, speeds: "UpstreamSpeeds", upstream: Upstream, tokens: int
    ) -> None:
        """Start before the first event.

        :param tokens: output tokens of the whole stream.
        """
        self._speeds = speeds
        self._upstream = upstream
        self._tokens = tokens
        self._begun_at: float | None = None
        self._first_events = 0
        self._last = (0, 0.0)

    def record_events(self, events: int) -> None:
        """Record that events have arrived.

        :param events: number of events of the stream up to now.
        """
        now = self._speeds.now()
        if self._begun_at is None:
            self._begun_at = now
            self._first_events = events
        self._last = (events, now)

    def end(self) -> None:
        """Record the measured time at the end of a complete stream."""
        events, ended_at = self._last
        later = events - self._first_events
        if later <= 0 or self._tokens < MIN_MEASURED_TOKENS:
            return
        tokens = self._tokens * later / events
        self._speeds.record_step(
            self._upstream, (ended_at - self._begun_at) / tokens, ended_at
        )


class UpstreamSpeeds:
    """The speed table of this instance and its exchange with peers."""

    __slots__ = (
        "table",
        "_app",
        "_gossip",
        "_pace",
        "_directory",
        "_random",
        "_news",
        "_logged_by_incarnation",
        "_factors",
        "_tokens_per_ms",
    )

    def __init__(self, app: Application) -> None:
        """Start with the start values."""
        settings = app.settings.speed
        self.table = SpeedTable(settings.learn, settings.use_reported_load)
        self._app = app
        self._gossip = app.service("gossip")
        self._pace = app.service("pace")
        self._directory = app.service("directory")
        self._random = random.Random()
        self._news: SpeedNews | None = None
        self._logged_by_incarnation: dict[tuple[str, int], float] = {}
        registry = app.service("statistics").registry
        self._factors = Gauge(
            "camphorgate_upstream_speed_factor",
            "Learned duration of work at an upstream relative to its service.",
            registry=registry,
        )
        self._tokens_per_ms = Gauge(
            "camphorgate_prefill_tokens_per_ms",
            "Learned prefill speed of a usual engine of a service.",
            registry=registry,
        )
        if settings.learn or settings.use_reported_load:
            self._gossip.add_tick_listener(self._tick)
            self._gossip.add_peer_listener(self._tell_peer)
            self._gossip.add_state_field(self._add_to_state, self._receive)
            app.connect("upstreams-changed", self._forget_unlisted)

    def record_response(self, upstream: Upstream, facts: ResponseFacts) -> None:
        """Record the load and the momentary speed that an upstream reports."""
        load = facts.load
        if load is None:
            return
        now = self.now()
        if load.slowdown is not None:
            self.table.record_told_factor(upstream, load.slowdown, now)
        if upstream.phase is None:
            own = self._gossip.loads.own_requests(upstream.id)
            requests = load.running + load.waiting
            self.table.record_reported_load(upstream, requests, own, now)

    def measure_steps(
        self, generation: Generation, upstream: Upstream
    ) -> StepMeasurement:
        """Return a measurement of a stream that an upstream begins to send."""
        # How many tokens a resumed stream has left is not known.
        resumed = generation.resume_from is not None
        tokens = 0 if resumed else generation.context.facts.output_tokens
        return StepMeasurement(self, upstream, tokens)

    def record_prefill(
        self,
        upstream: Upstream,
        uncached_tokens: int,
        queued_tokens: float,
        seconds: float,
        now: float,
    ) -> None:
        """Record a prefill call, see :meth:`SpeedTable.record_prefill`."""
        tokens = uncached_tokens + max(0.0, queued_tokens)
        predicted_ms = self.table.prefill_ms(upstream, tokens, now)
        self._pace.record_duration(upstream, seconds * 1000, predicted_ms, now)
        self.table.record_prefill(
            upstream, uncached_tokens, queued_tokens, seconds, now
        )

    def record_call(
        self, upstream: Upstream, seconds: float, running: float, now: float
    ) -> None:
        """Record a plain call, see :meth:`SpeedTable.record_call`."""
        waits = max(1.0, (running + 1) / max(1, upstream.slots))
        predicted_ms = self.table.call_ms(upstream, now) * waits
        self._pace.record_duration(upstream, seconds * 1000, predicted_ms, now)
        self.table.record_call(upstream, seconds, running, now)

    def record_step(
        self, upstream: Upstream, seconds_per_token: float, now: float
    ) -> None:
        """Record the time between two tokens of a stream that this instance reads."""
        others = max(0.0, self._gossip.loads.total(upstream.id, now).requests - 1)
        predicted_ms = self.table.step_ms(upstream, others, now)
        self._pace.record_duration(
            upstream, seconds_per_token * 1000, predicted_ms, now
        )
        self.table.record_step(upstream, seconds_per_token, others, now)

    def now(self) -> float:
        """Return the steady clock time."""
        return self._app.clock.monotonic()

    def _tick(self, turn: int) -> None:
        """Collect what the states of this tick tell."""
        now = self._app.clock.monotonic()
        # An entry goes to the peers of one tick. In a zone of more of them, the others
        # get entries of other instances for the same upstream.
        factors = self.table.take_news(now)
        models = []
        if turn % MODEL_TICKS == 0:
            models = self.table.models()[:MAX_NEWS_MODELS]
        moments = self.table.unusual_moments(now)
        known = factors or models or moments
        self._news = SpeedNews(factors, models, moments) if known else None
        if turn % REPORT_TICKS == 0:
            self._report(now)

    def _add_to_state(self, state: State) -> None:
        state.speeds = self._news

    def _receive(self, state: State) -> None:
        if state.speeds is None or state.zone != self._app.settings.availability_zone:
            return
        now = self._app.clock.monotonic()
        self.table.receive_news(state.speeds, now, self._directory.table.by_id)

    def _tell_peer(self, address: str) -> None:
        """Send a random part of the table to a peer of the zone that has started."""
        now = self._app.clock.monotonic()
        factors = self.table.all_factors(now)
        near = self._gossip.peers.near_live_addresses(NEW_PEER_SECONDS)
        if not factors or address not in near:
            return
        if self._random.random() > MAX_SENDERS_TO_NEW_PEER / len(near):
            return
        chosen = self._random.sample(factors, min(MAX_NEWS_FACTORS, len(factors)))
        news = SpeedNews(chosen, self.table.models()[:MAX_NEWS_MODELS])
        state = self._gossip.state()
        state.speeds = news
        self._gossip.send([state], [address])

    def _report(self, now: float) -> None:
        """Update the metrics, and log the factors that have changed."""
        listed = self._directory.table.by_id.values()
        for service in {item.service for item in listed if item.phase is not None}:
            speed = self.table.prefill_tokens_per_ms(service)
            self._tokens_per_ms.set({"service": service}, speed)
        for upstream in listed:
            factor = self.table.learned_factor(upstream, now)
            self._factors.set({"upstream": upstream.id}, factor)
            logged = self._logged_by_incarnation.get(upstream.incarnation, 1.0)
            if not 1 / LOGGED_CHANGE < factor / logged < LOGGED_CHANGE:
                self._logged_by_incarnation[upstream.incarnation] = factor
                log_event("upstream_speed", upstream=upstream.id, factor=factor)

    def _forget_unlisted(self) -> None:
        """Forget upstreams that are no longer listed."""
        listed = self._directory.table.by_id.values()
        incarnations = {item.incarnation for item in listed}
        self.table.keep_only(incarnations)
        for incarnation in self._logged_by_incarnation.keys() - incarnations:
            del self._logged_by_incarnation[incarnation]
            self._factors.values.pop({"upstream": incarnation[0]}, None)

    def dump(self) -> dict:
        """Return the state for the operator dump."""
        return self.table.dump(self._app.clock.monotonic())


def setup(app: Application) -> None:
    """Provide the speeds of upstreams."""
    speeds = UpstreamSpeeds(app)
    app.provide("speeds", speeds)
    app.add_dump_section("upstream_speed", speeds.dump)
