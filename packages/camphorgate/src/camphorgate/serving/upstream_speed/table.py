"""Durations that placement predicts, by service and by upstream."""

from collections.abc import Iterable
from typing import Annotated

import msgspec

from camphorgate.serving.catalog import Phase, Upstream
from camphorgate.serving.upstream_speed.duration_model import DurationModel, ModelSpec
from camphorgate.serving.upstream_speed.reported_load import ReportedLoads
from camphorgate.serving.upstream_speed.speed_factor import SpeedFactor

Incarnation = tuple[str, int]

# Start values, used until a service has been observed. The prefill values are those of
# an engine that only prefills: 55 tokens per ms and 15 ms fixed.
START_PREFILL_TOKENS_PER_MS = 55.0
START_PREFILL_FIXED_MS = 15.0
# Time that a running request adds to another one on the same engine.
START_STEP_MS = 4.0
# Service time of a request of a plain service.
START_CALL_MS = 60.0
# A decoding engine prefills at this fraction of the speed.
DECODE_PREFILL_FRACTION = 0.5
# Bounds of a reported momentary factor, and the age at which it has lost its weight.
# An upstream keeps a momentary speed for about 0.6 s.
MIN_MOMENTARY_FACTOR = 0.2
MAX_MOMENTARY_FACTOR = 10.0
MOMENTARY_SECONDS = 0.6
# A prefill call that found more than this multiple of its own tokens queued tells more
# about the queue than about the engine.
MAX_QUEUED_RATIO = 3.0
# The model of the service uses calls with less than this only: the number of queued
# tokens is a guess, and errors of it make the tokens seem to take less time.
MAX_FITTED_QUEUE_RATIO = 0.1
# The factor of an upstream is computed again after this time, as it is read for every
# candidate of every request.
FACTOR_CACHE_SECONDS = 0.03
# Interval at which an upstream's factor is sent to peers.
NEWS_SECONDS = 1.0
# Bounds on the entries of a message; an entry of a factor has about 25 bytes.
MAX_NEWS_FACTORS = 10
MAX_NEWS_MODELS = 4
# A model is sent to peers once it rests on this many own observations.
MIN_SENT_OBSERVATIONS = 5
MAX_NEWS_MOMENTARY = 6
# A reported momentary factor is sent to peers up to this age, if it or the one before
# it was not the usual one.
MAX_SENT_MOMENTARY_SECONDS = 0.3
# A factor received from a peer counts as an observation with this weight at most.
MAX_NEWS_WEIGHT = 1.0

PREFILL, STEP, CALL = 0, 1, 2
_SPECS = {
    # Units: prompt tokens.
    PREFILL: ModelSpec(
        fixed_ms=START_PREFILL_FIXED_MS,
        ms_per_unit=1.0 / START_PREFILL_TOKENS_PER_MS,
        min_fixed_ms=1.0,
        max_fixed_ms=500.0,
        min_ms_per_unit=1.0 / 5000.0,
        max_ms_per_unit=1.0,
        usual_spread=2000.0,
        reference_units=(500.0, 12000.0),
    ),
    # Units: other requests that run on the engine.
    STEP: ModelSpec(
        fixed_ms=START_STEP_MS,
        ms_per_unit=0.0,
        min_fixed_ms=0.2,
        max_fixed_ms=200.0,
        min_ms_per_unit=0.0,
        max_ms_per_unit=5.0,
        usual_spread=8.0,
        reference_units=(1.0, 32.0),
    ),
    # Units: requests that wait, as multiples of the slots.
    CALL: ModelSpec(
        fixed_ms=START_CALL_MS,
        ms_per_unit=0.0,
        min_fixed_ms=0.5,
        max_fixed_ms=30_000.0,
        min_ms_per_unit=0.0,
        max_ms_per_unit=0.0,
        usual_spread=1.0,
        reference_units=(0.0, 0.0),
    ),
}

_Permille = Annotated[int, msgspec.Meta(ge=100, le=10_000)]
_Microseconds = Annotated[int, msgspec.Meta(ge=0, le=60_000_000)]


class FactorNews(msgspec.Struct, array_like=True, frozen=True):
    """Factor that a peer has learned of an incarnation, in thousandths.

    ``hundredths`` is the weight of its observations.
    """

    id: str
    started_at: int
    permille: _Permille
    hundredths: Annotated[int, msgspec.Meta(ge=1, le=100)]


class ModelNews(msgspec.Struct, array_like=True, frozen=True):
    """Model of a service that a peer has learned.

    ``slope_us`` is the increase for 1,000 units of work.
    """

    service: str
    kind: Annotated[int, msgspec.Meta(ge=0, le=2)]
    fixed_us: _Microseconds
    slope_us: _Microseconds


