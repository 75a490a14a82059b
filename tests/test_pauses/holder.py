"""A process that sends orders for one duty while it holds the duty.

The id of each order starts with the epoch under which it is sent.
"""

import asyncio
import sys

from camphorgate.application import Application
from camphorgate.errors import CamphorgateError
from camphorgate.settings import read_settings
from tests.control_cluster import manifest_text

DUTY = "capacity/zone-a"
EXTENSIONS = ("kv", "membership", "configuration", "duties")


async def _submit_manifest(app: Application) -> None:
    configuration = app.service("configuration")
    while not configuration.version:
        try:
            await configuration.submit(manifest_text(), 0)
        except CamphorgateError:
            await asyncio.sleep(0.2)


async def main(path: str) -> None:
    """Send orders until the process is killed."""
    app = Application(read_settings(path))
    for name in EXTENSIONS:
        app.setup_extension(f"camphorgated.ext.{name}")
    await app.start()
    await _submit_manifest(app)
    duties = app.service("duties")
    number = 0
    while True:
        authority = duties.authority(DUTY)
        if authority is not None:
            number += 1
            order = {"kind": "start", "pool": "models", "zone": "zone-a"}
            order["order_id"] = f"{authority.epoch}.{app.settings.instance_id}.{number}"
            try:
                await duties.submit_order(DUTY, "models", order)
            except CamphorgateError:
                await asyncio.sleep(0.05)
        await asyncio.sleep(0.005)


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1]))
