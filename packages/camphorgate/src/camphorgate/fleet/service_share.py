"""How much of a demand a split of roles serves in time, as a closed form.

The planners compare splits with it; the replay does not use it, so that a wrong form
shows up as lost goodput there.
"""

from camphorgate.fleet.state import Demand, Rates, Split

# Utilisation at which half of the requests miss their time, and how steep the fall
# is. Fitted to the replay's queues (docs/measurements/fleet.md): the wait for a first
# token grows earlier and more gently than the time between tokens.
PREFILL_KNEE = 0.9
PREFILL_STEEPNESS = 8.0
DECODE_KNEE = 0.97
DECODE_STEEPNESS = 12.0


def utilisations(split: Split, demand: Demand, rates: Rates) -> tuple[float, float]:
    """Return the utilisation of prefill and of decode.

    Engines that do both divide their time so that the two come as close as possible.
    """
    prefill_load = demand.prefill / rates.prefill
    decode_load = demand.decode / rates.decode
    mixed = split.both * rates.mixed_efficiency
    total = split.prefill + split.decode + mixed
    if total <= 0:
        return float("inf"), float("inf")
    even = max((prefill_load + decode_load) / total, 1e-9)
    for_prefill = min(mixed, max(0.0, prefill_load / even - split.prefill))
    for_decode = mixed - for_prefill
    return (
        _ratio(prefill_load, split.prefill + for_prefill),
        _ratio(decode_load, split.decode + for_decode),
    )


def served_share(split: Split, demand: Demand, rates: Rates) -> float:
    """Return the expected share of requests served in time, 0 to 1."""
    prefill, decode = utilisations(split, demand, rates)
    in_time = 1 / (1 + (prefill / PREFILL_KNEE) ** PREFILL_STEEPNESS)
    return in_time / (1 + (decode / DECODE_KNEE) ** DECODE_STEEPNESS)


def load_in_engines(demand: Demand, rates: Rates) -> float:
    """Return the demand as a number of busy engines."""
    return demand.prefill / rates.prefill + demand.decode / rates.decode


def _ratio(load: float, engines: float) -> float:
    if engines > 0:
        return min(load / engines, 1e6)
    return 1e6 if load > 0 else 0.0
