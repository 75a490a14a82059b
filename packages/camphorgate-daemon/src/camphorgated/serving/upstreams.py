"""Upstream state that is shared by the requests of this instance.

Provides ``upstreams``: connections, health, pauses, placement and retry budgets.
"""

import asyncio
import contextlib
import random
from collections import Counter
from collections.abc import Iterator

import msgspec

from camphorgate.application import Application
from camphorgate.log import log_event
from camphorgate.serving.catalog import Phase, Service, Upstream
from camphorgate.serving.memory_budget import ResponseBuffers
from camphorgate.serving.pauses import RESUME_INTERVAL_SECONDS, PauseTable
from camphorgate.serving.placement import Choice, Placement
from camphorgate.serving.retry_budget import RetryBudgetShare
from camphorgate.serving.send_attempts import SendAttempts
from camphorgated.serving.errors import ExchangeError
from camphorgated.serving.exchange import LEAVING, NO_PERMIT, Exchange
from camphorgated.serving.front import RequestContext
from camphorgated.serving.limited_upstreams import LIMITED, LimitedUpstreams
from camphorgated.serving.permits import NO_LIMIT, Permit
from camphorgated.serving.platform_protocol import InstanceLoad, ResponseFacts
from camphorgated.serving.pool import MAX_USED_CONNECTION_FRACTION, Pool
from camphorgated.serving.statistics import job_fields

# Refusal reason if every upstream of a service has requested a pause.
PAUSED = "upstreams_paused"
# Refusal reason if this process may exit before the request can end. Callers can return
# to another instance at once.
STOPPING = "stopping"
STOPPING_RETRY_SECONDS = 0.1
# Refusal reason if the retry budget does not cover the next send. Many requests fail
# together then; their callers return spread over this time, as long as the longest
# retry-after of other refusals, so that they are no second crowd.
BUDGET = "budget"
BUDGET_RETURN_SECONDS = 2.0
# Retry-after jitter, as a fraction of the remaining pause, added after its end.
RETRY_AFTER_JITTER = 0.25
# Minimum connections to an upstream, independent of the number of instances.
MIN_CONNECTIONS = 4


