"""Simulates instances that elect the holder of a duty, in virtual time.

The instances run their real membership against a simulated store. Killed instances
start again as new processes, without anything that the earlier ones knew. The platform
checks no fencing numbers and records every call.
"""

import asyncio
import itertools
import random
from types import SimpleNamespace
from typing import NamedTuple
from unittest import mock

from camphorgate.kv.errors import KvOutcomeUnknown, KvRefused, KvUnavailable
from camphorgate.kv.records import Delete, KvEntry, Put, TransactionResult
from camphorgate.serving.store_eras import REVISION_BITS
from camphorgate.serving.watcher_selection import WATCHERS_PER_ZONE
from camphorgated.serving.directory import DUTY_KEY, DUTY_TAKEN_KEY
from camphorgated.serving.errors import CallFailed
from camphorgated.serving.members import Members
from camphorgated.serving.platform_protocol import OrderResult
from tests.virtual_time import VirtualClock

LEASE_SECONDS = 3.0
STORE_SECONDS = 0.004
# Time after which a call without a response is given up.
STORE_TIMEOUT_SECONDS = 1.0
# How long a change takes to reach the instances that watch the key.
WATCH_SECONDS = 0.006
CALL_SECONDS = 0.002
# Interval at which the holder calls the platform.
CALL_INTERVAL_SECONDS = 0.25
WARMUP_SECONDS = 8.0


class PlatformCall(NamedTuple):
    """A call that the platform received."""

    at: float
    holder: str
    fencing: int


class DutyStore:
    """The store: the members, the key of the duty, and leases."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Start empty."""
        self._loop = loop
        self.era = 0
        self._revision = 1
        self._entries_by_key: dict[str, KvEntry] = {}
        # Time to live and end of each lease.
        self._leases_by_id: dict[int, tuple[float, float]] = {}
        self._lease_ids = 0
        # No lease ends before this time.
        self._next_end = float("inf")
        # Each state of the watched keys with the time from which it holds.
        self._watched_states: list[tuple[float, dict[str, KvEntry]]] = [(0.0, {})]

    def entries(self, prefix: str) -> list[KvEntry]:
        """Return the entries below a prefix."""
        self._expire()
        return [
            entry
            for key, entry in sorted(self._entries_by_key.items())
            if key.startswith(prefix)
        ]

    def grant(self, ttl: float) -> int:
        """Return a new lease."""
        self._lease_ids += 1
        ends_at = self._loop.time() + ttl
        self._leases_by_id[self._lease_ids] = (ttl, ends_at)
        self._next_end = min(self._next_end, ends_at)
        return self._lease_ids

    def renew(self, lease: int) -> float | None:
        """Renew a lease and return its time to live, ``None`` if it has ended."""
        self._expire()
        if lease not in self._leases_by_id:
            return None
        ttl, _ = self._leases_by_id[lease]
        self._leases_by_id[lease] = (ttl, self._loop.time() + ttl)
        return ttl

    def revoke(self, lease: int) -> None:
        """End a lease and remove its keys."""
        self._expire()
        self._end(lease, self._loop.time())

    def transact(self, compares, operations) -> TransactionResult:
        """Apply the operations if all conditions hold."""
        self._expire()
        for compare in compares:
            entry = self._entries_by_key.get(compare.key)
            if (entry.mod_revision if entry else 0) != compare.revision:
                return TransactionResult(False, 0, "", {})
        leases = {item.lease for item in operations if isinstance(item, Put)}
        if not leases <= {0, *self._leases_by_id}:
            raise KvRefused("a lease of the transaction has ended")
        self._revision += 1
        revision = self.era << REVISION_BITS | self._revision
        for item in operations:
            if isinstance(item, Delete):
                self._set(item.key, None, self._loop.time())
            else:
                entry = KvEntry(
                    item.key, item.value, "", revision, revision, item.lease
                )
                self._set(item.key, entry, self._loop.time())
        return TransactionResult(True, revision, "", {})

    def restore(self) -> None:
        """Come back from a copy that is older than every lease."""
        self._expire()
        self.era += 1
        self._revision = 1
        for key in list(self._entries_by_key):
            self._set(key, None, self._loop.time())
        self._leases_by_id.clear()

    def watched_entries(self, at: float) -> dict[str, KvEntry]:
        """Return the entries below the duty key at a time."""
        self._expire()
        for since, entries in reversed(self._watched_states):
            if since <= at:
                return entries
        return {}

    def _expire(self) -> None:
        now = self._loop.time()
        if now < self._next_end:
            return
        ends = sorted((item[1], lease) for lease, item in self._leases_by_id.items())
        for ends_at, lease in ends:
            if ends_at > now:
                break
            self._end(lease, ends_at)
        left = (item[1] for item in self._leases_by_id.values())
        self._next_end = min(left, default=float("inf"))

    def _end(self, lease: int, at: float) -> None:
        self._leases_by_id.pop(lease, None)
        for key, entry in list(self._entries_by_key.items()):
            if entry.lease == lease:
                self._set(key, None, at)

    def _set(self, key: str, entry: KvEntry | None, at: float) -> None:
        if entry is None:
            self._entries_by_key.pop(key, None)
        else:
            self._entries_by_key[key] = entry
        if key in (DUTY_KEY, DUTY_TAKEN_KEY):
            entries = {
                name: self._entries_by_key[name]
                for name in (DUTY_KEY, DUTY_TAKEN_KEY)
                if name in self._entries_by_key
            }
            self._watched_states.append((at, entries))


