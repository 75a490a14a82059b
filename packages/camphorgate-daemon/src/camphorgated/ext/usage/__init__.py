"""Provides ``usage``: counts, copies, hands in and reports what workspaces use."""

from camphorgate.application import Application
from camphorgated.ext.usage.service import UsageService


def setup(app: Application) -> None:
    """Provide the service; it needs ``kv`` and ``membership``."""
    service = UsageService(app)
    app.provide("usage", service)
    app.add_dump_section("usage", service.dump)
    app.on_start(service.start)
    app.on_stop(service.stop)
