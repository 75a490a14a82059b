"""Order of requests that wait for the same capacity, and what refused ones are told.

Load addressed: more requests than upstreams can serve for 3 to 14 s, of several ranks,
of about 90 workspaces of which a few are large, and of sizes that differ by a factor of
20. Whatever waits longer than its target allows is lost, so the order ranks by what is
lost per unit of upstream time, under bounds that keep any kind of request from never
being served.
"""

import math
from collections.abc import Iterable

import msgspec

# Time over which a workspace's use of the upstreams is remembered, in seconds. A burst
# lasts 3 to 14 s.
USE_DECAY_SECONDS = 3.0
# A workspace is above its share if it used this many times the mean of the workspaces
# that wait. Below that, use differs by chance.
SHARE_TOLERANCE = 1.5
# Weight of the time that is left to a request: one that has just arrived is worth
# exp(-this) of one that has to start now.
URGENCY = 1.5
# Of the requests, this share goes before the smaller ones if it is large. Otherwise the
# largest would never start during overload: each one that comes is behind all others,
# and is refused as soon as the queue is longer than it may wait.
SIZE_BLIND_SHARE = 0.25
# A request is large if it costs more than this many times the mean of those that wait.
LARGE_FACTOR = 1.2
# Steps of the golden ratio spread these requests evenly over any run of requests.
GOLDEN_RATIO = 0.6180339887
# Cost assumed for a request without one.
MIN_COST = 1e-3
# Part of the capacity that is offered to callers that return; the rest is for those
# that come for the first time.
RETURN_SHARE = 0.5
# Longest and shortest time after which refused callers return, in seconds.
MAX_RETURN_SECONDS = 5.0
MIN_RETURN_SECONDS = 0.02


class WaitingRequest(msgspec.Struct, eq=False):
    """A request that waits.

    ``cost`` is the upstream time that it needs, in any unit that all requests of a
    queue share. ``latest_start`` is the time after which it misses its target.
    ``size_blind`` requests go before smaller ones if they are large.
    """

    rank: int
    arrived_at: float
    cost: float
    workspace: str = ""
    latest_start: float = math.inf
    size_blind: bool = False

    def used_time(self, now: float) -> float:
        """Return the part of the allowed waiting time that has passed, 0 to 1."""
        allowed = self.latest_start - self.arrived_at
        if allowed <= 0.0:
            return 1.0
        if allowed == math.inf:
            return 0.0
        return min(1.0, max(0.0, (now - self.arrived_at) / allowed))

    def loss_per_cost(self, now: float, mean_cost: float) -> float:
        """Return what is lost per unit of upstream time if it has to wait on.

        :param mean_cost: the mean cost of those that wait.
        """
        urgency = math.exp(URGENCY * (self.used_time(now) - 1.0))
        first = self.size_blind and self.cost > LARGE_FACTOR * mean_cost
        return urgency / (MIN_COST if first else max(MIN_COST, self.cost))


class WorkspaceUse:
    """Recent use of the upstreams by each workspace, decaying over time."""

    __slots__ = ("_use_by_workspace",)

    def __init__(self) -> None:
        """Initialize without use."""
        self._use_by_workspace: dict[str, tuple[float, float]] = {}

    def record(self, workspace: str, cost: float, now: float) -> None:
        """Record a request that starts."""
        use = self.use(workspace, now) + cost
        self._use_by_workspace.pop(workspace, None)
        self._use_by_workspace[workspace] = (use, now)
        self._drop_old(now)

    def use(self, workspace: str, now: float) -> float:
        """Return the recent use of a workspace."""
        use, at = self._use_by_workspace.get(workspace, (0.0, now))
        return use * math.exp((at - now) / USE_DECAY_SECONDS)

    def above_share(self, workspaces: Iterable[str], now: float) -> set[str]:
        """Return the workspaces that used more than their share.

        :param workspaces: those that compete now; the others leave their share to them.
        """
        use_by_workspace = {name: self.use(name, now) for name in workspaces}
        if len(use_by_workspace) < 2:
            return set()
        mean = sum(use_by_workspace.values()) / len(use_by_workspace)
        most = mean * SHARE_TOLERANCE
        return {name for name, use in use_by_workspace.items() if use > most}

    def _drop_old(self, now: float) -> None:
        """Drop workspaces without recent use; they are ordered by the last one."""
        while True:
            workspace = next(iter(self._use_by_workspace))
            _, at = self._use_by_workspace[workspace]
            if now - at < 8 * USE_DECAY_SECONDS:
                return
            del self._use_by_workspace[workspace]


