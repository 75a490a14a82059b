"""The operators' report over all instances.

Each instance counts its own requests. The instance that is asked for the report
requests the parts of its peers once and lists the instances that did not answer.
"""

import asyncio
from typing import Any

import msgspec

from camphorgate.application import Application
from camphorgate.errors import CamphorgateError
from camphorgate.foreign_data import DECODE_ERRORS
from camphorgate.log import log_event
from camphorgate.reporting.statistics import (
    Counts,
    RequestOutcome,
    RequestStatistics,
    merge,
    summarise,
)
from camphorgated.ext.gateway.errors import execution_status
from camphorgated.ext.gateway.records import weighted_service

MINUTE_SECONDS = 60.0
HOUR_SECONDS = 3600.0
PEER_TIMEOUT_SECONDS = 3.0

# Services shown per instance in the report, with the method that returns the section.
_METHODS_BY_SERVICE = {"usage": "dump", "fleet": "report", "duties": "status"}


class InstancePart(msgspec.Struct):
    """The part of the report that one instance contributes."""

    instance: str
    version: int
    minute: Counts
    hour: Counts
    backlog_by_pool: dict[str, dict[str, float]]
    sections: dict[str, Any]


class ReportService:
    """Counts the requests of this instance; provided as the service ``report``."""

    __slots__ = ("_app", "_statistics")

    def __init__(self, app: Application) -> None:
        """Create empty statistics."""
        self._app = app
        self._statistics = RequestStatistics()

    def record_request(self, record: Any) -> None:
        """Count a finished request.

        :param record: :class:`camphorgated.ext.gateway.records.RequestRecord`.
        """
        run = execution_status(record.outcome)
        was_executed = run == "run"
        outcome = RequestOutcome(
            workspace=record.workspace,
            weight=record.weight,
            good=record.meets_latency_targets(),
            run=run,
            served=weighted_service(record) if was_executed else 0.0,
            prefill_tokens=record.prompt_tokens if was_executed else 0,
            decode_tokens=record.output_tokens,
            resumes=record.resumes,
            broken=record.outcome == "stream_broken",
            cheap=self._ran_on_cheap_upstream(record.upstream_id),
        )
        self._statistics.record(outcome, self._app.clock.monotonic())

    def part(self) -> InstancePart:
        """Return the part of the report that this instance contributes."""
        now = self._app.clock.monotonic()
        return InstancePart(
            instance=self._app.settings.instance_id,
            version=self._app.service("configuration").version,
            minute=self._statistics.counts_of_last(now, MINUTE_SECONDS),
            hour=self._statistics.counts_of_last(now, HOUR_SECONDS),
            backlog_by_pool=self._app.service("gateway").counters()["queues"],
            sections=self._sections(),
        )

    def encode_part(self) -> bytes:
        """Return this instance's part, encoded for a peer."""
        return msgspec.msgpack.encode(self.part(), enc_hook=str)

    async def collect(self) -> dict[str, Any]:
        """Return the report over all instances that respond in time."""
        parts = [self.part()]
        missing = []
        if self._app.has_service("membership"):
            membership = self._app.service("membership")
            names = [
                member.instance_id
                for member in membership.members()
                if member.instance_id != membership.instance_id
            ]
            answers = await asyncio.gather(
                *(self._request_part(name) for name in names)
            )
            for name, part in zip(names, answers, strict=True):
                if part is None:
                    missing.append(name)
                else:
                    parts.append(part)
        return _merge_parts(parts, missing)

    async def _request_part(self, instance_id: str) -> InstancePart | None:
        peer = self._app.service("membership").peer(instance_id)
        try:
            payload = await peer.report(timeout=PEER_TIMEOUT_SECONDS)
            return msgspec.msgpack.decode(payload, type=InstancePart)
        except (CamphorgateError, *DECODE_ERRORS) as error:
            log_event("report_part_missing", instance=instance_id, error=str(error))
            return None

    def _ran_on_cheap_upstream(self, upstream_id: str) -> bool:
        entry = self._app.service("upstreams").entries_by_id.get(upstream_id)
        return entry is not None and entry.view.kind == "cheap"

    def _sections(self) -> dict[str, Any]:
        sections = {}
        for name, method in _METHODS_BY_SERVICE.items():
            if self._app.has_service(name):
                sections[name] = getattr(self._app.service(name), method)()
        return sections


def _merge_parts(parts: list[InstancePart], missing: list[str]) -> dict[str, Any]:
    backlog: dict[str, dict[str, float]] = {}
    for part in parts:
        for pool, queue in part.backlog_by_pool.items():
            total = backlog.setdefault(pool, dict.fromkeys(queue, 0.0))
            total["depth"] = total.get("depth", 0) + queue["depth"]
            for name in queue.keys() - {"depth"}:
                total[name] = max(total.get(name, 0.0), queue[name])
    sections: dict[str, dict[str, Any]] = {}
    for part in parts:
        for name, section in part.sections.items():
            sections.setdefault(name, {})[part.instance] = section
    return {
        "instances": {part.instance: part.version for part in parts},
        "instances_without_answer": missing,
        "last_minute": summarise(merge([part.minute for part in parts])),
        "last_hour": summarise(merge([part.hour for part in parts])),
        "backlog": backlog,
        **sections,
    }


def setup(app: Application) -> None:
    """Provide the service and count finished requests."""
    service = ReportService(app)
    app.provide("report", service)
    app.connect("request-finished", service.record_request)