class Upstreams:
    """Connections, health, placement and retry budgets of this instance."""

    __slots__ = (
        "pool",
        "buffers",
        "pauses",
        "health",
        "loads",
        "placement",
        "_app",
        "_directory",
        "_gossip",
        "_platform",
        "_quarantine",
        "limited",
        "_limits",
        "_permits",
        "_speeds",
        "_pace",
        "_budgets_by_service",
        "_started_at",
        "_resuming_by_service",
        "_counts",
        "_random",
    )

    def __init__(self, app: Application) -> None:
        """Start without connections."""
        self._app = app
        self._directory = app.service("directory")
        self._gossip = app.service("gossip")
        self._platform = app.service("dialect")
        self._quarantine = app.service("quarantine")
        self._limits = app.service("limits")
        self._permits = app.service("permits")
        self._speeds = app.service("speeds")
        self._pace = app.service("pace")
        self.pool = Pool(app.clock)
        # What responses that are not passed on yet may take in memory.
        self.buffers = ResponseBuffers(app.service("memory").budget)
        self.pauses = PauseTable()
        # Number of requests that wait for the end of a pause.
        self._resuming_by_service: Counter[str] = Counter()
        self._counts: Counter[str] = Counter()
        self._random = random.Random()
        self._platform.on_response = self.observe_response
        self.health = self._gossip.health
        self.loads = self._gossip.loads
        self.limited = LimitedUpstreams(app, self.health)
        zone = app.settings.availability_zone
        self.placement = Placement(
            self.loads,
            self.health,
            zone,
            self.pool.connected,
            self._permits.wait_seconds,
            self._speeds.table,
            self._pace.table,
        )
        self._budgets_by_service: dict[str, RetryBudgetShare] = {}
        self._started_at = app.clock.monotonic()

    async def start(self) -> None:
        """Start the periodic removal of expired idle connections."""
        self._app.supervise(self.pool.sweep, "upstream connections")

    def exchange(self, upstream: Upstream, permit: Permit = NO_LIMIT) -> Exchange:
        """Return a new exchange with an upstream.

        :param permit: permit to send to it if it names a limit.
        """
        return Exchange(self.pool, self._platform, upstream, self, permit, self.buffers)

    def service(self, name: str) -> Service | None:
        """Return a service of the active configuration."""
        catalog = self._directory.catalog
        return catalog.services_by_name.get(name) if catalog else None

    def candidates(self, service: str, without: set[str]) -> list[Upstream]:
        """Return the upstreams of a service that accept requests.

        :param without: ids to exclude, unless no other upstream is available.
        """
        usable = self._usable(service)
        return [item for item in usable if item.id not in without] or usable

    def candidates_for(
        self, context: RequestContext, without: set[str], patient: bool = False
    ) -> list[Upstream]:
        """Return the upstreams that accept a request and have a permit for it in time.

        :param without: ids to exclude, unless no other upstream is available.
        :param patient: whether the request waits for permits until its deadline.
        """
        usable = self._usable(context.service)
        if self.limited:
            usable = self.limited.choose_from(usable, context, patient)
        return [item for item in usable if item.id not in without] or usable

    async def reserve(
        self, context: RequestContext, choice: Choice, tried: set[str], patient: bool
    ) -> Permit | None:
        """Return a permit to send a request to the chosen upstream.

        :param tried: ids of the upstreams that are chosen last.
        :param patient: whether the request waits for permits until its deadline.
        :returns: ``None`` if there is no permit in time, so that another upstream has
            to be chosen.
        """
        upstream = choice.upstream
        if not self.limited.is_limited(upstream):
            return NO_LIMIT
        prefills = upstream.phase is Phase.PREFILL
        others = [
            item
            for item in self.candidates_for(context, tried, patient)
            if (item.phase is Phase.PREFILL) is prefills
        ]
        return await self.limited.reserve(context, upstream, others, patient)

    def _usable(self, service: str) -> list[Upstream]:
        """Return the upstreams of a service that neither change their phase nor pause.

        If all of them change it, these are better than none.
        """
        listed = self._directory.service_upstreams(service)
        changing = self._gossip.engines_changing_phase()
        usable = [item for item in listed if item.id not in changing] or listed
        if not len(self.pauses):
            return usable
        now = self._app.clock.monotonic()
        return [
            item for item in usable if not self.pauses.paused(item.incarnation, now)
        ]

    def takes_requests(self, upstream: Upstream) -> bool:
        """Return whether an upstream accepts new requests from this instance."""
        now = self._app.clock.monotonic()
        return self._directory.table.accepts_requests(
            upstream
        ) and not self.pauses.paused(upstream.incarnation, now)

    def may_send(self, upstream: Upstream, permit: Permit) -> bool:
        """Return whether a request with a permit may be sent now."""
        return self._permits.may_send(upstream, permit)

    def record_send(self, upstream: Upstream, kind: str) -> float:
        """Record a request that is about to be sent and return the steady clock time.

        :param kind: what it asks for.
        """
        self._limits.record_send(upstream, kind)
        return self._app.clock.monotonic()

    def observe_response(
        self, upstream: Upstream, facts: ResponseFacts, sent_at: float | None = None
    ) -> None:
        """Process the state that an upstream reports in a response head.

        An upstream reports only its own state: a response that names another upstream,
        or comes from another one at the same address, is ignored.

        :param sent_at: steady clock time at which the request was sent, ``None`` if it
            is unknown.
        """
        another = facts.answered_by not in (None, upstream.id)
        if not another and not facts.wrong_upstream:
            self._quarantine.record_response(upstream)
            self._limits.record_response(upstream, facts, sent_at)
            self._speeds.record_response(upstream, facts)
            self._record_load(upstream, facts.load)
            self._pace.record_response(upstream, facts)
        if not facts.leaving and not facts.pause_seconds:
            return
        if another or (facts.wrong_upstream and facts.answered_by is None):
            log_event(
                "answer_of_another_upstream",
                upstream=upstream.id,
                answered_by=facts.answered_by,
                status=facts.status,
            )
            return
        if facts.leaving and self._directory.apply_leaving(upstream):
            self._counts["left_by_own_word"] += 1
        if facts.pause_seconds:
            now = self._app.clock.monotonic()
            end = self.pauses.pause(upstream.incarnation, facts.pause_seconds, now)
            self._counts["pauses"] += 1
            log_event(
                "upstream_paused",
                upstream=upstream.id,
                asked_seconds=facts.pause_seconds,
                seconds=end - now,
            )

    def _record_load(self, upstream: Upstream, load: InstanceLoad | None) -> None:
        """Record the load of an upstream that shares its machine.

        The slots of others are not lent: theirs are free as often as their requests in
        flight tell.
        """
        if load is not None and load.slowdown is not None:
            now = self._app.clock.monotonic()
            self._app.service("room").record_reported_load(
                upstream, load.running, load.waiting, load.slots, now
            )

    def pause_seconds(self, service: str) -> float | None:
        """Return the seconds until the first pause of a service's upstreams ends.

        :returns: ``None`` if none of those that accept requests is paused.
        """
        now = self._app.clock.monotonic()
        listed = self._directory.service_upstreams(service)
        end = self.pauses.first_end((item.incarnation for item in listed), now)
        return None if end is None else end - now

    def no_upstream_reason(self, service: str) -> str:
        """Return the reason why no upstream of a service is available."""
        if self.limited.blocks(service):
            return LIMITED
        paused = self.pause_seconds(service) is not None
        return PAUSED if paused else "no_upstream"

    def _resume_seconds(self, service: str) -> float | None:
        """Return the seconds until one more waiting request may resume.

        :returns: ``None`` if no upstream is paused.
        """
        seconds = self.pause_seconds(service)
        if seconds is None:
            return None
        return seconds + self._resuming_by_service[service] * RESUME_INTERVAL_SECONDS

    async def wait_for_upstreams(self, context: RequestContext, patient: bool) -> bool:
        """Wait until an upstream may be used again that is paused or has a limit.

        :param patient: whether the request waits for permits until its deadline.
        :returns: whether to choose again; false at once if the request is given up.
        """
        if patient and self.limited.blocks(context.service):
            return await self.limited.wait_for_permit(context)
        return await self.wait_for_pause_end(context)

    async def wait_for_pause_end(self, context: RequestContext) -> bool:
        """Wait for this request's turn after the first pause of its upstreams.

        :returns: whether to choose again; false at once if the request cannot be
            served before its deadline, or if no upstream is paused.
        """
        seconds = self._resume_seconds(context.service)
        now = self._app.clock.monotonic()
        if (
            seconds is None
            or seconds + context.route.target_seconds > context.seconds_left(now)
        ):
            return False
        self._resuming_by_service[context.service] += 1
        try:
            await asyncio.sleep(seconds)
        finally:
            self._resuming_by_service[context.service] -= 1
        waited = (self._app.clock.monotonic() - now) * 1000
        context.decisions["paused_ms"] = (
            context.decisions.get("paused_ms", 0.0) + waited
        )
        return True

    def retry_after_seconds(
        self, context: RequestContext, reason: str, otherwise: float
    ) -> float:
        """Return the seconds after which a refused caller should retry.

        If only pauses prevent the request from being served, this is when the requests
        that wait for the end of the first one have resumed, plus jitter, so that
        callers do not retry simultaneously.

        If the retry budget is used up, the returns are spread evenly, unless all
        upstreams pause.

        If limits prevent it, the instances that grant permits give each refused caller
        a time of its own.

        :param reason: refusal reason, as :meth:`no_upstream_reason` returns it.
        :param otherwise: value for every other reason.
        """
        if reason == LIMITED:
            return self.limited.return_seconds(context.service)
        if reason == STOPPING:
            return STOPPING_RETRY_SECONDS
        if reason == BUDGET:
            if self._usable(context.service):
                return otherwise + self._random.uniform(0.0, BUDGET_RETURN_SECONDS)
            reason = PAUSED
        seconds = self._resume_seconds(context.service)
        if reason != PAUSED or seconds is None:
            return otherwise
        return seconds + self._random.uniform(0.0, RETRY_AFTER_JITTER * seconds)

    def max_connections(self, service: str) -> int:
        """Return this instance's share of the connections to an upstream."""
        declared = self.service(service)
        total = declared.connections if declared else 0
        part = int(total * MAX_USED_CONNECTION_FRACTION / self._gossip.instance_count())
        return max(MIN_CONNECTIONS, part)

    def budget(self, service: str) -> RetryBudgetShare:
        """Return this instance's retry budget for a service."""
        budget = self._budgets_by_service.get(service)
        if budget is None:
            settings = self._app.settings.budget
            budget = RetryBudgetShare(
                settings.ratio,
                settings.slack,
                settings.window_seconds,
                self._started_at,
                self._random.random(),
            )
            self._budgets_by_service[service] = budget
        return budget

    def cover_send(
        self, service: str, attempts: SendAttempts, prefill: bool = False
    ) -> bool:
        """Take from the budget of a service what the next send of a request needs.

        :param prefill: whether the next send is a prefill call.
        :returns: whether the next send is covered.
        """
        needed = attempts.grants_needed(prefill)
        if not needed:
            return True
        now = self._app.clock.monotonic()
        # Without seeds, there are no other instances to count.
        members = self._app.service("members")
        counted = bool(members.by_instance()) or not self._app.settings.seeds
        instances = self._gossip.instance_count()
        if not self.budget(service).try_reserve(now, instances, needed, counted):
            return False
        attempts.add_grants(needed, now)
        return True

    def return_unused(self, service: str, attempts: SendAttempts) -> None:
        """Return what a request that has ended took from the budget and did not use."""
        for reserved_at in attempts.take_unused_grants():
            self.budget(service).release(reserved_at)

    def refusal_reason(
        self,
        context: RequestContext,
        attempts: SendAttempts,
        unsent: int,
        max_unsent: int,
    ) -> str | None:
        """Return why a request may not be sent or retried, ``None`` if it may.

        Takes from the budget for a send that is not covered yet.

        :param unsent: attempts that failed before any byte was sent.
        :param max_unsent: bound on ``unsent``.
        """
        now = self._app.clock.monotonic()
        if not attempts.may_have_run and context.cut_by_stop(now):
            return STOPPING
        if context.seconds_left(now) <= 0:
            return "deadline"
        if not attempts.may_send():
            return "attempts"
        if unsent >= max_unsent:
            return "no_connection"
        if not self.cover_send(context.service, attempts):
            return BUDGET
        return None

    @contextlib.contextmanager
    def count_in_flight(self, upstream: Upstream, tokens: int) -> Iterator[None]:
        """Count a request at an upstream, and announce a long prompt to peers.

        :param tokens: prompt tokens that the upstream must prefill.
        """
        self.loads.begin_request(upstream.id, tokens)
        self._gossip.broadcast_prefill(upstream, tokens)
        try:
            yield
        finally:
            self.loads.end_request(upstream.id, tokens)
            self._gossip.broadcast_prefill(upstream, -tokens)

    def note_inputs(self, context: RequestContext, now: float) -> None:
        """Record for the log the age and validity of the inputs of a choice."""
        context.decisions.update(
            loads_age_ms=self.loads.max_source_age_seconds(now) * 1000,
            list_revision=self._directory.table.revision,
            store_sound=self._directory.sound,
        )

    def note_sent(self, context: RequestContext, upstream: Upstream) -> None:
        """Record the send time, and log a send to an upstream that is not listed.

        The upstream may have been removed from the list since it was chosen.
        """
        table = self._directory.table
        now = self._app.clock.monotonic()
        context.decisions["sent_ms"] = (now - context.request.read_at) * 1000
        known = table.by_id.get(upstream.id)
        if known is None or not self.takes_requests(upstream):
            self._app.service("statistics").request_line(
                "sent_to_unlisted",
                upstream=upstream.id,
                doubted=table.is_doubted(upstream.id),
                **job_fields(context),
                **context.decisions,
            )

    def note_failure(self, upstream: Upstream, error: ExchangeError) -> None:
        """Record a failed attempt, unless the upstream itself is not the reason."""
        if error.cause not in (LEAVING, NO_PERMIT):
            now = self._app.clock.monotonic()
            health = self.health.of(upstream.incarnation)
            health.record_failure(now)
            self._pace.record_failure(upstream, health.failures)

    def note_refusal(self, upstream: Upstream, facts: ResponseFacts) -> None:
        """Record that an upstream refused a request without executing it."""
        now = self._app.clock.monotonic()
        health = self.health.of(upstream.incarnation)
        if facts.wrong_upstream:
            health.record_failure(now)
        elif not facts.pause_seconds and not facts.leaving:
            health.record_refusal(now)
            self._pace.record_refusal(upstream)

    def upstreams_changed(self) -> None:
        """Remove state of upstreams that are unlisted or shutting down."""
        table = self._directory.table.by_id
        incarnations = {item.incarnation for item in table.values() if not item.leaving}
        self.pool.keep_only(incarnations)
        listed = {item.incarnation for item in table.values()}
        self.health.keep_only(listed)
        self.pauses.keep_only(listed)
        self.loads.keep_only(set(table))

    def dump(self) -> dict:
        """Return the state for the operator dump."""
        return {
            "buffered_bytes": self.buffers.used_bytes,
            "buffers_full": self.buffers.rejections,
            "connections_opened": self.pool.opened,
            **self._counts,
            "paused": len(self.pauses),
            "retry_budget": {
                service: budget.dump(self._app.clock.monotonic())
                for service, budget in self._budgets_by_service.items()
            },
            "own_loads": {
                upstream_id: msgspec.structs.asdict(load)
                for upstream_id, load in self.loads.own_by_id.items()
            },
        }


def setup(app: Application) -> None:
    """Provide the ``upstreams`` service."""
    upstreams = Upstreams(app)
    app.provide("upstreams", upstreams)
    app.add_dump_section("upstreams", upstreams.dump)
    app.connect("upstreams-changed", upstreams.upstreams_changed)
    app.on_start(upstreams.start)
