"""Generates seeded request traces for the fleet replay."""

from collections.abc import Callable

import numpy as np

from camphorgate.fleet.pool_state import EngineRates, RoleCounts
from camphorgate.fleet.replay import Trace
from camphorgate.fleet.replay_engine import Fault
from camphorgate.registry import Registry

RATES = EngineRates()
MAX_PROMPT_TOKENS = 10000.0
MAX_OUTPUT_TOKENS = 800.0
BOOKING_SHARE = 0.03
# Request shares of a few large and many small workspaces. The large ones have paid for
# a higher weight.
WORKSPACE_SHARES = (0.3, 0.22, 0.16, 0.12, 0.08, 0.06, 0.04, 0.02)
WORKSPACE_WEIGHTS = (4.0, 3.0, 2.0, 2.0, 1.0, 1.0, 1.0, 1.0)
# Curves are linear between their points and sampled at this interval. Within one
# interval, requests arrive at a constant rate.
SAMPLE_INTERVAL_SECONDS = 5.0

Curve = Callable[[np.ndarray], np.ndarray]
traces: Registry[Callable[["Site", int], Trace]] = Registry("trace")


class Site:
    """Availability zones and fleet size of a deployment."""

    def __init__(self, zones: list[str], engines: int, cheap: int) -> None:
        """Describe a site.

        :param cheap: how many of the engines are cheap at the start.
        """
        self.zones = zones
        self.engines = engines
        self.cheap = cheap

    def fleet(self, roles: list[str] | None = None) -> list[tuple[str, str, str]]:
        """Return the engines at the start, spread over the zones."""
        roles = roles or default_roles(self.engines)
        return [
            (
                self.zones[index % len(self.zones)],
                "cheap" if index < self.cheap else "ordinary",
                role,
            )
            for index, role in enumerate(roles)
        ]


def default_roles(engines: int) -> list[str]:
    """Return roles for an even mix: a third each, and the remainder does both."""
    per_role = engines // 3
    return (
        ["prefill"] * per_role
        + ["decode"] * per_role
        + ["both"] * (engines - 2 * per_role)
    )


def _piecewise_linear(
    rng: np.random.Generator,
    seconds: float,
    values: list[float],
    hold: tuple[float, float],
    ramp: tuple[float, float],
) -> Curve:
    """Return a curve that holds each value for a while and ramps between them."""
    times, levels = [0.0], [values[0]]
    for index in range(1000):
        value = values[index % len(values)] * rng.uniform(0.92, 1.08)
        times.append(times[-1] + rng.uniform(*ramp))
        times.append(times[-1] + rng.uniform(*hold))
        levels += [value, value]
        if times[-1] > seconds:
            break
    return lambda at: np.interp(at, times, levels)


def _draw_requests(
    rng: np.random.Generator,
    seconds: float,
    per_second: float,
    load: Curve,
    prefill_share: Curve,
    kind: str = "stream",
) -> list[tuple]:
    """Draw requests that offer a given load, in busy engines, with a given mix.

    The arrival rate follows the load; the prompt and output lengths follow the mix.
    """
    at = np.arange(0, seconds, SAMPLE_INTERVAL_SECONDS)
    loads, shares = load(at), prefill_share(at)
    counts = rng.poisson(per_second * loads / loads.mean() * SAMPLE_INTERVAL_SECONDS)
    starts = np.repeat(at, counts) + rng.uniform(
        0, SAMPLE_INTERVAL_SECONDS, counts.sum()
    )
    work = loads.mean() / per_second
    prompts = np.repeat(shares * work * RATES.prefill, counts)
    outputs = np.repeat((1 - shares) * work * RATES.decode, counts)
    prompts = np.clip(_draw_lognormal(rng, prompts, 0.5), 20, MAX_PROMPT_TOKENS)
    outputs = np.clip(_draw_lognormal(rng, outputs, 0.5), 4, MAX_OUTPUT_TOKENS)
    workspaces = rng.choice(len(WORKSPACE_WEIGHTS), len(starts), p=WORKSPACE_SHARES)
    kinds = np.where(rng.random(len(starts)) < BOOKING_SHARE, "booking", kind)
    columns = (starts, workspaces, prompts, outputs, kinds)
    requests = list(zip(*(column.tolist() for column in columns), strict=True))
    return sorted(_without_tokens(item) for item in requests)


def _without_tokens(item: tuple) -> tuple:
    at, workspace, _, _, kind = item
    return (at, workspace, 0.0, 0.0, kind) if kind == "booking" else item


def _draw_lognormal(
    rng: np.random.Generator, means: np.ndarray, sigma: float
) -> np.ndarray:
    return means * rng.lognormal(-(sigma**2) / 2, sigma, len(means))


def _build_trace(name: str, site: Site, seed: int, seconds: float, requests, faults=()):
    return Trace(
        name=name,
        seconds=seconds,
        requests=sorted(requests),
        fleet=site.fleet(),
        zones=site.zones,
        faults=list(faults),
        weights=WORKSPACE_WEIGHTS,
        rates=RATES,
        seed=seed,
    )