class StoreClient:
    """The store as one process reaches it."""

    def __init__(self, fleet: "DutyFleet") -> None:
        """Start with a store that answers."""
        self._fleet = fleet
        self._listener = None
        self._known_era: int | None = None
        # Until when calls are refused, and answers are lost.
        self.refused_until = 0.0
        self.lost_until = 0.0
        # The next transaction has no answer and takes effect after this many seconds.
        self.delay_next: float | None = None

    def add_restore_listener(self, listener) -> None:
        """Call a function when a response is of a newer era."""
        self._listener = listener

    async def grant(self, ttl: float) -> int:
        """Grant a lease."""
        return await self._call(lambda: self._fleet.store.grant(ttl))

    async def renew(self, lease: int) -> float | None:
        """Renew a lease."""
        return await self._call(lambda: self._fleet.store.renew(lease))

    async def revoke(self, lease: int) -> None:
        """End a lease."""
        await self._call(lambda: self._fleet.store.revoke(lease))

    async def read_prefix(self, prefix: str, stale: bool = False):
        """Read the entries below a prefix."""
        return await self._call(lambda: (self._fleet.store.entries(prefix), 0))

    async def transact(self, compares, operations) -> TransactionResult:
        """Send a transaction."""
        store, delay, self.delay_next = self._fleet.store, self.delay_next, None
        if delay is None:
            return await self._call(lambda: store.transact(compares, operations))
        era = store.era
        loop = asyncio.get_running_loop()

        def take_effect() -> None:
            try:
                if era == store.era:
                    store.transact(compares, operations)
            except KvRefused:
                return

        loop.call_later(delay, take_effect)
        await asyncio.sleep(STORE_TIMEOUT_SECONDS)
        raise KvOutcomeUnknown("no response from the store")

    async def _call(self, call):
        now = self._fleet.loop.time()
        await asyncio.sleep(STORE_SECONDS / 2)
        if now < self.refused_until:
            raise KvUnavailable("refused by the store")
        era = self._fleet.store.era
        result = call()
        if now < self.lost_until:
            await asyncio.sleep(STORE_TIMEOUT_SECONDS)
            raise KvOutcomeUnknown("no response from the store")
        await asyncio.sleep(STORE_SECONDS / 2)
        first, known = self._known_era is None, self._known_era or 0
        self._known_era = max(era, known)
        if era > known and self._listener is not None:
            self._listener(first)
        return result


class DutyDirectory:
    """What one instance's watches show."""

    def __init__(self, instance: "DutyInstance") -> None:
        """Watch with nothing known."""
        self._instance = instance
        self.instances = 1
        # The watch shows nothing newer than this while it hangs.
        self.hangs_since: float | None = None
        self.watches = self
        self.watcher_selection = self

    @property
    def chosen(self) -> bool:
        """Return whether this instance is a watcher of its zone."""
        return self._instance.fleet.watches(self._instance)

    @property
    def follows_duty_key(self) -> bool:
        """Return whether this instance watches the duty key."""
        return self.chosen

    watching = chosen

    @property
    def sound(self) -> bool:
        """Return whether the store answers the watch."""
        client = self._instance.client
        return self._instance.fleet.loop.time() >= client.refused_until

    @property
    def instance_entries_by_key(self) -> dict[str, KvEntry]:
        """Return the duty keys as the watch shows them."""
        fleet = self._instance.fleet
        at = fleet.loop.time() - WATCH_SECONDS
        if self.hangs_since is not None:
            at = min(at, self.hangs_since)
        # The first read of a process is not older than its start.
        return fleet.store.watched_entries(max(at, self._instance.started_at))

    def rank(self, now: float) -> int:
        """Return the rank in the zone's order of watchers."""
        return 0 if self.chosen else WATCHERS_PER_ZONE

    def set_listed(self, names) -> None:
        """Take in the listed instances of the zone."""

    def note_members_listed(self, zones_by_name) -> None:
        """Take in the zones of all listed instances."""


