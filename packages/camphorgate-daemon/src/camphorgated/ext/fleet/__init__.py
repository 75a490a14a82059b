"""Provides the service ``fleet``, which plans roles, models and capacity."""

from camphorgate.application import Application
from camphorgated.ext.fleet.service import FleetService


def setup(app: Application) -> None:
    """Register the service, its dump section and its start and stop hooks."""
    service = FleetService(app)
    app.provide("fleet", service)
    app.add_dump_section("fleet", service.dump)
    app.on_start(service.start)
    app.on_stop(service.stop)
