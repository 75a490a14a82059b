"""Estimates and forecasts the demand of a pool from served and refused requests.

Each rate has a level and a trend (Holt's linear method, 1957). The gain rises while
the errors keep one sign, so that the estimate follows a shift within tens of seconds
but does not track the noise of a steady load. A daily pattern adds the time of day.
"""

import math

import msgspec

from camphorgate.fleet.pool_state import Demand
from camphorgate.foreign_data import DECODE_ERRORS

SLOTS_PER_DAY = 96
DAY_SECONDS = 86400
SLOT_SECONDS = DAY_SECONDS / SLOTS_PER_DAY

# Time constants of the estimators. The fast one bounds how long a shift of the mix goes
# undetected, the slow one how much the estimate fluctuates under a steady load.
FAST_AVERAGING_SECONDS = 15.0
SLOW_AVERAGING_SECONDS = 90.0
TREND_AVERAGING_SECONDS = 60.0
# The trend of a burst does not continue for the whole horizon.
TREND_HORIZON_SECONDS = 45.0
# Two averages lag behind a steady rise by their time constants, so their difference
# gives the slope. The slope has its full weight only after the sum of both constants.
SLOPE_AVERAGING_SECONDS = (120.0, 480.0)

# Weight of a new day in the pattern. The last four days make up three quarters of it.
NEW_DAY_WEIGHT = 0.3
# The pattern stores ln(tokens/s + 1) in integer thousandths. These steps of 0.1% take
# two to three bytes per value when encoded.
LOG_STEPS_PER_UNIT = 1000
MEMORY_VERSION = 1


class DemandSample(msgspec.Struct, frozen=True):
    """Demand over an interval in tokens, both served and refused.

    ``prompts`` is the number of prompts that make up ``prefill_tokens``.
    ``backlog_prefill`` and ``backlog_decode`` are tokens of requests still waiting.
    """

    seconds: float
    prefill_tokens: float
    decode_tokens: float
    refused_prefill_tokens: float = 0.0
    refused_decode_tokens: float = 0.0
    backlog_prefill: float = 0.0
    backlog_decode: float = 0.0
    prompts: float = 0.0


class DemandMemory(msgspec.Struct, frozen=True, array_like=True):
    """The daily pattern as stored in KV, about 1 KB for 96 slots."""

    version: int = MEMORY_VERSION
    prefill: tuple[int, ...] = (0,) * SLOTS_PER_DAY
    decode: tuple[int, ...] = (0,) * SLOTS_PER_DAY
    days: tuple[int, ...] = (0,) * SLOTS_PER_DAY


class DecodeTokenCounter:
    """Counts requested decode tokens, which are known only once a request finishes.

    Counting the tokens that engines produce would measure supply instead of demand on
    busy engines. A request is counted with the typical length when it starts, and the
    count is corrected when it finishes.
    """

    __slots__ = ("requested_tokens", "typical_length")

    # Weight of one finished request in the typical length.
    _LENGTH_GAIN = 0.02

    def __init__(self, typical_length: float = 100.0) -> None:
        """Create a counter.

        :param typical_length: initial estimate of the output length in tokens.
        """
        self.requested_tokens = 0.0
        self.typical_length = typical_length

    def start(self) -> float:
        """Count a new request and return the number of tokens counted for it."""
        self.requested_tokens += self.typical_length
        return self.typical_length

    def finish(self, counted_tokens: float, actual_length: float) -> None:
        """Replace the tokens counted for a request by its actual length."""
        self.requested_tokens += actual_length - counted_tokens
        self.typical_length += self._LENGTH_GAIN * (actual_length - self.typical_length)

    def take(self) -> float:
        """Return the tokens requested since the last call, at least zero."""
        tokens = max(0.0, self.requested_tokens)
        self.requested_tokens -= tokens
        return tokens


