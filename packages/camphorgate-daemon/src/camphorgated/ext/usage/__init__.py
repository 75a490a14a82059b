"""Provides ``usage``, which counts, replicates and reports usage by workspaces."""

from camphorgate.application import Application
from camphorgated.ext.usage.service import UsageService


def setup(app: Application) -> None:
    """Register the service, which requires ``kv`` and ``membership``, and its hooks."""
    service = UsageService(app)
    app.provide("usage", service)
    app.add_dump_section("usage", service.dump)
    app.on_start(service.start)
    app.on_stop(service.stop)
