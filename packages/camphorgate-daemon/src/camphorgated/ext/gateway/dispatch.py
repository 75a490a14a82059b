"""Attempts of one request: chooses upstreams and decides about retries."""

from collections.abc import AsyncIterator, Iterable
from typing import Any

from camphorgate.requests import retries
from camphorgate.requests.request_state import RoutingRequest
from camphorgate.requests.retries import Action, Stage
from camphorgated.ext.gateway.admission import Slot
from camphorgated.ext.gateway.errors import (
    GatewayError,
    StaleConnection,
    StreamUnknown,
    UpstreamFault,
    UpstreamOverloaded,
    UpstreamSilent,
)
from camphorgated.ext.gateway.exchange import Exchange, RequestHead
from camphorgated.ext.gateway.records import RequestRecord

# Statuses with which an upstream rejects a request before running it.
_OVERLOADED = frozenset({429, 503})


class Attempts:
    """Tracks the attempts of one request across upstreams.

    :class:`retries.Attempts` decides whether the request may be sent again.
    """

    __slots__ = (
        "request",
        "excluded",
        "new_connection",
        "_retry_state",
        "_may_have_run",
        "_gateway",
        "_record",
        "_last_fault",
    )

    def __init__(
        self,
        gateway: Any,
        request: RoutingRequest,
        record: RequestRecord,
        avoided: Iterable[str] = (),
    ) -> None:
        """Start before the first attempt.

        :param avoided: upstreams that get the request only if no other can serve it.
        """
        self.request = request
        self.excluded: set[str] = set(avoided)
        # A request that must not be repeated never uses a pooled connection, which
        # the upstream may have closed without this process knowing.
        self.new_connection = not request.idempotent
        self._retry_state = retries.Attempts(
            idempotent=request.idempotent, resumable=request.resumable
        )
        # Set once an attempt has failed in such a way that the request may have run.
        self._may_have_run = False
        self._gateway = gateway
        self._record = record
        self._last_fault: UpstreamFault | None = None
        now = gateway.now()
        gateway.retry_budget.record_request(now)
        gateway.demand.record_request(
            "asked", request.pool, request.prompt_tokens, request.output_tokens, now
        )

    async def admit(self) -> Slot:
        """Return a slot at an upstream that has not failed this request.

        :raises GatewayError: if none becomes free in time.
        """
        try:
            slot = await self._gateway.admission.admit(self.request, self.excluded)
        except GatewayError as error:
            raise self._final_error(error) from None
        self._retry_state.begin()
        self._record.attempts += 1
        self._record.upstream_id = slot.entry.view.id
        if not self._record.admitted_at:
            self._record.admitted_at = self._gateway.now()
        return slot

    def mark_sending(self) -> None:
        """Record that the first byte may be sent from now on."""
        self._retry_state.record_send()

    def mark_succeeded(self) -> None:
        """Record that the whole response was forwarded."""
        self._retry_state.succeed()

    def reset_attempt_count(self) -> None:
        """Reset the count of attempts after a resumed stream has made progress."""
        self._retry_state.count = 1

    def record_fault(
        self,
        slot: Slot,
        fault: UpstreamFault,
        *,
        begun: bool = False,
        replayable: bool = True,
    ) -> None:
        """Record a failed attempt; returns if another one is allowed.

        :param begun: a part of the response was forwarded to the caller.
        :param replayable: the body can be sent again.
        :raises GatewayError: if no further attempt is allowed.
        """
        stage = _fault_stage(fault, begun)
        self._may_have_run = self._may_have_run or stage in (Stage.SENT, Stage.BEGUN)
        self._last_fault = fault
        stale = isinstance(fault, StaleConnection) and not self.new_connection
        if stale:
            # Says nothing about the upstream's health, so it may be tried again.
            self.new_connection = True
        else:
            self._exclude(slot, fault)
        now = self._gateway.now()
        action = self._retry_state.fail(stage, self._gateway.retry_budget, now)
        late = now >= self.request.deadline
        if action not in (Action.RETRY, Action.RESUME) or late or not replayable:
            message = "upstreams refused the request"
            raise self._final_error(GatewayError("no_upstream", message))

    def _exclude(self, slot: Slot, fault: UpstreamFault) -> None:
        """Record the failure and exclude the upstream from the next attempt.

        If no other can serve a repeatable request, all are allowed again.
        """
        upstreams = self._gateway.upstreams
        overloaded = isinstance(fault, UpstreamOverloaded)
        if not overloaded and not isinstance(fault, StreamUnknown):
            upstreams.record_failure(slot.entry, fault)
        self.excluded.add(slot.entry.view.id)
        if (
            self.request.idempotent
            and not overloaded
            and not upstreams.can_serve(self.request, self.excluded)
            and upstreams.can_serve(self.request)
        ):
            self.excluded.clear()

    def _final_error(self, error: GatewayError) -> GatewayError:
        """Return the error that ends the request.

        :param error: returned if no attempt can have run.
        """
        if not self._may_have_run:
            return error
        if self.request.idempotent and isinstance(self._last_fault, UpstreamSilent):
            return GatewayError("upstream_timeout", "the upstream did not answer")
        message = "the upstream broke off; whether the request ran is not known"
        return GatewayError("outcome_unknown", message)


def _fault_stage(fault: UpstreamFault, begun: bool) -> Stage:
    if begun:
        return Stage.BEGUN
    if isinstance(fault, UpstreamOverloaded | StreamUnknown):
        return Stage.REFUSED
    return Stage.SENT if fault.sent else Stage.NOT_SENT


async def open_response(
    gateway: Any,
    slot: Slot,
    head: RequestHead,
    body: bytes | AsyncIterator[bytes],
    deadline: float,
    attempts: Attempts,
    *,
    new_connection: bool,
    echoes_id: bool,
) -> Exchange:
    """Send a request and return the exchange once the response headers are read.

    :param deadline: monotonic time by which the headers must have arrived.
    :param attempts: notified before the first byte is sent.
    :param echoes_id: the upstream must echo the request's id.
    :raises UpstreamFault: if there is no valid response to this request.
    """
    exchange = gateway.open_exchange(head, new_connection=new_connection)
    try:
        await exchange.send(slot.entry.url, body, attempts.mark_sending)
        response = await exchange.read_head(deadline)
        exchange.check_request_id(echoes_id)
    except BaseException:
        exchange.close()
        raise
    gateway.upstreams.record_response_load(slot.entry, response.header(b"x-load"))
    return exchange


def raise_if_overloaded(exchange: Exchange) -> None:
    """Raise an error if an engine rejected the request before running it.

    :raises UpstreamOverloaded: for the statuses that mean this.
    """
    status = exchange.response.status
    if status in _OVERLOADED:
        raise UpstreamOverloaded(f"the upstream answered {status}", sent=False)


async def read_full_body(exchange: Exchange, deadline: float, max_bytes: int) -> bytes:
    """Return the whole body of a response.

    :raises UpstreamFault: if it is truncated or longer than ``max_bytes``.
    """
    chunks = []
    size = 0
    while chunk := await exchange.read_body(deadline):
        chunks.append(chunk)
        size += len(chunk)
        if size > max_bytes:
            raise UpstreamFault(f"the answer exceeds {max_bytes} bytes")
    return chunks[0] if len(chunks) == 1 else b"".join(chunks)
