"""Observes the state of engines and the demand on all instances."""

import asyncio
import random
from typing import Any

import msgspec

from camphorgate.application import Application
from camphorgate.errors import CamphorgateError
from camphorgate.fleet.demand import DemandSample
from camphorgate.fleet.placement import current_artifacts, served_names_by_engine
from camphorgate.fleet.pool_state import Engine, Phase
from camphorgate.foreign_data import DECODE_ERRORS
from camphorgate.http_client import build_http_client
from camphorgate.manifest import Manifest, Pool

STATE_TIMEOUT_SECONDS = 1.0
# Engine states and load reports older than this are ignored.
MAX_STATE_AGE_SECONDS = 5.0
MAX_STATE_CONNECTIONS = 32
# Number of other instances sampled for their demand, from which the total is
# extrapolated.
MAX_SAMPLED_INSTANCES = 16
REPORT_TIMEOUT_SECONDS = 1.0


class EngineStatus(msgspec.Struct):
    """The fields of the response to ``GET /control/state`` that are used here."""

    role: str = "both"
    models: tuple[str, ...] = ()
    busy: bool = False
    draining: bool = False


class _Part(msgspec.Struct):
    """The fields of another instance's report that are read here."""

    sections: dict[str, Any]


class Observer:
    """Reads engine states and collects the demand on all instances."""

    __slots__ = ("_app", "_http", "_random", "_states_by_id", "_down_since_by_id")

    def __init__(self, app: Application) -> None:
        """Create the HTTP client; nothing is observed yet."""
        self._app = app
        self._http = build_http_client(
            MAX_STATE_CONNECTIONS, STATE_TIMEOUT_SECONDS, STATE_TIMEOUT_SECONDS
        )
        self._random = random.Random(app.settings.seed or None)
        self._states_by_id: dict[str, tuple[float, EngineStatus]] = {}
        self._down_since_by_id: dict[str, float] = {}

    async def close(self) -> None:
        """Close the HTTP client."""
        await self._http.aclose()

    async def read_states(self) -> None:
        """Read engine states and update roles, drains and models of the upstreams."""
        upstreams = self._app.service("upstreams")
        entries = upstreams.entries_by_id
        index = self._app.service("configuration").index
        pools = index.manifest.pools if index else ()
        observed = [
            entries[upstream_id]
            for pool in pools
            if pool.kind == "engines"
            for upstream_id in self._observed_ids(pool.name)
            if upstream_id in entries
        ]
        await asyncio.gather(*(self._read_state(entry) for entry in observed))
        for pool in pools:
            if pool.kind == "engines":
                self._update_served_models(index.manifest, pool.name)
        for upstream_id in self._states_by_id.keys() - entries.keys():
            del self._states_by_id[upstream_id]
        for upstream_id in self._down_since_by_id.keys() - entries.keys():
            del self._down_since_by_id[upstream_id]

    def _observed_ids(self, pool: str) -> list[str]:
        """Return the ids of the engines whose state this instance reads.

        The holder of the pool's duty reads all of them, because it plans for the whole
        pool. Other instances read only the engines to which they send requests.
        """
        upstreams = self._app.service("upstreams")
        if f"engines/{pool}" in self._held_duties():
            entries = upstreams.entries_by_id.values()
            return [entry.view.id for entry in entries if entry.view.pool == pool]
        return [view.id for view in upstreams.views(pool)]

    def _held_duties(self) -> list[str]:
        if not self._app.has_service("duties"):
            return []
        return self._app.service("duties").held()

    def _update_served_models(self, manifest: Manifest, pool: str) -> None:
        """Update the model names that each engine with a recent state serves."""
        now = self._app.clock.monotonic()
        entries = self._app.service("upstreams").entries_by_id
        loaded_by_id = {
            upstream_id: status.models
            for upstream_id, (seen_at, status) in self._states_by_id.items()
            if upstream_id in entries
            and entries[upstream_id].view.pool == pool
            and now - seen_at < MAX_STATE_AGE_SECONDS
        }
        models = (model for model in manifest.models if model.pool == pool)
        for upstream_id, names in served_names_by_engine(
            current_artifacts(models), loaded_by_id
        ).items():
            entries[upstream_id].view.models = names

    async def _read_state(self, entry: Any) -> None:
        url = f"http://{entry.address}/control/state"
        try:
            async with asyncio.timeout(STATE_TIMEOUT_SECONDS):
                response = await self._http.request(url, "GET")
                content = await response.content()
            status = msgspec.json.decode(content, type=EngineStatus)
        except Exception:  # noqa: BLE001 - any failure keeps the last state
            return
        view = entry.view
        self._states_by_id[view.id] = (self._app.clock.monotonic(), status)
        view.role = status.role
        upstreams = self._app.service("upstreams")
        if status.draining:
            upstreams.mark_leaving(view.id, "drain")
        else:
            upstreams.mark_returned(view.id, "drain")

    def engines(
        self,
        pool: Pool,
        withdrawn_at_by_id: dict[str, float],
        open_receivers: set[str],
        targets: dict[str, str],
    ) -> tuple[Engine, ...]:
        """Return the upstreams of a pool as input for the planners.

        :param withdrawn_at_by_id: seconds since the Unix epoch.
        :param open_receivers: ids of upstreams with an open order.
        """
        now = self._app.clock.monotonic()
        wall_time = self._app.clock.now().timestamp()
        listed = self._listed_states()
        found = []
        for entry in self._app.service("upstreams").entries_by_id.values():
            view = entry.view
            if view.pool != pool.name:
                continue
            seen_at, status = self._states_by_id.get(view.id, (-1e9, EngineStatus()))
            is_fresh = pool.kind != "engines" or now - seen_at < MAX_STATE_AGE_SECONDS
            withdrawn = withdrawn_at_by_id.get(view.id)
            phase = _phase(entry, status, is_fresh, listed.get(view.id, "live"))
            found.append(
                Engine(
                    id=view.id,
                    availability_zone=view.zone,
                    kind=view.kind,
                    role=view.role,
                    phase=phase,
                    requests_in_flight=_requests_in_flight(view, now),
                    has_open_order=view.id in open_receivers,
                    target_role=targets.get(view.id),
                    loaded_artifacts=tuple(status.models),
                    notice_seconds=view.report and view.report.leaving_seconds,
                    withdrawn_seconds=None
                    if withdrawn is None
                    else wall_time - withdrawn,
                    down_seconds=self._down_for(view.id, phase, now),
                )
            )
        return tuple(found)

    def _down_for(self, upstream_id: str, phase: Phase, now: float) -> float:
        if phase != "down":
            self._down_since_by_id.pop(upstream_id, None)
            return 0.0
        return now - self._down_since_by_id.setdefault(upstream_id, now)

    def _listed_states(self) -> dict[str, str]:
        membership = self._app.service("membership")
        return {item.id: item.state for item in membership.platform_upstreams()}

    def own_demand(self) -> dict[str, list[float]]:
        """Return the demand on this instance for each pool: requests, prompt tokens
        and output tokens per second.
        """
        now = self._app.clock.monotonic()
        log = self._app.service("demand")
        rates = {pool: log.rates(pool, "asked", 5.0, now) for pool in log.pools()}
        return {
            pool: [rate.requests, rate.prefill_tokens, rate.decode_tokens]
            for pool, rate in rates.items()
        }

    async def collect_demand(self, seconds: float) -> dict[str, DemandSample]:
        """Return the demand on each pool over all instances.

        With more than ``MAX_SAMPLED_INSTANCES`` others, the total is extrapolated from
        a random sample, because the load balancer spreads requests evenly.
        """
        membership = self._app.service("membership")
        others = [
            member.instance_id
            for member in membership.members()
            if member.instance_id != membership.instance_id
        ]
        sampled = self._random.sample(others, min(MAX_SAMPLED_INSTANCES, len(others)))
        answers = await asyncio.gather(
            *(self._request_demand(name) for name in sampled)
        )
        parts = [self.own_demand(), *(part for part in answers if part is not None)]
        scale = max(1.0, membership.live_count() / len(parts)) * seconds
        totals: dict[str, list[float]] = {}
        for part in parts:
            for pool, rates in part.items():
                total = totals.setdefault(pool, [0.0, 0.0, 0.0])
                for index, rate in enumerate(rates):
                    total[index] += rate * scale
        return {
            pool: DemandSample(seconds, prefill, decode, prompts=requests)
            for pool, (requests, prefill, decode) in totals.items()
        }

    async def _request_demand(self, instance_id: str) -> dict[str, list[float]] | None:
        peer = self._app.service("membership").peer(instance_id)
        if peer is None:
            return None
        try:
            payload = await peer.report(timeout=REPORT_TIMEOUT_SECONDS)
            sections = msgspec.msgpack.decode(payload, type=_Part).sections
            return sections["fleet"]["demand"]
        except (CamphorgateError, *DECODE_ERRORS, KeyError, TypeError):
            return None


def _phase(entry: Any, status: EngineStatus, is_fresh: bool, listed: str) -> Phase:
    view = entry.view
    leave_announced = (
        view.report is not None and view.report.leaving_seconds is not None
    )
    causes = entry.leaving_causes - {"drain", "order"}
    if leave_announced or listed != "live" or causes:
        return "leaving"
    if status.busy and is_fresh:
        return "changing"
    if not is_fresh or view.health != "healthy":
        return "down"
    return "draining" if status.draining else "serving"


def _requests_in_flight(view: Any, now: float) -> int:
    """Return the number of requests in flight.

    Without a recent report it is at least one, so that no request is cut off.
    """
    if view.report is None or now - view.report.observed_at > MAX_STATE_AGE_SECONDS:
        return max(1, view.own_requests)
    return max(view.report.running + view.report.waiting, view.own_requests)
