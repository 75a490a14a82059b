"""Platform-independent facts of requests and responses."""

from collections.abc import Callable
from typing import Protocol

import msgspec

from camphorgate.serving.catalog import Catalog, Phase, Stage, Upstream
from camphorgate.serving.part_names import bound_names
from camphorgated.serving.http1 import Headers
from camphorgated.serving.server_connection import Request


class RequestFacts(msgspec.Struct, frozen=True):
    """Facts from the headers of a caller's request.

    ``timeout_seconds`` is the caller's timeout, ``None`` if it stated none. ``parts``
    are the id and size in tokens of each part of the prompt; the last is the request's
    or its session's own.
    """

    attempt: str
    host: str
    key: str | None
    timeout_seconds: float | None
    model: str = ""
    prompt_tokens: int = 0
    output_tokens: int = 0
    parts: tuple[tuple[str, int], ...] = ()
    last_event: int | None = None

    def with_bounded_names(self) -> "RequestFacts":
        """Return these facts with names of parts that may be kept and sent to peers."""
        parts = bound_names(self.parts)
        if parts is self.parts:
            return self
        return msgspec.structs.replace(self, parts=parts)


class InstanceLoad(msgspec.Struct, frozen=True):
    """Load that an upstream reports of itself in a response head.

    ``slowdown`` is how many times as long as usual work takes there at this moment,
    ``None`` if it does not report that.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float | None = None


class ResponseFacts(msgspec.Struct, frozen=True):
    """Facts from the head of an upstream's response.

    ``stage`` is ``REFUSED`` if the upstream states that it did not execute the request.
    ``leaving`` is set if it is shutting down; ``pause_seconds`` is how long it requests
    a pause. ``answered_by`` is the upstream's id if the response names it.
    ``limit_per_second`` is the number of requests a second that it takes from all
    instances together, ``None`` if it names no limit. ``load`` is ``None`` unless the
    upstream reports it completely.
    """

    status: int
    attempt: str | None
    stage: Stage
    wrong_upstream: bool
    stamped: bool
    keep_seconds: float | None
    leaving: bool = False
    pause_seconds: float | None = None
    answered_by: str | None = None
    limit_per_second: float | None = None
    load: InstanceLoad | None = None


class PrefillResult(msgspec.Struct, frozen=True):
    """A prefilled prompt that an engine holds for another."""

    handle: str
    tokens: int


class EngineReport(msgspec.Struct, frozen=True):
    """State that an engine reports; ``busy`` while it executes an order."""

    phase: Phase
    busy: bool
    orders_accepted: int
    running: int
    waiting: int


class PlatformProtocol(Protocol):
    """Translates between the serving extensions and the protocol of a platform."""

    ready_path: bytes
    configuration_prefix: str
    configuration_key: str
    upstream_prefix: str
    # Called with every response of an upstream to the protocol's own calls.
    on_response: Callable[[Upstream, ResponseFacts], None]

    def decode_catalog(self, raw: bytes) -> Catalog:
        """Return a routing configuration or raise ``CatalogError``."""

    def decode_upstream(self, entry) -> Upstream:
        """Return an upstream or raise ``CatalogError``."""

    def upstream_id(self, key: str) -> str:
        """Return the upstream id that an entry's key contains."""

    def read_request(self, request: Request) -> RequestFacts:
        """Parse the headers of a caller's request."""

    def upstream_headers(self, request: Request, upstream_id: str, **facts) -> Headers:
        """Return the headers of a request to an upstream."""

    def read_answer(self, status: int, headers: Headers) -> ResponseFacts:
        """Parse the head of a response."""

    def caller_headers(self, headers: Headers) -> Headers:
        """Return the response headers that are forwarded to the caller."""

    def read_prefill(self, body: bytes) -> PrefillResult | None:
        """Parse the result of a prefill call, ``None`` if it has no handle."""

    async def release(self, upstream: Upstream, handle: str) -> None:
        """Release a prompt that an engine holds, or raise ``CallFailed``."""

    async def report_usage(
        self, holder: str, fencing: int, window: int, counts: dict[str, int]
    ) -> "OrderResult":
        """Report a window's usage."""

    async def order_upstreams(
        self,
        holder: str,
        fencing: int,
        service: str,
        zone: str,
        count: int,
        cheap: bool,
    ) -> "OrderResult":
        """Order the number of upstreams of a service in a zone."""

    async def read_engine(self, upstream: Upstream) -> EngineReport | None:
        """Return the reported state, ``None`` for any status but 200."""

    async def order_phase(
        self,
        holder: str,
        fencing: int,
        upstream: Upstream,
        phase: Phase,
        orders_accepted: int,
    ) -> "OrderResult":
        """Order an engine to change its phase."""


class OrderResult(msgspec.Struct, frozen=True):
    """The result of an order or report; ``fenced`` means a newer holder exists."""

    accepted: bool
    fenced: bool = False
    status: int = 0
