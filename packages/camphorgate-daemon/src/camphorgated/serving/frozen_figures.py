"""Sends the figures of frozen usage windows to peers before they are reported.

Provides ``frozen_figures``; :mod:`camphorgate.serving.frozen_figures` keeps them.
"""

import random

from aioprometheus import Counter as PrometheusCounter

from camphorgate.application import Application
from camphorgate.log import log_event
from camphorgate.serving.frozen_figures import (
    FrozenFigures,
    FrozenPart,
    may_freeze,
    split_figures,
)
from camphorgated.serving.messages import MAX_COUNTERS_PER_DATAGRAM

# Peers that get the figures besides the watchers, which may take the duty.
MORE_PEERS = 4
# Figures are sent twice, as datagrams may be lost, and reported with the second time.
MAX_SENDS = 2


class FrozenFiguresBroadcast:
    """The figures that this instance knows, and what it has sent of them."""

    __slots__ = (
        "figures",
        "_app",
        "_gossip",
        "_store",
        "_sends_by_window",
        "_restored_at",
        "_random",
        "_skipped",
        "_restores",
    )

    def __init__(self, app: Application) -> None:
        """Start without figures, and receive those of peers."""
        self.figures = FrozenFigures()
        self._app = app
        self._gossip = app.service("gossip")
        self._store = app.service("store")
        self._sends_by_window: dict[int, int] = {}
        self._restored_at: float | None = None
        self._random = random.Random()
        self._skipped = PrometheusCounter(
            "camphorgate_usage_windows_skipped",
            "Usage windows without known figures after a restore of the store.",
            registry=app.service("statistics").registry,
        )
        self._restores = PrometheusCounter(
            "camphorgate_store_restores",
            "How often the store came back from an older copy.",
            registry=app.service("statistics").registry,
        )
        self._gossip.add_handler(FrozenPart, self.figures.receive_part)
        self._store.add_restore_listener(self._receive_restore)

    def broadcast(self, window: int, counts: dict[str, int]) -> bool:
        """Record and send figures that are in the store.

        :returns: whether they were sent often enough to be reported.
        """
        self.figures.record(window, counts)
        if not self._app.settings.store.share_frozen_figures:
            return True
        if not self._store.states_era:
            return True
        sends = self._sends_by_window.get(window, 0)
        peers = self._gossip.near + self._gossip.far
        if sends >= MAX_SENDS or not peers:
            return True
        self._sends_by_window[window] = sends + 1
        oldest = window - len(self.figures.windows()) - 1
        for item in [item for item in self._sends_by_window if item < oldest]:
            del self._sends_by_window[item]
        messages = split_figures(window, counts, MAX_COUNTERS_PER_DATAGRAM)
        watchers = [
            state.gossip_address
            for state in self._gossip.live_states()
            if state.watching
        ]
        more = self._random.sample(peers, min(MORE_PEERS, len(peers)))
        self._gossip.send(messages, list({*watchers, *more}))
        return sends + 1 >= MAX_SENDS

    def may_freeze(self, window: int, due_at: float) -> bool:
        """Return whether a window that is not in the store may get new figures.

        :param due_at: the earliest time at which a holder may have frozen it, seconds
            since 1970.
        """
        if may_freeze(due_at, self._restored_at):
            return True
        log_event("usage_window_skipped", level="WARNING", window=window)
        self._skipped.inc({})
        return False

    def _receive_restore(self, first: bool) -> None:
        if not first:
            self._restores.inc({})
        self._restored_at = self._gossip.synchronized_now()
        # A later holder may know only what it is sent from here on.
        self._sends_by_window.clear()


def setup(app: Application) -> None:
    """Provide the figures."""
    broadcast = FrozenFiguresBroadcast(app)
    app.provide("frozen_figures", broadcast)
    app.add_dump_section(
        "frozen_figures", lambda: {"windows": broadcast.figures.windows()[-10:]}
    )