class DutyInstance:
    """A machine whose process may be killed, stopped and started again."""

    def __init__(self, fleet: "DutyFleet", number: int) -> None:
        """Create the machine without a process."""
        self.fleet = fleet
        self.name = f"front-{number}"
        self.zone = f"zone-{number % fleet.zones}"
        self.members: Members | None = None
        self._tasks: list[asyncio.Task] = []

    async def start(self) -> None:
        """Start a process that knows nothing, unless one runs."""
        if self.members is not None or self.fleet.closed:
            return
        self.started_at = self.fleet.loop.time()
        self.client = StoreClient(self.fleet)
        self.directory = DutyDirectory(self)
        settings = SimpleNamespace(
            instance_id=self.name,
            availability_zone=self.zone,
            peer_address=self.name,
            gossip_address=self.name,
            times=SimpleNamespace(lease_seconds=LEASE_SECONDS),
            duty=SimpleNamespace(require_fence=False),
        )
        services = {"store": self.client, "directory": self.directory}
        app = SimpleNamespace(
            settings=settings,
            clock=VirtualClock(self.fleet.loop),
            service=services.__getitem__,
            supervise=lambda run, name: self._spawn(self._supervise(run)),
            emit=lambda name: None,
        )
        generator = random.Random(self.fleet.random.random())
        with mock.patch.object(random, "Random", lambda: generator):
            self.members = Members(app)
        await self.members.start()
        self._spawn(self._act())

    def kill(self) -> None:
        """End the process at once."""
        for task in self._tasks:
            task.cancel()
        self._tasks, self.members = [], None

    async def stop(self) -> None:
        """Let the process hand over and end."""
        if self.members is not None:
            await self.members.deregister()
            self.kill()

    def _spawn(self, coroutine) -> None:
        self._tasks.append(asyncio.ensure_future(coroutine))

    async def _supervise(self, run) -> None:
        try:
            await run()
        except Exception as error:
            self.fleet.failures.append(f"{self.name}: {error!r}")
            raise

    async def _act(self) -> None:
        """Call the platform while this instance holds the duty."""
        while True:
            await asyncio.sleep(CALL_INTERVAL_SECONDS)
            members = self.members
            fencing = members.fencing
            if not members.holds_duty():
                continue
            try:
                await members.call_as_holder(
                    fencing, lambda seconds, fencing=fencing: self._send(fencing)
                )
            except CallFailed:
                continue

    async def _send(self, fencing: int) -> OrderResult:
        await asyncio.sleep(CALL_SECONDS)
        call = PlatformCall(self.fleet.loop.time(), self.name, fencing)
        self.fleet.calls.append(call)
        return OrderResult(True, False, 200)


class DutyFleet:
    """Instances in some zones, and the store that they share."""

    def __init__(self, size: int, zones: int, seed: int = 1) -> None:
        """Create the machines."""
        self.loop = asyncio.get_running_loop()
        self.zones = zones
        self.random = random.Random(seed)
        self.store = DutyStore(self.loop)
        self.closed = False
        self.calls: list[PlatformCall] = []
        # Errors that ended a task of an instance.
        self.failures: list[str] = []
        self.instances = [DutyInstance(self, number) for number in range(size)]

    async def start(self) -> None:
        """Start all instances, and wait until one of them acts."""
        await asyncio.gather(*(item.start() for item in self.instances))
        await asyncio.sleep(WARMUP_SECONDS)

    def stop(self) -> None:
        """Kill all instances for good."""
        self.closed = True
        for item in self.instances:
            item.kill()

    def watches(self, instance: DutyInstance) -> bool:
        """Return whether an instance is among the first of its zone that run."""
        running = (
            item
            for item in self.instances
            if item.zone == instance.zone and item.members is not None
        )
        return instance in itertools.islice(running, WATCHERS_PER_ZONE)

    def holder(self) -> DutyInstance | None:
        """Return the instance that may act now."""
        for item in self.instances:
            if item.members is not None and item.members.holds_duty():
                return item
        return None

    async def next_call(self, seconds: float) -> PlatformCall | None:
        """Wait for the next call, for some seconds at most."""
        known, until = len(self.calls), self.loop.time() + seconds
        while len(self.calls) == known and self.loop.time() < until:
            await asyncio.sleep(0.01)
        return self.calls[known] if len(self.calls) > known else None

    def by_name(self, name: str) -> DutyInstance:
        """Return the instance of a name."""
        return next(item for item in self.instances if item.name == name)


def find_alternations(
    calls: list[PlatformCall], lease_seconds: float = LEASE_SECONDS
) -> list[tuple[PlatformCall, PlatformCall, PlatformCall]]:
    """Return calls of holders A, B, A within a lease.

    Of the calls of A before B, the last counts.
    """
    found = []
    for index, third in enumerate(calls):
        other = None
        for earlier in reversed(calls[:index]):
            if third.at - earlier.at >= lease_seconds:
                break
            if earlier.holder != third.holder:
                other = earlier
            elif other is not None:
                found.append((earlier, other, third))
                break
            else:
                # An alternation that ends with this call was found before.
                break
    return found


def find_lower_numbers(calls: list[PlatformCall]) -> list[PlatformCall]:
    """Return the calls with a lower fencing number than one before them."""
    highest, found = 0, []
    for call in calls:
        if call.fencing < highest:
            found.append(call)
        highest = max(highest, call.fencing)
    return found


def longest_silence(calls: list[PlatformCall], since: float) -> float:
    """Return the longest time without a call after a time, in seconds."""
    times = [since, *(call.at for call in calls if call.at > since)]
    return max(
        (after - before for before, after in itertools.pairwise(times)), default=0.0
    )
