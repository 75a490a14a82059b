"""Finds the sending rate to upstreams that have just started or recovered.

Provides ``pace``. It applies to services whose upstreams report the momentary duration
of their work; other services are served as without it.
"""

from aioprometheus import Gauge

from camphorgate.application import Application
from camphorgate.log import log_event
from camphorgate.serving.catalog import Upstream
from camphorgate.serving.pace import PaceTable
from camphorgated.serving.messages import State
from camphorgated.serving.platform_protocol import ResponseFacts

# An instance knows the upstreams this long after it has read the first of them; those
# that appear later have just started.
FIRST_LIST_SECONDS = 2.0
# An upstream that returns to the list within this time has not started again.
REMEMBERED_SECONDS = 60.0


class UpstreamPace:
    """The shares of this instance and their exchange with all others."""

    __slots__ = (
        "table",
        "_app",
        "_gossip",
        "_members",
        "_directory",
        "_services",
        "_present",
        "_seen_at",
        "_listed_at",
        "_ramping",
        "_gauge",
    )

    def __init__(self, app: Application) -> None:
        """Start with all upstreams at full rate."""
        self._app = app
        self._gossip = app.service("gossip")
        self._members = app.service("members")
        self._directory = app.service("directory")
        own = self._members.own.instance
        self.table = PaceTable(own, self._instances)
        # Services whose upstreams report the duration of their work.
        self._services: set[str] = set()
        self._present: set[tuple[str, int]] = set()
        self._seen_at: dict[tuple[str, int], float] = {}
        self._listed_at: float | None = None
        self._ramping: set[str] = set()
        self._gauge = Gauge(
            "camphorgate_paced_upstreams",
            "Upstreams that only a share of the instances sends to.",
            registry=app.service("statistics").registry,
        )
        if app.settings.pace.enabled:
            app.connect("upstreams-changed", self._upstreams_changed)
            self._gossip.add_tick_listener(self._tick)
            self._gossip.add_state_field(self._add_to_state, self._receive, far=True)

    def _instances(self) -> set[str]:
        states = self._gossip.live_states()
        return {*self._members.by_instance(), *(item.instance for item in states)}

    def record_response(self, upstream: Upstream, facts: ResponseFacts) -> None:
        """Record that a service is one whose upstreams report how long work takes."""
        if facts.load is not None and facts.load.slowdown is not None:
            self._services.add(upstream.service)

    def record_duration(
        self, upstream: Upstream, ms: float, predicted_ms: float, now: float
    ) -> None:
        """Record a response, see :meth:`PaceTable.record_duration`."""
        if len(self.table):
            self.table.record_duration(upstream.incarnation, ms, predicted_ms, now)

    def record_refusal(self, upstream: Upstream) -> None:
        """Record that an upstream refused a request."""
        self.table.record_bad(upstream.incarnation, self._app.clock.monotonic())

    def record_failure(self, upstream: Upstream, failures: int) -> None:
        """Record a failed attempt.

        :param failures: consecutive ones at this instance, including this one.
        """
        if upstream.service in self._services and self._app.settings.pace.enabled:
            now = self._app.clock.monotonic()
            self.table.record_failures(upstream.incarnation, failures, now)

    def _upstreams_changed(self) -> None:
        now = self._app.clock.monotonic()
        listed = self._directory.table.by_id.values()
        if listed and self._listed_at is None:
            self._listed_at = now
        known = self._listed_at is not None
        knows_all = known and now - self._listed_at > FIRST_LIST_SECONDS
        for upstream in listed:
            incarnation = upstream.incarnation
            new = incarnation not in self._seen_at
            if new and knows_all and upstream.service in self._services:
                self.table.mark_started(incarnation, now)
            self._seen_at[incarnation] = now
        # Those that have just left the list were seen until now.
        present = {upstream.incarnation for upstream in listed}
        self._seen_at |= dict.fromkeys(self._present - present, now)
        self._present = present
        for incarnation, seen_at in list(self._seen_at.items()):
            if now - seen_at > REMEMBERED_SECONDS:
                del self._seen_at[incarnation]
        self.table.keep_only(self._seen_at)

    def _tick(self, turn: int) -> None:
        """Update the metric, and log upstreams that begin or end."""
        shares = self.table.shares()
        if not shares and not self._ramping:
            return
        now = self._app.clock.monotonic()
        for upstream in self._directory.table.by_id.values():
            # Also of those that no request has considered lately.
            self.table.includes(upstream.incarnation, now)
        ramping = set(self.table.shares())
        for upstream_id in sorted(ramping - self._ramping):
            log_event("upstream_paced", upstream=upstream_id, share=shares[upstream_id])
        for upstream_id in sorted(self._ramping - ramping):
            log_event("upstream_at_full_rate", upstream=upstream_id)
        self._ramping = ramping
        self._gauge.set({}, len(ramping))

    def _add_to_state(self, state: State) -> None:
        if len(self.table):
            state.paces = self.table.news(self._app.clock.monotonic())

    def _receive(self, state: State) -> None:
        if not state.paces:
            return
        now = self._app.clock.monotonic()
        by_id = self._directory.table.by_id
        for item in state.paces:
            listed = by_id.get(item.id)
            if listed is not None and listed.started_at == item.started_at:
                self.table.receive_news(item, now)

    def dump(self) -> dict:
        """Return the state for the operator dump."""
        return {
            "shares": self.table.shares(),
            "starts": self.table.starts,
            "halvings": self.table.halvings,
        }


def setup(app: Application) -> None:
    """Provide the pace of upstreams."""
    pace = UpstreamPace(app)
    app.provide("pace", pace)
    app.add_dump_section("upstream_pace", pace.dump)
