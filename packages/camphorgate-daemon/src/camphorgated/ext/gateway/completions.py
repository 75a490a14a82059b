"""Parses completion requests and validates them against the manifest."""

from typing import Any

import msgspec
import xxhash

from camphorgate.foreign_data import DECODE_ERRORS
from camphorgate.manifest import Adapter, ManifestIndex, Model, Pool, Workspace
from camphorgate.requests.request_state import RoutingRequest
from camphorgated.ext.gateway.call import RequestContext
from camphorgated.ext.gateway.errors import GatewayError
from camphorgated.ext.gateway.exchange import RequestHead

CHARACTERS_PER_TOKEN = 4
PREFIX_CHARACTERS = 1024
# Expected output length if the caller sets no limit.
DEFAULT_OUTPUT_TOKENS = 256
_JSON = (b"content-type", b"application/json")


class Message(msgspec.Struct):
    """One message of a chat."""

    content: Any = None


class CompletionBody(msgspec.Struct):
    """The fields of a completion request that the gateway needs."""

    model: str
    stream: bool = False
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    prompt: Any = None
    messages: list[Message] | None = None

    def text(self) -> str:
        """Return the prompt as one string."""
        if self.messages is not None:
            return "\n".join(
                _content_text(message.content) for message in self.messages
            )
        return _content_text(self.prompt)


class CompletionPlan(msgspec.Struct, eq=False):
    """A validated completion request, ready for dispatch.

    ``handle`` identifies the KV cache of the prompt if a prefill engine has computed
    it; ``avoided`` then holds the ids of the prefill engines.
    """

    index: ManifestIndex
    workspace: Workspace
    model: Model
    pool: Pool
    request: RoutingRequest
    body: bytes
    stream: bool
    target: bytes
    handle: str = ""
    avoided: frozenset[str] = frozenset()

    def head(self, request_id: str, body: bytes, priority: int) -> RequestHead:
        """Return the request line and headers of an upstream request with a body."""
        accept = b"text/event-stream" if self.stream else b"application/json"
        headers = [
            _JSON,
            (b"accept", accept),
            (b"content-length", b"%d" % len(body)),
            (b"x-priority", b"%d" % priority),
        ]
        if self.handle:
            headers.append((b"x-kv-handle", self.handle.encode()))
        return RequestHead("POST", self.target, headers, request_id)

    def first_token_timeout_seconds(self, silence_seconds: float) -> float:
        """Return the timeout for the first token.

        Four times the prefill time at the declared rate leaves room for a busy engine.
        """
        rate = self.pool.prefill_tokens_per_second
        return silence_seconds + 4.0 * self.request.prompt_tokens / rate


_body_decoder = msgspec.json.Decoder(CompletionBody)


def _content_text(content: Any) -> str:
    if isinstance(content, str):
        return content
    if isinstance(content, list):
        return "\n".join(_content_text(part) for part in content)
    if isinstance(content, dict):
        return _content_text(content.get("text", ""))
    return "" if content is None else str(content)


def list_models(index: ManifestIndex, workspace: Workspace) -> bytes:
    """Return the body of GET /v1/models for a workspace."""
    models = [
        {"id": name, "object": "model", "owned_by": model.pool}
        for name, (model, adapter) in index.models_by_name.items()
        if _may_use(workspace, adapter)
    ]
    return msgspec.json.encode({"object": "list", "data": models})


def build_plan(
    call: RequestContext, index: ManifestIndex, workspace: Workspace, body: bytes
) -> CompletionPlan:
    """Return the plan of a completion request.

    :raises GatewayError: if the body is invalid or the model is unknown.
    """
    try:
        decoded = _body_decoder.decode(body)
    except (*DECODE_ERRORS, UnicodeDecodeError) as error:
        message = f"the body is not a completion request: {error}"
        raise GatewayError("bad_request", message) from None
    model, adapter = index.models_by_name.get(decoded.model, (None, None))
    if model is None or not _may_use(workspace, adapter):
        raise GatewayError("model_unknown", f"no model is named {decoded.model!r}")
    pool = index.pools_by_name[model.pool]
    text = decoded.text()
    prompt_tokens = max(1, len(text) // CHARACTERS_PER_TOKEN)
    if prompt_tokens > model.context_tokens:
        message = f"the prompt exceeds {model.context_tokens} tokens"
        raise GatewayError("bad_request", message)
    prefix = f"{decoded.model}\0{text[:PREFIX_CHARACTERS]}"
    limit = decoded.max_tokens or decoded.max_completion_tokens
    request = RoutingRequest(
        workspace=workspace.name,
        pool=model.pool,
        model=decoded.model,
        prompt_tokens=prompt_tokens,
        output_tokens=max(1, limit or DEFAULT_OUTPUT_TOKENS),
        prefix_digest=xxhash.xxh3_64_hexdigest(prefix.encode("utf-8", "replace")),
        prefix_tokens=min(prompt_tokens, PREFIX_CHARACTERS // CHARACTERS_PER_TOKEN),
        resumable=decoded.stream,
        deadline=call.arrived_at + model.deadline_seconds,
        zone=call.gateway.settings.availability_zone,
    )
    record = call.record
    record.pool, record.model = model.pool, decoded.model
    record.prompt_tokens = prompt_tokens
    target = call.scope["raw_path"]
    return CompletionPlan(
        index, workspace, model, pool, request, body, decoded.stream, target
    )


def _may_use(workspace: Workspace, adapter: Adapter | None) -> bool:
    return (
        adapter is None
        or not adapter.workspaces
        or workspace.name in adapter.workspaces
    )
