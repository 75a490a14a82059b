"""Streamed completions: forward tokens, resume elsewhere without gaps or repeats."""

import msgspec

from camphorgate.requests.fairness import weighted_service
from camphorgated.ext.gateway.admission import Slot
from camphorgated.ext.gateway.call import RequestContext
from camphorgated.ext.gateway.completions import CompletionPlan
from camphorgated.ext.gateway.deadline_monitor import NEVER
from camphorgated.ext.gateway.dispatch import (
    Attempts,
    open_response,
    raise_if_overloaded,
    read_full_body,
)
from camphorgated.ext.gateway.errors import (
    GatewayError,
    StreamUnknown,
    UpstreamFault,
    UpstreamRefused,
    encode_error,
)
from camphorgated.ext.gateway.exchange import Exchange
from camphorgated.ext.gateway.relay import relay
from camphorgated.ext.gateway.token_stream import DONE_EVENT, TokenStream

MAX_NON_STREAM_BODY_BYTES = 1_048_576
# Lower bound of the expected time: shorter times depend more on this process than
# on an engine.
MIN_EXPECTED_SECONDS = 0.02
# How long a resumed stream may wait for a slot at another engine.
MAX_RESUME_WAIT_SECONDS = 5.0
# How long to wait for the final chunk, which usually comes with the last event.
MAX_END_WAIT_SECONDS = 0.25


class _NonStreamResponse(Exception):
    """The engine's own response instead of a stream, such as a rejected field."""

    def __init__(self, status: int, content_type: bytes, body: bytes) -> None:
        super().__init__(status)
        self.status = status
        self.content_type = content_type
        self.body = body


class _EventForwarder:
    """Forwards the events of one connection; the hot path of the gateway."""

    __slots__ = (
        "unsent",
        "silence_seconds",
        "_streamed",
        "_slot",
        "_exchange",
        "_tokens",
        "_now",
        "_try_write",
        "_note_token",
        "_last_at",
    )

    def __init__(
        self, streamed: "StreamedCall", slot: Slot, exchange: Exchange
    ) -> None:
        """Start before the first event of a connection."""
        self.unsent = b""
        self.silence_seconds = streamed.gateway.limits.silence_seconds
        self._streamed = streamed
        self._slot = slot
        self._exchange = exchange
        self._tokens = streamed.tokens
        self._now = streamed.gateway.now
        self._try_write = streamed.call.try_write
        self._note_token = slot.entry.view.record_token_gap
        self._last_at = 0.0

    def forward(self, data: bytes) -> bool:
        """Forward the events that the received bytes complete.

        :returns: whether more events can be forwarded at once.
        """
        tokens = self._tokens
        tokens_before = tokens.tokens
        events = tokens.feed(data)
        if not events:
            return not tokens.done
        sent = self._try_write(events)
        if not sent:
            self.unsent = events
        now = self._now()
        self._exchange.deadline = now + self.silence_seconds
        if self._last_at:
            gap = (now - self._last_at) / max(1, tokens.tokens - tokens_before)
            self._note_token(gap, now)
        else:
            self._streamed.record_first_event(self._slot, now)
        self._last_at = now
        return sent and not tokens.done


