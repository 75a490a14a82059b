"""State shared by the parts of the gateway: settings, services, upstreams, counters."""

import asyncio
import random
import secrets
from itertools import count
from typing import Any

from camphorgate.application import Application
from camphorgate.manifest import ManifestIndex
from camphorgate.requests.demand_history import DemandHistory
from camphorgate.requests.retries import RetryBudget
from camphorgated.ext.gateway.access import WorkspaceLimits
from camphorgated.ext.gateway.admission import Admission
from camphorgated.ext.gateway.connection_pool import UpstreamConnector
from camphorgated.ext.gateway.deadline_monitor import DeadlineMonitor
from camphorgated.ext.gateway.errors import GatewayError
from camphorgated.ext.gateway.exchange import Exchange, RequestHead
from camphorgated.ext.gateway.polling import Poller
from camphorgated.ext.gateway.records import Recorder
from camphorgated.ext.gateway.upstreams import UpstreamEntry, UpstreamTable


class Gateway:
    """The request path of one daemon."""

    __slots__ = (
        "app",
        "settings",
        "limits",
        "now",
        "deadline_monitor",
        "connector",
        "upstreams",
        "admission",
        "recorder",
        "retry_budget",
        "workspace_limits",
        "demand",
        "configuration",
        "claims",
        "usage",
        "leaving",
        "instances",
        "storing_tasks",
        "_request_ids",
        "_id_prefix",
    )

    def __init__(self, app: Application) -> None:
        """Create the parts; ``start`` looks up the services of other extensions."""
        self.app = app
        self.settings = app.settings
        self.limits = app.settings.limits
        self.now = app.clock.monotonic
        self.deadline_monitor = DeadlineMonitor(app.clock)
        self.connector = UpstreamConnector(self.limits.connect_seconds)
        self.upstreams = UpstreamTable(self)
        self.admission = Admission(self)
        self.recorder = Recorder(self)
        self.retry_budget = RetryBudget(self.now())
        self.workspace_limits = WorkspaceLimits(self)
        self.demand = DemandHistory()
        self.configuration: Any = None
        self.claims: Any = None
        self.usage: Any = None
        self.leaving = False
        self.instances = 1
        # Tasks that store responses to claimed requests in KV.
        self.storing_tasks: set[asyncio.Task] = set()
        self._request_ids = count(1)
        self._id_prefix = secrets.token_hex(8)

    def start(self) -> None:
        """Look up the services of other extensions and apply the active manifest."""
        self.configuration = self.app.service("configuration")
        self.claims = self._optional_service("claims")
        self.usage = self._optional_service("usage")
        index = self.configuration.index
        if index is not None:
            self.apply_manifest(index)

    def apply_manifest(self, index: ManifestIndex) -> None:
        """Apply a manifest, or a changed platform list with the same manifest."""
        self.update_instance_count()
        membership = self._optional_service("membership")
        listed = membership.platform_upstreams() if membership else ()
        self.admission.fairness.set_weights(index)
        self.upstreams.rebuild(index, listed)
        self.admission.update_window_shares()

    def start_polling(self, entry: UpstreamEntry) -> asyncio.Task:
        """Start to poll an upstream and return the task."""
        rng = random.Random(f"{self.settings.seed} {entry.view.id}")
        if not self.settings.seed:
            rng = random.Random()
        poller = Poller(self, self.upstreams, entry, rng)
        return self.app.supervise(poller.run, f"poll load of {entry.view.id}")

    def update_instance_count(self) -> int:
        """Update the number of live instances; it is 1 without a membership service."""
        membership = self._optional_service("membership")
        self.instances = max(1, membership.live_count()) if membership else 1
        return self.instances

    def index(self) -> ManifestIndex:
        """Return the active manifest.

        :raises GatewayError: if none is known yet.
        """
        index = self.configuration.index if self.configuration else None
        if index is None:
            raise GatewayError("configuration_stale", "no configuration is known yet")
        return index

    def next_request_id(self) -> str:
        """Return an id that is unique across all dispatches of the system."""
        return f"{self._id_prefix}-{next(self._request_ids):x}"

    def open_exchange(self, head: RequestHead, *, new_connection: bool) -> Exchange:
        """Return an exchange with an upstream, not started yet."""
        return Exchange(
            self.connector,
            self.deadline_monitor,
            self.app.clock,
            head,
            new_connection=new_connection,
        )

    def _optional_service(self, name: str) -> Any:
        return self.app.service(name) if self.app.has_service(name) else None
