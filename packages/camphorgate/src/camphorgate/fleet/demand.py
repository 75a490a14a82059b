"""Demand of a pool: estimated from what instances saw and refused, then forecast.

Each rate has a level and a trend (Holt's linear method, 1957) whose gain rises while
the errors keep one sign, so that a shift within minutes is followed in tens of
seconds and a steady load is not chased. A day pattern adds what the clock tells.
"""

import math

import msgspec

from camphorgate.fleet.state import Demand

SLOTS_PER_DAY = 96
DAY_SECONDS = 86400
SLOT_SECONDS = DAY_SECONDS / SLOTS_PER_DAY

# Time constants of the estimators, in seconds. The fast one bounds how long a shift
# of the mix stays unseen, the slow one how much a steady load makes it move.
FAST_SECONDS = 15.0
SLOW_SECONDS = 90.0
TREND_SECONDS = 60.0
# The trend of a burst does not continue for the whole horizon.
TREND_HORIZON_SECONDS = 45.0
# Two averages lag behind a steady rise by their time constants, so that their
# difference gives its slope. It is trusted in full after the time that it spans.
RISE_SECONDS = (120.0, 480.0)

# Weight of a new day in the pattern: three quarters of the memory is four days old.
DAY_WEIGHT = 0.3
# The pattern holds natural logarithms of tokens/s + 1 in thousandths, as whole
# numbers: 0.1% steps cost two to three bytes each when encoded.
LOG_STEPS = 1000
MEMORY_VERSION = 1


