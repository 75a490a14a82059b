"""Plain HTTP services: any method and body, streamed in both directions."""

from collections.abc import AsyncIterator

import msgspec

from camphorgate.manifest import ManifestIndex, Service
from camphorgate.requests.request_state import RoutingRequest
from camphorgated.ext.gateway.access import check_key, normalise_path
from camphorgated.ext.gateway.admission import Slot
from camphorgated.ext.gateway.call import RequestContext
from camphorgated.ext.gateway.dispatch import Attempts, open_response, read_full_body
from camphorgated.ext.gateway.errors import GatewayError, UpstreamFault
from camphorgated.ext.gateway.exchange import Exchange, RequestHead, Response
from camphorgated.ext.gateway.idempotency import (
    IdempotentCall,
    decode_idempotency_key,
    read_claimed_body,
    replay_response,
    request_digest,
)
from camphorgated.ext.gateway.keys import is_key_header, strip_cookie, strip_query
from camphorgated.ext.gateway.records import weighted_service
from camphorgated.serving.http1 import BODILESS, HOP_BY_HOP, Headers

# Bodies up to this size are buffered, so that they can be sent again and a truncated
# response is detected before its headers are sent.
MAX_BUFFERED_BODY_BYTES = 65536
# Expected time of a call; only the ratios between the workers of a pool matter.
EXPECTED_CALL_SECONDS = 0.02
# Fraction of a service's deadline that is reserved for sending the response.
DEADLINE_MARGIN_FRACTION = 0.05
MIN_DEADLINE_MARGIN_SECONDS = 0.1
_UNSENT_REQUEST_HEADERS = HOP_BY_HOP | {
    b"host",
    b"content-length",
    b"expect",
    b"x-request-id",
}
_FRAMING = frozenset({b"content-length", b"transfer-encoding"})
_UNSENT_RESPONSE_HEADERS = HOP_BY_HOP | {b"date", b"x-request-id", b"x-load"}


class ServicePlan(msgspec.Struct, eq=False):
    """One call of a service, ready for dispatch."""

    service: Service
    request: RoutingRequest
    target: bytes
    headers: Headers
    echoes_id: bool
    deadline: float


class RequestBody:
    """The caller's body: buffered if it is small, else read while it is sent."""

    __slots__ = ("buffered", "started", "_call")

    def __init__(self, call: RequestContext, buffered: bytes | None) -> None:
        """Wrap a body.

        :param buffered: the whole body, ``None`` if it is streamed.
        """
        self.buffered = buffered
        self.started = False
        self._call = call

    @property
    def replayable(self) -> bool:
        """Return whether the body can be sent again."""
        return self.buffered is not None or not self.started

    def open(self) -> bytes | AsyncIterator[bytes]:
        """Return the body in the form that an exchange sends."""
        return self._iterate_chunks() if self.buffered is None else self.buffered

    async def _iterate_chunks(self) -> AsyncIterator[bytes]:
        self.started = True
        while chunk := await self._call.read():
            yield chunk


async def serve(call: RequestContext) -> None:
    """Serve a call of a plain service."""
    gateway = call.gateway
    path = normalise_path(call.scope["path"])
    index = gateway.index()
    service = index.find_service_by_path(path)
    if service is None:
        raise GatewayError("route_unknown", "no service has this route")
    call.record.service, call.record.pool = service.name, service.pool
    if service.access == "open":
        call.record.authenticated = False
        await _run(call, _build_plan(call, index, service, path))
        return
    index, workspace = check_key(gateway, call)
    with gateway.workspace_limits.reserve(call, workspace):
        await _run(call, _build_plan(call, index, service, path))


def _build_plan(
    call: RequestContext, index: ManifestIndex, service: Service, path: str
) -> ServicePlan:
    seconds = service.deadline_seconds
    margin = min(
        seconds / 4,
        max(MIN_DEADLINE_MARGIN_SECONDS, DEADLINE_MARGIN_FRACTION * seconds),
    )
    deadline = call.arrived_at + seconds - margin
    request = RoutingRequest(
        workspace=call.record.workspace,
        pool=service.pool,
        idempotent=index.is_idempotent(service, call.scope["method"], path),
        deadline=deadline,
        zone=call.gateway.settings.availability_zone,
    )
    target = call.scope["raw_path"]
    query = strip_query(call.scope["query_string"])
    if query:
        target += b"?" + query
    echoes_id = index.pools_by_name[service.pool].echoes_request_id
    headers = _request_headers(call)
    return ServicePlan(service, request, target, headers, echoes_id, deadline)


def _request_headers(call: RequestContext) -> Headers:
    """Return the caller's headers without keys and hop-by-hop headers."""
    named = _headers_named_by_connection(call.headers)
    headers = []
    for name, value in call.headers:
        if name in _UNSENT_REQUEST_HEADERS or name in named or is_key_header(name):
            continue
        if name == b"cookie":
            value = strip_cookie(value)
            if not value:
                continue
        headers.append((name, value))
    length = call.header(b"content-length")
    if length is not None:
        headers.append((b"content-length", length))
    elif call.header(b"transfer-encoding") is not None:
        headers.append((b"transfer-encoding", b"chunked"))
    return headers


