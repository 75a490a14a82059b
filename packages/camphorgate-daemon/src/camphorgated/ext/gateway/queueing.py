"""Admission: each pool's queue of requests that wait for a place at an upstream."""

import asyncio
from collections import deque
from typing import Any

import msgspec

from camphorgate.requests.views import Dispatch, RequestView
from camphorgated.ext.gateway.errors import GatewayError
from camphorgated.ext.gateway.fairness import ServiceLedger
from camphorgated.ext.gateway.upstreams import Entry, UpstreamTable

# Weight of the newest interval in the average time between starts from the queue.
_INTERVAL_WEIGHT = 0.1
# How long a pool without any usable upstream may still be waited for.
NO_UPSTREAM_SECONDS = 2.0


class Slot:
    """A place at an upstream; must be released."""

    __slots__ = ("entry", "dispatch", "_table")

    def __init__(self, table: UpstreamTable, entry: Entry, dispatch: Dispatch) -> None:
        """Keep what ends the dispatch."""
        self.entry = entry
        self.dispatch = dispatch
        self._table = table

    def first_token(self) -> None:
        """Note that the prompt has been read."""
        self.entry.view.first_token(self.dispatch)

    def release(self) -> None:
        """Give the place back; callable twice."""
        if not self.dispatch.ended:
            self._table.end(self.entry.view, self.dispatch)


class Waiter(msgspec.Struct, eq=False):
    """One request in a queue."""

    request: RequestView
    excluded: set[str]
    enqueued_at: float
    expires_at: float
    future: asyncio.Future


class PoolQueue:
    """The waiting requests of one pool, by workspace, oldest first."""

    __slots__ = (
        "waiters_by_workspace",
        "size",
        "growing_since",
        "interval",
        "unserved_since",
        "_started_at",
    )

    def __init__(self) -> None:
        """Start empty."""
        self.waiters_by_workspace: dict[str, deque[Waiter]] = {}
        self.size = 0
        self.growing_since: float | None = None
        # Average seconds between two starts from the queue, 0 if unknown.
        self.interval = 0.0
        self.unserved_since: float | None = None
        self._started_at: float | None = None

    def add(self, waiter: Waiter) -> None:
        """Append a request to its workspace's line."""
        if not self.size:
            self.growing_since = waiter.enqueued_at
            self._started_at = None
        line = self.waiters_by_workspace.setdefault(waiter.request.workspace, deque())
        line.append(waiter)
        self.size += 1

    def remove(self, waiter: Waiter) -> None:
        """Take a request out, if it is still there."""
        workspace = waiter.request.workspace
        line = self.waiters_by_workspace.get(workspace)
        if line is None or waiter not in line:
            return
        line.remove(waiter)
        if not line:
            del self.waiters_by_workspace[workspace]
        self.size -= 1
        if not self.size:
            self.growing_since = None

    def note_start(self, now: float) -> None:
        """Learn from a start how fast the queue moves."""
        if self._started_at is not None:
            gap = now - self._started_at
            old = self.interval or gap
            self.interval = old + _INTERVAL_WEIGHT * (gap - old)
        self._started_at = now

    def predicted_wait(self) -> float:
        """Return the seconds until a new request would start, 0 if unknown."""
        return self.size * self.interval

    def oldest_age(self, now: float) -> float:
        """Return the age of the oldest waiting request in seconds."""
        firsts = [line[0].enqueued_at for line in self.waiters_by_workspace.values()]
        return now - min(firsts) if firsts else 0.0


