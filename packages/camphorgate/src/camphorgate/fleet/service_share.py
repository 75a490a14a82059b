"""Closed-form estimate of the share of demand that a split of roles serves in time.

The planners use it to compare splits. The formula models the queues of the replay, and
its constants are fitted to replay runs (docs/measurements/fleet.md). For engines that
behave differently, they must be fitted again to load reports.
"""

import math

from camphorgate.fleet.pool_state import Demand, EngineRates, RoleCounts

MAX_FIRST_TOKEN_SECONDS = 0.64
# Standard deviation of the logarithm of prompt lengths.
LENGTH_SPREAD = 0.363
# Decay rate of long waits relative to a queue with exponential service times.
WAIT_DECAY = 1.575
# The wait formula is valid below this utilisation; above it the share falls further.
STABLE_UTILISATION = 0.98
# Decode utilisation at which half of the streams miss their time limit, and the
# steepness of the curve there. The knee is above 1 because streams are admitted
# unevenly and some end early.
DECODE_KNEE = 1.096
DECODE_STEEPNESS = 21.1
# Engines of role ``both`` receive prompts mainly when the prefill engines are busy.
# Their share by speed is multiplied by the utilisation raised to this power.
OVERFLOW_POWER = 0.338
# Streams catch up after a prompt, so they lose only this share of the slowdown.
LOST_DECODE = 0.34
# Default prompt length while none is known yet.
TYPICAL_PROMPT_TOKENS = 3000.0
# Limit of the search for the number of engines needed, counted from the lowest one.
MAX_EXTRA_ENGINES = 2000


def utilisations(
    split: RoleCounts, demand: Demand, rates: EngineRates
) -> tuple[float, float]:
    """Return the utilisation of prefill and of decode.

    Prompts on engines of role ``both`` reduce the decode capacity of these engines.
    """
    prefill_load = demand.prefill / rates.prefill
    mixed = rates.mixed_prefill * split.both
    prefill = _utilisation(prefill_load, split.prefill + mixed)
    mixed_load = prefill_load * _mixed_prompt_share(split, rates, prefill)
    busy = min(1.0, mixed_load / mixed) if mixed else 0.0
    lost_share = LOST_DECODE * (1 - rates.mixed_decode) * busy
    mixed_decode = split.both * (1 - lost_share)
    return prefill, _utilisation(
        demand.decode / rates.decode, split.decode + mixed_decode
    )


def served_share(split: RoleCounts, demand: Demand, rates: EngineRates) -> float:
    """Return the expected share of requests served in time, from 0 to 1."""
    prefill, decode = utilisations(split, demand, rates)
    share = _prefill_share(split, demand, rates, prefill) if demand.prefill else 1.0
    return share / (1 + (decode / DECODE_KNEE) ** DECODE_STEEPNESS)


def _prefill_share(
    split: RoleCounts, demand: Demand, rates: EngineRates, utilisation: float
) -> float:
    if split.prefill + split.both == 0:
        return 0.0
    prompt = demand.prompt or TYPICAL_PROMPT_TOKENS
    engines = split.prefill + split.both
    share = 0.0
    overflow = _mixed_prompt_share(split, rates, utilisation)
    for prompt_share, speed in (
        (1 - overflow, rates.prefill),
        (overflow, rates.prefill * rates.mixed_prefill),
    ):
        if prompt_share:
            seconds = prompt / speed
            share += (
                prompt_share
                * _in_time_without_wait(seconds)
                * _starts_in_time(seconds, utilisation, engines)
            )
    # This factor is not fitted. It keeps a gradient where the fitted formula is flat
    # near zero.
    return share * min(1.0, STABLE_UTILISATION / utilisation)


def _mixed_prompt_share(
    split: RoleCounts, rates: EngineRates, utilisation: float
) -> float:
    """Return the share of prompts processed by engines of role ``both``."""
    if not split.prefill:
        return 1.0
    mixed = rates.mixed_prefill * split.both
    by_speed = mixed / (split.prefill + mixed)
    return by_speed * min(1.0, utilisation) ** OVERFLOW_POWER


def _in_time_without_wait(seconds: float) -> float:
    """Return the share of prompts short enough to be in time without a wait.

    Prompt lengths are assumed to be log-normal.
    """
    log_margin = math.log(MAX_FIRST_TOKEN_SECONDS / seconds) + LENGTH_SPREAD**2 / 2
    return 0.5 * (1 + math.erf(log_margin / (LENGTH_SPREAD * math.sqrt(2))))


def _starts_in_time(seconds: float, utilisation: float, engines: int) -> float:
    """Return the share of prompts whose wait is short enough to be in time.

    The probability of a wait is Sakasegawa's approximation (1977) for many servers.
    """
    busy = min(utilisation, STABLE_UTILISATION)
    wait_probability = busy ** (math.sqrt(2 * (engines + 1)) - 1)
    slack = max(0.0, MAX_FIRST_TOKEN_SECONDS - seconds)
    decay = WAIT_DECAY * (1 - busy) * engines * slack / seconds
    return 1 - wait_probability * math.exp(-decay)


def load_in_engines(demand: Demand, rates: EngineRates) -> float:
    """Return the demand as the number of engines that it keeps busy."""
    return demand.prefill / rates.prefill + demand.decode / rates.decode


def best_share(total: int, both: int, demand: Demand, rates: EngineRates) -> float:
    """Return the share served in time by the best split of ``total`` engines.

    :param both: how many of the engines have the role ``both``.
    """
    both = min(both, total)
    return max(
        served_share(RoleCounts(prefill, total - both - prefill, both), demand, rates)
        for prefill in range(total - both + 1)
    )


def engines_needed(
    demand: Demand,
    rates: EngineRates,
    share: float,
    min_both_share: float,
    max_engines: int,
) -> int:
    """Return the fewest engines that serve a share in time, at most ``max_engines``.

    The share is relative to what an ample number of engines serves in time. Prompts
    that are too long for a first token in time therefore do not require more engines.
    """
    load = load_in_engines(demand, rates)
    min_engines = max(1, math.ceil(load))
    max_engines = min(max_engines, min_engines + MAX_EXTRA_ENGINES)
    ample_total = min(max_engines, max(min_engines + 4, 3 * min_engines))
    target_share = share * best_share(
        ample_total, _min_both_engines(min_both_share, ample_total), demand, rates
    )
    for total in range(min(min_engines, max_engines), max_engines + 1):
        if (
            best_share(total, _min_both_engines(min_both_share, total), demand, rates)
            >= target_share
        ):
            return total
    return max_engines


def _min_both_engines(share: float, total: int) -> int:
    return max(1, math.ceil(share * total))


def _utilisation(load: float, engines: float) -> float:
    if engines > 0:
        return min(load / engines, 1e6)
    return 1e6 if load > 0 else 0.0
