"""Streamed completions: pass tokens on, resume elsewhere without gap or repeat."""

import msgspec

from camphorgate.requests.fairness import service_of
from camphorgated.ext.gateway.call import Call
from camphorgated.ext.gateway.completions import Plan
from camphorgated.ext.gateway.dispatch import (
    Attempts,
    check_overload,
    open_answer,
    read_whole,
)
from camphorgated.ext.gateway.errors import (
    GatewayError,
    StreamUnknown,
    UpstreamFault,
    UpstreamRefused,
    encode_error,
)
from camphorgated.ext.gateway.events import DONE_EVENT, TokenStream
from camphorgated.ext.gateway.exchange import Exchange
from camphorgated.ext.gateway.queueing import Slot
from camphorgated.ext.gateway.relay import relay
from camphorgated.ext.gateway.watch import NEVER

MAX_PASSED_ON_BYTES = 1_048_576
# Shorter expectations say more about this process than about an engine.
MIN_EXPECTED_SECONDS = 0.02
# How long a resumed stream may wait for a place at another engine.
RESUME_ADMISSION_SECONDS = 5.0
# The chunk that ends an answer usually comes with the last event.
END_SECONDS = 0.25


class _PassedOn(Exception):
    """The engine's own answer instead of a stream, such as a refusal of a field."""

    def __init__(self, status: int, content_type: bytes, body: bytes) -> None:
        super().__init__(status)
        self.status = status
        self.content_type = content_type
        self.body = body


class _Passing:
    """Passes the events of one connection on; the hot path of the system."""

    __slots__ = (
        "unsent",
        "silence",
        "_streamed",
        "_slot",
        "_exchange",
        "_tokens",
        "_now",
        "_write_now",
        "_note_token",
        "_last_at",
    )

    def __init__(
        self, streamed: "StreamedCall", slot: Slot, exchange: Exchange
    ) -> None:
        """Start before the first event of a connection."""
        self.unsent = b""
        self.silence = streamed.gateway.limits.silence_seconds
        self._streamed = streamed
        self._slot = slot
        self._exchange = exchange
        self._tokens = streamed.tokens
        self._now = streamed.gateway.now
        self._write_now = streamed.call.write_now
        self._note_token = slot.entry.view.note_token
        self._last_at = 0.0

    def take(self, data: bytes) -> bool:
        """Pass on the whole events among the bytes that arrived.

        :returns: whether more events may follow at once.
        """
        tokens = self._tokens
        before = tokens.tokens
        events = tokens.feed(data)
        if not events:
            return not tokens.done
        sent = self._write_now(events)
        if not sent:
            self.unsent = events
        now = self._now()
        self._exchange.deadline = now + self.silence
        if self._last_at:
            gap = (now - self._last_at) / max(1, tokens.tokens - before)
            self._note_token(gap, now)
        else:
            self._streamed.note_first(self._slot, now)
        self._last_at = now
        return sent and not tokens.done


