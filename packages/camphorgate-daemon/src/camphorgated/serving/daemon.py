"""Runs a daemon that a platform hosts, until the platform ends it."""

import asyncio
import signal

from camphorgate.application import Application
from camphorgate.errors import CamphorgateError
from camphorgate.log import configure_standard_output, log_event
from camphorgate.serving.settings import HostedSettings

_EXTENSIONS = (
    "directory",
    "members",
    "gossip",
    "statistics",
    "upstreams",
    "calls",
    "generations",
    "usage_duty",
    "fleet_duty",
    "operator",
    "front",
)
_PACKAGE = "camphorgated.serving"


def build(settings: HostedSettings) -> Application:
    """Return the application with the adapter's and the serving extensions."""
    app = Application(settings)
    app.setup_extension(f"{settings.adapter}.extension")
    for name in _EXTENSIONS:
        app.setup_extension(f"{_PACKAGE}.{name}")
    return app


async def run(settings: HostedSettings, read_again) -> None:
    """Serve until SIGTERM or SIGINT, then drain.

    :param read_again: returns the settings as they are now; called at SIGHUP.
    """
    configure_standard_output(settings.log_level)
    app = build(settings)
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)

    def reload() -> None:
        try:
            app.settings = read_again()
        except CamphorgateError as error:
            log_event("settings_kept", level="ERROR", error=error.message)
            return
        log_event("settings_reloaded")

    loop.add_signal_handler(signal.SIGHUP, reload)
    try:
        await app.start()
        log_event("started", instance=settings.instance_id)
        await stopping.wait()
        members = app.service("members")
        drain = asyncio.ensure_future(app.service("front").drain())
        await members.leave()
        await drain
    finally:
        await app.stop()
    log_event("stopped", instance=settings.instance_id)
