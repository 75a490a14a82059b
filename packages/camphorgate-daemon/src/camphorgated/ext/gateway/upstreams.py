"""Table of the upstreams that this process knows: addresses, health, load."""

import asyncio
import random
from collections.abc import Iterable
from typing import Any
from urllib.parse import ParseResult

from camphorgate.log import log_event
from camphorgate.manifest import ManifestIndex, Pool, Upstream
from camphorgate.requests.health import MAX_CONSECUTIVE_FAILURES, HealthTracker
from camphorgate.requests.request_state import (
    Dispatch,
    LoadReport,
    RoutingRequest,
    UpstreamState,
)
from camphorgate.requests.routing import (
    POLICIES,
    Choice,
    Policy,
    is_eligible,
    select_subset,
)
from camphorgated.ext.gateway.connection_pool import parse_address
from camphorgated.ext.gateway.errors import UpstreamFault, UpstreamRefused
from camphorgated.ext.gateway.load import parse_load_header

# Above this many instances each one uses a subset of the upstreams.
SUBSET_ABOVE_INSTANCES = 16
SUBSET_SIZE_OWN_ZONE = 8
# Enough to find capacity elsewhere; if two fail at once, the other zones remain.
SUBSET_SIZE_PER_OTHER_ZONE = 1


class UpstreamEntry:
    """One upstream with its address and its polling task."""

    __slots__ = (
        "view",
        "address",
        "url",
        "kind",
        "task",
        "leaving_causes",
        "declared_role",
    )

    def __init__(self, view: UpstreamState, address: str, kind: str) -> None:
        """Start healthy and without a report.

        :param kind: of the pool, ``engines`` or ``service``.
        """
        self.view = view
        self.kind = kind
        self.declared_role = ""
        self.address = address
        self.url: ParseResult = parse_address(address)
        self.task: asyncio.Task | None = None
        self.leaving_causes: set[str] = set()


