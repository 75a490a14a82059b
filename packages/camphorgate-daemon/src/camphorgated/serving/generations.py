"""Handles generation requests: prefill on one engine, decode on another.

Provides ``generations``.
"""

import asyncio

from camphorgate.application import Application
from camphorgate.log import log_event
from camphorgate.serving.catalog import EngineSpec, Phase, Route, Stage, Upstream
from camphorgate.serving.placement import Choice
from camphorgate.serving.prefill_queue import (
    MIN_LONG_PROMPT_MS,
    PrefillQueue,
    QueuedPrompt,
)
from camphorgate.serving.quarantine import Block
from camphorgated.serving.errors import CallFailed, ExchangeError
from camphorgated.serving.exchange import ANSWER, ENDED_CAUSES, PREFILL, Exchange
from camphorgated.serving.front import RequestContext
from camphorgated.serving.generation import Generation, Handle
from camphorgated.serving.permits import Permit
from camphorgated.serving.platform_protocol import ResponseFacts
from camphorgated.serving.quarantine import BLOCKED, SUSPECTED
from camphorgated.serving.streaming import Streaming
from camphorgated.serving.upstream_wait import UPSTREAM_POLL_SECONDS, wait_for_upstream

# Refusal reason if no engine of the service can ever hold the prompt.
PROMPT_TOO_LONG = "prompt_too_long"
# Refusal reason if no engine can begin to answer before the deadline.
UNREACHABLE = "deadline_unreachable"
# Time that a second call and the cache transfer take. A decode engine prefills a prompt
# itself unless a prefill engine is predicted to be faster by more than this.
DIRECT_MS = 10.0
# An engine is considered stuck after this multiple of the predicted time, plus this
# margin. This bounds prefill calls, and the wait for a response head if the request may
# be sent again.
STUCK_TIMEOUT_FACTOR = 5.0
STUCK_TIMEOUT_MARGIN_SECONDS = 1.5
# The response to a prefill call contains only a handle.
MAX_PREFILL_RESULT_BYTES = 16_384
MAX_UNSENT_ATTEMPTS = 12
# Interval at which a queued prompt checks whether it is first, and the first one
# whether an engine is available.
QUEUE_POLL_SECONDS = 0.02
# Bounds on the retry-after of refused callers.
MIN_RETRY_AFTER_SECONDS = 0.1
MAX_RETRY_AFTER_SECONDS = 2.0
# A service without decode engines may regain one through a phase change within this
# time.
MAX_WAIT_FOR_ENGINES_MS = 3000.0
# Refusals by engines that should import a handle, after which it counts as lost.
MAX_HANDLE_REFUSALS = 2
# Prefill calls per request; what they take from the retry budget is in send_attempts.
MAX_PREFILL_CALLS = 4


