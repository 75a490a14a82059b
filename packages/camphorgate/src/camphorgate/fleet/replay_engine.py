"""Model of one engine in a trace replay: a prompt queue and a set of streams.

Prompts are processed one at a time, and streams share the decode rate equally. On an
engine that does both, a prompt in progress slows the streams and vice versa.
"""

import heapq
from collections import deque

import msgspec

from camphorgate.fleet.pool_state import Engine, EngineRates
from camphorgate.manifest import EngineRole, UpstreamKind

# Highest rate of a single stream, given by the duration of a decode step.
STREAM_TOKENS_PER_SECOND = 50.0


class Job:
    """A request of the trace.

    ``runs`` counts how often a booking was started. ``counted_tokens`` is the output
    length with which the request was counted as demand. ``unknown`` marks a booking
    whose engine was lost before the result arrived.
    """

    __slots__ = (
        "arrived_at",
        "workspace",
        "prompt",
        "output",
        "kind",
        "first_at",
        "done_at",
        "produced",
        "counted_tokens",
        "runs",
        "refused",
        "unknown",
    )

    def __init__(
        self, at: float, workspace: int, prompt: float, output: float, kind: str
    ) -> None:
        """Create a request that has not been started.

        :param kind: ``"stream"``, ``"batch"`` or ``"booking"``.
        """
        self.arrived_at = at
        self.workspace = workspace
        self.prompt = prompt
        self.output = output
        self.kind = kind
        self.first_at: float | None = None
        self.done_at: float | None = None
        self.produced = 0.0
        self.counted_tokens = 0.0
        self.runs = 0
        self.refused = False
        self.unknown = False


class ReplayEngine:
    """State of one engine; times are in seconds since the start of the trace."""

    __slots__ = (
        "id",
        "zone",
        "kind",
        "role",
        "phase",
        "rates",
        "queue",
        "queued_tokens",
        "current",
        "streams",
        "progress",
        "advanced_at",
        "generation",
        "phase_ends_at",
        "next_role",
        "withdrawn_at",
        "notice_until",
        "order_open_until",
        "bookings",
        "_sequence",
    )

    def __init__(
        self, engine_id: str, zone: str, kind: UpstreamKind, role: EngineRole, rates
    ) -> None:
        """Create an engine in the phase ``serving``."""
        self.id = engine_id
        self.zone = zone
        self.kind = kind
        self.role = role
        self.phase = "serving"
        self.rates: EngineRates = rates
        self.queue: deque[Job] = deque()
        self.queued_tokens = 0.0
        self.current: Job | None = None
        self.streams: list[tuple[float, int, Job]] = []
        self.progress = 0.0
        self.advanced_at = 0.0
        # Incremented when the engine's jobs are dropped, so that events scheduled
        # before that are ignored.
        self.generation = 0
        self.phase_ends_at = 0.0
        self.next_role: EngineRole | None = None
        self.withdrawn_at: float | None = None
        self.notice_until: float | None = None
        self.order_open_until = 0.0
        self.bookings: set[Job] = set()
        self._sequence = 0

    def advance(self, now: float) -> list[Job]:
        """Advance the streams to ``now`` and return those that finished.

        All streams progress at the same rate, so a common progress counter replaces one
        counter per stream. The cost of a step grows only with the number of streams
        that finish.
        """
        ended = []
        rate_factor = self.rates.mixed_decode if self.current is not None else 1.0
        total_rate = self.rates.decode * rate_factor
        while self.streams:
            count = len(self.streams)
            rate = min(STREAM_TOKENS_PER_SECOND, total_rate / count)
            finished_at = self.advanced_at + (self.streams[0][0] - self.progress) / rate
            if finished_at > now:
                self.progress += max(0.0, now - self.advanced_at) * rate
                break
            self.progress, _, job = heapq.heappop(self.streams)
            self.advanced_at = finished_at
            job.done_at, job.produced = finished_at, job.output
            ended.append(job)
        self.advanced_at = now
        return ended

    def add_stream(self, job: Job) -> None:
        """Start to decode a request; the caller must call :meth:`advance` first."""
        self._sequence += 1
        end = self.progress + job.output - job.produced
        heapq.heappush(self.streams, (end, self._sequence, job))

    def enqueue(self, job: Job) -> None:
        """Add a request to the prompt queue."""
        self.queue.append(job)
        self.queued_tokens += job.prompt + job.produced

    def prefill_seconds(self, job: Job) -> float:
        """Return how long prefilling a request takes at the current load."""
        rate_factor = self.rates.mixed_prefill if self.streams else 1.0
        return (job.prompt + job.produced) / (self.rates.prefill * rate_factor)

    def first_token_seconds(self, tokens: float) -> float:
        """Return the expected time until the first token of a new prompt."""
        rate_factor = self.rates.mixed_prefill if self.streams else 1.0
        return (self.queued_tokens + tokens) / (self.rates.prefill * rate_factor)

    def prefill_wait_seconds(self) -> float:
        """Return the expected time that a new prompt waits in the queue."""
        rate_factor = self.rates.mixed_prefill if self.streams else 1.0
        return self.queued_tokens / (self.rates.prefill * rate_factor)

    def decode_pressure(self) -> float:
        """Return the streams per token/s after one more stream, to compare engines."""
        rate_factor = 1.0
        if self.role == "both" and (self.current is not None or self.queue):
            rate_factor = self.rates.mixed_decode
        return (len(self.streams) + 1) / (self.rates.decode * rate_factor)

    def running_count(self) -> int:
        """Return the number of requests in flight."""
        waiting = len(self.queue) + (self.current is not None)
        return waiting + len(self.streams) + len(self.bookings)

    def drop_jobs(self, now: float) -> list[Job]:
        """Remove and return all prompts and streams, as in a crash."""
        self.advance(now)
        jobs = [*([self.current] if self.current else []), *self.queue]
        for end, _, job in self.streams:
            job.produced = job.output - (end - self.progress)
            jobs.append(job)
        self.queue.clear()
        self.streams.clear()
        self.queued_tokens, self.current = 0.0, None
        self.generation += 1
        return jobs

    def to_engine(self, now: float, target: EngineRole | None) -> Engine:
        """Return the state of the engine as input to a planner."""
        withdrawn = self.withdrawn_at
        return Engine(
            id=self.id,
            availability_zone=self.zone,
            kind=self.kind,
            role=self.role,
            phase=self.phase,
            requests_in_flight=self.running_count(),
            has_open_order=now < self.order_open_until,
            target_role=target,
            notice_seconds=self.notice_until and self.notice_until - now,
            withdrawn_seconds=None if withdrawn is None else now - withdrawn,
        )


class Fault(msgspec.Struct, frozen=True):
    """A fault injected at a time of the trace.

    ``evict_zone``: the cheap upstreams of ``zone`` leave after ``seconds``.
    ``crash``: a random engine is down for ``seconds``. ``crash_changes``: for
    ``seconds``, every role change crashes partway. ``late_orders``: for ``seconds``,
    role changes take five times as long.
    """

    at: float
    kind: str
    zone: str = ""
    seconds: float = 5.0