def _headers_named_by_connection(headers: Headers) -> set[bytes]:
    return {
        token.strip().lower()
        for name, value in headers
        if name == b"connection"
        for token in value.split(b",")
    }


async def _run(call: RequestContext, plan: ServicePlan) -> None:
    key = call.header(b"idempotency-key")
    if key is not None and not plan.request.idempotent:
        await _run_claimed(call, plan, decode_idempotency_key(key))
        return
    length = call.check_body_length()
    buffered = None
    if length is not None and length <= MAX_BUFFERED_BODY_BYTES:
        buffered = await call.read_all() if length else b""
    await _forward(call, plan, RequestBody(call, buffered))


async def _run_claimed(call: RequestContext, plan: ServicePlan, key: str) -> None:
    claimed = IdempotentCall(call)
    body = await read_claimed_body(call)
    digest = request_digest(call, plan.target, body)
    # From here on the request continues without its caller, up to its deadline.
    call.detached = True
    stored = await claimed.claim(key, digest)
    if stored is not None:
        await replay_response(call, stored)
        return
    plan.headers = [pair for pair in plan.headers if pair[0] not in _FRAMING]
    if body:
        plan.headers.append((b"content-length", b"%d" % len(body)))
    try:
        await _forward(call, plan, RequestBody(call, body), claimed)
    except GatewayError as error:
        if error.run == "not_run":
            await claimed.release()
        else:
            await claimed.finish()
        raise


async def _forward(
    call: RequestContext,
    plan: ServicePlan,
    body: RequestBody,
    claimed: IdempotentCall | None = None,
) -> None:
    """Send the request to an upstream and forward the response.

    :raises GatewayError: if there is no response.
    """
    attempts = Attempts(call.gateway, plan.request, call.record)
    while True:
        slot = await attempts.admit()
        try:
            exchange = await _open(call, plan, slot, body, attempts)
            try:
                await _forward_response(call, plan, exchange, claimed)
            finally:
                exchange.close()
            attempts.mark_succeeded()
            slot.service_received = weighted_service(call.record)
            elapsed = call.gateway.now() - slot.dispatch.dispatched_at
            call.gateway.upstreams.record_success(
                slot.entry, elapsed / EXPECTED_CALL_SECONDS
            )
            return
        except UpstreamFault as fault:
            slot.release()
            if call.response_started:
                call.gateway.upstreams.record_failure(slot.entry, fault)
                message = "the answer broke off"
                raise GatewayError("outcome_unknown", message) from None
            attempts.record_fault(slot, fault, replayable=body.replayable)
        finally:
            slot.release()


async def _open(
    call: RequestContext,
    plan: ServicePlan,
    slot: Slot,
    body: RequestBody,
    attempts: Attempts,
) -> Exchange:
    gateway = call.gateway
    method = call.scope["method"]
    head = RequestHead(method, plan.target, plan.headers, call.dispatch_id)
    try:
        return await open_response(
            gateway,
            slot,
            head,
            body.open(),
            plan.deadline,
            attempts,
            new_connection=attempts.new_connection,
            echoes_id=plan.echoes_id,
        )
    except GatewayError as error:
        if not body.started:
            raise
        # Part of the body has been sent, so whether the request ran is unknown.
        raise GatewayError(
            "outcome_unknown", error.message, status=error.status
        ) from None


async def _forward_response(
    call: RequestContext,
    plan: ServicePlan,
    exchange: Exchange,
    claimed: IdempotentCall | None,
) -> None:
    response = exchange.response
    headers = _response_headers(response)
    length = response.header(b"content-length")
    if response.complete or (
        length is not None and int(length) <= MAX_BUFFERED_BODY_BYTES
    ):
        body = await read_full_body(exchange, plan.deadline, MAX_BUFFERED_BODY_BYTES)
        if claimed is not None:
            claimed.set_response(response.status, headers, body)
            await claimed.finish()
        await call.gateway.recorder.record_usage(call.record)
        await _send_buffered_response(call, response, headers, body)
        return
    await call.start_response(response.status, headers)
    seconds = plan.service.deadline_seconds
    while chunk := await exchange.read_body(call.gateway.now() + seconds):
        await call.write(chunk)
    if claimed is not None:
        await claimed.finish()
    await call.gateway.recorder.record_usage(call.record)
    await call.write(b"", more=False)


async def _send_buffered_response(
    call: RequestContext, response: Response, headers: Headers, body: bytes
) -> None:
    if response.status not in BODILESS and call.scope["method"] != "HEAD":
        headers = [pair for pair in headers if pair[0] != b"content-length"]
        headers.append((b"content-length", b"%d" % len(body)))
    await call.start_response(response.status, headers)
    await call.write(body, more=False)


def _response_headers(response: Response) -> Headers:
    named = _headers_named_by_connection(response.headers)
    dropped = _UNSENT_RESPONSE_HEADERS | named
    if response.status in BODILESS:
        dropped = dropped | {b"content-length"}
    return [pair for pair in response.headers if pair[0] not in dropped]
