"""Completion endpoints, and completions that are not streamed."""

import msgspec

from camphorgate.foreign_data import DECODE_ERRORS
from camphorgated.ext.gateway.access import check_key
from camphorgated.ext.gateway.admission import Slot
from camphorgated.ext.gateway.call import RequestContext
from camphorgated.ext.gateway.completions import CompletionPlan, build_plan
from camphorgated.ext.gateway.dispatch import (
    Attempts,
    open_response,
    raise_if_overloaded,
    read_full_body,
)
from camphorgated.ext.gateway.errors import GatewayError, UpstreamFault
from camphorgated.ext.gateway.exchange import Response
from camphorgated.ext.gateway.records import weighted_service
from camphorgated.ext.gateway.remote_prefill import run_remote_prefill
from camphorgated.ext.gateway.streams import stream

MAX_RESPONSE_BYTES = 33_554_432
# Lower bound of the expected time: shorter times depend more on this process than
# on an engine.
MIN_EXPECTED_SECONDS = 0.02


class _Usage(msgspec.Struct):
    prompt_tokens: int = 0
    completion_tokens: int = 0


class _AnswerUsage(msgspec.Struct):
    usage: _Usage | None = None


_usage_decoder = msgspec.json.Decoder(_AnswerUsage)


async def complete(call: RequestContext) -> None:
    """Serve one completion."""
    if call.scope["method"] != "POST":
        raise GatewayError("bad_request", "use POST for completions", status=405)
    gateway = call.gateway
    _, workspace = check_key(gateway, call)
    body = await call.read_all()
    # The key is checked again: it may have been revoked while the body was read.
    index, workspace = check_key(gateway, call)
    plan = build_plan(call, index, workspace, body)
    tokens = plan.request.prompt_tokens + plan.request.output_tokens
    with gateway.workspace_limits.reserve(call, workspace, tokens):
        await run_remote_prefill(call, plan)
        if plan.stream:
            await stream(call, plan)
        else:
            await _complete_plain(call, plan)


async def _complete_plain(call: RequestContext, plan: CompletionPlan) -> None:
    gateway = call.gateway
    attempts = Attempts(gateway, plan.request, call.record, plan.avoided)
    while True:
        slot = await attempts.admit()
        try:
            response, body = await _attempt(call, plan, slot, attempts)
        except UpstreamFault as fault:
            slot.release()
            attempts.record_fault(slot, fault)
        else:
            attempts.mark_succeeded()
            _record_engine_usage(call, response, body)
            slot.service_received = weighted_service(call.record)
            break
        finally:
            slot.release()
    await gateway.recorder.record_usage(call.record)
    content_type = response.header(b"content-type") or b"application/json"
    await call.send_response(response.status, [(b"content-type", content_type)], body)


async def _attempt(
    call: RequestContext, plan: CompletionPlan, slot: Slot, attempts: Attempts
) -> tuple[Response, bytes]:
    gateway = call.gateway
    deadline = plan.request.deadline
    exchange = await open_response(
        gateway,
        slot,
        plan.head(call.dispatch_id, plan.body, slot.priority),
        plan.body,
        deadline,
        attempts,
        new_connection=attempts.new_connection,
        echoes_id=plan.pool.echoes_request_id,
    )
    try:
        raise_if_overloaded(exchange)
        body = await read_full_body(exchange, deadline, MAX_RESPONSE_BYTES)
    finally:
        exchange.close()
    choice = slot.choice
    output = plan.request.output_tokens
    expected = choice.first_token_seconds + choice.token_seconds * output
    elapsed = gateway.now() - slot.dispatch.dispatched_at
    gateway.upstreams.record_success(
        slot.entry, elapsed / max(expected, MIN_EXPECTED_SECONDS)
    )
    return exchange.response, body


def _record_engine_usage(call: RequestContext, response: Response, body: bytes) -> None:
    """Record the engine's token counts, which are more accurate than the estimates."""
    if response.status != 200:
        call.record.prompt_tokens = 0
        return
    try:
        usage = _usage_decoder.decode(body).usage
    except (*DECODE_ERRORS, UnicodeDecodeError):
        return
    if usage is not None:
        call.record.prompt_tokens = usage.prompt_tokens
        call.record.output_tokens = usage.completion_tokens
