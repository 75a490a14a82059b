"""Admission control: rate limits per workspace and a bounded queue per pool.

A request that cannot start in time is refused immediately, together with the number
of seconds after which the caller should retry.
"""

import math
from collections import deque
from collections.abc import Callable

import msgspec

from camphorgate.manifest import Limits
from camphorgate.requests.fairness import FairOrder
from camphorgate.requests.request_state import RoutingRequest

MIN_RETRY_AFTER_SECONDS = 1
MAX_RETRY_AFTER_SECONDS = 300
# Capacity of a token bucket, in seconds of its rate.
BURST_SECONDS = 2.0
# Time constant of the average of the drain rate, which is the service started per
# second.
DRAIN_RATE_WINDOW_SECONDS = 5.0
# Time constants of the two averages of the queue depth. The queue counts as growing
# while the short average exceeds the long one.
SHORT_DEPTH_WINDOW_SECONDS = 3.0
LONG_DEPTH_WINDOW_SECONDS = 30.0
# One in this many starts of a subqueue goes to its oldest stale request, which can no
# longer get its first token in time.
STARTS_PER_STALE_REQUEST = 4


# Workspace, model and idempotency: requests that share them can start on the same
# upstreams.
_SubqueueKey = tuple[str, str, bool]


class Refusal(msgspec.Struct, frozen=True):
    """The reason for rejecting a request: an error code and a delay for the retry.

    ``retry_after`` is in seconds.
    """

    code: str
    retry_after: int


class QueueLimits(msgspec.Struct, frozen=True):
    """Limits of one pool's queue: its length and the time that a request may wait.

    A request that has waited for at most ``fresh_seconds`` can still get its first
    token in time. Such fresh requests start before stale ones of the same workspace.
    """

    requests: int = 2000
    seconds: float = 10.0
    fresh_seconds: float = 0.4


class QueuedRequest(msgspec.Struct, eq=False):
    """A request in a queue, with its expected service.

    ``removed`` marks entries that the deques still hold although the request has left
    the queue.
    """

    request_id: str
    request: RoutingRequest
    service: float
    queued_at: float
    removed: bool = False


class QueueStatus(msgspec.Struct, frozen=True):
    """State of a queue for operators.

    ``growing_since`` is in monotonic seconds, None while the queue does not grow.
    """

    depth: int
    oldest_seconds: float
    growing_since: float | None


def _retry_after(seconds: float) -> int:
    if not math.isfinite(seconds):
        return MAX_RETRY_AFTER_SECONDS
    return int(
        min(max(math.ceil(seconds), MIN_RETRY_AFTER_SECONDS), MAX_RETRY_AFTER_SECONDS)
    )


def _subqueue_key(request: RoutingRequest) -> _SubqueueKey:
    return request.workspace, request.model, request.idempotent


class TokenBucket:
    """Token bucket rate limiter; a rate of zero means no limit."""

    __slots__ = ("rate", "burst", "_level", "_refilled_at")

    def __init__(self, rate: float, min_burst: float = 1.0) -> None:
        """Start with a full bucket.

        :param rate: units per second.
        :param min_burst: lower bound of the capacity, for low rates.
        """
        self.rate = rate
        self.burst = max(rate * BURST_SECONDS, min_burst)
        self._level = self.burst
        self._refilled_at = float("-inf")

    def set_rate(self, rate: float, min_burst: float = 1.0) -> None:
        """Change the rate; the bucket stays as full as it is, in proportion."""
        share = self._level / self.burst
        self.rate = rate
        self.burst = max(rate * BURST_SECONDS, min_burst)
        self._level = share * self.burst

    def seconds_until_available(self, amount: float, now: float) -> float:
        """Return the seconds until an amount may be taken, 0 if it may be taken now.

        An amount above the capacity may be taken from a full bucket, whose level then
        becomes negative.
        """
        if not self.rate:
            return 0.0
        self._refill(now)
        return max(0.0, (min(amount, self.burst) - self._level) / self.rate)

    def take(self, amount: float, now: float) -> None:
        """Take an amount; a negative amount returns tokens to the bucket."""
        if self.rate:
            self._refill(now)
            self._level = min(self.burst, self._level - amount)

    def _refill(self, now: float) -> None:
        elapsed = max(0.0, now - self._refilled_at)
        self._refilled_at = now
        self._level = min(self.burst, self._level + elapsed * self.rate)


