"""Provides the service ``claims``: durable claims on idempotency keys."""

from camphorgate.application import Application
from camphorgated.ext.claims.service import ClaimsService


def setup(app: Application) -> None:
    """Register the service, its dump section and its start and stop hooks."""
    service = ClaimsService(app)
    app.provide("claims", service)
    app.add_dump_section("claims", service.status)
    app.on_start(service.start)
    app.on_stop(service.stop)
