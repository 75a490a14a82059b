"""Attempts of one request: where it may be sent, and whether it may be sent again."""

from collections.abc import AsyncIterator
from typing import Any

from camphorgate.requests.views import RequestView
from camphorgated.ext.gateway.errors import (
    GatewayError,
    StaleConnection,
    StreamUnknown,
    UpstreamFault,
    UpstreamOverloaded,
    UpstreamSilent,
)
from camphorgated.ext.gateway.exchange import Exchange, RequestHead
from camphorgated.ext.gateway.queueing import Slot
from camphorgated.ext.gateway.records import RequestRecord

MAX_ATTEMPTS = 3
# Statuses by which an upstream says that it refused a request before running it.
_OVERLOADED = frozenset({429, 503})


class Attempts:
    """Follows one request from upstream to upstream."""

    __slots__ = (
        "request",
        "excluded",
        "may_have_run",
        "fresh",
        "failures",
        "_gateway",
        "_record",
        "_last_fault",
    )

    def __init__(
        self, gateway: Any, request: RequestView, record: RequestRecord
    ) -> None:
        """Start before the first attempt."""
        self.request = request
        self.excluded: set[str] = set()
        self.may_have_run = False
        # A request that must not be repeated never goes over a pooled connection,
        # which may be dead without this side knowing.
        self.fresh = not request.idempotent
        # Failed attempts since the last progress.
        self.failures = 0
        self._gateway = gateway
        self._record = record
        self._last_fault: UpstreamFault | None = None
        gateway.retries.note_request()

    async def admit(self) -> Slot:
        """Return a place at an upstream that has not failed this request.

        :raises GatewayError: if there is none in time.
        """
        try:
            slot = await self._gateway.admission.admit(self.request, self.excluded)
        except GatewayError as error:
            raise self.final_error(error) from None
        self._record.attempts += 1
        self._record.upstream_id = slot.entry.view.id
        if not self._record.admitted_at:
            self._record.admitted_at = self._gateway.now()
        return slot

    def note_fault(
        self, slot: Slot, fault: UpstreamFault, replayable: bool = True
    ) -> None:
        """Take a failed attempt; returns if there may be another one.

        :param replayable: the body can be sent again.
        :raises GatewayError: if the request ends here.
        """
        self.may_have_run = self.may_have_run or fault.sent
        self._last_fault = fault
        if isinstance(fault, StaleConnection):
            if not self.fresh and replayable:
                self.fresh = True
                return
        elif not isinstance(fault, UpstreamOverloaded | StreamUnknown):
            self._gateway.upstreams.failed(slot.entry, fault)
        self.failures += 1
        self._exclude(slot, fault)
        if self.may_have_run and not self.request.idempotent:
            raise self.final_error(None)
        now = self._gateway.now()
        if (
            not replayable
            or self.failures >= MAX_ATTEMPTS
            or now >= self.request.deadline
            or not self._gateway.retries.take(now)
        ):
            message = "upstreams refused the request"
            raise self.final_error(GatewayError("no_upstream", message))

    def _exclude(self, slot: Slot, fault: UpstreamFault) -> None:
        """Go to another upstream next, or again to the first if there is no other."""
        self.excluded.add(slot.entry.view.id)
        upstreams = self._gateway.upstreams
        if (
            self.request.idempotent
            and not isinstance(fault, UpstreamOverloaded)
            and not upstreams.can_serve(self.request, self.excluded)
            and upstreams.can_serve(self.request)
        ):
            self.excluded.clear()

    def final_error(self, error: GatewayError | None) -> GatewayError:
        """Return the error that ends the request.

        :param error: the refusal that holds if no attempt may have run.
        """
        if not self.may_have_run and error is not None:
            return error
        if self.request.idempotent and isinstance(self._last_fault, UpstreamSilent):
            return GatewayError("upstream_timeout", "the upstream did not answer")
        message = "the upstream broke off; whether the request ran is not known"
        return GatewayError("outcome_unknown", message)


async def open_answer(
    gateway: Any,
    slot: Slot,
    head: RequestHead,
    body: bytes | AsyncIterator[bytes],
    deadline: float,
    *,
    fresh: bool,
    echoes_id: bool,
) -> Exchange:
    """Send a request and return the exchange once the answer's headers are read.

    :param deadline: monotonic seconds until which the headers must be there.
    :param echoes_id: the upstream must echo the request's id.
    :raises UpstreamFault: if there is no answer to this request.
    """
    exchange = gateway.open_exchange(head, fresh=fresh)
    try:
        await exchange.send(slot.entry.url, body)
        answer = await exchange.read_head(deadline)
        exchange.check_request_id(echoes_id)
    except BaseException:
        exchange.close()
        raise
    gateway.upstreams.take_answer(slot.entry, answer.header(b"x-load"))
    return exchange


def check_overload(exchange: Exchange) -> None:
    """Raise an error if an engine refused the request before running it.

    :raises UpstreamOverloaded: for the statuses that say so.
    """
    status = exchange.answer.status
    if status in _OVERLOADED:
        raise UpstreamOverloaded(f"the upstream answered {status}", sent=False)


async def read_whole(exchange: Exchange, deadline: float, max_bytes: int) -> bytes:
    """Return the whole body of an answer.

    :raises UpstreamFault: if it breaks off or is longer than ``max_bytes``.
    """
    pieces = []
    size = 0
    while piece := await exchange.read_body(deadline):
        pieces.append(piece)
        size += len(piece)
        if size > max_bytes:
            raise UpstreamFault(f"the answer exceeds {max_bytes} bytes")
    return pieces[0] if len(pieces) == 1 else b"".join(pieces)
