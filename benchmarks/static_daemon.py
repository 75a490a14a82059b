"""Runs a daemon with a fixed manifest, to measure the request path alone.

``python -m benchmarks.static_daemon SETTINGS_FILE MANIFEST_FILE``
"""

import asyncio
import signal
import sys
from pathlib import Path

import uvloop

from camphorgate.application import Application
from camphorgate.log import configure_logging
from camphorgate.manifest import ManifestIndex
from camphorgate.manifest_validation import parse_manifest
from camphorgate.settings import Settings, read_settings
from camphorgated.ext import gateway
from camphorgated.program import tune_garbage_collection


class StaticConfiguration:
    """A configuration service whose manifest never changes."""

    def __init__(self, manifest: str) -> None:
        """Parse and index the manifest."""
        self.index = ManifestIndex(parse_manifest(manifest), 1)
        self.version = 1

    def fresh(self) -> bool:
        """Return true, as the manifest cannot change."""
        return True


async def run(settings: Settings, manifest: str) -> None:
    """Serve until SIGTERM."""
    app = Application(settings)
    app.declare_event("manifest-changed")
    app.provide("configuration", StaticConfiguration(manifest))
    app.setup_extension(gateway.__name__)
    stopping = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stopping.set)
    await app.start()
    tune_garbage_collection()
    await stopping.wait()
    await app.stop()


def main() -> None:
    """Run the program."""
    settings = read_settings(sys.argv[1])
    configure_logging(settings.log_level)
    uvloop.run(run(settings, Path(sys.argv[2]).read_text(encoding="utf-8")))


if __name__ == "__main__":
    main()
