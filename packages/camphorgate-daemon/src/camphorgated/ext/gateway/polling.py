"""Polls the load of each upstream, and sends suspected ones one probe at a time."""

import asyncio
import random
from typing import Any

import msgspec

from camphorgate.foreign_data import DECODE_ERRORS
from camphorgate.requests.cache_events import CacheEvent, CacheEventTracker
from camphorgated.ext.gateway.errors import UpstreamFault
from camphorgated.ext.gateway.exchange import RequestHead
from camphorgated.ext.gateway.load import parse_load_body
from camphorgated.ext.gateway.upstreams import UpstreamEntry, UpstreamTable

POLL_INTERVAL_SECONDS = 1.0
POLL_JITTER = 0.25
# Limits the polls of a process: 20 per second cost about 0.5 % of a core. Busy
# upstreams report their load with their responses.
MAX_POLLS_PER_SECOND = 20.0
# Suspected upstreams are polled more often, as their next probe may be due.
SUSPECTED_POLL_INTERVAL_SECONDS = 0.25
# A load report that came with a response within this time replaces a poll.
RECENT_REPORT_SECONDS = 0.5
POLL_TIMEOUT_SECONDS = 1.0
MAX_REPORT_BYTES = 65536
CACHE_EVENTS_INTERVAL_SECONDS = 2.0

Headers = list[tuple[bytes, bytes]]


class _CacheEvents(msgspec.Struct):
    """Response to GET /control/cache-events; ``last`` is 0 if it is missing."""

    events: list[CacheEvent] = []
    last: int = 0


class Poller:
    """Polls one upstream until it is cancelled."""

    __slots__ = (
        "_gateway",
        "_table",
        "_entry",
        "_random",
        "_cache_log",
        "_cache_read_at",
    )

    def __init__(
        self,
        gateway: Any,
        table: UpstreamTable,
        entry: UpstreamEntry,
        rng: random.Random,
    ) -> None:
        """Prepare to poll.

        :param rng: random numbers for the jitter.
        """
        self._gateway = gateway
        self._table = table
        self._entry = entry
        self._random = rng
        self._cache_log = CacheEventTracker()
        self._cache_read_at = gateway.now()

    async def run(self) -> None:
        """Poll and probe until cancelled."""
        await asyncio.sleep(self._random.uniform(0, POLL_INTERVAL_SECONDS / 2))
        while True:
            if self._needs_report():
                await self._poll_load()
            if self._needs_cache_events():
                await self._poll_cache_events()
            if self._table.start_probe_if_due(self._entry):
                self._table.record_probe(self._entry, await self._probe())
            healthy = self._entry.view.health == "healthy"
            seconds = (
                self._poll_interval_seconds()
                if healthy
                else SUSPECTED_POLL_INTERVAL_SECONDS
            )
            jitter = self._random.uniform(1 - POLL_JITTER, 1 + POLL_JITTER)
            await asyncio.sleep(seconds * jitter)

    def _poll_interval_seconds(self) -> float:
        return max(
            POLL_INTERVAL_SECONDS, self._table.polled_count / MAX_POLLS_PER_SECOND
        )

    def _needs_report(self) -> bool:
        """Return whether no recent response carried a load report."""
        view = self._entry.view
        return view.health != "healthy" or (
            view.report_age(self._gateway.now()) >= RECENT_REPORT_SECONDS
        )

    async def _poll_load(self) -> None:
        try:
            status, body = await self._request("GET", b"/control/load")
        except UpstreamFault as fault:
            self._table.record_failure(self._entry, fault)
            return
        if status == 200:
            report = parse_load_body(body, self._gateway.now())
            self._table.record_load(self._entry, report)
            self._table.on_capacity(self._entry.view.pool)

    def _needs_cache_events(self) -> bool:
        """Return whether this process has cached prefixes on record to be corrected."""
        view = self._entry.view
        elapsed = self._gateway.now() - self._cache_read_at
        return (
            elapsed >= CACHE_EVENTS_INTERVAL_SECONDS
            and view.health == "healthy"
            and bool(view.prefix_seen_at_by_digest)
        )

    async def _poll_cache_events(self) -> None:
        """Apply the cache events since the last poll; a failure leaves a gap."""
        self._cache_read_at = self._gateway.now()
        target = b"/control/cache-events?after=%d" % self._cache_log.last_seq
        try:
            status, body = await self._request("GET", target)
            response = msgspec.json.decode(body, type=_CacheEvents)
        except (UpstreamFault, *DECODE_ERRORS):
            return
        if status != 200:
            return
        view = self._entry.view
        if response.last < self._cache_log.last_seq:
            self._cache_log.reset(view)
        self._cache_log.apply_events(view, response.events, self._gateway.now())

    async def _probe(self) -> bool:
        """Send a small synthetic request, so that no caller's request is at risk."""
        model = self._table.model_for_probe(self._entry)
        try:
            if model:
                body = {"model": model, "prompt": "probe", "max_tokens": 1}
                content = msgspec.json.encode(body)
                status, _ = await self._request("POST", b"/v1/completions", content)
            else:
                status, _ = await self._request("GET", b"/control/load")
        except UpstreamFault:
            return False
        return status < 500

    async def _request(
        self, method: str, target: bytes, body: bytes = b""
    ) -> tuple[int, bytes]:
        gateway = self._gateway
        headers: Headers = [(b"content-length", b"%d" % len(body))] if body else []
        if body:
            headers.append((b"content-type", b"application/json"))
        head = RequestHead(method, target, headers, gateway.next_request_id())
        exchange = gateway.open_exchange(head, new_connection=bool(body))
        content = b""
        try:
            await exchange.send(self._entry.url, body)
            deadline = gateway.now() + POLL_TIMEOUT_SECONDS
            response = await exchange.read_head(deadline)
            while chunk := await exchange.read_body(deadline):
                content += chunk
                if len(content) > MAX_REPORT_BYTES:
                    raise UpstreamFault("the load report is too long")
        finally:
            exchange.close()
        return response.status, content
