"""Replays a trace against the planners, to compare their decisions.

The clock is the trace's own. There is no network, process or message: a request goes
to the engine with the shortest queue, and orders take effect after stated times.
"""

import heapq
import random
from collections import deque
from collections.abc import Iterator
from typing import Protocol

import msgspec

from camphorgate.fleet.capacity import CapacityAction
from camphorgate.fleet.changes import RoleOrder
from camphorgate.fleet.demand import DecodeTokenCounter, DemandSample
from camphorgate.fleet.eviction import InFlightRequest, plan_evacuation
from camphorgate.fleet.replay_engine import Fault, Job, ReplayEngine
from camphorgate.fleet.state import Engine, Rates
from camphorgate.manifest import EngineRole, UpstreamKind

FIRST_TOKEN_SECONDS = 0.64
TOKEN_SECONDS = 0.067
BATCH_SECONDS = 7200.0
# A request whose first token is expected later than this is refused, not run.
REFUSE_SECONDS = 2.0
HANDOVER_SECONDS = 0.02
TICK_SECONDS = 1.0
PLAN_TICKS = 5
BOOKING_SECONDS = 0.1
BATCH_WAIT_SECONDS = 0.15
BATCH_STREAMS = 16
# After the end of a trace, requests in flight may take this long to end.
TAIL_SECONDS = 600.0


class Trace(msgspec.Struct):
    """Requests, faults and the fleet at the start.

    ``requests`` holds (at, workspace, prompt, output, kind), ordered by time;
    ``fleet`` holds (zone, kind, role).
    """

    name: str
    seconds: float
    requests: list[tuple[float, int, float, float, str]]
    fleet: list[tuple[str, UpstreamKind, EngineRole]]
    zones: list[str]
    faults: list[Fault] = []
    weights: tuple[float, ...] = (1.0,) * 8
    rates: Rates = Rates()
    start_at: float = 0.0
    seed: int = 0


class Planner(Protocol):
    """What the replay asks every few seconds."""

    changes: int

    def plan(
        self, now: float, engines: tuple[Engine, ...], sample: DemandSample
    ) -> list[RoleOrder | CapacityAction]:
        """Return the orders to send now."""

    def target_of(self, engine_id: str) -> EngineRole | None:
        """Return the role to which an engine is being changed."""


