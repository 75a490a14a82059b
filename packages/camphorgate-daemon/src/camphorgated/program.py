"""Loads the extensions and runs until a signal."""

import argparse
import asyncio
import gc
import importlib.util
import signal
import sys

import uvloop

from camphorgate.application import Application
from camphorgate.errors import CamphorgateError, ExtensionError
from camphorgate.log import configure_logging, log_event
from camphorgate.serving.settings import HostedSettings, validate_hosted_settings
from camphorgate.settings import Settings, load_settings_data, validate_settings

_EXTENSIONS = (
    "kv",
    "membership",
    "configuration",
    "duties",
    "claims",
    "usage",
    "gateway",
    "fleet",
    "report",
    "metrics",
    "admin",
)
_EXTENSION_PACKAGE = "camphorgated.ext"
# Arguments of gc.set_threshold(): net allocations before generation 0 is collected, and
# collections of generations 0 and 1 before the next older generation is collected.
_GC_THRESHOLDS = (2_000, 10, 50)
EXIT_OK = 0
EXIT_FAILED = 1


def _extension_exists(name: str) -> bool:
    return importlib.util.find_spec(f"{_EXTENSION_PACKAGE}.{name}") is not None


def extension_names(settings: Settings) -> list[str]:
    """Return the module names of the extensions in load order.

    :raises ExtensionError: if the settings name an extension that does not exist.
    """
    if not settings.extensions:
        return [f"{_EXTENSION_PACKAGE}.{name}" for name in _EXTENSIONS]
    missing = [name for name in settings.extensions if not _extension_exists(name)]
    if missing:
        raise ExtensionError(f"unknown extensions: {', '.join(missing)}")
    return [f"{_EXTENSION_PACKAGE}.{name}" for name in settings.extensions]


def tune_garbage_collection() -> None:
    """Shorten full garbage collections.

    Modules and settings make up most of the heap and live until the process ends. A
    full collection that traverses them took 25 ms and delayed every request, so they
    are frozen.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(*_GC_THRESHOLDS)


async def run_daemon(settings: Settings) -> None:
    """Run a daemon until SIGTERM or SIGINT, then finish its open requests."""
    # Its settings are not read again.
    signal.signal(signal.SIGHUP, signal.SIG_DFL)
    app = Application(settings)
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopping.set)
    for name in extension_names(settings):
        app.setup_extension(name)
    try:
        await app.start()
        tune_garbage_collection()
        log_event("started", instance=settings.instance_id)
        await stopping.wait()
    finally:
        await app.stop()
    log_event("stopped", instance=settings.instance_id)


def load_settings(path: str) -> Settings | HostedSettings:
    """Read and validate the settings.

    Settings with the key ``adapter`` configure a hosted daemon.

    :raises SettingsError: if they cannot be read or are invalid.
    """
    data = load_settings_data(path)
    if isinstance(data, dict) and "adapter" in data:
        return validate_hosted_settings(data, path)
    return validate_settings(data, path)


def run_hosted(settings: HostedSettings, path: str) -> None:
    """Run a daemon that is hosted by a platform."""
    # Imported here because a daemon that is not hosted does not need it.
    from camphorgated.serving import daemon

    async def run() -> None:
        tune_garbage_collection()
        await daemon.run(settings, lambda: load_settings(path))

    uvloop.run(run())


def main(arguments: list[str] | None = None) -> int:
    """Parse the arguments and run a daemon.

    :returns: the exit code.
    """
    parser = argparse.ArgumentParser(
        prog="camphorgated", description="Serve requests on one entry instance."
    )
    parser.add_argument("settings", metavar="SETTINGS_FILE")
    parser.add_argument(
        "--check-settings",
        action="store_true",
        help="check the settings and exit",
    )
    options = parser.parse_args(arguments)
    try:
        settings = load_settings(options.settings)
        hosted = isinstance(settings, HostedSettings)
        if not hosted:
            extension_names(settings)
        if options.check_settings:
            print(f"{options.settings}: the settings are valid")
            return EXIT_OK
        if hosted:
            run_hosted(settings, options.settings)
            return EXIT_OK
        configure_logging(settings.log_level)
        uvloop.run(run_daemon(settings))
    except (CamphorgateError, OSError) as error:
        print(f"camphorgated: {error}", file=sys.stderr)
        return EXIT_FAILED
    return EXIT_OK
