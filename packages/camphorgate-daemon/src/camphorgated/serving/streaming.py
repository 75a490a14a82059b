"""Passes the events of an engine on to the caller, and tells slow from stalled.

Progress is an event with data, not a byte: a stream that sends a comment now and then
stands still. How long a stream may stand still follows the pause that its route
declares. An engine that meanwhile sends the events of other requests has put this one
back rather than died, so it is given more time. Only a stream that may go on elsewhere
is ended for standing still; every other one has until its deadline.
"""

import asyncio

from camphorgate.application import Application
from camphorgate.serving.catalog import Stage
from camphorgate.serving.health import Health
from camphorgated.serving.errors import EndlessEvent, ExchangeError
from camphorgated.serving.events import EventStream
from camphorgated.serving.exchange import Exchange
from camphorgated.serving.generation import Generation

# A stream stands still after this many of its route's longest pauses without an event;
# callers leave after eight (users' page).
STALLED_PAUSES = 8.0
# At least this long, as an engine may read another prompt first.
LEAST_STALLED_SECONDS = 1.2
# The time counts so many times where the engine sends events of other requests.
BUSY_FACTOR = 2.0
# Events are passed on in slices of this size, so that a large piece of a body does not
# hold up other requests.
SLICE_BYTES = 16_384


class Streaming:
    """Passes events on, and counts the runs that began."""

    __slots__ = ("_app", "_dialect", "_gossip")

    def __init__(self, app: Application) -> None:
        """Use the shared state."""
        self._app = app
        self._dialect = app.service("dialect")
        self._gossip = app.service("gossip")

    async def pass_on(self, generation: Generation, exchange: Exchange) -> None:
        """Pass the events on as they arrive, to the end of the answer.

        :raises ExchangeError: if the answer breaks off or stands still.
        """
        events = EventStream(generation.stream.last_id)
        generation.stream = events
        while piece := await self._next_piece(generation, exchange):
            self.count(generation)
            for start in range(0, len(piece), SLICE_BYTES):
                try:
                    whole = events.feed(piece[start : start + SLICE_BYTES])
                except EndlessEvent as error:
                    raise ExchangeError(error.message, Stage.SENT, "endless") from None
                if whole:
                    self._pass(generation, exchange, whole)
                    await generation.job.caller.drain()
                if start:
                    await asyncio.sleep(0)
        if events.rest and not exchange.framed:
            # Its connection ended in the middle of an event.
            raise ExchangeError("the last event is torn", Stage.SENT, "cut")
        self._begin(generation, exchange)
        if events.rest:
            generation.job.caller.stream(events.rest)
        generation.job.caller.end_stream()

    async def _next_piece(self, generation: Generation, exchange: Exchange) -> bytes:
        """Return the next bytes, ``b""`` at the end.

        :raises ExchangeError: if the answer breaks off or stands still.
        """
        job = generation.job
        now = self._app.clock.monotonic()
        progress = generation.stream.progress
        if progress != generation.progress_seen:
            generation.progress_seen = progress
            generation.progressed_at = now
            self._health(exchange).progressed_at = now
        seconds = max(0.01, job.left(now))
        if not (job.route.repeatable() and generation.tries.may_send()):
            return await exchange.read_piece(seconds)
        while True:
            now = self._app.clock.monotonic()
            stalled_at = self._stalled_at(generation, exchange)
            until = min(stalled_at, now + max(0.01, job.left(now)))
            try:
                async with asyncio.timeout(max(0.0, until - now)):
                    return await exchange.read_piece(seconds)
            except TimeoutError:
                now = self._app.clock.monotonic()
                if now < self._stalled_at(generation, exchange) and job.left(now) > 0:
                    # The engine has sent events of other requests meanwhile.
                    continue
                raise ExchangeError(
                    f"{exchange.upstream.id}: the stream stands still",
                    Stage.SENT,
                    "stalled",
                ) from None

    def _stalled_at(self, generation: Generation, exchange: Exchange) -> float:
        """Return when a stream counts as standing still, by the steady clock."""
        gap = generation.job.route.gap_seconds
        seconds = max(LEAST_STALLED_SECONDS, STALLED_PAUSES * gap)
        since = generation.progressed_at
        if self._health(exchange).progressed_at > since:
            seconds *= BUSY_FACTOR
        return since + seconds

    def _health(self, exchange: Exchange) -> Health:
        return self._gossip.health.of(exchange.upstream.incarnation)

    def _pass(self, generation: Generation, exchange: Exchange, whole: bytes) -> None:
        job = generation.job
        now = self._app.clock.monotonic()
        if generation.passed_at is not None:
            gap = (now - generation.passed_at) * 1000
            longest = job.decisions.get("longest_gap_ms", 0.0)
            job.decisions["longest_gap_ms"] = max(gap, longest)
        generation.passed_at = now
        self._begin(generation, exchange)
        job.caller.stream(whole)

    def _begin(self, generation: Generation, exchange: Exchange) -> None:
        caller = generation.job.caller
        if not caller.begun:
            now = self._app.clock.monotonic()
            generation.job.decisions["first_ms"] = (
                now - generation.job.request.read_at
            ) * 1000
            headers = self._dialect.caller_headers(exchange.headers)
            caller.begin_stream(exchange.facts.status, headers)

    def count(self, generation: Generation) -> None:
        """Count the start of the run, once a request."""
        workspace = generation.job.workspace
        if workspace is not None and not generation.counted:
            generation.counted = True
            self._gossip.usage.count(workspace.name, self._gossip.true_now())
