"""Plans roles, models and capacity for the duties that this instance holds."""

from camphorgate.application import Application
from camphorgated.ext.fleet.service import FleetService


def setup(app: Application) -> None:
    """Provide the service ``fleet``."""
    service = FleetService(app)
    app.provide("fleet", service)
    app.add_dump_section("fleet", service.dump)
    app.on_start(service.start)
    app.on_stop(service.stop)
