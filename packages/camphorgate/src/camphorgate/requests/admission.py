"""Which requests are let in, and how long they may wait.

Limits hold per workspace, queues per pool. What cannot start in time is refused at
once with the seconds after which a retry makes sense.
"""

import math
from collections import deque
from collections.abc import Callable

import msgspec

from camphorgate.manifest import Limits
from camphorgate.requests.fairness import FairOrder
from camphorgate.requests.views import RequestView

MIN_RETRY_AFTER = 1
MAX_RETRY_AFTER = 300
# Seconds of its rate that a token bucket holds.
BURST_SECONDS = 2.0
# Time over which the rate of starts is averaged, in seconds.
DRAIN_SECONDS = 5.0
# Depth is averaged over these times; the queue grows while the short one is higher.
SHORT_DEPTH_SECONDS = 3.0
LONG_DEPTH_SECONDS = 30.0
# Every so many starts of a workspace come from its oldest request although that can
# no longer get its first token in time.
STALE_TURN = 4


# Requests of one workspace that can start on the same upstreams.
_LaneKey = tuple[str, str, bool]


class Refusal(msgspec.Struct, frozen=True):
    """A request that is not run: its error code and when to try again (seconds)."""

    code: str
    retry_after: int


class QueueBounds(msgspec.Struct, frozen=True):
    """Bounds of one pool's queue.

    ``fresh_seconds`` is the wait up to which a request can still get its first token
    in time; fresh requests go before stale ones of the same workspace.
    """

    requests: int = 2000
    seconds: float = 10.0
    fresh_seconds: float = 0.4


class Waiting(msgspec.Struct, eq=False):
    """One queued request."""

    request_id: str
    request: RequestView
    service: float
    entered_at: float
    gone: bool = False


class QueueStatus(msgspec.Struct, frozen=True):
    """What operators see of a queue; ages in seconds, ``growing_since`` monotonic."""

    depth: int
    oldest_seconds: float
    growing_since: float | None


def _retry_after(seconds: float) -> int:
    if not math.isfinite(seconds):
        return MAX_RETRY_AFTER
    return int(min(max(math.ceil(seconds), MIN_RETRY_AFTER), MAX_RETRY_AFTER))


def _lane_key(request: RequestView) -> _LaneKey:
    return request.workspace, request.model, request.idempotent


class TokenBucket:
    """A rate with a burst; a rate of zero means no limit."""

    __slots__ = ("rate", "burst", "_level", "_filled_at")

    def __init__(self, rate: float, least_burst: float = 1.0) -> None:
        """Start full.

        :param rate: units per second.
        """
        self.rate = rate
        self.burst = max(rate * BURST_SECONDS, least_burst)
        self._level = self.burst
        self._filled_at = float("-inf")

    def missing_seconds(self, amount: float, now: float) -> float:
        """Return the time until an amount may be taken, 0 if it may be now.

        An amount above the burst may be taken from a full bucket, into debt.
        """
        if not self.rate:
            return 0.0
        self._fill(now)
        return max(0.0, (min(amount, self.burst) - self._level) / self.rate)

    def take(self, amount: float, now: float) -> None:
        """Take an amount; a negative one gives back what was taken too much."""
        if self.rate:
            self._fill(now)
            self._level = min(self.burst, self._level - amount)

    def _fill(self, now: float) -> None:
        passed = max(0.0, now - self._filled_at)
        self._filled_at = now
        self._level = min(self.burst, self._level + passed * self.rate)


class WorkspaceLimiter:
    """The limits of one workspace on this instance: its part of the whole."""

    __slots__ = ("limits", "instances", "running", "_requests", "_tokens")

    def __init__(self, limits: Limits, instances: int = 1) -> None:
        """Start with full buckets.

        :param limits: for the whole system.
        :param instances: live instances, among which callers are spread evenly.
        """
        self.limits = limits
        self.instances = max(instances, 1)
        self.running = 0
        self._requests = TokenBucket(limits.requests_per_second / self.instances)
        self._tokens = TokenBucket(limits.tokens_per_second / self.instances)

    def admit(self, tokens: float, now: float) -> Refusal | None:
        """Count a request in, or return why it is refused.

        :param tokens: expected prompt and output tokens.
        """
        concurrent = self.limits.concurrent_requests
        if concurrent and self.running >= math.ceil(concurrent / self.instances):
            return Refusal("limit_exceeded", MIN_RETRY_AFTER)
        missing = max(
            self._requests.missing_seconds(1, now),
            self._tokens.missing_seconds(tokens, now),
        )
        if missing:
            return Refusal("limit_exceeded", _retry_after(missing))
        self._requests.take(1, now)
        self._tokens.take(tokens, now)
        self.running += 1
        return None

    def finish(self, correction: float, now: float) -> None:
        """Count a request out.

        :param correction: actual less expected tokens.
        """
        self.running -= 1
        self._tokens.take(correction, now)


