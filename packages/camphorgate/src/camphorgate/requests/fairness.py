"""Fair order of workspaces by the service that they received.

Service is measured in tokens, prompt tokens weighted lower than output tokens as an
engine takes them faster, and in calls for plain services. Each instance orders its own
queue by what a workspace received on all instances. The order is start-time fair
queueing (Goyal, Vin and Cheng, 1996) with a bounded credit.
"""

from collections.abc import Iterable, Mapping

import msgspec

# An engine prefills about 33 tokens in the time in which it decodes one (20,000
# against 600 tokens per second).
PREFILL_WEIGHT = 0.03
# Service of a plain call, in decode tokens; only ratios within a pool count.
CALL_SERVICE = 100.0
# Service that a workspace of weight 1 may catch up after it was idle: about 30 long
# reads. The queue of one instance is often empty for a moment although the workspace
# is busy on the others, so a credit of a few requests would forget its claim.
CREDIT_SERVICE = 5000.0
# Time in which an advantage or a debt loses half of its size, in seconds.
HALF_LIFE = 60.0
DECAY_PERIOD_SECONDS = 1.0
MIN_SERVICE = 1.0


class WorkspaceShare(msgspec.Struct):
    """One workspace: its weight, its service over weight and its open requests."""

    weight: float
    virtual: float
    waiting: int = 0
    in_service: int = 0


def service_of(prefill_tokens: float, decode_tokens: float, calls: int = 0) -> float:
    """Return service in weighted tokens, at least a minimum.

    :param prefill_tokens: prompt tokens that were not cached.
    :param calls: plain service calls.
    """
    tokens = PREFILL_WEIGHT * prefill_tokens + decode_tokens
    return max(MIN_SERVICE, tokens + CALL_SERVICE * calls)


class FairOrder:
    """Chooses the workspace to serve next: the one with the least service over weight.

    The floor is the service over weight of the workspace chosen last. One that enters
    starts at most a bounded credit below it, so an idle one saves up nothing more, and
    one that used idle capacity is not punished for it.
    """

    __slots__ = (
        "_shares_by_workspace",
        "_deltas_by_workspace",
        "_weights_by_workspace",
        "_floor",
        "_decayed_at",
    )

    def __init__(self) -> None:
        """Start without any service."""
        self._shares_by_workspace: dict[str, WorkspaceShare] = {}
        self._deltas_by_workspace: dict[str, float] = {}
        self._weights_by_workspace: dict[str, float] = {}
        self._floor = 0.0
        self._decayed_at = float("-inf")

    def set_weights(self, weights_by_workspace: Mapping[str, float]) -> None:
        """Take the shares of a manifest and forget workspaces that are gone and idle.

        :param weights_by_workspace: positive, relative to one another.
        """
        self._weights_by_workspace = dict(weights_by_workspace)
        for name, share in list(self._shares_by_workspace.items()):
            share.weight = self._weight_of(name)
            busy = share.waiting or share.in_service
            if name not in weights_by_workspace and not busy:
                del self._shares_by_workspace[name]

    def enter(self, workspace: str) -> None:
        """Count a waiting request."""
        share = self._share(workspace)
        share.virtual = max(share.virtual, self._floor - CREDIT_SERVICE / share.weight)
        share.waiting += 1

    def leave(self, workspace: str) -> None:
        """Take off a waiting request that was refused or given up."""
        self._share(workspace).waiting -= 1

    def start(self, workspace: str, service: float, now: float) -> None:
        """Charge a waiting request with the service that it is expected to receive.

        :param service: from :func:`service_of`.
        :param now: monotonic seconds.
        """
        self._decay(now)
        share = self._share(workspace)
        share.waiting -= 1
        share.in_service += 1
        self._floor = max(self._floor, share.virtual)
        self._charge(workspace, service)

    def finish(self, workspace: str, correction: float, now: float) -> None:
        """Correct the charge by what the request really received.

        :param correction: actual less expected service, may be negative.
        """
        self._decay(now)
        self._share(workspace).in_service -= 1
        self._charge(workspace, correction)

    def order(self, workspaces: Iterable[str]) -> list[str]:
        """Return workspaces, the one with the least service over weight first.

        The caller starts the first request that can start, so no capacity idles.
        """
        return sorted(workspaces, key=lambda name: (self._share(name).virtual, name))

    def owed(self, workspace: str) -> float:
        """Return the service that a workspace lacks to reach the one chosen last.

        :returns: weighted tokens, negative for a workspace that received more.
        """
        share = self._share(workspace)
        return (self._floor - share.virtual) * share.weight

    def weight_of(self, workspace: str) -> float:
        """Return the weight of a workspace, 1 if the manifest names none."""
        return self._weight_of(workspace)

    def take_deltas(self) -> dict[str, float]:
        """Return the service given here since the last call, for the peers."""
        deltas, self._deltas_by_workspace = self._deltas_by_workspace, {}
        return {name: value for name, value in deltas.items() if value}

    def merge(self, deltas_by_workspace: Mapping[str, float], now: float) -> None:
        """Add the service that another instance gave.

        :param deltas_by_workspace: what its ``take_deltas`` returned, taken in once.
        """
        self._decay(now)
        for name, delta in deltas_by_workspace.items():
            share = self._share(name)
            share.virtual += delta / share.weight

    def snapshot(self) -> dict[str, float]:
        """Return service over weight above the floor by workspace, for the dump."""
        return {
            name: round(share.virtual - self._floor, 1)
            for name, share in sorted(self._shares_by_workspace.items())
        }

    def _weight_of(self, workspace: str) -> float:
        return max(self._weights_by_workspace.get(workspace, 1.0), 1e-6)

    def _share(self, workspace: str) -> WorkspaceShare:
        share = self._shares_by_workspace.get(workspace)
        if share is None:
            share = WorkspaceShare(self._weight_of(workspace), self._floor)
            self._shares_by_workspace[workspace] = share
        return share

    def _charge(self, workspace: str, service: float) -> None:
        share = self._share(workspace)
        share.virtual += service / share.weight
        known = self._deltas_by_workspace.get(workspace, 0.0)
        self._deltas_by_workspace[workspace] = known + service

    def _decay(self, now: float) -> None:
        """Draw every workspace towards the floor, in steps of at least a period."""
        passed = now - self._decayed_at
        if passed < DECAY_PERIOD_SECONDS:
            return
        self._decayed_at = now
        factor = 0.5 ** (passed / HALF_LIFE)
        for share in self._shares_by_workspace.values():
            share.virtual = self._floor + (share.virtual - self._floor) * factor
