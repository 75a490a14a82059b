"""Runs the daemon on a hosting platform until the platform stops it."""

import asyncio
import signal

from camphorgate.application import Application
from camphorgate.clock import Clock
from camphorgate.errors import CamphorgateError
from camphorgate.log import configure_standard_output, log_event
from camphorgate.serving.settings import HostedSettings
from camphorgated.early_signals import take_reload

_EXTENSIONS = (
    "directory",
    "members",
    "gossip",
    "news",
    "counters",
    "statistics",
    "store_calls",
    "pace",
    "upstream_speed",
    "memory",
    "quarantine",
    "limits",
    "permit_grants",
    "permits",
    "room",
    "upstreams",
    "calls",
    "generations",
    "frozen_figures",
    "usage_duty",
    "fleet_duty",
    "front",
)
_PACKAGE = "camphorgated.serving"
# Extensions that import large libraries that no request needs. They are loaded once the
# process serves, so that it serves sooner after a restart.
_KNOWLEDGE = f"{_PACKAGE}.knowledge"
_OPERATOR = f"{_PACKAGE}.operator"
# Delays of the late extensions after the start, which keep the processor free for the
# first requests. Peers that started without the store need an answer soon, operators
# can wait.
KNOWLEDGE_SECONDS = 1.0
OPERATOR_SECONDS = 6.0
# If this instance or a peer has been out of date for this long, the exchange with peers
# is loaded without further delay, so that missing state can be fetched.
MAX_STORE_LOSS_SECONDS = 0.2
POLL_SECONDS = 0.05


def build(settings: HostedSettings, clock: Clock | None = None) -> Application:
    """Return the application with the extensions of the adapter and of serving.

    :param clock: source of time; the system clock by default.
    """
    app = Application(settings, clock)
    app.setup_extension(f"{settings.adapter}.extension")
    for name in _EXTENSIONS:
        app.setup_extension(f"{_PACKAGE}.{name}")
    return app


async def start(app: Application) -> None:
    """Start an application, and load the late extensions while it serves."""
    await app.start()
    app.supervise(lambda: _load_late(app), "late extensions")


async def _load_late(app: Application) -> None:
    began = sound_at = app.clock.monotonic()
    directory, gossip = app.service("directory"), app.service("gossip")
    while (now := app.clock.monotonic()) - began < KNOWLEDGE_SECONDS:
        if directory.sound and all(s.sound for s in gossip.live_states()):
            sound_at = now
        elif now - sound_at >= MAX_STORE_LOSS_SECONDS:
            break
        await asyncio.sleep(POLL_SECONDS)
    await app.load_extension(_KNOWLEDGE)
    await asyncio.sleep(max(0.0, began + OPERATOR_SECONDS - app.clock.monotonic()))
    await app.load_extension(_OPERATOR)


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
    if take_reload():
        # The settings may have changed after they were read.
        reload()
    try:
        await start(app)
        log_event("started", instance=settings.instance_id)
        await stopping.wait()
        members = app.service("members")
        drain = asyncio.ensure_future(app.service("front").drain())
        await members.deregister()
        await drain
    finally:
        await app.stop()
    log_event("stopped", instance=settings.instance_id)