class UpstreamTable:
    """Upstreams by id and by pool; provided as the service ``upstreams``."""

    __slots__ = (
        "entries_by_id",
        "on_capacity",
        "_gateway",
        "_views_by_pool",
        "_policies_by_pool",
        "_kinds_by_pool",
        "_boards_by_pool",
        "_probe_models_by_pool",
        "_random",
        "polled_count",
    )

    def __init__(self, gateway: Any) -> None:
        """Start without upstreams.

        :param gateway: the :class:`camphorgated.ext.gateway.gateway.Gateway`.
        """
        self.entries_by_id: dict[str, UpstreamEntry] = {}
        self.on_capacity = lambda pool: None
        self._gateway = gateway
        self._views_by_pool: dict[str, list[UpstreamState]] = {}
        self._policies_by_pool: dict[str, tuple[str, Policy]] = {}
        self._kinds_by_pool: dict[str, str] = {}
        self._boards_by_pool: dict[str, HealthTracker] = {}
        self._probe_models_by_pool: dict[str, str] = {}
        self._random = random.Random(gateway.settings.seed or None)
        # Number of polled upstreams, which determines the interval between polls.
        self.polled_count = 0

    def views(self, pool: str) -> list[UpstreamState]:
        """Return the upstreams of a pool that this process uses."""
        return self._views_by_pool.get(pool, [])

    def begin_dispatch(self, view: UpstreamState, request: RoutingRequest) -> Dispatch:
        """Count a dispatch to an upstream."""
        return view.begin_dispatch(request, self._gateway.now())

    def end_dispatch(self, view: UpstreamState, dispatch: Dispatch) -> None:
        """Count the end of a dispatch and offer its slot to a queued request."""
        view.end_dispatch(dispatch)
        self.on_capacity(view.pool)

    def mark_leaving(self, upstream_id: str, cause: str = "order") -> None:
        """Stop sending work to an upstream.

        :param cause: source of the notice: ``order``, ``notice``, ``manifest`` or
            ``platform``.
        """
        entry = self.entries_by_id.get(upstream_id)
        if entry is not None:
            self._set_leaving(entry, cause, True)

    def kind(self, pool: str) -> str:
        """Return the kind of a pool, ``engines`` or ``service``."""
        return self._kinds_by_pool.get(pool, "service")

    def mark_returned(self, upstream_id: str, cause: str = "order") -> None:
        """Send work to an upstream again unless another cause remains.

        :param cause: the cause that has ended.
        """
        entry = self.entries_by_id.get(upstream_id)
        if entry is not None:
            self._set_leaving(entry, cause, False)

    def choose(
        self, request: RoutingRequest, excluded: Iterable[str] = ()
    ) -> Choice | None:
        """Return the upstream for a request, ``None`` if none has capacity.

        :param excluded: ids of upstreams that failed this request already.
        """
        candidates = self.views(request.pool)
        if excluded:
            candidates = [view for view in candidates if view.id not in excluded]
        if not request.model:
            candidates = [view for view in candidates if _has_free_slot(view)]
        policy = self._policies_by_pool.get(request.pool)
        if policy is None or not candidates:
            return None
        return policy[1].choose(candidates, request, self._gateway.now())

    def can_serve(self, request: RoutingRequest, excluded: Iterable[str] = ()) -> bool:
        """Return whether any upstream is able to serve a request, busy or not."""
        return any(
            view.id not in excluded and is_eligible(view, request)
            for view in self.views(request.pool)
        )

    def may_recover(self, pool: str) -> bool:
        """Return whether a suspected upstream of a pool may recover soon."""
        return any(
            view.health != "healthy" and not view.leaving for view in self.views(pool)
        )

    def record_load(self, entry: UpstreamEntry, report: LoadReport | None) -> None:
        """Store a load report; an eviction notice takes effect at once."""
        if report is None:
            return
        entry.view.store_report(report)
        if not self._board(entry).is_report_consistent(entry.view, self._gateway.now()):
            entry.view.report = None
        if report.slots:
            entry.view.slots = report.slots
        self._set_leaving(entry, "notice", report.leaving_seconds is not None)

    def record_response_load(self, entry: UpstreamEntry, load: bytes | None) -> None:
        """Store the load report that came with a response."""
        if load is not None:
            self.record_load(entry, parse_load_header(load, self._gateway.now()))

    def record_success(self, entry: UpstreamEntry, ratio: float = 1.0) -> None:
        """Record a complete response.

        :param ratio: its measured time divided by its expected time.
        """
        board = self._board(entry)
        board.record_success(entry.view.id, ratio, self._gateway.now())
        self._update_health(entry, "slow answers")

    def record_failure(self, entry: UpstreamEntry, fault: UpstreamFault) -> None:
        """Record a failed request or poll."""
        board = self._board(entry)
        # A refused connection is sufficient evidence.
        refused = isinstance(fault, UpstreamRefused) and not fault.sent
        for _ in range(MAX_CONSECUTIVE_FAILURES if refused else 1):
            board.record_failure(entry.view.id, self._gateway.now())
        self._update_health(entry, fault.code)

    def start_probe_if_due(self, entry: UpstreamEntry) -> bool:
        """Start a due probe of a suspected upstream; tell whether one was due."""
        due = self._board(entry).start_probe_if_due(entry.view.id, self._gateway.now())
        self._update_health(entry, "probe")
        return due

    def record_probe(self, entry: UpstreamEntry, answered: bool) -> None:
        """Record the result of a probe."""
        board = self._board(entry)
        board.record_probe(entry.view.id, answered, self._gateway.now())
        self._update_health(entry, "probe")
        if answered:
            self.on_capacity(entry.view.pool)

    def model_for_probe(self, entry: UpstreamEntry) -> str:
        """Return a model that an engine can be probed with, empty for services."""
        return self._probe_models_by_pool.get(entry.view.pool, "")

    def rebuild(self, index: ManifestIndex, platform_list: Iterable[Any] = ()) -> None:
        """Update the table from a manifest and the platform's list.

        :param platform_list: entries with id, address, pool, zone, kind and state.
        """
        seen = set()
        self._probe_models_by_pool = {
            model.pool: model.name for model in index.manifest.models
        }
        for pool in index.manifest.pools:
            self._set_policy(pool)
            self._kinds_by_pool[pool.name] = pool.kind
            for upstream in pool.upstreams:
                seen.add(upstream.id)
                self._upsert(pool, upstream)
        for listed in platform_list:
            pool = index.pools_by_name.get(_field(listed, "pool"))
            if pool is not None and self._upsert_listed(pool, listed, seen):
                seen.add(_field(listed, "id"))
        for upstream_id in set(self.entries_by_id) - seen:
            self._remove(upstream_id)
        self._select_upstreams()
        self._gateway.app.emit("upstreams-changed")

    def dump(self) -> list[dict]:
        """Return the state of every upstream."""
        now = self._gateway.now()
        return [
            {
                "id": entry.view.id,
                "pool": entry.view.pool,
                "zone": entry.view.zone,
                "kind": entry.view.kind,
                "role": entry.view.role,
                "health": entry.view.health,
                "leaving": entry.view.leaving,
                "in_flight": entry.view.own_requests,
                "slots": entry.view.slots,
                "report_age_seconds": _round_finite(entry.view.report_age(now)),
            }
            for entry in self.entries_by_id.values()
        ]

    def _upsert(self, pool: Pool, upstream: Upstream) -> None:
        entry = self.entries_by_id.get(upstream.id)
        if entry is not None and (
            entry.address != upstream.address or entry.view.pool != pool.name
        ):
            self._remove(upstream.id)
            entry = None
        if entry is None:
            view = UpstreamState(id=upstream.id, pool=pool.name)
            view.slots = upstream.slots
            entry = UpstreamEntry(view, upstream.address, pool.kind)
            self.entries_by_id[upstream.id] = entry
        view = entry.view
        cheap = upstream.kind == "cheap"
        view.zone = upstream.availability_zone
        view.kind = upstream.kind
        if entry.declared_role != upstream.role:
            # Between manifest changes the role is the one that the engine reports.
            entry.declared_role = view.role = upstream.role
        capacity = pool.capacity
        view.cost = capacity.cheap_cost if cheap else capacity.ordinary_cost
        view.prefill_tokens_per_second = pool.prefill_tokens_per_second
        view.decode_tokens_per_second = pool.decode_tokens_per_second
        self._set_leaving(entry, "manifest", upstream.leaving)

    def _set_leaving(self, entry: UpstreamEntry, cause: str, leaving: bool) -> None:
        causes = entry.leaving_causes
        if leaving == (cause in causes):
            return
        causes.symmetric_difference_update({cause})
        if entry.view.leaving != bool(causes):
            entry.view.leaving = bool(causes)
            name = "upstream_leaving" if causes else "upstream_returned"
            log_event(name, upstream=entry.view.id, cause=cause)
            self._gateway.app.emit("upstreams-changed")

    def _upsert_listed(self, pool: Pool, listed: Any, seen: set[str]) -> bool:
        """Add or update an entry of the platform's list.

        :returns: whether the upstream stays known.
        """
        upstream_id, state = _field(listed, "id"), _field(listed, "state")
        if upstream_id not in seen:
            if state == "gone":
                return False
            upstream = Upstream(
                id=upstream_id,
                address=_field(listed, "address"),
                availability_zone=_field(listed, "zone"),
                kind=_field(listed, "kind") or "ordinary",
            )
            self._upsert(pool, upstream)
        entry = self.entries_by_id[upstream_id]
        self._set_leaving(entry, "platform", state != "live")
        return True

    def _set_policy(self, pool: Pool) -> None:
        current = self._policies_by_pool.get(pool.name)
        if current is not None and current[0] == pool.routing:
            return
        name = pool.routing if pool.routing in POLICIES else "expected_latency"
        policy = POLICIES.get(name)(self._gateway.settings.instance_id)
        self._policies_by_pool[pool.name] = (pool.routing, policy)

    def _select_upstreams(self) -> None:
        views_by_pool: dict[str, list[UpstreamState]] = {}
        for entry in self.entries_by_id.values():
            views_by_pool.setdefault(entry.view.pool, []).append(entry.view)
        if self._gateway.instances > SUBSET_ABOVE_INSTANCES:
            settings = self._gateway.settings
            views_by_pool = {
                pool: select_subset(
                    views,
                    settings.instance_id,
                    SUBSET_SIZE_OWN_ZONE,
                    settings.availability_zone,
                    SUBSET_SIZE_PER_OTHER_ZONE,
                )
                for pool, views in views_by_pool.items()
            }
        self._views_by_pool = views_by_pool
        self._poll_selected()

    def _poll_selected(self) -> None:
        """Poll only the upstreams in use; at the target size there are thousands."""
        selected = {view.id for views in self._views_by_pool.values() for view in views}
        self.polled_count = len(selected)
        for upstream_id, entry in self.entries_by_id.items():
            if upstream_id in selected and entry.task is None:
                entry.task = self._gateway.start_polling(entry)
            elif upstream_id not in selected and entry.task is not None:
                entry.task.cancel()
                entry.task = None

    def _remove(self, upstream_id: str) -> None:
        entry = self.entries_by_id.pop(upstream_id)
        entry.view.leaving = True
        self._board(entry).forget(upstream_id)
        if entry.task is not None:
            entry.task.cancel()

    def _board(self, entry: UpstreamEntry) -> HealthTracker:
        board = self._boards_by_pool.get(entry.view.pool)
        if board is None:
            board = HealthTracker(self._random)
            self._boards_by_pool[entry.view.pool] = board
        return board

    def _update_health(self, entry: UpstreamEntry, cause: str) -> None:
        before = entry.view.health
        self._board(entry).apply(entry.view)
        if entry.view.health != before:
            log_event(
                "upstream_health",
                level="INFO" if entry.view.health == "healthy" else "WARNING",
                upstream=entry.view.id,
                health=entry.view.health,
                cause=cause,
            )


def _has_free_slot(view: UpstreamState) -> bool:
    """Return whether a worker of a service has a free slot for this process."""
    return view.own_requests < view.slots


def _field(listed: Any, name: str) -> Any:
    return listed.get(name) if isinstance(listed, dict) else getattr(listed, name, None)


def _round_finite(value: float) -> float | None:
    return round(value, 3) if value < float("inf") else None