class Replay:
    """One run of a trace."""

    def __init__(self, trace: Trace, planner: Planner, provisioning: float) -> None:
        """Set up the fleet of the trace.

        :param provisioning: mean delay of a start, in seconds.
        """
        self.trace = trace
        self.planner = planner
        self.provisioning = provisioning
        self.random = random.Random(trace.seed)
        self.engines: list[ReplayEngine] = []
        for zone, kind, role in trace.fleet:
            self._add_engine(zone, kind, role)
        self.jobs: list[Job] = []
        self.events: list[tuple] = []
        self.waiting: deque[Job] = deque()
        self.batch: deque[Job] = deque()
        self.sample = [0.0, 0.0, 0.0, 0]
        self.decode_counter = DecodeTokenCounter()
        self.engine_seconds = {"ordinary": 0.0, "cheap": 0.0}
        self.work_by_kind = {"ordinary": 0.0, "cheap": 0.0}
        self.stopped_with_work = 0
        self.crash_until = self.late_until = -1.0
        self._sequence = self._created = 0

    def run(self) -> "Replay":
        """Replay the whole trace and let what is in flight end."""
        self._created = len(self.engines)
        for fault in self.trace.faults:
            self._push(fault.at, self._fail, fault)
        self._push(0.0, self._tick, 0)
        requests = iter(self.trace.requests)
        upcoming = next(requests, None)
        while upcoming or self.events:
            if upcoming and (not self.events or upcoming[0] <= self.events[0][0]):
                job = Job(*upcoming)
                self.jobs.append(job)
                self._arrive(job, upcoming[0])
                upcoming = next(requests, None)
            else:
                at, _, action, argument = heapq.heappop(self.events)
                action(at, argument)
        return self

    def _push(self, at: float, action, argument) -> None:
        self._sequence += 1
        heapq.heappush(self.events, (at, self._sequence, action, argument))

    def _add_engine(self, zone: str, kind: UpstreamKind, role: EngineRole) -> None:
        name = f"engine-{len(self.engines):03}"
        self.engines.append(ReplayEngine(name, zone, kind, role, self.trace.rates))

    def _serving(self, role: EngineRole) -> Iterator[ReplayEngine]:
        for engine in self.engines:
            takes_work = engine.phase == "serving" and engine.withdrawn_at is None
            if takes_work and engine.role in (role, "both"):
                yield engine

    def _soonest(self, job: Job) -> ReplayEngine | None:
        """Return the engine that gives the first token soonest."""
        tokens = job.prompt + job.produced
        return min(
            self._serving("prefill"),
            key=lambda item: (item.first_token_in(tokens), len(item.streams)),
            default=None,
        )

    # Requests.

    def _arrive(self, job: Job, now: float) -> None:
        if job.kind == "booking":
            self._book(job, now)
            return
        self.sample[0] += job.prompt
        self.sample[3] += 1
        if job.kind == "batch":
            job.counted = self.decode_counter.start()
            self.batch.append(job)
            return
        engine = self._soonest(job)
        if engine is None or engine.prefill_wait() > REFUSE_SECONDS:
            job.refused = True
            self.sample[0] -= job.prompt
            self.sample[3] -= 1
            self.sample[1] += job.prompt
            self.sample[2] += self.decode_counter.typical_length
            return
        job.counted = self.decode_counter.start()
        self._prefill(engine, job, now)

    def _book(self, job: Job, now: float) -> None:
        """Run a call that must not be repeated, on ordinary upstreams only."""
        able = [e for e in self._serving("both") if e.kind == "ordinary"]
        able = able or [e for e in self._serving("decode") if e.kind == "ordinary"]
        if not able:
            job.refused = True
            return
        engine = min(able, key=lambda item: len(item.bookings))
        engine.bookings.add(job)
        job.runs += 1
        self._push(now + BOOKING_SECONDS, self._booked, (engine, job))

    def _booked(self, now: float, argument: tuple[ReplayEngine, Job]) -> None:
        engine, job = argument
        if job in engine.bookings:
            engine.bookings.discard(job)
            job.done_at = now

    def _prefill(self, engine: ReplayEngine, job: Job, now: float) -> None:
        engine.enqueue(job)
        if engine.current is None:
            self._next_prompt(engine, now)

    def _next_prompt(self, engine: ReplayEngine, now: float) -> None:
        self._finish(engine, now)
        engine.current = engine.queue.popleft() if engine.queue else None
        if engine.current:
            end = now + engine.prefill_seconds(engine.current)
            self._push(end, self._prefilled, (engine, engine.run, engine.current))

    def _prefilled(self, now: float, argument: tuple[ReplayEngine, int, Job]) -> None:
        engine, run, job = argument
        if run != engine.run:
            return
        self._finish(engine, now)
        engine.queued_tokens -= job.prompt + job.produced
        engine.current = None
        self.work_by_kind[engine.kind] += job.prompt / engine.rates.prefill
        if job.first_at is None:
            job.first_at = now
        self._decode(job, engine, now)
        self._next_prompt(engine, now)

    def _decode(self, job: Job, source: ReplayEngine, now: float) -> None:
        engine = min(
            self._serving("decode"),
            key=lambda item: (item.decode_pressure(), item is not source),
            default=None,
        )
        if engine is None:
            self.waiting.append(job)
            return
        self._finish(engine, now)
        if engine is not source:
            # The cache is handed over; the stream starts that much later.
            job.first_at += HANDOVER_SECONDS if job.produced == 0 else 0.0
        engine.add_stream(job)

    def _finish(self, engine: ReplayEngine, now: float) -> None:
        for job in engine.advance(now):
            self.decode_counter.finish(job.counted, job.output)
            self.work_by_kind[engine.kind] += job.output / engine.rates.decode

    def _resume(self, jobs: list[Job], now: float) -> None:
        """Put interrupted work back; it has started, so it is never refused."""
        for job in jobs:
            engine = self._soonest(job)
            if engine is None:
                self.waiting.append(job)
            else:
                self._prefill(engine, job, now)

    # The passing of time.

    def _tick(self, now: float, number: int) -> None:
        for engine in self.engines:
            self._finish(engine, now)
            self._settle(engine, now)
            if engine.phase not in ("starting", "gone"):
                self.engine_seconds[engine.kind] += TICK_SECONDS * (
                    now <= self.trace.seconds
                )
        waiting = [self.waiting.popleft() for _ in range(len(self.waiting))]
        self._resume(waiting, now)
        self._feed_batch(now)
        if number % PLAN_TICKS == 0:
            self._plan(now)
        busy = any(engine.running() for engine in self.engines) or self.waiting
        more = now < self.trace.seconds or ((busy or self.batch) and number >= 0)
        if more and now < self.trace.seconds + TAIL_SECONDS + 7200 * bool(self.batch):
            self._push(now + TICK_SECONDS, self._tick, number + 1)

    def _settle(self, engine: ReplayEngine, now: float) -> None:
        """End what an engine was waiting for."""
        if engine.until > now:
            return
        if engine.phase in ("starting", "changing", "down"):
            engine.role = engine.next_role or engine.role
            engine.next_role, engine.phase = None, "serving"
        elif engine.phase == "leaving":
            self._remove(engine, now)

    def _feed_batch(self, now: float) -> None:
        """Give waiting batch work to engines that have room for it."""
        while self.batch:
            engine = self._soonest(self.batch[0])
            streams = min(
                (len(item.streams) for item in self._serving("decode")), default=99
            )
            if engine is None or engine.prefill_wait() > BATCH_WAIT_SECONDS:
                return
            if streams >= BATCH_STREAMS:
                return
            self._prefill(engine, self.batch.popleft(), now)

    def _plan(self, now: float) -> None:
        seconds = PLAN_TICKS * TICK_SECONDS
        sample = DemandSample(
            seconds,
            self.sample[0],
            self.decode_counter.take(),
            self.sample[1],
            self.sample[2],
            sum(job.prompt for job in self.batch),
            len(self.batch) * self.decode_counter.typical_length,
            self.sample[3],
        )
        self.sample = [0.0, 0.0, 0.0, 0]
        views = tuple(
            engine.view(now, self.planner.target_of(engine.id))
            for engine in self.engines
            if engine.phase != "gone"
        )
        for order in self.planner.plan(now, views, sample):
            if isinstance(order, RoleOrder):
                self._order_role(order, now)
            else:
                self._order_capacity(order, now)

    # Orders and faults.

    def _order_role(self, order: RoleOrder, now: float) -> None:
        engine = self._engine(order.engine_id)
        if engine.phase not in ("serving", "draining"):
            return
        if order.kind == "drain":
            engine.phase = "draining"
        elif order.kind == "release":
            engine.phase = "serving"
        else:
            self.stopped_with_work += engine.running() > 0
            late = 5.0 if now < self.late_until else 1.0
            seconds = self.trace.rates.role_change_seconds * late
            engine.phase, engine.next_role = "changing", order.role
            engine.until = now + seconds * self.random.uniform(0.8, 1.3)
            engine.open_until = engine.until if late > 1 else 0.0
            if now < self.crash_until:
                # Crashes partway and comes back in its old role.
                engine.phase, engine.next_role = "down", None
                engine.until = now + 20.0

    def _order_capacity(self, action: CapacityAction, now: float) -> None:
        if action.kind == "start":
            self._add_engine(action.availability_zone, action.upstream_kind, "both")
            engine = self.engines[-1]
            engine.phase = "starting"
            engine.until = now + self.provisioning * self.random.uniform(0.7, 1.4)
            return
        engine = self._engine(action.upstream_id)
        if action.kind == "withdraw":
            engine.withdrawn_at = now
        else:
            self.stopped_with_work += engine.running() > 0
            self._remove(engine, now)

    def _engine(self, engine_id: str) -> ReplayEngine:
        return self.engines[int(engine_id.rpartition("-")[2])]

    def _remove(self, engine: ReplayEngine, now: float) -> None:
        self._interrupt(engine, now)
        engine.phase = "gone"

    def _interrupt(self, engine: ReplayEngine, now: float) -> None:
        self._finish(engine, now)
        for job in engine.bookings:
            job.unknown = True
        engine.bookings.clear()
        phase, engine.phase = engine.phase, "down"
        self._resume(engine.drop_all(now), now)
        engine.phase = phase

    def _fail(self, now: float, fault: Fault) -> None:
        if fault.kind == "evict_zone":
            for engine in self.engines:
                present = engine.phase not in ("gone", "starting")
                if engine.zone == fault.zone and engine.kind == "cheap" and present:
                    self._evict(engine, now, fault.seconds)
        elif fault.kind == "crash":
            able = [engine for engine in self.engines if engine.phase == "serving"]
            if able:
                engine = self.random.choice(able)
                self._interrupt(engine, now)
                engine.phase, engine.until = "down", now + fault.seconds
        elif fault.kind == "crash_changes":
            self.crash_until = now + fault.seconds
        else:
            self.late_until = now + fault.seconds

    def _evict(self, engine: ReplayEngine, now: float, seconds: float) -> None:
        self._finish(engine, now)
        engine.phase = "leaving"
        engine.until = engine.notice_until = now + seconds
        rate = engine.rates.decode / max(1, len(engine.streams))
        work = [
            InFlightRequest(str(index), True, (end - engine.progress) / rate)
            for index, (end, _, _) in enumerate(engine.streams)
        ]
        move = {int(item) for item in plan_evacuation(work, seconds).move}
        moved = []
        for index, (end, _, job) in enumerate(engine.streams):
            if index in move:
                job.produced = job.output - (end - engine.progress)
                moved.append(job)
        engine.streams = [
            item for index, item in enumerate(engine.streams) if index not in move
        ]
        heapq.heapify(engine.streams)
        self._resume(moved, now)
