"""Requests to language models: read the prompt on one engine, answer on another.

Provides ``generations``.
"""

import asyncio

from camphorgate.application import Application
from camphorgate.log import log_event
from camphorgate.serving.catalog import EngineSpec, Phase, Stage, Upstream
from camphorgate.serving.placement import Choice
from camphorgate.serving.reading_queue import LONG_TOKENS, ReadingQueue, Ticket
from camphorgated.serving.errors import CallFailed, ExchangeError
from camphorgated.serving.exchange import Exchange
from camphorgated.serving.front import Job
from camphorgated.serving.generation import Generation, Handle
from camphorgated.serving.patience import LOOK_SECONDS, wait_for_upstream
from camphorgated.serving.streaming import Streaming
from camphorgated.serving.wire import AnswerFacts

# Answering engines read a prompt themselves where that is predicted to be sooner than
# a reading engine by more than the second call and the move cost, ms.
DIRECT_MS = 10.0
# A reading engine that takes this many times the predicted time, and this much more,
# is taken for stuck.
READ_PATIENCE = 5.0
READ_PATIENCE_SECONDS = 1.5
# The answer to a reading call names a handle.
MOST_RESULT_BYTES = 16_384
MOST_CONNECTS = 12
# How often the first of the waiting prompts looks for an engine.
TURN_SECONDS = 0.02
# Bounds of the time after which a refused caller returns, in seconds.
LEAST_RETURN_SECONDS = 0.1
MOST_RETURN_SECONDS = 2.0
# A service without any engine that answers may get one back within a phase change.
WITHOUT_ENGINES_MS = 3000.0
# Refusals of engines that should take a handle, after which it counts as gone.
MOST_HANDLE_REFUSALS = 2
# Reading calls for one request; beyond the first they count as repeats.
MOST_READS = 4


