"""The declared objective turned into the planners' parameters.

Deployments differ by their weights only; no planner asks which deployment it serves.
"""

import msgspec

from camphorgate.manifest import Objective, Pool


class PlannerParameters(msgspec.Struct, frozen=True):
    """What the planners weigh; times in seconds, shares from 0 to 1."""

    role_policy: str = "forecast_gain"
    capacity_policy: str = "forecast_reserve"
    # Roles.
    horizon_seconds: float = 240.0
    gain_deviations: float = 1.0
    gain_margin: float = 1.5
    changing_share: float = 0.25
    both_share: float = 0.25
    # Capacity.
    target_share: float = 0.95
    demand_deviations: float = 1.0
    reserve_share: float = 0.9
    hold_seconds: float = 300.0
    clear_seconds: float = 1800.0
    cheap_use: float = 1.0
    minimum: int = 1
    maximum: int = 16
    cheap_share: float = 0.0
    provisioning_seconds: float = 180.0


# Each pair: the figure if only the service counts, then if only cost counts.
# Share of requests served in time for which capacity is ordered.
_TARGET_SHARE = (0.985, 0.9)
_DEMAND_DEVIATIONS = (0.7, 0.4)
_HOLD_SECONDS = (300.0, 150.0)
# Share still served in time after any one zone's cheap upstreams vanish.
_RESERVE_SHARE = (0.95, 0.75)


def parameters_of(objective: Objective, pool: Pool) -> PlannerParameters:
    """Return the parameters for one pool.

    :param objective: the manifest's weights; only their ratios count.
    """
    service = objective.goodput + objective.worst_workspace
    total = service + objective.cost + objective.cheap_capacity
    thrift = objective.cost / (service + objective.cost) if total else 0.5
    saving = objective.cost + objective.cheap_capacity
    worst = objective.worst_workspace / total if total else 0.25
    capacity = pool.capacity
    return PlannerParameters(
        target_share=_between(_TARGET_SHARE, thrift),
        demand_deviations=_between(_DEMAND_DEVIATIONS, thrift),
        hold_seconds=_between(_HOLD_SECONDS, thrift),
        # A workspace with few requests suffers first when the reserve is missing.
        reserve_share=_between(_RESERVE_SHARE, thrift * (1 - worst)),
        cheap_use=min(1.0, 2 * saving / total) if total else 0.5,
        minimum=capacity.minimum,
        maximum=capacity.maximum,
        cheap_share=capacity.cheap_share,
        provisioning_seconds=capacity.provisioning_seconds,
    )


def _between(bounds: tuple[float, float], position: float) -> float:
    first, last = bounds
    return first + (last - first) * min(1.0, max(0.0, position))
