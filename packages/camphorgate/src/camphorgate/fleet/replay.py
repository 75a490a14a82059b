"""Simulates a trace of requests against the planners, to compare their decisions.

Time is simulated, and there are no processes, messages or network. A request goes to
the engine with the earliest expected first token, and orders take effect after given
delays.
"""

import heapq
import random
from collections import deque
from collections.abc import Iterator
from typing import Protocol

import msgspec

from camphorgate.fleet.capacity import CapacityAction
from camphorgate.fleet.demand import DecodeTokenCounter, DemandSample
from camphorgate.fleet.eviction import InFlightRequest, plan_evacuation
from camphorgate.fleet.pool_state import Engine, EngineRates
from camphorgate.fleet.replay_engine import Fault, Job, ReplayEngine
from camphorgate.fleet.role_changes import RoleOrder
from camphorgate.manifest import EngineRole, UpstreamKind

MAX_FIRST_TOKEN_SECONDS = 0.64
MAX_TOKEN_SECONDS = 0.067
MAX_BATCH_SECONDS = 7200.0
# A request is refused if its prompt would wait in the queue for longer than this.
MAX_PREFILL_WAIT_SECONDS = 2.0
HANDOVER_SECONDS = 0.02
TICK_SECONDS = 1.0
TICKS_PER_PLAN = 5
BOOKING_SECONDS = 0.1
MAX_BATCH_PREFILL_WAIT_SECONDS = 0.15
MAX_BATCH_STREAMS = 16
# Time that requests in flight have to finish after the end of a trace.
MAX_TAIL_SECONDS = 600.0


class Trace(msgspec.Struct):
    """Requests, faults and the initial fleet.

    ``requests`` holds tuples (at, workspace, prompt, output, kind), ordered by time.
    ``fleet`` holds a tuple (zone, kind, role) for each engine.
    """

    name: str
    seconds: float
    requests: list[tuple[float, int, float, float, str]]
    fleet: list[tuple[str, UpstreamKind, EngineRole]]
    zones: list[str]
    faults: list[Fault] = []
    weights: tuple[float, ...] = (1.0,) * 8
    rates: EngineRates = EngineRates()
    start_at: float = 0.0
    seed: int = 0


class Planner(Protocol):
    """Interface of the planners; the replay calls it every few seconds."""

    changes: int

    def plan(
        self, now: float, engines: tuple[Engine, ...], sample: DemandSample
    ) -> list[RoleOrder | CapacityAction]:
        """Return the orders to send now."""

    def target_of(self, engine_id: str) -> EngineRole | None:
        """Return the role to which an engine is being changed."""


