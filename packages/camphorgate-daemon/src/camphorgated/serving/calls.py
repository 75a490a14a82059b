"""Requests to plain services: whole bodies, least predicted wait, careful repeats.

Provides ``calls``.
"""

from camphorgate.application import Application
from camphorgate.serving.catalog import Kind, Stage, Upstream
from camphorgate.serving.tries import Tries
from camphorgated.serving.errors import ExchangeError
from camphorgated.serving.front import Job
from camphorgated.serving.patience import wait_for_upstream

# A repeatable request is given to another upstream after this many times its target.
PATIENCE_TARGETS = 3.0
LEAST_PATIENCE_SECONDS = 0.3
# Sends that end before anything left are repeated at most this often.
MOST_CONNECTS = 4
# Callers are told to return after this part of the target of their route.
RETURN_TARGETS = 1.0


class Calls:
    """Leads requests of plain services to their answers."""

    __slots__ = ("_app", "_dialect", "_upstreams", "_gossip", "_statistics")

    def __init__(self, app: Application) -> None:
        """Use the shared state of the upstreams."""
        self._app = app
        self._dialect = app.service("dialect")
        self._upstreams = app.service("upstreams")
        self._gossip = app.service("gossip")
        self._statistics = app.service("statistics")

    async def run(self, job: Job) -> None:
        """Answer a request."""
        clock = self._app.clock
        upstreams = self._upstreams
        tries = Tries(job.route.repeatable(), job.route.attempts)
        upstreams.budget(job.service).note_request(clock.monotonic())
        tried: set[str] = set()
        unsent = 0
        counted = False
        while True:
            now = clock.monotonic()
            reason = upstreams.why_not(job, tries, unsent, MOST_CONNECTS)
            if reason is None:
                found = upstreams.candidates(job.service, tried)
                choice = upstreams.placement.for_call(found, now)
                if choice is None:
                    if await upstreams.wait_out_pause(job):
                        continue
                    reason = upstreams.why_none(job.service)
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
        """Send the request once.

        :returns: whether the caller has its answer.
        """
        clock = self._app.clock
        upstreams = self._upstreams
        sure = not job.route.repeatable()
        most = upstreams.most_connections(job.service)
        with upstreams.under_way(upstream, 0):
            async with upstreams.exchange(upstream) as exchange:
                await exchange.open(most, sure)
                now = clock.monotonic()
                headers = self._dialect.upstream_headers(
                    job.request, upstream.id, job.workspace_name, job.left(now)
                )
                tries.sending()
                request = job.request
                job.caller.sent_once = job.route.kind is Kind.NON_IDEMPOTENT
                exchange.send(request.method, request.target, headers, request.body)
                upstreams.note_sent(job, upstream)
                seconds = self._patience(job, tries, now)
                facts = await exchange.read_head(job.facts.attempt, seconds)
                body = await exchange.read_body(max(0.01, job.left(clock.monotonic())))
        health = upstreams.health.of(upstream.incarnation)
        if facts.stage is Stage.REFUSED:
            tries.failed(Stage.REFUSED)
            upstreams.note_refusal(upstream, facts)
            self._statistics.try_failed(
                job, upstream, f"refused_{facts.status}", Stage.REFUSED
            )
            return False
        if not facts.stamped and facts.status < 500:
            raise ExchangeError("the answer has no stamp", Stage.SENT, "unstamped")
        tries.ran()
        if facts.status >= 500:
            health.answered_badly()
            self._statistics.try_failed(
                job, upstream, f"failed_{facts.status}", Stage.SENT
            )
            if upstreams.why_not(job, tries, 0, MOST_CONNECTS) is None:
                return False
        else:
            health.succeeded(clock.monotonic())
        headers = self._dialect.caller_headers(exchange.headers)
        job.caller.whole(facts.status, headers, body)
        return True

    def _patience(self, job: Job, tries: Tries, now: float) -> float:
        """Return how long to wait for an answer."""
        left = max(0.01, job.left(now))
        if job.route.kind is not Kind.IDEMPOTENT or not tries.may_send():
            return left
        patience = job.route.target_seconds * PATIENCE_TARGETS
        return min(left, max(LEAST_PATIENCE_SECONDS, patience))

    def _give_up(self, job: Job, tries: Tries, reason: str) -> None:
        caller = job.caller
        if caller.begun:
            return
        if tries.may_have_run:
            caller.refuse(504 if reason == "deadline" else 502, "outcome_unknown")
        else:
            seconds = job.route.target_seconds * RETURN_TARGETS
            seconds = self._upstreams.return_seconds(job, reason, seconds)
            caller.refuse(503, reason, seconds)
        self._statistics.given_up(job, reason, sends=tries.sends)


def setup(app: Application) -> None:
    """Provide the calls."""
    app.provide("calls", Calls(app))
