"""Carries out changes of role: drain, order, confirm, and repair what went wrong."""

import msgspec

from camphorgate.fleet.roles import RoleChange
from camphorgate.fleet.state import Engine, Rates
from camphorgate.lifecycle import Lifecycle
from camphorgate.manifest import EngineRole

# A stream may last for minutes. A change that waits longer than this for its engine
# to drain is given up, as its forecast no longer holds.
DRAIN_LIMIT_SECONDS = 120.0
# An order without effect after this many durations of a role change is sent again.
LATE_FACTOR = 3.0
# An engine that does not answer for this long is left to health checks.
DOWN_LIMIT_SECONDS = 60.0

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

    ``release`` ends a drain without a change of role.
    """

    engine_id: str
    kind: str  # "drain", "set_role" or "release"
    role: EngineRole | None = None
    repair: bool = False


class _Change:
    """The lifecycle of one engine's change."""

    __slots__ = ("engine_id", "role", "since", "repair", "down_since", "state")

    def __init__(self, change: RoleChange, now: float, repair: bool) -> None:
        self.engine_id = change.engine_id
        self.role = change.role
        self.since = now
        self.repair = repair
        self.down_since: float | None = None
        self.state = LIFECYCLE.initial

    def step(self, trigger: str) -> None:
        """Take a step of the lifecycle."""
        self.state = LIFECYCLE.after(self.state, trigger)


class RoleChanges:
    """Changes under way and the roles that engines ought to have."""

    __slots__ = ("_changes_by_engine", "_wanted_by_engine", "counts")

    def __init__(self) -> None:
        """Start without changes; observed roles are taken as the wanted ones."""
        self._changes_by_engine: dict[str, _Change] = {}
        self._wanted_by_engine: dict[str, EngineRole] = {}
        self.counts = {"started": 0, "done": 0, "given_up": 0, "repaired": 0}

    def targets(self) -> dict[str, EngineRole]:
        """Return the role that each engine under change is to have."""
        return {key: change.role for key, change in self._changes_by_engine.items()}

    def start(self, changes: list[RoleChange], now: float) -> None:
        """Begin changes; an engine that already changes is left alone."""
        for change in changes:
            if change.engine_id not in self._changes_by_engine:
                self._begin(change, now, repair=False)
                self.counts["started"] += 1

    def step(
        self, engines: tuple[Engine, ...], rates: Rates, now: float, most: int
    ) -> list[RoleOrder]:
        """Return the orders to send now.

        :param now: seconds of a clock that never goes back.
        :param most: how many engines may be on the way to another role at once.
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
            order = self._repair(engine, now, most)
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
            self.counts["given_up"] += 1
            # The engine keeps what it has; wanting it again is a new decision.
            self._wanted_by_engine.pop(change.engine_id, None)
        else:
            self.counts["repaired" if change.repair else "done"] += 1

    def _advance(
        self, change: _Change, engine: Engine | None, rates: Rates, now: float
    ) -> RoleOrder | None:
        if engine is None or engine.phase == "leaving" or engine.withdrawn:
            change.step("give_up")
            return None
        if engine.phase == "down":
            return self._wait_for(change, now)
        change.down_since = None
        if engine.open_order:
            return None
        if engine.role == change.role and engine.phase == "serving":
            change.step("confirm")
            return None
        if change.state == "draining":
            return self._drain(change, engine, now)
        late = now - change.since > LATE_FACTOR * rates.role_change_seconds
        if late and engine.phase != "changing":
            # The engine may have taken work since, so it drains again first.
            change.step("restart")
            change.since, change.repair = now, True
            return self._drain(change, engine, now)
        return None

    def _wait_for(self, change: _Change, now: float) -> None:
        if change.down_since is None:
            change.down_since = now
            change.step("restart")
            change.since, change.repair = now, True
        elif now - change.down_since > DOWN_LIMIT_SECONDS:
            change.step("give_up")

    def _drain(self, change: _Change, engine: Engine, now: float) -> RoleOrder | None:
        if engine.phase == "serving":
            return RoleOrder(engine.id, "drain", repair=change.repair)
        if engine.phase == "changing":
            return None
        if engine.running == 0:
            return self._send(change, now, change.repair)
        if now - change.since > DRAIN_LIMIT_SECONDS:
            change.step("give_up")
            return RoleOrder(engine.id, "release")
        return None

    def _send(self, change: _Change, now: float, repair: bool) -> RoleOrder:
        change.step("order")
        change.since = now
        return RoleOrder(change.engine_id, "set_role", change.role, repair)

    def _repair(self, engine: Engine, now: float, most: int) -> RoleOrder | None:
        """Find what differs from the wanted role, or drains for nobody."""
        if engine.id in self._changes_by_engine or engine.open_order:
            return None
        if engine.withdrawn:
            return None
        if engine.phase == "draining":
            return RoleOrder(engine.id, "release", repair=True)
        if engine.phase != "serving":
            return None
        wanted = self._wanted_by_engine.setdefault(engine.id, engine.role)
        if engine.role != wanted and len(self._changes_by_engine) < most:
            self._begin(RoleChange(engine.id, wanted), now, repair=True)
        return None
