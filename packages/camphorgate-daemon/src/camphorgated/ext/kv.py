"""Provides the key-value client as the service ``kv``."""

from camphorgate.application import Application
from camphorgate.kv.client import KvClient


def setup(app: Application) -> None:
    """Create the client from the settings."""
    settings = app.settings.kv
    client = KvClient(
        settings.addresses,
        app.clock,
        settings.calls_per_second,
        settings.timeout_seconds,
    )
    app.provide("kv", client)
    app.add_dump_section("kv", client.statistics)
    app.on_stop(client.close)