class StreamedCall:
    """One streamed completion, over one or more upstream connections."""

    __slots__ = (
        "call",
        "plan",
        "gateway",
        "tokens",
        "attempts",
        "deadline",
        "_upstream_request_id",
    )

    def __init__(self, call: RequestContext, plan: CompletionPlan) -> None:
        """Start before the first dispatch."""
        self.call = call
        self.plan = plan
        self.gateway = call.gateway
        self.tokens = TokenStream()
        self.attempts = Attempts(call.gateway, plan.request, call.record, plan.avoided)
        self.deadline = 0.0
        # The same for each resumption, so that an engine can find its stream.
        self._upstream_request_id = f"{call.record.request_id}.1"

    async def run(self) -> None:
        """Forward the stream to its end.

        :raises GatewayError: if it cannot be started or completed.
        """
        while not self.tokens.done:
            slot = await self.attempts.admit()
            tokens_before = self.tokens.tokens
            try:
                await self._stream_from(slot)
                self.attempts.mark_succeeded()
            except UpstreamFault as fault:
                self._release(slot, tokens_before)
                self._record_fault(slot, fault, tokens_before)
            finally:
                self._release(slot, tokens_before)

    async def _stream_from(self, slot: Slot) -> None:
        """Stream from one engine, resuming there as long as that makes progress."""
        new_engine = self.tokens.tokens > 0
        while True:
            tokens_before = self.tokens.tokens
            try:
                await self._stream_once(slot, new_engine)
                return
            except UpstreamFault as fault:
                progressed = self.tokens.tokens > tokens_before
                refused = isinstance(fault, UpstreamRefused)
                if refused or not progressed or not self.tokens.resumable:
                    raise
                self.gateway.upstreams.record_failure(slot.entry, fault)
                new_engine = False
                self.call.record.resumes += 1

    async def _stream_once(self, slot: Slot, new_engine: bool) -> None:
        """Stream over one connection.

        :param new_engine: whether this engine does not know the stream yet.
        """
        self.tokens.discard_partial_event()
        seconds = self.plan.first_token_timeout_seconds(
            self.gateway.limits.silence_seconds
        )
        self.deadline = self.gateway.now() + seconds
        exchange = await self._open(slot, new_engine)
        try:
            await self._check_response(exchange)
            await self._forward_events(slot, exchange)
            await self._finish(exchange)
        finally:
            exchange.close()

    async def _open(self, slot: Slot, new_engine: bool) -> Exchange:
        body = self.plan.body
        resumed = self.tokens.tokens > 0
        if resumed:
            body = self._continuation() if new_engine else body
        head = self.plan.head(self._upstream_request_id, body, slot.priority)
        if resumed:
            last = b"%d" % self.tokens.last_id
            head.headers.append((b"last-event-id", last))
        return await open_response(
            self.gateway,
            slot,
            head,
            body,
            self.deadline,
            self.attempts,
            new_connection=resumed or self.attempts.new_connection,
            echoes_id=self.plan.pool.echoes_request_id,
        )

    def _continuation(self) -> bytes:
        fields = msgspec.json.decode(self.plan.body)
        fields["continuation"] = self.tokens.text()
        return msgspec.json.encode(fields)

    async def _check_response(self, exchange: Exchange) -> None:
        response = exchange.response
        raise_if_overloaded(exchange)
        if response.status == 200:
            content_type = response.header(b"content-type") or b""
            if content_type.startswith(b"text/event-stream"):
                return
            raise UpstreamFault("the engine's answer is not an event stream")
        if self.tokens.tokens:
            message = f"the engine answered {response.status} to a resumed stream"
            raise StreamUnknown(message)
        body = await read_full_body(exchange, self.deadline, MAX_NON_STREAM_BODY_BYTES)
        content_type = response.header(b"content-type") or b"application/json"
        raise _NonStreamResponse(response.status, content_type, body)

    async def _forward_events(self, slot: Slot, exchange: Exchange) -> None:
        """Forward events until the last one."""
        if not self.call.response_started:
            headers = [
                (b"content-type", b"text/event-stream"),
                (b"cache-control", b"no-cache"),
            ]
            await self.call.start_response(200, headers)
        exchange.deadline = self.deadline
        forwarder = _EventForwarder(self, slot, exchange)
        while not self.tokens.done:
            await relay(exchange, forwarder.forward)
            if forwarder.unsent:
                events, forwarder.unsent = forwarder.unsent, b""
                exchange.deadline = NEVER
                await self.call.write(events)
                exchange.deadline = self.gateway.now() + forwarder.silence_seconds
            elif exchange.response.complete and not self.tokens.done:
                raise UpstreamFault("the stream ended without its last event")
        exchange.deadline = NEVER

    def record_first_event(self, slot: Slot, now: float) -> None:
        """Record the first event from an engine."""
        record = self.call.record
        record.first_token_at = record.first_token_at or now
        expected = max(slot.choice.first_token_seconds, MIN_EXPECTED_SECONDS)
        elapsed = now - slot.dispatch.dispatched_at
        self.gateway.upstreams.record_success(slot.entry, elapsed / expected)
        slot.record_first_token(now)

    async def _finish(self, exchange: Exchange) -> None:
        call = self.call
        call.record.output_tokens = self.tokens.tokens
        await self.gateway.recorder.record_usage(call.record)
        await call.write(DONE_EVENT, more=False)
        try:
            while await exchange.read_body(self.gateway.now() + MAX_END_WAIT_SECONDS):
                pass
        except UpstreamFault:
            # The whole stream has been forwarded; only the connection is lost.
            return

    def _release(self, slot: Slot, tokens_before: int) -> None:
        """Release the slot, with the service that was received there.

        :param tokens_before: number of tokens of the stream when it got the slot.
        """
        produced = self.tokens.tokens - tokens_before
        prompt = self.plan.request.prompt_tokens if produced else 0
        slot.service_received = weighted_service(prompt, produced)
        slot.release()

    def _record_fault(
        self, slot: Slot, fault: UpstreamFault, tokens_before: int
    ) -> None:
        begun = self.tokens.tokens > 0
        if begun and not self.tokens.resumable:
            raise GatewayError("stream_broken", "the stream cannot be resumed")
        if begun:
            self.call.record.resumes += 1
            limit = self.gateway.now() + MAX_RESUME_WAIT_SECONDS
            request = msgspec.structs.replace(self.attempts.request, deadline=limit)
            self.attempts.request = request
        if self.tokens.tokens > tokens_before:
            self.attempts.reset_attempt_count()
        self.attempts.record_fault(slot, fault, begun=begun)


async def stream(call: RequestContext, plan: CompletionPlan) -> None:
    """Serve a streamed completion."""
    streamed = StreamedCall(call, plan)
    try:
        await streamed.run()
    except _NonStreamResponse as response:
        call.record.prompt_tokens = 0
        headers = [(b"content-type", response.content_type)]
        await call.send_response(response.status, headers, response.body)
    except GatewayError as error:
        if not call.response_started:
            raise
        await _end_with_error(call, streamed.tokens, error)
    finally:
        call.record.output_tokens = streamed.tokens.tokens


async def _end_with_error(
    call: RequestContext, tokens: TokenStream, error: GatewayError
) -> None:
    """End a stream that cannot be completed, with an error as its last event."""
    call.record.outcome = "stream_broken"
    call.record.output_tokens = tokens.tokens
    await call.gateway.recorder.record_usage(call.record)
    message = f"the stream could not be finished: {error.message}"
    request_id = call.record.request_id
    body = encode_error("stream_broken", message, "unknown", request_id)
    await call.write(b"event: error\ndata: " + body + b"\n\n", more=False)
