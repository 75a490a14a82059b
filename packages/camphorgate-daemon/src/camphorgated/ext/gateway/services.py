"""Plain services: any method and body, streamed in both directions."""

from collections.abc import AsyncIterator

import msgspec

from camphorgate.manifest import ManifestIndex, Service
from camphorgate.requests.views import RequestView
from camphorgated.ext.gateway.access import check_key, normalise_path
from camphorgated.ext.gateway.bookings import (
    ClaimedCall,
    decode_key,
    digest_of_request,
    read_claimed_body,
    repeat_answer,
)
from camphorgated.ext.gateway.call import Call
from camphorgated.ext.gateway.dispatch import Attempts, open_answer, read_whole
from camphorgated.ext.gateway.errors import GatewayError, UpstreamFault
from camphorgated.ext.gateway.exchange import Answer, Exchange, RequestHead
from camphorgated.ext.gateway.keys import is_key_header, strip_cookie, strip_query
from camphorgated.ext.gateway.queueing import Slot
from camphorgated.ext.gateway.records import service_of
from camphorgated.serving.http1 import BODILESS, HOP_BY_HOP, Headers

# Bodies up to this size are read whole, so that they can be sent again and a short
# answer shows before its headers have left.
WHOLE_BYTES = 65536
# Expected time of a call; only ratios between the workers of a pool count.
CALL_SECONDS = 0.02
# Part of a service's deadline that is kept for the answer on its way to the caller.
DEADLINE_MARGIN = 0.05
MIN_MARGIN_SECONDS = 0.1
_NOT_SENT = HOP_BY_HOP | {b"host", b"content-length", b"expect", b"x-request-id"}
_FRAMING = frozenset({b"content-length", b"transfer-encoding"})
_NOT_RETURNED = HOP_BY_HOP | {b"date", b"x-request-id", b"x-load"}


class ServicePlan(msgspec.Struct, eq=False):
    """One call of a service, ready for dispatch."""

    service: Service
    request: RequestView
    target: bytes
    headers: Headers
    echoes_id: bool
    deadline: float


class BodySource:
    """The caller's body: whole if it is small, else read while it is sent."""

    __slots__ = ("whole", "begun", "_call")

    def __init__(self, call: Call, whole: bytes | None) -> None:
        """Take a body.

        :param whole: ``None`` for one that is streamed.
        """
        self.whole = whole
        self.begun = False
        self._call = call

    @property
    def replayable(self) -> bool:
        """Tell whether the body can be sent once more."""
        return self.whole is not None or not self.begun

    def open(self) -> bytes | AsyncIterator[bytes]:
        """Return what an exchange sends."""
        return self._pieces() if self.whole is None else self.whole

    async def _pieces(self) -> AsyncIterator[bytes]:
        self.begun = True
        while piece := await self._call.read():
            yield piece


async def serve(call: Call) -> None:
    """Serve a call of a plain service."""
    gateway = call.gateway
    path = normalise_path(call.scope["path"])
    index = gateway.index()
    service = index.service_of_path(path)
    if service is None:
        raise GatewayError("route_unknown", "no service has this route")
    call.record.service, call.record.pool = service.name, service.pool
    if service.access == "open":
        call.record.keyed = False
        await _run(call, _build_plan(call, index, service, path))
        return
    index, workspace = check_key(gateway, call)
    with gateway.workspace_limits.hold(call, workspace):
        await _run(call, _build_plan(call, index, service, path))


