"""What the request decisions see of upstreams and requests.

The gateway keeps one :class:`UpstreamView` per upstream for as long as it knows the
upstream and calls ``begin``, ``first_token`` and ``end`` around each dispatch, so
that routing reads current numbers without building anything. Times are monotonic
seconds of the process's clock.
"""

from collections import OrderedDict
from typing import Literal

import msgspec

from camphorgate.manifest import EngineRole, UpstreamKind

HealthState = Literal["healthy", "suspected", "probing"]

MAX_PREFIXES = 512
# Time over which the gaps between tokens are averaged, in seconds.
GAP_SECONDS = 0.25
# The quiet gap follows a shorter gap at once and a longer one slowly, as long gaps
# mostly come from prompts that the engine takes in between.
QUIET_FALL = 0.3
QUIET_RISE = 0.005


class LoadReport(msgspec.Struct, frozen=True):
    """Load as an upstream reported it; counts cover every sender.

    ``observed_at`` is the time of the receipt and ``lag_seconds`` what is assumed to
    lie between the measurement and the receipt.
    ``decode_tokens_per_second`` is the rate of one undisturbed stream.
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


class RequestView(msgspec.Struct, frozen=True, kw_only=True):
    """One request, as far as the decisions need it.

    ``prefix_digest`` names the part of the prompt that an engine may have cached, of
    ``prefix_tokens`` tokens. ``deadline`` is the latest useful time of the first
    token (streams) or of the answer. ``zone`` is the zone of this instance. A plain
    service call has no model and no tokens.
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


class UpstreamView(msgspec.Struct, eq=False, kw_only=True):
    """One upstream: what is declared, what is reported and what this process sent it.

    ``models`` holds the names of models and adapters that are loaded; ``None`` means
    that the upstream serves whatever its pool serves (plain services, or not known
    yet). ``slowness`` is the measured time of its answers over that of its peers.
    ``own_prefill_tokens`` counts prompts without a first token yet, less what is
    expected to be cached; ``own_decode_tokens`` the expected output of those begun.
    ``gap_seconds`` is the recent time between tokens of own streams here, and
    ``quiet_gap_seconds`` the same while the engine takes in no prompt.
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
    quiet_gap_seconds: float = 0.0
    gap_seen_at: float = float("-inf")
    prefix_seen_at_by_digest: OrderedDict[str, float] = msgspec.field(
        default_factory=OrderedDict
    )

    def begin(self, request: RequestView, now: float) -> "Dispatch":
        """Count a dispatch and remember its prefix.

        :param now: monotonic seconds.
        :returns: what ``first_token`` and ``end`` take back.
        """
        prefill = float(request.prompt_tokens)
        if request.prefix_digest in self.prefix_seen_at_by_digest:
            prefill -= request.prefix_tokens
        dispatch = Dispatch(max(prefill, 0.0), float(request.output_tokens), now)
        self.own_requests += 1
        self.own_prefill_tokens += dispatch.prefill_tokens
        self.own_decode_tokens += dispatch.decode_tokens
        if request.prefix_digest:
            self.note_prefix(request.prefix_digest, now)
        return dispatch

    def first_token(self, dispatch: "Dispatch") -> None:
        """Take a prompt off the prefill work, once."""
        if not dispatch.started and not dispatch.ended:
            dispatch.started = True
            self.own_prefill_tokens -= dispatch.prefill_tokens

    def end(self, dispatch: "Dispatch") -> None:
        """Take a dispatch off, once, whatever its outcome was."""
        if dispatch.ended:
            return
        self.first_token(dispatch)
        dispatch.ended = True
        self.own_requests -= 1
        self.own_decode_tokens -= dispatch.decode_tokens
        if self.own_requests == 0:
            # Removes the rounding errors that sums of floats collect.
            self.own_prefill_tokens = self.own_decode_tokens = 0.0

    def note_token(self, gap: float, now: float) -> None:
        """Take the time between two tokens of an own stream.

        :param gap: seconds since the stream's previous token.
        """
        weight = min(1.0, (now - self.gap_seen_at) / GAP_SECONDS)
        self.gap_seconds += weight * (gap - self.gap_seconds)
        self.gap_seen_at = now
        if not self.quiet_gap_seconds:
            self.quiet_gap_seconds = gap
        change = gap - self.quiet_gap_seconds
        self.quiet_gap_seconds += change * (QUIET_FALL if change < 0 else QUIET_RISE)

    def take_report(self, report: LoadReport) -> None:
        """Keep a load report unless a newer one is known."""
        if self.report is None or report.observed_at >= self.report.observed_at:
            self.report = report
            self.own_requests_at_report = self.own_requests

    def report_age(self, now: float) -> float:
        """Return how old the last report's figures are, infinite without one."""
        if self.report is None:
            return float("inf")
        return max(0.0, now - self.report.observed_at) + self.report.lag_seconds

    def note_prefix(self, digest: str, now: float) -> None:
        """Remember that the upstream probably holds a prefix now."""
        self.prefix_seen_at_by_digest[digest] = now
        self.prefix_seen_at_by_digest.move_to_end(digest)
        if len(self.prefix_seen_at_by_digest) > MAX_PREFIXES:
            self.prefix_seen_at_by_digest.popitem(last=False)

    def forget_prefix(self, digest: str) -> None:
        """Drop a prefix that the upstream reports as removed."""
        self.prefix_seen_at_by_digest.pop(digest, None)


class Dispatch(msgspec.Struct, eq=False):
    """One request under way on one upstream, for the counts of its view."""

    prefill_tokens: float
    decode_tokens: float
    begun_at: float
    started: bool = False
    ended: bool = False
