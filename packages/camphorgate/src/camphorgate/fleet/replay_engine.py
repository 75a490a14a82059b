"""One engine of a trace replay: a queue of prompts and a set of streams.

Prompts are taken one at a time; streams share the decode rate equally. On an engine
that does both, a prompt in progress slows the streams and streams slow the prompt.
"""

import heapq
from collections import deque

import msgspec

from camphorgate.fleet.state import Engine, Rates
from camphorgate.manifest import EngineRole, UpstreamKind

# A single stream is bounded by the length of a decode step.
STREAM_TOKENS_PER_SECOND = 50.0


class Job:
    """A request on its way; ``runs`` counts how often it was started."""

    __slots__ = (
        "at",
        "workspace",
        "prompt",
        "output",
        "kind",
        "first_at",
        "done_at",
        "produced",
        "counted",
        "runs",
        "refused",
        "unknown",
    )

    def __init__(
        self, at: float, workspace: int, prompt: float, output: float, kind: str
    ) -> None:
        """Create a request that has not started.

        :param kind: ``"stream"``, ``"batch"`` or ``"booking"``.
        """
        self.at = at
        self.workspace = workspace
        self.prompt = prompt
        self.output = output
        self.kind = kind
        self.first_at: float | None = None
        self.done_at: float | None = None
        self.produced = 0.0
        self.counted = 0.0
        self.runs = 0
        self.refused = False
        self.unknown = False


class ReplayEngine:
    """State of one engine; times are seconds of the trace."""

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
        "at",
        "run",
        "until",
        "next_role",
        "withdrawn_at",
        "notice_until",
        "open_until",
        "bookings",
        "_sequence",
    )

    def __init__(
        self, engine_id: str, zone: str, kind: UpstreamKind, role: EngineRole, rates
    ) -> None:
        """Create an engine that serves."""
        self.id = engine_id
        self.zone = zone
        self.kind = kind
        self.role = role
        self.phase = "serving"
        self.rates: Rates = rates
        self.queue: deque[Job] = deque()
        self.queued_tokens = 0.0
        self.current: Job | None = None
        self.streams: list[tuple[float, int, Job]] = []
        self.progress = 0.0
        self.at = 0.0
        # Raised by every crash, so that events of an earlier run are ignored.
        self.run = 0
        self.until = 0.0
        self.next_role: EngineRole | None = None
        self.withdrawn_at: float | None = None
        self.notice_until: float | None = None
        self.open_until = 0.0
        self.bookings: set[Job] = set()
        self._sequence = 0

    def advance(self, now: float) -> list[Job]:
        """Move the streams on and return those that ended.

        The time that an equal share takes follows from a common progress counter, so
        a step costs only as many operations as streams end.
        """
        ended = []
        factor = self.rates.mixed_decode if self.current is not None else 1.0
        total = self.rates.decode * factor
        while self.streams:
            count = len(self.streams)
            rate = min(STREAM_TOKENS_PER_SECOND, total / count)
            finish = self.at + (self.streams[0][0] - self.progress) / rate
            if finish > now:
                self.progress += max(0.0, now - self.at) * rate
                break
            self.progress, _, job = heapq.heappop(self.streams)
            self.at = finish
            job.done_at, job.produced = finish, job.output
            ended.append(job)
        self.at = now
        return ended

    def add_stream(self, job: Job) -> None:
        """Start the decode of a request; advance the engine first."""
        self._sequence += 1
        end = self.progress + job.output - job.produced
        heapq.heappush(self.streams, (end, self._sequence, job))

    def enqueue(self, job: Job) -> None:
        """Put a request in the queue of prompts."""
        self.queue.append(job)
        self.queued_tokens += job.prompt + job.produced

    def prefill_seconds(self, job: Job) -> float:
        """Return how long the prompt of a request takes now."""
        factor = self.rates.mixed_prefill if self.streams else 1.0
        return (job.prompt + job.produced) / (self.rates.prefill * factor)

    def first_token_in(self, tokens: float) -> float:
        """Return when a new prompt would give its first token, in seconds from now."""
        factor = self.rates.mixed_prefill if self.streams else 1.0
        return (self.queued_tokens + tokens) / (self.rates.prefill * factor)

    def prefill_wait(self) -> float:
        """Return the expected wait of a new prompt."""
        factor = self.rates.mixed_prefill if self.streams else 1.0
        return self.queued_tokens / (self.rates.prefill * factor)

    def decode_pressure(self) -> float:
        """Return streams per token/s, to compare engines."""
        factor = 1.0
        if self.role == "both" and (self.current is not None or self.queue):
            factor = self.rates.mixed_decode
        return (len(self.streams) + 1) / (self.rates.decode * factor)

    def running(self) -> int:
        """Return the requests in flight."""
        waiting = len(self.queue) + (self.current is not None)
        return waiting + len(self.streams) + len(self.bookings)

    def drop_all(self, now: float) -> list[Job]:
        """Empty the engine, as in a crash, and return what was in flight."""
        self.advance(now)
        jobs = [*([self.current] if self.current else []), *self.queue]
        for end, _, job in self.streams:
            job.produced = job.output - (end - self.progress)
            jobs.append(job)
        self.queue.clear()
        self.streams.clear()
        self.queued_tokens, self.current = 0.0, None
        self.run += 1
        return jobs

    def view(self, now: float, target: EngineRole | None) -> Engine:
        """Return what a planner sees."""
        withdrawn = self.withdrawn_at
        return Engine(
            id=self.id,
            availability_zone=self.zone,
            kind=self.kind,
            role=self.role,
            phase=self.phase,
            running=self.running(),
            open_order=now < self.open_until,
            target=target,
            notice_seconds=self.notice_until and self.notice_until - now,
            withdrawn_for=None if withdrawn is None else now - withdrawn,
        )


class Fault(msgspec.Struct, frozen=True):
    """Something that fails at a time of the trace.

    ``evict_zone``: the cheap upstreams of ``zone`` leave after ``seconds``.
    ``crash``: an engine is gone for ``seconds``. ``crash_changes``: until ``seconds``
    later, every role change crashes partway. ``late_orders``: until ``seconds`` later,
    a role change takes five times as long.
    """

    at: float
    kind: str
    zone: str = ""
    seconds: float = 5.0
