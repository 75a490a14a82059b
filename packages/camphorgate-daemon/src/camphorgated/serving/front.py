"""Accepts callers' connections and dispatches their requests.

Provides ``front``. Each connection has one task; each request is handled in a task of
its own, which is cancelled as soon as the caller disconnects.
"""

import asyncio
import itertools
import math
import random
from collections.abc import Callable

from camphorgate.application import Application
from camphorgate.log import log_event
from camphorgate.serving.catalog import Catalog, Kind, Limits, Route, Workspace
from camphorgate.serving.memory_budget import LEAST_URGENT, PART_BYTES
from camphorgate.serving.route_durations import RouteDurations
from camphorgate.settings import split_address
from camphorgated.errors import ListenError
from camphorgated.serving.caller import Caller
from camphorgated.serving.errors import BadRequest, MemoryFull
from camphorgated.serving.memory import retry_seconds
from camphorgated.serving.platform_protocol import RequestFacts
from camphorgated.serving.server_connection import Request, ServerConnection

# The retry-after of refusals before the first configuration is loaded.
UNCONFIGURED_RETRY_SECONDS = 0.5
# Request timeout where the caller states none; the timeout of the route bounds it.
DEFAULT_SECONDS = 30.0
# The final response is sent this long before the deadline of the caller or the route,
# so that it still arrives in time.
ANSWER_SECONDS = 0.01
# The platform routes new callers here for up to this long after the instance reports
# that it is not ready. Requests accepted later may not complete before the platform
# kills the process.
DRAIN_ACCEPT_SECONDS = 2.7
# Where the grace is short, requests are accepted for this part of it.
MAX_ACCEPT_FRACTION = 0.34
# Margin before the platform kills a stopping process.
GRACE_MARGIN_SECONDS = 0.6
BACKLOG = 512


class RequestContext:
    """A request in progress with its parsed facts, route and deadline."""

    __slots__ = (
        "caller",
        "request",
        "facts",
        "route",
        "service",
        "workspace",
        "rank",
        "version",
        "deadline",
        "decisions",
        "permit_draw",
        "permit_requests",
        "refused_permits",
        "_ends_at",
        "_needed_seconds",
    )

    def __init__(
        self,
        caller: Caller,
        facts: RequestFacts,
        route: Route,
        service: str,
        workspace: Workspace | None,
        rank: int,
        version: int,
        ends_at: Callable[[], float] = lambda: math.inf,
        needed_seconds: Callable[[Route], float] = lambda route: 0.0,
    ) -> None:
        """Compute the deadline.

        :param rank: priority; 0 is the most urgent.
        :param version: version of the configuration that admitted the request.
        :param ends_at: returns the monotonic time by which requests must complete
            because this process exits.
        :param needed_seconds: returns the time that a request of a route needs.
        """
        self.caller = caller
        self.request = caller.request
        self.facts = facts
        self.route = route
        self.service = service
        self.workspace = workspace
        self.rank = rank
        self.version = version
        self._ends_at = ends_at
        self._needed_seconds = needed_seconds
        # Routing decisions and measurements, logged with the response.
        self.decisions: dict[str, object] = {}
        # Requests for permits to send to upstreams with a limit: a random number, how
        # many were made, and the upstreams that had none.
        self.permit_draw = random.random()
        self.permit_requests = 0
        self.refused_permits: set[str] = set()
        seconds = (
            facts.timeout_seconds
            if facts.timeout_seconds is not None
            else DEFAULT_SECONDS
        )
        read_at = self.request.read_at
        self.deadline = read_at + min(seconds, route.timeout_seconds) - ANSWER_SECONDS

    def seconds_left(self, now: float) -> float:
        """Return the seconds until the deadline, or until this process exits."""
        return min(self.deadline, self._ends_at()) - now

    def cut_by_stop(self, now: float) -> bool:
        """Return whether this process may exit before the request can end."""
        left = self._ends_at() - now
        return left < math.inf and left < self._needed_seconds(self.route)

    @property
    def workspace_name(self) -> str | None:
        """Return the name of the workspace that owns the API key."""
        return self.workspace.name if self.workspace else None


