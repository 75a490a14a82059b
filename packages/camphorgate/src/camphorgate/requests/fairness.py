"""Weighted fair queueing of workspaces by the service that they received.

Service is measured in tokens, or in calls for plain services. Prompt tokens weigh less
than output tokens because an engine processes them faster. Each instance orders its
own queue by the service that a workspace received on all instances. The algorithm is
start-time fair queueing (Goyal, Vin and Cheng, 1996) with a bounded credit.
"""

from collections.abc import Iterable, Mapping

import msgspec

# An engine prefills about 33 tokens in the time of decoding one: 20,000 against 600
# tokens per second.
PREFILL_TOKEN_WEIGHT = 0.03
# Service of a plain call, in decode tokens; only ratios within a pool matter.
SERVICE_PER_CALL = 100.0
# Service that a workspace of weight 1 may catch up on after being idle, about 30 long
# reads. The queue of one instance is often briefly empty while the workspace is busy on
# other instances, so a credit of only a few requests would lose its claim.
MAX_CREDIT_SERVICE = 5000.0
# Time in which a lead or a lag in virtual time halves.
DECAY_HALF_LIFE_SECONDS = 60.0
MIN_DECAY_INTERVAL_SECONDS = 1.0
MIN_SERVICE = 1.0


class WorkspaceState(msgspec.Struct):
    """Scheduling state of one workspace: its weight and its open requests.

    ``virtual_time`` is the received service divided by the weight.
    """

    weight: float
    virtual_time: float
    waiting: int = 0
    in_service: int = 0


def weighted_service(
    prefill_tokens: float, decode_tokens: float, calls: int = 0
) -> float:
    """Return the service of requests in weighted tokens, at least ``MIN_SERVICE``.

    :param prefill_tokens: prompt tokens that were not cached.
    :param calls: number of plain service calls.
    """
    tokens = PREFILL_TOKEN_WEIGHT * prefill_tokens + decode_tokens
    return max(MIN_SERVICE, tokens + SERVICE_PER_CALL * calls)


class FairOrder:
    """Orders workspaces by virtual time, which is received service divided by weight.

    The system virtual time is that of the workspace chosen last. A workspace that
    becomes active starts at most a bounded credit behind it, so an idle workspace
    accumulates no more than that, and a workspace that used idle capacity is not
    penalised for it.
    """

    __slots__ = (
        "_states_by_workspace",
        "_deltas_by_workspace",
        "_weights_by_workspace",
        "_system_virtual_time",
        "_decayed_at",
    )

    def __init__(self) -> None:
        """Start without any received service."""
        self._states_by_workspace: dict[str, WorkspaceState] = {}
        self._deltas_by_workspace: dict[str, float] = {}
        self._weights_by_workspace: dict[str, float] = {}
        self._system_virtual_time = 0.0
        self._decayed_at = float("-inf")

    def set_weights(self, weights_by_workspace: Mapping[str, float]) -> None:
        """Apply the weights of a manifest and drop idle workspaces that left it.

        :param weights_by_workspace: positive, relative to each other.
        """
        self._weights_by_workspace = dict(weights_by_workspace)
        for name, state in list(self._states_by_workspace.items()):
            state.weight = self._weight_of(name)
            busy = state.waiting or state.in_service
            if name not in weights_by_workspace and not busy:
                del self._states_by_workspace[name]

    def enter(self, workspace: str) -> None:
        """Count a request that joins the queue."""
        state = self._state_of(workspace)
        state.virtual_time = max(
            state.virtual_time,
            self._system_virtual_time - MAX_CREDIT_SERVICE / state.weight,
        )
        state.waiting += 1

    def leave(self, workspace: str) -> None:
        """Count off a queued request that was refused or abandoned."""
        self._state_of(workspace).waiting -= 1

    def start(self, workspace: str, service: float, now: float) -> None:
        """Move a request from waiting to running and charge its expected service.

        :param service: expected service, from :func:`weighted_service`.
        :param now: monotonic seconds.
        """
        self._decay(now)
        state = self._state_of(workspace)
        state.waiting -= 1
        state.in_service += 1
        self._system_virtual_time = max(self._system_virtual_time, state.virtual_time)
        self._charge(workspace, service)

    def finish(self, workspace: str, correction: float, now: float) -> None:
        """Count the end of a request and correct its charge.

        :param correction: actual minus expected service, may be negative.
        """
        self._decay(now)
        self._state_of(workspace).in_service -= 1
        self._charge(workspace, correction)

    def order(self, workspaces: Iterable[str]) -> list[str]:
        """Return workspaces by ascending virtual time, ties broken by name.

        The caller starts the first request in this order that can start, so no
        capacity stays idle.
        """
        return sorted(
            workspaces, key=lambda name: (self._state_of(name).virtual_time, name)
        )

    def service_deficit(self, workspace: str) -> float:
        """Return the service that a workspace lacks to reach the system virtual time.

        :returns: weighted tokens, negative for a workspace ahead of it.
        """
        state = self._state_of(workspace)
        return (self._system_virtual_time - state.virtual_time) * state.weight

    def weight_of(self, workspace: str) -> float:
        """Return the weight of a workspace, 1 if the manifest names none."""
        return self._weight_of(workspace)

    def take_deltas(self) -> dict[str, float]:
        """Return the service charged here since the last call, to send to the peers."""
        deltas, self._deltas_by_workspace = self._deltas_by_workspace, {}
        return {name: value for name, value in deltas.items() if value}

    def merge_deltas(
        self, deltas_by_workspace: Mapping[str, float], now: float
    ) -> None:
        """Add the service that another instance charged.

        :param deltas_by_workspace: a result of that instance's ``take_deltas``; each
            must be merged exactly once.
        """
        self._decay(now)
        for name, delta in deltas_by_workspace.items():
            state = self._state_of(name)
            state.virtual_time += delta / state.weight

    def snapshot(self) -> dict[str, float]:
        """Return each workspace's lead over the system virtual time, for the dump."""
        return {
            name: round(state.virtual_time - self._system_virtual_time, 1)
            for name, state in sorted(self._states_by_workspace.items())
        }

    def _weight_of(self, workspace: str) -> float:
        return max(self._weights_by_workspace.get(workspace, 1.0), 1e-6)

    def _state_of(self, workspace: str) -> WorkspaceState:
        state = self._states_by_workspace.get(workspace)
        if state is None:
            state = WorkspaceState(
                self._weight_of(workspace), self._system_virtual_time
            )
            self._states_by_workspace[workspace] = state
        return state

    def _charge(self, workspace: str, service: float) -> None:
        state = self._state_of(workspace)
        state.virtual_time += service / state.weight
        delta = self._deltas_by_workspace.get(workspace, 0.0)
        self._deltas_by_workspace[workspace] = delta + service

    def _decay(self, now: float) -> None:
        """Decay every lead and lag, at most once per ``MIN_DECAY_INTERVAL_SECONDS``."""
        elapsed = now - self._decayed_at
        if elapsed < MIN_DECAY_INTERVAL_SECONDS:
            return
        self._decayed_at = now
        factor = 0.5 ** (elapsed / DECAY_HALF_LIFE_SECONDS)
        for state in self._states_by_workspace.values():
            state.virtual_time = (
                self._system_virtual_time
                + (state.virtual_time - self._system_virtual_time) * factor
            )
