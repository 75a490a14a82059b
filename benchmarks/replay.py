"""Replay of requests against engines in memory, with a passed-in clock.

An engine has one queue in the order of priority, a bounded number of slots, a prefix
cache and steps: each step takes a chunk of the waiting prompts and one token of every
stream. Gateways route independently on load reports that arrive late. There is no
network and no daemon.
"""

import heapq
import random
from bisect import insort
from collections import OrderedDict
from collections.abc import Callable

import msgspec

from camphorgate.requests.views import (
    Dispatch,
    LoadReport,
    RequestView,
    UpstreamView,
)

CHUNK_TOKENS = 1024
STEP_SECONDS = 0.010
IDLE_STEP_SECONDS = 0.002
REPORT_SECONDS = 0.5
REPORT_LAG_SECONDS = (0.5, 2.0)
FIRST_TOKEN_SECONDS = 0.64
TOKEN_SECONDS = 0.067


class Job(msgspec.Struct, eq=False):
    """One request of the replay and what became of it."""

    arrival: float
    gateway: int
    request: RequestView
    view: UpstreamView | None = None
    dispatch: Dispatch | None = None
    priority: int = 0
    prefill_left: float = 0.0
    tokens: int = 0
    first_at: float = 0.0
    done_at: float = 0.0
    refused: bool = False

    def good(self) -> bool:
        """Tell whether both latency goals were met."""
        if not self.done_at or self.first_at - self.arrival > FIRST_TOKEN_SECONDS:
            return False
        gaps = self.request.output_tokens - 1
        return gaps < 1 or (self.done_at - self.first_at) / gaps <= TOKEN_SECONDS


def _rank(job: Job) -> int:
    return -job.priority


class Engine:
    """One engine: a queue, slots, a prefix cache, prefill and decode rates."""

    __slots__ = ("view", "cache_size", "queue", "prefilling", "streams", "busy")

    def __init__(self, view: UpstreamView, cache_size: int) -> None:
        """Start idle.

        :param view: declares zone, slots and rates.
        :param cache_size: how many prefixes fit.
        """
        self.view = view
        self.cache_size = cache_size
        self.queue: list[Job] = []
        self.prefilling: list[Job] = []
        self.streams: list[Job] = []
        self.busy = False

    def enqueue(self, job: Job) -> None:
        """Put a job behind those of its priority."""
        insort(self.queue, job, key=_rank)

    def step(self, cache: OrderedDict[str, None]) -> tuple[float, list[Job]]:
        """Take a chunk of prompts; return the duration and the prompts finished."""
        # A prompt that is partly read is finished before any other.
        begun = min(len(self.prefilling), 1)
        while self.queue and self.running() < self.view.slots:
            job = self.queue.pop(0)
            job.prefill_left = self._uncached(job.request, cache)
            insort(self.prefilling, job, lo=begun, key=_rank)
        budget = CHUNK_TOKENS
        finished = []
        while self.prefilling and budget > 0:
            job = self.prefilling[0]
            taken = min(budget, job.prefill_left)
            job.prefill_left -= taken
            budget -= taken
            if job.prefill_left > 0:
                break
            finished.append(self.prefilling.pop(0))
        seconds = (CHUNK_TOKENS - budget) / self.view.prefill_tokens_per_second
        if not self.streams:
            return max(seconds, IDLE_STEP_SECONDS), finished
        # A full batch reaches the declared decode rate.
        full = self.view.slots / self.view.decode_tokens_per_second
        part = len(self.streams) / self.view.slots
        return seconds + STEP_SECONDS + (full - STEP_SECONDS) * part, finished

    def running(self) -> int:
        """Return how many slots are taken."""
        return len(self.prefilling) + len(self.streams)

    def _uncached(self, request: RequestView, cache: OrderedDict[str, None]) -> float:
        if not request.prefix_digest:
            return max(request.prompt_tokens, 1)
        known = request.prefix_digest in cache
        cache[request.prefix_digest] = None
        cache.move_to_end(request.prefix_digest)
        if len(cache) > self.cache_size:
            cache.popitem(last=False)
        return max(request.prompt_tokens - known * request.prefix_tokens, 1)


class Replay:
    """Engines, gateways and the queue of events; ``now`` is the clock."""

    def __init__(
        self, engines: list[Engine], gateways: list, seed: int, until: float
    ) -> None:
        """Prepare the first reports.

        :param gateways: objects like those of :mod:`benchmarks.replay_gateways`.
        :param until: when reports stop, in seconds.
        """
        self.now = 0.0
        self.engines_by_id = {engine.view.id: engine for engine in engines}
        self.gateways = gateways
        self.random = random.Random(seed)
        self._until = until
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._count = 0
        self._caches_by_id = {name: OrderedDict() for name in self.engines_by_id}
        for name in self.engines_by_id:
            self.every(REPORT_SECONDS, lambda name=name: self._tell(name))
        for gateway in gateways:
            gateway.start(self, gateways)

    def at(self, when: float, action: Callable[[], None]) -> None:
        """Run an action at a time."""
        self._count += 1
        heapq.heappush(self._events, (when, self._count, action))

    def every(self, seconds: float, action: Callable[[], None]) -> None:
        """Run an action again and again, as long as reports are sent."""

        def again() -> None:
            action()
            if self.now < self._until:
                self.at(self.now + seconds, again)

        self.at(self.random.random() * seconds, again)

    def run(self, jobs: list[Job]) -> None:
        """Replay all jobs to their end."""
        for job in jobs:
            self.at(job.arrival, lambda job=job: self._arrive(job))
        while self._events:
            self.now, _, action = heapq.heappop(self._events)
            action()

    def dispatch(self, job: Job, view: UpstreamView) -> None:
        """Send a job to the engine of a gateway's view."""
        job.view = view
        job.dispatch = view.begin(job.request, self.now)
        engine = self.engines_by_id[view.id]
        engine.enqueue(job)
        if not engine.busy:
            engine.busy = True
            self._start_step(engine)

    def _arrive(self, job: Job) -> None:
        self.gateways[job.gateway].arrive(job, self)

    def _start_step(self, engine: Engine) -> None:
        seconds, finished = engine.step(self._caches_by_id[engine.view.id])
        self.at(self.now + seconds, lambda: self._end_step(engine, finished, seconds))

    def _end_step(self, engine: Engine, prompts: list[Job], seconds: float) -> None:
        decoded = engine.streams
        engine.streams = []
        for job in prompts:
            job.first_at = self.now
            job.view.first_token(job.dispatch)
            self.gateways[job.gateway].first_token(job, self)
        for job in decoded:
            job.view.note_token(seconds, self.now)
        for job in decoded + prompts:
            job.tokens += 1
            if job.tokens < job.request.output_tokens:
                engine.streams.append(job)
                continue
            job.done_at = self.now
            job.view.end(job.dispatch)
            self.gateways[job.gateway].release(job, self)
        if engine.queue or engine.prefilling or engine.streams:
            self._start_step(engine)
        else:
            engine.busy = False

    def _tell(self, name: str) -> None:
        """Send the engine's load to each gateway, late; the lag is not told."""
        engine = self.engines_by_id[name]
        figures = (engine.running(), len(engine.queue))
        for gateway in self.gateways:
            lag = self.random.uniform(*REPORT_LAG_SECONDS)
            view = gateway.views_by_id[name]
            self.at(self.now + lag, lambda v=view, f=figures: self._receive(v, f))

    def _receive(self, view: UpstreamView, figures: tuple[int, int]) -> None:
        running, waiting = figures
        view.take_report(LoadReport(self.now, running, waiting, view.slots))