class Generations:
    """Sends generation requests to engines and streams their responses."""

    __slots__ = (
        "_app",
        "_platform",
        "_upstreams",
        "_statistics",
        "_queue",
        "_streaming",
        "_quarantine",
        "_speeds",
        "_pace",
    )

    def __init__(self, app: Application) -> None:
        """Use the shared state of the upstreams."""
        self._app = app
        self._platform = app.service("dialect")
        self._upstreams = app.service("upstreams")
        self._statistics = app.service("statistics")
        self._quarantine = app.service("quarantine")
        self._speeds = app.service("speeds")
        self._pace = app.service("pace")
        self._queue = PrefillQueue(app.settings.order.by_loss)
        self._streaming = Streaming(app)
        app.add_dump_section("reading_queue", lambda: {"waiting": self.waiting})

    @property
    def waiting(self) -> int:
        """Return the number of prompts that wait for prefill in this instance."""
        return len(self._queue)

    async def run(self, context: RequestContext) -> None:
        """Handle a request, retrying or resuming it where allowed."""
        clock = self._app.clock
        self._upstreams.budget(context.service).record_request(clock.monotonic())
        service = self._upstreams.service(context.service)
        if service is None or service.engine is None:
            self._give_up(Generation(context), "no_upstream")
            return
        if not service.engine.can_hold(context.facts.prompt_tokens):
            # No retry-after: a retry would be refused as well.
            context.caller.refuse(503, PROMPT_TOO_LONG)
            self._statistics.given_up(context, PROMPT_TOO_LONG)
            return
        generation = Generation(context)
        try:
            await self._run(generation, service.engine)
        finally:
            self._leave_queue(generation)
            self._upstreams.return_unused(context.service, generation.attempts)
            if generation.handle is not None:
                self._release(generation.handle)

    async def _run(self, generation: Generation, spec: EngineSpec) -> None:
        context = generation.context
        clock = self._app.clock
        while True:
            now = clock.monotonic()
            block = self._quarantine.find_block(generation.part_keys)
            if block is not None and not await self._may_test(generation, block):
                self._refuse_blocked(generation, block)
                return
            reason = self._refusal_reason(generation)
            if reason is not None:
                self._give_up(generation, reason)
                return
            if context.caller.disconnected:
                return
            reader, answerer = self.choose_for(generation, spec, now)
            if reader is None and answerer is None:
                if await self._wait_for_engines(generation):
                    continue
                self._give_up(
                    generation, self._upstreams.no_upstream_reason(context.service)
                )
                return
            first = reader or answerer
            self._upstreams.note_inputs(context, now)
            wait = first.wait_ms / 1000
            if generation.ticket is not None:
                wait += self._queue.wait_seconds(generation.ticket, now)
            if wait > context.seconds_left(now) and not generation.attempts.sends:
                self._give_up(generation, UNREACHABLE, wait)
                return
            if await wait_for_upstream(context, first, clock):
                continue
            if reader is not None and await self._wait_to_read(generation, reader):
                continue
            self._leave_queue(generation)
            permit = await self._upstreams.reserve(
                context, first, generation.tried, generation.patient
            )
            if permit is None:
                continue
            if context.caller.disconnected:
                return
            self._upstreams.health.of(first.upstream.incarnation).record_attempt(now)
            try:
                if reader is not None:
                    await self._read(generation, reader, permit)
                    continue
                if await self._answer(generation, answerer, permit):
                    return
            except ExchangeError as error:
                self._note_failure(generation, error, answerer)

    async def _may_test(self, generation: Generation, block: Block) -> bool:
        """Return whether a request is the one that tests whether a block is needed."""
        if generation.attempts.sends:
            return False
        if not generation.is_trial:
            generation.is_trial = await self._quarantine.try_trial(
                generation.context, block
            )
        return generation.is_trial

    def _refuse_blocked(self, generation: Generation, block: Block) -> None:
        self._quarantine.refuse(generation.context, block)
        self._give_up(
            generation, BLOCKED, retry_after=self._quarantine.retry_after_seconds(block)
        )

    async def _wait_to_read(self, generation: Generation, choice: Choice) -> bool:
        """Queue a long prompt while the engines prefill others.

        :returns: whether to choose engines again.
        """
        now = self._app.clock.monotonic()
        queue, ticket = self._queue, generation.ticket
        if ticket is None:
            if choice.prefill_ms <= MIN_LONG_PROMPT_MS:
                return False
            context = generation.context
            arrived_at = context.request.read_at
            prefill = (choice.wait_ms - choice.queued_ms) / 1000
            ticket = QueuedPrompt(
                context.rank,
                arrived_at,
                choice.uncached,
                context.workspace_name or "",
                arrived_at + context.route.target_seconds - prefill,
            )
            generation.ticket = ticket
            queue.add(ticket)
        if queue.is_first(ticket, now) and queue.may_send(
            ticket, choice.queued_ms, now
        ):
            self._leave_queue(generation)
            queue.record_sent(choice.uncached, now, ticket)
            return False
        generation.context.decisions["queued_ms"] = (now - ticket.arrived_at) * 1000
        await asyncio.sleep(QUEUE_POLL_SECONDS)
        while not self._is_first(ticket) and not self._expired(generation):
            await asyncio.sleep(QUEUE_POLL_SECONDS)
        return True

    def _is_first(self, ticket: QueuedPrompt) -> bool:
        return self._queue.is_first(ticket, self._app.clock.monotonic())

    def _expired(self, generation: Generation) -> bool:
        """Return whether a queued prompt can no longer meet its deadline."""
        now = self._app.clock.monotonic()
        wait = self._queue.wait_seconds(generation.ticket, now)
        left = generation.context.seconds_left(now)
        return wait + generation.context.route.target_seconds > left

    def _leave_queue(self, generation: Generation) -> None:
        ticket, generation.ticket = generation.ticket, None
        if ticket is not None:
            self._queue.remove(ticket)

    async def _wait_for_engines(self, generation: Generation) -> bool:
        """Wait until an engine may be used again, one poll interval if none is listed.

        :returns: whether to choose again; false if the request is given up.
        """
        context, upstreams = generation.context, self._upstreams
        paused = upstreams.pause_seconds(context.service) is not None
        if paused or upstreams.limited.blocks(context.service):
            return await upstreams.wait_for_upstreams(context, generation.patient)
        waited = context.decisions.get("without_engines_ms", 0.0)
        if waited >= MAX_WAIT_FOR_ENGINES_MS:
            return False
        context.decisions["without_engines_ms"] = waited + UPSTREAM_POLL_SECONDS * 1000
        await asyncio.sleep(UPSTREAM_POLL_SECONDS)
        return True

    def _refusal_reason(self, generation: Generation) -> str | None:
        """Return why the request may not be sent or retried."""
        if not self._quarantine.table.may_send_again(
            generation.part_keys, generation.upstream_ends
        ):
            return SUSPECTED
        return self._upstreams.refusal_reason(
            generation.context,
            generation.attempts,
            generation.unsent,
            MAX_UNSENT_ATTEMPTS,
        )

    def choose_for(
        self, generation: Generation, spec: EngineSpec, now: float
    ) -> tuple[Choice | None, Choice | None]:
        """Choose the engine for the next step of a request.

        :returns: the choice for prefill and the choice for decoding, of which at most
            one is not ``None``.
        """
        placement = self._upstreams.placement
        context, patient = generation.context, generation.patient
        service = context.service
        engines = self._upstreams.candidates_for(context, generation.tried, patient)
        readers = [item for item in engines if item.phase is Phase.PREFILL]
        answerers = [item for item in engines if item.phase is not Phase.PREFILL]
        if not answerers:
            known = self._upstreams.candidates_for(context, set(), patient)
            answerers = [item for item in known if item.phase is not Phase.PREFILL]
        prompt = generation.prompt
        if generation.handle is not None:
            engine = generation.handle.engine
            return None, placement.choose_for_decode(
                answerers, prompt, engine, spec, now
            )
        direct = placement.choose_for_decode(answerers, prompt, None, spec, now)
        resuming = generation.resume_from is not None
        if resuming or not answerers or generation.reads >= MAX_PREFILL_CALLS:
            return None, direct
        if all(self._upstreams.limited.is_limited(item) for item in answerers):
            # An engine may have no permit left once the prompt is prefilled elsewhere.
            return None, direct
        reader = placement.choose_for_prefill(readers, prompt, now)
        if reader is None:
            return None, direct
        allowed = placement.may_prefill_directly(direct)
        sooner = direct.wait_ms <= reader.wait_ms + DIRECT_MS
        if allowed and (sooner or generation.reads):
            return None, direct
        if not self._upstreams.cover_send(service, generation.attempts, prefill=True):
            return None, direct
        return reader, None

    async def _read(
        self, generation: Generation, choice: Choice, permit: Permit
    ) -> None:
        """Have an engine prefill the prompt; on failure no handle is set."""
        context, engine = generation.context, choice.upstream
        clock = self._app.clock
        loads = self._upstreams.loads
        generation.reads += 1
        sent_at = clock.monotonic()
        generation.tried.add(engine.id)
        timeout = self._stuck_timeout(choice)
        queued = loads.total(engine.id, sent_at).prefill_tokens
        try:
            with self._upstreams.count_in_flight(engine, choice.uncached):
                async with self._upstreams.exchange(engine, permit) as exchange:
                    await exchange.open(
                        self._max_connections(context), False, generation.carried
                    )
                    sent_at = clock.monotonic()
                    generation.attempts.record_prefill()
                    self._send(generation, exchange, phase=Phase.PREFILL)
                    facts = await exchange.read_head(
                        context.facts.attempt,
                        min(timeout, self._wait(context)),
                        require_id=False,
                    )
                    body = await exchange.read_body(
                        min(timeout, self._wait(context)), MAX_PREFILL_RESULT_BYTES
                    )
        except ExchangeError as error:
            self._upstreams.note_failure(engine, error)
            self._statistics.try_failed(
                context, engine, f"read_{error.cause}", error.stage
            )
            if error.stage is Stage.NOT_SENT:
                # Nothing was sent, so the call counts neither here nor in the budget.
                generation.reads -= 1
                generation.unsent += 1
            return
        result = self._platform.read_prefill(body) if facts.status == 200 else None
        context.decisions.update(
            reader=engine.id,
            predicted_ms=choice.wait_ms,
            uncached=choice.uncached,
            read_ms=(clock.monotonic() - sent_at) * 1000,
        )
        health = self._upstreams.health.of(engine.incarnation)
        if result is None:
            if not facts.pause_seconds and not facts.leaving:
                health.record_refusal(clock.monotonic())
                self._pace.record_refusal(engine)
            self._statistics.try_failed(
                context, engine, f"read_refused_{facts.status}", Stage.REFUSED
            )
            return
        now = clock.monotonic()
        health.record_success(now)
        self._speeds.record_prefill(engine, choice.uncached, queued, now - sent_at, now)
        loads.record_cached_parts(engine.id, generation.prompt.parts, now)
        generation.attempts.record_prefill_read()
        generation.handle = Handle(engine, result.handle)

    async def _answer(
        self, generation: Generation, choice: Choice, permit: Permit
    ) -> bool:
        """Have an engine generate and forward its events.

        :returns: whether the request is finished; otherwise it may be retried.
        :raises ExchangeError: if the attempt failed.
        """
        context, engine = generation.context, choice.upstream
        clock = self._app.clock
        loads = self._upstreams.loads
        generation.tried.add(engine.id)
        handle = generation.handle
        reading = 0 if handle is not None else choice.uncached
        with self._upstreams.count_in_flight(engine, reading):
            async with self._upstreams.exchange(engine, permit) as exchange:
                await exchange.open(
                    self._max_connections(context),
                    not context.route.repeatable(),
                    generation.carried,
                )
                if context.caller.disconnected:
                    return True
                generation.attempts.record_send()
                self._send(generation, exchange, handle=handle)
                generation.handle = None
                generation.answering_since = None
                context.decisions.update(
                    answerer=engine.id,
                    direct=handle is None,
                    answer_wait=choice.wait_ms,
                )
                timeout = self._head_timeout(generation, choice)
                facts = await exchange.read_head(context.facts.attempt, timeout)
                if facts.stage is Stage.REFUSED:
                    self._keep_handle(generation, handle, facts)
                    return self._refused(generation, engine, facts)
                generation.attempts.record_execution()
                if facts.status != 200 or not facts.stamped:
                    return await self._failed(generation, engine, exchange)
                loads.record_cached_parts(
                    engine.id, generation.prompt.parts, clock.monotonic()
                )
                generation.progressed_at = clock.monotonic()
                generation.answering_since = generation.progressed_at
                await self._streaming.pass_on(generation, exchange)
                self._quarantine.record_answer(generation.part_keys)
                self._upstreams.health.of(engine.incarnation).record_success(
                    clock.monotonic()
                )
                return True

    @staticmethod
    def _stuck_timeout(choice: Choice) -> float:
        """Return the time in seconds after which an engine is considered stuck."""
        return (
            choice.wait_ms / 1000 * STUCK_TIMEOUT_FACTOR + STUCK_TIMEOUT_MARGIN_SECONDS
        )

    def _head_timeout(self, generation: Generation, choice: Choice) -> float:
        """Return how long to wait for the response head, in seconds."""
        seconds = self._wait(generation.context)
        if generation.context.route.repeatable() and generation.attempts.may_send():
            return min(seconds, self._stuck_timeout(choice))
        return seconds

    def _wait(self, context: RequestContext) -> float:
        return max(0.01, context.seconds_left(self._app.clock.monotonic()))

    def _max_connections(self, context: RequestContext) -> int:
        return self._upstreams.max_connections(context.service)

    def _send(
        self,
        generation: Generation,
        exchange: Exchange,
        phase: Phase | None = None,
        handle: Handle | None = None,
    ) -> None:
        context = generation.context
        request = context.request
        headers = self._platform.upstream_headers(
            request,
            exchange.upstream.id,
            context.workspace_name,
            context.seconds_left(self._app.clock.monotonic()),
            urgency=generation.urgency,
            phase=phase,
            cache_source=handle.source if handle else None,
            last_event=None if phase else generation.resume_from,
        )
        generation.sent_at = self._app.clock.monotonic()
        exchange.send(
            request.method,
            request.target,
            headers,
            request.body,
            PREFILL if phase is Phase.PREFILL else ANSWER,
        )
        self._upstreams.note_sent(context, exchange.upstream)

    def _keep_handle(
        self, generation: Generation, handle: Handle | None, facts: ResponseFacts
    ) -> None:
        """Keep a handle that the refusing engine has not imported.

        An engine in the wrong phase never checks the handle; any other refusal may mean
        that the handle is lost, which a refusal by a second engine confirms.
        """
        generation.handle_refusals += not facts.wrong_upstream
        if generation.handle_refusals < MAX_HANDLE_REFUSALS:
            generation.handle = handle
        elif handle is not None:
            self._release(handle)

    def _refused(
        self, generation: Generation, engine: Upstream, facts: ResponseFacts
    ) -> bool:
        generation.attempts.record_failure(Stage.REFUSED)
        self._upstreams.note_refusal(engine, facts)
        cause = f"refused_{facts.status}"
        self._statistics.try_failed(generation.context, engine, cause, Stage.REFUSED)
        return False

    async def _failed(
        self, generation: Generation, engine: Upstream, exchange: Exchange
    ) -> bool:
        """Forward an engine's error response unless the request may be retried."""
        context, facts = generation.context, exchange.facts
        health = self._upstreams.health.of(engine.incarnation)
        health.record_error_response(self._app.clock.monotonic())
        body = await exchange.read_body(self._wait(context))
        self._streaming.count(generation)
        self._statistics.try_failed(
            context, engine, f"failed_{facts.status}", Stage.SENT
        )
        if not facts.stamped:
            raise ExchangeError(
                "the response has no server stamp", Stage.SENT, "unstamped"
            )
        if facts.status >= 500 and self._refusal_reason(generation) is None:
            return False
        if context.caller.begun:
            context.caller.abort()
            return True
        headers = self._platform.caller_headers(exchange.headers)
        context.caller.respond(facts.status, headers, body)
        return True

    def _note_failure(
        self, generation: Generation, error: ExchangeError, choice: Choice
    ) -> None:
        generation.attempts.record_failure(error.stage)
        generation.unsent += error.stage is Stage.NOT_SENT
        engine = choice.upstream
        self._upstreams.note_failure(engine, error)
        self._statistics.try_failed(
            generation.context, engine, error.cause, error.stage
        )
        if error.cause in ENDED_CAUSES:
            self._record_end(generation, engine)

    def _record_end(self, generation: Generation, engine: Upstream) -> None:
        context = generation.context
        self._statistics.answer_cut(context, engine, generation.stream.progress)
        generation.upstream_ends += 1
        begun_at = generation.answering_since
        now = self._app.clock.monotonic()
        self._quarantine.record_end(
            context,
            engine,
            generation.part_keys,
            now - generation.sent_at,
            0.0 if begun_at is None else now - begun_at,
        )

    def _give_up(
        self,
        generation: Generation,
        reason: str,
        wait_seconds: float = 0.0,
        retry_after: float | None = None,
    ) -> None:
        """End a request that is not sent again.

        :param wait_seconds: predicted wait for an engine, for the log.
        :param retry_after: seconds after which a refused caller may retry; by default
            they follow from the wait.
        """
        context = generation.context
        caller = context.caller
        if caller.begun:
            caller.abort()
        elif generation.attempts.may_have_run:
            caller.refuse(504 if reason == "deadline" else 502, "outcome_unknown")
        else:
            seconds = retry_after_for_wait(wait_seconds, context.route)
            if reason == UNREACHABLE:
                now = self._app.clock.monotonic()
                seconds = self._queue.return_seconds(context.rank, seconds, now)
            seconds = self._upstreams.retry_after_seconds(context, reason, seconds)
            caller.refuse(503, reason, seconds if retry_after is None else retry_after)
        self._statistics.given_up(
            context,
            reason,
            wait=wait_seconds,
            sends=generation.attempts.sends,
        )

    def _release(self, handle: Handle) -> None:
        """Release a prompt handle that is no longer needed."""
        self._app.spawn(self._delete(handle), "release handle")

    async def _delete(self, handle: Handle) -> None:
        paused = self._upstreams.pauses.paused(
            handle.engine.incarnation, self._app.clock.monotonic()
        )
        if paused or self._upstreams.limited.is_limited(handle.engine):
            # An engine in need gets no such calls; it frees unused handles by itself.
            return
        try:
            await self._platform.release(handle.engine, handle.name)
        except CallFailed as error:
            log_event("handle_not_released", error=error.message)


def retry_after_for_wait(wait_seconds: float, route: Route) -> float:
    """Return the seconds after which a caller may retry that would wait too long."""
    seconds = wait_seconds - route.target_seconds
    return min(MAX_RETRY_AFTER_SECONDS, max(MIN_RETRY_AFTER_SECONDS, seconds))


def setup(app: Application) -> None:
    """Provide the ``generations`` service."""
    app.provide("generations", Generations(app))
