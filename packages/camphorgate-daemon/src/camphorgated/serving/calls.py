"""Handles requests to plain services, whose bodies are buffered.

Chooses the upstream with the lowest predicted wait and retries only where it is safe.

Provides ``calls``.
"""

from camphorgate.application import Application
from camphorgate.serving.catalog import Kind, Stage, Upstream
from camphorgate.serving.quarantine import Block
from camphorgate.serving.room.book import Outcome
from camphorgate.serving.send_attempts import SendAttempts
from camphorgated.serving.client_connection import ClientConnection
from camphorgated.serving.errors import ExchangeError
from camphorgated.serving.exchange import ENDED_CAUSES, LEAVING, NO_PERMIT, STALE
from camphorgated.serving.front import RequestContext
from camphorgated.serving.http1 import find_header
from camphorgated.serving.permits import Permit
from camphorgated.serving.quarantine import BLOCKED, call_keys
from camphorgated.serving.room.room import NO_ROOM, Borrower
from camphorgated.serving.upstream_wait import wait_for_upstream

# A repeatable request is retried on another upstream after this multiple of its route's
# target latency.
ATTEMPT_TIMEOUT_TARGETS = 3.0
MIN_ATTEMPT_TIMEOUT_SECONDS = 0.3
# Bound on attempts that fail before any byte is sent.
MAX_UNSENT_ATTEMPTS = 4
# The retry-after of a refusal, as a multiple of the route's target latency.
RETRY_AFTER_TARGETS = 1.0


