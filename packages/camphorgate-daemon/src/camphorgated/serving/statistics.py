"""Request counters, latency histograms and request log lines.

Provides ``statistics``. Metrics are served on the operator address.
"""

from collections import Counter

from aioprometheus import Counter as PrometheusCounter
from aioprometheus import Gauge, Histogram, Registry, render

from camphorgate.application import Application
from camphorgate.log import log_event
from camphorgate.serving.catalog import Stage, Upstream
from camphorgated.serving.caller import NOT_RUN_STATUSES

# Rate limit of log lines about single requests; excess lines are only counted.
MAX_LINES_PER_SECOND = 50.0
LATENCY_BUCKETS = (0.01, 0.03, 0.1, 0.2, 0.3, 0.5, 0.8, 1.5, 3.0, 8.0)


class LogRateLimiter:
    """Token bucket that limits log lines about single requests."""

    __slots__ = ("_level", "_filled_at", "suppressed")

    def __init__(self) -> None:
        """Start with a budget of one second."""
        self._level = MAX_LINES_PER_SECOND
        self._filled_at = 0.0
        self.suppressed = 0

    def take(self, now: float) -> bool:
        """Take one line from the budget and return whether it may be written."""
        passed = max(0.0, now - self._filled_at) * MAX_LINES_PER_SECOND
        self._level = min(MAX_LINES_PER_SECOND, self._level + passed)
        self._filled_at = now
        if self._level < 1.0:
            self.suppressed += 1
            return False
        self._level -= 1.0
        return True


class Statistics:
    """Request statistics since the start of the process."""

    __slots__ = (
        "_app",
        "_counts",
        "_lines",
        "_answers",
        "_latency",
        "_task_failures",
        "registry",
    )

    def __init__(self, app: Application) -> None:
        """Initialize counters and metrics."""
        self._app = app
        self._counts: Counter[str] = Counter()
        self._lines = LogRateLimiter()
        self.registry = Registry()
        self._answers = PrometheusCounter(
            "camphorgate_answers", "Answers by status.", registry=self.registry
        )
        self._task_failures = Gauge(
            "camphorgate_task_failures",
            "Failures of tasks that start again, by task.",
            registry=self.registry,
        )
        self._latency = Histogram(
            "camphorgate_answer_seconds",
            "Time to the end of an answer.",
            buckets=LATENCY_BUCKETS,
            registry=self.registry,
        )

    def finished(self, context, seconds: float) -> None:
        """Record the end of a request."""
        status = str(context.caller.status or 0)
        outcome = status if context.caller.ended else f"{status}_open"
        self._counts[outcome] += 1
        self._answers.inc({"status": outcome, "route": context.route.name})
        self._latency.observe({"route": context.route.name}, seconds)
        self.request_line(
            "answered",
            status=outcome,
            seconds=seconds,
            **job_fields(context),
            **context.decisions,
        )

    def given_up(self, context, reason: str, **fields) -> None:
        """Record a request that this system gave up."""
        status = context.caller.status
        if status in NOT_RUN_STATUSES:
            outcome = "refused"
        else:
            outcome = "broken_off" if status == 200 else "unknown"
        self._counts[f"{outcome}_{reason}"] += 1
        self.request_line(
            "request_given_up",
            reason=reason,
            outcome=outcome,
            status=status,
            **fields,
            **job_fields(context),
            **context.decisions,
        )

    def try_failed(self, context, upstream: Upstream, cause: str, stage: Stage) -> None:
        """Log why an attempt at an upstream failed."""
        self.request_line(
            "try_failed",
            upstream=upstream.id,
            cause=cause,
            stage=stage.value,
            **job_fields(context),
            **context.decisions,
        )

    def answer_cut(self, context, upstream: Upstream, events: int) -> None:
        """Log what ran on an upstream whose connection ended before the answer did.

        :param events: events that the upstream sent of this answer.
        """
        self.request_line(
            "answer_cut",
            upstream=upstream.id,
            started_at=upstream.started_at,
            parts=",".join(name for name, _ in context.facts.parts[:-1]),
            events=events,
            **job_fields(context),
        )

    def request_line(self, event: str, **fields) -> None:
        """Log a line about a single request, subject to the rate limit."""
        if self._lines.take(self._app.clock.monotonic()):
            log_event(event, **fields)

    def caller_left(self) -> None:
        """Count a caller that disconnected before its response."""
        self._counts["caller_left"] += 1

    def render(self) -> tuple[str, bytes]:
        """Return the content type and the text of the metrics."""
        for name, record in self._app.supervisor.failures_by_task.items():
            self._task_failures.set({"task": name}, record.failures)
        body, headers = render(self.registry, [])
        return headers.get("Content-Type", "text/plain"), body

    def dump(self) -> dict:
        """Return the state for the operator dump."""
        return {**self._counts, "suppressed_lines": self._lines.suppressed}


def job_fields(context) -> dict:
    """Return the log fields that identify a request."""
    return {
        "attempt": context.facts.attempt,
        "route": context.route.name,
        "service": context.service,
        "workspace": context.workspace_name,
        "version": context.version,
    }


def setup(app: Application) -> None:
    """Provide the statistics."""
    statistics = Statistics(app)
    app.provide("statistics", statistics)
    app.add_dump_section("requests", statistics.dump)