class PoolQueue:
    """Requests that wait for an upstream of one pool, in fair order."""

    __slots__ = (
        "bounds",
        "fair",
        "_lanes_by_key",
        "_service",
        "_waiting_by_id",
        "_by_age",
        "_drain",
        "_drained_at",
        "_started",
        "_depth_short",
        "_depth_long",
        "_depth_at",
        "_growing_since",
    )

    def __init__(self, bounds: QueueBounds, fair: FairOrder) -> None:
        """Start empty.

        :param fair: order of workspaces; one for all pools of a kind or one each.
        """
        self.bounds = bounds
        self.fair = fair
        self._lanes_by_key: dict[_LaneKey, _Lane] = {}
        self._service = 0.0
        self._waiting_by_id: dict[str, Waiting] = {}
        self._by_age: deque[Waiting] = deque()
        # Service started per second; 0 if unknown, as in a backlog's first period.
        self._drain = 0.0
        self._drained_at: float | None = None
        self._started = 0.0
        self._depth_short = 0.0
        self._depth_long = 0.0
        self._depth_at: float | None = None
        self._growing_since: float | None = None

    def __len__(self) -> int:
        return len(self._waiting_by_id)

    def offer(
        self, request_id: str, request: RequestView, service: float, now: float
    ) -> Refusal | None:
        """Queue a request, or return why it is refused at once.

        :param service: expected service, from :func:`fairness.service_of`.
        """
        self._note_depth(now)
        wait = self.predicted_wait(request.workspace)
        if len(self._waiting_by_id) >= self.bounds.requests:
            return Refusal("queue_full", _retry_after(wait))
        latest = min(self.bounds.seconds, request.deadline - now)
        if wait > latest or latest <= 0:
            return Refusal("deadline_unreachable", _retry_after(wait - latest))
        waiting = Waiting(request_id, request, service, now)
        self._waiting_by_id[request_id] = waiting
        self._by_age.append(waiting)
        lane = self._lanes_by_key.setdefault(_lane_key(request), _Lane())
        lane.add(waiting)
        self._service += service
        self.fair.enter(request.workspace)
        return None

    def predicted_wait(self, workspace: str) -> float:
        """Return the expected seconds until a new request of a workspace starts.

        The work ahead is the workspace's own queue, drained at its share of the rate,
        and never more than all queues.
        """
        if not self._drain or not self._waiting_by_id:
            return 0.0
        own = 0.0
        weights_by_workspace = {workspace: self.fair.weight_of(workspace)}
        for (name, *_), lane in self._lanes_by_key.items():
            weights_by_workspace[name] = self.fair.weight_of(name)
            own += lane.service if name == workspace else 0.0
        share = weights_by_workspace[workspace] / sum(weights_by_workspace.values())
        return min(self._service, own / share) / self._drain

    def take(
        self, now: float, startable: Callable[[RequestView], bool]
    ) -> Waiting | None:
        """Return the next request that can start, and charge its workspace.

        :param startable: tells whether an upstream has room for a request.
        """
        self._note_depth(now)
        keys_by_workspace: dict[str, list[_LaneKey]] = {}
        for key in self._lanes_by_key:
            keys_by_workspace.setdefault(key[0], []).append(key)
        for name in self.fair.order(keys_by_workspace):
            for key in keys_by_workspace[name]:
                lane = self._lanes_by_key[key]
                waiting = lane.head(now - self.bounds.fresh_seconds)
                if waiting is not None and startable(waiting.request):
                    lane.starts += 1
                    self._drop(waiting)
                    self.fair.start(name, waiting.service, now)
                    self._note_start(waiting.service, now)
                    return waiting
        return None

    def remove(self, request_id: str) -> Waiting | None:
        """Take out a request whose caller is gone; None if it no longer waits."""
        waiting = self._waiting_by_id.get(request_id)
        if waiting is not None:
            self._drop(waiting)
            self.fair.leave(waiting.request.workspace)
        return waiting

    def expire(self, now: float) -> list[Waiting]:
        """Take out and return what waited too long or past its deadline."""
        self._note_depth(now)
        oldest = now - self.bounds.seconds
        late = [
            item
            for item in self._waiting_by_id.values()
            if item.entered_at <= oldest or item.request.deadline <= now
        ]
        for item in late:
            self.remove(item.request_id)
        return late

    def status(self, now: float) -> QueueStatus:
        """Return depth, age of the oldest request and since when the queue grows."""
        self._note_depth(now)
        while self._by_age and self._by_age[0].gone:
            self._by_age.popleft()
        oldest = now - self._by_age[0].entered_at if self._by_age else 0.0
        return QueueStatus(len(self), oldest, self._growing_since)

    def _drop(self, waiting: Waiting) -> None:
        waiting.gone = True
        del self._waiting_by_id[waiting.request_id]
        self._service -= waiting.service
        key = _lane_key(waiting.request)
        self._lanes_by_key[key].drop(waiting)
        if not self._lanes_by_key[key].count:
            del self._lanes_by_key[key]
        if not self._waiting_by_id:
            # Removes the rounding errors that sums of floats collect, and the rate
            # of a backlog that is over.
            self._service = 0.0
            self._drain, self._started, self._drained_at = 0.0, 0.0, None
        while self._by_age and self._by_age[0].gone:
            self._by_age.popleft()

    def _note_start(self, service: float, now: float) -> None:
        """Measure the rate of starts, but only while further requests wait.

        Otherwise the rate is that of the callers, and a burst after a quiet time would
        be refused although it could start at once.
        """
        if not self._waiting_by_id:
            return
        if self._drained_at is None:
            self._drained_at = now
            return
        self._started += service
        passed = now - self._drained_at
        if passed < DRAIN_SECONDS / 5:
            return
        rate = self._started / passed
        weight = min(1.0, passed / DRAIN_SECONDS) if self._drain else 1.0
        self._drain += weight * (rate - self._drain)
        self._started = 0.0
        self._drained_at = now

    def _note_depth(self, now: float) -> None:
        passed = 0.0 if self._depth_at is None else max(0.0, now - self._depth_at)
        self._depth_at = now
        depth = len(self._waiting_by_id)
        short = 1 - math.exp(-passed / SHORT_DEPTH_SECONDS)
        long = 1 - math.exp(-passed / LONG_DEPTH_SECONDS)
        self._depth_short += short * (depth - self._depth_short)
        self._depth_long += long * (depth - self._depth_long)
        if self._depth_short <= self._depth_long or self._depth_short < 1:
            self._growing_since = None
        elif self._growing_since is None:
            self._growing_since = now


class _Lane:
    """One workspace's queue for the same upstreams, fresh and stale ones apart."""

    __slots__ = ("fresh", "stale", "count", "service", "starts")

    def __init__(self) -> None:
        self.fresh: deque[Waiting] = deque()
        self.stale: deque[Waiting] = deque()
        self.count = 0
        self.service = 0.0
        self.starts = 0

    def add(self, waiting: Waiting) -> None:
        self.fresh.append(waiting)
        self.count += 1
        self.service += waiting.service

    def drop(self, waiting: Waiting) -> None:
        self.count -= 1
        self.service = self.service - waiting.service if self.count else 0.0

    def head(self, fresh_since: float) -> Waiting | None:
        """Return the oldest fresh request, or at times the oldest stale one."""
        while self.fresh and (
            self.fresh[0].gone or self.fresh[0].entered_at < fresh_since
        ):
            waiting = self.fresh.popleft()
            if not waiting.gone:
                self.stale.append(waiting)
        while self.stale and self.stale[0].gone:
            self.stale.popleft()
        if self.stale and (not self.fresh or self.starts % STALE_TURN == 0):
            return self.stale[0]
        return self.fresh[0] if self.fresh else None
