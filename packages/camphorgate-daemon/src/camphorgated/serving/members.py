"""Registers this instance and elects the holder of the duty, under one lease.

Provides ``members``. The duty key is attached to the lease of the instance's own entry,
so a holder that is cut off from the store loses both. The revision at which the duty
key was written is the fencing number: it only rises, and is unique to one write.
"""

import asyncio
import random
import secrets
from collections.abc import Awaitable, Callable

import msgspec
import xxhash

from camphorgate.application import Application
from camphorgate.authority.leases import Lease, LeaseRules
from camphorgate.foreign_data import DECODE_ERRORS
from camphorgate.kv.errors import KvCallsBounded, KvError, KvRefused
from camphorgate.kv.rate_limit import Backoff
from camphorgate.kv.records import Delete, KvEntry, Put, absent, unchanged
from camphorgate.log import log_event
from camphorgate.serving.duty_calls import DutyCalls, call_seconds
from camphorgate.serving.duty_rest import DutyRest
from camphorgate.serving.store_calls import MAX_SPREAD_SECONDS, spread_seconds
from camphorgate.serving.store_eras import Restores
from camphorgate.serving.watcher_selection import (
    REPLACED_GRACE_SECONDS,
    WATCHERS_PER_ZONE,
)
from camphorgated.serving.directory import (
    DUTY_KEY,
    DUTY_TAKEN_KEY,
    INSTANCE_PREFIX,
)
from camphorgated.serving.errors import CallFailed
from camphorgated.serving.platform_protocol import OrderResult

MEMBER_PREFIX = INSTANCE_PREFIX + "members/"
# Renewals per lifetime of the lease.
RENEWALS_PER_LEASE = 3
# The other instances' entries are read this often; gossip reports changes sooner. The
# period grows with the number of instances, as each reads the entries of all.
LIST_SECONDS = 5.0
LIST_SECONDS_PER_INSTANCE = 0.1
MAX_LIST_SECONDS = 30.0
# An instance that cannot take the duty, as it does not watch the store, has a lease
# that lasts this many times as long and is renewed accordingly less often.
FOLLOWER_LEASE_FACTOR = 3
# An instance that watches in place of an elected one prepares for the duty after this
# time.
DURABLE_WATCH_SECONDS = REPLACED_GRACE_SECONDS + 1.0
# An instance whose role has not required the short lease for this long replaces it by a
# longer one. In trouble, many instances watch for a moment, and would keep renewing
# three times as often.
LENGTHEN_SECONDS = 5.0
# Instances start together; the first list is read after all of them wrote theirs.
FIRST_LIST_SECONDS = 0.7
# The holder stops this long before the store can expire the lease.
LEASE_MARGIN_SECONDS = 0.4
TICK_SECONDS = 0.1
# The removal of an own entry of an older era is tried again after this time.
GIVE_UP_RETRY_SECONDS = 1.0
# Usual timeout of a call of the holder, where its lease limits it.
MAX_DUTY_CALL_SECONDS = 1.5
# Instances try for a free duty one after the other, this far apart.
TURN_SECONDS = 0.05


class Member(msgspec.Struct, frozen=True):
    """The entry of an instance in the store."""

    instance: str
    incarnation: str
    zone: str
    peer_address: str
    gossip_address: str


class DutyEntry(msgspec.Struct, frozen=True):
    """Who holds the duty; ``incarnation`` names one run of the instance."""

    instance: str
    incarnation: str


