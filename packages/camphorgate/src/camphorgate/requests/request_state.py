"""Upstream and request state that the request handling policies read.

The gateway keeps one :class:`UpstreamState` per known upstream and calls
``begin_dispatch``, ``record_first_token`` and ``end_dispatch`` around each dispatch, so
that routing reads current counts without computing them per request. Times are
monotonic seconds of the process's clock.
"""

from collections import OrderedDict
from typing import Literal

import msgspec

from camphorgate.manifest import EngineRole, UpstreamKind

HealthState = Literal["healthy", "suspected", "probing"]

MAX_PREFIXES_PER_UPSTREAM = 512
# Period over which the gaps between tokens are averaged.
GAP_AVERAGE_SECONDS = 0.25
# The undisturbed gap follows shorter gaps quickly and longer ones slowly, as long gaps
# are mostly caused by prompts that the engine prefills in between.
UNDISTURBED_GAP_FALL_WEIGHT = 0.3
UNDISTURBED_GAP_RISE_WEIGHT = 0.005


class LoadReport(msgspec.Struct, frozen=True):
    """Load that an upstream reported; counts include the requests of all senders.

    ``observed_at`` is the time of receipt, and ``lag_seconds`` the assumed time between
    measurement and receipt. ``decode_tokens_per_second`` is the rate of one undisturbed
    stream.
    """

    observed_at: float
    running: int = 0
    waiting: int = 0
    slots: int = 0
    free_cache: float = 1.0
    prefill_tokens_per_second: float = 0.0
    decode_tokens_per_second: float = 0.0
    leaving_seconds: float | None = None
    lag_seconds: float = 1.25


class RoutingRequest(msgspec.Struct, frozen=True, kw_only=True):
    """The properties of a request that the policies need.

    ``prefix_digest`` identifies the part of the prompt that an engine may have cached,
    and ``prefix_tokens`` is its length. ``deadline`` is the latest useful time of the
    first token (streams) or of the answer. ``zone`` is the zone of this instance. A
    plain service call has no model and no tokens.
    """

    workspace: str
    pool: str
    model: str = ""
    prompt_tokens: int = 0
    output_tokens: int = 0
    prefix_digest: str = ""
    prefix_tokens: int = 0
    idempotent: bool = True
    resumable: bool = False
    deadline: float = float("inf")
    zone: str = ""


class UpstreamState(msgspec.Struct, eq=False, kw_only=True):
    """An upstream: declared properties, reported load, own requests in flight.

    ``models`` holds the names of the loaded models and adapters; ``None`` means that
    the upstream serves whatever its pool serves (plain services, or not known yet).
    ``slowness`` is the duration of its answers relative to its peers.
    ``own_prefill_tokens`` counts the tokens of own prompts without a first token, less
    those expected to be cached; ``own_decode_tokens`` counts the expected output of own
    requests. ``gap_seconds`` is the recent time between tokens of own streams, and
    ``undisturbed_gap_seconds`` the same while the engine is not prefilling.
    """

    id: str
    pool: str
    zone: str = ""
    kind: UpstreamKind = "ordinary"
    role: EngineRole = "both"
    slots: int = 8
    cost: float = 1.0
    prefill_tokens_per_second: float = 20000.0
    decode_tokens_per_second: float = 600.0
    models: frozenset[str] | None = None
    leaving: bool = False
    health: HealthState = "healthy"
    slowness: float = 1.0
    own_requests: int = 0
    own_prefill_tokens: float = 0.0
    own_decode_tokens: float = 0.0
    report: LoadReport | None = None
    own_requests_at_report: int = 0
    gap_seconds: float = 0.0
    undisturbed_gap_seconds: float = 0.0
    gap_updated_at: float = float("-inf")
    prefix_seen_at_by_digest: OrderedDict[str, float] = msgspec.field(
        default_factory=OrderedDict
    )

    def begin_dispatch(self, request: RoutingRequest, now: float) -> "Dispatch":
        """Count a dispatched request and record its prefix.

        :param now: monotonic seconds.
        :returns: the dispatch, to be passed to ``record_first_token`` and
            ``end_dispatch``.
        """
        prefill = float(request.prompt_tokens)
        if request.prefix_digest in self.prefix_seen_at_by_digest:
            prefill -= request.prefix_tokens
        dispatch = Dispatch(max(prefill, 0.0), float(request.output_tokens), now)
        self.own_requests += 1
        self.own_prefill_tokens += dispatch.prefill_tokens
        self.own_decode_tokens += dispatch.decode_tokens
        if request.prefix_digest:
            self.record_prefix(request.prefix_digest, now)
        return dispatch

    def record_first_token(self, dispatch: "Dispatch") -> None:
        """Subtract a prompt from the prefill work; repeated calls have no effect."""
        if not dispatch.first_token_received and not dispatch.ended:
            dispatch.first_token_received = True
            self.own_prefill_tokens -= dispatch.prefill_tokens

    def end_dispatch(self, dispatch: "Dispatch") -> None:
        """Subtract a finished dispatch; repeated calls have no effect."""
        if dispatch.ended:
            return
        self.record_first_token(dispatch)
        dispatch.ended = True
        self.own_requests -= 1
        self.own_decode_tokens -= dispatch.decode_tokens
        if self.own_requests == 0:
            # Clears accumulated floating-point errors.
            self.own_prefill_tokens = self.own_decode_tokens = 0.0

    def record_token_gap(self, gap: float, now: float) -> None:
        """Record the time between two tokens of an own stream.

        :param gap: seconds since the stream's previous token.
        """
        weight = min(1.0, (now - self.gap_updated_at) / GAP_AVERAGE_SECONDS)
        self.gap_seconds += weight * (gap - self.gap_seconds)
        self.gap_updated_at = now
        if not self.undisturbed_gap_seconds:
            self.undisturbed_gap_seconds = gap
        change = gap - self.undisturbed_gap_seconds
        self.undisturbed_gap_seconds += change * (
            UNDISTURBED_GAP_FALL_WEIGHT if change < 0 else UNDISTURBED_GAP_RISE_WEIGHT
        )

    def store_report(self, report: LoadReport) -> None:
        """Store a load report unless a newer one is already stored."""
        if self.report is None or report.observed_at >= self.report.observed_at:
            self.report = report
            self.own_requests_at_report = self.own_requests

    def report_age(self, now: float) -> float:
        """Return the age of the last report's measurement, infinite without one."""
        if self.report is None:
            return float("inf")
        return max(0.0, now - self.report.observed_at) + self.report.lag_seconds

    def record_prefix(self, digest: str, now: float) -> None:
        """Record that the upstream probably has a prefix cached now."""
        self.prefix_seen_at_by_digest[digest] = now
        self.prefix_seen_at_by_digest.move_to_end(digest)
        if len(self.prefix_seen_at_by_digest) > MAX_PREFIXES_PER_UPSTREAM:
            self.prefix_seen_at_by_digest.popitem(last=False)

    def remove_prefix(self, digest: str) -> None:
        """Remove a prefix that the upstream reported as evicted."""
        self.prefix_seen_at_by_digest.pop(digest, None)


class Dispatch(msgspec.Struct, eq=False):
    """A request in flight at an upstream, with its share of the view's counts.

    ``first_token_received`` is set at the first token.
    """

    prefill_tokens: float
    decode_tokens: float
    dispatched_at: float
    first_token_received: bool = False
    ended: bool = False
