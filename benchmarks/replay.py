"""Discrete-event simulation of gateways that route requests to engines.

An engine has a priority queue, a bounded number of slots and a prefix cache. Each step
of an engine processes a chunk of the waiting prompts and one token of every stream.
Gateways route independently, on load reports that arrive late. The clock is simulated;
there is no network and no daemon.
"""

import heapq
import random
from bisect import insort
from collections import OrderedDict
from collections.abc import Callable

import msgspec

from camphorgate.requests.request_state import (
    Dispatch,
    LoadReport,
    RoutingRequest,
    UpstreamState,
)

PREFILL_CHUNK_TOKENS = 1024
MIN_DECODE_STEP_SECONDS = 0.010
IDLE_STEP_SECONDS = 0.002
REPORT_INTERVAL_SECONDS = 0.5
REPORT_DELAY_SECONDS = (0.5, 2.0)
MAX_FIRST_TOKEN_SECONDS = 0.64
MAX_TOKEN_GAP_SECONDS = 0.067


class Job(msgspec.Struct, eq=False):
    """A request of the replay, its progress and its outcome."""

    arrival: float
    gateway: int
    request: RoutingRequest
    view: UpstreamState | None = None
    dispatch: Dispatch | None = None
    priority: int = 0
    prefill_left: float = 0.0
    tokens: int = 0
    first_at: float = 0.0
    done_at: float = 0.0
    refused: bool = False

    def meets_latency_targets(self) -> bool:
        """Return whether both latency targets were met."""
        if not self.done_at or self.first_at - self.arrival > MAX_FIRST_TOKEN_SECONDS:
            return False
        gaps = self.request.output_tokens - 1
        return (
            gaps < 1 or (self.done_at - self.first_at) / gaps <= MAX_TOKEN_GAP_SECONDS
        )


def _priority_key(job: Job) -> int:
    return -job.priority


class Engine:
    """An engine with a queue, slots, a prefix cache, and prefill and decode rates."""

    __slots__ = ("view", "cache_size", "queue", "prefilling", "streams", "busy")

    def __init__(self, view: UpstreamState, cache_size: int) -> None:
        """Create an idle engine.

        :param view: zone, slots and rates of the engine.
        :param cache_size: number of prefixes that fit into the cache.
        """
        self.view = view
        self.cache_size = cache_size
        self.queue: list[Job] = []
        self.prefilling: list[Job] = []
        self.streams: list[Job] = []
        self.busy = False

    def enqueue(self, job: Job) -> None:
        """Queue a job behind the jobs of the same priority."""
        insort(self.queue, job, key=_priority_key)

    def step(self, cache: OrderedDict[str, None]) -> tuple[float, list[Job]]:
        """Run one step; return its duration and the jobs whose prompt it finished."""
        # A partly processed prompt is finished before any other.
        in_progress = min(len(self.prefilling), 1)
        while self.queue and self.occupied_slots() < self.view.slots:
            job = self.queue.pop(0)
            job.prefill_left = self._uncached(job.request, cache)
            insort(self.prefilling, job, lo=in_progress, key=_priority_key)
        budget = PREFILL_CHUNK_TOKENS
        finished = []
        while self.prefilling and budget > 0:
            job = self.prefilling[0]
            processed = min(budget, job.prefill_left)
            job.prefill_left -= processed
            budget -= processed
            if job.prefill_left > 0:
                break
            finished.append(self.prefilling.pop(0))
        seconds = (PREFILL_CHUNK_TOKENS - budget) / self.view.prefill_tokens_per_second
        if not self.streams:
            return max(seconds, IDLE_STEP_SECONDS), finished
        # A full batch reaches the declared decode rate.
        full_step_seconds = self.view.slots / self.view.decode_tokens_per_second
        occupied_share = len(self.streams) / self.view.slots
        return seconds + MIN_DECODE_STEP_SECONDS + (
            full_step_seconds - MIN_DECODE_STEP_SECONDS
        ) * occupied_share, finished

    def occupied_slots(self) -> int:
        """Return the number of occupied slots."""
        return len(self.prefilling) + len(self.streams)

    def _uncached(
        self, request: RoutingRequest, cache: OrderedDict[str, None]
    ) -> float:
        if not request.prefix_digest:
            return max(request.prompt_tokens, 1)
        is_cached = request.prefix_digest in cache
        cache[request.prefix_digest] = None
        cache.move_to_end(request.prefix_digest)
        if len(cache) > self.cache_size:
            cache.popitem(last=False)
        return max(request.prompt_tokens - is_cached * request.prefix_tokens, 1)


