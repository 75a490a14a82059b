"""Admission: queues the requests of each pool and assigns them slots at upstreams."""

import asyncio
from typing import Any

import msgspec

from camphorgate.manifest import ManifestIndex
from camphorgate.requests.admission import PoolQueue, QueueLimits, Refusal
from camphorgate.requests.dispatch_window import DispatchWindow
from camphorgate.requests.fairness import FairOrder, weighted_service
from camphorgate.requests.priority import priority_for_deficit
from camphorgate.requests.request_state import Dispatch, RoutingRequest
from camphorgate.requests.routing import Choice
from camphorgated.ext.gateway.errors import GatewayError
from camphorgated.ext.gateway.upstreams import UpstreamEntry

# How long requests wait for a pool that has no usable upstream.
MAX_NO_UPSTREAM_SECONDS = 2.0
_MESSAGE_BY_CODE = {
    "queue_full": "too many requests wait",
    "deadline_unreachable": "the request would start too late",
    "limit_exceeded": "the workspace has reached its limit",
}
# Prefix of the deltas of plain service calls; no workspace name contains it.
_SERVICE_PREFIX = "service:"


class Slot:
    """A slot at an upstream for one request; must be released."""

    __slots__ = (
        "entry",
        "dispatch",
        "choice",
        "request",
        "service_received",
        "priority",
        "_admission",
    )

    def __init__(
        self,
        admission: "Admission",
        choice: Choice,
        dispatch: Dispatch,
        request: RoutingRequest,
    ) -> None:
        """Store the dispatch and what is needed to end it."""
        self.entry: UpstreamEntry = admission.upstreams.entries_by_id[
            choice.upstream.id
        ]
        self.dispatch = dispatch
        self.choice = choice
        self.request = request
        # Service that the request received at this upstream, from weighted_service.
        self.service_received = 0.0
        # Priority among the requests that wait inside the engine.
        self.priority = 0
        self._admission = admission

    def record_first_token(self, now: float) -> None:
        """Record that the prompt has been processed."""
        self._admission.record_first_token(self, now)

    def release(self) -> None:
        """Release the slot; idempotent."""
        if not self.dispatch.ended:
            self._admission.release(self)


class FairnessService:
    """Service received per workspace, shared with peers; provided as ``fairness``."""

    __slots__ = ("_clock", "by_kind")

    def __init__(self, clock: Any) -> None:
        """Start without any service recorded."""
        self._clock = clock
        self.by_kind = {"engines": FairOrder(), "service": FairOrder()}

    def take_deltas(self) -> dict[str, float]:
        """Return the service per workspace since the last call."""
        deltas = self.by_kind["engines"].take_deltas()
        calls = self.by_kind["service"].take_deltas()
        return deltas | {_SERVICE_PREFIX + name: calls[name] for name in calls}

    def merge(self, instance_id: str, deltas: dict[str, float]) -> None:
        """Add the service that another instance has provided."""
        parts: dict[str, dict[str, float]] = {"engines": {}, "service": {}}
        for name, delta in deltas.items():
            kind = "service" if name.startswith(_SERVICE_PREFIX) else "engines"
            parts[kind][name.removeprefix(_SERVICE_PREFIX)] = delta
        for kind, part in parts.items():
            self.by_kind[kind].merge_deltas(part, self._clock.monotonic())

    def set_weights(self, index: ManifestIndex) -> None:
        """Apply the workspace weights of a manifest."""
        weights = {item.name: item.weight for item in index.manifest.workspaces}
        for order in self.by_kind.values():
            order.set_weights(weights)


class _Waiter(msgspec.Struct, eq=False):
    """A queued request and its waiting caller, stored under the request's ``id()``."""

    request: RoutingRequest
    excluded: set[str]
    future: asyncio.Future


class _Pool:
    """Queue, dispatch window and waiters of one pool."""

    __slots__ = (
        "name",
        "queue",
        "window",
        "waiters_by_id",
        "unavailable_since",
        "engines",
    )

    def __init__(
        self, name: str, bounds: QueueLimits, fair: FairOrder, engines: bool
    ) -> None:
        self.name = name
        self.queue = PoolQueue(bounds, fair)
        self.window = DispatchWindow()
        self.waiters_by_id: dict[str, _Waiter] = {}
        self.unavailable_since: float | None = None
        self.engines = engines


