"""What the requests of this instance share about upstreams.

Provides ``upstreams``: the connections, the health, the pauses, the placement and the
budget of repeated requests.
"""

import asyncio
import contextlib
import random
from collections import Counter
from collections.abc import Iterator

import msgspec

from camphorgate.application import Application
from camphorgate.log import log_event
from camphorgate.serving.budget import ShareOfBudget
from camphorgate.serving.catalog import Service, Upstream
from camphorgate.serving.pauses import RESUME_SECONDS, PauseBook
from camphorgate.serving.placement import Placement
from camphorgate.serving.tries import Tries
from camphorgated.serving.errors import ExchangeError
from camphorgated.serving.exchange import LEAVING, Exchange
from camphorgated.serving.front import Job
from camphorgated.serving.pool import USED_PART, Pool
from camphorgated.serving.statistics import job_fields
from camphorgated.serving.wire import AnswerFacts

# Reason of a refusal where every upstream of a service wants a pause.
PAUSED = "upstreams_paused"
# A refused caller returns within this part of a pause after its end.
RETURN_SPREAD = 0.25
# At least this many connections to an upstream, however many instances there are.
LEAST_CONNECTIONS = 4


class Upstreams:
    """Connections, health, placement and budgets of this instance."""

    __slots__ = (
        "pool",
        "pauses",
        "health",
        "loads",
        "placement",
        "_app",
        "_directory",
        "_gossip",
        "_dialect",
        "_budgets_by_service",
        "_resuming_by_service",
        "_counts",
        "_random",
    )

    def __init__(self, app: Application) -> None:
        """Start without connections."""
        self._app = app
        self._directory = app.service("directory")
        self._gossip = app.service("gossip")
        self._dialect = app.service("dialect")
        self.pool = Pool(app.clock)
        self.pauses = PauseBook()
        # Requests that wait for the end of a pause.
        self._resuming_by_service: Counter[str] = Counter()
        self._counts: Counter[str] = Counter()
        self._random = random.Random()
        self._dialect.on_answer = self.hear_answer
        self.health = self._gossip.health
        self.loads = self._gossip.loads
        zone = app.settings.availability_zone
        self.placement = Placement(self.loads, self.health, zone, self.pool.connected)
        self._budgets_by_service: dict[str, ShareOfBudget] = {}

    async def start(self) -> None:
        """Start sweeping idle connections."""
        self._app.spawn(self.pool.sweep(), "upstream connections")

    def exchange(self, upstream: Upstream) -> Exchange:
        """Return a new exchange with an upstream."""
        return Exchange(self.pool, self._dialect, upstream, self)

    def service(self, name: str) -> Service | None:
        """Return a service of the configuration in force."""
        catalog = self._directory.catalog
        return catalog.services_by_name.get(name) if catalog else None

    def candidates(self, service: str, without: set[str]) -> list[Upstream]:
        """Return the upstreams of a service that take requests.

        :param without: ids to leave out, unless nothing else is there.
        """
        listed = self._directory.service_upstreams(service)
        changing = self._gossip.changing_engines()
        usable = [item for item in listed if item.id not in changing] or listed
        if len(self.pauses):
            now = self._app.clock.monotonic()
            usable = [
                item for item in usable if not self.pauses.paused(item.incarnation, now)
            ]
        return [item for item in usable if item.id not in without] or usable

    def takes_requests(self, upstream: Upstream) -> bool:
        """Tell whether an upstream still takes new requests from this instance."""
        now = self._app.clock.monotonic()
        return self._directory.table.takes_requests(
            upstream
        ) and not self.pauses.paused(upstream.incarnation, now)

    def hear_answer(self, upstream: Upstream, facts: AnswerFacts) -> None:
        """Take what an upstream says of itself in the head of an answer.

        It speaks for itself only: an answer that names another upstream, or that comes
        from another one at its address, changes nothing.
        """
        if not facts.leaving and not facts.pause_seconds:
            return
        another = facts.answered_by not in (None, upstream.id)
        if another or (facts.wrong_upstream and facts.answered_by is None):
            log_event(
                "answer_of_another_upstream",
                upstream=upstream.id,
                answered_by=facts.answered_by,
                status=facts.status,
            )
            return
        if facts.leaving and self._directory.take_leaving(upstream):
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

    def pause_seconds(self, service: str) -> float | None:
        """Return after how long the first pause of a service's upstreams ends.

        :returns: ``None`` if none of those that take requests pauses.
        """
        now = self._app.clock.monotonic()
        listed = self._directory.service_upstreams(service)
        end = self.pauses.first_end((item.incarnation for item in listed), now)
        return None if end is None else end - now

    def why_none(self, service: str) -> str:
        """Return why no upstream of a service takes requests."""
        paused = self.pause_seconds(service) is not None
        return PAUSED if paused else "no_upstream"

    async def wait_out_pause(self, job: Job) -> bool:
        """Wait until an upstream of a request's service takes requests again.

        :returns: whether to choose again; false at once if the request cannot be
            served before its deadline, or if no pause keeps it waiting.
        """
        seconds = self.pause_seconds(job.service)
        now = self._app.clock.monotonic()
        if seconds is None or seconds + job.route.target_seconds > job.left(now):
            return False
        place = self._resuming_by_service[job.service]
        self._resuming_by_service[job.service] += 1
        try:
            await asyncio.sleep(seconds + place * RESUME_SECONDS)
        finally:
            self._resuming_by_service[job.service] -= 1
        waited = (self._app.clock.monotonic() - now) * 1000
        job.decisions["paused_ms"] = job.decisions.get("paused_ms", 0.0) + waited
        return True

    def return_seconds(self, job: Job, reason: str, otherwise: float) -> float:
        """Return when a refused caller should come back, in seconds from now.

        At the end of the first pause where pauses alone keep it from being served,
        spread so that callers do not return together.

        :param reason: of the refusal, as :meth:`why_none` tells it.
        :param otherwise: for every other reason.
        """
        seconds = self.pause_seconds(job.service)
        if reason != PAUSED or seconds is None:
            return otherwise
        return seconds + self._random.uniform(0.0, RETURN_SPREAD * seconds)

    def most_connections(self, service: str) -> int:
        """Return this instance's part of the connections to an upstream."""
        declared = self.service(service)
        total = declared.connections if declared else 0
        part = int(total * USED_PART / self._gossip.instance_count())
        return max(LEAST_CONNECTIONS, part)

    def budget(self, service: str) -> ShareOfBudget:
        """Return this instance's budget of repeats for a service."""
        budget = self._budgets_by_service.get(service)
        if budget is None:
            settings = self._app.settings.budget
            budget = ShareOfBudget(
                settings.ratio, settings.slack, settings.window_seconds
            )
            self._budgets_by_service[service] = budget
        return budget

    def take_repeat(self, service: str) -> bool:
        """Take one repeat from the budget of a service."""
        now = self._app.clock.monotonic()
        return self.budget(service).take(now, self._gossip.instance_count())

    def why_not(
        self, job: Job, tries: Tries, unsent: int, most_unsent: int
    ) -> str | None:
        """Return why a request is not sent (again), ``None`` if it may be.

        Takes a place in the budget for a repeat that has none yet.

        :param unsent: sends that ended before anything left.
        :param most_unsent: bound on these.
        """
        if job.left(self._app.clock.monotonic()) <= 0:
            return "deadline"
        if not tries.may_send():
            return "attempts"
        if unsent >= most_unsent:
            return "no_connection"
        if not tries.granted and not self.take_repeat(job.service):
            return "budget"
        tries.granted = True
        return None

    @contextlib.contextmanager
    def under_way(self, upstream: Upstream, tokens: int) -> Iterator[None]:
        """Count a request at an upstream, and tell peers if its prompt is long.

        :param tokens: of its prompt, that the upstream must read.
        """
        self.loads.begin(upstream.id, tokens)
        self._gossip.announce(upstream, tokens)
        try:
            yield
        finally:
            self.loads.end(upstream.id, tokens)
            self._gossip.announce(upstream, -tokens)

    def note_inputs(self, job: Job, now: float) -> None:
        """Note for the log how old and how sound the inputs of a choice are."""
        job.decisions.update(
            loads_age_ms=self.loads.oldest_heard_seconds(now) * 1000,
            list_revision=self._directory.table.revision,
            store_sound=self._directory.sound,
        )

    def note_sent(self, job: Job, upstream: Upstream) -> None:
        """Note for the log when a request left, and whether the list spoke against it.

        A request may have chosen the upstream some time before.
        """
        table = self._directory.table
        now = self._app.clock.monotonic()
        job.decisions["sent_ms"] = (now - job.request.read_at) * 1000
        known = table.by_id.get(upstream.id)
        if known is None or not self.takes_requests(upstream):
            self._app.service("statistics").request_line(
                "sent_to_unlisted",
                upstream=upstream.id,
                doubted=table.doubted(upstream.id),
                **job_fields(job),
                **job.decisions,
            )

    def note_failure(self, upstream: Upstream, error: ExchangeError) -> None:
        """Avoid an upstream after a try that failed, unless it just left."""
        if error.cause != LEAVING:
            now = self._app.clock.monotonic()
            self.health.of(upstream.incarnation).failed(now)

    def note_refusal(self, upstream: Upstream, facts: AnswerFacts) -> None:
        """Note that an upstream refused a request without running it."""
        now = self._app.clock.monotonic()
        health = self.health.of(upstream.incarnation)
        if facts.wrong_upstream:
            health.failed(now)
        elif not facts.pause_seconds and not facts.leaving:
            health.refused(now)

    def upstreams_changed(self) -> None:
        """Forget what is known of upstreams that are gone or leave."""
        table = self._directory.table.by_id
        incarnations = {item.incarnation for item in table.values() if not item.leaving}
        self.pool.keep_only(incarnations)
        listed = {item.incarnation for item in table.values()}
        self.health.keep_only(listed)
        self.pauses.keep_only(listed)
        self.loads.keep_only(set(table))

    def dump(self) -> dict:
        """Return the state for the operators."""
        return {
            "connections_opened": self.pool.opened,
            **self._counts,
            "paused": len(self.pauses),
            "own_loads": {
                upstream_id: msgspec.structs.asdict(load)
                for upstream_id, load in self.loads.own_by_id.items()
            },
        }


def setup(app: Application) -> None:
    """Provide the upstreams' state."""
    upstreams = Upstreams(app)
    app.provide("upstreams", upstreams)
    app.add_dump_section("upstreams", upstreams.dump)
    app.connect("upstreams-changed", upstreams.upstreams_changed)
    app.on_start(upstreams.start)