class MomentaryNews(msgspec.Struct, array_like=True, frozen=True):
    """Momentary factor that an upstream has reported to a peer, and its age."""

    id: str
    started_at: int
    percent: Annotated[int, msgspec.Meta(ge=10, le=10_000)]
    age_ms: Annotated[int, msgspec.Meta(ge=0, le=10_000)]


class SpeedNews(msgspec.Struct, array_like=True, frozen=True):
    """What an instance has learned of speeds, or a part of it."""

    factors: Annotated[list[FactorNews], msgspec.Meta(max_length=MAX_NEWS_FACTORS)] = []
    models: Annotated[list[ModelNews], msgspec.Meta(max_length=MAX_NEWS_MODELS)] = []
    momentary: Annotated[
        list[MomentaryNews], msgspec.Meta(max_length=MAX_NEWS_MOMENTARY)
    ] = []


class MomentaryFactor(msgspec.Struct):
    """Factor that an upstream reported of itself, and when."""

    factor: float = 1.0
    told_at: float = float("-inf")
    # When a report of this instance last told of a slow or fast moment, or of its end.
    unusual_at: float = float("-inf")

    def record(self, factor: float, told_at: float) -> None:
        """Record a reported factor unless a newer one is known."""
        if told_at > self.told_at:
            self.factor = min(MAX_MOMENTARY_FACTOR, max(MIN_MOMENTARY_FACTOR, factor))
            self.told_at = told_at

    def value(self, now: float) -> float:
        """Return the factor, which approaches 1 as the report ages."""
        weight = 1.0 - (now - self.told_at) / MOMENTARY_SECONDS
        if weight <= 0.0:
            return 1.0
        return 1.0 + (self.factor - 1.0) * min(1.0, weight)


class _Learned:
    """What is known of one incarnation."""

    __slots__ = ("factor", "own", "momentary", "sent_at", "product", "read_at")

    def __init__(self) -> None:
        self.factor = SpeedFactor()
        # The own observations alone. Only these are sent, so that no instance learns
        # its own figures again from a peer.
        self.own = SpeedFactor()
        self.momentary = MomentaryFactor()
        self.sent_at = float("-inf")
        # Product of the learned and the momentary factor, and when it was computed.
        self.product = 1.0
        self.read_at = float("-inf")


