"""Forwards the events of an engine to the caller and detects stalled streams.

Only events with data count as progress: a stream that sends comments only is stalled.
The stall timeout derives from the gap between events that the route declares. An engine
that meanwhile sends events of other requests has deferred this one and is still alive,
so the timeout is longer. Only a stream that can be resumed elsewhere is ended for
stalling; every other stream may continue until its deadline.
"""

import asyncio

from camphorgate.application import Application
from camphorgate.serving.catalog import Stage
from camphorgate.serving.health import Health
from camphorgated.serving.errors import EventTooLarge, ExchangeError, MalformedEvent
from camphorgated.serving.events import EventStream
from camphorgated.serving.exchange import CUT, Exchange
from camphorgated.serving.generation import Generation

# A stream is stalled after this many times its route's longest declared gap without an
# event; callers disconnect after eight, according to the users' documentation.
STALL_GAP_MULTIPLE = 8.0
# Minimum stall timeout, as an engine may prefill another prompt first.
MIN_STALL_SECONDS = 1.2
# Factor of the stall timeout while the engine sends events of other requests.
BUSY_ENGINE_STALL_FACTOR = 2.0
# Body data is processed in slices of this size, so that a large piece does not delay
# other requests.
SLICE_BYTES = 16_384
# Cause of an attempt whose response was complete but ended within an event.
TRUNCATED = "truncated"


class Streaming:
    """Forwards events and counts usage of started runs."""

    __slots__ = ("_app", "_platform", "_gossip", "_speeds")

    def __init__(self, app: Application) -> None:
        """Use the shared state."""
        self._app = app
        self._platform = app.service("dialect")
        self._gossip = app.service("gossip")
        self._speeds = app.service("speeds")

    async def pass_on(self, generation: Generation, exchange: Exchange) -> None:
        """Forward events as they arrive, until the response ends.

        :raises ExchangeError: if the response is truncated or stalls.
        """
        events = EventStream(generation.stream.last_id)
        generation.stream = events
        pace = self._speeds.measure_steps(generation, exchange.upstream)
        while piece := await self._next_piece(generation, exchange):
            self.count(generation)
            for start in range(0, len(piece), SLICE_BYTES):
                whole = events.feed(piece[start : start + SLICE_BYTES])
                if whole:
                    pace.record_events(events.progress)
                    self._pass(generation, exchange, whole)
                    await generation.context.caller.drain()
                self._check(events)
                exchange.hold(len(events.rest))
                if start:
                    await asyncio.sleep(0)
        if events.rest:
            cause = TRUNCATED if exchange.framed else CUT
            raise ExchangeError("the last event is truncated", Stage.SENT, cause)
        pace.end()
        self._begin(generation, exchange)
        generation.context.caller.end_stream()

    @staticmethod
    def _check(events: EventStream) -> None:
        """Check that the bytes after the forwarded events belong to the stream.

        :raises ExchangeError: if they do not.
        """
        try:
            events.raise_for_error()
        except EventTooLarge as error:
            raise ExchangeError(error.message, Stage.SENT, "endless") from None
        except MalformedEvent as error:
            raise ExchangeError(error.message, Stage.SENT, "garbled") from None

    async def _next_piece(self, generation: Generation, exchange: Exchange) -> bytes:
        """Return the next bytes of the body, ``b""`` at its end.

        :raises ExchangeError: if the response is truncated or stalls.
        """
        context = generation.context
        now = self._app.clock.monotonic()
        progress = generation.stream.progress
        if progress != generation.progress_seen:
            generation.progress_seen = progress
            generation.progressed_at = now
            self._health(exchange).progressed_at = now
        seconds = max(0.01, context.seconds_left(now))
        if not (context.route.repeatable() and generation.attempts.may_send()):
            return await exchange.read_piece(seconds)
        while True:
            now = self._app.clock.monotonic()
            stalled_at = self._stalled_at(generation, exchange)
            until = min(stalled_at, now + max(0.01, context.seconds_left(now)))
            try:
                async with asyncio.timeout(max(0.0, until - now)):
                    return await exchange.read_piece(seconds)
            except TimeoutError:
                now = self._app.clock.monotonic()
                if (
                    now < self._stalled_at(generation, exchange)
                    and context.seconds_left(now) > 0
                ):
                    # Events of other requests from the engine extend the timeout.
                    continue
                raise ExchangeError(
                    f"{exchange.upstream.id}: the stream stalled",
                    Stage.SENT,
                    "stalled",
                ) from None

    def _stalled_at(self, generation: Generation, exchange: Exchange) -> float:
        """Return the monotonic time at which the stream has stalled."""
        gap = generation.context.route.gap_seconds
        seconds = max(MIN_STALL_SECONDS, STALL_GAP_MULTIPLE * gap)
        since = generation.progressed_at
        if self._health(exchange).progressed_at > since:
            seconds *= BUSY_ENGINE_STALL_FACTOR
        return since + seconds

    def _health(self, exchange: Exchange) -> Health:
        return self._gossip.health.of(exchange.upstream.incarnation)

    def _pass(self, generation: Generation, exchange: Exchange, whole: bytes) -> None:
        context = generation.context
        now = self._app.clock.monotonic()
        if generation.passed_at is not None:
            gap = (now - generation.passed_at) * 1000
            longest = context.decisions.get("longest_gap_ms", 0.0)
            context.decisions["longest_gap_ms"] = max(gap, longest)
        generation.passed_at = now
        self._begin(generation, exchange)
        context.caller.stream(whole)

    def _begin(self, generation: Generation, exchange: Exchange) -> None:
        caller = generation.context.caller
        if not caller.begun:
            now = self._app.clock.monotonic()
            generation.context.decisions["first_ms"] = (
                now - generation.context.request.read_at
            ) * 1000
            headers = self._platform.caller_headers(exchange.headers)
            caller.begin_stream(exchange.facts.status, headers)

    def count(self, generation: Generation) -> None:
        """Count the run for usage, once per request."""
        workspace = generation.context.workspace
        if workspace is not None and not generation.counted:
            generation.counted = True
            self._gossip.usage.count(workspace.name, self._gossip.synchronized_now())