def _build_plan(
    call: Call, index: ManifestIndex, service: Service, path: str
) -> ServicePlan:
    seconds = service.deadline_seconds
    margin = min(seconds / 4, max(MIN_MARGIN_SECONDS, DEADLINE_MARGIN * seconds))
    deadline = call.arrived_at + seconds - margin
    request = RequestView(
        workspace=call.record.workspace,
        pool=service.pool,
        idempotent=index.idempotent(service, call.scope["method"], path),
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


def _request_headers(call: Call) -> Headers:
    """Return the caller's headers without keys and hop-by-hop headers."""
    named = _named_by_connection(call.headers)
    headers = []
    for name, value in call.headers:
        if name in _NOT_SENT or name in named or is_key_header(name):
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


def _named_by_connection(headers: Headers) -> set[bytes]:
    return {
        token.strip().lower()
        for name, value in headers
        if name == b"connection"
        for token in value.split(b",")
    }


async def _run(call: Call, plan: ServicePlan) -> None:
    key = call.header(b"idempotency-key")
    if key is not None and not plan.request.idempotent:
        await _run_claimed(call, plan, decode_key(key))
        return
    length = call.check_body_length()
    whole = None
    if length is not None and length <= WHOLE_BYTES:
        whole = await call.read_all() if length else b""
    await _forward(call, plan, BodySource(call, whole))


async def _run_claimed(call: Call, plan: ServicePlan, key: str) -> None:
    claimed = ClaimedCall(call)
    body = await read_claimed_body(call)
    digest = digest_of_request(call, plan.target, body)
    # From here on the call goes on without its caller, up to its deadline.
    call.detached = True
    stored = await claimed.claim(key, digest)
    if stored is not None:
        await repeat_answer(call, stored)
        return
    plan.headers = [pair for pair in plan.headers if pair[0] not in _FRAMING]
    if body:
        plan.headers.append((b"content-length", b"%d" % len(body)))
    try:
        await _forward(call, plan, BodySource(call, body), claimed)
    except GatewayError as error:
        if error.run == "not_run":
            await claimed.release()
        else:
            await claimed.finish()
        raise


async def _forward(
    call: Call,
    plan: ServicePlan,
    body: BodySource,
    claimed: ClaimedCall | None = None,
) -> None:
    """Send the call to an upstream and pass the answer on.

    :raises GatewayError: if there is no answer.
    """
    attempts = Attempts(call.gateway, plan.request, call.record)
    while True:
        slot = await attempts.admit()
        try:
            exchange = await _open(call, plan, slot, body, attempts)
            try:
                await _pass_on(call, plan, exchange, claimed)
            finally:
                exchange.close()
            attempts.succeed()
            slot.given = service_of(call.record)
            taken = call.gateway.now() - slot.dispatch.begun_at
            call.gateway.upstreams.succeeded(slot.entry, taken / CALL_SECONDS)
            return
        except UpstreamFault as fault:
            slot.release()
            if call.answer_begun:
                call.gateway.upstreams.failed(slot.entry, fault)
                message = "the answer broke off"
                raise GatewayError("outcome_unknown", message) from None
            attempts.note_fault(slot, fault, replayable=body.replayable)
        finally:
            slot.release()


async def _open(
    call: Call, plan: ServicePlan, slot: Slot, body: BodySource, attempts: Attempts
) -> Exchange:
    gateway = call.gateway
    method = call.scope["method"]
    head = RequestHead(method, plan.target, plan.headers, call.dispatch_id)
    try:
        return await open_answer(
            gateway,
            slot,
            head,
            body.open(),
            plan.deadline,
            attempts,
            fresh=attempts.fresh,
            echoes_id=plan.echoes_id,
        )
    except GatewayError as error:
        if not body.begun:
            raise
        # Part of the body has been sent, so that "not run" would be a guess.
        raise GatewayError(
            "outcome_unknown", error.message, status=error.status
        ) from None


async def _pass_on(
    call: Call, plan: ServicePlan, exchange: Exchange, claimed: ClaimedCall | None
) -> None:
    answer = exchange.answer
    headers = _answer_headers(answer)
    length = answer.header(b"content-length")
    if answer.complete or (length is not None and int(length) <= WHOLE_BYTES):
        body = await read_whole(exchange, plan.deadline, WHOLE_BYTES)
        if claimed is not None:
            claimed.keep(answer.status, headers, body)
            await claimed.finish()
        await call.gateway.recorder.account(call.record)
        await _answer_whole(call, answer, headers, body)
        return
    await call.begin_answer(answer.status, headers)
    seconds = plan.service.deadline_seconds
    while piece := await exchange.read_body(call.gateway.now() + seconds):
        await call.write(piece)
    if claimed is not None:
        await claimed.finish()
    await call.gateway.recorder.account(call.record)
    await call.write(b"", more=False)


async def _answer_whole(
    call: Call, answer: Answer, headers: Headers, body: bytes
) -> None:
    if answer.status not in BODILESS and call.scope["method"] != "HEAD":
        headers = [pair for pair in headers if pair[0] != b"content-length"]
        headers.append((b"content-length", b"%d" % len(body)))
    await call.begin_answer(answer.status, headers)
    await call.write(body, more=False)


def _answer_headers(answer: Answer) -> Headers:
    named = _named_by_connection(answer.headers)
    dropped = _NOT_RETURNED | named
    if answer.status in BODILESS:
        dropped = dropped | {b"content-length"}
    return [pair for pair in answer.headers if pair[0] not in dropped]