class Replay:
    """Simulation of one trace with one planner."""

    def __init__(self, trace: Trace, planner: Planner, provisioning: float) -> None:
        """Create the initial fleet of the trace.

        :param provisioning: base delay of a start in seconds, varied at random.
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
        self.waiting_jobs: deque[Job] = deque()
        self.batch_jobs: deque[Job] = deque()
        self.sample = [0.0, 0.0, 0.0, 0]
        self.decode_counter = DecodeTokenCounter()
        self.engine_seconds = {"ordinary": 0.0, "cheap": 0.0}
        self.work_by_kind = {"ordinary": 0.0, "cheap": 0.0}
        self.stopped_with_work = 0
        self.crash_changes_until = self.late_orders_until = -1.0
        self._sequence = self._created = 0

    def run(self) -> "Replay":
        """Replay the whole trace, then let the requests in flight finish."""
        self._created = len(self.engines)
        for fault in self.trace.faults:
            self._push(fault.at, self._inject_fault, fault)
        self._push(0.0, self._tick, 0)
        requests = iter(self.trace.requests)
        upcoming = next(requests, None)
        while upcoming or self.events:
            if upcoming and (not self.events or upcoming[0] <= self.events[0][0]):
                job = Job(*upcoming)
                self.jobs.append(job)
                self._admit(job, upcoming[0])
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

    def _fastest_prefill_engine(self, job: Job) -> ReplayEngine | None:
        """Return the engine with the earliest expected first token."""
        tokens = job.prompt + job.produced
        return min(
            self._serving("prefill"),
            key=lambda item: (item.first_token_seconds(tokens), len(item.streams)),
            default=None,
        )

    # Requests.

    def _admit(self, job: Job, now: float) -> None:
        if job.kind == "booking":
            self._start_booking(job, now)
            return
        self.sample[0] += job.prompt
        self.sample[3] += 1
        if job.kind == "batch":
            job.counted_tokens = self.decode_counter.start()
            self.batch_jobs.append(job)
            return
        engine = self._fastest_prefill_engine(job)
        if engine is None or engine.prefill_wait_seconds() > MAX_PREFILL_WAIT_SECONDS:
            job.refused = True
            self.sample[0] -= job.prompt
            self.sample[3] -= 1
            self.sample[1] += job.prompt
            self.sample[2] += self.decode_counter.typical_length
            return
        job.counted_tokens = self.decode_counter.start()
        self._enqueue_prefill(engine, job, now)

    def _start_booking(self, job: Job, now: float) -> None:
        """Run a call that must not be repeated; only ordinary upstreams get it."""
        candidates = [e for e in self._serving("both") if e.kind == "ordinary"]
        candidates = candidates or [
            e for e in self._serving("decode") if e.kind == "ordinary"
        ]
        if not candidates:
            job.refused = True
            return
        engine = min(candidates, key=lambda item: len(item.bookings))
        engine.bookings.add(job)
        job.runs += 1
        self._push(now + BOOKING_SECONDS, self._end_booking, (engine, job))

    def _end_booking(self, now: float, argument: tuple[ReplayEngine, Job]) -> None:
        engine, job = argument
        if job in engine.bookings:
            engine.bookings.discard(job)
            job.done_at = now

    def _enqueue_prefill(self, engine: ReplayEngine, job: Job, now: float) -> None:
        engine.enqueue(job)
        if engine.current is None:
            self._start_next_prompt(engine, now)

    def _start_next_prompt(self, engine: ReplayEngine, now: float) -> None:
        self._advance(engine, now)
        engine.current = engine.queue.popleft() if engine.queue else None
        if engine.current:
            end = now + engine.prefill_seconds(engine.current)
            self._push(
                end, self._end_prefill, (engine, engine.generation, engine.current)
            )

    def _end_prefill(self, now: float, argument: tuple[ReplayEngine, int, Job]) -> None:
        engine, generation, job = argument
        if generation != engine.generation:
            return
        self._advance(engine, now)
        engine.queued_tokens -= job.prompt + job.produced
        engine.current = None
        self.work_by_kind[engine.kind] += job.prompt / engine.rates.prefill
        if job.first_at is None:
            job.first_at = now
        self._start_decode(job, engine, now)
        self._start_next_prompt(engine, now)

    def _start_decode(self, job: Job, source: ReplayEngine, now: float) -> None:
        engine = min(
            self._serving("decode"),
            key=lambda item: (item.decode_pressure(), item is not source),
            default=None,
        )
        if engine is None:
            self.waiting_jobs.append(job)
            return
        self._advance(engine, now)
        if engine is not source:
            # Transferring the KV cache delays the start of the stream.
            job.first_at += HANDOVER_SECONDS if job.produced == 0 else 0.0
        engine.add_stream(job)

    def _advance(self, engine: ReplayEngine, now: float) -> None:
        for job in engine.advance(now):
            self.decode_counter.finish(job.counted_tokens, job.output)
            self.work_by_kind[engine.kind] += job.output / engine.rates.decode

    def _restart_prefill(self, jobs: list[Job], now: float) -> None:
        """Queue interrupted requests again; started requests are never refused."""
        for job in jobs:
            engine = self._fastest_prefill_engine(job)
            if engine is None:
                self.waiting_jobs.append(job)
            else:
                self._enqueue_prefill(engine, job, now)

    # Periodic work.

    def _tick(self, now: float, number: int) -> None:
        for engine in self.engines:
            self._advance(engine, now)
            self._end_phase(engine, now)
            if engine.phase not in ("starting", "gone"):
                self.engine_seconds[engine.kind] += TICK_SECONDS * (
                    now <= self.trace.seconds
                )
        waiting = [self.waiting_jobs.popleft() for _ in range(len(self.waiting_jobs))]
        self._restart_prefill(waiting, now)
        self._dispatch_batch(now)
        if number % TICKS_PER_PLAN == 0:
            self._plan(now)
        busy = (
            any(engine.running_count() for engine in self.engines) or self.waiting_jobs
        )
        continues = now < self.trace.seconds or (
            (busy or self.batch_jobs) and number >= 0
        )
        if continues and now < self.trace.seconds + MAX_TAIL_SECONDS + 7200 * bool(
            self.batch_jobs
        ):
            self._push(now + TICK_SECONDS, self._tick, number + 1)

    def _end_phase(self, engine: ReplayEngine, now: float) -> None:
        """End an engine's temporary phase once its time is over."""
        if engine.phase_ends_at > now:
            return
        if engine.phase in ("starting", "changing", "down"):
            engine.role = engine.next_role or engine.role
            engine.next_role, engine.phase = None, "serving"
        elif engine.phase == "leaving":
            self._remove(engine, now)

    def _dispatch_batch(self, now: float) -> None:
        """Send waiting batch requests to engines with free capacity."""
        while self.batch_jobs:
            engine = self._fastest_prefill_engine(self.batch_jobs[0])
            streams = min(
                (len(item.streams) for item in self._serving("decode")), default=99
            )
            if (
                engine is None
                or engine.prefill_wait_seconds() > MAX_BATCH_PREFILL_WAIT_SECONDS
            ):
                return
            if streams >= MAX_BATCH_STREAMS:
                return
            self._enqueue_prefill(engine, self.batch_jobs.popleft(), now)

    def _plan(self, now: float) -> None:
        seconds = TICKS_PER_PLAN * TICK_SECONDS
        sample = DemandSample(
            seconds,
            self.sample[0],
            self.decode_counter.take(),
            self.sample[1],
            self.sample[2],
            sum(job.prompt for job in self.batch_jobs),
            len(self.batch_jobs) * self.decode_counter.typical_length,
            self.sample[3],
        )
        self.sample = [0.0, 0.0, 0.0, 0]
        views = tuple(
            engine.to_engine(now, self.planner.target_of(engine.id))
            for engine in self.engines
            if engine.phase != "gone"
        )
        for order in self.planner.plan(now, views, sample):
            if isinstance(order, RoleOrder):
                self._apply_role_order(order, now)
            else:
                self._apply_capacity_action(order, now)

    # Orders and faults.

    def _apply_role_order(self, order: RoleOrder, now: float) -> None:
        engine = self._engine(order.engine_id)
        if engine.phase not in ("serving", "draining"):
            return
        if order.kind == "drain":
            engine.phase = "draining"
        elif order.kind == "release":
            engine.phase = "serving"
        else:
            self.stopped_with_work += engine.running_count() > 0
            delay_factor = 5.0 if now < self.late_orders_until else 1.0
            seconds = self.trace.rates.role_change_seconds * delay_factor
            engine.phase, engine.next_role = "changing", order.role
            engine.phase_ends_at = now + seconds * self.random.uniform(0.8, 1.3)
            engine.order_open_until = engine.phase_ends_at if delay_factor > 1 else 0.0
            if now < self.crash_changes_until:
                # The engine crashes during the change and returns in its old role.
                engine.phase, engine.next_role = "down", None
                engine.phase_ends_at = now + 20.0

    def _apply_capacity_action(self, action: CapacityAction, now: float) -> None:
        if action.kind == "start":
            self._add_engine(action.availability_zone, action.upstream_kind, "both")
            engine = self.engines[-1]
            engine.phase = "starting"
            engine.phase_ends_at = now + self.provisioning * self.random.uniform(
                0.7, 1.4
            )
            return
        engine = self._engine(action.upstream_id)
        if action.kind == "withdraw":
            engine.withdrawn_at = now
        else:
            self.stopped_with_work += engine.running_count() > 0
            self._remove(engine, now)

    def _engine(self, engine_id: str) -> ReplayEngine:
        return self.engines[int(engine_id.rpartition("-")[2])]

    def _remove(self, engine: ReplayEngine, now: float) -> None:
        self._interrupt(engine, now)
        engine.phase = "gone"

    def _interrupt(self, engine: ReplayEngine, now: float) -> None:
        self._advance(engine, now)
        for job in engine.bookings:
            job.unknown = True
        engine.bookings.clear()
        phase, engine.phase = engine.phase, "down"
        self._restart_prefill(engine.drop_jobs(now), now)
        engine.phase = phase

    def _inject_fault(self, now: float, fault: Fault) -> None:
        if fault.kind == "evict_zone":
            for engine in self.engines:
                present = engine.phase not in ("gone", "starting")
                if engine.zone == fault.zone and engine.kind == "cheap" and present:
                    self._evict(engine, now, fault.seconds)
        elif fault.kind == "crash":
            candidates = [
                engine for engine in self.engines if engine.phase == "serving"
            ]
            if candidates:
                engine = self.random.choice(candidates)
                self._interrupt(engine, now)
                engine.phase, engine.phase_ends_at = "down", now + fault.seconds
        elif fault.kind == "crash_changes":
            self.crash_changes_until = now + fault.seconds
        else:
            self.late_orders_until = now + fault.seconds

    def _evict(self, engine: ReplayEngine, now: float, seconds: float) -> None:
        self._advance(engine, now)
        engine.phase = "leaving"
        engine.phase_ends_at = engine.notice_until = now + seconds
        rate = engine.rates.decode / max(1, len(engine.streams))
        requests = [
            InFlightRequest(str(index), True, (end - engine.progress) / rate)
            for index, (end, _, _) in enumerate(engine.streams)
        ]
        moved_indexes = {int(item) for item in plan_evacuation(requests, seconds).move}
        moved_jobs = []
        for index, (end, _, job) in enumerate(engine.streams):
            if index in moved_indexes:
                job.produced = job.output - (end - engine.progress)
                moved_jobs.append(job)
        engine.streams = [
            item
            for index, item in enumerate(engine.streams)
            if index not in moved_indexes
        ]
        heapq.heapify(engine.streams)
        self._restart_prefill(moved_jobs, now)