class Replay:
    """The simulation: engines, gateways and the event queue; ``now`` is its clock."""

    def __init__(
        self, engines: list[Engine], gateways: list, seed: int, until: float
    ) -> None:
        """Schedule the load reports and start the gateways.

        :param gateways: instances of the classes of :mod:`benchmarks.replay_gateways`.
        :param until: time at which repeated events stop, in seconds.
        """
        self.now = 0.0
        self.engines_by_id = {engine.view.id: engine for engine in engines}
        self.gateways = gateways
        self.random = random.Random(seed)
        self._until = until
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._event_count = 0
        self._caches_by_id = {name: OrderedDict() for name in self.engines_by_id}
        for name in self.engines_by_id:
            self.schedule_repeating(
                REPORT_INTERVAL_SECONDS, lambda name=name: self._send_report(name)
            )
        for gateway in gateways:
            gateway.start(self, gateways)

    def schedule(self, when: float, action: Callable[[], None]) -> None:
        """Schedule an action."""
        self._event_count += 1
        heapq.heappush(self._events, (when, self._event_count, action))

    def schedule_repeating(self, seconds: float, action: Callable[[], None]) -> None:
        """Repeat an action at an interval from a random start, until ``until``."""

        def run_and_reschedule() -> None:
            action()
            if self.now < self._until:
                self.schedule(self.now + seconds, run_and_reschedule)

        self.schedule(self.random.random() * seconds, run_and_reschedule)

    def run(self, jobs: list[Job]) -> None:
        """Replay all jobs until each has ended."""
        for job in jobs:
            self.schedule(job.arrival, lambda job=job: self._receive_request(job))
        while self._events:
            self.now, _, action = heapq.heappop(self._events)
            action()

    def dispatch(self, job: Job, view: UpstreamState) -> None:
        """Send a job to the engine that a gateway chose."""
        job.view = view
        job.dispatch = view.begin_dispatch(job.request, self.now)
        engine = self.engines_by_id[view.id]
        engine.enqueue(job)
        if not engine.busy:
            engine.busy = True
            self._start_step(engine)

    def _receive_request(self, job: Job) -> None:
        self.gateways[job.gateway].receive_request(job, self)

    def _start_step(self, engine: Engine) -> None:
        seconds, finished = engine.step(self._caches_by_id[engine.view.id])
        self.schedule(
            self.now + seconds, lambda: self._end_step(engine, finished, seconds)
        )

    def _end_step(self, engine: Engine, prompts: list[Job], seconds: float) -> None:
        decoded = engine.streams
        engine.streams = []
        for job in prompts:
            job.first_at = self.now
            job.view.record_first_token(job.dispatch)
            self.gateways[job.gateway].on_first_token(job, self)
        for job in decoded:
            job.view.record_token_gap(seconds, self.now)
        for job in decoded + prompts:
            job.tokens += 1
            if job.tokens < job.request.output_tokens:
                engine.streams.append(job)
                continue
            job.done_at = self.now
            job.view.end_dispatch(job.dispatch)
            self.gateways[job.gateway].on_request_end(job, self)
        if engine.queue or engine.prefilling or engine.streams:
            self._start_step(engine)
        else:
            engine.busy = False

    def _send_report(self, name: str) -> None:
        """Report the load of an engine to each gateway, with a delay unknown to it."""
        engine = self.engines_by_id[name]
        load = (engine.occupied_slots(), len(engine.queue))
        for gateway in self.gateways:
            delay = self.random.uniform(*REPORT_DELAY_SECONDS)
            view = gateway.views_by_id[name]
            self.schedule(
                self.now + delay,
                lambda view=view, load=load: self._receive_report(view, load),
            )

    def _receive_report(self, view: UpstreamState, load: tuple[int, int]) -> None:
        running, waiting = load
        view.store_report(LoadReport(self.now, running, waiting, view.slots))
