"""Carries out role changes: drains engines, orders roles, repairs failed changes."""

import msgspec

from camphorgate.fleet.pool_state import Engine, EngineRates
from camphorgate.fleet.roles import RoleChange
from camphorgate.lifecycle import Lifecycle
from camphorgate.manifest import EngineRole

# A stream may last for minutes. A change whose engine has not drained after this time
# is given up, because the forecast behind it is out of date.
MAX_DRAIN_SECONDS = 120.0
# An order that has had no effect is repeated after this multiple of the duration of a
# role change.
ORDER_TIMEOUT_FACTOR = 3.0
# The change of an engine that is down for longer than this is given up; recovery is
# left to the health checks.
MAX_DOWN_SECONDS = 60.0

LIFECYCLE = Lifecycle(
    "change of role",
    ("draining", "ordered", "done", "given_up"),
    (
        ("order", "draining", "ordered"),
        ("restart", "draining", "draining"),
        ("restart", "ordered", "draining"),
        ("confirm", "draining", "done"),
        ("confirm", "ordered", "done"),
        ("give_up", "draining", "given_up"),
        ("give_up", "ordered", "given_up"),
    ),
)


class RoleOrder(msgspec.Struct, frozen=True):
    """An order to one engine.

    ``release`` ends a drain without changing the role. ``repair`` marks orders that
    correct an earlier failure.
    """

    engine_id: str
    kind: str  # "drain", "set_role" or "release"
    role: EngineRole | None = None
    repair: bool = False


class _Change:
    """State of one engine's role change."""

    __slots__ = (
        "engine_id",
        "role",
        "stage_started_at",
        "repair",
        "down_since",
        "state",
    )

    def __init__(self, change: RoleChange, now: float, repair: bool) -> None:
        self.engine_id = change.engine_id
        self.role = change.role
        self.stage_started_at = now
        self.repair = repair
        self.down_since: float | None = None
        self.state = LIFECYCLE.initial

    def transition(self, trigger: str) -> None:
        """Apply a trigger of the lifecycle."""
        self.state = LIFECYCLE.next_state(self.state, trigger)


class RoleChanges:
    """Tracks role changes in progress and the role that each engine should have."""

    __slots__ = ("_changes_by_engine", "_wanted_by_engine", "counts_by_outcome")

    def __init__(self) -> None:
        """Start without changes; the first observed role becomes the wanted one."""
        self._changes_by_engine: dict[str, _Change] = {}
        self._wanted_by_engine: dict[str, EngineRole] = {}
        self.counts_by_outcome = {"started": 0, "done": 0, "given_up": 0, "repaired": 0}

    def targets(self) -> dict[str, EngineRole]:
        """Return the target role of each engine whose role is being changed."""
        return {key: change.role for key, change in self._changes_by_engine.items()}

    def start(self, changes: list[RoleChange], now: float) -> None:
        """Start changes, except for engines that already have one in progress."""
        for change in changes:
            if change.engine_id not in self._changes_by_engine:
                self._begin(change, now, repair=False)
                self.counts_by_outcome["started"] += 1

    def advance(
        self,
        engines: tuple[Engine, ...],
        rates: EngineRates,
        now: float,
        max_changing: int,
    ) -> list[RoleOrder]:
        """Advance all changes and return the orders to send now.

        :param now: seconds of a monotonic clock.
        :param max_changing: how many engines may change their role at the same time.
        """
        orders: list[RoleOrder] = []
        engines_by_id = {engine.id: engine for engine in engines}
        for engine_id in list(self._changes_by_engine):
            change = self._changes_by_engine[engine_id]
            order = self._advance(change, engines_by_id.get(engine_id), rates, now)
            if order:
                orders.append(order)
            if change.state in ("done", "given_up"):
                self._end(change)
        for engine in engines:
            order = self._reconcile(engine, now, max_changing)
            if order:
                orders.append(order)
        return orders

    def _begin(self, change: RoleChange, now: float, repair: bool) -> None:
        entry = _Change(change, now, repair)
        self._changes_by_engine[change.engine_id] = entry
        self._wanted_by_engine[change.engine_id] = change.role

    def _end(self, change: _Change) -> None:
        del self._changes_by_engine[change.engine_id]
        if change.state == "given_up":
            self.counts_by_outcome["given_up"] += 1
            # The engine keeps its current role until the planner decides anew.
            self._wanted_by_engine.pop(change.engine_id, None)
        else:
            self.counts_by_outcome["repaired" if change.repair else "done"] += 1

    def _advance(
        self, change: _Change, engine: Engine | None, rates: EngineRates, now: float
    ) -> RoleOrder | None:
        if engine is None or engine.phase == "leaving" or engine.withdrawn:
            change.transition("give_up")
            return None
        if engine.phase == "down":
            return self._handle_down(change, now)
        change.down_since = None
        if engine.has_open_order:
            return None
        if engine.role == change.role and engine.phase == "serving":
            change.transition("confirm")
            return None
        if change.state == "draining":
            return self._continue_drain(change, engine, now)
        overdue = (
            now - change.stage_started_at
            > ORDER_TIMEOUT_FACTOR * rates.role_change_seconds
        )
        if overdue and engine.phase != "changing":
            # The engine may have accepted requests since, so it is drained again first.
            change.transition("restart")
            change.stage_started_at, change.repair = now, True
            return self._continue_drain(change, engine, now)
        return None

    def _handle_down(self, change: _Change, now: float) -> None:
        if change.down_since is None:
            change.down_since = now
            change.transition("restart")
            change.stage_started_at, change.repair = now, True
        elif now - change.down_since > MAX_DOWN_SECONDS:
            change.transition("give_up")

    def _continue_drain(
        self, change: _Change, engine: Engine, now: float
    ) -> RoleOrder | None:
        if engine.phase == "serving":
            return RoleOrder(engine.id, "drain", repair=change.repair)
        if engine.phase == "changing":
            return None
        if engine.requests_in_flight == 0:
            return self._order_role(change, now, change.repair)
        if now - change.stage_started_at > MAX_DRAIN_SECONDS:
            change.transition("give_up")
            return RoleOrder(engine.id, "release")
        return None

    def _order_role(self, change: _Change, now: float, repair: bool) -> RoleOrder:
        change.transition("order")
        change.stage_started_at = now
        return RoleOrder(change.engine_id, "set_role", change.role, repair)

    def _reconcile(
        self, engine: Engine, now: float, max_changing: int
    ) -> RoleOrder | None:
        """Restore the wanted role, and release drains that belong to no change."""
        if engine.id in self._changes_by_engine or engine.has_open_order:
            return None
        if engine.withdrawn:
            return None
        if engine.phase == "draining":
            return RoleOrder(engine.id, "release", repair=True)
        if engine.phase != "serving":
            return None
        wanted = self._wanted_by_engine.setdefault(engine.id, engine.role)
        if engine.role != wanted and len(self._changes_by_engine) < max_changing:
            self._begin(RoleChange(engine.id, wanted), now, repair=True)
        return None