class Calls:
    """Sends requests of plain services to upstreams and returns the responses."""

    __slots__ = (
        "_app",
        "_platform",
        "_upstreams",
        "_gossip",
        "_statistics",
        "_quarantine",
        "_speeds",
        "_room",
    )

    def __init__(self, app: Application) -> None:
        """Use the shared state of the upstreams."""
        self._app = app
        self._platform = app.service("dialect")
        self._upstreams = app.service("upstreams")
        self._gossip = app.service("gossip")
        self._statistics = app.service("statistics")
        self._quarantine = app.service("quarantine")
        self._speeds = app.service("speeds")
        self._room = app.service("room")

    async def run(self, context: RequestContext) -> None:
        """Handle a request, retrying it on other upstreams where allowed."""
        attempts = SendAttempts(context.route.repeatable(), context.route.attempts)
        upstreams = self._upstreams
        upstreams.budget(context.service).record_request(self._app.clock.monotonic())
        try:
            with self._room.borrower(context) as borrower:
                await self._run(context, attempts, borrower)
        finally:
            upstreams.return_unused(context.service, attempts)

    async def _run(
        self, context: RequestContext, attempts: SendAttempts, borrower: Borrower
    ) -> None:
        clock = self._app.clock
        upstreams = self._upstreams
        tried: set[str] = set()
        carried: set[ClientConnection] = set()
        unsent = 0
        counted = False
        keys = call_keys(context)
        # Whether this request tests whether its block is still needed.
        is_trial = False
        while True:
            borrower.end()
            now = clock.monotonic()
            block = self._quarantine.find_block(keys)
            if block is not None and not attempts.sends and not is_trial:
                is_trial = await self._quarantine.try_trial(context, block)
            if block is not None and (attempts.sends or not is_trial):
                self._refuse_blocked(context, attempts, block)
                return
            reason = upstreams.refusal_reason(
                context, attempts, unsent, MAX_UNSENT_ATTEMPTS
            )
            if reason is None:
                patient = attempts.may_have_run
                found = upstreams.candidates_for(context, tried, patient)
                choice = upstreams.placement.choose_for_call(found, now)
                if choice is None:
                    if await upstreams.wait_for_upstreams(context, patient):
                        continue
                    reason = upstreams.no_upstream_reason(context.service)
            if reason is not None:
                self._give_up(context, attempts, reason)
                return
            if context.caller.disconnected:
                return
            if await wait_for_upstream(context, choice, clock):
                continue
            choice = await borrower.borrow(found, choice, attempts.may_have_run)
            if choice is None:
                self._give_up(context, attempts, NO_ROOM, borrower.retry_after)
                return
            now = clock.monotonic()
            if context.seconds_left(now) <= 0:
                continue
            if block is None and self._quarantine.find_block(keys) is not None:
                # It was blocked while it waited for a slot.
                continue
            permit = await upstreams.reserve(context, choice, tried, patient)
            if permit is None:
                continue
            if context.caller.disconnected:
                return
            upstream = choice.upstream
            upstreams.note_inputs(context, now)
            context.decisions.update(answerer=upstream.id, predicted_ms=choice.wait_ms)
            upstreams.health.of(upstream.incarnation).record_attempt(now)
            tried.add(upstream.id)
            sent_at = clock.monotonic()
            try:
                done = await self._try(
                    context, attempts, upstream, carried, permit, borrower
                )
            except ExchangeError as error:
                if error.cause not in (STALE, LEAVING, NO_PERMIT):
                    borrower.record_outcome(Outcome.FAILED)
                attempts.record_failure(error.stage)
                unsent += error.stage is Stage.NOT_SENT
                upstreams.note_failure(upstream, error)
                self._statistics.try_failed(context, upstream, error.cause, error.stage)
                if error.stage is Stage.SENT and error.cause in ENDED_CAUSES:
                    seconds = clock.monotonic() - sent_at
                    self._quarantine.record_end(context, upstream, keys, seconds)
                ran = error.stage is Stage.SENT and error.cause != STALE
            else:
                ran = attempts.may_have_run
                if ran:
                    self._quarantine.record_answer(keys, remember=False)
                if done:
                    self._count(context, counted)
                    return
            if ran:
                self._count(context, counted)
                counted = True

    def _refuse_blocked(
        self, context: RequestContext, attempts: SendAttempts, block: Block
    ) -> None:
        self._quarantine.refuse(context, block)
        seconds = self._quarantine.retry_after_seconds(block)
        self._give_up(context, attempts, BLOCKED, seconds)

    def _count(self, context: RequestContext, counted: bool) -> None:
        if context.workspace is not None and not counted:
            self._gossip.usage.count(
                context.workspace.name, self._gossip.synchronized_now()
            )

    async def _try(
        self,
        context: RequestContext,
        attempts: SendAttempts,
        upstream: Upstream,
        carried: set[ClientConnection],
        permit: Permit,
        borrower: Borrower,
    ) -> bool:
        """Send the request to one upstream.

        :param carried: connections that carried the request before.
        :param permit: permit to send it if the upstream names a limit.
        :param borrower: the holder of the loan of the upstream's slot.

        :returns: whether the caller has been sent a response.
        """
        clock = self._app.clock
        upstreams = self._upstreams
        recently_used = not context.route.repeatable()
        max_connections = upstreams.max_connections(context.service)
        running = upstreams.loads.total(upstream.id, clock.monotonic()).requests
        with upstreams.count_in_flight(upstream, 0):
            async with upstreams.exchange(upstream, permit) as exchange:
                await exchange.open(max_connections, recently_used, carried)
                now = clock.monotonic()
                headers = self._platform.upstream_headers(
                    context.request,
                    upstream.id,
                    context.workspace_name,
                    context.seconds_left(now),
                )
                attempts.record_send()
                request = context.request
                context.caller.must_complete = context.route.kind is Kind.NON_IDEMPOTENT
                exchange.send(request.method, request.target, headers, request.body)
                upstreams.note_sent(context, upstream)
                seconds = self._attempt_timeout(context, attempts, now)
                facts = await exchange.read_head(context.facts.attempt, seconds)
                body = await exchange.read_body(
                    max(0.01, context.seconds_left(clock.monotonic()))
                )
        health = upstreams.health.of(upstream.incarnation)
        refused = facts.stage is Stage.REFUSED
        borrower.record_outcome(Outcome.REFUSED if refused else Outcome.DONE)
        if refused:
            attempts.record_failure(Stage.REFUSED)
            upstreams.note_refusal(upstream, facts)
            self._statistics.try_failed(
                context, upstream, f"refused_{facts.status}", Stage.REFUSED
            )
            return False
        if not facts.stamped and facts.status < 500:
            raise ExchangeError(
                "the response has no server stamp", Stage.SENT, "unstamped"
            )
        attempts.record_execution()
        if facts.status >= 500:
            borrower.record_outcome(Outcome.FAILED)
            health.record_error_response(clock.monotonic())
            self._statistics.try_failed(
                context, upstream, f"failed_{facts.status}", Stage.SENT
            )
            if (
                upstreams.refusal_reason(context, attempts, 0, MAX_UNSENT_ATTEMPTS)
                is None
            ):
                return False
        else:
            ended_at = clock.monotonic()
            health.record_success(ended_at)
            self._speeds.record_call(upstream, ended_at - now, running, ended_at)
        headers = self._platform.caller_headers(exchange.headers)
        length = None
        if request.method == "HEAD":
            length = find_header(exchange.headers, b"content-length")
        context.caller.respond(facts.status, headers, body, length)
        return True

    def _attempt_timeout(
        self, context: RequestContext, attempts: SendAttempts, now: float
    ) -> float:
        """Return how long to wait for the response head, in seconds."""
        left = max(0.01, context.seconds_left(now))
        if context.route.kind is not Kind.IDEMPOTENT or not attempts.may_send():
            return left
        timeout = context.route.target_seconds * ATTEMPT_TIMEOUT_TARGETS
        return min(left, max(MIN_ATTEMPT_TIMEOUT_SECONDS, timeout))

    def _give_up(
        self,
        context: RequestContext,
        attempts: SendAttempts,
        reason: str,
        retry_after: float | None = None,
    ) -> None:
        caller = context.caller
        if caller.begun:
            return
        if attempts.may_have_run:
            caller.refuse(504 if reason == "deadline" else 502, "outcome_unknown")
        else:
            seconds = context.route.target_seconds * RETRY_AFTER_TARGETS
            seconds = self._upstreams.retry_after_seconds(context, reason, seconds)
            caller.refuse(503, reason, seconds if retry_after is None else retry_after)
        self._statistics.given_up(context, reason, sends=attempts.sends)


def setup(app: Application) -> None:
    """Provide the ``calls`` service."""
    app.provide("calls", Calls(app))