def _prefill_share_curve(rng: np.random.Generator, seconds: float) -> Curve:
    """Return a prefill share that moves by half or more within two minutes."""
    values = [0.43]
    for _ in range(20):
        low = values[-1] > 0.45
        values.append(rng.uniform(0.15, 0.3) if low else rng.uniform(0.6, 0.75))
    return _piecewise_linear(rng, seconds, values, (300.0, 700.0), (60.0, 120.0))


@traces.register("mix_shift")
def mix_shift(site: Site, seed: int) -> Trace:
    """Shift the ratio of prompt to output tokens within minutes at a steady load."""
    rng = np.random.default_rng(seed)
    seconds, load = 2400.0, 0.62 * site.engines
    requests = _draw_requests(
        rng,
        seconds,
        1.1 * site.engines,
        _constant_curve(load),
        _prefill_share_curve(rng, seconds),
    )
    return _build_trace("mix_shift", site, seed, seconds, requests)


@traces.register("december_peak")
def december_peak(site: Site, seed: int) -> Trace:
    """Rise to 1.7 times the usual load over half an hour, hold it, and fall."""
    rng = np.random.default_rng(seed)
    seconds = 2.5 * 3600.0
    base, peak = 0.35 * site.engines, 0.35 * site.engines * rng.uniform(2.2, 2.8)
    rise = rng.uniform(1200, 1800)
    start, end = rng.uniform(900, 1500), rng.uniform(5400, 6300)
    load = lambda at: np.interp(  # noqa: E731
        at, [0, start, start + rise, end, end + rise], [base, base, peak, peak, base]
    )
    mix = _piecewise_linear(rng, seconds, [0.43, 0.6, 0.35], (1200, 2400), (300, 600))
    requests = _draw_requests(rng, seconds, 1.0 * site.engines, load, mix)
    return _build_trace("december_peak", site, seed, seconds, requests)


@traces.register("zone_eviction")
def zone_eviction(site: Site, seed: int) -> Trace:
    """Evict the cheap upstreams of one zone, and later those of another."""
    rng = np.random.default_rng(seed)
    seconds = 3600.0
    load = _piecewise_linear(rng, seconds, [0.5 * site.engines], (600, 900), (200, 400))
    requests = _draw_requests(
        rng, seconds, 0.9 * site.engines, load, _constant_curve(0.43)
    )
    first, second = rng.choice(len(site.zones), 2, replace=False)
    faults = [
        Fault(rng.uniform(900, 1200), "evict_zone", site.zones[first], 5.0),
        Fault(rng.uniform(2100, 2500), "evict_zone", site.zones[second], 5.0),
    ]
    return _build_trace("zone_eviction", site, seed, seconds, requests, faults)


@traces.register("crash_in_change")
def crash_in_change(site: Site, seed: int) -> Trace:
    """Shift the mix while engines crash, also during role changes."""
    rng = np.random.default_rng(seed)
    seconds, load = 2400.0, 0.55 * site.engines
    requests = _draw_requests(
        rng,
        seconds,
        1.1 * site.engines,
        _constant_curve(load),
        _prefill_share_curve(rng, seconds),
    )
    faults = [Fault(rng.uniform(200, 2200), "crash", seconds=30.0) for _ in range(4)]
    faults += [
        Fault(rng.uniform(300, 700), "crash_changes", seconds=90.0),
        Fault(rng.uniform(1000, 1300), "crash_changes", seconds=90.0),
        Fault(rng.uniform(1500, 1800), "late_orders", seconds=200.0),
    ]
    return _build_trace("crash_in_change", site, seed, seconds, requests, faults)


@traces.register("night_backlog")
def night_backlog(site: Site, seed: int) -> Trace:
    """Submit batch requests all night, slightly faster than the spare capacity."""
    rng = np.random.default_rng(seed)
    seconds = 8 * 3600.0
    online = _draw_requests(
        rng,
        seconds,
        0.15 * site.engines,
        _piecewise_linear(rng, seconds, [0.12 * site.engines], (900, 1800), (300, 600)),
        _piecewise_linear(rng, seconds, [0.4, 0.3, 0.5], (1800, 3600), (300, 900)),
    )
    late = seconds * rng.uniform(0.55, 0.75)
    level = rng.uniform(0.45, 0.65) * site.engines
    batch_load = lambda at: level * np.clip(1.5 - abs(at - late / 2) / late, 0.02, 1.0)  # noqa: E731
    batch = _draw_requests(
        rng, seconds, 0.1 * site.engines, batch_load, _constant_curve(0.6), "batch"
    )
    return _build_trace("night_backlog", site, seed, seconds, online + batch)


def _constant_curve(level: float) -> Curve:
    return lambda at: np.full(len(at), level)


def constant_trace(
    split: RoleCounts, load: float, prefill_share: float, seconds: float
) -> Trace:
    """Return a steady load on fixed roles, to fit the closed form of the served share.

    :param load: busy engines as a share of all engines.
    """
    rng = np.random.default_rng(1)
    engines = split.total
    requests = _draw_requests(
        rng,
        seconds,
        1.1 * engines,
        _constant_curve(load * engines),
        _constant_curve(prefill_share),
    )
    roles = ["prefill"] * split.prefill + ["decode"] * split.decode
    roles += ["both"] * split.both
    site = Site(["zone"], engines, 0)
    trace = _build_trace("constant", site, 1, seconds, requests)
    trace.fleet = site.fleet(roles)
    return trace