class SpeedTable:
    """Learns durations from responses and from peers, and predicts them.

    Stateless towards the network: observations and messages are passed in with the
    time. All durations are of the work alone, without the wait in a queue.
    """

    __slots__ = (
        "learns",
        "reports",
        "_uses_reports",
        "_models",
        "_own_models",
        "_levels",
        "_learned",
        "_changed",
    )

    def __init__(self, learns: bool = True, uses_reports: bool = True) -> None:
        """Start with the start values.

        :param learns: whether to learn from responses and peers at all.
        :param uses_reports: whether to use the momentary factors that upstreams report.
        """
        self.learns = learns
        self.reports = ReportedLoads()
        self._uses_reports = uses_reports
        self._models: dict[tuple[str, int], DurationModel] = {}
        # The same of the own observations alone. Only these are sent: models that
        # contain those of peers would confirm each other's first errors.
        self._own_models: dict[tuple[str, int], DurationModel] = {}
        # Factor of all upstreams together. Those of the single ones are relative to it,
        # as all of them prefer short durations in the same way.
        self._levels: dict[tuple[str, int], SpeedFactor] = {}
        self._learned: dict[Incarnation, _Learned] = {}
        # Incarnations observed since their factor was last sent, oldest first.
        self._changed: dict[Incarnation, None] = {}

    def record_prefill(
        self,
        upstream: Upstream,
        uncached_tokens: int,
        queued_tokens: float,
        seconds: float,
        now: float,
    ) -> None:
        """Record a prefill call.

        :param uncached_tokens: prompt tokens that the engine had to prefill.
        :param queued_tokens: tokens known to be queued there when it was sent.
        """
        queued_ratio = max(0.0, queued_tokens) / max(1, uncached_tokens)
        if queued_ratio > MAX_QUEUED_RATIO:
            return
        tokens = uncached_tokens + max(0.0, queued_tokens)
        weight = 1.0 / (1.0 + 4.0 * queued_ratio)
        fits = queued_ratio <= MAX_FITTED_QUEUE_RATIO
        self._record(upstream, PREFILL, tokens, seconds * 1000, weight, now, fits)

    def record_step(
        self, upstream: Upstream, seconds_per_token: float, running: float, now: float
    ) -> None:
        """Record the time between two tokens of a stream.

        :param running: other requests known to run on the engine.
        """
        self._record(
            upstream, STEP, max(0.0, running), seconds_per_token * 1000, 0.5, now
        )

    def record_call(
        self, upstream: Upstream, seconds: float, running: float, now: float
    ) -> None:
        """Record a request of a plain service.

        :param running: other requests known to be there when it was sent.
        """
        slots = max(1, upstream.slots)
        waited = max(0.0, running + 1 - slots) / slots
        self._record(
            upstream,
            CALL,
            0.0,
            seconds * 1000 / (1.0 + waited),
            1.0 / (1.0 + 4 * waited),
            now,
        )

    def _record(
        self,
        upstream: Upstream,
        kind: int,
        units: float,
        ms: float,
        weight: float,
        now: float,
        fits: bool = True,
    ) -> None:
        """Record a duration.

        :param fits: whether the model of the service is fitted to it, too.
        """
        if not self.learns or ms <= 0.0:
            return
        learned = self._entry(upstream.incarnation)
        ms /= learned.momentary.value(now)
        model = self._model(upstream.service, kind)
        if fits:
            model.record(units, ms, weight)
            self._own_model(upstream.service, kind).record(units, ms, weight)
        ratio = ms / model.predict_ms(units)
        level = self._levels.setdefault((upstream.service, kind), SpeedFactor())
        level.record(ratio, weight, now)
        ratio /= level.value(now)
        learned.factor.record(ratio, weight, now)
        learned.own.record(ratio, weight, now)
        self._changed[upstream.incarnation] = None

    def record_told_factor(self, upstream: Upstream, factor: float, now: float) -> None:
        """Record the momentary factor that an upstream reports of itself."""
        if self._uses_reports:
            momentary = self._entry(upstream.incarnation).momentary
            if factor != 1.0 or momentary.factor != 1.0:
                momentary.unusual_at = now
            momentary.record(factor, now)

    def record_reported_load(
        self, upstream: Upstream, requests: int, own_requests: float, now: float
    ) -> None:
        """Record the requests that an upstream reports, see :class:`ReportedLoads`."""
        if self._uses_reports:
            self.reports.record(upstream, requests, own_requests, now)

    def factor(self, upstream: Upstream, now: float) -> float:
        """Return the duration of work at an upstream relative to its service."""
        learned = self._learned.get((upstream.id, upstream.started_at))
        if learned is None:
            return 1.0
        if not 0.0 <= now - learned.read_at < FACTOR_CACHE_SECONDS:
            learned.read_at = now
            learned.product = learned.factor.value(now) * learned.momentary.value(now)
        return learned.product

    def learned_factor(self, upstream: Upstream, now: float) -> float:
        """Return the learned part of :meth:`factor`."""
        learned = self._learned.get(upstream.incarnation)
        return 1.0 if learned is None else learned.factor.value(now)

    def prefill_line(self, upstream: Upstream, now: float) -> tuple[float, float]:
        """Return the fixed ms of a prefill on an engine and the ms per token."""
        model = self._models.get((upstream.service, PREFILL)) or _START_PREFILL
        factor = self.factor(upstream, now)
        per_token = model.ms_per_unit * factor
        if upstream.phase is not Phase.PREFILL:
            per_token /= DECODE_PREFILL_FRACTION
        return model.fixed_ms * factor, per_token

    def prefill_ms(self, upstream: Upstream, tokens: float, now: float) -> float:
        """Return the time of a prefill on an engine with an empty queue."""
        fixed, per_token = self.prefill_line(upstream, now)
        return fixed + tokens * per_token

    def prefill_tokens_per_ms(self, service: str) -> float:
        """Return the prefill speed of a usual engine that only prefills."""
        model = self._models.get((service, PREFILL)) or _START_PREFILL
        return 1.0 / model.ms_per_unit

    def step_ms(self, upstream: Upstream, running: float, now: float) -> float:
        """Return the time of a decode step beside a number of other requests."""
        model = self._models.get((upstream.service, STEP)) or _START_STEP
        return model.predict_ms(running) * self.factor(upstream, now)

    def call_ms(self, upstream: Upstream, now: float) -> float:
        """Return the service time of a request of a plain service."""
        model = self._models.get((upstream.service, CALL)) or _START_CALL
        return model.fixed_ms * self.factor(upstream, now)

    def take_news(self, now: float, most: int = MAX_NEWS_FACTORS) -> list[FactorNews]:
        """Return the factors to send: those observed since they were last sent.

        Each is returned once in :data:`NEWS_SECONDS` at most.
        """
        news: list[FactorNews] = []
        for incarnation in list(self._changed):
            learned = self._learned.get(incarnation)
            if learned is None:
                del self._changed[incarnation]
            elif now - learned.sent_at >= NEWS_SECONDS:
                del self._changed[incarnation]
                learned.sent_at = now
                news.append(_factor_news(incarnation, learned.own, now))
                if len(news) == most:
                    break
        return news

    def unusual_moments(self, now: float) -> list[MomentaryNews]:
        """Return the momentary factors to send, the newest first."""
        found = [
            (momentary.unusual_at, incarnation, momentary)
            for incarnation, learned in self._learned.items()
            if now - (momentary := learned.momentary).unusual_at
            < MAX_SENT_MOMENTARY_SECONDS
        ]
        found.sort(key=lambda item: item[0], reverse=True)
        return [
            MomentaryNews(
                *incarnation,
                int(momentary.factor * 100),
                max(0, int((now - momentary.told_at) * 1000)),
            )
            for _, incarnation, momentary in found[:MAX_NEWS_MOMENTARY]
        ]

    def all_factors(self, now: float) -> list[FactorNews]:
        """Return all factors that this instance has observed itself lately."""
        return [
            _factor_news(incarnation, learned.own, now)
            for incarnation, learned in self._learned.items()
            if learned.own.weight(now) >= 0.1
        ]

    def models(self) -> list[ModelNews]:
        """Return the models of the own observations alone."""
        return [
            ModelNews(
                service, kind, int(model.fixed_ms * 1000), int(model.ms_per_unit * 1e6)
            )
            for (service, kind), model in self._own_models.items()
            if model.observations >= MIN_SENT_OBSERVATIONS
        ]

    def receive_news(
        self, news: SpeedNews, now: float, upstreams_by_id: dict[str, Upstream]
    ) -> None:
        """Learn what a peer has observed.

        :param upstreams_by_id: the listed upstreams; others are ignored.
        """
        for item in news.momentary if self._uses_reports else ():
            listed = upstreams_by_id.get(item.id)
            if listed is not None and listed.started_at == item.started_at:
                told_at = now - item.age_ms / 1000
                momentary = self._entry(listed.incarnation).momentary
                momentary.record(item.percent / 100, told_at)
        for item in news.factors if self.learns else ():
            listed = upstreams_by_id.get(item.id)
            if listed is None or listed.started_at != item.started_at:
                continue
            weight = min(MAX_NEWS_WEIGHT, item.hundredths / 100)
            learned = self._entry(listed.incarnation)
            learned.factor.record(item.permille / 1000, weight, now)
        if not self.learns or not news.models:
            return
        services = {item.service for item in upstreams_by_id.values()}
        for item in news.models:
            if item.service in services:
                model = self._model(item.service, item.kind)
                model.receive(item.fixed_us / 1000, item.slope_us / 1e6)

    def keep_only(self, incarnations: Iterable[Incarnation]) -> None:
        """Forget all other upstreams."""
        incarnations = set(incarnations)
        self.reports.keep_only(incarnations)
        for incarnation in self._learned.keys() - incarnations:
            del self._learned[incarnation]
            self._changed.pop(incarnation, None)

    def _entry(self, incarnation: Incarnation) -> _Learned:
        learned = self._learned.get(incarnation)
        if learned is None:
            learned = self._learned[incarnation] = _Learned()
        return learned

    def _model(self, service: str, kind: int) -> DurationModel:
        model = self._models.get((service, kind))
        if model is None:
            model = self._models[(service, kind)] = DurationModel(_SPECS[kind])
        return model

    def _own_model(self, service: str, kind: int) -> DurationModel:
        model = self._own_models.get((service, kind))
        if model is None:
            model = DurationModel(_SPECS[kind])
            self._own_models[(service, kind)] = model
        return model

    def dump(self, now: float) -> dict:
        """Return the state for the operator dump."""
        names = {PREFILL: "prefill", STEP: "step", CALL: "call"}
        return {
            "models": {
                f"{service}/{names[kind]}": {
                    "fixed_ms": model.fixed_ms,
                    "ms_per_unit": model.ms_per_unit,
                    "observations": model.observations,
                }
                for (service, kind), model in self._models.items()
            },
            "factors": {
                incarnation[0]: {
                    "factor": learned.factor.value(now),
                    "weight": learned.factor.weight(now),
                    "momentary": learned.momentary.value(now),
                }
                for incarnation, learned in self._learned.items()
            },
        }


def _factor_news(incarnation: Incarnation, own: SpeedFactor, now: float) -> FactorNews:
    hundredths = min(100, max(1, int(own.weight(now) * 100)))
    return FactorNews(*incarnation, int(own.mean() * 1000), hundredths)


_START_PREFILL = DurationModel(_SPECS[PREFILL])
_START_STEP = DurationModel(_SPECS[STEP])
_START_CALL = DurationModel(_SPECS[CALL])