class _RateEstimator:
    """Estimates level, trend and error of one rate."""

    __slots__ = ("level", "trend", "variance", "bias", "observed_seconds", "_averages")

    def __init__(self) -> None:
        self.level = 0.0
        self.trend = 0.0
        self.variance = 0.0
        self.bias = 0.0
        self.observed_seconds = 0.0
        self._averages = [0.0, 0.0]

    def observe(self, rate: float, seconds: float) -> None:
        if not self.observed_seconds:
            self.level, self.observed_seconds = rate, seconds
            self.variance = (0.3 * rate) ** 2
            self._averages = [rate, rate]
            return
        self.observed_seconds += seconds
        for index, constant in enumerate(SLOPE_AVERAGING_SECONDS):
            gain = _smoothing_gain(seconds, constant)
            self._averages[index] += gain * (rate - self._averages[index])
        expected = self.level + self.trend * seconds
        error = rate - expected
        spread = math.sqrt(self.variance) or max(abs(rate), 1.0)
        weight = _smoothing_gain(seconds, FAST_AVERAGING_SECONDS)
        self.bias += weight * (max(-3.0, min(3.0, error / spread)) - self.bias)
        bias_size = min(1.0, abs(self.bias))
        constant = (
            SLOW_AVERAGING_SECONDS
            + (FAST_AVERAGING_SECONDS - SLOW_AVERAGING_SECONDS) * bias_size
        )
        gain = _smoothing_gain(seconds, constant)
        self.level = max(0.0, expected + gain * error)
        observed_trend = gain * error / seconds
        self.trend += _smoothing_gain(seconds, TREND_AVERAGING_SECONDS) * (
            observed_trend - self.trend
        )
        self.variance += _smoothing_gain(seconds, SLOW_AVERAGING_SECONDS) * (
            error**2 - self.variance
        )

    def forecast(self, seconds: float) -> float:
        damped_seconds = TREND_HORIZON_SECONDS * (
            1 - math.exp(-seconds / TREND_HORIZON_SECONDS)
        )
        slope = (self._averages[0] - self._averages[1]) / (
            SLOPE_AVERAGING_SECONDS[1] - SLOPE_AVERAGING_SECONDS[0]
        )
        slope *= min(1.0, self.observed_seconds / sum(SLOPE_AVERAGING_SECONDS))
        return max(0.0, self.level + self.trend * damped_seconds + slope * seconds)

    def error(self, seconds: float) -> float:
        """Return the standard deviation of the level, growing with the horizon."""
        deviation = math.sqrt(self.variance)
        averaging = math.sqrt(
            _smoothing_gain(5.0, FAST_AVERAGING_SECONDS + self.observed_seconds / 4)
        )
        growth = math.sqrt(1 + seconds / 300)
        return deviation * max(averaging, 0.15) * growth


class _DailyPattern:
    """Daily pattern of the prefill and decode rates by slot of the day."""

    __slots__ = ("prefill", "decode", "days", "_slot", "_sums")

    def __init__(self, memory: DemandMemory) -> None:
        self.prefill = list(memory.prefill)
        self.decode = list(memory.decode)
        self.days = list(memory.days)
        self._slot = -1
        self._sums = [0.0, 0.0, 0.0]

    def observe(self, at: float, prefill: float, decode: float, seconds: float) -> None:
        slot = _slot_of(at)
        if slot != self._slot:
            self._close_slot()
            self._slot, self._sums = slot, [0.0, 0.0, 0.0]
        for index, amount in enumerate((prefill * seconds, decode * seconds, seconds)):
            self._sums[index] += amount

    def _close_slot(self) -> None:
        seconds = self._sums[2]
        # An average over less than a quarter of the slot is not representative.
        if seconds < SLOT_SECONDS / 4:
            return
        slot = self._slot
        weight = NEW_DAY_WEIGHT if self.days[slot] else 1.0
        for series, tokens in zip(
            (self.prefill, self.decode), self._sums[:2], strict=True
        ):
            value = round(LOG_STEPS_PER_UNIT * math.log1p(tokens / seconds))
            series[slot] += round(weight * (value - series[slot]))
        self.days[slot] = min(255, self.days[slot] + 1)

    def growth_factors(self, now: float, ahead: float) -> tuple[float, float] | None:
        """Return the growth factors of both rates, or ``None`` if unknown."""
        current_slot, target_slot = _slot_of(now), _slot_of(now + ahead)
        if current_slot == target_slot or not (
            self.days[current_slot] and self.days[target_slot]
        ):
            return None
        return tuple(
            math.exp((series[target_slot] - series[current_slot]) / LOG_STEPS_PER_UNIT)
            for series in (self.prefill, self.decode)
        )

    def memory(self) -> DemandMemory:
        return DemandMemory(
            MEMORY_VERSION, tuple(self.prefill), tuple(self.decode), tuple(self.days)
        )