class Admission:
    """Gives each request a place at an upstream, the least served workspace first."""

    __slots__ = ("queues_by_pool", "ledger", "_gateway", "_upstreams")

    def __init__(self, gateway: Any) -> None:
        """Start without queues."""
        self.queues_by_pool: dict[str, PoolQueue] = {}
        self.ledger = ServiceLedger()
        self._gateway = gateway
        self._upstreams: UpstreamTable = gateway.upstreams
        self._upstreams.on_room = self.pump
        gateway.watch.add_sweeper(self.sweep)

    async def admit(self, request: RequestView, excluded: set[str]) -> Slot:
        """Return a place at an upstream, waiting for one if none is free.

        :param excluded: ids of upstreams that failed this request already.
        :raises GatewayError: if the request cannot be started in time.
        """
        queue = self.queues_by_pool.setdefault(request.pool, PoolQueue())
        if not queue.size:
            slot = self._try_start(request, excluded)
            if slot is not None:
                queue.unserved_since = None
                return slot
        now = self._gateway.now()
        self._refuse_early(queue, request, excluded, now)
        limit = now + self._gateway.limits.queue_seconds
        future = asyncio.get_running_loop().create_future()
        waiter = Waiter(request, excluded, now, min(limit, request.deadline), future)
        self.ledger.lift(request.workspace)
        queue.add(waiter)
        self.pump(request.pool)
        try:
            return await future
        except asyncio.CancelledError:
            self._withdraw(queue, waiter)
            raise

    def pump(self, pool: str) -> None:
        """Start as many waiting requests as there are places."""
        queue = self.queues_by_pool.get(pool)
        while queue is not None and queue.size:
            started = self._start_next(queue)
            if started is None:
                return
            queue.remove(started)
            queue.note_start(self._gateway.now())

    def sweep(self, now: float) -> None:
        """End the waiting of requests that have become too old."""
        for pool, queue in self.queues_by_pool.items():
            if not queue.size:
                continue
            unserved = self._is_unserved(queue, now)
            for line in list(queue.waiters_by_workspace.values()):
                for waiter in list(line):
                    if waiter.expires_at > now and not unserved:
                        continue
                    queue.remove(waiter)
                    if not waiter.future.done():
                        waiter.future.set_exception(self._expired(queue))
            self.pump(pool)

    def _is_unserved(self, queue: PoolQueue, now: float) -> bool:
        """Tell whether the pool has been without a usable upstream for too long."""
        if queue.unserved_since is None:
            return False
        first = next(iter(queue.waiters_by_workspace.values()))[0]
        if self._upstreams.can_serve(first.request, first.excluded):
            queue.unserved_since = None
            return False
        return now - queue.unserved_since > NO_UPSTREAM_SECONDS

    def dump(self) -> dict[str, dict]:
        """Return the backlog of every pool."""
        now = self._gateway.now()
        return {
            pool: {
                "depth": queue.size,
                "oldest_age_seconds": round(queue.oldest_age(now), 3),
                "growing_for_seconds": round(now - (queue.growing_since or now), 3),
                "predicted_wait_seconds": round(queue.predicted_wait(), 3),
            }
            for pool, queue in self.queues_by_pool.items()
        }

    def _try_start(self, request: RequestView, excluded: set[str]) -> Slot | None:
        entry = self._upstreams.choose(request, excluded)
        if entry is None:
            return None
        self.ledger.note_turn(request.workspace)
        dispatch = self._upstreams.begin(entry.view, request)
        return Slot(self._upstreams, entry, dispatch)

    def _start_next(self, queue: PoolQueue) -> Waiter | None:
        """Start the first request of the least served workspace that can start."""
        order = sorted(queue.waiters_by_workspace, key=self.ledger.served)
        for workspace in order:
            waiter = queue.waiters_by_workspace[workspace][0]
            if waiter.future.done():
                return waiter
            slot = self._try_start(waiter.request, waiter.excluded)
            if slot is not None:
                waiter.future.set_result(slot)
                return waiter
        return None

    def _withdraw(self, queue: PoolQueue, waiter: Waiter) -> None:
        queue.remove(waiter)
        future = waiter.future
        if future.done() and not future.cancelled() and future.exception() is None:
            future.result().release()

    def _refuse_early(
        self, queue: PoolQueue, request: RequestView, excluded: set[str], now: float
    ) -> None:
        self._refuse_without_upstream(queue, request, excluded, now)
        limits = self._gateway.limits
        wait = queue.predicted_wait()
        if queue.size >= limits.queued_requests:
            raise GatewayError("queue_full", "too many requests wait", retry_after=wait)
        if wait > min(limits.queue_seconds, request.deadline - now):
            message = "the request would start too late"
            raise GatewayError("deadline_unreachable", message, retry_after=wait)

    def _refuse_without_upstream(
        self, queue: PoolQueue, request: RequestView, excluded: set[str], now: float
    ) -> None:
        if self._upstreams.can_serve(request, excluded):
            queue.unserved_since = None
            return
        if queue.unserved_since is None:
            queue.unserved_since = now
        may_recover = self._upstreams.may_recover(request.pool)
        waited = now - queue.unserved_since
        if excluded or not may_recover or waited > NO_UPSTREAM_SECONDS:
            raise GatewayError("no_upstream", "no upstream can serve the request")

    def _expired(self, queue: PoolQueue) -> GatewayError:
        if queue.unserved_since is not None:
            return GatewayError("no_upstream", "no upstream can serve the request")
        message = "no upstream was free in time"
        wait = queue.predicted_wait()
        return GatewayError("deadline_unreachable", message, retry_after=wait)
