"""Provides ``membership``: the known instances and the links to them."""

from camphorgate.application import Application
from camphorgated.ext.membership.service import MembershipService


def setup(app: Application) -> None:
    """Declare the extension's events and provide the service."""
    app.declare_event("member-changed")
    app.declare_event("pause-detected")
    service = MembershipService(app)
    app.provide("membership", service)
    app.add_dump_section("membership", service.dump)
    app.on_start(service.start)
    app.on_stop(service.stop)