class RequestOrder:
    """Orders waiting requests.

    The order is by rank, then requests that can still meet their target before those
    that cannot, then workspaces within their share before those above it, then by what
    is lost per unit of upstream time. A share of the large ones goes before the others.
    """

    __slots__ = ("use", "_by_loss", "_admitted")

    def __init__(self, by_loss: bool = True) -> None:
        """Initialize without requests.

        :param by_loss: false to order by rank and arrival alone.
        """
        self.use = WorkspaceUse()
        self._by_loss = by_loss
        self._admitted = 0

    def admit(self, request: WaitingRequest) -> None:
        """Decide how a request that begins to wait is ordered."""
        self._admitted += 1
        draw = self._admitted * GOLDEN_RATIO % 1.0
        request.size_blind = draw < SIZE_BLIND_SHARE

    def sort(
        self, waiting: Iterable[WaitingRequest], now: float
    ) -> list[WaitingRequest]:
        """Return the requests in the order in which they should start."""
        requests = list(waiting)
        if not self._by_loss:
            return sorted(requests, key=lambda item: (item.rank, item.arrived_at))
        above = self.use.above_share({item.workspace for item in requests}, now)
        mean = sum(item.cost for item in requests) / max(1, len(requests))

        def key(item: WaitingRequest) -> tuple:
            return (
                item.rank,
                now > item.latest_start,
                item.workspace in above,
                -item.loss_per_cost(now, mean),
                item.arrived_at,
            )

        return sorted(requests, key=key)

    def record_start(self, request: WaitingRequest, now: float) -> None:
        """Record a request that starts."""
        self.use.record(request.workspace, request.cost, now)


def find_unreachable(
    ordered: Iterable[WaitingRequest],
    now: float,
    first_seconds: float,
    seconds_per_cost: float,
) -> list[WaitingRequest]:
    """Return the requests that cannot start within their time.

    Those returned take no time from the requests behind them.

    :param ordered: the requests in the order in which they start.
    :param first_seconds: time until the first of them can start.
    :param seconds_per_cost: time that a unit of cost takes all upstreams together.
    """
    unreachable = []
    start = now + first_seconds
    for item in ordered:
        if start > item.latest_start:
            unreachable.append(item)
        else:
            start += item.cost * seconds_per_cost
    return unreachable


class ReturnTimes:
    """Times at which refused callers return: one by one, the more urgent ranks first.

    The times are as far apart as capacity for returning callers becomes free. A caller
    is told to return after all refused callers of its rank and of more urgent ranks.
    """

    __slots__ = ("_last_by_rank",)

    def __init__(self) -> None:
        """Initialize without refused callers."""
        self._last_by_rank: dict[int, float] = {}

    def choose_seconds(
        self, rank: int, now: float, first_seconds: float, seconds_per_request: float
    ) -> float:
        """Return the seconds after which a refused caller should return.

        :param first_seconds: time until all that wait now have started.
        :param seconds_per_request: time between two starts at full load.
        """
        last = max(
            (at for other, at in self._last_by_rank.items() if other <= rank),
            default=0.0,
        )
        step = seconds_per_request / RETURN_SHARE
        at = max(now + first_seconds, last) + step
        at = min(now + MAX_RETURN_SECONDS, max(now + MIN_RETURN_SECONDS, at))
        self._last_by_rank[rank] = at
        return at - now