class Members:
    """The lease of this instance, the entries of the others, and the duty."""

    __slots__ = (
        "own",
        "leaving",
        "fencing",
        "reported_holder",
        "_app",
        "_store",
        "_directory",
        "_lease_id",
        "_lease_ttl",
        "_watching_since",
        "_last_short_at",
        "_granted",
        "_duty_calls",
        "_retry",
        "_random",
        "_shorten",
        "_lease",
        "_lease_sent_at",
        "_rest",
        "_rests_after_start",
        "_refused",
        "_restores",
        "_give_up_at",
        "_free_since",
        "_listed_by_instance",
    )

    def __init__(self, app: Application) -> None:
        """Start without an entry in the store."""
        settings = app.settings
        self.own = Member(
            settings.instance_id,
            f"{settings.instance_id}/{secrets.token_hex(4)}",
            settings.availability_zone,
            settings.peer_address,
            settings.gossip_address,
        )
        self.leaving = False
        self.fencing = 0
        # The gossip address of the holder of the duty, as watchers report it.
        self.reported_holder = ""
        self._app = app
        self._store = app.service("store")
        self._directory = app.service("directory")
        self._lease_id = 0
        self._lease_ttl = 0.0
        self._watching_since: float | None = None
        self._last_short_at = float("-inf")
        # A lease that was granted, and the entry is yet to be written: its id, time to
        # live and the time just before it was requested.
        self._granted: tuple[int, float, float] | None = None
        retry = settings.times.lease_seconds / RENEWALS_PER_LEASE
        self._duty_calls = DutyCalls()
        self._retry = Backoff(retry / 2, retry, random.Random())
        self._shorten = asyncio.Event()
        ttl = settings.times.lease_seconds
        renew = ttl / RENEWALS_PER_LEASE
        self._lease = Lease(LeaseRules(ttl, renew, LEASE_MARGIN_SECONDS))
        self._lease_sent_at = 0.0
        self._rest = DutyRest(ttl, MAX_DUTY_CALL_SECONDS)
        self._rests_after_start = False
        self._random = random.Random()
        self._restores = Restores()
        self._give_up_at = float("-inf")
        self._refused: set[int] = set()
        self._store.add_restore_listener(self._receive_restore)
        self._free_since: float | None = None
        self._listed_by_instance: dict[str, Member] = {}

    async def start(self) -> None:
        """Start the tasks that renew the lease, take the duty and list the others."""
        if not self._app.settings.duty.require_fence:
            # An earlier process of this instance may have acted until now.
            self._rest_from_now("start")
            self._rests_after_start = True
        self._app.supervise(self._keep_listed, "member lease")
        self._app.supervise(self._tick, "duty")
        self._app.supervise(self._list_others, "members")

    def by_instance(self) -> dict[str, Member]:
        """Return the listed instances, as of some seconds ago."""
        return self._listed_by_instance

    def _receive_restore(self, first: bool) -> None:
        """Drop what is attached to leases of an older era, and list again."""
        now = self._app.clock.monotonic()
        self._restores.record(now)
        log_event("store_restored", level="WARNING", first=first)
        if first:
            return
        self._lose("the store came back from an older copy")
        self._granted = None
        if self._lease_id:
            self._lease_id = 0
            # All instances list themselves again.
            delay = self._random.uniform(0.0, spread_seconds(self._directory.instances))
            asyncio.get_running_loop().call_later(delay, self._shorten.set)

    def _doubted_members(self) -> dict[str, Member]:
        """Return the instances that may be missing from the list after a restore.

        An instance that does not watch learns of it when it renews its lease.
        """
        now = self._app.clock.monotonic()
        lease = FOLLOWER_LEASE_FACTOR * self._short_ttl()
        doubted = self._restores.seconds_since(now) < lease + MAX_SPREAD_SECONDS
        return self._listed_by_instance if doubted else {}

    async def _list_others(self) -> None:
        stale = False
        while True:
            await asyncio.sleep(self._list_seconds() if stale else FIRST_LIST_SECONDS)
            try:
                entries, _ = await self._store.read_prefix(MEMBER_PREFIX, stale)
            except KvError as error:
                log_event("members_not_read", level="WARNING", error=error.message)
                continue
            stale = True
            found = [_decode(entry, Member) for entry in entries]
            self._listed_by_instance = self._doubted_members() | {
                member.instance: member for member in found if member is not None
            }
            self._directory.instances = max(1, len(self._listed_by_instance))
            self._directory.watches.watcher_selection.set_listed(
                member.instance
                for member in self._listed_by_instance.values()
                if member.zone == self.own.zone
            )
            self._directory.watches.note_members_listed(
                {
                    member.instance: member.zone
                    for member in (*self._listed_by_instance.values(), self.own)
                }
            )

    def _list_seconds(self) -> float:
        if self.fencing:
            # The closing of a usage window waits for the listed instances.
            return LIST_SECONDS
        seconds = self._directory.instances * LIST_SECONDS_PER_INSTANCE
        return min(MAX_LIST_SECONDS, max(LIST_SECONDS, seconds))

    def holder_address(self) -> str:
        """Return the gossip address of the holder of the duty, empty if unknown."""
        if not self._directory.watches.watching:
            return self.reported_holder
        entry = self._directory.instance_entries_by_key.get(DUTY_KEY)
        duty = _decode(entry, DutyEntry) if entry is not None else None
        if duty is not None and duty.instance == self.own.instance:
            return self.own.gossip_address
        member = self._listed_by_instance.get(duty.instance) if duty else None
        return member.gossip_address if member else ""

    def holds_duty(self) -> bool:
        """Return whether this instance may give orders at this moment."""
        return bool(self.fencing) and self._lease.check_valid(
            self._app.clock.monotonic()
        )

    async def call_as_holder(
        self,
        fencing: int,
        send: Callable[[float | None], Awaitable[OrderResult]],
    ) -> OrderResult:
        """Send a call of the duty's holder.

        Where the platform checks no fencing number, the call ends before the lease.

        :param fencing: the number under which the call was decided.
        :param send: sends the call with a timeout in seconds, ``None`` for the usual.
        :raises CallFailed: if it was not sent, or there was no response.
        """
        if fencing != self.fencing or not self.holds_duty():
            raise CallFailed(f"the duty {fencing} is no longer held", False)
        if self._app.settings.duty.require_fence:
            return await send(None)
        clock = self._app.clock
        seconds = call_seconds(
            self._lease.deadline, MAX_DUTY_CALL_SECONDS, clock.monotonic()
        )
        if not seconds:
            raise CallFailed("the lease ends before the call would", False)
        self._duty_calls.record_sent()
        answered = False
        try:
            result = await send(seconds)
            answered = True
        except CallFailed as error:
            answered = not error.sent
            raise
        finally:
            self._duty_calls.record_ended(answered, clock.monotonic())
        return result

    async def _may_hand_over(self) -> bool:
        """Wait for the calls under way; return whether another may act at once."""
        if self._app.settings.duty.require_fence:
            return True
        until = self._app.clock.monotonic() + MAX_DUTY_CALL_SECONDS
        while self._duty_calls.under_way and self._app.clock.monotonic() < until:
            await asyncio.sleep(TICK_SECONDS / 10)
        return self._duty_calls.may_hand_over(self._app.clock.monotonic())

    def drop_refused_duty(self, fencing: int) -> None:
        """Drop the duty after a receiver has seen a newer fencing number."""
        self._refused.add(fencing)
        if self.fencing == fencing:
            self._lose("refused by a receiver")

    async def deregister(self) -> None:
        """Give up the duty and the entry, so that others take over at once."""
        self.leaving = True
        self._lose("leaving")
        lease, self._lease_id = self._lease_id, 0
        if lease and not await self._may_hand_over():
            log_event("duty_not_handed_over", level="WARNING", lease=lease)
        elif lease:
            try:
                await self._store.revoke(lease)
            except KvError as error:
                log_event("lease_not_ended", level="WARNING", error=error.message)

    async def _keep_listed(self) -> None:
        while not self.leaving:
            try:
                wanted = self._wanted_ttl()
                if self._lease_id and not self._must_replace_lease(wanted):
                    await self._renew()
                else:
                    await self._register(wanted)
            except KvCallsBounded:
                await asyncio.sleep(TICK_SECONDS)
                continue
            except KvError as error:
                log_event("lease_renewal_failed", level="WARNING", error=error.message)
                await asyncio.sleep(self._retry.record_failure())
                continue
            self._retry.record_success()
            period = self._lease_ttl / RENEWALS_PER_LEASE
            await self._pause(period if self._lease_id else period / 3)

    def _short_ttl(self) -> float:
        return self._app.settings.times.lease_seconds

    def _wanted_ttl(self) -> float:
        """Return the longest lease that the present role allows, in seconds."""
        now = self._app.clock.monotonic()
        short = self._watches_durably(now) or self.fencing
        if short:
            self._last_short_at = now
        return self._short_ttl() * (1 if short else FOLLOWER_LEASE_FACTOR)

    def _watches_durably(self, now: float) -> bool:
        """Return whether this instance watches the store, not just for a moment.

        In trouble, many instances watch for a moment. A lease that is short enough for
        the duty would cost each of them two calls.
        """
        since = self._watching_since
        if since is None:
            return False
        selection = self._directory.watches.watcher_selection
        elected = selection.rank(now) < WATCHERS_PER_ZONE
        return elected or now - since >= DURABLE_WATCH_SECONDS

    def _record_watching(self, now: float) -> None:
        """Record since when the store answers the watches of this instance."""
        watches = self._directory.watches
        if not (watches.chosen and watches.sound):
            self._watching_since = None
            return
        if self._watching_since is None:
            self._watching_since = now
        if self._lease_ttl > self._short_ttl() and self._watches_durably(now):
            self.shorten_lease()

    def _must_replace_lease(self, wanted: float) -> bool:
        """Return whether the lease is too long, or has been too short for a while."""
        if self._lease_ttl > wanted:
            return True
        unused = self._app.clock.monotonic() - self._last_short_at
        return self._lease_ttl < wanted and unused > LENGTHEN_SECONDS

    async def _pause(self, seconds: float) -> None:
        """Wait until the lease has to be renewed or shortened."""
        try:
            async with asyncio.timeout(seconds):
                await self._shorten.wait()
        except TimeoutError:
            return
        finally:
            self._shorten.clear()

    def shorten_lease(self) -> None:
        """Check at once whether the lease is short enough for the duty."""
        self._shorten.set()

    async def _register(self, ttl: float) -> None:
        now = self._app.clock.monotonic()
        granted = self._granted
        # A lease whose entry could not be written is used again, as long as a renewal
        # would be in time.
        if (
            granted is None
            or granted[1] != ttl
            or now - granted[2] > ttl / RENEWALS_PER_LEASE
        ):
            granted = self._granted = (await self._store.grant(ttl), ttl, now)
        lease, _, sent_at = granted
        key = MEMBER_PREFIX + self.own.instance
        put = Put(key, msgspec.json.encode(self.own), lease)
        try:
            await self._store.transact([], [put])
        except KvRefused:
            self._granted = None
            raise
        self._granted = None
        if not self.leaving:
            self._lease_id = lease
            self._lease_ttl = ttl
            self._lease_sent_at = sent_at
            log_event("member_listed", lease=lease, seconds=ttl)

    async def _renew(self) -> None:
        lease = self._lease_id
        sent_at = self._app.clock.monotonic()
        ttl = await self._store.renew(lease)
        if ttl is None:
            log_event("lease_ended", level="WARNING", lease=lease)
            self._lease_id = 0
            self._lose("the lease has ended")
            return
        self._lease_sent_at = sent_at
        if self.fencing:
            self._lease.record_renewed(sent_at, self._app.clock.monotonic())

    async def _tick(self) -> None:
        while not self.leaving:
            await asyncio.sleep(TICK_SECONDS)
            now = self._app.clock.monotonic()
            self._record_watching(now)
            if self.fencing and not self._lease.tick(now):
                self._lose("not renewed in time")
            if not self._directory.follows_duty_key:
                self._free_since = None
                continue
            entry = self._directory.instance_entries_by_key.get(DUTY_KEY)
            if entry is not None:
                self._free_since = None
                await self._adopt(entry)
            elif (
                self._directory.sound
                and self._lease_short()
                and self._restores.may_take_duty(self._short_ttl(), now)
            ):
                await self._try_to_take(now)

    def _lease_short(self) -> bool:
        """Return whether the lease is short enough to attach the duty to it."""
        return bool(self._lease_id) and self._lease_ttl <= self._short_ttl()

    async def _adopt(self, entry: KvEntry) -> None:
        """Take the duty if the entry is of this process and of its present lease.

        This also applies after the duty was dropped because renewals failed: while the
        key exists, no other instance can have taken it.
        """
        duty = _decode(entry, DutyEntry)
        ours = duty is not None and duty.incarnation == self.own.incarnation
        if ours and self._is_orphaned(entry):
            await self._give_up_key(entry)
            return
        if not ours or entry.lease != self._lease_id or self.fencing:
            return
        if entry.mod_revision in self._refused:
            await self._give_up_key(entry)
            return
        now = self._app.clock.monotonic()
        self._lease.resign()
        if self._lease.record_acquired(entry.mod_revision, self._lease_sent_at, now):
            self.fencing = entry.mod_revision
            log_event("duty_taken", fencing=self.fencing, lease=self._lease_id)
            self._app.emit("duty-taken")

    def _is_orphaned(self, entry: KvEntry) -> bool:
        """Return whether an own entry is attached to a lease of an older era.

        The store may have kept it, or attached it to another instance's lease with the
        same id. No instance but this one could hold the duty by it.
        """
        if self.fencing or not self._lease_id or entry.lease == self._lease_id:
            return False
        now = self._app.clock.monotonic()
        if not self._restores.count or now < self._give_up_at:
            return False
        self._give_up_at = now + GIVE_UP_RETRY_SECONDS
        return True

    async def _give_up_key(self, entry: KvEntry) -> None:
        """Remove the own duty key, which this instance cannot use any more."""
        try:
            condition = unchanged(DUTY_KEY, entry.mod_revision)
            await self._store.transact([condition], [Delete(DUTY_KEY)])
        except KvError as error:
            log_event("duty_not_given_up", level="WARNING", error=error.message)

    async def _try_to_take(self, now: float) -> None:
        if self._free_since is None:
            self._free_since = now
        instances = sorted(
            {*self.by_instance(), self.own.instance},
            key=lambda name: xxhash.xxh3_64_intdigest(f"duty/{name}".encode()),
        )
        turn = instances.index(self.own.instance) * TURN_SECONDS
        if now < self._free_since + turn or self._must_rest(now):
            return
        duty = DutyEntry(self.own.instance, self.own.incarnation)
        puts = [Put(DUTY_KEY, msgspec.json.encode(duty), self._lease_id)]
        if not self._app.settings.duty.require_fence:
            puts.append(Put(DUTY_TAKEN_KEY, b""))
        lease = self._lease_id
        try:
            done = await self._store.transact([absent(DUTY_KEY)], puts)
        except KvRefused:
            self._lease_id = 0
            return
        except KvError as error:
            # The watch shows whether it took effect, now or later.
            log_event("duty_attempt_failed", level="WARNING", error=error.message)
            return
        finally:
            self._free_since = self._app.clock.monotonic() + TURN_SECONDS
        if done.succeeded:
            value = msgspec.json.encode(duty)
            await self._adopt(
                KvEntry(DUTY_KEY, value, "", done.revision, done.revision, lease)
            )

    def _lose(self, reason: str) -> None:
        if not self.fencing:
            return
        log_event("duty_lost", fencing=self.fencing, reason=reason)
        self.fencing = 0
        self._lease.mark_lost()
        self._rest_from_now(reason)

    def _must_rest(self, now: float) -> bool:
        """Return whether this instance may have acted lately.

        What its watch shows is at least as new as its start. If no instance had taken
        the duty by then, no earlier process of this one has acted. A store that came
        back from an older copy may have lost the key that tells so.
        """
        entries_by_key = self._directory.instance_entries_by_key
        known = self._restores.count or DUTY_TAKEN_KEY in entries_by_key
        if self._rests_after_start and not known:
            return False
        return self._rest.seconds_left(now) > 0.0

    def _rest_from_now(self, reason: str) -> None:
        """Leave the duty to others for a while, as this instance may have acted."""
        self._rests_after_start = False
        now = self._app.clock.monotonic()
        self._rest.record_end(now)
        seconds = self._rest.seconds_left(now)
        log_event("duty_left_to_others", seconds=seconds, reason=reason)

    def dump(self) -> dict:
        """Return the state for the dump."""
        return {
            "incarnation": self.own.incarnation,
            "lease": self._lease_id,
            "fencing": self.fencing,
            "holds_duty": self.holds_duty(),
            "leaves_duty_seconds": self._rest.seconds_left(self._app.clock.monotonic()),
            "restores": self._restores.count,
            "members": sorted(self.by_instance()),
        }


def _decode(entry: KvEntry, kind: type):
    try:
        return msgspec.json.decode(entry.value, type=kind)
    except DECODE_ERRORS as error:
        log_event("own_entry_unreadable", key=entry.key, error=str(error))
        return None


def setup(app: Application) -> None:
    """Provide the members and start the lease."""
    app.declare_event("duty-taken")
    members = Members(app)
    app.provide("members", members)
    app.add_dump_section("members", members.dump)
    app.on_start(members.start)
