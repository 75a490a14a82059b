"""How much of a demand a split of roles serves in time, as a closed form.

The planners compare splits with it. The form follows the queueing of the replay, and
its constants are fitted to runs of it (docs/measurements/fleet.md), so it must be
fitted again to the load reports of engines that behave otherwise.
"""

import math

from camphorgate.fleet.state import Demand, Rates, Split

FIRST_TOKEN_SECONDS = 0.64
# Spread of the logarithm of prompt lengths.
LENGTH_SPREAD = 0.363
# How much faster than in a queue with exponential service times long waits get rare.
WAIT_DECAY = 1.575
# The wait formula holds below this utilisation; above it the share falls further.
STABLE_UTILISATION = 0.98
# Decode utilisation at which half of the streams miss their time, and the steepness.
# The knee is above 1 because streams are admitted unevenly and some end early.
DECODE_KNEE = 1.096
DECODE_STEEPNESS = 21.1
# Prompts go to engines of both roles only when the others are busy: their part by
# speed is multiplied by the utilisation to this power.
OVERFLOW_POWER = 0.338
# Streams catch up after a prompt, so they lose only a part of the time it takes.
LOST_DECODE = 0.34
# A prompt length that stands in where none is known yet, in tokens.
USUAL_PROMPT = 3000.0
SEARCH_LIMIT = 2000


def utilisations(split: Split, demand: Demand, rates: Rates) -> tuple[float, float]:
    """Return the utilisation of prefill and of decode.

    The time that an engine of both roles spends on prompts slows its streams.
    """
    prefill_load = demand.prefill / rates.prefill
    mixed = rates.mixed_prefill * split.both
    prefill = _ratio(prefill_load, split.prefill + mixed)
    there = prefill_load * _mixed_part(split, rates, prefill)
    busy = min(1.0, there / mixed) if mixed else 0.0
    lost = LOST_DECODE * (1 - rates.mixed_decode) * busy
    for_decode = split.both * (1 - lost)
    return prefill, _ratio(demand.decode / rates.decode, split.decode + for_decode)


def served_share(split: Split, demand: Demand, rates: Rates) -> float:
    """Return the expected share of requests served in time, 0 to 1."""
    prefill, decode = utilisations(split, demand, rates)
    share = _prefill_share(split, demand, rates, prefill) if demand.prefill else 1.0
    return share / (1 + (decode / DECODE_KNEE) ** DECODE_STEEPNESS)


def _prefill_share(
    split: Split, demand: Demand, rates: Rates, utilisation: float
) -> float:
    if split.prefill + split.both == 0:
        return 0.0
    prompt = demand.prompt or USUAL_PROMPT
    engines = split.prefill + split.both
    share = 0.0
    overflow = _mixed_part(split, rates, utilisation)
    for part, speed in (
        (1 - overflow, rates.prefill),
        (overflow, rates.prefill * rates.mixed_prefill),
    ):
        if part:
            seconds = prompt / speed
            share += (
                part * _short_enough(seconds) * _starts(seconds, utilisation, engines)
            )
    # Not fitted: keeps a slope where the fitted form is flat near zero.
    return share * min(1.0, STABLE_UTILISATION / utilisation)


def _mixed_part(split: Split, rates: Rates, utilisation: float) -> float:
    """Return the part of the prompts that engines of both roles take."""
    if not split.prefill:
        return 1.0
    mixed = rates.mixed_prefill * split.both
    by_speed = mixed / (split.prefill + mixed)
    return by_speed * min(1.0, utilisation) ** OVERFLOW_POWER


def _short_enough(seconds: float) -> float:
    """Return the share of prompts that are in time without a wait (log-normal)."""
    middle = math.log(FIRST_TOKEN_SECONDS / seconds) + LENGTH_SPREAD**2 / 2
    return 0.5 * (1 + math.erf(middle / (LENGTH_SPREAD * math.sqrt(2))))


def _starts(seconds: float, utilisation: float, engines: int) -> float:
    """Return the share that starts early enough.

    The probability of a wait is Sakasegawa's approximation (1977) for many servers.
    """
    busy = min(utilisation, STABLE_UTILISATION)
    waits = busy ** (math.sqrt(2 * (engines + 1)) - 1)
    slack = max(0.0, FIRST_TOKEN_SECONDS - seconds)
    decay = WAIT_DECAY * (1 - busy) * engines * slack / seconds
    return 1 - waits * math.exp(-decay)


def load_in_engines(demand: Demand, rates: Rates) -> float:
    """Return the demand as a number of busy engines."""
    return demand.prefill / rates.prefill + demand.decode / rates.decode


def best_share(total: int, both: int, demand: Demand, rates: Rates) -> float:
    """Return the share that the best split of so many engines serves.

    :param both: how many of them do both.
    """
    both = min(both, total)
    return max(
        served_share(Split(prefill, total - both - prefill, both), demand, rates)
        for prefill in range(total - both + 1)
    )


def engines_needed(
    demand: Demand, rates: Rates, share: float, min_both_share: float, most: int
) -> int:
    """Return the fewest engines that serve a share in time, at most ``most``.

    The share is one of what any number of engines would serve: prompts that are too
    long for the first token in time do not call for more engines.
    """
    load = load_in_engines(demand, rates)
    first = max(1, math.ceil(load))
    most = min(most, first + SEARCH_LIMIT)
    ample = min(most, max(first + 4, 3 * first))
    goal = share * best_share(ample, _both(min_both_share, ample), demand, rates)
    for total in range(min(first, most), most + 1):
        if best_share(total, _both(min_both_share, total), demand, rates) >= goal:
            return total
    return most


def _both(share: float, total: int) -> int:
    return max(1, math.ceil(share * total))


def _ratio(load: float, engines: float) -> float:
    if engines > 0:
        return min(load / engines, 1e6)
    return 1e6 if load > 0 else 0.0
