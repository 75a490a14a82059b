"""Records of requests: log line, counters, usage, event."""

from collections import Counter
from typing import Any

import msgspec

from camphorgate.log import log_event
from camphorgate.requests import fairness

MAX_GOOD_FIRST_TOKEN_SECONDS = 0.64
MAX_GOOD_TOKEN_GAP_SECONDS = 0.067


class RequestRecord(msgspec.Struct, eq=False):
    """One request from its arrival to its end; times are monotonic seconds.

    ``outcome`` is ``ok``, an error code, or ``caller_left``. ``token_gap_seconds`` is
    the average time between tokens.
    """

    request_id: str
    arrived_at: float
    method: str = ""
    path: str = ""
    workspace: str = ""
    weight: float = 1.0
    pool: str = ""
    model: str = ""
    service: str = ""
    upstream_id: str = ""
    status: int = 0
    outcome: str = ""
    prompt_tokens: int = 0
    output_tokens: int = 0
    attempts: int = 0
    resumes: int = 0
    admitted_at: float = 0.0
    first_token_at: float = 0.0
    ended_at: float = 0.0
    authenticated: bool = True

    @property
    def token_gap_seconds(self) -> float:
        """Return the average time between the tokens of a response."""
        if self.output_tokens < 2 or not self.first_token_at:
            return 0.0
        return (self.ended_at - self.first_token_at) / (self.output_tokens - 1)

    def meets_latency_targets(self) -> bool:
        """Return whether the request counts towards goodput."""
        if self.outcome != "ok":
            return False
        if not self.first_token_at:
            return True
        first = self.first_token_at - self.arrived_at
        fast = self.token_gap_seconds <= MAX_GOOD_TOKEN_GAP_SECONDS
        return first <= MAX_GOOD_FIRST_TOKEN_SECONDS and fast


class UsageEntry(msgspec.Struct, frozen=True):
    """Usage of one request, for the usage service."""

    request_id: str
    workspace: str
    model: str = ""
    service: str = ""
    prompt_tokens: int = 0
    output_tokens: int = 0
    calls: int = 1


def weighted_service(record: RequestRecord) -> float:
    """Return the service that a request received, in weighted tokens."""
    calls = 0 if record.model else 1
    return fairness.weighted_service(record.prompt_tokens, record.output_tokens, calls)


class Recorder:
    """Counts requests and passes their usage to the usage service."""

    __slots__ = (
        "in_flight",
        "in_flight_by_workspace",
        "requests_by_outcome",
        "tokens_by_kind",
        "resumes",
        "good_requests",
        "_gateway",
    )

    def __init__(self, gateway: Any) -> None:
        """Start with zeros."""
        self.in_flight = 0
        self.in_flight_by_workspace: Counter[str] = Counter()
        self.requests_by_outcome: Counter[tuple[str, str]] = Counter()
        self.tokens_by_kind: Counter[str] = Counter()
        self.resumes = 0
        self.good_requests = 0
        self._gateway = gateway

    def begin(self) -> None:
        """Count a request that arrived."""
        self.in_flight += 1

    async def record_usage(self, record: RequestRecord) -> None:
        """Record the usage and wait for a bounded time until it is durable.

        Called before the last bytes of a response are sent.
        """
        usage = self._gateway.usage
        if usage is None or not record.authenticated:
            return
        entry = UsageEntry(
            record.request_id,
            record.workspace,
            record.model,
            record.service,
            record.prompt_tokens,
            record.output_tokens,
        )
        usage.record(entry)
        await usage.durable(entry)

    def finish(self, record: RequestRecord) -> None:
        """Count, log and announce a request that ended."""
        self.in_flight -= 1
        record.ended_at = self._gateway.now()
        self.requests_by_outcome[record.pool, record.outcome] += 1
        self.tokens_by_kind["prefill"] += record.prompt_tokens
        self.tokens_by_kind["decode"] += record.output_tokens
        self.resumes += record.resumes
        self.good_requests += record.meets_latency_targets()
        self._record_demand(record)
        self._gateway.app.emit("request-finished", record)
        self._log(record)

    def _record_demand(self, record: RequestRecord) -> None:
        if not record.pool or record.outcome == "caller_left":
            return
        outcome = "served" if record.outcome == "ok" else "refused"
        self._gateway.demand.record_request(
            outcome,
            record.pool,
            record.prompt_tokens,
            record.output_tokens,
            record.ended_at,
        )

    def dump(self) -> dict:
        """Return the counters."""
        return {
            "in_flight": self.in_flight,
            "in_flight_by_workspace": dict(+self.in_flight_by_workspace),
            "requests_by_pool_and_outcome": {
                f"{pool or '-'} {outcome}": count
                for (pool, outcome), count in sorted(self.requests_by_outcome.items())
            },
            "tokens": dict(self.tokens_by_kind),
            "resumes": self.resumes,
            "good_requests": self.good_requests,
        }

    def _log(self, record: RequestRecord) -> None:
        first = record.first_token_at
        log_event(
            "request",
            id=record.request_id,
            method=record.method,
            path=record.path,
            workspace=record.workspace or None,
            model=record.model or None,
            service=record.service or None,
            upstream=record.upstream_id or None,
            status=record.status,
            outcome=record.outcome,
            prompt_tokens=record.prompt_tokens or None,
            output_tokens=record.output_tokens or None,
            attempts=record.attempts,
            resumes=record.resumes or None,
            first_token_seconds=first - record.arrived_at if first else None,
            seconds=record.ended_at - record.arrived_at,
        )
