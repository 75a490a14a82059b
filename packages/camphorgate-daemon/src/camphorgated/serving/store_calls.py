"""Bounds this instance's calls to a store in trouble.

Provides ``store_calls``; :mod:`camphorgate.serving.store_calls` decides.
"""

import asyncio
import random

from aioprometheus import Gauge

from camphorgate.application import Application
from camphorgate.log import log_event
from camphorgate.serving.store_calls import Role, StoreCalls
from camphorgate.serving.watcher_selection import WATCHERS_PER_ZONE

TICK_SECONDS = 0.1


class StoreCallsUpdate:
    """Tells the decision what this instance is to its zone, and what the zone knows."""

    __slots__ = ("_app", "_calls", "_directory", "_members", "_was_closed", "_gauge")

    def __init__(self, app: Application, calls: StoreCalls) -> None:
        """Start with a store that answers."""
        self._app = app
        self._calls = calls
        self._directory = app.service("directory")
        self._members = app.service("members")
        self._was_closed = False
        self._gauge = Gauge(
            "camphorgate_store_calls_refused",
            "Calls that were not sent to a store in trouble.",
            registry=app.service("statistics").registry,
        )

    async def run(self) -> None:
        """Update the role and the knowledge of the zone several times a second."""
        while True:
            self._update(self._app.clock.monotonic())
            await asyncio.sleep(TICK_SECONDS)

    def _update(self, now: float) -> None:
        selection = self._directory.watches.watcher_selection
        self._calls.set_role(self._role(now), now)
        if selection.in_contact(now):
            self._calls.mark_answering(self._directory.instances, now)
        if self._calls.closed != self._was_closed:
            self._was_closed = self._calls.closed
            event = "store_calls_bounded" if self._was_closed else "store_calls_free"
            log_event(event, refused=self._calls.refused)
        self._gauge.set({}, self._calls.refused)

    def _role(self, now: float) -> Role:
        selection = self._directory.watches.watcher_selection
        rank = selection.rank(now)
        if rank < WATCHERS_PER_ZONE or self._members.fencing:
            return Role.WATCHER
        return Role.SUBSTITUTE if selection.is_candidate(now) else Role.FOLLOWER

    def dump(self) -> dict:
        """Return the state for the dump."""
        return {"bounded": self._calls.closed, "refused": self._calls.refused}


def setup(app: Application) -> None:
    """Provide the decision to the store client if the settings call for it."""
    calls = StoreCalls(random.Random())
    app.provide("store_calls", calls)
    if not app.settings.store.bound_calls:
        return
    app.service("store").set_admission(calls, app.clock.monotonic)
    update = StoreCallsUpdate(app, calls)
    app.add_dump_section("store_calls", update.dump)

    async def start() -> None:
        app.supervise(update.run, "store calls")

    app.on_start(start)