class WorkspaceLimiter:
    """Enforces this instance's share of the limits of one workspace."""

    __slots__ = ("limits", "instances", "running", "_requests", "_tokens")

    def __init__(self, limits: Limits, instances: int = 1) -> None:
        """Start with full buckets.

        :param limits: limits of the workspace across all instances.
        :param instances: number of live instances; callers spread evenly over them.
        """
        self.limits = limits
        self.instances = max(instances, 1)
        self.running = 0
        self._requests = TokenBucket(limits.requests_per_second / self.instances)
        self._tokens = TokenBucket(limits.tokens_per_second / self.instances)

    def change(self, limits: Limits, instances: int) -> None:
        """Change limits or number of instances; running requests stay counted."""
        self.limits = limits
        self.instances = max(instances, 1)
        self._requests.set_rate(limits.requests_per_second / self.instances)
        self._tokens.set_rate(limits.tokens_per_second / self.instances)

    def admit(self, tokens: float, now: float) -> Refusal | None:
        """Admit and count a request, or return the refusal.

        :param tokens: expected prompt and output tokens.
        """
        concurrent = self.limits.concurrent_requests
        if concurrent and self.running >= math.ceil(concurrent / self.instances):
            return Refusal("limit_exceeded", MIN_RETRY_AFTER_SECONDS)
        delay = max(
            self._requests.seconds_until_available(1, now),
            self._tokens.seconds_until_available(tokens, now),
        )
        if delay:
            return Refusal("limit_exceeded", _retry_after(delay))
        self._requests.take(1, now)
        self._tokens.take(tokens, now)
        self.running += 1
        return None

    def finish(self, correction: float, now: float) -> None:
        """Count the end of an admitted request and correct its token charge.

        :param correction: actual minus expected tokens.
        """
        self.running -= 1
        self._tokens.take(correction, now)


class PoolQueue:
    """Queue of one pool; workspaces share its upstreams by weighted fair queueing."""

    __slots__ = (
        "bounds",
        "fair_order",
        "_subqueues_by_key",
        "_queued_service",
        "_requests_by_id",
        "_requests_by_age",
        "_drain_rate",
        "_drain_measured_at",
        "_started_service",
        "_short_depth_average",
        "_long_depth_average",
        "_depth_updated_at",
        "_growing_since",
    )

    def __init__(self, bounds: QueueLimits, fair: FairOrder) -> None:
        """Start with an empty queue.

        :param fair: order of the workspaces, either shared by all pools of a kind or
            private to this pool.
        """
        self.bounds = bounds
        self.fair_order = fair
        self._subqueues_by_key: dict[_SubqueueKey, _Subqueue] = {}
        self._queued_service = 0.0
        self._requests_by_id: dict[str, QueuedRequest] = {}
        self._requests_by_age: deque[QueuedRequest] = deque()
        # Service started per second; 0 while unknown, as at the start of a backlog.
        self._drain_rate = 0.0
        self._drain_measured_at: float | None = None
        self._started_service = 0.0
        self._short_depth_average = 0.0
        self._long_depth_average = 0.0
        self._depth_updated_at: float | None = None
        self._growing_since: float | None = None

    def __len__(self) -> int:
        return len(self._requests_by_id)

    def try_enqueue(
        self, request_id: str, request: RoutingRequest, service: float, now: float
    ) -> Refusal | None:
        """Queue a request, or return the refusal if it cannot start in time.

        :param service: expected service, from :func:`fairness.weighted_service`.
        """
        self._record_depth(now)
        wait = self.predicted_wait(request.workspace)
        if len(self._requests_by_id) >= self.bounds.requests:
            return Refusal("queue_full", _retry_after(wait))
        max_wait = min(self.bounds.seconds, request.deadline - now)
        if wait > max_wait or max_wait <= 0:
            return Refusal("deadline_unreachable", _retry_after(wait - max_wait))
        queued = QueuedRequest(request_id, request, service, now)
        self._requests_by_id[request_id] = queued
        self._requests_by_age.append(queued)
        subqueue = self._subqueues_by_key.setdefault(
            _subqueue_key(request), _Subqueue()
        )
        subqueue.add(queued)
        self._queued_service += service
        self.fair_order.enter(request.workspace)
        return None

    def predicted_wait(self, workspace: str) -> float:
        """Return the expected seconds until a new request of a workspace starts.

        The estimate is the time to drain the workspace's own queue at its share of the
        drain rate, bounded by the time to drain the whole queue.
        """
        if not self._drain_rate or not self._requests_by_id:
            return 0.0
        own_service = 0.0
        weights_by_workspace = {workspace: self.fair_order.weight_of(workspace)}
        for (name, *_), subqueue in self._subqueues_by_key.items():
            weights_by_workspace[name] = self.fair_order.weight_of(name)
            own_service += subqueue.service if name == workspace else 0.0
        share = weights_by_workspace[workspace] / sum(weights_by_workspace.values())
        return min(self._queued_service, own_service / share) / self._drain_rate

    def start_next(
        self, now: float, can_start: Callable[[RoutingRequest], bool]
    ) -> QueuedRequest | None:
        """Return the next request that can start, after charging its workspace.

        :param can_start: whether an upstream has capacity for a request.
        """
        self._record_depth(now)
        keys_by_workspace: dict[str, list[_SubqueueKey]] = {}
        for key in self._subqueues_by_key:
            keys_by_workspace.setdefault(key[0], []).append(key)
        for name in self.fair_order.order(keys_by_workspace):
            for key in keys_by_workspace[name]:
                subqueue = self._subqueues_by_key[key]
                queued = subqueue.next_request(now - self.bounds.fresh_seconds)
                if queued is not None and can_start(queued.request):
                    subqueue.starts += 1
                    self._unlink(queued)
                    self.fair_order.start(name, queued.service, now)
                    self._record_start(queued.service, now)
                    return queued
        return None

    def remove(self, request_id: str) -> QueuedRequest | None:
        """Remove a request whose caller has disconnected.

        :returns: the removed request, or None if it is no longer queued.
        """
        queued = self._requests_by_id.get(request_id)
        if queued is not None:
            self._unlink(queued)
            self.fair_order.leave(queued.request.workspace)
        return queued

    def expire(self, now: float) -> list[QueuedRequest]:
        """Remove and return requests past their deadline or the maximum wait."""
        self._record_depth(now)
        cutoff = now - self.bounds.seconds
        expired = [
            item
            for item in self._requests_by_id.values()
            if item.queued_at <= cutoff or item.request.deadline <= now
        ]
        for item in expired:
            self.remove(item.request_id)
        return expired

    def status(self, now: float) -> QueueStatus:
        """Return the depth, the age of the oldest request and the start of growth."""
        self._record_depth(now)
        while self._requests_by_age and self._requests_by_age[0].removed:
            self._requests_by_age.popleft()
        oldest = (
            now - self._requests_by_age[0].queued_at if self._requests_by_age else 0.0
        )
        return QueueStatus(len(self), oldest, self._growing_since)

    def _unlink(self, queued: QueuedRequest) -> None:
        queued.removed = True
        del self._requests_by_id[queued.request_id]
        self._queued_service -= queued.service
        key = _subqueue_key(queued.request)
        self._subqueues_by_key[key].remove_from_totals(queued)
        if not self._subqueues_by_key[key].count:
            del self._subqueues_by_key[key]
        if not self._requests_by_id:
            # Clears accumulated floating-point errors, and the drain rate, which is
            # valid only for the backlog that has just ended.
            self._queued_service = 0.0
            self._drain_rate, self._started_service, self._drain_measured_at = (
                0.0,
                0.0,
                None,
            )
        while self._requests_by_age and self._requests_by_age[0].removed:
            self._requests_by_age.popleft()

    def _record_start(self, service: float, now: float) -> None:
        """Update the drain rate, but only while further requests are queued.

        With an empty queue the rate of starts equals the arrival rate, and a burst
        after a quiet period would be refused although it could start immediately.
        """
        if not self._requests_by_id:
            return
        if self._drain_measured_at is None:
            self._drain_measured_at = now
            return
        self._started_service += service
        elapsed = now - self._drain_measured_at
        if elapsed < DRAIN_RATE_WINDOW_SECONDS / 5:
            return
        rate = self._started_service / elapsed
        weight = (
            min(1.0, elapsed / DRAIN_RATE_WINDOW_SECONDS) if self._drain_rate else 1.0
        )
        self._drain_rate += weight * (rate - self._drain_rate)
        self._started_service = 0.0
        self._drain_measured_at = now

    def _record_depth(self, now: float) -> None:
        elapsed = (
            0.0
            if self._depth_updated_at is None
            else max(0.0, now - self._depth_updated_at)
        )
        self._depth_updated_at = now
        depth = len(self._requests_by_id)
        short_weight = 1 - math.exp(-elapsed / SHORT_DEPTH_WINDOW_SECONDS)
        long_weight = 1 - math.exp(-elapsed / LONG_DEPTH_WINDOW_SECONDS)
        self._short_depth_average += short_weight * (depth - self._short_depth_average)
        self._long_depth_average += long_weight * (depth - self._long_depth_average)
        if (
            self._short_depth_average <= self._long_depth_average
            or self._short_depth_average < 1
        ):
            self._growing_since = None
        elif self._growing_since is None:
            self._growing_since = now


