"""What the requests of this instance share about upstreams.

Provides ``upstreams``: the connections, the health, the placement and the budget of
repeated requests.
"""

import contextlib
from collections.abc import Iterator

import msgspec

from camphorgate.application import Application
from camphorgate.serving.budget import ShareOfBudget
from camphorgate.serving.catalog import Service, Upstream
from camphorgate.serving.placement import Placement
from camphorgate.serving.tries import Tries
from camphorgated.serving.errors import ExchangeError
from camphorgated.serving.exchange import LEAVING, Exchange
from camphorgated.serving.front import Job
from camphorgated.serving.pool import USED_PART, Pool
from camphorgated.serving.statistics import job_fields
from camphorgated.serving.wire import AnswerFacts

# At least this many connections to an upstream, however many instances there are.
LEAST_CONNECTIONS = 4


class Upstreams:
    """Connections, health, placement and budgets of this instance."""

    __slots__ = (
        "pool",
        "health",
        "loads",
        "placement",
        "_app",
        "_directory",
        "_gossip",
        "_dialect",
        "_budgets_by_service",
    )

    def __init__(self, app: Application) -> None:
        """Start without connections."""
        self._app = app
        self._directory = app.service("directory")
        self._gossip = app.service("gossip")
        self._dialect = app.service("dialect")
        self.pool = Pool(app.clock)
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
        return Exchange(
            self.pool, self._dialect, upstream, self._directory.table.takes_requests
        )

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
        return [item for item in usable if item.id not in without] or usable

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
        if known is None or known.leaving or table.doubted(upstream.id):
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
        else:
            health.refused(now)

    def upstreams_changed(self) -> None:
        """Forget what is known of upstreams that are gone or leave."""
        table = self._directory.table.by_id
        incarnations = {item.incarnation for item in table.values() if not item.leaving}
        self.pool.keep_only(incarnations)
        self.health.keep_only({item.incarnation for item in table.values()})
        self.loads.keep_only(set(table))

    def dump(self) -> dict:
        """Return the state for the operators."""
        return {
            "connections_opened": self.pool.opened,
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
