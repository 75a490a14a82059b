"""Durations as a linear function of the amount of work, fitted with decay."""

import msgspec

# Each observation reduces the weight of the earlier ones by this fraction, so that the
# model follows a change of the load within some hundred observations.
DECAY_PER_OBSERVATION = 0.005
# The first observations may differ from the start values by this factor.
MAX_FIRST_DEVIATION = 20.0
FIRST_OBSERVATIONS = 10
# Later observations count as if they were at most this many times longer or shorter
# than expected: an upstream that stops for a moment, or a queue that this instance does
# not know, shows as a duration of many times the usual one. Nothing of the kind makes
# one shorter.
MAX_TIMES_LONGER = 1.5
MAX_TIMES_SHORTER = 2.0
# Weight of an observation that is longer than expected relative to one that is shorter,
# for the same reason: the model is of the usual duration, not of the mean.
LONGER_WEIGHT = 0.2
# Models of peers are used until there are this many own observations.
MIN_OWN_OBSERVATIONS = 20
# Weight of a peer's model, in observations.
PEER_MODEL_WEIGHT = 1.0
FIRST_PEER_MODEL_WEIGHT = 20.0


class ModelSpec(msgspec.Struct, frozen=True):
    """Start values and bounds of a :class:`DurationModel`.

    The start values apply until there are observations. ``fixed_ms`` is the duration
    without work and ``ms_per_unit`` the increase per unit of work. ``usual_spread`` is
    the spread of the amounts of work, in units, from which on ``ms_per_unit`` follows
    the observations more than the start value. ``reference_units`` are two amounts of
    work at which models are compared with those of peers.
    """

    fixed_ms: float
    ms_per_unit: float
    min_fixed_ms: float
    max_fixed_ms: float
    min_ms_per_unit: float
    max_ms_per_unit: float
    usual_spread: float
    reference_units: tuple[float, float]


class DurationModel:
    """A line through the recent observations of a service."""

    __slots__ = (
        "spec",
        "fixed_ms",
        "ms_per_unit",
        "observations",
        "_weight",
        "_units",
        "_ms",
        "_square",
        "_product",
    )

    def __init__(self, spec: ModelSpec) -> None:
        """Start with the start values."""
        self.spec = spec
        self.fixed_ms = spec.fixed_ms
        self.ms_per_unit = spec.ms_per_unit
        self.observations = 0
        self._forget()

    def _forget(self) -> None:
        self._weight = self._units = self._ms = self._square = self._product = 0.0

    def predict_ms(self, units: float) -> float:
        """Return the duration of an amount of work."""
        return self.fixed_ms + units * self.ms_per_unit

    def record(self, units: float, ms: float, weight: float = 1.0) -> None:
        """Record an observed duration.

        :param units: amount of work, 0 or more.
        :param weight: 0 to 1; less for an observation that includes other work.
        """
        if self.observations == 0:
            # Observations replace what a peer sent as fast as they come.
            self._scale(min(1.0, MIN_OWN_OBSERVATIONS / max(1.0, self._weight)))
        first = self.observations < FIRST_OBSERVATIONS
        longer = MAX_FIRST_DEVIATION if first else MAX_TIMES_LONGER
        shorter = MAX_FIRST_DEVIATION if first else MAX_TIMES_SHORTER
        expected = self.predict_ms(units)
        if ms > expected and not first:
            weight *= LONGER_WEIGHT
        ms = min(expected * longer, max(expected / shorter, ms))
        self.observations += 1
        self._add(units, ms, weight)

    def receive(self, fixed_ms: float, ms_per_unit: float) -> None:
        """Take in the model of a peer."""
        weight = PEER_MODEL_WEIGHT
        if self.observations < MIN_OWN_OBSERVATIONS:
            weight = FIRST_PEER_MODEL_WEIGHT
        for units in self.spec.reference_units:
            self._add(units, fixed_ms + units * ms_per_unit, weight / 2)

    def _scale(self, factor: float) -> None:
        self._weight *= factor
        self._units *= factor
        self._ms *= factor
        self._square *= factor
        self._product *= factor

    def _add(self, units: float, ms: float, weight: float) -> None:
        self._scale(1.0 - DECAY_PER_OBSERVATION * min(1.0, weight))
        self._weight += weight
        self._units += weight * units
        self._ms += weight * ms
        self._square += weight * units * units
        self._product += weight * units * ms
        self._fit()

    def _fit(self) -> None:
        spec = self.spec
        mean_units, mean_ms = self._units / self._weight, self._ms / self._weight
        spread = max(0.0, self._square - self._units * mean_units)
        shared = self._product - self._units * mean_ms
        # The start value of the slope counts as one observation at the usual spread.
        prior = spec.usual_spread * spec.usual_spread
        slope = (shared + prior * spec.ms_per_unit) / (spread + prior)
        slope = min(spec.max_ms_per_unit, max(spec.min_ms_per_unit, slope))
        fixed = mean_ms - slope * mean_units
        if fixed < spec.min_fixed_ms and mean_units > 0.0:
            # The line has to pass through the mean of the observations.
            fixed = spec.min_fixed_ms
            slope = max(spec.min_ms_per_unit, (mean_ms - fixed) / mean_units)
        self.fixed_ms = min(spec.max_fixed_ms, max(spec.min_fixed_ms, fixed))
        self.ms_per_unit = slope
