"""Provides ``configuration``: the manifest in force, its freshness, submissions."""

from camphorgate.application import Application
from camphorgated.ext.configuration.service import ConfigurationService


def setup(app: Application) -> None:
    """Declare the extension's event and provide the service."""
    app.declare_event("manifest-changed")
    service = ConfigurationService(app)
    app.provide("configuration", service)
    app.add_dump_section("configuration", service.dump)
    app.connect("pause-detected", service.forget_evidence)
    app.on_start(service.start)