class Generations:
    """Leads generations to their answers."""

    __slots__ = (
        "_app",
        "_dialect",
        "_upstreams",
        "_statistics",
        "_queue",
        "_streaming",
    )

    def __init__(self, app: Application) -> None:
        """Use the shared state of the upstreams."""
        self._app = app
        self._dialect = app.service("dialect")
        self._upstreams = app.service("upstreams")
        self._statistics = app.service("statistics")
        self._queue = ReadingQueue()
        self._streaming = Streaming(app)
        app.add_dump_section("reading_queue", lambda: {"waiting": len(self._queue)})

    async def run(self, job: Job) -> None:
        """Answer a request."""
        clock = self._app.clock
        self._upstreams.budget(job.service).note_request(clock.monotonic())
        service = self._upstreams.service(job.service)
        if service is None or service.engine is None:
            self._give_up(Generation(job), "no_upstream")
            return
        generation = Generation(job)
        try:
            await self._run(generation, service.engine)
        finally:
            self._leave_queue(generation)
            if generation.handle is not None:
                self._release(generation.handle)

    async def _run(self, generation: Generation, spec: EngineSpec) -> None:
        job = generation.job
        clock = self._app.clock
        while True:
            now = clock.monotonic()
            reason = self._why_not(generation)
            if reason is not None:
                self._give_up(generation, reason)
                return
            if job.caller.left:
                return
            reader, answerer = self._choose(generation, spec, now)
            if reader is None and answerer is None:
                if self._upstreams.pause_seconds(job.service) is not None:
                    waited = await self._upstreams.wait_out_pause(job)
                else:
                    waited = await self._wait_for_engines(job)
                if waited:
                    continue
                self._give_up(generation, self._upstreams.why_none(job.service))
                return
            first = reader or answerer
            self._upstreams.note_inputs(job, now)
            wait = first.wait_ms / 1000
            if generation.ticket is not None:
                wait += self._queue.wait_seconds(generation.ticket, now)
            if wait > job.left(now) and not generation.tries.sends:
                self._give_up(generation, "deadline_unreachable", wait)
                return
            if await wait_for_upstream(job, first, clock):
                continue
            if reader is not None and await self._wait_to_read(generation, reader):
                continue
            self._leave_queue(generation)
            self._upstreams.health.of(first.upstream.incarnation).trying(now)
            try:
                if reader is not None:
                    await self._read(generation, reader)
                    continue
                if await self._answer(generation, answerer):
                    return
            except ExchangeError as error:
                self._note_failure(generation, error, answerer)

    async def _wait_to_read(self, generation: Generation, choice: Choice) -> bool:
        """Let a long prompt wait while the engines have others to read.

        :returns: whether to choose again.
        """
        now = self._app.clock.monotonic()
        queue, ticket = self._queue, generation.ticket
        if ticket is None:
            if choice.uncached <= LONG_TOKENS:
                return False
            arrived_at = generation.job.request.read_at
            ticket = Ticket(generation.job.rank, arrived_at, choice.uncached)
            generation.ticket = ticket
            queue.join(ticket)
        if queue.is_first(ticket) and queue.may_go(ticket, choice.queued_ms, now):
            self._leave_queue(generation)
            queue.sent(choice.uncached, now)
            return False
        generation.job.decisions["queued_ms"] = (now - ticket.arrived_at) * 1000
        await asyncio.sleep(TURN_SECONDS)
        while not queue.is_first(ticket) and not self._expired(generation):
            await asyncio.sleep(TURN_SECONDS)
        return True

    def _expired(self, generation: Generation) -> bool:
        """Tell whether a waiting prompt can no longer be answered in time."""
        now = self._app.clock.monotonic()
        wait = self._queue.wait_seconds(generation.ticket, now)
        left = generation.job.left(now)
        return wait + generation.job.route.target_seconds > left

    def _leave_queue(self, generation: Generation) -> None:
        ticket, generation.ticket = generation.ticket, None
        if ticket is not None:
            self._queue.leave(ticket)

    async def _wait_for_engines(self, job: Job) -> bool:
        """Wait a little for engines to be listed again.

        :returns: false if the service has had none for too long.
        """
        waited = job.decisions.get("without_engines_ms", 0.0)
        if waited >= WITHOUT_ENGINES_MS:
            return False
        job.decisions["without_engines_ms"] = waited + LOOK_SECONDS * 1000
        await asyncio.sleep(LOOK_SECONDS)
        return True

    def _why_not(self, generation: Generation) -> str | None:
        """Return why the request is not sent (again)."""
        return self._upstreams.why_not(
            generation.job, generation.tries, generation.unsent, MOST_CONNECTS
        )

    def _choose(
        self, generation: Generation, spec: EngineSpec, now: float
    ) -> tuple[Choice | None, Choice | None]:
        """Return the engine that reads next, or else the one that answers next."""
        placement = self._upstreams.placement
        service = generation.job.service
        engines = self._upstreams.candidates(service, generation.tried)
        readers = [item for item in engines if item.phase is Phase.PREFILL]
        answerers = [item for item in engines if item.phase is not Phase.PREFILL]
        if not answerers:
            known = self._upstreams.candidates(service, set())
            answerers = [item for item in known if item.phase is not Phase.PREFILL]
        prompt = generation.prompt
        if generation.handle is not None:
            engine = generation.handle.engine
            return None, placement.for_answering(answerers, prompt, engine, spec, now)
        direct = placement.for_answering(answerers, prompt, None, spec, now)
        resuming = generation.resume_from is not None
        if resuming or not answerers or generation.reads >= MOST_READS:
            return None, direct
        reader = placement.for_reading(readers, prompt, now)
        if reader is None:
            return None, direct
        allowed = placement.direct_allowed(direct, now)
        sooner = direct.wait_ms <= reader.wait_ms + DIRECT_MS
        if allowed and (sooner or generation.reads):
            return None, direct
        if generation.reads and not self._upstreams.take_repeat(service):
            return None, direct
        return reader, None

    async def _read(self, generation: Generation, choice: Choice) -> None:
        """Have an engine read the prompt; without success, none holds it."""
        job, engine = generation.job, choice.upstream
        clock = self._app.clock
        loads = self._upstreams.loads
        generation.reads += 1
        sent_at = clock.monotonic()
        generation.tried.add(engine.id)
        patience = self._patience(choice)
        try:
            with self._upstreams.under_way(engine, choice.uncached):
                async with self._upstreams.exchange(engine) as exchange:
                    await exchange.open(self._most(job), False)
                    sent_at = clock.monotonic()
                    self._send(generation, exchange, phase=Phase.PREFILL)
                    seconds = min(patience, max(0.01, job.left(clock.monotonic())))
                    facts = await exchange.read_head(
                        job.facts.attempt, seconds, named=False
                    )
                    body = await exchange.read_body(seconds, MOST_RESULT_BYTES)
        except ExchangeError as error:
            self._upstreams.note_failure(engine, error)
            self._statistics.try_failed(job, engine, f"read_{error.cause}", error.stage)
            if error.stage is Stage.NOT_SENT:
                # It does not count as a call, neither here nor in the budget.
                generation.reads -= 1
                generation.unsent += 1
            return
        result = self._dialect.read_prefill(body) if facts.status == 200 else None
        job.decisions.update(
            reader=engine.id,
            predicted_ms=choice.wait_ms,
            uncached=choice.uncached,
            read_ms=(clock.monotonic() - sent_at) * 1000,
        )
        health = self._upstreams.health.of(engine.incarnation)
        if result is None:
            if not facts.pause_seconds and not facts.leaving:
                health.refused(clock.monotonic())
            self._statistics.try_failed(
                job, engine, f"read_refused_{facts.status}", Stage.REFUSED
            )
            return
        health.succeeded(clock.monotonic())
        loads.read_parts(engine.id, generation.prompt.parts, clock.monotonic())
        generation.handle = Handle(engine, result.handle)

    async def _answer(self, generation: Generation, choice: Choice) -> bool:
        """Have an engine generate, and pass its events on.

        :returns: whether the request is answered; otherwise it may be sent again.
        :raises ExchangeError: if the try failed.
        """
        job, engine = generation.job, choice.upstream
        clock = self._app.clock
        loads = self._upstreams.loads
        generation.tried.add(engine.id)
        handle = generation.handle
        reading = 0 if handle is not None else choice.uncached
        with self._upstreams.under_way(engine, reading):
            async with self._upstreams.exchange(engine) as exchange:
                await exchange.open(self._most(job), not job.route.repeatable())
                if job.caller.left:
                    return True
                generation.tries.sending()
                self._send(generation, exchange, handle=handle)
                generation.handle = None
                job.decisions.update(
                    answerer=engine.id,
                    direct=handle is None,
                    answer_wait=choice.wait_ms,
                )
                patience = self._head_patience(generation, choice)
                facts = await exchange.read_head(job.facts.attempt, patience)
                if facts.stage is Stage.REFUSED:
                    self._keep_handle(generation, handle, facts)
                    return self._refused(generation, engine, facts)
                generation.tries.ran()
                if facts.status != 200 or not facts.stamped:
                    return await self._failed(generation, engine, exchange)
                loads.read_parts(engine.id, generation.prompt.parts, clock.monotonic())
                generation.progressed_at = clock.monotonic()
                await self._streaming.pass_on(generation, exchange)
                self._upstreams.health.of(engine.incarnation).succeeded(
                    clock.monotonic()
                )
                return True

    @staticmethod
    def _patience(choice: Choice) -> float:
        """Return after how many seconds an engine is taken for stuck."""
        return choice.wait_ms / 1000 * READ_PATIENCE + READ_PATIENCE_SECONDS

    def _head_patience(self, generation: Generation, choice: Choice) -> float:
        """Return how long to wait for the head of an answer, seconds."""
        seconds = self._wait(generation.job)
        if generation.job.route.repeatable() and generation.tries.may_send():
            return min(seconds, self._patience(choice))
        return seconds

    def _wait(self, job: Job) -> float:
        return max(0.01, job.left(self._app.clock.monotonic()))

    def _most(self, job: Job) -> int:
        return self._upstreams.most_connections(job.service)

    def _send(
        self,
        generation: Generation,
        exchange: Exchange,
        phase: Phase | None = None,
        handle: Handle | None = None,
    ) -> None:
        job = generation.job
        request = job.request
        headers = self._dialect.upstream_headers(
            request,
            exchange.upstream.id,
            job.workspace_name,
            job.left(self._app.clock.monotonic()),
            urgency=generation.urgency,
            phase=phase,
            cache_source=handle.source if handle else None,
            last_event=None if phase else generation.resume_from,
        )
        exchange.send(request.method, request.target, headers, request.body)
        self._upstreams.note_sent(job, exchange.upstream)

    def _keep_handle(
        self, generation: Generation, handle: Handle | None, facts: AnswerFacts
    ) -> None:
        """Keep a handle that the refusing engine has not taken.

        An engine of the wrong phase never looks at it; another refusal may mean that
        the handle is gone, which a second engine's refusal confirms.
        """
        generation.handle_refusals += not facts.wrong_upstream
        if generation.handle_refusals < MOST_HANDLE_REFUSALS:
            generation.handle = handle
        elif handle is not None:
            self._release(handle)

    def _refused(
        self, generation: Generation, engine: Upstream, facts: AnswerFacts
    ) -> bool:
        generation.tries.failed(Stage.REFUSED)
        self._upstreams.note_refusal(engine, facts)
        cause = f"refused_{facts.status}"
        self._statistics.try_failed(generation.job, engine, cause, Stage.REFUSED)
        return False

    async def _failed(
        self, generation: Generation, engine: Upstream, exchange: Exchange
    ) -> bool:
        """Pass an engine's own failure on, unless the request may be sent again."""
        job, facts = generation.job, exchange.facts
        health = self._upstreams.health.of(engine.incarnation)
        health.answered_badly()
        body = await exchange.read_body(self._wait(job))
        self._streaming.count(generation)
        self._statistics.try_failed(job, engine, f"failed_{facts.status}", Stage.SENT)
        if not facts.stamped:
            raise ExchangeError("the answer has no stamp", Stage.SENT, "unstamped")
        if facts.status >= 500 and self._why_not(generation) is None:
            return False
        if job.caller.begun:
            job.caller.break_off()
            return True
        headers = self._dialect.caller_headers(exchange.headers)
        job.caller.whole(facts.status, headers, body)
        return True

    def _note_failure(
        self, generation: Generation, error: ExchangeError, choice: Choice
    ) -> None:
        generation.tries.failed(error.stage)
        generation.unsent += error.stage is Stage.NOT_SENT
        engine = choice.upstream
        self._upstreams.note_failure(engine, error)
        self._statistics.try_failed(generation.job, engine, error.cause, error.stage)

    def _give_up(
        self, generation: Generation, reason: str, wait_seconds: float = 0.0
    ) -> None:
        job = generation.job
        caller = job.caller
        if caller.begun:
            caller.break_off()
        elif generation.tries.may_have_run:
            caller.refuse(504 if reason == "deadline" else 502, "outcome_unknown")
        else:
            seconds = wait_seconds - job.route.target_seconds
            seconds = min(MOST_RETURN_SECONDS, max(LEAST_RETURN_SECONDS, seconds))
            seconds = self._upstreams.return_seconds(job, reason, seconds)
            caller.refuse(503, reason, seconds)
        self._statistics.given_up(
            job,
            reason,
            wait=wait_seconds,
            sends=generation.tries.sends,
        )

    def _release(self, handle: Handle) -> None:
        """Free a prompt that nobody will take any more."""
        self._app.spawn(self._delete(handle), "release handle")

    async def _delete(self, handle: Handle) -> None:
        if self._upstreams.pauses.paused(
            handle.engine.incarnation, self._app.clock.monotonic()
        ):
            # It wants nothing; the engine frees what nobody takes by itself.
            return
        try:
            await self._dialect.release(handle.engine, handle.name)
        except CallFailed as error:
            log_event("handle_not_released", error=error.message)


def setup(app: Application) -> None:
    """Provide the generations."""
    app.provide("generations", Generations(app))
