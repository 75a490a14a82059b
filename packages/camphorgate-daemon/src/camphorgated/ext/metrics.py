"""Metrics of the daemon, in the text format of Prometheus.

Values are read from the services at each scrape, so that metrics add no work to the
request path.
"""

from collections.abc import Callable, Iterator

from aioprometheus import Gauge, Registry, render

from camphorgate import registry
from camphorgate.application import Application

Sample = tuple[str, dict[str, str], float]
Collector = Callable[[Application], Iterator[Sample]]

collectors: registry.Registry[Collector] = registry.Registry("metrics collector")

_HELP_BY_METRIC = {
    "camphorgate_requests": "Requests that ended, by pool and outcome.",
    "camphorgate_requests_in_flight": "Requests under way.",
    "camphorgate_good_requests": "Requests that met the latency bounds.",
    "camphorgate_tokens": "Tokens, by kind (prefill, decode).",
    "camphorgate_resumed_streams": "Streams that went on after a broken upstream.",
    "camphorgate_queue_depth": "Requests that wait, by pool.",
    "camphorgate_queue_oldest_seconds": "Age of the oldest waiting request.",
    "camphorgate_queue_growing_seconds": "How long the queue has been growing.",
    "camphorgate_upstream_healthy": "1 if an upstream takes work, else 0.",
    "camphorgate_upstream_in_flight": "Requests of this instance on an upstream.",
    "camphorgate_configuration_version": "Version of the manifest in force.",
    "camphorgate_configuration_fresh": "1 if the version is known to be the newest.",
    "camphorgate_live_instances": "Instances that this one knows to be live.",
    "camphorgate_task_failures": "Failures of tasks that start again, by task.",
    "camphorgate_kv_calls": "Calls to the key-value service, by kind.",
}


@collectors.register("requests")
def _requests(app: Application) -> Iterator[Sample]:
    if not app.has_service("gateway"):
        return
    counters = app.service("gateway").counters()
    requests = counters["requests"]
    yield "camphorgate_requests_in_flight", {}, requests["in_flight"]
    yield "camphorgate_good_requests", {}, requests["good_requests"]
    yield "camphorgate_resumed_streams", {}, requests["resumes"]
    for name, count in requests["requests_by_pool_and_outcome"].items():
        pool, _, outcome = name.partition(" ")
        yield "camphorgate_requests", {"pool": pool, "outcome": outcome}, count
    for kind, count in requests["tokens"].items():
        yield "camphorgate_tokens", {"kind": kind}, count
    for pool, queue in counters["queues"].items():
        labels = {"pool": pool}
        yield "camphorgate_queue_depth", labels, queue["depth"]
        age, growing = queue["oldest_age_seconds"], queue["growing_for_seconds"]
        yield "camphorgate_queue_oldest_seconds", labels, age
        yield "camphorgate_queue_growing_seconds", labels, growing


@collectors.register("upstreams")
def _upstreams(app: Application) -> Iterator[Sample]:
    if not app.has_service("gateway"):
        return
    for upstream in app.service("gateway").counters()["upstreams"]:
        labels = {"pool": upstream["pool"], "upstream": upstream["id"]}
        usable = upstream["health"] == "healthy" and not upstream["leaving"]
        yield "camphorgate_upstream_healthy", labels, int(usable)
        yield "camphorgate_upstream_in_flight", labels, upstream["in_flight"]


@collectors.register("configuration")
def _configuration(app: Application) -> Iterator[Sample]:
    if app.has_service("configuration"):
        configuration = app.service("configuration")
        yield "camphorgate_configuration_version", {}, configuration.version
        yield "camphorgate_configuration_fresh", {}, int(configuration.fresh())
    if app.has_service("membership"):
        yield "camphorgate_live_instances", {}, app.service("membership").live_count()


@collectors.register("kv")
def _kv(app: Application) -> Iterator[Sample]:
    if not app.has_service("kv"):
        return
    for kind, count in app.service("kv").statistics()["calls"].items():
        yield "camphorgate_kv_calls", {"kind": kind}, count


@collectors.register("tasks")
def _tasks(app: Application) -> Iterator[Sample]:
    for name, record in app.supervisor.failures_by_task.items():
        yield "camphorgate_task_failures", {"task": name}, record.failures


class MetricsService:
    """Renders the metrics; provided as the service ``metrics``."""

    __slots__ = ("_app",)

    def __init__(self, app: Application) -> None:
        """Store the application whose services supply the values."""
        self._app = app

    def render(self) -> tuple[str, bytes]:
        """Return the content type and the text of all metrics."""
        prometheus_registry = Registry()
        gauges_by_name: dict[str, Gauge] = {}
        for collector in collectors:
            for name, labels, value in collectors.get(collector)(self._app):
                if name not in gauges_by_name:
                    help_text = _HELP_BY_METRIC.get(name, name)
                    gauges_by_name[name] = Gauge(
                        name, help_text, registry=prometheus_registry
                    )
                gauges_by_name[name].set(labels, value)
        body, headers = render(prometheus_registry, [])
        return headers.get("Content-Type", "text/plain"), body


def setup(app: Application) -> None:
    """Provide the service."""
    app.provide("metrics", MetricsService(app))
