"""Provides the service ``duties``, which holds duties by leases and sends orders."""

from camphorgate.application import Application
from camphorgated.ext.duties.service import DutiesService


def setup(app: Application) -> None:
    """Register the service, its dump section and its start and stop hooks."""
    service = DutiesService(app)
    app.provide("duties", service)
    app.add_dump_section("duties", service.dump)
    app.on_start(service.start)
    app.on_stop(service.stop)
