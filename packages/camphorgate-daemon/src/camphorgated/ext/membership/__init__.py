"""Provides ``membership``: who is present, and the links to the other instances."""

from camphorgate.application import Application
from camphorgated.ext.membership.service import MembershipService


def setup(app: Application) -> None:
    """Declare the events and provide the service."""
    app.add_event("member-changed")
    app.add_event("pause-detected")
    service = MembershipService(app)
    app.provide("membership", service)
    app.add_dump_section("membership", service.dump)
    app.on_start(service.start)
    app.on_stop(service.stop)
