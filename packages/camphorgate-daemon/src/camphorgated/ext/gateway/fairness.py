"""Service given to each workspace, which decides whose turn it is."""

DECODE_TOKEN_WEIGHT = 4.0
# One call of a plain service counts like this many prefill tokens.
CALL_SERVICE = 100.0


class ServiceLedger:
    """Weighted service per workspace; provided as the service ``fairness``."""

    __slots__ = ("service_by_workspace", "_deltas_by_workspace", "_floor")

    def __init__(self) -> None:
        """Start with nothing given."""
        self.service_by_workspace: dict[str, float] = {}
        self._deltas_by_workspace: dict[str, float] = {}
        self._floor = 0.0

    def add(self, workspace: str, service: float, weight: float) -> None:
        """Count service that this process gave.

        :param service: in weighted tokens.
        """
        self._add(workspace, service / weight)
        deltas = self._deltas_by_workspace
        deltas[workspace] = deltas.get(workspace, 0.0) + service / weight

    def lift(self, workspace: str) -> None:
        """Raise a workspace that was idle to those in service, so that it cannot
        claim the time in which it asked for nothing.
        """
        if self.service_by_workspace.get(workspace, 0.0) < self._floor:
            self.service_by_workspace[workspace] = self._floor

    def served(self, workspace: str) -> float:
        """Return the service of a workspace over its weight."""
        return self.service_by_workspace.get(workspace, 0.0)

    def note_turn(self, workspace: str) -> None:
        """Note whose turn it was; the least served one sets the floor."""
        self._floor = max(self._floor, self.served(workspace))

    def take_deltas(self) -> dict[str, float]:
        """Return what was given since the last call, per workspace."""
        deltas, self._deltas_by_workspace = self._deltas_by_workspace, {}
        return deltas

    def merge(self, instance_id: str, deltas: dict[str, float]) -> None:
        """Add what another instance gave."""
        for workspace, service in deltas.items():
            self._add(workspace, service)

    def _add(self, workspace: str, service: float) -> None:
        known = self.service_by_workspace
        known[workspace] = known.get(workspace, 0.0) + service
