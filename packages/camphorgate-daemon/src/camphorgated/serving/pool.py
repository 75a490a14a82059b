"""Connections to upstreams: kept, bounded, and never reused after a fault."""

import asyncio
from collections import deque

from camphorgate.clock import Clock
from camphorgate.serving.catalog import Stage, Upstream
from camphorgate.settings import split_address
from camphorgated.serving.client_connection import ClientConnection, connect
from camphorgated.serving.errors import ExchangeError

# Connections within a region open within a few ms; a lost packet costs a second.
CONNECT_SECONDS = 0.25
# An idle connection is used again for less than this part of the time that its server
# keeps it.
KEPT_PART = 0.7
# Where the server does not say how long it keeps an idle connection.
DEFAULT_KEEP_SECONDS = 4.0
# What may not be repeated goes only on a connection that was used this recently.
SURE_SECONDS = 0.8
SWEEP_SECONDS = 1.0
# The part of an upstream's connections that the instances together may use.
USED_PART = 0.8


class Lease:
    """One connection that is in use for one exchange."""

    __slots__ = ("connection", "upstream", "reused")

    def __init__(
        self, connection: ClientConnection, upstream: Upstream, reused: bool
    ) -> None:
        """Keep the connection and whether it carried requests before."""
        self.connection = connection
        self.upstream = upstream
        self.reused = reused


class Pool:
    """Connections by start of an upstream."""

    __slots__ = (
        "opened",
        "_clock",
        "_idle_by_incarnation",
        "_used_by_incarnation",
        "_keep_by_incarnation",
    )

    def __init__(self, clock: Clock) -> None:
        """Start without connections."""
        self.opened = 0
        self._clock = clock
        self._idle_by_incarnation: dict[tuple, deque[ClientConnection]] = {}
        self._used_by_incarnation: dict[tuple, int] = {}
        self._keep_by_incarnation: dict[tuple, float] = {}

    async def take(self, upstream: Upstream, most: int, sure: bool) -> Lease:
        """Return a connection for one exchange.

        :param most: bound on this instance's connections to the upstream.
        :param sure: it must be known to be open.
        :raises ExchangeError: if none can be had; nothing was sent.
        """
        incarnation = upstream.incarnation
        now = self._clock.monotonic()
        idle = self._idle_by_incarnation.get(incarnation)
        keep = self._keep_seconds(incarnation)
        limit = min(keep, SURE_SECONDS) if sure else keep
        while idle:
            connection = idle[-1]
            if connection.usable and now - connection.idle_since < limit:
                idle.pop()
                self._used_by_incarnation[incarnation] = (
                    self._used_by_incarnation.get(incarnation, 0) + 1
                )
                return Lease(connection, upstream, True)
            if connection.usable and now - connection.idle_since < keep:
                # Still good for others.
                break
            idle.pop()
            connection.close()
        used = self._used_by_incarnation.get(incarnation, 0)
        if used >= most:
            raise ExchangeError(
                f"{used} connections to {upstream.id} are in use",
                Stage.NOT_SENT,
                "connections",
            )
        if idle and used + len(idle) >= most:
            idle.popleft().close()
        self._used_by_incarnation[incarnation] = used + 1
        host, port = split_address(upstream.address)
        try:
            connection = await connect(host, port, CONNECT_SECONDS)
        except (OSError, TimeoutError) as error:
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
        """Tell whether a connection to an upstream is open and idle."""
        return bool(self._idle_by_incarnation.get(incarnation))

    def give_back(self, lease: Lease, keep_seconds: float | None) -> None:
        """Keep a connection whose exchange ended well, else close it.

        :param keep_seconds: how long the server says that it keeps it.
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
        """Close a connection whose exchange did not end well."""
        self._release(lease.upstream.incarnation)
        lease.connection.close()

    def keep_only(self, incarnations: set[tuple]) -> None:
        """Close the idle connections to upstreams that take no more requests."""
        for incarnation in self._idle_by_incarnation.keys() - incarnations:
            for connection in self._idle_by_incarnation.pop(incarnation):
                connection.close()
            self._keep_by_incarnation.pop(incarnation, None)

    async def sweep(self) -> None:
        """Close connections that have been idle for too long, for ever."""
        while True:
            await asyncio.sleep(SWEEP_SECONDS)
            now = self._clock.monotonic()
            for incarnation, idle in self._idle_by_incarnation.items():
                keep = self._keep_seconds(incarnation)
                while idle and (not idle[0].usable or now - idle[0].idle_since >= keep):
                    idle.popleft().close()

    def _keep_seconds(self, incarnation: tuple) -> float:
        """Return how long an idle connection is used again."""
        kept = self._keep_by_incarnation.get(incarnation, DEFAULT_KEEP_SECONDS)
        return kept * KEPT_PART

    def _release(self, incarnation: tuple) -> None:
        used = self._used_by_incarnation.get(incarnation, 1) - 1
        if used:
            self._used_by_incarnation[incarnation] = used
        else:
            self._used_by_incarnation.pop(incarnation, None)
