"""Handles requests to plain services, whose bodies are buffered.

Chooses the upstream with the lowest predicted wait and retries only where it is safe.

Provides ``calls``.
"""

from camphorgate.application import Application
from camphorgate.serving.catalog import Kind, Stage, Upstream
from camphorgate.serving.tries import Tries
from camphorgated.serving.errors import ExchangeError
from camphorgated.serving.front import Job
from camphorgated.serving.patience import wait_for_upstream

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

    __slots__ = ("_app", "_dialect", "_upstreams", "_gossip", "_statistics")

    def __init__(self, app: Application) -> None:
        """Use the shared state of the upstreams."""
        self._app = app
        self._dialect = app.service("dialect")
        self._upstreams = app.service("upstreams")
        self._gossip = app.service("gossip")
        self._statistics = app.service("statistics")

    async def run(self, job: Job) -> None:
        """Handle a request, retrying it on other upstreams where allowed."""
        clock = self._app.clock
        upstreams = self._upstreams
        tries = Tries(job.route.repeatable(), job.route.attempts)
        upstreams.budget(job.service).note_request(clock.monotonic())
        tried: set[str] = set()
        unsent = 0
        counted = False
        while True:
            now = clock.monotonic()
            reason = upstreams.refusal_reason(job, tries, unsent, MAX_UNSENT_ATTEMPTS)
            if reason is None:
                found = upstreams.candidates(job.service, tried)
                choice = upstreams.placement.for_call(found, now)
                if choice is None:
                    if await upstreams.wait_for_pause_end(job):
                        continue
                    reason = upstreams.no_upstream_reason(job.service)
            if reason is not None:
                self._give_up(job, tries, reason)
                return
            if job.caller.left:
                return
            if await wait_for_upstream(job, choice, clock):
                continue
            upstream = choice.upstream
            upstreams.note_inputs(job, now)
            job.decisions.update(answerer=upstream.id, predicted_ms=choice.wait_ms)
            upstreams.health.of(upstream.incarnation).trying(now)
            tried.add(upstream.id)
            try:
                done = await self._try(job, tries, upstream)
            except ExchangeError as error:
                tries.failed(error.stage)
                unsent += error.stage is Stage.NOT_SENT
                upstreams.note_failure(upstream, error)
                self._statistics.try_failed(job, upstream, error.cause, error.stage)
                ran = error.stage is Stage.SENT and error.cause != "stale"
            else:
                ran = tries.may_have_run
                if done:
                    self._count(job, counted)
                    return
            if ran:
                self._count(job, counted)
                counted = True

    def _count(self, job: Job, counted: bool) -> None:
        if job.workspace is not None and not counted:
            self._gossip.usage.count(job.workspace.name, self._gossip.true_now())

    async def _try(self, job: Job, tries: Tries, upstream: Upstream) -> bool:
        """Send the request to one upstream.

        :returns: whether the caller has been sent a response.
        """
        clock = self._app.clock
        upstreams = self._upstreams
        sure = not job.route.repeatable()
        max_connections = upstreams.max_connections(job.service)
        with upstreams.count_in_flight(upstream, 0):
            async with upstreams.exchange(upstream) as exchange:
                await exchange.open(max_connections, sure)
                now = clock.monotonic()
                headers = self._dialect.upstream_headers(
                    job.request, upstream.id, job.workspace_name, job.seconds_left(now)
                )
                tries.sending()
                request = job.request
                job.caller.must_complete = job.route.kind is Kind.NON_IDEMPOTENT
                exchange.send(request.method, request.target, headers, request.body)
                upstreams.note_sent(job, upstream)
                seconds = self._attempt_timeout(job, tries, now)
                facts = await exchange.read_head(job.facts.attempt, seconds)
                body = await exchange.read_body(
                    max(0.01, job.seconds_left(clock.monotonic()))
                )
        health = upstreams.health.of(upstream.incarnation)
        if facts.stage is Stage.REFUSED:
            tries.failed(Stage.REFUSED)
            upstreams.note_refusal(upstream, facts)
            self._statistics.try_failed(
                job, upstream, f"refused_{facts.status}", Stage.REFUSED
            )
            return False
        if not facts.stamped and facts.status < 500:
            raise ExchangeError(
                "the response has no server stamp", Stage.SENT, "unstamped"
            )
        tries.ran()
        if facts.status >= 500:
            health.answered_badly()
            self._statistics.try_failed(
                job, upstream, f"failed_{facts.status}", Stage.SENT
            )
            if upstreams.refusal_reason(job, tries, 0, MAX_UNSENT_ATTEMPTS) is None:
                return False
        else:
            health.succeeded(clock.monotonic())
        headers = self._dialect.caller_headers(exchange.headers)
        job.caller.respond(facts.status, headers, body)
        return True

    def _attempt_timeout(self, job: Job, tries: Tries, now: float) -> float:
        """Return how long to wait for the response head, in seconds."""
        left = max(0.01, job.seconds_left(now))
        if job.route.kind is not Kind.IDEMPOTENT or not tries.may_send():
            return left
        timeout = job.route.target_seconds * ATTEMPT_TIMEOUT_TARGETS
        return min(left, max(MIN_ATTEMPT_TIMEOUT_SECONDS, timeout))

    def _give_up(self, job: Job, tries: Tries, reason: str) -> None:
        caller = job.caller
        if caller.begun:
            return
        if tries.may_have_run:
            caller.refuse(504 if reason == "deadline" else 502, "outcome_unknown")
        else:
            seconds = job.route.target_seconds * RETRY_AFTER_TARGETS
            seconds = self._upstreams.retry_after_seconds(job, reason, seconds)
            caller.refuse(503, reason, seconds)
        self._statistics.given_up(job, reason, sends=tries.sends)


def setup(app: Application) -> None:
    """Provide the ``calls`` service."""
    app.provide("calls", Calls(app))
