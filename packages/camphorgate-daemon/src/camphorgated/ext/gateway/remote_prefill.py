"""Disaggregated prefill and decode, for pools that have engines of both roles.

A prefill engine processes the prompt and returns a handle of its KV cache, which the
decode engine uses instead of the prompt. A failure here only costs time: without a
handle the decode engine processes the prompt itself.
"""

import msgspec

from camphorgate.foreign_data import DECODE_ERRORS
from camphorgate.requests.fairness import weighted_service
from camphorgated.ext.gateway.admission import Slot
from camphorgated.ext.gateway.call import RequestContext
from camphorgated.ext.gateway.completions import CompletionPlan
from camphorgated.ext.gateway.dispatch import read_full_body
from camphorgated.ext.gateway.errors import GatewayError, UpstreamFault
from camphorgated.ext.gateway.exchange import RequestHead

# Below this length the second request costs more than processing the prompt.
MIN_REMOTE_PREFILL_TOKENS = 512
MAX_RESPONSE_BYTES = 65536
PREFILL_TARGET = b"/v1/prefill"


class _Prefilled(msgspec.Struct):
    handle: str


async def run_remote_prefill(call: RequestContext, plan: CompletionPlan) -> None:
    """Prefill a long prompt on a prefill engine and store the handle in the plan."""
    upstreams = call.gateway.upstreams
    views = [
        view
        for view in upstreams.views(plan.pool.name)
        if view.health == "healthy" and not view.leaving
    ]
    # An engine with both roles decodes too, so a pool may have no decode-only engine.
    decode_capable = {view.id for view in views if view.role != "prefill"}
    if (
        plan.request.prompt_tokens < MIN_REMOTE_PREFILL_TOKENS
        or not decode_capable
        or len(decode_capable) == len(views)
    ):
        return
    request = msgspec.structs.replace(plan.request, output_tokens=0, resumable=False)
    try:
        slot = await call.gateway.admission.admit(request, decode_capable)
    except GatewayError:
        return
    try:
        plan.handle = await _prefill(call, plan, slot)
    except UpstreamFault as fault:
        upstreams.record_failure(slot.entry, fault)
        return
    finally:
        slot.release()
    plan.avoided = frozenset(view.id for view in views) - decode_capable
    # The prompt has been processed; only decoding is left.
    plan.request = msgspec.structs.replace(plan.request, prompt_tokens=1)


async def _prefill(call: RequestContext, plan: CompletionPlan, slot: Slot) -> str:
    gateway = call.gateway
    headers = [
        (b"content-type", b"application/json"),
        (b"content-length", b"%d" % len(plan.body)),
        (b"x-priority", b"%d" % slot.priority),
    ]
    request_id = f"{call.record.request_id}.prefill"
    head = RequestHead("POST", PREFILL_TARGET, headers, request_id)
    seconds = plan.first_token_timeout_seconds(gateway.limits.silence_seconds)
    deadline = gateway.now() + seconds
    exchange = gateway.open_exchange(head, new_connection=False)
    try:
        await exchange.send(slot.entry.url, plan.body)
        response = await exchange.read_head(deadline)
        exchange.check_request_id(plan.pool.echoes_request_id)
        body = await read_full_body(exchange, deadline, MAX_RESPONSE_BYTES)
    finally:
        exchange.close()
    if response.status != 200:
        raise UpstreamFault(f"the prefill engine answered {response.status}")
    try:
        handle = msgspec.json.decode(body, type=_Prefilled).handle
    except DECODE_ERRORS as error:
        raise UpstreamFault(f"the prefill engine sent no handle: {error}") from None
    slot.record_first_token(gateway.now())
    slot.service_received = weighted_service(plan.request.prompt_tokens, 0)
    return handle