class DemandSample(msgspec.Struct, frozen=True):
    """What was asked for over an interval, in tokens, served and refused alike.

    ``prompts`` counts the prompts that ``prefill_tokens`` came from.
    ``backlog_prefill`` and ``backlog_decode`` are tokens that still wait.
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
    """The daily pattern in the form that is kept in KV, about 1 KB for 96 slots."""

    version: int = MEMORY_VERSION
    prefill: tuple[int, ...] = (0,) * SLOTS_PER_DAY
    decode: tuple[int, ...] = (0,) * SLOTS_PER_DAY
    days: tuple[int, ...] = (0,) * SLOTS_PER_DAY


class DecodeLedger:
    """Counts decode tokens asked for, when only finished requests tell how many.

    Tokens that engines produced would not do: on busy engines they show the supply.
    A request counts with the usual length when it starts, and is corrected when it
    ends.
    """

    __slots__ = ("asked", "usual")

    # Weight of one finished request in the usual length.
    _WEIGHT = 0.02

    def __init__(self, usual: float = 100.0) -> None:
        """Start with a usual length in tokens."""
        self.asked = 0.0
        self.usual = usual

    def start(self) -> float:
        """Count a request and return the length it was counted with."""
        self.asked += self.usual
        return self.usual

    def finish(self, counted: float, length: float) -> None:
        """Correct what a request was counted with."""
        self.asked += length - counted
        self.usual += self._WEIGHT * (length - self.usual)

    def take(self) -> float:
        """Return the tokens asked for since the last call, never less than zero."""
        taken = max(0.0, self.asked)
        self.asked -= taken
        return taken


class _Rate:
    """Level, trend and error of one rate."""

    __slots__ = ("level", "trend", "variance", "bias", "seen", "_averages")

    def __init__(self) -> None:
        self.level = 0.0
        self.trend = 0.0
        self.variance = 0.0
        self.bias = 0.0
        self.seen = 0.0
        self._averages = [0.0, 0.0]

    def observe(self, rate: float, seconds: float) -> None:
        if not self.seen:
            self.level, self.seen = rate, seconds
            self.variance = (0.3 * rate) ** 2
            self._averages = [rate, rate]
            return
        self.seen += seconds
        for index, constant in enumerate(RISE_SECONDS):
            gain = _weight(seconds, constant)
            self._averages[index] += gain * (rate - self._averages[index])
        expected = self.level + self.trend * seconds
        error = rate - expected
        spread = math.sqrt(self.variance) or max(abs(rate), 1.0)
        weight = _weight(seconds, FAST_SECONDS)
        self.bias += weight * (max(-3.0, min(3.0, error / spread)) - self.bias)
        surprise = min(1.0, abs(self.bias))
        constant = SLOW_SECONDS + (FAST_SECONDS - SLOW_SECONDS) * surprise
        gain = _weight(seconds, constant)
        self.level = max(0.0, expected + gain * error)
        moved = gain * error / seconds
        self.trend += _weight(seconds, TREND_SECONDS) * (moved - self.trend)
        self.variance += _weight(seconds, SLOW_SECONDS) * (error**2 - self.variance)

    def ahead(self, seconds: float) -> float:
        damped = TREND_HORIZON_SECONDS * (
            1 - math.exp(-seconds / TREND_HORIZON_SECONDS)
        )
        rise = (self._averages[0] - self._averages[1]) / (
            RISE_SECONDS[1] - RISE_SECONDS[0]
        )
        rise *= min(1.0, self.seen / sum(RISE_SECONDS))
        return max(0.0, self.level + self.trend * damped + rise * seconds)

    def error(self, seconds: float) -> float:
        """Return the standard deviation of the level, growing with the horizon."""
        deviation = math.sqrt(self.variance)
        averaging = math.sqrt(_weight(5.0, FAST_SECONDS + self.seen / 4))
        growth = math.sqrt(1 + seconds / 300)
        return deviation * max(averaging, 0.15) * growth


class _Pattern:
    """Daily pattern of the two rates by slot of the day."""

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
        # A slot that was hardly observed says nothing about its average.
        if seconds < SLOT_SECONDS / 4:
            return
        slot = self._slot
        weight = DAY_WEIGHT if self.days[slot] else 1.0
        for series, tokens in zip(
            (self.prefill, self.decode), self._sums[:2], strict=True
        ):
            value = round(LOG_STEPS * math.log1p(tokens / seconds))
            series[slot] += round(weight * (value - series[slot]))
        self.days[slot] = min(255, self.days[slot] + 1)

    def ratios(self, now: float, ahead: float) -> tuple[float, float] | None:
        """Return the factors between two times of day, ``None`` if unknown."""
        here, there = _slot_of(now), _slot_of(now + ahead)
        if here == there or not (self.days[here] and self.days[there]):
            return None
        return tuple(
            math.exp((series[there] - series[here]) / LOG_STEPS)
            for series in (self.prefill, self.decode)
        )

    def memory(self) -> DemandMemory:
        return DemandMemory(
            MEMORY_VERSION, tuple(self.prefill), tuple(self.decode), tuple(self.days)
        )


class DemandModel:
    """Estimate and forecast of one pool's demand."""

    __slots__ = ("_prefill", "_decode", "_pattern", "_backlog", "_prompt")

    def __init__(self, memory: DemandMemory | None = None) -> None:
        """Start without observations.

        :param memory: the pattern of earlier days; one of another version or size is
            ignored, as a missing pattern does no harm.
        """
        self._prefill = _Rate()
        self._decode = _Rate()
        self._backlog = (0.0, 0.0)
        self._prompt = 0.0
        self._pattern = _Pattern(memory if _usable(memory) else DemandMemory())

    def observe(self, sample: DemandSample, at: float) -> None:
        """Take in what was asked for since the last sample.

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
            gain = _weight(seconds, FAST_SECONDS) if self._prompt else 1.0
            self._prompt += gain * (mean - self._prompt)

    def forecast(
        self, now: float, ahead: float, clear_seconds: float = math.inf
    ) -> Demand:
        """Return the demand at a later time.

        :param now: seconds since the Unix epoch.
        :param ahead: how far ahead, in seconds.
        :param clear_seconds: time in which the backlog is to be worked off.
        """
        factors = self._pattern.ratios(now, ahead) or (1.0, 1.0)
        values = [
            rate.ahead(ahead) * factor + waiting / clear_seconds
            for rate, factor, waiting in zip(
                (self._prefill, self._decode), factors, self._backlog, strict=True
            )
        ]
        errors = (self._prefill.error(ahead), self._decode.error(ahead))
        return Demand(*values, *errors, prompt=self._prompt)

    @property
    def observed_seconds(self) -> float:
        """Return for how long samples were taken in."""
        return self._prefill.seen

    def memory(self) -> DemandMemory:
        """Return the daily pattern, to be kept."""
        return self._pattern.memory()


def encode_memory(memory: DemandMemory) -> bytes:
    """Return the bytes that are kept in KV."""
    return msgspec.msgpack.encode(memory)


def decode_memory(data: bytes) -> DemandMemory | None:
    """Read what :func:`encode_memory` wrote; ``None`` if it cannot be read."""
    try:
        return msgspec.msgpack.decode(data, type=DemandMemory)
    except (msgspec.DecodeError, msgspec.ValidationError):
        return None


def _usable(memory: DemandMemory | None) -> bool:
    return (
        memory is not None
        and memory.version == MEMORY_VERSION
        and {len(memory.prefill), len(memory.decode), len(memory.days)}
        == {SLOTS_PER_DAY}
    )


def _slot_of(at: float) -> int:
    return int(at % DAY_SECONDS // SLOT_SECONDS)


def _weight(seconds: float, constant: float) -> float:
    """Return the weight of a new value in an average with this time constant."""
    return 1 - math.exp(-seconds / constant)