class Front:
    """Listening sockets, open connections and readiness of this instance."""

    __slots__ = (
        "stopping",
        "ends_at",
        "_app",
        "_platform",
        "_directory",
        "_connections",
        "_work_by_connection",
        "_servers",
        "_admitted",
        "_statistics",
        "_spread",
        "_durations",
        "_memory",
    )

    def __init__(self, app: Application) -> None:
        """Initialize without opening sockets."""
        self.stopping = False
        # Monotonic time by which every request must be answered.
        self.ends_at = math.inf
        self._app = app
        self._platform = app.service("dialect")
        self._directory = app.service("directory")
        # Connections that are not lost yet: after a close, what was written last may
        # still be under way to a slow caller.
        self._connections: set[ServerConnection] = set()
        self._work_by_connection: dict[
            ServerConnection, tuple[asyncio.Future, Caller]
        ] = {}
        self._servers: list[asyncio.Server] = []
        self._admitted = 0
        self._statistics = app.service("statistics")
        self._spread = itertools.count()
        self._durations = RouteDurations()
        self._memory = app.service("memory")

    async def start(self) -> None:
        """Listen for callers and for the platform's readiness checks.

        :raises ListenError: if an address cannot be used.
        """
        settings = self._app.settings
        await self._listen(settings.caller_address, self._serve_caller, self._rank)
        await self._listen(
            settings.ready_address, self._serve_readiness, lambda head: LEAST_URGENT
        )

    async def _listen(
        self, address: str, serve, rank_of: Callable[[Request], int]
    ) -> None:
        def made(connection: ServerConnection) -> None:
            self._app.spawn(serve(connection), "connection")

        def build() -> ServerConnection:
            return ServerConnection(
                made, self._app.clock, self._limits, self._memory, rank_of
            )

        host, port = split_address(address)
        loop = asyncio.get_running_loop()
        try:
            server = await loop.create_server(build, host, port, backlog=BACKLOG)
        except OSError as error:
            raise ListenError(f"cannot listen on {address}: {error}") from None
        self._servers.append(server)

    def _limits(self) -> Limits:
        catalog = self._directory.catalog
        return catalog.limits if catalog else Limits()

    def _rank(self, head: Request) -> int:
        """Return the priority of a request whose body is still arriving."""
        catalog: Catalog | None = self._directory.catalog
        if catalog is None:
            return LEAST_URGENT
        facts = self._platform.read_request(head)
        path = head.target.partition(b"?")[0].decode("latin-1")
        route = catalog.match(facts.host, path)
        if route is None:
            return LEAST_URGENT
        workspace = catalog.workspaces_by_key.get(facts.key or "")
        if catalog.keyed and not route.public and workspace is None:
            return LEAST_URGENT
        return catalog.rank(route, None if route.public else workspace)

    def idle(self) -> bool:
        """Return whether no request has been admitted since the start."""
        return not self._admitted

    def ready(self) -> bool:
        """Return whether this instance should receive new callers."""
        return not self.stopping and self._directory.catalog is not None

    async def _serve_readiness(self, connection: ServerConnection) -> None:
        try:
            while True:
                request = await connection.next_request(60.0)
                if request is None:
                    break
                caller = Caller(connection, request)
                path = request.target.partition(b"?")[0]
                if path != self._platform.ready_path:
                    caller.refuse(404, "route_unknown")
                elif self.ready():
                    caller.respond(200, [], b"{}")
                else:
                    caller.refuse(503, "not_ready")
                if caller.closing:
                    break
        except BadRequest as error:
            self._refuse_malformed(connection, error)
        finally:
            connection.release_request()
            connection.close()

    async def _serve_caller(self, connection: ServerConnection) -> None:
        self._connections.add(connection)
        connection.left.add_done_callback(
            lambda _: self._connections.discard(connection)
        )
        try:
            while await self._serve_one(connection):
                pass
        finally:
            connection.release_request()
            connection.close()

    async def _serve_one(self, connection: ServerConnection) -> bool:
        limits = self._limits()
        try:
            request = await connection.next_request(limits.idle_seconds)
        except BadRequest as error:
            self._refuse_malformed(connection, error)
            return False
        if request is None:
            return False
        caller = Caller(connection, request, lambda: self.stopping)
        work = asyncio.ensure_future(self._answer(caller))
        self._work_by_connection[connection] = (work, caller)
        try:
            await asyncio.wait(
                {work, connection.left}, return_when=asyncio.FIRST_COMPLETED
            )
            if not work.done() and not caller.must_complete:
                work.cancel()
                await asyncio.wait({work})
                self._statistics.caller_left()
                return False
            await asyncio.wait({work})
            if not work.cancelled() and work.exception() is not None:
                self._failed(caller, work.exception())
        except asyncio.CancelledError:
            work.cancel()
            raise
        finally:
            self._work_by_connection.pop(connection, None)
        return not caller.closing and caller.ended

    def _refuse_malformed(
        self, connection: ServerConnection, error: BadRequest
    ) -> None:
        """Refuse a request that was not read completely."""
        empty = Request(connection.partial_method, b"/", [], b"", False)
        Caller(connection, empty).refuse(error.status, error.code, error.retry_after)
        self._statistics.request_line(
            "request_malformed", status=error.status, error=error.message
        )

    def _failed(self, caller: Caller, error: BaseException) -> None:
        log_event("request_failed", level="ERROR", error=repr(error))
        if caller.begun:
            caller.abort()
        else:
            caller.refuse(502, "internal_error")

    async def _answer(self, caller: Caller) -> None:
        context = self._admit(caller)
        if context is None:
            return
        if context.route.generates and context.route.kind is Kind.STREAM:
            worker = self._app.service("generations")
        else:
            worker = self._app.service("calls")
        started = self._app.clock.monotonic()
        await worker.run(context)
        seconds = self._app.clock.monotonic() - started
        if caller.ended and caller.status == 200:
            self._durations.record(context.route, seconds)
        self._statistics.finished(context, seconds)

    def _admit(self, caller: Caller) -> RequestContext | None:
        """Match route and workspace, or send an error response if there is none."""
        catalog: Catalog | None = self._directory.catalog
        if catalog is None:
            caller.refuse(503, "configuration_unknown", UNCONFIGURED_RETRY_SECONDS)
            return None
        facts = self._platform.read_request(caller.request)
        parts_bytes = len(facts.parts) * PART_BYTES
        if parts_bytes and not caller.charge_parts(parts_bytes):
            self._memory.count_refusal("parts")
            caller.refuse(503, MemoryFull.code, retry_seconds())
            return None
        facts = facts.with_bounded_names()
        path = caller.request.target.partition(b"?")[0].decode("latin-1")
        route = catalog.match(facts.host, path)
        if route is None:
            return self._refuse(caller, 404, "route_unknown", facts, catalog)
        workspace = None
        if catalog.keyed and not route.public:
            workspace = catalog.workspaces_by_key.get(facts.key or "")
            if workspace is None:
                return self._refuse(caller, 401, "key_unknown", facts, catalog)
        service = self._pick_backend(route)
        rank = catalog.rank(route, workspace)
        self._admitted += 1
        return RequestContext(
            caller,
            facts,
            route,
            service,
            workspace,
            rank,
            catalog.version,
            lambda: self.ends_at,
            self._durations.needed_seconds,
        )

    def _refuse(
        self,
        caller: Caller,
        status: int,
        reason: str,
        facts: RequestFacts,
        catalog: Catalog,
    ) -> None:
        """Refuse a request whose route or key is not in the active configuration."""
        caller.refuse(status, reason)
        self._statistics.request_line(
            "request_refused",
            attempt=facts.attempt,
            reason=reason,
            version=catalog.version,
        )

    def _pick_backend(self, route: Route) -> str:
        """Return a backend service, distributing requests evenly by weight."""
        if len(route.backends) == 1:
            return route.backends[0][0]
        total = sum(weight for _, weight in route.backends)
        # Steps of the golden ratio cover the interval evenly over any run of requests.
        point = (next(self._spread) * 0.6180339887) % 1.0 * total
        for service, weight in route.backends:
            point -= weight
            if point < 0:
                return service
        return route.backends[-1][0] if route.backends else ""

    async def drain(self) -> None:
        """Finish requests in progress; responses tell callers to reconnect."""
        self.stopping = True
        clock = self._app.clock
        began = clock.monotonic()
        grace = self._app.settings.times.grace_seconds
        last = began + grace - GRACE_MARGIN_SECONDS
        self.ends_at = last - ANSWER_SECONDS
        log_event(
            "draining",
            active=len(self._work_by_connection),
            connections=len(self._connections),
        )
        await asyncio.sleep(min(DRAIN_ACCEPT_SECONDS, grace * MAX_ACCEPT_FRACTION))
        for server in self._servers:
            server.close()
        # Also serve connections that were accepted while the sockets were closing.
        await asyncio.sleep(0)
        while clock.monotonic() < last:
            # A caller that sends a request while its idle connection is closing sees
            # that the request was not read. A partly received request is read to its
            # end and answered, as are those that were read behind others.
            for connection in list(self._connections):
                if not connection.receiving:
                    if connection not in self._work_by_connection:
                        connection.close()
                elif connection in self._work_by_connection:
                    connection.end_reading()
            # A booking goes on although its caller has left.
            if not (self._connections or self._work_by_connection):
                break
            await asyncio.sleep(0.02)
        if self._work_by_connection:
            log_event(
                "cut_at_stop", level="WARNING", active=len(self._work_by_connection)
            )
            await self._end_work()
        for connection in list(self._connections):
            connection.close()

    async def _end_work(self) -> None:
        """Respond to requests that ran out of time; their outcome is unknown."""
        in_flight = list(self._work_by_connection.values())
        for work, _ in in_flight:
            work.cancel()
        for work, caller in in_flight:
            await asyncio.wait({work})
            if not caller.begun:
                caller.refuse(504, "outcome_unknown")
            elif not caller.ended:
                caller.abort()

    def dump(self) -> dict:
        """Return the state for the operator dump."""
        return {
            "stopping": self.stopping,
            "active": len(self._work_by_connection),
            "connections": len(self._connections),
        }


def setup(app: Application) -> None:
    """Provide ``front`` and start it after all other services."""
    front = Front(app)
    app.provide("front", front)
    app.add_dump_section("front", front.dump)
    app.on_start(front.start)
