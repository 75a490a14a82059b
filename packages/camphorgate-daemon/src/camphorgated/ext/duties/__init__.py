"""Provides ``duties``: takes duties by leases and sends their orders."""

from camphorgate.application import Application
from camphorgated.ext.duties.service import DutiesService


def setup(app: Application) -> None:
    """Provide the service."""
    service = DutiesService(app)
    app.provide("duties", service)
    app.add_dump_section("duties", service.dump)
    app.on_start(service.start)
    app.on_stop(service.stop)