class Admission:
    """Assigns requests slots at upstreams, the least served workspace first."""

    __slots__ = ("fairness", "upstreams", "_pools_by_name", "_gateway")

    def __init__(self, gateway: Any) -> None:
        """Start without queues."""
        self.fairness = FairnessService(gateway.app.clock)
        self.upstreams = gateway.upstreams
        self._pools_by_name: dict[str, _Pool] = {}
        self._gateway = gateway
        self.upstreams.on_capacity = self.dispatch_waiting
        gateway.deadline_monitor.add_tick_callback(self.expire_overdue)

    async def admit(self, request: RoutingRequest, excluded: set[str]) -> Slot:
        """Return a slot at an upstream, waiting for one if none is free.

        :param excluded: ids of upstreams that failed this request already.
        :raises GatewayError: if the request cannot be started in time.
        """
        now = self._gateway.now()
        pool = self._pool(request.pool)
        self._raise_if_unavailable(pool, request, excluded, now)
        queue_id = str(id(request))
        refusal = pool.queue.try_enqueue(
            queue_id, request, expected_service(request), now
        )
        if refusal is not None:
            raise refusal_error(refusal)
        future = asyncio.get_running_loop().create_future()
        pool.waiters_by_id[queue_id] = _Waiter(request, excluded, future)
        self._dispatch_waiting(pool)
        try:
            return await future
        except asyncio.CancelledError:
            self._cancel(pool, queue_id, future)
            raise

    def dispatch_waiting(self, name: str) -> None:
        """Dispatch as many queued requests of a pool as there are free slots."""
        pool = self._pools_by_name.get(name)
        if pool is not None and len(pool.queue):
            self._dispatch_waiting(pool)

    def expire_overdue(self, now: float) -> None:
        """Reject the queued requests that have waited too long."""
        for pool in self._pools_by_name.values():
            if not len(pool.queue):
                continue
            for waiting in pool.queue.expire(now):
                self._reject(pool, waiting.request_id, self._timeout_error(pool))
            self._reject_unavailable(pool, now)
            self._dispatch_waiting(pool)

    def record_first_token(self, slot: Slot, now: float) -> None:
        """Record the first token of a request, by which the window is adjusted."""
        view, dispatch = slot.entry.view, slot.dispatch
        if dispatch.first_token_received:
            return
        view.record_first_token(dispatch)
        pool = self._pool(view.pool)
        prompt_seconds = dispatch.prefill_tokens / view.prefill_tokens_per_second
        wait = now - dispatch.dispatched_at - prompt_seconds
        pool.window.record_first_token(wait, dispatch.prefill_tokens, now)
        self.dispatch_waiting(view.pool)

    def release(self, slot: Slot) -> None:
        """End a dispatch and correct what its workspace was charged."""
        request = slot.request
        correction = slot.service_received - expected_service(request)
        fair = self._pool(request.pool).queue.fair_order
        fair.finish(request.workspace, correction, self._gateway.now())
        self.upstreams.end_dispatch(slot.entry.view, slot.dispatch)

    def update_window_shares(self) -> None:
        """Set the windows to this instance's share of the usable engines."""
        instances = self._gateway.instances
        for name, pool in self._pools_by_name.items():
            usable = [
                view
                for view in self.upstreams.views(name)
                if view.health == "healthy" and not view.leaving
            ]
            rate = sum(view.prefill_tokens_per_second for view in usable)
            slots = sum(view.slots for view in usable)
            pool.window.set_minimum(rate, slots, instances)

    def dump(self) -> dict[str, dict]:
        """Return the backlog of every pool."""
        now = self._gateway.now()
        sections = {}
        for name, pool in self._pools_by_name.items():
            status = pool.queue.status(now)
            since = status.growing_since
            sections[name] = {
                "depth": status.depth,
                "oldest_age_seconds": round(status.oldest_seconds, 3),
                "growing_for_seconds": 0.0 if since is None else round(now - since, 3),
                "window": round(pool.window.scale, 2),
            }
        return sections

    def _pool(self, name: str) -> _Pool:
        pool = self._pools_by_name.get(name)
        if pool is None:
            limits = self._gateway.limits
            bounds = QueueLimits(limits.queued_requests, limits.queue_seconds)
            kind = self.upstreams.kind(name)
            fair = self.fairness.by_kind[kind]
            pool = _Pool(name, bounds, fair, kind == "engines")
            self._pools_by_name[name] = pool
            self.update_window_shares()
        return pool

    def _dispatch_waiting(self, pool: _Pool) -> None:
        choices: list[Choice] = []

        def startable(request: RoutingRequest) -> bool:
            waiter = pool.waiters_by_id[str(id(request))]
            choice = self.upstreams.choose(request, waiter.excluded)
            if choice is not None:
                choices.append(choice)
            return choice is not None

        while len(pool.queue) and self._window_allows(pool):
            waiting = pool.queue.start_next(self._gateway.now(), startable)
            if waiting is None:
                return
            waiter = pool.waiters_by_id.pop(waiting.request_id)
            choice = choices.pop()
            dispatch = self.upstreams.begin_dispatch(choice.upstream, waiter.request)
            slot = Slot(self, choice, dispatch, waiter.request)
            slot.priority = priority_for_deficit(
                pool.queue.fair_order.service_deficit(waiter.request.workspace)
            )
            pool.unavailable_since = None
            if waiter.future.done():
                slot.release()
            else:
                waiter.future.set_result(slot)

    def _window_allows(self, pool: _Pool) -> bool:
        """Return whether a pool's engines may get more work from this instance."""
        if not pool.engines:
            return True
        views = self.upstreams.views(pool.name)
        prefill = sum([view.own_prefill_tokens for view in views])
        requests = sum([view.own_requests for view in views])
        return pool.window.allows(prefill, requests)

    def _cancel(self, pool: _Pool, queue_id: str, future: asyncio.Future) -> None:
        pool.waiters_by_id.pop(queue_id, None)
        pool.queue.remove(queue_id)
        if future.done() and not future.cancelled() and future.exception() is None:
            future.result().release()

    def _reject(self, pool: _Pool, queue_id: str, error: GatewayError) -> None:
        waiter = pool.waiters_by_id.pop(queue_id, None)
        if waiter is not None and not waiter.future.done():
            waiter.future.set_exception(error)

    def _reject_unavailable(self, pool: _Pool, now: float) -> None:
        """Reject requests for a pool that has had no usable upstream for too long."""
        for queue_id, waiter in list(pool.waiters_by_id.items()):
            if self.upstreams.can_serve(waiter.request, waiter.excluded):
                pool.unavailable_since = None
                return
            if pool.unavailable_since is None:
                pool.unavailable_since = now
            if now - pool.unavailable_since > MAX_NO_UPSTREAM_SECONDS:
                pool.queue.remove(queue_id)
                self._reject(pool, queue_id, self._timeout_error(pool))

    def _raise_if_unavailable(
        self, pool: _Pool, request: RoutingRequest, excluded: set[str], now: float
    ) -> None:
        """Reject a request at once if no upstream can serve it soon."""
        if self.upstreams.can_serve(request, excluded):
            pool.unavailable_since = None
            return
        if pool.unavailable_since is None:
            pool.unavailable_since = now
        waited = now - pool.unavailable_since
        may_recover = self.upstreams.may_recover(request.pool)
        if excluded or not may_recover or waited > MAX_NO_UPSTREAM_SECONDS:
            raise GatewayError("no_upstream", "no upstream can serve the request")

    @staticmethod
    def _timeout_error(pool: _Pool) -> GatewayError:
        if pool.unavailable_since is not None:
            return GatewayError("no_upstream", "no upstream can serve the request")
        return GatewayError("deadline_unreachable", "no upstream was free in time")


def expected_service(request: RoutingRequest) -> float:
    """Return the service that a request is charged with when it starts."""
    if not request.model:
        return weighted_service(0, 0, calls=1)
    return weighted_service(request.prompt_tokens, request.output_tokens)


def refusal_error(refusal: Refusal) -> GatewayError:
    """Return the error of a refusal."""
    message = _MESSAGE_BY_CODE[refusal.code]
    return GatewayError(refusal.code, message, retry_after=refusal.retry_after)
