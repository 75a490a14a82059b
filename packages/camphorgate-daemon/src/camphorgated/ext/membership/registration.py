"""Chooses the incarnation and registers this instance in the roster in KV."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec

from camphorgate.clock import Clock
from camphorgate.kv.errors import KvConflict, KvError
from camphorgate.kv.rate_limit import Priority
from camphorgate.log import log_event
from camphorgated.ext.membership.records import (
    ROSTER_PREFIX,
    RosterEntry,
    build_replacement,
    decode_entry,
)

# How long startup waits for KV before it chooses the incarnation without KV.
START_TIMEOUT_SECONDS = 3.0
MIN_RETRY_DELAY_SECONDS = 1.0
MAX_RETRY_DELAY_SECONDS = 30.0


class Registration:
    """The roster entry of this run of the daemon."""

    __slots__ = ("entry", "registered", "_kv", "_random", "_revision")

    def __init__(self, entry: RosterEntry, kv: Any, generator: random.Random) -> None:
        """Store the entry; nothing is written to KV yet.

        :param entry: its incarnation is replaced by the chosen one.
        """
        self.entry = entry
        self.registered = False
        self._kv = kv
        self._random = generator
        self._revision = 0

    async def start(
        self, clock: Clock, query_peers: Callable[[], Awaitable[int]]
    ) -> int:
        """Choose the incarnation, and register it if KV answers in time.

        The incarnation is the wall clock in milliseconds, which increases across
        restarts. If the clock went back, KV or else a peer knows a higher incarnation,
        and that plus one is used. A running process never changes its incarnation: a
        higher one would look like a restart, which other instances take as proof that
        its orders in flight are dead.

        :param ask_peers: returns the highest incarnation of this instance that a peer
            knows, 0 for none; asked if KV does not answer.
        :returns: the incarnation.
        """
        self._set_incarnation(int(clock.now().timestamp() * 1000))
        try:
            async with asyncio.timeout(START_TIMEOUT_SECONDS):
                await self.write(may_raise_incarnation=True)
        except (KvError, TimeoutError) as error:
            log_event("registration_postponed", level="WARNING", error=repr(error))
            self._set_incarnation(max(self.entry.incarnation, 1 + await query_peers()))
        return self.entry.incarnation

    async def write(self, may_raise_incarnation: bool = False) -> None:
        """Write the entry, replacing the stored one.

        :param raise_above: whether this instance may still choose a higher incarnation.
        :raises KvError: if the entry cannot be written now.
        """
        key = ROSTER_PREFIX + self.entry.instance_id
        found = await self._kv.get(key, Priority.BACKGROUND)
        stored = decode_entry(found.value) if found else None
        if stored is not None and stored.incarnation > self.entry.incarnation:
            if not may_raise_incarnation:
                raise KvConflict(f"{key} holds a higher incarnation")
            self._set_incarnation(stored.incarnation + 1)
        entry = build_replacement(self.entry, stored)
        if stored == entry:
            self.registered = True
            return
        revision = found.mod_revision if found else 0
        value = msgspec.json.encode(entry)
        await self._kv.replace(key, value, revision, Priority.BACKGROUND)
        self.entry = entry
        self.registered = True

    async def retry_until_registered(self) -> None:
        """Retry until the entry is registered, with growing jittered delays."""
        delay = MIN_RETRY_DELAY_SECONDS
        while not self.registered:
            try:
                await self.write()
            except KvError:
                await asyncio.sleep(delay * self._random.uniform(0.5, 1.0))
                delay = min(MAX_RETRY_DELAY_SECONDS, delay * 2)

    async def set_copy_holders(self, copy_holders: tuple[str, ...]) -> None:
        """Record which instances hold copies of the current usage.

        :raises KvError: if the entry cannot be written now.
        """
        self.entry = msgspec.structs.replace(self.entry, copy_holders=copy_holders)
        self.registered = False
        await self.write()

    def _set_incarnation(self, incarnation: int) -> None:
        self.entry = msgspec.structs.replace(self.entry, incarnation=incarnation)
