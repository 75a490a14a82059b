"""Completions: the two endpoints, and answers that are not streamed."""

import msgspec

from camphorgated.ext.gateway.access import check_key
from camphorgated.ext.gateway.call import Call
from camphorgated.ext.gateway.completions import Plan, build_plan
from camphorgated.ext.gateway.dispatch import (
    Attempts,
    check_overload,
    open_answer,
    read_whole,
)
from camphorgated.ext.gateway.errors import GatewayError, UpstreamFault
from camphorgated.ext.gateway.exchange import Answer
from camphorgated.ext.gateway.handoff import hand_off
from camphorgated.ext.gateway.queueing import Slot
from camphorgated.ext.gateway.records import service_of
from camphorgated.ext.gateway.streams import stream

MAX_ANSWER_BYTES = 33_554_432
# Shorter expectations say more about this process than about an engine.
MIN_EXPECTED_SECONDS = 0.02


class _Usage(msgspec.Struct):
    prompt_tokens: int = 0
    completion_tokens: int = 0


class _AnswerUsage(msgspec.Struct):
    usage: _Usage | None = None


_usage_decoder = msgspec.json.Decoder(_AnswerUsage)


async def complete(call: Call) -> None:
    """Serve one completion."""
    if call.scope["method"] != "POST":
        raise GatewayError("bad_request", "use POST for completions", status=405)
    gateway = call.gateway
    _, workspace = check_key(gateway, call)
    body = await call.read_all()
    # The key is checked again: it may have been withdrawn while the body came.
    index, workspace = check_key(gateway, call)
    plan = build_plan(call, index, workspace, body)
    tokens = plan.request.prompt_tokens + plan.request.output_tokens
    with gateway.workspace_limits.hold(call, workspace, tokens):
        await hand_off(call, plan)
        if plan.stream:
            await stream(call, plan)
        else:
            await _complete_plain(call, plan)


async def _complete_plain(call: Call, plan: Plan) -> None:
    gateway = call.gateway
    attempts = Attempts(gateway, plan.request, call.record, plan.avoided)
    while True:
        slot = await attempts.admit()
        try:
            answer, body = await _attempt(call, plan, slot, attempts)
        except UpstreamFault as fault:
            slot.release()
            attempts.note_fault(slot, fault)
        else:
            attempts.succeed()
            _take_usage(call, answer, body)
            slot.given = service_of(call.record)
            break
        finally:
            slot.release()
    await gateway.recorder.account(call.record)
    content_type = answer.header(b"content-type") or b"application/json"
    await call.answer(answer.status, [(b"content-type", content_type)], body)


async def _attempt(
    call: Call, plan: Plan, slot: Slot, attempts: Attempts
) -> tuple[Answer, bytes]:
    gateway = call.gateway
    deadline = plan.request.deadline
    exchange = await open_answer(
        gateway,
        slot,
        plan.head(call.dispatch_id, plan.body, slot.priority),
        plan.body,
        deadline,
        attempts,
        fresh=attempts.fresh,
        echoes_id=plan.pool.echoes_request_id,
    )
    try:
        check_overload(exchange)
        body = await read_whole(exchange, deadline, MAX_ANSWER_BYTES)
    finally:
        exchange.close()
    choice = slot.choice
    output = plan.request.output_tokens
    expected = choice.first_token_seconds + choice.token_seconds * output
    taken = gateway.now() - slot.dispatch.begun_at
    gateway.upstreams.succeeded(slot.entry, taken / max(expected, MIN_EXPECTED_SECONDS))
    return exchange.answer, body


def _take_usage(call: Call, answer: Answer, body: bytes) -> None:
    """Take the counts that the engine reports, which are better than estimates."""
    if answer.status != 200:
        call.record.prompt_tokens = 0
        return
    try:
        usage = _usage_decoder.decode(body).usage
    except (msgspec.DecodeError, UnicodeDecodeError):
        return
    if usage is not None:
        call.record.prompt_tokens = usage.prompt_tokens
        call.record.output_tokens = usage.completion_tokens