class DemandModel:
    """Estimates and forecasts the demand of one pool."""

    __slots__ = ("_prefill", "_decode", "_pattern", "_backlog", "_mean_prompt")

    def __init__(self, memory: DemandMemory | None = None) -> None:
        """Create a model without observations.

        :param memory: pattern of earlier days. A pattern of another version or size is
            ignored, because the model also works without one.
        """
        self._prefill = _RateEstimator()
        self._decode = _RateEstimator()
        self._backlog = (0.0, 0.0)
        self._mean_prompt = 0.0
        self._pattern = _DailyPattern(memory if _is_usable(memory) else DemandMemory())

    def observe(self, sample: DemandSample, at: float) -> None:
        """Update the estimates with the demand since the last sample.

        :param at: end of the interval, in seconds since the Unix epoch.
        """
        if sample.seconds <= 0:
            return
        seconds = sample.seconds
        prefill = (sample.prefill_tokens + sample.refused_prefill_tokens) / seconds
        decode = (sample.decode_tokens + sample.refused_decode_tokens) / seconds
        self._prefill.observe(prefill, seconds)
        self._decode.observe(decode, seconds)
        self._pattern.observe(at, prefill, decode, seconds)
        self._backlog = (sample.backlog_prefill, sample.backlog_decode)
        if sample.prompts:
            mean = sample.prefill_tokens / sample.prompts
            gain = (
                _smoothing_gain(seconds, FAST_AVERAGING_SECONDS)
                if self._mean_prompt
                else 1.0
            )
            self._mean_prompt += gain * (mean - self._mean_prompt)

    def forecast(
        self, now: float, ahead: float, clear_seconds: float = math.inf
    ) -> Demand:
        """Return the demand at a later time.

        :param now: seconds since the Unix epoch.
        :param ahead: how far ahead, in seconds.
        :param clear_seconds: time within which the backlog is to be processed.
        """
        factors = self._pattern.growth_factors(now, ahead) or (1.0, 1.0)
        values = [
            rate.forecast(ahead) * factor + waiting / clear_seconds
            for rate, factor, waiting in zip(
                (self._prefill, self._decode), factors, self._backlog, strict=True
            )
        ]
        errors = (self._prefill.error(ahead), self._decode.error(ahead))
        return Demand(*values, *errors, prompt=self._mean_prompt)

    @property
    def observed_seconds(self) -> float:
        """Return the total duration of the samples observed."""
        return self._prefill.observed_seconds

    def memory(self) -> DemandMemory:
        """Return the daily pattern in its stored form."""
        return self._pattern.memory()


def encode_memory(memory: DemandMemory) -> bytes:
    """Encode the daily pattern for storage in KV."""
    return msgspec.msgpack.encode(memory)


def decode_memory(data: bytes) -> DemandMemory | None:
    """Decode the result of :func:`encode_memory`; return ``None`` if it is invalid."""
    try:
        return msgspec.msgpack.decode(data, type=DemandMemory)
    except DECODE_ERRORS:
        return None


def _is_usable(memory: DemandMemory | None) -> bool:
    return (
        memory is not None
        and memory.version == MEMORY_VERSION
        and {len(memory.prefill), len(memory.decode), len(memory.days)}
        == {SLOTS_PER_DAY}
    )


def _slot_of(at: float) -> int:
    return int(at % DAY_SECONDS // SLOT_SECONDS)


def _smoothing_gain(seconds: float, constant: float) -> float:
    """Return the weight of a new value in an exponential average.

    :param seconds: interval that the new value covers.
    :param constant: time constant of the average, in seconds.
    """
    return 1 - math.exp(-seconds / constant)
