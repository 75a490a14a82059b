"""What requests and answers say, whatever names the platform has for it."""

from collections.abc import Callable
from typing import Protocol

import msgspec

from camphorgate.serving.catalog import Catalog, Phase, Stage, Upstream
from camphorgated.serving.http1 import Headers
from camphorgated.serving.server_connection import Request


class RequestFacts(msgspec.Struct, frozen=True):
    """What a caller's headers say.

    ``seconds`` is how long the caller waits, ``None`` if it did not say. ``parts`` are
    the id and size in tokens of each part of the prompt; the last is the request's or
    its session's own.
    """

    attempt: str
    host: str
    key: str | None
    seconds: float | None
    model: str = ""
    prompt_tokens: int = 0
    output_tokens: int = 0
    parts: tuple[tuple[str, int], ...] = ()
    last_event: int | None = None


class AnswerFacts(msgspec.Struct, frozen=True):
    """What the head of an upstream's answer says.

    ``stage`` is ``REFUSED`` if the upstream states that it did not run the request.
    ``leaving`` if it says that it leaves, ``pause_seconds`` for how long it wants no
    requests. ``answered_by`` is the upstream's id where the answer names it.
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


class PrefillResult(msgspec.Struct, frozen=True):
    """A prompt that an engine read and keeps for another."""

    handle: str
    tokens: int


class EngineReport(msgspec.Struct, frozen=True):
    """What an engine says of itself; ``busy`` while it carries an order out."""

    phase: Phase
    busy: bool
    orders_accepted: int
    running: int
    waiting: int


class Dialect(Protocol):
    """The names of one platform: what the serving extensions need translated."""

    ready_path: bytes
    configuration_prefix: str
    configuration_key: str
    upstream_prefix: str
    # Told of every answer that an upstream gives to a call of the dialect's own.
    on_answer: Callable[[Upstream, AnswerFacts], None]

    def decode_catalog(self, raw: bytes) -> Catalog:
        """Return a routing configuration or raise ``CatalogError``."""

    def decode_upstream(self, entry) -> Upstream:
        """Return an upstream or raise ``CatalogError``."""

    def upstream_id(self, key: str) -> str:
        """Return the id that an entry's key names."""

    def read_request(self, request: Request) -> RequestFacts:
        """Return what a caller's headers say."""

    def upstream_headers(self, request: Request, upstream_id: str, **facts) -> Headers:
        """Return the headers of a request to an upstream."""

    def read_answer(self, status: int, headers: Headers) -> AnswerFacts:
        """Return what the head of an answer says."""

    def caller_headers(self, headers: Headers) -> Headers:
        """Return the headers of an answer that the caller gets."""

    def read_prefill(self, body: bytes) -> PrefillResult | None:
        """Return the handle of a prompt that was read, ``None`` if there is none."""

    async def release(self, upstream: Upstream, handle: str) -> None:
        """Free a prompt that an engine keeps, or raise ``CallFailed``."""

    async def report_usage(
        self, holder: str, fencing: int, window: int, counts: dict[str, int]
    ) -> "Verdict":
        """Report a window's usage."""

    async def order_upstreams(
        self,
        holder: str,
        fencing: int,
        service: str,
        zone: str,
        count: int,
        cheap: bool,
    ) -> "Verdict":
        """Order the number of upstreams of a service in a zone."""

    async def read_engine(self, upstream: Upstream) -> EngineReport | None:
        """Return what an engine says of itself, ``None`` if it is another one."""

    async def order_phase(
        self,
        holder: str,
        fencing: int,
        upstream: Upstream,
        phase: Phase,
        orders_accepted: int,
    ) -> "Verdict":
        """Order an engine to change its phase."""


class Verdict(msgspec.Struct, frozen=True):
    """The answer to an order or report; ``fenced`` means a newer holder exists."""

    accepted: bool
    fenced: bool = False
    status: int = 0
