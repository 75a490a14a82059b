"""Derives the planners' parameters from the objective in the manifest.

Deployments differ only in their weights; planners have no deployment-specific code.
"""

import msgspec

from camphorgate.manifest import Objective, Pool


class PlannerParameters(msgspec.Struct, frozen=True):
    """Parameters of the planners; times are in seconds, shares from 0 to 1."""

    role_policy: str = "forecast_gain"
    capacity_policy: str = "forecast_reserve"
    # Roles.
    horizon_seconds: float = 240.0
    gain_deviations: float = 1.0
    gain_margin: float = 1.5
    max_changing_share: float = 0.25
    min_both_share: float = 0.25
    # Capacity.
    target_share: float = 0.95
    demand_deviations: float = 1.0
    reserve_share: float = 0.9
    hold_seconds: float = 300.0
    clear_seconds: float = 1800.0
    cheap_share_factor: float = 1.0
    minimum: int = 1
    maximum: int = 16
    cheap_share: float = 0.0
    provisioning_seconds: float = 180.0


# Each pair holds the value if only service quality counts, then if only cost counts.
# Target share of requests served in time.
_TARGET_SHARE = (0.985, 0.9)
_DEMAND_DEVIATIONS = (0.7, 0.4)
_HOLD_SECONDS = (300.0, 150.0)
# Share of requests still served in time if any one zone loses its cheap upstreams.
_RESERVE_SHARE = (0.95, 0.75)


def planner_parameters_for(objective: Objective, pool: Pool) -> PlannerParameters:
    """Return the parameters for one pool.

    :param objective: weights from the manifest; only their ratios matter.
    """
    service = objective.goodput + objective.worst_workspace
    total = service + objective.cost + objective.cheap_capacity
    cost_weight = objective.cost / (service + objective.cost) if total else 0.5
    saving_weight = objective.cost + objective.cheap_capacity
    fairness_weight = objective.worst_workspace / total if total else 0.25
    capacity = pool.capacity
    return PlannerParameters(
        target_share=_interpolate(_TARGET_SHARE, cost_weight),
        demand_deviations=_interpolate(_DEMAND_DEVIATIONS, cost_weight),
        hold_seconds=_interpolate(_HOLD_SECONDS, cost_weight),
        # Without a reserve, workspaces with few requests are affected first.
        reserve_share=_interpolate(_RESERVE_SHARE, cost_weight * (1 - fairness_weight)),
        cheap_share_factor=min(1.0, 2 * saving_weight / total) if total else 0.5,
        minimum=capacity.minimum,
        maximum=capacity.maximum,
        cheap_share=capacity.cheap_share,
        provisioning_seconds=capacity.provisioning_seconds,
    )


def _interpolate(bounds: tuple[float, float], position: float) -> float:
    first, last = bounds
    return first + (last - first) * min(1.0, max(0.0, position))
