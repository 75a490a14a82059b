"""Connection pool for upstreams: bounded, and never reuses a failed connection."""

import asyncio
from collections import deque
from collections.abc import Set

from camphorgate.clock import Clock
from camphorgate.serving.catalog import Stage, Upstream
from camphorgate.settings import split_address
from camphorgated.serving.client_connection import ClientConnection, connect
from camphorgated.serving.errors import ExchangeError

# Connections within a region open within a few ms; a lost packet costs a second.
CONNECT_SECONDS = 0.25
# An idle connection is reused for less than this fraction of its server's keep-alive
# timeout.
KEEP_ALIVE_FRACTION = 0.7
# Keep-alive timeout where the server states none.
DEFAULT_KEEP_SECONDS = 4.0
# A non-repeatable request reuses a connection only if it was idle for less than this.
MAX_IDLE_NON_REPEATABLE_SECONDS = 0.8
SWEEP_SECONDS = 1.0
# The fraction of an upstream's connections that all instances together may use.
MAX_USED_CONNECTION_FRACTION = 0.8


class Lease:
    """A connection in use by one exchange."""

    __slots__ = ("connection", "upstream", "reused")

    def __init__(
        self, connection: ClientConnection, upstream: Upstream, reused: bool
    ) -> None:
        """Keep the connection and whether it carried requests before."""
        self.connection = connection
        self.upstream = upstream
        self.reused = reused


class Pool:
    """Connections by upstream incarnation."""

    __slots__ = (
        "opened",
        "_clock",
        "_idle_by_incarnation",
        "_used_by_incarnation",
        "_keep_by_incarnation",
    )

    def __init__(self, clock: Clock) -> None:
        """Initialize without connections."""
        self.opened = 0
        self._clock = clock
        self._idle_by_incarnation: dict[tuple, deque[ClientConnection]] = {}
        self._used_by_incarnation: dict[tuple, int] = {}
        self._keep_by_incarnation: dict[tuple, float] = {}

    async def take(
        self,
        upstream: Upstream,
        max_connections: int,
        recently_used: bool,
        carried: Set[ClientConnection] = frozenset(),
    ) -> Lease:
        """Return a connection for one exchange.

        :param max_connections: bound on this instance's connections to the upstream.
        :param recently_used: for non-repeatable requests; reuse only recent
            connections.
        :param carried: connections that carried the same request before and are not
            reused for it.
        :raises ExchangeError: if none is available; nothing was sent.
        """
        incarnation = upstream.incarnation
        now = self._clock.monotonic()
        idle = self._idle_by_incarnation.get(incarnation)
        keep = self._keep_seconds(incarnation)
        limit = min(keep, MAX_IDLE_NON_REPEATABLE_SECONDS) if recently_used else keep
        while idle:
            connection = idle[-1]
            if connection in carried:
                idle.pop().close()
                continue
            if connection.usable and now - connection.idle_since < limit:
                idle.pop()
                self._used_by_incarnation[incarnation] = (
                    self._used_by_incarnation.get(incarnation, 0) + 1
                )
                return Lease(connection, upstream, True)
            if connection.usable and now - connection.idle_since < keep:
                # Still reusable for repeatable requests.
                break
            idle.pop()
            connection.close()
        used = self._used_by_incarnation.get(incarnation, 0)
        if used >= max_connections:
            raise ExchangeError(
                f"{used} connections to {upstream.id} are in use",
                Stage.NOT_SENT,
                "connections",
            )
        if idle and used + len(idle) >= max_connections:
            idle.popleft().close()
        self._used_by_incarnation[incarnation] = used + 1
        host, port = split_address(upstream.address)
        try:
            connection = await connect(host, port, CONNECT_SECONDS)
        except (OSError, TimeoutError, ValueError) as error:
            self._release(incarnation)
            raise ExchangeError(
                f"cannot connect to {upstream.id}: {error!r}", Stage.NOT_SENT, "connect"
            ) from None
        except BaseException:
            self._release(incarnation)
            raise
        self.opened += 1
        return Lease(connection, upstream, False)

    def connected(self, incarnation: tuple) -> bool:
        """Return whether an idle connection to an upstream is open."""
        return bool(self._idle_by_incarnation.get(incarnation))

    def give_back(self, lease: Lease, keep_seconds: float | None) -> None:
        """Return a connection after a complete exchange; close it if not reusable.

        :param keep_seconds: the keep-alive timeout that the server states.
        """
        incarnation = lease.upstream.incarnation
        self._release(incarnation)
        connection = lease.connection
        if not connection.finish():
            connection.close()
            return
        if keep_seconds is not None:
            self._keep_by_incarnation[incarnation] = keep_seconds
        connection.idle_since = self._clock.monotonic()
        self._idle_by_incarnation.setdefault(incarnation, deque()).append(connection)

    def discard(self, lease: Lease) -> None:
        """Close a connection whose exchange did not complete."""
        self._release(lease.upstream.incarnation)
        lease.connection.close()

    def keep_only(self, incarnations: set[tuple]) -> None:
        """Close the idle connections to upstreams that accept no more requests."""
        for incarnation in self._idle_by_incarnation.keys() - incarnations:
            for connection in self._idle_by_incarnation.pop(incarnation):
                connection.close()
            self._keep_by_incarnation.pop(incarnation, None)

    async def sweep(self) -> None:
        """Close expired idle connections periodically; never returns."""
        while True:
            await asyncio.sleep(SWEEP_SECONDS)
            now = self._clock.monotonic()
            for incarnation, idle in self._idle_by_incarnation.items():
                keep = self._keep_seconds(incarnation)
                while idle and (not idle[0].usable or now - idle[0].idle_since >= keep):
                    idle.popleft().close()

    def _keep_seconds(self, incarnation: tuple) -> float:
        """Return how long an idle connection may be reused."""
        kept = self._keep_by_incarnation.get(incarnation, DEFAULT_KEEP_SECONDS)
        return kept * KEEP_ALIVE_FRACTION

    def _release(self, incarnation: tuple) -> None:
        used = self._used_by_incarnation.get(incarnation, 1) - 1
        if used:
            self._used_by_incarnation[incarnation] = used
        else:
            self._used_by_incarnation.pop(incarnation, None)