class _Subqueue:
    """FIFO queues of fresh and stale requests with the same workspace and upstreams."""

    __slots__ = ("fresh", "stale", "count", "service", "starts")

    def __init__(self) -> None:
        self.fresh: deque[QueuedRequest] = deque()
        self.stale: deque[QueuedRequest] = deque()
        self.count = 0
        self.service = 0.0
        self.starts = 0

    def add(self, queued: QueuedRequest) -> None:
        self.fresh.append(queued)
        self.count += 1
        self.service += queued.service

    def remove_from_totals(self, queued: QueuedRequest) -> None:
        self.count -= 1
        self.service = self.service - queued.service if self.count else 0.0

    def next_request(self, fresh_since: float) -> QueuedRequest | None:
        """Return the oldest fresh request, or periodically the oldest stale one.

        :param fresh_since: requests that were queued before this time are stale.
        """
        while self.fresh and (
            self.fresh[0].removed or self.fresh[0].queued_at < fresh_since
        ):
            queued = self.fresh.popleft()
            if not queued.removed:
                self.stale.append(queued)
        while self.stale and self.stale[0].removed:
            self.stale.popleft()
        if self.stale and (
            not self.fresh or self.starts % STARTS_PER_STALE_REQUEST == 0
        ):
            return self.stale[0]
        return self.fresh[0] if self.fresh else None