class StreamedCall:
    """One streamed completion, over as many connections as it takes."""

    __slots__ = (
        "call",
        "plan",
        "gateway",
        "tokens",
        "attempts",
        "deadline",
        "_upstream_request_id",
    )

    def __init__(self, call: Call, plan: Plan) -> None:
        """Start before the first dispatch."""
        self.call = call
        self.plan = plan
        self.gateway = call.gateway
        self.tokens = TokenStream()
        self.attempts = Attempts(call.gateway, plan.request, call.record, plan.avoided)
        self.deadline = 0.0
        # Stable over resumptions, so that an engine can find its stream.
        self._upstream_request_id = f"{call.record.request_id}.1"

    async def run(self) -> None:
        """Pass the stream on to its end.

        :raises GatewayError: if it cannot be begun, or not be finished.
        """
        while not self.tokens.done:
            slot = await self.attempts.admit()
            before = self.tokens.tokens
            try:
                await self._run_on(slot)
                self.attempts.succeed()
            except UpstreamFault as fault:
                self._release(slot, before)
                self._note_fault(slot, fault, before)
            finally:
                self._release(slot, before)

    async def _run_on(self, slot: Slot) -> None:
        """Stream from one engine, resuming there as long as that makes progress."""
        elsewhere = self.tokens.tokens > 0
        while True:
            before = self.tokens.tokens
            try:
                await self._stream_once(slot, elsewhere)
                return
            except UpstreamFault as fault:
                progressed = self.tokens.tokens > before
                refused = isinstance(fault, UpstreamRefused)
                if refused or not progressed or not self.tokens.resumable:
                    raise
                self.gateway.upstreams.failed(slot.entry, fault)
                elsewhere = False
                self.call.record.resumes += 1

    async def _stream_once(self, slot: Slot, elsewhere: bool) -> None:
        """Stream over one connection.

        :param elsewhere: this engine does not know the stream yet.
        """
        self.tokens.restart()
        seconds = self.plan.first_byte_seconds(self.gateway.limits.silence_seconds)
        self.deadline = self.gateway.now() + seconds
        exchange = await self._open(slot, elsewhere)
        try:
            await self._check_answer(exchange)
            await self._pass_on(slot, exchange)
            await self._finish(exchange)
        finally:
            exchange.close()

    async def _open(self, slot: Slot, elsewhere: bool) -> Exchange:
        body = self.plan.body
        resumed = self.tokens.tokens > 0
        if resumed:
            body = self._continuation() if elsewhere else body
        head = self.plan.head(self._upstream_request_id, body, slot.priority)
        if resumed:
            last = b"%d" % self.tokens.last_id
            head.headers.append((b"last-event-id", last))
        return await open_answer(
            self.gateway,
            slot,
            head,
            body,
            self.deadline,
            self.attempts,
            fresh=resumed or self.attempts.fresh,
            echoes_id=self.plan.pool.echoes_request_id,
        )

    def _continuation(self) -> bytes:
        fields = msgspec.json.decode(self.plan.body)
        fields["continuation"] = self.tokens.text()
        return msgspec.json.encode(fields)

    async def _check_answer(self, exchange: Exchange) -> None:
        answer = exchange.answer
        check_overload(exchange)
        if answer.status == 200:
            content_type = answer.header(b"content-type") or b""
            if content_type.startswith(b"text/event-stream"):
                return
            raise UpstreamFault("the engine's answer is not an event stream")
        if self.tokens.tokens:
            message = f"the engine answered {answer.status} to a resumed stream"
            raise StreamUnknown(message)
        body = await read_whole(exchange, self.deadline, MAX_PASSED_ON_BYTES)
        content_type = answer.header(b"content-type") or b"application/json"
        raise _PassedOn(answer.status, content_type, body)

    async def _pass_on(self, slot: Slot, exchange: Exchange) -> None:
        """Pass events on until the last one."""
        if not self.call.answer_begun:
            headers = [
                (b"content-type", b"text/event-stream"),
                (b"cache-control", b"no-cache"),
            ]
            await self.call.begin_answer(200, headers)
        exchange.deadline = self.deadline
        passing = _Passing(self, slot, exchange)
        while not self.tokens.done:
            await relay(exchange, passing.take)
            if passing.unsent:
                events, passing.unsent = passing.unsent, b""
                exchange.deadline = NEVER
                await self.call.write(events)
                exchange.deadline = self.gateway.now() + passing.silence
            elif exchange.answer.complete and not self.tokens.done:
                raise UpstreamFault("the stream ended without its last event")
        exchange.deadline = NEVER

    def note_first(self, slot: Slot, now: float) -> None:
        """Take the first event from an engine."""
        record = self.call.record
        record.first_token_at = record.first_token_at or now
        expected = max(slot.choice.first_token_seconds, MIN_EXPECTED_SECONDS)
        taken = now - slot.dispatch.begun_at
        self.gateway.upstreams.succeeded(slot.entry, taken / expected)
        slot.first_token(now)

    async def _finish(self, exchange: Exchange) -> None:
        call = self.call
        call.record.output_tokens = self.tokens.tokens
        await self.gateway.recorder.account(call.record)
        await call.write(DONE_EVENT, more=False)
        try:
            while await exchange.read_body(self.gateway.now() + END_SECONDS):
                pass
        except UpstreamFault:
            # The whole stream has been passed on; only the connection is lost.
            return

    def _release(self, slot: Slot, before: int) -> None:
        """Give the place back, with the service that was received there.

        :param before: how many tokens the stream had when it came there.
        """
        produced = self.tokens.tokens - before
        prompt = self.plan.request.prompt_tokens if produced else 0
        slot.given = service_of(prompt, produced)
        slot.release()

    def _note_fault(self, slot: Slot, fault: UpstreamFault, before: int) -> None:
        begun = self.tokens.tokens > 0
        if begun and not self.tokens.resumable:
            raise GatewayError("stream_broken", "the stream cannot be resumed")
        if begun:
            self.call.record.resumes += 1
            limit = self.gateway.now() + RESUME_ADMISSION_SECONDS
            request = msgspec.structs.replace(self.attempts.request, deadline=limit)
            self.attempts.request = request
        if self.tokens.tokens > before:
            self.attempts.progressed()
        self.attempts.note_fault(slot, fault, begun=begun)


async def stream(call: Call, plan: Plan) -> None:
    """Serve a streamed completion."""
    streamed = StreamedCall(call, plan)
    try:
        await streamed.run()
    except _PassedOn as answer:
        call.record.prompt_tokens = 0
        headers = [(b"content-type", answer.content_type)]
        await call.answer(answer.status, headers, answer.body)
    except GatewayError as error:
        if not call.answer_begun:
            raise
        await _end_broken(call, streamed.tokens, error)
    finally:
        call.record.output_tokens = streamed.tokens.tokens


async def _end_broken(call: Call, tokens: TokenStream, error: GatewayError) -> None:
    """End a stream that cannot be finished with an error as its last event."""
    call.record.outcome = "stream_broken"
    call.record.output_tokens = tokens.tokens
    await call.gateway.recorder.account(call.record)
    message = f"the stream could not be finished: {error.message}"
    request_id = call.record.request_id
    body = encode_error("stream_broken", message, "unknown", request_id)
    await call.write(b"event: error\ndata: " + body + b"\n\n", more=False)
